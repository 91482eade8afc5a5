"""Test how an instance and the cell's owner learn which data centres are to be emptied."""

import asyncio

import attrs
import orjson
import pytest

from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.control import owner as owner_module
from baobabhoist.control import table_follower
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.node import Node, PlatformAdapter
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.store.row_store import RowKey, RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.owner_harness import OwnerHarness
from baobabhoist.tests.platform_harness import CONFIG, NoWorkers, make_settings

OPERATOR_TABLE = PlatformDecoder.tables.operator
CONFIG_KEY = RowKey(OPERATOR_TABLE, "", PlatformDecoder.tables.config_key)
ODD_NAME = "west/ö 1"


def evacuation_key(data_centre):
    return RowKey(OPERATOR_TABLE, "", f"evacuate/{data_centre}")


class FollowingNode:
    """Let an instance's follower of the operator's table run against a store in memory."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(table_follower, "RETRY_INTERVAL_S", 0.0)
        self.store = MemoryRowStore()
        self.put(CONFIG_KEY, orjson.dumps(CONFIG))
        adapter = PlatformAdapter(self.store, NoWorkers(), NoWorkers(), PlatformDecoder())
        self.node = Node(make_settings(5.0), adapter)

    def put(self, key, value=b"{}"):
        self.store.apply(RowTransaction({}, {key: value}))

    def remove(self, key):
        self.store.apply(RowTransaction({}, {}, (key,)))

    def lose_history(self):
        self.store.history_start_version = self.store.version
        self.store.history.clear()

    async def follow(self):
        follower = table_follower.TableFollower(
            self.store, OPERATOR_TABLE, self.node._apply_operator_rows, self.node.clock
        )
        task = asyncio.create_task(follower.run())
        await self.settle()
        return task

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)

    @property
    def emptied(self):
        return set(self.node.config.evacuations.data_centres)


@pytest.fixture
def following(monkeypatch):
    return FollowingNode(monkeypatch)


def run_while_following(following, test):
    async def run():
        task = await following.follow()
        try:
            await test()
        finally:
            task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("value", [b"{}", b"", b"[1]", b"null", b"\xff\xfe", b'{"state": 7}'])
def test_any_value_of_the_row_counts_as_a_request(following, value):
    """Guard against starts in a data centre because its request was malformed."""

    async def test():
        following.put(evacuation_key(ODD_NAME), value)
        await following.settle()
        assert following.emptied == {ODD_NAME}

    run_while_following(following, test)


def test_removed_row_ends_the_evacuation(following):
    """Guard against a data centre that stays empty after the request is taken back."""
    following.put(evacuation_key("east"))
    following.put(evacuation_key("west"))

    async def test():
        assert following.emptied == {"east", "west"}
        following.remove(evacuation_key("east"))
        await following.settle()
        assert following.emptied == {"west"}

    run_while_following(following, test)


def test_requests_are_read_again_in_full_when_the_store_lost_its_history(following):
    """Guard against a request, or its end, that only the lost history told."""
    following.put(evacuation_key("east"))

    async def test():
        following.store.is_down = True
        await following.settle()
        following.remove(evacuation_key("east"))
        following.put(evacuation_key("west"))
        following.lose_history()
        following.store.is_down = False
        await following.settle()
        assert following.emptied == {"west"}

    run_while_following(following, test)


def test_row_without_a_data_centre_is_ignored(following):
    """Guard against a follower that ends because of a row that names nothing."""

    async def test():
        following.put(evacuation_key(""))
        following.put(evacuation_key("east"))
        await following.settle()
        assert following.emptied == {"east"}

    run_while_following(following, test)


def test_new_owner_knows_the_requests_before_its_first_round(following, monkeypatch):
    """Guard against an owner that starts tasks before it has heard of a request."""
    created = []
    monkeypatch.setattr(owner_module, "CellOwner", lambda *args: created.append(args))
    following.put(evacuation_key("east"))

    async def test():
        following.node._make_owner(None, lambda: 0.0, lambda reason: None)
        assert created[0][-1] == Evacuations(frozenset({"east"}))

    run_while_following(following, test)


class EvacuationOwner(OwnerHarness):
    """Run an owner whose instance confirmed the operator's table at `confirmed_ms`."""

    def __init__(self, evacuations, confirmed_ms):
        super().__init__()
        self.confirmed_ms = confirmed_ms
        deps = attrs.evolve(self.owner._deps, operator_confirmed_ms=lambda: self.confirmed_ms)
        self.owner = owner_module.CellOwner(
            deps, self.owner.ownership, self.owner._rules, evacuations
        )

    async def may_start_after(self, event):
        """Return whether the waiting job starts only after an event."""
        self.store_job()
        await self.start()
        await self.wait_until(lambda: self.owner._directory.is_confirmed)
        await asyncio.sleep(0.2)
        assert not self.driver.starts
        event()
        self.owner.request_scheduling_round()
        await self.wait_until(lambda: self.driver.starts)
        self.task.cancel()


def test_new_owner_starts_nothing_in_a_data_centre_that_its_instance_knew_of():
    """Guard against starts of a new owner in a data centre emptied before its claim."""
    harness = EvacuationOwner(Evacuations(frozenset({"z1"})), monotonic_ms())
    asyncio.run(harness.may_start_after(lambda: harness.owner.apply_evacuations(Evacuations())))


def test_new_owner_starts_nothing_before_the_operators_table_is_confirmed():
    """Guard against a new owner whose instance has not heard of a request in time."""
    harness = EvacuationOwner(Evacuations(), float("-inf"))

    def confirm():
        harness.confirmed_ms = monotonic_ms()

    asyncio.run(harness.may_start_after(confirm))
