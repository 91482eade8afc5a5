"""Test that the jobs of the platform's soak can run on the workers that are left."""

from __future__ import annotations

import random

import pytest

from baobabhoist.platform.testing.soak_advice import PROFILES, QUEUE_DIGITS
from baobabhoist.platform.testing.soak_jobs import JobGenerator

FEW_WORKERS = ("w1", "w2", "w3", "w4", "w5", "w6")


@pytest.mark.parametrize("queue", QUEUE_DIGITS)
def test_jobs_are_drawn_also_when_few_workers_are_left(queue: str) -> None:
    """Guard against a driver that draws for ever and sends no load once workers are gone."""
    profile = PROFILES["deployed"]
    assert profile.load is not None
    generator = JobGenerator(profile, profile.load.team_limits())
    rng = random.Random(1)
    for _ in range(50):
        job = generator.draw_job(rng, queue, FEW_WORKERS)
        assert job.job_id.endswith(QUEUE_DIGITS[queue])
        assert job.advice is profile.advice[queue]
        for number in range(len(job.steps)):
            assert any(job.may_run_on(number, worker) for worker in FEW_WORKERS)
