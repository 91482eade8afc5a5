"""Test that an instance uses the store through its peers while it cannot reach it directly."""

import asyncio

import pytest

from baobabhoist.control import relay
from baobabhoist.control.messages import (
    CODEC,
    RelayCommit,
    RelayedCommit,
    RelayFailed,
    RelayFollow,
    RelayRead,
)
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.relay import MAX_HOPS, FailoverStore, RelayPeers
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.errors import MessageNotSentError
from baobabhoist.store.row_store import (
    HistoryLostError,
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowTransaction,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnansweredError,
)
from baobabhoist.testing.memory_row_store import MemoryRowStore

KEY = RowKey("jobs", "0", "0123")
# Fails a test whose instance never reaches the store again.
TEST_TIMEOUT_S = 3.0
TXN = RowTransaction({KEY: 0}, {KEY: b"value"})


class StoreView(MemoryRowStore):
    """Give one instance access to a shared store; `is_down` cuts this instance off."""

    def __init__(self, shared):
        super().__init__(rows=shared.rows, history=shared.history)
        self.shared = shared
        self.attempts = 0
        self.hanging_reads = 0

    async def read(self, table, part="", *, start="", end=""):
        if self.hanging_reads:
            self.hanging_reads -= 1
            await asyncio.Event().wait()
        return await super().read(table, part, start=start, end=end)

    async def commit(self, txn):
        self.attempts += 1
        self._raise_if_down()
        return await self.shared.commit(txn)

    async def poll_changes(self, table, after_version, wait_ms, max_bytes=0):
        self._raise_if_down()
        return await self.shared.poll_changes(table, after_version, wait_ms, max_bytes)


class FakeLink:
    """Send messages to a peer through the codec, as a link does, but without a network."""

    def __init__(self, peer):
        self.peer = peer
        self.is_silent = False
        self.calls = 0
        self.timeouts_s = []

    async def call(self, message, timeout_s):
        self.calls += 1
        self.timeouts_s.append(timeout_s)
        if self.is_silent:
            raise TimeoutError
        if self.peer is None:
            raise MessageNotSentError("closed")
        received = CODEC.decode(CODEC.encode(message)).message
        reply = await self.peer.serve(received)
        return CODEC.decode(CODEC.encode(reply)).message


def make_instance(shared, *links):
    view = StoreView(shared)
    return view, FailoverStore(
        MonitoredStore(view, NodeMetrics()), RelayPeers(lambda: list(links))
    )


def make_pair():
    shared = MemoryRowStore()
    _, peer = make_instance(shared)
    link = FakeLink(peer)
    view, store = make_instance(shared, link)
    return shared, view, store, link


async def cut_off(view, store):
    view.is_down = True
    with pytest.raises(StoreUnansweredError):
        await store.commit(TXN)


def test_cut_off_instance_commits_and_follows_through_a_peer():
    """Guard against an owner that stops all starts because it alone cannot reach the store."""

    async def run():
        shared, view, store, _ = make_pair()
        await cut_off(view, store)
        assert isinstance(await store.commit(TXN), RowsCommitted)
        again = await store.commit(TXN)
        assert isinstance(again, RowsConflict)
        assert again.version_of(KEY) == shared.rows[KEY].version
        changes = await store.poll_changes("jobs", 0, 10)
        assert [row.value for row in changes.rows] == [b"value"]

    asyncio.run(run())


def test_relayed_poll_has_the_limit_of_the_caller():
    """Guard against a slow link that carries a relayed backlog larger than the table."""

    async def run():
        _, view, store, _ = make_pair()
        await cut_off(view, store)
        assert isinstance(await store.commit(TXN), RowsCommitted)
        with pytest.raises(HistoryLostError):
            await store.poll_changes("jobs", 0, 10, max_bytes=len(TXN.puts[KEY]) - 1)

    asyncio.run(run())


def test_poll_that_is_forwarded_may_wait_for_a_change():
    """Guard against a sound peer that counts as unusable because a poll through it waits."""

    async def run():
        shared, _, _, link = make_pair()
        view, forwarding = make_instance(shared, link)
        await cut_off(view, forwarding)
        await forwarding.serve(RelayFollow("op", 0, 1_000))
        assert link.timeouts_s[-1] > 1.0

    asyncio.run(run())


def test_peer_reads_no_longer_than_its_caller_waits(monkeypatch):
    """Guard against an owner whose connections are in use for reads that nobody waits for."""
    monkeypatch.setattr(relay, "CALL_TIMEOUT_S", 0.05)

    async def run():
        view, peer = make_instance(MemoryRowStore())
        view.hanging_reads = 1
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reply = await peer.serve(RelayRead("op", "", "", ""))
        assert isinstance(reply, RelayFailed)

    asyncio.run(run())


