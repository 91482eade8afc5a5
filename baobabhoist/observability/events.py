"""Define the numbered log events and write them as text or JSON lines."""

from __future__ import annotations

import datetime
import enum
import logging
import sys
from collections.abc import Mapping
from typing import Any, TextIO

import orjson

EVENT_ATTRIBUTE = "baobabhoist_event"
FIELDS_ATTRIBUTE = "baobabhoist_fields"


class Event(enum.Enum):
    """List every event with its number, level and message.

    A number is never used again for another event. Hundreds group them by package: 10 daemon,
    11 config, 20 ownership, 30 quota, 40 records, 50 scheduling, 60 peer, 70 upstream,
    80 store and platform, 90 gateway, 15 cell, 16 control.
    """

    DAEMON_STARTED = (1001, logging.INFO, "instance {instance_id} started in {data_centre}")
    DAEMON_READY = (1002, logging.INFO, "the instance is ready for callers")
    DRAIN_STARTED = (1003, logging.INFO, "the instance drains: {open_requests} requests are open")
    DRAIN_FINISHED = (1004, logging.INFO, "the instance is drained and stops")
    INVARIANT_BREACH = (1005, logging.ERROR, "invariant {invariant} would break: {detail}")
    TASK_CRASHED = (1006, logging.ERROR, "an internal task failed: {detail}")
    SETTINGS_WARNING = (1101, logging.WARNING, "settings: {problem}")
    TLS_RELOADED = (1103, logging.INFO, "the certificate {path} was loaded again")
    TLS_RELOAD_FAILED = (1104, logging.WARNING, "cannot load the certificate {path}: {detail}")
    SHARD_STATE = (2001, logging.INFO, "shard {shard} is {state} under {token}")
    EPOCH_UNAVAILABLE = (
        2004,
        logging.WARNING,
        "shard {shard} is claimed by round, because the table gave no epoch",
    )
    HAND_OVER_STARTED = (2006, logging.INFO, "shard {shard} is handed over to {instance_id}")
    HAND_OVER_FINISHED = (2007, logging.INFO, "shard {shard} was handed over to {instance_id}")
    ESCROW_MOVED = (
        3002,
        logging.INFO,
        "{places} places of {team} moved from {source} to {target}",
    )
    ESCROW_MOVE_FAILED = (3003, logging.WARNING, "places of {team} were not moved: {detail}")
    TAKEOVER_CAP_LIFTED = (3005, logging.INFO, "shard {shard} has its full escrow again")
    LIMIT_LOWERED = (3006, logging.INFO, "the limit of {team} is now {limit}; {excess} must stop")
    RECORDS_LOADED = (4001, logging.INFO, "records up to revision {revision} were loaded")
    RECORD_APPLIED = (4002, logging.INFO, "{kind} {name} is at revision {revision}")
    RECORD_CONFLICT = (4004, logging.INFO, "a change of {kind} {name} met a later revision")
    TASK_PREEMPTED = (5001, logging.INFO, "task {task_id} makes room for {for_task_id}")
    MESSAGE_DISCARDED = (6003, logging.WARNING, "a message was discarded: {detail}")
    LINK_REPLACED = (6004, logging.WARNING, "the silent link to {name} was replaced")
    WORKER_CONNECTED = (7001, logging.INFO, "worker {worker} is connected")
    WORKER_DISCONNECTED = (7002, logging.WARNING, "worker {worker} is not connected")
    WORKER_LEAVING = (7003, logging.INFO, "worker {worker} leaves and gets no new work")
    TOKEN_REFUSED = (7004, logging.WARNING, "worker {worker} obeys the higher token {token}")
    PLATFORM_DOWN = (8001, logging.WARNING, "the platform does not answer: {detail}")
    COMMIT_READ_BACK = (8003, logging.INFO, "transaction {txn_id} was read back: {state}")
    KEY_REFUSED = (9001, logging.INFO, "a team key was refused on queue {queue}")
    SETTINGS_RELOADED = (1105, logging.INFO, "the settings of {instance_id} were read again")
    JOB_OWNED = (1501, logging.INFO, "job {job} of {team} on {queue} is owned here")
    JOB_ENDED = (1502, logging.INFO, "job {job} is {state}: {reason}")
    RUN_STARTED = (1503, logging.INFO, "run {run} of {task} starts on {worker}")
    RUN_ENDED_EARLY = (1504, logging.INFO, "run {run} of {task} ended as {kind}")
    RUN_LOST = (1505, logging.WARNING, "run {run} of {task} on {worker} is gone: {reason}")
    RUN_STALLED = (1506, logging.WARNING, "run {run} of {task} on {worker} makes no progress")
    START_REFUSED = (1507, logging.INFO, "{worker} refused run {run} of {task}: {reason}")
    START_UNANSWERED = (1508, logging.WARNING, "{worker} did not answer run {run} of {task}")
    ORPHAN_STOPPED = (1509, logging.INFO, "run {run} of {task} on {worker} is not wanted")
    WORKER_LISTED = (1510, logging.INFO, "worker {worker} of {service} is listed")
    WORKER_UNLISTED = (1511, logging.INFO, "worker {worker} is no longer listed")
    WORKER_DRAINS = (1512, logging.INFO, "worker {worker} leaves and gets no new tasks")
    WORKER_GONE = (1513, logging.INFO, "worker {worker} is gone")
    WORKER_FENCED = (1514, logging.INFO, "worker {worker} obeys this owner")
    WORKER_RESTARTED = (1515, logging.WARNING, "worker {worker} started again")
    WORKER_SET_ASIDE = (1516, logging.WARNING, "worker {worker} gets no tasks: {reason}")
    WORKER_ANSWERS = (1518, logging.INFO, "worker {worker} answers again")
    WORKER_SILENT = (1519, logging.WARNING, "worker {worker} does not answer: {reason}")
    CLAIM_SEEN = (1601, logging.INFO, "{owner} has the claim of version {version}")
    CLAIM_WON = (1602, logging.INFO, "the claim is won with token {token}: {reason}")
    CLAIM_LOST = (1603, logging.WARNING, "the claim of token {token} is lost: {reason}")
    CLAIM_FAILED = (1604, logging.WARNING, "the claim failed: {detail}")
    CLAIM_RELEASED = (1605, logging.INFO, "the claim of token {token} is released")
    RELAY_REFUSED = (8010, logging.INFO, "a peer does not reach the store either: {detail}")
    CELL_LOADED = (1606, logging.INFO, "{jobs} jobs and {workers} workers are loaded")
    LOAD_FAILED = (1607, logging.WARNING, "{missing} readings of the cell are missing: {detail}")
    OWNER_SEEN = (1608, logging.INFO, "the owner {owner} is {state}")
    CONFIG_IN_FORCE = (1609, logging.INFO, "configuration {version} is in force")
    READINESS = (1610, logging.INFO, "ready for callers: {ready}")
    JOB_STORED = (1611, logging.INFO, "storing job {job} of {team} on {queue}: {outcome}")
    CANCEL_STORED = (1612, logging.INFO, "storing the cancellation of job {job}: {outcome}")
    CALL_REFUSED = (1613, logging.INFO, "{method} {path} is answered {status}: {reason}")
    CALL_FAILED = (1614, logging.ERROR, "a call to {path} failed with {status}")
    STATE_UNKNOWN = (1615, logging.WARNING, "the state of job {job} cannot be found: {detail}")
    ADVICE_FAILED = (1616, logging.WARNING, "no advice on step {step} of {job}: {detail}")
    TABLE_FOLLOWED = (8004, logging.INFO, "table {table} is followed from version {version}")
    TABLE_LOST = (8005, logging.WARNING, "table {table} cannot be followed: {detail}")
    HISTORY_LOST = (8006, logging.INFO, "table {table} is read again after version {version}")
    WRITE_REFUSED = (8007, logging.WARNING, "the store refused {row}: {detail}")
    WRITE_UNANSWERED = (8008, logging.WARNING, "the store did not answer for {row}: {detail}")
    ROW_UNREADABLE = (8009, logging.WARNING, "row {row} of {table} cannot be read: {detail}")
    OPERATOR_REFUSED = (9002, logging.WARNING, "an operator key was refused from {address}")

    def __init__(self, number: int, level: int, template: str) -> None:
        self.number = number
        self.level = level
        self.template = template


