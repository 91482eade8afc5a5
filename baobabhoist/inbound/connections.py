"""Bound the open connections of all listeners of a process."""

from __future__ import annotations

from typing import Generic, TypeVar

Conn = TypeVar("Conn")


class ConnectionTable(Generic[Conn]):
    """Track open connections; times are in seconds on any steady clock.

    A connection waits for its client (for a request, the rest of one, or the client to read an
    answer) until a deadline, or it is busy with a request. Only waiting ones are closed.
    """

    def __init__(self, max_connections: int, max_waiting: int, max_sending: int) -> None:
        self.max_connections = max_connections
        # A connection that waits can fill its buffers, and a busy one cannot.
        self.max_waiting = max_waiting
        # Connections whose clients have not read an answer that the kernel could not take.
        self.max_sending = max_sending
        self._sending: dict[Conn, None] = {}
        # The deadlines; the connection that has waited longest is in front.
        self._waiting: dict[Conn, float] = {}
        self._busy: set[Conn] = set()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._busy)

    def add(self, conn: Conn, deadline_s: float) -> list[Conn]:
        """Track a new connection; return those to close for it, or itself if none can be."""
        excess: list[Conn] = []
        while len(self) >= self.max_connections or len(self._waiting) >= self.max_waiting:
            if not self._waiting:
                return [conn]
            longest = next(iter(self._waiting))
            self.remove(longest)
            excess.append(longest)
        self._waiting[conn] = deadline_s
        return excess

    def wait(self, conn: Conn, deadline_s: float) -> None:
        """Note that a connection made progress, and waits for its client until a deadline."""
        self._sending.pop(conn, None)
        if conn in self._waiting:
            del self._waiting[conn]
        elif conn in self._busy:
            self._busy.remove(conn)
        else:
            return
        self._waiting[conn] = deadline_s

    def send(self, conn: Conn, deadline_s: float) -> Conn | None:
        """Note that a client must read its answer; return the connection to close, if any."""
        self.wait(conn, deadline_s)
        if conn not in self._waiting:
            return None
        self._sending[conn] = None
        if len(self._sending) <= self.max_sending:
            return None
        return next(iter(self._sending))

    def work(self, conn: Conn) -> None:
        """Note that a connection is busy with a complete request."""
        if self._waiting.pop(conn, None) is not None:
            self._busy.add(conn)

    def remove(self, conn: Conn) -> None:
        """Stop tracking a closed connection; a second call has no effect."""
        self._waiting.pop(conn, None)
        self._sending.pop(conn, None)
        self._busy.discard(conn)

    def overdue(self, now_s: float) -> list[Conn]:
        """Return the waiting connections whose deadlines have passed."""
        return [conn for conn, deadline_s in self._waiting.items() if deadline_s <= now_s]
