"""Test that an instance works through its peers while it is cut off from the store."""

import asyncio

import pytest

from baobabhoist.control.contact import WatchedStore
from baobabhoist.control.messages import CODEC
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.relay import Peers, RelayedStore
from baobabhoist.errors import MessageNotSentError
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowTransaction,
    StoreRefusedError,
    StoreUnansweredError,
)
from baobabhoist.testing.rows import MemoryRows

KEY = RowKey("jobs", "0", "0123")
TXN = RowTransaction({KEY: 0}, {KEY: b"value"})


class View(MemoryRows):
    """Be one instance's way to a shared store, which can be cut."""

    def __init__(self, shared):
        super().__init__(rows=shared.rows, log=shared.log)
        self.shared = shared

    async def commit(self, txn):
        self._check_up()
        return await self.shared.commit(txn)

    async def poll_changes(self, table, after_version, wait_ms):
        self._check_up()
        return await self.shared.poll_changes(table, after_version, wait_ms)


class DirectLink:
    """Pass messages to a peer through the codec, as a link does."""

    def __init__(self, peer):
        self.peer = peer
        self.silent = False
        self.calls = 0

    async def call(self, message, deadline_s):
        self.calls += 1
        if self.silent:
            raise TimeoutError
        if self.peer is None:
            raise MessageNotSentError("closed")
        received = CODEC.decode(CODEC.encode(message)).message
        reply = await self.peer.serve(received)
        return CODEC.decode(CODEC.encode(reply)).message


def instance(shared, *links):
    view = View(shared)
    return view, RelayedStore(WatchedStore(view, NodeMetrics()), Peers(lambda: list(links)))


def pair():
    shared = MemoryRows()
    _, peer = instance(shared)
    link = DirectLink(peer)
    view, store = instance(shared, link)
    return shared, view, store, link


async def lose(view, store):
    view.down = True
    with pytest.raises(StoreUnansweredError):
        await store.commit(TXN)


def test_a_cut_off_instance_commits_and_follows_through_a_peer():
    """Guard against an owner that stops all starts because only it lost the store."""

    async def run():
        shared, view, store, _ = pair()
        await lose(view, store)
        assert isinstance(await store.commit(TXN), RowsCommitted)
        again = await store.commit(TXN)
        assert isinstance(again, RowsConflict)
        assert again.version_of(KEY) == shared.rows[KEY].version
        changes = await store.poll_changes("jobs", 0, 10)
        assert [row.value for row in changes.rows] == [b"value"]

    asyncio.run(run())


def test_a_commit_without_a_peers_answer_is_not_called_refused():
    """Guard against "not run" for a job that a peer stored without saying so."""

    async def run():
        _, view, store, link = pair()
        await lose(view, store)
        link.silent = True
        with pytest.raises(StoreUnansweredError):
            await store.commit(TXN)
        # The silent link rests, so the next call is refused at once and truly.
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert link.calls == 1

    asyncio.run(run())


def test_a_peer_that_lost_the_store_too_refuses():
    """Guard against calls that go round between instances which are all cut off."""

    async def run():
        shared = MemoryRows()
        peer_view, peer = instance(shared)
        view, store = instance(shared, DirectLink(peer))
        await lose(view, store)
        await lose(peer_view, peer)
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert KEY not in shared.rows

    asyncio.run(run())


def test_peers_that_are_cut_off_too_are_passed_over():
    """Guard against an owner that always asks the same cut-off peers (pulunadi grown scale-2)."""

    async def run():
        shared = MemoryRows()
        cut = []
        for _ in range(7):
            peer_view, peer = instance(shared)
            await lose(peer_view, peer)
            cut.append(DirectLink(peer))
        _, good = instance(shared)
        view, store = instance(shared, *cut, DirectLink(good))
        await lose(view, store)
        with pytest.raises(StoreRefusedError):
            await store.commit(TXN)
        assert isinstance(await store.commit(TXN), RowsCommitted)
        asked = sum(link.calls for link in cut)
        assert isinstance(await store.commit(TXN), RowsConflict)
        assert sum(link.calls for link in cut) == asked

    asyncio.run(run())


def test_the_store_is_used_directly_again_once_it_answers():
    """Guard against an instance that burdens its peers for ever after one lost answer."""

    async def run():
        _, view, store, link = pair()
        await lose(view, store)
        view.down = False
        await store.read("jobs", "0")
        assert link.calls == 1
        await asyncio.sleep(0)
        assert not store.direct.contact.lost()
        await store.commit(TXN)
        assert link.calls == 1

    asyncio.run(run())
