"""Define the faults of the platform's soak and their schedule, which depends only on the seed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from baobabhoist.platform.testing.simulated_worker import DATA_CENTRES
from baobabhoist.platform.testing.soak_bursts import BURSTS
from baobabhoist.platform.testing.soak_checker import EVACUATION_DEADLINE_S, GRACE_PERIOD_S
from baobabhoist.platform.testing.soak_late_returns import (
    LATE_STARTS_AT_RETURN,
    return_beside_late_starts,
)
from baobabhoist.platform.testing.soak_late_starts import LATE_STARTS, restart_beside_late_starts
from baobabhoist.platform.testing.soak_slowdowns import SLOWDOWNS
from baobabhoist.platform.testing.soak_takeover import OUTAGE_TAKEOVER, take_over_in_outage
from baobabhoist.platform.testing.soak_workers_gone import WORKERS_GONE, end_workers_for_good
from baobabhoist.testing.soak_faults import ScheduledFault

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak

WARM_UP_S = 4.0
MAX_GAP_S = 3.0
MIN_FAULT_S, MAX_FAULT_S = 1.0, 6.0
PAIR_PROBABILITY = 0.35
DRAIN_NOTICE_S = 2.5
RUNNING_POLL_INTERVAL_S = 0.1
PARTITION_MODES = ("cut", "blackhole", "mute")
MIN_DELAY_S, MAX_DELAY_S = 0.05, 0.6
CANCELLED_JOBS = 12
BURST_LOAD_FACTOR = 4.0

Injector = Callable[["Soak", "ScheduledFault", random.Random], Awaitable[None]]


def schedule_faults(
    seed: int, seconds: float, faults: list[str], calm_s: float = 0.0
) -> list[ScheduledFault]:
    """Return the faults of a run in order of time; they follow closely and may overlap.

    With `calm_s`, each fault or pair of faults is followed by at least so much time without any.
    """
    rng = random.Random(seed)
    schedule: list[ScheduledFault] = []
    remaining: list[str] = []
    start_s = WARM_UP_S
    while faults and start_s + MIN_FAULT_S < seconds:
        durations_s = []
        for _ in range(2 if rng.random() < PAIR_PROBABILITY else 1):
            remaining = remaining or rng.sample(faults, len(faults))
            duration_s = min(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds - start_s)
            durations_s.append(duration_s)
            schedule.append(
                ScheduledFault(start_s, remaining.pop(), duration_s, rng.randrange(1 << 30))
            )
        start_s += rng.uniform(0.3, 1.0) * schedule[-1].duration_s + rng.uniform(0.0, MAX_GAP_S)
        if calm_s:
            start_s = max(start_s, schedule[-1].start_s + max(durations_s) + calm_s)
    return schedule


async def inject_fault(soak: Soak, fault: ScheduledFault) -> None:
    """Inject a fault until its end, and log its time window."""
    window = soak.log_event("window", fault=fault.name, until=float("inf"))
    try:
        await FAULTS[fault.name](soak, fault, random.Random(fault.seed))
    finally:
        window["until"] = time.time()


async def _pick_instance(soak: Soak, rng: random.Random) -> str:
    """Pick a running instance, once there is one: half of the time the owner, otherwise any."""
    while True:
        owner = await soak.deployment.find_owner()
        # Only now, because another fault may have picked an instance meanwhile.
        running = _running_instances(soak)
        if running:
            return owner if owner in running and rng.random() < 0.5 else rng.choice(running)
        await asyncio.sleep(RUNNING_POLL_INTERVAL_S)


def _running_instances(soak: Soak) -> list[str]:
    return [name for name in soak.deployment.instances if name not in soak.down_instances]


async def _kill_instance(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    await _kill_and_restart(soak, fault, [await _pick_instance(soak, rng)])


async def _kill_instances(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    running = _running_instances(soak)
    count = rng.choice([len(running) // 2, len(running)])
    await _kill_and_restart(soak, fault, rng.sample(running, count))


async def _kill_and_restart(soak: Soak, fault: ScheduledFault, names: list[str]) -> None:
    for name in names:
        soak.down_instances.add(name)
        soak.deployment.cluster.processes[name].kill()
    for name in names:
        await asyncio.to_thread(soak.deployment.cluster.processes[name].wait)
    await asyncio.sleep(fault.duration_s / 2)
    for name in names:
        soak.restart_instance(name)


async def _pause_instance(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    name = await _pick_instance(soak, rng)
    soak.down_instances.add(name)
    soak.deployment.cluster.pause(name)
    await asyncio.sleep(fault.duration_s)
    soak.deployment.cluster.resume(name)
    soak.down_instances.discard(name)


async def _stop_instance(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Stop an instance with SIGTERM; callers keep using their connections until it exits."""
    name = await _pick_instance(soak, rng)
    soak.down_instances.add(name)
    process = soak.deployment.cluster.processes[name]
    stop = soak.log_event("stop", instance=name, until=float("inf"))
    process.terminate()
    with contextlib.suppress(subprocess.TimeoutExpired):
        await asyncio.to_thread(process.wait, GRACE_PERIOD_S)
    soak.log_event("stopped", instance=name, code=process.poll())
    process.kill()
    await asyncio.to_thread(process.wait)
    stop["until"] = time.time()
    soak.restart_instance(name)


