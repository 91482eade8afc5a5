"""Send placed tasks to workers and find out what became of each."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs

from baobabhoist.errors import ErrorKind, LinkClosedError, NotSentError, Refusal
from baobabhoist.model import Answer, EndedTask, Outcome, Task
from baobabhoist.ownership.request_keys import Result
from baobabhoist.ownership.tokens import Token
from baobabhoist.upstream.messages import (
    OutcomeReport,
    QueryOutcome,
    RunTask,
    StopTask,
    TaskEnded,
    TaskRefused,
    TokenRefused,
)

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
LEASE_S = 3.0
QUERY_INTERVAL_S = 0.2
# A worker that answers late still does so within this time after the deadline; then the
# task is stopped, because nothing else would end it.
OVERRUN_S = 5.0
# Longest wait for one reply; after it the owner asks for the outcome and waits again.
LONGEST_CALL_S = 3600.0

HTTP_OK = 200


@attrs.frozen
class Ended:
    """Know that the task ended, with its stored answer.

    `confirmed` tells that the worker held this owner's token when it reported the end.
    """

    succeeded: bool
    body: bytes
    confirmed: bool = False


@attrs.frozen
class NeverRan:
    """Know that the worker did not start the task and never will under this id."""

    reason: str


@attrs.frozen
class Superseded:
    """Know that the worker obeys a higher token; `sent` tells whether the task may run."""

    sent: bool


@attrs.frozen
class Lost:
    """Know only that the task no longer runs: its lease expired or its worker restarted."""


Fate = Ended | NeverRan | Superseded | Lost


@attrs.frozen
class ShardTimes:
    """Hold the periods that the settings give, in seconds."""

    lease_s: float = LEASE_S
    clock_skew_s: float = 0.5


class Observer(Protocol):
    """Learn what a shard decides and how long its tasks take; times are in seconds."""

    def started(self, task: Task, now: float) -> None:
        """Learn that a task was sent to its worker."""

    def ended(self, task: Task, seconds: float) -> None:
        """Learn how long a task was with its worker."""

    def decided(self, task: Task, seconds: float) -> None:
        """Learn the processor time of one placement."""


class Calls(Protocol):
    """Send calls to workers."""

    async def call(self, worker: str, message: Any, timeout_s: float) -> Any:
        """Send a call; raises NotSentError, LinkClosedError or TimeoutError."""


@attrs.define
class Leases:
    """Know when the leases on each worker have certainly expired; times are Unix seconds."""

    lease_s: float
    clock_skew_s: float
    latest: dict[str, float] = attrs.Factory(dict)

    def extend(self, worker: str, now: float) -> float:
        """Return the deadline of a lease that is about to be sent, and remember it."""
        deadline = now + self.lease_s
        self.latest[worker] = max(deadline, self.latest.get(worker, 0.0))
        return deadline

    def expired(self, worker: str, now: float) -> bool:
        """Tell whether no lease that was ever sent to the worker can still hold."""
        return now > self.latest.get(worker, 0.0) + self.clock_skew_s


class Dispatcher:
    """Run tasks on workers under the owner's token."""

    def __init__(
        self,
        calls: Calls,
        leases: Leases,
        token: Callable[[], Token],
        on_refused: Callable[[str, Token], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._leases = leases
        self._token = token
        self._on_refused = on_refused
        self._clock = clock
        self._restarts: Counter[str] = Counter()

    def worker_restarted(self, worker: str) -> None:
        """Note that a worker may have forgotten what it was sent before."""
        self._restarts[worker] += 1

    async def execute(self, task: Task, worker: str) -> Fate:
        """Run a task and return what became of it; it may take past the task's deadline."""
        now, token, restarts = self._clock(), self._token(), self._restarts[worker]
        call = RunTask(token, task, self._leases.extend(worker, now))
        patience = min(task.deadline - now + OVERRUN_S, LONGEST_CALL_S)
        try:
            reply = await self._calls.call(worker, call, patience)
        except NotSentError:
            return NeverRan("the worker is not connected")
        except (LinkClosedError, TimeoutError):
            return await self.resolve(task.task_id, task.deadline, worker, restarts)
        match reply:
            case TaskEnded():
                return Ended(reply.succeeded, reply.body, reply.token == self._token())
            case TaskRefused(reason="duplicate"):
                return await self.resolve(task.task_id, task.deadline, worker, restarts)
            case TaskRefused():
                return NeverRan(reply.reason)
            case TokenRefused():
                await self._on_refused(worker, reply.highest)
                if reply.highest < token:
                    return NeverRan("the worker restarted and must be fenced again")
                return Superseded(sent=False)
        log.error("worker %s answered RunTask with %s", worker, type(reply).__name__)
        return await self.resolve(task.task_id, task.deadline, worker, restarts)

    async def resolve(
        self, task_id: str, deadline: float, worker: str, restarts: int | None = None
    ) -> Fate:
        """Ask the worker what became of a task until it is known or its lease has expired.

        `restarts` is the worker's number of restarts before the task was sent; after another
        one `never` only means that the worker has forgotten the task.
        """
        before = self._restarts[worker] if restarts is None else restarts
        while True:
            fate = await self._query(task_id, worker)
            if isinstance(fate, NeverRan) and self._restarts[worker] != before:
                return Lost()
            if fate is not None:
                return fate
            now = self._clock()
            if now > deadline + OVERRUN_S:
                await self._stop(task_id, worker)
            await asyncio.sleep(QUERY_INTERVAL_S)

    async def _query(self, task_id: str, worker: str) -> Fate | None:
        try:
            report = await self._calls.call(
                worker, QueryOutcome(self._token(), task_id), CALL_TIMEOUT_S
            )
        except (LinkClosedError, TimeoutError):
            return Lost() if self._leases.expired(worker, self._clock()) else None
        match report:
            case TokenRefused(highest):
                await self._on_refused(worker, highest)
                return Superseded(sent=True) if highest > self._token() else None
            case OutcomeReport(ended=EndedTask() as ended):
                return Ended(ended.succeeded, ended.body)
            case OutcomeReport(state="never"):
                return NeverRan("the worker never started it")
        return None

    async def _stop(self, task_id: str, worker: str) -> None:
        try:
            await self._calls.call(worker, StopTask(self._token(), task_id), CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            log.info("worker %s did not confirm the stop of %s", worker, task_id)


def result_of_end(task_id: str, succeeded: bool, body: bytes) -> Result:
    """Return the result of a task that its worker reports as ended."""
    if succeeded:
        return Answer(task_id, HTTP_OK, body)
    return Refusal(
        ErrorKind.TASK_FAILED,
        "the task failed on its worker",
        Outcome.RAN,
        "find the cause in the task, then send it under a new key",
    )


def never_ran(reason: str) -> Refusal:
    """Return the refusal of a task that its worker did not start."""
    return Refusal(
        ErrorKind.NO_CAPACITY,
        f"the worker refused the task: {reason}",
        remedy="send the request again under a new key",
        retry_after_s=0.5,
    )


def outcome_unknown(reason: str) -> Refusal:
    """Return the refusal of a task that may have run."""
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        reason,
        Outcome.UNKNOWN,
        "check the effect of the request before sending it under a new key",
    )


def not_owner(shard: str, outcome: Outcome = Outcome.NOT_RUN) -> Refusal:
    """Return the refusal of an instance that does not own the shard, or no longer does."""
    return Refusal(
        ErrorKind.SHARD_UNAVAILABLE,
        f"this instance does not own shard {shard}",
        outcome,
        "send the request again under the same key",
        retry_after_s=0.5,
    )


def result_of_fate(task_id: str, fate: Fate) -> Result:
    """Return the result of a task of which this is known."""
    match fate:
        case Ended(succeeded, body):
            return result_of_end(task_id, succeeded, body)
        case NeverRan(reason):
            return never_ran(reason)
    return outcome_unknown("the worker did not report what became of the task")
