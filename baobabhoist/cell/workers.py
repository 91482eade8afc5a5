"""Track the workers of a cell: their resources, leases and runs."""

from __future__ import annotations

import attrs

from baobabhoist.cell.health import WorkerHealth
from baobabhoist.cell.jobs import Run
from baobabhoist.cell.model import NO_RESOURCES, Resources, TaskKey, WorkerInfo

# A worker's monotonic clock may be slower than real time by this fraction.
MAX_CLOCK_DRIFT = 0.02
# Additional wait before the runs of an unreachable worker count as ended.
LEASE_MARGIN_MS = 150.0
# A worker that has not reported for this long gets no new tasks.
REPORT_TIMEOUT_MS = 2600.0
# A start without an answer may be carried out this long after the owner sent it, by the process
# that its worker has then.
MAX_START_LATENESS_MS = 14_000.0
# A run is young until its worker has answered this long after the start was sent.
YOUNG_RUN_MS = 250.0


def lease_duration_ms(lease_ms: float) -> float:
    """Return how long a lease can last on the owner's clock."""
    return lease_ms / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS


@attrs.define
class Lease:
    """Track the lease of one worker, whose deadline is on the worker's own clock.

    `deadline_ms` is the latest deadline known to have been sent. `max_inherited_ms` is the longest
    lease that an earlier owner may have granted, and `max_granted_ms` the longest that the worker
    accepts. `clock_ms` is a reading of the worker's clock, taken at `clock_read_ms` on the owner's
    clock.
    """

    max_inherited_ms: float
    max_granted_ms: float = attrs.Factory(lambda self: self.max_inherited_ms, takes_self=True)
    clock_ms: float = 0.0
    clock_read_ms: float = 0.0
    deadline_ms: int = 0
    is_clock_known: bool = False
    # The longest lease that the worker may have when its clock is read for the first time.
    _max_unknown_ms: float = attrs.Factory(lambda self: self.max_inherited_ms, takes_self=True)
    # The end of that lease, on the worker's clock.
    _unknown_until_ms: int = 0
    # Until when another instance may extend the lease, on the owner's clock.
    extendable_until_ms: float = float("-inf")
    # The worker was silent: nobody may extend the lease, nor start anything under it, before the
    # worker has answered to this owner again.
    is_suspended: bool = False

    def update_clock(self, clock_ms: float, now: float) -> None:
        """Record a reading of the worker's clock unless an earlier one gives a later time."""
        if not self.is_clock_known or clock_ms >= self.min_clock_at(now):
            if not self.is_clock_known:
                self._unknown_until_ms = int(clock_ms + self._max_unknown_ms)
            self.clock_ms, self.clock_read_ms, self.is_clock_known = clock_ms, now, True

    def reset(self) -> None:
        """Discard the clock and deadline of an earlier incarnation of the worker.

        A start that was sent before may have reached the new one, for which a deadline on the
        earlier clock is far away.
        """
        self.clock_ms = self.clock_read_ms = 0.0
        self.deadline_ms, self.is_clock_known = 0, False
        self._max_unknown_ms = self.max_granted_ms

    def min_clock_at(self, now: float) -> float:
        """Return the least time that the worker's clock can show now, given the maximum drift."""
        return self.clock_ms + (now - self.clock_read_ms) * (1.0 - MAX_CLOCK_DRIFT)

    def extend_deadline(self, now: float, lease_ms: float) -> int | None:
        """Extend the deadline and return it, or None while the worker's clock is unknown."""
        if not self.is_clock_known:
            return None
        self.deadline_ms = max(self.deadline_ms, int(self.min_clock_at(now) + lease_ms))
        return self.deadline_ms

    def expiry_ms(self) -> float:
        """Return the time after which certainly no run is left under this lease."""
        remaining_ms = max(self.deadline_ms, self._unknown_until_ms) - self.clock_ms
        granted_ms = self.clock_read_ms + lease_duration_ms(remaining_ms)
        return max(granted_ms, self.extended_expiry_ms())

    def extended_expiry_ms(self) -> float:
        """Return when a lease that another instance extends at the last moment will expire."""
        return self.extendable_until_ms + lease_duration_ms(self.max_inherited_ms)


