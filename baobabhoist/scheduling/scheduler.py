"""Decide which queued task starts on which worker; the facade used by the owner of a shard."""

from __future__ import annotations

from collections.abc import Iterable

from baobabhoist.errors import Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Resources, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling import admission
from baobabhoist.scheduling.capacity import (
    ZERO,
    Availability,
    ResourceVector,
    WorkerState,
    elementwise_max,
    fits,
    subtract,
    to_vector,
)
from baobabhoist.scheduling.explain import explain
from baobabhoist.scheduling.health import MAX_TRACKED_ENTRIES
from baobabhoist.scheduling.holds import HOLD_TIMEOUT_S, HoldScheduler
from baobabhoist.scheduling.placement import choose_worker, update_speed
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.preemption import PlacedTask, plan_preemption, preemption_action
from baobabhoist.scheduling.queues import QueueEntry, Subqueue
from baobabhoist.scheduling.results import Explanation, Placement, Preemption, Verdict
from baobabhoist.scheduling.state import PlaceQuota as PlaceQuota

DEFAULT_BATCH_SIZE = 32
# A call ends after this many tries even if little was placed; what found no room is remembered,
# so the next call goes on with the rest.
MAX_PLACEMENT_ATTEMPTS = 512
# Ranks, probes and holds are renewed this often; a call in between costs only what changed.
MAINTENANCE_INTERVAL_S = 0.1
# Tasks of a subqueue that are tried for backfill; its head may be the one that runs too long.
MAX_BACKFILL_CANDIDATES = 8
# Estimates change the sizes of what waits, so sizes that found no room are tried again.
SIZE_CLASS_RETRY_S = 2.0
# Places may arrive from other shards without notice to the scheduler.
LIMITED_TEAM_RETRY_S = 0.5


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
            self.health.remove_worker(name)
        self.fairness.capacity = self.index.total
        self.fairness.invalidate()
        self._largest_capacity = self._find_largest_capacity()
        for reservation in list(self.reservations.by_job.values()):
            if any(m.worker.name not in self.index.workers for m in reservation.members):
                self._end_reservation(reservation)
        for entry in {id(e): e for e in self.queues.entries.values()}.values():
            refusal = self._refuse_if_too_large(entry.members)
            if refusal is not None:
                self._remove_entry(entry)
                self._refused.extend((task, refusal) for task in entry.members)
        self.queues.unblock_all()

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
        refusal = self._refuse_if_too_large(tasks) or admission.check_admission(
            first,
            self.queues.team_queue(first.team),
            self._team_policy(first.team),
            self._queue_policy(first.queue),
            self.rates,
            now,
        )
        if refusal is not None:
            return refusal
        demand = max(self._demand_of(task) for task in tasks)
        run_s = max(self.estimator.median_run_s(task) for task in tasks)
        entry = QueueEntry(first, tuple(tasks), demand, run_s, next(self._seq))
        self.queues.add(entry, now)
        return None

    def cancel(self, task_id: str) -> bool:
        """Drop a queued task, with its gang; tell whether it was still queued."""
        entry = self.queues.entries.get(task_id)
        if entry is None:
            return False
        self._remove_entry(entry)
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

    def next_batch(self, now: float, limit: int = DEFAULT_BATCH_SIZE) -> list[Placement]:
        """Place what fits now, and return it for dispatch; call again if `limit` was reached."""
        self._now = now
        batch: list[Placement] = []
        if now >= self._maintenance_at:
            self._run_maintenance(now)
        if self._holds_need_check:
            self._commit_complete_holds(now, batch)
        reserved_bound = self._reserved_capacity_bound(now)
        for _ in range(MAX_PLACEMENT_ATTEMPTS):
            if len(batch) >= limit:
                break
            room = self.index.max_allocatable()
            subqueue = self.queues.next_subqueue(
                elementwise_max(room, reserved_bound) if reserved_bound else room, now
            )
            entry = subqueue.head() if subqueue else None
            if subqueue is None or entry is None:
                break
            self._place_entry(subqueue, entry, now, batch)
        return batch

    def _place_entry(
        self, subqueue: Subqueue, entry: QueueEntry, now: float, batch: list[Placement]
    ) -> None:
        if len(entry.members) > 1:
            self._place_gang(subqueue, entry, now, batch)
            return
        task = entry.task
        demand = entry.demand = self._demand_of(task)
        excluded = self.health.excluded_workers(task.task_id)
        worker = choose_worker(self.index, task, demand, excluded, self.spread)
        if (
            worker is None
            and self.reservations.pending_by_worker
            and self._backfill(subqueue, now, batch)
        ):
            return
        is_probe = worker is None and bool(self.health.quarantined) and task.idempotent
        if is_probe:
            worker = self._find_probe_worker(demand, excluded, now)
        if worker is None:
            self._handle_no_capacity(subqueue, entry, demand, now)
        elif self._start_entry(subqueue, entry, demand, worker, now, batch) and is_probe:
            self.health.start_probe(worker.name, task.task_id)

    def _start_entry(
        self,
        subqueue: Subqueue,
        entry: QueueEntry,
        demand: ResourceVector,
        worker: WorkerState,
        now: float,
        batch: list[Placement],
    ) -> bool:
        task = entry.task
        if self.places.acquire(task.team, task.task_id, worker.name) is not None:
            self.queues.mark_limited(subqueue.team)
            return False
        self.queues.remove(entry)
        batch.append(self._bind(task, demand, worker, now))
        self.queues.update_rank(subqueue, now)
        return True

    def _backfill(self, subqueue: Subqueue, now: float, batch: list[Placement]) -> bool:
        """Start one of the subqueue's first tasks where it ends before a held start."""
        if not self.reservations.has_backfill_window(now):
            return False
        for _, _, entry in subqueue.heap[:MAX_BACKFILL_CANDIDATES]:
            task = entry.task
            if (
                entry.subqueue is not subqueue
                or entry.has_reservation
                or not self._can_backfill(task)
            ):
                continue
            demand = entry.demand
            worker = self.reservations.find_backfill_worker(
                demand, self.estimator.p90_run_s(task), now
            )
            if worker is None or worker.name in self.health.excluded_workers(task.task_id):
                continue
            delayed_job_id = self.reservations.pending_by_worker[worker.name].job_id
            if self._start_entry(subqueue, entry, demand, worker, now, batch):
                self.reservations.backfilled_tasks[task.task_id] = delayed_job_id
            return True
        return False

    def _place_gang(
        self, subqueue: Subqueue, entry: QueueEntry, now: float, batch: list[Placement]
    ) -> None:
        demands = [(task, self._demand_of(task)) for task in entry.members]
        job_id = entry.task.task_id
        reservation = self.reservations.reserve(
            job_id, demands, now, now + HOLD_TIMEOUT_S, entry, immediate_only=True
        )
        if reservation is None:
            self.queues.skip_until_refresh(subqueue)
        else:
            self._commit_entry(reservation, now, batch)
            if entry.subqueue is None:
                self.queues.update_rank(subqueue, now)

    def _handle_no_capacity(
        self, subqueue: Subqueue, entry: QueueEntry, demand: ResourceVector, now: float
    ) -> None:
        if subqueue.urgent and self._preempt_for(entry, demand, now):
            self.queues.update_rank(subqueue, now)
        elif self.health.excluded_workers(entry.task.task_id):
            self.queues.skip_until_refresh(subqueue)
        else:
            self.queues.block(subqueue, demand)

    def _preempt_for(self, entry: QueueEntry, demand: ResourceVector, now: float) -> bool:
        task = entry.task
        plan = plan_preemption(self.index, self.running, self._queue_policy, task, demand, now)
        if plan is None:
            return False
        if self.places.acquire(task.team, task.task_id, plan.worker.name) is not None:
            self.queues.mark_limited(self.queues.team_queue(task.team))
            return False
        entry.has_reservation = True
        reservation = self.reservations.reserve_on(
            plan.worker, entry, demand, now, now + HOLD_TIMEOUT_S
        )
        self._holds_with_places.add(reservation.job_id)
        for preemption in plan.preemptions:
            self.running[preemption.task_id].is_being_preempted = True
        self._preemptions.extend(plan.preemptions)
        return True

    # ProjectedEnds.

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
        self.index.release(worker, running.demand, task_id)
        del self.running[task_id]
        self.fairness.remove_usage(task.team, running.demand)
        if task.kind is WorkKind.SERVICE:
            self.spread.remove(task.job_id, worker.spec.rack)
        self.reservations.backfilled_tasks.pop(task_id, None)
        verdict = Verdict.RETRY
        if not running.is_adopted:
            self.places.release(task_id)
            if preempted:
                self.health.cancel_probe(worker.name, task_id)
            else:
                verdict = self._record_outcome(running, succeeded, now, usage)
        elif succeeded:
            verdict = Verdict.DONE
        self._holds_need_check = self._holds_need_check or bool(self.reservations.by_job)
        collecting = worker.name in self.reservations.pending_by_worker
        self.queues.capacity_freed(worker.free if collecting else worker.allocatable, worker)
        self.queues.rerank_team(task.team, now)
        return verdict

    def _record_outcome(
        self, running: PlacedTask, succeeded: bool, now: float, usage: Resources | None
    ) -> Verdict:
        task, worker = running.declared, running.worker
        job = task.job_id or f"{task.team}/{task.queue}"
        if succeeded:
            run_s = now - running.placement.placed_at
            update_speed(worker, running.median_run_s, run_s)
            self.estimator.observe_success(task, run_s, usage)
            self._peak_usage.pop(task.task_id, None)
            if self.health.record_success(task.task_id, job, worker.name):
                worker.quarantined = False
                self.index.update(worker)
            return Verdict.DONE
        if usage is not None:
            self.estimator.observe_usage(task, usage)
            self._peak_usage[task.task_id] = to_vector(usage)
            if len(self._peak_usage) > MAX_TRACKED_ENTRIES:
                self._peak_usage.popitem(last=False)
        usable = sum(1 for w in self.index.workers.values() if w.is_usable())
        verdict = self.health.record_failure(task.task_id, job, worker.name, now, usable)
        if self.health.quarantine_if_suspect(worker.name, len(self.index.workers), now):
            worker.quarantined = True
            self.index.update(worker)
        return verdict

    def task_throttled(self, task_id: str, cpu_milli: int) -> None:
        """Note that a worker limits a task to these processors."""
        running = self.running.get(task_id)
        if running is None or cpu_milli >= running.demand[0]:
            return
        kept = (cpu_milli, running.demand[1], running.demand[2], running.demand[3])
        self.index.release(running.worker, running.demand, task_id)
        self.index.allocate(running.worker, kept, task_id)
        self.fairness.remove_usage(running.declared.team, running.demand)
        self.fairness.add_usage(running.declared.team, kept)
        running.demand = kept
        self._holds_need_check = True

    # Upkeep.

    def _run_maintenance(self, now: float) -> None:
        self._maintenance_at = now + MAINTENANCE_INTERVAL_S
        self._holds_need_check = bool(self.reservations.by_job)
        self.rates.update(now)
        for task_id, job_id in self.reservations.take_overdue_backfills(now):
            running = self.running.get(task_id)
            if running is not None and not running.is_being_preempted:
                running.is_being_preempted = True
                policy = self._queue_policy(running.declared.queue)
                action = preemption_action(running.declared, policy)
                self._preemptions.append(Preemption(task_id, running.worker.name, action, job_id))
        if now >= self._limited_teams_retry_at:
            self._limited_teams_retry_at = now + LIMITED_TEAM_RETRY_S
            self.queues.retry_limited_teams(now)
            for name in self.health.workers_due_for_probe(now):
                worker = self.index.workers.get(name)
                if worker is not None and worker.availability is Availability.UP:
                    self.queues.capacity_freed(subtract(worker.free, worker.reserved), worker)
        if now >= self._size_class_retry_at:
            self._size_class_retry_at = now + SIZE_CLASS_RETRY_S
            self.queues.unblock_all()
        self._reserve_for_starved(self.queues.refresh_ranks(now), now)

    # Helpers.

    def _reserved_capacity_bound(self, now: float) -> ResourceVector | None:
        """Return a bound on what backfill and probes may use, or None when there are none."""
        if not self.reservations.pending_by_worker and not self.health.quarantined:
            return None
        room = ZERO
        for name in [
            *self.reservations.pending_by_worker,
            *self.health.workers_due_for_probe(now),
        ]:
            room = elementwise_max(room, self.index.workers[name].free)
        return room

    def _find_probe_worker(
        self, demand: ResourceVector, excluded: list[str], now: float
    ) -> WorkerState | None:
        for name in self.health.workers_due_for_probe(now):
            worker = self.index.workers[name]
            up = worker.availability is Availability.UP
            room = subtract(worker.free, worker.reserved)
            if up and name not in excluded and fits(demand, room):
                return worker
        return None

    def _can_backfill(self, task: Task) -> bool:
        return preemption_action(task, self._queue_policy(task.queue)) in (
            PreemptionAction.STOP,
            PreemptionAction.CHECKPOINT,
        )

    def _remove_entry(self, entry: QueueEntry) -> None:
        reservation = (
            self.reservations.by_job.get(entry.task.task_id) if entry.has_reservation else None
        )
        self.queues.remove(entry)
        if reservation is not None and reservation.entry is entry:
            self._end_reservation(reservation)
