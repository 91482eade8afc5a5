"""Hold the open requests of a shard with the states of their keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from baobabhoist.daemon.answers import Resolve, StoredAnswers
from baobabhoist.daemon.dispatch import not_owner, outcome_unknown
from baobabhoist.daemon.forwarding import FORWARD_AFTER_S, Open
from baobabhoist.errors import InvariantBreachError, Refusal
from baobabhoist.model import Answer, Outcome, Request
from baobabhoist.ownership.keys import KeyLedger, KeyState, Result

# asyncio takes no infinite timeout; work without a deadline waits again after this time.
LONGEST_WAIT_S = 86400.0
FINAL_STATES = (KeyState.ANSWERED, KeyState.NOT_RUN)


class RequestBook:
    """Give each request one result, however many callers wait for it."""

    def __init__(
        self, shard: str, keys: KeyLedger, resolve: Resolve, clock: Callable[[], float]
    ) -> None:
        self.open: dict[str, Open] = {}
        self.keys = keys
        self.answers = StoredAnswers(resolve)
        self._shard = shard
        self._clock = clock

    def entry(self, req: Request, now: float) -> Open:
        """Return the entry of a request without a result."""
        entry = self.open.get(req.request_id)
        if entry is None:
            fut: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
            entry = Open(req, fut, now + FORWARD_AFTER_S, now)
            self.open[req.request_id] = entry
        return entry

    async def wait(self, req: Request, entry: Open) -> Result | None:
        """Return the result of a request, or None when its deadline passes first."""
        if entry.fut.done():
            return entry.fut.result()
        while (left_s := req.task.deadline - self._clock()) > 0:
            # `wait` leaves the future alone when this caller goes away, for the others that wait.
            timeout = min(left_s, LONGEST_WAIT_S)
            done, _ = await asyncio.wait((entry.fut,), timeout=timeout)
            if done:
                return entry.fut.result()
        return None

    def finish(self, request_id: str, result: Result) -> Result:
        """Store the result of a request and give it to those who wait."""
        known = self.keys.entries.get(request_id)
        if known is not None and known.state in FINAL_STATES and known.result is not None:
            # Only the kept answer may lack its body.
            both = isinstance(known.result, Answer) and isinstance(result, Answer)
            result = result if both else known.result
        elif known is not None:
            try:
                kept = self.answers.trim(request_id, result, known.worker)
                stored = self.keys.answered(request_id, kept)
                result = result if stored is kept else stored
            except InvariantBreachError:
                result = outcome_unknown("the owner holds no consistent state for the request")
        self.give(request_id, result)
        return result

    def give(self, request_id: str, result: Result) -> None:
        """Give a result to those who wait, without storing it."""
        entry = self.open.pop(request_id, None)
        if entry is not None and not entry.fut.done():
            entry.fut.set_result(result)

    async def give_whole(self, request_id: str, result: Result) -> None:
        """Give a kept result with its body."""
        entry = self.open.get(request_id)
        if entry is not None:
            self.give(request_id, await self.answers.whole(entry.req, result))

    def give_up(self, elsewhere: Container[str], moved: bool) -> None:
        """Answer what can no longer be decided here, but for what is `elsewhere`.

        After a move the next owner may run the queue, so nothing is called not run.
        """
        for request_id, result in self.keys.drop(self._clock()):
            if request_id in elsewhere:
                continue
            certain = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
            outcome = Outcome.NOT_RUN if certain and not moved else Outcome.UNKNOWN
            self.give(request_id, not_owner(self._shard, outcome))

    def end(self) -> None:
        """Answer everything that is still open, because the owner ends."""
        for request_id in list(self.open):
            self.give(request_id, not_owner(self._shard, Outcome.UNKNOWN))

    def expire(self, now: float) -> None:
        """Forget the keys whose time has passed."""
        if self.keys.expire(now):
            self.answers.forget(self.keys.entries)
