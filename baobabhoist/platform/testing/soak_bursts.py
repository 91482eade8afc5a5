"""Raise the load of a soak that resembles a deployment: for one queue, or by one hot team."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from baobabhoist.platform.testing.soak_load import NO_BURST, Burst
from baobabhoist.testing.soak_faults import ScheduledFault

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak

MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR = 1.5, 2.3
MIN_TEAM_FACTOR, MAX_TEAM_FACTOR = 3.5, 7.5


async def burst_quick_jobs(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Make all teams submit more quick jobs for a while."""
    await _submit_more(soak, fault, _queue_burst("quick", rng))


async def burst_gangs(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Make all teams submit more gangs for a while."""
    await _submit_more(soak, fault, _queue_burst("gangs", rng))


async def heat_team(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Make a random team submit many times as much as usual for a while."""
    team = rng.choice(list(soak.usual_limits))
    factor = rng.uniform(MIN_TEAM_FACTOR, MAX_TEAM_FACTOR)
    await _submit_more(soak, fault, Burst(team_factors={team: factor}))


def _queue_burst(queue: str, rng: random.Random) -> Burst:
    return Burst(queue_factors={queue: rng.uniform(MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR)})


async def _submit_more(soak: Soak, fault: ScheduledFault, burst: Burst) -> None:
    """Apply a burst for the time of a fault; the last of several bursts counts."""
    soak.generator.burst = burst
    await asyncio.sleep(fault.duration_s)
    if soak.generator.burst is burst:
        soak.generator.burst = NO_BURST


BURSTS: dict[str, Callable[[Soak, ScheduledFault, random.Random], Awaitable[None]]] = {
    "quick_burst": burst_quick_jobs,
    "gang_burst": burst_gangs,
    "hot_team": heat_team,
}
