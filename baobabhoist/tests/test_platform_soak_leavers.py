"""Test the callers of the platform's soak that leave before their answer."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from baobabhoist.platform.testing import soak_leavers


class FakeSoak:
    """Record what a caller does at four instances, of which one is down."""

    def __init__(self, is_accepted):
        self.deployment = SimpleNamespace(instances=dict.fromkeys(("e1", "e2", "e3", "e4")))
        self.down_instances = {"e2"}
        self.is_accepted = is_accepted
        self.calls = []

    async def submit_impatiently(self, job, instance, patience_s):
        self.calls.append(("submit", instance))
        return self.is_accepted

    async def cancel(self, job, excluded):
        self.calls.append(("cancel elsewhere than", excluded))

    async def submit(self, job, attempts):
        self.calls.append(("submit again", attempts))
        return False

    async def poll_until_final(self, job):
        self.calls.append(("poll", ""))


@pytest.mark.parametrize("is_accepted", [False, True])
def test_callers_that_leave_cancel_elsewhere(is_accepted, monkeypatch):
    """Guard against a soak that never cancels a job whose submission is still under way."""
    monkeypatch.setattr(soak_leavers, "MIN_REPEAT_DELAY_S", 0.0)
    monkeypatch.setattr(soak_leavers, "MAX_REPEAT_DELAY_S", 0.0)
    instances, steps = set(), set()
    for seed in range(60):
        soak = FakeSoak(is_accepted)
        asyncio.run(soak_leavers.submit_and_leave(soak, None, random.Random(seed)))
        (_, instance), cancelled = soak.calls[:2]
        assert cancelled == ("cancel elsewhere than", instance)
        assert (soak.calls[-1][0] == "poll") is is_accepted
        instances.add(instance)
        steps.update(name for name, _ in soak.calls)
    assert instances == {"e1", "e2", "e3", "e4"}
    assert "submit again" in steps
