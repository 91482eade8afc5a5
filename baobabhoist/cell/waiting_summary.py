"""Summarize the waiting steps and the state of the workers, for logs and metrics."""

from __future__ import annotations

from collections import Counter

import attrs

from baobabhoist.cell.awaited_runs import AwaitedSummary
from baobabhoist.cell.jobs import Run, RunPhase, StepState
from baobabhoist.cell.model import StepKey
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.worker_conditions import WorkerCondition, worker_condition
from baobabhoist.cell.worker_index import WorkerIndex

CPU_UNITS_PER_CORE = 1000
REASONS_WITHOUT_USABLE_WORKER = frozenset(
    {WaitReason.NO_USABLE_WORKER, WaitReason.NO_STARTABLE_WORKER}
)


@attrs.define
class ReasonSummary:
    """Count the steps and tasks that wait for one reason and name the oldest step."""

    steps: int = 0
    tasks: int = 0
    oldest: StepState | None = None
    oldest_ms: float = 0.0

    def add(self, step: StepState, waited_ms: float) -> None:
        """Add a waiting step."""
        self.steps += 1
        self.tasks += step.waiting_count
        if self.oldest is None or waited_ms > self.oldest_ms:
            self.oldest, self.oldest_ms = step, waited_ms


@attrs.frozen
class TicketCounts:
    """Count the workers that the adviser approved or refused for one step."""

    valid: int
    approved: int
    refused: int


@attrs.frozen
class LongWait:
    """Describe a step that has waited longer than a threshold."""

    step: StepKey
    reason: WaitReason
    waited_ms: float


@attrs.define
class IdleSummary:
    """Count the idle jobs whose team uses less than half of its limit, by why a step waits."""

    jobs_by_reason: dict[WaitReason, set[str]] = attrs.Factory(dict)
    oldest: StepState | None = None
    oldest_ms: float = 0.0

    def add(self, step: StepState, reason: WaitReason, idle_ms: float) -> None:
        """Add a waiting step of an idle job."""
        self.jobs_by_reason.setdefault(reason, set()).add(step.job.job_id)
        if self.oldest is None or idle_ms > self.oldest_ms:
            self.oldest, self.oldest_ms = step, idle_ms


@attrs.define
class WaitingSummary:
    """Summarize what waits and on which workers, at one moment."""

    by_reason: dict[WaitReason, ReasonSummary] = attrs.Factory(dict)
    long_waits: list[LongWait] = attrs.Factory(list)
    workers: Counter[WorkerCondition] = attrs.Factory(Counter)
    # Of the usable workers, in total and of the one that has the most.
    free_cores: float = 0.0
    largest_free_cores: float = 0.0
    runs: Counter[RunPhase] = attrs.Factory(Counter)
    # The oldest run whose start command was not answered, and the time since it was issued.
    oldest_starting_ms: float = 0.0
    oldest_starting: Run | None = None
    # The runs on silent workers for which tasks wait.
    awaited: AwaitedSummary = attrs.Factory(AwaitedSummary)
    # The jobs of which nothing has run for longer than the threshold.
    idle: IdleSummary = attrs.Factory(IdleSummary)

    @property
    def steps(self) -> int:
        """Return the number of waiting steps."""
        return sum(entry.steps for entry in self.by_reason.values())

    @property
    def tasks(self) -> int:
        """Return the number of waiting tasks."""
        return sum(entry.tasks for entry in self.by_reason.values())

    @property
    def oldest(self) -> tuple[WaitReason, ReasonSummary] | None:
        """Return the reason of the step that has waited longest, or None if no step waits."""
        return max(self.by_reason.items(), key=lambda item: item[1].oldest_ms, default=None)


def step_id(key: StepKey) -> str:
    """Return the name of a step in log lines, which begins with the job's id."""
    return f"{key.job_id}.{key.occurrence}.{key.step}"


def waited_ms(step: StepState, now: float) -> float:
    """Return for how long tasks of a step have waited."""
    since_ms = step.waiting_since_ms if step.waiting_since_ms is not None else step.ready_since_ms
    return now - since_ms


