"""Choose the runs to stop for a waiting step, if that wins more work than it throws away."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from baobabhoist.cell.jobs import JobState, Run, RunPhase, StepState
from baobabhoist.cell.model import NO_RESOURCES, Queue, Resources
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.team_entitlements import TeamEntitlements
from baobabhoist.cell.wasted_work import MS_PER_S, count_cores, unsaved_core_s
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker
from baobabhoist.cell.workers import WorkerState

# A stop frees its room within this time.
STOP_MS = 400.0
# Work that a checkpointing task loses at a stop: it has to be restored.
RESTORE_MS = 500.0
# A run without checkpoints that has worked for longer is not stopped.
MAX_UNSAVED_MS = 1_500.0
# A run that ends within this multiple of STOP_MS is left to end.
NEAR_END_STOPS = 2.0
NEAR_END_PERCENT = 80.0
# What is won must be worth this multiple of what is thrown away.
MIN_GAIN_FACTOR = 1.5
# At most this many workers are examined for one step, and this many of its tasks are served.
MAX_EXAMINED_WORKERS = 48
MAX_SERVED_TASKS = 4
FIRST_PRIORITY = 0


@attrs.frozen
class Victim:
    """Hold runs that are stopped together, and what that throws away."""

    job: JobState
    runs: tuple[Run, ...]
    is_expired: bool
    is_beyond_share: bool
    lost_core_s: float

    @property
    def sort_key(self) -> tuple[bool, bool, float]:
        """Return the sort key; the lowest is stopped first."""
        return (not self.is_expired, not self.is_beyond_share, self.lost_core_s)


@attrs.frozen
class Preemption:
    """Hold the victims of a step, the workers with room for its served tasks, and what is won."""

    victims: tuple[Victim, ...]
    workers: tuple[WorkerState, ...]
    served_count: int
    won_core_s: float
    lost_core_s: float


@attrs.frozen
class Preemptor:
    """Decide on preemptions at one time."""

    queue_of: Callable[[JobState], Queue | None]
    now: float
    entitlements: TeamEntitlements

    def choose(
        self, step: StepState, workers: list[WorkerState], served_count: int
    ) -> Preemption | None:
        """Return what to stop so that tasks of a step fit on these workers, or None.

        A gang needs room for all its members at once.
        """
        examined = workers[:MAX_EXAMINED_WORKERS]
        candidates = sorted(self._find_victims(step, examined), key=lambda v: v.sort_key)
        room = FreedRoom(step, examined)
        chosen = _stop_until_served(candidates, room, served_count)
        if not chosen or (step.spec.gang and room.slot_count < served_count):
            return None
        served = min(served_count, room.slot_count)
        chosen = _drop_unneeded(chosen, room, served)
        if not chosen:
            return None
        won = served * count_cores(step.spec.allocation) * step.spec.expected_ms / MS_PER_S
        lost = sum(victim.lost_core_s for victim in chosen)
        if won <= MIN_GAIN_FACTOR * lost:
            return None
        return Preemption(tuple(chosen), tuple(room.workers_with_slots(served)), served, won, lost)

    def may_preempt(self, step: StepState) -> bool:
        """Return whether a step would still be on time once the room is free."""
        is_on_time = timeliness_of(step.job, self.now + STOP_MS) is Timeliness.ON_TIME
        return is_on_time and not step.spec.lasting

    def _find_victims(self, step: StepState, workers: Iterable[WorkerState]) -> list[Victim]:
        seen: set[tuple[StepState, int]] = set()
        victims = []
        for worker in workers:
            for run in worker.runs.values():
                # The members of a gang are one victim.
                key = (run.task.step, run.task.index if not run.task.step.spec.gang else -1)
                if key in seen:
                    continue
                seen.add(key)
                victim = self._as_victim(run, step)
                if victim is not None:
                    victims.append(victim)
        return victims

    def _as_victim(self, run: Run, winner: StepState) -> Victim | None:
        """Return a run, with its whole gang, as a victim of a step unless it must be spared."""
        job, spec = run.task.step.job, run.task.step.spec
        if job is winner.job or job.was_preempted or spec.lasting:
            return None
        runs = _gang_of(run) if spec.gang else (run,)
        if any(self._is_spared(member) for member in runs):
            return None
        is_expired = all(self._is_expired(member) for member in runs)
        if not is_expired and (spec.gang or not self._may_stop_less_urgent(run, winner)):
            return None
        lost = sum(self._lost_core_s(member) for member in runs)
        is_beyond = self.entitlements.is_beyond_entitlement(job)
        return Victim(job, runs, is_expired, is_beyond, lost)

    def _is_spared(self, run: Run) -> bool:
        """Return whether a run is not known to work, has nearly ended or would lose too much."""
        if run.phase is not RunPhase.RUNNING or not run.confirmed_ms:
            return True
        ends_soon = run.expected_end_ms <= self.now + NEAR_END_STOPS * STOP_MS
        if ends_soon or run.progress_percent >= NEAR_END_PERCENT:
            return True
        unsaved_ms = self.now - max(run.confirmed_ms, run.unsaved_since_ms)
        return not run.task.step.spec.checkpoints and unsaved_ms > MAX_UNSAVED_MS

    def _is_expired(self, run: Run) -> bool:
        """Return whether the job of a run is worth nothing any more, even if the run goes on."""
        limit_ms = run.task.step.job.late_limit_ms
        if run.expected_end_ms == float("inf"):
            return self.now > limit_ms
        return max(self.now, run.expected_end_ms) > limit_ms

    def _may_stop_less_urgent(self, run: Run, winner: StepState) -> bool:
        """Return whether a run whose job still has value may be stopped for a more urgent step.

        The step must have the first priority and be within the entitlement of its team, and the
        job of the run must stay as timely as it is.
        """
        if self.entitlements.is_beyond_entitlement(winner.job):
            return False
        queue, own = self.queue_of(winner.job), self.queue_of(run.task.step.job)
        if queue is None or own is None or queue.priority != FIRST_PRIORITY:
            return False
        if own.priority <= queue.priority:
            return False
        job = run.task.step.job
        restart_ms = self.now + STOP_MS + winner.spec.expected_ms + RESTORE_MS
        return timeliness_of(job, restart_ms) is timeliness_of(job, self.now)

    def _lost_core_s(self, run: Run) -> float:
        if not run.task.step.spec.checkpoints:
            return unsaved_core_s(run, self.now + STOP_MS)
        # The stop saves its work.
        return (STOP_MS + RESTORE_MS) / MS_PER_S * count_cores(run.allocation)


class FreedRoom:
    """Count the tasks of a step that fit on some workers while victims are added or removed."""

    def __init__(self, step: StepState, workers: Iterable[WorkerState]) -> None:
        self._step = step
        self._workers = {worker.worker_id: worker for worker in workers}
        self._freed: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
        self._slots = {worker_id: self._count(worker_id) for worker_id in self._workers}
        self.slot_count = sum(self._slots.values())

    def add(self, victim: Victim) -> int:
        """Free the room of a victim; return how many more tasks fit."""
        return self._change(victim, Resources.plus)

    def remove(self, victim: Victim) -> int:
        """Take back the room of a victim; return how many fewer tasks fit, as a negative count."""
        return self._change(victim, Resources.minus)

    def workers_with_slots(self, count: int) -> list[WorkerState]:
        """Return workers with room for a number of tasks, those with freed room first."""
        ordered = sorted(self._slots, key=lambda worker_id: worker_id not in self._freed)
        chosen = []
        for worker_id in ordered:
            if count <= 0:
                break
            if self._slots[worker_id]:
                chosen.append(self._workers[worker_id])
                count -= self._slots[worker_id]
        return chosen

    def _change(self, victim: Victim, combine: Callable[[Resources, Resources], Resources]) -> int:
        before = self.slot_count
        for run in victim.runs:
            worker_id = run.worker_id
            if worker_id not in self._workers:
                continue
            self._freed[worker_id] = combine(self._freed[worker_id], run.allocation)
            if self._freed[worker_id] == NO_RESOURCES:
                del self._freed[worker_id]
            slots = self._count(worker_id)
            self.slot_count += slots - self._slots[worker_id]
            self._slots[worker_id] = slots
        return self.slot_count - before

    def _count(self, worker_id: str) -> int:
        worker, step = self._workers[worker_id], self._step
        free = worker.free.plus(self._freed.get(worker_id, NO_RESOURCES))
        max_count = max_tasks_per_worker(step.spec, step.waiting_count)
        if step.spec.most_per_worker:
            max_count -= step.count_tasks_on(worker_id)
        return count_fitting_tasks(free, step.spec.allocation, max_count)


def _gang_of(run: Run) -> tuple[Run, ...]:
    members = (task.run for task in run.task.step.tasks)
    return tuple(member for member in members if member is not None)


def _stop_until_served(
    candidates: list[Victim], room: FreedRoom, served_count: int
) -> list[Victim]:
    chosen: list[Victim] = []
    for victim in candidates:
        if room.slot_count >= served_count:
            break
        room.add(victim)
        chosen.append(victim)
    return chosen


def _drop_unneeded(chosen: list[Victim], room: FreedRoom, served: int) -> list[Victim]:
    """Return the victims that are needed for the served tasks; drop the most costly first."""
    kept = []
    for victim in reversed(chosen):
        room.remove(victim)
        if room.slot_count < served:
            room.add(victim)
            kept.append(victim)
    return kept