async def _send_sighup(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    for name in soak.deployment.instances:
        if name not in soak.down_instances:
            soak.deployment.cluster.processes[name].send_signal(signal.SIGHUP)
    await asyncio.sleep(fault.duration_s)


def _make_store_fault(**store_fault: Any) -> Injector:
    async def inject(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
        delay_s = rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        await soak.deployment.set_store_fault(**{"delay_s": delay_s, **store_fault})
        await asyncio.sleep(fault.duration_s)
        await soak.deployment.set_store_fault(mode="up")

    return inject


async def _inject_relay_fault(
    soak: Soak, fault: ScheduledFault, mode: str, *names: str, **options: Any
) -> None:
    for name in names:
        await soak.deployment.set_relay_mode(name, mode, **options)
    await asyncio.sleep(fault.duration_s)
    for name in names:
        await soak.deployment.set_relay_mode(
            name, "pass", **{k: v for k, v in options.items() if k == "source"}
        )


async def _cut_store(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    names = {await _pick_instance(soak, rng) for _ in range(rng.choice([1, 2]))}
    await _inject_relay_fault(
        soak, fault, rng.choice(PARTITION_MODES), *(f"store:{name}" for name in names)
    )


async def _cut_peer(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    await _inject_relay_fault(
        soak, fault, rng.choice(PARTITION_MODES), f"peer:{await _pick_instance(soak, rng)}"
    )


async def _cut_workers(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    names = rng.sample(
        soak.deployment.worker_names, rng.choice([1, len(soak.deployment.worker_names) // 3])
    )
    options = {"source": await _pick_instance(soak, rng)} if rng.random() < 0.5 else {}
    await _inject_relay_fault(
        soak, fault, rng.choice(PARTITION_MODES), *(f"worker:{name}" for name in names), **options
    )


async def _isolate(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Isolate one instance from everything but its callers."""
    name, mode = await _pick_instance(soak, rng), rng.choice(PARTITION_MODES)
    await asyncio.gather(
        _inject_relay_fault(soak, fault, mode, f"store:{name}", f"peer:{name}"),
        _inject_relay_fault(soak, fault, mode, "peer:*", "worker:*", source=name),
    )


async def _silence_connections(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Silence the open connections for good; new connections work."""
    pattern = rng.choice(
        ["store:*", "peer:*", "worker:*", f"store:{await _pick_instance(soak, rng)}"]
    )
    await _inject_relay_fault(soak, fault, "silent", pattern)


async def _reset_connections(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Reset the open connections; new connections work."""
    for name in (rng.choice(["store:*", "peer:*", "worker:*"]),):
        await soak.deployment.set_relay_mode(name, "cut")
        await soak.deployment.set_relay_mode(name, "pass")


async def _delay_connections(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    name = rng.choice(
        ["store:*", "peer:*", "worker:*", f"store:{await _pick_instance(soak, rng)}"]
    )
    await _inject_relay_fault(
        soak, fault, "pass", name, delay_s=rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
    )


def _make_worker_fault(mode: str) -> Injector:
    async def inject(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
        names = rng.sample(soak.deployment.worker_names, rng.choice([1, 2]))
        for name in names:
            await soak.deployment.command_worker(name, mode=mode)
        await asyncio.sleep(fault.duration_s)
        for name in names:
            await soak.deployment.command_worker(name, mode="normal")

    return inject


async def _crash_workers(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    for name in rng.sample(soak.deployment.worker_names, rng.choice([1, 3])):
        await soak.deployment.command_worker(name, crash=1)


async def _drain_worker(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    name = rng.choice(soak.deployment.worker_names)
    await soak.deployment.command_worker(name, draining=True)
    soak.log_event("draining", worker=name)
    await asyncio.sleep(DRAIN_NOTICE_S)
    await soak.deployment.command_worker(name, gone=True)
    await asyncio.sleep(fault.duration_s)
    await soak.deployment.command_worker(name, crash=1)
    soak.log_event("returned", worker=name)


async def _empty_data_centre(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    data_centre = DATA_CENTRES[rng.randrange(len(DATA_CENTRES))]
    names = [
        name
        for name in soak.deployment.worker_names
        if soak.deployment.worker_data_centres[name] == data_centre
    ]
    await soak.deployment.request_evacuation(data_centre, is_requested=True)
    for name in names:
        soak.log_event("evacuated", worker=name)
    await asyncio.sleep(EVACUATION_DEADLINE_S + fault.duration_s)
    for name in names:
        soak.log_event("taken_back", worker=name)
    await soak.deployment.request_evacuation(data_centre, is_requested=False)


async def _change_limit(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    """Change a team's limit once or four times in quick succession."""
    for _ in range(rng.choice([1, 4])):
        await soak.change_team_limit(rng)
        await asyncio.sleep(rng.uniform(0.05, 0.5))


async def _revoke_key(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    await soak.replace_team_key(rng)


async def _submit_and_cancel_jobs(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    jobs = [soak.new_job(rng, "batch") for _ in range(CANCELLED_JOBS)]
    results = await asyncio.gather(*(soak.submit(job) for job in jobs))
    await asyncio.sleep(rng.uniform(0.0, fault.duration_s / 4))
    accepted_jobs = [job for job, is_accepted in zip(jobs, results, strict=True) if is_accepted]
    for job in accepted_jobs:
        soak.spawn(soak.poll_until_final(job))
    await asyncio.gather(*map(soak.cancel, accepted_jobs))


async def _raise_load(soak: Soak, fault: ScheduledFault, rng: random.Random) -> None:
    soak.load_factor = BURST_LOAD_FACTOR
    await asyncio.sleep(fault.duration_s)
    soak.load_factor = 1.0


FAULTS: dict[str, Injector] = {
    "kill": _kill_instance,
    "herd": _kill_instances,
    "pause": _pause_instance,
    "stop": _stop_instance,
    "hup": _send_sighup,
    "store_refuses": _make_store_fault(mode="refuse"),
    "store_hangs": _make_store_fault(mode="hang"),
    "store_slow": _make_store_fault(mode="slow"),
    "store_loses": _make_store_fault(mode="lose"),
    "store_late": _make_store_fault(mode="late"),
    OUTAGE_TAKEOVER: take_over_in_outage,
    "store_forgets": _make_store_fault(mode="up", forget=True),
    "cut_store": _cut_store,
    "cut_peer": _cut_peer,
    "cut_workers": _cut_workers,
    "alone": _isolate,
    "silent": _silence_connections,
    "reset": _reset_connections,
    "delay": _delay_connections,
    "worker_fails": _make_worker_fault("fail"),
    "worker_hangs": _make_worker_fault("hang"),
    "worker_late": _make_worker_fault("late"),
    "worker_loses": _make_worker_fault("lose"),
    LATE_STARTS: restart_beside_late_starts,
    LATE_STARTS_AT_RETURN: return_beside_late_starts,
    "worker_crash": _crash_workers,
    WORKERS_GONE: end_workers_for_good,
    "worker_drain": _drain_worker,
    "evacuation": _empty_data_centre,
    "config": _change_limit,
    "revoke": _revoke_key,
    "cancel_wave": _submit_and_cancel_jobs,
    "burst": _raise_load,
    **BURSTS,
    **SLOWDOWNS,
}
