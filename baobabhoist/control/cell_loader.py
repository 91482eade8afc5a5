"""Load the tables that a new owner needs; completed reads are kept when others fail."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.control.row_schema import (
    CELL_TABLE,
    JOB_PARTITIONS,
    JOBS_TABLE,
    PROGRESS_TABLE,
    SPEEDS_ROW_KEY,
)
from baobabhoist.store.row_store import RowSet, RowStore, StoredRow

# More concurrent reads would share a slow link, so that none of them completes in time.
MAX_CONCURRENT_READS = 6


@attrs.frozen
class TablePartition:
    """Identify the partition of a table that one read returns."""

    table: str
    name: str = ""


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

    def __init__(self, store: RowStore, directory_table: str) -> None:
        self._store = store
        self._directory = TablePartition(directory_table)
        self._rows_read: dict[TablePartition, RowSet] = {}
        self._partitions = (
            TablePartition(PROGRESS_TABLE),
            TablePartition(CELL_TABLE),
            TablePartition(SPEEDS_ROW_KEY.table),
            self._directory,
            *(TablePartition(JOBS_TABLE, partition) for partition in JOB_PARTITIONS),
        )

    @property
    def missing(self) -> list[TablePartition]:
        """Return the partitions that have not been read yet."""
        return [partition for partition in self._partitions if partition not in self._rows_read]

    @property
    def is_complete(self) -> bool:
        """Return whether all partitions have been read."""
        return not self.missing

    async def read_missing(self) -> None:
        """Read the missing partitions; raises the first StoreError once all reads have ended."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)
        outcomes = await asyncio.gather(
            *(self._read_partition(partition, limit) for partition in self.missing),
            return_exceptions=True,
        )
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _read_partition(self, partition: TablePartition, limit: asyncio.Semaphore) -> None:
        async with limit:
            self._rows_read[partition] = await self._store.read(partition.table, partition.name)

    def tables(self) -> CellTables:
        """Return the rows of all tables."""
        jobs = [
            self._rows_read[TablePartition(JOBS_TABLE, partition)] for partition in JOB_PARTITIONS
        ]
        return CellTables(
            progress=self._rows_of(TablePartition(PROGRESS_TABLE)),
            cell=self._rows_of(TablePartition(CELL_TABLE)),
            speeds=self._rows_of(TablePartition(SPEEDS_ROW_KEY.table)),
            directory=self._rows_of(self._directory),
            jobs=tuple(row for rows in jobs for row in rows.rows),
            jobs_version=min(rows.version for rows in jobs),
        )

    def _rows_of(self, partition: TablePartition) -> tuple[StoredRow, ...]:
        return self._rows_read[partition].rows
