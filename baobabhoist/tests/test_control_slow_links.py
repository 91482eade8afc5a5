"""Test calls between instances over links that need long for large messages."""

import asyncio

import pytest

from baobabhoist.control.messages import (
    CODEC,
    SLOW_CALLS,
    RelayedRows,
    RelayFollow,
    RelayRead,
)
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.relay import FailoverStore, RelayPeers
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowTransaction,
    StoreUnansweredError,
)
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated
from baobabhoist.testing.slow_connection import SlowConnection

# 5 Mbit/s; the value needs two seconds on such a link.
BYTES_PER_S = 625_000
VALUE = b"v" * 1_250_000
KEY = RowKey("op", "", "config")
TXN = RowTransaction({KEY: 0}, {KEY: VALUE})


class WaitingStore(MemoryRowStore):
    """Answer a poll without changes at the end of its wait, and read for `read_s`."""

    read_s = 0.0

    async def read(self, table, part="", *, start="", end=""):
        await asyncio.sleep(self.read_s)
        return await super().read(table, part, start=start, end=end)

    async def poll_changes(self, table, after_version, wait_ms, max_bytes=0):
        changes = await super().poll_changes(table, after_version, wait_ms, max_bytes)
        if not changes.rows:
            await asyncio.sleep(wait_ms / 1000)
        return changes


class RelayedInstance:
    """Reach a store only through a peer, over a link of a given bandwidth.

    `peer` is the store of that peer; by default it reaches the shared store directly.
    """

    def __init__(self, shared, peer=None):
        self.shared = shared
        self.conn, peer_conn = SlowConnection.pair(BYTES_PER_S)
        if peer is None:
            peer = FailoverStore(MonitoredStore(shared, NodeMetrics()), RelayPeers(list))
        self.peer_link = Link(peer_conn, CODEC, peer.serve, SLOW_CALLS)
        self.link = Link(self.conn, CODEC, self._ignore)
        direct = MonitoredStore(MemoryRowStore(is_down=True), NodeMetrics())
        self.store = FailoverStore(direct, RelayPeers(lambda: [self.link]))
        self._tasks = []

    async def connect(self):
        self._tasks = [asyncio.ensure_future(k.run()) for k in (self.link, self.peer_link)]
        with pytest.raises(StoreUnansweredError):
            await self.store.direct.read("op")

    async def _ignore(self, message):
        return None


def run(scenario, read_s=0.0):
    async def run_scenario():
        shared = WaitingStore(row_max_bytes=len(VALUE), call_max_bytes=len(VALUE))
        shared.read_s = read_s
        instance = RelayedInstance(shared)
        await instance.connect()
        return await scenario(instance)

    return run_simulated(SimulatedLoop(), run_scenario())


def test_relayed_rows_that_take_longer_than_a_timeout_are_read():
    """Guard against a configuration that a cut-off instance asks its peer for again and again."""

    async def scenario(instance):
        await instance.shared.commit(TXN)
        rows = await instance.store.read("op")
        changes = await instance.store.poll_changes("op", 0, 0)
        assert [row.value for row in (*rows.rows, *changes.rows)] == [VALUE, VALUE]

    run(scenario)


def test_relayed_commit_that_takes_longer_than_a_timeout_is_applied_once():
    """Guard against a large transaction that is sent and given up again and again."""

    async def scenario(instance):
        assert isinstance(await instance.store.commit(TXN), RowsCommitted)
        assert instance.shared.commit_count == 1

    run(scenario)


@pytest.mark.parametrize("arrived_bytes", [0, len(VALUE) // 2])
def test_relayed_call_whose_reply_stops_arriving_is_given_up(arrived_bytes):
    """Guard against a read that waits for ever for a peer that sends nothing any more."""

    async def scenario(instance):
        await instance.shared.commit(TXN)
        read = asyncio.ensure_future(instance.store.read("op"))
        while instance.conn.received_bytes < arrived_bytes:
            await asyncio.sleep(0.01)
        instance.conn.is_silent = True
        with pytest.raises(StoreUnansweredError):
            await read

    run(scenario)


def test_relayed_commit_that_stops_arriving_is_not_repeated():
    """Guard against a transaction that is sent again although the peer may have applied it."""

    async def scenario(instance):
        instance.conn.is_silent = True
        with pytest.raises(StoreUnansweredError):
            await instance.store.commit(RowTransaction({KEY: 0}, {KEY: b"small"}))
        await asyncio.sleep(10.0)
        assert instance.shared.commit_count == 1

    run(scenario)


def test_reply_that_nobody_waits_for_is_not_sent_on():
    """Guard against a link that is full of the replies to calls that were given up."""

    async def scenario(instance):
        await instance.shared.commit(TXN)
        with pytest.raises(TimeoutError):
            await instance.link.call(RelayRead("op", "", "", ""), 0.5)
        await asyncio.sleep(10.0)
        assert instance.conn.received_bytes < len(VALUE) / 2
        assert instance.link.unfinished_bytes() == 0
        assert (await instance.store.read("op")).rows[0].value == VALUE

    run(scenario)


def test_poll_that_is_forwarded_may_wait_for_a_change():
    """Guard against an owner that gives up sound peers, and then has none for its own commits."""

    async def scenario(instance):
        poll = RelayFollow("op", instance.shared.version, wait_ms=1_000)
        assert isinstance(await instance.store.serve(poll), RelayedRows)
        assert isinstance(await instance.store.commit(TXN), RowsCommitted)

    run(scenario)


def test_rows_that_a_peer_reads_for_longer_than_a_timeout_are_read():
    """Guard against a configuration that takes the peer itself longer than its caller waits."""

    async def scenario(instance):
        await instance.shared.commit(TXN)
        assert (await instance.store.read("op")).rows[0].value == VALUE
        assert instance.link.unfinished_bytes() == 0

    run(scenario, read_s=2.0)


def test_rows_that_take_long_to_a_forwarding_peer_are_read():
    """Guard against a configuration that takes the second of two links longer than a timeout."""

    async def scenario(owner):
        await owner.shared.commit(TXN)
        instance = RelayedInstance(owner.shared, owner.store)
        await instance.connect()
        assert (await instance.store.read("op")).rows[0].value == VALUE

    run(scenario)
