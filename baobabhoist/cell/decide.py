"""Place waiting tasks and ask for the advice that they need."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.cell.board import Board
from baobabhoist.cell.gathering import Holds
from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.matching import speed_cost, tolerance
from baobabhoist.cell.model import AskAdvice, Queue
from baobabhoist.cell.order import rank_of
from baobabhoist.cell.placing import Slots, gather_gang, slots_on, spread_singles
from baobabhoist.cell.workers import WorkerState

# Most workers that one question to the adviser may name.
NAMED_MAX = 100
# Tickets are renewed only for this many of the first waiting steps.
RENEWED_STEPS = 16
# A question without an answer is given up after its cost and this.
ANSWER_SLACK_MS = 4_000.0
# Tickets are renewed when they are valid for less than the cost of a question and this.
RENEW_MARGIN_MS = 100.0
REMOTE_RACK_COST = 0.5
# A task that failed on a worker is tried elsewhere, where there is a choice.
FAILED_HERE_COST = 2.0


@attrs.define
class Decisions:
    """Decide for one cell; call `decide` after any change."""

    board: Board
    # How many questions the advisers can work on at once.
    advisers: int = 1
    asking: int = 0
    holds: Holds = attrs.Factory(Holds)

    def decide(self, now: float, may_start: bool) -> None:
        """Start what fits, and ask for advice on what waits."""
        waiting = [step for step in self.board.ready.values() if step.idle]
        ranked = sorted(waiting, key=lambda s: rank_of(s, self._queue(s), now))
        usable = [w for w in self.board.workers.values() if w.usable(now)]
        self.holds.begin()
        widest = max((worker.free.cpu for worker in usable), default=-1)
        for position, step in enumerate(ranked):
            if may_start and step.spec.charged.cpu <= widest:
                self._place(step, usable, now)
            if step.idle:
                self._ask(step, position, now)

    def _queue(self, step: StepState) -> Queue | None:
        return self.board.queue_of(step.job)

    def _place(self, step: StepState, usable: list[WorkerState], now: float) -> None:
        spec = step.spec
        if spec.gang and step.idle < step.pending:
            return
        open_to = [w for w in self._eligible(step, usable) if self._has_ticket(step, w, now)]
        open_to = [w for w in open_to if self.holds.open_to(w, step)]
        if not open_to and not spec.gang:
            return
        running = Counter(t.run.worker_id for t in step.tasks if t.run is not None)
        stretch = self.board.speeds.stretch(step.job.accepted.queue)
        tolerated = tolerance(step.job, stretch, now)
        slots = slots_on(
            open_to, spec, step.idle, running, lambda w: self._cost(w, step, tolerated)
        )
        if spec.gang:
            self._place_gang(step, slots, now)
            return
        chosen = spread_singles(slots, step.idle)
        for task, worker in zip(list(step.idle_tasks()), chosen, strict=False):
            if not self.board.within_limit(step.job, spec.need):
                return
            self.board.start(task, worker, self.board.next_number([task]), now)

    def _place_gang(self, step: StepState, slots: list[Slots], now: float) -> None:
        if not self.board.within_limit(step.job, step.spec.need.times(step.idle)):
            return
        members = list(step.idle_tasks())
        chosen = gather_gang(slots, len(members), step.spec.same_rack)
        if not chosen:
            self.holds.gather(step, self._approved(step), self.board, now)
            return
        number = self.board.next_number(members)
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        for task, worker in zip(members, chosen, strict=True):
            task.checkpoint = checkpoint
            self.board.start(task, worker, number, now)

    def _cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        """Return how little a worker suits a step: unfit and remote ones come last."""
        cost = speed_cost(self.board.speeds.factor(worker.worker_id), tolerated)
        if step.spec.data_rack and worker.info.rack != step.spec.data_rack:
            cost += REMOTE_RACK_COST
        if worker.worker_id in step.failed_on:
            cost += FAILED_HERE_COST
        # Among equals the fuller worker comes first, so that wide room stays whole.
        capacity = max(1, worker.info.capacity.cpu)
        return cost + 0.1 * worker.free.cpu / capacity

    # Who may run a step.

    def _eligible(self, step: StepState, workers: Iterable[WorkerState]) -> list[WorkerState]:
        service, label = self.board.service_of(step.job), step.spec.label
        return [
            worker
            for worker in workers
            if worker.info.service == service
            and (not label or label in worker.info.labels)
            and step.spec.charged.fits(worker.info.capacity)
        ]

    def _has_ticket(self, step: StepState, worker: WorkerState, now: float) -> bool:
        if not self.board.queue_needs_advice(step.job):
            return True
        return bool(step.approvals.ticket(worker.worker_id, now))

    def _approved(self, step: StepState) -> list[WorkerState]:
        workers = self._eligible(step, self.board.workers.values())
        if not self.board.queue_needs_advice(step.job):
            return workers
        approved = step.approvals.tickets
        return [worker for worker in workers if worker.worker_id in approved]

    # Advice.

    def _ask(self, step: StepState, position: int, now: float) -> None:
        queue = self._queue(step)
        if queue is None or queue.advice is None or step.approvals.waits(now):
            return
        if self.asking >= self.advisers or (step.spec.gang and step.idle < step.pending):
            return
        named = self._whom_to_name(step, position, queue, now)
        if not named:
            return
        cost = queue.advice.cost_ms(len(named))
        step.approvals.asked(now + cost + ANSWER_SLACK_MS)
        self.asking += 1
        self.board.commands.append(AskAdvice(step.key, tuple(named), cost))

    def _whom_to_name(self, step: StepState, position: int, queue: Queue, now: float) -> list[str]:
        listed = [w for w in self.board.workers.values() if w.listed and not w.info.draining]
        ids = [worker.worker_id for worker in self._eligible(step, listed)]
        unasked = step.approvals.unasked(ids)
        if unasked:
            return unasked[:NAMED_MAX]
        if position >= RENEWED_STEPS or queue.advice is None:
            return []
        approved = [i for i in ids if i in step.approvals.tickets]
        cost = queue.advice.cost_ms(len(approved))
        if step.approvals.valid(now, now + cost + RENEW_MARGIN_MS):
            return []
        return approved[:NAMED_MAX]
