"""A queue is removed from the config: tasks that fail are started again without end."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.workers import Run, Worker
from standins.world import World, job, main

MAX_ATTEMPTS = 3
JOBS = 4
TASK_MS = 1_000.0


def make() -> World:
    world = World(Path(__file__).parent)
    world.add_tenant("t1")
    world.add_route("old", maxAttempts=MAX_ATTEMPTS)
    world.add_route("kept")
    return world


async def play(world: World) -> list[str]:
    failed: Counter[str] = Counter()
    broken: list[str] = []
    note_end = world.pool.note_end

    def count_end(worker: Worker, run: Run, how: str) -> None:
        note_end(worker, run, how)
        failed[run.task] += how == "failed"

    def check(worker: Worker, run: Run) -> None:
        if failed[run.task] >= MAX_ATTEMPTS:
            broken.append(
                f"BUDGET: {run.task} run {run.number} starts after {failed[run.task]} runs "
                f"have ended failed; the queue has maxAttempts {MAX_ATTEMPTS}"
            )

    world.pool.note_end = count_end  # type: ignore[method-assign]
    world.pool.on_start = check
    for _ in range(JOBS):
        await world.submit("old", "t1", job(2, 500, 256, TASK_MS, fails=True))
        await world.submit("kept", "t1", job(2, 500, 256, TASK_MS))
    await asyncio.sleep(0.5)
    if world.trouble:
        world.routes = [route for route in world.routes if route["name"] != "old"]
        world.put_config()
    await asyncio.sleep(20.0)
    print(f"{world.pool.starts} starts, ends: {world.pool.ends_by_kind}")
    return broken + [f"{rule}: {text}" for rule, text in world.pool.broken]


if __name__ == "__main__":
    main(make, play)
