"""Share what all HTTP handlers need: bounded bodies, typed errors and the count of requests."""

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
from baobabhoist.model import Outcome

log = logging.getLogger(__name__)

# The rest of a body that is too large is read and dropped up to this multiple of the limit, so
# that the caller gets to read the answer; the connection is closed on larger ones.
DISCARD_FACTOR = 4
JSON_TYPE = "application/json"


def log_faults(handler: RequestHandler) -> None:
    """Log only answers that report a fault; a line for each request would cost too much."""
    if handler.get_status() == http.HTTPStatus.INTERNAL_SERVER_ERROR:
        log.error("%s %s failed", handler.request.method, handler.request.path[:200])


class HandlerOptions(Protocol):
    """Be what every handler needs of the options of its application."""

    @property
    def limits(self) -> HttpLimits:
        """Return the bounds of a request."""

    @property
    def open_requests(self) -> OpenRequests:
        """Return the count of open requests."""


@stream_request_body
class TypedHandler(RequestHandler):
    """Collect the body within its bounds and answer every error with a typed body."""

    # Requests that work on the instance's behalf are counted and refused during a drain.
    counted = True
    options: Any

    def prepare(self) -> None:
        """Count the request and start to receive its body."""
        self._chunks: list[bytes] = []
        self._received = 0
        self._complete = False
        self._counted = False
        self._timer: asyncio.TimerHandle | None = None
        # A refusal is sent once the body has arrived: a connection that is closed with unread
        # bytes is reset, and the caller may never see the answer.
        self._refusal = self.admit()
        limit = self.options.limits.max_body_bytes * DISCARD_FACTOR
        # tornado has not checked the length yet; a value that is no number fails later.
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and (len(length) > 18 or int(length) > limit):
            self.refuse(self._too_large())
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.options.limits.body_timeout_s, self._body_late)

    def admit(self) -> Refusal | None:
        """Return why the request is refused whatever its body is, or None."""
        if not self.counted:
            return None
        refusal = self.options.open_requests.enter()
        self._counted = refusal is None
        return refusal

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        if self._finished:
            return
        self._received += len(chunk)
        limit = self.options.limits.max_body_bytes
        if self._received <= limit:
            self._chunks.append(chunk)
            return
        self._chunks.clear()
        if self._received > limit * DISCARD_FACTOR:
            self.refuse(self._too_large())

    def receive(self) -> bytes | None:
        """Return the whole body, or None once a refusal is sent; every method calls this first."""
        self._complete = True
        self._stop_timer()
        refusal = self._refusal
        if refusal is None and self._received > self.options.limits.max_body_bytes:
            refusal = self._too_large()
        if refusal is not None:
            self.refuse(refusal)
            return None
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        if self._finished:
            return
        self.set_status(HTTP_STATUS[refusal.kind])
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.answer_json(refusal.to_body())

    def answer_json(self, body: Any) -> None:
        """Answer with a JSON body."""
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS))

    def finish(self, chunk: Any = None) -> Any:
        """Send the answer; the request stays open until all of it is written."""
        self._stop_timer()
        if self.options.open_requests.leaving:
            self.set_header("Connection", "close")
        stream = self.request.connection.stream  # type: ignore[union-attr]
        written = super().finish(chunk)
        if not written.done():
            loop = asyncio.get_running_loop()
            late = loop.call_later(self.options.limits.write_timeout_s, stream.close)
            written.add_done_callback(lambda _: late.cancel())
        written.add_done_callback(self._written)
        return written

    def on_connection_close(self) -> None:
        """Stop to wait for a body that can no longer arrive."""
        super().on_connection_close()
        if not self._complete:
            self._stop_timer()
            self._leave()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error that tornado found, or a fault of a handler, with a typed body."""
        exc = kwargs.get("exc_info", (None, None))[1]
        self.refuse(_refusal_of(status_code, self.request.method or "", self.request.path, exc))

    def set_default_headers(self) -> None:
        """Leave out the name of the server."""
        self.clear_header("Server")

    def check_etag_header(self) -> bool:
        """Answer in full; the revisions of records are compared by the handlers."""
        return False

    def compute_etag(self) -> str | None:
        """Leave out the tag that tornado derives from the body."""
        return None

    def _body_late(self) -> None:
        limit_s = self.options.limits.body_timeout_s
        self.refuse(
            Refusal(
                ErrorKind.REQUEST_TIMEOUT,
                f"the body did not arrive within {limit_s:g} s",
                remedy="send the request again over a faster connection",
            )
        )

    def _too_large(self) -> Refusal:
        return Refusal(
            ErrorKind.BODY_TOO_LARGE,
            f"the body is larger than {self.options.limits.max_body_bytes} bytes",
            remedy="send a smaller body",
        )

    def _stop_timer(self) -> None:
        timer = getattr(self, "_timer", None)
        if timer is not None:
            timer.cancel()

    def _written(self, future: asyncio.Future[None]) -> None:
        if not future.cancelled():
            # A caller that has gone away is no fault; reading the exception marks it as seen.
            future.exception()
        self._leave()

    def _leave(self) -> None:
        if getattr(self, "_counted", False):
            self._counted = False
            self.options.open_requests.leave()


def _refusal_of(status: int, method: str, path: str, exc: BaseException | None) -> Refusal:
    shown = path[:100]
    if status == http.HTTPStatus.NOT_FOUND:
        remedy = "see the API description for the paths"
        return Refusal(ErrorKind.NOT_FOUND, f"there is nothing at {shown}", remedy=remedy)
    if status == http.HTTPStatus.METHOD_NOT_ALLOWED:
        message = f"{shown} has no method {method[:20]}"
        remedy = "see the API description for the methods"
        return Refusal(ErrorKind.METHOD_NOT_ALLOWED, message, remedy=remedy)
    if isinstance(exc, HTTPError) and status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        remedy = "correct the request"
        return Refusal(ErrorKind.BAD_REQUEST, exc.log_message or exc.reason or "", remedy=remedy)
    return Refusal(
        ErrorKind.INTERNAL,
        "the request failed because of a fault in this instance",
        Outcome.UNKNOWN,
        "check the effect of the request before sending it again, and report the fault",
    )


class NotFoundHandler(TypedHandler):
    """Answer paths that do not exist."""

    counted = False

    def initialize(self, options: Any) -> None:
        """Take the options of the application."""
        self.options = options

    def get(self) -> None:
        """Refuse any method."""
        if self.receive() is not None:
            self.send_error(http.HTTPStatus.NOT_FOUND)

    head = post = put = patch = delete = get
