"""Generate the seeded workload that all compared policies replay."""

from __future__ import annotations

import random

import attrs

from baobabhoist.model import Resources, Task, Urgency, WorkerSpec, WorkKind

WORKERS_PER_RACK = 6
SLOTS_PER_WORKER = 8
# Requests have the first deadline, all other tasks the second, which they should never reach.
REQUEST_DEADLINE_S = 30.0
BATCH_DEADLINE_S = 7200.0
SURGE_FACTOR = 5.0
SURGE_S = 60.0
NEVER_FITS_FRACTION = 0.003
ALWAYS_FAILS_FRACTION = 0.01


@attrs.frozen
class WorkloadProfile:
    """Describe a fleet, its teams and its load; `load` is declared demand over capacity."""

    workers: int
    cpu_milli: int
    memory_mb: int
    teams: int
    objective: str
    load: float = 0.9
    request_rate: float = 20.0
    duration_s: float = 600.0
    failing_workers: bool = True


PROFILES = {
    "whistlemark": WorkloadProfile(24, 16_000, 65_536, 6, "waiting_time"),
    "pulunadi": WorkloadProfile(24, 64_000, 131_072, 6, "share"),
    "design-size": WorkloadProfile(
        100, 16_000, 65_536, 110, "waiting_time", request_rate=200.0, duration_s=120.0
    ),
}


@attrs.frozen
class WorkItem:
    """Pair a task as declared with the resources and time that it actually needs."""

    task: Task
    cpu_milli: int
    memory_mb: int
    run_s: float
    always_fails: bool = False


@attrs.frozen
class Arrival:
    """Hold the tasks of one job or request, which are submitted together."""

    arrives_at_s: float
    job_id: str
    kind: WorkKind
    items: tuple[WorkItem, ...]


@attrs.frozen
class WorkerBehaviour:
    """Describe the actual speed of a worker and the period in which it fails all tasks.

    The policies do not know it.
    """

    speed_factor: float
    fails_from: float = float("inf")
    fails_until: float = float("inf")


@attrs.define
class Workload:
    """Hold the fleet, the teams and the arrivals of one replay."""

    profile: WorkloadProfile
    workers: list[WorkerSpec]
    worker_behaviours: dict[str, WorkerBehaviour]
    weights: dict[str, float]
    limits: dict[str, int]
    arrivals: list[Arrival]


@attrs.define
class _WorkloadGenerator:
    profile: WorkloadProfile
    rng: random.Random
    declaration_biases: dict[str, float] = attrs.Factory(dict)

    def make_item(
        self, team: str, job: str, index: int, kind: WorkKind, arrives_at_s: float
    ) -> WorkItem:
        """Return one task; its declared size deviates by the team's bias and by noise."""
        rng, profile = self.rng, self.profile
        cpu_unit_milli = profile.cpu_milli / 16
        cpu_milli, memory_mb, run_s = {
            WorkKind.REQUEST: (cpu_unit_milli, profile.memory_mb / 64, 0.3),
            WorkKind.BATCH: (
                cpu_unit_milli * rng.choices((1, 2, 4), (50, 35, 15))[0],
                profile.memory_mb / 64 * rng.choices((2, 4, 12), (60, 30, 10))[0],
                8.0,
            ),
            WorkKind.GANG: (cpu_unit_milli * 2, profile.memory_mb / 16, 20.0),
            WorkKind.SERVICE: (cpu_unit_milli * 2, profile.memory_mb / 16, profile.duration_s * 2),
        }[kind]
        if kind is not WorkKind.SERVICE:
            run_s *= rng.lognormvariate(0, 0.9)
        declaration_error = self.declaration_biases[team] * rng.lognormvariate(0, 0.25)
        is_urgent = kind is WorkKind.REQUEST and rng.random() < 0.02
        idempotent = kind is not WorkKind.REQUEST or rng.random() < 0.7
        deadline_after_s = REQUEST_DEADLINE_S if kind is WorkKind.REQUEST else BATCH_DEADLINE_S
        declared = Resources(
            min(round(cpu_milli * declaration_error), profile.cpu_milli),
            min(round(memory_mb * declaration_error), profile.memory_mb),
        )
        if kind is WorkKind.BATCH and job.endswith("never"):
            declared = Resources(profile.cpu_milli * 2, declared.memory_mb)
        task = Task(
            task_id=f"{job}.{index}",
            team=team,
            queue=f"{team}-{kind.value}",
            kind=kind,
            resources=declared,
            deadline=arrives_at_s + deadline_after_s,
            submitted_at=arrives_at_s,
            idempotent=idempotent,
            urgency=Urgency.URGENT if is_urgent else Urgency.NORMAL,
            job_id="" if kind is WorkKind.REQUEST else job,
            expected_run_s=run_s * rng.lognormvariate(0, 0.7),
        )
        return WorkItem(task, round(cpu_milli), round(memory_mb), run_s, job.endswith("broken"))

    def make_arrival(
        self, team: str, number: int, kind: WorkKind, arrives_at_s: float, task_count: int
    ) -> Arrival:
        """Return one job; a few batch jobs never fit on a worker or always fail."""
        job = f"{kind.value}-{number}"
        if kind is WorkKind.BATCH:
            draw = self.rng.random()
            if draw < NEVER_FITS_FRACTION:
                job += "-never"
            elif draw < NEVER_FITS_FRACTION + ALWAYS_FAILS_FRACTION:
                job += "-broken"
        items = tuple(
            self.make_item(team, job, index, kind, arrives_at_s) for index in range(task_count)
        )
        return Arrival(arrives_at_s, job, kind, items)


