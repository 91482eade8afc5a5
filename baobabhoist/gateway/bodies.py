"""Parse JSON bodies and the job submissions in them."""

from __future__ import annotations

import base64
import binascii
import hashlib
import math
import uuid
from typing import Any

import attrs
import orjson

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.model import JobSpec, Resources, TaskSpec, Urgency, WorkKind
from baobabhoist.records.schema import (
    MAX_ACCELERATORS,
    MAX_CPU_MILLI,
    MAX_DEADLINE_S,
    MAX_MEMORY_MB,
    MAX_SLOTS,
    NAME_DESCRIPTION,
    NAME_PATTERN,
    refusal_for_problems,
    text,
)
from baobabhoist.records.validators import (
    ABSENT,
    Field,
    Problems,
    boolean,
    format_value,
    integer,
    list_of,
    number,
    object_of,
    one_of,
    optional,
)

# A job is limited in size because its whole specification is stored in one row of the table.
MAX_TASKS = 10_000
MAX_TIMESTAMP_S = math.ldexp(1.0, 50)
JOB_KINDS = (WorkKind.BATCH, WorkKind.GANG, WorkKind.SERVICE)

_RESOURCES_SCHEMA = object_of(
    {
        "cpu_milli": Field(integer(0, MAX_CPU_MILLI), 0),
        "memory_mb": Field(integer(0, MAX_MEMORY_MB), 0),
        "accelerators": Field(integer(0, MAX_ACCELERATORS), 0),
        "slots": Field(integer(1, MAX_SLOTS), 1),
    }
)
_DEFAULT_RESOURCES = {"cpu_milli": 0, "memory_mb": 0, "accelerators": 0, "slots": 1}


def _encode_payload(value: Any, path: str, problems: Problems) -> Any:
    if type(value) is not str:
        problems.append(Problem(path, f"{format_value(value)} is not a string", "give a string"))
        return ABSENT
    return value.encode("utf-8")


def _decode_base64_payload(value: Any, path: str, problems: Problems) -> Any:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError, TypeError):
        problems.append(Problem(path, f"{format_value(value)} is not base64", "give base64 text"))
        return ABSENT


_TASK_FIELDS = {
    "payload": Field(_encode_payload, b""),
    "payload_base64": Field(_decode_base64_payload, b""),
    "resources": Field(_RESOURCES_SCHEMA, _DEFAULT_RESOURCES),
    "expected_run_s": Field(number(0.001, MAX_DEADLINE_S), 1.0),
}
JOB_SCHEMA = object_of(
    {
        **_TASK_FIELDS,
        "queue": Field(text(NAME_PATTERN, NAME_DESCRIPTION)),
        "kind": Field(one_of(WorkKind)),
        "tasks": Field(optional(list_of(object_of(_TASK_FIELDS), MAX_TASKS)), None),
        "replicas": Field(optional(integer(1, MAX_TASKS)), None),
        "idempotent": Field(boolean, False),
        "deadline": Field(optional(number(0.0, MAX_TIMESTAMP_S)), None),
        "urgency": Field(one_of(Urgency), Urgency.NORMAL),
    }
)


@attrs.frozen
class JobSubmission:
    """Hold a job as it was submitted, before its team is known and its queue is looked up."""

    queue: str
    kind: WorkKind
    tasks: tuple[TaskSpec, ...]
    idempotent: bool
    deadline: float | None
    urgency: Urgency

    def to_spec(self, job_id: str, team: str, default_deadline: float) -> JobSpec:
        """Return the job's specification; a service without a deadline runs until cancelled."""
        deadline = self.deadline
        if deadline is None:
            deadline = math.inf if self.kind is WorkKind.SERVICE else default_deadline
        return JobSpec(
            job_id,
            team,
            self.queue,
            self.kind,
            self.tasks,
            self.idempotent,
            deadline,
            self.urgency,
        )


def parse_json(body: bytes) -> Any | Refusal:
    """Return the value of a JSON body, or a refusal if it is malformed."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Refusal(
            ErrorKind.BAD_REQUEST,
            f"the body is not valid JSON: {exc}",
            remedy="send valid JSON, which has no NaN or infinity",
        )


def parse_job(body: bytes) -> JobSubmission | Refusal:
    """Return the job in a body, or a refusal that lists all problems."""
    raw = parse_json(body)
    if isinstance(raw, Refusal):
        return raw
    problems: Problems = []
    fields = JOB_SCHEMA(raw, "job", problems)
    if fields is not ABSENT:
        problems.extend(_find_job_problems(raw, fields))
    if problems:
        return refusal_for_problems(problems, "the job")
    if fields["replicas"] is not None:
        tasks = (_build_task(fields),) * fields["replicas"]
    else:
        tasks = tuple(_build_task(task) for task in fields["tasks"])
    return JobSubmission(
        fields["queue"],
        fields["kind"],
        tasks,
        fields["idempotent"],
        fields["deadline"],
        fields["urgency"],
    )


def _build_task(fields: dict[str, Any]) -> TaskSpec:
    payload = fields["payload"] or fields["payload_base64"]
    return TaskSpec(payload, Resources(**fields["resources"]), fields["expected_run_s"])


def _find_job_problems(raw: dict[str, Any], fields: dict[str, Any]) -> Problems:
    problems: Problems = []
    if fields["kind"] not in JOB_KINDS:
        remedy = "give batch, gang or service; send a single request to its queue instead"
        problems.append(Problem("job.kind", "a job cannot be of the kind request", remedy))
    if (fields["tasks"] is None) == (fields["replicas"] is None):
        remedy = "give tasks as a list, or replicas as the number of identical tasks"
        problems.append(Problem("job.tasks", "a job needs either tasks or replicas", remedy))
    if fields["tasks"] == ():
        problems.append(Problem("job.tasks", "the list of tasks is empty", "give at least one"))
    if fields["tasks"] is not None:
        for name in sorted(_TASK_FIELDS.keys() & raw.keys()):
            remedy = "move it into each task"
            problems.append(Problem(f"job.{name}", "the field requires replicas", remedy))
    for path, task in [("job", fields), *_tasks_with_paths(fields["tasks"] or ())]:
        if task["payload"] and task["payload_base64"]:
            message = "payload and payload_base64 are both given"
            problems.append(Problem(f"{path}.payload", message, "give only one of them"))
    return problems


def _tasks_with_paths(tasks: tuple[dict[str, Any], ...]) -> list[tuple[str, dict[str, Any]]]:
    return [(f"job.tasks[{index}]", task) for index, task in enumerate(tasks)]


def derive_job_id(team: str, idempotency_key: str | None) -> str:
    """Return a job id, derived from the key if there is one, so that retries are idempotent."""
    if idempotency_key is None:
        return f"job-{uuid.uuid4().hex}"
    digest = hashlib.sha256(f"{team}\x00{idempotency_key}".encode()).hexdigest()
    return f"job-{digest[:32]}"
