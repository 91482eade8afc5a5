"""Hold sessions with workers for the owner, on an instance that does not own the cell.

A holder decides nothing. It acts only under the token of the owner that assigned the sessions and
while its permit is valid; an order that it can't carry out in time is returned unsent.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from baobabhoist.cell.model import (
    NO_RESOURCES,
    CommandOutcome,
    StartTask,
    StopTask,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.cell.workers import Lease
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, WorkerDriver
from baobabhoist.control.sessions.messages import (
    AssignedWorker,
    EndsStored,
    LeaseResumed,
    OrderResult,
    PermitQuery,
    PermitReply,
    SessionAssignment,
    SessionEvents,
    SessionOrders,
    StartOrder,
    StopOrder,
    WorkerSilence,
    parse_task,
)
from baobabhoist.control.sessions.outbox import EventOutbox
from baobabhoist.control.sessions.permits import PERMIT_INTERVAL_S, HeldPermit
from baobabhoist.control.sessions.worker_session import NOT_SENT, WorkerSession
from baobabhoist.control.task_supervisor import result_or
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task

log = logging.getLogger(__name__)

PERMIT_TIMEOUT_S = 0.4


@attrs.define(eq=False)
class HeldWorker:
    """Hold a session, and hear what it learns; see SessionListener."""

    holder: SessionHolder
    number: int
    # The owner does not consent to extending the worker's lease.
    is_suspended: bool
    min_token: int
    session: WorkerSession = attrs.field(init=False)
    silence: int = 0

    @property
    def token(self) -> int:
        """Return the newest fencing token of the owner that is known here."""
        return max(self.holder.newest_token, self.min_token)

    @property
    def gets_higher_tokens(self) -> bool:
        """Return whether the token rises while the owner stays; earlier releases name none."""
        return self.min_token > 0

    def may_renew(self) -> bool:
        """Return whether the lease of the worker may be extended now."""
        return not self.is_suspended and self.holder.may_act()

    def handle_report(self, report: WorkerReport, sent_ms: float) -> None:
        """Pass a report on to the owner."""
        deadline_ms = self.session.lease.deadline_ms
        self.holder.add_report(self.number, report, sent_ms, deadline_ms)

    def handle_silence(self, outcome: CommandOutcome) -> None:
        """Extend the worker's lease no more, and tell the owner so."""
        self.is_suspended = True
        self.silence += 1
        session = self.session
        silence = WorkerSilence(
            self.number,
            self.silence,
            session.lease.deadline_ms,
            outcome.value,
            session.token,
            session.started_unix_ms,
        )
        self.holder.add_silence(silence)


