"""Store runs before they are started, and ends before workers may discard them."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.progress_layout import ProgressLayout, RowChanges
from baobabhoist.control.row_schema import (
    HEARTBEAT_ROW_KEY,
    OWNER_ROW_KEY,
    PROGRESS_TABLE,
    cancel_row_key,
    encode_speeds,
    job_id_of_progress,
    job_row_key,
)
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.control.silent_workers_row import SILENT_WORKERS_ROW_KEY
from baobabhoist.control.usage_row import USAGE_ROW_KEY, UsageRow, encode_usage
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowTransaction,
    StoreError,
    StoreRejectedError,
)

log = logging.getLogger(__name__)

# Starts and ends within this interval are batched into one write.
BATCH_INTERVAL_S = 0.015
RETRY_INTERVAL_S = 0.15
# The store accepts at most 100 entries per call; a write has one for the claim and two per row.
MAX_ROWS_PER_WRITE = 45
# A link of 2.5 Mbit/s carries this, encoded, within the shortest timeout of a write. A larger row
# is written alone.
MAX_BYTES_PER_WRITE = 64_000
RELEASE_FLUSH_ATTEMPTS = 3
# The store accepts other writes if a heartbeat was confirmed this lately.
MAX_HEARTBEAT_AGE_MS = 2_500.0
# Without a stored release, other instances notice only by the missing heartbeats.
RELEASE_ATTEMPTS = 3
# The speed estimates are stored along with progress, at most once per interval.
SPEEDS_INTERVAL_MS = 4_000.0
# So is the past use of teams.
USAGE_INTERVAL_MS = 5_000.0


NO_EXPECTATIONS: Mapping[RowKey, int] = MappingProxyType({})


class WriteFailure(enum.Enum):
    """List why a write is not known to be stored."""

    # Refused, unanswered, or in conflict with an earlier write: it may succeed when repeated.
    NOT_STORED = "not_stored"
    # The store will never accept it.
    REJECTED = "rejected"


class ProgressWriter:
    """Make all writes under one claim; they fail once another instance owns the cell."""

    def __init__(
        self,
        store: RowStore,
        token: int,
        on_ownership_lost: Callable[[str], None],
        row_max_bytes: int,
        silent_workers: SilentWorkers,
    ) -> None:
        # The version of the newest write. It is higher than the claim's and lower than that of the
        # next claim, so it may serve as a fencing token.
        self.newest_token = token
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
        self._layout = ProgressLayout(row_max_bytes)
        self._silent_workers = silent_workers

    def set_versions(self, versions: dict[RowKey, int]) -> None:
        """Set the versions of the rows, as loaded from the store."""
        self._versions = versions
        self._layout.load(versions)

    def request_flush(self) -> None:
        """Request a write of the changed progress in the background."""
        self._flush_requested.set()

    def request_due_flush(self, cell: CellScheduler) -> None:
        """Request a write if the silent workers, or the past use of teams, should be stored."""
        is_due = self._silent_workers.is_write_due(cell.state.workers, monotonic_ms())
        if is_due or self._is_usage_due(cell):
            self._flush_requested.set()

    def call_when_stored(self, send: Callable[[], None]) -> None:
        """Call `send` once all progress made so far is stored."""
        self._deferred_sends.append(send)
        self._flush_requested.set()

    async def wait_until_stored(self, timeout_s: float) -> None:
        """Wait until all progress made so far is stored, or for a time."""
        stored = asyncio.Event()
        self.call_when_stored(stored.set)
        try:
            async with asyncio.timeout(timeout_s):
                await stored.wait()
        except TimeoutError:
            log.debug("the progress is not stored yet")

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
        return isinstance(await self._commit({HEARTBEAT_ROW_KEY: value}), RowsCommitted)

    async def release(self, claim: bytes, cell: CellScheduler | None) -> bool:
        """Store all progress and release the claim; return whether the release is stored."""
        if cell is not None:
            self._next_usage_write_ms = monotonic_ms()
            await self._flush_all(cell)
        for _ in range(RELEASE_ATTEMPTS):
            if isinstance(await self._commit({OWNER_ROW_KEY: claim}), RowsCommitted):
                return True
        return False

    async def remove_job(self, job_id: str) -> bool:
        """Remove the rows of a job that is no longer kept; return whether they are gone.

        The progress goes last: a job without progress would run again.
        """
        progress_keys = self._layout.keys_of(job_id)
        job_keys = (job_row_key(job_id), cancel_row_key(job_id))
        try:
            for keys in (job_keys, *_batches(dict.fromkeys(progress_keys))):
                await self._store.commit(RowTransaction(removes=tuple(keys)))
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=job_id, detail=exc)
            return False
        self._layout.forget_job(job_id)
        for key in progress_keys:
            self._versions.pop(key, None)
        return True

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
        # First, because workers that answer wait for it.
        changes = self._silent_workers.changes(cell.state.workers, monotonic_ms())
        for job_id, progress in dirty.items():
            changes |= self._layout.changes(job_id, progress)
        if monotonic_ms() > self._next_speeds_write_ms and cell.state.speeds.workers:
            self._next_speeds_write_ms = monotonic_ms() + SPEEDS_INTERVAL_MS
            cell.state.forget_unused_estimates()
            changes |= encode_speeds(cell.state.speeds)
        if self._is_usage_due(cell):
            self._next_usage_write_ms = monotonic_ms() + USAGE_INTERVAL_MS
            use_s = cell.state.shares.past_use.take_changed()
            changes[USAGE_ROW_KEY] = encode_usage(UsageRow(self.store_now_ms(), use_s))
        try:
            await self._write(changes, cell)
        finally:
            # This also runs on cancellation, because another task then writes the rest.
            unsaved = {job_id_of_progress(k) for k in changes if k.table == PROGRESS_TABLE}
            cell.state.dirty.update(unsaved)
            cell.record_stored({k: v for k, v in dirty.items() if k not in unsaved})
            if USAGE_ROW_KEY in changes:
                cell.state.shares.past_use.has_changed = True
            if changes:
                self._deferred_sends = deferred_sends + self._deferred_sends
        if changes:
            return False
        for send in deferred_sends:
            send()
        self._acknowledge(cell, seen_ends, incarnations)
        return True

    def _is_usage_due(self, cell: CellScheduler) -> bool:
        past_use = cell.state.shares.past_use
        return past_use.has_changed and monotonic_ms() >= self._next_usage_write_ms

    async def _write(self, changes: RowChanges, cell: CellScheduler) -> None:
        """Write the changes up to the first failure, and remove from them what is stored."""
        for batch in _batches(dict(changes)):
            failure = await self._write_batch(batch)
            if failure is WriteFailure.REJECTED:
                await self._fail_rejected_jobs(batch, cell)
            if failure is not None:
                return
            for key in batch:
                del changes[key]

    async def _write_batch(self, changes: RowChanges) -> WriteFailure | None:
        """Write some rows in one call; return why that failed, or None."""
        expected = {key: self._versions.get(key, 0) for key in changes}
        puts = {key: value for key, value in changes.items() if value is not None}
        removes = tuple(key for key, value in changes.items() if value is None)
        outcome = await self._commit(puts, expected, removes)
        if isinstance(outcome, WriteFailure):
            self._layout.record_unknown(changes)
            return outcome
        self._versions.update(dict.fromkeys(puts, outcome.version))
        for key in removes:
            self._versions.pop(key, None)
        self._layout.record_stored(changes)
        if SILENT_WORKERS_ROW_KEY in changes:
            self._silent_workers.record_stored()
        return None

    async def _fail_rejected_jobs(self, batch: RowChanges, cell: CellScheduler) -> None:
        """Fail the jobs whose rows the store rejects, so that they don't hold up all others."""
        by_job: defaultdict[str, RowChanges] = defaultdict(dict)
        for key, value in batch.items():
            if key.table == PROGRESS_TABLE:
                by_job[job_id_of_progress(key)][key] = value
        for job_id, changes in by_job.items():
            failure = await self._write_batch(changes)
            # If the store rejects everything, the job is not to blame.
            is_store_sound = monotonic_ms() - self.heartbeat_confirmed_ms < MAX_HEARTBEAT_AGE_MS
            if failure is WriteFailure.REJECTED and is_store_sound:
                cell.fail_job(job_id, monotonic_ms(), "the store rejects its progress")

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
        self,
        puts: dict[RowKey, bytes],
        expected: Mapping[RowKey, int] = NO_EXPECTATIONS,
        removes: tuple[RowKey, ...] = (),
    ) -> RowsCommitted | WriteFailure:
        """Change rows under the claim."""
        sent_ms = monotonic_ms()
        txn = RowTransaction({OWNER_ROW_KEY: self._token, **expected}, puts, removes)
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            emit(log, Event.WRITE_REFUSED, row=f"{len(puts)} rows of progress", detail=exc)
            is_rejected = isinstance(exc, StoreRejectedError)
            return WriteFailure.REJECTED if is_rejected else WriteFailure.NOT_STORED
        if isinstance(outcome, RowsConflict):
            self._handle_conflict(outcome, expected)
            return WriteFailure.NOT_STORED
        self.newest_token = max(self.newest_token, outcome.version)
        if HEARTBEAT_ROW_KEY in puts:
            self.heartbeat_confirmed_ms = max(self.heartbeat_confirmed_ms, sent_ms)
        return outcome

    def _handle_conflict(self, conflict: RowsConflict, expected: Mapping[RowKey, int]) -> None:
        """Distinguish a lost claim from an earlier write of this owner that got no answer."""
        if conflict.version_of(OWNER_ROW_KEY) != self._token:
            self._on_ownership_lost("the claim in the store has another version")
            return
        for key in expected:
            self._versions[key] = conflict.version_of(key)


def _batches(changes: RowChanges) -> Iterator[RowChanges]:
    """Yield the changes in order, as many at a time as the store accepts."""
    batch: RowChanges = {}
    size = 0
    for key, value in changes.items():
        value_size = len(value or b"")
        if batch and (len(batch) >= MAX_ROWS_PER_WRITE or size + value_size > MAX_BYTES_PER_WRITE):
            yield batch
            batch, size = {}, 0
        batch[key] = value
        size += value_size
    if batch:
        yield batch
