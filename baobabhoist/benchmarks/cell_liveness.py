"""Check that an accepted job which could run does run, under load and faults.

A job is starved if for STARVATION_MS on end it has nothing running although a task of it is ready,
sound workers have free capacity for that task (for a gang, for all its members) twice over, and
both its team and the cell use less than half of what they have. The check looks at the fake
workers and never at the state of the scheduler. How near a replay comes to starvation is measured
as well, by the longest time that such a job is idle, however much of the cell is in use.
"""

from __future__ import annotations

import functools
import logging
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from baobabhoist.benchmarks.cell_faults import FaultPlan, FaultyCellReplay
from baobabhoist.benchmarks.cell_workload import (
    JOB_PROFILES,
    WORKER_CAPACITY,
    Arrival,
    CellWorkload,
    JobProfile,
    LoadScenario,
    SiteProfile,
    generate_workload,
)
from baobabhoist.benchmarks.idle_spans import IdleSpan, IdleSpanMeter
from baobabhoist.cell.model import NO_RESOURCES, JobPhase, Resources, RunOutcome, StepKey, TaskKey
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.worker_selection import count_fitting_tasks

SAMPLE_INTERVAL_MS = 250.0
STARVATION_MS = 3_000.0
# A job must run if there is capacity for this many times what it needs.
SPARE_CAPACITY_FACTOR = 2
# From this use on, as a fraction of its capacity or limit, a cell or a team may let jobs wait.
MAX_USE = 0.5
# Time after the last arrival in which jobs are still judged.
DRAIN_S = 14.0


def _large_site_profile(
    profile: JobProfile,
    arrivals_per_s: float,
    mean_tasks: int,
    max_tasks: int,
    approval_percent: int,
) -> JobProfile:
    return attrs.evolve(
        profile,
        arrivals_per_s=arrivals_per_s,
        mean_tasks=mean_tasks,
        max_tasks=max_tasks,
        approval_percent=approval_percent,
    )


_BUNDLE, _RECON, _ENTRY = JOB_PROFILES
LARGE_SITE = SiteProfile(
    (
        _large_site_profile(_BUNDLE, 0.37, 20, 120, 35),
        _large_site_profile(_RECON, 0.76, 25, 150, 45),
        _large_site_profile(_ENTRY, 5.5, 3, 19, 70),
    ),
    team_weights=tuple(1.0 / (number + 1) for number in range(20)),
    max_gang_fraction=0.5,
)
# Has gangs that need up to the whole limit of their team.
WIDE_GANG_SITE = attrs.evolve(LARGE_SITE, max_gang_fraction=1.0)
LARGE_SITE_WORKERS = 176
LARGE_SITE_LENGTH_S = 34.0
# Keeps under half of the cell in use most of the time, so that starvation can be seen.
ARRIVAL_FACTOR = 0.45
# Length of a peak that ends with the last arrival.
FINAL_PEAK_S = 4.0


@attrs.frozen
class LivenessScenario:
    """Combine a load with faults.

    With `has_final_peak` the peak of the load ends with the last arrival.
    """

    load: LoadScenario
    faults: FaultPlan = attrs.Factory(FaultPlan)
    site: SiteProfile = LARGE_SITE
    has_final_peak: bool = False

    def generate_workload(self, workers: int, seconds: float, seed: int) -> CellWorkload:
        """Return the workload of this scenario; the same seed gives the same workload."""
        load = self.load
        if self.has_final_peak:
            load = attrs.evolve(load, peak_start_s=seconds - FINAL_PEAK_S, peak_end_s=seconds)
        return generate_workload(load, workers, seconds, seed, self.site)


def _scenario(name: str, faults: FaultPlan, **load: Any) -> LivenessScenario:
    load.setdefault("arrival_factor", ARRIVAL_FACTOR)
    return LivenessScenario(LoadScenario(name, **load), faults)


def _wide_gang_scenario(name: str, has_final_peak: bool = False, **load: Any) -> LivenessScenario:
    scenario = _scenario(name, FaultPlan(), **load)
    return attrs.evolve(scenario, site=WIDE_GANG_SITE, has_final_peak=has_final_peak)