def test_commit_without_an_answer_from_the_peer_is_not_refused():
    """Guard against a refusal of a job that a peer stored without answering."""

    async def run():
        _, view, store, link = make_pair()
        await cut_off(view, store)
        link.is_silent = True
        with pytest.raises(StoreUnansweredError):
            await store.commit(TXN)
        # The silent peer is skipped, so the next call is refused without being sent.
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert link.calls == 1

    asyncio.run(run())


def test_peer_that_cannot_reach_the_store_refuses():
    """Guard against calls that circulate among instances which are all cut off."""

    async def run():
        shared = MemoryRowStore()
        peer_view, peer = make_instance(shared)
        view, store = make_instance(shared, FakeLink(peer))
        await cut_off(view, store)
        await cut_off(peer_view, peer)
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert KEY not in shared.rows

    asyncio.run(run())


def test_commit_is_refused_unsent_while_no_instance_reaches_the_store():
    """Guard against jobs whose outcome is unknown although nobody could reach the store."""

    async def run():
        shared = MemoryRowStore()
        links = [FakeLink(None), FakeLink(None)]
        owner_view, owner = make_instance(shared, links[0])
        view, store = make_instance(shared, links[1])
        links[0].peer, links[1].peer = store, owner
        await cut_off(view, store)
        await cut_off(owner_view, owner)
        attempts_before = view.attempts + owner_view.attempts
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert view.attempts + owner_view.attempts == attempts_before

    asyncio.run(run())


def test_refusing_instance_notices_that_the_store_answers_again():
    """Guard against instances that keep refusing each other's calls after an outage."""

    async def run():
        shared = MemoryRowStore()
        peer_view, peer = make_instance(shared)
        await cut_off(peer_view, peer)
        peer_view.is_down = False
        relayed = RelayCommit((), (), (), hops=MAX_HOPS)
        assert isinstance(await peer.serve(relayed), RelayFailed)
        await asyncio.sleep(0)
        assert isinstance(await peer.serve(relayed), RelayedCommit)

    asyncio.run(run())


def test_probe_without_an_answer_does_not_delay_the_next(monkeypatch):
    """Guard against refusals that go on after an outage because one probe still hangs."""
    monkeypatch.setattr(relay, "PROBE_INTERVAL_S", 0.001)

    async def run():
        view, store = make_instance(MemoryRowStore())
        await cut_off(view, store)
        view.is_down = False
        view.hanging_reads = 1
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while store.direct.health.is_unreachable():
                await asyncio.sleep(0.001)

    asyncio.run(run())


def test_a_rejected_write_does_not_make_the_store_unreachable():
    """Guard against one row that is too large and keeps an instance from the store."""

    async def run():
        shared = MemoryRowStore(choose_failure=lambda txn: "rejected")
        _, peer = make_instance(shared)
        view, failover = make_instance(shared, FakeLink(peer))
        with pytest.raises(StoreRejectedError):
            await failover.commit(TXN)
        assert not failover.direct.health.is_unreachable()
        view.is_down = True
        for error in (StoreUnansweredError, StoreRejectedError):
            with pytest.raises(error):
                await failover.commit(TXN)

    asyncio.run(run())


def test_cut_off_peers_are_skipped():
    """Guard against an owner that keeps trying the same cut-off peers.

    Found in run "pulunadi grown scale-2".
    """

    async def run():
        shared = MemoryRowStore()
        cut_off_links = []
        for _ in range(7):
            peer_view, peer = make_instance(shared)
            await cut_off(peer_view, peer)
            cut_off_links.append(FakeLink(peer))
        _, connected = make_instance(shared)
        view, store = make_instance(shared, *cut_off_links, FakeLink(connected))
        await cut_off(view, store)
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert isinstance(await store.commit(TXN), RowsCommitted)
        calls_before = sum(link.calls for link in cut_off_links)
        assert isinstance(await store.commit(TXN), RowsConflict)
        assert sum(link.calls for link in cut_off_links) == calls_before

    asyncio.run(run())


def test_new_link_is_usable_whatever_became_of_closed_ones():
    """Guard against refusals because a new link has the address in memory of a failed one."""
    links = []
    peers = RelayPeers(lambda: links)
    for _ in range(100):
        links[:] = [FakeLink(None)]
        assert peers.usable_links() == links
        peers.mark_unusable(links[0])
        assert peers.usable_links() == []


def test_store_is_called_directly_again_once_it_answers():
    """Guard against an instance that keeps relaying through its peers after one lost answer."""

    async def run():
        _, view, store, link = make_pair()
        await cut_off(view, store)
        view.is_down = False
        await store.read("jobs", "0")
        assert link.calls == 1
        await asyncio.sleep(0)
        assert not store.direct.health.is_unreachable()
        await store.commit(TXN)
        assert link.calls == 1

    asyncio.run(run())


def test_read_that_no_peer_answers_in_time_is_unanswered():
    """Guard against a range that is never split although it is too large for the links."""

    async def run():
        _, view, store, link = make_pair()
        await cut_off(view, store)
        link.is_silent = True
        with pytest.raises(StoreUnansweredError):
            await store.read("jobs")

    asyncio.run(run())
