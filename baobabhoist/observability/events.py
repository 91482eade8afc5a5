"""Define the numbered log events and format log records as text or JSON lines."""

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
    """Enumerate all log events with their number, level and message template.

    A number is never reused for another event. Its first two digits denote the package:
    10 daemon, 11 config, 15 cell, 16 control, 20 ownership, 30 quota, 40 records, 50 scheduling,
    60 peer, 70 upstream, 80 store and platform, 90 gateway, 91 inbound.
    """

    DAEMON_STARTED = (1001, logging.INFO, "instance {instance_id} started in {data_centre}")
    DAEMON_READY = (1002, logging.INFO, "instance is ready to accept requests")
    DRAIN_STARTED = (
        1003,
        logging.INFO,
        "draining the instance: {open_requests} requests are still open",
    )
    DRAIN_FINISHED = (1004, logging.INFO, "instance is drained and shuts down")
    INVARIANT_BREACH = (
        1005,
        logging.ERROR,
        "refused a step that would violate invariant {invariant}: {detail}",
    )
    TASK_CRASHED = (1006, logging.ERROR, "background task {task} failed: {detail}")
    SETTINGS_WARNING = (1101, logging.WARNING, "problem in the settings: {problem}")
    TLS_RELOADED = (1103, logging.INFO, "reloaded the TLS certificate {path}")
    TLS_RELOAD_FAILED = (
        1104,
        logging.WARNING,
        "cannot reload the TLS certificate {path}: {detail}",
    )
    SHARD_STATE = (2001, logging.INFO, "shard {shard} is {state} under token {token}")
    EPOCH_UNAVAILABLE = (
        2004,
        logging.WARNING,
        "shard {shard} is claimed by round because the table returned no epoch",
    )
    HAND_OVER_STARTED = (
        2006,
        logging.INFO,
        "handing over shard {shard} to instance {instance_id}",
    )
    HAND_OVER_FINISHED = (
        2007,
        logging.INFO,
        "handed over shard {shard} to instance {instance_id}",
    )
    ESCROW_MOVED = (
        3002,
        logging.INFO,
        "moved {places} places of team {team} from {source} to {target}",
    )
    ESCROW_MOVE_FAILED = (3003, logging.WARNING, "cannot move places of {team}: {detail}")
    TAKEOVER_CAP_LIFTED = (3005, logging.INFO, "shard {shard} may use its full escrow again")
    LIMIT_LOWERED = (
        3006,
        logging.INFO,
        "limit of team {team} lowered to {limit}, {excess} less than before",
    )
    RECORDS_LOADED = (4001, logging.INFO, "loaded records up to revision {revision}")
    RECORD_APPLIED = (4002, logging.INFO, "{kind} {name} is at revision {revision}")
    RECORD_CONFLICT = (
        4004,
        logging.INFO,
        "refused a change of {kind} {name}: a later revision exists",
    )
    TASK_PREEMPTED = (
        5001,
        logging.INFO,
        "preempting task {task_id} to free capacity for task or job {for_task_id}",
    )
    MESSAGE_DISCARDED = (6003, logging.WARNING, "discarded an invalid message: {detail}")
    LINK_REPLACED = (6004, logging.WARNING, "replacing the unresponsive link to worker {name}")
    INBOUND_LINK_CLOSED = (
        6030,
        logging.WARNING,
        "closed the connection from {address}: {reason}; {count} closed so far",
    )
    WORKER_CONNECTED = (7001, logging.INFO, "worker {worker} connected")
    WORKER_DISCONNECTED = (7002, logging.WARNING, "worker {worker} disconnected")
    WORKER_LEAVING = (7003, logging.INFO, "worker {worker} is leaving and receives no new work")
    TOKEN_REFUSED = (
        7004,
        logging.WARNING,
        "worker {worker} is fenced by the higher token {token}",
    )
    PLATFORM_DOWN = (8001, logging.WARNING, "platform is not responding: {detail}")
    COMMIT_READ_BACK = (8003, logging.INFO, "outcome of transaction {txn_id} read back: {state}")
    KEY_REFUSED = (9001, logging.INFO, "refused a team key on queue {queue}")
    CONNECTION_CLOSED = (
        9101,
        logging.WARNING,
        "closed a connection of a client ({reason}), {open} are open",
    )
    SETTINGS_RELOADED = (1105, logging.INFO, "reloaded the settings of instance {instance_id}")
    JOB_OWNED = (1501, logging.INFO, "took ownership of job {job} of team {team} on queue {queue}")
    JOB_ENDED = (1502, logging.INFO, "job {job} ended as {state}: {reason}")
    RUN_STARTED = (1503, logging.INFO, "starting run {run} of task {task} on worker {worker}")
    RUN_ENDED_EARLY = (1504, logging.INFO, "run {run} of task {task} ended early as {kind}")
    RUN_LOST = (
        1505,
        logging.WARNING,
        "lost run {run} of task {task} on worker {worker}: {reason}",
    )
    RUN_STALLED = (
        1506,
        logging.WARNING,
        "run {run} of task {task} on worker {worker} makes no progress",
    )
    START_REFUSED = (
        1507,
        logging.INFO,
        "worker {worker} refused run {run} of task {task}: {reason}",
    )
    START_UNANSWERED = (
        1508,
        logging.WARNING,
        "worker {worker} did not answer the start of run {run} of task {task}",
    )
    ORPHAN_STOPPED = (
        1509,
        logging.INFO,
        "stopping orphaned run {run} of task {task} on worker {worker}",
    )
    WORKER_LISTED = (
        1510,
        logging.INFO,
        "worker {worker} of service {service} is listed in the directory",
    )
    WORKER_UNLISTED = (1511, logging.INFO, "worker {worker} is no longer listed in the directory")
    WORKER_DRAINS = (1512, logging.INFO, "worker {worker} is leaving and receives no new tasks")
    WORKER_GONE = (1513, logging.INFO, "removed unlisted worker {worker}, which has no runs left")
    WORKER_FENCED = (1514, logging.INFO, "worker {worker} accepted the token of this owner")
    WORKER_RESTARTED = (1515, logging.WARNING, "worker {worker} restarted")
    WORKER_SET_ASIDE = (
        1516,
        logging.WARNING,
        "worker {worker} is excluded from placement: {reason}",
    )
    WORKER_ANSWERS = (1518, logging.INFO, "worker {worker} responds again")
    WORKER_SILENT = (1519, logging.WARNING, "worker {worker} is not responding: {reason}")
    WORKER_REPLACED = (
        1520,
        logging.WARNING,
        "worker {worker} has ended: {successor} answers at its address",
    )
    CRASH_BLAMED = (
        1521,
        logging.WARNING,
        "worker {worker} crashed with {count} tasks: {blame}",
    )
    EVACUATION_BEGUN = (
        1528,
        logging.WARNING,
        "data centre {data_centre} is being emptied: no task starts on its {workers} workers",
    )
    EVACUATION_ENDED = (
        1529,
        logging.INFO,
        "data centre {data_centre} is in use again, with {workers} workers",
    )
    TEAM_EXCESS_BEGAN = (
        1531,
        logging.INFO,
        "team {team} sends more than the {weight} jobs a second that it is entitled to",
    )
    TEAM_EXCESS_ENDED = (
        1532,
        logging.INFO,
        "team {team} sends no more than the {weight} jobs a second that it is entitled to",
    )
    TEAM_WEIGHT_INVALID = (
        1533,
        logging.WARNING,
        "weight {weight} of team {team} is not used, it must be a finite number from 0 to 1e6",
    )
    PAST_USE_RESTORED = (
        1534,
        logging.INFO,
        "restored the past use of {teams} teams, stored {age_ms} ms ago",
    )
    SPEED_CHANGED = (
        1540,
        logging.INFO,
        "worker {worker} takes {slowdown} times as long as the mean worker since its last report",
    )
    WORK_WASTED = (
        1541,
        logging.INFO,
        "run {run} of task {task} on worker {worker} threw away {core_s} core-seconds: {cause}",
    )
    RUN_PREEMPTED = (
        1542,
        logging.INFO,
        "stopping run {run} of task {task} on worker {worker} for job {winner}",
    )
    START_REPEATED = (
        1543,
        logging.INFO,
        "repeating the unanswered start of run {run} of task {task} on worker {worker}",
    )
    GIVEN_UP_RUN_LISTED = (
        1544,
        logging.WARNING,
        "worker {worker} works on run {run} of task {task}, given up {ms_ago} ms ago: {reason}",
    )
    RUNS_AWAITED = (
        1545,
        logging.WARNING,
        "{count} runs on silent worker {worker} are awaited for {until_ms} ms ({reason}): {runs}",
    )
    CLAIM_SEEN = (1601, logging.INFO, "instance {owner} holds the claim of version {version}")
    CLAIM_WON = (1602, logging.INFO, "won the claim with token {token}: {reason}")
    CLAIM_LOST = (1603, logging.WARNING, "lost the claim with token {token}: {reason}")
    CLAIM_FAILED = (1604, logging.WARNING, "writing the claim failed: {detail}")
    CLAIM_RELEASED = (1605, logging.INFO, "released the claim with token {token}")
    RELAY_REFUSED = (8010, logging.INFO, "peer cannot reach the store either: {detail}")
    CELL_LOADED = (1606, logging.INFO, "loaded {jobs} jobs and {workers} workers")
    LOAD_FAILED = (
        1607,
        logging.WARNING,
        "cannot load the cell, {missing} reads are missing: {detail}",
    )
    OWNER_SEEN = (1608, logging.INFO, "owner {owner} is {state}")
    CONFIG_IN_FORCE = (1609, logging.INFO, "configuration {version} is in force")
    READINESS = (1610, logging.INFO, "ready to accept calls: {ready}")
    JOB_STORED = (
        1611,
        logging.INFO,
        "storing job {job} of team {team} on queue {queue}: {outcome}",
    )
    CANCEL_STORED = (1612, logging.INFO, "storing the cancellation of job {job}: {outcome}")
    CALL_REFUSED = (1613, logging.INFO, "refused {method} {path} with status {status}: {reason}")
    CALL_FAILED = (1614, logging.ERROR, "call to {path} failed with status {status}")
    STATE_UNKNOWN = (1615, logging.WARNING, "state of job {job} is unavailable: {detail}")
    ADVICE_FAILED = (1616, logging.WARNING, "no advice on step {step} of job {job}: {detail}")
    STEPS_WAITING = (
        1617,
        logging.INFO,
        "{steps} steps with {tasks} tasks wait, step {oldest} for {waited_ms} ms: {reason}",
    )
    CELL_HANDED_OVER = (
        1618,
        logging.INFO,
        "handing the cell over to the larger instance {successor}",
    )
    LOOP_STALLED = (1619, logging.WARNING, "event loop ran {lag_ms} ms late")
    ADVICE_LATE = (
        1620,
        logging.INFO,
        "advice on step {step} of job {job} came {late_ms} ms later than expected",
    )
    SESSIONS_ASSIGNED = (1621, logging.INFO, "instance {node} holds {count} sessions with workers")
    SESSIONS_HELD = (1622, logging.INFO, "holding {count} sessions with workers, token {token}")
    HOLDER_LOST = (
        1623,
        logging.WARNING,
        "instance {node}, which held {sessions} sessions with workers, is lost",
    )
    PERMIT_LOST = (
        1624,
        logging.WARNING,
        "ended {sessions} sessions with workers: the owner has not renewed the permit",
    )
    ORDER_UNSENT = (
        1625,
        logging.INFO,
        "did not send the order for run {run} of task {task}: it is no longer permitted",
    )
    JOB_GIVEN_UP = (
        1626,
        logging.ERROR,
        "gave up job {job}, whose step {step} makes the scheduler fail: {detail}",
    )
    TOMBSTONE_STORED = (
        1627,
        logging.INFO,
        "storing that team {team} cancelled id {job}, which has no job: {outcome}",
    )
    TOMBSTONES_REMOVED = (
        1628,
        logging.INFO,
        "removed {count} expired tombstones of partition {partition}",
    )
    JOB_STANDS_STILL = (
        1629,
        logging.INFO,
        "nothing of job {job} has run for {stands_ms} ms, with {used_percent} % of the cell used",
    )
    LONG_WAIT_BEGAN = (
        1640,
        logging.WARNING,
        "new jobs of team {team} and priority {priority} would wait {late_ms} ms: {shortage}",
    )
    LONG_WAIT_ENDED = (
        1641,
        logging.INFO,
        "new jobs of team {team} and priority {priority} wait no longer for long: {shortage}",
    )
    TABLE_FOLLOWED = (8004, logging.INFO, "following table {table} from version {version}")
    TABLE_LOST = (8005, logging.WARNING, "cannot follow table {table}: {detail}")
    HISTORY_LOST = (
        8006,
        logging.INFO,
        "reading table {table} again, its history after version {version} is gone",
    )
    BACKLOG_TOO_LARGE = (
        8013,
        logging.INFO,
        "reading table {table} again, its changes since version {version} are larger",
    )
    WRITE_REFUSED = (8007, logging.WARNING, "store refused the write of {row}: {detail}")
    WRITE_UNANSWERED = (8008, logging.WARNING, "store did not answer the write of {row}: {detail}")
    ROW_UNREADABLE = (8009, logging.WARNING, "cannot read row {row} of table {table}: {detail}")
    CHECKPOINTS_NOT_STORED = (
        8011,
        logging.WARNING,
        "row {row} would have {size} bytes, so it is stored without the checkpoints of its tasks",
    )
    COMMAND_UNANSWERED = (
        8012,
        logging.WARNING,
        "worker {worker} leaves commands to {command} a run unanswered: {detail}",
    )
    OPERATOR_REFUSED = (9002, logging.WARNING, "refused an operator key from {address}")

    def __init__(self, number: int, level: int, template: str) -> None:
        self.number = number
        self.level = level
        self.template = template


