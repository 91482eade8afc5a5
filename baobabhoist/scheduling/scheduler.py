"""Decide which queued task starts on which worker; the facade used by the owner of a shard."""

from __future__ import annotations

from collections.abc import Iterable

from baobabhoist.errors import Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Resources, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling import admission
from baobabhoist.scheduling.capacity import (
    NOTHING,
    Amount,
    Availability,
    WorkerState,
    amount_of,
    fits,
    larger,
    minus,
)
from baobabhoist.scheduling.explain import explain
from baobabhoist.scheduling.health import MAX_TRACKED
from baobabhoist.scheduling.holds import HOLD_S, HoldScheduler
from baobabhoist.scheduling.placement import choose, observe_speed
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.preemption import Running, action_for, plan_room
from baobabhoist.scheduling.queues import Lane, QueueEntry
from baobabhoist.scheduling.results import Explanation, Placement, Preemption, Verdict
from baobabhoist.scheduling.state import PlaceQuota as PlaceQuota

BATCH_LIMIT = 32
# A call ends after this many tries even if little was placed; what found no room is remembered,
# so the next call goes on with the rest.
MAX_TRIES = 512
# Ranks, probes and holds are renewed this often; a call in between costs only what changed.
UPKEEP_S = 0.1
# Tasks of a lane that are tried for backfill; its head may be the one that runs too long.
BACKFILL_LOOK = 8
# Estimates change the sizes of what waits, so sizes that found no room are tried again.
UNBLOCK_S = 2.0
# Places may arrive from other shards without notice to the scheduler.
UNLIMIT_S = 0.5


