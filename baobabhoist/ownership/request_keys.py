"""Deduplicate requests by their keys and store the outcome of each."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Answer, EndedTask, Outcome, Request, RunningTask

Result = Answer | Refusal

HTTP_OK = 200


class RequestKeyState(enum.StrEnum):
    """List the states of a request key."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


# A late report from the worker may still replace the outcome `unknown`; other results are final.
ALLOWED_TRANSITIONS: dict[RequestKeyState, frozenset[RequestKeyState]] = {
    RequestKeyState.QUEUED: frozenset(
        {RequestKeyState.DISPATCHED, RequestKeyState.UNKNOWN, RequestKeyState.NOT_RUN}
    ),
    RequestKeyState.DISPATCHED: frozenset(
        {
            RequestKeyState.QUEUED,
            RequestKeyState.ANSWERED,
            RequestKeyState.UNKNOWN,
            RequestKeyState.NOT_RUN,
        }
    ),
    RequestKeyState.UNKNOWN: frozenset({RequestKeyState.ANSWERED}),
    RequestKeyState.ANSWERED: frozenset(),
    RequestKeyState.NOT_RUN: frozenset(),
}

OPEN_STATES = frozenset({RequestKeyState.QUEUED, RequestKeyState.DISPATCHED})


@attrs.frozen
class RunNew:
    """Run the request, which is new."""


@attrs.frozen
class JoinExisting:
    """Wait for the result of an earlier request with the same key."""


@attrs.frozen
class ReplyNow:
    """Reply with a result that is known already."""

    result: Result


AdmitDecision = RunNew | JoinExisting | ReplyNow


@attrs.define
class RequestKeyEntry:
    """Hold the state of one request key; `expires_at` is in Unix seconds.

    While `seen_only_here` is true, no other owner can have the request, so a queued one that is
    dropped was certainly not run. `dispatch_count` counts the workers to which it was sent.
    `was_open_at_expiry` is true if the key had no result yet when it reached `expires_at`.
    """

    state: RequestKeyState
    expires_at: float
    idempotent: bool
    result: Result | None = None
    worker: str = ""
    dispatch_count: int = 0
    seen_only_here: bool = False
    handed_over: bool = False
    was_open_at_expiry: bool = False


@attrs.frozen
class QueuedRequestKey:
    """Describe a queued request to the next owner in a planned hand-over."""

    request_id: str
    expires_at: float
    idempotent: bool


