"""Drive one worker: renew its lease, process its reports and send it commands."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from baobabhoist.cell.model import CommandOutcome, StartTask, StopTask, WorkerReport
from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import WorkerDriver
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_crash

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner

log = logging.getLogger(__name__)

# Long-poll time of a renewal, in which the worker waits for a task to end.
RENEW_WAIT_MS = 1_000
RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 0.4
# Longest wait for a reported end to be stored. Until the end is acknowledged, the worker answers
# each renewal at once, so renewing meanwhile would be a busy loop.
ACK_TIMEOUT_S = 0.15


class WorkerSession:
    """Make all calls to one worker."""

    def __init__(
        self, owner: CellOwner, driver: WorkerDriver, state: WorkerState, lease_ms: float
    ) -> None:
        self.ends_acked = asyncio.Event()
        self._owner = owner
        self._driver = driver
        self._state = state
        self._lease_ms = lease_ms
        self._task: asyncio.Task[None] | None = None
        self._is_answering = True

    def start(self) -> None:
        """Start to renew the lease in the background."""
        self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """Stop renewing the lease."""
        if self._task is not None:
            self._task.cancel()

    async def start_task(self, command: StartTask) -> CommandOutcome:
        """Send a start command, or return LATE while the worker's clock is unknown."""
        deadline_ms = self._next_deadline()
        if deadline_ms is None:
            return CommandOutcome.LATE
        token = self._owner.ownership.token
        answer = await self._driver.start(self._state.info, token, command, deadline_ms)
        if answer.clock_ms is not None:
            self._state.lease.update_clock(answer.clock_ms, monotonic_ms())
        return answer.outcome

    async def stop_task(self, command: StopTask) -> CommandOutcome:
        """Send a stop command."""
        token = self._owner.ownership.token
        answer = await self._driver.stop(self._state.info, token, command)
        return answer.outcome

    def _next_deadline(self) -> int | None:
        return self._state.lease.extend_deadline(monotonic_ms(), self._lease_ms)

    async def _run(self) -> None:
        delay_s = RETRY_INITIAL_S
        try:
            while True:
                if await self._try_renew():
                    delay_s = RETRY_INITIAL_S
                    continue
                await asyncio.sleep(delay_s)
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
        finally:
            self._task = None

    async def _try_renew(self) -> bool:
        """Renew the lease once; a crash counts as a missing answer."""
        try:
            return await self._renew()
        except Exception as exc:
            log_crash(f"session of worker {self._state.worker_id}", exc)
            self._set_answering(False, "the renewal failed")
            return False

    async def _renew(self) -> bool:
        """Renew the lease once; return whether the worker answered."""
        state, cell = self._state, self._owner.cell
        if cell is None:
            return False
        has_unacked_ends = state.last_seen_end > state.last_acked_end
        wait_ms = (
            RENEW_WAIT_MS
            if state.has_accepted_token and self._is_answering and not has_unacked_ends
            else 0
        )
        # A silent worker is offered no longer lease: its tasks can only restart elsewhere once
        # the last deadline sent to it has passed.
        may_extend = self._is_answering and self._owner.may_renew()
        deadline_ms = self._next_deadline() if may_extend else None
        sent_ms = monotonic_ms()
        token = self._owner.ownership.token
        answer = await self._driver.renew(
            state.info, token, state.last_acked_end, deadline_ms, wait_ms
        )
        if not isinstance(answer, WorkerReport):
            self._handle_failure(answer)
            return False
        self._set_answering(True, "")
        cell.handle_report(state.worker_id, answer, sent_ms, monotonic_ms())
        self._owner.request_scheduling_round()
        if state.last_seen_end > state.last_acked_end:
            await self._wait_for_ack()
        return True

    async def _wait_for_ack(self) -> None:
        self._owner.progress_writer.request_flush()
        self.ends_acked.clear()
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await self.ends_acked.wait()
        except TimeoutError:
            log.debug("ended tasks of worker %s are not stored yet", self._state.worker_id)

    def _handle_failure(self, outcome: CommandOutcome) -> None:
        if outcome is CommandOutcome.FENCED and self._owner.cell is not None:
            self._owner.cell.mark_fenced()
            self._owner.request_scheduling_round()
        self._set_answering(False, outcome.value)

    def _set_answering(self, is_answering: bool, reason: str) -> None:
        if is_answering is self._is_answering:
            return
        self._is_answering = is_answering
        event = Event.WORKER_ANSWERS if is_answering else Event.WORKER_SILENT
        emit(log, event, worker=self._state.worker_id, reason=reason)
