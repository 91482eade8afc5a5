"""Drive one worker: renew its lease, collect its reports and send it commands."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from baobabhoist.cell.model import (
    CommandOutcome,
    StartTask,
    StopTask,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.cell.workers import Lease
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, WorkerDriver
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_crash

log = logging.getLogger(__name__)

# Long-poll time of a renewal, in which the worker waits for a task to end.
RENEW_WAIT_MS = 1_000
RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 0.4
# Longest wait for a reported end to be stored. Until the end is acknowledged, the worker answers
# each renewal at once, so renewing meanwhile would be a busy loop.
ACK_TIMEOUT_S = 0.15
NOT_SENT = CommandResponse(CommandOutcome.LATE)
# Commands that are open at the same time. Each takes a connection, of which a worker holds few for
# all instances together, some of them until long after their sender has given them up.
MAX_OPEN_COMMANDS = 6
# A command that can't be sent within this time is returned: the worker leaves others unanswered.
COMMAND_WAIT_S = 0.1


class SessionListener(Protocol):
    """Hear what a session learns from its worker, and decide whether it may act."""

    @property
    def token(self) -> int:
        """Return the owner's newest fencing token."""

    @property
    def gets_higher_tokens(self) -> bool:
        """Return whether `token` rises while the owner stays; earlier releases keep it."""

    def may_renew(self) -> bool:
        """Return whether the lease may be extended now."""

    def handle_report(self, report: WorkerReport, sent_ms: float) -> None:
        """Handle a report that was requested at `sent_ms`."""

    def handle_silence(self, outcome: CommandOutcome) -> None:
        """Handle that the worker does not answer any more, so that its lease is not extended.

        The outcome is FENCED if it has seen a higher fencing token.
        """


