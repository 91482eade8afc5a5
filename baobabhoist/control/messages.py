"""Define the messages between the cell's owner and the other instances."""

from __future__ import annotations

import attrs

from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import STREAM_TYPES


@attrs.frozen
class Greeting:
    """Introduce the process at the connecting end; `boot` is new at each start."""

    node: str
    boot: str


@attrs.frozen
class Welcome:
    """Introduce the process that was connected to, and whether it owns the cell."""

    node: str
    boot: str
    owns: bool


@attrs.frozen
class JobNotice:
    """Tell the owner of a job that was just stored."""

    job_id: str
    value: bytes
    version: int


@attrs.frozen
class CancelNotice:
    """Tell the owner of a cancellation that was just stored."""

    job_id: str


@attrs.frozen
class StateQuery:
    """Ask for the state of a job."""

    job_id: str


@attrs.frozen
class StateReply:
    """Give the state of a job; `state` is empty if the owner does not know the job."""

    state: str = ""
    queue: str = ""
    team: str = ""


@attrs.frozen
class PendingQuery:
    """Ask how many jobs of a queue have not begun."""

    queue: str


@attrs.frozen
class PendingReply:
    """Give the number of jobs that have not begun."""

    jobs: int


@attrs.frozen
class AdviceQuery:
    """Ask another instance to put a question to the placement adviser."""

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    cost_ms: float


@attrs.frozen
class AdviceReply:
    """Give the adviser's answer, or `answered` false without one."""

    answered: bool
    tickets: dict[str, str] = attrs.Factory(dict)
    valid_ms: int = 0


@attrs.frozen
class OwnerHeartbeat:
    """Show over a link that the owner lives, or that it has given the cell up."""

    owns: bool = True


@attrs.frozen
class WireRow:
    """Carry a row; `version` is the expected or the present one, 0 for an absent row."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RelayCommit:
    """Ask another instance to apply a transaction to the store."""

    expected: tuple[WireRow, ...]
    puts: tuple[WireRow, ...]
    removes: tuple[WireRow, ...]
    hops: int = 0


@attrs.frozen
class RelayRead:
    """Ask another instance to read rows of the store."""

    table: str
    part: str
    first: str
    last: str
    hops: int = 0


@attrs.frozen
class RelayFollow:
    """Ask another instance for the changes of a table."""

    table: str
    after: int
    wait_ms: int
    hops: int = 0


@attrs.frozen
class RelayedCommit:
    """Give what became of a relayed transaction; `rows` are those in conflict."""

    committed: bool
    version: int
    now_ms: int
    rows: tuple[WireRow, ...]


@attrs.frozen
class RelayedRows:
    """Give rows of the store as of one moment."""

    rows: tuple[WireRow, ...]
    version: int
    now_ms: int


@attrs.frozen
class RelayFailed:
    """Say how a relayed call failed: `refused`, `unanswered` or `history_lost`."""

    kind: str
    detail: str


@attrs.frozen
class NotOwner:
    """Answer a question for the owner at an instance that does not own the cell."""

    node: str


# A position in this list is part of the protocol: append, never reorder.
CODEC = Codec(
    (
        *STREAM_TYPES,
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
    )
)
