"""Reserve capacity for a waiting gang, so that smaller tasks do not starve it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from baobabhoist.cell.gang_forecast import GangStart, forecast_start
from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import StepKey
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker
from baobabhoist.cell.workers import WorkerState

# Gangs that reserve workers at the same time; more would leave too many cores idle.
MAX_RESERVING_GANGS = 1
# A task may run ahead of a gang if this multiple of its expected duration passes before its start.
BACKFILL_DURATION_FACTOR = 1.25
# Stands for any worker when it is not known where a task would run.
UNKNOWN_WORKER = ""
# A forecast of a gang's start is made anew after this time.
FORECAST_AGE_MS = 100.0
# The forecast of a gang's start looks at this many workers, or at this many for each member.
MAX_FORECAST_WORKERS = 64
MAX_FORECAST_WORKERS_PER_MEMBER = 3
# Forecasts take long, so one round makes no more than these.
MAX_FORECASTS_PER_ROUND = 8
# A gang that was given up makes no reservation for this long.
GIVE_UP_MS = 1_000.0


@attrs.frozen
class Reservation:
    """Hold for which step a worker or a team's limit is reserved, and when it will probably start.

    Without a forecast the start is the time of the reservation, so that nothing may run ahead.
    Room that was freed for the step is kept from idle jobs as well.
    """

    step: StepState
    start_ms: float
    is_freed_room: bool = False


@attrs.frozen
class Forecast:
    """Hold the forecast of a gang's start, and when it was made."""

    start: GangStart | None
    made_ms: float

    def is_valid(self, workers: list[WorkerState]) -> bool:
        """Return whether the workers of a forecast are still available."""
        if self.start is None:
            return False
        ids = {worker.worker_id for worker in workers}
        return all(worker.worker_id in ids for worker in self.start.workers)


@attrs.frozen
class LimitStart:
    """Hold when a team's limit will probably admit a gang, and when that was forecast."""

    start_ms: float
    made_ms: float


