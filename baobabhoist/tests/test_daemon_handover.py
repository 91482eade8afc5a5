"""Test which request keys the next owner knows after a planned hand-over."""

import asyncio
import time

import pytest

from baobabhoist.daemon import handover, shard_owner
from baobabhoist.model import Answer, Outcome
from baobabhoist.ownership.tokens import Token
from baobabhoist.tests.memory_table import MemoryTable
from baobabhoist.tests.shard_harness import ShardHarness, request, shorten_intervals
from baobabhoist.upstream.messages import FenceWorker


async def hand_over_shard(harness, between):
    """Hand a shard over and return its next owner and a time before the hand-over."""
    messages = []

    async def send(successor, message):
        messages.append(message)
        return True

    old, _ = await harness.start_owner("a", send_hand_over=send)
    await asyncio.sleep(0.01)
    sent_at = time.time()
    assert isinstance(await old.submit(request("ran", first_attempt=False)), Answer)
    assert await old.claim_driver.hand_over("b")
    await between()
    new, _ = await harness.start_owner("b", inherited=messages[0])
    return new, sent_at


def outcomes_after_hand_over(monkeypatch, between, *names):
    """Submit keys that were first sent before the hand-over, and return their outcomes."""
    shorten_intervals(monkeypatch)

    async def body():
        harness = ShardHarness(MemoryTable())
        try:
            new, sent_at = await hand_over_shard(harness, lambda: between(harness))
            outcomes = []
            for name in names:
                req = request(name, first_attempt=False, first_sent_at=sent_at)
                result = await new.submit(req)
                outcomes.append("ran" if isinstance(result, Answer) else result.outcome)
            return outcomes
        finally:
            await harness.close()

    return asyncio.run(body())


async def change_nothing(harness):
    """Leave the harness unchanged."""


async def clear_stored_answers(harness):
    """Clear the answers that the workers store."""
    for worker in harness.workers.values():
        worker.ended.clear()


async def own_one_worker_in_between(harness):
    """Present the token of another instance to one worker."""
    await harness.workers["w1"].handle(FenceWorker("r", Token(1, 7, "other")))


def test_a_key_sent_before_a_planned_hand_over_runs_after_it(monkeypatch):
    """Guard against keys that are `unknown` for up to ten minutes after a planned hand-over."""
    assert outcomes_after_hand_over(monkeypatch, change_nothing, "fresh", "ran") == ["ran", "ran"]


def test_a_key_that_the_previous_owner_settled_does_not_run_again(monkeypatch):
    """Guard against a second run when the worker has lost its record of the first one."""
    assert outcomes_after_hand_over(monkeypatch, clear_stored_answers, "ran", "fresh") == [
        Outcome.UNKNOWN,
        "ran",
    ]


def test_keys_are_unknown_after_an_owner_in_between(monkeypatch):
    """Guard against a second run of a key that a third instance may have run."""
    assert outcomes_after_hand_over(monkeypatch, own_one_worker_in_between, "fresh") == [
        Outcome.UNKNOWN
    ]


@pytest.mark.parametrize(
    ("module", "name"), [(shard_owner, "MAX_HAND_OVER_AGE_S"), (handover, "MAX_SETTLED_IDS")]
)
def test_keys_are_unknown_after_an_old_or_incomplete_hand_over(monkeypatch, module, name):
    """Guard against trust in a sender that may have resumed or could not send all its keys."""
    monkeypatch.setattr(module, name, -1)
    assert outcomes_after_hand_over(monkeypatch, change_nothing, "fresh") == [Outcome.UNKNOWN]
