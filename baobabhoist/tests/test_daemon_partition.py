"""Test which shards an instance claims when a network partition ends."""

import asyncio
import contextlib
from types import SimpleNamespace

from baobabhoist.daemon.owners import (
    DISCOVERY_PERIOD_S,
    LocalInstance,
    OwnershipManager,
    is_any_reachable,
)
from baobabhoist.model import Resources, WorkerSpec
from baobabhoist.ownership.rendezvous import OwnerCandidate, rank_owners
from baobabhoist.testing.cluster import free_port

WORKERS = [WorkerSpec("w1", "127.0.0.1", 1, "r", Resources())]

# An instance that ranks higher than `n1` for the shard.
HIGHER_RANKED = next(
    {"instance_id": name, "data_centre": "south", "weight": 1.0, "draining": False}
    for name in ("n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9")
    if rank_owners("s", "south", [OwnerCandidate("n1", "south"), OwnerCandidate(name, "south")])[0]
    == name
)


class Shards:
    """List one shard of the data centre `south`."""

    def names(self):
        return ["s"]

    def data_centre_of(self, shard):
        return "south"

    def workers_of(self, shard):
        return WORKERS


class Peers:
    """Report an owner of the shard once `heard` is set."""

    heard = False

    def live_heartbeats(self):
        return []

    def owner_of(self, shard):
        return "other" if self.heard else None


def claim_times(data_centre, reachable_at, heard_at, until=10.0):
    """Return the times at which an instance claims the shard, in steps of 0.25 s."""
    now, claimed, peers = [0.0], [], Peers()

    async def is_reachable(workers):
        return now[0] >= reachable_at

    async def body():
        ownership = OwnershipManager(
            LocalInstance("n1", data_centre),
            Shards(),
            peers,
            None,
            clock=lambda: now[0],
            is_reachable=is_reachable,
        )
        ownership.claim = lambda shard: claimed.append(now[0])
        while now[0] < until and not claimed:
            peers.heard = now[0] >= heard_at
            await ownership.tick()
            now[0] += 0.25

    asyncio.run(body())
    return claimed


def test_a_shard_whose_owner_is_heard_again_is_not_claimed():
    """Guard against each side claiming the other's shards when a partition ends."""
    assert claim_times("north", reachable_at=5.0, heard_at=6.25) == []


def test_a_shard_of_a_data_centre_that_is_gone_is_claimed():
    """Guard against shards without an owner, and a delay longer than the takeover limit."""
    (claimed,) = claim_times("north", reachable_at=0.0, heard_at=99.0)
    assert claimed <= 2.0
    (after_partition,) = claim_times("north", reachable_at=5.0, heard_at=99.0)
    assert after_partition <= 7.0


def test_a_handed_over_shard_is_not_claimed_back_at_once():
    """Guard against a hand-over that is undone before the successor's first heartbeat."""
    now, claimed, peers = [100.0], [], Peers()

    async def body():
        ownership = OwnershipManager(
            LocalInstance("n1", "south"), Shards(), peers, None, clock=lambda: now[0]
        )
        ownership.claim = lambda shard: claimed.append(now[0])
        peers.live_heartbeats = lambda: [SimpleNamespace(**HIGHER_RANKED)]
        ownership._unowned_since["s"] = 1.0
        ownership._last_tick = now[0]
        ownership.owners["s"] = SimpleNamespace(claim=SimpleNamespace(state=None))
        await ownership.tick()
        del ownership.owners["s"]
        await ownership.tick()

    asyncio.run(body())
    assert claimed == []


def test_a_connection_that_delivers_nothing_is_not_a_reachable_worker():
    """Guard against middleboxes that accept connections for an unreachable worker."""

    async def body():
        port = free_port()
        spec = WorkerSpec("w1", "127.0.0.1", port, "r", Resources())

        async def never_answer(reader, writer):
            with contextlib.closing(writer):
                await asyncio.sleep(9)

        async with await asyncio.start_server(never_answer, "127.0.0.1", port):
            return await is_any_reachable([spec])

    assert asyncio.run(body()) is False


def test_a_local_shard_is_claimed_without_the_remote_delay():
    """Guard against slower takeovers inside a data centre."""
    assert claim_times("south", reachable_at=99.0, heard_at=99.0)[0] <= DISCOVERY_PERIOD_S
