"""Provide the base handler, the options and the shared checks of the caller API."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.base_handler import ApiHandler
from baobabhoist.gateway.drain import OpenRequests
from baobabhoist.gateway.metrics import RESULT_ANSWERED, RequestMetrics
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.model import Request, WorkKind
from baobabhoist.observability.metrics import Metrics
from baobabhoist.ownership.request_keys import Result
from baobabhoist.records.kinds import Queue
from baobabhoist.records.view import RecordView

if TYPE_CHECKING:
    from baobabhoist.gateway.jobs import JobService

MAX_REQUEST_DEADLINE_S = 600.0
DEFAULT_REQUEST_DEADLINE_S = 30.0
CLOCK_SKEW_S = 0.5
# Any name matches, so that the handler can respond that the resource does not exist.
PATH_SEGMENT = r"([^/]{1,200})"


class Router(Protocol):
    """Route requests to the owners of their shards; the daemon implements it."""

    view: RecordView

    @property
    def ready(self) -> bool:
        """Return whether requests of callers can be served."""

    async def route(self, req: Request) -> Result:
        """Return the result of a request."""


def _always_confirmed() -> float:
    return 0.0


@attrs.define
class CallerOptions:
    """Hold the settings and components that the caller API uses.

    `data_centre` is that of this instance; without it, requests without an idempotency key may
    have their home shard in any data centre. `records_unconfirmed_s` returns the seconds since
    the records were last confirmed.
    """

    jobs: JobService | None = None
    data_centre: str = ""
    limits: HttpLimits = attrs.Factory(HttpLimits)
    open_requests: OpenRequests = attrs.Factory(OpenRequests)
    max_deadline_s: float = MAX_REQUEST_DEADLINE_S
    default_deadline_s: float = DEFAULT_REQUEST_DEADLINE_S
    clock_skew_s: float = CLOCK_SKEW_S
    records_unconfirmed_s: Callable[[], float] = _always_confirmed
    metrics: Metrics | None = None


class CallerHandler(ApiHandler):
    """Provide the base of the handlers of the caller API."""

    def initialize(
        self, router: Router, options: CallerOptions, metrics: RequestMetrics | None
    ) -> None:
        """Store the router, the options and the metrics."""
        self.router = router
        self.options: CallerOptions = options
        self.metrics = metrics
        self.team = ""
        self.result_label = RESULT_ANSWERED

    def admit(self) -> Refusal | None:
        """Count the request, or return a refusal that does not depend on its body.

        Before the records are loaded, every key would be rejected, and callers do not retry a
        request with a rejected key.
        """
        if self.counts_as_open and not self.router.ready and self.router.view.revision == 0:
            return check_ready(False, self.options.open_requests)
        return super().admit()

    def refuse(self, refusal: Refusal) -> None:
        """Respond with a refusal and count it."""
        self.result_label = refusal.kind.value
        if not self._finished and self.metrics is not None and self.counts_as_open:
            self.metrics.count_refusal(self.team, self.result_label)
        super().refuse(refusal)

    def on_finish(self) -> None:
        """Record the result and latency of the request."""
        if self.metrics is not None and self.counts_as_open:
            self.metrics.observe_result(self.team, self.result_label, self.request.request_time())


def queue_not_found(name: str) -> Refusal:
    """Return the refusal of a request to a queue that does not exist."""
    return Refusal(
        ErrorKind.NOT_FOUND,
        f"the queue {name[:64]} does not exist",
        remedy="use the name of a queue that an operator has created",
    )


def check_work_kind(name: str, queue: Queue, kind: WorkKind) -> Refusal | None:
    """Return the refusal of a kind of work that a queue does not accept, or None."""
    if kind in queue.kinds:
        return None
    return Refusal(
        ErrorKind.FORBIDDEN,
        f"the queue {name} does not accept {kind.value} work",
        remedy=f"use a queue for {kind.value} work",
    )


def check_ready(records_loaded: bool, open_requests: OpenRequests) -> Refusal | None:
    """Return why this instance should not receive requests of callers, or None."""
    remedy = "send callers to another instance"
    if open_requests.leaving_balancer:
        return Refusal(ErrorKind.DRAINING, "this instance is being drained", remedy=remedy)
    if not records_loaded:
        return Refusal(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "this instance has not loaded the records yet",
            remedy=remedy,
            retry_after_s=0.5,
        )
    return None
