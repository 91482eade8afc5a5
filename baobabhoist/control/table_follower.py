"""Follow a table: read a snapshot of it, then poll for its changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence

from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.range_reader import MAX_CONCURRENT_READS, RangeReader, TableRange
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    BacklogTooLargeError,
    HistoryLostError,
    RowSet,
    RowStore,
    StoredRow,
    StoreError,
)

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.15
# Long polls are short because each answer also confirms that the known rows are current.
POLL_WAIT_MS = 1_000
# The first poll does not wait for changes, so that known rows are confirmed soon; nor do polls
# after a failure, so that one that gets lost is given up earlier.
IMMEDIATE_POLL_WAIT_MS = 0
# Changes larger than the table by this factor are not read: the table itself is smaller.
MAX_BACKLOG_FACTOR = 1.5
# Changes that are smaller than this are always read.
MIN_BACKLOG_BYTES = 500_000
# Rows that were current longer ago, because they took long to arrive, are confirmed at once.
MAX_CURRENT_AGE_MS = 400.0
NEVER_MS = float("-inf")
# A table that can't be read is logged again after this time.
LOG_INTERVAL_MS = 5_000.0

RowsCallback = Callable[[Sequence[StoredRow], bool], None]


class TableFollower:
    """Follow one table.

    `on_rows` gets rows and whether they are a snapshot of the table. `confirmed_ms` is when the
    last answered call was sent, on the local clock; `on_current` gets the time at which the rows
    were current, which can be later. With a `known_version` no snapshot is read: the caller
    already has the rows up to that version. A table `is_rewritten` if each change of it repeats
    most of its bytes: then changes larger than the table are not read.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        on_rows: RowsCallback,
        clock: StoreClock,
        *,
        partitions: Iterable[str] = ("",),
        pause_s: Callable[[], float] = lambda: 0.0,
        on_confirmed: Callable[[float], None] | None = None,
        on_current: Callable[[float], None] | None = None,
        known_version: int = 0,
        is_rewritten: bool = False,
        max_reads: int = MAX_CONCURRENT_READS,
    ) -> None:
        self.confirmed_ms = NEVER_MS
        self.version = known_version
        self._current_ms = NEVER_MS
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._partitions = tuple(partitions)
        self._pause_s = pause_s
        self._on_confirmed = on_confirmed
        self._on_current = on_current
        self._is_rewritten = is_rewritten
        self._max_reads = max_reads
        # The snapshot that is being read, and when its first read was sent.
        self._snapshot: RangeReader | None = None
        self._snapshot_sent_ms = 0.0
        # The least size of the table's values; None until a snapshot has been read.
        self._table_bytes: int | None = None
        self._is_connected = False
        # Calls that failed since the last answered one, and when the next may be logged.
        self._failed_calls = 0
        self._next_log_ms = NEVER_MS
        self._poll_requested = asyncio.Event()

    @property
    def is_confirmed(self) -> bool:
        """Return whether the table has been read since following began."""
        return self.confirmed_ms > NEVER_MS

    async def run(self) -> None:
        """Follow until cancelled."""
        is_loaded = self.version > 0
        wait_ms = IMMEDIATE_POLL_WAIT_MS if is_loaded else POLL_WAIT_MS
        while True:
            try:
                if not is_loaded:
                    await self.load()
                    is_loaded = True
                    wait_ms = min(wait_ms, self._next_wait_ms())
                await self._poll(wait_ms)
                wait_ms = self._next_wait_ms()
            except HistoryLostError as exc:
                self._log_reload(exc)
                is_loaded = False
            except StoreError as exc:
                self._log_failure(exc)
                wait_ms = IMMEDIATE_POLL_WAIT_MS
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def load(self) -> None:
        """Read a snapshot of the table; raises StoreError, after which it may be continued."""
        if self._snapshot is None:
            ranges = (TableRange(self._table, partition) for partition in self._partitions)
            self._snapshot = RangeReader(self._store, ranges, self._max_reads)
            self._snapshot_sent_ms = monotonic_ms()
        await self._snapshot.read_missing()
        snapshot, self._snapshot = self._snapshot, None
        # Ranges may differ in version; the first poll repeats the changes after the oldest.
        self.version = snapshot.version(self._table)
        rows = snapshot.rows(self._table)
        self._table_bytes = _newest_bytes(rows)
        self._on_rows(rows, True)
        rows_read = snapshot.row_sets(self._table)[-1]
        self._confirm(rows_read, self._snapshot_sent_ms, self._snapshot_sent_ms)

    async def _poll(self, wait_ms: int) -> None:
        sent_ms = monotonic_ms()
        changes = await self._store.poll_changes(
            self._table, self.version, wait_ms, self._max_backlog_bytes()
        )
        self.version = max(self.version, changes.version)
        if changes.rows:
            if self._table_bytes is not None:
                self._table_bytes = max(self._table_bytes, _newest_bytes(changes.rows))
            self._on_rows(changes.rows, False)
        self._confirm(changes, sent_ms, _current_ms(changes, sent_ms, wait_ms))
        await self._pause()

    def _max_backlog_bytes(self) -> int:
        """Return the size of changes that are not worth reading, or 0 if it isn't known."""
        if self._table_bytes is None or not self._is_rewritten:
            return 0
        return max(MIN_BACKLOG_BYTES, int(self._table_bytes * MAX_BACKLOG_FACTOR))

    async def _pause(self) -> None:
        """Wait for the pause between polls, or until a poll is requested."""
        pause_s = self._pause_s()
        if pause_s <= 0.0:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self._poll_requested.wait()
        except TimeoutError:
            return
        self._poll_requested.clear()

    def poll_now(self) -> None:
        """Poll without waiting for the pause to end."""
        self._poll_requested.set()

    def _next_wait_ms(self) -> int:
        """Return how long the next poll waits: not at all if the known rows may be outdated."""
        if self._on_current is None or monotonic_ms() - self._current_ms <= MAX_CURRENT_AGE_MS:
            return POLL_WAIT_MS
        return IMMEDIATE_POLL_WAIT_MS

    def _confirm(self, rows: RowSet, sent_ms: float, current_ms: float) -> None:
        self._clock.observe(rows.now_ms)
        self.confirmed_ms = sent_ms
        self._current_ms = current_ms
        self._failed_calls = 0
        if not self._is_connected:
            self._is_connected = True
            emit(log, Event.TABLE_FOLLOWED, table=self._table, version=self.version)
        if self._on_confirmed is not None:
            self._on_confirmed(sent_ms)
        if self._on_current is not None:
            self._on_current(current_ms)

    def _log_reload(self, exc: HistoryLostError) -> None:
        is_too_large = isinstance(exc, BacklogTooLargeError)
        event = Event.BACKLOG_TOO_LARGE if is_too_large else Event.HISTORY_LOST
        emit(log, event, table=self._table, version=self.version)

    def _log_failure(self, exc: StoreError) -> None:
        """Log the first of some failed calls, and one in each interval after it."""
        now = monotonic_ms()
        self._failed_calls += 1
        if not self._is_connected and now < self._next_log_ms:
            return
        self._is_connected = False
        self._next_log_ms = now + LOG_INTERVAL_MS
        emit(
            log,
            Event.TABLE_LOST,
            table=self._table,
            version=self.version,
            failed_calls=self._failed_calls,
            detail=exc,
        )


def _newest_bytes(rows: Iterable[StoredRow]) -> int:
    """Return the size of the newest value of each row, in rows that are sorted by version."""
    return sum({row.key: len(row.value or b"") for row in rows}.values())


def _current_ms(changes: RowSet, sent_ms: float, wait_ms: int) -> float:
    """Return when the answer of a poll was current: without changes, at the end of its wait."""
    waited_ms = sent_ms + wait_ms
    return sent_ms if changes.rows or monotonic_ms() < waited_ms else waited_ms
