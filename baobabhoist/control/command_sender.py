"""Send the commands of a cell to workers and to the placement adviser."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

import attrs

from baobabhoist.cell.model import (
    Command,
    CommandOutcome,
    RequestAdvice,
    StartTask,
    StopTask,
)
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control.advice import AdviceDispatcher
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.sessions.pool import SessionPool
from baobabhoist.control.task_supervisor import TaskSupervisor, result_or
from baobabhoist.control.waiting_report import WaitingReporter
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

ADVICE_RETRY_INTERVAL_S = 0.15


@attrs.frozen(eq=False)
class CommandSender:
    """Send each command in a task of its own, and apply its outcome to the cell."""

    sessions: SessionPool
    advice_dispatcher: AdviceDispatcher
    metrics: NodeMetrics
    waiting_reporter: WaitingReporter
    tasks: TaskSupervisor
    # Returns whether leases may be renewed; tasks start only while they may.
    may_renew: Callable[[], bool]
    # Called after each outcome, because it may let other tasks start.
    request_scheduling_round: Callable[[], None]

    def send(self, cell: CellScheduler, command: Command) -> None:
        """Send a command in the background, unless the owner has stopped."""
        if not self.tasks.is_stopped:
            self.tasks.spawn(self._SENDERS[type(command)](self, cell, command))

    async def _send_start(self, cell: CellScheduler, command: StartTask) -> None:
        # This process may have been suspended since the run was stored.
        if not self.may_renew() or not cell.should_send_start(command, monotonic_ms()):
            return
        self._observe_wait(cell, command)
        outcome = await self._call_start(cell, command)
        if outcome is CommandOutcome.UNKNOWN and self._may_repeat_start(cell, command):
            outcome = await self._repeat_start(cell, command)
        cell.handle_start_result(command, outcome, monotonic_ms())
        self.request_scheduling_round()

    def _may_repeat_start(self, cell: CellScheduler, command: StartTask) -> bool:
        is_permitted = self.may_renew() and not self.tasks.is_stopped
        return is_permitted and cell.may_repeat_start(command, monotonic_ms())

    async def _repeat_start(self, cell: CellScheduler, command: StartTask) -> CommandOutcome:
        """Send an unanswered start command again; return the outcome of both together."""
        emit(
            log,
            Event.START_REPEATED,
            **command.log_fields(),
        )
        cell.record_repeated_start(command, monotonic_ms())
        outcome = await self._call_start(cell, command)
        if outcome is CommandOutcome.FENCED:
            cell.mark_fenced()
        if outcome is CommandOutcome.OK:
            return CommandOutcome.OK
        # Any other answer leaves open what the first start has done or may still do.
        return CommandOutcome.UNKNOWN

    async def _call_start(self, cell: CellScheduler, command: StartTask) -> CommandOutcome:
        sent_ms = monotonic_ms()
        outcome = await result_or(self.sessions.start_task(command), CommandOutcome.UNKNOWN)
        self.waiting_reporter.starts[outcome] += 1
        duration_ms = monotonic_ms() - sent_ms
        self.metrics.observe_worker_call("start", outcome.value, duration_ms / 1000)
        if outcome is not CommandOutcome.OK:
            self.metrics.count_failed_start(outcome)
        cell.record_start_answer(outcome, duration_ms, monotonic_ms())
        return outcome

    def _observe_wait(self, cell: CellScheduler, command: StartTask) -> None:
        job = cell.find_job(command.task.job_id)
        step = job.find_step(command.task) if job is not None else None
        if job is not None and step is not None:
            waited_s = (monotonic_ms() - step.ready_since_ms) / 1000
            self.metrics.observe_wait(job.accepted.team, job.accepted.queue, waited_s)

    async def _send_stop(self, cell: CellScheduler, command: StopTask) -> None:
        outcome = await result_or(self.sessions.stop_task(command), CommandOutcome.UNKNOWN)
        cell.handle_stop_result(command, outcome, monotonic_ms())
        self.request_scheduling_round()

    async def _ask_adviser(self, cell: CellScheduler, query: RequestAdvice) -> None:
        advice = await result_or(self.advice_dispatcher.ask(query), None)
        now = monotonic_ms()
        if advice is None:
            cell.handle_advice_failure(query.step, now + ADVICE_RETRY_INTERVAL_S * 1000)
        else:
            cell.handle_advice(query.step, query.workers, advice.tickets, now + advice.valid_ms)
        self.request_scheduling_round()

    _SENDERS: ClassVar[
        dict[type[Command], Callable[[Any, CellScheduler, Any], Coroutine[Any, Any, None]]]
    ] = {
        StartTask: _send_start,
        StopTask: _send_stop,
        RequestAdvice: _ask_adviser,
    }
