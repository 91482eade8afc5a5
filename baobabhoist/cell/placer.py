"""Place waiting tasks and ask for the advice that they need."""

from __future__ import annotations

from collections import Counter

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, Queue, RequestAdvice, Resources
from baobabhoist.cell.ranking import Rank, Timeliness, rank_step, timeliness_of
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.speed_matching import speed_cost, tolerance
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import WorkerSlots, gather_gang, slots_on, spread_singles
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
class TaskPlacer:
    """Decide for one cell; call `decide` after any change."""

    state: CellState
    # How many questions the advisers can work on at once.
    max_advice_requests: int = 1
    asking: int = 0
    holds: Reservations = attrs.Factory(Reservations)

    def place_waiting_steps(self, now: float, may_start: bool) -> None:
        """Start what fits, and ask for advice on what waits."""
        waiting = [step for step in self.state.ready.values() if step.idle]
        if not waiting:
            return
        ranked = sorted(waiting, key=lambda step: self._rank(step, now))
        pools = WorkerIndex(self.state.workers.values(), now)
        self.holds.begin()
        for position, step in enumerate(ranked):
            service = self.state.service_of(step.job)
            if may_start and step.spec.allocation.cpu <= pools.widest(service):
                self._place(step, pools, now)
            if step.idle:
                self._ask(step, position, pools, now)

    def _rank(self, step: StepState, now: float) -> Rank:
        return rank_step(step, self._queue(step), now)

    def _queue(self, step: StepState) -> Queue | None:
        return self.state.queue_of(step.job)

    def _place(self, step: StepState, pools: WorkerIndex, now: float) -> None:
        spec = step.spec
        if spec.gang and step.idle < step.pending:
            return
        team = step.job.accepted.team
        if not self.holds.limit_open_to(team, step):
            return
        need = spec.need.times(step.idle if spec.gang else 1)
        if not self.state.within_limit(step.job, need):
            if spec.gang and self._may_wait_for_limit(step, need, now):
                self.holds.wait_for_limit(team, step)
            return
        open_to = [w for w in self._open_to(step, pools) if self.holds.open_to(w, step)]
        if not open_to and not spec.gang:
            return
        tolerated = tolerance(step.job, self.state.speeds.stretch(step.job.accepted.queue), now)
        slots = slots_on(
            open_to,
            spec,
            step.idle,
            _runs_on(step),
            lambda w: self._placement_cost(w, step, tolerated),
        )
        if spec.gang:
            self._place_gang(step, slots, pools, now)
            return
        chosen = spread_singles(slots, step.idle)
        for task, worker in zip(list(step.idle_tasks()), chosen, strict=False):
            if not self.state.within_limit(step.job, spec.need):
                return
            self.state.start(task, worker, self.state.next_number([task]), now)

    def _may_wait_for_limit(self, step: StepState, need: Resources, now: float) -> bool:
        """Tell whether a gang may keep its team's limit: it fits, and is worth something."""
        team = self.state.team_of(step.job)
        fits = team is not None and team.allows(need)
        return fits and timeliness_of(step.job, now) is not Timeliness.EXPIRED

    def _place_gang(
        self, step: StepState, slots: list[WorkerSlots], pools: WorkerIndex, now: float
    ) -> None:
        members = list(step.idle_tasks())
        chosen = gather_gang(slots, len(members), step.spec.same_rack)
        if not chosen:
            if not self.holds.full:
                self.holds.gather(step, self._approved(step, pools))
            return
        number = self.state.next_number(members)
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        for task, worker in zip(members, chosen, strict=True):
            task.checkpoint = checkpoint
            self.state.start(task, worker, number, now)

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        """Return how little a worker suits a step: unfit and remote ones come last."""
        cost = speed_cost(self.state.speeds.factor(worker.worker_id), tolerated)
        if step.spec.data_rack and worker.info.rack != step.spec.data_rack:
            cost += REMOTE_RACK_COST
        if worker.worker_id in step.failed_on:
            cost += FAILED_HERE_COST
        # Among equals the fuller worker comes first, so that wide room stays whole.
        capacity = max(1, worker.info.capacity.cpu)
        return cost + 0.1 * worker.free_cpu / capacity

    # Who may run a step.

    def _open_to(self, step: StepState, pools: WorkerIndex) -> list[WorkerState]:
        """Return the workers on which a task of the step may start now, if there is room."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.queue_needs_advice(step.job):
            return pools.ticketed(step, service, label)
        return pools.usable(service, label)

    def _approved(self, step: StepState, pools: WorkerIndex) -> list[WorkerState]:
        """Return the usable workers that may run the step, also without a valid ticket."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.queue_needs_advice(step.job):
            return pools.approved(step, service, label)
        return pools.usable(service, label)

    # Advice.

    def _ask(self, step: StepState, position: int, pools: WorkerIndex, now: float) -> None:
        queue = self._queue(step)
        if queue is None or queue.advice is None or step.approvals.waits(now):
            return
        if self.asking >= self.max_advice_requests or (
            step.spec.gang and step.idle < step.pending
        ):
            return
        service = self.state.service_of(step.job)
        ids = pools.able_ids(service, step.spec.label, step.spec.allocation)
        named = step.approvals.unasked(ids)[:NAMED_MAX]
        if not named and position < RENEWED_STEPS:
            named = _whom_to_renew(step, ids, queue.advice, now)
        if not named:
            return
        cost = queue.advice.cost_ms(len(named))
        step.approvals.asked(now + cost + ANSWER_SLACK_MS)
        self.asking += 1
        self.state.commands.append(RequestAdvice(step.key, tuple(named), cost))


def _whom_to_renew(step: StepState, ids: list[str], terms: AdviceTerms, now: float) -> list[str]:
    """Return the approved workers if all of their tickets are about to run out."""
    approved = [worker_id for worker_id in ids if worker_id in step.approvals.tickets]
    if step.approvals.valid(now, now + terms.cost_ms(len(approved)) + RENEW_MARGIN_MS):
        return []
    return approved[:NAMED_MAX]


def _runs_on(step: StepState) -> Counter[str]:
    """Return how many tasks of a step each worker runs, if the step bounds it."""
    if not step.spec.most_per_worker:
        return Counter()
    return Counter(task.run.worker_id for task in step.tasks if task.run is not None)
