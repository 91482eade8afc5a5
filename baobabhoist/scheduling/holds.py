"""Hold capacity for gangs and starved work, and start it when the hold is complete."""

from __future__ import annotations

from math import inf

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Task
from baobabhoist.scheduling.queues import Lane, QueueEntry
from baobabhoist.scheduling.reservations import Reservation
from baobabhoist.scheduling.results import Hold, Placement
from baobabhoist.scheduling.state import SchedulerState

HOLD_S = 60.0
# Collecting capacity leaves some of it idle, so only this part of the workers may do it at once.
MAX_COLLECTING_FRACTION = 0.125
# Work of a team above its share waits for its turn; it counts as starved only after this many
# times the bound, because a reservation before that would take capacity from teams below theirs.
OVER_SHARE_FACTOR = 10.0


class HoldScheduler(SchedulerState):
    """Keep the holds of one owner, asked for by a job coordinator or by its own queues."""

    def hold(
        self, job_id: str, tasks: list[Task], now: float, expires_at: float | None = None
    ) -> Hold | Refusal:
        """Hold capacity for tasks that must start together, or return the state of the hold."""
        self._now = now
        found = self.reservations.by_job.get(job_id)
        if found is None:
            refusal = self._never_fits(tasks)
            if refusal is not None:
                return refusal
            needs = [(task, self._need(task)) for task in tasks]
            found = self.reservations.plan(job_id, needs, now, expires_at or now + HOLD_S)
            if found is None:
                return _no_capacity("the workers cannot be free together before the hold ends")
        if not found.ready and found.complete():
            refusal = self._take_places(found)
            if refusal is not None:
                self._end_reservation(found)
                return refusal
            found.ready = True
        return found.as_hold()

    def commit_hold(self, job_id: str, now: float) -> list[Placement] | Refusal:
        """Start the tasks of a ready hold."""
        found = self.reservations.by_job.get(job_id)
        if found is None or found.entry is not None:
            return Refusal(
                ErrorKind.NOT_FOUND,
                f"there is no hold for job {job_id}",
                remedy="hold the capacity again",
            )
        if now >= found.expires_at:
            self._end_reservation(found)
            return _no_capacity(f"the hold for job {job_id} has ended")
        if not found.ready or not found.complete():
            return _no_capacity(f"the hold for job {job_id} is not complete")
        return self._bind_all(found, now)

    def release_hold(self, job_id: str) -> bool:
        """Drop a hold; tell whether there was one."""
        found = self.reservations.by_job.get(job_id)
        if found is None or found.entry is not None:
            return False
        self._end_reservation(found)
        return True

    def _take_places(self, reservation: Reservation) -> Refusal | None:
        taken: list[str] = []
        for member in reservation.members:
            task = member.task
            refusal = self.places.acquire(task.team, task.task_id, member.worker.name)
            if refusal is not None:
                for task_id in taken:
                    self.places.release(task_id)
                return refusal
            taken.append(task.task_id)
        self._placed_holds.add(reservation.job_id)
        return None

    def _end_reservation(self, reservation: Reservation) -> None:
        self.reservations.end(reservation)
        if reservation.job_id in self._placed_holds:
            self._placed_holds.remove(reservation.job_id)
            for member in reservation.members:
                self.places.release(member.task.task_id)
        entry = reservation.entry
        if entry is not None and entry.lane is not None and entry.held:
            self.queues.requeue(entry, self._now)
        for member in reservation.members:
            self.queues.grew(member.worker.room, member.worker)

    def _bind_all(self, reservation: Reservation, now: float) -> list[Placement]:
        self.reservations.end(reservation)
        self._placed_holds.discard(reservation.job_id)
        return [self._bind(m.task, m.need, m.worker, now) for m in reservation.members]

    def _commit_queued(self, found: Reservation, now: float, batch: list[Placement]) -> None:
        entry = found.entry
        assert entry is not None
        if found.job_id not in self._placed_holds and self._take_places(found) is not None:
            lane = entry.lane
            self._end_reservation(found)
            if lane is not None:
                self._no_places(lane, entry, now)
            return
        self.queues.remove(entry)
        batch.extend(self._bind_all(found, now))

    def _no_places(self, lane: Lane, entry: QueueEntry, now: float) -> None:
        """Let the team's places collect for a gang that has waited long, for a limited time."""
        if now >= entry.drain_from + 2 * HOLD_S or entry.drain_from == inf:
            starved = entry.waited_s(now) >= self._queue(lane.queue).reserve_after_s
            entry.drain_from = now if starved else inf
        if entry.drain_from <= now < entry.drain_from + HOLD_S:
            self.queues.limit(lane.team)
        else:
            self.queues.skip(lane)

    def _commit_complete(self, now: float, batch: list[Placement]) -> None:
        self._check_holds = False
        for found in list(self.reservations.by_job.values()):
            if now >= found.expires_at or not found.usable():
                self._end_reservation(found)
            elif found.entry is not None and found.complete():
                self._commit_queued(found, now, batch)

    def _reserve_for_starved(self, heads: list[tuple[Lane, QueueEntry]], now: float) -> None:
        allowed = max(1, int(MAX_COLLECTING_FRACTION * len(self.index.workers)))
        if len(self.reservations.collecting) >= allowed:
            return
        starved = []
        for lane, entry in heads:
            bound, waited = self._queue(lane.queue).reserve_after_s, entry.waited_s(now)
            stuck = lane.shape.blocked is not None or len(entry.members) > 1
            if waited < bound or not stuck or self.queues.waits_for_place(lane):
                continue
            rank = self._rank(lane, entry, now)
            if rank <= 1.0 or waited >= OVER_SHARE_FACTOR * bound:
                starved.append((rank, entry.seq, entry))
        for _, _, entry in sorted(starved):
            needs = [(task, self._need(task)) for task in entry.members]
            expires_at = min(now + 2 * HOLD_S, entry.task.deadline)
            if (
                self.reservations.plan(entry.task.task_id, needs, now, expires_at, entry)
                is not None
            ):
                entry.held = True
                self._check_holds = True
            if len(self.reservations.collecting) >= allowed:
                return


def _no_capacity(message: str) -> Refusal:
    return Refusal(
        ErrorKind.NO_CAPACITY,
        message,
        remedy="hold the capacity again later",
        retry_after_s=1.0,
    )
