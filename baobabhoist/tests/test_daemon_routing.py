"""Test how an entry instance finds shard owners, and what it returns when they fail."""

import asyncio
import random

import pytest

from baobabhoist.daemon import routing
from baobabhoist.daemon.dispatch import not_owner_refusal
from baobabhoist.daemon.routing import RequestRouter
from baobabhoist.errors import ErrorKind, LinkClosedError, MessageNotSentError, Refusal
from baobabhoist.model import Answer, Outcome
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import RelayAnswer, RelayRefusal, ShardDigest
from baobabhoist.tests.shard_harness import request


class ScriptedPeers:
    """Answer relays from a script of replies; exceptions in it are raised."""

    def __init__(self, *script, digests=()):
        self.script = list(script)
        self.relayed = []
        self._digests = list(digests)

    def owner_of(self, shard):
        return "peer" if self.script else None

    def shard_digests(self):
        return self._digests

    async def call(self, instance_id, message, timeout_s):
        self.relayed.append(message)
        reply = self.script.pop(0)
        if isinstance(reply, Exception):
            raise reply
        if isinstance(reply, Refusal):
            return RelayRefusal(message.request.request_id, reply)
        return RelayAnswer(Answer(message.request.request_id, 200, reply))


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(routing, "RETRY_INTERVAL_S", 0.001)
    monkeypatch.setattr(routing, "OWNER_WAIT_S", 0.1)


def route(peers, req):
    router = RequestRouter({}, peers, rng=random.Random(1))
    result = asyncio.run(router.route(req))
    assert router.open_requests == 0
    return result


def test_a_failed_relay_is_retried_under_the_same_id():
    """Guard against a lost answer, and against a retry that is marked as a first attempt."""
    peers = ScriptedPeers(LinkClosedError("cut"), TimeoutError(), b"done")
    result = route(peers, request("r1"))
    assert result.body == b"done"
    assert {message.request.request_id for message in peers.relayed} == {"r1"}
    assert [message.request.first_attempt for message in peers.relayed] == [True, False, False]


def test_a_relay_that_was_not_sent_stays_a_first_attempt():
    """Guard against `unknown` for a request that no owner can have received."""
    peers = ScriptedPeers(MessageNotSentError("no link"), not_owner_refusal("r"), b"done")
    route(peers, request("r1"))
    assert all(message.request.first_attempt for message in peers.relayed)


def test_a_request_that_may_have_run_ends_as_unknown():
    """Guard against `not_run` after the owner that had the request was lost."""
    peers = ScriptedPeers(LinkClosedError("cut"))
    result = route(peers, request("r1", deadline_s=0.05))
    assert (result.kind, result.outcome) == (ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


def test_a_request_without_an_owner_is_refused_as_not_run():
    """Guard against a caller that waits until its deadline for a shard without an owner."""
    result = route(ScriptedPeers(), request("r1"))
    assert (result.kind, result.outcome) == (ErrorKind.SHARD_UNAVAILABLE, Outcome.NOT_RUN)


def test_a_later_owner_cannot_say_that_idempotent_work_was_not_run():
    """Guard against `not_run` from an owner that does not know what the last one did."""
    full = Refusal(ErrorKind.QUEUE_FULL, "full")
    result = route(ScriptedPeers(LinkClosedError("cut"), full), request("r1", idempotent=True))
    assert result.outcome is Outcome.UNKNOWN
    assert route(ScriptedPeers(full), request("r2", idempotent=True)) == full


def test_an_owner_that_lost_the_shard_after_dispatch_leads_to_the_next_owner():
    """Guard against a result reported as unknown that the new owner can still obtain."""
    peers = ScriptedPeers(not_owner_refusal("r", Outcome.UNKNOWN), b"done")
    assert route(peers, request("r1")).body == b"done"
    assert [message.request.first_attempt for message in peers.relayed] == [True, False]


def digest(shard, spare, free_slots, queued=0):
    return ShardDigest(shard, Token(1, 0, "x"), {}, {"team": spare}, free_slots, queued)


def test_work_is_forwarded_only_to_a_shard_with_quota_and_slots():
    """Guard against forwards to a shard where the work waits as well, and to its home shard."""
    full = [digest("r", 5, 5), digest("a", 0, 5), digest("b", 5, 0), digest("c", 5, 5, 5)]
    router = RequestRouter({}, ScriptedPeers(digests=full))
    assert router.forward(request("r1"), []) is None
    peers = ScriptedPeers(b"done", digests=[*full, digest("d", 1, 1)])
    router = RequestRouter({}, peers)
    target, running = router.forward(request("r1", first_attempt=False), [])
    assert target == "d"
    result = asyncio.run(running)
    assert result.body == b"done"
    (message,) = peers.relayed
    assert (message.request.shard, message.forwarded) == ("d", True)
    # The key stays with the home shard, so no owner of the other shard has seen the id.
    assert message.request.first_attempt