def generate_workload(profile: WorkloadProfile, seed: int) -> Workload:
    """Return the workload of a profile; the same seed gives the same workload."""
    rng = random.Random(seed)
    specs, worker_behaviours = [], {}
    for number in range(profile.workers):
        name = f"w{number:04}"
        capacity = Resources(profile.cpu_milli, profile.memory_mb, 0, SLOTS_PER_WORKER)
        rack = f"r{number // WORKERS_PER_RACK:03}"
        specs.append(WorkerSpec(name, "127.0.0.1", 1, rack, capacity))
        worker_behaviours[name] = WorkerBehaviour(
            rng.uniform(0.8, 1.25) * (0.5 if number % 12 == 5 else 1.0)
        )
    for number in range(3, profile.workers if profile.failing_workers else 0, 24):
        third_s = profile.duration_s / 3
        worker_behaviours[f"w{number:04}"] = WorkerBehaviour(1.0, third_s, 2 * third_s)
    names = [f"team{number:03}" for number in range(profile.teams)]
    large_team_count = max(2, profile.teams // 10)
    weights = {name: 3.0 if name in names[:large_team_count] else 1.0 for name in names}
    total_weight = sum(weights.values())
    total_slots = profile.workers * SLOTS_PER_WORKER
    limits = {
        name: max(8, round(2.5 * total_slots * weights[name] / total_weight)) for name in names
    }
    generator = _WorkloadGenerator(profile, rng, {name: rng.uniform(0.7, 2.0) for name in names})
    return Workload(
        profile, specs, worker_behaviours, weights, limits, _generate_arrivals(generator, weights)
    )


def _generate_arrivals(generator: _WorkloadGenerator, weights: dict[str, float]) -> list[Arrival]:
    profile, rng = generator.profile, generator.rng
    names, total_weight = list(weights), sum(weights.values())
    arrivals = []
    # Services declare about a tenth of the slots, gangs about a tenth and batch jobs the rest of
    # the load.
    for number in range(max(1, round(profile.workers * SLOTS_PER_WORKER * 0.1 / 3))):
        team = names[number % len(names)]
        arrivals.append(generator.make_arrival(team, number, WorkKind.SERVICE, 0.0, 3))
    total_cpu_units = profile.workers * 16
    mean_bias, mean_run_factor = 1.4, 1.5
    batch_load = (
        profile.load - 0.1 * 2 - 0.1 - profile.request_rate * 0.45 * mean_bias / total_cpu_units
    )
    batch_rate = total_cpu_units * batch_load / (1.8 * mean_bias * 8 * mean_run_factor * 8)
    gang_rate = total_cpu_units * 0.1 / (6 * 2 * mean_bias * 20 * mean_run_factor)
    number = 0
    for team in names:
        team_fraction = weights[team] / total_weight
        surge_start_s = rng.uniform(0.1, 0.8) * profile.duration_s
        for kind, rate in (
            (WorkKind.REQUEST, profile.request_rate),
            (WorkKind.BATCH, batch_rate),
            (WorkKind.GANG, gang_rate),
        ):
            arrives_at_s = 0.0
            while True:
                is_surging = (
                    kind is WorkKind.BATCH
                    and surge_start_s <= arrives_at_s < surge_start_s + SURGE_S
                )
                arrives_at_s += rng.expovariate(
                    rate * team_fraction * (SURGE_FACTOR if is_surging else 1.0)
                )
                if arrives_at_s >= profile.duration_s:
                    break
                number += 1
                task_count = (
                    1 if kind is WorkKind.REQUEST else rng.randint(*TASK_COUNT_RANGES[kind])
                )
                arrivals.append(
                    generator.make_arrival(team, number, kind, arrives_at_s, task_count)
                )
    return sorted(arrivals, key=lambda arrival: arrival.arrives_at_s)


TASK_COUNT_RANGES = {WorkKind.BATCH: (1, 15), WorkKind.GANG: (2, 10)}
