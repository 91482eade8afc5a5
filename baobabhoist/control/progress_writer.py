"""Store runs before they are started, and ends before workers may discard them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from baobabhoist.cell import progress_rows
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_schema import (
    HEARTBEAT_ROW_KEY,
    OWNER_ROW_KEY,
    cancel_row_key,
    encode_speeds,
    job_row_key,
    progress_row_key,
)
from baobabhoist.control.usage_row import USAGE_ROW_KEY, UsageRow, encode_usage
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowTransaction,
    StoreError,
)

log = logging.getLogger(__name__)

# Starts and ends within this interval are batched into one write.
BATCH_INTERVAL_S = 0.015
RETRY_INTERVAL_S = 0.15
# The store accepts at most 100 entries per call; a write has one for the claim and two per row.
MAX_ROWS_PER_WRITE = 45
RELEASE_FLUSH_ATTEMPTS = 3
# Without a stored release, other instances notice only by the missing heartbeats.
RELEASE_ATTEMPTS = 3
# The speed estimates are stored along with progress, at most once per interval.
SPEEDS_INTERVAL_MS = 4_000.0
# So is the past use of teams.
USAGE_INTERVAL_MS = 5_000.0


class ProgressWriter:
    """Make all writes under one claim; they fail once another instance owns the cell."""

    def __init__(
        self, store: RowStore, token: int, on_ownership_lost: Callable[[str], None]
    ) -> None:
        # When the last confirmed heartbeat was sent, on the local clock.
        self.heartbeat_confirmed_ms = monotonic_ms()
        self.on_end_acked: Callable[[str], None] = lambda worker_id: None
        # Returns the time on the store's clock, in ms.
        self.store_now_ms: Callable[[], int] = lambda: int(monotonic_ms())
        self._store = store
        self._token = token
        self._on_ownership_lost = on_ownership_lost
        self._flush_requested = asyncio.Event()
        # Callbacks that send commands, to be called once the progress they depend on is stored.
        self._deferred_sends: list[Callable[[], None]] = []
        self._heartbeat_count = 0
        self._next_speeds_write_ms = monotonic_ms()
        self._next_usage_write_ms = monotonic_ms() + USAGE_INTERVAL_MS
        # A write that the store applies late must not undo a newer one, so each write is
        # conditional on the version of every row that it replaces.
        self._versions: dict[RowKey, int] = {}

    def set_versions(self, versions: dict[RowKey, int]) -> None:
        """Set the versions of the rows, as loaded from the store."""
        self._versions = versions

    def request_flush(self) -> None:
        """Request a write of the changed progress in the background."""
        self._flush_requested.set()

    def request_usage_flush(self, cell: CellScheduler) -> None:
        """Request a write if the past use of teams has not been stored lately."""
        if self._is_usage_due(cell):
            self._flush_requested.set()

    def call_when_stored(self, send: Callable[[], None]) -> None:
        """Call `send` once all progress made so far is stored."""
        self._deferred_sends.append(send)
        self._flush_requested.set()

    async def run(self, cell: CellScheduler) -> None:
        """Write changed progress until cancelled."""
        while True:
            await self._flush_requested.wait()
            self._flush_requested.clear()
            if not await self._flush(cell):
                self._flush_requested.set()
                await asyncio.sleep(RETRY_INTERVAL_S)
            await asyncio.sleep(BATCH_INTERVAL_S)

    async def write_heartbeat(self) -> bool:
        """Write a heartbeat; return whether the store confirmed it."""
        self._heartbeat_count += 1
        value = str(self._heartbeat_count).encode()
        return await self._commit({HEARTBEAT_ROW_KEY: value}, {}) is not None

    async def release(self, claim: bytes, cell: CellScheduler | None) -> bool:
        """Store all progress and release the claim; return whether the release is stored."""
        if cell is not None:
            self._next_usage_write_ms = monotonic_ms()
            await self._flush_all(cell)
        for _ in range(RELEASE_ATTEMPTS):
            if await self._commit({OWNER_ROW_KEY: claim}, {}) is not None:
                return True
        return False

    async def remove_job(self, job_id: str) -> None:
        """Remove the rows of a job whose retention period has passed."""
        try:
            removed = (job_row_key(job_id), cancel_row_key(job_id))
            await self._store.commit(RowTransaction(removes=removed))
            await self._store.commit(RowTransaction(removes=(progress_row_key(job_id),)))
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=job_id, detail=exc)

    async def _flush_all(self, cell: CellScheduler) -> bool:
        """Store all progress; retry, because an earlier write may have been interrupted."""
        for _ in range(RELEASE_FLUSH_ATTEMPTS):
            if await self._flush(cell):
                return True
        return False

    async def _flush(self, cell: CellScheduler) -> bool:
        seen_ends = cell.last_seen_ends()
        incarnations = {w.worker_id: w.started_unix_ms for w in cell.state.workers.values()}
        dirty = cell.take_unsaved_progress()
        deferred_sends, self._deferred_sends = self._deferred_sends, []
        puts = {progress_row_key(i): progress_rows.encode(p) for i, p in dirty.items()}
        if monotonic_ms() > self._next_speeds_write_ms and cell.state.speeds.workers:
            self._next_speeds_write_ms = monotonic_ms() + SPEEDS_INTERVAL_MS
            cell.state.speeds.forget_workers_except(cell.state.workers)
            puts |= encode_speeds(cell.state.speeds)
        if self._is_usage_due(cell):
            self._next_usage_write_ms = monotonic_ms() + USAGE_INTERVAL_MS
            use_s = cell.state.shares.past_use.take_changed()
            puts[USAGE_ROW_KEY] = encode_usage(UsageRow(self.store_now_ms(), use_s))
        is_written = False
        try:
            is_written = await self._write(puts)
        finally:
            # This also runs on cancellation, because another task then writes the rest.
            if not is_written:
                cell.state.dirty.update(dirty)
                if USAGE_ROW_KEY in puts:
                    cell.state.shares.past_use.has_changed = True
                self._deferred_sends = deferred_sends + self._deferred_sends
        if not is_written:
            return False
        for send in deferred_sends:
            send()
        self._acknowledge(cell, seen_ends, incarnations)
        return True

    def _is_usage_due(self, cell: CellScheduler) -> bool:
        past_use = cell.state.shares.past_use
        return past_use.has_changed and monotonic_ms() >= self._next_usage_write_ms

    async def _write(self, puts: dict[RowKey, bytes]) -> bool:
        items = list(puts.items())
        for first in range(0, len(items), MAX_ROWS_PER_WRITE):
            chunk = dict(items[first : first + MAX_ROWS_PER_WRITE])
            expected = {key: self._versions.get(key, 0) for key in chunk}
            committed = await self._commit(chunk, expected)
            if committed is None:
                return False
            self._versions.update(dict.fromkeys(chunk, committed.version))
        return True

    def _acknowledge(
        self, cell: CellScheduler, seen_ends: dict[str, int], incarnations: dict[str, int]
    ) -> None:
        for worker_id, end_number in seen_ends.items():
            worker = cell.state.workers.get(worker_id)
            if worker is None or worker.started_unix_ms != incarnations[worker_id]:
                continue
            if end_number > worker.last_acked_end:
                worker.last_acked_end = end_number
                self.on_end_acked(worker_id)

    async def _commit(
        self, puts: dict[RowKey, bytes], expected: dict[RowKey, int]
    ) -> RowsCommitted | None:
        sent_ms = monotonic_ms()
        txn = RowTransaction({OWNER_ROW_KEY: self._token, **expected}, puts)
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=f"{len(puts)} rows of progress", detail=exc)
            return None
        if isinstance(outcome, RowsConflict):
            self._handle_conflict(outcome, expected)
            return None
        if HEARTBEAT_ROW_KEY in puts:
            self.heartbeat_confirmed_ms = max(self.heartbeat_confirmed_ms, sent_ms)
        return outcome

    def _handle_conflict(self, conflict: RowsConflict, expected: dict[RowKey, int]) -> None:
        """Distinguish a lost claim from an earlier write of this owner that got no answer."""
        if conflict.version_of(OWNER_ROW_KEY) != self._token:
            self._on_ownership_lost("the claim in the store has another version")
            return
        for key in expected:
            self._versions[key] = conflict.version_of(key)
