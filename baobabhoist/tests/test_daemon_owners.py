"""Test who claims a shard, and how an instance stops, with scripted peers and owners."""

import asyncio

import attrs
import pytest

from baobabhoist.daemon.owners import Owners, Place
from baobabhoist.daemon.shutdown import Drain
from baobabhoist.errors import LinkClosedError, NotSentError
from baobabhoist.gateway.drain import OpenRequests
from baobabhoist.model import Resources, WorkerSpec
from baobabhoist.ownership.events import ClaimState
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import HandOver, HandOverReply, Heartbeat

SPEC = WorkerSpec("w1", "127.0.0.1", 1, "r", Resources(1000, 1000, 0, 4))


class FakePeers:
    def __init__(self, *names, data_centre="north"):
        self.live = {name: Heartbeat(name, data_centre, (), 0, draining=False) for name in names}
        self.owner = None
        self.reply = HandOverReply("s1", True)

    def live_heartbeats(self):
        return list(self.live.values())

    def owner_of(self, shard):
        return self.owner

    async def call(self, instance_id, message, timeout_s):
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


class FakeShards:
    def names(self):
        return ["s1"]

    def data_centre_of(self, shard):
        return "north"

    def workers_of(self, shard):
        return [SPEC]


class FakeFencing:
    def __init__(self, claim):
        self.claim = claim
        self.ended = asyncio.Event()
        self.handed_to = None

    async def hand_over(self, successor):
        self.handed_to = successor
        self.ended.set()
        return True


class FakeOwner:
    def __init__(self, claim, inherited):
        self.shard, self.claim, self.inherited = "s1", claim, inherited
        self.fencing = FakeFencing(claim)
        claim.state = ClaimState.OWNED

    async def run(self):
        await self.fencing.ended.wait()

    def open_requests(self):
        return 0


class Setting:
    """Hold an instance `me` in the north whose clock the test turns."""

    def __init__(self, peers, me="me", data_centre="north", reachable=True):
        self.now = 1000.0
        self.peers = peers

        async def reach(workers):
            return reachable

        self.owners = Owners(
            Place(me, data_centre),
            FakeShards(),
            peers,
            lambda claim, workers, inherited: FakeOwner(claim, inherited),
            clock=lambda: self.now,
            reach=reach,
        )
        self.owners._last_tick = self.now

    async def pass_time(self, seconds):
        """Tick every quarter of a second."""
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            await self.owners.tick()
        await asyncio.sleep(0)

    @property
    def claimed(self):
        return "s1" in self.owners.owners


def run(test):
    asyncio.run(test())


def test_a_shard_without_a_live_owner_is_claimed_and_one_with_an_owner_is_not():
    """Guard against a dead owner's shard that nobody claims, and against needless claims."""

    async def body():
        setting = Setting(FakePeers())
        setting.peers.owner = "other"
        await setting.pass_time(5)
        assert not setting.claimed
        setting.peers.owner = None
        await setting.pass_time(0.5)
        assert setting.claimed

    run(body)


def test_a_lower_rank_claims_only_after_the_higher_ones_had_time():
    """Guard against claims by all at once, and against a shard lost with its best instance."""

    async def body():
        first, second = Setting(FakePeers("b"), "a"), Setting(FakePeers("a"), "b")
        await first.pass_time(0.5)
        await second.pass_time(0.5)
        assert first.claimed != second.claimed
        waiting = second if first.claimed else first
        await waiting.pass_time(1.0)
        assert waiting.claimed

    run(body)


def test_a_resumed_instance_listens_before_it_judges_its_peers():
    """Guard against a paused instance that takes every shard over when it resumes."""

    async def body():
        setting = Setting(FakePeers())
        setting.peers.owner = "other"
        await setting.pass_time(1)
        # After the pause all peers look dead until their next heartbeat is read.
        setting.now += 30.0
        setting.peers.owner = None
        await setting.owners.tick()
        assert not setting.claimed
        setting.peers.owner = "other"
        await setting.pass_time(2)
        assert not setting.claimed

    run(body)


def test_a_shard_in_a_data_centre_that_cannot_be_reached_is_left_alone():
    """Guard against an epoch taken from a data centre that serves its shards while cut off."""

    async def body():
        setting = Setting(FakePeers(), data_centre="south", reachable=False)
        await setting.pass_time(5)
        assert not setting.claimed
        setting = Setting(FakePeers(), data_centre="south", reachable=True)
        await setting.pass_time(5)
        assert setting.claimed

    run(body)


def test_each_start_of_an_instance_claims_under_its_own_name():
    """Guard against two processes with equal tokens, which workers would both obey."""

    async def body():
        names = set()
        for _ in range(2):
            setting = Setting(FakePeers())
            await setting.pass_time(0.5)
            names.add(setting.owners.owners["s1"].claim.instance_id)
        assert len(names) == 2

    run(body)


def test_a_draining_instance_neither_claims_nor_takes():
    """Guard against a shard that is given to an instance which is about to stop."""

    async def body():
        setting = Setting(FakePeers())
        await setting.owners.hand_over_all()
        await setting.pass_time(5)
        message = HandOver("s1", Token(1, 0, "x"), "x", (), (), ())
        assert setting.owners.take(message) == HandOverReply("s1", False)
        assert not setting.claimed

    run(body)


def test_a_shard_is_handed_to_a_live_instance_that_does_not_drain():
    """Guard against a hand-over to an instance that stops as well."""

    async def body():
        setting = Setting(FakePeers("other", "leaving"))
        leaving = setting.peers.live["leaving"]
        setting.peers.live["leaving"] = attrs.evolve(leaving, draining=True)
        setting.owners.claim("s1")
        owner = setting.owners.owners["s1"]
        await setting.owners.hand_over_all()
        assert owner.fencing.handed_to == "other"
        await setting.owners.finished()
        assert not setting.claimed

    run(body)


@pytest.mark.parametrize(
    ("reply", "taken"),
    [
        (HandOverReply("s1", True), True),
        (HandOverReply("s1", False), False),
        (NotSentError("no link"), False),
        (LinkClosedError("cut"), None),
        (TimeoutError(), None),
    ],
)
def test_only_a_message_that_was_not_sent_counts_as_refused(reply, taken):
    """Guard against an owner that goes on with a queue which its successor may have."""

    async def body():
        setting = Setting(FakePeers("other"))
        setting.peers.reply = reply
        message = HandOver("s1", Token(1, 0, "x"), "x", (), (), ())
        assert await setting.owners.send_hand_over("other", message) is taken

    run(body)


def test_a_drain_serves_what_is_open_before_it_closes():
    """Guard against a graceful stop that cuts a request or never ends."""

    class FakeOwners:
        def __init__(self):
            self.handed_over = 0

        async def hand_over_all(self):
            self.handed_over += 1

        async def release_idle(self):
            return None

    async def body():
        requests, owners, closed = OpenRequests(), FakeOwners(), []
        work = [1]

        async def close():
            closed.append((requests.count, work[0]))

        drain = Drain(requests, owners, lambda: work[0], close, balancer_s=0.05)
        running = asyncio.ensure_future(drain.run())
        assert requests.enter() is None
        await drain.start()
        await asyncio.sleep(0.02)
        # The balancer still sends callers here for a while, and they are served.
        assert requests.leaving
        assert requests.enter() is None
        requests.leave()
        await asyncio.sleep(0.1)
        assert requests.enter() is not None
        assert owners.handed_over
        assert not closed
        requests.leave()
        work[0] = 0
        await running
        assert closed == [(0, 0)]

    run(body)
