"""Test that expired tombstones are removed, and none before its time."""

import asyncio

import pytest

from baobabhoist.control import tombstone_sweeper
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.row_schema import JOB_PARTITIONS
from baobabhoist.control.tombstone_row import (
    Tombstone,
    encode_tombstone,
    tombstone_row_key,
)
from baobabhoist.control.tombstone_sweeper import MAX_ROWS_PER_CALL, TombstoneSweeper
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore

NOW_MS = 1_000_000
KEPT_ID, EXPIRED_ID, ODD_ID = ("a" + digit * 15 for digit in "123")


def put(store, job_id, expires_ms):
    value = encode_tombstone(Tombstone(("team",), expires_ms))
    store.apply(RowTransaction(puts={tombstone_row_key(job_id): value}))


def make_sweeper(store):
    return TombstoneSweeper(store, StoreClock())


def test_only_expired_tombstones_are_removed():
    """Guard against rows that stay for good, and against a cancelling that ends too early."""
    store = MemoryRowStore(now_ms=NOW_MS)
    put(store, KEPT_ID, NOW_MS + 60_000)
    put(store, EXPIRED_ID, NOW_MS)
    store.apply(RowTransaction(puts={tombstone_row_key(ODD_ID): b"\xff"}))
    asyncio.run(make_sweeper(store).sweep("a"))
    assert list(store.rows) == [tombstone_row_key(KEPT_ID)]


def test_thousands_of_tombstones_are_removed_in_calls_that_the_store_accepts():
    """Guard against a sweep that the store rejects, so that the rows are never removed."""
    store = MemoryRowStore(now_ms=NOW_MS)
    for number in range(2_000):
        put(store, f"a{number:015x}", NOW_MS)
    asyncio.run(make_sweeper(store).sweep("a"))
    assert not store.rows
    assert store.commit_count == 2_000 / MAX_ROWS_PER_CALL


def test_a_tombstone_that_is_renewed_during_the_sweep_stays():
    """Guard against a team whose cancelling is removed because another one's had expired."""

    class RenewingStore(MemoryRowStore):
        async def read(self, table, part="", **bounds):
            rows = await super().read(table, part, **bounds)
            put(self, EXPIRED_ID, NOW_MS + 60_000)
            return rows

    store = RenewingStore(now_ms=NOW_MS)
    put(store, EXPIRED_ID, NOW_MS)
    asyncio.run(make_sweeper(store).sweep("a"))
    assert list(store.rows) == [tombstone_row_key(EXPIRED_ID)]


@pytest.mark.parametrize("is_away_first", [False, True])
def test_each_partition_has_its_turn(is_away_first, monkeypatch):
    """Guard against a partition that is never swept, or a sweeper that an outage ends."""
    monkeypatch.setattr(tombstone_sweeper, "SWEEP_INTERVAL_S", 0.002)
    store = MemoryRowStore(now_ms=NOW_MS, is_down=is_away_first)
    for partition in JOB_PARTITIONS:
        put(store, partition + "0" * 15, NOW_MS)

    async def run():
        task = asyncio.create_task(make_sweeper(store).run())
        await asyncio.sleep(0.02)
        store.is_down = False
        async with asyncio.timeout(5.0):
            while store.rows:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
