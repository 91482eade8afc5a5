"""Test what the next owner knows of request keys after a planned hand-over."""

import asyncio
import time

import pytest

from baobabhoist.daemon import handover, shard_owner
from baobabhoist.model import Answer, Outcome
from baobabhoist.ownership.tokens import Token
from baobabhoist.tests.memory_table import MemoryTable
from baobabhoist.tests.shard_harness import ShardHarness, request, shorten_intervals
from baobabhoist.upstream.messages import FenceWorker


async def handed_over(rack, between):
    """Hand a shard over and return its next owner and a time before the hand-over."""
    taken = []

    async def send(successor, message):
        taken.append(message)
        return True

    old, _ = await rack.start_owner("a", send_hand_over=send)
    await asyncio.sleep(0.01)
    sent_at = time.time()
    assert isinstance(await old.submit(request("ran", first_attempt=False)), Answer)
    assert await old.claim_driver.hand_over("b")
    await between()
    new, _ = await rack.start_owner("b", inherited=taken[0])
    return new, sent_at


def outcomes(monkeypatch, between, *names):
    """Submit keys that were first sent before the hand-over, and return their outcomes."""
    shorten_intervals(monkeypatch)

    async def body():
        rack = ShardHarness(MemoryTable())
        try:
            new, sent_at = await handed_over(rack, lambda: between(rack))
            found = []
            for name in names:
                req = request(name, first_attempt=False, first_sent_at=sent_at)
                result = await new.submit(req)
                found.append("ran" if isinstance(result, Answer) else result.outcome)
            return found
        finally:
            await rack.close()

    return asyncio.run(body())


async def nothing(rack):
    """Leave the rack as it is."""


async def forget(rack):
    """Let the workers lose what they remember."""
    for worker in rack.workers.values():
        worker.ended.clear()


async def interlope(rack):
    """Let another instance own one worker for a moment."""
    await rack.workers["w1"].handle(FenceWorker("r", Token(1, 7, "other")))


def test_a_key_sent_before_a_planned_hand_over_runs_after_it(monkeypatch):
    """Guard against `unknown` for up to ten minutes after each planned move of a shard."""
    assert outcomes(monkeypatch, nothing, "fresh", "ran") == ["ran", "ran"]


def test_a_key_that_the_previous_owner_settled_does_not_run_again(monkeypatch):
    """Guard against a second run when the worker that knew the first one has forgotten it."""
    assert outcomes(monkeypatch, forget, "ran", "fresh") == [Outcome.UNKNOWN, "ran"]


def test_knowledge_ends_with_an_owner_in_between(monkeypatch):
    """Guard against a second run of a key that a third instance has run."""
    assert outcomes(monkeypatch, interlope, "fresh") == [Outcome.UNKNOWN]


@pytest.mark.parametrize(
    ("module", "name"), [(shard_owner, "MAX_HAND_OVER_AGE_S"), (handover, "MAX_SETTLED_IDS")]
)
def test_knowledge_ends_when_it_is_old_or_incomplete(monkeypatch, module, name):
    """Guard against a sender that resumed meanwhile, and against keys too many to send."""
    monkeypatch.setattr(module, name, -1)
    assert outcomes(monkeypatch, nothing, "fresh") == [Outcome.UNKNOWN]
