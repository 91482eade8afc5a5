"""Serve HTTP with bounded bodies and times, and answer every error with a typed body."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application

from baobabhoist.errors import ErrorKind, Refusal

MAX_BODY_BYTES = 16 << 20
MAX_HEADER_BYTES = 64 << 10
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
# A caller that does not read its answer would otherwise keep an instance from draining.
WRITE_TIMEOUT_S = 60.0
# The handlers bound bodies themselves, because tornado answers an oversize body without a
# typed error.
UNBOUNDED = 1 << 62
# What tornado writes to a connection whose bytes are not HTTP.
BARE_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


@attrs.frozen
class HttpLimits:
    """Bound what a connection may send: sizes in bytes, times in seconds.

    `idle_timeout_s` covers a connection between two requests as well as one that sends its
    headers slowly; it is closed without an answer, since there is no request to answer. A
    connection that does not take its answer within `write_timeout_s` is closed as well.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    write_timeout_s: float = WRITE_TIMEOUT_S


def _typed_refusal() -> bytes:
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


TYPED_REFUSAL = _typed_refusal()


def _with_typed_refusal(write: Callable[..., Any]) -> Callable[..., Any]:
    def typed_write(data: bytes | memoryview) -> Any:
        return write(TYPED_REFUSAL if data == BARE_REFUSAL else data)

    return typed_write


class TypedHTTPServer(HTTPServer):
    """Give the refusal of malformed HTTP the error body that every other refusal has."""

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection."""
        stream.write = _with_typed_refusal(stream.write)  # type: ignore[method-assign]
        super().handle_stream(stream, address)


def http_server(
    app: Application, limits: HttpLimits, context: ssl.SSLContext | None = None
) -> HTTPServer:
    """Return a server for an application of this package, over TLS if a context is given."""
    return TypedHTTPServer(
        app,
        ssl_options=context,
        max_header_size=limits.max_header_bytes,
        max_body_size=UNBOUNDED,
        idle_connection_timeout=limits.idle_timeout_s,
    )
