"""Test that a takeover completes although single reads fail."""

from __future__ import annotations

import asyncio

import pytest

from baobabhoist.control.cell_loader import CellLoader
from baobabhoist.control.row_schema import (
    JOB_PARTITIONS,
    OWNER_ROW_KEY,
    job_row_key,
    progress_row_key,
)
from baobabhoist.store.row_store import RowSet, RowTransaction, StoreUnansweredError
from baobabhoist.testing.memory_row_store import MemoryRowStore

DIRECTORY = "servers"
JOB_ID = "a" + 15 * "0"


class FlakyRowStore(MemoryRowStore):
    """Fail the first read of each partition of the jobs, and record the answered reads."""

    def __init__(self) -> None:
        super().__init__()
        self.failed: set[tuple[str, str]] = set()
        self.answered: list[tuple[str, str]] = []

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Fail if this is the first read of a jobs partition."""
        if part and (table, part) not in self.failed:
            self.failed.add((table, part))
            raise StoreUnansweredError("no answer")
        self.answered.append((table, part))
        return await super().read(table, part, start=start, end=end)


def store_job_and_progress(store: MemoryRowStore) -> None:
    """Store a job and its progress under a claim."""
    store.apply(RowTransaction(puts={job_row_key(JOB_ID): b"job"}))
    store.apply(
        RowTransaction(puts={progress_row_key(JOB_ID): b"progress", OWNER_ROW_KEY: b"claim"})
    )


def test_completed_reads_are_not_repeated() -> None:
    """Guard against takeovers that restart for ever on a slow link."""
    store = FlakyRowStore()
    store_job_and_progress(store)
    loader = CellLoader(store, DIRECTORY)
    with pytest.raises(StoreUnansweredError):
        asyncio.run(loader.read_missing())
    assert len(loader.missing) == len(JOB_PARTITIONS)
    asyncio.run(loader.read_missing())
    assert loader.is_complete
    assert len(store.answered) == len(set(store.answered))


def test_tables_contain_the_rows_read() -> None:
    """Guard against a cell that lacks rows, or that follows the jobs from too late a version."""
    store = MemoryRowStore()
    store_job_and_progress(store)
    loader = CellLoader(store, DIRECTORY)
    asyncio.run(loader.read_missing())
    tables = loader.tables()
    assert [row.key for row in tables.jobs] == [job_row_key(JOB_ID)]
    assert [row.key for row in tables.progress] == [progress_row_key(JOB_ID)]
    assert [row.key for row in tables.cell] == [OWNER_ROW_KEY]
    assert tables.jobs_version == store.version


def test_concurrent_reads_are_limited() -> None:
    """Guard against reads that together saturate a slow link, so that none completes in time."""
    in_flight = 0
    max_in_flight = 0

    class CountingRowStore(MemoryRowStore):
        async def read(
            self, table: str, part: str = "", *, start: str = "", end: str = ""
        ) -> RowSet:
            nonlocal in_flight, max_in_flight
            in_flight += 1
            max_in_flight = max(max_in_flight, in_flight)
            await asyncio.sleep(0)
            in_flight -= 1
            return await super().read(table, part, start=start, end=end)

    asyncio.run(CellLoader(CountingRowStore(), DIRECTORY).read_missing())
    assert 1 < max_in_flight <= 6
