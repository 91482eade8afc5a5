"""Load the tables that a new owner needs; completed reads are kept when others fail."""

from __future__ import annotations

import attrs

from baobabhoist.control.range_reader import RangeReader, TableRange
from baobabhoist.control.row_schema import (
    CELL_TABLE,
    JOB_PARTITIONS,
    JOBS_TABLE,
    PROGRESS_TABLE,
    SPEEDS_ROW_KEY,
)
from baobabhoist.control.silent_workers_row import SILENT_WORKERS_ROW_KEY
from baobabhoist.control.usage_row import USAGE_ROW_KEY
from baobabhoist.store.row_store import RowStore, StoredRow


@attrs.frozen
class CellTables:
    """Hold the rows that a cell is built from; the jobs are complete up to `jobs_version`."""

    progress: tuple[StoredRow, ...]
    cell: tuple[StoredRow, ...]
    speeds: tuple[StoredRow, ...]
    usage: tuple[StoredRow, ...]
    silent_workers: tuple[StoredRow, ...]
    directory: tuple[StoredRow, ...]
    jobs: tuple[StoredRow, ...]
    jobs_version: int


class CellLoader:
    """Read the tables for one takeover.

    The reads need not form a consistent snapshot: progress changes only under the claim that this
    owner holds, and newer jobs are read by following the table.
    """

    def __init__(self, store: RowStore, directory_table: str, max_reads: int) -> None:
        self._directory_table = directory_table
        ranges = (
            TableRange(CELL_TABLE),
            TableRange(SPEEDS_ROW_KEY.table),
            TableRange(USAGE_ROW_KEY.table),
            TableRange(SILENT_WORKERS_ROW_KEY.table),
            TableRange(directory_table),
            TableRange(PROGRESS_TABLE),
            *(TableRange(JOBS_TABLE, partition) for partition in JOB_PARTITIONS),
        )
        self._reader = RangeReader(store, ranges, max_reads)

    @property
    def missing(self) -> list[TableRange]:
        """Return the ranges that have not been read yet."""
        return self._reader.missing

    @property
    def is_complete(self) -> bool:
        """Return whether all ranges have been read."""
        return not self.missing

    async def read_missing(self) -> None:
        """Read the missing ranges; raises the first StoreError once all reads have ended."""
        await self._reader.read_missing()

    def tables(self) -> CellTables:
        """Return the rows of all tables."""
        return CellTables(
            progress=self._reader.rows(PROGRESS_TABLE),
            cell=self._reader.rows(CELL_TABLE),
            speeds=self._reader.rows(SPEEDS_ROW_KEY.table),
            usage=self._reader.rows(USAGE_ROW_KEY.table),
            silent_workers=self._reader.rows(SILENT_WORKERS_ROW_KEY.table),
            directory=self._reader.rows(self._directory_table),
            jobs=self._reader.rows(JOBS_TABLE),
            jobs_version=self._reader.version(JOBS_TABLE),
        )
