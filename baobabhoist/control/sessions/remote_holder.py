"""Send the owner's orders to one holder, and match its results."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable

import attrs

from baobabhoist.cell.model import CommandOutcome, StartTask, StopTask
from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.sessions.batch_sender import BatchSender
from baobabhoist.control.sessions.messages import (
    AssignedWorker,
    EndsStored,
    LeaseResumed,
    OrderResult,
    SessionAssignment,
    SessionOrders,
    StartOrder,
    StopOrder,
    parse_outcome,
)
from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.link import Link

log = logging.getLogger(__name__)

# Orders of the same turn of the event loop go into one message.
ORDER_DELAY_S = 0.001
# A holder does not send a start that was ordered longer ago: the task may have ended meanwhile.
START_VALID_MS = 700.0
# Longest wait for the result of an order: the holder's own time-out and two messages.
RESULT_TIMEOUT_S = 1.5
UNKNOWN = CommandResponse(CommandOutcome.UNKNOWN)


@attrs.frozen
class ClosedSession:
    """Describe a session that its holder goes on with until it has applied a later assignment."""

    state: WorkerState
    # The last assignment that may name it.
    assignment: int
    # The owner's newest fencing token at that time. The next session with the worker may use it,
    # so this one must learn no higher one.
    token: int
    # The owner had not consented to extending the worker's lease.
    is_suspended: bool


@attrs.define
class _Batch:
    """Collect the orders of one message."""

    payload_positions: dict[str, int] = attrs.Factory(dict)
    starts: list[StartOrder] = attrs.Factory(list)
    stops: list[StopOrder] = attrs.Factory(list)
    stored: dict[int, EndsStored] = attrs.Factory(dict)
    resumed: list[LeaseResumed] = attrs.Factory(list)

    def to_message(self, token: int) -> SessionOrders:
        """Return the message."""
        return SessionOrders(
            token,
            tuple(self.payload_positions),
            tuple(self.starts),
            tuple(self.stops),
            tuple(self.stored.values()),
            tuple(self.resumed),
        )


class RemoteHolder:
    """Represent an instance that holds sessions; `on_lost` is called when its link fails."""

    def __init__(
        self, node: str, link: Link, token: int, lease_ms: float, on_lost: Callable[[str], None]
    ) -> None:
        self.node = node
        self.link = link
        # Until when the holder may act, on the owner's clock.
        self.permitted_until_ms = float("-inf")
        # When the holder last asked for a permit, or got its first sessions.
        self.heard_ms = 0.0
        # The workers whose sessions it holds, by session number.
        self.workers: dict[int, str] = {}
        # Sessions that it may still hold, although they were closed.
        self.closed_sessions: list[ClosedSession] = []
        # Its sessions have changed since the last assignment.
        self.needs_assignment = False
        self._token = token
        self._lease_ms = lease_ms
        self._on_lost = on_lost
        # The number of the last assignment, and its workers until it is sent.
        self._assignment_number = 0
        self._assignment: tuple[AssignedWorker, ...] | None = None
        self._batch = _Batch()
        self._sender = BatchSender(self._send_batch)
        self._results: dict[int, asyncio.Future[CommandResponse]] = {}
        self._numbers = itertools.count(1)

    def close(self) -> None:
        """Send nothing more; all orders without a result may have been carried out or not."""
        self._sender.stop()
        for result in self._results.values():
            if not result.done():
                result.set_result(UNKNOWN)
        self._results.clear()

    def assign(self, workers: tuple[AssignedWorker, ...], number: int) -> None:
        """Tell the holder all its sessions; the number is a new one."""
        self._assignment_number, self._assignment = number, workers
        self._sender.request(ORDER_DELAY_S)

    def close_session(
        self, number: int, state: WorkerState, token: int, is_suspended: bool
    ) -> None:
        """Remove a session; the holder ends it once it applies the next assignment."""
        self.workers.pop(number, None)
        self.closed_sessions.append(
            ClosedSession(state, self._assignment_number, token, is_suspended)
        )
        self.needs_assignment = True

    def record_applied_assignment(self, number: int) -> None:
        """Forget the sessions that the holder has ended; earlier releases name no assignment."""
        self.closed_sessions = [
            closed for closed in self.closed_sessions if 0 < number <= closed.assignment
        ]

    async def start_task(self, session: int, command: StartTask) -> CommandResponse:
        """Order the start of a run and return its result."""
        number, positions = next(self._numbers), self._batch.payload_positions
        position = positions.setdefault(command.payload, len(positions))
        order = StartOrder(
            number,
            session,
            command.task.to_text(),
            command.run,
            position,
            command.checkpoint,
            command.ticket,
            min(command.ticket_expires_ms, monotonic_ms() + START_VALID_MS),
        )
        self._batch.starts.append(order)
        return await self._wait_for_result(number)

    async def stop_task(self, session: int, command: StopTask) -> CommandResponse:
        """Order the stop of a run and return its result."""
        number = next(self._numbers)
        self._batch.stops.append(StopOrder(number, session, command.task.to_text(), command.run))
        return await self._wait_for_result(number)

    def acknowledge(self, stored: EndsStored) -> None:
        """Tell the holder which ends are stored."""
        self._batch.stored[stored.session] = stored
        self._sender.request(ORDER_DELAY_S)

    def resume(self, session: int, silence: int) -> None:
        """Consent to extending the lease of a worker that answers again."""
        self._batch.resumed.append(LeaseResumed(session, silence))
        self._sender.request(ORDER_DELAY_S)

    def handle_result(self, result: OrderResult) -> None:
        """Pass the result of an order to the task that waits for it."""
        waiting = self._results.get(result.number)
        if waiting is not None and not waiting.done():
            outcome = parse_outcome(result.outcome)
            waiting.set_result(CommandResponse(outcome, result.token))

    async def _wait_for_result(self, number: int) -> CommandResponse:
        self._sender.request(ORDER_DELAY_S)
        result: asyncio.Future[CommandResponse] = asyncio.get_running_loop().create_future()
        self._results[number] = result
        try:
            async with asyncio.timeout(RESULT_TIMEOUT_S):
                return await result
        except TimeoutError:
            return UNKNOWN
        finally:
            self._results.pop(number, None)

    async def _send_batch(self) -> None:
        assignment, self._assignment = self._assignment, None
        batch, self._batch = self._batch, _Batch()
        try:
            if assignment is not None:
                await self.link.notify(
                    SessionAssignment(
                        self._token, self._lease_ms, assignment, self._assignment_number
                    )
                )
            await self.link.notify(batch.to_message(self._token))
        except LinkClosedError as exc:
            log.debug("the link to the holder %s closed: %s", self.node, exc)
            self._on_lost(self.node)
