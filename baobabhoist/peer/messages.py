"""Define the messages between instances."""

from __future__ import annotations

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.model import Answer, Request
from baobabhoist.peer.codec import Codec


@attrs.frozen
class Hello:
    """Introduce an instance on a new connection."""

    instance_id: str
    data_centre: str


@attrs.frozen
class Heartbeat:
    """Report that an instance lives, what it owns and which records it applies."""

    instance_id: str
    data_centre: str
    owned_shards: tuple[str, ...]
    records_revision: int
    draining: bool


@attrs.frozen
class RelayRequest:
    """Pass a request to the owner of its home shard."""

    request: Request


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


CODEC = Codec((Hello, Heartbeat, RelayRequest, RelayAnswer, RelayRefusal, Ack))
