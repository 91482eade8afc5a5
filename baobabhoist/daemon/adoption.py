"""Follow the tasks that a new owner found running on its workers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from baobabhoist.daemon.dispatch import (
    Completed,
    LostTask,
    NotStarted,
    Superseded,
    result_of_outcome,
)
from baobabhoist.model import EndedTask, RunningTask

if TYPE_CHECKING:
    from baobabhoist.daemon.shard_owner import ShardOwner


@attrs.define
class AdoptedTasks:
    """Hold the tasks that earlier owners started, by worker."""

    tasks: dict[str, dict[str, RunningTask]] = attrs.Factory(dict)

    def add(
        self, worker: str, running: Iterable[RunningTask], known: Iterable[str]
    ) -> list[RunningTask]:
        """Take a worker's report; return the tasks that are new here and not `known`."""
        tasks_on_worker = self.tasks.setdefault(worker, {})
        known_ids = set(known)
        new = [
            task
            for task in running
            if task.task_id not in tasks_on_worker and task.task_id not in known_ids
        ]
        tasks_on_worker.update((task.task_id, task) for task in new)
        return new

    def find_missing(self, worker: str, running: Iterable[str]) -> list[str]:
        """Return the adopted tasks that a later report of the worker no longer names."""
        tasks_on_worker = self.tasks.get(worker, {})
        return list(tasks_on_worker.keys() - set(running)) if tasks_on_worker else []

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs an adopted task."""
        for worker, tasks_on_worker in self.tasks.items():
            if task_id in tasks_on_worker:
                return worker
        return None

    def remove(self, worker: str, task_id: str) -> bool:
        """Forget an ended task; tell whether it was held."""
        return self.tasks.get(worker, {}).pop(task_id, None) is not None


class TaskAdoption:
    """Count adopted tasks against capacity and places until they have ended."""

    def __init__(self, owner: ShardOwner) -> None:
        self._owner = owner
        self._adopted = AdoptedTasks()

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs an adopted task."""
        return self._adopted.worker_of(task_id)

    def take_inventory(
        self, worker: str, running: list[RunningTask], ended: list[EndedTask]
    ) -> None:
        """Count what a worker runs already and take the answers that it has stored."""
        owner, now = self._owner, self._owner.now
        # A lease of the previous owner may have been renewed just before the token was taken.
        owner.leases.extend(worker, now)
        adopted = self._adopted.add(worker, running, owner.in_flight)
        for task in adopted:
            # A worker that slept past a lease still names a task that was queued again here.
            owner.scheduler.cancel(task.task_id)
        owner.scheduler.adopt(worker, adopted, now)
        owner.shard_quota.adopt(worker, adopted)
        # Open calls report their own end; taking it twice would break the keys' states.
        without_call = [task for task in ended if task.task_id not in owner.in_flight]
        owner.requests.answers.note_omitted_bodies(worker, without_call)
        for request_id, result in owner.keys.inherit(worker, adopted, without_call, now):
            owner.spawn(owner.requests.deliver_with_body(request_id, result))
        for task_id in self._adopted.find_missing(worker, [task.task_id for task in running]):
            if self._adopted.remove(worker, task_id):
                self._release(task_id, True)

    def reconcile(self, worker: str, running: Iterable[str]) -> None:
        """Take the names of the tasks that a worker runs."""
        for task_id in self._adopted.find_missing(worker, running):
            self._owner.spawn(self._resolve_missing(worker, task_id))

    async def _resolve_missing(self, worker: str, task_id: str) -> None:
        """Take the stored answer of an adopted task that no longer runs."""
        if not self._adopted.remove(worker, task_id):
            return
        owner = self._owner
        outcome = await owner.dispatcher.resolve_outcome(task_id, float("inf"), worker)
        if isinstance(outcome, Superseded):
            return
        self._release(task_id, isinstance(outcome, Completed) and outcome.succeeded)
        # The worker reported it as running before, so `never` only means that it forgot it.
        final_outcome = LostTask() if isinstance(outcome, NotStarted) else outcome
        owner.finish(task_id, result_of_outcome(task_id, final_outcome))
        owner.dispatch(owner.now)

    def _release(self, task_id: str, succeeded: bool) -> None:
        owner = self._owner
        if task_id in owner.scheduler.running:
            owner.scheduler.ended(task_id, succeeded, owner.now)
        owner.shard_quota.ended(task_id)
