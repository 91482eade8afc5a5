"""Route each request to the owner of its shard and return the result."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.dispatch import not_owner_refusal, outcome_unknown_refusal
from baobabhoist.errors import (
    ErrorKind,
    LinkClosedError,
    MessageNotSentError,
    MessageTooLargeError,
    Refusal,
)
from baobabhoist.model import Outcome, Request, Task, WorkKind
from baobabhoist.ownership.request_keys import Result
from baobabhoist.peer.messages import RelayAnswer, RelayRefusal, RelayRequest, ShardDigest
from baobabhoist.quota.class_limits import class_key

# A takeover lasts up to 5 s. A request that no owner has received waits longer than that.
OWNER_WAIT_S = 6.0
FORWARD_OWNER_WAIT_S = 0.5
RETRY_INTERVAL_S = 0.05
# The owner replies by the deadline at the latest; the reply needs time to arrive.
REPLY_MARGIN_S = 0.5
MAX_CALL_TIMEOUT_S = 3600.0


class Owner(Protocol):
    """Define what routing needs from the owner of a shard on this instance."""

    @property
    def is_usable(self) -> bool:
        """Return whether the owner may accept work."""

    async def submit(self, req: Request, forwarded: bool = False) -> Result:
        """Return the result of a request."""


class Peers(Protocol):
    """Look up and call the other instances."""

    def owner_of(self, shard: str) -> str | None:
        """Return the live instance that owns a shard."""

    def shard_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards that live peers own."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""


@attrs.frozen
class RelayFailure:
    """Represent a failed relay; `sent` states that the owner may have received the request."""

    sent: bool


class RequestRouter:
    """Submit requests to the owners of their shards, and retry at the next owner on failure."""

    def __init__(
        self,
        owners: Mapping[str, Owner],
        peers: Peers,
        data_centre_of: Callable[[str], str] = lambda shard: "",
        clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.open_requests = 0
        self._owners = owners
        self._peers = peers
        self._data_centre_of = data_centre_of
        self._clock = clock
        self._rng = rng or random.Random()

    async def route(self, req: Request) -> Result:
        """Return the result of a request from the owner of its shard."""
        delays_drain = _delays_drain(req)
        self.open_requests += delays_drain
        try:
            return await self._submit_until(req, False, OWNER_WAIT_S)
        finally:
            self.open_requests -= delays_drain

    async def handle_relay(self, message: RelayRequest) -> RelayAnswer | RelayRefusal:
        """Handle a request that another instance relayed."""
        req = message.request
        owner = self._owners.get(req.shard)
        result: Result = not_owner_refusal(req.shard)
        if owner is not None:
            delays_drain = _delays_drain(req)
            self.open_requests += delays_drain
            try:
                result = await owner.submit(req, message.forwarded)
            finally:
                self.open_requests -= delays_drain
        if isinstance(result, Refusal):
            return RelayRefusal(req.request_id, result)
        return RelayAnswer(result)

    def forward(
        self, req: Request, local_digests: list[ShardDigest]
    ) -> tuple[str, Awaitable[Result]] | None:
        """Forward a request to another shard with headroom, or return None without one.

        Returns the shard and an awaitable result. The request counts as a first attempt there:
        its key stays with the home shard, so no earlier owner of the target has seen its id.
        """
        data_centre = self._data_centre_of(req.shard)
        candidates = [
            (digest, _headroom(digest, req.task))
            for digest in (*self._peers.shard_digests(), *local_digests)
            if digest.shard != req.shard
        ]
        candidates = [(digest, headroom) for digest, headroom in candidates if headroom > 0]
        local = [
            candidate
            for candidate in candidates
            if self._data_centre_of(candidate[0].shard) == data_centre
        ]
        chosen = local or candidates
        if not chosen:
            return None
        # A choice weighted by headroom keeps many owners from choosing the same shard.
        (target, _), *_ = self._rng.choices(chosen, [headroom for _, headroom in chosen])
        forwarded = attrs.evolve(req, shard=target.shard, first_attempt=True)
        return target.shard, self._submit_until(forwarded, True, FORWARD_OWNER_WAIT_S)

    async def _submit_until(self, req: Request, forwarded: bool, owner_wait_s: float) -> Result:
        deadline = req.task.deadline
        retry_until = min(deadline, self._clock() + owner_wait_s)
        maybe_ran = False
        while True:
            result = await self._submit_once(req, forwarded)
            if not _should_retry(result):
                assert not isinstance(result, RelayFailure)
                return _withdraw_unproven_not_run(result, req, maybe_ran)
            if _may_have_run(result):
                maybe_ran = True
                req = attrs.evolve(req, first_attempt=False)
            if self._clock() >= (deadline if maybe_ran else retry_until):
                break
            await asyncio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5))
        if maybe_ran:
            return outcome_unknown_refusal(
                "the owner of the shard was lost after it had the request"
            )
        return _no_owner_refusal(req)

    async def _submit_once(self, req: Request, forwarded: bool) -> Result | RelayFailure:
        owner = self._owners.get(req.shard)
        if owner is not None and owner.is_usable:
            return await owner.submit(req, forwarded)
        peer = self._peers.owner_of(req.shard)
        if peer is None:
            return not_owner_refusal(req.shard)
        timeout_s = min(req.task.deadline - self._clock() + REPLY_MARGIN_S, MAX_CALL_TIMEOUT_S)
        try:
            reply = await self._peers.call(peer, RelayRequest(req, forwarded), timeout_s)
        except MessageNotSentError:
            return RelayFailure(sent=False)
        except MessageTooLargeError as exc:
            return Refusal(ErrorKind.BODY_TOO_LARGE, str(exc), remedy="send a smaller body")
        except (LinkClosedError, TimeoutError):
            return RelayFailure(sent=True)
        match reply:
            case RelayAnswer(answer):
                return answer
            case RelayRefusal(_, refusal):
                return refusal
        return RelayFailure(sent=True)


def _headroom(digest: ShardDigest, task: Task) -> int:
    """Return how many tasks like this one a shard could start now."""
    places = digest.spare.get(task.team, 0)
    in_class = digest.class_spare.get(class_key(task.team, task.kind), places)
    return min(places, in_class, digest.free_slots - digest.queued)


def _delays_drain(req: Request) -> bool:
    """Return whether a drain waits for the request; tasks of jobs outlive this instance."""
    return req.task.kind is WorkKind.REQUEST


def _should_retry(result: Result | RelayFailure) -> bool:
    if isinstance(result, RelayFailure):
        return True
    return isinstance(result, Refusal) and result.kind is ErrorKind.SHARD_UNAVAILABLE


def _may_have_run(result: Result | RelayFailure) -> bool:
    if isinstance(result, RelayFailure):
        return result.sent
    return isinstance(result, Refusal) and result.outcome is Outcome.UNKNOWN


def _withdraw_unproven_not_run(result: Result, req: Request, maybe_ran: bool) -> Result:
    """Replace a `not_run` that cannot be proven, because an earlier owner may have run the work.

    This concerns only idempotent work. A later owner refuses other requests that may have been
    dispatched before its takeover, so its `not_run` is reliable for them.
    """
    claims_not_run = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
    if claims_not_run and maybe_ran and req.task.idempotent:
        return outcome_unknown_refusal("an earlier owner of the shard may have run the request")
    return result


def _no_owner_refusal(req: Request) -> Refusal:
    """Return the refusal for a request without an owner; an earlier attempt may have had one."""
    return Refusal(
        ErrorKind.SHARD_UNAVAILABLE,
        f"no live instance owns shard {req.shard}",
        Outcome.NOT_RUN if req.first_attempt else Outcome.UNKNOWN,
        "send the request again under the same key",
        retry_after_s=0.5,
    )
