"""Hold capacity for work that cannot start yet: gangs, starved and urgent work."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf

import attrs

from baobabhoist.model import Task
from baobabhoist.scheduling.capacity import (
    CapacityIndex,
    ResourceVector,
    WorkerState,
    add,
    fits,
    subtract,
)
from baobabhoist.scheduling.queues import QueueEntry
from baobabhoist.scheduling.results import Hold

# Workers looked at when capacity has to be collected; a bound keeps planning independent of
# the number of workers.
MAX_SAMPLED_WORKERS = 32
# Work that still uses held capacity is stopped this long before the promised start.
BACKFILL_STOP_MARGIN_S = 0.5

# Yields (projected end, amount) of what runs on a worker.
ProjectedEnds = Callable[[WorkerState], list[tuple[float, ResourceVector]]]


@attrs.define(eq=False)
class ReservedTask:
    """Bind one task of a hold to the worker that is held for it."""

    task: Task
    demand: ResourceVector
    worker: WorkerState


@attrs.define(eq=False)
class Reservation:
    """Hold capacity for all members; `entry` is set when the work comes from a queue."""

    job_id: str
    members: list[ReservedTask]
    start_at: float
    expires_at: float
    entry: QueueEntry | None = None
    ready: bool = False

    def is_complete(self) -> bool:
        """Tell whether everything that is held is free now."""
        return self.has_usable_workers() and all(
            min(subtract(member.worker.free, member.worker.reserved)) >= 0
            for member in self.members
        )

    def has_usable_workers(self) -> bool:
        """Tell whether every worker may still be given work."""
        return all(member.worker.is_usable() for member in self.members)

    def as_hold(self) -> Hold:
        """Return what the caller sees."""
        workers = {member.task.task_id: member.worker.name for member in self.members}
        return Hold(self.job_id, workers, self.start_at, self.expires_at, self.ready)


class ReservationTable:
    """Keep the reservations of one owner; a worker collects capacity for one at a time."""

    def __init__(self, index: CapacityIndex, ends: ProjectedEnds) -> None:
        self.by_job: dict[str, Reservation] = {}
        self.pending_by_worker: dict[str, Reservation] = {}
        self.backfilled_tasks: dict[str, str] = {}
        self._index = index
        self._projected_ends = ends

    def reserve(
        self,
        job_id: str,
        tasks: list[tuple[Task, ResourceVector]],
        now: float,
        expires_at: float,
        entry: QueueEntry | None = None,
        immediate_only: bool = False,
    ) -> Reservation | None:
        """Reserve for all tasks or for none; largest first, on free capacity if there is any."""
        members: list[ReservedTask] = []
        start_at = now
        for task, demand in sorted(tasks, key=lambda item: item[1], reverse=True):
            found = self._index.find_workers(demand, 1)
            if found:
                worker, at = found[0], now
            elif immediate_only:
                worker, at = None, inf
            else:
                worker, at = self._find_earliest_worker(demand, now, members)
            if worker is None or at > expires_at:
                for member in members:
                    self._index.unreserve(member.worker, member.demand)
                return None
            self._index.reserve(worker, demand)
            members.append(ReservedTask(task, demand, worker))
            start_at = max(start_at, at)
        reservation = Reservation(job_id, members, start_at, expires_at, entry)
        self._add(reservation)
        return reservation

    def reserve_on(
        self,
        worker: WorkerState,
        entry: QueueEntry,
        demand: ResourceVector,
        now: float,
        expires_at: float,
    ) -> Reservation:
        """Reserve one worker for a task for which others make available."""
        self._index.reserve(worker, demand)
        members = [ReservedTask(entry.task, demand, worker)]
        reservation = Reservation(entry.task.task_id, members, now, expires_at, entry)
        self._add(reservation)
        return reservation

    def _add(self, reservation: Reservation) -> None:
        self.by_job[reservation.job_id] = reservation
        if not reservation.is_complete():
            for member in reservation.members:
                if min(subtract(member.worker.free, member.worker.reserved)) < 0:
                    self.pending_by_worker[member.worker.name] = reservation

    def remove(self, reservation: Reservation) -> None:
        """Drop a reservation and what it holds."""
        del self.by_job[reservation.job_id]
        for member in reservation.members:
            self._index.unreserve(member.worker, member.demand)
            if self.pending_by_worker.get(member.worker.name) is reservation:
                del self.pending_by_worker[member.worker.name]

    def has_backfill_window(self, now: float) -> bool:
        """Tell whether some held start is far enough ahead for other work."""
        return any(
            reservation.start_at > now + BACKFILL_STOP_MARGIN_S
            for reservation in self.pending_by_worker.values()
        )

    def find_backfill_worker(
        self, demand: ResourceVector, p90_run_s: float, now: float
    ) -> WorkerState | None:
        """Return a collecting worker where a task would end before the held start."""
        for name, reservation in self.pending_by_worker.items():
            worker = self._index.workers[name]
            if (
                now + p90_run_s + BACKFILL_STOP_MARGIN_S < reservation.start_at
                and worker.is_usable()
                and fits(demand, worker.free)
            ):
                return worker
        return None

    def take_overdue_backfills(self, now: float) -> Iterator[tuple[str, str]]:
        """Yield backfilled tasks that would delay a held start, with the job they delay."""
        for task_id, job_id in list(self.backfilled_tasks.items()):
            reservation = self.by_job.get(job_id)
            if reservation is None:
                del self.backfilled_tasks[task_id]
            elif now + BACKFILL_STOP_MARGIN_S >= reservation.start_at:
                del self.backfilled_tasks[task_id]
                yield task_id, job_id

    def _find_earliest_worker(
        self, demand: ResourceVector, now: float, members: list[ReservedTask]
    ) -> tuple[WorkerState | None, float]:
        own_workers = {member.worker.name for member in members}
        best, best_at = None, inf
        for worker in self._index.sample_workers(max(MAX_SAMPLED_WORKERS, 2 * len(members))):
            if not worker.is_usable() or (
                worker.name in self.pending_by_worker and worker.name not in own_workers
            ):
                continue
            at = self._available_at(worker, demand, now)
            if at < best_at:
                best, best_at = worker, at
        return best, best_at

    def _available_at(self, worker: WorkerState, demand: ResourceVector, now: float) -> float:
        available = subtract(worker.free, worker.reserved)
        if not fits(add(demand, worker.reserved), worker.capacity):
            return inf
        for at, amount in sorted(self._projected_ends(worker)):
            available = add(available, amount)
            if fits(demand, available):
                return max(at, now)
        return inf
