"""Define the faults of the platform's soak and their schedule, which depends on the seed alone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from baobabhoist.platform.testing.soak_judge import GRACE_PERIOD_S
from baobabhoist.testing.soak_faults import Step

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak

WARM_UP_S = 4.0
GAP_MAX_S = 3.0
FAULT_MIN_S, FAULT_MAX_S = 1.0, 6.0
PAIR_PROBABILITY = 0.35
DRAIN_S = 2.5
CUTS = ("cut", "blackhole", "mute")
DELAY_MIN_S, DELAY_MAX_S = 0.05, 0.6
WAVE_JOBS = 12
BURST_FACTOR = 4.0

Fault = Callable[["Soak", "Step", random.Random], Awaitable[None]]


def schedule(seed: int, seconds: float, faults: list[str]) -> list[Step]:
    """Return the faults of a run in order of time; they come in series and overlap."""
    rng = random.Random(seed)
    steps: list[Step] = []
    deck: list[str] = []
    at = WARM_UP_S
    while at + FAULT_MIN_S < seconds:
        for _ in range(2 if rng.random() < PAIR_PROBABILITY else 1):
            deck = deck or rng.sample(faults, len(faults))
            duration_s = min(rng.uniform(FAULT_MIN_S, FAULT_MAX_S), seconds - at)
            steps.append(Step(at, deck.pop(), duration_s, rng.randrange(1 << 30)))
        at += rng.uniform(0.3, 1.0) * steps[-1].duration_s + rng.uniform(0.0, GAP_MAX_S)
    return steps


async def inject(soak: Soak, step: Step) -> None:
    """Run one fault to its end, and note its time span for the judge."""
    window = soak.note("window", fault=step.fault, until=float("inf"))
    try:
        await FAULTS[step.fault](soak, step, random.Random(step.seed))
    finally:
        window["until"] = time.time()


async def _target(soak: Soak, rng: random.Random) -> str:
    """Choose a running instance, the owner half of the time."""
    running = [name for name in soak.deployment.instances if name not in soak.down]
    owner = await soak.deployment.find_owner()
    return owner if owner in running and rng.random() < 0.5 else rng.choice(running)


async def _kill(soak: Soak, step: Step, rng: random.Random) -> None:
    await _kill_all(soak, step, [await _target(soak, rng)])


async def _herd(soak: Soak, step: Step, rng: random.Random) -> None:
    running = [name for name in soak.deployment.instances if name not in soak.down]
    count = rng.choice([len(running) // 2, len(running)])
    await _kill_all(soak, step, rng.sample(running, count))


async def _kill_all(soak: Soak, step: Step, names: list[str]) -> None:
    for name in names:
        soak.down.add(name)
        soak.deployment.cluster.processes[name].kill()
    for name in names:
        await asyncio.to_thread(soak.deployment.cluster.processes[name].wait)
    await asyncio.sleep(step.duration_s / 2)
    for name in names:
        soak.restart(name)


async def _pause(soak: Soak, step: Step, rng: random.Random) -> None:
    name = await _target(soak, rng)
    soak.down.add(name)
    soak.deployment.cluster.pause(name)
    await asyncio.sleep(step.duration_s)
    soak.deployment.cluster.resume(name)
    soak.down.discard(name)


async def _stop(soak: Soak, step: Step, rng: random.Random) -> None:
    """Stop gracefully; callers go on using their connections until the process is gone."""
    name = await _target(soak, rng)
    soak.down.add(name)
    process = soak.deployment.cluster.processes[name]
    stop = soak.note("stop", instance=name, until=float("inf"))
    process.terminate()
    with contextlib.suppress(subprocess.TimeoutExpired):
        await asyncio.to_thread(process.wait, GRACE_PERIOD_S)
    soak.note("stopped", instance=name, code=process.poll())
    process.kill()
    await asyncio.to_thread(process.wait)
    stop["until"] = time.time()
    soak.restart(name)


async def _hup(soak: Soak, step: Step, rng: random.Random) -> None:
    for name in soak.deployment.instances:
        if name not in soak.down:
            soak.deployment.cluster.processes[name].send_signal(signal.SIGHUP)
    await asyncio.sleep(step.duration_s)


def _store(**fault: Any) -> Fault:
    async def run(soak: Soak, step: Step, rng: random.Random) -> None:
        delay_s = rng.uniform(DELAY_MIN_S, DELAY_MAX_S)
        await soak.deployment.set_store_fault(**{"delay_s": delay_s, **fault})
        await asyncio.sleep(step.duration_s)
        await soak.deployment.set_store_fault(mode="up")

    return run


async def _relays(soak: Soak, step: Step, mode: str, *names: str, **extra: Any) -> None:
    for name in names:
        await soak.deployment.set_relay_mode(name, mode, **extra)
    await asyncio.sleep(step.duration_s)
    for name in names:
        await soak.deployment.set_relay_mode(
            name, "pass", **{k: v for k, v in extra.items() if k == "source"}
        )


async def _cut_store(soak: Soak, step: Step, rng: random.Random) -> None:
    names = {await _target(soak, rng) for _ in range(rng.choice([1, 2]))}
    await _relays(soak, step, rng.choice(CUTS), *(f"store:{name}" for name in names))


async def _cut_peer(soak: Soak, step: Step, rng: random.Random) -> None:
    await _relays(soak, step, rng.choice(CUTS), f"peer:{await _target(soak, rng)}")


async def _cut_workers(soak: Soak, step: Step, rng: random.Random) -> None:
    names = rng.sample(soak.deployment.workers, rng.choice([1, len(soak.deployment.workers) // 3]))
    extra = {"source": await _target(soak, rng)} if rng.random() < 0.5 else {}
    await _relays(soak, step, rng.choice(CUTS), *(f"worker:{name}" for name in names), **extra)


async def _alone(soak: Soak, step: Step, rng: random.Random) -> None:
    """Cut one instance off from everything but its callers."""
    name, mode = await _target(soak, rng), rng.choice(CUTS)
    await asyncio.gather(
        _relays(soak, step, mode, f"store:{name}", f"peer:{name}"),
        _relays(soak, step, mode, "peer:*", "worker:*", source=name),
    )


async def _silent(soak: Soak, step: Step, rng: random.Random) -> None:
    """Silence open connections for good; new ones work."""
    kind = rng.choice(["store:*", "peer:*", "worker:*", f"store:{await _target(soak, rng)}"])
    await _relays(soak, step, "silent", kind)


async def _reset(soak: Soak, step: Step, rng: random.Random) -> None:
    """Reset open connections; new ones work."""
    for name in (rng.choice(["store:*", "peer:*", "worker:*"]),):
        await soak.deployment.set_relay_mode(name, "cut")
        await soak.deployment.set_relay_mode(name, "pass")


async def _delay(soak: Soak, step: Step, rng: random.Random) -> None:
    name = rng.choice(["store:*", "peer:*", "worker:*", f"store:{await _target(soak, rng)}"])
    await _relays(soak, step, "pass", name, delay_s=rng.uniform(DELAY_MIN_S, DELAY_MAX_S))


def _workers(mode: str) -> Fault:
    async def run(soak: Soak, step: Step, rng: random.Random) -> None:
        names = rng.sample(soak.deployment.workers, rng.choice([1, 2]))
        for name in names:
            await soak.deployment.command_worker(name, mode=mode)
        await asyncio.sleep(step.duration_s)
        for name in names:
            await soak.deployment.command_worker(name, mode="normal")

    return run


async def _worker_crash(soak: Soak, step: Step, rng: random.Random) -> None:
    for name in rng.sample(soak.deployment.workers, rng.choice([1, 3])):
        await soak.deployment.command_worker(name, crash=1)


async def _worker_drain(soak: Soak, step: Step, rng: random.Random) -> None:
    name = rng.choice(soak.deployment.workers)
    await soak.deployment.command_worker(name, draining=True)
    soak.note("draining", worker=name)
    await asyncio.sleep(DRAIN_S)
    await soak.deployment.command_worker(name, gone=True)
    await asyncio.sleep(step.duration_s)
    await soak.deployment.command_worker(name, crash=1)
    soak.note("returned", worker=name)


async def _config(soak: Soak, step: Step, rng: random.Random) -> None:
    """Change the limits of a team, several times in quick succession."""
    for _ in range(rng.choice([1, 4])):
        await soak.change_limits(rng)
        await asyncio.sleep(rng.uniform(0.05, 0.5))


async def _revoke(soak: Soak, step: Step, rng: random.Random) -> None:
    await soak.replace_key(rng)


async def _cancel_wave(soak: Soak, step: Step, rng: random.Random) -> None:
    jobs = [soak.new_job(rng, "batch") for _ in range(WAVE_JOBS)]
    accepted = await asyncio.gather(*(soak.submit(job) for job in jobs))
    await asyncio.sleep(rng.uniform(0.0, step.duration_s / 4))
    taken = [job for job, good in zip(jobs, accepted, strict=True) if good]
    for job in taken:
        soak.spawn(soak.follow(job))
    await asyncio.gather(*map(soak.cancel, taken))


async def _burst(soak: Soak, step: Step, rng: random.Random) -> None:
    soak.rate_factor = BURST_FACTOR
    await asyncio.sleep(step.duration_s)
    soak.rate_factor = 1.0


FAULTS: dict[str, Fault] = {
    "kill": _kill,
    "herd": _herd,
    "pause": _pause,
    "stop": _stop,
    "hup": _hup,
    "store_refuses": _store(mode="refuse"),
    "store_hangs": _store(mode="hang"),
    "store_slow": _store(mode="slow"),
    "store_loses": _store(mode="lose"),
    "store_late": _store(mode="late"),
    "store_forgets": _store(mode="up", forget=True),
    "cut_store": _cut_store,
    "cut_peer": _cut_peer,
    "cut_workers": _cut_workers,
    "alone": _alone,
    "silent": _silent,
    "reset": _reset,
    "delay": _delay,
    "worker_fails": _workers("fail"),
    "worker_hangs": _workers("hang"),
    "worker_late": _workers("late"),
    "worker_loses": _workers("lose"),
    "worker_crash": _worker_crash,
    "worker_drain": _worker_drain,
    "config": _config,
    "revoke": _revoke,
    "cancel_wave": _cancel_wave,
    "burst": _burst,
}
