"""Inject starts that are carried out late, by the process that a worker has after a crash."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from baobabhoist.platform.testing.soak_takeover import kill_owner_for_a_while

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak
    from baobabhoist.testing.soak_faults import ScheduledFault

LATE_STARTS = "late_starts"
MIN_ROUNDS, MAX_ROUNDS = 2, 3
MIN_AFFECTED_SHARE, MAX_AFFECTED_SHARE = 0.3, 0.6
# Time from the first lost answer to the crashes, and from there until the workers are reachable.
MIN_LOSS_S, MAX_LOSS_S = 0.3, 1.0
MIN_UNREACHABLE_S, MAX_UNREACHABLE_S = 5.0, 10.0
MAX_PAUSE_S = 1.0
CUT_PROBABILITY = 0.5
OWNER_KILL_PROBABILITY = 0.4
MAX_OWNER_KILL_DELAY_S = 2.0


async def restart_beside_late_starts(
    soak: Soak, fault: ScheduledFault, rng: random.Random
) -> None:
    """Crash workers whose starts are on their way, several times, and kill some owners."""
    for _ in range(rng.randint(MIN_ROUNDS, MAX_ROUNDS)):
        owner_kill_delay_s = rng.uniform(0.0, MAX_OWNER_KILL_DELAY_S)
        kills_owner = rng.random() < OWNER_KILL_PROBABILITY
        async with asyncio.TaskGroup() as group:
            group.create_task(_delay_starts_and_crash(soak, random.Random(rng.random())))
            if kills_owner:
                group.create_task(kill_owner_for_a_while(soak, owner_kill_delay_s))
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))


async def _delay_starts_and_crash(soak: Soak, rng: random.Random) -> None:
    """Delay the starts of some workers, and crash these workers before the starts arrive."""
    share = rng.uniform(MIN_AFFECTED_SHARE, MAX_AFFECTED_SHARE)
    names = soak.deployment.worker_names
    affected_workers = rng.sample(names, round(share * len(names)))
    cut_workers = [name for name in affected_workers if rng.random() < CUT_PROBABILITY]
    for name in affected_workers:
        await soak.deployment.command_worker(name, mode="delay_starts")
    await asyncio.sleep(rng.uniform(MIN_LOSS_S, MAX_LOSS_S))
    for name in cut_workers:
        await soak.deployment.set_relay_mode(f"worker:{name}", "cut")
    for name in affected_workers:
        await soak.deployment.command_worker(name, crash=1, mode="normal")
    await asyncio.sleep(rng.uniform(MIN_UNREACHABLE_S, MAX_UNREACHABLE_S))
    for name in cut_workers:
        await soak.deployment.set_relay_mode(f"worker:{name}", "pass")
