"""Send placed tasks to workers and find their outcomes."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs

from baobabhoist.errors import ErrorKind, LinkClosedError, MessageNotSentError, Refusal
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

WORKER_CALL_TIMEOUT_S = 1.0
DEFAULT_LEASE_S = 3.0
QUERY_INTERVAL_S = 0.2
# Time after its deadline in which a task may still complete. Then the owner stops the task,
# because nothing else would end it.
DEADLINE_GRACE_S = 5.0
# Longest wait for one reply. After that the owner queries the outcome and waits again.
MAX_CALL_TIMEOUT_S = 3600.0

HTTP_OK = 200


@attrs.frozen
class Completed:
    """Represent a task that ended, with its stored answer.

    `confirmed` states that the worker held this owner's token when it reported the end.
    """

    succeeded: bool
    body: bytes
    confirmed: bool = False


@attrs.frozen
class NotStarted:
    """Represent a task that the worker did not start and never will under this id."""

    reason: str


@attrs.frozen
class Superseded:
    """Represent a task whose worker obeys a higher token; `sent` states that it may run."""

    sent: bool


@attrs.frozen
class LostTask:
    """Represent a task that no longer runs because its lease expired or its worker restarted.

    Whether the task completed is unknown.
    """


DispatchOutcome = Completed | NotStarted | Superseded | LostTask


@attrs.frozen
class LeaseSettings:
    """Configure task leases, in seconds."""

    lease_s: float = DEFAULT_LEASE_S
    clock_skew_s: float = 0.5


class TaskObserver(Protocol):
    """Observe the tasks and placements of a shard; times are in seconds."""

    def task_started(self, task: Task, now: float) -> None:
        """Handle a task that was sent to its worker."""

    def task_ended(self, task: Task, seconds: float) -> None:
        """Handle a task that spent `seconds` on its worker."""

    def placement_decided(self, task: Task, seconds: float) -> None:
        """Handle a placement whose decision took `seconds`."""


class WorkerClient(Protocol):
    """Send calls to workers."""

    async def call(self, worker: str, message: Any, timeout_s: float) -> Any:
        """Send a call; raises MessageNotSentError, LinkClosedError or TimeoutError."""


@attrs.define
class WorkerLeases:
    """Track when all leases on a worker have certainly expired; times are Unix seconds."""

    lease_s: float
    clock_skew_s: float
    latest_deadlines: dict[str, float] = attrs.Factory(dict)

    def extend(self, worker: str, now: float) -> float:
        """Record a lease that is about to be sent to a worker and return its deadline."""
        deadline = now + self.lease_s
        self.latest_deadlines[worker] = max(deadline, self.latest_deadlines.get(worker, 0.0))
        return deadline

    def all_expired(self, worker: str, now: float) -> bool:
        """Return whether every lease sent to the worker has expired, even with clock skew."""
        return now > self.latest_deadlines.get(worker, 0.0) + self.clock_skew_s


class Dispatcher:
    """Run tasks on workers under the owner's token."""

    def __init__(
        self,
        client: WorkerClient,
        leases: WorkerLeases,
        token: Callable[[], Token],
        on_token_refused: Callable[[str, Token], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._leases = leases
        self._token = token
        self._on_token_refused = on_token_refused
        self._clock = clock
        self._restarts: Counter[str] = Counter()

    def count_worker_restart(self, worker: str) -> None:
        """Record that a worker restarted and may have lost the tasks it was sent."""
        self._restarts[worker] += 1

    async def execute(self, task: Task, worker: str) -> DispatchOutcome:
        """Run a task and return its outcome, possibly after the task's deadline."""
        now, token, restarts = self._clock(), self._token(), self._restarts[worker]
        call = RunTask(token, task, self._leases.extend(worker, now))
        timeout_s = min(task.deadline - now + DEADLINE_GRACE_S, MAX_CALL_TIMEOUT_S)
        try:
            reply = await self._client.call(worker, call, timeout_s)
        except MessageNotSentError:
            return NotStarted("the worker is not connected")
        except (LinkClosedError, TimeoutError):
            return await self.find_outcome(task.task_id, task.deadline, worker, restarts)
        match reply:
            case TaskEnded():
                return Completed(reply.succeeded, reply.body, reply.token == self._token())
            case TaskRefused(reason="duplicate"):
                return await self.find_outcome(task.task_id, task.deadline, worker, restarts)
            case TaskRefused():
                return NotStarted(reply.reason)
            case TokenRefused():
                await self._on_token_refused(worker, reply.highest)
                if reply.highest < token:
                    return NotStarted("the worker restarted and must be fenced again")
                return Superseded(sent=False)
        log.error(
            "worker %s sent an unexpected reply to RunTask: %s", worker, type(reply).__name__
        )
        return await self.find_outcome(task.task_id, task.deadline, worker, restarts)

    async def find_outcome(
        self, task_id: str, deadline: float, worker: str, restarts: int | None = None
    ) -> DispatchOutcome:
        """Query the worker for the outcome of a task until it is known or the lease expires.

        `restarts` is the number of restarts of the worker when the task was sent. If it has
        restarted since, `never` only means that the worker has lost its record of the task.
        """
        known_restarts = self._restarts[worker] if restarts is None else restarts
        while True:
            outcome = await self._query_outcome(task_id, worker)
            if isinstance(outcome, NotStarted) and self._restarts[worker] != known_restarts:
                return LostTask()
            if outcome is not None:
                return outcome
            now = self._clock()
            if now > deadline + DEADLINE_GRACE_S:
                await self._stop_task(task_id, worker)
            await asyncio.sleep(QUERY_INTERVAL_S)

    async def _query_outcome(self, task_id: str, worker: str) -> DispatchOutcome | None:
        try:
            report = await self._client.call(
                worker, QueryOutcome(self._token(), task_id), WORKER_CALL_TIMEOUT_S
            )
        except (LinkClosedError, TimeoutError):
            return LostTask() if self._leases.all_expired(worker, self._clock()) else None
        match report:
            case TokenRefused(highest):
                await self._on_token_refused(worker, highest)
                return Superseded(sent=True) if highest > self._token() else None
            case OutcomeReport(ended=EndedTask() as ended):
                return Completed(ended.succeeded, ended.body)
            case OutcomeReport(state="never"):
                return NotStarted("the worker has no record of it")
        return None

    async def _stop_task(self, task_id: str, worker: str) -> None:
        try:
            await self._client.call(
                worker, StopTask(self._token(), task_id), WORKER_CALL_TIMEOUT_S
            )
        except (LinkClosedError, TimeoutError):
            log.info("worker %s did not confirm that it stopped task %s", worker, task_id)


def completed_result(task_id: str, succeeded: bool, body: bytes) -> Result:
    """Return the result of a task that ended on its worker."""
    if succeeded:
        return Answer(task_id, HTTP_OK, body)
    return Refusal(
        ErrorKind.TASK_FAILED,
        "the task failed on its worker",
        Outcome.RAN,
        "find the cause in the task, then send it under a new key",
    )


def not_started_refusal(reason: str) -> Refusal:
    """Return the refusal for a task that its worker did not start."""
    return Refusal(
        ErrorKind.NO_CAPACITY,
        f"the task was not started: {reason}",
        remedy="send the request again under a new key",
        retry_after_s=0.5,
    )


def outcome_unknown_refusal(reason: str) -> Refusal:
    """Return the refusal for a task that may have run."""
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        reason,
        Outcome.UNKNOWN,
        "check the effect of the request before sending it under a new key",
    )


def not_owner_refusal(shard: str, outcome: Outcome = Outcome.NOT_RUN) -> Refusal:
    """Return the refusal for an instance that does not own the shard, or no longer does."""
    return Refusal(
        ErrorKind.SHARD_UNAVAILABLE,
        f"this instance does not own shard {shard}",
        outcome,
        "send the request again under the same key",
        retry_after_s=0.5,
    )


def result_of_outcome(task_id: str, outcome: DispatchOutcome) -> Result:
    """Convert the outcome of a dispatched task to the result of its request."""
    match outcome:
        case Completed(succeeded, body):
            return completed_result(task_id, succeeded, body)
        case NotStarted(reason):
            return not_started_refusal(reason)
    return outcome_unknown_refusal("the worker did not report what became of the task")
