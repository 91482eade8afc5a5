"""Decide which queued task starts on which worker."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Resources, Task, WorkerSpec


class PlaceBudget(Protocol):
    """Grant places within the teams' upper limits."""

    def start(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place, or return the reason why there is none."""

    def ended(self, task_id: str) -> None:
        """Give the place of a task back."""


@attrs.frozen
class Placement:
    """Bind a task to a worker; capacity and place are already taken."""

    task: Task
    worker: str


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

    def next_batch(self, now: float) -> list[Placement]:
        """Place what fits now, and return it for dispatch."""
        batch = []
        for task in list(self.queued.values()):
            placement = self._place(task)
            if placement is not None:
                batch.append(placement)
        return batch

    def ended(self, task_id: str, succeeded: bool, now: float) -> None:
        """Free what a placed task held."""
        placement = self.placed.pop(task_id)
        self.places.ended(task_id)
        if placement.worker in self.free:
            freed = self.free[placement.worker].plus(placement.task.resources)
            self.free[placement.worker] = freed

    def cancel(self, task_id: str) -> bool:
        """Drop a queued task; tell whether it was still queued."""
        return self.queued.pop(task_id, None) is not None

    def expire(self, now: float) -> list[Task]:
        """Drop the queued tasks whose deadline has passed and return them."""
        late = [task for task in self.queued.values() if task.deadline <= now]
        for task in late:
            del self.queued[task.task_id]
        return late

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
