"""Provide simple placement policies to compare the scheduler with."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Resources, Task, WorkerSpec
from baobabhoist.scheduling.results import Placement, Preemption, Verdict
from baobabhoist.scheduling.scheduler import PlaceQuota

MAX_TASK_ATTEMPTS = 4


@attrs.define
class BaselinePolicy:
    """Place queued jobs in order of arrival, skipping those that do not fit now.

    A task is placed on the fullest worker that it fits on if `best_fit` is set, else on the first
    one. The declared sizes are trusted. Team limits are enforced, but fair shares, urgency,
    observed usage and worker health are ignored.
    """

    workers: dict[str, WorkerSpec]
    quota: PlaceQuota
    best_fit: bool
    free_resources: dict[str, Resources]
    queued: dict[str, list[Task]] = attrs.Factory(dict)
    placements: dict[str, Placement] = attrs.Factory(dict)
    attempt_counts: Counter[str] = attrs.Factory(Counter)
    _freed_workers: set[str] = attrs.Factory(set)
    _jobs_to_try_on_all: set[str] = attrs.Factory(set)

    @classmethod
    def for_workers(
        cls, specs: Iterable[WorkerSpec], quota: PlaceQuota, best_fit: bool
    ) -> BaselinePolicy:
        """Return a baseline policy for these workers, all of which are up."""
        workers = {spec.name: spec for spec in specs}
        return cls(workers, quota, best_fit, {n: s.capacity for n, s in workers.items()})

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue one task."""
        return self.enqueue_gang(task.task_id, [task], now)

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue the tasks of a gang, which start together."""
        for task in tasks:
            if not any(task.resources.fits_in(spec.capacity) for spec in self.workers.values()):
                return Refusal(ErrorKind.NEVER_FITS, "no worker is large enough for the task")
        self.queued[job_id] = tasks
        self._jobs_to_try_on_all.add(job_id)
        return None

    def next_batch(self, now: float) -> list[Placement]:
        """Place the jobs that fit.

        A single task that did not fit before is tried only on workers with freed resources.
        """
        batch: list[Placement] = []
        jobs_to_try_on_all, self._jobs_to_try_on_all = self._jobs_to_try_on_all, set()
        freed_workers, self._freed_workers = sorted(self._freed_workers), set()
        for job_id, tasks in list(self.queued.items()):
            names = (
                self.free_resources
                if job_id in jobs_to_try_on_all or len(tasks) > 1
                else freed_workers
            )
            if names and self._place_job(job_id, tasks, names, batch):
                del self.queued[job_id]
        return batch

    def task_ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Release the resources of a task; a failed task has MAX_TASK_ATTEMPTS attempts."""
        self._release_resources(task_id)
        self.attempt_counts[task_id] += 1
        if succeeded:
            return Verdict.DONE
        return (
            Verdict.RETRY if self.attempt_counts[task_id] < MAX_TASK_ATTEMPTS else Verdict.GIVE_UP
        )

    def expire(self, now: float) -> list[Task]:
        """Remove the queued tasks whose deadline has passed, and return them."""
        expired = [job for job, tasks in self.queued.items() if tasks[0].deadline <= now]
        return [task for job in expired for task in self.queued.pop(job)]

    def take_preemptions(self) -> list[Preemption]:
        """Return no preemptions, because the baselines do not preempt."""
        return []

    def take_refused(self) -> list[tuple[Task, Refusal]]:
        """Return no refusals, because the baselines refuse tasks only on arrival."""
        return []

    def _release_resources(self, task_id: str) -> None:
        placement = self.placements.pop(task_id)
        self.quota.release(task_id)
        name = placement.worker
        self.free_resources[name] = self.free_resources[name].plus(placement.task.resources)
        self._freed_workers.add(name)

    def _place_job(
        self, job_id: str, tasks: list[Task], names: Iterable[str], batch: list[Placement]
    ) -> bool:
        placed: list[Placement] = []
        for task in tasks:
            name = self._choose_worker(task.resources, names)
            quota_exhausted = (
                name and self.quota.acquire(task.team, task.task_id, name) is not None
            )
            if quota_exhausted:
                self._jobs_to_try_on_all.add(job_id)
            if name is None or quota_exhausted:
                for placement in placed:
                    self._release_resources(placement.task.task_id)
                return False
            self.free_resources[name] = self.free_resources[name].minus(task.resources)
            self.placements[task.task_id] = Placement(task, name)
            placed.append(self.placements[task.task_id])
        batch.extend(placed)
        return True

    def _choose_worker(self, demand: Resources, names: Iterable[str]) -> str | None:
        candidates = (name for name in names if demand.fits_in(self.free_resources[name]))
        if not self.best_fit:
            return next(candidates, None)
        return min(candidates, key=lambda name: self.free_resources[name].cpu_milli, default=None)
