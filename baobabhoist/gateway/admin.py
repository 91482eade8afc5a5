"""Serve operators over HTTP."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import orjson
from tornado.web import Application, RequestHandler

from baobabhoist.errors import HTTP_STATUS, ErrorKind, PlatformError, Refusal
from baobabhoist.records.changes import LOG_HEAD, change
from baobabhoist.records.view import digest

if TYPE_CHECKING:
    from baobabhoist.daemon.app import Daemon

OPERATOR_KEY_HEADER = "X-Operator-Key"


class AdminHandler(RequestHandler):
    """Share what all handlers for operators need."""

    def initialize(self, daemon: Daemon) -> None:
        """Take the daemon."""
        self.daemon = daemon

    def prepare(self) -> None:
        """Refuse callers without the operator key."""
        presented = digest(self.request.headers.get(OPERATOR_KEY_HEADER, ""))
        if not hmac.compare_digest(presented, self.daemon.cfg.operator_key_digest):
            self.refuse(
                Refusal(
                    ErrorKind.KEY_REJECTED,
                    "the operator key is not valid",
                    remedy=f"send the header {OPERATOR_KEY_HEADER}",
                )
            )

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        self.set_status(HTTP_STATUS[refusal.kind])
        self.finish(refusal.as_body())


class RecordHandler(AdminHandler):
    """Read and change a record: /v1/records/KIND/NAME."""

    async def put(self, kind: str, name: str) -> None:
        """Write a record if it still has the revision the change is based on."""
        body = orjson.loads(self.request.body)
        table = self.daemon.table
        try:
            current = await table.read(f"record/{kind}/{name}")
            head = await table.read(LOG_HEAD)
            txn = change(kind, name, body["schema_version"], body["body"], current, head)
            outcome = await table.commit(txn)
        except PlatformError as exc:
            self.refuse(Refusal(ErrorKind.PLATFORM_UNAVAILABLE, str(exc), retry_after_s=2.0))
            return
        if isinstance(outcome, Refusal):
            self.refuse(outcome)
            return
        self.finish({"revision": (head.value or 0) + 1})


class StatusHandler(AdminHandler):
    """Report the state of this instance: GET /v1/status."""

    def get(self) -> None:
        """Return what this instance owns and which records it applies."""
        beat = self.daemon.heartbeat()
        self.finish(
            {
                "instance_id": beat.instance_id,
                "owned_shards": list(beat.owned_shards),
                "records_revision": beat.records_revision,
            }
        )


def admin_app(daemon: Daemon) -> Application:
    """Return the HTTP application for operators."""
    context = {"daemon": daemon}
    return Application(
        [
            (r"/v1/records/([a-z]+)/([a-z0-9-]+)", RecordHandler, context),
            (r"/v1/status", StatusHandler, context),
        ]
    )