class WorkerSession:
    """Make all calls to one worker."""

    def __init__(
        self,
        info: WorkerInfo,
        driver: WorkerDriver,
        listener: SessionListener,
        lease: Lease,
        lease_ms: float,
    ) -> None:
        self.info = info
        self.lease = lease
        # The fencing token of the calls. A higher one makes the worker refuse calls that were sent
        # before, which may otherwise reach a later process of it.
        self.token = 0
        self._needs_higher_token = True
        # The highest token under which this session, or one before, may have sent a deadline, a
        # start or an acknowledgement; a next process that sees no higher one may accept these.
        self._last_used_token = 0
        # The incarnation of the worker that the ends below belong to.
        self.started_unix_ms = 0
        self.last_seen_end = 0
        self.acked_end = 0
        self._driver = driver
        self._listener = listener
        self._lease_ms = lease_ms
        self._task: asyncio.Task[None] | None = None
        self._ends_acked = asyncio.Event()
        self._retry_requested = asyncio.Event()
        self._open_commands = asyncio.Semaphore(MAX_OPEN_COMMANDS)
        self._has_reported = False
        self._is_answering = True

    @property
    def _is_heard(self) -> bool:
        """Return whether this session has heard the worker's process and no call failed since.

        Otherwise the worker may have started again, with another clock and other numbers of ends.
        """
        return self._has_reported and self._is_answering

    @property
    def worker_id(self) -> str:
        """Return the id of the worker."""
        return self.info.worker_id

    def start(self) -> None:
        """Start to renew the lease in the background, unless that has begun."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def update_info(self, info: WorkerInfo) -> None:
        """Apply a directory entry; a process that has just started is called at once."""
        is_new_process = info.started_unix_ms != self.info.started_unix_ms
        self.info = info
        if is_new_process:
            self._retry_requested.set()

    def cancel(self) -> None:
        """Stop renewing the lease."""
        if self._task is not None:
            self._task.cancel()

    def acknowledge(self, started_unix_ms: int, acked_end: int) -> None:
        """Record that the ends of an incarnation are stored, up to a number."""
        if started_unix_ms == self.started_unix_ms and acked_end > self.acked_end:
            self.acked_end = acked_end
            self._ends_acked.set()

    def resume_from(self, started_unix_ms: int, acked_end: int, last_token: int) -> None:
        """Continue where an earlier session with the same incarnation ended.

        That session has used no token above `last_token`. If it never heard the worker, it has
        sent nothing that a next process may accept.
        """
        self.started_unix_ms = started_unix_ms
        self.acked_end = self.last_seen_end = acked_end
        self._last_used_token = last_token if started_unix_ms else 0

    async def start_task(self, command: StartTask) -> CommandResponse:
        """Send a start command if that is permitted and the process of the worker was heard."""
        if not await self._begin_command():
            return NOT_SENT
        try:
            return await self._send_start(command)
        finally:
            self._open_commands.release()

    async def _send_start(self, command: StartTask) -> CommandResponse:
        deadline_ms = self._next_deadline()
        if deadline_ms is None:
            return NOT_SENT
        token = self._last_used_token = self.token
        answer = await self._driver.start(self.info, token, command, deadline_ms)
        if self._is_fenced_by_itself(answer, token):
            return NOT_SENT
        return CommandResponse(answer.outcome, token)

    async def stop_task(self, command: StopTask) -> CommandResponse:
        """Send a stop command, also before the first renewal."""
        if not await self._begin_command():
            return CommandResponse(CommandOutcome.UNKNOWN)
        try:
            return await self._send_stop(command)
        finally:
            self._open_commands.release()

    async def _begin_command(self) -> bool:
        """Wait until one more command may be open; return whether it may before the time-out."""
        if not self._open_commands.locked():
            return await self._open_commands.acquire()
        try:
            async with asyncio.timeout(COMMAND_WAIT_S):
                return await self._open_commands.acquire()
        except TimeoutError:
            return False

    async def _send_stop(self, command: StopTask) -> CommandResponse:
        token = self.token or self._listener.token
        answer = await self._driver.stop(self.info, token, command)
        if self._is_fenced_by_itself(answer, token):
            return CommandResponse(CommandOutcome.UNKNOWN)
        return CommandResponse(answer.outcome, token)

    def _is_fenced_by_itself(self, answer: CommandResponse, token: int) -> bool:
        """Return whether a call was refused because this session has raised its token since."""
        return answer.outcome is CommandOutcome.FENCED and token < self.token

    def _raise_token(self) -> None:
        """Use the owner's newest fencing token if that is needed and it is higher."""
        token = self._listener.token
        if not self._needs_higher_token or token <= self.token:
            return
        self.token, self._needs_higher_token = token, False

    def _next_deadline(self) -> int | None:
        """Extend the lease if that is permitted, and return its deadline.

        A silent worker is offered no longer lease: its tasks can only restart elsewhere once the
        last deadline sent to it has passed.
        """
        # The process may be suspended at any line, so the lease counts from before the permission.
        now = monotonic_ms()
        if not self._is_heard or not self._listener.may_renew():
            return None
        return self.lease.extend_deadline(now, self._lease_ms)

    async def _run(self) -> None:
        delay_s = RETRY_INITIAL_S
        try:
            while True:
                if await self._try_renew():
                    delay_s = RETRY_INITIAL_S
                    continue
                await self._wait_for_retry(delay_s)
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
        finally:
            self._task = None

    async def _wait_for_retry(self, delay_s: float) -> None:
        self._retry_requested.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._retry_requested.wait()
        except TimeoutError:
            return

    async def _try_renew(self) -> bool:
        """Renew the lease once; a crash counts as a missing answer."""
        try:
            return await self._renew()
        except Exception as exc:
            log_crash(f"session of worker {self.worker_id}", exc)
            self._handle_failure(CommandOutcome.UNKNOWN)
            return False

    async def _renew(self) -> bool:
        """Renew the lease once; return whether the worker answered."""
        self._raise_token()
        has_unacked_ends = self.last_seen_end > self.acked_end
        is_heard = self._is_heard
        if is_heard:
            self._last_used_token = self.token
        may_wait = is_heard and not has_unacked_ends
        deadline_ms = self._next_deadline()
        sent_ms = monotonic_ms()
        # A worker that was silent, or not heard yet, may have started again under its id: a number
        # of its earlier incarnation would acknowledge ends that were never listed.
        acked_end = self.acked_end if is_heard else 0
        answer = await self._driver.renew(
            self.info,
            self.token,
            acked_end,
            deadline_ms,
            RENEW_WAIT_MS if may_wait else 0,
        )
        if not isinstance(answer, WorkerReport):
            self._handle_failure(answer)
            return False
        if self._has_restarted(answer) and self.token <= self._last_used_token:
            self._needs_higher_token = True
            if self._listener.gets_higher_tokens:
                # Only the answer to a call with a higher token shows what will run there.
                self._has_reported = False
                return self._listener.token > self.token
        self._handle_report(answer, sent_ms)
        if self.last_seen_end > self.acked_end:
            await self._wait_for_ack()
        return True

    def _handle_report(self, report: WorkerReport, sent_ms: float) -> None:
        if self._has_restarted(report):
            self._handle_restart(report.started_unix_ms)
        self.lease.update_clock(report.clock_ms, monotonic_ms())
        last_end = max((end.sequence_number for end in report.ended), default=0)
        self.last_seen_end = max(self.last_seen_end, last_end)
        self._ends_acked.clear()
        if not self._is_answering:
            self._is_answering = True
            emit(log, Event.WORKER_ANSWERS, worker=self.worker_id, reason="")
        self._has_reported = True
        self._listener.handle_report(report, sent_ms)

    def _has_restarted(self, report: WorkerReport) -> bool:
        return bool(report.started_unix_ms) and report.started_unix_ms != self.started_unix_ms

    def _handle_restart(self, started_unix_ms: int) -> None:
        """Forget the clock and the ends of the last incarnation, if there was one."""
        if self.started_unix_ms:
            self.lease.reset()
            self.acked_end = self.last_seen_end = 0
        self.started_unix_ms = started_unix_ms

    async def _wait_for_ack(self) -> None:
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await self._ends_acked.wait()
        except TimeoutError:
            log.debug("ended tasks of worker %s are not stored yet", self.worker_id)

    def _handle_failure(self, outcome: CommandOutcome) -> None:
        was_answering, self._is_answering = self._is_answering, False
        self._needs_higher_token = True
        if was_answering:
            emit(log, Event.WORKER_SILENT, worker=self.worker_id, reason=outcome.value)
        if was_answering or outcome is CommandOutcome.FENCED:
            self._listener.handle_silence(outcome)
