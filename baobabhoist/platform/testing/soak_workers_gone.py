"""Inject workers that stop answering and then end for good, some beside a killed owner."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

from baobabhoist.platform.testing.soak_takeover import kill_owner_for_a_while

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak
    from baobabhoist.testing.soak_faults import ScheduledFault

WORKERS_GONE = "workers_gone"
AFFECTED_SHARE = 0.25
# The remaining workers have room for the whole load.
MIN_REMAINING_WORKERS = 7
# mute: calls are carried out, but not answered. blackhole: calls do not arrive.
UNANSWERED_MODES = ("mute", "blackhole")
MIN_UNANSWERED_S, MAX_UNANSWERED_S = 1.0, 1.5
MAX_PAUSE_S = 2.0
OWNER_KILL_PROBABILITY = 0.5
MAX_OWNER_KILL_DELAY_S = 2.0


async def end_workers_for_good(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """End some workers for good, and let as many others join."""
    owner_kill_delay_s = rng.uniform(0.0, MAX_OWNER_KILL_DELAY_S)
    kills_owner = rng.random() < OWNER_KILL_PROBABILITY
    affected_workers = _take_workers(soak, rng)
    async with asyncio.TaskGroup() as group:
        group.create_task(_silence_and_end(soak, affected_workers, rng))
        if kills_owner:
            group.create_task(kill_owner_for_a_while(soak, owner_kill_delay_s))
    await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
    for _ in affected_workers:
        await soak.deployment.add_spare_worker()


def max_ended_workers(worker_count: int) -> int:
    """Return how many workers one such fault ends at most."""
    return round(AFFECTED_SHARE * worker_count)


def _take_workers(soak: Soak, rng: random.Random) -> list[str]:
    """Take some workers away from all other faults."""
    names = soak.deployment.worker_names
    count = min(round(AFFECTED_SHARE * len(names)), len(names) - MIN_REMAINING_WORKERS)
    taken_workers = rng.sample(names, max(0, count))
    for name in taken_workers:
        names.remove(name)
    return taken_workers


async def _silence_and_end(soak: Soak, names: Iterable[str], rng: random.Random) -> None:
    """Let workers answer no calls for a while, and then end them."""
    mode = rng.choice(UNANSWERED_MODES)
    for name in names:
        await soak.deployment.set_relay_mode(f"worker:{name}", mode)
    await asyncio.sleep(rng.uniform(MIN_UNANSWERED_S, MAX_UNANSWERED_S))
    for name in names:
        await soak.deployment.end_worker(name)