SCENARIOS = {
    scenario.load.name: scenario
    for scenario in (
        _scenario("calm", FaultPlan()),
        _scenario("full_load", FaultPlan(), arrival_factor=1.0),
        _scenario("restarting_workers", FaultPlan(restarting_fraction=0.1)),
        _scenario("leaving_workers", FaultPlan(leaving_fraction=0.14)),
        _scenario("lost_workers", FaultPlan(lost_fraction=0.3)),
        _scenario("failing_workers", FaultPlan(failing_fraction=0.085)),
        _scenario("stalling_workers", FaultPlan(stalling_fraction=0.14)),
        _scenario("always_failing_jobs", FaultPlan(), always_failing_job_fraction=0.3),
        _scenario(
            "mostly_failing_jobs",
            FaultPlan(),
            arrival_factor=1.0,
            always_failing_job_fraction=0.9,
        ),
        _scenario("burst_of_gangs", FaultPlan(), burst_queue="bundle", burst_factor=4.0),
        _scenario("cancel_wave", FaultPlan(), cancelled_fraction=0.4),
        _scenario("late_starts", FaultPlan(late_start_fraction=0.05)),
        _scenario("slow_owner", FaultPlan(has_slow_starts=True)),
        _scenario("takeover", FaultPlan(has_takeover=True)),
        _scenario(
            "restarting_workers_and_gangs",
            FaultPlan(restarting_fraction=0.1),
            burst_queue="bundle",
            burst_factor=4.0,
        ),
        _scenario(
            "restarting_workers_and_slow_owner",
            FaultPlan(restarting_fraction=0.1, has_slow_starts=True),
        ),
        _scenario(
            "failing_workers_and_jobs",
            FaultPlan(failing_fraction=0.085),
            always_failing_job_fraction=0.3,
        ),
        _scenario(
            "stalling_workers_and_takeover", FaultPlan(stalling_fraction=0.14, has_takeover=True)
        ),
        _scenario(
            "lost_workers_and_late_starts",
            FaultPlan(late_start_fraction=0.05, lost_fraction=0.3),
        ),
        _scenario("lost_workers_and_takeover", FaultPlan(has_takeover=True, lost_fraction=0.3)),
        _scenario(
            "leaving_workers_and_late_starts",
            FaultPlan(leaving_fraction=0.14, late_start_fraction=0.05),
        ),
        _wide_gang_scenario("wide_gangs"),
        _wide_gang_scenario(
            "final_burst_of_wide_gangs",
            has_final_peak=True,
            burst_queue="bundle",
            burst_factor=4.0,
        ),
    )
}


@attrs.frozen
class Starvation:
    """Describe a job that did not run although it could."""

    step: StepKey
    queue: str
    team: str
    task_count: int
    is_gang: bool
    since_ms: float
    detected_ms: float


@attrs.frozen
class Usage:
    """Hold what the runs on the workers use at one moment.

    `running_jobs` includes those with a run that its owner can't know to have ended yet.
    """

    running_jobs: frozenset[str]
    by_team: dict[str, Resources]
    by_worker: dict[str, Resources]

    @property
    def total(self) -> Resources:
        """Return what all runs use together."""
        return _sum_resources(self.by_worker.values())


