"""Decode the JSON of operators, workers and callers into cell and control types."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from baobabhoist.cell.evacuations import EvacuationChange
from baobabhoist.cell.model import (
    AdviceTerms,
    CellRules,
    JobSpec,
    Queue,
    Resources,
    Step,
    Team,
    WorkerInfo,
)
from baobabhoist.control.config import CellConfig, Route
from baobabhoist.control.interfaces import ExternalTables
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.observability.events import Event, emit
from baobabhoist.platform import fields
from baobabhoist.platform.entry_cache import EntryCache
from baobabhoist.platform.fields import FieldError
from baobabhoist.platform.known_problems import KnownProblems

log = logging.getLogger(__name__)

MAX_PAYLOAD_BYTES = 4_000
# Limited because the progress of all tasks of a job must fit into one row of the store.
MAX_TASKS = 1_000
MAX_STEPS = 1_000
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_COLD_MS = 600_000
EVACUATION_KEY_PREFIX = "evacuate/"
# The id goes into a header, and the host and port into a URL.
WORKER_ID = re.compile(r"[!-~]{1,200}")
ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}):([0-9]{1,5})")
MAX_PORT = 65_535

Decoded = TypeVar("Decoded")


class PlatformDecoder:
    """Decode configurations, directory entries and jobs from the platform's JSON."""

    tables = ExternalTables(operator="op", config_key="config", directory="servers")

    def __init__(self) -> None:
        self._unreadable = KnownProblems()
        # Those of fields without which an entry can be used.
        self._unreadable_hints = KnownProblems()
        # A change of the configuration leaves most of its routes as they were.
        self._routes = EntryCache(_parse_route)

    def decode_config(self, value: bytes) -> CellConfig | None:
        """Return a configuration, or None if it cannot be decoded."""
        return self._decode_row(
            self.tables.operator,
            self.tables.config_key,
            lambda: _parse_config(_parse_object(value), self._routes),
            self._unreadable,
        )

    def decode_evacuation(self, key: str, value: bytes | None) -> EvacuationChange | None:
        """Return whether a data centre is to be emptied, or None for a row on something else.

        The key alone tells that, so a value that cannot be read is only logged.
        """
        data_centre = key.removeprefix(EVACUATION_KEY_PREFIX)
        if data_centre == key:
            return None
        self._decode_row(
            self.tables.operator,
            key,
            lambda: _check_evacuation(data_centre, value),
            self._unreadable,
        )
        return EvacuationChange(data_centre, value is not None) if data_centre else None

    def decode_worker(self, worker_id: str, value: bytes) -> WorkerInfo | None:
        """Return a worker of the directory, or None if its entry cannot be decoded."""
        return self._decode_row(
            self.tables.directory,
            worker_id,
            lambda: self._parse_entry(worker_id, value),
            self._unreadable,
        )

    def _parse_entry(self, worker_id: str, value: bytes) -> WorkerInfo:
        body = _parse_object(value)
        return _parse_worker(worker_id, body, self._read_cold_ms(worker_id, body))

    def _read_cold_ms(self, worker_id: str, body: dict[str, Any]) -> int:
        """Return how long a worker stays cold; a malformed value does not make it unusable."""
        cold_ms = self._decode_row(
            self.tables.directory,
            worker_id,
            lambda: min(_int_field(body, "coldRemainingMs"), MAX_COLD_MS),
            self._unreadable_hints,
        )
        return cold_ms or 0

    def decode_job(self, body: bytes) -> JobSpec | Refusal:
        """Return the job in a request body, or a refusal that says what is wrong with it."""
        try:
            return _decode(lambda: _parse_job(_parse_object(body)))
        except FieldError as exc:
            return Refusal(
                ErrorKind.BAD_REQUEST, f"the job is not valid: {exc}", remedy="correct the body"
            )

    def _decode_row(
        self, table: str, row: str, parse: Callable[[], Decoded], problems: KnownProblems
    ) -> Decoded | None:
        """Return what was parsed, or log once why the row can't be read and return None."""
        try:
            decoded = _decode(parse)
        except FieldError as exc:
            if problems.is_new(f"{table}/{row}", str(exc)):
                emit(log, Event.ROW_UNREADABLE, table=table, row=row, detail=exc)
            return None
        problems.forget(f"{table}/{row}")
        return decoded


def _decode(parse: Callable[[], Decoded]) -> Decoded:
    """Return the decoded value; raises FieldError, also for faults that the parser overlooks."""
    try:
        return parse()
    except FieldError:
        raise
    except Exception as exc:
        raise FieldError(f"cannot be decoded: {exc!r}") from exc


def _parse_object(value: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(value)
    except orjson.JSONDecodeError as exc:
        raise FieldError(f"malformed JSON: {exc}") from None
    if not isinstance(body, dict):
        raise FieldError("expected a JSON object")
    return body


def _int_field(
    body: dict[str, Any], name: str, low: int = 0, high: int = fields.MAX_INTEGER
) -> int:
    """Return an integer field, or 0 if it is absent."""
    return fields.integer(body.get(name, 0), name, low, high)


def _float_field(body: dict[str, Any], name: str, default: float = 0.0) -> float:
    return fields.number(body.get(name, default), name)


def _string_field(body: dict[str, Any], name: str) -> str:
    return fields.text(body.get(name, ""), name)


def _bool_field(body: dict[str, Any], name: str) -> bool:
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name} is not a boolean")
    return value


def _list_field(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name, [])
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldError(f"{name} is not a list")
    return value


