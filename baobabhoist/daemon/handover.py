"""Build the hand-over message of a shard, and load it at the next owner."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable, Mapping

from baobabhoist.daemon.dispatch import outcome_unknown_refusal
from baobabhoist.daemon.forwarding import PendingRequest
from baobabhoist.errors import Refusal
from baobabhoist.model import Answer, Request
from baobabhoist.ownership.request_keys import (
    QueuedRequestKey,
    RequestKeyEntry,
    RequestKeyLedger,
    RequestKeyState,
)
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import HandOver, RequestKeyResult

# About 3 MB of ids, which a peer processes well within the time limit of a hand-over.
MAX_SETTLED_IDS = 50_000
# The sender may resume ownership if the receiver has not answered within 2 s. The message does
# not contain what the sender does after that, so it is trusted for a shorter time.
MAX_HAND_OVER_AGE_S = 1.5

SendHandOver = Callable[[str, HandOver], Awaitable[bool | None]]


async def refuse_hand_over(successor: str, message: HandOver) -> bool | None:
    """Refuse a hand-over, for an owner without peers."""
    return False


def build_hand_over(
    shard: str,
    token: Token,
    sender: str,
    keys: RequestKeyLedger,
    pending: Mapping[str, PendingRequest],
) -> HandOver:
    """Build the message; this owner must not report its queued keys as `not_run` afterwards.

    Answers of completed tasks are omitted, because the workers' inventories contain them. Their
    ids are included, because a worker may have lost its inventory or belong to another shard.
    """
    queued = {key.request_id for key in keys.export_queued()}
    requests = tuple(entry.req for request_id, entry in pending.items() if request_id in queued)
    results = tuple(
        RequestKeyResult(request_id, entry.expires_at, None, entry.result)
        for request_id, entry in keys.entries.items()
        if isinstance(entry.result, Refusal) and entry.state is not RequestKeyState.ANSWERED
    )
    reported_ids = queued | {result.request_id for result in results}
    settled = {
        request_id: entry.expires_at
        for request_id, entry in keys.entries.items()
        if request_id not in reported_ids
    }
    if len(settled) > MAX_SETTLED_IDS:
        return HandOver(shard, token, sender, requests, results)
    return HandOver(shard, token, sender, requests, results, settled, keys.taken_over_at)


def accept_hand_over(message: HandOver, keys: RequestKeyLedger, now: float) -> list[Request]:
    """Load the results into the ledger and return the requests that may run here."""
    unknown = outcome_unknown_refusal("the previous owner of the shard had the request")
    for request_id, forget_at in message.settled.items():
        if request_id not in keys.entries:
            keys.entries[request_id] = RequestKeyEntry(
                RequestKeyState.UNKNOWN, forget_at, False, unknown
            )
            heapq.heappush(keys.expiry_heap, (forget_at, request_id))
    for result in message.results:
        stored: Answer | Refusal | None = result.answer or result.refusal
        if stored is None or result.request_id in keys.entries:
            continue
        is_not_run = (
            isinstance(stored, Refusal) and stored.outcome.value == RequestKeyState.NOT_RUN.value
        )
        state = RequestKeyState.NOT_RUN if is_not_run else RequestKeyState.UNKNOWN
        keys.entries[result.request_id] = RequestKeyEntry(state, result.forget_at, False, stored)
        heapq.heappush(keys.expiry_heap, (result.forget_at, result.request_id))
    queued = [
        QueuedRequestKey(
            req.request_id, req.task.deadline + keys.clock_skew_s, req.task.idempotent
        )
        for req in message.requests
    ]
    accepted = set(keys.import_queued(queued, now))
    return [req for req in message.requests if req.request_id in accepted]
