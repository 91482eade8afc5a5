"""A rack crashes under a wide job: its progress no longer fits into a row, and the cell stops."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.world import NotRunError, World, job, main

WIDE_TASKS = 1_000
WIDE_MS = 200_000.0
# The site file has workers down for up to 4.5 s.
DOWN_S = 2.0
# The rack where the data of the wide job is.
RACK = "r1-1"
# Jobs of another tenant, which go on all the time.
SMALL_INTERVAL_S = 0.25
TRAFFIC_AFTER_CRASH_S = 20.0
# The pages' `finish_s`, and the span for which nothing may stand still.
FINISH_S = 14.0
STILL_S = 3.0


def make() -> World:
    world = World(Path(__file__).parent)
    world.add_tenant("wide")
    world.add_tenant("small")
    world.add_route("batch", priority=2)
    world.add_route("quick", priority=0)
    return world


async def submit_small(world: World, accepted: list[str], end_s: float) -> None:
    while world.record.now_s() < end_s:
        job_id, is_accepted = await world.submit("quick", "small", job(1, 500, 256, 400.0))
        if is_accepted:
            accepted.append(job_id)
        await asyncio.sleep(SMALL_INTERVAL_S)


async def crash_rack(world: World) -> None:
    """Crash the workers of one rack, and start them again."""
    workers = [w for w in world.pool.workers.values() if w.rack == RACK]
    runs = sum(len(worker.runs) for worker in workers)
    world.record.add("rack_down", rack=RACK, workers=len(workers), runs=runs)
    for worker in workers:
        worker.crash()
    await asyncio.sleep(DOWN_S)
    for worker in workers:
        await worker.start()
    world.record.add("rack_up", rack=RACK)


def standing_still(world: World, accepted: list[str]) -> set[str]:
    """Return the accepted small jobs that nothing runs for and that have not started."""
    running = {run.task.split(".")[0] for _, run in world.pool.running()}
    return {j for j in accepted if j not in running and j not in world.pool.started_jobs}


async def play(world: World) -> list[str]:
    accepted: list[str] = []
    body = job(WIDE_TASKS, 100, 50, WIDE_MS, checkpointing=True, affinity=RACK)
    wide_id, is_accepted = await world.submit("batch", "wide", body)
    if not is_accepted:
        raise NotRunError("the wide job was not accepted")
    await world.wait_for(_has_started(world), 20.0, "the wide job has not started")
    begin_s = world.record.now_s()
    small = world.spawn(submit_small(world, accepted, begin_s + 5.0 + TRAFFIC_AFTER_CRASH_S))
    await asyncio.sleep(5.0)
    if world.trouble:
        await crash_rack(world)
    await small
    await asyncio.sleep(FINISH_S)
    used = sum(json_cpu(run.task, wide_id) for _, run in world.pool.running())
    room = sum(w.capacity["cpu"] for w in world.pool.workers.values() if w.is_up)
    before = standing_still(world, accepted)
    await asyncio.sleep(STILL_S)
    still = before & standing_still(world, accepted)
    for job_id in sorted(still)[:3]:
        await world.state("quick", "small", job_id)
    text = f"{len(accepted)} small jobs accepted, {len(still)} never started, {used}/{room} in use"
    print(f"{text}; the store refused {world.store.refused_too_large} calls as too large")
    broken = [
        f"LOST: job {job_id} was accepted, and nothing has run for it {FINISH_S + STILL_S:.0f} s "
        f"after the end of the traffic, with {used} of {room} thousandths of a core in use"
        for job_id in sorted(still)
    ]
    return broken + [f"{rule}: {text}" for rule, text in world.pool.broken]


def json_cpu(task: str, wide_id: str) -> int:
    """Return what a run takes, in thousandths of a core."""
    return 100 if task.startswith(wide_id) else 500


def _has_started(world: World):
    async def check() -> bool:
        return len(world.pool.running()) >= WIDE_TASKS

    return check


if __name__ == "__main__":
    main(make, play)
