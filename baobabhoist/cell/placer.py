"""Place waiting tasks on workers and request the placement advice that they need."""

from __future__ import annotations

from collections import Counter

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, Queue, RequestAdvice, Resources
from baobabhoist.cell.ranking import Rank, Timeliness, rank_step, timeliness_of
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.speed_matching import slowdown_tolerance, speed_cost
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import WorkerSlots, assign_gang, assign_tasks, find_slots
from baobabhoist.cell.workers import WorkerState

# Most workers that one advice request may name.
MAX_WORKERS_PER_REQUEST = 100
# Tickets are renewed only for this many steps at the head of the ranking.
MAX_RENEWING_STEPS = 16
# An advice request times out after its expected duration plus this margin.
ANSWER_TIMEOUT_MARGIN_MS = 4_000.0
# Tickets are renewed when they expire within the duration of a request plus this margin.
TICKET_RENEWAL_MARGIN_MS = 100.0
REMOTE_RACK_COST = 0.5
# Makes tasks avoid a worker on which a task of their step failed, if there is another.
PREVIOUS_FAILURE_COST = 2.0


@attrs.define
class TaskPlacer:
    """Place the waiting tasks of one cell; call `place_waiting_steps` after any change."""

    state: CellState
    # Advice requests that may be open at the same time.
    max_advice_requests: int = 1
    open_advice_requests: int = 0
    reservations: Reservations = attrs.Factory(Reservations)

    def place_waiting_steps(self, now: float, may_start: bool) -> None:
        """Start the tasks that fit and request advice for those that still wait."""
        waiting_steps = [step for step in self.state.ready_steps.values() if step.waiting_count]
        if not waiting_steps:
            return
        ranked_steps = sorted(waiting_steps, key=lambda step: self._rank(step, now))
        worker_index = WorkerIndex(self.state.workers.values(), now)
        self.reservations.clear()
        for position, step in enumerate(ranked_steps):
            service = self.state.service_of(step.job)
            if may_start and step.spec.allocation.cpu <= worker_index.max_free_cpu(service):
                self._place_step(step, worker_index, now)
            if step.waiting_count:
                self._request_advice(step, position, worker_index, now)

    def _rank(self, step: StepState, now: float) -> Rank:
        return rank_step(step, self._queue_of(step), now)

    def _queue_of(self, step: StepState) -> Queue | None:
        return self.state.queue_of(step.job)

    def _place_step(self, step: StepState, worker_index: WorkerIndex, now: float) -> None:
        spec = step.spec
        if spec.gang and step.waiting_count < step.unfinished_count:
            return
        team = step.job.accepted.team
        if not self.reservations.is_team_limit_available(team, step):
            return
        need = spec.need.times(step.waiting_count if spec.gang else 1)
        if not self.state.is_within_team_limit(step.job, need):
            if spec.gang and self._may_reserve_team_limit(step, need, now):
                self.reservations.reserve_team_limit(team, step)
            return
        candidates = [
            w
            for w in self._startable_workers(step, worker_index)
            if self.reservations.is_worker_available(w, step)
        ]
        if not candidates and not spec.gang:
            return
        tolerance = slowdown_tolerance(
            step.job, self.state.speeds.duration_ratio(step.job.accepted.queue), now
        )
        slots = find_slots(
            candidates,
            spec,
            step.waiting_count,
            _tasks_by_worker(step),
            lambda w: self._placement_cost(w, step, tolerance),
        )
        if spec.gang:
            self._place_gang(step, slots, worker_index, now)
            return
        chosen = assign_tasks(slots, step.waiting_count)
        for task, worker in zip(list(step.waiting_tasks()), chosen, strict=False):
            if not self.state.is_within_team_limit(step.job, spec.need):
                return
            self.state.start_run(task, worker, self.state.next_run_number([task]), now)

    def _may_reserve_team_limit(self, step: StepState, need: Resources, now: float) -> bool:
        """Return whether a gang could fit into its team's limit and still has value."""
        team = self.state.team_of(step.job)
        could_fit = team is not None and team.allows(need)
        return could_fit and timeliness_of(step.job, now) is not Timeliness.EXPIRED

    def _place_gang(
        self, step: StepState, slots: list[WorkerSlots], worker_index: WorkerIndex, now: float
    ) -> None:
        members = list(step.waiting_tasks())
        chosen = assign_gang(slots, len(members), step.spec.same_rack)
        if not chosen:
            if not self.reservations.is_full:
                self.reservations.reserve_workers(step, self._approved_workers(step, worker_index))
            return
        run_number = self.state.next_run_number(members)
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        for task, worker in zip(members, chosen, strict=True):
            task.checkpoint = checkpoint
            self.state.start_run(task, worker, run_number, now)

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerance: float) -> float:
        """Return the cost of a worker for a step; the worker with the lowest cost is chosen."""
        cost = speed_cost(self.state.speeds.worker_slowdown(worker.worker_id), tolerance)
        if step.spec.data_rack and worker.info.rack != step.spec.data_rack:
            cost += REMOTE_RACK_COST
        if worker.worker_id in step.failed_worker_ids:
            cost += PREVIOUS_FAILURE_COST
        # Best fit: prefer the fuller of equal workers, so that large tasks still find space.
        capacity = max(1, worker.info.capacity.cpu)
        return cost + 0.1 * worker.free_cpu / capacity

    # Candidate workers.

    def _startable_workers(self, step: StepState, worker_index: WorkerIndex) -> list[WorkerState]:
        """Return the workers on which a task of the step may start now, capacity aside."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.requires_advice(step.job):
            return worker_index.workers_with_ticket(step, service, label)
        return worker_index.usable_workers(service, label)

    def _approved_workers(self, step: StepState, worker_index: WorkerIndex) -> list[WorkerState]:
        """Return the usable workers that may run the step, even without a valid ticket."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.requires_advice(step.job):
            return worker_index.approved_workers(step, service, label)
        return worker_index.usable_workers(service, label)

    # Advice.

    def _request_advice(
        self, step: StepState, position: int, worker_index: WorkerIndex, now: float
    ) -> None:
        queue = self._queue_of(step)
        if queue is None or queue.advice is None or step.approvals.is_request_blocked(now):
            return
        if self.open_advice_requests >= self.max_advice_requests or (
            step.spec.gang and step.waiting_count < step.unfinished_count
        ):
            return
        service = self.state.service_of(step.job)
        capable_ids = worker_index.capable_worker_ids(
            service, step.spec.label, step.spec.allocation
        )
        requested = step.approvals.unassessed_workers(capable_ids)[:MAX_WORKERS_PER_REQUEST]
        if not requested and position < MAX_RENEWING_STEPS:
            requested = _workers_to_renew(step, capable_ids, queue.advice, now)
        if not requested:
            return
        cost_ms = queue.advice.cost_ms(len(requested))
        step.approvals.mark_requested(now + cost_ms + ANSWER_TIMEOUT_MARGIN_MS)
        self.open_advice_requests += 1
        self.state.commands.append(RequestAdvice(step.key, tuple(requested), cost_ms))


def _workers_to_renew(
    step: StepState, capable_ids: list[str], terms: AdviceTerms, now: float
) -> list[str]:
    """Return the approved workers if all of their tickets are about to expire."""
    approved = [worker_id for worker_id in capable_ids if worker_id in step.approvals.tickets]
    if step.approvals.count_valid_tickets(
        now, now + terms.cost_ms(len(approved)) + TICKET_RENEWAL_MARGIN_MS
    ):
        return []
    return approved[:MAX_WORKERS_PER_REQUEST]


def _tasks_by_worker(step: StepState) -> Counter[str]:
    """Return how many tasks of a step each worker runs, if the step limits this number."""
    if not step.spec.most_per_worker:
        return Counter()
    return Counter(task.run.worker_id for task in step.tasks if task.run is not None)
