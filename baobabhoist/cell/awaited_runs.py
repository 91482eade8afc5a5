"""Track the runs of silent workers that tasks wait for, and log each once with the reason.

A task is not started again before its run has certainly ended. A worker that stays silent doesn't
report that end, so the task waits until no process of the worker can carry the run out any more.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

import attrs

from baobabhoist.cell.jobs import Run
from baobabhoist.cell.workers import REPORT_TIMEOUT_MS, WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# A worker counts as silent this long after it was found so: an owner that was paused applies the
# reports that have arrived meanwhile.
NOTICE_DELAY_MS = 250.0
# The runs of a silent worker are reviewed at this interval once all are named.
REVIEW_INTERVAL_MS = 1_000.0
# Runs that one log line names; the line of the next tick names further ones.
MAX_NAMED_RUNS = 20

# Returns whether no process of a worker but that heard before can carry out a run.
NextProcessCheck = Callable[[WorkerState, Run, float], bool]


class AwaitReason(enum.StrEnum):
    """List what keeps a run of a silent worker from counting as ended."""

    # The lease of the process that was heard last, which another instance may extend.
    LEASE = "lease"
    # A start that no report has listed: the worker's next process may have carried it out, or may
    # do so yet.
    LATE_START = "late_start"
    # A lease of an earlier owner: this one has not heard the worker.
    EARLIER_OWNER = "earlier_owner"


@attrs.frozen
class AwaitedRun:
    """Hold why and until when a task waits for a run; all times are on the owner's clock, in ms.

    `since_ms` is when the worker was last heard, or when the run was decided or adopted if that
    was later.
    """

    run: Run
    reason: AwaitReason
    since_ms: float
    until_ms: float


@attrs.frozen
class EndedWait:
    """Hold how long a task waited for a run until it was given up."""

    reason: AwaitReason
    waited_ms: float


@attrs.define
class AwaitedSummary:
    """Count the awaited runs by reason and name the one awaited longest."""

    by_reason: Counter[AwaitReason] = attrs.Factory(Counter)
    oldest: AwaitedRun | None = None
    oldest_ms: float = 0.0

    def add(self, awaited: AwaitedRun, now: float) -> None:
        """Add an awaited run."""
        self.by_reason[awaited.reason] += 1
        waited_ms = now - awaited.since_ms
        if self.oldest is None or waited_ms > self.oldest_ms:
            self.oldest, self.oldest_ms = awaited, waited_ms


@attrs.define
class WorkerSilence:
    """Hold the awaited runs of a silent worker, as of the last review, and those logged so far."""

    next_review_ms: float
    runs: dict[Run, AwaitedRun] = attrs.Factory(dict)
    named: set[tuple[Run, AwaitReason]] = attrs.Factory(set)

    def are_all_named(self) -> bool:
        """Return whether a line has named each awaited run with its reason."""
        return all((run, awaited.reason) in self.named for run, awaited in self.runs.items())


@attrs.define
class AwaitedRuns:
    """Track the awaited runs of a cell; all times are on the owner's clock, in ms."""

    # By worker id.
    _silences: dict[str, WorkerSilence] = attrs.Factory(dict)
    _ended_waits: list[EndedWait] = attrs.Factory(list)

    def review(
        self, worker: WorkerState, has_no_next_process: NextProcessCheck, now: float
    ) -> None:
        """Update and log the awaited runs of a worker if it is silent, or forget them."""
        if not (worker.runs and _is_silent(worker, now)):
            if self._silences:
                self._silences.pop(worker.worker_id, None)
            return
        silence = self._silences.get(worker.worker_id)
        if silence is None:
            silence = self._silences[worker.worker_id] = WorkerSilence(now + NOTICE_DELAY_MS)
        if now < silence.next_review_ms:
            return
        silence.runs = _find_awaited_runs(worker, has_no_next_process, now)
        _log_unnamed(worker, silence, now)
        if silence.are_all_named():
            silence.next_review_ms = now + REVIEW_INTERVAL_MS

    def record_given_up(self, run: Run, now: float) -> None:
        """Record that a run is given up, which ends the wait of its task."""
        silence = self._silences.get(run.worker_id)
        awaited = silence.runs.pop(run, None) if silence is not None else None
        if awaited is not None:
            self._ended_waits.append(EndedWait(awaited.reason, now - awaited.since_ms))

    def open_waits(self) -> Iterator[AwaitedRun]:
        """Yield the runs that tasks wait for, as of the last reviews."""
        for silence in self._silences.values():
            yield from (awaited for awaited in silence.runs.values() if _is_awaited(awaited.run))

    def take_ended_waits(self) -> list[EndedWait]:
        """Return the waits that ended since the last call."""
        taken, self._ended_waits = self._ended_waits, []
        return taken

    def summarize(self, now: float) -> AwaitedSummary:
        """Return how many runs are awaited for each reason."""
        summary = AwaitedSummary()
        for awaited in self.open_waits():
            summary.add(awaited, now)
        return summary