@attrs.define
class RequestKeyLedger:
    """Decide for each arriving request whether to run it, join an earlier one or reply at once.

    Times are in Unix seconds. `taken_over_at` is the time from which on no other owner can have
    run a request. At most `max_entries` keys are stored, and as many again of refused requests.
    """

    clock_skew_s: float = 0.5
    taken_over_at: float = 0.0
    entries: dict[str, RequestKeyEntry] = attrs.Factory(dict)
    max_window_s: float = 600.0
    max_entries: int = 1_000_000
    expiry_heap: list[tuple[float, str]] = attrs.Factory(list)

    def admit(self, req: Request, now: float) -> AdmitDecision:
        """Decide how to handle an arriving request."""
        entry = self.entries.get(req.request_id)
        if entry is not None:
            entry.seen_only_here = False
            return ReplyNow(entry.result) if entry.result is not None else JoinExisting()
        refusal = self._check_deadline(req, now) or self._check_takeover(req)
        if refusal is None and len(self.entries) >= self.max_entries:
            refusal = Refusal(
                ErrorKind.QUEUE_FULL,
                "the shard owner has reached its limit of stored request keys",
                remedy="send the request again later under a new key",
                retry_after_s=1.0,
            )
        if refusal is not None:
            return ReplyNow(self._store_refusal(req, refusal, now))
        self._add(
            req.request_id,
            RequestKeyEntry(
                RequestKeyState.QUEUED,
                min(req.task.deadline, now + self.max_window_s) + self.clock_skew_s,
                req.task.idempotent,
                seen_only_here=req.first_attempt,
            ),
        )
        return RunNew()

    def record_dispatch(self, request_id: str, worker: str = "") -> None:
        """Record that a request is about to be sent to a worker."""
        entry = self._entry(request_id)
        check(
            entry.dispatch_count == 0 or (entry.idempotent and entry.dispatch_count == 1),
            Invariant.KEY_DISPATCHED_ONCE,
            "request %s was dispatched %d times",
            request_id,
            entry.dispatch_count,
        )
        self._change_state(request_id, entry, RequestKeyState.DISPATCHED)
        entry.worker = worker
        entry.dispatch_count += 1

    def record_result(self, request_id: str, result: Result) -> Result:
        """Store the result of a request and set the state that matches its outcome.

        Returns the result for the callers. Its outcome is `unknown` instead of `not_run` if it is
        not certain that the request did not run.
        """
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            return self.record_not_run(request_id, result)
        if isinstance(result, Refusal) and result.outcome is Outcome.UNKNOWN:
            return self.record_unknown(request_id, result)
        return self._store_result(request_id, RequestKeyState.ANSWERED, result)

    def record_not_run(self, request_id: str, refusal: Refusal) -> Result:
        """Record that a request was not run and never will be under this id.

        After a dispatch, call this only on a worker's report under the current owner's token.
        """
        entry = self._entry(request_id)
        check(
            refusal.outcome is Outcome.NOT_RUN,
            Invariant.KEY_RESULT_MATCHES,
            "request %s: outcome %s stored as not run",
            request_id,
            refusal.outcome,
        )
        # After a hand-over the next owner may run its copy of the request, and a retried request
        # may have run on its first worker.
        if entry.handed_over or entry.dispatch_count > 1:
            return self.record_unknown(
                request_id, unknown_outcome_refusal("another owner or worker may run the request")
            )
        return self._store_result(request_id, RequestKeyState.NOT_RUN, refusal)

    def record_unknown(self, request_id: str, refusal: Refusal | None = None) -> Result:
        """Record that it cannot be determined whether the request ran."""
        reason = "the worker did not report the outcome of the task"
        return self._store_result(
            request_id, RequestKeyState.UNKNOWN, refusal or unknown_outcome_refusal(reason)
        )

    def can_retry(self, request_id: str, deadline: float, now: float) -> bool:
        """Return whether a dispatched request may be sent to another worker."""
        entry = self.entries.get(request_id)
        return (
            entry is not None
            and entry.state is RequestKeyState.DISPATCHED
            and entry.idempotent
            and entry.dispatch_count == 1
            and now < deadline
        )

    def requeue_for_retry(self, request_id: str, deadline: float, now: float) -> bool:
        """Queue a request for its second and last dispatch; return whether it can be retried."""
        if not self.can_retry(request_id, deadline, now):
            return False
        self._change_state(request_id, self._entry(request_id), RequestKeyState.QUEUED)
        return True

    def apply_inventory(
        self,
        worker: str,
        running: Iterable[RunningTask],
        ended: Iterable[EndedTask],
        now: float,
    ) -> list[tuple[str, Result]]:
        """Apply the inventory that a worker reports when it is fenced.

        Returns the results of requests that were still open here. A request that is absent from
        the inventory keeps its state, because the inventory may be older than the dispatch.
        """
        for task in running:
            self._apply_running(worker, task.task_id, now)
        results = []
        for ended_task in ended:
            result = self._apply_ended(worker, ended_task, now)
            if result is not None:
                results.append((ended_task.task_id, result))
        return results

    def begin_ownership(self, at: float) -> None:
        """Begin an ownership; requests that may have been sent earlier are then `unknown`."""
        self.taken_over_at = max(self.taken_over_at, at)

    def settle_open_keys(self, now: float) -> list[tuple[str, Result]]:
        """Settle every open key because the shard is lost; return the results by request id."""
        results = []
        for request_id, entry in self.entries.items():
            if (
                entry.state is RequestKeyState.QUEUED
                and entry.seen_only_here
                and entry.dispatch_count == 0
            ):
                refusal = Refusal(
                    ErrorKind.SHARD_UNAVAILABLE,
                    "the shard has a new owner",
                    remedy="send the request again under a new key",
                    retry_after_s=0.5,
                )
                results.append((request_id, self.record_not_run(request_id, refusal)))
            elif entry.state in (RequestKeyState.QUEUED, RequestKeyState.DISPATCHED):
                refusal = unknown_outcome_refusal("the shard has a new owner")
                results.append((request_id, self.record_unknown(request_id, refusal)))
        return results

    def export_queued(self) -> list[QueuedRequestKey]:
        """Return the queued keys for the next owner; `not_run` is then uncertain for them."""
        keys = []
        for request_id, entry in self.entries.items():
            if entry.state is RequestKeyState.QUEUED and entry.dispatch_count == 0:
                entry.handed_over = True
                keys.append(QueuedRequestKey(request_id, entry.expires_at, entry.idempotent))
        return keys

    def import_queued(self, keys: Iterable[QueuedRequestKey], now: float) -> list[str]:
        """Add the queued keys of the previous owner and return the ids that may run here.

        Call this after the workers were fenced, when their inventories have been applied.
        """
        accepted_ids = []
        for key in keys:
            if key.request_id in self.entries or key.expires_at <= now:
                continue
            entry = RequestKeyEntry(RequestKeyState.QUEUED, key.expires_at, key.idempotent)
            self._add(key.request_id, entry)
            accepted_ids.append(key.request_id)
        return accepted_ids

    def expire(self, now: float) -> int:
        """Remove expired keys and return their number.

        An open key stays, and is kept for another window after it was last found open: a task
        of a job may run for days, and its coordinator may send the same request again afterwards.
        """
        removed = 0
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, request_id = heapq.heappop(self.expiry_heap)
            entry = self.entries.get(request_id)
            if entry is None or entry.expires_at > now:
                continue
            is_open = entry.state in OPEN_STATES
            if is_open or entry.was_open_at_expiry:
                entry.was_open_at_expiry = is_open
                entry.expires_at = now + self.max_window_s + self.clock_skew_s
                heapq.heappush(self.expiry_heap, (entry.expires_at, request_id))
                continue
            del self.entries[request_id]
            removed += 1
        return removed

    def _check_deadline(self, req: Request, now: float) -> Refusal | None:
        deadline = req.task.deadline
        if deadline <= now:
            # A key that may have been sent before may have run and expired since.
            is_certain = req.first_attempt or (
                self._was_first_sent_after_takeover(req) and now < deadline + self.clock_skew_s
            )
            return Refusal(
                ErrorKind.DEADLINE_PASSED,
                "the deadline has passed",
                Outcome.NOT_RUN if is_certain else Outcome.UNKNOWN,
                remedy="send the request under a new key with a later deadline",
            )
        is_too_far = deadline > now + self.max_window_s + self.clock_skew_s
        if is_too_far and not req.task.job_id:
            return Refusal(
                ErrorKind.DEADLINE_TOO_FAR,
                f"the deadline is more than {self.max_window_s:g} s ahead",
                remedy="send the request under a new key with an earlier deadline",
            )
        return None

    def _was_first_sent_after_takeover(self, req: Request) -> bool:
        return req.first_sent_at > self.taken_over_at + self.clock_skew_s

    def _check_takeover(self, req: Request) -> Refusal | None:
        if req.task.job_id and not req.first_attempt and not req.task.idempotent:
            # A job may last longer than the window, so a missing key may have run and expired.
            return unknown_outcome_refusal(
                "the owner has no record of whether the task was started"
            )
        if self._was_first_sent_after_takeover(req) or req.first_attempt or req.task.idempotent:
            return None
        return unknown_outcome_refusal(
            "the shard got a new owner after this key may first have been sent"
        )

    def _store_refusal(self, req: Request, refusal: Refusal, now: float) -> Refusal:
        """Store the refusal, so that a copy of the request cannot run later."""
        if refusal.outcome is not Outcome.NOT_RUN or req.task.deadline <= now:
            return refusal
        if len(self.entries) >= 2 * self.max_entries:
            return unknown_outcome_refusal(
                "the shard owner has reached its limit of stored request keys"
            )
        # A copy that is sent after this entry has expired, with the same distant deadline, is the
        # caller's own choice.
        expires_at = min(req.task.deadline, now + 2 * self.max_window_s) + self.clock_skew_s
        entry = RequestKeyEntry(RequestKeyState.NOT_RUN, expires_at, req.task.idempotent, refusal)
        self._add(req.request_id, entry)
        return refusal

    def _apply_running(self, worker: str, request_id: str, now: float) -> None:
        entry = self.entries.get(request_id)
        if entry is None:
            entry = RequestKeyEntry(
                RequestKeyState.QUEUED, now + self.max_window_s + self.clock_skew_s, False
            )
            self._add(request_id, entry)
        if entry.state is not RequestKeyState.QUEUED:
            return
        self._change_state(request_id, entry, RequestKeyState.DISPATCHED)
        entry.worker = worker
        entry.dispatch_count += 1

    def _apply_ended(self, worker: str, task: EndedTask, now: float) -> Result | None:
        self._apply_running(worker, task.task_id, now)
        entry = self.entries[task.task_id]
        if entry.state not in (RequestKeyState.DISPATCHED, RequestKeyState.UNKNOWN):
            return None
        return self._store_result(task.task_id, RequestKeyState.ANSWERED, result_from_report(task))

    def _store_result(self, request_id: str, state: RequestKeyState, result: Result) -> Result:
        entry = self._entry(request_id)
        self._change_state(request_id, entry, state)
        entry.result = result
        return result

    def _entry(self, request_id: str) -> RequestKeyEntry:
        entry = self.entries.get(request_id)
        check(entry is not None, Invariant.KEY_KNOWN, "request %s is not known", request_id)
        assert entry is not None
        return entry

    def _add(self, request_id: str, entry: RequestKeyEntry) -> None:
        self.entries[request_id] = entry
        heapq.heappush(self.expiry_heap, (entry.expires_at, request_id))

    def _change_state(
        self, request_id: str, entry: RequestKeyEntry, state: RequestKeyState
    ) -> None:
        check(
            state in ALLOWED_TRANSITIONS[entry.state],
            Invariant.KEY_TRANSITION,
            "request %s cannot go from %s to %s",
            request_id,
            entry.state,
            state,
        )
        entry.state = state


def unknown_outcome_refusal(message: str) -> Refusal:
    """Return the refusal for a request that may or may not have run."""
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        message,
        Outcome.UNKNOWN,
        "check the effect of the request before sending it under a new key",
    )


def result_from_report(task: EndedTask) -> Result:
    """Return the result of a request from the worker's report of its completion."""
    if task.succeeded:
        return Answer(task.task_id, HTTP_OK, task.body)
    return Refusal(ErrorKind.TASK_FAILED, "the task failed on its worker", Outcome.RAN)
