"""Serve the HTTP interfaces for callers, readiness checks and metrics."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_api import AdmittedCall, ApiCall, JobApi, unknown_outcome_refusal
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.node import Node
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

CREDENTIAL_HEADER = "X-Credential"
# How long the caller waits for the answer, in ms from now.
DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_TIMEOUT_MS = 3_000.0
MAX_TIMEOUT_MS = 60_000.0

_STATUS_BY_KIND = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.KEY_MISSING: 401,
    ErrorKind.KEY_REJECTED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.PLATFORM_UNAVAILABLE: 503,
    ErrorKind.OUTCOME_UNKNOWN: 504,
}
HTTP_GONE = 410


class JobApiHandler(RequestHandler):
    """Handle one call to the job API."""

    def initialize(self, job_api: JobApi, metrics: NodeMetrics) -> None:
        """Set the job API that answers calls and the metrics that count them."""
        self._job_api = job_api
        self._metrics = metrics
        self._admitted: AdmittedCall | None = None

    async def post(self) -> None:
        """Submit a job."""
        admitted = self._admit()
        if admitted is not None:
            refusal = await self._job_api.submit(self._call, admitted, self.request.body)
            self._respond(refusal if refusal is not None else {})

    async def get(self) -> None:
        """Return the state of a job, or the number of pending jobs of a queue."""
        admitted = self._admit()
        if admitted is None:
            return
        if admitted.job_id:
            state = await self._job_api.job_state(admitted)
            self._respond(state if isinstance(state, Refusal) else {"state": state}, HTTP_GONE)
        else:
            pending = await self._job_api.count_pending_jobs(admitted)
            self._respond(pending if isinstance(pending, Refusal) else {"pending": pending})

    async def delete(self) -> None:
        """Cancel a job."""
        admitted = self._admit()
        if admitted is not None:
            refusal = await self._job_api.cancel(self._call, admitted)
            self._respond(refusal if refusal is not None else {}, HTTP_GONE)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an unexpected error with the same body as a refusal."""
        emit(log, Event.CALL_FAILED, path=self.request.path, status=status_code)
        self._respond(unknown_outcome_refusal("the call failed with an internal error"))

    def _admit(self) -> AdmittedCall | None:
        """Return the call if its route and key allow it, or answer with a refusal."""
        host = self.request.host.partition(":")[0]
        key = self.request.headers.get(CREDENTIAL_HEADER, "")
        self._call = ApiCall(
            host, self.request.path, key, monotonic_ms() + self._caller_timeout_ms()
        )
        admitted = self._job_api.admit(self._call)
        if isinstance(admitted, Refusal):
            self._respond(admitted)
            return None
        self._admitted = admitted
        return admitted

    def _caller_timeout_ms(self) -> float:
        header = self.request.headers.get(DEADLINE_HEADER, "")
        return min(float(header), MAX_TIMEOUT_MS) if header.isdigit() else DEFAULT_TIMEOUT_MS

    def _respond(self, result: dict[str, Any] | Refusal, not_found_status: int = 404) -> None:
        if not isinstance(result, Refusal):
            self._send_json(200, result)
            return
        status = _STATUS_BY_KIND.get(result.kind, 500)
        status = not_found_status if result.kind is ErrorKind.NOT_FOUND else status
        if result.retry_after_s is not None:
            self.set_header("Retry-After", str(round(result.retry_after_s)))
        self._metrics.count_refusal(result.kind.value)
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
        self.finish(orjson.dumps(body))


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
        job_api_args = {"job_api": node.job_api, "metrics": node.metrics}
        job_api_app = Application([(r".*", JobApiHandler, job_api_args)])
        readiness_app = Application([(r"/-/ready", ReadinessHandler, {"node": node})])
        metrics_app = Application([(r"/metrics", MetricsHandler, {"node": node})])
        self._job_api_server = HTTPServer(
            job_api_app, idle_connection_timeout=60, no_keep_alive=False
        )
        self._readiness_server = HTTPServer(readiness_app)
        self._metrics_server = HTTPServer(metrics_app)
        self._cfg = node.cfg

    def start(self) -> None:
        """Listen on the configured addresses."""
        _listen(self._job_api_server, self._cfg.caller_address)
        _listen(self._readiness_server, self._cfg.ready_address)
        _listen(self._metrics_server, f"{self._cfg.host}:{self._cfg.metrics_port}")

    async def stop(self) -> None:
        """Accept no new connections from callers and close the open ones."""
        self._job_api_server.stop()
        async with asyncio.timeout(1.0):
            await self._job_api_server.close_all_connections()


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
