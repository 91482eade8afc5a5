"""Remember runs that were given up without a report of their end.

If a worker lists such a run later, its task may have run twice. Whether the worker's process is
the same as then tells a lease that was counted too short from a start that reached the next one.
"""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import Run
from baobabhoist.cell.model import TaskKey

# Runs that are remembered; the oldest are forgotten first.
MAX_GIVEN_UP_RUNS = 5_000


@attrs.frozen
class GivenUpRun:
    """Say when and why a run was given up, and which process of its worker was known then."""

    given_up_ms: float
    reason: str
    started_unix_ms: int


@attrs.define
class GivenUpRuns:
    """Hold the runs that were given up; times are on the owner's clock, in ms."""

    _runs: dict[tuple[TaskKey, int, str], GivenUpRun] = attrs.Factory(dict)

    def add(self, run: Run, given_up: GivenUpRun) -> None:
        """Add a run that is given up."""
        self._runs[run.task.key, run.number, run.worker_id] = given_up
        if len(self._runs) > MAX_GIVEN_UP_RUNS:
            del self._runs[next(iter(self._runs))]

    def find(self, task: TaskKey, number: int, worker_id: str) -> GivenUpRun | None:
        """Return what is known of a run, or None if it was not given up."""
        return self._runs.get((task, number, worker_id))
