"""Bound the open connections of all listeners of a process."""

from __future__ import annotations

from typing import Generic, TypeVar

Conn = TypeVar("Conn")


class ConnectionTable(Generic[Conn]):
    """Track open connections; times are in seconds on any steady clock.

    A connection waits for its client (for a request, the rest of one, or the client to read an
    answer) until a deadline, or it is busy with a request. Only waiting ones are closed.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        # The deadlines; the connection that has waited longest is in front.
        self._waiting: dict[Conn, float] = {}
        self._busy: set[Conn] = set()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._busy)

    def add(self, conn: Conn, deadline_s: float) -> Conn | None:
        """Track a new connection; return the one to close for it, which may be the new one."""
        excess: Conn | None = None
        if len(self) >= self.max_connections:
            excess = next(iter(self._waiting), conn)
            self._waiting.pop(excess, None)
        if excess is not conn:
            self._waiting[conn] = deadline_s
        return excess

    def wait(self, conn: Conn, deadline_s: float) -> None:
        """Note that a connection made progress, and waits for its client until a deadline."""
        if conn in self._waiting:
            del self._waiting[conn]
        elif conn in self._busy:
            self._busy.remove(conn)
        else:
            return
        self._waiting[conn] = deadline_s

    def work(self, conn: Conn) -> None:
        """Note that a connection is busy with a complete request."""
        if self._waiting.pop(conn, None) is not None:
            self._busy.add(conn)

    def remove(self, conn: Conn) -> None:
        """Stop tracking a closed connection; a second call has no effect."""
        self._waiting.pop(conn, None)
        self._busy.discard(conn)

    def busy(self) -> list[Conn]:
        """Return the connections that are busy with a request."""
        return list(self._busy)

    def overdue(self, now_s: float) -> list[Conn]:
        """Return the waiting connections whose deadlines have passed."""
        return [conn for conn, deadline_s in self._waiting.items() if deadline_s <= now_s]
