"""Quarantine the workers that fail or stall, as long as they are few among those of a service."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from baobabhoist.cell.health import Failure
from baobabhoist.cell.jobs import TaskState
from baobabhoist.cell.state import CellState
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# A fault that many workers have in common must not leave the jobs without workers.
MAX_QUARANTINED_FRACTION = 0.25
# A task that failed on this many others is assumed to fail on all; one is enough if its job has
# used up its attempts.
MIN_OTHER_FAILING_WORKERS = 2


def record_failure(state: CellState, worker: WorkerState, task: TaskState, now: float) -> None:
    """Record a failed run and quarantine its worker if it fails what succeeds elsewhere."""
    worker.health.record_failure(Failure(task.step.job.job_id, task))
    for worker_id in task.step.failed_worker_ids:
        other = state.workers.get(worker_id)
        if other is not None:
            _revoke_unjustified_quarantine(state, other)
    _quarantine_if_failing(state, worker, now)


def record_refusal(state: CellState, worker: WorkerState, job_id: str, now: float) -> None:
    """Record a start that an unhealthy worker refused."""
    worker.health.record_failure(Failure(job_id))
    _quarantine_if_failing(state, worker, now)


def record_stall(state: CellState, worker: WorkerState, now: float) -> None:
    """Quarantine a worker with a stalled run."""
    _quarantine(state, worker, now, 0, "stalled")


def _quarantine_if_failing(state: CellState, worker: WorkerState, now: float) -> None:
    threshold = worker.health.failure_threshold
    if _count_attributable(state, worker, worker.health.failures.values()) >= threshold:
        _quarantine(state, worker, now, threshold, "failures")


def _quarantine(
    state: CellState, worker: WorkerState, now: float, required_failures: int, reason: str
) -> None:
    if _may_quarantine(state, worker) and worker.health.quarantine(now, required_failures):
        emit(log, Event.WORKER_SET_ASIDE, worker=worker.worker_id, reason=reason)


def _revoke_unjustified_quarantine(state: CellState, worker: WorkerState) -> None:
    health = worker.health
    if not health.is_on_probation or not health.required_failures:
        return
    count = _count_attributable(state, worker, health.quarantine_failures)
    if count < health.required_failures:
        health.revoke_quarantine()


def _count_attributable(state: CellState, worker: WorkerState, failures: Iterable[Failure]) -> int:
    """Return how many failures tell against the worker rather than against the jobs."""
    return sum(
        failure.task is None or not _fails_elsewhere(state, worker, failure.task)
        for failure in failures
    )


def _fails_elsewhere(state: CellState, worker: WorkerState, task: TaskState) -> bool:
    """Return whether a task failed on enough other workers that are not set aside.

    If no task of its step has succeeded yet, the failures of all count together.
    """
    step = task.step
    has_success = step.unfinished_count < len(step.tasks)
    failed_ids = task.failed_worker_ids if has_success else step.failed_worker_ids
    others = [state.workers.get(worker_id) for worker_id in failed_ids - {worker.worker_id}]
    count = sum(other is not None and not other.health.is_on_probation for other in others)
    return count >= (1 if step.job.is_final else MIN_OTHER_FAILING_WORKERS)


def _may_quarantine(state: CellState, worker: WorkerState) -> bool:
    """Return whether a worker may be quarantined besides those that are or are on probation."""
    if worker.health.is_on_probation:
        return True
    peers = [
        w for w in state.workers.values() if w.is_listed and w.info.service == worker.info.service
    ]
    restricted_count = sum(peer.health.is_on_probation for peer in peers)
    # One of two workers may be quarantined, but never the only one.
    allowed_count = max(1, int(MAX_QUARANTINED_FRACTION * len(peers))) if len(peers) > 1 else 0
    return restricted_count < allowed_count
