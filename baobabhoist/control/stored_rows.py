"""Apply rows of the store to a cell; a row that cannot be applied is logged and left out."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterable, Sequence

from baobabhoist.cell import progress_rows
from baobabhoist.cell.progress_rows import JobProgress, merge_progress
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.clock import StoreClock, monotonic_ms, unix_ms
from baobabhoist.control.row_schema import (
    JOBS_TABLE,
    decode_job,
    decode_speeds,
    job_id_of_progress,
    progress_row_key,
)
from baobabhoist.control.usage_row import decode_usage
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import StoredRow

log = logging.getLogger(__name__)

# Many more than are accepted at once; a job that repeats its steps may have some more due later.
MAX_STORED_DUE_TASKS = 1_000_000


def add_stored_job(
    cell: CellScheduler, job_id: str, value: bytes, version: int, clock: StoreClock
) -> bool:
    """Add a job from the value of its row; return whether it is new to the cell."""
    try:
        accepted = decode_job(job_id, value, version)
    except ValueError as exc:
        _log_unreadable(JOBS_TABLE, job_id, exc)
        return False
    try:
        due_tasks = accepted.spec.count_due_tasks(unix_ms())
        if due_tasks > MAX_STORED_DUE_TASKS:
            raise ValueError(f"{due_tasks} tasks are due, more than an owner can hold")
        accepted_local_ms = clock.to_local_ms(accepted.accepted_ms)
        return cell.add_job(accepted, accepted_local_ms, monotonic_ms(), unix_ms())
    except Exception as exc:
        # One job must not end this owner, and the next ones after it.
        _log_unreadable(JOBS_TABLE, job_id, repr(exc))
        cell.remove_job(job_id)
        return False


def group_by_job(rows: Iterable[StoredRow]) -> dict[str, list[StoredRow]]:
    """Return the rows of progress by the job that they belong to."""
    by_job: defaultdict[str, list[StoredRow]] = defaultdict(list)
    for row in rows:
        by_job[job_id_of_progress(row.key)].append(row)
    return by_job


def restore_progress(
    cell: CellScheduler, job_id: str, rows: Sequence[StoredRow], now: float
) -> None:
    """Restore the progress of a job from its rows."""
    main_key = progress_row_key(job_id)
    try:
        stored = {r.key: progress_rows.decode(r.value) for r in rows if r.value is not None}
        main = stored.pop(main_key, None)
        progress = merge_progress(main, stored.values())
        _check_opened_tasks(cell, job_id, progress)
        cell.restore_job(job_id, progress, now)
    except Exception as exc:
        # One row must not end this owner, and the next ones after it. Without its progress the job
        # would run again what it has done.
        _log_unreadable(main_key.table, job_id, exc)
        cell.fail_job(job_id, now, "its progress can't be read")


def _check_opened_tasks(cell: CellScheduler, job_id: str, progress: JobProgress) -> None:
    """Raise ValueError if an owner can't hold the occurrences that a progress names."""
    job = cell.find_job(job_id)
    if job is None:
        return
    spec = job.accepted.spec
    opened = min(progress.occurrence_count, spec.occurrence_count)
    opened_tasks = opened * sum(step.count for step in spec.steps)
    if opened_tasks > MAX_STORED_DUE_TASKS:
        raise ValueError(f"{opened_tasks} tasks are open, more than an owner can hold")


def restore_speeds(cell: CellScheduler, rows: Sequence[StoredRow]) -> None:
    """Continue from the speed estimates that an earlier owner stored."""
    for row in rows:
        try:
            if row.value is not None:
                cell.state.speeds.add(decode_speeds(row.value))
        except ValueError as exc:
            _log_unreadable(row.key.table, row.key.key, exc)


def restore_usage(cell: CellScheduler, rows: Sequence[StoredRow], clock: StoreClock) -> None:
    """Continue from the past use that an earlier owner stored; without it, from none."""
    for row in rows:
        try:
            usage = decode_usage(row.value or b"")
        except ValueError as exc:
            _log_unreadable(row.key.table, row.key.key, exc)
            continue
        age_ms = clock.now_ms() - usage.stored_ms
        cell.state.shares.past_use.restore(usage.use_s, age_ms)
        emit(log, Event.PAST_USE_RESTORED, teams=len(usage.use_s), age_ms=age_ms)


def _log_unreadable(table: str, key: str, detail: Exception | str) -> None:
    emit(log, Event.ROW_UNREADABLE, table=table, row=key, detail=detail)
