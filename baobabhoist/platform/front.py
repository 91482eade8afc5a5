"""Serve the platform's calls for callers, readiness and metrics."""

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

KEY_HEADER = "X-Credential"
# How long the caller waits, in ms from now.
WAIT_HEADER = "X-Deadline-Ms"
DEFAULT_WAIT_MS = 3_000.0
LONGEST_WAIT_MS = 60_000.0

_STATUS = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.KEY_MISSING: 401,
    ErrorKind.KEY_REJECTED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.PLATFORM_UNAVAILABLE: 503,
    ErrorKind.OUTCOME_UNKNOWN: 504,
}
JOB_GONE = 410


class CallHandler(RequestHandler):
    """Translate one call of a caller."""

    def initialize(self, desk: JobApi, metrics: NodeMetrics) -> None:
        """Take the desk that answers."""
        self._desk = desk
        self._metrics = metrics
        self._admitted: AdmittedCall | None = None

    async def post(self) -> None:
        """Submit a job."""
        admitted = self._admit()
        if admitted is not None:
            refusal = await self._desk.submit(self._call, admitted, self.request.body)
            self._answer(refusal if refusal is not None else {})

    async def get(self) -> None:
        """Show a job, or how many jobs of a queue have not begun."""
        admitted = self._admit()
        if admitted is None:
            return
        if admitted.job_id:
            found = await self._desk.job_state(admitted)
            self._answer(found if isinstance(found, Refusal) else {"state": found}, JOB_GONE)
        else:
            waiting = await self._desk.count_pending_jobs(admitted)
            self._answer(waiting if isinstance(waiting, Refusal) else {"pending": waiting})

    async def delete(self) -> None:
        """Cancel a job."""
        admitted = self._admit()
        if admitted is not None:
            refusal = await self._desk.cancel(self._call, admitted)
            self._answer(refusal if refusal is not None else {}, JOB_GONE)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an unexpected error in the usual form."""
        emit(log, Event.CALL_FAILED, path=self.request.path, status=status_code)
        self._answer(unknown_outcome_refusal("an internal error ended the call"))

    def _admit(self) -> AdmittedCall | None:
        """Return what route and key allow, or refuse the call."""
        host = self.request.host.partition(":")[0]
        key = self.request.headers.get(KEY_HEADER, "")
        self._call = ApiCall(host, self.request.path, key, monotonic_ms() + self._wait_ms())
        admitted = self._desk.admit(self._call)
        if isinstance(admitted, Refusal):
            self._answer(admitted)
            return None
        self._admitted = admitted
        return admitted

    def _wait_ms(self) -> float:
        text = self.request.headers.get(WAIT_HEADER, "")
        return min(float(text), LONGEST_WAIT_MS) if text.isdigit() else DEFAULT_WAIT_MS

    def _answer(self, content: dict[str, Any] | Refusal, not_found: int = 404) -> None:
        if not isinstance(content, Refusal):
            self._finish(200, content)
            return
        status = _STATUS.get(content.kind, 500)
        status = not_found if content.kind is ErrorKind.NOT_FOUND else status
        if content.retry_after_s is not None:
            self.set_header("Retry-After", str(round(content.retry_after_s)))
        self._metrics.count_refusal(content.kind.value)
        emit(
            log,
            Event.CALL_REFUSED,
            path=self.request.path,
            method=self.request.method,
            status=status,
            reason=content.message,
        )
        self._finish(status, content.as_body())

    def _finish(self, status: int, body: dict[str, Any]) -> None:
        admitted = self._admitted
        team, queue = (admitted.team, admitted.route.queue.name) if admitted else ("", "")
        self._metrics.observe_call(team, queue, status, self.request.request_time())
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class ReadyHandler(RequestHandler):
    """Say whether this instance should get new callers."""

    def initialize(self, node: Node) -> None:
        """Take the instance."""
        self._node = node

    def get(self) -> None:
        """Answer 200 or 503."""
        self.set_status(200 if self._node.is_ready() else 503)


class MetricsHandler(RequestHandler):
    """Show the metrics of this instance."""

    def initialize(self, node: Node) -> None:
        """Take the instance."""
        self._node = node

    def get(self) -> None:
        """Answer with the metrics as text."""
        self._node.refresh_metrics()
        content, headers = self._node.metrics.exposition()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class Servers:
    """Own the listening sockets of one instance."""

    def __init__(self, node: Node) -> None:
        desk = {"desk": node.job_api, "metrics": node.metrics}
        calls = Application([(r".*", CallHandler, desk)])
        ready = Application([(r"/-/ready", ReadyHandler, {"node": node})])
        metrics = Application([(r"/metrics", MetricsHandler, {"node": node})])
        self._calls = HTTPServer(calls, idle_connection_timeout=60, no_keep_alive=False)
        self._ready = HTTPServer(ready)
        self._metrics = HTTPServer(metrics)
        self._cfg = node.cfg

    def start(self) -> None:
        """Listen."""
        _listen(self._calls, self._cfg.caller_address)
        _listen(self._ready, self._cfg.ready_address)
        _listen(self._metrics, f"{self._cfg.host}:{self._cfg.metrics_port}")

    async def stop(self) -> None:
        """Take no new connections and end the idle ones."""
        self._calls.stop()
        async with asyncio.timeout(1.0):
            await self._calls.close_all_connections()


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