def count_tickets(step: StepState, now: float) -> TicketCounts:
    """Return how many workers the adviser approved for a step, and how many tickets are valid."""
    approvals = step.approvals
    valid = approvals.count_valid_tickets(now)
    return TicketCounts(valid, len(approvals.tickets), len(approvals.refused_workers))


def find_wait_reason(
    step: StepState, state: CellState, worker_index: WorkerIndex, now: float
) -> WaitReason:
    """Return why tasks of a step wait, as of the last scheduling round."""
    if _waits_for_evacuated(step, state, worker_index):
        return WaitReason.DATA_CENTRE_EMPTIED
    if step.wait_reason is not WaitReason.NO_STARTABLE_WORKER:
        return step.wait_reason or WaitReason.NOT_CONSIDERED
    if not worker_index.has_usable_worker(state.service_of(step.job), step.spec.label):
        return WaitReason.NO_USABLE_WORKER
    return step.approvals.reason_without_ticket(now + state.start_delay.expected_ms)


def _waits_for_evacuated(step: StepState, state: CellState, worker_index: WorkerIndex) -> bool:
    """Return whether a step has no usable worker because data centres are being emptied."""
    if not state.evacuations.data_centres:
        return False
    if step.wait_reason not in REASONS_WITHOUT_USABLE_WORKER:
        return False
    service, label = state.service_of(step.job), step.spec.label
    approved = [state.workers[w] for w in step.approvals.tickets if w in state.workers]
    if approved:
        return all(worker.is_evacuated for worker in approved)
    if worker_index.has_usable_worker(service, label):
        return False
    return any(
        worker.is_evacuated and worker.info.service == service and worker.info.has_label(label)
        for worker in state.workers.values()
    )


def summarize_waiting(
    state: CellState, now: float, long_wait_ms: float = float("inf")
) -> WaitingSummary:
    """Return what waits now; takes time in proportion to the ready steps, workers and runs."""
    summary = WaitingSummary(awaited=state.awaited_runs.summarize(now))
    worker_index = WorkerIndex(state.workers.values(), now)
    for step in state.ready_steps.values():
        if step.waiting_count:
            reason = find_wait_reason(step, state, worker_index, now)
            duration_ms = waited_ms(step, now)
            summary.by_reason.setdefault(reason, ReasonSummary()).add(step, duration_ms)
            if duration_ms > long_wait_ms:
                summary.long_waits.append(LongWait(step.key, reason, duration_ms))
            _add_idle(summary, step, reason, state, now, long_wait_ms)
    free_cpu = [0]
    for worker in state.workers.values():
        condition = worker_condition(worker, now)
        summary.workers[condition] += 1
        if condition is WorkerCondition.USABLE:
            free_cpu.append(worker.free_cpu)
        for run in worker.runs.values():
            _add_run(summary, run, now)
    summary.free_cores = sum(free_cpu) / CPU_UNITS_PER_CORE
    summary.largest_free_cores = max(free_cpu) / CPU_UNITS_PER_CORE
    return summary


def _add_idle(
    summary: WaitingSummary,
    step: StepState,
    reason: WaitReason,
    state: CellState,
    now: float,
    long_wait_ms: float,
) -> None:
    idle_ms = now - step.job.idle_since_ms if step.job.idle_since_ms is not None else 0.0
    if idle_ms > long_wait_ms and not state.is_team_half_used(step.job):
        summary.idle.add(step, reason, idle_ms)


def _add_run(summary: WaitingSummary, run: Run, now: float) -> None:
    summary.runs[run.phase] += 1
    if run.phase is not RunPhase.STARTING:
        return
    # A run that was not confirmed has made no progress, so this is when it was issued.
    age_ms = now - run.decided_ms
    if summary.oldest_starting is None or age_ms > summary.oldest_starting_ms:
        summary.oldest_starting, summary.oldest_starting_ms = run, age_ms
