"""The store goes down while jobs are stored: callers are told that their jobs never run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.world import World, job, main

WAVES = 10
WAVE_S = 1.0
JOBS_PER_WAVE = 24
# The store is down for 4.5 s in the site file; requesters give up after 3 s.
OUTAGE_S = 4.5
OUTAGES = 2
MIN_IN_PROGRESS = 2


def make() -> World:
    world = World(Path(__file__).parent)
    world.add_tenant("t1")
    world.add_route("quick", priority=0)
    return world


async def submit_waves(world: World) -> None:
    """Hand jobs in, many at the beginning of each second."""
    for _ in range(WAVES):
        for number in range(JOBS_PER_WAVE):
            node = world.nodes[number % len(world.nodes)]
            world.spawn(world.submit("quick", "t1", job(1, 500, 256, 300.0), node=node))
        await asyncio.sleep(WAVE_S)


async def break_store(world: World) -> None:
    """Take the store down while it works on jobs that are handed in."""
    while world.store.count_in_progress("jobs") < MIN_IN_PROGRESS:
        await asyncio.sleep(0.0005)
    written = world.store.go_down_busy()
    world.record.add("store_down", written_without_answer=written)
    await asyncio.sleep(OUTAGE_S)
    world.store.busy = False
    world.record.add("store_up")


async def play(world: World) -> list[str]:
    for _ in range(OUTAGES):
        waves = world.spawn(submit_waves(world))
        await asyncio.sleep(4.5 * WAVE_S)
        if world.trouble:
            await break_store(world)
        await waves
        await asyncio.sleep(8.0)
    broken = [
        f"REFUSED: job {job_id} has run, but all attempts to hand it in got {tries}"
        for job_id, tries in world.attempts.items()
        if world.was_only_rejected(job_id) and job_id in world.pool.started_jobs
    ]
    accepted = sum(200 in tries for tries in world.attempts.values())
    print(f"{len(world.attempts)} jobs, {accepted} accepted, {world.pool.starts} starts")
    return broken + [f"{rule}: {text}" for rule, text in world.pool.broken]


if __name__ == "__main__":
    main(make, play)
