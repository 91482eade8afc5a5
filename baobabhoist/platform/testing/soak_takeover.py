"""Inject an outage of the store during which the owner is replaced and workers crash."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak
    from baobabhoist.testing.soak_faults import ScheduledFault

OUTAGE_TAKEOVER = "outage_takeover"
OUTAGE_MODES = ("crash", "refuse", "hang")
# Time from the begin of the outage to the crashes, and from there to the store's return.
MIN_CRASH_DELAY_S, MAX_CRASH_DELAY_S = 1.2, 1.8
MIN_REMAINING_OUTAGE_S, MAX_REMAINING_OUTAGE_S = 2.2, 2.8
MAX_RETURN_DELAY_S = 0.5
MIN_CRASHED_SHARE, MAX_CRASHED_SHARE = 0.3, 0.5
OWNER_DOWN_S = 3.0


async def take_over_in_outage(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Stop the store, kill the owner, crash some workers, and bring back all in this order."""
    await soak.deployment.set_store_fault(mode=rng.choice(OUTAGE_MODES))
    await asyncio.sleep(rng.uniform(MIN_CRASH_DELAY_S, MAX_CRASH_DELAY_S))
    killed_owner = await kill_owner(soak)
    crashed_workers = await _crash_workers(soak, rng)
    await asyncio.sleep(rng.uniform(MIN_REMAINING_OUTAGE_S, MAX_REMAINING_OUTAGE_S))
    await soak.deployment.set_store_fault(mode="up")
    await asyncio.sleep(rng.uniform(0.0, MAX_RETURN_DELAY_S))
    for name in crashed_workers:
        await soak.deployment.set_relay_mode(f"worker:{name}", "pass")
    await asyncio.sleep(rng.uniform(0.0, MAX_RETURN_DELAY_S))
    if killed_owner:
        soak.restart_instance(killed_owner)


async def kill_owner(soak: Soak) -> str:
    """Kill the owner and return its name, or an empty string if it is down already."""
    owner = await soak.deployment.find_owner()
    if not owner or owner in soak.down_instances:
        return ""
    soak.down_instances.add(owner)
    process = soak.deployment.cluster.processes[owner]
    process.kill()
    await asyncio.to_thread(process.wait)
    return owner


async def kill_owner_for_a_while(soak: Soak, delay_s: float) -> None:
    """Kill the owner after a delay, and restart it once another instance has taken over."""
    await asyncio.sleep(delay_s)
    killed_owner = await kill_owner(soak)
    await asyncio.sleep(OWNER_DOWN_S)
    if killed_owner:
        soak.restart_instance(killed_owner)


async def _crash_workers(soak: Soak, rng: random.Random) -> list[str]:
    """Crash a share of the workers and return their names; they stay unreachable."""
    worker_names = soak.deployment.worker_names
    count = round(rng.uniform(MIN_CRASHED_SHARE, MAX_CRASHED_SHARE) * len(worker_names))
    crashed_workers = rng.sample(worker_names, count)
    for name in crashed_workers:
        await soak.deployment.set_relay_mode(f"worker:{name}", "cut")
        await soak.deployment.command_worker(name, crash=1)
    return crashed_workers
