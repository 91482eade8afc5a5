"""Encode the durable progress of a job as a row of the store and decode it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

import attrs
import orjson

from baobabhoist.cell.crash_blame import NO_BLAME, CrashBlame, Evidence
from baobabhoist.cell.jobs import JobState
from baobabhoist.cell.model import FINAL_PHASES, JobPhase

Value = TypeVar("Value")


@attrs.frozen
class StoredRun:
    """Identify a run that may be active: it is about to be started or its end is not known.

    If it `may_start_late`, its start had no answer, and its worker's next process may get it.
    `process_unix_ms` is when the process of the worker started that was heard before, or 0.
    """

    number: int
    worker_id: str
    may_start_late: bool = False
    process_unix_ms: int = 0


@attrs.frozen
class StepProgress:
    """Hold the durable state of a step; the dictionaries are keyed by task index.

    `last_numbers` has the last run numbers of tasks that used up those reserved for their owner.
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failed: dict[int, tuple[int, ...]] = attrs.Factory(dict)
    checkpoints: dict[int, str] = attrs.Factory(dict)
    runs: dict[int, StoredRun] = attrs.Factory(dict)
    crash_blame: dict[int, CrashBlame] = attrs.Factory(dict)
    last_numbers: dict[int, int] = attrs.Factory(dict)

    def split(self, tasks_per_part: int) -> dict[int, StepProgress]:
        """Return the state by ranges of this many tasks, keyed by the first index of each."""
        by_index = (self.failed, self.checkpoints, self.runs, self.crash_blame, self.last_numbers)
        indices = {*self.done}.union(*by_index)
        firsts = sorted({index - index % tasks_per_part for index in indices})
        return {first: self._slice(range(first, first + tasks_per_part)) for first in firsts}

    def _slice(self, indices: range) -> StepProgress:
        return StepProgress(
            self.occurrence,
            self.step,
            tuple(index for index in self.done if index in indices),
            _select(self.failed, indices),
            _select(self.checkpoints, indices),
            _select(self.runs, indices),
            _select(self.crash_blame, indices),
            _select(self.last_numbers, indices),
        )

    def merge(self, newer: StepProgress) -> StepProgress:
        """Return the state with that of a row which may have been written later."""
        return StepProgress(
            self.occurrence,
            self.step,
            tuple(sorted({*self.done, *newer.done})),
            {**self.failed, **newer.failed},
            {**self.checkpoints, **newer.checkpoints},
            {**self.runs, **newer.runs},
            {**self.crash_blame, **newer.crash_blame},
            {**self.last_numbers, **newer.last_numbers},
        )


@attrs.frozen
class JobProgress:
    """Hold the durable state of a job."""

    phase: JobPhase
    steps: tuple[StepProgress, ...] = ()

    @property
    def occurrence_count(self) -> int:
        """Return how many occurrences had been opened at least."""
        return max((step.occurrence + 1 for step in self.steps), default=0)


def merge_progress(main: JobProgress | None, parts: Iterable[JobProgress]) -> JobProgress:
    """Return the progress of a job whose rows are a main one, which tells the phase, and parts."""
    if main is not None and main.phase in FINAL_PHASES:
        return main
    merged: dict[tuple[int, int], StepProgress] = {}
    rows = [main, *parts] if main is not None else list(parts)
    for step in (step for row in rows for step in row.steps):
        key = (step.occurrence, step.step)
        merged[key] = merged[key].merge(step) if key in merged else step
    phase = main.phase if main is not None else JobPhase.RUNNING
    return JobProgress(phase, tuple(merged.values()))


def capture_progress(job: JobState, last_reserved_number: float = float("inf")) -> JobProgress:
    """Return the durable state of a job; for a finished one only its phase.

    The next owner starts above `last_reserved_number`, unless a task is stored with a higher one.
    """
    if job.is_final:
        return JobProgress(job.phase)
    steps = []
    for (occurrence, step_number), step in job.steps.items():
        done = tuple(task.index for task in step.tasks if task.is_done)
        failed_runs = {t.index: tuple(sorted(t.failed_runs)) for t in step.tasks if t.failed_runs}
        checkpoints = {t.index: t.checkpoint for t in step.tasks if t.checkpoint and not t.is_done}
        runs = {
            task.index: StoredRun(
                task.run.number,
                task.run.worker_id,
                task.run.may_start_late,
                task.run.process_unix_ms,
            )
            for task in step.tasks
            if task.run is not None
        }
        blame = {t.index: t.crash_blame for t in step.tasks if t.crash_blame.by_crash}
        last_numbers = {
            task.index: task.last_run_number
            for task in step.tasks
            if task.last_run_number > last_reserved_number and not task.is_done
        }
        if done or failed_runs or checkpoints or runs or blame or last_numbers:
            steps.append(
                StepProgress(
                    occurrence,
                    step_number,
                    done,
                    failed_runs,
                    checkpoints,
                    runs,
                    blame,
                    last_numbers,
                )
            )
    return JobProgress(job.phase, tuple(steps))


