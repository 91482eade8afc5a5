"""Drive the claim of one shard: the table's row, the workers' tokens and their leases."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.dispatch import CALL_TIMEOUT_S, Leases
from baobabhoist.errors import InvariantBreachError, LinkClosedError, PlatformError
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
from baobabhoist.store.table import Committed, Table, Transaction, within
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
RETRY_INTERVAL_S = 0.1
TICK_INTERVAL_S = 0.2
# A takeover must end within 5 s, 2 s of which pass until the owner counts as dead.
CLAIM_TABLE_DEADLINE_S = 0.7
CONFIRM_INTERVAL_S = 1.0
# Renewals in a row that time out until the connection is replaced.
SILENT_RENEWALS = 2
FENCE_CALL_TIMEOUT_S = 2.0
CONFIRM_ATTEMPTS = 3
CONFIRM_SAMPLE = 3

ENDED_STATES = (ClaimState.LOST, ClaimState.IDLE)

# These arrive once a second for each worker. Unless the claim asks for an action, they change
# which workers are usable only while some worker still has to be verified.
ROUTINE_EVENTS = (WorkerConfirmed, WorkerReportedLive, WorkerReportedGone)


class Holder(Protocol):
    """Be told by the fencing what changes for the shard."""

    def state_changed(self, state: ClaimState) -> None:
        """Take the new state of the claim."""

    def inventory(self, worker: str, running: list[RunningTask], ended: list[EndedTask]) -> None:
        """Take the inventory of a worker that holds the token, before it gets work."""

    def renewal_mark(self) -> int:
        """Return a mark of what is known before a renewal is sent."""

    def leases_renewed(self, worker: str, reply: LeasesRenewed, mark: int) -> None:
        """Take a worker's report of what it runs, with the mark taken before the call."""

    def worker_restarted(self, worker: str) -> None:
        """Learn that a worker may have forgotten the tasks it was sent."""

    def usable_workers_changed(self) -> None:
        """Compare the workers that may get work with those that do."""

    async def send_queue(self, successor: str, token: Token) -> bool | None:
        """Send the queue; tell whether it was taken, None when that is not known."""


@attrs.define
class Inventory:
    """Collect the pages of one worker's inventory."""

    running: list[RunningTask] = attrs.Factory(list)
    ended: list[EndedTask] = attrs.Factory(list)
    previous: Token | None = None


