"""Test that teams stay within their limits while quota moves and acknowledgements are lost."""

import asyncio

import pytest

from baobabhoist.daemon.digests import build_digest
from baobabhoist.daemon.escrow import EscrowManager
from baobabhoist.errors import PlatformError
from baobabhoist.model import Answer
from baobabhoist.peer.messages import PlaceTransferRequest
from baobabhoist.quota.escrow import decode_row
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.memory_table import MemoryTable
from baobabhoist.tests.shard_harness import ShardHarness, request, shorten_intervals, until

LONG = b'{"run_s": 60}'


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    shorten_intervals(monkeypatch)


class FakeInstance:
    """Provide the context of an escrow manager; calls go directly to the other instance."""

    def __init__(self, table, view):
        self.table = table
        self.view = view
        self.owners = []
        self.peer = None
        self.escrow = EscrowManager(self)

    def active_owners(self):
        return self.owners

    def peer_digests(self):
        return [build_digest(owner) for owner in self.peer.owners] if self.peer else []

    async def call_owner(self, shard, message, timeout_s):
        return await self.peer.escrow.grant(message)


def set_limit(view, limit):
    revision = view.revision + 1
    view.apply(Record("team", "team", 1, revision, {"limit": limit, "share": 1.0}))


class TwoInstanceCluster:
    """Run two instances that own one shard each."""

    def __init__(self, limit):
        self.table = MemoryTable()
        view = RecordView()
        set_limit(view, limit)
        for number, shard in enumerate(("r1", "r2")):
            body = {"data_centre": "north", "workers": []}
            view.apply(Record("shard", shard, 1, number + 10, body))
        self.view = view
        self.harnesses = [ShardHarness(self.table, shard=shard) for shard in ("r1", "r2")]
        self.instances = [FakeInstance(self.table, view) for _ in self.harnesses]
        self.instances[0].peer, self.instances[1].peer = self.instances[1], self.instances[0]

    async def start(self):
        for harness, instance in zip(self.harnesses, self.instances, strict=True):
            harness.limit = None
            owner, _ = await harness.start_owner(f"owner-of-{harness.shard}")
            instance.owners.append(owner)
        await self.reconcile()

    async def reconcile(self):
        for instance in self.instances:
            await instance.escrow.reconcile()

    def owner(self, number):
        return self.instances[number].owners[0]

    def row(self):
        return decode_row("team", self.table.rows["escrow/team"].value)

    def held(self):
        return [self.owner(number).quota_ledger.escrow.get("team", 0) for number in (0, 1)]

    def check_invariants(self):
        """Check that no shard holds more quota than its row grants, and that the limit is kept."""
        row = self.row()
        for held, shard in zip(self.held(), ("r1", "r2"), strict=True):
            assert held <= row.held(shard)
        assert row.pool + sum(row.places.values()) <= row.limit


def scenario(limit):
    def wrap(test):
        def run():
            async def body():
                cluster = TwoInstanceCluster(limit)
                try:
                    await cluster.start()
                    await test(cluster)
                    cluster.check_invariants()
                finally:
                    for harness in cluster.harnesses:
                        await harness.close()

            asyncio.run(body())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap


@scenario(4)
async def test_a_new_owner_has_no_escrow_before_it_reads_the_row(cluster):
    """Guard against a new owner that uses quota which the last one was transferring away."""
    assert cluster.held() == [2, 2]
    new, _ = await cluster.harnesses[0].start_owner("next")
    assert new.quota_ledger.allowed("team") == 0
    cluster.instances[0].owners[:] = [new]
    await cluster.reconcile()
    assert new.quota_ledger.allowed("team") == 2


@scenario(4)
async def test_quota_moves_on_demand_and_is_never_used_twice(cluster):
    """Guard against a shard that waits while another holds unused quota of the same team."""
    owner = cluster.owner(0)
    for number in range(4):
        cluster.harnesses[0].spawn(owner.submit(request(f"t{number}", LONG, shard="r1")))
    await until(lambda: owner.quota_ledger.used["team"] == 2)
    while owner.quota_ledger.used["team"] < 4:
        await cluster.reconcile()
        cluster.check_invariants()
        assert sum(cluster.held()) <= 4
        await asyncio.sleep(0.05)
    assert cluster.held() == [4, 0]


