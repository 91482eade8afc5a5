"""Reserve capacity for work that cannot start yet: gangs, starved tasks and urgent tasks."""

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

# Workers considered when none has enough free capacity; the bound keeps the cost of a reservation
# independent of the number of workers.
MAX_SAMPLED_WORKERS = 32
# A backfilled task that still runs on reserved capacity is stopped this long before the start of
# the reservation.
BACKFILL_STOP_MARGIN_S = 0.5

# Returns the projected end and the resources of each task that runs on a worker.
ProjectedEnds = Callable[[WorkerState], list[tuple[float, ResourceVector]]]


@attrs.define(eq=False)
class ReservedTask:
    """Assign one task of a reservation to a worker."""

    task: Task
    demand: ResourceVector
    worker: WorkerState


@attrs.define(eq=False)
class Reservation:
    """Reserve capacity for all members; `entry` is set when the work comes from a queue.

    `ready` is set when the capacity is complete and the places of all members are acquired.
    """

    job_id: str
    members: list[ReservedTask]
    start_at: float
    expires_at: float
    entry: QueueEntry | None = None
    ready: bool = False

    def is_complete(self) -> bool:
        """Return whether all reserved capacity is free now."""
        return self.has_usable_workers() and all(
            min(subtract(member.worker.free, member.worker.reserved)) >= 0
            for member in self.members
        )

    def has_usable_workers(self) -> bool:
        """Return whether every worker may still be given work."""
        return all(member.worker.is_usable() for member in self.members)

    def as_hold(self) -> Hold:
        """Return the hold that is reported to the caller."""
        workers = {member.task.task_id: member.worker.name for member in self.members}
        return Hold(self.job_id, workers, self.start_at, self.expires_at, self.ready)


class ReservationTable:
    """Keep the reservations of one shard.

    `pending_by_worker` maps workers on which reserved capacity is not free yet to the reservation
    that waits for it, at most one for each worker. `backfilled_tasks` maps each task that runs on
    reserved capacity to the job of the reservation that it may delay.
    """

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
        """Reserve capacity for all tasks or for none, the largest first, and free capacity first.

        With `immediate_only` no capacity is reserved that is still in use.
        """
        members: list[ReservedTask] = []
        start_at = now
        for task, demand in sorted(tasks, key=lambda item: item[1], reverse=True):
            candidates = self._index.find_workers(demand, 1)
            if candidates:
                worker, at = candidates[0], now
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
        """Reserve capacity on a worker for a task for which others are preempted."""
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
        """Remove a reservation and release the capacity that it reserves."""
        del self.by_job[reservation.job_id]
        for member in reservation.members:
            self._index.unreserve(member.worker, member.demand)
            if self.pending_by_worker.get(member.worker.name) is reservation:
                del self.pending_by_worker[member.worker.name]

    def has_backfill_window(self, now: float) -> bool:
        """Return whether any pending reservation starts late enough for a backfilled task."""
        return any(
            reservation.start_at > now + BACKFILL_STOP_MARGIN_S
            for reservation in self.pending_by_worker.values()
        )

    def find_backfill_worker(
        self, demand: ResourceVector, p90_run_s: float, now: float
    ) -> WorkerState | None:
        """Return a worker on which a task would end before the pending reservation starts."""
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
        """Yield and forget backfilled tasks that delay a reservation, with the delayed job."""
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
        for at, released in sorted(self._projected_ends(worker)):
            available = add(available, released)
            if fits(demand, available):
                return max(at, now)
        return inf