class Fencing:
    """Perform the actions of the claim machine and feed it what happens."""

    def __init__(
        self,
        claim: ShardClaim,
        table: Table,
        pool: WorkerPool,
        leases: Leases,
        holder: Holder,
        clock: Callable[[], float],
    ) -> None:
        self.claim = claim
        self.ended = asyncio.Event()
        # Of the shard's row when it last named this claim; transactions check it.
        self.row_revision = 0
        # The token that each worker held before this claim's first one.
        self._table = table
        self._pool = pool
        self._leases = leases
        self._holder = holder
        self._clock = clock
        self._row_key = f"shard/{claim.shard}"
        self._tasks: set[asyncio.Task[None]] = set()
        self._presenting: dict[str, Token] = {}
        self._held_before: dict[str, Token | None] = {}
        self._silent: dict[str, int] = {}
        self._began = False
        self._confirming: asyncio.Task[None] | None = None
        self._settled = asyncio.Event()

    async def run(self) -> None:
        """Claim the shard and hold it; return when it is lost or released."""
        loops = [asyncio.create_task(self._tick()), asyncio.create_task(self._renew())]
        try:
            await self._want()
            self._began = True
            loops.append(asyncio.create_task(self._confirm_epoch()))
            self._note_end()
            await self.ended.wait()
        finally:
            for task in (*loops, *self._tasks):
                task.cancel()

    async def release(self) -> None:
        """Give the shard up."""
        await self.apply(ReleaseRequested())

    async def hand_over(self, successor: str) -> bool:
        """Stop dispatch, send the queue to the successor; tell whether the shard was given up.

        The claim ends a hand-over by itself when its deadline passes.
        """
        self._settled.clear()
        await self.apply(HandOverRequested(successor))
        if self.claim.state is ClaimState.HANDING_OVER:
            await self._settled.wait()
        return self.ended.is_set()

    def follows(self, token: Token) -> bool:
        """Tell whether every worker held this token until it took one of this claim."""
        return all(self._held_before.get(worker) == token for worker in self.claim.workers)

    async def confirmed(self, at: float) -> bool:
        """Tell whether this instance certainly owned the shard at a time; may ask workers."""
        for _ in range(CONFIRM_ATTEMPTS):
            if self.claim.is_confirmed_since(at) or self.ended.is_set():
                break
            await asyncio.wait((self.confirm_soon(),))
        return self.claim.is_confirmed_since(at)

    def confirm_soon(self) -> asyncio.Task[None]:
        """Ask some workers to confirm the token; calls at the same time share one round."""
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._ask_workers())
        return self._confirming

    async def _ask_workers(self) -> None:
        workers = [name for name in self.claim.fenced_workers if self._pool.is_connected(name)]
        chosen = workers[:CONFIRM_SAMPLE]
        await asyncio.gather(*(self._renew_worker(worker) for worker in chosen))

    async def refused(self, worker: str, highest: Token) -> None:
        """Note that a worker obeys a higher token."""
        if highest > self.claim.token:
            emit(log, Event.TOKEN_REFUSED, worker=worker, token=highest)
        await self.apply(FenceRefused(worker, highest))

    async def connection_changed(self, worker: str, connected: bool) -> None:
        """Take a new or ended connection to a worker."""
        await self.apply(WorkerConnected(worker) if connected else WorkerDisconnected(worker))

    async def set_workers(self, workers: Iterable[str]) -> None:
        """Take the workers that the shard's record names now."""
        names = tuple(workers)
        if names != self.claim.workers:
            await self.apply(WorkersChanged(names))

    async def members_read(self, gone: set[str]) -> None:
        """Take one reading of the membership list."""
        for worker in self.claim.workers:
            event = WorkerReportedGone if worker in gone else WorkerReportedLive
            await self.apply(event(worker))

    async def apply(self, event: ClaimEvent) -> None:
        """Feed an event to the claim and perform what it asks for.

        Another object of this instance may drive the same claim once this one has ended.
        """
        if self.ended.is_set():
            return
        unverified = bool(self.claim.unverified_workers)
        try:
            actions = self.claim.step(event, self._clock())
        except InvariantBreachError:
            # The step had no effect and its breach is counted; the claim goes on without it.
            return
        self._note_end()
        for action in actions:
            await self._perform(action)
        if actions or unverified or not isinstance(event, ROUTINE_EVENTS):
            self._holder.usable_workers_changed()

    def _note_end(self) -> None:
        if self._began and self.claim.state in ENDED_STATES:
            self.ended.set()

    async def _perform(self, action: ClaimAction) -> None:
        match action:
            case AdvanceEpoch(expected, target):
                await self.apply(await self._advance(expected, target))
            case PresentToken(worker, token):
                self._present(worker, token)
            case SendQueue(successor, token):
                self._spawn(self._send_queue(successor, token))
            case StateChanged(state):
                shard, token = self.claim.shard, self.claim.token
                emit(log, Event.SHARD_STATE, shard=shard, state=state.value, token=token)
                if state is not ClaimState.HANDING_OVER:
                    self._settled.set()
                self._holder.state_changed(state)

    async def _want(self) -> None:
        try:
            row = await within(CLAIM_TABLE_DEADLINE_S, self._table.read(self._row_key))
            epoch: int | None = _epoch_of(row.value)
        except (PlatformError, TimeoutError):
            emit(log, Event.EPOCH_UNAVAILABLE, shard=self.claim.shard)
            epoch = None
        await self.apply(ClaimRequested(epoch))

    async def _advance(
        self, expected: int, target: int
    ) -> EpochGranted | EpochConflict | EpochUnavailable:
        owner, key = self.claim.instance_id, self._row_key
        until = time.monotonic() + CLAIM_TABLE_DEADLINE_S
        try:
            row = await within(until - time.monotonic(), self._table.read(key))
            held = _epoch_of(row.value)
            if held == target and row.value["owner"] == owner:
                # An earlier commit took effect and its answer was lost.
                self.row_revision = row.revision
                return EpochGranted(target)
            if held != expected:
                return EpochConflict(held)
            txn = Transaction({key: row.revision}, {key: {"epoch": target, "owner": owner}})
            outcome = await within(until - time.monotonic(), self._table.commit(txn))
            if isinstance(outcome, Committed):
                self.row_revision = outcome.revisions[key]
                return EpochGranted(target)
            row = await within(until - time.monotonic(), self._table.read(key))
            return EpochConflict(_epoch_of(row.value))
        except (PlatformError, TimeoutError):
            emit(log, Event.EPOCH_UNAVAILABLE, shard=self.claim.shard)
            return EpochUnavailable()

    async def _confirm_epoch(self) -> None:
        """Advance the epoch once the table answers again after a claim by round."""
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S)
            if self.claim.is_epoch_committed:
                continue
            try:
                epoch = _epoch_of((await self._table.read(self._row_key)).value)
            except PlatformError:
                continue
            await self.apply(ClaimRequested(epoch))

    async def _send_queue(self, successor: str, token: Token) -> None:
        taken = await self._holder.send_queue(successor, token)
        if taken is not None:
            await self.apply(HandOverAccepted() if taken else HandOverRefused())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.apply(Tick())

    def _present(self, worker: str, token: Token) -> None:
        if self._presenting.get(worker) != token:
            self._presenting[worker] = token
            self._spawn(self._fence(worker, token))

    async def _fence(self, worker: str, token: Token) -> None:
        try:
            while self.claim.token == token and not self.ended.is_set():
                sent_at = self._clock()
                reply = await self._try_fence(worker, token)
                if reply is None:
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                break
            else:
                return
        finally:
            if self._presenting.get(worker) == token:
                del self._presenting[worker]
        if isinstance(reply, TokenRefused):
            await self.refused(worker, reply.highest)
        elif self.claim.token == token:
            # An earlier token of this claim shows that the worker has not forgotten since.
            claimant = self.claim.instance_id
            if reply.previous is None or reply.previous.instance_id != claimant:
                self._holder.worker_restarted(worker)
            self._held_before.setdefault(worker, reply.previous)
            self._holder.inventory(worker, reply.running, reply.ended)
            running, ended = tuple(reply.running), tuple(reply.ended)
            await self.apply(WorkerFenced(worker, token, running, ended, reply.previous, sent_at))

    async def _try_fence(self, worker: str, token: Token) -> TokenRefused | Inventory | None:
        """Present the token and read the whole inventory, which may come in pages."""
        found = Inventory()
        call: Any = FenceWorker(self.claim.shard, token)
        try:
            while True:
                reply = await self._pool.call(worker, call, FENCE_CALL_TIMEOUT_S)
                if not isinstance(reply, WorkerFencedReply):
                    return reply if isinstance(reply, TokenRefused) else None
                found.running.extend(reply.running)
                found.ended.extend(reply.ended)
                found.previous = found.previous or reply.previous
                if not reply.next_page:
                    return found
                call = ReadInventory(token, reply.next_page)
        except LinkClosedError:
            return None
        except TimeoutError:
            self._pool.reconnect(worker)
            return None

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            for worker in list(self.claim.fenced_workers):
                if self._pool.is_connected(worker):
                    self._spawn(self._renew_worker(worker))

    async def _renew_worker(self, worker: str) -> None:
        sent_at, mark = self._clock(), self._holder.renewal_mark()
        token = self.claim.token
        call = RenewLeases(token, self._leases.extend(worker, sent_at))
        try:
            reply = await self._pool.call(worker, call, CALL_TIMEOUT_S)
        except LinkClosedError:
            return
        except TimeoutError:
            self._count_silence(worker)
            return
        self._silent.pop(worker, None)
        if isinstance(reply, TokenRefused):
            await self.refused(worker, reply.highest)
        elif isinstance(reply, LeasesRenewed) and worker in self.claim.fenced_workers:
            await self.apply(WorkerConfirmed(worker, token, sent_at))
            self._holder.leases_renewed(worker, reply, mark)

    def _count_silence(self, worker: str) -> None:
        self._silent[worker] = self._silent.get(worker, 0) + 1
        if self._silent[worker] >= SILENT_RENEWALS:
            del self._silent[worker]
            self._pool.reconnect(worker)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _epoch_of(value: Any) -> int:
    return int(value["epoch"]) if value else 0
