"""Inject starts that reach a worker's next process, after the directory has dropped the worker."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak
    from baobabhoist.testing.soak_faults import ScheduledFault

LATE_STARTS_AT_RETURN = "late_starts_at_return"
MIN_AFFECTED_SHARE, MAX_AFFECTED_SHARE = 0.15, 0.3
# Time from the first lost answer to the end of the processes, and from there to the next ones.
MIN_LOSS_S, MAX_LOSS_S = 0.3, 1.0
MIN_DOWN_S, MAX_DOWN_S = 5.0, 9.0
START_DELAY_MAX_S = 13.0
CUT_PROBABILITY = 0.5
MAX_CUT_S = 4.0


async def return_beside_late_starts(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """End workers whose starts are on their way, and start them again after they were dropped."""
    share = rng.uniform(MIN_AFFECTED_SHARE, MAX_AFFECTED_SHARE)
    names = soak.deployment.worker_names
    affected_workers = rng.sample(names, round(share * len(names)))
    async with asyncio.TaskGroup() as group:
        # The fault lasts until the last start has arrived.
        group.create_task(asyncio.sleep(MAX_LOSS_S + START_DELAY_MAX_S))
        for name in affected_workers:
            group.create_task(_end_and_return(soak, name, random.Random(rng.random())))


async def _end_and_return(soak: Soak, name: str, rng: random.Random) -> None:
    """End a worker before its starts arrive; half of the time its next process is behind a cut."""
    is_cut = rng.random() < CUT_PROBABILITY
    await soak.deployment.command_worker(
        name, mode="delay_starts", start_delay_max_s=START_DELAY_MAX_S
    )
    await asyncio.sleep(rng.uniform(MIN_LOSS_S, MAX_LOSS_S))
    await soak.deployment.command_worker(name, end="until_started")
    await asyncio.sleep(rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
    if is_cut:
        await soak.deployment.set_relay_mode(f"worker:{name}", "cut")
    await soak.deployment.command_worker(name, crash=1, mode="normal", start_delay_max_s=None)
    if is_cut:
        await asyncio.sleep(rng.uniform(0.0, MAX_CUT_S))
        await soak.deployment.set_relay_mode(f"worker:{name}", "pass")