@attrs.define(eq=False)
class WorkerState:
    """Hold the state of one worker; all times are on the owner's clock, in ms."""

    info: WorkerInfo
    lease: Lease
    health: WorkerHealth = attrs.Factory(WorkerHealth)
    used: Resources = NO_RESOURCES
    runs: dict[TaskKey, Run] = attrs.Factory(dict)
    # Numbers of the runs that are not tracked and must be stopped, by task.
    orphan_runs: dict[TaskKey, int] = attrs.Factory(dict)
    # The worker rejects commands of earlier owners.
    has_accepted_token: bool = False
    is_listed: bool = True
    # Its data centre is being emptied.
    is_evacuated: bool = False
    # Another worker answers at its address.
    has_ended: bool = False
    # Until when the worker runs tasks more slowly, as its entry says.
    cold_until_ms: float = float("-inf")
    # When the worker was last removed from the directory.
    unlisted_since_ms: float = 0.0
    last_report_ms: float = -1e12
    # When the worker last answered to this owner, with a report or to a command.
    last_heard_ms: float = float("-inf")
    # When this owner learned of the worker.
    known_since_ms: float = float("-inf")
    # For a worker that has never reported: when the leases of earlier owners have expired, when
    # the longest one has that its process may have granted, and when that has under a late start.
    inherited_lease_expiry_ms: float = float("inf")
    longest_inherited_expiry_ms: float = float("-inf")
    late_start_expiry_ms: float = float("-inf")
    backoff_until_ms: float = 0.0
    # Until when the next process may get the starts of runs that were given up, which it refuses
    # but which extend its lease.
    given_up_starts_until_ms: float = float("-inf")
    # A run whose task may crash the worker: while it is young, nothing else starts there.
    isolated_run: Run | None = None
    # When the worker process started; identifies its incarnation.
    started_unix_ms: int = 0
    # The last report left out ends, so that a run which it does not list may have ended well.
    has_unlisted_ends: bool = False
    # Sequence numbers of the last end applied, and of the last one that is also stored.
    last_seen_end: int = 0
    last_acked_end: int = 0
    # The free resources, and the capacity and use that they were computed from.
    _free: Resources = NO_RESOURCES
    _free_capacity: Resources | None = None
    _free_used: Resources | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker id of the directory entry."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Return the resources that no run has allocated."""
        capacity, used = self.info.capacity, self.used
        if capacity is not self._free_capacity or used is not self._free_used:
            self._free = capacity.minus(used)
            self._free_capacity, self._free_used = capacity, used
        return self._free

    @property
    def free_cpu(self) -> int:
        """Return the processor capacity that no run has allocated, in thousandths of a core."""
        return self.info.capacity.cpu - self.used.cpu

    def lease_expiry_ms(self) -> float:
        """Return the time after which no run is left that the last process heard had begun."""
        if self.lease.is_clock_known:
            return self.lease.expiry_ms()
        return max(self.inherited_lease_expiry_ms, self.lease.extended_expiry_ms())

    def run_expiry_ms(self, run: Run, has_no_next_process: bool) -> float:
        """Return the time after which a run has certainly ended and never begins.

        Until a report lists the run, the next process of the worker may have got the start or, if
        there was no answer, may get it yet, as it may a copy of a repeated start. That process
        grants the longest lease, and each later start extends it for all its runs. A worker that
        is gone from the directory has no such process, unless its last entry showed one, and a
        ticket may rule it out (`has_ticket_of_heard_process`). A task that lasts must be back
        sooner than that.
        """
        expiry_ms = self.lease_expiry_ms()
        has_next_process = not has_no_next_process or self._entry_shows_next_process(run)
        is_lasting = run.task.step.spec.lasting
        if is_lasting or not has_next_process or run.belongs_to_heard_process:
            return expiry_ms
        if run.sent_ms is None:
            is_late = run.may_start_late
            longest_ms = self.late_start_expiry_ms if is_late else self.longest_inherited_expiry_ms
            return max(expiry_ms, longest_ms)
        latest_ms = max(self.given_up_starts_until_ms, *map(last_start_ms, self.runs.values()))
        return max(expiry_ms, latest_ms + lease_duration_ms(self.lease.max_granted_ms))

    def _entry_shows_next_process(self, run: Run) -> bool:
        """Return whether the last entry is of a later process than was heard, by any owner."""
        heard_ms = self.started_unix_ms or run.process_unix_ms
        entry_ms = self.info.started_unix_ms
        return bool(heard_ms and entry_ms and heard_ms != entry_ms)

    def has_ticket_of_heard_process(self, run: Run, now: float) -> bool:
        """Return whether the ticket of a start holds only for the process that was heard before.

        A ticket holds for the process that lived when it was issued, which was before the start
        was sent. The entry shows that the one heard before has lived until after that.
        """
        # Long enough for the entry of a silent process to be removed, even by a stale read.
        if not run.has_ticket or run.sent_ms is None or now - run.sent_ms < MAX_START_LATENESS_MS:
            return False
        heard_ms = run.process_unix_ms
        is_entry_of_heard = heard_ms == self.started_unix_ms == self.info.started_unix_ms
        return self.is_listed and bool(heard_ms) and is_entry_of_heard

    def last_run_expiry_ms(self) -> float:
        """Return the time after which all runs have ended, even if the worker may be back."""
        expiries_ms = (
            self.run_expiry_ms(run, has_no_next_process=False) for run in self.runs.values()
        )
        return max(self.lease_expiry_ms(), *expiries_ms, float("-inf"))

    def apply_entry(self, info: WorkerInfo, now: float) -> None:
        """Apply an entry of the directory, which may outlast the worker by some seconds."""
        # An entry that is read again is older than it was the first time.
        if info != self.info or self.cold_until_ms == float("-inf"):
            self.cold_until_ms = now + info.cold_for_ms
        self.info, self.is_listed = info, not self.has_ended

    def is_cold(self, now: float) -> bool:
        """Return whether the worker still runs tasks more slowly after its start."""
        return now < self.cold_until_ms

    def unlist(self, now: float) -> None:
        """Record that the worker is gone from the directory."""
        if self.is_listed:
            self.is_listed, self.unlisted_since_ms = False, now

    @property
    def is_staying(self) -> bool:
        """Return whether neither the worker nor the operator has announced that it goes."""
        return self.is_listed and not self.info.is_draining and not self.is_evacuated

    @property
    def is_isolated(self) -> bool:
        """Return whether nothing else may start because of a suspected run."""
        run = self.isolated_run
        return run is not None and run.task.run is run and self.is_young(run)

    def is_young(self, run: Run) -> bool:
        """Return whether a run was sent so lately that it may not have outlived its start."""
        if not run.is_sent:
            return True
        return run.sent_ms is not None and self.last_heard_ms < run.sent_ms + YOUNG_RUN_MS

    def has_young_run(self) -> bool:
        """Return whether any run is young."""
        return any(self.is_young(run) for run in self.runs.values())

    @property
    def is_entry_outdated(self) -> bool:
        """Return whether the directory entry belongs to another incarnation than the last report.

        The kind, the labels and the capacity may differ between incarnations.
        """
        entry_ms, report_ms = self.info.started_unix_ms, self.started_unix_ms
        return bool(entry_ms and report_ms and entry_ms != report_ms)

    @property
    def is_sound(self) -> bool:
        """Return whether nothing but time and its health keeps the worker from new tasks."""
        return (
            self.is_staying
            and not self.orphan_runs
            and not self.lease.is_suspended
            and not self.is_entry_outdated
            and not self.is_isolated
        )

    def can_start_tasks(self, now: float) -> bool:
        """Return whether new tasks may be started on the worker."""
        return (
            self.has_accepted_token
            and self.is_sound
            and now - self.last_report_ms < REPORT_TIMEOUT_MS
            and now >= self.backoff_until_ms
            and self.health.accepts_task(now, len(self.runs))
        )

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.task.key] = run
        self.used = self.used.plus(run.allocation)

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its resources."""
        if self.runs.pop(run.task.key, None) is not None:
            self.used = self.used.minus(run.allocation)


def last_start_ms(run: Run) -> float:
    """Return until when a process that was not heard may carry out the start of a run."""
    if run.sent_ms is None or run.belongs_to_heard_process:
        return float("-inf")
    if run.repeated_ms is not None:
        return run.repeated_ms + MAX_START_LATENESS_MS
    return run.confirmed_ms or run.sent_ms + MAX_START_LATENESS_MS
