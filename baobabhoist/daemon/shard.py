"""Own one shard: its claim, its queue, its keys and the links to its workers."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from baobabhoist.errors import ErrorKind, LinkClosedError, PlatformError, Refusal
from baobabhoist.model import Answer, Outcome, Request, RunningTask, Task, WorkerSpec
from baobabhoist.ownership.claim import (
    Action,
    AdvanceEpoch,
    ClaimWanted,
    EpochGranted,
    EpochUnavailable,
    Event,
    FenceRefused,
    PresentToken,
    ShardClaim,
    ShardState,
    StateChanged,
    WorkerFenced,
)
from baobabhoist.ownership.keys import Join, KeyLedger, Reply, Result
from baobabhoist.ownership.tokens import Token
from baobabhoist.platform.table import Committed, Table, Transaction
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.scheduler import Placement, Scheduler
from baobabhoist.upstream.link import WorkerLink
from baobabhoist.upstream.messages import (
    FenceWorker,
    QueryOutcome,
    RenewLeases,
    RunTask,
    TaskEnded,
    TaskRefused,
    TokenRefused,
    WorkerFencedReply,
)

log = logging.getLogger(__name__)

LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
OUTCOME_TIMEOUT_S = 2.0
BACKOFF_MAX_S = 0.5

HTTP_OK = 200


class ShardOwner:
    """Run the decisions of one shard while this instance owns it."""

    def __init__(
        self,
        shard: str,
        instance_id: str,
        workers: list[WorkerSpec],
        table: Table,
        escrow: Callable[[str], Mapping[str, int]],
    ) -> None:
        names = tuple(spec.name for spec in workers)
        self.shard = shard
        self.claim = ShardClaim(shard, instance_id, names)
        self.quota = QuotaLedger(shard)
        self.keys = KeyLedger()
        self.scheduler = Scheduler.over(workers, self.quota)
        self._table = table
        self._escrow = escrow
        self._links = {spec.name: WorkerLink(spec, self._worker_changed) for spec in workers}
        self._inherited: list[RunningTask] = []
        self._waiting: dict[str, asyncio.Future[Result]] = {}
        self._dispatches: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Keep the links, claim the shard and drive it until cancelled."""
        async with asyncio.TaskGroup() as tg:
            for link in self._links.values():
                tg.create_task(link.run())
            tg.create_task(self._renew())
            await self._claim()

    async def submit(self, req: Request) -> Result:
        """Return the answer to a request, or the reason why there is none."""
        if self.claim.state is not ShardState.OWNED:
            return Refusal(
                ErrorKind.SHARD_UNAVAILABLE,
                f"shard {self.shard} has no owner yet",
                remedy="send the request again",
                retry_after_s=0.5,
            )
        now = time.time()
        decision = self.keys.admit(req, now)
        if isinstance(decision, Reply):
            return decision.result
        if isinstance(decision, Join):
            return await asyncio.shield(self._waiting[req.request_id])
        fut: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._waiting[req.request_id] = fut
        refusal = self.scheduler.enqueue(req.task, now)
        if refusal is not None:
            self._finish(req.request_id, refusal)
        else:
            self._dispatch(now)
        return await asyncio.shield(fut)

    def _dispatch(self, now: float) -> None:
        for task in self.scheduler.expire(now):
            refusal = Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed in the queue")
            self._finish(task.task_id, refusal)
        for placement in self.scheduler.next_batch(now):
            self.keys.dispatched(placement.task.task_id)
            running = asyncio.create_task(self._execute(placement))
            self._dispatches.add(running)
            running.add_done_callback(self._dispatches.discard)

    async def _execute(self, placement: Placement) -> None:
        task = placement.task
        result = await self._run_on_worker(task, placement.worker)
        self._finish(task.task_id, result)
        now = time.time()
        self.scheduler.ended(task.task_id, isinstance(result, Answer), now)
        self._dispatch(now)

    async def _run_on_worker(self, task: Task, worker: str) -> Result:
        link = self._links[worker]
        now = time.time()
        call = RunTask(self.claim.token, task, now + LEASE_S)
        try:
            reply = await link.call(call, task.deadline - now)
        except (LinkClosedError, TimeoutError):
            reply = await self._query_outcome(task, link)
        return _result_of(task, reply)

    async def _query_outcome(self, task: Task, link: WorkerLink) -> Any:
        give_up_at = time.time() + OUTCOME_TIMEOUT_S
        while time.time() < give_up_at:
            try:
                report = await link.call(
                    QueryOutcome(self.claim.token, task.task_id), CALL_TIMEOUT_S
                )
            except (LinkClosedError, TimeoutError):
                await asyncio.sleep(RENEW_INTERVAL_S / 10)
                continue
            if report.ended is not None:
                return TaskEnded(task.task_id, report.ended.succeeded, report.ended.body)
            if report.state == "never":
                return TaskRefused(task.task_id, "the worker never received it")
            await asyncio.sleep(RENEW_INTERVAL_S / 10)
        return None

    def _finish(self, request_id: str, result: Result) -> None:
        self.keys.answered(request_id, result)
        fut = self._waiting.pop(request_id, None)
        if fut is not None and not fut.done():
            fut.set_result(result)

    async def _claim(self) -> None:
        while True:
            await self._claim_epoch()
            while self.claim.state is not ShardState.LOST:
                await asyncio.sleep(RENEW_INTERVAL_S)
                self.keys.expire(time.time())
            await asyncio.sleep(random.uniform(0, BACKOFF_MAX_S))

    async def _claim_epoch(self) -> None:
        try:
            row = await self._table.read(f"shard/{self.shard}")
            epoch: int | None = row.value["epoch"] if row.value else 0
        except PlatformError:
            epoch = None
        await self._apply(ClaimWanted(epoch))

    async def _apply(self, event: Event) -> None:
        for action in self.claim.step(event, time.time()):
            await self._perform(action)

    async def _perform(self, action: Action) -> None:
        match action:
            case AdvanceEpoch(expected):
                await self._apply(await self._advance_epoch(expected))
            case PresentToken(worker, token):
                self._spawn(self._fence(worker, token))
            case StateChanged(state):
                self._state_changed(state)

    def _spawn(self, coro: Any) -> None:
        running = asyncio.create_task(coro)
        self._dispatches.add(running)
        running.add_done_callback(self._dispatches.discard)

    async def _advance_epoch(self, expected: int) -> EpochGranted | EpochUnavailable:
        key = f"shard/{self.shard}"
        try:
            row = await self._table.read(key)
            value = {"epoch": expected + 1, "owner": self.claim.instance_id}
            outcome = await self._table.commit(Transaction({key: row.revision}, {key: value}))
        except PlatformError:
            return EpochUnavailable()
        if isinstance(outcome, Committed):
            return EpochGranted(expected + 1)
        return EpochUnavailable()

    async def _fence(self, worker: str, token: Token) -> None:
        while self.claim.token == token:
            try:
                reply = await self._links[worker].call(
                    FenceWorker(self.shard, token), CALL_TIMEOUT_S
                )
            except (LinkClosedError, TimeoutError):
                await asyncio.sleep(RENEW_INTERVAL_S / 10)
                continue
            if isinstance(reply, WorkerFencedReply):
                self._inherited.extend(reply.running)
                await self._apply(WorkerFenced(worker, token, reply.running, reply.ended))
                self.scheduler.worker_up(worker)
            elif isinstance(reply, TokenRefused):
                await self._apply(FenceRefused(worker, reply.highest))
            return

    def _state_changed(self, state: ShardState) -> None:
        log.info("shard %s is %s under %s", self.shard, state.value, self.claim.token)
        if state is ShardState.OWNED:
            self.keys.taken_over_at = time.time()
            self.quota.uncap(dict(self._escrow(self.shard)))

    async def _worker_changed(self, worker: str, connected: bool) -> None:
        if not connected:
            self.scheduler.worker_down(worker)
        elif worker in self.claim.fenced:
            self._spawn(self._fence(worker, self.claim.token))

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            for worker in list(self.claim.fenced):
                self._spawn(self._renew_worker(worker))

    async def _renew_worker(self, worker: str) -> None:
        call = RenewLeases(self.claim.token, time.time() + LEASE_S)
        try:
            reply = await self._links[worker].call(call, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return
        if isinstance(reply, TokenRefused):
            await self._apply(FenceRefused(worker, reply.highest))


def _result_of(task: Task, reply: Any) -> Result:
    match reply:
        case TaskEnded(succeeded=True):
            return Answer(task.task_id, HTTP_OK, reply.body)
        case TaskEnded():
            return Refusal(ErrorKind.TASK_FAILED, "the task failed on its worker", Outcome.RAN)
        case TaskRefused():
            return Refusal(
                ErrorKind.NO_CAPACITY,
                f"the worker refused the task: {reply.reason}",
                remedy="send the request again under a new key",
                retry_after_s=0.5,
            )
        case TokenRefused():
            return Refusal(
                ErrorKind.STALE_TOKEN,
                "the shard has a new owner",
                remedy="send the request again under a new key",
                retry_after_s=0.5,
            )
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        "the worker did not report what became of the task",
        Outcome.UNKNOWN,
        "check the effect of the request before sending it under a new key",
    )
