"""Pack the queue of a shard for its next owner, and take it there."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable, Mapping

from baobabhoist.daemon.dispatch import outcome_unknown
from baobabhoist.daemon.forwarding import Open
from baobabhoist.errors import Refusal
from baobabhoist.model import Answer, Request
from baobabhoist.ownership.keys import KeyEntry, KeyLedger, KeyState, QueuedKey
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import HandOver, KeyResult

# Queued requests are sent as such, and the workers' inventories hold the answers.
PACKED_STATES = (KeyState.DISPATCHED, KeyState.UNKNOWN, KeyState.NOT_RUN)

SendHandOver = Callable[[str, HandOver], Awaitable[bool | None]]


async def send_nowhere(successor: str, message: HandOver) -> bool | None:
    """Refuse a hand-over, for an owner without peers."""
    return False


def pack(
    shard: str, token: Token, sender: str, keys: KeyLedger, open_requests: Mapping[str, Open]
) -> HandOver:
    """Return the message; the queued keys cannot be called not run here after this.

    Answers of tasks that ran are left out: the workers' inventories hold them.
    """
    queued = {key.request_id for key in keys.hand_over()}
    requests = tuple(entry.req for name, entry in open_requests.items() if name in queued)
    results = tuple(
        KeyResult(name, entry.forget_at, None, _known(entry))
        for name, entry in keys.entries.items()
        if entry.state in PACKED_STATES
    )
    return HandOver(shard, token, sender, requests, results, keys.taken_over_at)


def _known(entry: KeyEntry) -> Refusal:
    """Return what the next owner may say of a key that no inventory names."""
    if isinstance(entry.result, Refusal):
        return entry.result
    return outcome_unknown("the task was with a worker when the shard was handed over")


def continues(message: HandOver | None, previous: Mapping[str, Token], workers: set[str]) -> bool:
    """Tell whether the sender was the last owner on every worker, and none has restarted."""
    if message is None or workers - previous.keys():
        return False
    return all(previous[worker] == message.token for worker in workers)


def accept(message: HandOver, keys: KeyLedger, now: float) -> list[Request]:
    """Take the results into the ledger and return the requests that may run here."""
    for result in message.results:
        kept: Answer | Refusal | None = result.answer or result.refusal
        if kept is None or result.request_id in keys.entries:
            continue
        known = isinstance(kept, Refusal) and kept.outcome.value == KeyState.NOT_RUN.value
        state = KeyState.NOT_RUN if known else KeyState.UNKNOWN
        keys.entries[result.request_id] = KeyEntry(state, result.forget_at, False, kept)
        heapq.heappush(keys.expiry, (result.forget_at, result.request_id))
    queued = [
        QueuedKey(req.request_id, req.task.deadline + keys.clock_skew_s, req.task.idempotent)
        for req in message.requests
    ]
    accepted = set(keys.accept(queued, now))
    return [req for req in message.requests if req.request_id in accepted]
