"""Serve the admin API over HTTP."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
from tornado.web import Application

from baobabhoist.errors import Refusal
from baobabhoist.gateway.admin_handler import (
    AdminBackend,
    AdminHandler,
    AdminOptions,
    UnauthenticatedAdminHandler,
)
from baobabhoist.gateway.auth import OPERATOR_KEY_HEADER as OPERATOR_KEY_HEADER
from baobabhoist.gateway.base_handler import NotFoundHandler, log_server_errors
from baobabhoist.gateway.caller_handler import PATH_SEGMENT, check_ready
from baobabhoist.gateway.jobs import explanation_body, jobs_unavailable, status_body
from baobabhoist.gateway.metrics import register_open_requests_gauge
from baobabhoist.gateway.pending_limits import read_pending_limits
from baobabhoist.gateway.records import (
    DiffHandler,
    HistoryHandler,
    RecordHandler,
    RecordListHandler,
)
from baobabhoist.model import JobStatus

HTTP_ACCEPTED = 202
_CONVERTER = cattrs.Converter()


class StatusHandler(AdminHandler):
    """Report the state of the instances: GET /v1/status."""

    async def get(self) -> None:
        """Return the state of this instance and the last reports of its peers."""
        if self.receive_body() is None:
            return
        pending_limits = await read_pending_limits(self.backend.table, self.backend.view.teams())
        own_report = _CONVERTER.unstructure(self.backend.heartbeat())
        now = self.now()
        peers = [
            _peer_body(instance_id, peer, now)
            for instance_id, peer in sorted(self.backend.mesh.peers.items())
        ]
        open_requests = self.options.open_requests
        self.send_json(
            {
                **own_report,
                "ready": check_ready(self.backend.ready, open_requests) is None,
                "draining": bool(own_report.get("draining")) or open_requests.leaving_balancer,
                "open_requests": open_requests.count,
                "records_unconfirmed_s": self.options.records_unconfirmed_s(),
                "pending_limits": (
                    [attrs.asdict(limit) for limit in pending_limits]
                    if pending_limits is not None
                    else None
                ),
                "peers": peers,
            }
        )


def _peer_body(instance_id: str, peer: Any, now: float) -> dict[str, Any]:
    """Return the last report of a peer, which may be outdated if the peer is not live."""
    report = _CONVERTER.unstructure(peer.heartbeat) if peer.heartbeat is not None else {}
    return {**report, "instance_id": instance_id, "live": peer.live_until > now}


class DrainHandler(AdminHandler):
    """Drain this instance: POST /v1/drain."""

    async def post(self) -> None:
        """Start the drain and respond with the number of open requests."""
        if self.receive_body() is None:
            return
        if self.options.drain is not None:
            await self.options.drain()
        else:
            self.options.open_requests.begin_drain()
        self.set_status(HTTP_ACCEPTED)
        self.send_json({"draining": True, "open_requests": self.options.open_requests.count})


class AdminJobsHandler(AdminHandler):
    """List the jobs of all teams: GET /v1/jobs."""

    async def get(self) -> None:
        """Return the state of each job."""
        if self.receive_body() is None:
            return
        jobs = self.options.jobs
        statuses = await jobs.list(None) if jobs is not None else jobs_unavailable()
        if isinstance(statuses, Refusal):
            self.refuse(statuses)
            return
        self.send_json({"jobs": [status_body(status) for status in statuses]})


class AdminJobHandler(AdminHandler):
    """Show and cancel any team's job: /v1/jobs/ID."""

    async def get(self, job_id: str) -> None:
        """Return the state of a job."""
        if self.receive_body() is None:
            return
        jobs = self.options.jobs
        self._send_job_status(
            await jobs.status(job_id, None) if jobs is not None else jobs_unavailable()
        )

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        if self.receive_body() is None:
            return
        jobs = self.options.jobs
        self._send_job_status(
            await jobs.cancel(job_id, None) if jobs is not None else jobs_unavailable()
        )

    def _send_job_status(self, status: Refusal | JobStatus) -> None:
        if isinstance(status, Refusal):
            self.refuse(status)
        else:
            self.send_json(status_body(status))


class AdminExplainHandler(AdminHandler):
    """Explain the state of any team's job: GET /v1/jobs/ID/explain."""

    async def get(self, job_id: str) -> None:
        """Return the reason for the state of a job."""
        if self.receive_body() is None:
            return
        jobs = self.options.jobs
        explanation = await jobs.explain(job_id, None) if jobs is not None else jobs_unavailable()
        if isinstance(explanation, Refusal):
            self.refuse(explanation)
            return
        self.send_json(explanation_body(explanation))


class MetricsHandler(AdminHandler):
    """Expose the metrics: GET /metrics."""

    def initialize(self, backend: AdminBackend, options: AdminOptions, gauge: Any = None) -> None:
        """Store the daemon, the options and the gauge of open requests."""
        super().initialize(backend, options)
        self.gauge = gauge

    def get(self) -> None:
        """Return the metrics in the format that the collector accepts."""
        if self.receive_body() is None:
            return
        if self.options.metrics is None:
            self.set_header("Content-Type", "text/plain; version=0.0.4")
            self.finish(b"")
            return
        self.gauge.set({}, self.options.open_requests.count)
        accept = self.request.headers.get_list("Accept")
        content, headers = self.options.metrics.exposition(accept or None)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class HealthHandler(UnauthenticatedAdminHandler):
    """Report that the process is alive: GET /healthz."""

    def get(self) -> None:
        """Respond with 200 as long as the event loop runs."""
        if self.receive_body() is not None:
            self.send_json({"healthy": True})


class AdminReadyHandler(UnauthenticatedAdminHandler):
    """Report whether this instance should receive requests of callers: GET /readyz."""

    def get(self) -> None:
        """Respond with 200 when ready and with 503 otherwise."""
        if self.receive_body() is None:
            return
        refusal = check_ready(self.backend.ready, self.options.open_requests)
        if refusal is not None:
            self.refuse(refusal)
            return
        self.send_json({"ready": True})


def make_admin_app(daemon: AdminBackend, options: AdminOptions | None = None) -> Application:
    """Return the HTTP application of the admin API."""
    options = options or AdminOptions()
    context: dict[str, Any] = {"backend": daemon, "options": options}
    gauge = register_open_requests_gauge(options.metrics) if options.metrics is not None else None
    record = rf"/v1/records/{PATH_SEGMENT}/{PATH_SEGMENT}"
    return Application(
        [
            (r"/v1/records", RecordListHandler, context),
            (rf"/v1/records/{PATH_SEGMENT}", RecordListHandler, context),
            (record, RecordHandler, context),
            (rf"{record}/history", HistoryHandler, context),
            (rf"{record}/diff", DiffHandler, context),
            (r"/v1/status", StatusHandler, context),
            (r"/v1/drain", DrainHandler, context),
            (r"/v1/jobs", AdminJobsHandler, context),
            (rf"/v1/jobs/{PATH_SEGMENT}", AdminJobHandler, context),
            (rf"/v1/jobs/{PATH_SEGMENT}/explain", AdminExplainHandler, context),
            (r"/metrics", MetricsHandler, {**context, "gauge": gauge}),
            (r"/healthz", HealthHandler, context),
            (r"/readyz", AdminReadyHandler, context),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args={"options": options},
        log_function=log_server_errors,
    )
