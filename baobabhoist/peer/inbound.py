"""Accept WebSocket connections from other instances within the limits of the port."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, cast

from websockets.asyncio.server import Server, ServerConnection, serve

from baobabhoist.inbound.intake import NoObserver, Observer
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.admission import (
    CloseReason,
    Eviction,
    LinkAdmission,
    LinkLimits,
    Standing,
)
from baobabhoist.peer.link import WEBSOCKET_OPTIONS

log = logging.getLogger(__name__)

# How much of an unknown instance is parsed at once, because tiny frames hold the event loop.
SLICE_BYTES = 4 << 10
# Bounds what the kernel buffers for each connection; it doubles the value.
RECEIVE_BUFFER_BYTES = 128 << 10
CLOSE_LOG_INTERVAL_S = 1.0

Handler = Callable[["InboundConnection"], Awaitable[None]]


class InboundConnection(ServerConnection):
    """Receive from another instance, within the limits while that instance is unknown."""

    port: InboundPort

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.standing = Standing.PENDING
        # Returns the bytes of the unfinished messages of the link over this connection.
        self.count_unfinished_bytes: Callable[[], int] = lambda: 0
        self._pending_frames = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and set the time limit for its identification."""
        super().connection_made(transport)
        self._timer = self.loop.call_later(
            self.port.admission.limits.identify_timeout_s,
            self.port.close,
            Eviction(self, CloseReason.NOT_IDENTIFIED),
        )
        self.port.close(self.port.admission.open(self))

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the count."""
        self._cancel_timer()
        self.port.admission.close(self)
        super().connection_lost(exc)

    def identify(self, standing: Standing) -> bool:
        """Record what is known of the other end; return whether the connection may stay."""
        if standing <= self.standing:
            return True
        self.standing = standing
        self._cancel_timer()
        eviction = self.port.admission.identify(self, standing)
        self.port.close(eviction)
        return eviction is None

    def replace(self) -> None:
        """Close the connection at once, because its other end has opened a new one."""
        self.port.close(Eviction(self, CloseReason.REPLACED))

    def data_received(self, data: bytes) -> None:
        """Receive data, and account for what an unknown instance makes this process hold."""
        for offset in range(0, len(data), SLICE_BYTES):
            if self.standing is not Standing.PENDING:
                super().data_received(data[offset:])
                break
            super().data_received(data[offset : offset + SLICE_BYTES])
            if self.transport.is_closing():
                return
        if self.standing is not Standing.LISTED:
            self.port.close(self.port.admission.hold(self, self._held_bytes()))

    def process_event(self, event: Any) -> None:
        """Count the frames of a connection that has not identified itself."""
        if self.standing is Standing.PENDING:
            self._pending_frames += 1
            if self._pending_frames > self.port.admission.limits.max_pending_frames:
                self.port.close(Eviction(self, CloseReason.TOO_MANY_FRAMES))
                return
        super().process_event(event)

    def _held_bytes(self) -> int:
        received = len(self.protocol.reader.buffer) + self.count_unfinished_bytes()
        return received + self.transport.get_write_buffer_size()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class InboundPort:
    """Listen for other instances, and close the connections that exceed the limits."""

    def __init__(self, limits: LinkLimits | None = None, observer: Observer | None = None) -> None:
        self.admission = LinkAdmission(limits or LinkLimits())
        self._observer = observer or NoObserver()
        # How many connections were closed, by reason.
        self.closed: Counter[CloseReason] = Counter()
        self._next_log_at = 0.0

    def serve(
        self,
        handler: Handler,
        host: str,
        port: int,
        options: dict[str, Any] = WEBSOCKET_OPTIONS,
        context: ssl.SSLContext | None = None,
    ) -> Server:
        """Return the server of the port, which starts when it is awaited or entered."""

        async def handle(conn: ServerConnection) -> None:
            assert isinstance(conn, InboundConnection)
            await handler(conn)

        return serve(
            handle,
            sock=_listen(host, port),
            ssl=context,
            create_connection=cast(type[ServerConnection], self._make_connection),
            open_timeout=self.admission.limits.identify_timeout_s,
            ssl_handshake_timeout=self.admission.limits.identify_timeout_s if context else None,
            **options,
        )

    def close(self, eviction: Eviction | None) -> None:
        """Close a connection at once, without the handshake that its other end may delay."""
        if eviction is None or not self.admission.is_open(eviction.conn):
            return
        conn = eviction.conn
        assert isinstance(conn, InboundConnection)
        self.admission.close(conn)
        self.closed[eviction.reason] += 1
        self._observer.count_closed_connection(f"peer_{eviction.reason.name.lower()}")
        self._log(conn, eviction.reason)
        conn.transport.abort()

    def _make_connection(self, *args: Any, **kwargs: Any) -> InboundConnection:
        conn = InboundConnection(*args, **kwargs)
        conn.port = self
        return conn

    def _log(self, conn: InboundConnection, reason: CloseReason) -> None:
        """Log a closed connection, but not each one of a crowd."""
        now = time.monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + CLOSE_LOG_INTERVAL_S
        emit(
            log,
            Event.INBOUND_LINK_CLOSED,
            address=str(conn.remote_address),
            reason=reason.value,
            count=self.closed.total(),
        )


def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family)
    # Accepted connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock
