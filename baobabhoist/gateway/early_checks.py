"""Refuse requests for their headers, before their bodies take memory."""

from __future__ import annotations

import re
from urllib.parse import unquote

import attrs
from tornado.httputil import HTTPHeaders, RequestStartLine

from baobabhoist.errors import Refusal
from baobabhoist.gateway.admin_handler import AdminBackend, AdminOptions
from baobabhoist.gateway.auth import TEAM_KEY_HEADER, authenticate_operator, authenticate_team
from baobabhoist.gateway.caller_handler import CallerOptions, Router, check_ready
from baobabhoist.gateway.drain import draining_refusal

QUEUE_PATH_PATTERN = re.compile(r"/v1/queues/([^/?]{1,200})/requests")


@attrs.frozen
class CallerEarlyCheck:
    """Check the key of a caller and whether this instance takes requests now."""

    router: Router
    options: CallerOptions

    def __call__(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
    ) -> Refusal | None:
        """Return the refusal of a request whose body has at least `body_bytes`, if any."""
        view = self.router.view
        if not self.router.ready and view.revision == 0:
            return check_ready(False, self.options.open_requests)
        if self.options.open_requests.draining:
            return draining_refusal()
        match = QUEUE_PATH_PATTERN.match(start_line.path)
        queue = view.queue(unquote(match[1])) if match is not None else None
        # The queue of a job stands in its body, and may be open to callers without a key.
        if match is None and TEAM_KEY_HEADER not in headers:
            return None
        team = authenticate_team(view, headers, self.options.records_unconfirmed_s(), queue)
        return team if isinstance(team, Refusal) else None


@attrs.frozen
class AdminEarlyCheck:
    """Check the key of an operator; requests without a key have no body."""

    backend: AdminBackend
    options: AdminOptions

    def __call__(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body_bytes: int
    ) -> Refusal | None:
        """Return the refusal of a request whose body has at least `body_bytes`, if any."""
        operator = authenticate_operator(
            self.backend.view,
            self.backend.cfg.operator_key_digest,
            headers,
            self.options.records_unconfirmed_s(),
        )
        return operator if isinstance(operator, Refusal) else None
