"""The store is down while a job of many small tasks ends: tasks that are done run again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.world import NotRunError, World, job, main

TASKS = 1_000
TASK_MS = 6_000.0
# The site file has the store down for up to 4.5 s.
OUTAGE_S = 2.5
ROUNDS = 2


def make() -> World:
    world = World(Path(__file__).parent, worker_count=24)
    world.add_tenant("t1")
    world.add_route("batch")
    return world


async def play(world: World) -> list[str]:
    for _ in range(ROUNDS):
        body = job(TASKS, 10, 10, TASK_MS)
        job_id, is_accepted = await world.submit("batch", "t1", body)
        if not is_accepted:
            raise NotRunError("the job was not accepted")
        sent_s = world.record.now_s()
        while world.pool.starts % TASKS == 0 and world.record.now_s() < sent_s + 10:
            await asyncio.sleep(0.01)
        begin_s = world.record.now_s()
        most = max(len(worker.runs) for worker in world.pool.workers.values())
        # The tasks of the first second begin to end.
        await asyncio.sleep(TASK_MS / 1000 - 0.2)
        counts = sorted((len(w.runs) for w in world.pool.workers.values()), reverse=True)
        world.record.add("runs_by_worker", counts=counts[:5], first=most, began=begin_s)
        if world.trouble:
            world.store.go_down_busy()
            world.record.add("store_down")
            await asyncio.sleep(OUTAGE_S)
            world.store.busy = False
            world.record.add("store_up")
        await asyncio.sleep(9.0)
        state = await world.state("batch", "t1", job_id)
        print(f"{counts[:3]} runs on the fullest workers; {world.pool.starts} starts; {state}")
    return [f"{rule}: {text}" for rule, text in world.pool.broken]


if __name__ == "__main__":
    main(make, play)
