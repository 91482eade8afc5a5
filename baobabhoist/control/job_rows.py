"""Apply the rows of jobs and cancellations to a cell, in whatever order they are heard of."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from baobabhoist.cell.jobs import JobState
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.row_schema import CANCEL_SUFFIX
from baobabhoist.control.stored_rows import add_stored_job
from baobabhoist.store.row_store import StoredRow

# Removed jobs that are remembered, because a table may have been read shortly before, and
# cancelled jobs whose rows are not known yet.
MAX_REMEMBERED_JOBS = 10_000


@attrs.define
class JobRows:
    """Remember what rows that are read later must not undo."""

    _clock: StoreClock
    # The versions of the rows of removed jobs, by job id.
    _removed_versions: dict[str, int] = attrs.Factory(dict)
    # Jobs that were cancelled before this owner had their rows, oldest first.
    _early_cancellations: dict[str, None] = attrs.Factory(dict)

    @property
    def early_cancellation_count(self) -> int:
        """Return how many cancellations wait for the rows of their jobs."""
        return len(self._early_cancellations)

    def add(self, cell: CellScheduler, job_id: str, value: bytes, version: int) -> bool:
        """Add a stored job, unless its row was removed since; return whether it is new."""
        if version <= self._removed_versions.get(job_id, 0):
            return False
        return add_stored_job(cell, job_id, value, version, self._clock)

    def take_early_cancellation(self, job_id: str) -> bool:
        """Return, and forget, whether a job was cancelled before its row was known."""
        was_cancelled = job_id in self._early_cancellations
        self._early_cancellations.pop(job_id, None)
        return was_cancelled

    def cancel(self, cell: CellScheduler | None, job_id: str) -> bool:
        """Cancel a job, now or once its row is known; return whether that changed the cell."""
        if cell is not None and cell.cancel_job(job_id, monotonic_ms()):
            return True
        if job_id not in self._removed_versions:
            self._early_cancellations[job_id] = None
            _forget_oldest(self._early_cancellations)
        return False

    def remove(self, cell: CellScheduler, job: JobState) -> None:
        """Remove a job whose rows are gone."""
        self._removed_versions[job.job_id] = job.accepted.version
        _forget_oldest(self._removed_versions)
        cell.remove_job(job.job_id)


def cancellations_last(rows: Sequence[StoredRow]) -> list[StoredRow]:
    """Return rows with the cancellations last, because they refer to jobs that must be known."""
    return sorted(rows, key=lambda row: row.key.key.endswith(CANCEL_SUFFIX))


def _forget_oldest(remembered: dict[str, int] | dict[str, None]) -> None:
    if len(remembered) > MAX_REMEMBERED_JOBS:
        del remembered[next(iter(remembered))]