class SessionHolder:
    """Hold the sessions that the owner assigned to this instance."""

    def __init__(
        self,
        node: str,
        driver: WorkerDriver,
        call_owner: Callable[[Any, float], Awaitable[Any]],
        notify_owner: Callable[[Any], Awaitable[None]],
    ) -> None:
        # The token of the owner's claim, which identifies the owner, and its newest one.
        self.token = 0
        self.newest_token = 0
        self._node = node
        self._driver = driver
        self._call_owner = call_owner
        self._notify_owner = notify_owner
        self._permit = HeldPermit()
        self._lease_ms = 0.0
        self._assignment_number = 0
        # The sessions by their numbers, which the owner chose.
        self._workers: dict[int, HeldWorker] = {}
        self._outbox = EventOutbox(self._send_events)
        self._tasks: set[asyncio.Task[None]] = set()
        self._permit_task: asyncio.Task[None] | None = None

    @property
    def session_count(self) -> int:
        """Return the number of sessions that this instance holds."""
        return len(self._workers)

    def stop(self) -> None:
        """End all sessions and drop the orders that were not sent."""
        for held in self._workers.values():
            held.session.cancel()
        self._workers.clear()
        for task in self._tasks:
            task.cancel()
        if self._permit_task is not None:
            self._permit_task.cancel()
            self._permit_task = None
        self._permit = HeldPermit()
        self._outbox.clear()

    # Messages of the owner.

    def handle_assignment(self, assignment: SessionAssignment) -> None:
        """Hold exactly the sessions that the owner names."""
        if assignment.token < self.token:
            return
        if assignment.token > self.token:
            self.stop()
            self.token = self.newest_token = assignment.token
        self._lease_ms = assignment.lease_ms
        self._assignment_number = assignment.number
        assigned = {worker.session: worker for worker in assignment.workers}
        for number in set(self._workers) - set(assigned):
            self._workers.pop(number).session.cancel()
        for number in set(assigned) - set(self._workers):
            self._workers[number] = self._hold(assigned[number])
        emit(log, Event.SESSIONS_HELD, count=len(self._workers), token=self.token)
        if self._permit_task is None and self._workers:
            self._permit_task = create_logged_task(self._keep_permit())

    def _hold(self, worker: AssignedWorker) -> HeldWorker:
        held = HeldWorker(self, worker.session, worker.is_suspended, worker.token)
        info = WorkerInfo(worker.worker_id, "", worker.address, "", NO_RESOURCES, ())
        lease = Lease(self._lease_ms)
        held.session = WorkerSession(info, self._driver, held, lease, self._lease_ms)
        held.session.resume_from(worker.started_unix_ms, worker.acked_end, worker.token)
        if self.may_act():
            held.session.start()
        return held

    def handle_orders(self, orders: SessionOrders) -> None:
        """Carry out orders and apply what the owner says of ends and leases."""
        if orders.token != self.token:
            return
        for stored in orders.stored:
            self._apply_stored(stored)
        for resumed in orders.resumed:
            self._apply_resumed(resumed)
        for start in orders.starts:
            self._spawn(self._execute(start.number, self._start_task(start, orders.payloads)))
        for stop in orders.stops:
            self._spawn(self._execute(stop.number, self._stop_task(stop)))

    def _apply_stored(self, stored: EndsStored) -> None:
        held = self._workers.get(stored.session)
        if held is not None:
            held.session.acknowledge(stored.started_unix_ms, stored.acked_end)

    def _apply_resumed(self, resumed: LeaseResumed) -> None:
        held = self._workers.get(resumed.session)
        # The owner may have resumed the lease before it heard of a later silence.
        if held is not None and held.silence == resumed.silence:
            held.is_suspended = False

    # Orders.

    async def _execute(self, number: int, answer: Awaitable[CommandResponse]) -> None:
        response = await result_or(answer, CommandResponse(CommandOutcome.UNKNOWN))
        result = OrderResult(number, response.outcome.value, token=response.token)
        self._outbox.add_result(result)

    async def _start_task(self, order: StartOrder, payloads: tuple[str, ...]) -> CommandResponse:
        held = self._workers.get(order.session)
        is_expired = self._permit.to_owner_ms(monotonic_ms()) >= order.expires_owner_ms
        if held is None or is_expired or not held.may_renew():
            self._log_unsent(order)
            return NOT_SENT
        command = StartTask(
            held.session.worker_id,
            parse_task(order.task),
            order.run,
            payloads[order.payload],
            order.checkpoint,
            order.ticket,
        )
        return await held.session.start_task(command)

    async def _stop_task(self, order: StopOrder) -> CommandResponse:
        held = self._workers.get(order.session)
        if held is None or not self.may_act():
            self._log_unsent(order)
            return CommandResponse(CommandOutcome.UNKNOWN)
        command = StopTask(held.session.worker_id, parse_task(order.task), order.run)
        return await held.session.stop_task(command)

    def _log_unsent(self, order: StartOrder | StopOrder) -> None:
        emit(log, Event.ORDER_UNSENT, task=order.task, run=order.run, session=order.session)

    # Permits.

    async def _keep_permit(self) -> None:
        """Renew the permit until there are no sessions; without a valid one they are ended."""
        while self._workers:
            await self._renew_permit()
            if not self.may_act():
                self._end_unpermitted()
            await asyncio.sleep(PERMIT_INTERVAL_S)
        self._permit_task = None

    async def _renew_permit(self) -> None:
        sent_ms, token = monotonic_ms(), self.token
        try:
            query = PermitQuery(self._node, token, self._assignment_number)
            reply = await self._call_owner(query, PERMIT_TIMEOUT_S)
        except (LinkClosedError, TimeoutError) as exc:
            log.debug("the owner did not renew the permit: %s", exc)
            return
        if not isinstance(reply, PermitReply) or token != self.token:
            return
        self.newest_token = max(self.newest_token, reply.token)
        self._permit.renew(sent_ms, monotonic_ms(), reply.valid_ms, reply.owner_ms)
        if self.may_act():
            for held in self._workers.values():
                held.session.start()

    def _end_unpermitted(self) -> None:
        if self._permit.until_ms > float("-inf"):
            emit(log, Event.PERMIT_LOST, sessions=len(self._workers), token=self.token)
        for held in self._workers.values():
            held.session.cancel()
        self._workers.clear()
        self._outbox.clear()

    # What sessions learn.

    def may_act(self) -> bool:
        """Return whether the permit is valid now."""
        return self._permit.is_valid(monotonic_ms())

    def add_report(
        self, number: int, report: WorkerReport, sent_ms: float, lease_deadline_ms: int
    ) -> None:
        """Tell the owner what a worker reported."""
        if number in self._workers:
            requested_ms = self._permit.to_owner_ms(sent_ms)
            self._outbox.add_report(number, report, requested_ms, lease_deadline_ms)

    def add_silence(self, silence: WorkerSilence) -> None:
        """Tell the owner that a worker does not answer."""
        if silence.session in self._workers:
            self._outbox.add_silence(silence)

    async def _send_events(self, events: SessionEvents) -> None:
        try:
            await self._notify_owner(attrs.evolve(events, node=self._node, token=self.token))
        except LinkClosedError as exc:
            # The owner gives this holder up and learns the same through other sessions.
            log.debug("events for the owner are lost: %s", exc)

    def _spawn(self, coro: Any) -> None:
        task = create_logged_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
