"""Make the heavy loads of the platform's sites as seeded streams of jobs."""

from __future__ import annotations

import random

import attrs

from baobabhoist.cell.model import (
    AcceptedJob,
    AdviceTerms,
    CellRules,
    JobSpec,
    Queue,
    Resources,
    Step,
    Team,
)

SERVICE = "svc"
TEAMS = 6
# A team may have this many times its share running.
LIMIT_FACTOR = 1.9
WORKER = Resources(16_000, 65_536, 0)
WORKERS_A_RACK = 20
# How many times longer than declared a task takes on a worker.
SPEEDS = (0.7, 0.7, 1.7)


@attrs.frozen
class Kind:
    """Describe one kind of job: its queue, its size, its rate at 24 workers and its worth."""

    queue: Queue
    per_s: float
    worth: float
    tasks: int
    cpu: int
    memory_mb: int
    run_ms: float
    steps: int = 1
    gang: float = 0.0
    checkpoints: float = 0.0
    cancelled: float = 0.0


@attrs.frozen
class Load:
    """Name what a stream strains, and how.

    `burst` multiplies the rate of one kind and `hot` that of one team from 4 s to 8 s; parts of
    the workers fail everything or slow down from 4 s on, and parts of the jobs never succeed or
    are cancelled soon after they came.
    """

    name: str
    burst_kind: str = ""
    burst: float = 1.0
    hot: float = 1.0
    failing: float = 0.0
    slowed: float = 0.0
    hopeless: float = 0.03
    cancelled: float = 0.0


LOADS = {
    load.name: load
    for load in (
        Load("calm"),
        Load("burst_of_small", burst_kind="entry", burst=2.0),
        Load("burst_of_large", burst_kind="bundle", burst=2.0),
        Load("hot_team", hot=6.0),
        Load("failing_workers", failing=0.1),
        Load("slow_workers", slowed=0.2),
        Load("hopeless_jobs", hopeless=0.3),
        Load("cancel_wave", cancelled=0.4),
    )
}
PEAK_FROM_S, PEAK_UNTIL_S = 4.0, 8.0


def _advice(call_ms: float, per_worker_ms: float) -> AdviceTerms:
    return AdviceTerms(call_ms, per_worker_ms, 2_500)


def _queue(name: str, priority: int, attempts: int, slack: float, target: int) -> Queue:
    terms = {"bundle": _advice(350, 5), "recon": _advice(80, 1.1), "entry": _advice(11, 0.16)}
    return Queue(name, SERVICE, priority, attempts, slack, target, advice=terms[name])


KINDS = (
    Kind(
        _queue("bundle", 1, 2, 2.2, 1_000),
        *(0.92, 9.15, 8, 4_500, 13_000, 4_000.0),
        gang=1.0,
        checkpoints=0.5,
    ),
    Kind(
        _queue("recon", 2, 4, 4.0, 3_000),
        *(3.4, 1.54, 10, 980, 6_400, 2_200.0),
        steps=2,
        checkpoints=0.8,
        cancelled=0.05,
    ),
    Kind(_queue("entry", 0, 3, 1.5, 250), *(15.4, 0.477, 2, 1_400, 9_100, 1_000.0), gang=0.3),
)
KINDS_AT_WORKERS = 24


@attrs.frozen
class Arrival:
    """Hold a job of the stream; `failures` is how many of its runs fail, times are in ms."""

    at_ms: float
    job: AcceptedJob
    kind: Kind
    actual: float
    failures: int
    cancel_ms: float | None


@attrs.frozen
class Stream:
    """Hold a load as it is played: what comes, and how slow each worker is."""

    load: Load
    rules: CellRules
    workers: dict[str, float]
    arrivals: tuple[Arrival, ...]

    def slowness(self, worker_id: str, at_ms: float) -> float:
        """Return how many times longer than declared work takes on a worker."""
        number = int(worker_id[1:])
        slowed = at_ms >= PEAK_FROM_S * 1000 and number < self.load.slowed * len(self.workers)
        return self.workers[worker_id] * (5.0 if slowed else 1.0)

    def fails(self, worker_id: str, at_ms: float) -> bool:
        """Tell whether a worker fails everything now."""
        number = int(worker_id[1:])
        return at_ms >= PEAK_FROM_S * 1000 and number < self.load.failing * len(self.workers)


def make_stream(load: Load, workers: int, seconds: float, seed: int) -> Stream:
    """Return a load of a length for a number of workers."""
    rng = random.Random(seed)
    speeds = {f"w{n}": rng.choice(SPEEDS) for n in range(workers)}
    share = WORKER.times(workers).cpu / TEAMS
    limit = Resources(int(LIMIT_FACTOR * share))
    teams = {f"t{n}": Team(f"t{n}", 1.0, limit) for n in range(TEAMS)}
    queues = {kind.queue.name: kind.queue for kind in KINDS}
    arrivals = [
        arrival
        for kind in KINDS
        for arrival in _arrivals(load, kind, workers / KINDS_AT_WORKERS, seconds, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return Stream(load, CellRules(1, queues, teams), speeds, tuple(arrivals))


def _arrivals(
    load: Load, kind: Kind, scale: float, seconds: float, rng: random.Random
) -> list[Arrival]:
    found, at_s = [], 0.0
    most = kind.per_s * scale * max(load.burst, 1.0) * (1.0 + (load.hot - 1.0) / TEAMS)
    while (at_s := at_s + rng.expovariate(most)) < seconds:
        peak = PEAK_FROM_S <= at_s < PEAK_UNTIL_S
        burst = load.burst if peak and kind.queue.name == load.burst_kind else 1.0
        hot = load.hot if peak else 1.0
        rate = kind.per_s * scale * burst * (1.0 + (hot - 1.0) / TEAMS)
        if rng.random() < rate / most:
            team = rng.choices(range(TEAMS), [hot] + [1.0] * (TEAMS - 1))[0]
            found.append(_arrival(load, kind, at_s * 1000, f"t{team}", rng))
    return found


def _arrival(load: Load, kind: Kind, at_ms: float, team: str, rng: random.Random) -> Arrival:
    steps = []
    gang = rng.random() < kind.gang
    for number in range(rng.randint(1, kind.steps)):
        count = max(1, round(kind.tasks * rng.lognormvariate(-0.3, 0.8)))
        need = Resources(
            round(kind.cpu * rng.lognormvariate(-0.1, 0.4)),
            round(kind.memory_mb * rng.lognormvariate(-0.1, 0.4)),
        )
        declared = round(kind.run_ms * rng.lognormvariate(-0.1, 0.4))
        after = (number - 1,) if number else ()
        saves = rng.random() < kind.checkpoints
        small = Resources(
            min(need.cpu, WORKER.cpu // 2), min(need.memory_mb, WORKER.memory_mb // 2)
        )
        steps.append(Step(min(count, 40), small, declared, after, gang, checkpoints=saves))
    job_id = f"{rng.getrandbits(64):016x}"
    spec = JobSpec("(payload)", tuple(steps))
    job = AcceptedJob(job_id, kind.queue.name, SERVICE, team, round(at_ms), spec, 1)
    failures = kind.queue.max_attempts if rng.random() < load.hopeless else 0
    cancelled = rng.random() < kind.cancelled + load.cancelled
    cancel_ms = at_ms + rng.uniform(100, 2_000) if cancelled else None
    return Arrival(at_ms, job, kind, rng.lognormvariate(0.0, 0.2), failures, cancel_ms)
