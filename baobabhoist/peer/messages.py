"""Define the messages between instances."""

from __future__ import annotations

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.jobs.messages import JOB_MESSAGES
from baobabhoist.model import Answer, Request
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import STREAM_MESSAGES


@attrs.frozen
class Hello:
    """Introduce an instance on a new connection; `host` and `port` are its peer address."""

    instance_id: str
    data_centre: str
    host: str = ""
    port: int = 0


@attrs.frozen
class ShardDigest:
    """Summarise one shard: its owner's token, use and spare places by team, free slots.

    `queued` and `unmet` count the tasks that wait for places or workers. `class_spare` holds how
    many tasks may start of each team and kind with a class limit.
    """

    shard: str
    token: Token
    used: dict[str, int]
    spare: dict[str, int]
    free_slots: int
    queued: int
    unmet: dict[str, int] = attrs.Factory(dict)
    class_spare: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class LastContact:
    """Tell how long ago an instance was heard, in seconds."""

    instance_id: str
    age_s: float


@attrs.frozen
class Heartbeat:
    """Report that an instance lives, what it owns and which records it applies."""

    instance_id: str
    data_centre: str
    owned_shards: tuple[str, ...]
    records_revision: int
    draining: bool
    shards: tuple[ShardDigest, ...] = ()
    heard: tuple[LastContact, ...] = ()
    weight: float = 1.0
    cut_off_s: float = 0.0


@attrs.frozen
class RelayRequest:
    """Pass a request to the owner of a shard; a forwarded one is not forwarded again."""

    request: Request
    forwarded: bool = False


@attrs.frozen
class RelayAnswer:
    """Return the answer of a relayed request."""

    answer: Answer


@attrs.frozen
class RelayRefusal:
    """Return the refusal of a relayed request."""

    request_id: str
    refusal: Refusal


@attrs.frozen
class Ack:
    """Confirm a message that has no other reply."""


@attrs.frozen
class RecordEntries:
    """Carry consecutive entries of the change log as JSON, in order of revision."""

    sender: str
    entries: tuple[bytes, ...]


@attrs.frozen
class RecordEntriesRequest:
    """Ask for the entries of the change log behind a revision."""

    after: int


@attrs.frozen
class RecordSnapshot:
    """Carry all records in force at a revision, as JSON."""

    revision: int
    records: tuple[bytes, ...]


@attrs.frozen
class RequestKeyResult:
    """Carry what an owner knows of a request key; exactly one of both results is set."""

    request_id: str
    forget_at: float
    answer: Answer | None
    refusal: Refusal | None


@attrs.frozen
class HandOver:
    """Hand a shard to its next owner: the queue and the results of its request keys.

    `settled` holds the ids of all other keys with the times until which they are kept. With
    these, the sender knew every key that was first sent after `known_since`, in Unix seconds;
    it is None when the keys are too many to send.
    """

    shard: str
    token: Token
    sender: str
    requests: tuple[Request, ...]
    results: tuple[RequestKeyResult, ...]
    settled: dict[str, float] = attrs.Factory(dict)
    known_since: float | None = None


@attrs.frozen
class HandOverReply:
    """Confirm that the receiver claims the shard and keeps what was handed over."""

    shard: str
    taken: bool


@attrs.frozen
class PlaceTransferRequest:
    """Ask the owner of a shard to transfer places of a team to another shard."""

    team: str
    places: int
    from_shard: str
    to_shard: str


@attrs.frozen
class PlaceTransferReply:
    """Report how many places were transferred; zero when there were none to give."""

    team: str
    places: int


CODEC = Codec(
    (
        Hello,
        Heartbeat,
        RelayRequest,
        RelayAnswer,
        RelayRefusal,
        Ack,
        RecordEntries,
        RecordEntriesRequest,
        RecordSnapshot,
        HandOver,
        HandOverReply,
        PlaceTransferRequest,
        PlaceTransferReply,
        *STREAM_MESSAGES,
        *JOB_MESSAGES,
    )
)
