"""Draw the jobs that the callers of the platform's soak submit."""

from __future__ import annotations

import json
import random
import zlib
from collections.abc import Sequence
from typing import Any

import attrs

from baobabhoist.platform.testing.soak_advice import (
    QUEUE_DIGITS,
    AdvicePolicy,
    Profile,
    approved_workers,
)
from baobabhoist.platform.testing.soak_checker import WORKER_CAPACITY
from baobabhoist.platform.testing.soak_load import NO_BURST, Burst
from baobabhoist.platform.testing.soak_records import SubmittedJob
from baobabhoist.platform.testing.soak_starvation import ROOM_FACTOR

# With late starts, this share of the quick jobs has runs that are longer by this factor.
LONG_RUNS_PROBABILITY = 0.3
LONG_RUNS_FACTOR = 8
ALWAYS_FAILS_PROBABILITY = 0.02
FAILS_ONCE_PROBABILITY = 0.05

QUEUES: dict[str, dict[str, Any]] = {
    "quick": {"priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 300},
    "batch": {"priority": 2, "maxAttempts": 4, "slackFactor": 4.0, "targetLatencyMs": 3_000},
    "gangs": {
        "priority": 1,
        "maxAttempts": 2,
        "slackFactor": 2.2,
        "targetLatencyMs": 1_000,
    },
}
QUEUE_MIX = ("quick",) * 7 + ("batch",) * 2 + ("gangs",)
STEPS_MAX = 3
# All steps of a job together take no longer than this, so that it ends after the run.
CHAIN_MAX_MS = 10_000.0
# Workers that may run a step when its job is submitted.
APPROVED_WORKERS_MIN = 4
# After so many ids that don't fit, a job gets half as many tasks: few workers may be left.
DRAWN_IDS_MAX = 200


@attrs.define
class JobGenerator:
    """Draw jobs that resemble those of a profile."""

    profile: Profile
    # The limits of the teams at first.
    team_limits: dict[str, int]
    # Which queues and teams of the profile's load send more than usual.
    burst: Burst = NO_BURST
    has_late_starts: bool = False

    def draw_queue(self, rng: random.Random) -> str:
        """Draw the queue of a job."""
        load = self.profile.load
        return load.draw_queue(rng, self.burst) if load else rng.choice(QUEUE_MIX)

    def draw_job(self, rng: random.Random, queue: str, workers: Sequence[str]) -> SubmittedJob:
        """Draw a job for a queue, of a size that the workers can take."""
        team = self._draw_team(rng)
        failures = 99 if rng.random() < ALWAYS_FAILS_PROBABILITY else 0
        failures = failures or int(rng.random() < FAILS_ONCE_PROBABILITY)
        load = self.profile.load
        if load is None:
            run_ms_range = {"quick": (50, 500), "batch": (200, 1_500), "gangs": (300, 1_200)}
            run_ms = rng.uniform(*run_ms_range[queue]) * self._draw_run_factor(rng, queue)
            steps = _draw_small_steps(rng, queue)
        else:
            shape, team_limit = load.shapes[queue], self.team_limits[team]
            steps = shape.draw_steps(rng, *max_gang_resources(self.profile, queue, team_limit))
            run_ms = min(load.shapes[queue].run_ms.draw(rng), CHAIN_MAX_MS / len(steps))
        plan = {
            "run_ms": run_ms,
            "failures": failures,
            "saves": bool(steps[0].get("checkpointing")),
        }
        job_id = self._draw_job_id(rng, queue, steps, workers)
        if steps[0].get("gang"):
            plan["members"] = steps[0]["count"]
        spec = json.dumps({"plan": plan, "pad": "x" * rng.choice([0, 500])})
        attempts = int(QUEUES[queue]["maxAttempts"])
        job = SubmittedJob(job_id, queue, team, steps, zlib.crc32(spec.encode()), attempts)
        job.body = json.dumps({"taskSpec": spec, "steps": steps})
        job.advice = self.profile.advice.get(queue)
        return job

    def _draw_job_id(
        self, rng: random.Random, queue: str, steps: list[dict[str, Any]], workers: Sequence[str]
    ) -> str:
        """Draw the id of a job whose steps fit twice into the workers that are approved."""
        policy = self.profile.advice.get(queue)
        while True:
            for _ in range(DRAWN_IDS_MAX):
                job_id = f"{rng.getrandbits(60):015x}{QUEUE_DIGITS[queue]}"
                names = (f"{job_id}.0.{number}" for number in range(len(steps)))
                if policy is None or all(
                    _fits_twice(policy, name, step, workers)
                    for name, step in zip(names, steps, strict=True)
                ):
                    return job_id
            for step in steps:
                step["count"] = max(1, step["count"] // 2)

    def _draw_team(self, rng: random.Random) -> str:
        load = self.profile.load
        return load.draw_team(rng, self.burst) if load else rng.choice(list(self.team_limits))

    def _draw_run_factor(self, rng: random.Random, queue: str) -> int:
        """Draw the factor by which the runs of a job are longer."""
        if self.has_late_starts and queue == "quick" and rng.random() < LONG_RUNS_PROBABILITY:
            return LONG_RUNS_FACTOR
        return 1


def _fits_twice(
    policy: AdvicePolicy, name: str, step: dict[str, Any], workers: Sequence[str]
) -> bool:
    """Return whether enough workers are approved for a step, with room for it twice over."""
    places_per_worker = min(WORKER_CAPACITY[r] // step[r] for r in WORKER_CAPACITY)
    approved = approved_workers(policy, name, workers)
    wanted = step["count"] if step.get("gang") else 1
    has_room = places_per_worker * len(approved) >= ROOM_FACTOR * wanted
    return has_room and len(approved) >= min(APPROVED_WORKERS_MIN, len(workers))


def max_gang_resources(profile: Profile, queue: str, team_cpu_limit: int) -> tuple[int, int]:
    """Return the CPU and the memory of which a gang may need no more, so that it can start."""
    policy = profile.advice.get(queue)
    approved_count = profile.worker_count * (policy.approved_share if policy else 1.0)
    cpu, memory_mb = (
        round(approved_count * WORKER_CAPACITY[resource] / ROOM_FACTOR)
        for resource in ("cpu", "memMb")
    )
    return min(team_cpu_limit, cpu), memory_mb


def _draw_small_steps(rng: random.Random, queue: str) -> list[dict[str, Any]]:
    """Draw the steps of a job that is small beside the workers."""
    task_counts = {"quick": (1, 3), "batch": (2, 8), "gangs": (2, 4)}[queue]
    steps: list[dict[str, Any]] = [
        {
            "count": rng.randint(*task_counts),
            "cpu": rng.choice([300, 700, 1_500]),
            "memMb": rng.choice([100, 900]),
            "estimatedMs": 500,
        }
        for _ in range(rng.choice([1, 1, STEPS_MAX]) if queue == "batch" else 1)
    ]
    for number, step in enumerate(steps[1:], 1):
        step["after"] = [number - 1]
    if queue == "gangs":
        steps[0]["gang"] = True
    if queue == "batch":
        steps[0] |= {"checkpointing": True, "maxPerServer": 3}
    return steps