class Scheduler(HoldScheduler):
    """Queue tasks and place them on the workers of one owner.

    Every method takes `now` in Unix seconds and does no I/O. A step that would break an
    invariant raises InvariantBreachError and has no effect.
    """

    @classmethod
    def for_workers(cls, workers: Iterable[WorkerSpec], places: PlaceQuota) -> Scheduler:
        """Return a scheduler for these workers, none of which is up yet."""
        return cls(workers, places)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Take a changed list of workers; new ones get work after `worker_up`.

        Queued tasks that fit no worker any more are returned by `take_refused`.
        """
        before = set(self.index.workers)
        self.index.set_workers(workers)
        for name in before - set(self.index.workers):
            self.health.forget_worker(name)
        self.fairness.total = self.index.total
        self.fairness.changed()
        self._largest = self._largest_worker()
        for reservation in list(self.reservations.by_job.values()):
            if any(m.worker.name not in self.index.workers for m in reservation.members):
                self._end_reservation(reservation)
        for entry in {id(e): e for e in self.queues.entries.values()}.values():
            refusal = self._never_fits(entry.members)
            if refusal is not None:
                self._drop(entry)
                self._refused.extend((task, refusal) for task in entry.members)
        self.queues.unblock()

    # Queueing.

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue a task, or return why it is not queued."""
        return self.enqueue_gang(task.task_id, [task], now)

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue tasks that all run on this owner and start together."""
        for task in tasks:
            known = task.task_id in self.running or task.task_id in self.queues.entries
            check(not known, Invariant.SCHEDULER, "task %s is queued or placed", task.task_id)
        first = tasks[0]
        refusal = self._never_fits(tasks) or admission.refuse(
            first,
            self.queues.team(first.team),
            self._team(first.team),
            self._queue(first.queue),
            self.rates,
            now,
        )
        if refusal is not None:
            return refusal
        need = max(self._need(task) for task in tasks)
        run_s = max(self.estimator.run_s(task) for task in tasks)
        entry = QueueEntry(first, tuple(tasks), need, run_s, next(self._seq))
        self.queues.add(entry, now)
        return None

    def cancel(self, task_id: str) -> bool:
        """Drop a queued task, with its gang; tell whether it was still queued."""
        entry = self.queues.entries.get(task_id)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def expire(self, now: float) -> list[Task]:
        """Drop the queued tasks whose deadline has passed and return them."""
        return [task for entry in self.queues.expire(now) for task in entry.members]

    def take_refused(self) -> list[tuple[Task, Refusal]]:
        """Return the queued tasks that were refused since the last call, with the reason."""
        found, self._refused = self._refused, []
        return found

    def take_preemptions(self) -> list[Preemption]:
        """Return the requests to make room that arose since the last call."""
        found, self._preemptions = self._preemptions, []
        return found

    def explain(self, task_id: str, now: float) -> Explanation:
        """Say why a task waits."""
        return explain(self, task_id, now)

    # Placing.

    def next_batch(self, now: float, limit: int = BATCH_LIMIT) -> list[Placement]:
        """Place what fits now, and return it for dispatch; call again if `limit` was reached."""
        self._now = now
        batch: list[Placement] = []
        if now >= self._upkeep_at:
            self._upkeep(now)
        if self._check_holds:
            self._commit_complete(now, batch)
        extra = self._extra_room(now)
        for _ in range(MAX_TRIES):
            if len(batch) >= limit:
                break
            room = self.index.largest_open()
            lane = self.queues.best(larger(room, extra) if extra else room, now)
            entry = lane.head() if lane else None
            if lane is None or entry is None:
                break
            self._serve(lane, entry, now, batch)
        return batch

    def _serve(self, lane: Lane, entry: QueueEntry, now: float, batch: list[Placement]) -> None:
        if len(entry.members) > 1:
            self._serve_gang(lane, entry, now, batch)
            return
        task = entry.task
        need = entry.need = self._need(task)
        excluded = self.health.excluded(task.task_id)
        worker = choose(self.index, task, need, excluded, self.spread)
        if worker is None and self.reservations.collecting and self._backfill(lane, now, batch):
            return
        probed = worker is None and bool(self.health.quarantined) and task.idempotent
        if probed:
            worker = self._probe(need, excluded, now)
        if worker is None:
            self._no_room(lane, entry, need, now)
        elif self._start(lane, entry, need, worker, now, batch) and probed:
            self.health.probe(worker.name, task.task_id)

    def _start(
        self,
        lane: Lane,
        entry: QueueEntry,
        need: Amount,
        worker: WorkerState,
        now: float,
        batch: list[Placement],
    ) -> bool:
        task = entry.task
        if self.places.acquire(task.team, task.task_id, worker.name) is not None:
            self.queues.limit(lane.team)
            return False
        self.queues.remove(entry)
        batch.append(self._bind(task, need, worker, now))
        self.queues.push(lane, now)
        return True

    def _backfill(self, lane: Lane, now: float, batch: list[Placement]) -> bool:
        """Start one of the lane's first tasks where it ends before a held start."""
        if not self.reservations.has_gap(now):
            return False
        for _, _, entry in lane.heap[:BACKFILL_LOOK]:
            task = entry.task
            if entry.lane is not lane or entry.held or not self._may_backfill(task):
                continue
            need = entry.need
            worker = self.reservations.backfill(need, self.estimator.long_run_s(task), now)
            if worker is None or worker.name in self.health.excluded(task.task_id):
                continue
            held_for = self.reservations.collecting[worker.name].job_id
            if self._start(lane, entry, need, worker, now, batch):
                self.reservations.backfilled[task.task_id] = held_for
            return True
        return False

    def _serve_gang(
        self, lane: Lane, entry: QueueEntry, now: float, batch: list[Placement]
    ) -> None:
        needs = [(task, self._need(task)) for task in entry.members]
        job_id = entry.task.task_id
        found = self.reservations.plan(job_id, needs, now, now + HOLD_S, entry, only_now=True)
        if found is None:
            self.queues.skip(lane)
        else:
            self._commit_queued(found, now, batch)
            if entry.lane is None:
                self.queues.push(lane, now)

    def _no_room(self, lane: Lane, entry: QueueEntry, need: Amount, now: float) -> None:
        if lane.urgent and self._make_room(entry, need, now):
            self.queues.push(lane, now)
        elif self.health.excluded(entry.task.task_id):
            self.queues.skip(lane)
        else:
            self.queues.blocked(lane, need)

    def _make_room(self, entry: QueueEntry, need: Amount, now: float) -> bool:
        task = entry.task
        plan = plan_room(self.index, self.running, self._queue, task, need, now)
        if plan is None:
            return False
        if self.places.acquire(task.team, task.task_id, plan.worker.name) is not None:
            self.queues.limit(self.queues.team(task.team))
            return False
        entry.held = True
        found = self.reservations.reserve_on(plan.worker, entry, need, now, now + HOLD_S)
        self._placed_holds.add(found.job_id)
        for preemption in plan.preemptions:
            self.running[preemption.task_id].making_room = True
        self._preemptions.extend(plan.preemptions)
        return True

    # Ends.

    def task_ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Free what a placed task held, learn from its end and say what should become of it.

        `usage` is the peak that the worker measured. The caller enqueues the task again after
        `RETRY`, if its kind may run again.
        """
        self._now = now
        check(task_id in self.running, Invariant.SCHEDULER, "task %s is not placed", task_id)
        running = self.running[task_id]
        worker, task = running.worker, running.declared
        self.index.give(worker, running.need, task_id)
        del self.running[task_id]
        self.fairness.give(task.team, running.need)
        if task.kind is WorkKind.SERVICE:
            self.spread.remove(task.job_id, worker.spec.rack)
        self.reservations.backfilled.pop(task_id, None)
        verdict = Verdict.RETRY
        if not running.adopted:
            self.places.release(task_id)
            if preempted:
                self.health.forget_probe(worker.name, task_id)
            else:
                verdict = self._learn(running, succeeded, now, usage)
        elif succeeded:
            verdict = Verdict.DONE
        self._check_holds = self._check_holds or bool(self.reservations.by_job)
        collecting = worker.name in self.reservations.collecting
        self.queues.grew(worker.free if collecting else worker.room, worker)
        self.queues.team_changed(task.team, now)
        return verdict

    def _learn(
        self, running: Running, succeeded: bool, now: float, usage: Resources | None
    ) -> Verdict:
        task, worker = running.declared, running.worker
        job = task.job_id or f"{task.team}/{task.queue}"
        if succeeded:
            run_s = now - running.placement.placed_at
            observe_speed(worker, running.run_s, run_s)
            self.estimator.observe(task, run_s, usage)
            self._peaks.pop(task.task_id, None)
            if self.health.succeeded(task.task_id, job, worker.name):
                worker.quarantined = False
                self.index.changed(worker)
            return Verdict.DONE
        if usage is not None:
            self.estimator.observe_usage(task, usage)
            self._peaks[task.task_id] = amount_of(usage)
            if len(self._peaks) > MAX_TRACKED:
                self._peaks.popitem(last=False)
        usable = sum(1 for w in self.index.workers.values() if w.usable())
        verdict = self.health.failed(task.task_id, job, worker.name, now, usable)
        if self.health.suspect(worker.name, len(self.index.workers), now):
            worker.quarantined = True
            self.index.changed(worker)
        return verdict

    def task_throttled(self, task_id: str, cpu_milli: int) -> None:
        """Note that a worker limits a task to these processors."""
        running = self.running.get(task_id)
        if running is None or cpu_milli >= running.need[0]:
            return
        kept = (cpu_milli, running.need[1], running.need[2], running.need[3])
        self.index.give(running.worker, running.need, task_id)
        self.index.take(running.worker, kept, task_id)
        self.fairness.give(running.declared.team, running.need)
        self.fairness.take(running.declared.team, kept)
        running.need = kept
        self._check_holds = True

    # Upkeep.

    def _upkeep(self, now: float) -> None:
        self._upkeep_at = now + UPKEEP_S
        self._check_holds = bool(self.reservations.by_job)
        self.rates.update(now)
        for task_id, job_id in self.reservations.overdue(now):
            running = self.running.get(task_id)
            if running is not None and not running.making_room:
                running.making_room = True
                policy = self._queue(running.declared.queue)
                action = action_for(running.declared, policy)
                self._preemptions.append(Preemption(task_id, running.worker.name, action, job_id))
        if now >= self._limited_teams_retry_at:
            self._limited_teams_retry_at = now + UNLIMIT_S
            self.queues.unlimit(now)
            for name in self.health.probe_due(now):
                worker = self.index.workers.get(name)
                if worker is not None and worker.availability is Availability.UP:
                    self.queues.grew(minus(worker.free, worker.reserved), worker)
        if now >= self._unblock_at:
            self._unblock_at = now + UNBLOCK_S
            self.queues.unblock()
        self._reserve_for_starved(self.queues.refresh(now), now)

    # Helpers.

    def _extra_room(self, now: float) -> Amount | None:
        """Return a bound on what backfill and probes may use, or None when there are none."""
        if not self.reservations.collecting and not self.health.quarantined:
            return None
        room = NOTHING
        for name in [*self.reservations.collecting, *self.health.probe_due(now)]:
            room = larger(room, self.index.workers[name].free)
        return room

    def _probe(self, need: Amount, excluded: list[str], now: float) -> WorkerState | None:
        for name in self.health.probe_due(now):
            worker = self.index.workers[name]
            up = worker.availability is Availability.UP
            room = minus(worker.free, worker.reserved)
            if up and name not in excluded and fits(need, room):
                return worker
        return None

    def _may_backfill(self, task: Task) -> bool:
        return action_for(task, self._queue(task.queue)) in (
            PreemptionAction.STOP,
            PreemptionAction.CHECKPOINT,
        )

    def _drop(self, entry: QueueEntry) -> None:
        held = self.reservations.by_job.get(entry.task.task_id) if entry.held else None
        self.queues.remove(entry)
        if held is not None and held.entry is entry:
            self._end_reservation(held)
