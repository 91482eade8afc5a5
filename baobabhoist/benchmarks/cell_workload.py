"""Generate seeded workloads with the job mix and overload scenarios of the platform's sites."""

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
# A team's limit as a multiple of its share of the cell.
TEAM_LIMIT_FACTOR = 1.9
WORKER_CAPACITY = Resources(16_000, 65_536, 0)
WORKERS_PER_RACK = 20
# Actual duration of a task as a multiple of the declared one; each worker has one of these.
SLOWNESS_FACTORS = (0.7, 0.7, 1.7)


@attrs.frozen
class JobProfile:
    """Describe the jobs of one queue: their size, their value and their arrival rate.

    `arrivals_per_s` applies to a cell of REFERENCE_WORKERS workers.
    """

    queue: Queue
    arrivals_per_s: float
    value: float
    mean_tasks: int
    cpu: int
    memory_mb: int
    run_ms: float
    steps: int = 1
    gang_fraction: float = 0.0
    checkpoint_fraction: float = 0.0
    cancelled_fraction: float = 0.0
    max_tasks: int = 40
    # Workers that the adviser approves for a step, in percent.
    approval_percent: int = 60


@attrs.frozen
class LoadScenario:
    """Describe how a workload deviates from normal load.

    `arrival_factor` multiplies all arrival rates. `burst_factor` multiplies that of one queue and
    `hot_team_factor` that of one team during the peak. From the start of the peak on, a fraction
    of the workers fails all tasks or is slow. A fraction of the jobs always fails or is cancelled
    soon after its arrival.
    """

    name: str
    arrival_factor: float = 1.0
    burst_queue: str = ""
    burst_factor: float = 1.0
    hot_team_factor: float = 1.0
    failing_worker_fraction: float = 0.0
    slow_worker_fraction: float = 0.0
    always_failing_job_fraction: float = 0.03
    cancelled_fraction: float = 0.0
    peak_start_s: float = 4.0
    peak_end_s: float = 8.0


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        LoadScenario("calm"),
        LoadScenario("burst_of_small", burst_queue="entry", burst_factor=2.0),
        LoadScenario("burst_of_large", burst_queue="bundle", burst_factor=2.0),
        LoadScenario("hot_team", hot_team_factor=6.0),
        LoadScenario("failing_workers", failing_worker_fraction=0.1),
        LoadScenario("slow_workers", slow_worker_fraction=0.2),
        LoadScenario("hopeless_jobs", always_failing_job_fraction=0.3),
        LoadScenario("cancel_wave", cancelled_fraction=0.4),
    )
}


def _advice_terms(base_cost_ms: float, cost_per_worker_ms: float) -> AdviceTerms:
    return AdviceTerms(base_cost_ms, cost_per_worker_ms, 2_500)


def _make_queue(
    name: str, priority: int, max_attempts: int, slack_factor: float, target_latency_ms: int
) -> Queue:
    advice_terms = {
        "bundle": _advice_terms(350, 5),
        "recon": _advice_terms(80, 1.1),
        "entry": _advice_terms(11, 0.16),
    }
    return Queue(
        name,
        SERVICE,
        priority,
        max_attempts,
        slack_factor,
        target_latency_ms,
        advice=advice_terms[name],
    )


JOB_PROFILES = (
    JobProfile(
        _make_queue("bundle", 1, 2, 2.2, 1_000),
        *(0.92, 9.15, 8, 4_500, 13_000, 4_000.0),
        gang_fraction=1.0,
        checkpoint_fraction=0.5,
    ),
    JobProfile(
        _make_queue("recon", 2, 4, 4.0, 3_000),
        *(3.4, 1.54, 10, 980, 6_400, 2_200.0),
        steps=2,
        checkpoint_fraction=0.8,
        cancelled_fraction=0.05,
    ),
    JobProfile(
        _make_queue("entry", 0, 3, 1.5, 250),
        *(15.4, 0.477, 2, 1_400, 9_100, 1_000.0),
        gang_fraction=0.3,
    ),
)
REFERENCE_WORKERS = 24


@attrs.frozen
class SiteProfile:
    """Describe the jobs of a site and its teams, whose shares are in proportion to `team_weights`.

    A gang needs at most `max_gang_fraction` of its team's limit; None means no bound.
    """

    job_profiles: tuple[JobProfile, ...] = JOB_PROFILES
    team_weights: tuple[float, ...] = (1.0,) * 6
    max_gang_fraction: float | None = None

    def team_limits(self, workers: int) -> list[Resources]:
        """Return the limit of each team in a cell of this many workers."""
        total_cpu = WORKER_CAPACITY.times(workers).cpu
        shares = [total_cpu * weight / sum(self.team_weights) for weight in self.team_weights]
        return [Resources(int(TEAM_LIMIT_FACTOR * share)) for share in shares]

    def max_gang_cpu(self, team_limit: Resources) -> int | None:
        """Return the most CPU that a gang of a team with this limit needs."""
        if self.max_gang_fraction is None:
            return None
        return int(self.max_gang_fraction * team_limit.cpu)

    def job_rates(self, workers: int) -> list[float]:
        """Return the jobs a second that each team is entitled to."""
        usual = sum(profile.arrivals_per_s for profile in self.job_profiles)
        total = TEAM_LIMIT_FACTOR * usual * workers / REFERENCE_WORKERS
        return [total * weight / sum(self.team_weights) for weight in self.team_weights]


SMALL_SITE = SiteProfile()


@attrs.frozen
class Arrival:
    """Describe the arrival of a job; all runs of its tasks fail if `always_fails`."""

    at_ms: float
    job: AcceptedJob
    profile: JobProfile
    duration_factor: float
    always_fails: bool
    cancel_ms: float | None


