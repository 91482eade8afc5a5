"""Own one shard: its queue, its request keys, its quota and the tasks on its workers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from baobabhoist.daemon.adoption import TaskAdoption
from baobabhoist.daemon.claim_driver import ClaimDriver
from baobabhoist.daemon.dispatch import (
    WORKER_CALL_TIMEOUT_S,
    Completed,
    Dispatcher,
    LeaseSettings,
    LostTask,
    NotStarted,
    Superseded,
    TaskObserver,
    WorkerLeases,
    not_owner_refusal,
    outcome_unknown_refusal,
    result_of_outcome,
)
from baobabhoist.daemon.forwarding import Forwarder, ForwardRequest
from baobabhoist.daemon.handover import (
    MAX_HAND_OVER_AGE_S,
    SendHandOver,
    accept_hand_over,
    build_hand_over,
    refuse_hand_over,
)
from baobabhoist.daemon.preemption import PREEMPTED_REFUSAL, apply_preemption
from baobabhoist.daemon.requests import RequestRegistry
from baobabhoist.daemon.shard_quota import ShardQuota
from baobabhoist.errors import ErrorKind, InvariantViolationError, LinkClosedError, Refusal
from baobabhoist.model import EndedTask, Outcome, Request, RunningTask, Task, WorkerSpec, WorkKind
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState
from baobabhoist.ownership.request_keys import JoinExisting, ReplyNow, RequestKeyLedger, Result
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import HandOver
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.results import Placement
from baobabhoist.scheduling.scheduler import Scheduler
from baobabhoist.store.table import Table
from baobabhoist.upstream.link import WorkerLink
from baobabhoist.upstream.messages import LeasesRenewed, TokenRefused
from baobabhoist.upstream.pool import OnConnectionChange, WorkerConnection, WorkerPool

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
DISPATCH_BATCH_SIZE = 32
USABLE_STATES = (ClaimState.PARTIAL, ClaimState.OWNED)


class ShardOwner:
    """Schedule the work of one shard while this instance owns it; one object per claim."""

    def __init__(
        self,
        claim: ShardClaim,
        workers: Iterable[WorkerSpec],
        table: Table,
        read_escrow: Callable[[str], Mapping[str, int] | None] = lambda shard: None,
        *,
        lease_settings: LeaseSettings | None = None,
        forward: ForwardRequest = lambda _: None,
        send_hand_over: SendHandOver = refuse_hand_over,
        inherited: HandOver | None = None,
        make_link: Callable[[WorkerSpec, OnConnectionChange], WorkerConnection] = WorkerLink,
        clock: Callable[[], float] = time.time,
        observer: TaskObserver | None = None,
    ) -> None:
        specs = list(workers)
        lease_settings = lease_settings or LeaseSettings()
        self.shard = claim.shard
        self.claim = claim
        self.quota_ledger = QuotaLedger(claim.shard)
        self.quota_ledger.begin_takeover()
        self.keys = RequestKeyLedger(clock_skew_s=lease_settings.clock_skew_s)
        self.shard_quota = ShardQuota(self.quota_ledger, self._kind_of)
        self.scheduler = Scheduler.for_workers(specs, self.shard_quota)
        self.scheduler.queues.is_class_full = self.shard_quota.is_class_full
        self.leaving_workers: set[str] = set()
        self.cancelled_until: dict[str, float] = {}
        # Tasks told to stop. Their end says nothing about the worker's health or the task's size.
        self.stopping_tasks: set[str] = set()
        self._read_escrow = read_escrow
        self._send_hand_over = send_hand_over
        self._inherited = inherited
        self._inherited_at = clock()
        self._clock = clock
        self._observer = observer
        self.in_flight: dict[str, str] = {}
        self.adoption = TaskAdoption(self)
        self._usable_workers: set[str] = set()
        self._specs = {spec.name: spec for spec in specs}
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_owned = False
        self._was_handed_over = False
        self.pool = WorkerPool(specs, self._connection_changed, make_link)
        self.leases = WorkerLeases(lease_settings.lease_s, lease_settings.clock_skew_s)
        self.claim_driver = ClaimDriver(claim, table, self.pool, self.leases, self, clock)
        self.dispatcher = Dispatcher(
            self.pool,
            self.leases,
            lambda: self.claim.token,
            self.claim_driver.on_token_refused,
            clock,
        )
        self.requests = RequestRegistry(self.shard, self.keys, self.dispatcher.find_outcome, clock)
        self.pending = self.requests.pending
        self.forwarder = Forwarder(self, forward)

    async def run(self) -> None:
        """Claim and serve the shard; return when it is lost, released or handed over."""
        self.pool.start()
        tick_task = asyncio.create_task(self._run_ticks())
        try:
            await self.claim_driver.run()
            self._drop_unfinished()
            # Calls in flight to workers are awaited, so that no caller loses its answer.
            while self._tasks and (self.in_flight or self.forwarder.forwarded_ids()):
                await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            tick_task.cancel()
            for task in self._tasks:
                task.cancel()
            self.pool.stop()
            self.requests.close()

    @property
    def is_usable(self) -> bool:
        """Return whether the owner may accept work."""
        return self.claim.state in USABLE_STATES

    @property
    def queue(self) -> Scheduler:
        """Return the scheduler."""
        return self.scheduler

    @property
    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self._clock()

    def was_owned_at(self, at: float) -> bool:
        """Return whether the shard was certainly owned here at a time; else start to verify it."""
        if self.claim.is_confirmed_since(at):
            return True
        self.claim_driver.start_confirmation()
        return False

    async def submit(self, req: Request, forwarded: bool = False) -> Result:
        """Run a request and return its answer, or a refusal."""
        if not self.is_usable:
            return not_owner_refusal(self.shard)
        now = self._clock()
        if self.claim.state is not ClaimState.OWNED and not req.first_attempt:
            # Only the inventories of all workers show whether this key has run.
            return not_owner_refusal(self.shard)
        if req.request_id in self.cancelled_until:
            return Refusal(ErrorKind.CANCELLED, "the task was cancelled")
        result = await self._submit(req, forwarded, now)
        return await self._confirm_not_run(req, result)

    async def _confirm_not_run(self, req: Request, result: Result) -> Result:
        """Replace a `not_run` if another owner may run a copy of the request by now."""
        not_run = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
        if not not_run or req.first_attempt or await self.claim_driver.verify_owned(self._clock()):
            return result
        return not_owner_refusal(self.shard, Outcome.UNKNOWN)

    async def _submit(self, req: Request, forwarded: bool, now: float) -> Result:
        decision = self.keys.admit(req, now)
        if isinstance(decision, ReplyNow):
            return await self.requests.answers.load_body(req, decision.result)
        entry = self.requests.get_or_create(req, now)
        if not isinstance(decision, JoinExisting):
            entry.arrived_forwarded = forwarded
            refusal = self.shard_quota.permanent_refusal(req.task) or self.scheduler.enqueue(
                req.task, now
            )
            if refusal is not None:
                return self.finish(req.request_id, refusal)
            self.dispatch(now)
        result = await self.requests.wait_for_result(req, entry)
        return self._refuse_late(req) if result is None else result

    def _refuse_late(self, req: Request) -> Result:
        entry = self.pending.get(req.request_id)
        if entry is not None and not entry.is_forwarding and self.scheduler.cancel(req.request_id):
            refusal = Refusal(
                ErrorKind.DEADLINE_PASSED,
                "the deadline passed in the queue",
                remedy="send the request under a new key with a later deadline",
            )
            return self.finish(req.request_id, refusal)
        return outcome_unknown_refusal("the deadline passed while the task was with a worker")

    def dispatch(self, now: float) -> None:
        """Start the tasks that fit now, in batches that let other coroutines run in between."""
        if not self.is_usable:
            return
        started_at = time.perf_counter()
        try:
            batch = self.scheduler.next_batch(now, DISPATCH_BATCH_SIZE)
        except InvariantViolationError:
            return
        decision_s = (time.perf_counter() - started_at) / max(1, len(batch))
        for placement in batch:
            if self._observer is not None:
                self._observer.placement_decided(placement.task, decision_s)
            self.start_task(placement, now)
        if len(batch) >= DISPATCH_BATCH_SIZE:
            asyncio.get_running_loop().call_soon(lambda: self.dispatch(self._clock()))

    def start_task(self, placement: Placement, now: float) -> None:
        """Send a placed task to its worker."""
        task, worker = placement.task, placement.worker
        if not (self.claim.can_dispatch_to(worker) and self.pool.is_connected(worker)):
            self.release_unsent(task.task_id, now)
            self._mark_worker_down(worker)
            self._requeue(task, now)
            return
        try:
            self.keys.record_dispatch(task.task_id, worker)
        except InvariantViolationError:
            self.release_unsent(task.task_id, now)
            return
        self.in_flight[task.task_id] = worker
        if self._observer is not None:
            self._observer.task_started(task, now)
        self.spawn(self._run_task(placement))

    def _requeue(self, task: Task, now: float) -> None:
        """Queue a task again with the resources it declared instead of those it was granted."""
        entry = self.pending.get(task.task_id)
        declared = entry.req.task if entry is not None else task
        refusal = self.scheduler.enqueue(declared, now)
        if refusal is not None:
            self.finish(task.task_id, refusal)

    def release_unsent(self, task_id: str, now: float) -> None:
        """Release the capacity and the quota of a placed task that was not sent."""
        self.shard_quota.confirmed_ends.add(task_id)
        self.scheduler.task_ended(task_id, False, now, preempted=True)

    async def _run_task(self, placement: Placement) -> None:
        task, worker = placement.task, placement.worker
        started_at = self._clock()
        try:
            outcome = await self.dispatcher.execute(task, worker)
        finally:
            self.in_flight.pop(task.task_id, None)
        now = self._clock()
        if isinstance(outcome, Superseded):
            self._on_superseded(task.task_id, outcome)
            return
        succeeded = isinstance(outcome, Completed) and outcome.succeeded
        if isinstance(outcome, NotStarted):
            # A rejected start says nothing about the health of the worker or the size of the task.
            self.release_unsent(task.task_id, now)
            was_stopped = False
        else:
            if self._observer is not None:
                self._observer.task_ended(task, now - started_at)
            if isinstance(outcome, Completed) and outcome.confirmed:
                self.shard_quota.confirmed_ends.add(task.task_id)
            was_stopped = task.task_id in self.stopping_tasks and not succeeded
            self.scheduler.task_ended(task.task_id, succeeded, now, preempted=was_stopped)
        self.stopping_tasks.discard(task.task_id)
        if isinstance(outcome, LostTask) and self.keys.requeue_for_retry(
            task.task_id, task.deadline, now
        ):
            self._requeue(task, now)
        else:
            is_completed = isinstance(outcome, Completed)
            result = (
                PREEMPTED_REFUSAL
                if was_stopped and is_completed
                else result_of_outcome(task.task_id, outcome)
            )
            self.finish(task.task_id, result)
        self.dispatch(now)

    def _on_superseded(self, task_id: str, superseded: Superseded) -> None:
        """Refer the entry instance to the new owner, which accounts for the task's quota."""
        key = self.keys.entries.get(task_id)
        dispatched_once = key is not None and key.dispatch_count <= 1
        outcome = Outcome.NOT_RUN if dispatched_once and not superseded.sent else Outcome.UNKNOWN
        self.requests.deliver(task_id, not_owner_refusal(self.shard, outcome))

    def _kind_of(self, task_id: str) -> WorkKind:
        # Only the tasks of gangs take quota before their requests arrive, for a hold.
        entry = self.pending.get(task_id)
        return entry.req.task.kind if entry is not None else WorkKind.GANG

    def finish(self, request_id: str, result: Result) -> Result:
        """Store the result of a request and deliver it to all waiting callers."""
        return self.requests.finish(request_id, result)

    def _drop_unfinished(self) -> None:
        self.forwarder.mark_forwarded_dispatched()
        elsewhere = self.in_flight.keys() | self.forwarder.forwarded_ids()
        self.requests.drop_unfinished(elsewhere, self._was_handed_over)

    # Methods of ClaimListener.

    def on_state_changed(self, state: ClaimState) -> None:
        """Handle a new state of the claim."""
        if state is ClaimState.OWNED and not self._has_owned:
            self._has_owned = True
            self._begin_ownership()
        self.refresh_escrow()

    def on_inventory(self, worker: str, running: list[RunningTask], ends: list[EndedTask]) -> None:
        """Handle the inventory of a newly fenced worker, before work is dispatched to it."""
        self.adoption.adopt_inventory(worker, running, ends)

    def on_leases_renewed(self, worker: str, reply: LeasesRenewed, watermark: int) -> None:
        """Confirm ended tasks, and compare a worker's running tasks with the adopted ones."""
        self.shard_quota.confirm_ends(worker, watermark)
        self.adoption.reconcile(worker, reply.running)

    def on_worker_restarted(self, worker: str) -> None:
        """Handle a worker that may have lost the tasks it was sent."""
        self.dispatcher.count_worker_restart(worker)

    def end_watermark(self) -> int:
        """Return the number of the last task end known before a renewal is sent."""
        return self.quota_ledger.end_watermark()

    def update_usable_workers(self) -> None:
        """Update the set of workers that work may be dispatched to."""
        for worker in self.claim.workers:
            is_usable = (
                self.claim.can_dispatch_to(worker)
                and self.pool.is_connected(worker)
                and worker not in self.leaving_workers
            )
            if is_usable and worker not in self._usable_workers:
                self._usable_workers.add(worker)
                self.scheduler.worker_up(worker)
                self.dispatch(self._clock())
            elif not is_usable:
                self._mark_worker_down(worker)

    async def send_queue(self, successor: str, token: Token) -> bool | None:
        """Send the queue; return whether it was accepted, or None if that is unknown."""
        emit(log, Event.HAND_OVER_STARTED, shard=self.shard, instance_id=successor)
        self._was_handed_over = True
        self.forwarder.mark_forwarded_dispatched()
        offer = build_hand_over(self.shard, token, self.claim.instance_id, self.keys, self.pending)
        return await self._send_hand_over(successor, offer)

    # Events from this instance.

    async def set_workers(self, specs: Iterable[WorkerSpec]) -> None:
        """Set the workers that the shard's record lists."""
        workers = list(specs)
        removed = set(self.claim.workers) - {spec.name for spec in workers}
        self._specs = {spec.name: spec for spec in workers}
        self.scheduler.set_workers(workers)
        self.pool.set_workers(workers)
        for worker in removed:
            self._mark_worker_down(worker)
        await self.claim_driver.set_workers(spec.name for spec in workers)

    def set_leaving_workers(self, leaving: set[str]) -> None:
        """Set the workers that leave or are drained, which get no new work from now on."""
        for worker in leaving - self.leaving_workers:
            emit(log, Event.WORKER_LEAVING, worker=worker)
            self.scheduler.worker_leaving(worker)
            self._usable_workers.discard(worker)
        self.leaving_workers = set(leaving)
        self.update_usable_workers()

    def refresh_escrow(self) -> None:
        """Use the full escrow once the epoch is confirmed and no worker obeys an earlier owner."""
        if self.quota_ledger.takeover_cap is not None and self.claim.can_use_full_escrow:
            escrow = self._read_escrow(self.shard)
            if escrow is not None:
                self.lift_takeover_cap(escrow)

    def lift_takeover_cap(self, escrow: Mapping[str, int]) -> None:
        """Replace the takeover cap by an escrow that was read after the epoch was confirmed."""
        self.quota_ledger.lift_takeover_cap(dict(escrow))
        emit(log, Event.TAKEOVER_CAP_LIFTED, shard=self.shard)

    def free_slots(self) -> int:
        """Return how many slots of usable workers are free."""
        slots = sum(self._specs[worker].capacity.slots for worker in self._usable_workers)
        return max(0, slots - len(self.quota_ledger.running))

    def worker_of(self, task_id: str) -> str | None:
        """Return the worker that runs a task, or None."""
        return self.in_flight.get(task_id) or self.adoption.worker_of(task_id)

    def pending_count(self) -> int:
        """Return the number of requests without a result."""
        return len(self.pending)

    def cancel_queued(self, task_id: str, refusal: Refusal) -> bool:
        """Remove a queued task and refuse its request; return whether it was still queued."""
        if not self.scheduler.cancel(task_id):
            return False
        self.finish(task_id, refusal)
        return True

    async def call_worker(self, worker: str, message: Any) -> bool:
        """Call a worker; return whether it confirmed the call."""
        try:
            reply = await self.pool.call(worker, message, WORKER_CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            log.info("worker %s did not confirm %s", worker, type(message).__name__)
            return False
        return not isinstance(reply, TokenRefused)

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is cancelled at the latest when this owner ends."""
        task = create_logged_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connection_changed(self, worker: str, connected: bool) -> None:
        event = Event.WORKER_CONNECTED if connected else Event.WORKER_DISCONNECTED
        emit(log, event, worker=worker)
        await self.claim_driver.on_connection_changed(worker, connected)

    def _mark_worker_down(self, worker: str) -> None:
        if worker in self._usable_workers:
            self._usable_workers.discard(worker)
            self.scheduler.worker_down(worker)

    def _keys_known_since(self) -> float:
        """Return the time since which this owner knows every key that was sent.

        After a planned hand-over the previous owner's knowledge carries over, provided that there
        was no owner in between and that the sender cannot have resumed ownership since.
        """
        now, prior = self._clock(), self._inherited
        if prior is None or prior.known_since is None:
            return now
        fresh = now - self._inherited_at <= MAX_HAND_OVER_AGE_S
        return (
            prior.known_since if fresh and self.claim_driver.directly_follows(prior.token) else now
        )

    def _begin_ownership(self) -> None:
        """Take over the keys and the queue; a planned hand-over leaves no gap in known keys."""
        self.keys.begin_ownership(self._keys_known_since())
        message, self._inherited = self._inherited, None
        if message is not None:
            self._enqueue_handed_over(message)

    def _enqueue_handed_over(self, message: HandOver) -> None:
        """Queue the requests of the previous owner, once all inventories are known."""
        now = self._clock()
        for req in accept_hand_over(message, self.keys, now):
            self.requests.get_or_create(req, now)
            refusal = self.scheduler.enqueue(req.task, now)
            if refusal is not None:
                self.finish(req.request_id, refusal)
        self.dispatch(now)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock()
            try:
                self._tick(now)
            except InvariantViolationError:
                continue

    def _tick(self, now: float) -> None:
        self.requests.expire_keys(now)
        for task_id in [name for name, until in self.cancelled_until.items() if until <= now]:
            del self.cancelled_until[task_id]
        for task in self.scheduler.expire(now):
            refusal = Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed in the queue")
            self.finish(task.task_id, refusal)
        for task, refusal in self.scheduler.take_refused():
            self.finish(task.task_id, refusal)
        for preemption in self.scheduler.take_preemptions():
            self.spawn(apply_preemption(self, preemption))
        self.refresh_escrow()
        self.dispatch(now)
        self.forwarder.tick(now)
