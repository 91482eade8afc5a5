"""Decide which shards this instance claims, and run an owner for each of them."""

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

from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.model import WorkerSpec
from baobabhoist.observability.events import Event, emit
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState, ClaimTiming
from baobabhoist.ownership.rendezvous import OwnerCandidate, rank_owners
from baobabhoist.peer.link import WEBSOCKET_OPTIONS
from baobabhoist.peer.messages import HandOver, HandOverReply, Heartbeat

log = logging.getLogger(__name__)

CLAIM_CHECK_INTERVAL_S = 0.25
# Heartbeats of all running peers arrive within this time after a start or a pause.
DISCOVERY_PERIOD_S = 1.0
PAUSE_THRESHOLD_S = 1.0
# Each lower rank waits this much longer, so that higher-ranked instances claim first.
CLAIM_DELAY_PER_RANK_S = 0.75
# When a network partition ends, the workers of the other data centre are reachable before the
# heartbeats of its instances arrive: a peer's new link and first heartbeat take up to about 1.5 s.
REMOTE_CLAIM_DELAY_S = 1.5
REACHABILITY_TIMEOUT_S = 0.5
REACHABILITY_SAMPLE_SIZE = 3
HAND_OVER_TIMEOUT_S = 2.0
# A higher-ranked instance must have been live this long before a shard moves to it.
REBALANCE_DELAY_S = 20.0

ACTIVE_STATES = (ClaimState.PARTIAL, ClaimState.OWNED, ClaimState.HANDING_OVER)


@attrs.frozen
class LocalInstance:
    """Describe this instance, its data centre and the relative size of its VM."""

    instance_id: str
    data_centre: str
    weight: float = 1.0


