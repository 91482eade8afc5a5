"""Define the messages between a shard's owner and its workers."""

from __future__ import annotations

import attrs

from baobabhoist.model import EndedTask, RunningTask, Task
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import STREAM_MESSAGES


@attrs.frozen
class FenceWorker:
    """Present a fencing token to a worker."""

    shard: str
    token: Token


@attrs.frozen
class WorkerFencedReply:
    """Confirm the token and report the tasks that run or ended recently.

    A worker may report a large inventory in pages; `next_page` names the next one. `previous`
    is the token that the worker held before this one.
    """

    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    next_page: str = ""
    previous: Token | None = None


@attrs.frozen
class ReadInventory:
    """Ask for the next page of a worker's inventory."""

    token: Token
    page: str


@attrs.frozen
class TokenRefused:
    """Refuse a call because a higher token was presented."""

    highest: Token


@attrs.frozen
class RunTask:
    """Start a task under a lease; the lease deadline is in Unix seconds."""

    token: Token
    task: Task
    lease_deadline: float


@attrs.frozen
class TaskEnded:
    """Report the end of a task with its whole answer and the token that the worker holds."""

    task_id: str
    succeeded: bool
    body: bytes
    token: Token | None = None


@attrs.frozen
class TaskRefused:
    """Report that the worker did not start the task, and never will under this id."""

    task_id: str
    reason: str


@attrs.frozen
class RenewLeases:
    """Extend the leases of all tasks that the owner runs on a worker."""

    token: Token
    lease_deadline: float


@attrs.frozen
class LeasesRenewed:
    """Confirm renewed leases and report use."""

    running: tuple[str, ...]
    cpu_milli_used: int


@attrs.frozen
class QueryOutcome:
    """Ask what became of a task."""

    token: Token
    task_id: str


@attrs.frozen
class OutcomeReport:
    """Report a task as `running`, `ended` or `never`.

    After `never` the worker refuses a start under this id, also one that is still on its way.
    """

    task_id: str
    state: str
    ended: EndedTask | None


@attrs.frozen
class StopTask:
    """Stop a running task."""

    token: Token
    task_id: str


@attrs.frozen
class CheckpointTask:
    """Save a running task's progress, then stop it."""

    token: Token
    task_id: str


@attrs.frozen
class ThrottleTask:
    """Limit the processor use of a running task to a percentage."""

    token: Token
    task_id: str
    percent: int


CODEC = Codec(
    (
        FenceWorker,
        WorkerFencedReply,
        TokenRefused,
        RunTask,
        TaskEnded,
        TaskRefused,
        RenewLeases,
        LeasesRenewed,
        QueryOutcome,
        OutcomeReport,
        StopTask,
        CheckpointTask,
        ThrottleTask,
        ReadInventory,
        *STREAM_MESSAGES,
    )
)
