"""Test that teams stay within their limits while places move and answers are lost."""

import asyncio

import pytest

from baobabhoist.daemon.digests import digest_of
from baobabhoist.daemon.escrow import Escrow
from baobabhoist.errors import PlatformError
from baobabhoist.model import Answer
from baobabhoist.peer.messages import PlaceTransferRequest
from baobabhoist.quota.escrow import decode_row
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.shards import Rack, quicken, request, until
from baobabhoist.tests.tables import MemoryTable

LONG = b'{"run_s": 60}'


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    quicken(monkeypatch)


class Node:
    """Be an instance with some owners; wishes go straight to the other instance."""

    def __init__(self, table, view):
        self.table = table
        self.view = view
        self.owners = []
        self.peer = None
        self.escrow = Escrow(self)

    def busy_owners(self):
        return self.owners

    def peer_digests(self):
        return [digest_of(owner) for owner in self.peer.owners] if self.peer else []

    async def call_owner(self, shard, message, timeout_s):
        return await self.peer.escrow.give(message)


def set_limit(view, limit):
    revision = view.revision + 1
    view.apply(Record("team", "team", 1, revision, {"limit": limit, "share": 1.0}))


class Pair:
    """Hold two instances that own one shard each."""

    def __init__(self, limit):
        self.table = MemoryTable()
        view = RecordView()
        set_limit(view, limit)
        for number, shard in enumerate(("r1", "r2")):
            body = {"data_centre": "north", "workers": []}
            view.apply(Record("shard", shard, 1, number + 10, body))
        self.view = view
        self.racks = [Rack(self.table, shard=shard) for shard in ("r1", "r2")]
        self.nodes = [Node(self.table, view) for _ in self.racks]
        self.nodes[0].peer, self.nodes[1].peer = self.nodes[1], self.nodes[0]

    async def start(self):
        for rack, node in zip(self.racks, self.nodes, strict=True):
            rack.limit = None
            owner, _ = await rack.owned(f"owner-of-{rack.shard}")
            node.owners.append(owner)
        await self.cycle()

    async def cycle(self):
        for node in self.nodes:
            await node.escrow.cycle()

    def owner(self, number):
        return self.nodes[number].owners[0]

    def row(self):
        return decode_row("team", self.table.rows["escrow/team"].value)

    def held(self):
        return [self.owner(number).quota.escrow.get("team", 0) for number in (0, 1)]

    def check(self):
        """Compare the places in use with the row, which must hold at least as many."""
        row = self.row()
        for held, shard in zip(self.held(), ("r1", "r2"), strict=True):
            assert held <= row.held(shard)
        assert row.pool + sum(row.places.values()) <= row.limit


def scenario(limit):
    def wrap(test):
        def run():
            async def body():
                pair = Pair(limit)
                try:
                    await pair.start()
                    await test(pair)
                    pair.check()
                finally:
                    for rack in pair.racks:
                        await rack.close()

            asyncio.run(body())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap


@scenario(4)
async def test_a_new_owner_has_no_escrow_before_it_reads_the_row(pair):
    """Guard against places used by a new owner that the last one was giving away."""
    assert pair.held() == [2, 2]
    new, _ = await pair.racks[0].owned("next")
    assert new.quota.allowed("team") == 0
    pair.nodes[0].owners[:] = [new]
    await pair.cycle()
    assert new.quota.allowed("team") == 2


@scenario(4)
async def test_places_move_on_demand_and_are_never_used_twice(pair):
    """Guard against a shard that waits while another holds its team's places unused."""
    owner = pair.owner(0)
    for number in range(4):
        pair.racks[0].begin(owner.submit(request(f"t{number}", LONG, shard="r1")))
    await until(lambda: owner.quota.used["team"] == 2)
    while owner.quota.used["team"] < 4:
        await pair.cycle()
        pair.check()
        assert sum(pair.held()) <= 4
        await asyncio.sleep(0.05)
    assert pair.held() == [4, 0]


@scenario(4)
async def test_a_waiting_team_starts_in_the_cycle_that_brings_its_places(pair):
    """Guard against urgent work that waits for the next upkeep although its place has come."""
    owner = pair.owner(0)
    owner.scheduler._limited_teams_retry_at = float("inf")
    for number in range(3):
        pair.racks[0].begin(owner.submit(request(f"t{number}", LONG, shard="r1")))
    await until(lambda: owner.quota.used["team"] == 2)
    while owner.quota.escrow["team"] < 3:
        await pair.cycle()
    assert owner.quota.used["team"] == 3


async def lose_commit(pair, before):
    """Let one transfer lose its answer, before or after it took effect."""
    table = pair.table
    real = table.commit

    async def lossy(txn):
        table.commit = real
        if not before:
            await real(txn)
        raise PlatformError("the answer was lost")

    table.commit = lossy
    given = await pair.nodes[1].escrow.give(PlaceTransferRequest("team", 1, "r2", "r1"))
    assert given.places == 0


@pytest.mark.parametrize("before", [True, False])
def test_a_transfer_without_an_answer_keeps_its_places_out_of_use(before):
    """Guard against places used at both ends because an answer was lost."""

    @scenario(4)
    async def body(pair):
        await lose_commit(pair, before)
        assert pair.held()[1] == 1
        await pair.cycle()
        await pair.cycle()
        assert pair.held() == ([2, 2] if before else [3, 1])

    body()


@scenario(4)
async def test_a_donor_that_lost_its_shard_gives_nothing(pair):
    """Guard against a paused owner that gives away places which its successor uses."""
    await pair.racks[1].owned("successor")
    given = await pair.nodes[1].escrow.give(PlaceTransferRequest("team", 1, "r2", "r1"))
    assert given.places == 0
    assert pair.row().places == {"r1": 2, "r2": 2}


@scenario(4)
async def test_a_lowered_limit_stops_starts_at_once_and_returns_places(pair):
    """Guard against a team that keeps running above a lowered limit."""
    owner = pair.owner(0)
    running = pair.racks[0].begin(owner.submit(request("t1", b'{"run_s": 0.2}', shard="r1")))
    await until(lambda: owner.quota.used["team"] == 1)
    set_limit(pair.view, 0)
    pair.nodes[0].escrow.limits_changed()
    assert owner.quota.allowed("team") == 0
    waiting = pair.racks[0].begin(owner.submit(request("t2", shard="r1")))
    # Requests are left to end; their places return after the worker confirmed a later call.
    assert isinstance(await running, Answer)
    while pair.row().limit > 0:
        await pair.cycle()
        pair.check()
        await asyncio.sleep(0.02)
    assert pair.held() == [0, 0]
    assert not waiting.done()
    set_limit(pair.view, 4)
    await until(lambda: _raised(pair))


def _raised(pair):
    pair.racks[0].begin(pair.cycle())
    return pair.owner(0).quota.allowed("team") > 0


@scenario(4)
async def test_without_the_table_places_stay_as_they_are(pair):
    """Guard against a platform outage that stops work within the limits."""
    pair.table.down = True
    with pytest.raises(PlatformError):
        await pair.nodes[0].escrow.cycle()
    assert isinstance(await pair.owner(0).submit(request("t1", shard="r1")), Answer)
    pair.table.down = False
