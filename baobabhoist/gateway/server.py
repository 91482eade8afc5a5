"""Build HTTP servers with size limits, timeouts and JSON error bodies."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from tornado.iostream import IOStream
from tornado.web import Application

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.inbound.http_server import BoundedHTTPServer, EarlyCheck, accept_all
from baobabhoist.inbound.intake import Intake, Observer
from baobabhoist.inbound.limits import InboundLimits

MAX_BODY_BYTES = 16 << 20
MAX_HEADER_BYTES = 64 << 10
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
# A caller that does not read its response would otherwise keep an instance from draining.
WRITE_TIMEOUT_S = 60.0
# How much later than the handlers, which answer first, the connections enforce the time of a body.
BODY_TIMEOUT_MARGIN_S = 5.0
# The response that tornado sends if the bytes received are not valid HTTP.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


@attrs.frozen
class HttpLimits:
    """Hold the size limits in bytes and the timeouts in seconds of an HTTP connection.

    `idle_timeout_s` applies between two requests and until the headers of a request are
    complete; the connection is then closed without a response, since there is no request to
    respond to. A connection is also closed if the client does not read a response within
    `write_timeout_s`.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    write_timeout_s: float = WRITE_TIMEOUT_S


def _json_bad_request() -> bytes:
    refusal = Refusal(
        ErrorKind.BAD_REQUEST,
        "the bytes received are not a valid HTTP request",
        remedy="send a request that conforms to HTTP/1.1",
    )
    body = orjson.dumps(refusal.to_body())
    head = (
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


JSON_BAD_REQUEST = _json_bad_request()


def _replace_bad_request(write: Callable[..., Any]) -> Callable[..., Any]:
    def write_with_json_error(data: bytes | memoryview) -> Any:
        return write(JSON_BAD_REQUEST if data == TORNADO_BAD_REQUEST else data)

    return write_with_json_error


class JsonErrorHTTPServer(BoundedHTTPServer):
    """Reject malformed HTTP with the same JSON error body as every other refusal.

    tornado rejects it before any handler runs, so its response is replaced in the stream.
    """

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection with JSON error bodies."""
        stream.write = _replace_bad_request(stream.write)  # type: ignore[method-assign]
        super().handle_stream(stream, address)


def make_intake(
    memory_mb: int, max_open_files: int, max_body_bytes: int, observer: Observer | None = None
) -> Intake:
    """Return what bounds the clients of all ports; there is room for the largest legal body."""
    limits = InboundLimits.for_process(memory_mb, max_open_files)
    body_memory_bytes = max(limits.body_memory_bytes, limits.small_reserve_bytes + max_body_bytes)
    body_timeout_s = BODY_TIMEOUT_S + BODY_TIMEOUT_MARGIN_S
    limits = attrs.evolve(
        limits,
        body_memory_bytes=body_memory_bytes,
        body_timeout_s=body_timeout_s,
        body_stall_timeout_s=body_timeout_s,
        idle_timeout_s=IDLE_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
    )
    return Intake(limits, observer)


def make_http_server(
    app: Application,
    limits: HttpLimits,
    context: ssl.SSLContext | None = None,
    *,
    intake: Intake | None = None,
    early_check: EarlyCheck = accept_all,
) -> JsonErrorHTTPServer:
    """Return an HTTP server for an application, over TLS if a context is given."""
    return JsonErrorHTTPServer(
        app,
        intake or make_intake(0, 0, limits.max_body_bytes),
        limits.max_body_bytes,
        early_check,
        ssl_options=context,
        max_header_size=limits.max_header_bytes,
        idle_connection_timeout=limits.idle_timeout_s,
    )
