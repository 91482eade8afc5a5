"""Decide which queued task starts on which worker."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Resources, RunningTask, Task, WorkerSpec
from baobabhoist.scheduling.policy import QueuePolicy, TeamPolicy
from baobabhoist.scheduling.results import (
    Explanation,
    Hold,
    Placement,
    Preemption,
    Verdict,
    WaitReason,
)


class PlaceBudget(Protocol):
    """Grant places within the teams' upper limits."""

    def start(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place, or return the reason why there is none."""

    def ended(self, task_id: str) -> None:
        """Give the place of a task back."""


@attrs.define
class Scheduler:
    """Queue tasks and place them on the workers of one shard."""

    workers: dict[str, WorkerSpec]
    places: PlaceBudget
    free: dict[str, Resources] = attrs.Factory(dict)
    queued: dict[str, Task] = attrs.Factory(dict)
    placed: dict[str, Placement] = attrs.Factory(dict)

    @classmethod
    def over(cls, workers: Iterable[WorkerSpec], places: PlaceBudget) -> Scheduler:
        """Return a scheduler for these workers."""
        return cls({spec.name: spec for spec in workers}, places)

    def worker_up(self, worker: str) -> None:
        """Offer a worker's whole capacity, less what is placed there."""
        free = self.workers[worker].capacity
        for placement in self.placed.values():
            if placement.worker == worker:
                free = free.minus(placement.task.resources)
        self.free[worker] = free

    def worker_down(self, worker: str) -> None:
        """Stop placing work on a worker."""
        self.free.pop(worker, None)

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue a task, or return why it can never run here."""
        if not any(task.resources.fits_in(spec.capacity) for spec in self.workers.values()):
            return Refusal(
                ErrorKind.NEVER_FITS,
                "no worker in the records is large enough",
                remedy="ask for fewer processors, less memory or fewer accelerators",
            )
        self.queued[task.task_id] = task
        return None

    def next_batch(self, now: float, limit: int = 32) -> list[Placement]:
        """Place what fits now, and return it for dispatch; call again if `limit` was reached."""
        batch = []
        for task in list(self.queued.values()):
            placement = self._place(task)
            if placement is not None:
                batch.append(placement)
        return batch

    def ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Free what a placed task held, learn from its end and say what should become of it.

        `usage` is the peak that the worker measured. The caller enqueues the task again after
        `RETRY`, if its kind may run again.
        """
        placement = self.placed.pop(task_id)
        self.places.ended(task_id)
        if placement.worker in self.free:
            freed = self.free[placement.worker].plus(placement.task.resources)
            self.free[placement.worker] = freed
        return Verdict.DONE if succeeded else Verdict.RETRY

    def cancel(self, task_id: str) -> bool:
        """Drop a queued task; tell whether it was still queued."""
        return self.queued.pop(task_id, None) is not None

    def expire(self, now: float) -> list[Task]:
        """Drop the queued tasks whose deadline has passed and return them."""
        late = [task for task in self.queued.values() if task.deadline <= now]
        for task in late:
            del self.queued[task.task_id]
        return late

    def worker_leaving(self, worker: str) -> None:
        """Give a leaving or drained worker nothing new; what runs there goes on."""
        self.free.pop(worker, None)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Take a changed list of workers; new ones get work after `worker_up`."""
        self.workers = {spec.name: spec for spec in workers}

    def adopt(self, worker: str, running: Iterable[RunningTask], now: float) -> None:
        """Count what a worker runs already, before `worker_up`; places are not touched.

        The end of an adopted task is reported with `ended`, which leaves its place to the caller.
        """

    def set_policies(
        self, queues: Mapping[str, QueuePolicy], teams: Mapping[str, TeamPolicy]
    ) -> None:
        """Use these policies from now on."""

    def set_fleet_usage(self, elsewhere: Mapping[str, float], local_fraction: float = 1.0) -> None:
        """Count the teams' dominant shares of the fleet elsewhere.

        `local_fraction` is this owner's part of the fleet's capacity.
        """

    def preemptions(self) -> list[Preemption]:
        """Return the requests to make room that arose since the last call."""
        return []

    def throttled(self, task_id: str, cpu_milli: int) -> None:
        """Note that a worker limits a task to these processors."""

    def given_up(self) -> list[tuple[Task, Refusal]]:
        """Return the queued tasks that were refused since the last call, with the reason."""
        return []

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue a job whose tasks all run on this owner and start together."""
        return next(filter(None, (self.enqueue(task, now) for task in tasks)), None)

    def hold(
        self, job_id: str, tasks: list[Task], now: float, expires_at: float | None = None
    ) -> Hold | Refusal:
        """Hold capacity for tasks that must start together, or return the state of the hold."""
        return Refusal(ErrorKind.NO_CAPACITY, "holds are not available yet", retry_after_s=1.0)

    def commit(self, job_id: str, now: float) -> list[Placement] | Refusal:
        """Start the tasks of a ready hold."""
        return Refusal(ErrorKind.NOT_FOUND, f"there is no hold for job {job_id}")

    def release(self, job_id: str) -> bool:
        """Drop a hold; tell whether there was one."""
        return False

    def explain(self, task_id: str, now: float) -> Explanation:
        """Say why a task waits."""
        if task_id in self.placed:
            return Explanation(task_id, WaitReason.RUNNING, "the task is running")
        if task_id not in self.queued:
            return Explanation(task_id, WaitReason.NOT_FOUND, "this owner has no such task")
        waited = now - self.queued[task_id].submitted_at
        return Explanation(task_id, WaitReason.CAPACITY, "no worker has room", waited)

    def _place(self, task: Task) -> Placement | None:
        for worker, free in self.free.items():
            if not task.resources.fits_in(free):
                continue
            if self.places.start(task.team, task.task_id, worker) is not None:
                return None
            self.free[worker] = free.minus(task.resources)
            placement = Placement(task, worker)
            self.placed[task.task_id] = placement
            del self.queued[task.task_id]
            return placement
        return None
