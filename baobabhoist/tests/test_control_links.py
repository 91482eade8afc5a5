"""Test that an instance keeps its link to the owner while the link carries large messages."""

import asyncio

import pytest

from baobabhoist.control import links
from baobabhoist.control.claim import ClaimRow, OwnerLinkState
from baobabhoist.control.links import MANY_LINKS_HEARTBEAT_INTERVAL_S, Identity, OwnerLink
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.messages import (
    CODEC,
    Greeting,
    OwnerHeartbeat,
    RelayedRows,
    RelayRead,
    Welcome,
    WireRow,
)
from baobabhoist.peer.flow_control import BYTES_PER_S_PER_MBPS
from baobabhoist.peer.link import Link
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated
from baobabhoist.testing.slow_connection import SlowConnection

CLAIM = ClaimRow("owner", "owner-boot", "127.0.0.1:1", 0)
QUERY = RelayRead("op", "", "", "")
VALUE = b"v" * 2_000_000
# Longer than any link here needs for the messages of a test.
CALL_TIMEOUT_S = 120.0


class SlowOwner:
    """Send heartbeats and answer relayed reads over a link of a given bandwidth."""

    def __init__(self, conn, link_mbps):
        self.link = Link(conn, CODEC, self._handle)
        self.link_mbps = link_mbps
        self.tasks = [asyncio.ensure_future(self.link.run())]

    async def _handle(self, message):
        if isinstance(message, Greeting):
            self.tasks.append(asyncio.ensure_future(self._send_heartbeats()))
            self.link.expect_bandwidth(min(self.link_mbps, message.link_mbps))
            return Welcome(CLAIM.node, CLAIM.boot, True, self.link_mbps)
        row = WireRow("op", "", "config", VALUE, 1)
        return RelayedRows((row,), 1, 1)

    async def _send_heartbeats(self):
        while True:
            await self.link.notify(OwnerHeartbeat())
            await asyncio.sleep(MANY_LINKS_HEARTBEAT_INTERVAL_S)


class LinkedInstance:
    """Record the states of an instance's link to the owner."""

    def __init__(self, monkeypatch, bytes_per_s, latency_s, link_mbps):
        self.states = []
        self.owners = []
        self.pair = (bytes_per_s, latency_s)
        self.loop = SimulatedLoop()
        monkeypatch.setattr(links, "connect", self._connect)
        monkeypatch.setattr(links, "monotonic_ms", self.loop.now_ms)
        self.link_mbps = link_mbps
        identity = Identity("n1", "boot", MachineSize(1.0, link_mbps))
        self.owner_link = OwnerLink(identity, self._ignore, self._record)

    async def _connect(self, *_, **__):
        conn, owner_conn = SlowConnection.pair(*self.pair)
        self.owners.append(SlowOwner(owner_conn, self.link_mbps))
        return conn

    async def _ignore(self, message):
        return None

    def _record(self):
        self.states.append(self.owner_link.state)

    async def connect(self):
        self.owner_link.connect_to(CLAIM)
        while self.owner_link.link is None:
            await asyncio.sleep(0.01)


# 1 and 5 Mbit/s, and 200 Mbit/s between distant regions.
@pytest.mark.parametrize("is_bandwidth_known", [False, True])
@pytest.mark.parametrize("calls", [1, 4])
@pytest.mark.parametrize(
    ("bytes_per_s", "latency_s"), [(125_000, 0.0), (625_000, 0.005), (25_000_000, 0.1)]
)
def test_large_messages_do_not_hold_up_the_owners_heartbeats(
    monkeypatch, bytes_per_s, latency_s, calls, is_bandwidth_known
):
    """Guard against a link that is closed, with all that it transfers, because it is full."""
    link_mbps = bytes_per_s / BYTES_PER_S_PER_MBPS if is_bandwidth_known else 0.0
    instance = LinkedInstance(monkeypatch, bytes_per_s, latency_s, link_mbps)

    async def scenario():
        await instance.connect()
        reads = [instance.owner_link.call(QUERY, CALL_TIMEOUT_S) for _ in range(calls)]
        replies = await asyncio.gather(*reads)
        assert [reply.rows[0].value for reply in replies] == [VALUE] * calls

    run_simulated(instance.loop, scenario())
    assert instance.states == [OwnerLinkState.CONNECTED]
