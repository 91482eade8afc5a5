"""Serve the HTTP interfaces for callers, readiness checks and metrics."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, cast

import orjson
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_api import (
    RETRY_ELSEWHERE_S,
    AdmittedCall,
    ApiCall,
    JobApi,
    unavailable_refusal,
    unknown_outcome_refusal,
)
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.node import Node
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.inbound.http_server import (
    BoundedHTTPServer,
    RequestConnection,
    body_too_large_refusal,
    early_refusal,
)
from baobabhoist.inbound.intake import Intake
from baobabhoist.inbound.limits import InboundLimits
from baobabhoist.observability.events import Event, emit
from baobabhoist.platform.open_calls import OpenCalls
from baobabhoist.platform.placement_handler import PlacementPreviewHandler

log = logging.getLogger(__name__)

CREDENTIAL_HEADER = "X-Credential"
# How long the caller waits for the answer, in ms from now.
DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_TIMEOUT_MS = 3_000.0
MAX_TIMEOUT_MS = 60_000.0
# Bodies are held in memory. A job of this size never fits into a row of the store.
MAX_BODY_BYTES = 8 << 20
# Calls end at their deadlines, so only an unresponsive caller can delay a stop.
STOP_TIMEOUT_S = 0.4

_STATUS_BY_KIND = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.KEY_MISSING: 401,
    ErrorKind.KEY_REJECTED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.METHOD_NOT_ALLOWED: 405,
    ErrorKind.CONFLICT: 409,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.TEAM_LIMIT: 429,
    ErrorKind.QUEUE_FULL: 429,
    # The platform has no other status for a job that was not accepted and never runs.
    ErrorKind.NEVER_FITS: 429,
    ErrorKind.CANCELLED: 429,
    ErrorKind.PLATFORM_UNAVAILABLE: 503,
    ErrorKind.OUTCOME_UNKNOWN: 504,
}
# Errors that the HTTP server finds in a request before the call is served.
_KIND_BY_CLIENT_ERROR = {400: ErrorKind.BAD_REQUEST, 405: ErrorKind.METHOD_NOT_ALLOWED}
HTTP_GONE = 410
PREVIEW_PATH = "/placement-preview"
# What a preview holds beside the job.
PREVIEW_FIELDS_BYTES = 4 << 10


def make_call(path: str, headers: HTTPHeaders, deadline_ms: float) -> ApiCall:
    """Return the fields of a call that its route and key are found by."""
    host = headers.get("Host", "127.0.0.1").partition(":")[0]
    return ApiCall(host, path, headers.get(CREDENTIAL_HEADER, ""), deadline_ms)


class JobApiHandler(RequestHandler):
    """Handle one call to the job API."""

    def initialize(self, job_api: JobApi, metrics: NodeMetrics, open_calls: OpenCalls) -> None:
        """Set the job API, the metrics and the open calls, which this call is one of."""
        self._job_api = job_api
        self._metrics = metrics
        self._open_calls = open_calls
        self._admitted: AdmittedCall | None = None

    async def post(self) -> None:
        """Submit a job."""
        refusal = unknown_outcome_refusal("this instance stops; the job may be stored")
        await self._answer(self._submit, refusal)

    async def get(self) -> None:
        """Return the state of a job, or the number of pending jobs of a queue."""
        refusal = unavailable_refusal("this instance stops")
        await self._answer(self._query, refusal)

    async def delete(self) -> None:
        """Cancel a job."""
        refusal = unknown_outcome_refusal("this instance stops; the job may be cancelled")
        await self._answer(self._cancel, refusal)

    async def _answer(
        self, serve: Callable[[AdmittedCall], Awaitable[None]], timeout_refusal: Refusal
    ) -> None:
        """Admit the call and serve it, or answer with a refusal when the drain ends first."""
        caller_timeout_s = min(self._caller_timeout_ms() / 1000, self._open_calls.time_left_s)
        self._call = self._make_call(caller_timeout_s)
        refused = early_refusal(self.request)
        if refused is not None:
            self._respond(refused)
            return
        with self._open_calls.track() as timeout:
            try:
                async with timeout:
                    admitted = self._admit()
                    if admitted is not None:
                        await serve(admitted)
            except TimeoutError:
                if not timeout.expired():
                    raise
                self._respond(timeout_refusal)

    async def _submit(self, admitted: AdmittedCall) -> None:
        refusal = await self._job_api.submit(self._call, admitted, self.request.body)
        self._respond(refusal if refusal is not None else {})

    async def _query(self, admitted: AdmittedCall) -> None:
        if admitted.job_id:
            state = await self._job_api.job_state(self._call, admitted)
            self._respond(state if isinstance(state, Refusal) else {"state": state}, HTTP_GONE)
        else:
            pending = await self._job_api.count_pending_jobs(admitted)
            self._respond(pending if isinstance(pending, Refusal) else {"pending": pending})

    async def _cancel(self, admitted: AdmittedCall) -> None:
        refusal = await self._job_api.cancel(self._call, admitted)
        self._respond(refusal if refusal is not None else {}, HTTP_GONE)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an invalid request or an unexpected error with the same body as a refusal."""
        kind = _KIND_BY_CLIENT_ERROR.get(status_code)
        if kind is not None:
            self._respond(Refusal(kind, self._reason, remedy="correct the request"))
            return
        _, exc, _ = kwargs.get("exc_info", (None, None, None))
        emit(log, Event.CALL_FAILED, path=self.request.path, status=status_code, detail=repr(exc))
        self._respond(unknown_outcome_refusal("the call failed with an internal error"))

    def _make_call(self, timeout_s: float) -> ApiCall:
        deadline_ms = monotonic_ms() + timeout_s * 1000
        return make_call(self.request.path, self.request.headers, deadline_ms)

    def _admit(self) -> AdmittedCall | None:
        """Return the call if its route and key allow it, or answer with a refusal."""
        admitted = self._job_api.admit(self._call)
        if isinstance(admitted, Refusal):
            self._respond(admitted)
            return None
        if not self._open_calls.can_finish_new_calls:
            self._respond(unavailable_refusal("this instance stops", RETRY_ELSEWHERE_S))
            return None
        self._admitted = admitted
        return admitted

    def _caller_timeout_ms(self) -> float:
        header = self.request.headers.get(DEADLINE_HEADER, "")
        return min(float(header), MAX_TIMEOUT_MS) if header.isdecimal() else DEFAULT_TIMEOUT_MS

    def _respond(self, result: dict[str, Any] | Refusal, not_found_status: int = 404) -> None:
        if not isinstance(result, Refusal):
            self._send_json(200, result)
            return
        status = _STATUS_BY_KIND.get(result.kind, 500)
        status = not_found_status if result.kind is ErrorKind.NOT_FOUND else status
        if result.retry_after_s is not None:
            self.set_header("Retry-After", str(round(result.retry_after_s)))
        self._metrics.count_refusal(result.kind.value)
        if self._admitted is not None and self.request.method == "POST":
            team, queue = self._admitted.team, self._admitted.route.queue.name
            self._metrics.count_refused_job(team, queue, result.kind.value)
        emit(
            log,
            Event.CALL_REFUSED,
            path=self.request.path,
            method=self.request.method,
            status=status,
            reason=result.message,
        )
        self._send_json(status, result.to_body())

    def _send_json(self, status: int, body: dict[str, Any]) -> None:
        admitted = self._admitted
        team, queue = (admitted.team, admitted.route.queue.name) if admitted else ("", "")
        self._metrics.observe_call(team, queue, status, self.request.request_time())
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if self._open_calls.is_draining:
            self._finish_and_close(body)
        else:
            self.finish(orjson.dumps(body))

    def _finish_and_close(self, body: dict[str, Any]) -> None:
        """Send the answer, then close the connection, so that the caller opens one elsewhere."""
        self.set_header("Connection", "close")
        conn = cast(RequestConnection, self.request.connection)
        sent = self.finish(orjson.dumps(body))
        sent.add_done_callback(lambda _: conn.close())


