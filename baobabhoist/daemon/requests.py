"""Track the pending requests of a shard and the state of their request keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from baobabhoist.daemon.answers import AnswerStore, FindOutcome
from baobabhoist.daemon.dispatch import not_owner_refusal, outcome_unknown_refusal
from baobabhoist.daemon.forwarding import FORWARD_DELAY_S, PendingRequest
from baobabhoist.errors import InvariantViolationError, Refusal
from baobabhoist.model import Answer, Outcome, Request
from baobabhoist.ownership.request_keys import RequestKeyLedger, RequestKeyState, Result

# asyncio accepts no infinite timeout. Requests without a deadline wait in steps of this length.
MAX_WAIT_S = 86400.0
FINAL_STATES = (RequestKeyState.ANSWERED, RequestKeyState.NOT_RUN)


class RequestRegistry:
    """Deliver one result per request to all callers that wait for it."""

    def __init__(
        self,
        shard: str,
        keys: RequestKeyLedger,
        find_outcome: FindOutcome,
        clock: Callable[[], float],
    ) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self.keys = keys
        self.answers = AnswerStore(find_outcome)
        self._shard = shard
        self._clock = clock

    def get_or_create(self, req: Request, now: float) -> PendingRequest:
        """Return the entry of a pending request, and create it if there is none."""
        entry = self.pending.get(req.request_id)
        if entry is None:
            fut: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
            entry = PendingRequest(req, fut, now + FORWARD_DELAY_S, now)
            self.pending[req.request_id] = entry
        return entry

    async def wait_for_result(self, req: Request, entry: PendingRequest) -> Result | None:
        """Return the result of a request, or None if its deadline passes first."""
        if entry.fut.done():
            return entry.fut.result()
        while (remaining_s := req.task.deadline - self._clock()) > 0:
            # `wait` does not cancel the shared future if this caller is cancelled.
            timeout = min(remaining_s, MAX_WAIT_S)
            done, _ = await asyncio.wait((entry.fut,), timeout=timeout)
            if done:
                return entry.fut.result()
        return None

    def finish(self, request_id: str, result: Result) -> Result:
        """Store the result of a request and deliver it to all waiting callers."""
        key = self.keys.entries.get(request_id)
        if key is not None and key.state in FINAL_STATES and key.result is not None:
            # Of the two answers, only the stored one may lack its body.
            are_answers = isinstance(key.result, Answer) and isinstance(result, Answer)
            result = result if are_answers else key.result
        elif key is not None:
            try:
                stripped = self.answers.strip_body(request_id, result, key.worker)
                stored = self.keys.record_result(request_id, stripped)
                result = result if stored is stripped else stored
            except InvariantViolationError:
                result = outcome_unknown_refusal(
                    "the owner holds no consistent state for the request"
                )
        self.deliver(request_id, result)
        return result

    def deliver(self, request_id: str, result: Result) -> None:
        """Deliver a result to all waiting callers without storing it."""
        entry = self.pending.pop(request_id, None)
        if entry is not None and not entry.fut.done():
            entry.fut.set_result(result)

    async def deliver_with_body(self, request_id: str, result: Result) -> None:
        """Deliver a stored result with its body."""
        entry = self.pending.get(request_id)
        if entry is not None:
            self.deliver(request_id, await self.answers.load_body(entry.req, result))

    def drop_unfinished(self, elsewhere: Container[str], was_handed_over: bool) -> None:
        """Refuse all pending requests but those in `elsewhere`, whose results still arrive.

        After a hand-over the next owner may run the queue, so no request is reported `not_run`.
        """
        for request_id, result in self.keys.settle_open_keys(self._clock()):
            if request_id in elsewhere:
                continue
            is_not_run = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
            outcome = Outcome.NOT_RUN if is_not_run and not was_handed_over else Outcome.UNKNOWN
            self.deliver(request_id, not_owner_refusal(self._shard, outcome))

    def close(self) -> None:
        """Refuse all pending requests with an unknown outcome, because the owner ends."""
        for request_id in list(self.pending):
            self.deliver(request_id, not_owner_refusal(self._shard, Outcome.UNKNOWN))

    def expire_keys(self, now: float) -> None:
        """Remove the keys whose retention has expired, and their answers."""
        if self.keys.expire(now):
            self.answers.retain(self.keys.entries)
