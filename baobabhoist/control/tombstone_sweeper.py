"""Remove the tombstones that have expired."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from baobabhoist.control.clock import MS_PER_S, StoreClock
from baobabhoist.control.row_schema import JOB_PARTITIONS
from baobabhoist.control.tombstone_row import TOMBSTONES_TABLE, decode_tombstone
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowsCommitted,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreError,
)

log = logging.getLogger(__name__)

# One partition is read per interval, because each read has a price.
SWEEP_INTERVAL_S = 15.0
# The store accepts at most 100 entries per call; each row takes two.
MAX_ROWS_PER_CALL = 50


class TombstoneSweeper:
    """Read one partition of the tombstones after the other, and remove the expired ones."""

    def __init__(self, store: RowStore, clock: StoreClock) -> None:
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                await self.sweep(self._due_partition())
            except StoreError as exc:
                log.debug("expired tombstones stay until the next sweep: %s", exc)

    def _due_partition(self) -> str:
        """Return the partition whose turn it is, so that each owner continues where one ended."""
        turn = int(self._clock.now_ms() / MS_PER_S / SWEEP_INTERVAL_S)
        return JOB_PARTITIONS[turn % len(JOB_PARTITIONS)]

    async def sweep(self, partition: str) -> None:
        """Remove the expired tombstones of a partition; raises StoreError."""
        rows = await self._store.read(TOMBSTONES_TABLE, partition)
        expired = [row for row in rows.rows if _is_expired(row, rows.now_ms)]
        removed = 0
        for first in range(0, len(expired), MAX_ROWS_PER_CALL):
            removed += await self._remove(expired[first : first + MAX_ROWS_PER_CALL])
        if removed:
            emit(log, Event.TOMBSTONES_REMOVED, count=removed, partition=partition)

    async def _remove(self, rows: Sequence[StoredRow]) -> int:
        """Remove rows that have not changed since; return how many."""
        expected = {row.key: row.version for row in rows}
        outcome = await self._store.commit(RowTransaction(expected, removes=tuple(expected)))
        return len(rows) if isinstance(outcome, RowsCommitted) else 0


def _is_expired(row: StoredRow, store_ms: int) -> bool:
    """Return whether a tombstone may be removed; one that can't be read has no other end."""
    try:
        return decode_tombstone(row.value or b"").expires_ms <= store_ms
    except ValueError as exc:
        emit(log, Event.ROW_UNREADABLE, table=TOMBSTONES_TABLE, row=row.key.key, detail=exc)
        return True
