"""Test that a takeover ends although single readings fail."""

from __future__ import annotations

import asyncio

import pytest

from baobabhoist.control.loading import CellLoading
from baobabhoist.control.rowmap import JOB_PARTS, OWNER_ROW, job_row, progress_row
from baobabhoist.store.row_store import RowSet, RowTransaction, StoreUnansweredError
from baobabhoist.testing.rows import MemoryRows

DIRECTORY = "servers"
JOB_ID = "a" + 15 * "0"


class FlakyRows(MemoryRows):
    """Answer each reading only after one failure, and count the answers."""

    def __init__(self) -> None:
        super().__init__()
        self.failed: set[tuple[str, str]] = set()
        self.answered: list[tuple[str, str]] = []

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> RowSet:
        """Fail the first reading of each part of a job's id."""
        if part and (table, part) not in self.failed:
            self.failed.add((table, part))
            raise StoreUnansweredError("no answer")
        self.answered.append((table, part))
        return await super().read(table, part, first=first, last=last)


def filled(rows: MemoryRows) -> None:
    """Store a job and its progress."""
    rows.apply(RowTransaction(puts={job_row(JOB_ID): b"job"}))
    rows.apply(RowTransaction(puts={progress_row(JOB_ID): b"progress", OWNER_ROW: b"claim"}))


def test_readings_that_came_are_not_asked_again() -> None:
    """Guard against takeovers that start over for ever on a slow link."""
    rows = FlakyRows()
    filled(rows)
    loading = CellLoading(rows, DIRECTORY)
    with pytest.raises(StoreUnansweredError):
        asyncio.run(loading.read_missing())
    assert len(loading.missing) == len(JOB_PARTS)
    asyncio.run(loading.read_missing())
    assert loading.complete
    assert len(rows.answered) == len(set(rows.answered))


def test_tables_hold_what_was_read() -> None:
    """Guard against a cell that lacks a part, or follows the jobs from too late a version."""
    rows = MemoryRows()
    filled(rows)
    loading = CellLoading(rows, DIRECTORY)
    asyncio.run(loading.read_missing())
    tables = loading.tables()
    assert [row.key for row in tables.jobs] == [job_row(JOB_ID)]
    assert [row.key for row in tables.progress] == [progress_row(JOB_ID)]
    assert [row.key for row in tables.own] == [OWNER_ROW]
    assert tables.jobs_version == rows.version


def test_few_readings_share_the_link() -> None:
    """Guard against readings that together fill a slow link, so that none arrives in time."""
    open_now = 0
    most = 0

    class CountedRows(MemoryRows):
        async def read(
            self, table: str, part: str = "", *, first: str = "", last: str = ""
        ) -> RowSet:
            nonlocal open_now, most
            open_now += 1
            most = max(most, open_now)
            await asyncio.sleep(0)
            open_now -= 1
            return await super().read(table, part, first=first, last=last)

    asyncio.run(CellLoading(CountedRows(), DIRECTORY).read_missing())
    assert 1 < most <= 6
