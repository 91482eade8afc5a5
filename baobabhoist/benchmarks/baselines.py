"""Provide the simple policies that ours is compared with; they trust what is declared."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Resources, Task, WorkerSpec
from baobabhoist.scheduling.results import Placement, Preemption, Verdict
from baobabhoist.scheduling.scheduler import PlaceQuota

MAX_ATTEMPTS = 4


@attrs.define
class Baseline:
    """Place waiting jobs in order of arrival and skip those that do not fit now.

    With `best_fit` the fullest worker is taken, otherwise the first. Teams' limits hold,
    shares, urgency, observed sizes and health do not count.
    """

    workers: dict[str, WorkerSpec]
    places: PlaceQuota
    best_fit: bool
    free: dict[str, Resources]
    waiting: dict[str, list[Task]] = attrs.Factory(dict)
    placed: dict[str, Placement] = attrs.Factory(dict)
    attempts: Counter[str] = attrs.Factory(Counter)
    _changed: set[str] = attrs.Factory(set)
    _new: set[str] = attrs.Factory(set)

    @classmethod
    def over(cls, specs: Iterable[WorkerSpec], places: PlaceQuota, best_fit: bool) -> Baseline:
        """Return a baseline for these workers, all of them up."""
        workers = {spec.name: spec for spec in specs}
        return cls(workers, places, best_fit, {n: s.capacity for n, s in workers.items()})

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue one task."""
        return self.enqueue_gang(task.task_id, [task], now)

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue tasks that start together."""
        for task in tasks:
            if not any(task.resources.fits_in(spec.capacity) for spec in self.workers.values()):
                return Refusal(ErrorKind.NEVER_FITS, "no worker is large enough")
        self.waiting[job_id] = tasks
        self._new.add(job_id)
        return None

    def next_batch(self, now: float) -> list[Placement]:
        """Place what fits; work tried before is tried only where room arose since."""
        batch: list[Placement] = []
        everywhere, self._new = self._new, set()
        changed, self._changed = sorted(self._changed), set()
        for job_id, tasks in list(self.waiting.items()):
            names = self.free if job_id in everywhere or len(tasks) > 1 else changed
            if names and self._place_all(job_id, tasks, names, batch):
                del self.waiting[job_id]
        return batch

    def task_ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Free what the task held; a failed task has a fixed number of attempts."""
        self._undo(task_id)
        self.attempts[task_id] += 1
        if succeeded:
            return Verdict.DONE
        return Verdict.RETRY if self.attempts[task_id] < MAX_ATTEMPTS else Verdict.GIVE_UP

    def expire(self, now: float) -> list[Task]:
        """Drop what is late."""
        late = [job for job, tasks in self.waiting.items() if tasks[0].deadline <= now]
        return [task for job in late for task in self.waiting.pop(job)]

    def take_preemptions(self) -> list[Preemption]:
        """Return nothing: the baselines do not preempt."""
        return []

    def take_refused(self) -> list[tuple[Task, Refusal]]:
        """Return nothing: the baselines refuse only on arrival."""
        return []

    def _undo(self, task_id: str) -> None:
        placement = self.placed.pop(task_id)
        self.places.release(task_id)
        name = placement.worker
        self.free[name] = self.free[name].plus(placement.task.resources)
        self._changed.add(name)

    def _place_all(
        self, job_id: str, tasks: list[Task], names: Iterable[str], batch: list[Placement]
    ) -> bool:
        done: list[Placement] = []
        for task in tasks:
            name = self._choose(task.resources, names)
            limited = name and self.places.acquire(task.team, task.task_id, name) is not None
            if limited:
                self._new.add(job_id)
            if name is None or limited:
                for placement in done:
                    self._undo(placement.task.task_id)
                return False
            self.free[name] = self.free[name].minus(task.resources)
            self.placed[task.task_id] = Placement(task, name)
            done.append(self.placed[task.task_id])
        batch.extend(done)
        return True

    def _choose(self, need: Resources, names: Iterable[str]) -> str | None:
        fitting = (name for name in names if need.fits_in(self.free[name]))
        if not self.best_fit:
            return next(fitting, None)
        return min(fitting, key=lambda name: self.free[name].cpu_milli, default=None)
