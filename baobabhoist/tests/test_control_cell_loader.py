"""Test that a takeover completes although single reads fail."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from baobabhoist.control.cell_loader import CellLoader
from baobabhoist.control.range_reader import TableRange, max_concurrent_reads
from baobabhoist.control.row_schema import (
    CANCEL_SUFFIX,
    JOB_PARTITIONS,
    JOBS_TABLE,
    OWNER_ROW_KEY,
    cancel_row_key,
    job_row_key,
    progress_row_key,
)
from baobabhoist.store.row_store import RowSet, RowTransaction, StoreUnansweredError
from baobabhoist.testing.memory_row_store import MemoryRowStore

DIRECTORY = "servers"
FAST_LINK_MBPS = 200.0
SLOW_LINK_MBPS = 2.0
JOB_ID = "a" + 15 * "0"


class FlakyRowStore(MemoryRowStore):
    """Fail the first read of each partition of the jobs, and record the answered reads."""

    def __init__(self) -> None:
        super().__init__()
        self.failed: set[tuple[str, str]] = set()
        self.answered: list[tuple[str, str, str]] = []

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Fail if this is the first read of a jobs partition."""
        if part and (table, part) not in self.failed:
            self.failed.add((table, part))
            raise StoreUnansweredError("no answer")
        self.answered.append((table, part, start))
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
    loader = CellLoader(store, DIRECTORY, max_concurrent_reads(FAST_LINK_MBPS))
    with pytest.raises(StoreUnansweredError):
        asyncio.run(loader.read_missing())
    assert {missing.table for missing in loader.missing} == {JOBS_TABLE}
    assert {missing.partition for missing in loader.missing} == set(JOB_PARTITIONS)
    asyncio.run(loader.read_missing())
    assert loader.is_complete
    assert len(store.answered) == len(set(store.answered))


def test_tables_contain_the_rows_read() -> None:
    """Guard against a cell that lacks rows, or that follows the jobs from too late a version."""
    store = MemoryRowStore()
    store_job_and_progress(store)
    loader = CellLoader(store, DIRECTORY, max_concurrent_reads(FAST_LINK_MBPS))
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

    asyncio.run(
        CellLoader(
            CountingRowStore(), DIRECTORY, max_concurrent_reads(FAST_LINK_MBPS)
        ).read_missing()
    )
    assert 1 < max_in_flight <= 6


class SlowRowStore(MemoryRowStore):
    """Answer a read only if it returns few rows and shares the link with few other reads."""

    max_rows = 10
    max_in_flight = 1

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = 0

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Fail if the link does not carry the rows in time."""
        self.in_flight += 1
        await asyncio.sleep(0)
        is_shared = self.in_flight > self.max_in_flight
        self.in_flight -= 1
        rows = await super().read(table, part, start=start, end=end)
        if is_shared or len(rows.rows) > self.max_rows:
            raise StoreUnansweredError("no answer within the timeout")
        return rows


def test_large_cell_is_loaded_over_a_slow_link() -> None:
    """Guard against owners that replace each other because none finishes loading the cell."""
    store = SlowRowStore()
    ids = [
        f"{partition}{digit:x}{14 * '0'}" for partition in JOB_PARTITIONS for digit in range(16)
    ]
    for job_id in ids:
        store.apply(RowTransaction(puts={job_row_key(job_id): b"job"}))
        store.apply(RowTransaction(puts={cancel_row_key(job_id): b"{}"}))
    for job_id in ids[::8]:
        store.apply(RowTransaction(puts={progress_row_key(job_id): b"progress"}))
    loader = CellLoader(store, DIRECTORY, max_concurrent_reads(SLOW_LINK_MBPS))
    for _ in range(2):
        with contextlib.suppress(StoreUnansweredError):
            asyncio.run(loader.read_missing())
    assert loader.is_complete
    tables = loader.tables()
    expected = sorted(key.key for key in store.rows if key.table == JOBS_TABLE)
    assert sorted(row.key.key for row in tables.jobs) == expected
    assert sorted(row.key.key for row in tables.progress) == ids[::8]


def test_split_range_covers_all_job_ids() -> None:
    """Guard against jobs that no owner loads because they lie between two ranges."""
    for partition in JOB_PARTITIONS:
        ranges = TableRange(JOBS_TABLE, partition).split()
        assert ranges[0].start == partition + "0"
        assert [r.end for r in ranges[:-1]] == [r.start for r in ranges[1:]]
        assert ranges[-1].end > partition + 15 * "f" + CANCEL_SUFFIX
        assert [part for r in ranges for part in r.split()] == ranges
