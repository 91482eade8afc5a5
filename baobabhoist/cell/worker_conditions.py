"""Classify the workers of a cell by whether, and why not, they accept tasks."""

from __future__ import annotations

import enum

from baobabhoist.cell.workers import REPORT_TIMEOUT_MS, WorkerState


class WorkerCondition(enum.StrEnum):
    """List why a worker accepts no tasks; if several causes apply, the first one counts."""

    USABLE = "usable"
    UNLISTED = "unlisted"
    DRAINING = "draining"
    # The worker's data centre is being emptied.
    EVACUATED = "evacuated"
    # The worker has not reported to this owner, or not for the report timeout, or is silent.
    SILENT = "silent"
    # The directory entry is that of an earlier process.
    RESTARTED = "restarted"
    # A worker on probation that already runs its one task.
    ON_PROBATION = "on_probation"
    QUARANTINED = "quarantined"
    # The worker refused a start or did not answer it.
    BACKED_OFF = "backed_off"
    # The worker has runs to stop that this owner does not track.
    STOPPING_ORPHANS = "stopping_orphans"
    # A task that may crash its worker has just started there, alone.
    ISOLATED = "isolated"
    OTHER = "other"


def worker_condition(worker: WorkerState, now: float) -> WorkerCondition:
    """Return the condition of a worker; it is USABLE exactly if `can_start_tasks` holds."""
    health = worker.health
    checks = (
        (worker.can_start_tasks(now), WorkerCondition.USABLE),
        (not worker.is_listed, WorkerCondition.UNLISTED),
        (worker.info.is_draining, WorkerCondition.DRAINING),
        (worker.is_evacuated, WorkerCondition.EVACUATED),
        (not worker.has_accepted_token, WorkerCondition.SILENT),
        (worker.lease.is_suspended, WorkerCondition.SILENT),
        (now - worker.last_report_ms >= REPORT_TIMEOUT_MS, WorkerCondition.SILENT),
        (worker.is_entry_outdated, WorkerCondition.RESTARTED),
        (now < health.quarantined_until_ms, WorkerCondition.QUARANTINED),
        (not health.accepts_task(now, len(worker.runs)), WorkerCondition.ON_PROBATION),
        (now < worker.backoff_until_ms, WorkerCondition.BACKED_OFF),
        (bool(worker.orphan_runs), WorkerCondition.STOPPING_ORPHANS),
        (worker.is_isolated, WorkerCondition.ISOLATED),
    )
    found = (condition for applies, condition in checks if applies)
    return next(found, WorkerCondition.OTHER)
