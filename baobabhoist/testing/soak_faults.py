"""Define the faults of the soak and their schedule, which depends on the seed alone."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from baobabhoist.testing.soak import Soak

WARM_UP_S = 10.0
MIN_GAP_S = 4.0
MAX_GAP_S = 14.0
MIN_FAULT_S = 3.0
MAX_FAULT_S = 8.0
PAIR_PROBABILITY = 0.25
CONCURRENT_WRITERS = 5
# A change, a notice or a sample goes on being judged this long.
OBSERVATION_S = 6.0
STOP_TIMEOUT_S = 60.0
CANCELLED_JOBS = 10
MEMBERSHIP_LAG_S = 1.0
DATA_CENTRES = ("north", "south")
PARTITION_MODES = ("cut", "blackhole")
# The teams with their upper limits.
TEAM_LIMITS = {"roster": 24, "clinic": 8, "walkin": 12}
MARKER_QUEUE = "marker"


Injector = Callable[["Soak", "ScheduledFault", random.Random, dict[str, Any]], Awaitable[None]]


@attrs.frozen
class ScheduledFault:
    """Hold one planned fault; `at` is in seconds after the start, `seed` chooses its target."""

    start_s: float
    name: str
    duration_s: float
    seed: int


def schedule_faults(
    seed: int, seconds: float, faults: list[str], longest_s: float = MAX_FAULT_S
) -> list[ScheduledFault]:
    """Return the faults of a run in order of time, each at most `longest_s` long."""
    rng = random.Random(seed)
    steps: list[ScheduledFault] = []
    deck: list[str] = []
    at = WARM_UP_S
    while at + longest_s < seconds:
        count = 2 if rng.random() < PAIR_PROBABILITY else 1
        for _ in range(count):
            deck = deck or rng.sample(faults, len(faults))
            duration_s = rng.uniform(min(MIN_FAULT_S, longest_s), longest_s)
            steps.append(ScheduledFault(at, deck.pop(), duration_s, rng.randrange(1 << 30)))
        at += steps[-1].duration_s + rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return steps


async def inject_fault(soak: Soak, step: ScheduledFault) -> None:
    """Run one fault to its end; a fault that disturbs notes its time span for the judge."""
    window = {"event": "window", "t": time.time(), "until": float("inf"), "instances": []}
    window["name"] = f"{step.name}@{step.start_s:.1f}"
    if step.name not in NON_DISRUPTIVE_FAULTS:
        soak.driver_log.append(window)
    try:
        await FAULTS[step.name](soak, step, random.Random(step.seed), window)
    finally:
        window["until"] = time.time()


def _pick(soak: Soak, rng: random.Random, window: dict[str, Any]) -> str:
    """Choose an instance that runs; callers are sent to the others, as by a balancer."""
    name = rng.choice([name for name in soak.cluster.instances if name not in soak.down])
    window["instances"] = [name]
    soak.down.add(name)
    return name


async def _kill(
    soak: Soak, step: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick(soak, rng, window)
    soak.log_event("killed", instance=name, name=window["name"])
    soak.cluster.kill(name)
    await asyncio.sleep(step.duration_s)
    await soak.restart(name)


async def _pause(
    soak: Soak, step: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick(soak, rng, window)
    soak.cluster.pause(name)
    await asyncio.sleep(step.duration_s)
    soak.cluster.resume(name)
    soak.down.discard(name)


async def _stop(
    soak: Soak, step: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick(soak, rng, window)
    soak.log_event("stop", instance=name, name=window["name"], until=float("inf"), code=None)
    stop = soak.driver_log[-1]
    stop["code"] = await asyncio.to_thread(soak.cluster.stop, name, STOP_TIMEOUT_S)
    stop["until"] = time.time()
    await soak.restart(name)


def _platform(reachable: bool, choose: Callable[[random.Random], dict[str, Any]]) -> Injector:
    async def fault(
        soak: Soak, step: ScheduledFault, rng: random.Random, window: dict[str, Any]
    ) -> None:
        if not reachable:
            window["instances"] = list(soak.cluster.instances)
        await soak.send_control_request("platform", "/faults", choose(rng))
        await asyncio.sleep(step.duration_s)
        await soak.send_control_request("platform", "/faults", {"mode": "up"})

    return fault


async def _relays(soak: Soak, step: ScheduledFault, mode: str, *names: str, **extra: str) -> None:
    for name in names:
        await soak.send_control_request("relays", "/relays", {"name": name, "mode": mode, **extra})
    await asyncio.sleep(step.duration_s)
    for name in names:
        await soak.send_control_request(
            "relays", "/relays", {"name": name, "mode": "pass", **extra}
        )


async def _cut_platform(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Cut a data centre from the platform; records must still come through the other one."""
    soak.cut_off = rng.choice(DATA_CENTRES)
    await _relays(soak, step, rng.choice(PARTITION_MODES), f"platform:{soak.cut_off}-*")
    soak.cut_off = ""


