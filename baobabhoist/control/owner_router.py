"""Route queries and notifications to the cell's owner, in this process or over its link."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from baobabhoist.cell.model import StepKey
from baobabhoist.control.advice_gate import AdviceGate, AdviserBusy
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_admission import KnownWaits
from baobabhoist.control.links import OwnerLink
from baobabhoist.control.messages import (
    AdviceQuery,
    AdviceReply,
    CancelNotice,
    JobNotice,
    NotOwner,
    PendingQuery,
    PendingReply,
    PlacementQuery,
    PlacementReply,
    ReadinessQuery,
    ReadinessReply,
    RelayCommit,
    RelayFollow,
    RelayRead,
    StateQuery,
    StateReply,
)
from baobabhoist.control.relay import FailoverStore
from baobabhoist.control.sessions.messages import (
    PermitQuery,
    PermitReply,
    SessionAssignment,
    SessionEvents,
    SessionOrders,
)
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.tasks import create_logged_task

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner
    from baobabhoist.control.sessions.holder import SessionHolder

log = logging.getLogger(__name__)

# After a query timed out, further queries fail at once for this long.
OWNER_TIMEOUT_BACKOFF_MS = 1_000.0


class OwnerRouter:
    """Send queries and notifications to the owner, and answer those of other instances."""

    def __init__(self, node: str, advice_gate: AdviceGate) -> None:
        self.local_owner: CellOwner | None = None
        self.owner_link: OwnerLink | None = None
        # Executes store calls that other instances relay through this one.
        self.relay_store: FailoverStore | None = None
        # Returns what holds sessions with workers for the owner, and creates it when first needed.
        self.make_session_holder: Callable[[], SessionHolder] | None = None
        self._session_holder: SessionHolder | None = None
        # Returns whether this instance could take over the cell now.
        self.is_ready_to_own: Callable[[], bool] = lambda: False
        self._node = node
        self._advice_gate = advice_gate
        self._tasks: set[asyncio.Task[None]] = set()
        # Until this time a query would most likely time out on the same silent link.
        self._backoff_until_ms = 0.0

    @property
    def is_owner_reachable(self) -> bool:
        """Return whether the owner is known and likely to answer."""
        if self.local_owner is not None:
            return self.local_owner.cell is not None
        is_backing_off = monotonic_ms() < self._backoff_until_ms
        return (
            self.owner_link is not None and self.owner_link.link is not None and not is_backing_off
        )

    def refuse_jobs_ms(self) -> float:
        """Return for how long new jobs should be refused, as far as the owner has said."""
        if self.local_owner is not None:
            return self.local_owner.refuse_jobs_ms()
        if self.owner_link is None or self.owner_link.link is None:
            return 0.0
        return max(0.0, self.owner_link.refuse_jobs_until_ms - monotonic_ms())

    def job_waits(self) -> KnownWaits | None:
        """Return the newest known expected waits of the present owner, or None."""
        if self.local_owner is not None:
            return self.local_owner.job_waits()
        if self.owner_link is None or self.owner_link.link is None:
            return None
        return self.owner_link.job_waits

    async def call(self, query: Any, timeout_s: float) -> Any:
        """Return the owner's answer; raises LinkClosedError or TimeoutError."""
        if self.local_owner is not None:
            return await self.handle(query)
        if self.owner_link is None or monotonic_ms() < self._backoff_until_ms:
            raise LinkClosedError("the owner is unknown or has not answered recently")
        try:
            return await self.owner_link.call(query, timeout_s)
        except TimeoutError:
            self._backoff_until_ms = monotonic_ms() + OWNER_TIMEOUT_BACKOFF_MS
            raise

    async def call_if_supported(self, query: Any, timeout_s: float) -> Any:
        """Return the owner's answer to a query that owners of earlier versions do not answer.

        Raises LinkClosedError or TimeoutError. Unlike in `call`, no backoff follows a timeout,
        because the owner may just be of an earlier version.
        """
        if self.local_owner is not None:
            return await self.handle(query)
        if self.owner_link is None:
            raise LinkClosedError("the owner is unknown")
        return await self.owner_link.call(query, timeout_s)

    def notify(self, notice: Any) -> None:
        """Notify the owner in the background; it reads missed changes from the store."""
        task = create_logged_task(self._notify(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle(self, message: Any) -> Any:
        """Answer a message from another instance or from this one."""
        instance_handler = self._INSTANCE_HANDLERS.get(type(message))
        if instance_handler is not None:
            return await instance_handler(self, message)
        if self.local_owner is None:
            return NotOwner(self._node)
        owner_handler = self._OWNER_HANDLERS.get(type(message))
        if owner_handler is None:
            return None
        return await owner_handler(self, self.local_owner, message)

    async def _answer_state(self, owner: CellOwner, query: StateQuery) -> StateReply:
        return await owner.settled_job_state(query.job_id)

    async def _answer_pending(
        self, owner: CellOwner, query: PendingQuery
    ) -> PendingReply | NotOwner:
        return owner.count_pending_jobs(query.queue) or NotOwner(self._node)

    async def _answer_placement(
        self, owner: CellOwner, query: PlacementQuery
    ) -> PlacementReply | NotOwner:
        return owner.preview_placement(query) or NotOwner(self._node)

    async def _handle_job_notice(self, owner: CellOwner, notice: JobNotice) -> None:
        owner.handle_stored_job(notice.job_id, notice.value, notice.version)

    async def _handle_session_events(self, owner: CellOwner, events: SessionEvents) -> None:
        owner.sessions.handle_events(events)

    async def _answer_permit(self, owner: CellOwner, query: PermitQuery) -> PermitReply:
        return owner.sessions.handle_permit_query(query)

    async def _handle_cancel_notice(self, owner: CellOwner, notice: CancelNotice) -> None:
        owner.handle_cancelled_job(notice.job_id)

    async def _serve_store_call(self, message: Any) -> Any:
        return await self.relay_store.serve(message) if self.relay_store is not None else None

    async def _ask_adviser(self, query: AdviceQuery) -> AdviceReply:
        step = StepKey(query.job_id, query.occurrence, query.step)
        sent_ms = monotonic_ms()
        advice = await self._advice_gate.ask(step, query.workers, query.cost_ms)
        if advice is None:
            return AdviceReply(False)
        if isinstance(advice, AdviserBusy):
            return AdviceReply(False, busy_ms=advice.wait_ms)
        return AdviceReply(True, advice.tickets, advice.valid_ms, monotonic_ms() - sent_ms)

    async def _handle_assignment(self, assignment: SessionAssignment) -> None:
        if self._session_holder is None and self.make_session_holder is not None:
            self._session_holder = self.make_session_holder()
        if self._session_holder is not None and self.local_owner is None:
            self._session_holder.handle_assignment(assignment)

    async def _handle_orders(self, orders: SessionOrders) -> None:
        if self._session_holder is not None:
            self._session_holder.handle_orders(orders)

    def end_held_sessions(self) -> None:
        """End the sessions that this instance holds for another owner."""
        if self._session_holder is not None:
            self._session_holder.stop()

    async def _answer_readiness(self, query: ReadinessQuery) -> ReadinessReply:
        return ReadinessReply(self.is_ready_to_own())

    # Messages that every instance answers, and messages that only the owner answers.
    _INSTANCE_HANDLERS: dict[type, Callable[[Any, Any], Awaitable[Any]]] = {
        AdviceQuery: _ask_adviser,
        RelayCommit: _serve_store_call,
        RelayRead: _serve_store_call,
        RelayFollow: _serve_store_call,
        ReadinessQuery: _answer_readiness,
        SessionAssignment: _handle_assignment,
        SessionOrders: _handle_orders,
    }
    _OWNER_HANDLERS: dict[type, Callable[[Any, CellOwner, Any], Awaitable[Any]]] = {
        StateQuery: _answer_state,
        PendingQuery: _answer_pending,
        PlacementQuery: _answer_placement,
        JobNotice: _handle_job_notice,
        CancelNotice: _handle_cancel_notice,
        SessionEvents: _handle_session_events,
        PermitQuery: _answer_permit,
    }

    async def _notify(self, notice: Any) -> None:
        if self.local_owner is not None:
            await self.handle(notice)
            return
        link = self.owner_link.link if self.owner_link is not None else None
        try:
            if link is not None:
                await link.notify(notice)
        except LinkClosedError as exc:
            log.debug("a notification to the owner was lost: %s", exc)
