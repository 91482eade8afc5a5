"""Bound the incoming connections between instances and the memory that they hold."""

from __future__ import annotations

import enum
from collections.abc import Hashable

import attrs


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
    NOT_IDENTIFIED = "it did not identify itself in time"


@attrs.frozen
class LinkLimits:
    """Hold the limits of the incoming connections of one port."""

    max_pending: int = 128
    max_unconfirmed: int = 512
    identify_timeout_s: float = 5.0


@attrs.frozen
class Eviction:
    """Name a connection that has to be closed, and the reason."""

    conn: Hashable
    reason: CloseReason


@attrs.define
class LinkAdmission:
    """Track the incoming connections of one port and decide which to close."""

    limits: LinkLimits = attrs.Factory(LinkLimits)
    # The connections of each standing, in the order in which they got it.
    _conns: dict[Standing, dict[Hashable, None]] = attrs.Factory(
        lambda: {standing: {} for standing in Standing}
    )
    _standings: dict[Hashable, Standing] = attrs.Factory(dict)

    def open(self, conn: Hashable) -> Eviction | None:
        """Add a connection; the oldest pending one has to go if there are too many."""
        pending = self._conns[Standing.PENDING]
        self._add(conn, Standing.PENDING)
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
        self.close(conn)
        self._add(conn, standing)
        return None

    def close(self, conn: Hashable) -> None:
        """Remove a connection; a second call has no effect."""
        standing = self._standings.pop(conn, None)
        if standing is not None:
            del self._conns[standing][conn]

    def _add(self, conn: Hashable, standing: Standing) -> None:
        self._standings[conn] = standing
        self._conns[standing][conn] = None