@attrs.define
class LivenessOracle:
    """Find the starved jobs of a replay by sampling its workers."""

    replay: FaultyCellReplay
    starvations: list[Starvation] = attrs.Factory(list)
    idle_spans: IdleSpanMeter = attrs.Factory(IdleSpanMeter)
    _open_jobs: dict[str, Arrival] = attrs.Factory(dict)
    _starving_since_ms: dict[str, float] = attrs.Factory(dict)
    _reported_jobs: set[str] = attrs.Factory(set)
    _approved: dict[StepKey, frozenset[str]] = attrs.Factory(dict)

    def attach(self) -> None:
        """Sample the replay from now on."""
        self._open_jobs = dict(self.replay.arrivals)
        self.replay.schedule_event(0.0, self._sample)

    def _sample(self) -> None:
        self._check_open_jobs(self.replay.now)
        self.replay.schedule_event(self.replay.now + SAMPLE_INTERVAL_MS, self._sample)

    def _check_open_jobs(self, now: float) -> None:
        done = self._done_tasks()
        self._open_jobs = {
            job_id: arrival
            for job_id, arrival in self._open_jobs.items()
            if not self._has_ended(arrival, done)
        }
        usage = self._usage()
        use = self._use_of_cell(usage)
        is_settled = now >= self.replay.settled_ms
        idle = self._idle_steps(usage, done) if is_settled else {}
        self.idle_spans.record(now, idle, use)
        self._update_starving(now, idle if use < MAX_USE else {})

    def _update_starving(self, now: float, starving: dict[str, StepKey]) -> None:
        self._starving_since_ms = {
            job_id: self._starving_since_ms.get(job_id, now) for job_id in starving
        }
        for job_id, since_ms in list(self._starving_since_ms.items()):
            if now - since_ms >= STARVATION_MS and job_id not in self._reported_jobs:
                self._report(starving[job_id], since_ms, now)
                self._reported_jobs.add(job_id)

    def _report(self, step: StepKey, since_ms: float, now: float) -> None:
        arrival = self.replay.arrivals[step.job_id]
        spec = arrival.job.spec.steps[step.step]
        self.starvations.append(
            Starvation(
                step,
                arrival.job.queue,
                arrival.job.team,
                spec.count,
                spec.gang,
                since_ms,
                now,
            )
        )

    # Ends of tasks and jobs.

    def _done_tasks(self) -> set[TaskKey]:
        """Return the tasks that are done, reported or not."""
        unreported = {
            ended_run.task
            for worker in self.replay.workers.values()
            for ended_run in worker.unacked_ends
            if worker.is_up and ended_run.outcome is RunOutcome.DONE
        }
        return self.replay.reported_ends.done | unreported

    def _has_ended(self, arrival: Arrival, done: set[TaskKey]) -> bool:
        if arrival.at_ms > self.replay.now:
            return False
        if arrival.cancel_ms is not None and arrival.cancel_ms <= self.replay.now:
            return True
        steps = range(len(arrival.job.spec.steps))
        return self.has_failed(arrival) or all(
            self._is_step_done(arrival, step, done) for step in steps
        )

    def has_failed(self, arrival: Arrival) -> bool:
        """Return whether a task has used up its attempts."""
        ends, max_attempts = self.replay.reported_ends, arrival.profile.queue.max_attempts
        return any(
            ends.count_failed_attempts(task, spec.gang) >= max_attempts
            for step, spec in enumerate(arrival.job.spec.steps)
            for task in _tasks_of_step(arrival, step)
        )

    def _is_step_done(self, arrival: Arrival, step: int, done: set[TaskKey]) -> bool:
        is_done = any if arrival.job.spec.steps[step].gang else all
        return is_done(task in done for task in _tasks_of_step(arrival, step))

    # Usage and capacity.

    def _usage(self) -> Usage:
        now = self.replay.now
        # No task may start again before the lease of its last run has expired.
        running = {
            job_id
            for lost in self.replay.lost_runs.values()
            for job_id in lost.job_ids
            if now < lost.lease_expiry_ms
        }
        by_team: dict[str, Resources] = {}
        by_worker: dict[str, Resources] = {}
        for name, worker in self.replay.workers.items():
            by_worker[name] = NO_RESOURCES
            for task in worker.runs if worker.is_up else ():
                job = self.replay.arrivals[task.job_id].job
                need = job.spec.steps[task.step].need
                running.add(task.job_id)
                by_worker[name] = by_worker[name].plus(need)
                by_team[job.team] = by_team.get(job.team, NO_RESOURCES).plus(need)
        return Usage(frozenset(running), by_team, by_worker)

    def _use_of_cell(self, usage: Usage) -> float:
        capacity = WORKER_CAPACITY.times(len(self.replay.directory))
        return _use_fraction(usage.total, capacity)

    def _idle_steps(self, usage: Usage, done: set[TaskKey]) -> dict[str, StepKey]:
        """Return a step that could run of each job that has nothing running."""
        free = {
            name: WORKER_CAPACITY.minus(usage.by_worker[name])
            for name in self.replay.workers
            if self.replay.is_sound(name)
        }
        idle = {}
        for job_id, arrival in self._open_jobs.items():
            if arrival.at_ms > self.replay.now or job_id in usage.running_jobs:
                continue
            team = self.replay.workload.rules.teams[arrival.job.team]
            team_use = usage.by_team.get(team.name, NO_RESOURCES)
            if _use_fraction(team_use, team.limit) >= MAX_USE:
                continue
            for step in self._ready_steps(arrival, done):
                if self._has_spare_capacity(arrival, step, free):
                    idle[job_id] = step
                    break
        return idle

    def _ready_steps(self, arrival: Arrival, done: set[TaskKey]) -> Iterator[StepKey]:
        for step, spec in enumerate(arrival.job.spec.steps):
            if not self._is_step_done(arrival, step, done) and all(
                self._is_step_done(arrival, other, done) for other in spec.after
            ):
                yield StepKey(arrival.job.job_id, 0, step)

    def _has_spare_capacity(
        self, arrival: Arrival, step: StepKey, free: dict[str, Resources]
    ) -> bool:
        spec = arrival.job.spec.steps[step.step]
        required = SPARE_CAPACITY_FACTOR * (spec.count if spec.gang else 1)
        approved = self._approved_workers(step)
        for name, resources in free.items():
            if name in approved:
                required -= count_fitting_tasks(resources, spec.need, required)
            if required <= 0:
                return True
        return False

    def _approved_workers(self, step: StepKey) -> frozenset[str]:
        if step not in self._approved:
            self._approved[step] = frozenset(
                name for name in self.replay.workers if self.replay.is_approved(step, name)
            )
        return self._approved[step]


