"""Bring each request to the owner of its shard and its result back."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.dispatch import not_owner, outcome_unknown
from baobabhoist.errors import (
    ErrorKind,
    LinkClosedError,
    MessageTooLargeError,
    NotSentError,
    Refusal,
)
from baobabhoist.model import Outcome, Request, Task, WorkKind
from baobabhoist.ownership.request_keys import Result
from baobabhoist.peer.messages import RelayAnswer, RelayRefusal, RelayRequest, ShardDigest
from baobabhoist.quota.class_limits import class_key

# A takeover lasts up to 5 s; a request that no owner has seen waits that long for one.
PATIENCE_S = 6.0
FORWARD_PATIENCE_S = 0.5
ASK_AGAIN_S = 0.05
# The owner answers at the deadline at the latest; its answer needs time to arrive.
ANSWER_MARGIN_S = 0.5
LONGEST_CALL_S = 3600.0


class Owner(Protocol):
    """Be a shard that this instance may own."""

    @property
    def usable(self) -> bool:
        """Tell whether work may be accepted."""

    async def submit(self, req: Request, forwarded: bool = False) -> Result:
        """Return the result of a request."""


class Peers(Protocol):
    """Know and call the other instances."""

    def owner_of(self, shard: str) -> str | None:
        """Return the live instance that owns a shard."""

    def shard_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards that live peers own."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""


@attrs.frozen
class LostRelay:
    """Know that the relay broke; `sent` tells whether the owner may have the request."""

    sent: bool


class RequestRouter:
    """Find the owner of a request and ask it, and the next owner if it fails."""

    def __init__(
        self,
        owners: Mapping[str, Owner],
        peers: Peers,
        home_of: Callable[[str], str] = lambda shard: "",
        clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.open_requests = 0
        self._owners = owners
        self._peers = peers
        self._home_of = home_of
        self._clock = clock
        self._rng = rng or random.Random()

    async def route(self, req: Request) -> Result:
        """Return the result of a request from the owner of its shard."""
        counted = _is_counted(req)
        self.open_requests += counted
        try:
            return await self._ask_until(req, False, PATIENCE_S)
        finally:
            self.open_requests -= counted

    async def answer(self, message: RelayRequest) -> RelayAnswer | RelayRefusal:
        """Answer a request that another instance relayed."""
        req = message.request
        owner = self._owners.get(req.shard)
        result: Result = not_owner(req.shard)
        if owner is not None:
            counted = _is_counted(req)
            self.open_requests += counted
            try:
                result = await owner.submit(req, message.forwarded)
            finally:
                self.open_requests -= counted
        if isinstance(result, Refusal):
            return RelayRefusal(req.request_id, result)
        return RelayAnswer(result)

    def forward(
        self, req: Request, own: list[ShardDigest]
    ) -> tuple[str, Awaitable[Result]] | None:
        """Send a request to another shard with room for it and return both, or None.

        Its home shard keeps the key, so no other owner of that shard has seen the id.
        """
        home = self._home_of(req.shard)
        rooms = [
            (digest, _room(digest, req.task))
            for digest in (*self._peers.shard_digests(), *own)
            if digest.shard != req.shard
        ]
        rooms = [(digest, room) for digest, room in rooms if room > 0]
        near = [found for found in rooms if self._home_of(found[0].shard) == home]
        chosen = near or rooms
        if not chosen:
            return None
        # A draw in proportion to the room keeps many owners from choosing the same shard.
        (target, _), *_ = self._rng.choices(chosen, [room for _, room in chosen])
        forwarded = attrs.evolve(req, shard=target.shard, first_attempt=True)
        return target.shard, self._ask_until(forwarded, True, FORWARD_PATIENCE_S)

    async def _ask_until(self, req: Request, forwarded: bool, patience_s: float) -> Result:
        deadline = req.task.deadline
        patient_until = min(deadline, self._clock() + patience_s)
        maybe_ran = False
        while True:
            result = await self._ask(req, forwarded)
            if not _ask_again(result):
                assert not isinstance(result, LostRelay)
                return _truthful(result, req, maybe_ran)
            if _maybe_ran(result):
                maybe_ran = True
                req = attrs.evolve(req, first_attempt=False)
            if self._clock() >= (deadline if maybe_ran else patient_until):
                break
            await asyncio.sleep(ASK_AGAIN_S * self._rng.uniform(0.5, 1.5))
        if maybe_ran:
            return outcome_unknown("the owner of the shard was lost after it had the request")
        return _no_owner(req)

    async def _ask(self, req: Request, forwarded: bool) -> Result | LostRelay:
        owner = self._owners.get(req.shard)
        if owner is not None and owner.usable:
            return await owner.submit(req, forwarded)
        peer = self._peers.owner_of(req.shard)
        if peer is None:
            return not_owner(req.shard)
        left_s = min(req.task.deadline - self._clock() + ANSWER_MARGIN_S, LONGEST_CALL_S)
        try:
            reply = await self._peers.call(peer, RelayRequest(req, forwarded), left_s)
        except NotSentError:
            return LostRelay(sent=False)
        except MessageTooLargeError as exc:
            return Refusal(ErrorKind.BODY_TOO_LARGE, str(exc), remedy="send a smaller body")
        except (LinkClosedError, TimeoutError):
            return LostRelay(sent=True)
        match reply:
            case RelayAnswer(answer):
                return answer
            case RelayRefusal(_, refusal):
                return refusal
        return LostRelay(sent=True)


def _room(digest: ShardDigest, task: Task) -> int:
    """Return how many tasks like this one a shard could start."""
    places = digest.spare.get(task.team, 0)
    in_class = digest.class_spare.get(class_key(task.team, task.kind), places)
    return min(places, in_class, digest.free_slots - digest.queued)


def _is_counted(req: Request) -> bool:
    """Tell whether a drain waits for the request; tasks of jobs go on without this instance."""
    return req.task.kind is WorkKind.REQUEST


def _ask_again(result: Result | LostRelay) -> bool:
    if isinstance(result, LostRelay):
        return True
    return isinstance(result, Refusal) and result.kind is ErrorKind.SHARD_UNAVAILABLE


def _maybe_ran(result: Result | LostRelay) -> bool:
    if isinstance(result, LostRelay):
        return result.sent
    return isinstance(result, Refusal) and result.outcome is Outcome.UNKNOWN


def _truthful(result: Result, req: Request, maybe_ran: bool) -> Result:
    """Withdraw a `not_run` that a later owner cannot know of an earlier one.

    It can for other requests: it refuses those that may have been sent before its takeover.
    """
    claims_not_run = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
    if claims_not_run and maybe_ran and req.task.idempotent:
        return outcome_unknown("an earlier owner of the shard may have run the request")
    return result


def _no_owner(req: Request) -> Refusal:
    """Return the refusal of a request that reached no owner; an earlier copy may have."""
    return Refusal(
        ErrorKind.SHARD_UNAVAILABLE,
        f"no live instance owns shard {req.shard}",
        Outcome.NOT_RUN if req.first_attempt else Outcome.UNKNOWN,
        "send the request again under the same key",
        retry_after_s=0.5,
    )
