"""Hold what all listeners of a process share to bound their clients."""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from typing import Protocol

from baobabhoist.inbound.body_memory import BodyMemory
from baobabhoist.inbound.chunk_rate import ChunkGate, make_bucket
from baobabhoist.inbound.connections import ConnectionTable
from baobabhoist.inbound.limits import InboundLimits
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0


class CloseReason(enum.StrEnum):
    """Enumerate why a connection was closed."""

    TOO_MANY = "too_many"
    TIMEOUT = "timeout"
    UNREAD_ANSWERS = "unread_answers"


class RefusedBody(enum.StrEnum):
    """Enumerate why a body was refused."""

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
        self.connections: ConnectionTable[Client] = ConnectionTable(
            limits.max_connections, limits.max_waiting, limits.max_sending
        )
        self.gate = ChunkGate(make_bucket(limits.pieces_per_s, limits.piece_burst))
        self._is_sweeping = False

    def open(self, client: Client, deadline_s: float) -> bool:
        """Track a new connection, which waits until a deadline; return whether it may stay."""
        excess = self.connections.add(client, deadline_s)
        for other in excess:
            self._close(other, CloseReason.TOO_MANY)
        if not self._is_sweeping:
            self._is_sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        return client not in excess

    def send(self, client: Client) -> None:
        """Track a client that has not read its answer yet; close another if there are too many."""
        deadline_s = time.monotonic() + self.limits.write_timeout_s
        excess = self.connections.send(client, deadline_s)
        if excess is not None:
            self._close(excess, CloseReason.UNREAD_ANSWERS)

    def _sweep(self) -> None:
        """Close the connections whose clients have let their deadlines pass."""
        loop = asyncio.get_running_loop()
        for client in self.connections.overdue(time.monotonic()):
            self._close(client, CloseReason.TIMEOUT)
        self._is_sweeping = len(self.connections) > 0
        if self._is_sweeping:
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _close(self, client: Client, reason: CloseReason) -> None:
        self.connections.remove(client)
        self.observer.count_closed_connection(reason.value)
        emit(log, Event.CONNECTION_CLOSED, reason=reason.value, open=len(self.connections))
        client.close()
