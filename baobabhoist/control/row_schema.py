"""Define the tables in the store: their names, row keys and row values."""

from __future__ import annotations

import zlib
from typing import Any

import attrs
import cattrs
import orjson

from baobabhoist.cell.model import AcceptedJob, JobSpec
from baobabhoist.cell.speed_estimates import SpeedEstimates
from baobabhoist.store.row_store import RowKey

CELL_TABLE = "cell"
JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"

OWNER_ROW_KEY = RowKey(CELL_TABLE, "", "owner")
HEARTBEAT_ROW_KEY = RowKey(CELL_TABLE, "", "beat")
# In a table of its own, because every instance follows the cell's table.
SPEEDS_ROW_KEY = RowKey("learned", "", "speeds")
# More estimates of workers and queues do not fit into one row, and are spread over several.
MAX_ESTIMATES_PER_SPEEDS_ROW = 400
SPEEDS_ROWS = 16
SPEED_DIGITS = 4

# More than any release accepts; each owner holds the tasks in memory.
MAX_TASKS_PER_OCCURRENCE = 100_000
# Jobs are partitioned by the first hex digit of their ids.
JOB_PARTITIONS = tuple("0123456789abcdef")
CANCEL_SUFFIX = "/cancel"
# Ids are remembered this many times as long as finished jobs can be queried.
ID_RETENTION_FACTOR = 2
# Between the job's id and what else is in the key of a row of progress.
PART_SEPARATOR = "/"

_converter = cattrs.Converter()


@attrs.frozen
class JobRow:
    """Hold a job as it is stored; `accepted_ms` is on the store's monotonic clock.

    The queue may be removed while the job runs, so its limit of attempts is stored as well.
    """

    queue: str
    service: str
    team: str
    accepted_ms: int
    spec: JobSpec
    max_attempts: int = 0


def job_row_key(job_id: str) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(JOBS_TABLE, job_id[0], job_id)


def cancel_row_key(job_id: str) -> RowKey:
    """Return the key of the row that marks a job as cancelled."""
    return RowKey(JOBS_TABLE, job_id[0], job_id + CANCEL_SUFFIX)


def progress_row_key(job_id: str) -> RowKey:
    """Return the key of a job's progress, which is in the same partition as the claim."""
    return RowKey(PROGRESS_TABLE, "", job_id)


def progress_part_key(job_id: str, occurrence: int, step: int, first_task: int) -> RowKey:
    """Return the key of the progress of some tasks of a step, from `first_task` on."""
    part = f"{occurrence}.{step}.{first_task}"
    return RowKey(PROGRESS_TABLE, "", f"{job_id}{PART_SEPARATOR}{part}")


def job_id_of_progress(key: RowKey) -> str:
    """Return the id of the job whose progress a row holds."""
    return key.key.partition(PART_SEPARATOR)[0]


def encode_job(row: JobRow) -> bytes:
    """Encode a job as the value of its row; default values are omitted."""
    body = _converter.unstructure(row)
    body["spec"]["steps"] = [_without_defaults(step) for step in row.spec.steps]
    return orjson.dumps(body)


def decode_job(job_id: str, value: bytes, version: int) -> AcceptedJob:
    """Decode the value of a job's row; raises ValueError if it is malformed."""
    try:
        row = _converter.structure(orjson.loads(value), JobRow)
        _check_spec(row.spec)
    except Exception as exc:
        raise ValueError(f"malformed row of job {job_id}: {exc!r}") from exc
    return AcceptedJob(
        job_id,
        row.queue,
        row.service,
        row.team,
        row.accepted_ms,
        row.spec,
        version,
        row.max_attempts,
    )


def encode_speeds(speeds: SpeedEstimates) -> dict[RowKey, bytes]:
    """Encode the speed estimates of workers and queues as rows of limited size."""
    if len(speeds.workers) + len(speeds.queues) <= MAX_ESTIMATES_PER_SPEEDS_ROW:
        return {SPEEDS_ROW_KEY: _encode_speeds_row(speeds)}
    parts = [SpeedEstimates() for _ in range(SPEEDS_ROWS)]
    for worker_id, worker_estimate in speeds.workers.items():
        parts[_speeds_row_number(worker_id)].workers[worker_id] = worker_estimate
    for queue, queue_estimate in speeds.queues.items():
        parts[_speeds_row_number(queue)].queues[queue] = queue_estimate
    return {
        attrs.evolve(SPEEDS_ROW_KEY, key=f"{SPEEDS_ROW_KEY.key}-{number:02}"): _encode_speeds_row(
            part
        )
        for number, part in enumerate(parts)
    }


def _speeds_row_number(name: str) -> int:
    return zlib.crc32(name.encode()) % SPEEDS_ROWS


def _encode_speeds_row(speeds: SpeedEstimates) -> bytes:
    return orjson.dumps(_round_floats(_converter.unstructure(speeds)))


def _round_floats(value: Any) -> Any:
    """Return a JSON value with fewer digits, because stored and read bytes have a price."""
    if isinstance(value, dict):
        return {key: _round_floats(entry) for key, entry in value.items()}
    return round(value, SPEED_DIGITS) if isinstance(value, float) else value


def decode_speeds(value: bytes) -> SpeedEstimates:
    """Decode the speed estimates of a previous owner; raises ValueError if malformed."""
    try:
        speeds = _converter.structure(orjson.loads(value), SpeedEstimates)
        speeds.check()
    except Exception as exc:
        raise ValueError(f"malformed row of speed estimates: {exc!r}") from exc
    return speeds


def _check_spec(spec: JobSpec) -> None:
    """Raise ValueError if an owner could not hold or start a job."""
    tasks = 0
    for number, step in enumerate(spec.steps):
        if step.count < 1 or not all(0 <= other < number for other in step.after):
            raise ValueError(f"step {number} has no tasks, or doesn't depend on earlier steps")
        tasks += step.count
    if not 0 < tasks <= MAX_TASKS_PER_OCCURRENCE:
        raise ValueError(f"{tasks} tasks, where 1 to {MAX_TASKS_PER_OCCURRENCE} are possible")
    if spec.repeats < 0 or spec.interval_ms < 0:
        raise ValueError("the number of occurrences or their interval is negative")


def _without_defaults(step: Any) -> dict[str, Any]:
    fields = attrs.fields(type(step))
    body = _converter.unstructure(step)
    return {f.name: body[f.name] for f in fields if getattr(step, f.name) != f.default}