class _FieldsWithPlaceholders(dict[str, Any]):
    """Supply a placeholder for each missing field, so that a log call never raises."""

    def __missing__(self, key: str) -> str:
        return f"<no {key}>"


def render_message(event: Event, fields: Mapping[str, Any]) -> str:
    """Format the message template of an event with its fields."""
    return event.template.format_map(_FieldsWithPlaceholders(fields))


def emit(
    log: logging.Logger, event: Event, /, *, exc_info: BaseException | None = None, **fields: Any
) -> None:
    """Log an event, with the traceback of `exc_info` if it is given.

    Fields that the event's template does not mention are attached to the record too.
    """
    if log.isEnabledFor(event.level):
        extra = {EVENT_ATTRIBUTE: event, FIELDS_ATTRIBUTE: fields}
        log.log(
            event.level,
            "%s",
            render_message(event, fields),
            exc_info=exc_info,
            extra=extra,
            stacklevel=2,
        )


def _timestamp(record: logging.LogRecord) -> str:
    timestamp = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return timestamp.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class TextFormatter(logging.Formatter):
    """Format a record as one line of text; line breaks inside the message are escaped."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        event: Event | None = getattr(record, EVENT_ATTRIBUTE, None)
        number = f" [{event.number}]" if event is not None else ""
        text = record.getMessage()
        if record.exc_info:
            text = f"{text}: {self.formatException(record.exc_info)}"
        text = text.replace("\r", "\\r").replace("\n", "\\n")
        return f"{_timestamp(record)} {record.levelname} {record.name}{number} {text}"


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
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
    """Write all log records as text or JSON to a stream, by default standard error.

    If `handler` is given, it is used instead of a handler for the stream.
    """
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if output_format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # At debug level, websockets logs every keepalive frame, which would drown all other records.
    logging.getLogger("websockets").setLevel(max(logging.INFO, root.level))
