"""Drive the claim on one shard: its row in the table, its workers' tokens and their leases."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.dispatch import WORKER_CALL_TIMEOUT_S, WorkerLeases
from baobabhoist.errors import InvariantViolationError, LinkClosedError, PlatformError
from baobabhoist.model import EndedTask, RunningTask
from baobabhoist.observability.events import Event, emit
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import (
    AdvanceEpoch,
    ClaimAction,
    ClaimEvent,
    ClaimRequested,
    ClaimState,
    EpochConflict,
    EpochGranted,
    EpochUnavailable,
    FenceRefused,
    HandOverAccepted,
    HandOverRefused,
    HandOverRequested,
    PresentToken,
    ReleaseRequested,
    SendQueue,
    StateChanged,
    Tick,
    WorkerConfirmed,
    WorkerConnected,
    WorkerDisconnected,
    WorkerFenced,
    WorkerReportedGone,
    WorkerReportedLive,
    WorkersChanged,
)
from baobabhoist.ownership.tokens import Token
from baobabhoist.store.table import Committed, Table, Transaction, call_with_timeout
from baobabhoist.upstream.messages import (
    FenceWorker,
    LeasesRenewed,
    ReadInventory,
    RenewLeases,
    TokenRefused,
    WorkerFencedReply,
)
from baobabhoist.upstream.pool import WorkerPool

log = logging.getLogger(__name__)

RENEW_INTERVAL_S = 1.0
FENCE_RETRY_INTERVAL_S = 0.1
TICK_INTERVAL_S = 0.2
# A takeover must finish within 5 s, of which 2 s pass before the owner is considered dead.
CLAIM_TABLE_TIMEOUT_S = 0.7
EPOCH_CONFIRM_INTERVAL_S = 1.0
# Consecutive lease renewals that may time out before the connection is replaced.
MAX_RENEWAL_TIMEOUTS = 2
FENCE_CALL_TIMEOUT_S = 2.0
CONFIRM_ATTEMPTS = 3
CONFIRM_SAMPLE_SIZE = 3

ENDED_STATES = (ClaimState.LOST, ClaimState.IDLE)

# These arrive once a second for each worker. Without an action of the claim, they can change the
# set of usable workers only while some worker is unverified.
ROUTINE_EVENTS = (WorkerConfirmed, WorkerReportedLive, WorkerReportedGone)


class ClaimListener(Protocol):
    """Receive the events of a shard's claim."""

    def on_state_changed(self, state: ClaimState) -> None:
        """Handle a new state of the claim."""

    def on_inventory(self, worker: str, running: list[RunningTask], ends: list[EndedTask]) -> None:
        """Handle the inventory of a newly fenced worker, before work is dispatched to it."""

    def end_watermark(self) -> int:
        """Return the number of the last task end known before a renewal is sent."""

    def on_leases_renewed(self, worker: str, reply: LeasesRenewed, watermark: int) -> None:
        """Handle a worker's list of running tasks, with the watermark taken before the call."""

    def on_worker_restarted(self, worker: str) -> None:
        """Handle a worker that may have lost the tasks it was sent."""

    def update_usable_workers(self) -> None:
        """Update the set of workers that work may be dispatched to."""

    async def send_queue(self, successor: str, token: Token) -> bool | None:
        """Send the queue; return whether it was accepted, or None if that is unknown."""


@attrs.define
class WorkerInventory:
    """Collect the pages of one worker's inventory."""

    running: list[RunningTask] = attrs.Factory(list)
    ended: list[EndedTask] = attrs.Factory(list)
    previous: Token | None = None


