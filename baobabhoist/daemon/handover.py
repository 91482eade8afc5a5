"""Pack the queue of a shard for its next owner, and take it there."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable, Mapping

from baobabhoist.daemon.dispatch import outcome_unknown
from baobabhoist.daemon.forwarding import Open
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

# About 3 MB of ids. A peer takes them well within the time that a hand-over may last.
SETTLED_MAX = 50_000
# The sender may resume its ownership when the receiver has not answered for 2 s; what it then
# does is missing from the message.
CONTINUITY_S = 1.5

SendHandOver = Callable[[str, HandOver], Awaitable[bool | None]]


async def send_nowhere(successor: str, message: HandOver) -> bool | None:
    """Refuse a hand-over, for an owner without peers."""
    return False


def pack(
    shard: str,
    token: Token,
    sender: str,
    keys: RequestKeyLedger,
    open_requests: Mapping[str, Open],
) -> HandOver:
    """Return the message; the queued keys cannot be called not run here after this.

    Answers of tasks that ran are left out: the workers' inventories hold them. Their ids go
    along, because a worker may have lost its inventory, or belong to another shard.
    """
    queued = {key.request_id for key in keys.export_queued()}
    requests = tuple(entry.req for name, entry in open_requests.items() if name in queued)
    results = tuple(
        RequestKeyResult(name, entry.expires_at, None, entry.result)
        for name, entry in keys.entries.items()
        if isinstance(entry.result, Refusal) and entry.state is not RequestKeyState.ANSWERED
    )
    told = queued | {result.request_id for result in results}
    settled = {n: entry.expires_at for n, entry in keys.entries.items() if n not in told}
    if len(settled) > SETTLED_MAX:
        return HandOver(shard, token, sender, requests, results)
    return HandOver(shard, token, sender, requests, results, settled, keys.taken_over_at)


def accept(message: HandOver, keys: RequestKeyLedger, now: float) -> list[Request]:
    """Take the results into the ledger and return the requests that may run here."""
    lost = outcome_unknown("the previous owner of the shard had the request")
    for name, forget_at in message.settled.items():
        if name not in keys.entries:
            keys.entries[name] = RequestKeyEntry(RequestKeyState.UNKNOWN, forget_at, False, lost)
            heapq.heappush(keys.expiry_heap, (forget_at, name))
    for result in message.results:
        kept: Answer | Refusal | None = result.answer or result.refusal
        if kept is None or result.request_id in keys.entries:
            continue
        known = isinstance(kept, Refusal) and kept.outcome.value == RequestKeyState.NOT_RUN.value
        state = RequestKeyState.NOT_RUN if known else RequestKeyState.UNKNOWN
        keys.entries[result.request_id] = RequestKeyEntry(state, result.forget_at, False, kept)
        heapq.heappush(keys.expiry_heap, (result.forget_at, result.request_id))
    queued = [
        QueuedRequestKey(
            req.request_id, req.task.deadline + keys.clock_skew_s, req.task.idempotent
        )
        for req in message.requests
    ]
    accepted = set(keys.import_queued(queued, now))
    return [req for req in message.requests if req.request_id in accepted]