@scenario(4)
async def test_a_waiting_team_starts_in_the_cycle_that_adds_its_quota(cluster):
    """Guard against urgent work that waits for periodic maintenance after its quota arrived."""
    owner = cluster.owner(0)
    owner.scheduler._limited_teams_retry_at = float("inf")
    for number in range(3):
        cluster.harnesses[0].spawn(owner.submit(request(f"t{number}", LONG, shard="r1")))
    await until(lambda: owner.quota_ledger.used["team"] == 2)
    while owner.quota_ledger.escrow["team"] < 3:
        await cluster.reconcile()
    assert owner.quota_ledger.used["team"] == 3


async def lose_acknowledgement(cluster, before_commit):
    """Fail one transfer before it takes effect, or after it when only its reply is lost."""
    table = cluster.table
    original_commit = table.commit

    async def commit_and_fail(txn):
        table.commit = original_commit
        if not before_commit:
            await original_commit(txn)
        raise PlatformError("the answer was lost")

    table.commit = commit_and_fail
    reply = await cluster.instances[1].escrow.grant(PlaceTransferRequest("team", 1, "r2", "r1"))
    assert reply.places == 0


@pytest.mark.parametrize("before_commit", [True, False])
def test_quota_of_an_unacknowledged_transfer_stays_out_of_use(before_commit):
    """Guard against quota used by both shards because an acknowledgement was lost."""

    @scenario(4)
    async def body(cluster):
        await lose_acknowledgement(cluster, before_commit)
        assert cluster.held()[1] == 1
        await cluster.reconcile()
        await cluster.reconcile()
        assert cluster.held() == ([2, 2] if before_commit else [3, 1])

    body()


@scenario(4)
async def test_a_donor_that_lost_its_shard_grants_nothing(cluster):
    """Guard against a paused owner that transfers quota which its successor uses."""
    await cluster.harnesses[1].start_owner("successor")
    reply = await cluster.instances[1].escrow.grant(PlaceTransferRequest("team", 1, "r2", "r1"))
    assert reply.places == 0
    assert cluster.row().places == {"r1": 2, "r2": 2}


@scenario(4)
async def test_a_lowered_limit_stops_starts_at_once_and_returns_quota(cluster):
    """Guard against a team that keeps running above a lowered limit."""
    owner = cluster.owner(0)
    running = cluster.harnesses[0].spawn(
        owner.submit(request("t1", b'{"run_s": 0.2}', shard="r1"))
    )
    await until(lambda: owner.quota_ledger.used["team"] == 1)
    set_limit(cluster.view, 0)
    cluster.instances[0].escrow.apply_lowered_limits()
    assert owner.quota_ledger.allowed("team") == 0
    waiting = cluster.harnesses[0].spawn(owner.submit(request("t2", shard="r1")))
    # Running requests are not stopped. Their quota returns once the worker confirms a later call.
    assert isinstance(await running, Answer)
    while cluster.row().limit > 0:
        await cluster.reconcile()
        cluster.check_invariants()
        await asyncio.sleep(0.02)
    assert cluster.held() == [0, 0]
    assert not waiting.done()
    set_limit(cluster.view, 4)
    await until(lambda: reconcile_and_check_raised(cluster))


def reconcile_and_check_raised(cluster):
    cluster.harnesses[0].spawn(cluster.reconcile())
    return cluster.owner(0).quota_ledger.allowed("team") > 0


@scenario(4)
async def test_quota_is_unchanged_while_the_table_is_down(cluster):
    """Guard against a platform outage that stops work within the limits."""
    cluster.table.down = True
    with pytest.raises(PlatformError):
        await cluster.instances[0].escrow.reconcile()
    assert isinstance(await cluster.owner(0).submit(request("t1", shard="r1")), Answer)
    cluster.table.down = False
