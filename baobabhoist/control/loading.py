"""Read what a new owner needs, and keep what was read when a part of it fails."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.control.rowmap import (
    CELL_TABLE,
    JOB_PARTS,
    JOBS_TABLE,
    LEARNED_ROW,
    PROGRESS_TABLE,
)
from baobabhoist.store.row_store import RowSet, RowStore, StoredRow

# More at once would share a slow link, so that none of them arrives in time.
READS_AT_ONCE = 6


@attrs.frozen
class Piece:
    """Name what one reading brings."""

    table: str
    part: str = ""


@attrs.frozen
class CellTables:
    """Hold the rows that a cell is made from; jobs are complete up to `jobs_version`."""

    progress: tuple[StoredRow, ...]
    own: tuple[StoredRow, ...]
    learned: tuple[StoredRow, ...]
    directory: tuple[StoredRow, ...]
    jobs: tuple[StoredRow, ...]
    jobs_version: int


class CellLoading:
    """Own the readings of one takeover.

    The readings need not be of one moment: progress changes only under the claim that this owner
    holds, and newer jobs are followed.
    """

    def __init__(self, store: RowStore, directory_table: str) -> None:
        self._store = store
        self._directory = Piece(directory_table)
        self._read: dict[Piece, RowSet] = {}
        self._pieces = (
            Piece(PROGRESS_TABLE),
            Piece(CELL_TABLE),
            Piece(LEARNED_ROW.table),
            self._directory,
            *(Piece(JOBS_TABLE, part) for part in JOB_PARTS),
        )

    @property
    def missing(self) -> list[Piece]:
        """Return what has not been read yet."""
        return [piece for piece in self._pieces if piece not in self._read]

    @property
    def complete(self) -> bool:
        """Tell whether everything has been read."""
        return not self.missing

    async def read_missing(self) -> None:
        """Read what is missing; raises the first StoreError after all readings ended."""
        limit = asyncio.Semaphore(READS_AT_ONCE)
        outcomes = await asyncio.gather(
            *(self._read_piece(piece, limit) for piece in self.missing), return_exceptions=True
        )
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _read_piece(self, piece: Piece, limit: asyncio.Semaphore) -> None:
        async with limit:
            self._read[piece] = await self._store.read(piece.table, piece.part)

    def tables(self) -> CellTables:
        """Return all that was read."""
        jobs = [self._read[Piece(JOBS_TABLE, part)] for part in JOB_PARTS]
        return CellTables(
            progress=self._rows(Piece(PROGRESS_TABLE)),
            own=self._rows(Piece(CELL_TABLE)),
            learned=self._rows(Piece(LEARNED_ROW.table)),
            directory=self._rows(self._directory),
            jobs=tuple(row for rows in jobs for row in rows.rows),
            jobs_version=min(rows.version for rows in jobs),
        )

    def _rows(self, piece: Piece) -> tuple[StoredRow, ...]:
        return self._read[piece].rows