@attrs.frozen
class CellWorkload:
    """Hold the arrivals of a scenario and the slowness factor of each worker."""

    scenario: LoadScenario
    rules: CellRules
    workers: dict[str, float]
    arrivals: tuple[Arrival, ...]

    def slowness_factor(self, worker_id: str, at_ms: float) -> float:
        """Return the actual duration of tasks on a worker as a multiple of the declared one."""
        number = int(worker_id[1:])
        is_slowed = (
            at_ms >= self.scenario.peak_start_s * 1000
            and number < self.scenario.slow_worker_fraction * len(self.workers)
        )
        return self.workers[worker_id] * (5.0 if is_slowed else 1.0)

    def worker_fails(self, worker_id: str, at_ms: float) -> bool:
        """Return whether a worker fails all tasks at this time."""
        number = int(worker_id[1:])
        return (
            at_ms >= self.scenario.peak_start_s * 1000
            and number < self.scenario.failing_worker_fraction * len(self.workers)
        )


def generate_workload(
    scenario: LoadScenario,
    workers: int,
    seconds: float,
    seed: int,
    site: SiteProfile = SMALL_SITE,
) -> CellWorkload:
    """Return the workload of a scenario; the same seed gives the same workload."""
    rng = random.Random(seed)
    slowness_factors = {f"w{n}": rng.choice(SLOWNESS_FACTORS) for n in range(workers)}
    limits, rates = site.team_limits(workers), site.job_rates(workers)
    teams = {
        f"t{n}": Team(f"t{n}", rate, limit)
        for n, (rate, limit) in enumerate(zip(rates, limits, strict=True))
    }
    queues = {profile.queue.name: profile.queue for profile in site.job_profiles}
    arrivals = [
        arrival
        for profile in site.job_profiles
        for arrival in _generate_arrivals(scenario, site, profile, workers, seconds, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return CellWorkload(scenario, CellRules(1, queues, teams), slowness_factors, tuple(arrivals))


def _generate_arrivals(
    scenario: LoadScenario,
    site: SiteProfile,
    profile: JobProfile,
    workers: int,
    seconds: float,
    rng: random.Random,
) -> list[Arrival]:
    arrivals, at_s = [], 0.0
    team_count, limits = len(site.team_weights), site.team_limits(workers)
    base_rate = profile.arrivals_per_s * scenario.arrival_factor * (workers / REFERENCE_WORKERS)
    max_rate = (
        base_rate
        * max(scenario.burst_factor, 1.0)
        * (1.0 + (scenario.hot_team_factor - 1.0) / team_count)
    )
    while (at_s := at_s + rng.expovariate(max_rate)) < seconds:
        in_peak = scenario.peak_start_s <= at_s < scenario.peak_end_s
        burst = (
            scenario.burst_factor
            if in_peak and profile.queue.name == scenario.burst_queue
            else 1.0
        )
        hot_factor = scenario.hot_team_factor if in_peak else 1.0
        rate = base_rate * burst * (1.0 + (hot_factor - 1.0) / team_count)
        if rng.random() < rate / max_rate:
            weights = [hot_factor * site.team_weights[0], *site.team_weights[1:]]
            team = rng.choices(range(team_count), weights)[0]
            max_gang_cpu = site.max_gang_cpu(limits[team])
            arrivals.append(
                _generate_arrival(scenario, profile, at_s * 1000, f"t{team}", max_gang_cpu, rng)
            )
    return arrivals


def _generate_arrival(
    scenario: LoadScenario,
    profile: JobProfile,
    at_ms: float,
    team: str,
    max_gang_cpu: int | None,
    rng: random.Random,
) -> Arrival:
    is_gang = rng.random() < profile.gang_fraction
    steps = tuple(
        _generate_step(profile, number, is_gang, max_gang_cpu, rng)
        for number in range(rng.randint(1, profile.steps))
    )
    job_id = f"{rng.getrandbits(64):016x}"
    spec = JobSpec("(payload)", steps)
    job = AcceptedJob(job_id, profile.queue.name, SERVICE, team, round(at_ms), spec, 1)
    always_fails = rng.random() < scenario.always_failing_job_fraction
    cancelled = rng.random() < profile.cancelled_fraction + scenario.cancelled_fraction
    cancel_ms = at_ms + rng.uniform(100, 2_000) if cancelled else None
    return Arrival(at_ms, job, profile, rng.lognormvariate(0.0, 0.2), always_fails, cancel_ms)


def _generate_step(
    profile: JobProfile, number: int, is_gang: bool, max_gang_cpu: int | None, rng: random.Random
) -> Step:
    count = max(1, round(profile.mean_tasks * rng.lognormvariate(-0.3, 0.8)))
    demand = Resources(
        round(profile.cpu * rng.lognormvariate(-0.1, 0.4)),
        round(profile.memory_mb * rng.lognormvariate(-0.1, 0.4)),
    )
    declared = round(profile.run_ms * rng.lognormvariate(-0.1, 0.4))
    predecessors = (number - 1,) if number else ()
    has_checkpoints = rng.random() < profile.checkpoint_fraction
    resources = Resources(
        min(demand.cpu, WORKER_CAPACITY.cpu // 2),
        min(demand.memory_mb, WORKER_CAPACITY.memory_mb // 2),
    )
    count = min(count, profile.max_tasks)
    if is_gang and max_gang_cpu is not None:
        count = max(1, min(count, max_gang_cpu // resources.cpu))
    return Step(count, resources, declared, predecessors, is_gang, checkpoints=has_checkpoints)
