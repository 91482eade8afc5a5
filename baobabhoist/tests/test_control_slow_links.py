"""Test links between instances that need long for large messages."""

import asyncio

import pytest

from baobabhoist.control import links
from baobabhoist.control.claim import ClaimRow, OwnerLinkState
from baobabhoist.control.links import MANY_LINKS_HEARTBEAT_INTERVAL_S, Identity, OwnerLink
from baobabhoist.control.messages import (
    CODEC,
    Greeting,
    OwnerHeartbeat,
    RelayedRows,
    RelayRead,
    Welcome,
    WireRow,
)
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.relay import FailoverStore, RelayPeers
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import RowKey, RowTransaction, StoreUnansweredError
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated
from baobabhoist.testing.slow_connection import SlowConnection

# 5 Mbit/s; the value needs two seconds on such a link.
BYTES_PER_S = 625_000
VALUE = b"v" * 1_250_000
KEY = RowKey("op", "", "config")
CLAIM = ClaimRow("owner", "owner-boot", "127.0.0.1:1", 0)
# Longer than the link needs for the messages of a test.
CALL_TIMEOUT_S = 120.0
CALLS = 4


async def _ignore(message):
    return None


def test_relayed_rows_that_take_longer_than_a_timeout_are_read():
    """Guard against a configuration that a cut-off instance asks its peer for again and again."""

    async def scenario():
        shared = MemoryRowStore(row_max_bytes=len(VALUE), call_max_bytes=len(VALUE))
        await shared.commit(RowTransaction({KEY: 0}, {KEY: VALUE}))
        peer = FailoverStore(MonitoredStore(shared, NodeMetrics()), RelayPeers(list))
        conn, peer_conn = SlowConnection.pair(BYTES_PER_S)
        link, peer_link = Link(conn, CODEC, _ignore), Link(peer_conn, CODEC, peer.serve)
        tasks = [asyncio.ensure_future(end.run()) for end in (link, peer_link)]
        direct = MonitoredStore(MemoryRowStore(is_down=True), NodeMetrics())
        store = FailoverStore(direct, RelayPeers(lambda: [link]))
        with pytest.raises(StoreUnansweredError):
            await direct.read("op")
        rows = await store.read("op")
        assert [row.value for row in rows.rows] == [VALUE]
        assert not any(task.done() for task in tasks)

    run_simulated(SimulatedLoop(), scenario())


class SlowOwner:
    """Send heartbeats and answer relayed reads over a slow link."""

    def __init__(self, conn):
        self._link = Link(conn, CODEC, self._handle)
        self._tasks = [asyncio.ensure_future(self._link.run())]

    async def _handle(self, message):
        if isinstance(message, Greeting):
            self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))
            return Welcome(CLAIM.node, CLAIM.boot, True)
        return RelayedRows((WireRow("op", "", "config", VALUE, 1),), 1, 1)

    async def _send_heartbeats(self):
        while True:
            await self._link.notify(OwnerHeartbeat())
            await asyncio.sleep(MANY_LINKS_HEARTBEAT_INTERVAL_S)


def test_large_messages_do_not_hold_up_the_owners_heartbeats(monkeypatch):
    """Guard against a link that is closed, with all that it transfers, because it is full."""
    loop, states, owners = SimulatedLoop(), [], []

    async def connect(*_, **__):
        conn, owner_conn = SlowConnection.pair(BYTES_PER_S)
        owners.append(SlowOwner(owner_conn))
        return conn

    monkeypatch.setattr(links, "connect", connect)
    monkeypatch.setattr(links, "monotonic_ms", loop.now_ms)
    identity = Identity("n1", "boot")
    owner_link = OwnerLink(identity, _ignore, lambda: states.append(owner_link.state))

    async def scenario():
        owner_link.connect_to(CLAIM)
        while owner_link.link is None:
            await asyncio.sleep(0.01)
        query = RelayRead("op", "", "", "")
        await asyncio.gather(*(owner_link.call(query, CALL_TIMEOUT_S) for _ in range(CALLS)))

    run_simulated(loop, scenario())
    assert states == [OwnerLinkState.CONNECTED]
