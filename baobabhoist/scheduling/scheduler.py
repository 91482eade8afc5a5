"""Schedule the tasks of a shard on its workers; the interface for the shard's owner."""

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
# A call of `next_batch` ends after this many attempts even if little was placed. Size classes that
# fitted nowhere stay blocked, so the next call continues with the others.
MAX_PLACEMENT_ATTEMPTS = 512
# Interval at which ranks, probes and holds are checked; a call in between handles changes only.
MAINTENANCE_INTERVAL_S = 0.1
# Tasks of a subqueue considered for backfill; its head alone may run too long to fit.
MAX_BACKFILL_CANDIDATES = 8
# Interval at which blocked size classes are tried again, because estimates change the demands of
# waiting tasks.
SIZE_CLASS_RETRY_S = 2.0
# Interval at which teams without a free place are tried again, because places may arrive from
# other shards without notice to the scheduler.
LIMITED_TEAM_RETRY_S = 0.5


class Scheduler(HoldScheduler):
    """Queue tasks and place them on the workers of one shard.

    Every method takes `now` in Unix seconds and does no I/O. A step that would break an
    invariant raises InvariantViolationError and has no effect.
    """

    @classmethod
    def for_workers(cls, workers: Iterable[WorkerSpec], places: PlaceQuota) -> Scheduler:
        """Return a scheduler for these workers, none of which is up yet."""
        return cls(workers, places)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Replace the list of workers; new ones get work after `worker_up`.

        Queued tasks that no longer fit on any worker are returned by `take_refused`.
        """
        previous = set(self.index.workers)
        self.index.set_workers(workers)
        for name in previous - set(self.index.workers):
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

    # Queueing

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue a task, or return why it is not queued."""
        return self.enqueue_gang(task.task_id, [task], now)

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue tasks that start together on workers of this shard."""
        for task in tasks:
            is_known = task.task_id in self.running or task.task_id in self.queues.entries
            check(
                not is_known,
                Invariant.SCHEDULER,
                "task %s is already queued or placed",
                task.task_id,
            )
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
        """Remove a queued task, with its gang, and return whether it was still queued."""
        entry = self.queues.entries.get(task_id)
        if entry is None:
            return False
        self._remove_entry(entry)
        return True

    def expire(self, now: float) -> list[Task]:
        """Remove and return the queued tasks whose deadline has passed."""
        return [task for entry in self.queues.expire(now) for task in entry.members]

    def take_refused(self) -> list[tuple[Task, Refusal]]:
        """Return the queued tasks refused since the last call, with the reason."""
        refused, self._refused = self._refused, []
        return refused

    def take_preemptions(self) -> list[Preemption]:
        """Return the preemptions decided since the last call, to be sent to the workers."""
        preemptions, self._preemptions = self._preemptions, []
        return preemptions

    def explain(self, task_id: str, now: float) -> Explanation:
        """Return why a task waits."""
        return explain(self, task_id, now)

    # Placement

    def next_batch(self, now: float, limit: int = DEFAULT_BATCH_SIZE) -> list[Placement]:
        """Place the tasks that fit now and return them for dispatch.

        Call it again if `limit` was reached.
        """
        self._now = now
        batch: list[Placement] = []
        if now >= self._maintenance_at:
            self._run_maintenance(now)
        if self._holds_need_check:
            self._commit_complete_holds(now, batch)
        extra = self._backfill_or_probe_capacity(now)
        for _ in range(MAX_PLACEMENT_ATTEMPTS):
            if len(batch) >= limit:
                break
            allocatable = self.index.max_allocatable()
            subqueue = self.queues.next_subqueue(
                elementwise_max(allocatable, extra) if extra else allocatable, now
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
        """Start one of the subqueue's first tasks that ends before a pending reservation starts.

        Return whether a worker was found, even if the team has no free place.
        """
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
        if subqueue.is_urgent and self._preempt_for(entry, demand, now):
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

    # Ends of tasks

    def task_ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Release what a placed task held, and return what to do with the task.

        The outcome is recorded for the estimates and the health of the worker. `usage` is the
        peak usage that the worker measured. After `RETRY` the caller enqueues the task again, if
        its kind may run again.
        """
        self._now = now
        check(task_id in self.running, Invariant.SCHEDULER, "task %s is not placed", task_id)
        placed = self.running[task_id]
        worker, task = placed.worker, placed.declared
        self.index.release(worker, placed.demand, task_id)
        del self.running[task_id]
        self.fairness.remove_usage(task.team, placed.demand)
        if task.kind is WorkKind.SERVICE:
            self.spread.remove(task.job_id, worker.spec.rack)
        self.reservations.backfilled_tasks.pop(task_id, None)
        verdict = Verdict.RETRY
        if not placed.is_adopted:
            self.places.release(task_id)
            if preempted:
                self.health.cancel_probe(worker.name, task_id)
            else:
                verdict = self._record_outcome(placed, succeeded, now, usage)
        elif succeeded:
            verdict = Verdict.DONE
        self._holds_need_check = self._holds_need_check or bool(self.reservations.by_job)
        is_pending = worker.name in self.reservations.pending_by_worker
        self.queues.unblock_fitting(worker.free if is_pending else worker.allocatable, worker)
        self.queues.rerank_team(task.team, now)
        return verdict

    def _record_outcome(
        self, placed: PlacedTask, succeeded: bool, now: float, usage: Resources | None
    ) -> Verdict:
        task, worker = placed.declared, placed.worker
        job = task.job_id or f"{task.team}/{task.queue}"
        if succeeded:
            run_s = now - placed.placement.placed_at
            update_speed(worker, placed.median_run_s, run_s)
            self.estimator.observe_success(task, run_s, usage)
            self._peak_usage.pop(task.task_id, None)
            if self.health.record_success(task.task_id, job, worker.name):
                worker.is_quarantined = False
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
            worker.is_quarantined = True
            self.index.update(worker)
        return verdict

    def task_throttled(self, task_id: str, cpu_milli: int) -> None:
        """Record that a worker limits a task to this many millicores."""
        placed = self.running.get(task_id)
        if placed is None or cpu_milli >= placed.demand[0]:
            return
        kept = (cpu_milli, placed.demand[1], placed.demand[2], placed.demand[3])
        self.index.release(placed.worker, placed.demand, task_id)
        self.index.allocate(placed.worker, kept, task_id)
        self.fairness.remove_usage(placed.declared.team, placed.demand)
        self.fairness.add_usage(placed.declared.team, kept)
        placed.demand = kept
        self._holds_need_check = True

    # Maintenance

    def _run_maintenance(self, now: float) -> None:
        self._maintenance_at = now + MAINTENANCE_INTERVAL_S
        self._holds_need_check = bool(self.reservations.by_job)
        self.rates.update(now)
        for task_id, job_id in self.reservations.take_overdue_backfills(now):
            placed = self.running.get(task_id)
            if placed is not None and not placed.is_being_preempted:
                placed.is_being_preempted = True
                policy = self._queue_policy(placed.declared.queue)
                action = preemption_action(placed.declared, policy)
                self._preemptions.append(Preemption(task_id, placed.worker.name, action, job_id))
        if now >= self._limited_teams_retry_at:
            self._limited_teams_retry_at = now + LIMITED_TEAM_RETRY_S
            self.queues.retry_limited_teams(now)
            for name in self.health.workers_due_for_probe(now):
                worker = self.index.workers.get(name)
                if worker is not None and worker.availability is Availability.UP:
                    self.queues.unblock_fitting(subtract(worker.free, worker.reserved), worker)
        if now >= self._size_class_retry_at:
            self._size_class_retry_at = now + SIZE_CLASS_RETRY_S
            self.queues.unblock_all()
        self._reserve_for_starved(self.queues.refresh_ranks(now), now)

    # Helpers

    def _backfill_or_probe_capacity(self, now: float) -> ResourceVector | None:
        """Return an upper bound of the capacity for backfill and probes, or None without any."""
        if not self.reservations.pending_by_worker and not self.health.quarantined:
            return None
        bound = ZERO
        for name in [
            *self.reservations.pending_by_worker,
            *self.health.workers_due_for_probe(now),
        ]:
            bound = elementwise_max(bound, self.index.workers[name].free)
        return bound

    def _find_probe_worker(
        self, demand: ResourceVector, excluded: list[str], now: float
    ) -> WorkerState | None:
        for name in self.health.workers_due_for_probe(now):
            worker = self.index.workers[name]
            is_up = worker.availability is Availability.UP
            available = subtract(worker.free, worker.reserved)
            if is_up and name not in excluded and fits(demand, available):
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
