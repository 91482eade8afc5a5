"""Define the messages between a shard's owner and its workers."""

from __future__ import annotations

import attrs

from baobabhoist.model import EndedTask, RunningTask, Task
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import STREAM_MESSAGES


@attrs.frozen
class FenceWorker:
    """Fence a worker: it refuses calls under a lower token from now on."""

    shard: str
    token: Token


@attrs.frozen
class WorkerFencedReply:
    """Confirm a token and report the running and recently ended tasks.

    A worker may report a large inventory in pages; `next_page` identifies the next page.
    `previous` is the token that the worker held before this one.
    """

    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    next_page: str = ""
    previous: Token | None = None


@attrs.frozen
class ReadInventory:
    """Request the next page of a worker's inventory."""

    token: Token
    page: str


@attrs.frozen
class TokenRefused:
    """Refuse a call because the worker has accepted a higher token."""

    highest: Token


@attrs.frozen
class RunTask:
    """Start a task under a lease; the lease deadline is in Unix seconds."""

    token: Token
    task: Task
    lease_deadline: float


@attrs.frozen
class TaskEnded:
    """Report the end of a task with its complete answer and the token that the worker holds."""

    task_id: str
    succeeded: bool
    body: bytes
    token: Token | None = None


@attrs.frozen
class TaskRefused:
    """Report that the worker did not start the task and will not start it under this id."""

    task_id: str
    reason: str


@attrs.frozen
class RenewLeases:
    """Extend the leases of all tasks that the owner runs on a worker."""

    token: Token
    lease_deadline: float


@attrs.frozen
class LeasesRenewed:
    """Confirm renewed leases; report the running tasks and the processor use."""

    running: tuple[str, ...]
    cpu_milli_used: int


@attrs.frozen
class QueryOutcome:
    """Request the outcome of a task."""

    token: Token
    task_id: str


@attrs.frozen
class OutcomeReport:
    """Report a task as `running`, `ended` or `never`.

    After `never`, the worker refuses to start a task with this id, even if a start is in flight.
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
    """Checkpoint a running task, then stop it."""

    token: Token
    task_id: str


@attrs.frozen
class ThrottleTask:
    """Throttle the processor use of a running task to a percentage."""

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
