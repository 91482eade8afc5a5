"""Place waiting tasks on workers and request the placement advice that they need."""

from __future__ import annotations

import logging
from collections import Counter

import attrs

from baobabhoist.cell.advice_requests import AdviceRequester
from baobabhoist.cell.cold_workers import cold_cost, limit_cold_slots
from baobabhoist.cell.gang_forecast import forecast_limit_start, latest_useful_start_ms
from baobabhoist.cell.gang_pace import assign_paced_gang
from baobabhoist.cell.jobs import StepState, TaskState
from baobabhoist.cell.model import JobPhase, Resources
from baobabhoist.cell.preemptions import ROOM_REASONS, Preemptions
from baobabhoist.cell.ranking import (
    Rank,
    RankedStep,
    Timeliness,
    rank_step,
    sort_by_rank,
    timeliness_of,
)
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.speed_matching import slowdown_tolerance, speed_cost
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import WorkerSlots, assign_gang, assign_tasks, find_slots
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_crash

log = logging.getLogger(__name__)

REMOTE_RACK_COST = 0.5
# Makes tasks avoid a worker on which a task of their step failed, if there is another.
PREVIOUS_FAILURE_COST = 2.0


@attrs.define
class TaskPlacer:
    """Place the waiting tasks of one cell; call `place_waiting_steps` after any change."""

    state: CellState
    advice: AdviceRequester = attrs.Factory(
        lambda self: AdviceRequester(self.state), takes_self=True
    )
    reservations: Reservations = attrs.Factory(
        lambda self: Reservations(
            self.state.expected_run_ms,
            self.state.is_team_half_used,
            self.state.policy.backfills,
        ),
        takes_self=True,
    )
    preemptions: Preemptions = attrs.Factory(lambda self: Preemptions(self.state), takes_self=True)

    def place_waiting_steps(self, now: float, may_start: bool) -> None:
        """Start the tasks that fit and request advice for those that still wait."""
        waiting_steps = [step for step in self.state.ready_steps.values() if step.waiting_count]
        self.advice.begin_round(now)
        returning_steps = self.advice.returning_steps()
        if waiting_steps or returning_steps:
            self._place_ranked(waiting_steps, returning_steps, now, may_start)
        else:
            self.state.start_backlog.record_round(0, 0, now)

    def _place_ranked(
        self,
        waiting_steps: list[StepState],
        returning_steps: list[StepState],
        now: float,
        may_start: bool,
    ) -> None:
        start_delay_ms = self.state.start_delay.expected_ms
        worker_index = WorkerIndex(self.state.workers.values(), now, start_delay_ms)
        self.reservations.clear(now)
        self.preemptions.reserve_held_room(self.reservations, now)
        self.state.start_window.refresh()
        starting_before = self.state.start_window.starting_count
        held_back_tasks = 0
        for position, step in enumerate(self._sort(waiting_steps, worker_index, now)):
            try:
                self._place_or_wait(step, position, worker_index, now, may_start)
            except Exception as exc:
                self._give_up(step, exc, now)
            if step.wait_reason is WaitReason.START_WINDOW_FULL:
                held_back_tasks += step.waiting_count
        for position, step in enumerate(returning_steps, len(waiting_steps)):
            try:
                self.advice.request(step, position, worker_index, self.reservations, now)
            except Exception as exc:
                self._give_up(step, exc, now)
        starts = self.state.start_window.starting_count - starting_before
        self.state.start_backlog.record_round(starts, held_back_tasks, now)

    def _sort(
        self, waiting_steps: list[StepState], worker_index: WorkerIndex, now: float
    ) -> list[StepState]:
        """Return the steps by rank; a job that can't be ranked is given up."""
        shares = self.state.shares.begin_round(
            waiting_steps,
            self.state.team_usage,
            lambda step: worker_index.has_usable_worker(
                self.state.service_of(step.job), step.spec.label
            ),
        )
        ranked: list[RankedStep] = []
        for number, step in enumerate(waiting_steps):
            try:
                ranked.append(RankedStep(self._rank(step, now), number, step))
            except Exception as exc:
                self._give_up(step, exc, now)
        return sort_by_rank(ranked, shares)

    def _place_or_wait(
        self,
        step: StepState,
        position: int,
        worker_index: WorkerIndex,
        now: float,
        may_start: bool,
    ) -> None:
        """Start the tasks of a step that fit, and request advice for those that still wait."""
        step.job.mark_idle(now)
        max_free_cpu = worker_index.max_free_cpu(self.state.service_of(step.job))
        if not may_start or step.spec.allocation.cpu > max_free_cpu:
            step.wait_reason = _reason_without_cpu(max_free_cpu, may_start)
        elif not self.state.start_window.remaining:
            step.wait_reason = WaitReason.START_WINDOW_FULL
        else:
            step.wait_reason = self._place_step(step, worker_index, now)
        if may_start and step.wait_reason in ROOM_REASONS:
            self._preempt(step, worker_index, now)
        if step.waiting_count:
            if step.waiting_since_ms is None:
                step.waiting_since_ms = now
            decision = self.advice.request(step, position, worker_index, self.reservations, now)
            step.wait_account.record(step.wait_reason, decision, now)
        else:
            step.wait_account.record(None, None, now)

    def _preempt(self, step: StepState, worker_index: WorkerIndex, now: float) -> None:
        """Stop other runs for a step that finds no room, if the policy allows it."""
        if self.state.policy.preempts:
            self.preemptions.preempt_for(
                step,
                lambda: self.startable_workers(step, worker_index),
                self.reservations,
                now,
            )

    def _give_up(self, step: StepState, exc: Exception, now: float) -> None:
        """Fail a job that makes the scheduler raise: it would end each owner in turn."""
        job = step.job
        emit(log, Event.JOB_GIVEN_UP, job=job.job_id, step=step.key.step, detail=repr(exc))
        log_crash(f"placing job {job.job_id}", exc)
        self.state.ready_steps.pop(step.key, None)
        self.state.finish_job(job, JobPhase.FAILED, now, "it makes the scheduler fail")

    def _rank(self, step: StepState, now: float) -> Rank:
        is_beyond = self.state.entitlements.is_beyond_entitlement(step.job)
        return rank_step(step, self.state.queue_of(step.job), is_beyond, now)

    def _place_step(
        self, step: StepState, worker_index: WorkerIndex, now: float
    ) -> WaitReason | None:
        """Start the tasks of a step that fit; return why others wait, or None if none does."""
        spec = step.spec
        if spec.gang and step.waiting_count < step.unfinished_count:
            return WaitReason.GANG_RUN_ENDING
        team = step.job.accepted.team
        if not self.reservations.is_team_limit_available(team, step):
            return WaitReason.TEAM_LIMIT_RESERVED
        need = _min_need(step)
        if not self.state.is_within_team_limit(step.job, need):
            if spec.gang and self._may_reserve_team_limit(step, need, now):
                self._reserve_team_limit(step, now)
            return WaitReason.TEAM_LIMIT
        startable = self.startable_workers(step, worker_index)
        candidates = self._without_reserved(startable, step)
        if not candidates and not spec.gang:
            return WaitReason.WORKERS_RESERVED if startable else WaitReason.NO_STARTABLE_WORKER
        if spec.gang:
            slots = self.slots_for_step(step, candidates, now)
            if not self._place_gang(step, slots, worker_index, now):
                return WaitReason.NO_ROOM_IN_TIME
        else:
            self._place_tasks(step, candidates, worker_index, now)
        if not step.waiting_count:
            return None
        if not spec.gang and all(t.crash_blame.is_suspect for t in step.waiting_tasks()):
            return WaitReason.NO_QUIET_WORKER
        if not self.state.start_window.remaining:
            return WaitReason.START_WINDOW_FULL
        if not self.state.is_within_team_limit(step.job, need):
            return WaitReason.TEAM_LIMIT
        return self._reason_without_slots(step, startable)

    def slots_for_step(
        self, step: StepState, candidates: list[WorkerState], now: float
    ) -> list[WorkerSlots]:
        """Return the candidates on which a task of a step fits now, the best first."""
        ratio = self.state.speeds.duration_ratio(step.job.accepted.queue)
        tolerance = slowdown_tolerance(step.job, ratio, now)
        slots = find_slots(
            candidates,
            step.spec,
            step.waiting_count,
            _tasks_by_worker(step),
            lambda w: self._placement_cost(w, step, tolerance) + cold_cost(w, now),
        )
        if not self.state.has_cold_workers(now):
            return slots
        limited = limit_cold_slots(slots, now)
        # A gang starts at once or not at all.
        is_too_few = sum(slot.task_count for slot in limited) < step.waiting_count
        return slots if step.spec.gang and is_too_few else limited

    def _place_tasks(
        self,
        step: StepState,
        candidates: list[WorkerState],
        worker_index: WorkerIndex,
        now: float,
    ) -> None:
        """Start the tasks that fit, those that are suspected to crash their worker first."""
        tasks = list(step.waiting_tasks())
        suspects = [task for task in tasks if task.crash_blame.is_suspect]
        if suspects:
            self._place_suspects(step, suspects, candidates, worker_index, now)
            tasks = [task for task in tasks if not task.crash_blame.is_suspect]
            candidates = [worker for worker in candidates if not worker.is_isolated]
        task_count = min(len(tasks), self.state.start_window.remaining)
        chosen = assign_tasks(self.slots_for_step(step, candidates, now), task_count)
        for task, worker in zip(tasks, chosen, strict=False):
            if not self._start(task, worker, now):
                return

    def _place_suspects(
        self,
        step: StepState,
        suspects: list[TaskState],
        candidates: list[WorkerState],
        worker_index: WorkerIndex,
        now: float,
    ) -> None:
        """Start tasks that may crash their worker, each alone: another crash then tells more."""
        quiet = [worker for worker in candidates if not worker.has_young_run()]
        chosen = [slot.worker for slot in self.slots_for_step(step, quiet, now)]
        count = min(len(suspects), self.state.start_window.remaining)
        for task, worker in zip(suspects[:count], chosen, strict=False):
            if not self._start(task, worker, now):
                return
            worker.isolated_run = task.run
            worker_index.withdraw(worker)

    def _start(self, task: TaskState, worker: WorkerState, now: float) -> bool:
        """Start a task on a worker if the limit of its team allows it."""
        if not self.state.is_within_team_limit(task.step.job, task.step.spec.need):
            return False
        self.state.start_run(task, worker, self.state.next_run_number([task]), now)
        return True

    def _reserve_team_limit(self, step: StepState, now: float) -> None:
        """Reserve the rest of a team's limit for a gang unless it could only start in vain."""
        team = self.state.team_of(step.job)
        if team is None or team.name in self.reservations.by_team:
            return
        start_ms, latest_ms = now, latest_useful_start_ms(step.job, now)
        if self.state.policy.backfills:
            used = self.state.team_usage[team.name]
            start_ms = self.reservations.limit_start_ms(
                step,
                latest_ms,
                lambda: forecast_limit_start(step, team, used, self.state.runs_of(team), now),
            )
        if start_ms <= latest_ms:
            self.reservations.reserve_team_limit(team.name, step, start_ms)

    def _may_reserve_team_limit(self, step: StepState, need: Resources, now: float) -> bool:
        """Return whether a gang could fit into its team's limit and still has value."""
        team = self.state.team_of(step.job)
        could_fit = team is not None and team.allows(need)
        return could_fit and timeliness_of(step.job, now) is not Timeliness.EXPIRED

    def _place_gang(
        self, step: StepState, slots: list[WorkerSlots], worker_index: WorkerIndex, now: float
    ) -> bool:
        """Start a gang or reserve workers for it; return False if it is given up."""
        members = list(step.waiting_tasks())
        chosen = self.choose_gang_workers(step, slots)
        if not chosen:
            if self.reservations.is_full:
                return True
            approved = self.approved_workers(step, worker_index)
            latest_ms = latest_useful_start_ms(step.job, now)
            return self.reservations.reserve_workers(step, approved, latest_ms)
        run_number = self.state.next_run_number(members)
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        for task, worker in zip(members, chosen, strict=True):
            task.checkpoint = checkpoint
            self.state.start_run(task, worker, run_number, now)
        return True

    def choose_gang_workers(self, step: StepState, slots: list[WorkerSlots]) -> list[WorkerState]:
        """Return a worker for each member of a gang, or an empty list unless all fit at once."""
        count, same_rack = step.waiting_count, step.spec.same_rack
        if not self.state.policy.tracks_pace:
            return assign_gang(slots, count, same_rack)
        speeds = self.state.speeds
        return assign_paced_gang(
            slots, count, same_rack, lambda worker: speeds.worker_slowdown(worker.worker_id)
        )

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerance: float) -> float:
        """Return the cost of a worker for a step; the worker with the lowest cost is chosen."""
        cost = speed_cost(self.state.speeds.worker_slowdown(worker.worker_id), tolerance)
        if step.spec.data_rack and worker.info.rack != step.spec.data_rack:
            cost += REMOTE_RACK_COST
        if worker.worker_id in step.failed_worker_ids:
            cost += PREVIOUS_FAILURE_COST
        # Best fit: prefer the fuller of equal workers, so that large tasks still find space.
        capacity = max(1, worker.info.capacity.cpu)
        return cost + 0.1 * worker.free_cpu / capacity

    # Candidate workers.

    def startable_workers(self, step: StepState, worker_index: WorkerIndex) -> list[WorkerState]:
        """Return the workers on which a task of the step may start now, capacity aside."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.requires_advice(step.job):
            workers = worker_index.workers_with_ticket(step, service, label)
            if self.state.policy.forecasts_advice:
                # Of equally suitable workers the first is chosen.
                workers.sort(key=lambda w: step.approvals.tickets[w.worker_id].expires_ms)
            return workers
        return worker_index.usable_workers(service, label)

    def approved_workers(self, step: StepState, worker_index: WorkerIndex) -> list[WorkerState]:
        """Return the usable workers that may run the step, even without a valid ticket."""
        service, label = self.state.service_of(step.job), step.spec.label
        if self.state.requires_advice(step.job):
            return worker_index.approved_workers(step, service, label)
        return worker_index.usable_workers(service, label)

    def _reason_without_slots(self, step: StepState, startable: list[WorkerState]) -> WaitReason:
        """Return why no worker could take the waiting tasks of a step."""
        if not startable:
            return WaitReason.NO_STARTABLE_WORKER
        if self.reservations.holds_capacity_from(step, startable):
            return WaitReason.WORKERS_RESERVED
        if step.spec.gang:
            return WaitReason.NO_ROOM_FOR_GANG
        if self.state.requires_advice(step.job):
            return WaitReason.NO_ROOM_WITH_TICKET
        return WaitReason.NO_ROOM

    def _without_reserved(self, workers: list[WorkerState], step: StepState) -> list[WorkerState]:
        return [w for w in workers if self.reservations.is_worker_available(w, step)]


def _min_need(step: StepState) -> Resources:
    """Return the resources of the fewest tasks of a step that may start at once."""
    return step.spec.need.times(step.waiting_count if step.spec.gang else 1)


def _reason_without_cpu(max_free_cpu: int, may_start: bool) -> WaitReason:
    if not may_start:
        return WaitReason.STARTS_PAUSED
    return WaitReason.NO_USABLE_WORKER if max_free_cpu < 0 else WaitReason.NO_ROOM


def _tasks_by_worker(step: StepState) -> Counter[str]:
    """Return how many tasks of a step each worker runs, if the step limits this number."""
    if not step.spec.most_per_worker:
        return Counter()
    return Counter(task.run.worker_id for task in step.tasks if task.run is not None)
