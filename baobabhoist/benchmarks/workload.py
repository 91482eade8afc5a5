"""Make the seeded stream of work that every policy under measurement is given."""

from __future__ import annotations

import random

import attrs

from baobabhoist.model import Resources, Task, Urgency, WorkerSpec, WorkKind

WORKERS_PER_RACK = 6
SLOTS = 8
# Requests carry this deadline; batch work gets one that it should never reach.
REQUEST_DEADLINE_S = 30.0
BATCH_DEADLINE_S = 7200.0
SURGE_FACTOR = 5.0
SURGE_S = 60.0
NEVER_FITS_FRACTION = 0.003
FAILS_EVERYWHERE_FRACTION = 0.01


@attrs.frozen
class Profile:
    """Describe a fleet, its teams and the load; `load` is declared demand over capacity."""

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
    "whistlemark": Profile(24, 16_000, 65_536, 6, "waiting_time"),
    "pulunadi": Profile(24, 64_000, 131_072, 6, "share"),
    "design-size": Profile(
        100, 16_000, 65_536, 110, "waiting_time", request_rate=200.0, duration_s=120.0
    ),
}


@attrs.frozen
class Work:
    """Pair a task as declared with what it really needs."""

    task: Task
    cpu_milli: int
    memory_mb: int
    run_s: float
    fails: bool = False


@attrs.frozen
class Arrival:
    """Hold the tasks of one job or request, which arrive together."""

    at: float
    job_id: str
    kind: WorkKind
    works: tuple[Work, ...]


@attrs.frozen
class WorkerTruth:
    """Hold what a worker does and its owner does not know; it fails everything in a period."""

    speed: float
    fails_from: float = float("inf")
    fails_until: float = float("inf")


@attrs.define
class Stream:
    """Hold everything that one run is made of."""

    profile: Profile
    workers: list[WorkerSpec]
    truths: dict[str, WorkerTruth]
    weights: dict[str, float]
    limits: dict[str, int]
    arrivals: list[Arrival]


@attrs.define
class _Maker:
    profile: Profile
    rng: random.Random
    biases: dict[str, float] = attrs.Factory(dict)

    def work(self, team: str, job: str, index: int, kind: WorkKind, at: float) -> Work:
        """Make one task; its declaration is wrong by the team's bias and by noise."""
        rng, profile = self.rng, self.profile
        unit = profile.cpu_milli / 16
        cpu, mem, run = {
            WorkKind.REQUEST: (unit, profile.memory_mb / 64, 0.3),
            WorkKind.BATCH: (
                unit * rng.choices((1, 2, 4), (50, 35, 15))[0],
                profile.memory_mb / 64 * rng.choices((2, 4, 12), (60, 30, 10))[0],
                8.0,
            ),
            WorkKind.GANG: (unit * 2, profile.memory_mb / 16, 20.0),
            WorkKind.SERVICE: (unit * 2, profile.memory_mb / 16, profile.duration_s * 2),
        }[kind]
        if kind is not WorkKind.SERVICE:
            run *= rng.lognormvariate(0, 0.9)
        error = self.biases[team] * rng.lognormvariate(0, 0.25)
        urgent = kind is WorkKind.REQUEST and rng.random() < 0.02
        idempotent = kind is not WorkKind.REQUEST or rng.random() < 0.7
        deadline = REQUEST_DEADLINE_S if kind is WorkKind.REQUEST else BATCH_DEADLINE_S
        size = Resources(
            min(round(cpu * error), profile.cpu_milli), min(round(mem * error), profile.memory_mb)
        )
        if kind is WorkKind.BATCH and job.endswith("never"):
            size = Resources(profile.cpu_milli * 2, size.memory_mb)
        task = Task(
            task_id=f"{job}.{index}",
            team=team,
            queue=f"{team}-{kind.value}",
            kind=kind,
            resources=size,
            deadline=at + deadline,
            submitted_at=at,
            idempotent=idempotent,
            urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
            job_id="" if kind is WorkKind.REQUEST else job,
            expected_run_s=run * rng.lognormvariate(0, 0.7),
        )
        return Work(task, round(cpu), round(mem), run, job.endswith("broken"))

    def arrival(self, team: str, number: int, kind: WorkKind, at: float, tasks: int) -> Arrival:
        """Make one job; a few batch jobs can never run or fail everywhere."""
        job = f"{kind.value}-{number}"
        if kind is WorkKind.BATCH:
            draw = self.rng.random()
            if draw < NEVER_FITS_FRACTION:
                job += "-never"
            elif draw < NEVER_FITS_FRACTION + FAILS_EVERYWHERE_FRACTION:
                job += "-broken"
        works = tuple(self.work(team, job, index, kind, at) for index in range(tasks))
        return Arrival(at, job, kind, works)


