"""Serve HTTP within the limits of a process: bodies, connections and time on the event loop."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, cast

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.inbound.body_memory import Body
from baobabhoist.inbound.chunk_rate import is_pause_due
from baobabhoist.inbound.intake import Intake, RefusedBody

# Bodies are refused here, because tornado refuses them without an answer that tells why.
UNLIMITED_BODY_BYTES = 1 << 62
MAX_LENGTH_DIGITS = 18
RETRY_AFTER_S = 1.0


class EarlyCheck(Protocol):
    """Decide on a request before its body is read."""

    def __call__(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
    ) -> Refusal | None:
        """Return the refusal of a request whose body has at least `body_bytes`, if any."""


def accept_all(
    start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
) -> Refusal | None:
    """Refuse no request before its body is read."""
    return None


def early_refusal(req: HTTPServerRequest) -> Refusal | None:
    """Return why the body of a request was refused; a handler answers with nothing else."""
    conn = req.connection
    return conn.refusal if isinstance(conn, RequestConnection) else None


def body_too_large_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of a body over a limit."""
    message = f"the body is larger than {max_bytes} bytes"
    return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy="send a smaller body")


def no_memory_refusal() -> Refusal:
    """Return the refusal of a body for which there is no memory now."""
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "too many bodies are being received",
        remedy="retry after the given time",
        retry_after_s=RETRY_AFTER_S,
    )


