"""Test how an instance gets its records when the platform or its peers fail."""

import asyncio

import pytest

from baobabhoist.daemon.record_sync import RecordSync, encode_record
from baobabhoist.errors import LinkClosedError, PlatformError
from baobabhoist.peer.messages import RecordEntries
from baobabhoist.records.changes import build_transaction
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.memory_table import MemoryTable


class Network:
    """Connect the synchronisation of several instances; those in `unreachable` fail calls."""

    def __init__(self):
        self.syncs = {}
        self.unreachable = set()
        self.pushed = []

    async def call(self, instance_id, message, timeout_s):
        if instance_id in self.unreachable:
            raise LinkClosedError("cut")
        return await self.syncs[instance_id].receive(message)

    async def broadcast(self, message, data_centre=None):
        self.pushed.append((message, data_centre))

    def add(self, name, table):
        sync = self.syncs[name] = RecordSync(RecordView(), table, name, "north")
        sync.peers = self
        return sync


async def put(table, name, limit):
    current = await table.read(f"record/team/{name}")
    head = await table.read("log_head")
    await table.commit(
        build_transaction("team", name, 1, {"limit": limit, "share": 1.0}, current, head)
    )


def limits(sync):
    return {name: team.limit for name, team in sync._view.teams().items()}


async def two_teams():
    table = MemoryTable()
    await put(table, "a", 1)
    await put(table, "b", 2)
    await put(table, "a", 3)
    return table


def test_an_instance_loads_records_and_not_the_history_of_the_log():
    """Guard against a startup time that grows with the history of changes."""

    async def scenario():
        table = await two_teams()
        for key in [key for key in table.rows if key.startswith("log/")]:
            del table.rows[key]
        sync = Network().add("x", table)
        await sync.pull()
        assert sync.loaded.is_set()
        return limits(sync), sync._view.revision

    assert asyncio.run(scenario()) == ({"a": 3, "b": 2}, 3)


def test_without_the_platform_an_instance_loads_from_a_peer():
    """Guard against an instance that is ready without records, or never ready."""

    async def scenario():
        network = Network()
        first = network.add("first", await two_teams())
        await first.pull()
        dead = MemoryTable()
        dead.down = True
        late = network.add("late", dead)
        with pytest.raises(PlatformError):
            await late.pull()
        assert not late.loaded.is_set()
        await late.on_peer_revision("first", 3, 0.0)
        assert late.loaded.is_set()
        assert limits(late) == {"a": 3, "b": 2}
        # Later entries are relayed one by one.
        await put(first._table, "b", 5)
        await first.pull()
        await late.on_peer_revision("first", 4, 0.0)
        assert limits(late) == {"a": 3, "b": 5}

    asyncio.run(scenario())


def test_a_deleted_record_does_not_return_with_a_snapshot():
    """Guard against a revoked key that a snapshot of a peer restores or leaves in force."""

    async def scenario():
        network = Network()
        table = await two_teams()
        peer = network.add("peer", table)
        await peer.pull()
        late = network.add("late", table)
        await late.receive(peer._build_pull_reply(0))
        current, head = await table.read("record/team/a"), await table.read("log_head")
        await table.commit(build_transaction("team", "a", 1, None, current, head))
        await peer.pull()
        peer._recent.clear()
        await late.on_peer_revision("peer", 4, 0.0)
        assert limits(late) == {"b": 2}

    asyncio.run(scenario())


def test_an_entry_after_a_gap_is_not_applied_before_the_missing_one():
    """Guard against a record that is never applied because a later one arrived first."""

    async def scenario():
        sync = Network().add("x", MemoryTable())

        def entry(revision):
            return Record("team", f"t{revision}", 1, revision, {"limit": 1, "share": 1.0})

        await sync.receive(RecordEntries("p", (encode_record(entry(1)), encode_record(entry(3)))))
        assert sync._view.revision == 1
        await sync.receive(RecordEntries("p", (encode_record(entry(2)), encode_record(entry(3)))))
        await sync.receive(RecordEntries("p", (encode_record(entry(1)),)))
        return sync._view.revision

    assert asyncio.run(scenario()) == 3


def test_applied_changes_are_pushed_inside_the_data_centre():
    """Guard against peers that receive a change only with their own next poll."""

    async def scenario():
        network = Network()
        table = await two_teams()
        sync = network.add("x", table)
        await sync.pull()
        await put(table, "c", 9)
        await sync.pull()
        ((message, data_centre),) = network.pushed
        assert data_centre == "north"
        assert len(message.entries) == 1

    asyncio.run(scenario())


def test_an_instance_reports_for_how_long_it_is_cut_off():
    """Guard against a cut-off data centre that accepts keys beyond their offline grace period."""

    async def scenario():
        now = [100.0]
        sync = RecordSync(RecordView(), MemoryTable(), "x", "north", lambda: now[0])
        await sync.pull()
        now[0] = 150.0
        assert sync.cut_off_s() == 50.0
        # A peer that reached the platform 10 s ago and knows no later record confirms them.
        await sync.on_peer_revision("peer", 0, 10.0)
        assert sync.cut_off_s() == 10.0

    asyncio.run(scenario())


def test_an_empty_table_makes_an_instance_ready():
    """Guard against a first start that waits for records which nobody can create."""

    async def scenario():
        sync = Network().add("x", MemoryTable())
        await sync.pull()
        return sync.loaded.is_set()

    assert asyncio.run(scenario())
