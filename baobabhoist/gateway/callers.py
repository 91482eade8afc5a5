"""Serve the caller API over HTTP."""

from __future__ import annotations

import logging
import time
import uuid
from typing import Any

from tornado.httputil import HTTPHeaders
from tornado.web import Application

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.auth import TEAM_KEY_HEADER as TEAM_KEY_HEADER
from baobabhoist.gateway.auth import authenticate_team
from baobabhoist.gateway.base_handler import NotFoundHandler, log_server_errors
from baobabhoist.gateway.caller_handler import (
    PATH_SEGMENT,
    CallerHandler,
    CallerOptions,
    Router,
    check_ready,
    check_work_kind,
    queue_not_found,
)
from baobabhoist.gateway.headers import (
    FIRST_SENT_HEADER,
    RequestHeaders,
    check_deadline,
    parse_headers,
)
from baobabhoist.gateway.jobs import ExplainHandler, JobHandler, JobsHandler
from baobabhoist.gateway.metrics import RequestMetrics
from baobabhoist.model import Request, Task, WorkKind
from baobabhoist.observability.events import Event, emit
from baobabhoist.ownership.rendezvous import home_shard
from baobabhoist.records.kinds import Queue
from baobabhoist.records.view import RecordView

log = logging.getLogger(__name__)

REQUEST_ID_HEADER = "Request-Id"


class RequestsHandler(CallerHandler):
    """Run a request: POST /v1/queues/QUEUE/requests."""

    async def post(self, queue: str) -> None:
        """Run one request on a worker and return the worker's response."""
        body = self.receive_body()
        if body is None:
            return
        req = self._parse_request(queue, body)
        if isinstance(req, Refusal):
            self.refuse(req)
            return
        self.set_header(REQUEST_ID_HEADER, req.request_id)
        result = await self.router.route(req)
        if isinstance(result, Refusal):
            self.refuse(result)
            return
        self.set_status(result.status)
        self.set_header("Content-Type", result.content_type)
        self.finish(result.body)

    def _parse_request(self, name: str, body: bytes) -> Request | Refusal:
        view = self.router.view
        queue = view.queue(name)
        team = authenticate_team(
            view, self.request.headers, self.options.records_unconfirmed_s(), queue
        )
        if isinstance(team, Refusal):
            emit(log, Event.KEY_REFUSED, queue=name[:64], kind=team.kind.value)
            return team
        self.team = team
        if queue is None:
            return queue_not_found(name)
        return build_request(name, queue, team, self.request.headers, body, view, self.options)


def build_request(
    name: str,
    queue: Queue,
    team: str,
    headers: HTTPHeaders,
    body: bytes,
    view: RecordView,
    options: CallerOptions,
) -> Request | Refusal:
    """Return the request that a caller sent to a queue, or a refusal."""
    now = time.time()
    parsed = parse_headers(headers)
    if isinstance(parsed, Refusal):
        return parsed
    deadline = parsed.deadline
    if deadline is None:
        default_deadline_s = queue.default_deadline_s or options.default_deadline_s
        deadline = now + min(default_deadline_s, options.max_deadline_s)
    refusal = check_work_kind(name, queue, WorkKind.REQUEST)
    refusal = refusal or check_deadline(deadline, now, options.max_deadline_s)
    if refusal is None and (parsed.first_sent_at or 0.0) > now + options.clock_skew_s:
        ahead_s = (parsed.first_sent_at or 0.0) - now
        remedy = "send the time at which the key was first used, and check the caller's clock"
        message = f"the time in {FIRST_SENT_HEADER} is {ahead_s:.1f} s in the future"
        refusal = Refusal(ErrorKind.BAD_REQUEST, message, remedy=remedy)
    shards = _home_shards(queue, parsed, view, options)
    if refusal is None and not shards:
        refusal = Refusal(
            ErrorKind.SHARD_UNAVAILABLE,
            f"no shard is configured in the home data centres of the queue {name}",
            remedy="ask an operator to correct the records of the queue or the shards",
            retry_after_s=5.0,
        )
    if refusal is not None:
        return refusal
    request_id = _make_request_id(team, parsed)
    task = Task(
        task_id=request_id,
        team=team,
        queue=name,
        kind=WorkKind.REQUEST,
        resources=parsed.resources,
        deadline=deadline,
        submitted_at=now,
        idempotent=parsed.idempotent,
        urgency=parsed.urgency,
        expected_run_s=parsed.expected_run_s,
        payload=body,
    )
    has_generated_id = parsed.idempotency_key is None
    first_sent_at = now if has_generated_id else parsed.first_sent_at
    if first_sent_at is None:
        # The key cannot have been sent earlier: its deadline would have been too far ahead then.
        first_sent_at = deadline - options.max_deadline_s
    return Request(
        request_id, home_shard(request_id, shards), first_sent_at, task, has_generated_id
    )


def _make_request_id(team: str, headers: RequestHeaders) -> str:
    # The middle part prevents collisions between callers' keys and generated ids.
    if headers.idempotency_key is None:
        return f"{team}/id/{uuid.uuid4().hex}"
    return f"{team}/key/{headers.idempotency_key}"


def _home_shards(
    queue: Queue, headers: RequestHeaders, view: RecordView, options: CallerOptions
) -> tuple[str, ...]:
    homes = queue.home_data_centres
    local = options.data_centre
    if headers.idempotency_key is None and local and (not homes or local in homes):
        return view.shards_in((local,)) or view.shards_in(homes)
    return view.shards_in(homes)


class ReadyHandler(CallerHandler):
    """Tell the platform's load balancer whether to send callers here: GET /readyz."""

    counts_as_open = False

    def get(self) -> None:
        """Respond with 200 when ready and with 503 otherwise."""
        if self.receive_body() is None:
            return
        refusal = check_ready(self.router.ready, self.options.open_requests)
        if refusal is not None:
            self.refuse(refusal)
            return
        self.send_json({"ready": True})


def make_caller_app(router: Router, options: CallerOptions | None = None) -> Application:
    """Return the HTTP application of the caller API."""
    options = options or CallerOptions()
    metrics = RequestMetrics(options.metrics) if options.metrics is not None else None
    context: dict[str, Any] = {"router": router, "options": options, "metrics": metrics}
    return Application(
        [
            (rf"/v1/queues/{PATH_SEGMENT}/requests", RequestsHandler, context),
            (r"/v1/jobs", JobsHandler, context),
            (rf"/v1/jobs/{PATH_SEGMENT}", JobHandler, context),
            (rf"/v1/jobs/{PATH_SEGMENT}/explain", ExplainHandler, context),
            (r"/readyz", ReadyHandler, context),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args={"options": options},
        log_function=log_server_errors,
    )
