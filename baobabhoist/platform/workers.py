"""Send commands to the platform's workers and parse their reports."""

from __future__ import annotations

import logging
import re
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
from baobabhoist.observability.events import Event, emit
from baobabhoist.platform import fields
from baobabhoist.platform.fields import FieldError
from baobabhoist.platform.http_client import HttpClient, HttpResponse
from baobabhoist.platform.known_problems import KnownProblems

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_S = 0.7
RENEW_TIMEOUT_MARGIN_S = 0.8
# A report lists at most this many ends; a list of this length may be cut short.
MAX_ENDS_PER_REPORT = 500
TARGET_INSTANCE_HEADER = "X-Target-Instance"
HTTP_CONFLICT = 409
# The status of a response that did not arrive.
NO_RESPONSE = 0

_OUTCOME_BY_STATUS = {
    NO_RESPONSE: CommandOutcome.UNKNOWN,
    200: CommandOutcome.OK,
    400: CommandOutcome.BAD,
    421: CommandOutcome.WRONG_LIFETIME,
    429: CommandOutcome.UNHEALTHY,
    503: CommandOutcome.UNHEALTHY,
}
_OUTCOME_BY_REASON = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.OLD,
    "late": CommandOutcome.LATE,
    "room": CommandOutcome.NO_ROOM,
    "ticket": CommandOutcome.NO_TICKET,
}


class PlatformWorkerDriver:
    """Control workers over their HTTP interface."""

    def __init__(self, command_http: HttpClient, renewal_http: HttpClient) -> None:
        self._command_http = command_http
        # Renewals wait at the workers and would leave few connections for commands.
        self._renewal_http = renewal_http
        self._unreadable_reports = KnownProblems()
        self._unanswered_commands = KnownProblems()

    async def renew(
        self, worker: WorkerInfo, token: int, acked_end: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport | CommandOutcome:
        """Renew the lease of a worker and return its active and ended runs."""
        body: dict[str, Any] = {"fencingToken": token, "ackCursor": acked_end}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        timeout_s = wait_ms / 1000 + RENEW_TIMEOUT_MARGIN_S
        response = await self._send(worker, "/-/hold", body, timeout_s, self._renewal_http)
        if response.status != 200:
            return _command_outcome(response)
        try:
            report = _parse_report(response)
        except (ValueError, IndexError) as exc:
            if self._unreadable_reports.is_new(worker.worker_id, str(exc)):
                log.warning("cannot parse the report of worker %s: %s", worker.worker_id, exc)
            return CommandOutcome.UNKNOWN
        self._unreadable_reports.forget(worker.worker_id)
        return report

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
        return await self._send_command(worker, "start", "/-/run-start", body)

    async def stop(self, worker: WorkerInfo, token: int, command: StopTask) -> CommandResponse:
        """Stop a run."""
        body = {"task": command.task.to_text(), "runId": command.run, "fencingToken": token}
        return await self._send_command(worker, "stop", "/-/run-stop", body)

    async def _send_command(
        self, worker: WorkerInfo, name: str, path: str, body: dict[str, Any]
    ) -> CommandResponse:
        response = await self._send(worker, path, body, COMMAND_TIMEOUT_S, self._command_http)
        self._log_unanswered(worker, name, response)
        return _command_response(response)

    def _log_unanswered(self, worker: WorkerInfo, name: str, response: HttpResponse) -> None:
        """Log why commands of one kind get no answer, once until one is answered."""
        key = f"{name} {worker.worker_id}"
        if response.status != NO_RESPONSE:
            self._unanswered_commands.forget(key)
        elif self._unanswered_commands.is_new(key, _without_numbers(response.reason)):
            emit(
                log,
                Event.COMMAND_UNANSWERED,
                worker=worker.worker_id,
                command=name,
                detail=response.reason,
            )

    async def _send(
        self,
        worker: WorkerInfo,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        http: HttpClient,
    ) -> HttpResponse:
        headers = {TARGET_INSTANCE_HEADER: worker.worker_id}
        return await http.request(
            "POST", worker.address, path, body, timeout_s=timeout_s, headers=headers
        )


def _command_response(response: HttpResponse) -> CommandResponse:
    return CommandResponse(_command_outcome(response))


def _command_outcome(response: HttpResponse) -> CommandOutcome:
    if response.status == HTTP_CONFLICT:
        reason = response.field("reason")
        # Other values may not be hashable.
        known_reason = reason if isinstance(reason, str) else ""
        return _OUTCOME_BY_REASON.get(known_reason, CommandOutcome.BAD)
    # Another error of a server says nothing of what was done.
    other = CommandOutcome.UNKNOWN if response.is_server_error else CommandOutcome.BAD
    return _OUTCOME_BY_STATUS.get(response.status, other)


def _parse_report(response: HttpResponse) -> WorkerReport:
    """Return the report in a response; raises ValueError or IndexError if it is malformed."""
    running, finished = _rows(response, "running"), _rows(response, "finished")
    return WorkerReport(
        fields.integer(response.field("clockMs"), "clockMs"),
        fields.integer(response.field("born", 0), "born"),
        tuple(filter(None, map(_parse_active_run, running))),
        tuple(filter(None, map(_parse_ended_run, finished))),
        len(finished) >= MAX_ENDS_PER_REPORT,
    )


def _rows(response: HttpResponse, name: str) -> list[Any]:
    rows = response.field(name) or []
    if not isinstance(rows, list) or not all(isinstance(row, list) for row in rows):
        raise FieldError(f"{name} is not a list of rows")
    return rows


def _parse_active_run(row: list[Any]) -> ActiveRun | None:
    # Fields: task, run, latest checkpoint, percent done, approximate load of the last 0.5 s.
    task = TaskKey.parse(fields.text(row[0], "task"))
    if task is None:
        return None
    return ActiveRun(
        task,
        fields.integer(row[1], "run"),
        fields.text(row[2], "saved"),
        _signed(row[3], "percent"),
        _signed(row[4], "load") if len(row) > 4 else 0.0,
    )


def _parse_ended_run(row: list[Any]) -> EndedRun | None:
    task = TaskKey.parse(fields.text(row[1], "task"))
    if task is None:
        return None
    return EndedRun(
        fields.integer(row[0], "N"),
        task,
        fields.integer(row[2], "run"),
        RunOutcome(fields.text(row[3], "how")),
        fields.text(row[4], "saved"),
    )


def _without_numbers(reason: str) -> str:
    """Return a reason without the times in it, so that it equals others of its kind."""
    return re.sub(r"[0-9]+", "", reason)


def _signed(value: Any, name: str) -> float:
    return fields.number(value, name, -fields.MAX_INTEGER)
