"""Test which instance claims a shard, and how an instance drains, with fake peers and owners."""

import asyncio

import attrs
import pytest

from baobabhoist.daemon.owners import LocalInstance, OwnershipManager
from baobabhoist.daemon.shutdown import Drain
from baobabhoist.errors import LinkClosedError, MessageNotSentError
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


class FakeClaimDriver:
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
        self.claim_driver = FakeClaimDriver(claim)
        claim.state = ClaimState.OWNED

    async def run(self):
        await self.claim_driver.ended.wait()

    def pending_count(self):
        return 0


class InstanceHarness:
    """Run the ownership manager of one instance on a clock that the test advances."""

    def __init__(self, peers, me="me", data_centre="north", reachable=True):
        self.now = 1000.0
        self.peers = peers

        async def is_reachable(workers):
            return reachable

        self.ownership = OwnershipManager(
            LocalInstance(me, data_centre),
            FakeShards(),
            peers,
            lambda claim, workers, inherited: FakeOwner(claim, inherited),
            clock=lambda: self.now,
            is_reachable=is_reachable,
        )
        self.ownership._last_tick = self.now

    async def advance_clock(self, seconds):
        """Advance the clock in steps of 0.25 s, with a tick at each step."""
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            await self.ownership.tick()
        await asyncio.sleep(0)

    @property
    def is_claimed(self):
        return "s1" in self.ownership.owners


def run(test):
    asyncio.run(test())


def test_a_shard_without_a_live_owner_is_claimed_and_one_with_an_owner_is_not():
    """Guard against an unclaimed shard after its owner died, and against needless claims."""

    async def body():
        instance = InstanceHarness(FakePeers())
        instance.peers.owner = "other"
        await instance.advance_clock(5)
        assert not instance.is_claimed
        instance.peers.owner = None
        await instance.advance_clock(0.5)
        assert instance.is_claimed

    run(body)


def test_a_lower_rank_claims_only_after_the_higher_ones_had_time():
    """Guard against simultaneous claims, and a shard that only its top-ranked instance claims."""

    async def body():
        first, second = InstanceHarness(FakePeers("b"), "a"), InstanceHarness(FakePeers("a"), "b")
        await first.advance_clock(0.5)
        await second.advance_clock(0.5)
        assert first.is_claimed != second.is_claimed
        waiting = second if first.is_claimed else first
        await waiting.advance_clock(1.0)
        assert waiting.is_claimed

    run(body)


def test_a_resumed_instance_waits_for_heartbeats_before_it_claims():
    """Guard against a paused instance that claims every shard when it resumes."""

    async def body():
        instance = InstanceHarness(FakePeers())
        instance.peers.owner = "other"
        await instance.advance_clock(1)
        # After the pause all peers look dead until their next heartbeats arrive.
        instance.now += 30.0
        instance.peers.owner = None
        await instance.ownership.tick()
        assert not instance.is_claimed
        instance.peers.owner = "other"
        await instance.advance_clock(2)
        assert not instance.is_claimed

    run(body)


def test_a_shard_in_an_unreachable_data_centre_is_not_claimed():
    """Guard against claims on shards of a data centre that serves them while it is cut off."""

    async def body():
        instance = InstanceHarness(FakePeers(), data_centre="south", reachable=False)
        await instance.advance_clock(5)
        assert not instance.is_claimed
        instance = InstanceHarness(FakePeers(), data_centre="south", reachable=True)
        await instance.advance_clock(5)
        assert instance.is_claimed

    run(body)


def test_each_start_of_an_instance_claims_under_its_own_name():
    """Guard against two processes with equal tokens, both of which workers would obey."""

    async def body():
        names = set()
        for _ in range(2):
            instance = InstanceHarness(FakePeers())
            await instance.advance_clock(0.5)
            names.add(instance.ownership.owners["s1"].claim.instance_id)
        assert len(names) == 2

    run(body)


def test_a_draining_instance_neither_claims_nor_accepts_a_hand_over():
    """Guard against a shard that moves to an instance which is about to stop."""

    async def body():
        instance = InstanceHarness(FakePeers())
        await instance.ownership.hand_over_all()
        await instance.advance_clock(5)
        message = HandOver("s1", Token(1, 0, "x"), "x", (), (), ())
        assert instance.ownership.accept_hand_over(message) == HandOverReply("s1", False)
        assert not instance.is_claimed

    run(body)


def test_a_shard_is_handed_to_a_live_instance_that_does_not_drain():
    """Guard against a hand-over to an instance that is draining as well."""

    async def body():
        instance = InstanceHarness(FakePeers("other", "leaving"))
        leaving = instance.peers.live["leaving"]
        instance.peers.live["leaving"] = attrs.evolve(leaving, draining=True)
        instance.ownership.claim("s1")
        owner = instance.ownership.owners["s1"]
        await instance.ownership.hand_over_all()
        assert owner.claim_driver.handed_to == "other"
        await instance.ownership.wait_finished()
        assert not instance.is_claimed

    run(body)


@pytest.mark.parametrize(
    ("reply", "taken"),
    [
        (HandOverReply("s1", True), True),
        (HandOverReply("s1", False), False),
        (MessageNotSentError("no link"), False),
        (LinkClosedError("cut"), None),
        (TimeoutError(), None),
    ],
)
def test_only_a_message_that_was_not_sent_counts_as_refused(reply, taken):
    """Guard against an owner that continues with a queue which its successor may have."""

    async def body():
        instance = InstanceHarness(FakePeers("other"))
        instance.peers.reply = reply
        message = HandOver("s1", Token(1, 0, "x"), "x", (), (), ())
        assert await instance.ownership.send_hand_over("other", message) is taken

    run(body)


def test_a_drain_serves_open_requests_before_it_closes():
    """Guard against a drain that interrupts a request or never ends."""

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

        drain = Drain(requests, owners, lambda: work[0], close, balancer_delay_s=0.05)
        running = asyncio.ensure_future(drain.run())
        assert requests.admit() is None
        await drain.start()
        await asyncio.sleep(0.02)
        # The load balancer still routes callers here for a while, and they are served.
        assert requests.leaving_balancer
        assert requests.admit() is None
        requests.finish()
        await asyncio.sleep(0.1)
        assert requests.admit() is not None
        assert owners.handed_over
        assert not closed
        requests.finish()
        work[0] = 0
        await running
        assert closed == [(0, 0)]

    run(body)
