"""Adopt the tasks that a new shard owner finds running on its workers."""

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
    """Store the tasks that earlier owners started, by worker."""

    tasks: dict[str, dict[str, RunningTask]] = attrs.Factory(dict)

    def add(
        self, worker: str, running: Iterable[RunningTask], known: Iterable[str]
    ) -> list[RunningTask]:
        """Add the tasks that a worker runs; return those that are new and not in `known`."""
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
        """Return the adopted tasks that the worker no longer reports as running."""
        tasks_on_worker = self.tasks.get(worker, {})
        return list(tasks_on_worker.keys() - set(running)) if tasks_on_worker else []

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs an adopted task, or None."""
        for worker, tasks_on_worker in self.tasks.items():
            if task_id in tasks_on_worker:
                return worker
        return None

    def remove(self, worker: str, task_id: str) -> bool:
        """Remove a task; return whether it was an adopted one."""
        return self.tasks.get(worker, {}).pop(task_id, None) is not None


class TaskAdoption:
    """Count adopted tasks against capacity and quota until they have ended."""

    def __init__(self, owner: ShardOwner) -> None:
        self._owner = owner
        self._adopted = AdoptedTasks()

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs an adopted task, or None."""
        return self._adopted.worker_of(task_id)

    def adopt_inventory(
        self, worker: str, running: list[RunningTask], ended: list[EndedTask]
    ) -> None:
        """Adopt the tasks that a fenced worker runs and take over the answers that it stores."""
        owner, now = self._owner, self._owner.now
        # The previous owner may have renewed its lease just before the worker took the new token.
        owner.leases.extend(worker, now)
        adopted = self._adopted.add(worker, running, owner.in_flight)
        for task in adopted:
            # A worker that was suspended past its lease still reports a task that was requeued.
            owner.scheduler.cancel(task.task_id)
        owner.scheduler.adopt(worker, adopted, now)
        owner.shard_quota.adopt(worker, adopted)
        # Calls in flight report the end of their tasks themselves. Recording an end twice would
        # violate the state machine of the request keys.
        without_call = [task for task in ended if task.task_id not in owner.in_flight]
        owner.requests.answers.note_omitted_bodies(worker, without_call)
        for request_id, result in owner.keys.apply_inventory(worker, adopted, without_call, now):
            owner.spawn(owner.requests.deliver_with_body(request_id, result))
        for task_id in self._adopted.find_missing(worker, [task.task_id for task in running]):
            if self._adopted.remove(worker, task_id):
                self._release(task_id, True)

    def reconcile(self, worker: str, running: Iterable[str]) -> None:
        """Resolve the outcome of adopted tasks that the worker no longer runs."""
        for task_id in self._adopted.find_missing(worker, running):
            self._owner.spawn(self._resolve_missing(worker, task_id))

    async def _resolve_missing(self, worker: str, task_id: str) -> None:
        """Fetch the stored answer of an adopted task that no longer runs."""
        if not self._adopted.remove(worker, task_id):
            return
        owner = self._owner
        outcome = await owner.dispatcher.find_outcome(task_id, float("inf"), worker)
        if isinstance(outcome, Superseded):
            return
        self._release(task_id, isinstance(outcome, Completed) and outcome.succeeded)
        # The worker has reported the task as running, so `never` means that it lost its record.
        final_outcome = LostTask() if isinstance(outcome, NotStarted) else outcome
        owner.finish(task_id, result_of_outcome(task_id, final_outcome))
        owner.dispatch(owner.now)

    def _release(self, task_id: str, succeeded: bool) -> None:
        owner = self._owner
        if task_id in owner.scheduler.running:
            owner.scheduler.task_ended(task_id, succeeded, owner.now)
        owner.shard_quota.release(task_id)
