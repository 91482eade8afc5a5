"""Carry out preemptions in a cell, and keep the freed room for the steps that won it."""

from __future__ import annotations

import logging
from collections.abc import Callable

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import StepKey
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.state import CellState
from baobabhoist.cell.victim_selection import (
    MAX_SERVED_TASKS,
    Preemption,
    Preemptor,
    Victim,
)
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# Freed room is kept for its winner for this long.
HOLD_MS = 1_200.0
# At most this many steps have room kept for them, as nothing else may use it meanwhile.
MAX_HOLDS = 4
# At most one step is examined in this time, as a search for victims takes long.
EXAMINATION_INTERVAL_MS = 40.0
# A step for which no victims were found is not examined again within this time.
RETRY_INTERVAL_MS = 400.0
# Reasons to wait that a preemption can end.
ROOM_REASONS = frozenset(
    {
        WaitReason.NO_ROOM,
        WaitReason.NO_ROOM_WITH_TICKET,
        WaitReason.NO_ROOM_FOR_GANG,
        WaitReason.NO_ROOM_IN_TIME,
    }
)


@attrs.frozen
class Hold:
    """Hold the workers kept for a step until a time, or until enough of its tasks have started."""

    step: StepState
    workers: tuple[WorkerState, ...]
    until_ms: float
    # The tasks of the step that still wait once those that the workers are kept for have started.
    unserved_count: int


@attrs.define
class Preemptions:
    """Stop runs for waiting steps and keep what that frees; all times are in ms."""

    state: CellState
    holds: dict[StepKey, Hold] = attrs.Factory(dict)
    # When steps for which no victims were found may be examined again.
    _retry_ms: dict[StepKey, float] = attrs.Factory(dict)
    _next_examination_ms: float = 0.0

    def reserve_held_room(self, reservations: Reservations, now: float) -> None:
        """Reserve the freed room for its winners at the start of a round."""
        self.holds = {key: hold for key, hold in self.holds.items() if _is_needed(hold, now)}
        self._retry_ms = {key: ms for key, ms in self._retry_ms.items() if ms > now}
        for hold in self.holds.values():
            reservations.hold(hold.step, hold.workers, now, is_freed_room=True)

    def preempt_for(
        self,
        step: StepState,
        find_workers: Callable[[], list[WorkerState]],
        reservations: Reservations,
        now: float,
    ) -> None:
        """Stop runs on some of these workers if that serves a step that finds no room."""
        preemptor = Preemptor(self.state.queue_of, now, self.state.entitlements)
        served = self._count_servable(step) if self._may_examine(step, now) else 0
        if not served or not preemptor.may_preempt(step):
            return
        self._next_examination_ms = now + EXAMINATION_INTERVAL_MS
        unreserved = [w for w in find_workers() if reservations.is_unreserved(w, step)]
        preemption = preemptor.choose(step, unreserved, served)
        if preemption is None:
            self._retry_ms[step.key] = now + RETRY_INTERVAL_MS
            return
        for victim in preemption.victims:
            self._stop(victim, step, preemption, now)
        self.holds[step.key] = Hold(
            step, preemption.workers, now + HOLD_MS, step.waiting_count - preemption.served_count
        )
        reservations.hold(step, preemption.workers, now, is_freed_room=True)

    def _may_examine(self, step: StepState, now: float) -> bool:
        """Return whether victims may be sought for a step now; each search takes long."""
        if now < self._next_examination_ms or len(self.holds) >= MAX_HOLDS:
            return False
        return step.key not in self.holds and step.key not in self._retry_ms

    def _count_servable(self, step: StepState) -> int:
        """Return for how many tasks room may be freed at once within the team's limit."""
        counts = range(min(step.waiting_count, MAX_SERVED_TASKS), 0, -1)
        if step.spec.gang:
            counts = range(step.waiting_count, step.waiting_count - 1, -1)
        need = step.spec.need
        fitting = (n for n in counts if self.state.is_within_team_limit(step.job, need.times(n)))
        return next(fitting, 0)

    def _stop(self, victim: Victim, step: StepState, preemption: Preemption, now: float) -> None:
        victim.job.was_preempted = True
        for run in victim.runs:
            emit(
                log,
                Event.RUN_PREEMPTED,
                **run.log_fields(),
                winner=step.job.job_id,
                winner_step=step.key.step,
                expired=victim.is_expired,
                beyond_share=victim.is_beyond_share,
                lost_core_s=round(victim.lost_core_s, 2),
                all_lost_core_s=round(preemption.lost_core_s, 2),
                won_core_s=round(preemption.won_core_s, 2),
                percent=run.progress_percent,
            )
            self.state.stop_run(run, now, WasteCause.PREEMPTED)


def _is_needed(hold: Hold, now: float) -> bool:
    """Return whether tasks that a hold is for still wait and can still be on time."""
    step = hold.step
    return (
        now < hold.until_ms
        and step.waiting_count > hold.unserved_count
        and not step.job.is_final
        and timeliness_of(step.job, now) is Timeliness.ON_TIME
    )
