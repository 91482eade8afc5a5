"""Read tables in ranges that fit the link; completed reads are kept when others fail."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable

import attrs

from baobabhoist.control.row_schema import JOBS_TABLE, PROGRESS_TABLE
from baobabhoist.store.row_store import RowSet, RowStore, StoredRow, StoreUnansweredError

# More concurrent reads would share a slow link, so that none of them completes in time.
MAX_CONCURRENT_READS = 6
LINK_MBPS_PER_READ = 10.0
# The first hex digits of the ranges that a partition is split into, and the end of the last one.
QUARTER_BOUNDS = ("0", "4", "8", "c", "g")


def max_concurrent_reads(link_mbps: float) -> int:
    """Return how many reads a link can carry at the same time."""
    return max(1, min(MAX_CONCURRENT_READS, int(link_mbps / LINK_MBPS_PER_READ)))


@attrs.frozen
class TableRange:
    """Identify the rows that one read returns: those of a partition in a range of keys."""

    table: str
    partition: str = ""
    start: str = ""
    end: str = ""

    def split(self) -> list[TableRange]:
        """Return the quarters of a whole partition of job ids; other ranges are not split."""
        if self.table not in (JOBS_TABLE, PROGRESS_TABLE) or self.end:
            return [self]
        bounds = [self.partition + digit for digit in QUARTER_BOUNDS]
        return [
            TableRange(self.table, self.partition, start, end)
            for start, end in itertools.pairwise(bounds)
        ]


class RangeReader:
    """Read some ranges once each, in as many tries as it takes."""

    def __init__(self, store: RowStore, ranges: Iterable[TableRange], max_reads: int) -> None:
        self._store = store
        self._ranges = list(ranges)
        self._max_reads = max_reads
        self._rows_read: dict[TableRange, RowSet] = {}

    @property
    def missing(self) -> list[TableRange]:
        """Return the ranges that have not been read yet."""
        return [key_range for key_range in self._ranges if key_range not in self._rows_read]

    async def read_missing(self) -> None:
        """Read the missing ranges; raises the first StoreError once all reads have ended.

        A range whose read was not answered is split, because it may be too large for the link.
        """
        limit = asyncio.Semaphore(self._max_reads)
        missing = self.missing
        outcomes = await asyncio.gather(
            *(self._read_range(key_range, limit) for key_range in missing),
            return_exceptions=True,
        )
        for key_range, outcome in zip(missing, outcomes, strict=True):
            if isinstance(outcome, StoreUnansweredError):
                self._ranges.remove(key_range)
                self._ranges += key_range.split()
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _read_range(self, key_range: TableRange, limit: asyncio.Semaphore) -> None:
        async with limit:
            self._rows_read[key_range] = await self._store.read(
                key_range.table, key_range.partition, start=key_range.start, end=key_range.end
            )

    def row_sets(self, table: str) -> list[RowSet]:
        """Return the answers of the completed reads of a table."""
        return [rows for key_range, rows in self._rows_read.items() if key_range.table == table]

    def rows(self, table: str) -> tuple[StoredRow, ...]:
        """Return the rows of a table that have been read."""
        return tuple(row for rows in self.row_sets(table) for row in rows.rows)

    def version(self, table: str) -> int:
        """Return the version from which changes of a table must be polled."""
        return min(rows.version for rows in self.row_sets(table))
