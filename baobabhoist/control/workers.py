"""Drive one worker: renew its lease, take its reports, give it orders."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from baobabhoist.cell.model import CommandOutcome, StartTask, StopTask, WorkerReport
from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.clock import boot_ms
from baobabhoist.control.interfaces import WorkerDriver
from baobabhoist.observability.events import Event, emit

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner

log = logging.getLogger(__name__)

# A renewal waits at the worker this long for an end.
WAIT_MS = 1_000
RETRY_S = 0.1
RETRY_MAX_S = 0.4
# While an end is not stored yet, the worker would answer each renewal at once.
ACK_WAIT_S = 0.15


class WorkerLoop:
    """Own the calls to one worker."""

    def __init__(
        self, owner: CellOwner, driver: WorkerDriver, state: WorkerState, lease_ms: float
    ) -> None:
        self.acked = asyncio.Event()
        self._owner = owner
        self._driver = driver
        self._state = state
        self._lease_ms = lease_ms
        self._task: asyncio.Task[None] | None = None
        self._answering = True

    def start(self) -> None:
        """Begin to renew the lease."""
        self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """Stop renewing."""
        if self._task is not None:
            self._task.cancel()

    async def start_task(self, order: StartTask) -> CommandOutcome:
        """Give an order to start."""
        deadline = self._deadline()
        if deadline is None:
            return CommandOutcome.LATE
        token = self._owner.ownership.token
        answer = await self._driver.start(self._state.info, token, order, deadline)
        if answer.clock_ms is not None:
            self._state.lease.update_clock(answer.clock_ms, boot_ms())
        return answer.outcome

    async def stop_task(self, order: StopTask) -> CommandOutcome:
        """Give an order to stop."""
        token = self._owner.ownership.token
        answer = await self._driver.stop(self._state.info, token, order)
        return answer.outcome

    def _deadline(self) -> int | None:
        return self._state.lease.extend_deadline(boot_ms(), self._lease_ms)

    async def _run(self) -> None:
        delay_s = RETRY_S
        try:
            while True:
                if await self._renew():
                    delay_s = RETRY_S
                    continue
                await asyncio.sleep(delay_s)
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
        finally:
            self._task = None

    async def _renew(self) -> bool:
        """Renew once; tell whether the worker answered."""
        state, cell = self._state, self._owner.cell
        if cell is None:
            return False
        behind = state.last_seen_end > state.last_acked_end
        wait_ms = WAIT_MS if state.has_accepted_token and self._answering and not behind else 0
        # A silent worker is offered no longer lease: its tasks wait for the end of the last one.
        may_extend = self._answering and self._owner.may_renew()
        deadline = self._deadline() if may_extend else None
        sent_ms = boot_ms()
        token = self._owner.ownership.token
        answer = await self._driver.renew(
            state.info, token, state.last_acked_end, deadline, wait_ms
        )
        if not isinstance(answer, WorkerReport):
            self._failed(answer)
            return False
        self._note_answering(True, "")
        cell.handle_report(state.worker_id, answer, sent_ms, boot_ms())
        self._owner.kick()
        if state.last_seen_end > state.last_acked_end:
            await self._wait_for_ack()
        return True

    async def _wait_for_ack(self) -> None:
        self._owner.progress.wake()
        self.acked.clear()
        try:
            async with asyncio.timeout(ACK_WAIT_S):
                await self.acked.wait()
        except TimeoutError:
            log.debug("the ends of %s are not stored yet", self._state.worker_id)

    def _failed(self, outcome: CommandOutcome) -> None:
        if outcome is CommandOutcome.FENCED and self._owner.cell is not None:
            self._owner.cell.mark_fenced()
            self._owner.kick()
        self._note_answering(False, outcome.value)

    def _note_answering(self, answering: bool, reason: str) -> None:
        if answering is self._answering:
            return
        self._answering = answering
        event = Event.WORKER_ANSWERS if answering else Event.WORKER_SILENT
        emit(log, event, worker=self._state.worker_id, reason=reason)
