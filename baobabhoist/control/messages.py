"""Define the messages between the cell's owner and the other instances."""

from __future__ import annotations

import attrs

from baobabhoist.cell.expected_waits import ExpectedWait
from baobabhoist.cell.model import JobSpec
from baobabhoist.cell.placement_report import PlacementPreview
from baobabhoist.control.sessions.messages import SESSION_MESSAGES
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import STREAM_MESSAGES


@attrs.frozen
class Greeting:
    """Identify the connecting process; `boot` is a new id at each process start.

    The size of its machine is 0 if the process is of a version that does not send it. Only an
    instance of a version that `holds_sessions` can hold sessions with workers.
    """

    node: str
    boot: str
    cores: float = 0.0
    link_mbps: float = 0.0
    data_centre: str = ""
    holds_sessions: bool = False


@attrs.frozen
class Welcome:
    """Identify the accepting process, and say whether it owns the cell."""

    node: str
    boot: str
    owns: bool


@attrs.frozen
class JobNotice:
    """Notify the owner of a newly stored job."""

    job_id: str
    value: bytes
    version: int


@attrs.frozen
class CancelNotice:
    """Notify the owner of a newly stored cancellation."""

    job_id: str


@attrs.frozen
class StateQuery:
    """Ask for the state of a job."""

    job_id: str


@attrs.frozen
class StateReply:
    """Return the state of a job; `state` is empty if the owner does not know the job."""

    state: str = ""
    queue: str = ""
    team: str = ""


@attrs.frozen
class PendingQuery:
    """Ask how many jobs of a queue have not started."""

    queue: str


@attrs.frozen
class PendingReply:
    """Return the number of jobs that have not started."""

    jobs: int


@attrs.frozen
class AdviceQuery:
    """Ask another instance to query the placement adviser."""

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    cost_ms: float


@attrs.frozen
class AdviceReply:
    """Return the adviser's answer; `answered` is false if the adviser did not answer.

    `took_ms` is how long the adviser took, and 0 from an instance of a version without it.
    `busy_ms` is not 0 if it was not asked, because it works on another query of that instance.
    """

    answered: bool
    tickets: dict[str, str] = attrs.Factory(dict)
    valid_ms: int = 0
    took_ms: float = 0.0
    busy_ms: float = 0.0


@attrs.frozen
class JobWaits:
    """Hold for how long new jobs would wait, as computed `age_ms` before this was sent.

    `instances` is how many instances answer callers.
    """

    rows: tuple[ExpectedWait, ...] = ()
    age_ms: float = 0.0
    instances: int = 1


@attrs.frozen
class OwnerHeartbeat:
    """Show that the owner is alive, or with `owns` false that it has released the cell.

    New jobs should be refused for `refuse_jobs_ms`, because the owner has too many to start.
    `waits` is None if the owner has no new figures since the last heartbeat.
    """

    owns: bool = True
    refuse_jobs_ms: float = 0.0
    waits: JobWaits | None = None


@attrs.frozen
class WireRow:
    """Carry a row; `version` is the expected or the current version, 0 for an absent row."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RelayCommit:
    """Ask another instance to apply a store transaction."""

    expected: tuple[WireRow, ...]
    puts: tuple[WireRow, ...]
    removes: tuple[WireRow, ...]
    hops: int = 0


@attrs.frozen
class RelayRead:
    """Ask another instance to read rows from the store."""

    table: str
    part: str
    first: str
    last: str
    hops: int = 0


@attrs.frozen
class RelayFollow:
    """Ask another instance for the changes of a table after a version."""

    table: str
    after: int
    wait_ms: int
    hops: int = 0
    max_bytes: int = 0


@attrs.frozen
class RelayedCommit:
    """Return the outcome of a relayed transaction; `rows` are the conflicting rows."""

    committed: bool
    version: int
    now_ms: int
    rows: tuple[WireRow, ...]


@attrs.frozen
class RelayedRows:
    """Return a consistent snapshot of rows from the store."""

    rows: tuple[WireRow, ...]
    version: int
    now_ms: int


@attrs.frozen
class RelayFailed:
    """Report how a relayed call failed: `refused`, `unanswered` or `history_lost`."""

    kind: str
    detail: str


@attrs.frozen
class ReadinessQuery:
    """Ask an instance whether it could take over the cell now."""


@attrs.frozen
class ReadinessReply:
    """Return whether an instance could take over the cell now."""

    ready: bool


@attrs.frozen
class NotOwner:
    """Report that the queried instance does not own the cell."""

    node: str


@attrs.frozen
class PlacementQuery:
    """Ask the owner where a job would go now; an owner of an earlier version does not reply."""

    queue: str
    team: str
    spec: JobSpec


@attrs.frozen
class PlacementReply:
    """Return where a job would go now; `preview` is None if the owner does not know the queue."""

    preview: PlacementPreview | None = None


# The position of a type is its tag on the wire: append new types, never reorder.
CODEC = Codec(
    (
        *STREAM_MESSAGES,
        Greeting,
        Welcome,
        JobNotice,
        CancelNotice,
        StateQuery,
        StateReply,
        PendingQuery,
        PendingReply,
        AdviceQuery,
        AdviceReply,
        NotOwner,
        RelayCommit,
        RelayRead,
        RelayFollow,
        RelayedCommit,
        RelayedRows,
        RelayFailed,
        OwnerHeartbeat,
        ReadinessQuery,
        ReadinessReply,
        *SESSION_MESSAGES,
        PlacementQuery,
        PlacementReply,
    )
)