class HttpClientConnection:
    """Represent one connection of a client; paces the chunks that are decoded from it."""

    def __init__(self, stream: IOStream, intake: Intake) -> None:
        self.stream = stream
        self.intake = intake
        # Chunks and other pieces of the current request's body.
        self.pieces = 0
        self._is_sending = False
        # tornado reads the length of each chunk by this method, and nothing else.
        stream.read_until = self._read_chunk_length  # type: ignore[method-assign]

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.close()

    def start_request(self) -> None:
        """Wait for the next request."""
        self.pieces = 0
        if self._is_sending:
            self._is_sending = False
            self.wait(self.intake.limits.idle_timeout_s)

    def finish_request(self) -> None:
        """Wait until the client has read the answer, and then for the next request."""
        self._is_sending = self.stream.writing()
        if self._is_sending:
            self.intake.send(self)
        else:
            self.wait(self.intake.limits.idle_timeout_s)

    def work(self) -> None:
        """Note that the request is complete."""
        self.intake.connections.work(self)

    def forget(self) -> None:
        """Stop tracking the closed connection, and break its cycle of references."""
        self.intake.connections.remove(self)
        del self.stream.read_until

    def wait(self, timeout_s: float) -> None:
        """Note progress; the client must make more within a time."""
        self.intake.connections.wait(self, time.monotonic() + timeout_s)

    def pause(self) -> Awaitable[None] | None:
        """Count a piece of the body; return what to wait for before the next, if anything."""
        pieces = self.pieces
        self.pieces = pieces + 1
        return self.intake.gate.enter(self.stream) if is_pause_due(pieces) else None

    def _read_chunk_length(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        turn = self.pause()
        if turn is None:
            return type(self.stream).read_until(self.stream, delimiter, max_bytes)
        return self._read_after(turn, delimiter, max_bytes)

    async def _read_after(
        self, turn: Awaitable[None], delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await turn
        return await type(self.stream).read_until(self.stream, delimiter, max_bytes)


class RequestConnection(HTTPConnection):
    """Pass the answer of one request on, and note when it is complete.

    The answer to a refused request is sent at once, but the request stays open until the rest of
    its body is discarded: a connection that is closed before is reset, and its client may never
    see the answer.
    """

    def __init__(
        self, conn: HTTP1Connection, request: InboundRequest, refusal: Refusal | None = None
    ) -> None:
        self._conn = conn
        self._request = request
        self.context = conn.context
        self.refusal = refusal

    @property
    def stream(self) -> IOStream:
        """Return the stream of the connection."""
        return self._conn.stream

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Call a function when the client leaves before its answer is complete."""
        self._conn.set_close_callback(callback)

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future[None]:
        """Send the headers of the answer."""
        if self.refusal is not None and self._request.closes_after_refusal:
            headers["Connection"] = "close"
        return self._conn.write_headers(start_line, headers, chunk)

    def write(self, chunk: bytes) -> asyncio.Future[None]:
        """Send a part of the answer."""
        return self._conn.write(chunk)

    def finish(self) -> None:
        """Complete the answer."""
        self._request.on_answered()

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


class InboundRequest(HTTPMessageDelegate):
    """Receive one request within the limits, and pass it on to the application."""

    _delegate: HTTPMessageDelegate | None = None
    # Set from the first piece of a body that did not arrive in one piece.
    _body: Body | None = None
    _body_deadline_s = 0.0
    # The size of a body that arrived in one piece.
    _held_bytes = 0
    _announced_bytes = 0
    _received_bytes = 0
    _check_at_bytes = 0
    _discard_until_bytes = 0
    _is_refused = False
    _is_answered = False
    _is_received = False

    def __init__(
        self,
        server: BoundedHTTPServer,
        client: HttpClientConnection,
        server_conn: object,
        conn: HTTP1Connection,
    ) -> None:
        self._server = server
        self._intake = server.intake
        self._client = client
        self._server_conn = server_conn
        self._conn = conn

    @property
    def closes_after_refusal(self) -> bool:
        """Return whether the rest of a refused body is too large to be discarded."""
        rest = self._announced_bytes - self._received_bytes
        return rest > self._intake.limits.discard_bytes

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the headers on, or refuse the request for them."""
        self._start_line = cast(RequestStartLine, start_line)
        self._headers = headers
        length = headers.get("Content-Length")
        self._announced_bytes = _parse_length(length) if length else 0
        if self._announced_bytes > self._intake.limits.small_body_bytes:
            refusal = self._check(self._announced_bytes)
            if refusal is not None:
                # tornado may find the length invalid next, and must not answer before.
                return self._refuse(refusal, RefusedBody.EARLY)
        return self._start(RequestConnection(self._conn, self), headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keep a piece of the body if it is wanted and there is room for it."""
        size = len(chunk)
        self._received_bytes += size
        if size == self._announced_bytes and self._intake.bodies.hold(size):
            self._held_bytes = size
            return cast(HTTPMessageDelegate, self._delegate).data_received(chunk)
        if not self._is_refused:
            self._keep(size)
        if self._is_refused:
            self._close_after_discarding()
            return self._client.pause()
        ready = cast(HTTPMessageDelegate, self._delegate).data_received(chunk)
        if ready is not None or self._received_bytes == self._announced_bytes:
            return ready
        return self._client.pause()

    def finish(self) -> None:
        """Pass the end of the request on."""
        self._is_received = True
        self._client.work()
        if self._is_refused:
            if self._is_answered:
                self._finish_answer()
            return
        if self._body is not None:
            self._intake.bodies.complete(self._body)
        self._take_delegate().finish()

    def on_connection_close(self) -> None:
        """Forget a request whose client left before it was complete."""
        self._release()
        if self._delegate is not None:
            self._take_delegate().on_connection_close()

    def on_answered(self) -> None:
        """Complete the answer; if the request was refused, once the rest of it is discarded."""
        self._is_answered = True
        self._release()
        if not self._is_refused or self._is_received:
            self._finish_answer()
            return
        self._client.wait(self._intake.limits.discard_timeout_s)
        self._close_after_discarding()

    def give_up(self) -> None:
        """Refuse the request, because its body has stalled and its memory is needed."""
        self._refuse(no_memory_refusal(), RefusedBody.GIVEN_UP)

    def _check(self, body_bytes: int) -> Refusal | None:
        """Return why the request must be refused without its body, if it must."""
        if body_bytes > self._server.max_body_bytes:
            return body_too_large_refusal(self._server.max_body_bytes)
        self._check_at_bytes = body_bytes + self._intake.limits.small_body_bytes
        return self._server.early_check(self._start_line, self._headers, body_bytes)

    def _keep(self, size: int) -> None:
        """Account for a piece of the body, or refuse the request."""
        received = self._received_bytes
        is_complete = received == self._announced_bytes
        if received > self._check_at_bytes and not is_complete:
            refusal = self._check(max(received, self._announced_bytes))
            if refusal is not None:
                self._refuse(refusal, RefusedBody.EARLY)
                return
        now_s = time.monotonic()
        if self._body is None:
            self._body = Body(self)
            self._body_deadline_s = now_s + self._intake.limits.body_timeout_s
        charge = self._intake.bodies.charge(self._body, size, now_s)
        for stalled in charge.given_up:
            stalled.owner.give_up()
        if not charge.granted:
            self._refuse(no_memory_refusal(), RefusedBody.NO_MEMORY)
        elif not is_complete:
            timeout_s = self._intake.limits.body_stall_timeout_s
            self._client.wait(min(timeout_s, self._body_deadline_s - now_s))

    def _start(self, conn: RequestConnection, headers: HTTPHeaders) -> Awaitable[None] | None:
        self._delegate = self._server.make_delegate(self._server_conn, conn)
        return self._delegate.headers_received(self._start_line, headers)

    def _refuse(self, refusal: Refusal, reason: RefusedBody) -> Awaitable[None] | None:
        """Let the application answer with a refusal, and discard the body."""
        self._is_refused = True
        self._discard_until_bytes = self._received_bytes + self._intake.limits.discard_bytes
        self._release()
        self._intake.observer.count_refused_body(reason.value)
        if self._delegate is not None:
            self._take_delegate().on_connection_close()
        # An application would take the body that it doesn't get for an invalid form.
        headers = self._headers.copy()
        headers.pop("Content-Type", None)
        answered = self._start(RequestConnection(self._conn, self, refusal), headers)
        self._take_delegate().finish()
        return answered

    def _take_delegate(self) -> HTTPMessageDelegate:
        """Return the application's receiver, and forget it to break the cycle of references."""
        delegate, self._delegate = self._delegate, None
        return cast(HTTPMessageDelegate, delegate)

    def _close_after_discarding(self) -> None:
        """Close the connection of a refused request that goes on for too long."""
        if self._is_answered and self._received_bytes > self._discard_until_bytes:
            self._finish_answer()

    def _finish_answer(self) -> None:
        self._conn.finish()
        self._client.finish_request()

    def _release(self) -> None:
        if self._held_bytes:
            self._intake.bodies.drop(self._held_bytes)
            self._held_bytes = 0
        if self._body is not None:
            self._intake.bodies.release(self._body)
            self._body = None


class BoundedHTTPServer(HTTPServer):
    """Serve HTTP to clients that the process must be protected from."""

    def initialize(  # type: ignore[override]
        self,
        app: Any,
        intake: Intake,
        max_body_bytes: int,
        early_check: EarlyCheck = accept_all,
        **options: Any,
    ) -> None:
        """Take what the listeners of the process share, and the limits of this one."""
        self.intake = intake
        self.max_body_bytes = max_body_bytes
        self.early_check = early_check
        self._clients: dict[IOStream, HttpClientConnection] = {}
        limits = intake.limits
        options.setdefault("idle_connection_timeout", limits.idle_timeout_s)
        options.setdefault("max_header_size", limits.max_header_bytes)
        options.setdefault("chunk_size", limits.read_chunk_bytes)
        super().initialize(app, max_body_size=UNLIMITED_BODY_BYTES, **options)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Listen on sockets, whose connections get small receive buffers."""
        listeners = list(sockets)
        for listener in listeners:
            limit_receive_buffer(listener, self.intake.limits.receive_buffer_bytes)
        super().add_sockets(listeners)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, unless there are too many."""
        client = HttpClientConnection(stream, self.intake)
        deadline_s = time.monotonic() + self.intake.limits.idle_timeout_s
        if self.intake.open(client, deadline_s):
            self._clients[stream] = client
            super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what receives the next request of a connection."""
        client = self._clients[cast(HTTP1ServerConnection, server_conn).stream]
        client.start_request()
        return InboundRequest(self, client, server_conn, cast(HTTP1Connection, request_conn))

    def make_delegate(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the application's own receiver of a request."""
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        client = self._clients.pop(cast(HTTP1ServerConnection, server_conn).stream)
        client.forget()
        super().on_close(server_conn)


def limit_receive_buffer(listener: socket.socket, size_bytes: int) -> None:
    """Bound what the kernel holds for each connection that a listener accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def _parse_length(length: str) -> int:
    """Return an announced length; tornado rejects what is not a number later."""
    if not length.isdecimal():
        return 0
    return int(length) if len(length) <= MAX_LENGTH_DIGITS else UNLIMITED_BODY_BYTES