class ReadinessHandler(RequestHandler):
    """Report whether new callers should be sent to this instance."""

    def initialize(self, node: Node) -> None:
        """Set the instance that the handler reports on."""
        self._node = node

    def get(self) -> None:
        """Answer 200 if the instance is ready, else 503."""
        self.set_status(200 if self._node.is_ready() else 503)


class MetricsHandler(RequestHandler):
    """Expose the metrics of this instance."""

    def initialize(self, node: Node) -> None:
        """Set the instance that the handler reports on."""
        self._node = node

    def get(self) -> None:
        """Answer with the metrics in text format."""
        self._node.refresh_metrics()
        text, headers = self._node.metrics.exposition()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(text)


class HttpServers:
    """Own the HTTP servers of one instance."""

    def __init__(self, node: Node) -> None:
        self.open_calls = OpenCalls()
        job_api_args = {
            "job_api": node.job_api,
            "metrics": node.metrics,
            "open_calls": self.open_calls,
        }
        job_api_app = Application([(r".*", JobApiHandler, job_api_args)])
        readiness_app = Application([(r"/-/ready", ReadinessHandler, {"node": node})])
        metrics_app = Application(
            [
                (r"/metrics", MetricsHandler, {"node": node}),
                (
                    PREVIEW_PATH,
                    PlacementPreviewHandler,
                    {"previews": node.placement_previews},
                ),
            ]
        )
        limits = InboundLimits.for_process(
            node.cfg.limits.memory_mb, node.cfg.limits.max_open_files, node.cfg.cores
        )
        self.intake = Intake(limits, node.metrics)
        self._job_api = node.job_api
        self._config = node.config
        self._job_api_server = BoundedHTTPServer(
            job_api_app, self.intake, MAX_BODY_BYTES, self._check_call
        )
        self._readiness_server = BoundedHTTPServer(readiness_app, self.intake, 0)
        self._metrics_server = BoundedHTTPServer(
            metrics_app, self.intake, MAX_BODY_BYTES, self._check_preview
        )
        self._cfg = node.cfg

    def start(self) -> None:
        """Listen on the configured addresses."""
        _listen(self._job_api_server, self._cfg.caller_address)
        _listen(self._readiness_server, self._cfg.ready_address)
        _listen(self._metrics_server, f"{self._cfg.host}:{self._cfg.metrics_port}")

    def _check_call(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
    ) -> Refusal | None:
        """Refuse a call for its route, its key, a stop or its size before its body is read."""
        path = start_line.path.partition("?")[0]
        admitted = self._job_api.admit(make_call(path, headers, monotonic_ms()))
        if isinstance(admitted, Refusal):
            return admitted
        if not self.open_calls.can_finish_new_calls:
            return unavailable_refusal("this instance stops", RETRY_ELSEWHERE_S)
        max_bytes = admitted.cfg.body_max_bytes
        return body_too_large_refusal(max_bytes) if body_bytes > max_bytes else None

    def _check_preview(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
    ) -> Refusal | None:
        """Refuse a preview for its size before its body is read; other calls need no body."""
        cfg = self._config.current
        takes_body = start_line.method == "POST" and start_line.path == PREVIEW_PATH
        max_bytes = cfg.body_max_bytes + PREVIEW_FIELDS_BYTES if cfg and takes_body else 0
        return body_too_large_refusal(max_bytes) if body_bytes > max_bytes else None

    async def stop(self) -> None:
        """Accept no new connections from callers; close the open ones once all is answered."""
        self._job_api_server.stop()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.open_calls.wait_until_answered()
                await self._job_api_server.close_all_connections()
        except TimeoutError:
            log.warning("%d calls were still open at the exit", self.open_calls.count)


def _listen(server: BoundedHTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