class _FieldsWithPlaceholders(dict[str, Any]):
    """Fill a field that the caller left out, so that a log call never raises."""

    def __missing__(self, key: str) -> str:
        return f"<no {key}>"


def render_message(event: Event, fields: Mapping[str, Any]) -> str:
    """Return the message of an event with its fields filled in."""
    return event.template.format_map(_FieldsWithPlaceholders(fields))


def emit(log: logging.Logger, event: Event, /, **fields: Any) -> None:
    """Log an event with its fields; fields that are not in the message are logged too."""
    if log.isEnabledFor(event.level):
        extra = {EVENT_ATTRIBUTE: event, FIELDS_ATTRIBUTE: fields}
        log.log(event.level, "%s", render_message(event, fields), extra=extra, stacklevel=2)


def _timestamp(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class TextFormatter(logging.Formatter):
    """Write a record as one line; line breaks inside a message are escaped."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        event: Event | None = getattr(record, EVENT_ATTRIBUTE, None)
        number = f" [{event.number}]" if event is not None else ""
        text = record.getMessage()
        if record.exc_info:
            text = f"{text}: {self.formatException(record.exc_info)}"
        text = text.replace("\r", "\\r").replace("\n", "\\n")
        return f"{_timestamp(record)} {record.levelname} {record.name}{number} {text}"


class JsonFormatter(logging.Formatter):
    """Write a record as one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        entry: dict[str, Any] = {
            "time": _timestamp(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        event: Event | None = getattr(record, EVENT_ATTRIBUTE, None)
        if event is not None:
            entry["event"] = event.number
            entry["name"] = event.name.lower()
            entry["fields"] = getattr(record, FIELDS_ATTRIBUTE, {})
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(entry, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


def configure_logging(
    output_format: str,
    level: str,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Send all log records to a stream, standard error by default, as text or JSON.

    A `handler` of one's own takes the place of the stream.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if output_format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Keepalive frames at debug level would hide everything else.
    logging.getLogger("websockets").setLevel(max(logging.INFO, root.level))
