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
    """Introduce an instance on a new connection; `host` and `port` are those of its peer port."""

    instance_id: str
    data_centre: str
    host: str = ""
    port: int = 0


@attrs.frozen
class ShardDigest:
    """Summarise one shard: its owner's token, used and spare places by team, and free slots.

    `queued` and `unmet` count the tasks that wait for places or workers, in total and by team.
    `class_spare` holds how many more tasks of each team and kind with a class limit may start.
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
    """Report how many seconds ago the last heartbeat of an instance was received."""

    instance_id: str
    age_s: float


@attrs.frozen
class Heartbeat:
    """Report that an instance is alive, which shards it owns and which records it applies.

    `heard` relays when this instance last received heartbeats of others, `weight` determines its
    share of the shards, and `cut_off_s` is the time since the platform last confirmed its records.
    """

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
    """Relay a request to the owner of a shard; a forwarded one must not be forwarded again."""

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
    """Acknowledge a message that has no other reply."""


@attrs.frozen
class RecordEntries:
    """Carry consecutive entries of the change log as JSON, in order of revision."""

    sender: str
    entries: tuple[bytes, ...]


@attrs.frozen
class RecordEntriesRequest:
    """Request the entries of the change log after a revision."""

    after: int


@attrs.frozen
class RecordSnapshot:
    """Carry all records in force at a revision, as JSON."""

    revision: int
    records: tuple[bytes, ...]


@attrs.frozen
class RequestKeyResult:
    """Carry the stored result of a request key: either its answer or its refusal."""

    request_id: str
    forget_at: float
    answer: Answer | None
    refusal: Refusal | None


@attrs.frozen
class HandOver:
    """Hand over a shard to its next owner with its queue and the results of its request keys.

    `settled` holds the ids of all other keys with the times until which they are kept. Together
    with these, the message names every key that was first sent after `known_since`, in Unix
    seconds. `known_since` is None if there are too many keys to send.
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
    """Reply whether the receiver claims the shard and keeps what was handed over."""

    shard: str
    taken: bool


@attrs.frozen
class PlaceTransferRequest:
    """Request that the owner of a shard transfers places of a team to another shard."""

    team: str
    places: int
    from_shard: str
    to_shard: str


@attrs.frozen
class PlaceTransferReply:
    """Report how many places were transferred; zero if none were spare."""

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
