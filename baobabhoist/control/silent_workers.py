"""Store which workers are silent, so that the next owner does not wait for their leases anew.

While the stored row may name a worker, nobody extends its lease nor sends it a start: from when a
write that names it may have been stored until one without it is confirmed, and for a new owner
from its takeover on. The times in the row therefore hold for every later owner.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

import attrs

from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.progress_layout import RowChanges
from baobabhoist.control.silent_workers_row import (
    SILENT_WORKERS_ROW_KEY,
    decode_silent_workers,
    encode_silent_workers,
    limit_silent_workers,
)
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import StoredRow

log = logging.getLogger(__name__)

# A worker that a new owner has not heard for this long since it opens sessions counts as silent.
SILENT_AFTER_TAKEOVER_MS = 1_000.0


class LeaseGate(Protocol):
    """Tell whether a lease may be extended elsewhere, and let it be extended again."""

    def may_extend_elsewhere(self, worker_id: str) -> bool:
        """Return whether another instance may extend a worker's lease without being told to."""

    def resume(self, worker_id: str) -> None:
        """Let the lease of a worker that has answered be extended again."""


class ClosedGate:
    """Stand for an owner without sessions, which extends no lease."""

    def may_extend_elsewhere(self, worker_id: str) -> bool:
        """Return that nobody else extends the lease."""
        return False

    def resume(self, worker_id: str) -> None:
        """Resume nothing."""


@attrs.define(eq=False)
class SilentWorkers:
    """Decide which workers the row names; its times are on the store's clock, in ms."""

    _clock: StoreClock
    _row_max_bytes: int
    gate: LeaseGate = attrs.Factory(ClosedGate)
    # The workers that the stored row may name, and whether it may name others as well.
    _named: dict[str, SilentWorker] = attrs.Factory(dict)
    _may_name_others: bool = False
    # The content of the last write and of the stored row; None if that is not known.
    _sent: dict[str, SilentWorker] = attrs.Factory(dict)
    _stored: dict[str, SilentWorker] | None = attrs.Factory(dict)
    # Workers that have answered while the row may name them.
    _answered: set[str] = attrs.Factory(set)
    _opened_ms: float = float("-inf")

    # A new owner.

    def load(self, rows: Sequence[StoredRow], now: float) -> None:
        """Continue from the row that the earlier owners left."""
        self.record_opened(now)
        for row in rows:
            self._load_row(row)
        if not self._may_name_others:
            self._stored = dict(self._named)

    def record_opened(self, now: float) -> None:
        """Count from now how long workers have not been heard, because sessions are opened now."""
        self._opened_ms = now

    def _load_row(self, row: StoredRow) -> None:
        try:
            loaded = decode_silent_workers(row.value or b"")
        except ValueError as exc:
            self._record_unreadable(row, str(exc))
            return
        self._named.update(loaded.workers)
        for worker_id in loaded.unreadable:
            self._record_unreadable(row, f"the entry of worker {worker_id!r} is malformed")

    def _record_unreadable(self, row: StoredRow, detail: str) -> None:
        # Another owner may be able to read it, so it has to be replaced first.
        self._may_name_others, self._stored = True, None
        emit(log, Event.ROW_UNREADABLE, table=row.key.table, row=row.key.key, detail=detail)

    def inherited(self) -> dict[str, SilentWorker]:
        """Return the workers that the row names, with times of the local clock."""
        return {
            worker_id: SilentWorker(
                self._clock.to_local_ms(silent.lease_expiry_ms),
                self._clock.to_local_ms(silent.longest_expiry_ms),
            )
            for worker_id, silent in self._named.items()
        }

    # Sessions.

    def may_name(self, worker_id: str) -> bool:
        """Return whether the stored row may name a worker, so that its lease is not extended."""
        return self._may_name_others or worker_id in self._named

    def record_answer(self, worker_id: str) -> bool:
        """Record that a worker answers; return whether its lease may be extended at once.

        Otherwise the gate is told to resume it once a write without the worker is confirmed.
        """
        if not self.may_name(worker_id):
            return True
        self._answered.add(worker_id)
        return False

    def record_silence(self, worker_id: str) -> None:
        """Record that a worker does not answer any more."""
        self._answered.discard(worker_id)

    # Writes.

    def is_write_due(self, workers: Mapping[str, WorkerState], now: float) -> bool:
        """Return whether the stored row has to be replaced."""
        return self._choose(workers.values(), now) != self._stored

    def changes(self, workers: Mapping[str, WorkerState], now: float) -> RowChanges:
        """Return the changes of the row; from now on it may name the workers in them."""
        wanted = self._choose(workers.values(), now)
        if wanted == self._stored:
            return {}
        for worker_id in wanted:
            workers[worker_id].lease.is_suspended = True
        self._named.update(wanted)
        self._sent, self._stored = wanted, None
        return {SILENT_WORKERS_ROW_KEY: encode_silent_workers(wanted)}

    def record_stored(self) -> None:
        """Record that the last changes are stored; let the leases of the others be extended."""
        self._named, self._stored = dict(self._sent), dict(self._sent)
        self._may_name_others = False
        resumed = self._answered - self._named.keys()
        self._answered -= resumed
        for worker_id in resumed:
            self.gate.resume(worker_id)

    def _choose(self, workers: Iterable[WorkerState], now: float) -> dict[str, SilentWorker]:
        """Return the workers that the row should name."""
        kept: dict[str, SilentWorker] = {}
        added: dict[str, SilentWorker] = {}
        for worker in workers:
            worker_id = worker.worker_id
            if not worker.runs or worker_id in self._answered:
                continue
            if worker_id in self._named:
                kept[worker_id] = self._named[worker_id]
            elif self._is_silent(worker, now):
                added[worker_id] = self._describe(worker)
        return limit_silent_workers(kept | added, self._row_max_bytes)

    def _is_silent(self, worker: WorkerState, now: float) -> bool:
        """Return whether nobody hears a worker, nor may extend its lease."""
        is_unheard = worker.last_heard_ms == float("-inf")
        is_missed = is_unheard and now - self._opened_ms >= SILENT_AFTER_TAKEOVER_MS
        if not (worker.lease.is_suspended or is_missed):
            return False
        has_expiry = math.isfinite(worker.lease_expiry_ms())
        return has_expiry and not self.gate.may_extend_elsewhere(worker.worker_id)

    def _describe(self, worker: WorkerState) -> SilentWorker:
        return SilentWorker(
            self._to_store_ms(worker.lease_expiry_ms()),
            self._to_store_ms(worker.last_run_expiry_ms()),
        )

    def _to_store_ms(self, local_ms: float) -> int:
        return max(0, math.ceil(self._clock.to_store_ms(local_ms)))
