"""Decide which shards this instance claims, and run an owner for each."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import uuid
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from baobabhoist.daemon.shard import ShardOwner
from baobabhoist.errors import LinkClosedError, NotSentError
from baobabhoist.model import WorkerSpec
from baobabhoist.observability.events import Event, emit
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState, ClaimTiming
from baobabhoist.ownership.rendezvous import OwnerCandidate, rank_owners
from baobabhoist.peer.link import WEBSOCKET_OPTIONS
from baobabhoist.peer.messages import HandOver, HandOverReply, Heartbeat

log = logging.getLogger(__name__)

INTERVAL_S = 0.25
# Peers that run already are heard within this time after a start or a pause.
LISTEN_S = 1.0
PAUSE_S = 1.0
# Each lower rank waits this much longer for the instances ahead of it to claim.
RANK_DELAY_S = 0.75
# When a network partition ends, the workers of the other data centre can be reached before its
# instances are heard: a peer's new link and first heartbeat take up to about 1.5 s.
REMOTE_DELAY_S = 1.5
REACH_TIMEOUT_S = 0.5
REACH_SAMPLE = 3
HAND_OVER_CALL_S = 2.0
# A better-placed instance must have been there this long before a shard moves to it.
REBALANCE_AFTER_S = 20.0

BUSY_STATES = (ClaimState.PARTIAL, ClaimState.OWNED, ClaimState.HANDING_OVER)


@attrs.frozen
class Place:
    """Say where an instance runs and how large its VM is."""

    instance_id: str
    data_centre: str
    weight: float = 1.0


class Peers(Protocol):
    """Know and call the other instances."""

    def live_heartbeats(self) -> list[Heartbeat]:
        """Return the last heartbeat of each live peer."""

    def owner_of(self, shard: str) -> str | None:
        """Return the live instance that owns a shard."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""


class Shards(Protocol):
    """Know the shards of the records."""

    def names(self) -> list[str]:
        """Return the names of all shards."""

    def data_centre_of(self, shard: str) -> str:
        """Return the data centre of a shard."""

    def workers_of(self, shard: str) -> list[WorkerSpec]:
        """Return the workers of a shard."""


MakeOwner = Callable[[ShardClaim, list[WorkerSpec], HandOver | None], ShardOwner]


async def reachable(workers: list[WorkerSpec]) -> bool:
    """Tell whether one of a few workers answers on a new connection."""
    for spec in random.sample(workers, min(REACH_SAMPLE, len(workers))):
        try:
            # Some middleboxes accept a connection that they cannot deliver; only the worker
            # completes the handshake.
            async with (
                asyncio.timeout(REACH_TIMEOUT_S),
                connect(f"ws://{spec.host}:{spec.port}", **WEBSOCKET_OPTIONS),
            ):
                return True
        except (OSError, TimeoutError, WebSocketException):
            continue
    return False


