"""Provide the base HTTP handler: body limits, JSON errors and the count of open requests."""

from __future__ import annotations

import asyncio
import http
import logging
import math
from typing import Any, Protocol

import orjson
from tornado.web import HTTPError, RequestHandler, stream_request_body

from baobabhoist.errors import HTTP_STATUS, ErrorKind, Refusal
from baobabhoist.gateway.drain import OpenRequests
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.inbound.http_server import early_refusal
from baobabhoist.model import Outcome

log = logging.getLogger(__name__)

# A body that is too large is read and discarded up to this multiple of the limit, so that the
# caller can read the response; the connection is closed if the body is larger still.
DISCARD_FACTOR = 4
JSON_CONTENT_TYPE = "application/json"


def log_server_errors(handler: RequestHandler) -> None:
    """Log only responses with status 500; a line for each request would cost too much."""
    if handler.get_status() == http.HTTPStatus.INTERNAL_SERVER_ERROR:
        log.error("%s %s failed", handler.request.method, handler.request.path[:200])


class HandlerOptions(Protocol):
    """Provide the options of an application that every handler needs."""

    @property
    def limits(self) -> HttpLimits:
        """Return the size limits and timeouts of a request."""

    @property
    def open_requests(self) -> OpenRequests:
        """Return the counter of open requests."""


@stream_request_body
class ApiHandler(RequestHandler):
    """Receive the body within its limits and respond to every error with a JSON body."""

    # Whether requests count as open, so that a drain waits for them and refuses new ones.
    counts_as_open = True
    options: Any

    def prepare(self) -> None:
        """Count the request and start receiving its body."""
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._is_body_complete = False
        self._counted = False
        self._timer: asyncio.TimerHandle | None = None
        early = early_refusal(self.request)
        if early is not None:
            self.refuse(early)
            return
        # Any other refusal is sent only after the body has arrived: closing a connection with
        # unread bytes resets it, and the caller may never see the response.
        self._refusal = self.admit()
        discard_limit = self.options.limits.max_body_bytes * DISCARD_FACTOR
        # tornado has not validated the length yet; it rejects a value that is not a number later.
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and (len(length) > 18 or int(length) > discard_limit):
            self.refuse(self._body_too_large_refusal())
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.options.limits.body_timeout_s, self._refuse_late_body)

    def admit(self) -> Refusal | None:
        """Count the request, or return a refusal that does not depend on its body."""
        if not self.counts_as_open:
            return None
        refusal = self.options.open_requests.admit()
        self._counted = refusal is None
        return refusal

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        if self._finished:
            return
        self._received_bytes += len(chunk)
        limit = self.options.limits.max_body_bytes
        if self._received_bytes <= limit:
            self._chunks.append(chunk)
            return
        self._chunks.clear()
        if self._received_bytes > limit * DISCARD_FACTOR:
            self.refuse(self._body_too_large_refusal())

    def receive_body(self) -> bytes | None:
        """Return the body, or None after sending a refusal; every HTTP method calls this first."""
        self._is_body_complete = True
        self._cancel_body_timer()
        refusal = self._refusal
        if refusal is None and self._received_bytes > self.options.limits.max_body_bytes:
            refusal = self._body_too_large_refusal()
        if refusal is not None:
            self.refuse(refusal)
            return None
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a refusal."""
        if self._finished:
            return
        self.set_status(HTTP_STATUS[refusal.kind])
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.send_json(refusal.to_body())

    def send_json(self, body: Any) -> None:
        """Respond with a JSON body."""
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.finish(orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS))

    def finish(self, chunk: Any = None) -> Any:
        """Send the response; the request stays open until all of it is written."""
        self._cancel_body_timer()
        self._free_body()
        if self.options.open_requests.leaving_balancer:
            self.set_header("Connection", "close")
        stream = self.request.connection.stream  # type: ignore[union-attr]
        written = super().finish(chunk)
        if not written.done():
            loop = asyncio.get_running_loop()
            close_timer = loop.call_later(self.options.limits.write_timeout_s, stream.close)
            written.add_done_callback(lambda _: close_timer.cancel())
        written.add_done_callback(self._on_response_written)
        return written

    def on_connection_close(self) -> None:
        """Stop waiting for the body of a closed connection."""
        super().on_connection_close()
        if not self._is_body_complete:
            self._cancel_body_timer()
            self._free_body()
            self._finish_open_request()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond with a JSON body to an error found by tornado or an exception of a handler."""
        exc = kwargs.get("exc_info", (None, None))[1]
        self.refuse(
            _refusal_for_error(status_code, self.request.method or "", self.request.path, exc)
        )

    def set_default_headers(self) -> None:
        """Omit the Server header."""
        self.clear_header("Server")

    def check_etag_header(self) -> bool:
        """Never respond with 304; the handlers compare the revisions of records themselves."""
        return False

    def compute_etag(self) -> str | None:
        """Omit the entity tag that tornado computes from the body."""
        return None

    def _refuse_late_body(self) -> None:
        limit_s = self.options.limits.body_timeout_s
        self.refuse(
            Refusal(
                ErrorKind.REQUEST_TIMEOUT,
                f"the body did not arrive within {limit_s:g} s",
                remedy="send the request again over a faster connection",
            )
        )

    def _body_too_large_refusal(self) -> Refusal:
        return Refusal(
            ErrorKind.BODY_TOO_LARGE,
            f"the body is larger than {self.options.limits.max_body_bytes} bytes",
            remedy="send a smaller body",
        )

    def _free_body(self) -> None:
        # The handler is part of a cycle of references, which is collected much later.
        getattr(self, "_chunks", []).clear()

    def _cancel_body_timer(self) -> None:
        timer = getattr(self, "_timer", None)
        if timer is not None:
            timer.cancel()

    def _on_response_written(self, future: asyncio.Future[None]) -> None:
        if not future.cancelled():
            # A caller that has disconnected is not an error; reading the exception keeps asyncio
            # from logging it as never retrieved.
            future.exception()
        self._finish_open_request()

    def _finish_open_request(self) -> None:
        if getattr(self, "_counted", False):
            self._counted = False
            self.options.open_requests.finish()


def _refusal_for_error(status: int, method: str, path: str, exc: BaseException | None) -> Refusal:
    short_path = path[:100]
    if status == http.HTTPStatus.NOT_FOUND:
        remedy = "see the API description for the paths"
        return Refusal(ErrorKind.NOT_FOUND, f"the path {short_path} does not exist", remedy=remedy)
    if status == http.HTTPStatus.METHOD_NOT_ALLOWED:
        message = f"the path {short_path} does not support the method {method[:20]}"
        remedy = "see the API description for the methods"
        return Refusal(ErrorKind.METHOD_NOT_ALLOWED, message, remedy=remedy)
    if isinstance(exc, HTTPError) and status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        remedy = "correct the request"
        return Refusal(ErrorKind.BAD_REQUEST, exc.log_message or exc.reason or "", remedy=remedy)
    return Refusal(
        ErrorKind.INTERNAL,
        "the request failed because of an internal error of this instance",
        Outcome.UNKNOWN,
        "check whether the request took effect before sending it again, and report the error",
    )


class NotFoundHandler(ApiHandler):
    """Respond to paths that do not exist."""

    counts_as_open = False

    def initialize(self, options: Any) -> None:
        """Take the options of the application."""
        self.options = options

    def get(self) -> None:
        """Respond with 404 to any method."""
        if self.receive_body() is not None:
            self.send_error(http.HTTPStatus.NOT_FOUND)

    head = post = put = patch = delete = get
