"""Give orders to the platform's workers and read their reports."""

from __future__ import annotations

import logging
from typing import Any

from baobabhoist.cell.model import (
    ActiveRun,
    CommandOutcome,
    EndedRun,
    RunOutcome,
    StartTask,
    StopTask,
    TaskKey,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.platform.http import Answer, HttpCaller

log = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 0.7
RENEW_SLACK_S = 0.8
LIFETIME_HEADER = "X-Target-Instance"

_BY_STATUS = {
    0: CommandOutcome.UNKNOWN,
    200: CommandOutcome.OK,
    400: CommandOutcome.BAD,
    421: CommandOutcome.WRONG_LIFETIME,
    429: CommandOutcome.UNHEALTHY,
    503: CommandOutcome.UNHEALTHY,
}
_BY_REASON = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.OLD,
    "late": CommandOutcome.LATE,
    "room": CommandOutcome.NO_ROOM,
    "ticket": CommandOutcome.NO_TICKET,
}
REFUSED_STATUS = 409


class PlatformWorkers:
    """Drive workers over their HTTP interface."""

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    async def renew(
        self, worker: WorkerInfo, token: int, acked_end: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport | CommandOutcome:
        """Renew the lease and return what runs and what ended."""
        body: dict[str, Any] = {"fencingToken": token, "ackCursor": acked_end}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        answer = await self._call(worker, "/-/hold", body, wait_ms / 1000 + RENEW_SLACK_S)
        if answer.status != 200:
            return _outcome(answer)
        report = _report(answer)
        return report if report is not None else CommandOutcome.UNKNOWN

    async def start(
        self, worker: WorkerInfo, token: int, command: StartTask, deadline_ms: int
    ) -> CommandResponse:
        """Start a run."""
        body: dict[str, Any] = {
            "task": command.task.to_text(),
            "runId": command.run,
            "taskSpec": command.payload,
            "deadlineMs": deadline_ms,
            "fencingToken": token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return _order_answer(await self._call(worker, "/-/run-start", body, ORDER_TIMEOUT_S))

    async def stop(self, worker: WorkerInfo, token: int, command: StopTask) -> CommandResponse:
        """Stop a run."""
        body = {"task": command.task.to_text(), "runId": command.run, "fencingToken": token}
        return _order_answer(await self._call(worker, "/-/run-stop", body, ORDER_TIMEOUT_S))

    async def _call(
        self, worker: WorkerInfo, path: str, body: dict[str, Any], timeout_s: float
    ) -> Answer:
        headers = {LIFETIME_HEADER: worker.worker_id}
        return await self._http.call(
            "POST", worker.address, path, body, timeout_s=timeout_s, headers=headers
        )


def _order_answer(answer: Answer) -> CommandResponse:
    clock = answer.field("clockMs")
    return CommandResponse(_outcome(answer), clock if isinstance(clock, int) else None)


def _outcome(answer: Answer) -> CommandOutcome:
    if answer.status == REFUSED_STATUS:
        return _BY_REASON.get(answer.field("reason", ""), CommandOutcome.BAD)
    return _BY_STATUS.get(answer.status, CommandOutcome.BAD)


def _report(answer: Answer) -> WorkerReport | None:
    """Return the lists in an answer, or None if they cannot be read."""
    try:
        return WorkerReport(
            int(answer.field("clockMs")),
            int(answer.field("born") or 0),
            tuple(filter(None, map(_running, answer.field("running") or ()))),
            tuple(filter(None, map(_end, answer.field("finished") or ()))),
        )
    except (TypeError, ValueError, IndexError) as exc:
        log.warning("a worker's report cannot be read: %s", exc)
        return None


def _running(row: list[Any]) -> ActiveRun | None:
    # Task, run, newest checkpoint, percent done, rough load of the last half second.
    task = TaskKey.parse(str(row[0]))
    if task is None:
        return None
    usage = float(row[4]) if len(row) > 4 else 0.0
    return ActiveRun(task, int(row[1]), str(row[2]), float(row[3]), usage)


def _end(row: list[Any]) -> EndedRun | None:
    task = TaskKey.parse(str(row[1]))
    if task is None:
        return None
    return EndedRun(int(row[0]), task, int(row[2]), RunOutcome(row[3]), str(row[4]))