class Owners:
    """Hold the owner of each shard that this instance has or claims."""

    def __init__(
        self,
        place: Place,
        shards: Shards,
        peers: Peers,
        make_owner: MakeOwner,
        *,
        times: ClaimTiming | None = None,
        clock: Callable[[], float] = time.time,
        reach: Callable[[list[WorkerSpec]], Any] = reachable,
    ) -> None:
        self.owners: dict[str, ShardOwner] = {}
        self.draining = False
        self._place = place
        self._shards = shards
        self._peers = peers
        self._make_owner = make_owner
        self._times = times or ClaimTiming()
        self._clock = clock
        self._reach = reach
        # Two processes that present equal tokens would both be obeyed, so each start of an
        # instance claims under a name of its own.
        self._claimant = f"{place.instance_id}~{uuid.uuid4().hex[:8]}"
        self._claims: dict[str, ShardClaim] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._unowned_since: dict[str, float] = {}
        self._better_since: dict[str, tuple[str, float]] = {}
        self._moving: str | None = None
        self._listen_until = 0.0
        self._last_tick = 0.0

    async def run(self) -> None:
        """Claim what should be claimed until cancelled."""
        self._last_tick = self._clock()
        self._listen_until = self._last_tick + LISTEN_S
        try:
            while True:
                await self.tick()
                await asyncio.sleep(INTERVAL_S)
        finally:
            for task in self._running:
                task.cancel()

    async def tick(self) -> None:
        """Compare what is owned with what should be."""
        now = self._clock()
        if now - self._last_tick > INTERVAL_S + PAUSE_S:
            # This process was paused: what it knows of its peers is as old as the pause.
            self._listen_until = now + LISTEN_S
            self._unowned_since.clear()
        self._last_tick = now
        if self.draining or now < self._listen_until:
            return
        for shard in self._shards.names():
            if shard in self.owners:
                self._unowned_since.pop(shard, None)
                self._consider_moving(shard, now)
            elif await self._should_claim(shard, now):
                self.claim(shard)

    def claim(self, shard: str, inherited: HandOver | None = None) -> None:
        """Start an owner that claims a shard."""
        workers = self._shards.workers_of(shard)
        names = tuple(spec.name for spec in workers)
        claim = self._claims.get(shard)
        if claim is None or claim.state in BUSY_STATES:
            seen = claim.highest_token_seen if claim is not None else None
            claim = ShardClaim(shard, self._claimant, names, times=self._times)
            claim.highest_token_seen = seen or claim.highest_token_seen
            self._claims[shard] = claim
        claim.workers = names
        owner = self._make_owner(claim, workers, inherited)
        self.owners[shard] = owner
        task = asyncio.create_task(self._drive(shard, owner))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def take(self, message: HandOver) -> HandOverReply:
        """Take a shard that another instance hands over."""
        refused = self.draining or message.shard not in self._shards.names()
        if not refused and message.shard not in self.owners:
            self.claim(message.shard, message)
            return HandOverReply(message.shard, True)
        return HandOverReply(message.shard, False)

    async def send_hand_over(self, successor: str, message: HandOver) -> bool | None:
        """Send a shard's queue; tell whether it was taken, None when that is not known."""
        try:
            reply = await self._peers.call(successor, message, HAND_OVER_CALL_S)
        except NotSentError:
            return False
        except (LinkClosedError, TimeoutError):
            return None
        return isinstance(reply, HandOverReply) and reply.taken

    async def hand_over_all(self) -> None:
        """Give every shard to the next instance; a shard without a successor is kept."""
        self.draining = True
        for shard, owner in list(self.owners.items()):
            successor = self.best(shard, others_only=True)
            if successor is not None:
                await self._hand_over(owner, successor)

    async def finished(self) -> None:
        """Wait until no owner is left."""
        while self._running:
            await asyncio.wait(set(self._running))

    async def release_idle(self) -> None:
        """Give up the shards that no successor took, once nothing is open in them."""
        for owner in list(self.owners.values()):
            if not owner.open_requests():
                await owner.fencing.release()

    def best(self, shard: str, others_only: bool = False) -> str | None:
        """Return the live instance that should own a shard."""
        ranked = self._ranked(shard, others_only)
        return ranked[0] if ranked else None

    async def _hand_over(self, owner: ShardOwner, successor: str) -> None:
        if await owner.fencing.hand_over(successor):
            emit(log, Event.HAND_OVER_FINISHED, shard=owner.shard, instance_id=successor)
        else:
            log.warning("instance %s did not take shard %s", successor, owner.shard)

    async def _drive(self, shard: str, owner: ShardOwner) -> None:
        running = asyncio.create_task(owner.run())
        ended = asyncio.create_task(owner.fencing.ended.wait())
        try:
            await asyncio.wait((running, ended), return_when=asyncio.FIRST_COMPLETED)
            if self.owners.get(shard) is owner:
                del self.owners[shard]
            # The owner still passes on the answers of calls that were open when it ended.
            await running
        except Exception as exc:
            log.exception("the owner of shard %s failed", shard)
            emit(log, Event.TASK_CRASHED, detail=repr(exc))
        finally:
            running.cancel()
            ended.cancel()
            if self.owners.get(shard) is owner:
                del self.owners[shard]

    async def _should_claim(self, shard: str, now: float) -> bool:
        claim = self._claims.get(shard)
        if self._peers.owner_of(shard) is not None or not self._shards.workers_of(shard):
            self._unowned_since.pop(shard, None)
            return False
        since = self._unowned_since.setdefault(shard, now)
        if claim is not None and now < claim.retry_at:
            return False
        local = self._shards.data_centre_of(shard) == self._place.data_centre
        position = self._ranked(shard).index(self._place.instance_id)
        if not local and not await self._reach(self._shards.workers_of(shard)):
            # A data centre that is cut off from this one serves its shards itself.
            self._unowned_since[shard] = self._clock()
            return False
        return now - since >= position * RANK_DELAY_S + (0.0 if local else REMOTE_DELAY_S)

    def _ranked(self, shard: str, others_only: bool = False) -> list[str]:
        candidates = [
            OwnerCandidate(beat.instance_id, beat.data_centre, beat.weight)
            for beat in self._peers.live_heartbeats()
            if not beat.draining
        ]
        if not others_only:
            place = self._place
            candidates.append(OwnerCandidate(place.instance_id, place.data_centre, place.weight))
        return rank_owners(shard, self._shards.data_centre_of(shard), candidates)

    def _consider_moving(self, shard: str, now: float) -> None:
        """Hand a shard to an instance that has been better placed for a while, one at a time."""
        better = self.best(shard)
        if better is None or better == self._place.instance_id:
            self._better_since.pop(shard, None)
            return
        known, since = self._better_since.setdefault(shard, (better, now))
        if known != better:
            self._better_since[shard] = (better, now)
            return
        owner = self.owners[shard]
        settled = owner.claim.state is ClaimState.OWNED
        if settled and now - since > REBALANCE_AFTER_S and self._moving is None:
            self._moving = shard
            del self._better_since[shard]
            task = asyncio.create_task(self._move(owner, better))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _move(self, owner: ShardOwner, successor: str) -> None:
        try:
            await self._hand_over(owner, successor)
        finally:
            self._moving = None
