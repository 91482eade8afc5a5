"""Draw the jobs of a load like that of a deployment, scaled to the soak's workers."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Spread:
    """Describe a log-normal distribution; `spread` is that of the logarithm."""

    mean: float
    spread: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        """Draw a value."""
        location = math.log(self.mean) - self.spread**2 / 2
        return min(self.maximum, rng.lognormvariate(location, self.spread))

    def draw_count(self, rng: random.Random) -> int:
        """Draw a whole number that is not 0."""
        return max(1, round(self.draw(rng)))


@attrs.frozen
class JobShape:
    """Describe the jobs of one queue: how many there are, and what they need.

    Resources are in thousandths of a core and MB, times in ms.
    """

    jobs_per_s: float
    steps: Spread
    width: Spread
    cpu: Spread
    memory_mb: Spread
    run_ms: Spread
    gang_share: float = 0.0
    saving_share: float = 0.0

    @property
    def mean_cpu(self) -> float:
        """Return how much CPU all jobs of the queue use on average."""
        tasks_per_s = self.jobs_per_s * self.steps.mean * self.width.mean
        return tasks_per_s * self.cpu.mean * self.run_ms.mean / 1000

    def draw_steps(
        self, rng: random.Random, cpu_max: int, memory_mb_max: int
    ) -> list[dict[str, Any]]:
        """Draw the steps of a job; a gang needs no more than the maxima in all."""
        is_gang = rng.random() < self.gang_share
        saves = rng.random() < self.saving_share
        cpu = self.cpu.draw_count(rng)
        width = self.width.draw_count(rng)
        memory_mb = self.memory_mb.draw_count(rng)
        if is_gang:
            width = max(1, min(width, cpu_max // cpu, memory_mb_max // memory_mb))
        step: dict[str, Any] = {
            "count": width,
            "cpu": cpu,
            "memMb": memory_mb,
            "estimatedMs": round(self.run_ms.mean),
        }
        step |= {"gang": True} if is_gang else {}
        step |= {"checkpointing": True} if saves else {}
        steps = [dict(step) for _ in range(self.steps.draw_count(rng))]
        for number, later in enumerate(steps[1:], 1):
            later["after"] = [number - 1]
        return steps


@attrs.frozen
class Burst:
    """Hold by which factors some queues and some teams send more jobs than usual."""

    queue_factors: Mapping[str, float] = attrs.Factory(dict)
    team_factors: Mapping[str, float] = attrs.Factory(dict)


NO_BURST = Burst()


@attrs.frozen
class Load:
    """Hold the jobs of each queue, and the share of the teams in them."""

    shapes: Mapping[str, JobShape]
    team_weights: Mapping[str, float]
    # A team's limit is this multiple of what its jobs use on average.
    limit_factor: float

    def jobs_per_s(self, burst: Burst = NO_BURST) -> float:
        """Return how many jobs all queues get."""
        team_factor = sum(self._weights_in(burst)) / sum(self.team_weights.values())
        return sum(self._rates_in(burst)) * team_factor

    def draw_queue(self, rng: random.Random, burst: Burst = NO_BURST) -> str:
        """Draw the queue of a job."""
        return rng.choices(list(self.shapes), self._rates_in(burst))[0]

    def draw_team(self, rng: random.Random, burst: Burst = NO_BURST) -> str:
        """Draw the team of a job."""
        return rng.choices(list(self.team_weights), self._weights_in(burst))[0]

    def _rates_in(self, burst: Burst) -> list[float]:
        """Return how many jobs each queue gets from the usual teams."""
        factors = burst.queue_factors
        return [shape.jobs_per_s * factors.get(q, 1.0) for q, shape in self.shapes.items()]

    def _weights_in(self, burst: Burst) -> list[float]:
        factors = burst.team_factors
        return [weight * factors.get(team, 1.0) for team, weight in self.team_weights.items()]

    def team_limits(self) -> dict[str, int]:
        """Return the limits of the teams in thousandths of a core."""
        mean_cpu = sum(shape.mean_cpu for shape in self.shapes.values())
        total_weight = sum(self.team_weights.values())
        return {
            team: round(self.limit_factor * mean_cpu * weight / total_weight)
            for team, weight in self.team_weights.items()
        }


DEPLOYED_LOAD = Load(
    {
        "gangs": JobShape(
            0.726,
            Spread(1.2, 0.4, 3),
            Spread(8, 0.8, 48),
            Spread(1_125, 0.4, 1_875),
            Spread(1_600, 0.5, 3_200),
            Spread(5_000, 0.5, 12_000),
            gang_share=1.0,
            saving_share=0.5,
        ),
        "batch": JobShape(
            2.18,
            Spread(1.5, 0.4, 3),
            Spread(10, 0.8, 60),
            Spread(244, 0.45, 750),
            Spread(250, 0.6, 750),
            Spread(3_400, 0.5, 8_400),
            saving_share=0.8,
        ),
        "quick": JobShape(
            19.3,
            Spread(1, 0.0, 1),
            Spread(2, 0.8, 12),
            Spread(350, 0.45, 1_060),
            Spread(625, 0.6, 1_940),
            Spread(800, 0.5, 2_000),
            gang_share=0.3,
        ),
    },
    {f"team{number}": 1 / number for number in range(1, 7)},
    limit_factor=1.9,
)