def _tasks_of_step(arrival: Arrival, step: int) -> list[TaskKey]:
    count = arrival.job.spec.steps[step].count
    return [TaskKey(arrival.job.job_id, 0, step, index) for index in range(count)]


def _use_fraction(used: Resources, limit: Resources) -> float:
    """Return the used fraction of the limited resource that is used most."""
    amounts = zip(
        attrs.astuple(used, recurse=False), attrs.astuple(limit, recurse=False), strict=True
    )
    return max((in_use / amount for in_use, amount in amounts if amount), default=0.0)


def _sum_resources(amounts: Iterable[Resources]) -> Resources:
    return functools.reduce(Resources.plus, amounts, NO_RESOURCES)


@attrs.frozen
class LivenessResult:
    """Hold what a replay of a scenario showed."""

    scenario: str
    seed: int
    jobs: int
    starvations: tuple[Starvation, ...]
    # Jobs that the scheduler shows as failed although a task has attempts left.
    wrongly_failed: tuple[str, ...]
    earned_value: float
    # The longest time that a job which could run had nothing running.
    longest_idle: IdleSpan | None


def check_liveness(
    name: str,
    workers: int,
    seconds: float,
    seed: int,
    scheduling: SchedulingPolicy = DEFAULT_POLICY,
) -> LivenessResult:
    """Replay a scenario and judge all its jobs."""
    scenario = SCENARIOS[name]
    workload = scenario.generate_workload(workers, seconds, seed)
    replay = FaultyCellReplay(
        workload,
        TaskPlacer,
        drain_s=DRAIN_S,
        scheduling=scheduling,
        plan=scenario.faults,
        seed=seed,
    )
    oracle = LivenessOracle(replay)
    oracle.attach()
    replay.run(seconds)
    return LivenessResult(
        name,
        seed,
        len(workload.arrivals),
        tuple(oracle.starvations),
        tuple(_wrongly_failed_jobs(replay, oracle)),
        replay.earned_value()["all"],
        oracle.idle_spans.longest,
    )


def _wrongly_failed_jobs(replay: FaultyCellReplay, oracle: LivenessOracle) -> Iterator[str]:
    for job_id, arrival in replay.arrivals.items():
        is_failed = replay.cell.state.jobs[job_id].phase is JobPhase.FAILED
        if is_failed and not oracle.has_failed(arrival):
            yield job_id


def run(
    name: str,
    workers: int,
    seconds: float,
    seeds: Iterable[int],
    scheduling: SchedulingPolicy = DEFAULT_POLICY,
) -> dict[str, Any]:
    """Return the results of each seed; an empty `name` means all scenarios."""
    # Logging the simulated runs would take longer than the decisions.
    logging.getLogger("baobabhoist").setLevel(logging.CRITICAL)
    names = [name] if name else list(SCENARIOS)
    results = [
        check_liveness(name, workers, seconds, seed, scheduling)
        for name in names
        for seed in seeds
    ]
    return {
        "workers": workers,
        "duration_s": seconds,
        "results": [attrs.asdict(result) for result in results],
    }


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table that lists each starved job."""
    lines = [f"{report['workers']} workers, arrivals for {report['duration_s']} s"]
    row_format = "{:36}{:>6}{:>7}{:>9}{:>15}{:>8}{:>18}{:>8}"
    headings = ("scenario", "seed", "jobs", "starved", "wrongly failed", "worth")
    lines.append(row_format.format(*headings, "longest idle (s)", "in use"))
    for result in report["results"]:
        starvations = result["starvations"]
        lines.append(
            row_format.format(
                result["scenario"],
                result["seed"],
                result["jobs"],
                len(starvations),
                len(result["wrongly_failed"]),
                f"{result['earned_value']:.3f}",
                *_format_idle_span(result["longest_idle"]),
            )
        )
        lines += [_format_starvation(starvation) for starvation in starvations]
    return "\n".join(lines)


def _format_idle_span(span: dict[str, Any] | None) -> tuple[str, str]:
    if span is None:
        return "-", "-"
    return f"{span['duration_ms'] / 1000:.2f}", f"{span['mean_use']:.0%}"


def _format_starvation(starvation: dict[str, Any]) -> str:
    step = starvation["step"]
    kind = "gang" if starvation["is_gang"] else "step"
    return (
        f"    job {step['job_id']} {starvation['queue']} of {starvation['team']}: {kind}"
        f" {step['step']} of {starvation['task_count']} tasks, waits from"
        f" {starvation['since_ms'] / 1000:.2f} s"
    )
