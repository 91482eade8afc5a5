"""Own one shard: its queue, its request keys, its places and what runs on its workers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from baobabhoist.daemon.adoption import Adoption
from baobabhoist.daemon.dispatch import (
    CALL_TIMEOUT_S,
    Dispatcher,
    Ended,
    Leases,
    Lost,
    NeverRan,
    Observer,
    ShardTimes,
    Superseded,
    not_owner,
    outcome_unknown,
    result_of_fate,
)
from baobabhoist.daemon.fencing import Fencing
from baobabhoist.daemon.forwarding import (
    Forward,
    Forwarder,
)
from baobabhoist.daemon.handover import (
    CONTINUITY_S,
    SendHandOver,
    accept,
    pack,
    send_nowhere,
)
from baobabhoist.daemon.places import ShardPlaces
from baobabhoist.daemon.preemption import PREEMPTED, preempt
from baobabhoist.daemon.requests import RequestBook
from baobabhoist.errors import ErrorKind, InvariantBreachError, LinkClosedError, Refusal
from baobabhoist.model import EndedTask, Outcome, Request, RunningTask, Task, WorkerSpec, WorkKind
from baobabhoist.observability.events import Event, emit
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
BATCH = 32
USABLE_STATES = (ClaimState.PARTIAL, ClaimState.OWNED)


class ShardOwner:
    """Run the decisions of one shard while this instance owns it; one object per claim."""

    def __init__(
        self,
        claim: ShardClaim,
        workers: Iterable[WorkerSpec],
        table: Table,
        escrow: Callable[[str], Mapping[str, int] | None] = lambda shard: None,
        *,
        times: ShardTimes | None = None,
        forward: Forward = lambda _: None,
        send_hand_over: SendHandOver = send_nowhere,
        inherited: HandOver | None = None,
        make_link: Callable[[WorkerSpec, OnConnectionChange], WorkerConnection] = WorkerLink,
        clock: Callable[[], float] = time.time,
        observer: Observer | None = None,
    ) -> None:
        specs = list(workers)
        times = times or ShardTimes()
        self.shard = claim.shard
        self.claim = claim
        self.quota = QuotaLedger(claim.shard)
        self.quota.begin_takeover()
        self.keys = RequestKeyLedger(clock_skew_s=times.clock_skew_s)
        self.places = ShardPlaces(self.quota, self._kind_of)
        self.scheduler = Scheduler.for_workers(specs, self.places)
        self.scheduler.queues.is_class_full = self.places.is_full
        self.leaving: set[str] = set()
        self.barred: dict[str, float] = {}
        # Tasks that a worker was asked to end; their end says nothing about health or size.
        self.stopping: set[str] = set()
        self._escrow = escrow
        self._send_hand_over = send_hand_over
        self._inherited = inherited
        self._inherited_at = clock()
        self._clock = clock
        self._observer = observer
        self.in_flight: dict[str, str] = {}
        self.adoption = Adoption(self)
        self._up: set[str] = set()
        self._specs = {spec.name: spec for spec in specs}
        self._tasks: set[asyncio.Task[None]] = set()
        self._owned_before = False
        self._moved = False
        self.pool = WorkerPool(specs, self._connection_changed, make_link)
        self.leases = Leases(times.lease_s, times.clock_skew_s)
        self.fencing = Fencing(claim, table, self.pool, self.leases, self, clock)
        self.dispatcher = Dispatcher(
            self.pool, self.leases, lambda: self.claim.token, self.fencing.refused, clock
        )
        self.book = RequestBook(self.shard, self.keys, self.dispatcher.resolve, clock)
        self.open = self.book.open
        self.forwarder = Forwarder(self, forward)

    async def run(self) -> None:
        """Claim the shard and drive it; return when it is lost or handed over.

        Calls that workers still answer are awaited first, so that no caller loses its answer.
        """
        self.pool.start()
        ticking = asyncio.create_task(self._tick())
        try:
            await self.fencing.run()
            self._give_up()
            while self._tasks and (self.in_flight or self.forwarder.out()):
                await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            ticking.cancel()
            for task in self._tasks:
                task.cancel()
            self.pool.stop()
            self.book.end()

    @property
    def usable(self) -> bool:
        """Tell whether work may be accepted."""
        return self.claim.state in USABLE_STATES

    @property
    def queue(self) -> Scheduler:
        """Return the scheduler."""
        return self.scheduler

    @property
    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self._clock()

    def owned_at(self, at: float) -> bool:
        """Tell whether this instance certainly owned the shard at a time; if not, find out."""
        if self.claim.is_confirmed_since(at):
            return True
        self.fencing.confirm_soon()
        return False

    async def submit(self, req: Request, forwarded: bool = False) -> Result:
        """Return the answer to a request, or the reason why there is none."""
        if not self.usable:
            return not_owner(self.shard)
        now = self._clock()
        if self.claim.state is not ClaimState.OWNED and not req.first_attempt:
            # Only the inventories of all workers tell whether this key has run.
            return not_owner(self.shard)
        if req.request_id in self.barred:
            return Refusal(ErrorKind.CANCELLED, "the task was cancelled")
        result = await self._submit(req, forwarded, now)
        return await self._certain(req, result)

    async def _certain(self, req: Request, result: Result) -> Result:
        """Withdraw a `not_run` if another owner may run a copy of the request by now."""
        refused = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
        if not refused or req.first_attempt or await self.fencing.confirmed(self._clock()):
            return result
        return not_owner(self.shard, Outcome.UNKNOWN)

    async def _submit(self, req: Request, forwarded: bool, now: float) -> Result:
        decision = self.keys.admit(req, now)
        if isinstance(decision, ReplyNow):
            return await self.book.answers.whole(req, decision.result)
        entry = self.book.entry(req, now)
        if not isinstance(decision, JoinExisting):
            entry.forwarded = forwarded
            refusal = self.places.never_starts(req.task) or self.scheduler.enqueue(req.task, now)
            if refusal is not None:
                return self.finish(req.request_id, refusal)
            self.dispatch(now)
        result = await self.book.wait(req, entry)
        return self._deadline_passed(req) if result is None else result

    def _deadline_passed(self, req: Request) -> Result:
        entry = self.open.get(req.request_id)
        if entry is not None and not entry.forwarding and self.scheduler.cancel(req.request_id):
            late = Refusal(
                ErrorKind.DEADLINE_PASSED,
                "the deadline passed in the queue",
                remedy="send the request under a new key with a later deadline",
            )
            return self.finish(req.request_id, late)
        return outcome_unknown("the deadline passed while the task was with a worker")

    def dispatch(self, now: float) -> None:
        """Start what fits now; bounded batches leave room for other work in between."""
        if not self.usable:
            return
        begun = time.perf_counter()
        try:
            batch = self.scheduler.next_batch(now, BATCH)
        except InvariantBreachError:
            return
        decision_s = (time.perf_counter() - begun) / max(1, len(batch))
        for placement in batch:
            if self._observer is not None:
                self._observer.decided(placement.task, decision_s)
            self.start(placement, now)
        if len(batch) >= BATCH:
            asyncio.get_running_loop().call_soon(lambda: self.dispatch(self._clock()))

    def start(self, placement: Placement, now: float) -> None:
        """Send a placed task to its worker."""
        task, worker = placement.task, placement.worker
        if not (self.claim.can_dispatch_to(worker) and self.pool.is_connected(worker)):
            self.take_back(task.task_id, now)
            self._worker_down(worker)
            self._enqueue_again(task, now)
            return
        try:
            self.keys.record_dispatch(task.task_id, worker)
        except InvariantBreachError:
            self.take_back(task.task_id, now)
            return
        self.in_flight[task.task_id] = worker
        if self._observer is not None:
            self._observer.started(task, now)
        self.spawn(self._execute(placement))

    def _enqueue_again(self, task: Task, now: float) -> None:
        """Queue a task again as it was declared, not with what it was granted."""
        entry = self.open.get(task.task_id)
        declared = entry.req.task if entry is not None else task
        refusal = self.scheduler.enqueue(declared, now)
        if refusal is not None:
            self.finish(task.task_id, refusal)

    def take_back(self, task_id: str, now: float) -> None:
        """Free what a placed task holds that was not sent."""
        self.places.confirmed.add(task_id)
        self.scheduler.task_ended(task_id, False, now, preempted=True)

    async def _execute(self, placement: Placement) -> None:
        task, worker = placement.task, placement.worker
        begun = self._clock()
        try:
            fate = await self.dispatcher.execute(task, worker)
        finally:
            self.in_flight.pop(task.task_id, None)
        now = self._clock()
        if isinstance(fate, Superseded):
            self._superseded(task.task_id, fate)
            return
        succeeded = isinstance(fate, Ended) and fate.succeeded
        if isinstance(fate, NeverRan):
            # A refused start says nothing about the worker's health or the task's size.
            self.take_back(task.task_id, now)
            stopped = False
        else:
            if self._observer is not None:
                self._observer.ended(task, now - begun)
            if isinstance(fate, Ended) and fate.confirmed:
                self.places.confirmed.add(task.task_id)
            stopped = task.task_id in self.stopping and not succeeded
            self.scheduler.task_ended(task.task_id, succeeded, now, preempted=stopped)
        self.stopping.discard(task.task_id)
        if isinstance(fate, Lost) and self.keys.requeue_for_retry(
            task.task_id, task.deadline, now
        ):
            self._enqueue_again(task, now)
        else:
            ended = isinstance(fate, Ended)
            result = PREEMPTED if stopped and ended else result_of_fate(task.task_id, fate)
            self.finish(task.task_id, result)
        self.dispatch(now)

    def _superseded(self, task_id: str, fate: Superseded) -> None:
        """Let the entry instance ask the new owner; the place is the new owner's to count."""
        known = self.keys.entries.get(task_id)
        once = known is not None and known.dispatch_count <= 1
        outcome = Outcome.NOT_RUN if once and not fate.sent else Outcome.UNKNOWN
        self.book.give(task_id, not_owner(self.shard, outcome))

    def _kind_of(self, task_id: str) -> WorkKind:
        # Only the tasks of gangs take places before their requests arrive, for a hold.
        entry = self.open.get(task_id)
        return entry.req.task.kind if entry is not None else WorkKind.GANG

    def finish(self, request_id: str, result: Result) -> Result:
        """Store the result of a request and give it to those who wait."""
        return self.book.finish(request_id, result)

    def _give_up(self) -> None:
        self.forwarder.freeze()
        elsewhere = self.in_flight.keys() | self.forwarder.out()
        self.book.give_up(elsewhere, self._moved)

    # What the fencing reports.

    def state_changed(self, state: ClaimState) -> None:
        """Take the new state of the claim."""
        if state is ClaimState.OWNED and not self._owned_before:
            self._owned_before = True
            self._begin_ownership()
        self.refresh_places()

    def inventory(self, worker: str, running: list[RunningTask], ended: list[EndedTask]) -> None:
        """Take the inventory of a worker that holds the token, before it gets work."""
        self.adoption.inventory(worker, running, ended)

    def leases_renewed(self, worker: str, reply: LeasesRenewed, mark: int) -> None:
        """Compare a worker's report with the tasks that were adopted."""
        self.places.confirm_ends(worker, mark)
        self.adoption.reported(worker, reply.running)

    def worker_restarted(self, worker: str) -> None:
        """Learn that a worker may have forgotten the tasks it was sent."""
        self.dispatcher.worker_restarted(worker)

    def renewal_mark(self) -> int:
        """Return the number of the last end that is known before a renewal is sent."""
        return self.quota.end_watermark()

    def usable_workers_changed(self) -> None:
        """Compare the workers that may get work with those that do."""
        for worker in self.claim.workers:
            usable = (
                self.claim.can_dispatch_to(worker)
                and self.pool.is_connected(worker)
                and worker not in self.leaving
            )
            if usable and worker not in self._up:
                self._up.add(worker)
                self.scheduler.worker_up(worker)
                self.dispatch(self._clock())
            elif not usable:
                self._worker_down(worker)

    async def send_queue(self, successor: str, token: Token) -> bool | None:
        """Send the queue; tell whether it was taken, None when that is not known."""
        emit(log, Event.HAND_OVER_STARTED, shard=self.shard, instance_id=successor)
        self._moved = True
        self.forwarder.freeze()
        message = pack(self.shard, token, self.claim.instance_id, self.keys, self.open)
        return await self._send_hand_over(successor, message)

    # What the instance reports.

    async def set_workers(self, specs: Iterable[WorkerSpec]) -> None:
        """Take the workers that the shard's record names now."""
        workers = list(specs)
        gone = set(self.claim.workers) - {spec.name for spec in workers}
        self._specs = {spec.name: spec for spec in workers}
        self.scheduler.set_workers(workers)
        self.pool.set_workers(workers)
        for worker in gone:
            self._worker_down(worker)
        await self.fencing.set_workers(spec.name for spec in workers)

    def set_leaving(self, leaving: set[str]) -> None:
        """Take the workers that leave or are drained; they get no new work from now on."""
        for worker in leaving - self.leaving:
            emit(log, Event.WORKER_LEAVING, worker=worker)
            self.scheduler.worker_leaving(worker)
            self._up.discard(worker)
        self.leaving = set(leaving)
        self.usable_workers_changed()

    def refresh_places(self) -> None:
        """Use the full escrow once the table has confirmed the epoch and all is resolved."""
        if self.quota.takeover_cap is not None and self.claim.can_use_full_escrow:
            places = self._escrow(self.shard)
            if places is not None:
                self.use_escrow(places)

    def use_escrow(self, places: Mapping[str, int]) -> None:
        """End the takeover cap; the places were read after the table confirmed the epoch."""
        self.quota.lift_takeover_cap(dict(places))
        emit(log, Event.TAKEOVER_CAP_LIFTED, shard=self.shard)

    def free_slots(self) -> int:
        """Return the slots of usable workers that no task holds."""
        slots = sum(self._specs[worker].capacity.slots for worker in self._up)
        return max(0, slots - len(self.quota.running))

    def running_on(self, task_id: str) -> str | None:
        """Return the worker that runs a task, or None."""
        return self.in_flight.get(task_id) or self.adoption.worker_of(task_id)

    def open_requests(self) -> int:
        """Return the number of requests without a result."""
        return len(self.open)

    def cancel_queued(self, task_id: str, refusal: Refusal) -> bool:
        """Drop a queued task; tell whether it was still queued."""
        if not self.scheduler.cancel(task_id):
            return False
        self.finish(task_id, refusal)
        return True

    async def tell_worker(self, worker: str, message: Any) -> bool:
        """Send a worker a call; tell whether it was confirmed."""
        try:
            reply = await self.pool.call(worker, message, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            log.info("worker %s did not confirm %s", worker, type(message).__name__)
            return False
        return not isinstance(reply, TokenRefused)

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that ends with the shard at the latest."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            emit(log, Event.TASK_CRASHED, detail=repr(task.exception()))

    async def _connection_changed(self, worker: str, connected: bool) -> None:
        event = Event.WORKER_CONNECTED if connected else Event.WORKER_DISCONNECTED
        emit(log, event, worker=worker)
        await self.fencing.connection_changed(worker, connected)

    def _worker_down(self, worker: str) -> None:
        if worker in self._up:
            self._up.discard(worker)
            self.scheduler.worker_down(worker)

    def _known_since(self) -> float:
        """Return the time after which no key was sent that this owner cannot know of.

        After a planned hand-over the previous owner's knowledge continues, if no other owner
        came between and the sender cannot have resumed since.
        """
        now, message = self._clock(), self._inherited
        if message is None or message.known_since is None:
            return now
        fresh = now - self._inherited_at <= CONTINUITY_S
        return message.known_since if fresh and self.fencing.follows(message.token) else now

    def _begin_ownership(self) -> None:
        """Decide from when on keys are known: a planned hand-over leaves no gap."""
        self.keys.begin_ownership(self._known_since())
        message, self._inherited = self._inherited, None
        if message is not None:
            self._take_queue(message)

    def _take_queue(self, message: HandOver) -> None:
        """Queue what the previous owner handed over, once all inventories are known."""
        now = self._clock()
        for req in accept(message, self.keys, now):
            self.book.entry(req, now)
            refusal = self.scheduler.enqueue(req.task, now)
            if refusal is not None:
                self.finish(req.request_id, refusal)
        self.dispatch(now)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock()
            try:
                self._tick_once(now)
            except InvariantBreachError:
                continue

    def _tick_once(self, now: float) -> None:
        self.book.expire(now)
        for task_id in [name for name, until in self.barred.items() if until <= now]:
            del self.barred[task_id]
        for task in self.scheduler.expire(now):
            late = Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed in the queue")
            self.finish(task.task_id, late)
        for task, refusal in self.scheduler.take_refused():
            self.finish(task.task_id, refusal)
        for preemption in self.scheduler.take_preemptions():
            self.spawn(preempt(self, preemption))
        self.refresh_places()
        self.dispatch(now)
        self.forwarder.tick(now)
