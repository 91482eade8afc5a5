"""Validate record bodies and convert them between schema versions.

The table and the view store canonical bodies, which have all fields of the typed class under the
names of its attributes. Bodies are converted to this form on input and from it on output.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs
import cattrs

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.model import WorkKind
from baobabhoist.records.kinds import (
    ALL_WORK_KINDS,
    DEFAULT_MAX_QUEUED,
    Key,
    Objective,
    Policy,
    PreemptAction,
    Queue,
    RecordKind,
    Shard,
    Team,
    TypedRecord,
)
from baobabhoist.records.validators import (
    ABSENT,
    Field,
    ObjectValidator,
    Problems,
    boolean,
    format_value,
    integer,
    list_of,
    mapping_of,
    number,
    object_of,
    one_of,
    optional,
    text,
)

NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
NAME_DESCRIPTION = "at most 63 lower-case letters, digits and inner hyphens"
# These bounds keep sums over a fleet of 10,000 workers well within 64 bits.
MAX_PLACES = 10_000_000
MAX_SHARE = 1_000_000.0
MAX_DEADLINE_S = 7 * 86_400.0
MAX_GRACE_S = 30 * 86_400.0
MAX_RETRIES = 100
MAX_DATA_CENTRES = 64
MAX_WORKERS_PER_SHARD = 1_000
MAX_CPU_MILLI = 10_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_SLOTS = 100_000
MAX_ACCELERATORS = 10_000
# A refusal lists at most this many problems, so that malformed input cannot inflate the response.
MAX_PROBLEMS = 100

Body = dict[str, Any]

_NAME = text(NAME_PATTERN, NAME_DESCRIPTION)
_NAME_OR_EMPTY = text(f"({NAME_PATTERN})?", f"{NAME_DESCRIPTION}, or an empty string")
# Data centres, racks and workers follow the rules of the settings, which allow dots in names.
_DOTTED_NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"
_DOTTED_NAME_DESCRIPTION = "at most 63 lower-case letters, digits, dots and hyphens"
_DOTTED_NAME = text(_DOTTED_NAME_PATTERN, _DOTTED_NAME_DESCRIPTION)
_DOTTED_NAME_OR_EMPTY = text(
    f"({_DOTTED_NAME_PATTERN})?", f"{_DOTTED_NAME_DESCRIPTION}, or an empty string"
)
_DIGEST = text(r"[0-9a-f]{64}", "the SHA-256 digest of the key as 64 lower-case hex digits")
_HOST = text(r"[A-Za-z0-9]([A-Za-z0-9.:-]{0,252}[A-Za-z0-9])?|::1?", "an IP address")
_KINDS = list_of(one_of(WorkKind), len(ALL_WORK_KINDS))
_PLACES = integer(0, MAX_PLACES)
_SHARE = number(0.001, MAX_SHARE)
_DEADLINE = number(0.001, MAX_DEADLINE_S)

_TEAM_1 = object_of({"limit": Field(_PLACES), "share": Field(_SHARE, 1.0)})
_CLASS_LIMITS = mapping_of(one_of(WorkKind), _PLACES)
_LIMITS = object_of({"total": Field(_PLACES), "classes": Field(_CLASS_LIMITS, {})})
_TEAM_2 = object_of({"limits": Field(_LIMITS), "share_weight": Field(_SHARE, 1.0)})
_KEY_1 = object_of(
    {
        "digest": Field(_DIGEST),
        "team": Field(_NAME_OR_EMPTY, ""),
        "operator": Field(boolean, False),
        "withdrawn": Field(boolean, False),
        "offline_grace_s": Field(optional(number(0.0, MAX_GRACE_S)), None),
    }
)
_QUEUE_COMMON = {
    "kinds": Field(_KINDS, ALL_WORK_KINDS),
    "default_deadline_s": Field(optional(_DEADLINE), None),
    "policy": Field(_NAME_OR_EMPTY, ""),
}
_MAX_QUEUED = Field(integer(1, MAX_PLACES), DEFAULT_MAX_QUEUED)
_QUEUE_1 = object_of(
    {
        **_QUEUE_COMMON,
        "open": Field(boolean, False),
        "data_centre": Field(_DOTTED_NAME_OR_EMPTY, ""),
        "max_queued": _MAX_QUEUED,
    }
)
_QUEUE_2 = object_of(
    {
        **_QUEUE_COMMON,
        "open_to_all": Field(boolean, False),
        "home_data_centres": Field(list_of(_DOTTED_NAME, MAX_DATA_CENTRES), ()),
        "max_queued_per_team": _MAX_QUEUED,
    }
)
_POLICY_1 = object_of(
    {
        "objective": Field(one_of(Objective), Objective.WAITING_TIME),
        "preemption": Field(boolean, False),
        "preempt_action": Field(one_of(PreemptAction), PreemptAction.CHECKPOINT),
        "retries": Field(integer(0, MAX_RETRIES), 1),
    }
)
_WORKER = object_of(
    {
        "name": Field(_DOTTED_NAME),
        "host": Field(_HOST),
        "port": Field(integer(1, 65_535)),
        "rack": Field(_DOTTED_NAME_OR_EMPTY, ""),
        "cpu_milli": Field(integer(1, MAX_CPU_MILLI)),
        "memory_mb": Field(integer(1, MAX_MEMORY_MB)),
        "accelerators": Field(integer(0, MAX_ACCELERATORS), 0),
        "slots": Field(integer(1, MAX_SLOTS)),
        "drain": Field(boolean, False),
    }
)
_SHARD_1 = object_of(
    {
        "data_centre": Field(_DOTTED_NAME),
        "workers": Field(list_of(_WORKER, MAX_WORKERS_PER_SHARD), ()),
    }
)


def _identity(body: Body) -> Body:
    return body


def _team_from_2(body: Body) -> Body:
    limits = body["limits"]
    return {
        "limit": limits["total"],
        "share": body["share_weight"],
        "class_limits": limits["classes"],
    }


def _team_to_1(body: Body) -> Body | None:
    # Version 1 shows only the overall limit; the limits per kind of work remain in force.
    return {"limit": body["limit"], "share": body["share"]}


def _team_to_2(body: Body) -> Body | None:
    limits = {"total": body["limit"], "classes": body["class_limits"]}
    return {"limits": limits, "share_weight": body["share"]}


def _queue_from_1(body: Body) -> Body:
    common = {name: body[name] for name in _QUEUE_COMMON}
    home_data_centres = (body["data_centre"],) if body["data_centre"] else ()
    return {
        **common,
        "open_to_all": body["open"],
        "home_data_centres": home_data_centres,
        "max_queued_per_team": body["max_queued"],
    }


def _queue_to_1(body: Body) -> Body | None:
    home_data_centres = body["home_data_centres"]
    if len(home_data_centres) > 1:
        return None
    return {
        **{name: body[name] for name in _QUEUE_COMMON},
        "open": body["open_to_all"],
        "data_centre": home_data_centres[0] if home_data_centres else "",
        "max_queued": body["max_queued_per_team"],
    }


@attrs.frozen
class SchemaVersion:
    """Describe one schema version of the body of a kind.

    `preserved` lists the canonical fields that do not exist in this version; a change that is
    written in this version leaves them as they are. `to_version` returns None if a body cannot be
    represented in this version.
    """

    validator: ObjectValidator
    to_canonical: Callable[[Body], Body] = _identity
    to_version: Callable[[Body], Body | None] = _identity
    preserved: tuple[str, ...] = ()


RECORD_TYPES: dict[RecordKind, type[Any]] = {
    RecordKind.TEAM: Team,
    RecordKind.KEY: Key,
    RecordKind.QUEUE: Queue,
    RecordKind.POLICY: Policy,
    RecordKind.SHARD: Shard,
}

SCHEMAS: dict[RecordKind, dict[int, SchemaVersion]] = {
    RecordKind.TEAM: {
        1: SchemaVersion(_TEAM_1, _identity, _team_to_1, ("class_limits",)),
        2: SchemaVersion(_TEAM_2, _team_from_2, _team_to_2),
    },
    RecordKind.KEY: {1: SchemaVersion(_KEY_1)},
    RecordKind.QUEUE: {
        1: SchemaVersion(_QUEUE_1, _queue_from_1, _queue_to_1),
        2: SchemaVersion(_QUEUE_2),
    },
    RecordKind.POLICY: {1: SchemaVersion(_POLICY_1)},
    RecordKind.SHARD: {1: SchemaVersion(_SHARD_1)},
}


# Unknown fields are ignored, because a later release may have written the row.
_CONVERTER = cattrs.Converter(forbid_extra_keys=False, detailed_validation=False)


def to_typed_record(kind: str, body: Body) -> TypedRecord:
    """Return the typed record of a canonical body; raises ValueError, TypeError or KeyError."""
    record: TypedRecord = _CONVERTER.structure(body, RECORD_TYPES[RecordKind(kind)])
    return record


def to_canonical_body(record: TypedRecord) -> Body:
    """Return the canonical body of a typed record, which consists of JSON types."""
    body: Body = _to_json_types(attrs.asdict(record))
    return body


def _to_json_types(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {_to_json_types(key): _to_json_types(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_json_types(item) for item in value]
    return value


def refusal_for_problems(problems: Problems, subject: str) -> Refusal:
    """Return one refusal that lists the problems of an input."""
    listed = tuple(problems[:MAX_PROBLEMS])
    lines = "; ".join(f"{problem.path}: {problem.message}" for problem in listed[:3])
    count = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
    return Refusal(
        ErrorKind.BAD_REQUEST,
        f"{subject} has {count}: {lines}",
        remedy="correct every field listed under problems",
        problems=listed,
    )


def check_record_name(kind: str, name: str) -> Refusal | None:
    """Return a refusal if a kind or name is not valid, else None."""
    problems: Problems = []
    one_of(RecordKind)(kind, "kind", problems)
    _NAME(name, "name", problems)
    return refusal_for_problems(problems, "the address of the record") if problems else None


def parse_body(
    kind: RecordKind, schema_version: Any, body: Any, current: Body | None = None
) -> TypedRecord | Refusal:
    """Return the typed record of a body in a schema version, or a refusal with all its problems.

    `current` is the canonical body that the change replaces; fields that do not exist in the
    schema version are taken over from it.
    """
    versions = SCHEMAS[kind]
    version = versions.get(schema_version) if type(schema_version) is int else None
    if version is None:
        problem = Problem(
            "schema_version",
            f"{format_value(schema_version)} is not a schema version of {kind}",
            f"give one of {', '.join(map(str, versions))}",
        )
        return refusal_for_problems([problem], f"the {kind} record")
    problems: Problems = []
    validated = version.validator(body, "body", problems)
    if validated is not ABSENT:
        canonical = version.to_canonical(validated)
        problems.extend(
            _CONSISTENCY_CHECKS.get(kind, _no_problems)(to_typed_record(kind, canonical))
        )
        if not problems:
            if current is not None:
                canonical.update(
                    {name: current[name] for name in version.preserved if name in current}
                )
            return to_typed_record(kind, canonical)
    return refusal_for_problems(problems, f"the {kind} record")


def convert_to_version(kind: str, schema_version: int, body: Body) -> Body | Refusal:
    """Return a canonical body converted to a schema version, or a refusal."""
    version = SCHEMAS[RecordKind(kind)].get(schema_version)
    try:
        converted = (
            version.to_version(to_canonical_body(to_typed_record(kind, body)))
            if version is not None
            else None
        )
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        return Refusal(
            ErrorKind.INTERNAL,
            f"this {kind} record has a format that this release cannot read: {exc!r}",
            remedy="read it from an instance that runs the release that wrote it",
        )
    if converted is None:
        others = ", ".join(map(str, SCHEMAS[RecordKind(kind)]))
        return Refusal(
            ErrorKind.BAD_REQUEST,
            f"this {kind} record cannot be represented in schema version {schema_version}",
            remedy=f"request another schema version; {kind} has {others}",
        )
    return converted


def _no_problems(_: Any) -> Problems:
    return []


def _key_problems(key: Key) -> Problems:
    if bool(key.team) is not key.operator:
        return []
    remedy = "set either team to the team's name or operator to true"
    return [Problem("body.team", "a key belongs to one team or to an operator", remedy)]


def _team_problems(team: Team) -> Problems:
    return [
        Problem(
            f"body.limits.classes.{kind}",
            f"{limit} is above the team's limit of {team.limit}",
            "give at most the total limit",
        )
        for kind, limit in team.class_limits.items()
        if limit > team.limit
    ]


def _queue_problems(queue: Queue) -> Problems:
    problems = []
    if not queue.kinds:
        message = "the queue allows no kind of work"
        problems.append(Problem("body.kinds", message, "list at least one kind"))
    if len(set(queue.kinds)) < len(queue.kinds):
        problems.append(Problem("body.kinds", "a kind is listed twice", "list each kind once"))
    if len(set(queue.home_data_centres)) < len(queue.home_data_centres):
        message = "a data centre is listed twice"
        problems.append(Problem("body.home_data_centres", message, "list each one once"))
    return problems


def _shard_problems(shard: Shard) -> Problems:
    problems = []
    names: set[str] = set()
    addresses: set[tuple[str, int]] = set()
    for index, worker in enumerate(shard.workers):
        path = f"body.workers[{index}]"
        if worker.name in names:
            message = f"the worker {worker.name} is listed twice"
            problems.append(Problem(f"{path}.name", message, "list each worker once"))
        if (worker.host, worker.port) in addresses:
            message = f"the address {worker.host} {worker.port} is listed twice"
            problems.append(Problem(f"{path}.port", message, "give each worker its own address"))
        names.add(worker.name)
        addresses.add((worker.host, worker.port))
    return problems


_CONSISTENCY_CHECKS: dict[RecordKind, Callable[[Any], Problems]] = {
    RecordKind.TEAM: _team_problems,
    RecordKind.KEY: _key_problems,
    RecordKind.QUEUE: _queue_problems,
    RecordKind.SHARD: _shard_problems,
}
