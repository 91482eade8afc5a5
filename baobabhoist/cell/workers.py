"""Hold what the owner knows of a worker: its room, its lease and the runs on it."""

from __future__ import annotations

import attrs

from baobabhoist.cell.health import WorkerHealth
from baobabhoist.cell.jobs import Run
from baobabhoist.cell.model import NO_RESOURCES, Resources, TaskKey, WorkerInfo

# A worker's steady clock may run this much slower than real time.
MAX_CLOCK_DRIFT = 0.02
# Extra wait before the tasks of an unreachable worker count as gone.
LEASE_MARGIN_MS = 150.0
# A worker that answered nothing for this long gets no new tasks.
REPORT_TIMEOUT_MS = 2600.0


@attrs.define
class Lease:
    """Follow the lease of one worker over its own clock and the owner's.

    `deadline_ms` is the latest deadline that was ever sent, on the worker's clock, and
    `granted_ms` how long a lease is that another owner may have given before.
    """

    granted_ms: float
    clock_ms: float = 0.0
    clock_read_ms: float = 0.0
    deadline_ms: int = 0
    is_known: bool = False

    def update_clock(self, clock_ms: float, now: float) -> None:
        """Take over a reading of the worker's clock."""
        if not self.is_known or clock_ms >= self.min_clock_at(now):
            if not self.is_known:
                self.deadline_ms = max(self.deadline_ms, int(clock_ms + self.granted_ms))
            self.clock_ms, self.clock_read_ms, self.is_known = clock_ms, now, True

    def reset(self) -> None:
        """Forget the clock of an ended lifetime."""
        self.clock_ms = self.clock_read_ms = 0.0
        self.deadline_ms, self.is_known = 0, False

    def min_clock_at(self, now: float) -> float:
        """Return the reading that the worker's clock has reached at least, but for drift."""
        return self.clock_ms + (now - self.clock_read_ms) * (1.0 - MAX_CLOCK_DRIFT)

    def extend_deadline(self, now: float, lease_ms: float) -> int | None:
        """Return the deadline to send with an order, or None while the clock is unknown."""
        if not self.is_known:
            return None
        self.deadline_ms = max(self.deadline_ms, int(self.min_clock_at(now) + lease_ms))
        return self.deadline_ms

    def expiry_ms(self) -> float:
        """Return from when on nothing runs under this lease for certain."""
        left = self.deadline_ms - self.clock_ms
        return self.clock_read_ms + left / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS


@attrs.define(eq=False)
class WorkerState:
    """Hold one worker."""

    info: WorkerInfo
    lease: Lease
    health: WorkerHealth = attrs.Factory(WorkerHealth)
    used: Resources = NO_RESOURCES
    runs: dict[TaskKey, Run] = attrs.Factory(dict)
    # Runs that this owner does not want, by the number of the run.
    orphan_runs: dict[TaskKey, int] = attrs.Factory(dict)
    # The worker obeys this owner's fencing token.
    is_fenced: bool = False
    is_listed: bool = True
    # When the directory dropped the worker, on the owner's clock in ms.
    unlisted_since_ms: float = 0.0
    last_report_ms: float = -1e12
    # When runs taken over from an earlier owner have lapsed, if the worker is never heard.
    inherited_lease_expiry_ms: float = float("inf")
    paused_until_ms: float = 0.0
    started_unix_ms: int = 0
    last_seen_end: int = 0
    last_acked_end: int = 0

    @property
    def worker_id(self) -> str:
        """Return the id of the worker."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Return the room that no run takes."""
        return self.info.capacity.minus(self.used)

    @property
    def free_cpu(self) -> int:
        """Return the processors that no run takes, in thousandths of a core."""
        return self.info.capacity.cpu - self.used.cpu

    def can_start_tasks(self, now: float) -> bool:
        """Tell whether new tasks may start here."""
        return (
            self.is_fenced
            and self.is_listed
            and not self.info.is_draining
            and not self.orphan_runs
            and now - self.last_report_ms < REPORT_TIMEOUT_MS
            and now >= self.paused_until_ms
            and self.health.accepts_task(now, len(self.runs))
        )

    def add_run(self, run: Run) -> None:
        """Count a run."""
        self.runs[run.task.key] = run
        self.used = self.used.plus(run.allocation)

    def remove_run(self, run: Run) -> None:
        """Stop counting a run."""
        if self.runs.pop(run.task.key, None) is not None:
            self.used = self.used.minus(run.allocation)
