"""Log why accepted jobs wait: reasons, workers, starts, rounds and the event loop."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Any

import attrs

from baobabhoist.cell.awaited_runs import AwaitedSummary
from baobabhoist.cell.jobs import Run
from baobabhoist.cell.model import NO_RESOURCES, CommandOutcome, StepKey
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.cell.standing_jobs import StandingJobs, StandingStep
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_summary import (
    CPU_UNITS_PER_CORE,
    IdleSummary,
    LongWait,
    ReasonSummary,
    WaitingSummary,
    count_tickets,
    step_id,
    summarize_waiting,
)
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

REPORT_INTERVAL_MS = 1_000.0
# A line is written while a step, the answer to a start, or a run on a silent worker, has been
# awaited for longer than this.
LONG_WAIT_MS = 2_000.0
# Steps that one line names because they wait for long or their reason has changed.
MAX_NAMED_STEPS = 20


@attrs.define
class DurationStats:
    """Collect durations in ms since the last line."""

    count: int = 0
    total_ms: float = 0.0
    longest_ms: float = 0.0

    def add(self, duration_ms: float) -> None:
        """Add one duration."""
        self.count += 1
        self.total_ms += duration_ms
        self.longest_ms = max(self.longest_ms, duration_ms)

    @property
    def mean_ms(self) -> float:
        """Return the mean duration, or 0 if there is none."""
        return self.total_ms / self.count if self.count else 0.0


@attrs.define
class WaitingReporter:
    """Collect what happened since the last line, and write at most one line per interval."""

    loop_lag: LoopLagMonitor
    rounds: DurationStats = attrs.Factory(DurationStats)
    starts: Counter[CommandOutcome] = attrs.Factory(Counter)
    standing_jobs: StandingJobs = attrs.Factory(StandingJobs)
    _next_report_ms: float = 0.0
    _reset_ms: float | None = None
    # The reason that the last line on each waiting step gave.
    _named_steps: dict[StepKey, WaitReason] = attrs.Factory(dict)

    def report(self, cell: CellScheduler, may_start: bool, now: float) -> None:
        """Write a line if the interval has passed and something has waited for long."""
        if now < self._next_report_ms:
            return
        self._next_report_ms = now + REPORT_INTERVAL_MS
        loop_lag_ms = self.loop_lag.take_longest_ms()
        summary = summarize_waiting(cell.state, now, LONG_WAIT_MS)
        if _longest_wait_ms(summary) > LONG_WAIT_MS:
            self._write(summary, cell, may_start, loop_lag_ms, now)
        self.standing_jobs.update(cell.state, now)
        for standing in self.standing_jobs.longest_by_reason(cell.placer, now, LONG_WAIT_MS):
            _log_standing(standing, cell.state, now)
        self._reset(now)

    def _reset(self, now: float) -> None:
        self.rounds = DurationStats()
        self.starts = Counter()
        self._reset_ms = now

    def _name_steps(self, long_waits: list[LongWait]) -> dict[str, str]:
        """Return the steps to name in a line: those not named yet first, then the oldest."""
        waiting = {wait.step for wait in long_waits}
        named = {step: r for step, r in self._named_steps.items() if step in waiting}
        changed = [wait for wait in long_waits if named.get(wait.step) is not wait.reason]
        changed.sort(key=lambda wait: (wait.step in named, -wait.waited_ms))
        chosen = changed[:MAX_NAMED_STEPS]
        self._named_steps = named | {wait.step: wait.reason for wait in chosen}
        return {step_id(w.step): f"{w.reason.value} {round(w.waited_ms)} ms" for w in chosen}

    def _write(
        self,
        summary: WaitingSummary,
        cell: CellScheduler,
        may_start: bool,
        loop_lag_ms: float,
        now: float,
    ) -> None:
        sent = self.starts.total()
        rejected = {
            outcome.value: count
            for outcome, count in self.starts.items()
            if outcome is not CommandOutcome.OK
        }
        emit(
            log,
            Event.STEPS_WAITING,
            steps=summary.steps,
            tasks=summary.tasks,
            **_oldest_step_fields(summary, now),
            by_reason={r.value: _reason_fields(e) for r, e in summary.by_reason.items()},
            workers={condition.value: n for condition, n in summary.workers.items()},
            free_cores=round(summary.free_cores, 1),
            largest_free_cores=round(summary.largest_free_cores, 1),
            may_start=may_start,
            advice_open=cell.placer.advice.open_count,
            advice_slots=cell.placer.advice.slot_count,
            advice_blocked=cell.placer.advice.blocked_count,
            tickets=cell.state.ticket_usage.describe(),
            starts_sent=sent,
            starts_not_ok=rejected,
            runs={phase.value: n for phase, n in summary.runs.items()},
            oldest_start=_run_id(summary.oldest_starting),
            oldest_start_ms=round(summary.oldest_starting_ms),
            **_awaited_fields(summary.awaited),
            **_idle_fields(summary.idle),
            rounds=self.rounds.count,
            round_mean_ms=round(self.rounds.mean_ms, 2),
            round_longest_ms=round(self.rounds.longest_ms, 2),
            loop_lag_ms=round(loop_lag_ms, 1),
            since_ms=round(now - self._reset_ms) if self._reset_ms is not None else 0,
            named=self._name_steps(summary.long_waits),
        )


def _longest_wait_ms(summary: WaitingSummary) -> float:
    oldest = summary.oldest
    step_ms = oldest[1].oldest_ms if oldest is not None else 0.0
    return max(step_ms, summary.oldest_starting_ms, summary.awaited.oldest_ms)


def _oldest_step_fields(summary: WaitingSummary, now: float) -> dict[str, Any]:
    """Return the step that has waited longest, its reason and its tickets."""
    if summary.oldest is None:
        return {"oldest": "none", "waited_ms": 0, "reason": "none"}
    reason, entry = summary.oldest
    fields = {"waited_ms": round(entry.oldest_ms), "reason": reason.value}
    if entry.oldest is None:
        return fields
    tickets = count_tickets(entry.oldest, now)
    return fields | {
        "oldest": step_id(entry.oldest.key),
        "oldest_queue": entry.oldest.job.accepted.queue,
        "oldest_tasks": entry.oldest.waiting_count,
        "oldest_task_cores": entry.oldest.spec.allocation.cpu / CPU_UNITS_PER_CORE,
        "oldest_is_gang": entry.oldest.spec.gang,
        "oldest_tickets": attrs.asdict(tickets),
        "oldest_next_query_in_ms": max(0, round(entry.oldest.approvals.next_request_ms - now)),
    }


def _reason_fields(entry: ReasonSummary) -> dict[str, Any]:
    oldest = step_id(entry.oldest.key) if entry.oldest is not None else ""
    return {
        "steps": entry.steps,
        "tasks": entry.tasks,
        "oldest": oldest,
        "waited_ms": round(entry.oldest_ms),
    }


def _awaited_fields(awaited: AwaitedSummary) -> dict[str, Any]:
    """Return how many runs are awaited on silent workers, and the one awaited longest."""
    run = awaited.oldest.run if awaited.oldest is not None else None
    return {
        "awaited_runs": {reason.value: n for reason, n in awaited.by_reason.items()},
        "oldest_awaited": _run_id(run),
        "oldest_awaited_ms": round(awaited.oldest_ms),
    }


def _idle_fields(idle: IdleSummary) -> dict[str, Any]:
    """Return how many jobs have had nothing running for long, and the one idle longest."""
    return {
        "idle_jobs": {reason.value: len(jobs) for reason, jobs in idle.jobs_by_reason.items()},
        "oldest_idle": step_id(idle.oldest.key) if idle.oldest is not None else "",
        "oldest_idle_ms": round(idle.oldest_ms),
    }


def _run_id(run: Run | None) -> str:
    return f"{run.task.key.to_text()} on {run.worker_id}" if run is not None else ""


def _log_standing(standing: StandingStep, state: CellState, now: float) -> None:
    """Log what holds a job that stands still, and how its step has spent the wait."""
    step, run = standing.step, standing.oldest_run
    account = step.wait_account
    team = state.team_of(step.job)
    emit(
        log,
        Event.JOB_STANDS_STILL,
        job=step.job.job_id,
        step=step_id(step.key),
        queue=step.job.accepted.queue,
        stands_ms=round(now - standing.since_ms),
        used_percent=round(100.0 * standing.used_fraction),
        is_gang=step.spec.gang,
        tasks=len(step.tasks),
        task_needs=attrs.asdict(step.spec.need),
        reason=step.wait_reason.value if step.wait_reason is not None else "",
        team=step.job.accepted.team,
        team_limit=attrs.asdict(team.limit if team is not None else NO_RESOURCES),
        team_used=attrs.asdict(state.team_usage[step.job.accepted.team]),
        places=attrs.asdict(standing.room),
        reasons_ms={reason.value: round(ms) for reason, ms in account.by_reason_ms.items()},
        advice_ms={decision.value: round(ms) for decision, ms in account.by_decision_ms.items()},
        requests=account.requests,
        tickets=attrs.asdict(count_tickets(step, now)),
        runs={phase.value: count for phase, count in standing.runs.items()},
        oldest_run=_run_id(run),
        oldest_run_ms=round(now - run.decided_ms) if run is not None else 0,
    )
