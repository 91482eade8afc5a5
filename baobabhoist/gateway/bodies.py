"""Read JSON bodies and the jobs in them."""

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

# A job's specification is one row of the table.
MAX_TASKS = 10_000
MAX_TIME = math.ldexp(1.0, 50)
JOB_KINDS = (WorkKind.BATCH, WorkKind.GANG, WorkKind.SERVICE)

_RESOURCES = object_of(
    {
        "cpu_milli": Field(integer(0, MAX_CPU_MILLI), 0),
        "memory_mb": Field(integer(0, MAX_MEMORY_MB), 0),
        "accelerators": Field(integer(0, MAX_ACCELERATORS), 0),
        "slots": Field(integer(1, MAX_SLOTS), 1),
    }
)
_NO_RESOURCES = {"cpu_milli": 0, "memory_mb": 0, "accelerators": 0, "slots": 1}


def _payload(value: Any, path: str, problems: Problems) -> Any:
    if type(value) is not str:
        problems.append(Problem(path, f"{format_value(value)} is not a string", "give a string"))
        return ABSENT
    return value.encode("utf-8")


def _base64_payload(value: Any, path: str, problems: Problems) -> Any:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError, TypeError):
        problems.append(Problem(path, f"{format_value(value)} is not base64", "give base64 text"))
        return ABSENT


_TASK_FIELDS = {
    "payload": Field(_payload, b""),
    "payload_base64": Field(_base64_payload, b""),
    "resources": Field(_RESOURCES, _NO_RESOURCES),
    "expected_run_s": Field(number(0.001, MAX_DEADLINE_S), 1.0),
}
JOB = object_of(
    {
        **_TASK_FIELDS,
        "queue": Field(text(NAME_PATTERN, NAME_DESCRIPTION)),
        "kind": Field(one_of(WorkKind)),
        "tasks": Field(optional(list_of(object_of(_TASK_FIELDS), MAX_TASKS)), None),
        "replicas": Field(optional(integer(1, MAX_TASKS)), None),
        "idempotent": Field(boolean, False),
        "deadline": Field(optional(number(0.0, MAX_TIME)), None),
        "urgency": Field(one_of(Urgency), Urgency.NORMAL),
    }
)


@attrs.frozen
class JobBody:
    """Hold a job as it was submitted, before its team and queue are known."""

    queue: str
    kind: WorkKind
    tasks: tuple[TaskSpec, ...]
    idempotent: bool
    deadline: float | None
    urgency: Urgency

    def spec(self, job_id: str, team: str, default_deadline: float) -> JobSpec:
        """Return the job; a service without a deadline runs until it is cancelled."""
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


def read_json(body: bytes) -> Any | Refusal:
    """Return a JSON body, or why it cannot be read."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Refusal(
            ErrorKind.BAD_REQUEST,
            f"the body is not JSON: {exc}",
            remedy="send a body in JSON; NaN and infinity are not part of it",
        )


def read_job(body: bytes) -> JobBody | Refusal:
    """Return the job in a body, or all problems with it."""
    raw = read_json(body)
    if isinstance(raw, Refusal):
        return raw
    problems: Problems = []
    found = JOB(raw, "job", problems)
    if found is not ABSENT:
        problems.extend(_job_problems(raw, found))
    if problems:
        return refusal_for_problems(problems, "the job")
    if found["replicas"] is not None:
        tasks = (_task(found),) * found["replicas"]
    else:
        tasks = tuple(_task(task) for task in found["tasks"])
    return JobBody(
        found["queue"],
        found["kind"],
        tasks,
        found["idempotent"],
        found["deadline"],
        found["urgency"],
    )


def _task(found: dict[str, Any]) -> TaskSpec:
    payload = found["payload"] or found["payload_base64"]
    return TaskSpec(payload, Resources(**found["resources"]), found["expected_run_s"])


def _job_problems(raw: dict[str, Any], found: dict[str, Any]) -> Problems:
    problems: Problems = []
    if found["kind"] not in JOB_KINDS:
        remedy = "give batch, gang or service; send single requests to the queue's requests"
        problems.append(Problem("job.kind", "a job cannot be a request", remedy))
    if (found["tasks"] is None) == (found["replicas"] is None):
        remedy = "give tasks as a list, or replicas as the number of equal tasks"
        problems.append(Problem("job.tasks", "a job has either tasks or replicas", remedy))
    if found["tasks"] == ():
        problems.append(Problem("job.tasks", "the job has no task", "give at least one"))
    if found["tasks"] is not None:
        for name in sorted(_TASK_FIELDS.keys() & raw.keys()):
            remedy = "move it into each task"
            problems.append(Problem(f"job.{name}", "the field belongs to replicas", remedy))
    for path, task in [("job", found), *_with_paths(found["tasks"] or ())]:
        if task["payload"] and task["payload_base64"]:
            message = "there are two payloads"
            problems.append(Problem(f"{path}.payload", message, "give one of the two"))
    return problems


def _with_paths(tasks: tuple[dict[str, Any], ...]) -> list[tuple[str, dict[str, Any]]]:
    return [(f"job.tasks[{index}]", task) for index, task in enumerate(tasks)]


def job_id_of(team: str, idempotency_key: str | None) -> str:
    """Return the id of a job; a key gives the same id each time, so a repeat is no new job."""
    if idempotency_key is None:
        return f"job-{uuid.uuid4().hex}"
    digest = hashlib.sha256(f"{team}\x00{idempotency_key}".encode()).hexdigest()
    return f"job-{digest[:32]}"