@attrs.define
class Reservations:
    """Hold the workers and team limits reserved for gangs during one scheduling round."""

    # Returns how long a task of a step will probably run on a worker.
    expected_run_ms: Callable[[StepState, str], float]
    # Returns whether the team of a job has half of its limit in use.
    is_team_half_used: Callable[[JobState], bool]
    # Small tasks may run on reserved workers if they end before the reserved start.
    backfills: bool = False
    by_worker: dict[str, Reservation] = attrs.Factory(dict)
    # The first gang of each team that waits until the team's limit admits all its members.
    by_team: dict[str, Reservation] = attrs.Factory(dict)
    reserving_gang_count: int = 0
    _now: float = 0.0
    _forecasts: dict[StepKey, Forecast] = attrs.Factory(dict)
    _forecasts_left: int = MAX_FORECASTS_PER_ROUND
    _given_up_until_ms: dict[StepKey, float] = attrs.Factory(dict)
    _limit_starts: dict[StepKey, LimitStart] = attrs.Factory(dict)

    def clear(self, now: float) -> None:
        """Drop all reservations at the start of a round."""
        self._now = now
        self.by_worker.clear()
        self.by_team.clear()
        self.reserving_gang_count = 0
        self._forecasts_left = MAX_FORECASTS_PER_ROUND
        oldest_ms = now - FORECAST_AGE_MS
        self._forecasts = {k: f for k, f in self._forecasts.items() if f.made_ms > oldest_ms}
        self._limit_starts = {k: s for k, s in self._limit_starts.items() if s.made_ms > oldest_ms}
        self._given_up_until_ms = {k: t for k, t in self._given_up_until_ms.items() if t > now}

    def is_worker_available(self, worker: WorkerState, step: StepState) -> bool:
        """Return whether a task of a step may start on a worker as far as reservations go."""
        if not self.by_worker:
            return True
        reservation = self.by_worker.get(worker.worker_id)
        if reservation is None or reservation.step is step:
            return True
        if not reservation.is_freed_room and self._is_held_too_long(step):
            return True
        return self._ends_before(reservation, worker.worker_id, step)

    def _is_held_too_long(self, step: StepState) -> bool:
        """Return whether a job has been idle for so long that no gang holds it back."""
        return step.job.is_overdue(self._now) and not self.is_team_half_used(step.job)

    def _ends_before(self, reservation: Reservation, worker_id: str, step: StepState) -> bool:
        """Return whether a task may run ahead, because it ends before the reserved start."""
        left_ms = reservation.start_ms - self._now
        if not self.backfills or left_ms <= 0.0:
            return False
        # A task without an estimate is expected to take no time at all.
        run_ms = self.expected_run_ms(step, worker_id)
        return 0.0 < BACKFILL_DURATION_FACTOR * run_ms <= left_ms

    def holds_capacity_from(self, step: StepState, workers: list[WorkerState]) -> bool:
        """Return whether a worker reserved for another step has a processor for this one."""
        return bool(self.by_worker) and any(
            worker.free_cpu >= step.spec.allocation.cpu
            and not self.is_worker_available(worker, step)
            for worker in workers
        )

    def is_team_limit_available(self, team: str, step: StepState) -> bool:
        """Return whether the rest of a team's limit is not reserved for another step."""
        reservation = self.by_team.get(team)
        if reservation is None or reservation.step is step or self._is_held_too_long(step):
            return True
        return self._ends_before(reservation, UNKNOWN_WORKER, step)

    def limit_start_ms(
        self, step: StepState, latest_start_ms: float, forecast: Callable[[], float]
    ) -> float:
        """Return when a team's limit will admit a gang, or the present if that is not known.

        This is infinity for a gang that was given up and while no forecast may be made.
        """
        known = self._limit_starts.get(step.key)
        if known is None:
            if step.key in self._given_up_until_ms or not self._forecasts_left:
                return float("inf")
            self._forecasts_left -= 1
            known = self._limit_starts[step.key] = LimitStart(forecast(), self._now)
        start_ms = known.start_ms if known.start_ms < float("inf") else self._now
        if start_ms > latest_start_ms:
            self._given_up_until_ms[step.key] = self._now + GIVE_UP_MS
        return start_ms

    def reserve_team_limit(self, team: str, step: StepState, start_ms: float) -> None:
        """Reserve the rest of a team's limit for a gang until the end of the round."""
        self.by_team.setdefault(team, Reservation(step, start_ms))

    @property
    def is_full(self) -> bool:
        """Return whether no further gang may reserve workers in this round."""
        return self.reserving_gang_count >= MAX_RESERVING_GANGS

    def reserve_workers(
        self, step: StepState, approved: list[WorkerState], latest_start_ms: float
    ) -> bool:
        """Reserve the workers for a gang; return False if it is given up.

        All the workers that it needs are reserved or none: none if all together are too small. A
        gang that cannot start by `latest_start_ms` is given up.
        """
        if self.is_full or not approved:
            return True
        if step.key in self._given_up_until_ms:
            return False
        if not self._may_plan(step):
            return True
        available = [w for w in approved if self.is_unreserved(w, step)]
        available.sort(key=_cpu_utilization)
        start = self._plan(step, available)
        if start is None:
            return True
        if self.backfills and start.start_ms > latest_start_ms:
            self._given_up_until_ms[step.key] = self._now + GIVE_UP_MS
            return False
        self.reserving_gang_count += 1
        self.hold(step, start.workers, start.start_ms)
        return True

    def hold(
        self,
        step: StepState,
        workers: tuple[WorkerState, ...],
        start_ms: float,
        *,
        is_freed_room: bool = False,
    ) -> None:
        """Reserve workers for a step that will probably start at a time."""
        for worker in workers:
            self.by_worker[worker.worker_id] = Reservation(step, start_ms, is_freed_room)

    def is_unreserved(self, worker: WorkerState, step: StepState) -> bool:
        """Return whether a worker is not reserved for another step, not even for later."""
        reservation = self.by_worker.get(worker.worker_id)
        return reservation is None or reservation.step is step

    def _may_plan(self, step: StepState) -> bool:
        """Return whether a plan for a gang takes no forecast, or one that may still be made."""
        return not self.backfills or self._forecasts_left > 0 or step.key in self._forecasts

    def _plan(self, step: StepState, available: list[WorkerState]) -> GangStart | None:
        """Return the workers that will soonest have the capacity for a gang."""
        if self.backfills:
            per_member = MAX_FORECAST_WORKERS_PER_MEMBER * step.waiting_count
            limit = max(MAX_FORECAST_WORKERS, per_member)
            capable = [w for w in available if step.spec.allocation.fits_into(w.info.capacity)]
            start = self._forecast(step, capable[:limit])
            if start is None or start.start_ms < float("inf"):
                return start
        chosen = _least_loaded(step, available)
        return GangStart(self._now, chosen) if chosen else None

    def _forecast(self, step: StepState, workers: list[WorkerState]) -> GangStart | None:
        """Return the start of a gang, from an earlier round if that was a moment ago."""
        last = self._forecasts.get(step.key)
        if last is None or not last.is_valid(workers):
            self._forecasts_left -= 1
            start = forecast_start(step, workers, self._now)
            last = self._forecasts[step.key] = Forecast(start, self._now)
        return last.start


def _least_loaded(step: StepState, available: list[WorkerState]) -> tuple[WorkerState, ...]:
    """Return as few of the least loaded workers as suffice for a gang, or none."""
    max_per_worker = max_tasks_per_worker(step.spec, step.waiting_count)
    chosen, slot_count = [], 0
    for worker in available:
        chosen.append(worker)
        slot_count += count_fitting_tasks(
            worker.info.capacity, step.spec.allocation, max_per_worker
        )
        if slot_count >= step.waiting_count:
            return tuple(chosen)
    return ()


def _cpu_utilization(worker: WorkerState) -> float:
    return worker.used.cpu / max(1, worker.info.capacity.cpu)
