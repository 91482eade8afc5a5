"""Provide the base handlers, the options and the daemon interface of the admin API."""

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
    """Provide the settings that the handlers need."""

    @property
    def operator_key_digest(self) -> str:
        """Return the SHA-256 digest of the operator key in the settings."""


class PeerStatus(Protocol):
    """Provide the state of a peer that the handlers need; `live_until` is in Unix seconds."""

    heartbeat: Any
    live_until: float


class PeerStatuses(Protocol):
    """Provide the states of the peers that the handlers need; the mesh implements it."""

    @property
    def peers(self) -> Mapping[str, Any]:
        """Return the state of each peer by instance id."""


class AdminBackend(Protocol):
    """Provide the parts of the daemon that the handlers need."""

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
        """Return the states of the other instances."""

    @property
    def ready(self) -> bool:
        """Return whether requests of callers can be served."""

    def heartbeat(self) -> Any:
        """Return the state that this instance reports to its peers."""


def _always_confirmed() -> float:
    return 0.0


@attrs.define
class AdminOptions:
    """Hold the components that the admin API uses.

    `open_requests` is the counter of the caller API. `drain` starts the drain of the whole
    instance and returns at once; without it, only the gateway drains. `records_unconfirmed_s`
    returns the seconds since the records were last confirmed.
    """

    jobs: JobService | None = None
    limits: HttpLimits = attrs.Factory(lambda: HttpLimits(max_body_bytes=MAX_ADMIN_BODY_BYTES))
    open_requests: OpenRequests = attrs.Factory(OpenRequests)
    drain: Callable[[], Awaitable[None]] | None = None
    records_unconfirmed_s: Callable[[], float] = _always_confirmed
    metrics: Metrics | None = None


class UnauthenticatedAdminHandler(ApiHandler):
    """Provide the base of the handlers that require no key."""

    # Operators must be able to monitor an instance while it drains.
    counts_as_open = False

    def initialize(self, backend: AdminBackend, options: AdminOptions) -> None:
        """Store the daemon and the options."""
        self.backend = backend
        self.options: AdminOptions = options
        self.operator = ""

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return time.time()


class AdminHandler(UnauthenticatedAdminHandler):
    """Provide the base of the handlers that require an operator key."""

    def admit(self) -> Refusal | None:
        """Return the refusal of a request without a valid operator key, or None."""
        operator = authenticate_operator(
            self.backend.view,
            self.backend.cfg.operator_key_digest,
            self.request.headers,
            self.options.records_unconfirmed_s(),
        )
        if isinstance(operator, Refusal):
            emit(log, Event.OPERATOR_REFUSED, address=self.request.remote_ip)
            return operator
        self.operator = operator
        return None
