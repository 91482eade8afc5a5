"""Bound the incoming connections between instances and the memory that they hold."""

from __future__ import annotations

import enum
from collections.abc import Hashable

import attrs

BYTES_PER_MB = 1 << 20
# The part of the machine's memory that unknown instances may fill with their messages.
MEMORY_DIVISOR = 8
# The parts of the descriptors that connections of unknown instances may take.
PENDING_DIVISOR = 10
UNCONFIRMED_DIVISOR = 4


class Standing(enum.IntEnum):
    """Rank incoming connections by what is known of the other end."""

    # It has not identified itself.
    PENDING = 0
    # It gave a name that no list of this process confirms.
    UNCONFIRMED = 1
    # It gave the name of a listed peer.
    LISTED = 2


class CloseReason(enum.StrEnum):
    """Enumerate why an incoming connection is closed."""

    TOO_MANY_PENDING = "too many connections have not identified themselves"
    TOO_MANY_UNCONFIRMED = "too many connections of unknown instances are open"
    TOO_MUCH_MEMORY = "the unfinished messages of unknown instances take too much memory"
    NOT_IDENTIFIED = "it did not identify itself in time"
    REPLACED = "the instance has opened another connection"
    TOO_MANY_FRAMES = "it sent too many frames before it identified itself"


@attrs.frozen
class LinkLimits:
    """Hold the limits of the incoming connections of one port.

    `max_bytes` bounds the unfinished and unsent messages of all connections that are not of a
    listed peer, and `max_message_bytes` those of one that has not identified itself.
    """

    max_pending: int = 128
    max_unconfirmed: int = 512
    max_bytes: int = 32 << 20
    max_message_bytes: int = 1 << 20
    # Frames of a connection that has not identified itself.
    max_pending_frames: int = 1024
    identify_timeout_s: float = 5.0

    @classmethod
    def for_process(cls, memory_mb: int, max_open_files: int) -> LinkLimits:
        """Return the limits of a process on a machine; a size of 0 is not known."""
        limits = cls()
        if memory_mb:
            max_bytes = memory_mb * BYTES_PER_MB // MEMORY_DIVISOR
            limits = attrs.evolve(limits, max_bytes=max_bytes)
        if max_open_files:
            limits = attrs.evolve(
                limits,
                max_pending=min(limits.max_pending, max_open_files // PENDING_DIVISOR),
                max_unconfirmed=min(limits.max_unconfirmed, max_open_files // UNCONFIRMED_DIVISOR),
            )
        return limits


@attrs.frozen
class Eviction:
    """Name a connection that has to be closed, and the reason."""

    conn: Hashable
    reason: CloseReason


@attrs.define
class LinkAdmission:
    """Track the incoming connections of one port and decide which to close."""

    limits: LinkLimits = attrs.Factory(LinkLimits)
    # Held by all connections but those of listed peers.
    total_bytes: int = 0
    # The bytes that each connection holds, by standing, in the order in which it got its standing.
    _conns: dict[Standing, dict[Hashable, int]] = attrs.Factory(
        lambda: {standing: {} for standing in Standing}
    )
    _standings: dict[Hashable, Standing] = attrs.Factory(dict)

    def open(self, conn: Hashable) -> Eviction | None:
        """Add a connection; the oldest pending one has to go if there are too many."""
        pending = self._conns[Standing.PENDING]
        self._add(conn, Standing.PENDING, 0)
        if len(pending) <= self.limits.max_pending:
            return None
        return Eviction(next(iter(pending)), CloseReason.TOO_MANY_PENDING)

    def identify(self, conn: Hashable, standing: Standing) -> Eviction | None:
        """Raise the standing of a connection; it has to go if there are too many of its kind."""
        before = self._standings.get(conn)
        if before is None or before >= standing:
            return None
        unconfirmed = self._conns[Standing.UNCONFIRMED]
        if standing is Standing.UNCONFIRMED and len(unconfirmed) >= self.limits.max_unconfirmed:
            return Eviction(conn, CloseReason.TOO_MANY_UNCONFIRMED)
        self._add(conn, standing, self.close(conn))
        return None

    def hold(self, conn: Hashable, held_bytes: int) -> Eviction | None:
        """Record what a connection holds; if it is too much, the largest one may have to go."""
        standing = self._standings.get(conn)
        if standing is None or standing is Standing.LISTED:
            return None
        conns = self._conns[standing]
        self.total_bytes += held_bytes - conns[conn]
        conns[conn] = held_bytes
        if standing is Standing.PENDING and held_bytes > self.limits.max_message_bytes:
            return Eviction(conn, CloseReason.TOO_MUCH_MEMORY)
        if self.total_bytes <= self.limits.max_bytes:
            return None
        return Eviction(self._find_largest(), CloseReason.TOO_MUCH_MEMORY)

    def is_open(self, conn: Hashable) -> bool:
        """Return whether a connection is counted."""
        return conn in self._standings

    def close(self, conn: Hashable) -> int:
        """Remove a connection and return what it held; a second call has no effect."""
        standing = self._standings.pop(conn, None)
        if standing is None:
            return 0
        held_bytes = self._conns[standing].pop(conn)
        if standing is not Standing.LISTED:
            self.total_bytes -= held_bytes
        return held_bytes

    def _add(self, conn: Hashable, standing: Standing, held_bytes: int) -> None:
        self._standings[conn] = standing
        self._conns[standing][conn] = held_bytes
        if standing is not Standing.LISTED:
            self.total_bytes += held_bytes

    def _find_largest(self) -> Hashable:
        """Return the connection that holds most, among the pending ones if these hold anything."""
        pending = self._conns[Standing.PENDING]
        conns = pending if any(pending.values()) else self._conns[Standing.UNCONFIRMED]
        return max(conns, key=conns.__getitem__)
