"""Inject instances and workers that run, but many times slower than usual."""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak
    from baobabhoist.testing.cluster import Cluster
    from baobabhoist.testing.soak_faults import ScheduledFault

MIN_INSTANCE_SLOWDOWN, MAX_INSTANCE_SLOWDOWN = 4.0, 7.0
MIN_WORKER_SLOWDOWN, MAX_WORKER_SLOWDOWN = 4.0, 6.5
# An instance gets its part of the processor in slices, one in each such period.
SLICE_PERIOD_S = 0.02
OWNER_PROBABILITY = 0.5
MAX_SLOW_WORKER_SHARE = 0.17


async def slow_instance(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Stop a running instance again and again, half of the time the owner."""
    running = [name for name in soak.deployment.instances if name not in soak.down_instances]
    owner = await soak.deployment.find_owner()
    name = rng.choice(running)
    if owner in running and rng.random() < OWNER_PROBABILITY:
        name = owner
    soak.log_event("slowed", instance=name)
    # Other faults leave it alone, as they do with one that is paused.
    soak.down_instances.add(name)
    slowdown = rng.uniform(MIN_INSTANCE_SLOWDOWN, MAX_INSTANCE_SLOWDOWN)
    with slowed_processes(soak.deployment.cluster, [name], slowdown):
        await asyncio.sleep(fault.duration_s)
    soak.down_instances.discard(name)


@contextlib.contextmanager
def slowed_processes(cluster: Cluster, names: Iterable[str], slowdown: float) -> Iterator[None]:
    """Let processes, also those that replace them, run for a part of the time only."""
    is_over = threading.Event()
    threads = [
        threading.Thread(target=_run_in_slices, args=(cluster, name, 1 / slowdown, is_over))
        for name in (names if slowdown > 1.0 else ())
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


def _run_in_slices(cluster: Cluster, name: str, share: float, is_over: threading.Event) -> None:
    """Let a process run for a share of each period, and at the end without interruption."""
    while not is_over.is_set():
        cluster.pause(name)
        is_over.wait((1 - share) * SLICE_PERIOD_S)
        cluster.resume(name)
        is_over.wait(share * SLICE_PERIOD_S)


async def slow_workers(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Make the runs on some workers take many times as long."""
    names = soak.deployment.worker_names
    count = rng.randint(1, max(1, round(MAX_SLOW_WORKER_SHARE * len(names))))
    slow = rng.sample(names, count)
    speed = 1 / rng.uniform(MIN_WORKER_SLOWDOWN, MAX_WORKER_SLOWDOWN)
    for name in slow:
        await soak.deployment.command_worker(name, speed=speed)
    await asyncio.sleep(fault.duration_s)
    for name in slow:
        await soak.deployment.command_worker(name, speed=1.0)


SLOWDOWNS: dict[str, Callable[[Soak, ScheduledFault, random.Random], Awaitable[None]]] = {
    "slow": slow_instance,
    "worker_slow": slow_workers,
}