class Peers(Protocol):
    """Look up and call the other instances."""

    def live_heartbeats(self) -> list[Heartbeat]:
        """Return the last heartbeat of each live peer."""

    def owner_of(self, shard: str) -> str | None:
        """Return the live instance that owns a shard."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""


class Shards(Protocol):
    """Look up shards in the records."""

    def names(self) -> list[str]:
        """Return the names of all shards."""

    def data_centre_of(self, shard: str) -> str:
        """Return the data centre of a shard."""

    def workers_of(self, shard: str) -> list[WorkerSpec]:
        """Return the workers of a shard."""


MakeOwner = Callable[[ShardClaim, list[WorkerSpec], HandOver | None], ShardOwner]


async def is_any_reachable(workers: list[WorkerSpec]) -> bool:
    """Return whether one of a random sample of workers completes a WebSocket handshake."""
    for spec in random.sample(workers, min(REACHABILITY_SAMPLE_SIZE, len(workers))):
        try:
            # Some middleboxes accept TCP connections for an unreachable host. Only the worker
            # itself completes the WebSocket handshake.
            async with (
                asyncio.timeout(REACHABILITY_TIMEOUT_S),
                connect(f"ws://{spec.host}:{spec.port}", **WEBSOCKET_OPTIONS),
            ):
                return True
        except (OSError, TimeoutError, WebSocketException):
            continue
    return False


class OwnershipManager:
    """Run an owner for each shard that this instance owns or claims."""

    def __init__(
        self,
        local: LocalInstance,
        shards: Shards,
        peers: Peers,
        make_owner: MakeOwner,
        *,
        times: ClaimTiming | None = None,
        clock: Callable[[], float] = time.time,
        is_reachable: Callable[[list[WorkerSpec]], Any] = is_any_reachable,
    ) -> None:
        self.owners: dict[str, ShardOwner] = {}
        self.draining = False
        self._local = local
        self._shards = shards
        self._peers = peers
        self._make_owner = make_owner
        self._times = times or ClaimTiming()
        self._clock = clock
        self._is_reachable = is_reachable
        # Workers would obey two processes that present equal tokens. Each process of an instance
        # therefore claims under a unique name.
        self._claimant_id = f"{local.instance_id}~{uuid.uuid4().hex[:8]}"
        self._claims: dict[str, ShardClaim] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unowned_since: dict[str, float] = {}
        self._preferred_since: dict[str, tuple[str, float]] = {}
        self._moving_shard: str | None = None
        self._discovery_until = 0.0
        self._last_tick = 0.0

    async def run(self) -> None:
        """Claim and rebalance shards until cancelled."""
        self._last_tick = self._clock()
        self._discovery_until = self._last_tick + DISCOVERY_PERIOD_S
        try:
            while True:
                await self.tick()
                await asyncio.sleep(CLAIM_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()

    async def tick(self) -> None:
        """Claim shards that this instance should own, and move those that it should not."""
        now = self._clock()
        if now - self._last_tick > CLAIM_CHECK_INTERVAL_S + PAUSE_THRESHOLD_S:
            # This process was paused, and its knowledge of its peers is as old as the pause.
            self._discovery_until = now + DISCOVERY_PERIOD_S
            self._unowned_since.clear()
        self._last_tick = now
        if self.draining or now < self._discovery_until:
            return
        for shard in self._shards.names():
            if shard in self.owners:
                self._unowned_since.pop(shard, None)
                self._rebalance(shard, now)
            elif await self._should_claim(shard, now):
                self.claim(shard)

    def claim(self, shard: str, inherited: HandOver | None = None) -> None:
        """Start an owner that claims a shard."""
        workers = self._shards.workers_of(shard)
        names = tuple(spec.name for spec in workers)
        claim = self._claims.get(shard)
        if claim is None or claim.state in ACTIVE_STATES:
            seen = claim.highest_token_seen if claim is not None else None
            claim = ShardClaim(shard, self._claimant_id, names, times=self._times)
            claim.highest_token_seen = seen or claim.highest_token_seen
            self._claims[shard] = claim
        claim.workers = names
        owner = self._make_owner(claim, workers, inherited)
        self.owners[shard] = owner
        task = asyncio.create_task(self._run_owner(shard, owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def accept_hand_over(self, message: HandOver) -> HandOverReply:
        """Claim a shard that another instance hands over, unless this one drains or has it."""
        is_refused = self.draining or message.shard not in self._shards.names()
        if not is_refused and message.shard not in self.owners:
            self.claim(message.shard, message)
            return HandOverReply(message.shard, True)
        return HandOverReply(message.shard, False)

    async def send_hand_over(self, successor: str, message: HandOver) -> bool | None:
        """Send a shard's queue; return whether it was accepted, or None if that is unknown."""
        try:
            reply = await self._peers.call(successor, message, HAND_OVER_TIMEOUT_S)
        except MessageNotSentError:
            return False
        except (LinkClosedError, TimeoutError):
            return None
        return isinstance(reply, HandOverReply) and reply.taken

    async def hand_over_all(self) -> None:
        """Hand every shard over to its next owner; keep shards without a successor."""
        self.draining = True
        for shard, owner in list(self.owners.items()):
            successor = self.preferred_instance(shard, others_only=True)
            if successor is not None:
                await self._hand_over(owner, successor)

    async def wait_finished(self) -> None:
        """Wait until no owner is left."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def release_idle(self) -> None:
        """Release the remaining shards that have no pending requests."""
        for owner in list(self.owners.values()):
            if not owner.pending_count():
                await owner.claim_driver.release()

    def preferred_instance(self, shard: str, others_only: bool = False) -> str | None:
        """Return the live instance that should own a shard."""
        ranked = self._rank_candidates(shard, others_only)
        return ranked[0] if ranked else None

    async def _hand_over(self, owner: ShardOwner, successor: str) -> None:
        if await owner.claim_driver.hand_over(successor):
            emit(log, Event.HAND_OVER_FINISHED, shard=owner.shard, instance_id=successor)
        else:
            log.warning(
                "instance %s did not accept the hand-over of shard %s", successor, owner.shard
            )

    async def _run_owner(self, shard: str, owner: ShardOwner) -> None:
        run_task = asyncio.create_task(owner.run())
        ended_task = asyncio.create_task(owner.claim_driver.ended.wait())
        try:
            await asyncio.wait((run_task, ended_task), return_when=asyncio.FIRST_COMPLETED)
            if self.owners.get(shard) is owner:
                del self.owners[shard]
            # The owner still delivers the answers of calls that were in flight when it ended.
            await run_task
        except Exception as exc:
            name = f"the owner of shard {shard}"
            emit(log, Event.TASK_CRASHED, task=name, detail=repr(exc), exc_info=exc)
        finally:
            run_task.cancel()
            ended_task.cancel()
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
        is_local = self._shards.data_centre_of(shard) == self._local.data_centre
        position = self._rank_candidates(shard).index(self._local.instance_id)
        if not is_local and not await self._is_reachable(self._shards.workers_of(shard)):
            # A data centre that is partitioned from this one serves its shards itself.
            self._unowned_since[shard] = self._clock()
            return False
        return now - since >= position * CLAIM_DELAY_PER_RANK_S + (
            0.0 if is_local else REMOTE_CLAIM_DELAY_S
        )

    def _rank_candidates(self, shard: str, others_only: bool = False) -> list[str]:
        candidates = [
            OwnerCandidate(heartbeat.instance_id, heartbeat.data_centre, heartbeat.weight)
            for heartbeat in self._peers.live_heartbeats()
            if not heartbeat.draining
        ]
        if not others_only:
            local = self._local
            candidates.append(OwnerCandidate(local.instance_id, local.data_centre, local.weight))
        return rank_owners(shard, self._shards.data_centre_of(shard), candidates)

    def _rebalance(self, shard: str, now: float) -> None:
        """Move a shard to an instance that has ranked higher for a while, one shard at a time."""
        preferred = self.preferred_instance(shard)
        if preferred is None or preferred == self._local.instance_id:
            self._preferred_since.pop(shard, None)
            return
        last_preferred, since = self._preferred_since.setdefault(shard, (preferred, now))
        if last_preferred != preferred:
            self._preferred_since[shard] = (preferred, now)
            return
        owner = self.owners[shard]
        is_owned = owner.claim.state is ClaimState.OWNED
        if is_owned and now - since > REBALANCE_DELAY_S and self._moving_shard is None:
            self._moving_shard = shard
            del self._preferred_since[shard]
            task = asyncio.create_task(self._move_shard(owner, preferred))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _move_shard(self, owner: ShardOwner, successor: str) -> None:
        try:
            await self._hand_over(owner, successor)
        finally:
            self._moving_shard = None