def _is_silent(worker: WorkerState, now: float) -> bool:
    """Return whether a worker has been silent for the report timeout or its lease is suspended."""
    latest_ms = now - REPORT_TIMEOUT_MS
    is_timed_out = worker.last_heard_ms <= latest_ms and worker.known_since_ms <= latest_ms
    return is_timed_out or worker.lease.is_suspended


def _is_awaited(run: Run) -> bool:
    """Return whether a task can't be started because of a run."""
    task = run.task
    return run.is_sent and task.run is run and not task.is_done and not task.step.job.is_final


def _find_awaited_runs(
    worker: WorkerState, has_no_next_process: NextProcessCheck, now: float
) -> dict[Run, AwaitedRun]:
    """Return the runs of a silent worker that tasks wait for."""
    lease_expiry_ms = worker.lease_expiry_ms()
    awaited = {}
    for run in worker.runs.values():
        if _is_awaited(run):
            until_ms = worker.run_expiry_ms(run, has_no_next_process(worker, run, now))
            reason = _find_reason(worker, run, until_ms > lease_expiry_ms)
            since_ms = max(worker.last_heard_ms, run.decided_ms)
            awaited[run] = AwaitedRun(run, reason, since_ms, until_ms)
    return awaited


def _find_reason(worker: WorkerState, run: Run, outlasts_lease: bool) -> AwaitReason:
    """Return what decides until when a run is awaited."""
    checks = (
        (outlasts_lease and run.sent_ms is not None, AwaitReason.LATE_START),
        (outlasts_lease or not worker.lease.is_clock_known, AwaitReason.EARLIER_OWNER),
    )
    return next((reason for applies, reason in checks if applies), AwaitReason.LEASE)


def _log_unnamed(worker: WorkerState, silence: WorkerSilence, now: float) -> None:
    """Log the runs that no line has named yet with their reason."""
    by_reason: defaultdict[AwaitReason, list[AwaitedRun]] = defaultdict(list)
    for awaited in silence.runs.values():
        by_reason[awaited.reason].append(awaited)
    for reason, group in by_reason.items():
        unnamed = [awaited for awaited in group if (awaited.run, reason) not in silence.named]
        named = unnamed[:MAX_NAMED_RUNS]
        if named:
            _log_runs(worker, reason, len(group), named, now)
        silence.named.update((awaited.run, reason) for awaited in named)


def _log_runs(
    worker: WorkerState, reason: AwaitReason, count: int, named: list[AwaitedRun], now: float
) -> None:
    emit(
        log,
        Event.RUNS_AWAITED,
        worker=worker.worker_id,
        reason=reason.value,
        count=count,
        runs={awaited.run.task.key.to_text(): awaited.run.number for awaited in named},
        silent_ms=_finite_ms(now - worker.last_heard_ms),
        until_ms=_finite_ms(max(awaited.until_ms for awaited in named) - now),
    )


def _finite_ms(duration_ms: float) -> int | None:
    """Return a duration for a log line, or None if it is infinite."""
    return round(duration_ms) if duration_ms < float("inf") else None
