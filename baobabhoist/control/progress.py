"""Store runs before they are ordered, and ends before their workers may forget them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from baobabhoist.cell import progress_rows
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.clock import boot_ms
from baobabhoist.control.rowmap import (
    BEAT_ROW,
    LEARNED_ROW,
    OWNER_ROW,
    cancel_row,
    encode_speeds,
    job_row,
    progress_row,
)
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.rows import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowsTxn,
    StoreError,
)

log = logging.getLogger(__name__)

# Starts and ends of this time go into one write.
BATCH_S = 0.015
RETRY_S = 0.15
# The store takes at most 100 entries a call: the claim, and two for each row.
ROWS_MAX = 45
FLUSH_TRIES = 3
# What was learned of workers is stored with other progress, at most this often.
LEARNED_INTERVAL_MS = 2_000.0


class ProgressWriter:
    """Own all writes under one claim; each one fails once another owner has the cell."""

    def __init__(self, store: RowStore, token: int, on_deposed: Callable[[str], None]) -> None:
        # When the last beat that the store confirmed was sent, on the local clock.
        self.confirmed_ms = boot_ms()
        self.on_acked: Callable[[str], None] = lambda worker_id: None
        self._store = store
        self._token = token
        self._on_deposed = on_deposed
        self._wake = asyncio.Event()
        # What may be sent once the progress that it belongs to is stored.
        self._unsent: list[Callable[[], None]] = []
        self._beats = 0
        self._learned_due_ms = boot_ms()
        # A write that the store carries out late must not undo a newer one, so each write
        # expects the version of every row that it replaces.
        self._versions: dict[RowKey, int] = {}

    def loaded(self, versions: dict[RowKey, int]) -> None:
        """Take over the versions of the rows as they were loaded."""
        self._versions = versions

    def wake(self) -> None:
        """Write soon."""
        self._wake.set()

    def when_stored(self, send: Callable[[], None]) -> None:
        """Call back once the progress of this moment is stored."""
        self._unsent.append(send)
        self._wake.set()

    async def run(self, cell: CellScheduler) -> None:
        """Write what changed until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if not await self._flush(cell):
                self._wake.set()
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(BATCH_S)

    async def beat(self) -> bool:
        """Show that the owner lives; tell whether the store confirmed it."""
        self._beats += 1
        value = str(self._beats).encode()
        return await self._commit({BEAT_ROW: value}, {}) is not None

    async def release(self, claim: bytes, cell: CellScheduler | None) -> bool:
        """Give the claim up after storing all progress; tell whether that is stored."""
        if cell is not None:
            await self._flush_all(cell)
        return await self._commit({OWNER_ROW: claim}, {}) is not None

    async def remove_job(self, job_id: str) -> None:
        """Remove the rows of a job that nobody asks for any more."""
        try:
            removed = (job_row(job_id), cancel_row(job_id))
            await self._store.commit(RowsTxn(removes=removed))
            await self._store.commit(RowsTxn(removes=(progress_row(job_id),)))
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=job_id, detail=exc)

    async def _flush_all(self, cell: CellScheduler) -> bool:
        """Store all progress; a try may fail because an earlier write was cut short."""
        for _ in range(FLUSH_TRIES):
            if await self._flush(cell):
                return True
        return False

    async def _flush(self, cell: CellScheduler) -> bool:
        seen = cell.last_seen_ends()
        lifetimes = {w.worker_id: w.started_unix_ms for w in cell.state.workers.values()}
        dirty = cell.take_unsaved_progress()
        unsent, self._unsent = self._unsent, []
        puts = {progress_row(i): progress_rows.encode(p) for i, p in dirty.items()}
        if boot_ms() > self._learned_due_ms and cell.state.speeds.workers:
            self._learned_due_ms = boot_ms() + LEARNED_INTERVAL_MS
            puts[LEARNED_ROW] = encode_speeds(cell.state.speeds)
        written = False
        try:
            written = await self._write(puts)
        finally:
            # Also when this task is cancelled, because another one then writes the rest.
            if not written:
                cell.state.dirty.update(dirty)
                self._unsent = unsent + self._unsent
        if not written:
            return False
        for send in unsent:
            send()
        self._acknowledge(cell, seen, lifetimes)
        return True

    async def _write(self, puts: dict[RowKey, bytes]) -> bool:
        items = list(puts.items())
        for first in range(0, len(items), ROWS_MAX):
            chunk = dict(items[first : first + ROWS_MAX])
            expected = {key: self._versions.get(key, 0) for key in chunk}
            committed = await self._commit(chunk, expected)
            if committed is None:
                return False
            self._versions.update(dict.fromkeys(chunk, committed.version))
        return True

    def _acknowledge(
        self, cell: CellScheduler, seen: dict[str, int], lifetimes: dict[str, int]
    ) -> None:
        for worker_id, number in seen.items():
            worker = cell.state.workers.get(worker_id)
            if worker is None or worker.started_unix_ms != lifetimes[worker_id]:
                continue
            if number > worker.last_acked_end:
                worker.last_acked_end = number
                self.on_acked(worker_id)

    async def _commit(
        self, puts: dict[RowKey, bytes], expected: dict[RowKey, int]
    ) -> RowsCommitted | None:
        sent_ms = boot_ms()
        txn = RowsTxn({OWNER_ROW: self._token, **expected}, puts)
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=f"{len(puts)} rows of progress", detail=exc)
            return None
        if isinstance(outcome, RowsConflict):
            self._conflicted(outcome, expected)
            return None
        if BEAT_ROW in puts:
            self.confirmed_ms = max(self.confirmed_ms, sent_ms)
        return outcome

    def _conflicted(self, conflict: RowsConflict, expected: dict[RowKey, int]) -> None:
        """Tell a lost claim from an own earlier write whose answer was lost."""
        if conflict.version_of(OWNER_ROW) != self._token:
            self._on_deposed("the claim in the store has another version")
            return
        for key in expected:
            self._versions[key] = conflict.version_of(key)
