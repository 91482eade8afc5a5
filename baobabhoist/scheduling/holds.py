"""Reserve capacity for gangs and starved work, and start the work when all of it is free."""

from __future__ import annotations

from math import inf

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Task
from baobabhoist.scheduling.queues import QueueEntry, Subqueue
from baobabhoist.scheduling.reservations import Reservation
from baobabhoist.scheduling.results import Hold, Placement
from baobabhoist.scheduling.state import SchedulerState

HOLD_TIMEOUT_S = 60.0
# A worker is partly idle while capacity on it is collected for a reservation, so only this
# fraction of the workers may have a pending reservation.
MAX_PENDING_WORKER_FRACTION = 0.125
# Work of a team above its share counts as starved only after this many times the usual bound; an
# earlier reservation would take capacity from teams below their share.
OVER_SHARE_WAIT_FACTOR = 10.0


class HoldScheduler(SchedulerState):
    """Manage the holds of one shard, requested by a job coordinator or by the shard's queues."""

    def hold(
        self, job_id: str, tasks: list[Task], now: float, expires_at: float | None = None
    ) -> Hold | Refusal:
        """Reserve capacity for tasks that must start together, or return the state of the hold."""
        self._now = now
        reservation = self.reservations.by_job.get(job_id)
        if reservation is None:
            refusal = self._refuse_if_too_large(tasks)
            if refusal is not None:
                return refusal
            demands = [(task, self._demand_of(task)) for task in tasks]
            reservation = self.reservations.reserve(
                job_id, demands, now, expires_at or now + HOLD_TIMEOUT_S
            )
            if reservation is None:
                return _no_capacity_refusal(
                    "the workers will not all be free before the hold expires"
                )
        if not reservation.ready and reservation.is_complete():
            refusal = self._acquire_places(reservation)
            if refusal is not None:
                self._end_reservation(reservation)
                return refusal
            reservation.ready = True
        return reservation.as_hold()

    def commit_hold(self, job_id: str, now: float) -> list[Placement] | Refusal:
        """Place the tasks of a ready hold on their workers."""
        reservation = self.reservations.by_job.get(job_id)
        if reservation is None or reservation.entry is not None:
            return Refusal(
                ErrorKind.NOT_FOUND,
                f"there is no hold for job {job_id}",
                remedy="hold the capacity again",
            )
        if now >= reservation.expires_at:
            self._end_reservation(reservation)
            return _no_capacity_refusal(f"the hold for job {job_id} has expired")
        if not reservation.ready or not reservation.is_complete():
            return _no_capacity_refusal(f"the hold for job {job_id} is not complete")
        return self._bind_all(reservation, now)

    def release_hold(self, job_id: str) -> bool:
        """Release a hold, and return whether there was one."""
        reservation = self.reservations.by_job.get(job_id)
        if reservation is None or reservation.entry is not None:
            return False
        self._end_reservation(reservation)
        return True

    def _acquire_places(self, reservation: Reservation) -> Refusal | None:
        acquired: list[str] = []
        for member in reservation.members:
            task = member.task
            refusal = self.places.acquire(task.team, task.task_id, member.worker.name)
            if refusal is not None:
                for task_id in acquired:
                    self.places.release(task_id)
                return refusal
            acquired.append(task.task_id)
        self._holds_with_places.add(reservation.job_id)
        return None

    def _end_reservation(self, reservation: Reservation) -> None:
        self.reservations.remove(reservation)
        if reservation.job_id in self._holds_with_places:
            self._holds_with_places.remove(reservation.job_id)
            for member in reservation.members:
                self.places.release(member.task.task_id)
        entry = reservation.entry
        if entry is not None and entry.subqueue is not None and entry.has_reservation:
            self.queues.requeue(entry, self._now)
        for member in reservation.members:
            self.queues.unblock_fitting(member.worker.allocatable, member.worker)

    def _bind_all(self, reservation: Reservation, now: float) -> list[Placement]:
        self.reservations.remove(reservation)
        self._holds_with_places.discard(reservation.job_id)
        return [self._bind(m.task, m.demand, m.worker, now) for m in reservation.members]

    def _commit_entry(self, reservation: Reservation, now: float, batch: list[Placement]) -> None:
        entry = reservation.entry
        assert entry is not None
        if (
            reservation.job_id not in self._holds_with_places
            and self._acquire_places(reservation) is not None
        ):
            subqueue = entry.subqueue
            self._end_reservation(reservation)
            if subqueue is not None:
                self._handle_missing_places(subqueue, entry, now)
            return
        self.queues.remove(entry)
        batch.extend(self._bind_all(reservation, now))

    def _handle_missing_places(self, subqueue: Subqueue, entry: QueueEntry, now: float) -> None:
        """Keep the team's other work waiting for a time, so that a starved gang gets its places.

        The team's other work is paused for at most `HOLD_TIMEOUT_S`, and not paused again for this
        gang until as much time has passed.
        """
        if now >= entry.team_paused_at + 2 * HOLD_TIMEOUT_S or entry.team_paused_at == inf:
            is_starved = entry.waited_s(now) >= self._queue_policy(subqueue.queue).reserve_after_s
            entry.team_paused_at = now if is_starved else inf
        if entry.team_paused_at <= now < entry.team_paused_at + HOLD_TIMEOUT_S:
            self.queues.mark_limited(subqueue.team)
        else:
            self.queues.skip_until_refresh(subqueue)

    def _commit_complete_holds(self, now: float, batch: list[Placement]) -> None:
        self._holds_need_check = False
        for reservation in list(self.reservations.by_job.values()):
            if now >= reservation.expires_at or not reservation.has_usable_workers():
                self._end_reservation(reservation)
            elif reservation.entry is not None and reservation.is_complete():
                self._commit_entry(reservation, now, batch)

    def _reserve_for_starved(self, heads: list[tuple[Subqueue, QueueEntry]], now: float) -> None:
        max_pending = max(1, int(MAX_PENDING_WORKER_FRACTION * len(self.index.workers)))
        if len(self.reservations.pending_by_worker) >= max_pending:
            return
        starved = []
        for subqueue, entry in heads:
            bound_s, waited_s = (
                self._queue_policy(subqueue.queue).reserve_after_s,
                entry.waited_s(now),
            )
            lacks_capacity = (
                subqueue.size_class.blocked_demand is not None or len(entry.members) > 1
            )
            if waited_s < bound_s or not lacks_capacity or self.queues.is_limited(subqueue):
                continue
            rank = self._rank(subqueue, entry, now)
            if rank <= 1.0 or waited_s >= OVER_SHARE_WAIT_FACTOR * bound_s:
                starved.append((rank, entry.seq, entry))
        for _, _, entry in sorted(starved):
            demands = [(task, self._demand_of(task)) for task in entry.members]
            expires_at = min(now + 2 * HOLD_TIMEOUT_S, entry.task.deadline)
            if (
                self.reservations.reserve(entry.task.task_id, demands, now, expires_at, entry)
                is not None
            ):
                entry.has_reservation = True
                self._holds_need_check = True
            if len(self.reservations.pending_by_worker) >= max_pending:
                return


def _no_capacity_refusal(message: str) -> Refusal:
    return Refusal(
        ErrorKind.NO_CAPACITY,
        message,
        remedy="hold the capacity again later",
        retry_after_s=1.0,
    )
