"""Explain where a job would go now, and why, without adding it or changing anything."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from baobabhoist.cell.jobs import JobState, StepState, objective_after_ms
from baobabhoist.cell.model import NO_RESOURCES, AcceptedJob, JobSpec, Queue, Resources
from baobabhoist.cell.placement_report import (
    CandidateWorker,
    PlacementPreview,
    SetAside,
    SetAsideCount,
    TeamStanding,
    WaitingPosition,
)
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.ranking import Rank, RankedStep, rank_step, sort_by_rank
from baobabhoist.cell.reservations import Reservation
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.worker_conditions import WorkerCondition, worker_condition
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import (
    WorkerSlots,
    count_fitting_tasks,
    max_tasks_per_worker,
)
from baobabhoist.cell.workers import WorkerState

log = logging.getLogger(__name__)

MAX_NAMED_CANDIDATES = 5
# Times from now at which the expected room is looked up.
ROOM_HORIZONS_MS = (1_000.0, 5_000.0, 20_000.0, 60_000.0)
# Waits that end once enough runs have ended.
REASONS_ENDED_BY_ROOM = frozenset(
    {WaitReason.NO_ROOM, WaitReason.NO_ROOM_FOR_GANG, WaitReason.TEAM_LIMIT}
)


@attrs.frozen
class PreviewTime:
    """Hold one time on the owner's and on the store's clock, in ms."""

    now: float
    store_ms: float


@attrs.frozen
class Selection:
    """Hold the workers that could take the step, best first, and why others could not."""

    slots: list[WorkerSlots]
    set_aside: Counter[str]

    def counts(self) -> tuple[SetAsideCount, ...]:
        """Return the counts of the reasons, the most frequent first."""
        return tuple(SetAsideCount(str(r), count) for r, count in self.set_aside.most_common())


def preview_placement(
    placer: TaskPlacer,
    queue: Queue,
    team: str,
    spec: JobSpec,
    time: PreviewTime,
    may_start: bool,
) -> PlacementPreview:
    """Return where the first ready step of a job would go if it were accepted now."""
    step = _first_step(placer.state, queue, team, spec, time)
    return _StepPreview(placer, step, time).explain(may_start)


def _first_step(
    state: CellState, queue: Queue, team: str, spec: JobSpec, time: PreviewTime
) -> StepState:
    """Return the first ready step of a job that the cell does not know of."""
    accepted = AcceptedJob("", queue.name, queue.service, team, round(time.store_ms), spec)
    job = JobState(accepted, time.now)
    job.objective_ms = time.now + objective_after_ms(accepted, queue)
    entitled_jobs = state.entitlements.entitled_jobs(team, time.store_ms)
    job.is_beyond_entitlement = entitled_jobs is not None and entitled_jobs < 1.0
    job.due_count = 1
    return next(step for step in job.open_occurrence() if job.is_step_ready(step))


class _StepPreview:
    """Look at one step as a scheduling round would."""

    def __init__(self, placer: TaskPlacer, step: StepState, time: PreviewTime) -> None:
        self._placer = placer
        self._state = placer.state
        self._step = step
        self._time = time
        self._team = step.job.accepted.team
        # Indexing by `team_usage[team]` would add the team.
        self._team_used = placer.state.team_usage.get(self._team, NO_RESOURCES)
        self._service = placer.state.service_of(step.job)
        self._workers = WorkerIndex(
            placer.state.workers.values(), time.now, placer.state.start_delay.expected_ms
        )
        self._order = self._sort_waiting()
        self._positions = {other.key: number for number, other in enumerate(self._order)}

    def explain(self, may_start: bool) -> PlacementPreview:
        """Return the preview."""
        selection = self._select_workers()
        reason = self._wait_reason(selection, may_start)
        return PlacementPreview(
            self._service,
            self._step.key.step,
            self._step.waiting_count,
            self._position(),
            self._team_standing(),
            len(selection.slots),
            tuple(self._describe(slot) for slot in selection.slots[:MAX_NAMED_CANDIDATES]),
            selection.counts(),
            self._state.requires_advice(self._step.job),
            reason.value if reason is not None else "",
            self._room_within_ms() if reason in REASONS_ENDED_BY_ROOM else None,
        )

    # The rank among the waiting steps.

    def _sort_waiting(self) -> list[StepState]:
        """Return the waiting steps with this one, in the order in which they are placed."""
        waiting = [step for step in self._state.ready_steps.values() if step.waiting_count]
        steps = [*waiting, self._step]
        standing = self._state.shares.compare_teams(
            steps,
            self._state.team_usage,
            lambda step: self._workers.has_usable_worker(
                self._state.service_of(step.job), step.spec.label
            ),
        )
        return sort_by_rank(self._ranked(steps), standing)

    def _ranked(self, steps: Sequence[StepState]) -> Iterator[RankedStep]:
        for number, step in enumerate(steps):
            try:
                yield RankedStep(self._rank(step), number, step)
            except Exception as exc:
                # The next scheduling round gives the job up.
                log.warning("job %s has no place in a preview: %r", step.key.job_id, exc)

    def _rank(self, step: StepState) -> Rank:
        is_beyond = self._state.shares.is_on and step.job.is_beyond_entitlement
        return rank_step(step, self._state.queue_of(step.job), is_beyond, self._time.now)

    def _position(self) -> WaitingPosition:
        rank = self._rank(self._step)
        return WaitingPosition(
            self._positions[self._step.key] + 1,
            len(self._order) - 1,
            rank.tier.name.lower(),
            rank.priority,
            rank.slack_ms,
        )

    # What the last round reserved, as far as the next one will reserve it before this step.

    def _is_worker_reserved(self, worker: WorkerState) -> bool:
        reservations = self._placer.reservations
        if not self._is_kept(reservations.by_worker.get(worker.worker_id)):
            return False
        return not reservations.is_worker_available(worker, self._step)

    def _is_team_limit_reserved(self) -> bool:
        reservations = self._placer.reservations
        if not self._is_kept(reservations.by_team.get(self._team)):
            return False
        return not reservations.is_team_limit_available(self._team, self._step)

    def _is_kept(self, reservation: Reservation | None) -> bool:
        """Return whether a reservation's step still waits and comes before this one."""
        if reservation is None or reservation.step.key not in self._positions:
            return False
        key = reservation.step.key
        # The room that a preemption freed is kept for its winner, whatever ranks before.
        is_held = key in self._placer.preemptions.holds
        return is_held or self._positions[key] < self._positions[self._step.key]

    # The team.

    def _team_standing(self) -> TeamStanding:
        team = self._state.rules.teams.get(self._team)
        limit = team.limit if team is not None else NO_RESOURCES
        shares, used = self._state.shares, self._team_used
        if not shares.is_on:
            return TeamStanding(used, limit)
        return TeamStanding(
            used,
            limit,
            self._step.job.is_beyond_entitlement,
            self._state.entitlements.entitled_jobs(self._team, self._time.store_ms),
            shares.ratio(self._team, (used.cpu, used.memory_mb, used.gpu, 0)),
            shares.past_use.use_s.get(self._team, 0.0),
        )

    def _is_within_limit(self, used: Resources) -> bool:
        team = self._state.rules.teams.get(self._team)
        return team is None or team.allows(used.plus(self._step.spec.least_need))

    # The workers.

    def _select_workers(self) -> Selection:
        set_aside: Counter[str] = Counter()
        usable = []
        for worker in self._state.workers.values():
            if worker.info.service != self._service:
                continue
            reason = self._why_unusable(worker)
            if reason:
                set_aside[reason] += 1
            else:
                usable.append(worker)
        slots = []
        with_room = self._placer.slots_for_step(self._step, usable, self._time.now)
        for slot in with_room:
            if self._is_worker_reserved(slot.worker):
                set_aside[SetAside.RESERVED] += 1
            else:
                slots.append(slot)
        ids_with_room = {slot.worker.worker_id for slot in with_room}
        for worker in usable:
            if worker.worker_id not in ids_with_room:
                has_room = self._step.spec.allocation.fits_into(worker.free)
                set_aside[SetAside.WARMING_UP if has_room else SetAside.NO_ROOM] += 1
        return Selection(slots, set_aside)

    def _why_unusable(self, worker: WorkerState) -> str:
        """Return why a worker takes no task of the step, whatever else runs there, or ''."""
        spec = self._step.spec
        condition = worker_condition(worker, self._time.now)
        checks = (
            (not worker.info.has_label(spec.label), SetAside.NO_LABEL.value),
            (not spec.allocation.fits_into(worker.info.capacity), SetAside.TOO_SMALL.value),
            (condition is not WorkerCondition.USABLE, condition.value),
        )
        return next((reason for applies, reason in checks if applies), "")

    def _describe(self, slot: WorkerSlots) -> CandidateWorker:
        info = slot.worker.info
        return CandidateWorker(
            info.worker_id,
            info.data_centre,
            info.rack,
            slot.worker.free,
            slot.task_count,
            self._state.speeds.worker_slowdown(info.worker_id),
            slot.worker.is_cold(self._time.now),
        )

    # The start.

    def _wait_reason(self, selection: Selection, may_start: bool) -> WaitReason | None:
        """Return why the step would wait, or None if tasks would start now."""
        spec, slots, set_aside = self._step.spec, selection.slots, selection.set_aside
        has_usable = self._workers.has_usable_worker(self._service, spec.label)
        is_gang_blocked = spec.gang and not self._placer.choose_gang_workers(self._step, slots)
        checks = (
            (not may_start, WaitReason.STARTS_PAUSED),
            (
                not has_usable and set_aside[WorkerCondition.EVACUATED] > 0,
                WaitReason.DATA_CENTRE_EMPTIED,
            ),
            (not has_usable, WaitReason.NO_USABLE_WORKER),
            (not self._state.start_window.count_remaining(), WaitReason.START_WINDOW_FULL),
            (self._is_team_limit_reserved(), WaitReason.TEAM_LIMIT_RESERVED),
            (not self._is_within_limit(self._team_used), WaitReason.TEAM_LIMIT),
            (
                not slots and set_aside[SetAside.RESERVED] > 0,
                WaitReason.WORKERS_RESERVED,
            ),
            (not slots, WaitReason.NO_ROOM),
            (is_gang_blocked, WaitReason.NO_ROOM_FOR_GANG),
            (self._state.requires_advice(self._step.job), WaitReason.NO_ADVICE),
        )
        return next((reason for applies, reason in checks if applies), None)

    def _room_within_ms(self) -> float | None:
        horizons = (ms for ms in ROOM_HORIZONS_MS if self._has_room_by(self._time.now + ms))
        return next(horizons, None)

    def _has_room_by(self, by_ms: float) -> bool:
        """Return whether the runs that end by a time leave room for the step."""
        spec, forecast = self._step.spec, self._workers.forecast
        ending = forecast.ending_of_team(self._team, by_ms)
        if not self._is_within_limit(self._team_used.minus(ending)):
            return False
        needed_tasks = spec.count if spec.gang else 1
        max_per_worker = max_tasks_per_worker(spec, needed_tasks)
        fitting_tasks = sum(
            count_fitting_tasks(room.free, spec.allocation, max_per_worker)
            for room in forecast.rooms(self._service, by_ms).most_free_first
            if room.worker.info.has_label(spec.label)
        )
        return fitting_tasks >= needed_tasks