def _object_list_field(body: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = _list_field(body, name)
    if not all(isinstance(item, dict) for item in items):
        raise FieldError(f"{name} contains an item that is not an object")
    return items


def _string_list_field(body: dict[str, Any], name: str) -> tuple[str, ...]:
    items = _list_field(body, name)
    if not all(isinstance(item, str) for item in items):
        raise FieldError(f"{name} contains an item that is not a string")
    return tuple(items)


def _object_field(body: dict[str, Any], name: str) -> dict[str, Any]:
    value = body.get(name, {})
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise FieldError(f"{name} is not an object")
    return value


def _resources(body: dict[str, Any]) -> Resources:
    return Resources(_int_field(body, "cpu"), _int_field(body, "memMb"), _int_field(body, "gpu"))


def _parse_config(body: dict[str, Any], route_cache: EntryCache[Route]) -> CellConfig:
    routes = route_cache.decode(_object_list_field(body, "routes"))
    tenants = _object_list_field(body, "tenants")
    teams = {_string_field(entry, "name"): _parse_team(entry) for entry in tenants}
    keys = {
        key: _string_field(entry, "name")
        for entry in tenants
        for key in _list_field(entry, "apiKeys")
        if isinstance(key, str)
    }
    version = _int_field(body, "version")
    queues = {route.queue.name: route.queue for route in routes}
    max_body_bytes = (
        _int_field(_object_field(body, "limits"), "maxBodyBytes") or DEFAULT_MAX_BODY_BYTES
    )
    return CellConfig(version, CellRules(version, queues, teams), routes, keys, max_body_bytes)


def _parse_route(entry: dict[str, Any]) -> Route:
    queue = Queue(
        _string_field(entry, "name"),
        _string_field(entry, "service"),
        _int_field(entry, "priority"),
        _int_field(entry, "maxAttempts") or 1,
        _float_field(entry, "slackFactor", 1.0),
        _int_field(entry, "targetLatencyMs"),
        _bool_field(entry, "public"),
        _parse_advice(_object_field(entry, "advice")),
    )
    return Route(_string_field(entry, "hostname"), _string_field(entry, "prefix"), queue)


def _parse_advice(entry: dict[str, Any]) -> AdviceTerms | None:
    if not entry:
        return None
    return AdviceTerms(
        _float_field(entry, "decisionMs"),
        _float_field(entry, "perItemMs"),
        _int_field(entry, "validityMs"),
    )


def _parse_team(entry: dict[str, Any]) -> Team:
    return Team(
        _string_field(entry, "name"),
        _float_field(entry, "weight"),
        _resources(_object_field(entry, "maximum")),
    )


def _check_evacuation(data_centre: str, value: bytes | None) -> bool:
    if not data_centre:
        raise FieldError("the row names no data centre")
    if value is not None:
        _parse_object(value)
    return True


def _parse_address(body: dict[str, Any]) -> str:
    address = _string_field(body, "address")
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise FieldError(f"address is {address!r}, not a host and a port up to {MAX_PORT}")
    return address


def _parse_worker(worker_id: str, body: dict[str, Any], cold_for_ms: int) -> WorkerInfo:
    if WORKER_ID.fullmatch(worker_id) is None:
        raise FieldError("the id contains other characters than visible ones of ASCII")
    state = _string_field(body, "state")
    if state not in ("ready", "draining"):
        raise FieldError(f"state is {state!r}, neither 'ready' nor 'draining'")
    address = _parse_address(body)
    if not _string_field(body, "service"):
        raise FieldError("service is missing")
    if "capacity" not in body or "zone" not in body:
        raise FieldError("capacity or zone is missing")
    return WorkerInfo(
        worker_id,
        _string_field(body, "service"),
        address,
        _string_field(body, "zone"),
        _resources(_object_field(body, "capacity")),
        _string_list_field(body, "labels"),
        state == "draining",
        _int_field(body, "born"),
        _int_field(body, "remainingMs"),
        cold_for_ms,
    )


def _parse_job(body: dict[str, Any]) -> JobSpec:
    payload = _string_field(body, "taskSpec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise FieldError(f"taskSpec is longer than {MAX_PAYLOAD_BYTES} bytes")
    entries = _object_list_field(body, "steps")
    if not 0 < len(entries) <= MAX_STEPS:
        raise FieldError(f"steps has {len(entries)} entries; it must have 1 to {MAX_STEPS}")
    steps = tuple(_parse_step(entry, index) for index, entry in enumerate(entries))
    tasks = sum(step.count for step in steps)
    if tasks > MAX_TASKS:
        raise FieldError(f"the steps have {tasks} tasks; at most {MAX_TASKS} are allowed")
    return JobSpec(
        payload,
        steps,
        _int_field(body, "repeatCount"),
        _int_field(body, "firstRunMs"),
        _int_field(body, "intervalMs"),
    )


def _parse_step(entry: dict[str, Any], index: int) -> Step:
    after = tuple(_list_field(entry, "after"))
    if not all(type(dependency) is int and 0 <= dependency < index for dependency in after):
        raise FieldError(f"after of step {index} lists something other than earlier steps")
    return Step(
        _int_field(entry, "count", 1, MAX_TASKS),
        _resources(entry),
        _int_field(entry, "estimatedMs"),
        after,
        _bool_field(entry, "gang"),
        _bool_field(entry, "sameRack"),
        _string_field(entry, "requirements"),
        _string_field(entry, "affinity"),
        _int_field(entry, "maxPerServer"),
        _bool_field(entry, "speculative"),
        _bool_field(entry, "longRunning"),
        _bool_field(entry, "checkpointing"),
        _string_field(entry, "image"),
        _int_field(entry, "targetMs"),
        _bool_field(entry, "fills"),
        _int_field(entry, "mayMiss"),
    )
