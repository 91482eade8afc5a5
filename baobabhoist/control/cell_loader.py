"""Load the tables that a new owner needs; completed reads are kept when others fail."""

from __future__ import annotations

import asyncio
import itertools

import attrs

from baobabhoist.control.row_schema import (
    CELL_TABLE,
    JOB_PARTITIONS,
    JOBS_TABLE,
    PROGRESS_TABLE,
    SPEEDS_ROW_KEY,
)
from baobabhoist.store.row_store import RowSet, RowStore, StoredRow, StoreUnansweredError

# More concurrent reads would share a slow link, so that none of them completes in time.
MAX_CONCURRENT_READS = 6
LINK_MBPS_PER_READ = 10.0
# The first hex digits of the ranges that a partition is split into, and the end of the last one.
QUARTER_BOUNDS = ("0", "4", "8", "c", "g")


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


@attrs.frozen
class CellTables:
    """Hold the rows that a cell is built from; the jobs are complete up to `jobs_version`."""

    progress: tuple[StoredRow, ...]
    cell: tuple[StoredRow, ...]
    speeds: tuple[StoredRow, ...]
    directory: tuple[StoredRow, ...]
    jobs: tuple[StoredRow, ...]
    jobs_version: int


class CellLoader:
    """Read the tables for one takeover.

    The reads need not form a consistent snapshot: progress changes only under the claim that this
    owner holds, and newer jobs are read by following the table.
    """

    def __init__(self, store: RowStore, directory_table: str, link_mbps: float) -> None:
        self._store = store
        self._directory_table = directory_table
        self._max_reads = max(1, min(MAX_CONCURRENT_READS, int(link_mbps / LINK_MBPS_PER_READ)))
        self._rows_read: dict[TableRange, RowSet] = {}
        self._ranges = [
            TableRange(CELL_TABLE),
            TableRange(SPEEDS_ROW_KEY.table),
            TableRange(directory_table),
            TableRange(PROGRESS_TABLE),
            *(TableRange(JOBS_TABLE, partition) for partition in JOB_PARTITIONS),
        ]

    @property
    def missing(self) -> list[TableRange]:
        """Return the ranges that have not been read yet."""
        return [key_range for key_range in self._ranges if key_range not in self._rows_read]

    @property
    def is_complete(self) -> bool:
        """Return whether all ranges have been read."""
        return not self.missing

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

    def tables(self) -> CellTables:
        """Return the rows of all tables."""
        return CellTables(
            progress=self._rows_of(PROGRESS_TABLE),
            cell=self._rows_of(CELL_TABLE),
            speeds=self._rows_of(SPEEDS_ROW_KEY.table),
            directory=self._rows_of(self._directory_table),
            jobs=self._rows_of(JOBS_TABLE),
            jobs_version=min(
                rows.version
                for key_range, rows in self._rows_read.items()
                if key_range.table == JOBS_TABLE
            ),
        )

    def _rows_of(self, table: str) -> tuple[StoredRow, ...]:
        return tuple(
            row
            for key_range, rows in self._rows_read.items()
            if key_range.table == table
            for row in rows.rows
        )
