"""Hold what all listeners of a process share to bound their clients."""

from __future__ import annotations

import enum
from typing import Protocol

from baobabhoist.inbound.body_memory import BodyMemory
from baobabhoist.inbound.connections import ConnectionTable
from baobabhoist.inbound.limits import InboundLimits


class RefusedBody(enum.StrEnum):
    """Enumerate why a body was refused."""

    TOO_LARGE = "too_large"
    NO_MEMORY = "no_memory"
    GIVEN_UP = "given_up"
    EARLY = "early"


class Client(Protocol):
    """Represent one open connection."""

    def close(self) -> None:
        """Close the connection at once."""


class Observer(Protocol):
    """Count what was refused and closed."""

    def count_refused_body(self, reason: str) -> None:
        """Count a body that was not kept."""

    def count_closed_connection(self, reason: str) -> None:
        """Count a connection that was closed because of a limit."""


class NoObserver:
    """Count nothing."""

    def count_refused_body(self, reason: str) -> None:
        """Ignore a refused body."""

    def count_closed_connection(self, reason: str) -> None:
        """Ignore a closed connection."""


class Intake:
    """Bound the connections, bodies and pieces of bodies of all listeners of a process."""

    def __init__(self, limits: InboundLimits, observer: Observer | None = None) -> None:
        self.limits = limits
        self.observer = observer or NoObserver()
        self.bodies = BodyMemory(
            limits.body_memory_bytes,
            limits.small_reserve_bytes,
            limits.small_body_bytes,
            limits.min_stall_s,
        )
        self.connections: ConnectionTable[Client] = ConnectionTable(limits.max_connections)

    def open(self, client: Client, deadline_s: float) -> bool:
        """Track a new connection, which waits until a deadline; return whether it may stay."""
        self.connections.add(client, deadline_s)
        return True