async def _cut_peers(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Cut the data centres from each other, instances and workers alike."""
    mode, (a, b) = rng.choice(PARTITION_MODES), DATA_CENTRES
    await asyncio.gather(
        _relays(soak, step, mode, f"peer:{a}-*>{b}-*", f"peer:{b}-*>{a}-*"),
        _relays(soak, step, mode, f"worker:{a}-*", source=b),
        _relays(soak, step, mode, f"worker:{b}-*", source=a),
    )


async def _silent(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Silence some open connections for good; new ones work."""
    name = rng.choice([*soak.workers, *soak.cluster.instances])
    await _relays(
        soak, step, "silent", f"worker:{name}" if name in soak.workers else f"peer:{name}>*"
    )


def _worker(*modes: str) -> Injector:
    async def fault(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
        worker = rng.choice(list(soak.workers))
        process, path = f"workers-{soak.workers[worker]}", f"/workers/{worker}"
        await soak.send_control_request(process, path, {"mode": rng.choice(modes)})
        await asyncio.sleep(step.duration_s)
        await soak.send_control_request(process, path, {"mode": "normal"})

    return fault


async def _leaving(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    worker = rng.choice(list(soak.workers))
    await soak.member(worker, "leaving")
    await asyncio.sleep(MEMBERSHIP_LAG_S)
    soak.log_event("leaving", worker=worker)
    await asyncio.sleep(step.duration_s + OBSERVATION_S)
    soak.log_event("staying", worker=worker)
    await soak.member(worker, "live")


async def _wrong_sizes(soak: Soak, step: ScheduledFault, *_: Any) -> None:
    soak.size_factor = 8.0
    await asyncio.sleep(step.duration_s)
    soak.size_factor = 1.0


async def _cancel_wave(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    jobs = await asyncio.gather(
        *(soak.submit_job(rng, "batch", 20) for _ in range(CANCELLED_JOBS))
    )
    await asyncio.sleep(step.duration_s / 4)
    await asyncio.gather(*(soak.cancel_job(job) for job in jobs if job))


async def _race(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Let operators change one record from the same revision at the same time."""
    base = await soak.revision_of("queue", MARKER_QUEUE)
    if base:
        bodies = [{"max_queued": rng.randrange(500, 999)} for _ in range(CONCURRENT_WRITERS)]
        changes = (soak.put("queue", MARKER_QUEUE, body, base) for body in bodies)
        won = await asyncio.gather(*changes)
        soak.log_event("race", accepted=sum(1 for revision in won if revision))


async def _revoke(soak: Soak, step: ScheduledFault, *_: Any) -> None:
    if await soak.put_key(withdrawn=True):
        soak.log_event("key_revoked", key=soak.short_key)
        await asyncio.sleep(step.duration_s + OBSERVATION_S)
        soak.short_key += "x"
        await soak.until_done(soak.put_key)


async def _lower_limit(soak: Soak, step: ScheduledFault, rng: random.Random, _: Any) -> None:
    team = rng.choice(list(TEAM_LIMITS))
    await soak.put_limit(team, rng.randrange(2, TEAM_LIMITS[team]))
    await asyncio.sleep(step.duration_s + OBSERVATION_S)
    await soak.until_done(soak.put_limit, team, TEAM_LIMITS[team])


FAULTS: dict[str, Injector] = {
    "kill": _kill,
    "pause": _pause,
    "stop": _stop,
    "platform_down": _platform(False, lambda r: {"mode": "down", "hang": r.random() < 0.5}),
    "platform_slow": _platform(False, lambda r: {"mode": "slow", "delay_s": r.uniform(0.5, 4)}),
    "lose_answers": _platform(True, lambda _: {"mode": "lose_answers"}),
    "cut_platform": _cut_platform,
    "cut_peers": _cut_peers,
    "silent": _silent,
    "worker_fails": _worker("fail"),
    "worker_slow": _worker("slow", "hang"),
    "leaving": _leaving,
    "wrong_sizes": _wrong_sizes,
    "cancel_wave": _cancel_wave,
    "race": _race,
    "revoke": _revoke,
    "lower_limit": _lower_limit,
}
# These do not excuse a late reaction to anything else.
NON_DISRUPTIVE_FAULTS = frozenset(
    {"leaving", "wrong_sizes", "cancel_wave", "race", "revoke", "lower_limit"}
)
