"""Remember what became of each request key."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Answer, Outcome, Request

Result = Answer | Refusal


class KeyState(enum.StrEnum):
    """Name the states of a request key."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Run:
    """Decide that the request is new and may run."""


@attrs.frozen
class Join:
    """Decide that the request waits for the result of an earlier one."""


@attrs.frozen
class Reply:
    """Decide that the result is known already."""

    result: Result


KeyDecision = Run | Join | Reply


@attrs.define
class KeyEntry:
    """Hold the state of one key; `forget_at` is in Unix seconds."""

    state: KeyState
    forget_at: float
    idempotent: bool
    result: Result | None = None


@attrs.define
class KeyLedger:
    """Decide for each arriving key whether it runs, joins or is answered at once."""

    clock_skew_s: float = 0.5
    taken_over_at: float = 0.0
    entries: dict[str, KeyEntry] = attrs.Factory(dict)

    def admit(self, req: Request, now: float) -> KeyDecision:
        """Decide what happens to an arriving request."""
        entry = self.entries.get(req.request_id)
        if entry is not None:
            return Reply(entry.result) if entry.result is not None else Join()
        if req.task.deadline <= now:
            return Reply(Refusal(ErrorKind.DEADLINE_PASSED, "the deadline has passed"))
        after_takeover = req.first_sent_at > self.taken_over_at + self.clock_skew_s
        if not (after_takeover or req.first_attempt or req.task.idempotent):
            return Reply(
                Refusal(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the shard changed hands after this key may first have been sent",
                    Outcome.UNKNOWN,
                    "check the effect of the request before sending it under a new key",
                )
            )
        self.entries[req.request_id] = KeyEntry(
            KeyState.QUEUED, req.task.deadline + self.clock_skew_s, req.task.idempotent
        )
        return Run()

    def dispatched(self, request_id: str) -> None:
        """Record that the request is about to be sent to a worker."""
        self.entries[request_id].state = KeyState.DISPATCHED

    def answered(self, request_id: str, result: Result) -> None:
        """Store the result of a request."""
        entry = self.entries[request_id]
        entry.state = KeyState.ANSWERED
        entry.result = result

    def expire(self, now: float) -> int:
        """Forget the keys whose time has passed and return their number."""
        old = [key for key, entry in self.entries.items() if entry.forget_at <= now]
        for key in old:
            del self.entries[key]
        return len(old)
