"""Convert jobs to rows of the table and back again."""

from __future__ import annotations

import base64
import math
from typing import Any

import attrs

from baobabhoist.jobs.state import JobRun
from baobabhoist.model import (
    JobSpec,
    Resources,
    TaskSpec,
    Urgency,
    WorkKind,
)
from baobabhoist.store.table import Row

UNFINISHED_PREFIX = "active/"


def job_key(job_id: str) -> str:
    """Return the row key of a job's specification."""
    return f"job/{job_id}"


def unfinished_job_key(home: str, job_id: str) -> str:
    """Return the row key that marks a job as unfinished at its home shard."""
    return f"{UNFINISHED_PREFIX}{home}/{job_id}"


def home_shard_of(row: Row) -> str:
    """Return the home shard in a row that marks a job as unfinished."""
    return row.key.split("/")[1]


def job_id_of(row: Row) -> str:
    """Return the id in a row that marks a job as unfinished or lists it for its team."""
    return row.key.split("/", 2)[2]


def progress_key(job_id: str) -> str:
    """Return the row key of a job's progress."""
    return f"progress/{job_id}"


def team_job_key(team: str, job_id: str) -> str:
    """Return the row key that lists a job under its team."""
    return f"team_job/{team}/{job_id}"


def job_to_row(run: JobRun) -> dict[str, Any]:
    """Return the row that holds a job's specification."""
    spec = run.spec
    return {
        "job_id": spec.job_id,
        "team": spec.team,
        "queue": spec.queue,
        "kind": spec.kind.value,
        "idempotent": spec.idempotent,
        # JSON has no infinity, which stands for a service without a deadline.
        "deadline": None if math.isinf(spec.deadline) else spec.deadline,
        "urgency": spec.urgency.value,
        "home": run.home,
        "shards": list(run.shards),
        "submitted_at": run.submitted_at,
        "tasks": [
            [
                base64.b64encode(task.payload).decode(),
                list(attrs.astuple(task.resources)),
                task.expected_run_s,
            ]
            for task in spec.tasks
        ],
    }


def job_from_row(row: dict[str, Any], progress: list[list[Any]] | None) -> JobRun:
    """Return the job from its row and its stored progress."""
    tasks = tuple(
        TaskSpec(base64.b64decode(payload), Resources(*resources), expected_run_s)
        for payload, resources, expected_run_s in row["tasks"]
    )
    spec = JobSpec(
        row["job_id"],
        row["team"],
        row["queue"],
        WorkKind(row["kind"]),
        tasks,
        row["idempotent"],
        math.inf if row["deadline"] is None else row["deadline"],
        Urgency(row["urgency"]),
    )
    run = JobRun(spec, row["home"], tuple(row["shards"]), row["submitted_at"])
    if progress is not None:
        run.restore_progress(progress)
    return run
