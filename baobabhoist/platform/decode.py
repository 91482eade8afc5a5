"""Decode what operators, workers and callers write on the platform into the product's types."""

from __future__ import annotations

import logging
from typing import Any

import orjson

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

log = logging.getLogger(__name__)

PAYLOAD_MAX_BYTES = 4_000
# The progress of all tasks of a job must fit into one row of the store.
TASKS_MAX = 1_000
STEPS_MAX = 1_000
BODY_MAX_BYTES = 1 << 20
LARGEST_NUMBER = 1 << 53


class FieldError(ValueError):
    """Report a field that is missing or of another type."""


class PlatformDecoder:
    """Read the platform's JSON."""

    tables = ExternalTables(operator="op", config_key="config", directory="servers")

    def decode_config(self, value: bytes) -> CellConfig | None:
        """Return a configuration, or None if it cannot be read."""
        try:
            return _config(_object(value))
        except FieldError as exc:
            emit(
                log,
                Event.ROW_UNREADABLE,
                table=self.tables.operator,
                row=self.tables.config_key,
                detail=exc,
            )
            return None

    def decode_worker(self, worker_id: str, value: bytes) -> WorkerInfo | None:
        """Return an entry of the directory, or None if it names no usable worker."""
        try:
            return _worker(worker_id, _object(value))
        except FieldError as exc:
            emit(log, Event.ROW_UNREADABLE, table=self.tables.directory, row=worker_id, detail=exc)
            return None

    def decode_job(self, body: bytes) -> JobSpec | Refusal:
        """Return a job as its caller described it, or what is wrong with it."""
        try:
            return _job(_object(body))
        except FieldError as exc:
            return Refusal(
                ErrorKind.BAD_REQUEST, f"the job cannot be read: {exc}", remedy="correct the body"
            )


def _object(value: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(value)
    except orjson.JSONDecodeError as exc:
        raise FieldError(f"not JSON: {exc}") from None
    if not isinstance(body, dict):
        raise FieldError("not a JSON object")
    return body


def _whole(body: dict[str, Any], name: str, low: int = 0, high: int = LARGEST_NUMBER) -> int:
    """Return a whole number; a field that is left out is 0."""
    value = body.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise FieldError(f"{name} is not a whole number")
    if not low <= value <= high:
        raise FieldError(f"{name} is {value}, outside {low} to {high}")
    return int(value)


def _number(body: dict[str, Any], name: str, default: float = 0.0) -> float:
    value = body.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} is not a number")
    return float(value)


def _text(body: dict[str, Any], name: str) -> str:
    value = body.get(name, "")
    if not isinstance(value, str):
        raise FieldError(f"{name} is not text")
    return value


def _flag(body: dict[str, Any], name: str) -> bool:
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name} is not true or false")
    return value


def _items(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name, [])
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldError(f"{name} is not a list")
    return value


def _objects(body: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = _items(body, name)
    if not all(isinstance(item, dict) for item in items):
        raise FieldError(f"{name} holds something that is no object")
    return items


def _part(body: dict[str, Any], name: str) -> dict[str, Any]:
    value = body.get(name, {})
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise FieldError(f"{name} is not an object")
    return value


def _room(body: dict[str, Any]) -> Resources:
    return Resources(_whole(body, "cpu"), _whole(body, "memMb"), _whole(body, "gpu"))


def _config(body: dict[str, Any]) -> CellConfig:
    routes = tuple(_route(entry) for entry in _objects(body, "routes"))
    tenants = _objects(body, "tenants")
    teams = {_text(entry, "name"): _team(entry) for entry in tenants}
    keys = {
        key: _text(entry, "name")
        for entry in tenants
        for key in _items(entry, "apiKeys")
        if isinstance(key, str)
    }
    version = _whole(body, "version")
    queues = {route.queue.name: route.queue for route in routes}
    limit = _whole(_part(body, "limits"), "maxBodyBytes") or BODY_MAX_BYTES
    return CellConfig(version, CellRules(version, queues, teams), routes, keys, limit)


def _route(entry: dict[str, Any]) -> Route:
    queue = Queue(
        _text(entry, "name"),
        _text(entry, "service"),
        _whole(entry, "priority"),
        _whole(entry, "maxAttempts") or 1,
        _number(entry, "slackFactor", 1.0),
        _whole(entry, "targetLatencyMs"),
        _flag(entry, "public"),
        _advice(_part(entry, "advice")),
    )
    return Route(_text(entry, "hostname"), _text(entry, "prefix"), queue)


def _advice(entry: dict[str, Any]) -> AdviceTerms | None:
    if not entry:
        return None
    return AdviceTerms(
        _number(entry, "decisionMs"), _number(entry, "perItemMs"), _whole(entry, "validityMs")
    )


def _team(entry: dict[str, Any]) -> Team:
    return Team(
        _text(entry, "name"), _number(entry, "weight", 1.0), _room(_part(entry, "maximum"))
    )


def _worker(worker_id: str, body: dict[str, Any]) -> WorkerInfo:
    state = _text(body, "state")
    if state not in ("ready", "draining"):
        raise FieldError(f"state is {state!r}")
    address = _text(body, "address")
    if ":" not in address or not _text(body, "service"):
        raise FieldError("address or service is missing")
    if "capacity" not in body or "zone" not in body:
        raise FieldError("capacity or zone is missing")
    labels = _items(body, "labels")
    return WorkerInfo(
        worker_id,
        _text(body, "service"),
        address,
        _text(body, "zone"),
        _room(_part(body, "capacity")),
        tuple(str(label) for label in labels),
        state == "draining",
        _whole(body, "born"),
        _whole(body, "remainingMs"),
    )


def _job(body: dict[str, Any]) -> JobSpec:
    payload = _text(body, "taskSpec")
    if len(payload.encode()) > PAYLOAD_MAX_BYTES:
        raise FieldError(f"taskSpec is longer than {PAYLOAD_MAX_BYTES} bytes")
    entries = _objects(body, "steps")
    if not 0 < len(entries) <= STEPS_MAX:
        raise FieldError(f"steps holds {len(entries)} entries, give 1 to {STEPS_MAX}")
    steps = tuple(_step(entry, number) for number, entry in enumerate(entries))
    tasks = sum(step.count for step in steps)
    if tasks > TASKS_MAX:
        raise FieldError(f"the steps have {tasks} tasks, give at most {TASKS_MAX}")
    return JobSpec(
        payload,
        steps,
        _whole(body, "repeatCount"),
        _whole(body, "firstRunMs"),
        _whole(body, "intervalMs"),
    )


def _step(entry: dict[str, Any], number: int) -> Step:
    after = tuple(_items(entry, "after"))
    if not all(type(other) is int and 0 <= other < number for other in after):
        raise FieldError(f"after of step {number} names no earlier step")
    return Step(
        _whole(entry, "count", 1, TASKS_MAX),
        _room(entry),
        _whole(entry, "estimatedMs"),
        after,
        _flag(entry, "gang"),
        _flag(entry, "sameRack"),
        _text(entry, "requirements"),
        _text(entry, "affinity"),
        _whole(entry, "maxPerServer"),
        _flag(entry, "speculative"),
        _flag(entry, "longRunning"),
        _flag(entry, "checkpointing"),
        _text(entry, "image"),
        _whole(entry, "targetMs"),
        _flag(entry, "fills"),
        _whole(entry, "mayMiss"),
    )
