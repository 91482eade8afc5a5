"""Define what the handlers for operators need of the daemon and of their options."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.gateway.auth import authenticate_operator
from baobabhoist.gateway.base_handler import ApiHandler
from baobabhoist.gateway.drain import OpenRequests
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.metrics import Metrics
from baobabhoist.records.view import RecordView
from baobabhoist.store.table import Table

if TYPE_CHECKING:
    from baobabhoist.gateway.jobs import JobService

log = logging.getLogger(__name__)

MAX_ADMIN_BODY_BYTES = 4 << 20


class AdminSettings(Protocol):
    """Be what the handlers need of the settings."""

    @property
    def operator_key_digest(self) -> str:
        """Return the SHA-256 digest of the operator key in the settings."""


class PeerStatus(Protocol):
    """Be what the handlers need of a peer's state; `live_until` is in Unix seconds."""

    heartbeat: Any
    live_until: float


class PeerStatuses(Protocol):
    """Be what the handlers need of the mesh."""

    @property
    def peers(self) -> Mapping[str, Any]:
        """Return the state of each peer by instance id."""


class AdminBackend(Protocol):
    """Be what the handlers need of the daemon."""

    @property
    def table(self) -> Table:
        """Return the platform's table."""

    @property
    def view(self) -> RecordView:
        """Return the records in force."""

    @property
    def cfg(self) -> AdminSettings:
        """Return the settings."""

    @property
    def mesh(self) -> PeerStatuses:
        """Return the links to the other instances."""

    @property
    def ready(self) -> bool:
        """Tell whether callers can be served."""

    def heartbeat(self) -> Any:
        """Return what this instance reports to its peers."""


def _always_confirmed() -> float:
    return 0.0


@attrs.define
class AdminOptions:
    """Hold the parts that the API for operators uses.

    `open_requests` is the count that the application for callers keeps. `drain` starts the drain
    of the whole instance and returns at once; without it, only the gateway drains.
    """

    jobs: JobService | None = None
    limits: HttpLimits = attrs.Factory(lambda: HttpLimits(max_body_bytes=MAX_ADMIN_BODY_BYTES))
    open_requests: OpenRequests = attrs.Factory(OpenRequests)
    drain: Callable[[], Awaitable[None]] | None = None
    records_unconfirmed_s: Callable[[], float] = _always_confirmed
    metrics: Metrics | None = None


class UnauthenticatedAdminHandler(ApiHandler):
    """Share what the handlers need that serve without a key."""

    # Operators must be able to watch an instance while it drains.
    counts_as_open = False

    def initialize(self, backend: AdminBackend, options: AdminOptions) -> None:
        """Take the daemon and the options."""
        self.backend = backend
        self.options: AdminOptions = options
        self.operator = ""

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return time.time()


class AdminHandler(UnauthenticatedAdminHandler):
    """Share what all handlers for operators need."""

    def admit(self) -> Refusal | None:
        """Refuse callers without a valid operator key."""
        found = authenticate_operator(
            self.backend.view,
            self.backend.cfg.operator_key_digest,
            self.request.headers,
            self.options.records_unconfirmed_s(),
        )
        if isinstance(found, Refusal):
            emit(log, Event.OPERATOR_REFUSED, address=self.request.remote_ip)
            return found
        self.operator = found
        return None
