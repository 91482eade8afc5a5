"""Serve placement previews to operators, on the port of the metrics."""

from __future__ import annotations

import logging
from typing import Any

import attrs
import orjson
from tornado.web import RequestHandler

from baobabhoist.control.placement_previews import (
    PlacementPreviews,
    PreviewRequest,
    PreviewResult,
)
from baobabhoist.errors import HTTP_STATUS, ErrorKind, Refusal
from baobabhoist.inbound.http_server import early_refusal
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

REMEDY = 'send {"queue": NAME, "team": NAME, "job": the body of a submission}'
_KIND_BY_CLIENT_ERROR = {400: ErrorKind.BAD_REQUEST, 405: ErrorKind.METHOD_NOT_ALLOWED}


class PlacementPreviewHandler(RequestHandler):
    """Tell where a job would go now."""

    def initialize(self, previews: PlacementPreviews) -> None:
        """Set what answers the previews."""
        self._previews = previews

    async def post(self) -> None:
        """Answer with the preview of the job in the body."""
        request = early_refusal(self.request) or parse_request(self.request.body)
        if isinstance(request, Refusal):
            self._refuse(request)
            return
        result = await self._previews.preview(request)
        if isinstance(result, Refusal):
            self._refuse(result)
        else:
            self._send(200, to_body(request, result))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an invalid request or an unexpected error with the body of a refusal."""
        kind = _KIND_BY_CLIENT_ERROR.get(status_code)
        if kind is not None:
            self._refuse(Refusal(kind, self._reason, remedy=f"POST: {REMEDY}"))
            return
        _, exc, _ = kwargs.get("exc_info", (None, None, None))
        emit(log, Event.CALL_FAILED, path=self.request.path, status=status_code, detail=repr(exc))
        self._refuse(Refusal(ErrorKind.INTERNAL, "the preview failed", remedy="see the log"))

    def _refuse(self, refusal: Refusal) -> None:
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(round(refusal.retry_after_s)))
        self._send(HTTP_STATUS[refusal.kind], refusal.to_body())

    def _send(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


def parse_request(body: bytes) -> PreviewRequest | Refusal:
    """Return the request in a body, or the refusal that says what is wrong with it."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return _bad_request(f"the body is not JSON: {exc}")
    if not isinstance(fields, dict):
        return _bad_request("the body is not an object")
    queue, team, job = fields.get("queue"), fields.get("team", ""), fields.get("job")
    if not isinstance(queue, str) or not isinstance(team, str) or not isinstance(job, dict):
        return _bad_request("queue and team must be texts, and job an object")
    return PreviewRequest(queue, team, orjson.dumps(job))


def to_body(request: PreviewRequest, result: PreviewResult) -> dict[str, Any]:
    """Return the body of an answer."""
    refusal = result.refusal
    return {
        "queue": request.queue,
        "team": request.team,
        "refusal": refusal.to_body() if refusal is not None else None,
        "placement": attrs.asdict(result.placement),
    }


def _bad_request(message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, remedy=REMEDY)
