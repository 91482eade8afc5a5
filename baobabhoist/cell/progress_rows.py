"""Write a job's durable progress as a small row and read it back."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from baobabhoist.cell.jobs import JobState
from baobabhoist.cell.model import JobPhase


@attrs.frozen
class StoredRun:
    """Name a run that was ordered, or is about to be, and whose end is not known."""

    number: int
    worker_id: str


@attrs.frozen
class StepProgress:
    """Hold what lasts of one step: tasks done, failed runs, checkpoints and runs by index."""

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failed: dict[int, tuple[int, ...]] = attrs.Factory(dict)
    checkpoints: dict[int, str] = attrs.Factory(dict)
    runs: dict[int, StoredRun] = attrs.Factory(dict)


@attrs.frozen
class JobProgress:
    """Hold what lasts of one job."""

    phase: JobPhase
    steps: tuple[StepProgress, ...] = ()


def capture_progress(job: JobState) -> JobProgress:
    """Return what must last of a job; of a finished one only its state."""
    if job.is_final:
        return JobProgress(job.phase)
    found = []
    for (occurrence, number), step in job.steps.items():
        done = tuple(task.index for task in step.tasks if task.is_done)
        failed = {t.index: tuple(sorted(t.failed_runs)) for t in step.tasks if t.failed_runs}
        saved = {t.index: t.checkpoint for t in step.tasks if t.checkpoint and not t.is_done}
        runs = {
            task.index: StoredRun(task.run.number, task.run.worker_id)
            for task in step.tasks
            if task.run is not None
        }
        if done or failed or saved or runs:
            found.append(StepProgress(occurrence, number, done, failed, saved, runs))
    return JobProgress(job.phase, tuple(found))


def encode(progress: JobProgress) -> bytes:
    """Return a progress as the value of a row."""
    steps = [
        [
            s.occurrence,
            s.step,
            s.done,
            _by_text(s.failed),
            _by_text(s.checkpoints),
            {str(index): [run.number, run.worker_id] for index, run in s.runs.items()},
        ]
        for s in progress.steps
    ]
    return orjson.dumps({"phase": progress.phase.value, "steps": steps})


def decode(value: bytes) -> JobProgress:
    """Return the progress in a row; raises ValueError for a row of another writer."""
    try:
        body = orjson.loads(value)
        steps = tuple(
            StepProgress(
                int(occurrence),
                int(step),
                tuple(int(index) for index in done),
                {int(k): tuple(int(run) for run in v) for k, v in failed.items()},
                {int(k): str(v) for k, v in saved.items()},
                {int(k): StoredRun(int(run), str(worker)) for k, (run, worker) in runs.items()},
            )
            for occurrence, step, done, failed, saved, runs in body["steps"]
        )
        return JobProgress(JobPhase(body["phase"]), steps)
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as exc:
        raise ValueError(f"not a progress row: {exc}") from exc


def restore_progress(job: JobState, progress: JobProgress) -> None:
    """Put a stored progress into a job whose occurrences are open."""
    job.phase = progress.phase
    for saved in progress.steps:
        step = job.steps.get((saved.occurrence, saved.step))
        if step is None:
            continue
        for index in saved.done:
            step.mark_done(step.tasks[index])
        for index, runs in saved.failed.items():
            step.tasks[index].failed_runs.update(runs)
        for index, checkpoint in saved.checkpoints.items():
            step.tasks[index].checkpoint = checkpoint


def _by_text(values: dict[int, Any]) -> dict[str, Any]:
    return {str(key): value for key, value in values.items()}
