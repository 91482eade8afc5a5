"""Follow the tasks that a new owner found running on its workers."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.model import RunningTask


@attrs.define
class Adopted:
    """Hold the tasks that earlier owners started, by worker."""

    tasks: dict[str, dict[str, RunningTask]] = attrs.Factory(dict)

    def add(
        self, worker: str, running: Iterable[RunningTask], known: Iterable[str]
    ) -> list[RunningTask]:
        """Take a worker's report; return the tasks that are new here and not `known`."""
        here = self.tasks.setdefault(worker, {})
        skip = set(known)
        new = [task for task in running if task.task_id not in here and task.task_id not in skip]
        here.update((task.task_id, task) for task in new)
        return new

    def missing(self, worker: str, running: Iterable[str]) -> list[str]:
        """Return the adopted tasks that a later report of the worker no longer names."""
        here = self.tasks.get(worker, {})
        return list(here.keys() - set(running)) if here else []

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs an adopted task."""
        for worker, here in self.tasks.items():
            if task_id in here:
                return worker
        return None

    def remove(self, worker: str, task_id: str) -> bool:
        """Forget an ended task; tell whether it was held."""
        return self.tasks.get(worker, {}).pop(task_id, None) is not None
