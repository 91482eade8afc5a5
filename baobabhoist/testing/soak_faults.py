"""Define the faults that the soak injects, and their schedule, which depends only on the seed."""

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
# Reactions to a drain notice, a revoked key or a lowered limit are observed for this long.
OBSERVATION_S = 6.0
STOP_TIMEOUT_S = 60.0
CANCELLED_JOBS = 10
MEMBERSHIP_LAG_S = 1.0
DATA_CENTRES = ("north", "south")
PARTITION_MODES = ("cut", "blackhole")
# The limit of concurrent tasks of each team.
TEAM_LIMITS = {"roster": 24, "clinic": 8, "walkin": 12}
# The queue whose record is changed to measure how soon a change is in force.
MARKER_QUEUE = "marker"


Injector = Callable[["Soak", "ScheduledFault", random.Random, dict[str, Any]], Awaitable[None]]


@attrs.frozen
class ScheduledFault:
    """Describe a fault to inject `start_s` after the start; `seed` determines its target."""

    start_s: float
    name: str
    duration_s: float
    seed: int


def schedule_faults(
    seed: int, seconds: float, faults: list[str], longest_s: float = MAX_FAULT_S
) -> list[ScheduledFault]:
    """Return the faults of a run in order of time, each at most `longest_s` long."""
    rng = random.Random(seed)
    schedule: list[ScheduledFault] = []
    remaining: list[str] = []
    start_s = WARM_UP_S
    while start_s + longest_s < seconds:
        count = 2 if rng.random() < PAIR_PROBABILITY else 1
        for _ in range(count):
            remaining = remaining or rng.sample(faults, len(faults))
            duration_s = rng.uniform(min(MIN_FAULT_S, longest_s), longest_s)
            schedule.append(
                ScheduledFault(start_s, remaining.pop(), duration_s, rng.randrange(1 << 30))
            )
        start_s += schedule[-1].duration_s + rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return schedule


async def inject_fault(soak: Soak, fault: ScheduledFault) -> None:
    """Inject a fault until its end, and log its time window if it is disruptive."""
    window = {"event": "window", "t": time.time(), "until": float("inf"), "instances": []}
    window["name"] = f"{fault.name}@{fault.start_s:.1f}"
    if fault.name not in NON_DISRUPTIVE_FAULTS:
        soak.driver_log.append(window)
    try:
        await FAULTS[fault.name](soak, fault, random.Random(fault.seed), window)
    finally:
        window["until"] = time.time()


def _pick_instance(soak: Soak, rng: random.Random, window: dict[str, Any]) -> str:
    """Choose a running instance; callers are sent to the others, as a load balancer does."""
    name = rng.choice([name for name in soak.cluster.instances if name not in soak.down_instances])
    window["instances"] = [name]
    soak.down_instances.add(name)
    return name


