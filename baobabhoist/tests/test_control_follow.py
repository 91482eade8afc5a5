"""Test how a table is followed through outages and lost history."""

import asyncio

import pytest

from baobabhoist.control import follow as follow_module
from baobabhoist.control.clock import SharedClock
from baobabhoist.control.follow import TableFollower
from baobabhoist.store.row_store import RowKey, RowTransaction
from baobabhoist.testing.rows import MemoryRows

KEY = RowKey("t", "", "k")


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(follow_module, "RETRY_S", 0.0)


def put(rows, value):
    rows.apply(RowTransaction({}, {KEY: value}))


async def turn(times=30):
    for _ in range(times):
        await asyncio.sleep(0)


def follow(test):
    """Run a test beside a follower; it gets the store, the readings and the follower."""

    async def run():
        rows, seen = MemoryRows(), []

        def take(found, whole):
            seen.extend((row.value, whole) for row in found)

        follower = TableFollower(rows, "t", take, SharedClock())
        task = asyncio.create_task(follower.run())
        await turn()
        await test(rows, seen, follower)
        task.cancel()

    asyncio.run(run())


def test_changes_come_after_the_first_reading():
    """Guard against a change that neither the reading nor the changes bring."""

    async def test(rows, seen, follower):
        put(rows, b"1")
        await turn()
        assert seen == [(b"1", False)]

    follow(test)


def test_a_lost_history_leads_to_a_whole_reading():
    """Guard against a change that was made while the store dropped its history."""

    async def test(rows, seen, follower):
        put(rows, b"1")
        rows.history_from = rows.version + 1
        rows.log.clear()
        await turn()
        assert (b"1", True) in seen

    follow(test)


def test_following_goes_on_after_an_outage():
    """Guard against a watch that ends with the first failed call."""

    async def test(rows, seen, follower):
        rows.down = True
        await turn()
        confirmed = follower.confirmed_ms
        put(rows, b"2")
        await turn()
        assert seen == []
        assert follower.confirmed_ms == confirmed
        rows.down = False
        await turn()
        assert seen == [(b"2", False)]

    follow(test)
