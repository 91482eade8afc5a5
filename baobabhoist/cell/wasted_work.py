"""Count the work of runs that was thrown away: it ended early and no checkpoint has saved it."""

from __future__ import annotations

import enum
import logging

import attrs

from baobabhoist.cell.jobs import Run, StepState
from baobabhoist.cell.model import Resources, RunOutcome
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
CPU_UNITS_PER_CORE = 1000.0
# A GPU counts as this many cores.
CORES_PER_GPU = 8.0
# Less than this is counted, but not logged.
MIN_LOGGED_CORE_S = 0.5


class WasteCause(enum.StrEnum):
    """List why the work of a run was thrown away."""

    # The task failed by itself.
    FAILED = "failed"
    # Its team cancelled the job, or the job has failed.
    JOB_ENDED = "job_ended"
    # Another member of its gang ended early, or was not started.
    GANG_BROKEN = "gang_broken"
    # The members of a gang that began first waited for the last ones.
    GANG_STARTING = "gang_starting"
    # The worker crashed, restarted or left.
    WORKER_LOST = "worker_lost"
    LEASE_LAPSED = "lease_lapsed"
    # The start was not answered, so the run was stopped.
    START_UNANSWERED = "start_unanswered"
    # The run made no progress.
    STALLED = "stalled"
    # Another run of the task has done its work.
    DUPLICATE = "duplicate"
    # The run was stopped in favour of other work.
    PREEMPTED = "preempted"
    OTHER = "other"


CAUSE_BY_OUTCOME = {
    RunOutcome.FAILED: WasteCause.FAILED,
    RunOutcome.STOPPED: WasteCause.OTHER,
    RunOutcome.LAPSED: WasteCause.LEASE_LAPSED,
    RunOutcome.BROKEN: WasteCause.GANG_BROKEN,
    RunOutcome.ALONE: WasteCause.GANG_BROKEN,
}


@attrs.define
class WastedWork:
    """Add up the core-seconds that were thrown away, by queue and cause."""

    core_s: dict[tuple[str, WasteCause], float] = attrs.Factory(dict)

    def record_end(self, run: Run, outcome: RunOutcome, checkpoint: str, now: float) -> None:
        """Record the reported end of a run; its last checkpoint saves the work before it."""
        if outcome is RunOutcome.DONE:
            return
        if checkpoint and checkpoint != run.task.checkpoint:
            mark_saved(run, now)
        self.record_loss(run, run.stop_cause or CAUSE_BY_OUTCOME[outcome], now)

    def record_loss(self, run: Run, cause: WasteCause, now: float) -> None:
        """Record a run that ended without a report, or whose end saved nothing."""
        if not run.task.step.spec.lasting:
            self._add(run, cause, unsaved_core_s(run, now))

    def record_gang_start(self, step: StepState) -> None:
        """Record how long the members of a gang waited, when the last one has begun."""
        runs = [task.run for task in step.tasks if task.run is not None]
        if len(runs) < step.unfinished_count or not all(run.confirmed_ms for run in runs):
            return
        begin_ms = max(run.confirmed_ms for run in runs)
        for run in runs:
            self._add(run, WasteCause.GANG_STARTING, unsaved_core_s(run, begin_ms))
            run.unsaved_since_ms = begin_ms

    def take(self) -> dict[tuple[str, WasteCause], float]:
        """Return what was recorded since the last call."""
        taken, self.core_s = self.core_s, {}
        return taken

    def _add(self, run: Run, cause: WasteCause, core_s: float) -> None:
        if core_s <= 0.0:
            return
        key = (run.task.step.job.accepted.queue, cause)
        self.core_s[key] = self.core_s.get(key, 0.0) + core_s
        if core_s >= MIN_LOGGED_CORE_S:
            emit(
                log,
                Event.WORK_WASTED,
                **run.log_fields(),
                cause=cause.value,
                core_s=round(core_s, 2),
                percent=run.progress_percent,
            )


def unsaved_core_s(run: Run, now: float) -> float:
    """Return the core-seconds of a run that its end would throw away."""
    if not run.confirmed_ms:
        return 0.0
    unsaved_ms = now - max(run.confirmed_ms, run.unsaved_since_ms)
    return max(0.0, unsaved_ms) / MS_PER_S * count_cores(run.allocation)


def count_cores(resources: Resources) -> float:
    """Return an amount of processors and GPUs as cores."""
    return resources.cpu / CPU_UNITS_PER_CORE + resources.gpu * CORES_PER_GPU


def mark_saved(run: Run, now: float) -> None:
    """Record a new checkpoint of a run; that of one member is valid for its gang."""
    step = run.task.step
    for member in step.tasks if step.spec.gang else [run.task]:
        if member.run is not None and member.run.number == run.number:
            member.run.unsaved_since_ms = now
