"""Compute from the logs what the jobs of the soak use and what is free at a moment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import attrs

from baobabhoist.platform.testing.soak_records import JsonObject, Run, SubmittedJob

# Whether a worker is up after an event of its log.
PRESENCE_AFTER_EVENT = {"joined": True, "crashed": True, "ended": False}


@attrs.frozen
class Usage:
    """Hold the free resources of each worker that is up, and the CPU that each team uses."""

    free_by_worker: dict[str, dict[str, int]]
    cpu_by_team: Counter[str]

    def count_slots(self, job: SubmittedJob, step_number: int) -> int:
        """Return for how many tasks of a step the approved workers have room."""
        step = job.steps[step_number]
        counts = (
            min(free[resource] // step[resource] for resource in free)
            for worker, free in self.free_by_worker.items()
            if job.may_run_on(step_number, worker)
        )
        return sum(min(count, step.get("maxPerServer", count)) for count in counts)


@attrs.define(eq=False)
class UsageHistory:
    """Compute the usage at any moment of a run of the soak."""

    worker_log: list[JsonObject]
    runs: list[Run]
    jobs: Mapping[str, SubmittedJob]
    worker_capacity: Mapping[str, int]
    presence_log: list[JsonObject] = attrs.field(init=False)
    usages: dict[float, Usage] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Pick the entries that tell which workers are up."""
        self.presence_log = [e for e in self.worker_log if _is_presence_change(e)]

    def change_times(self) -> set[float]:
        """Return when the usage changes."""
        run_times = {t for run in self.runs for t in (run.start, run.end)}
        return run_times | {entry["t"] for entry in self.presence_log}

    def usage_at(self, t: float) -> Usage:
        """Return the usage at a moment."""
        if t not in self.usages:
            self.usages[t] = self._compute_usage(t)
        return self.usages[t]

    def _compute_usage(self, t: float) -> Usage:
        free = {worker: dict(self.worker_capacity) for worker in self._workers_up_at(t)}
        cpu_by_team: Counter[str] = Counter()
        for run in self.runs:
            if run.job_id not in self.jobs or not run.start <= t < run.end:
                continue
            job = self.jobs[run.job_id]
            step = job.steps[run.step_number]
            cpu_by_team[job.team] += step["cpu"]
            for resource in self.worker_capacity:
                if run.worker in free:
                    free[run.worker][resource] -= step[resource]
        return Usage(free, cpu_by_team)

    def _workers_up_at(self, t: float) -> list[str]:
        is_up: dict[str, bool] = {}
        for entry in self.presence_log:
            if entry["t"] <= t:
                is_up[entry["worker"]] = PRESENCE_AFTER_EVENT.get(entry["event"], False)
        return [worker for worker, up in is_up.items() if up]


def _is_presence_change(entry: JsonObject) -> bool:
    is_removed = entry["event"] == "command" and entry.get("gone", False)
    return is_removed or entry["event"] in PRESENCE_AFTER_EVENT