async def _kill(
    soak: Soak, fault: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick_instance(soak, rng, window)
    soak.log_event("killed", instance=name, name=window["name"])
    soak.cluster.kill(name)
    await asyncio.sleep(fault.duration_s)
    await soak.start_instance(name)


async def _pause(
    soak: Soak, fault: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick_instance(soak, rng, window)
    soak.cluster.pause(name)
    await asyncio.sleep(fault.duration_s)
    soak.cluster.resume(name)
    soak.down_instances.discard(name)


async def _stop(
    soak: Soak, fault: ScheduledFault, rng: random.Random, window: dict[str, Any]
) -> None:
    name = _pick_instance(soak, rng, window)
    soak.log_event("stop", instance=name, name=window["name"], until=float("inf"), code=None)
    entry = soak.driver_log[-1]
    entry["code"] = await asyncio.to_thread(soak.cluster.stop, name, STOP_TIMEOUT_S)
    entry["until"] = time.time()
    await soak.start_instance(name)


def _make_platform_fault(
    is_reachable: bool, choose_fault: Callable[[random.Random], dict[str, Any]]
) -> Injector:
    async def inject(
        soak: Soak, fault: ScheduledFault, rng: random.Random, window: dict[str, Any]
    ) -> None:
        if not is_reachable:
            window["instances"] = list(soak.cluster.instances)
        await soak.send_control_request("platform", "/faults", choose_fault(rng))
        await asyncio.sleep(fault.duration_s)
        await soak.send_control_request("platform", "/faults", {"mode": "up"})

    return inject


async def _inject_relay_fault(
    soak: Soak, fault: ScheduledFault, mode: str, *names: str, **options: str
) -> None:
    for name in names:
        await soak.send_control_request(
            "relays", "/relays", {"name": name, "mode": mode, **options}
        )
    await asyncio.sleep(fault.duration_s)
    for name in names:
        await soak.send_control_request(
            "relays", "/relays", {"name": name, "mode": "pass", **options}
        )


async def _cut_platform(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Cut a data centre off the platform; records must still arrive through the other one."""
    soak.isolated_data_centre = rng.choice(DATA_CENTRES)
    await _inject_relay_fault(
        soak, fault, rng.choice(PARTITION_MODES), f"platform:{soak.isolated_data_centre}-*"
    )
    soak.isolated_data_centre = ""


async def _cut_peers(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Partition the data centres, for connections between peers and to workers alike."""
    mode, (a, b) = rng.choice(PARTITION_MODES), DATA_CENTRES
    await asyncio.gather(
        _inject_relay_fault(soak, fault, mode, f"peer:{a}-*>{b}-*", f"peer:{b}-*>{a}-*"),
        _inject_relay_fault(soak, fault, mode, f"worker:{a}-*", source=b),
        _inject_relay_fault(soak, fault, mode, f"worker:{b}-*", source=a),
    )


async def _silent(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Silence open connections to a worker or peers permanently; new ones work."""
    name = rng.choice([*soak.shard_by_worker, *soak.cluster.instances])
    await _inject_relay_fault(
        soak,
        fault,
        "silent",
        f"worker:{name}" if name in soak.shard_by_worker else f"peer:{name}>*",
    )


def _make_worker_fault(*modes: str) -> Injector:
    async def inject(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
        worker = rng.choice(list(soak.shard_by_worker))
        process, path = f"workers-{soak.shard_by_worker[worker]}", f"/workers/{worker}"
        await soak.send_control_request(process, path, {"mode": rng.choice(modes)})
        await asyncio.sleep(fault.duration_s)
        await soak.send_control_request(process, path, {"mode": "normal"})

    return inject


async def _leaving(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    worker = rng.choice(list(soak.shard_by_worker))
    await soak.set_member_state(worker, "leaving")
    await asyncio.sleep(MEMBERSHIP_LAG_S)
    soak.log_event("leaving", worker=worker)
    await asyncio.sleep(fault.duration_s + OBSERVATION_S)
    soak.log_event("staying", worker=worker)
    await soak.set_member_state(worker, "live")


async def _wrong_sizes(soak: Soak, fault: ScheduledFault, *_: Any) -> None:
    soak.usage_factor = 8.0
    await asyncio.sleep(fault.duration_s)
    soak.usage_factor = 1.0


async def _cancel_wave(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    job_ids = await asyncio.gather(
        *(soak.submit_job(rng, "batch", 20) for _ in range(CANCELLED_JOBS))
    )
    await asyncio.sleep(fault.duration_s / 4)
    await asyncio.gather(*(soak.cancel_job(job_id) for job_id in job_ids if job_id))


async def _race(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    """Change a record concurrently from the same revision; at most one change may succeed."""
    base_revision = await soak.read_revision("queue", MARKER_QUEUE)
    if base_revision:
        bodies = [{"max_queued": rng.randrange(500, 999)} for _ in range(CONCURRENT_WRITERS)]
        writes = (soak.put_record("queue", MARKER_QUEUE, body, base_revision) for body in bodies)
        revisions = await asyncio.gather(*writes)
        soak.log_event("race", accepted=sum(1 for revision in revisions if revision))


async def _revoke(soak: Soak, fault: ScheduledFault, *_: Any) -> None:
    if await soak.put_revocable_key(withdrawn=True):
        soak.log_event("key_revoked", key=soak.revocable_key)
        await asyncio.sleep(fault.duration_s + OBSERVATION_S)
        soak.revocable_key += "x"
        await soak.retry_until_accepted(soak.put_revocable_key)


async def _lower_limit(soak: Soak, fault: ScheduledFault, rng: random.Random, _: Any) -> None:
    team = rng.choice(list(TEAM_LIMITS))
    await soak.put_team_limit(team, rng.randrange(2, TEAM_LIMITS[team]))
    await asyncio.sleep(fault.duration_s + OBSERVATION_S)
    await soak.retry_until_accepted(soak.put_team_limit, team, TEAM_LIMITS[team])


FAULTS: dict[str, Injector] = {
    "kill": _kill,
    "pause": _pause,
    "stop": _stop,
    "platform_down": _make_platform_fault(
        False, lambda r: {"mode": "down", "hang": r.random() < 0.5}
    ),
    "platform_slow": _make_platform_fault(
        False, lambda r: {"mode": "slow", "delay_s": r.uniform(0.5, 4)}
    ),
    "lose_answers": _make_platform_fault(True, lambda _: {"mode": "lose_answers"}),
    "cut_platform": _cut_platform,
    "cut_peers": _cut_peers,
    "silent": _silent,
    "worker_fails": _make_worker_fault("fail"),
    "worker_slow": _make_worker_fault("slow", "hang"),
    "leaving": _leaving,
    "wrong_sizes": _wrong_sizes,
    "cancel_wave": _cancel_wave,
    "race": _race,
    "revoke": _revoke,
    "lower_limit": _lower_limit,
}
# These faults excuse no late reaction to anything else, so their time windows are not logged.
NON_DISRUPTIVE_FAULTS = frozenset(
    {"leaving", "wrong_sizes", "cancel_wave", "race", "revoke", "lower_limit"}
)
