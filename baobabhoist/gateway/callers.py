"""Serve callers over HTTP."""

from __future__ import annotations

import math
import time
import uuid
from typing import Protocol

from tornado.web import Application, RequestHandler

from baobabhoist.errors import HTTP_STATUS, ErrorKind, Refusal
from baobabhoist.model import Request, Resources, Task, WorkKind
from baobabhoist.ownership.keys import Result
from baobabhoist.ownership.rendezvous import home_shard
from baobabhoist.records.view import RecordView

KEY_HEADER = "X-Team-Key"
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 600.0


class Router(Protocol):
    """Be what the handlers need of the daemon."""

    view: RecordView

    @property
    def ready(self) -> bool:
        """Tell whether callers can be served."""

    async def route(self, req: Request) -> Result:
        """Return the result of a request."""


class CallerHandler(RequestHandler):
    """Share what all handlers for callers need."""

    def initialize(self, router: Router) -> None:
        """Take the router."""
        self.router = router

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        self.set_status(HTTP_STATUS[refusal.kind])
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.finish(refusal.as_body())


class RequestsHandler(CallerHandler):
    """Run a request: POST /v1/queues/QUEUE/requests."""

    async def post(self, queue: str) -> None:
        """Run one request and return its whole answer."""
        req = self._parse(queue)
        if isinstance(req, Refusal):
            self.refuse(req)
            return
        result = await self.router.route(req)
        if isinstance(result, Refusal):
            self.refuse(result)
            return
        self.set_status(result.status)
        self.set_header("Content-Type", result.content_type)
        self.finish(result.body)

    def _parse(self, queue: str) -> Request | Refusal:
        key = self.request.headers.get(KEY_HEADER)
        if key is None:
            return Refusal(
                ErrorKind.KEY_MISSING, "no team key", remedy=f"send the header {KEY_HEADER}"
            )
        team = self.router.view.team_of_key(key)
        if team is None:
            return Refusal(
                ErrorKind.KEY_REJECTED, "the team key is not valid", remedy="use a valid key"
            )
        if self.router.view.get("queue", queue) is None:
            return Refusal(ErrorKind.NOT_FOUND, f"there is no queue {queue}")
        now = time.time()
        request_id = f"{team}/{uuid.uuid4().hex}"
        shards = [record.name for record in self.router.view.of_kind("shard")]
        if not shards:
            return Refusal(ErrorKind.SHARD_UNAVAILABLE, "the records name no shard")
        task = Task(
            task_id=request_id,
            team=team,
            queue=queue,
            kind=WorkKind.REQUEST,
            resources=Resources(),
            deadline=now + DEFAULT_DEADLINE_S,
            submitted_at=now,
            payload=self.request.body,
        )
        return Request(request_id, home_shard(request_id, shards), now, task, True)


class ReadyHandler(CallerHandler):
    """Tell the platform's balancer whether to send callers here: GET /readyz."""

    def get(self) -> None:
        """Answer 200 when ready and 503 otherwise."""
        self.set_status(200 if self.router.ready else 503)


def caller_app(router: Router) -> Application:
    """Return the HTTP application for callers."""
    context = {"router": router}
    return Application(
        [
            (r"/v1/queues/([a-z0-9-]+)/requests", RequestsHandler, context),
            (r"/readyz", ReadyHandler, context),
        ]
    )
