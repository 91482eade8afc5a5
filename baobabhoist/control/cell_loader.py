"""Read what a new owner needs, and keep what was read when a part of it fails."""

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
from baobabhoist.store.rows import Rows, RowStore, StoredRow

# More at once would share a slow link, so that none of them arrives in time.
READS_AT_ONCE = 6


@attrs.frozen
class TablePart:
    """Name what one reading brings."""

    table: str
    part: str = ""


@attrs.frozen
class CellTables:
    """Hold the rows that a cell is made from; jobs are complete up to `jobs_version`."""

    progress: tuple[StoredRow, ...]
    cell: tuple[StoredRow, ...]
    speeds: tuple[StoredRow, ...]
    directory: tuple[StoredRow, ...]
    jobs: tuple[StoredRow, ...]
    jobs_version: int


class CellLoader:
    """Own the readings of one takeover.

    The readings need not be of one moment: progress changes only under the claim that this owner
    holds, and newer jobs are followed.
    """

    def __init__(self, store: RowStore, directory_table: str) -> None:
        self._store = store
        self._directory = TablePart(directory_table)
        self._read: dict[TablePart, Rows] = {}
        self._parts = (
            TablePart(PROGRESS_TABLE),
            TablePart(CELL_TABLE),
            TablePart(SPEEDS_ROW_KEY.table),
            self._directory,
            *(TablePart(JOBS_TABLE, part) for part in JOB_PARTITIONS),
        )

    @property
    def missing(self) -> list[TablePart]:
        """Return what has not been read yet."""
        return [part for part in self._parts if part not in self._read]

    @property
    def is_complete(self) -> bool:
        """Tell whether everything has been read."""
        return not self.missing

    async def read_missing(self) -> None:
        """Read what is missing; raises the first StoreError after all readings ended."""
        limit = asyncio.Semaphore(READS_AT_ONCE)
        outcomes = await asyncio.gather(
            *(self._read_part(part, limit) for part in self.missing), return_exceptions=True
        )
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _read_part(self, part: TablePart, limit: asyncio.Semaphore) -> None:
        async with limit:
            self._read[part] = await self._store.read(part.table, part.part)

    def tables(self) -> CellTables:
        """Return all that was read."""
        jobs = [self._read[TablePart(JOBS_TABLE, part)] for part in JOB_PARTITIONS]
        return CellTables(
            progress=self._rows(TablePart(PROGRESS_TABLE)),
            cell=self._rows(TablePart(CELL_TABLE)),
            speeds=self._rows(TablePart(SPEEDS_ROW_KEY.table)),
            directory=self._rows(self._directory),
            jobs=tuple(row for rows in jobs for row in rows.rows),
            jobs_version=min(rows.version for rows in jobs),
        )

    def _rows(self, part: TablePart) -> tuple[StoredRow, ...]:
        return self._read[part].rows
