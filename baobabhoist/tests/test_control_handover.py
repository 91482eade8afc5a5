"""Test that a small owner hands the cell over to a larger instance, and when it must not."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from baobabhoist.control import handover as handover_module
from baobabhoist.control import store_health
from baobabhoist.control.claim import decode_claim
from baobabhoist.control.config import CellConfig
from baobabhoist.control.handover import (
    CHECK_INTERVAL_S,
    HANDOVER_INTERVAL_MS,
    MIN_OWNERSHIP_MS,
    MIN_READY_MS,
    HandoverMonitor,
)
from baobabhoist.control.interfaces import ExternalTables
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.messages import CODEC, Greeting, ReadinessReply
from baobabhoist.control.node import Node, PlatformAdapter
from baobabhoist.control.row_schema import OWNER_ROW_KEY
from baobabhoist.control.settings import BoundSettings, NodeSettings, StoreSettings
from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.codec import Codec
from baobabhoist.store.row_store import RowKey, RowTransaction
from baobabhoist.testing.cluster import free_port
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.cell_harness import make_rules

# The machines of wm-roster-grown.
LARGE = MachineSize(2.151, 200.0)
MIDDLE = MachineSize(1.29, 10.0)
SMALL = MachineSize(0.387, 10.0)
CHECK_INTERVAL_MS = CHECK_INTERVAL_S * 1000
# Only a test that fails waits for this long.
HANDOVER_TIMEOUT_S = 10.0


class FakeLink:
    """Answer each readiness query with `ready`, or with an error if it is None."""

    def __init__(self):
        self.ready = True

    async def call(self, message, timeout_s):
        if self.ready is None:
            raise LinkClosedError("closed")
        return ReadinessReply(self.ready)


class MonitorHarness:
    """Run the checks of an owner that is linked to one instance, with a clock set by the test."""

    def __init__(self, monkeypatch, own_size, other_size):
        self.now = 100_000.0
        monkeypatch.setattr(handover_module, "monotonic_ms", lambda: self.now)
        self.is_heartbeat_stored = True
        self.link = FakeLink()
        self.is_draining = False
        self.handed_over_ms = []
        self.link_server = SimpleNamespace(links={"other": self.link}, sizes={"other": other_size})
        self.owner_router = SimpleNamespace(local_owner=None)
        self.monitor = HandoverMonitor(own_size, self.owner_router, self.link_server, self)
        self.take_over()

    def take_over(self):
        self.owner_router.local_owner = SimpleNamespace(
            cell=object(),
            ownership=SimpleNamespace(won_ms=self.now, token=1),
            progress_writer=SimpleNamespace(write_heartbeat=self.write_heartbeat),
        )

    async def write_heartbeat(self):
        return self.is_heartbeat_stored

    async def hand_over(self, successor):
        assert successor == "other"
        self.handed_over_ms.append(self.now)
        self.owner_router.local_owner = None

    def check_for(self, ms):
        for _ in range(int(ms / CHECK_INTERVAL_MS)):
            self.now += CHECK_INTERVAL_MS
            asyncio.run(self.monitor.check())
        return len(self.handed_over_ms)


@pytest.fixture
def make_harness(monkeypatch):
    return lambda own=SMALL, other=LARGE: MonitorHarness(monkeypatch, own, other)


@pytest.mark.parametrize(("own", "other"), [(SMALL, LARGE), (MIDDLE, LARGE), (SMALL, MIDDLE)])
def test_small_owner_hands_over_after_a_while(make_harness, own, other):
    """Guard against a cell that stays with a machine that is too small for it."""
    harness = make_harness(own, other)
    assert harness.check_for(MIN_OWNERSHIP_MS - 1) == 0
    assert harness.check_for(2 * CHECK_INTERVAL_MS) == 1


@pytest.mark.parametrize("own", [LARGE, MIDDLE, SMALL])
def test_owner_keeps_the_cell_from_machines_of_its_size(make_harness, own):
    """Guard against a cell that moves without need."""
    harness = make_harness(own, own)
    assert harness.check_for(10 * MIN_OWNERSHIP_MS) == 0
    assert make_harness(LARGE, SMALL).check_for(10 * MIN_OWNERSHIP_MS) == 0


def test_instance_that_sends_no_size_is_no_successor(make_harness):
    """Guard against a handover to an instance of a version that cannot take part in it."""
    assert make_harness(SMALL, MachineSize()).check_for(10 * MIN_OWNERSHIP_MS) == 0


@pytest.mark.parametrize("ready", [False, None])
def test_successor_was_ready_without_a_break(make_harness, ready):
    """Guard against a handover to an instance that drains or barely reaches the store."""
    harness = make_harness()
    harness.link.ready = ready
    assert harness.check_for(2 * MIN_OWNERSHIP_MS) == 0
    harness.link.ready = True
    assert harness.check_for(MIN_READY_MS) == 0
    harness.link.ready = ready
    assert harness.check_for(CHECK_INTERVAL_MS) == 0
    harness.link.ready = True
    assert harness.check_for(MIN_READY_MS) == 0
    assert harness.check_for(2 * CHECK_INTERVAL_MS) == 1


def lose_the_heartbeats(harness):
    harness.is_heartbeat_stored = False


def drain(harness):
    harness.is_draining = True


@pytest.mark.parametrize("impair", [lose_the_heartbeats, drain])
def test_no_handover_at_a_bad_time(make_harness, impair):
    """Guard against a cell without an owner because a handover got stuck."""
    harness = make_harness()
    for _ in range(20):
        impair(harness)
        assert harness.check_for(CHECK_INTERVAL_MS) == 0


def test_owner_that_cannot_finish_loading_hands_over(make_harness):
    """Guard against jobs that never run because a small machine loads the cell for ever."""
    harness = make_harness()
    harness.owner_router.local_owner.cell = None
    assert harness.check_for(MIN_READY_MS + 2 * CHECK_INTERVAL_MS) == 1


def test_handovers_are_limited(make_harness):
    """Guard against a cell that moves to and fro when its successor keeps failing."""
    harness = make_harness()
    assert harness.check_for(2 * MIN_OWNERSHIP_MS) == 1
    harness.take_over()
    assert harness.check_for(HANDOVER_INTERVAL_MS - 2 * MIN_OWNERSHIP_MS) == 1
    assert harness.check_for(3 * MIN_OWNERSHIP_MS) == 2


@attrs.frozen
class OldGreeting:
    """The greeting before it had sizes."""

    node: str
    boot: str


def test_greetings_of_old_and_new_versions_are_understood():
    """Guard against instances of two versions that cannot link to each other in an upgrade."""
    number = CODEC.type_numbers[Greeting]
    types = list(CODEC.message_types)
    types[number] = OldGreeting
    old_codec = Codec(tuple(types))
    received = CODEC.decode(old_codec.encode(OldGreeting("n", "b"))).message
    assert received == Greeting("n", "b", 0.0, 0.0)
    assert old_codec.decode(CODEC.encode(Greeting("n", "b", 2.0, 10.0))).message == OldGreeting(
        "n", "b"
    )


class SlowPollStore(MemoryRowStore):
    """Wait a little in each poll, as a long poll does."""

    async def poll_changes(self, table, after_version, wait_ms, max_bytes=0):
        await asyncio.sleep(0.02)
        return await super().poll_changes(table, after_version, wait_ms, max_bytes)


class FakeDecoder:
    """Decode a fixed configuration; there are no workers."""

    tables = ExternalTables("operator", "config", "servers")

    def decode_config(self, value):
        return CellConfig(1, make_rules(), (), {}, 1000)

    def decode_evacuation(self, key, value):
        return None


def make_node(store, name, size):
    cfg = NodeSettings(
        instance_id=name,
        data_centre="z1",
        host="127.0.0.1",
        caller_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        peer_port=free_port(),
        metrics_port=3,
        store=StoreSettings("127.0.0.1:4", 65_536),
        bounds=BoundSettings(6_000, 5_000, 6, 120, 2_000),
        cpu_share=size.cores,
        cpu_speed=1.0,
        link_mbps=size.link_mbps,
    )
    return Node(cfg, PlatformAdapter(store, None, None, FakeDecoder()))


def test_cell_returns_to_a_large_machine(monkeypatch):
    """Guard against a cell that stays with the small machine that heard of a release first."""
    monkeypatch.setattr(handover_module, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(handover_module, "MIN_OWNERSHIP_MS", 300.0)
    monkeypatch.setattr(handover_module, "MIN_READY_MS", 200.0)
    monkeypatch.setattr(store_health, "STABLE_AFTER_MS", 500.0)
    store = SlowPollStore()
    store.apply(RowTransaction(puts={RowKey("operator", "", "config"): b"1"}))

    def owner_node():
        row = store.rows.get(OWNER_ROW_KEY)
        return decode_claim(row.value).node if row is not None else ""

    async def wait_for_owner(name):
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            while owner_node() != name:
                await asyncio.sleep(0.02)

    async def run():
        small, other = make_node(store, "small", SMALL), make_node(store, "other-small", SMALL)
        tasks = [asyncio.create_task(small.run())]
        await wait_for_owner("small")
        tasks.append(asyncio.create_task(other.run()))
        tasks.append(asyncio.create_task(make_node(store, "large", LARGE).run()))
        await wait_for_owner("large")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())
