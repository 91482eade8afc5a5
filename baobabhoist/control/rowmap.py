"""Lay out the system's tables: names, keys and row values."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import orjson

from baobabhoist.cell.model import AcceptedJob, JobSpec
from baobabhoist.cell.speed_estimates import SpeedEstimates
from baobabhoist.store.rows import RowKey

CELL_TABLE = "cell"
JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"

OWNER_ROW = RowKey(CELL_TABLE, "", "owner")
BEAT_ROW = RowKey(CELL_TABLE, "", "beat")
# Not in the cell's table, which every instance follows.
LEARNED_ROW = RowKey("learned", "", "speeds")

# Jobs are spread over parts by the first hex digit of their ids.
JOB_PARTS = tuple("0123456789abcdef")
CANCEL_SUFFIX = "/cancel"

_converter = cattrs.Converter()


@attrs.frozen
class JobRow:
    """Hold a job as its row keeps it; `accepted_ms` is on the store's steady clock."""

    queue: str
    service: str
    team: str
    accepted_ms: int
    spec: JobSpec


def job_row(job_id: str) -> RowKey:
    """Return the row of a job."""
    return RowKey(JOBS_TABLE, job_id[0], job_id)


def cancel_row(job_id: str) -> RowKey:
    """Return the row that says that a job is cancelled."""
    return RowKey(JOBS_TABLE, job_id[0], job_id + CANCEL_SUFFIX)


def progress_row(job_id: str) -> RowKey:
    """Return the row of a job's progress, which lies in one part with the claim."""
    return RowKey(PROGRESS_TABLE, "", job_id)


def encode_job(row: JobRow) -> bytes:
    """Return the value of a job's row; defaults are left out."""
    body = _converter.unstructure(row)
    body["spec"]["steps"] = [_without_defaults(step) for step in row.spec.steps]
    return orjson.dumps(body)


def decode_job(job_id: str, value: bytes, version: int) -> AcceptedJob:
    """Return the job in a row; raises ValueError if it cannot be read."""
    try:
        row = _converter.structure(orjson.loads(value), JobRow)
    except Exception as exc:
        raise ValueError(f"job {job_id}: {exc}") from exc
    return AcceptedJob(
        job_id, row.queue, row.service, row.team, row.accepted_ms, row.spec, version
    )


def encode_speeds(speeds: SpeedEstimates) -> bytes:
    """Return what was learned of workers and queues as the value of a row."""
    return orjson.dumps(_converter.unstructure(speeds))


def decode_speeds(value: bytes) -> SpeedEstimates:
    """Return what an earlier owner learned; raises ValueError if it cannot be read."""
    try:
        return _converter.structure(orjson.loads(value), SpeedEstimates)
    except Exception as exc:
        raise ValueError(f"learned speeds: {exc}") from exc


def _without_defaults(step: Any) -> dict[str, Any]:
    fields = attrs.fields(type(step))
    body = _converter.unstructure(step)
    return {f.name: body[f.name] for f in fields if getattr(step, f.name) != f.default}