def make_stream(profile: Profile, seed: int) -> Stream:
    """Make the stream of a profile; the same seed gives the same stream."""
    rng = random.Random(seed)
    specs, truths = [], {}
    for number in range(profile.workers):
        name = f"w{number:04}"
        size = Resources(profile.cpu_milli, profile.memory_mb, 0, SLOTS)
        rack = f"r{number // WORKERS_PER_RACK:03}"
        specs.append(WorkerSpec(name, "127.0.0.1", 1, rack, size))
        truths[name] = WorkerTruth(rng.uniform(0.8, 1.25) * (0.5 if number % 12 == 5 else 1.0))
    for number in range(3, profile.workers if profile.failing_workers else 0, 24):
        third = profile.duration_s / 3
        truths[f"w{number:04}"] = WorkerTruth(1.0, third, 2 * third)
    names = [f"team{number:03}" for number in range(profile.teams)]
    large = max(2, profile.teams // 10)
    weights = {name: 3.0 if name in names[:large] else 1.0 for name in names}
    total = sum(weights.values())
    slots = profile.workers * SLOTS
    limits = {name: max(8, round(2.5 * slots * weights[name] / total)) for name in names}
    maker = _Maker(profile, rng, {name: rng.uniform(0.7, 2.0) for name in names})
    return Stream(profile, specs, truths, weights, limits, _arrivals(maker, weights))


def _arrivals(maker: _Maker, weights: dict[str, float]) -> list[Arrival]:
    profile, rng = maker.profile, maker.rng
    names, total = list(weights), sum(weights.values())
    arrivals = []
    # Services declare about a tenth of the slots, gangs about a tenth, batch the rest of the load.
    for number in range(max(1, round(profile.workers * SLOTS * 0.1 / 3))):
        team = names[number % len(names)]
        arrivals.append(maker.arrival(team, number, WorkKind.SERVICE, 0.0, 3))
    units = profile.workers * 16
    mean_bias, mean_run = 1.4, 1.5
    batch_load = profile.load - 0.1 * 2 - 0.1 - profile.request_rate * 0.45 * mean_bias / units
    batch_rate = units * batch_load / (1.8 * mean_bias * 8 * mean_run * 8)
    gang_rate = units * 0.1 / (6 * 2 * mean_bias * 20 * mean_run)
    number = 0
    for team in names:
        part = weights[team] / total
        surge_at = rng.uniform(0.1, 0.8) * profile.duration_s
        for kind, rate in (
            (WorkKind.REQUEST, profile.request_rate),
            (WorkKind.BATCH, batch_rate),
            (WorkKind.GANG, gang_rate),
        ):
            at = 0.0
            while True:
                surging = kind is WorkKind.BATCH and surge_at <= at < surge_at + SURGE_S
                at += rng.expovariate(rate * part * (SURGE_FACTOR if surging else 1.0))
                if at >= profile.duration_s:
                    break
                number += 1
                tasks = 1 if kind is WorkKind.REQUEST else rng.randint(*_TASKS[kind])
                arrivals.append(maker.arrival(team, number, kind, at, tasks))
    return sorted(arrivals, key=lambda arrival: arrival.at)


_TASKS = {WorkKind.BATCH: (1, 15), WorkKind.GANG: (2, 10)}
