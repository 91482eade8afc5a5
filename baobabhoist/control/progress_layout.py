"""Spread the progress of jobs over rows that the store accepts.

The progress of most jobs fits into one row. A job that outgrows it is split: each range of tasks
gets a row of its own, and the main row keeps only the phase. A task never moves to another row, so
rows that are written by different calls fit together.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import FINAL_PHASES, JobPhase
from baobabhoist.cell.progress_rows import JobProgress, StepProgress
from baobabhoist.control.row_schema import (
    PROGRESS_TABLE,
    job_id_of_progress,
    progress_part_key,
    progress_row_key,
)
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import RowKey

log = logging.getLogger(__name__)

TASKS_PER_ROW = 64
# A job is split once its row is longer than this share of the limit.
SPLIT_SHARE = 0.75

# The values of rows to write, in this order; those of rows to remove are None.
RowChanges = dict[RowKey, bytes | None]


class ProgressLayout:
    """Decide which rows hold the progress of each job."""

    def __init__(self, row_max_bytes: int) -> None:
        self._row_max_bytes = row_max_bytes
        # The rows of the split jobs besides the main one, and the values last stored.
        self._parts: defaultdict[str, set[RowKey]] = defaultdict(set)
        self._stored_values: dict[RowKey, int] = {}
        # Rows whose checkpoints were left out, so that each is logged once.
        self._shortened: set[RowKey] = set()

    def load(self, keys: Iterable[RowKey]) -> None:
        """Learn which rows are stored."""
        for key in keys:
            if key.table == PROGRESS_TABLE and key != progress_row_key(job_id_of_progress(key)):
                self._parts[job_id_of_progress(key)].add(key)

    def changes(self, job_id: str, progress: JobProgress) -> RowChanges:
        """Return the changes that store the progress of a job."""
        main_key = progress_row_key(job_id)
        if progress.phase in FINAL_PHASES:
            removed = dict.fromkeys(self._parts.get(job_id, ()))
            return {main_key: progress_rows.encode(progress), **removed}
        if job_id not in self._parts:
            main = progress_rows.encode(progress)
            if len(main) <= SPLIT_SHARE * self._row_max_bytes:
                return {main_key: main}
        changes: RowChanges = {}
        for key, steps in self._split(job_id, progress).items():
            value = self._encode_part(key, progress.phase, steps)
            if self._stored_values.get(key) != hash(value):
                changes[key] = value
        changes[main_key] = progress_rows.encode(JobProgress(progress.phase))
        return changes

    def record_stored(self, changes: Mapping[RowKey, bytes | None]) -> None:
        """Record that changes are stored."""
        for key, value in changes.items():
            job_id = job_id_of_progress(key)
            if key not in self._parts.get(job_id, ()):
                continue
            if value is not None:
                self._stored_values[key] = hash(value)
            else:
                self._forget_part(key)

    def record_unknown(self, changes: Iterable[RowKey]) -> None:
        """Record that changes may be stored or not, so that their rows are written again."""
        for key in changes:
            self._stored_values.pop(key, None)

    def keys_of(self, job_id: str) -> list[RowKey]:
        """Return the keys of all rows of a job."""
        return [progress_row_key(job_id), *self._parts.get(job_id, ())]

    def forget_job(self, job_id: str) -> None:
        """Forget the rows of a job, which have been removed."""
        for key in self.keys_of(job_id)[1:]:
            self._forget_part(key)

    def _forget_part(self, key: RowKey) -> None:
        job_id = job_id_of_progress(key)
        self._parts[job_id].discard(key)
        if not self._parts[job_id]:
            del self._parts[job_id]
        self._stored_values.pop(key, None)
        self._shortened.discard(key)

    def _split(self, job_id: str, progress: JobProgress) -> dict[RowKey, list[StepProgress]]:
        """Return the steps in each part, also in those that have become empty."""
        parts: dict[RowKey, list[StepProgress]] = {key: [] for key in self._parts[job_id]}
        for step in progress.steps:
            for first, part in step.split(TASKS_PER_ROW).items():
                key = progress_part_key(job_id, step.occurrence, step.step, first)
                parts.setdefault(key, []).append(part)
        self._parts[job_id].update(parts)
        return parts

    def _encode_part(self, key: RowKey, phase: JobPhase, steps: list[StepProgress]) -> bytes:
        value = progress_rows.encode(JobProgress(phase, tuple(steps)))
        if len(value) <= self._row_max_bytes:
            return value
        if key not in self._shortened:
            self._shortened.add(key)
            emit(log, Event.CHECKPOINTS_NOT_STORED, row=key.key, size=len(value))
        without = (attrs.evolve(step, checkpoints={}) for step in steps)
        return progress_rows.encode(JobProgress(phase, tuple(without)))