class ClaimDriver:
    """Execute the actions of the claim's state machine and feed events to it."""

    def __init__(
        self,
        claim: ShardClaim,
        table: Table,
        pool: WorkerPool,
        leases: WorkerLeases,
        listener: ClaimListener,
        clock: Callable[[], float],
    ) -> None:
        self.claim = claim
        self.ended = asyncio.Event()
        # Revision of the shard's row when it last named this claim; transactions check it.
        self.row_revision = 0
        self._table = table
        self._pool = pool
        self._leases = leases
        self._listener = listener
        self._clock = clock
        self._row_key = f"shard/{claim.shard}"
        self._tasks: set[asyncio.Task[None]] = set()
        self._presented_tokens: dict[str, Token] = {}
        # The token that each worker held before the first one of this claim.
        self._previous_tokens: dict[str, Token | None] = {}
        self._renewal_timeouts: dict[str, int] = {}
        self._has_claimed = False
        self._confirmation: asyncio.Task[None] | None = None
        self._hand_over_finished = asyncio.Event()

    async def run(self) -> None:
        """Claim the shard and keep it; return when it is lost or released."""
        background_tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._renew_leases()),
        ]
        try:
            await self._claim_shard()
            self._has_claimed = True
            background_tasks.append(asyncio.create_task(self._confirm_epoch()))
            self._check_ended()
            await self.ended.wait()
        finally:
            for task in (*background_tasks, *self._tasks):
                task.cancel()

    async def release(self) -> None:
        """Release the shard."""
        await self.apply(ReleaseRequested())

    async def hand_over(self, successor: str) -> bool:
        """Stop dispatch, send the queue to the successor and return whether the claim ended.

        The claim itself aborts a hand-over whose deadline passes.
        """
        self._hand_over_finished.clear()
        await self.apply(HandOverRequested(successor))
        if self.claim.state is ClaimState.HANDING_OVER:
            await self._hand_over_finished.wait()
        return self.ended.is_set()

    def directly_follows(self, token: Token) -> bool:
        """Return whether this token directly preceded this claim's tokens on every worker."""
        return all(self._previous_tokens.get(worker) == token for worker in self.claim.workers)

    async def verify_owned(self, at: float) -> bool:
        """Return whether this instance certainly owned the shard at a time; may call workers."""
        for _ in range(CONFIRM_ATTEMPTS):
            if self.claim.is_confirmed_since(at) or self.ended.is_set():
                break
            await asyncio.wait((self.start_confirmation(),))
        return self.claim.is_confirmed_since(at)

    def start_confirmation(self) -> asyncio.Task[None]:
        """Ask some workers to confirm the token; concurrent callers share one round."""
        if self._confirmation is None or self._confirmation.done():
            self._confirmation = asyncio.create_task(self._confirm_with_workers())
        return self._confirmation

    async def _confirm_with_workers(self) -> None:
        workers = [name for name in self.claim.fenced_workers if self._pool.is_connected(name)]
        sample = workers[:CONFIRM_SAMPLE_SIZE]
        await asyncio.gather(*(self._renew_worker(worker) for worker in sample))

    async def on_token_refused(self, worker: str, highest: Token) -> None:
        """Handle a worker that obeys a higher token."""
        if highest > self.claim.token:
            emit(log, Event.TOKEN_REFUSED, worker=worker, token=highest)
        await self.apply(FenceRefused(worker, highest))

    async def on_connection_changed(self, worker: str, connected: bool) -> None:
        """Handle an opened or closed connection to a worker."""
        await self.apply(WorkerConnected(worker) if connected else WorkerDisconnected(worker))

    async def set_workers(self, workers: Iterable[str]) -> None:
        """Set the workers that the shard's record lists."""
        names = tuple(workers)
        if names != self.claim.workers:
            await self.apply(WorkersChanged(names))

    async def on_membership_read(self, gone: set[str]) -> None:
        """Handle a read of the membership list."""
        for worker in self.claim.workers:
            event = WorkerReportedGone if worker in gone else WorkerReportedLive
            await self.apply(event(worker))

    async def apply(self, event: ClaimEvent) -> None:
        """Feed an event to the claim and perform the resulting actions.

        Events are ignored once this driver has ended, because another driver of this instance may
        own the claim by then.
        """
        if self.ended.is_set():
            return
        had_unverified = bool(self.claim.unverified_workers)
        try:
            actions = self.claim.step(event, self._clock())
        except InvariantViolationError:
            # The rejected step had no effect and is counted as a breach; the claim continues.
            return
        self._check_ended()
        for action in actions:
            await self._perform(action)
        if actions or had_unverified or not isinstance(event, ROUTINE_EVENTS):
            self._listener.update_usable_workers()

    def _check_ended(self) -> None:
        if self._has_claimed and self.claim.state in ENDED_STATES:
            self.ended.set()

    async def _perform(self, action: ClaimAction) -> None:
        match action:
            case AdvanceEpoch(expected, target):
                await self.apply(await self._advance_epoch(expected, target))
            case PresentToken(worker, token):
                self._start_fencing(worker, token)
            case SendQueue(successor, token):
                self._spawn(self._send_queue(successor, token))
            case StateChanged(state):
                shard, token = self.claim.shard, self.claim.token
                emit(log, Event.SHARD_STATE, shard=shard, state=state.value, token=token)
                if state is not ClaimState.HANDING_OVER:
                    self._hand_over_finished.set()
                self._listener.on_state_changed(state)

    async def _claim_shard(self) -> None:
        try:
            row = await call_with_timeout(CLAIM_TABLE_TIMEOUT_S, self._table.read(self._row_key))
            epoch: int | None = _stored_epoch(row.value)
        except (PlatformError, TimeoutError):
            emit(log, Event.EPOCH_UNAVAILABLE, shard=self.claim.shard)
            epoch = None
        await self.apply(ClaimRequested(epoch))

    async def _advance_epoch(
        self, expected: int, target: int
    ) -> EpochGranted | EpochConflict | EpochUnavailable:
        claimant, key = self.claim.instance_id, self._row_key
        deadline = time.monotonic() + CLAIM_TABLE_TIMEOUT_S
        try:
            row = await call_with_timeout(deadline - time.monotonic(), self._table.read(key))
            stored_epoch = _stored_epoch(row.value)
            if stored_epoch == target and row.value["owner"] == claimant:
                # An earlier commit took effect but its acknowledgement was lost.
                self.row_revision = row.revision
                return EpochGranted(target)
            if stored_epoch != expected:
                return EpochConflict(stored_epoch)
            txn = Transaction({key: row.revision}, {key: {"epoch": target, "owner": claimant}})
            outcome = await call_with_timeout(deadline - time.monotonic(), self._table.commit(txn))
            if isinstance(outcome, Committed):
                self.row_revision = outcome.revisions[key]
                return EpochGranted(target)
            row = await call_with_timeout(deadline - time.monotonic(), self._table.read(key))
            return EpochConflict(_stored_epoch(row.value))
        except (PlatformError, TimeoutError):
            emit(log, Event.EPOCH_UNAVAILABLE, shard=self.claim.shard)
            return EpochUnavailable()

    async def _confirm_epoch(self) -> None:
        """Advance the epoch in the table once it is reachable, after a claim without it."""
        while True:
            await asyncio.sleep(EPOCH_CONFIRM_INTERVAL_S)
            if self.claim.is_epoch_committed:
                continue
            try:
                epoch = _stored_epoch((await self._table.read(self._row_key)).value)
            except PlatformError:
                continue
            await self.apply(ClaimRequested(epoch))

    async def _send_queue(self, successor: str, token: Token) -> None:
        is_accepted = await self._listener.send_queue(successor, token)
        if is_accepted is not None:
            await self.apply(HandOverAccepted() if is_accepted else HandOverRefused())

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.apply(Tick())

    def _start_fencing(self, worker: str, token: Token) -> None:
        if self._presented_tokens.get(worker) != token:
            self._presented_tokens[worker] = token
            self._spawn(self._fence_worker(worker, token))

    async def _fence_worker(self, worker: str, token: Token) -> None:
        try:
            while self.claim.token == token and not self.ended.is_set():
                sent_at = self._clock()
                reply = await self._present_token(worker, token)
                if reply is None:
                    await asyncio.sleep(FENCE_RETRY_INTERVAL_S)
                    continue
                break
            else:
                return
        finally:
            if self._presented_tokens.get(worker) == token:
                del self._presented_tokens[worker]
        if isinstance(reply, TokenRefused):
            await self.on_token_refused(worker, reply.highest)
        elif self.claim.token == token:
            # A previous token of this claim proves that the worker has not lost its state since.
            claimant = self.claim.instance_id
            if reply.previous is None or reply.previous.instance_id != claimant:
                self._listener.on_worker_restarted(worker)
            self._previous_tokens.setdefault(worker, reply.previous)
            self._listener.on_inventory(worker, reply.running, reply.ended)
            running, ended = tuple(reply.running), tuple(reply.ended)
            await self.apply(WorkerFenced(worker, token, running, ended, reply.previous, sent_at))

    async def _present_token(
        self, worker: str, token: Token
    ) -> TokenRefused | WorkerInventory | None:
        """Present the token and read all pages of the worker's inventory."""
        inventory = WorkerInventory()
        call: Any = FenceWorker(self.claim.shard, token)
        try:
            while True:
                reply = await self._pool.call(worker, call, FENCE_CALL_TIMEOUT_S)
                if not isinstance(reply, WorkerFencedReply):
                    return reply if isinstance(reply, TokenRefused) else None
                inventory.running.extend(reply.running)
                inventory.ended.extend(reply.ended)
                inventory.previous = inventory.previous or reply.previous
                if not reply.next_page:
                    return inventory
                call = ReadInventory(token, reply.next_page)
        except LinkClosedError:
            return None
        except TimeoutError:
            self._pool.reconnect(worker)
            return None

    async def _renew_leases(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            for worker in list(self.claim.fenced_workers):
                if self._pool.is_connected(worker):
                    self._spawn(self._renew_worker(worker))

    async def _renew_worker(self, worker: str) -> None:
        sent_at, watermark = self._clock(), self._listener.end_watermark()
        token = self.claim.token
        call = RenewLeases(token, self._leases.extend(worker, sent_at))
        try:
            reply = await self._pool.call(worker, call, WORKER_CALL_TIMEOUT_S)
        except LinkClosedError:
            return
        except TimeoutError:
            self._count_renewal_timeout(worker)
            return
        self._renewal_timeouts.pop(worker, None)
        if isinstance(reply, TokenRefused):
            await self.on_token_refused(worker, reply.highest)
        elif isinstance(reply, LeasesRenewed) and worker in self.claim.fenced_workers:
            await self.apply(WorkerConfirmed(worker, token, sent_at))
            self._listener.on_leases_renewed(worker, reply, watermark)

    def _count_renewal_timeout(self, worker: str) -> None:
        self._renewal_timeouts[worker] = self._renewal_timeouts.get(worker, 0) + 1
        if self._renewal_timeouts[worker] >= MAX_RENEWAL_TIMEOUTS:
            del self._renewal_timeouts[worker]
            self._pool.reconnect(worker)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _stored_epoch(value: Any) -> int:
    return int(value["epoch"]) if value else 0