def encode(progress: JobProgress) -> bytes:
    """Return the row value for a progress."""
    steps = [
        [
            s.occurrence,
            s.step,
            s.done,
            _with_text_keys(s.failed),
            _with_text_keys(s.checkpoints),
            {str(index): [run.number, run.worker_id] for index, run in s.runs.items()},
        ]
        for s in progress.steps
    ]
    body: dict[str, Any] = {"phase": progress.phase.value, "steps": steps}
    # Members of their own, which earlier releases ignore: they read exactly six fields of a step.
    crashes = [
        [s.occurrence, s.step, index, crash, evidence.value]
        for s in progress.steps
        for index, crash_blame in s.crash_blame.items()
        for crash, evidence in crash_blame.by_crash.items()
    ]
    if crashes:
        body["crashes"] = crashes
    last_numbers = [
        [s.occurrence, s.step, index, number]
        for s in progress.steps
        for index, number in s.last_numbers.items()
    ]
    if last_numbers:
        body["lastNumbers"] = last_numbers
    late_starts = [
        [s.occurrence, s.step, index]
        for s in progress.steps
        for index, run in s.runs.items()
        if run.may_start_late
    ]
    if late_starts:
        body["lateStarts"] = late_starts
    processes = {
        run.worker_id: run.process_unix_ms
        for s in progress.steps
        for run in s.runs.values()
        if run.process_unix_ms
    }
    if processes:
        body["processes"] = processes
    return orjson.dumps(body)


def decode(value: bytes) -> JobProgress:
    """Return the progress in a row value; raises ValueError if it is malformed."""
    try:
        body = orjson.loads(value)
        blame_by_step = _decode_crashes(body.get("crashes", ()))
        numbers_by_step = _decode_last_numbers(body.get("lastNumbers", ()))
        late_by_step = _decode_late_starts(body.get("lateStarts", ()))
        processes = {str(k): int(v) for k, v in body.get("processes", {}).items()}
        steps = tuple(
            StepProgress(
                int(occurrence),
                int(step),
                tuple(int(index) for index in done),
                {int(k): tuple(int(run) for run in v) for k, v in failed_runs.items()},
                {int(k): str(v) for k, v in checkpoints.items()},
                _decode_runs(
                    runs, late_by_step.get((int(occurrence), int(step)), set()), processes
                ),
                blame_by_step.get((int(occurrence), int(step)), {}),
                numbers_by_step.get((int(occurrence), int(step)), {}),
            )
            for occurrence, step, done, failed_runs, checkpoints, runs in body["steps"]
        )
        return JobProgress(JobPhase(body["phase"]), steps)
    except Exception as exc:
        raise ValueError(f"not a progress row: {exc!r}") from exc


def restore_progress(job: JobState, progress: JobProgress) -> None:
    """Apply stored progress to a job whose due occurrences are open."""
    job.phase = progress.phase
    # The wall clock of the earlier owner may have been ahead of this one's.
    job.open_occurrences(progress.occurrence_count)
    for step_progress in progress.steps:
        step = job.steps.get((step_progress.occurrence, step_progress.step))
        if step is None:
            continue
        for index in step_progress.done:
            step.mark_done(step.tasks[index])
        for index, runs in step_progress.failed.items():
            step.tasks[index].failed_runs.update(runs)
        for index, checkpoint in step_progress.checkpoints.items():
            step.tasks[index].checkpoint = checkpoint
        for index, blame in step_progress.crash_blame.items():
            step.tasks[index].crash_blame = blame
        for index, number in step_progress.last_numbers.items():
            task = step.tasks[index]
            task.last_run_number = max(task.last_run_number, number)


def _decode_crashes(entries: list[list[Any]]) -> dict[tuple[int, int], dict[int, CrashBlame]]:
    """Return the blame of tasks by occurrence and step, then by task index."""
    by_step: dict[tuple[int, int], dict[int, CrashBlame]] = {}
    for occurrence, step, index, crash, evidence in entries:
        by_index = by_step.setdefault((int(occurrence), int(step)), {})
        earlier = by_index.get(int(index), NO_BLAME)
        by_index[int(index)] = earlier.plus(str(crash), Evidence(evidence))
    return by_step


def _decode_last_numbers(entries: list[list[Any]]) -> dict[tuple[int, int], dict[int, int]]:
    """Return the last run numbers of tasks by occurrence and step, then by task index."""
    by_step: dict[tuple[int, int], dict[int, int]] = {}
    for occurrence, step, index, number in entries:
        by_step.setdefault((int(occurrence), int(step)), {})[int(index)] = int(number)
    return by_step


def _decode_late_starts(entries: list[list[Any]]) -> dict[tuple[int, int], set[int]]:
    """Return the tasks whose starts may be carried out late, by occurrence and step."""
    by_step: dict[tuple[int, int], set[int]] = {}
    for occurrence, step, index in entries:
        by_step.setdefault((int(occurrence), int(step)), set()).add(int(index))
    return by_step


def _decode_runs(
    runs: dict[str, list[Any]], late: set[int], processes: dict[str, int]
) -> dict[int, StoredRun]:
    """Return the runs by task index; the starts of some may be carried out late."""
    return {
        int(index): StoredRun(
            int(number), str(worker_id), int(index) in late, processes.get(str(worker_id), 0)
        )
        for index, (number, worker_id) in runs.items()
    }


def _select(values: dict[int, Value], indices: range) -> dict[int, Value]:
    return {index: value for index, value in values.items() if index in indices}


def _with_text_keys(values: dict[int, Any]) -> dict[str, Any]:
    return {str(key): value for key, value in values.items()}
