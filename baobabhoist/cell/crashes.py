"""Find the tasks that crash their workers, and give them up.

A worker crashes with all that runs on it, so one crash doesn't tell which task it was. Each task
on the worker is blamed, more if its run had only just been sent. Such a suspect starts next on a
worker without other young runs, so that a second crash tells more. Once a task is given up, the
crashes that it explains no longer count against others.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

import attrs

from baobabhoist.cell.crash_blame import NO_BLAME, CrashBlame, Evidence
from baobabhoist.cell.jobs import Run, TaskState
from baobabhoist.cell.model import JobPhase, WorkerReport
from baobabhoist.cell.run_ends import RunEndHandler, close_lost_run
from baobabhoist.cell.state import CellState
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# A run that was seen this long after its start shows that its task doesn't crash workers.
HARMLESS_AGE_MS = 10_000.0
# Runs whose lease lapsed are remembered for this long, in case that their worker has crashed.
LOST_RUN_KEPT_MS = 60_000.0
# Runs that one log line names, the youngest first.
MAX_LOGGED_RUNS = 20


@attrs.frozen
class LostRuns:
    """Hold what a crash would tell about the tasks on a worker whose lease has lapsed."""

    worker: WorkerState
    blame: dict[TaskState, Evidence]
    forget_ms: float


class CrashHandler:
    """Handle the ends of worker processes; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState, run_ends: RunEndHandler) -> None:
        self._state = state
        self._run_ends = run_ends
        # By worker id.
        self._lost_runs: dict[str, LostRuns] = {}

    def handle_successor(self, successor: WorkerState, requested_ms: float, now: float) -> None:
        """Handle the first report of a worker, which shows that its predecessors have ended.

        Commands name the worker that they are meant for, so only the process that holds an
        address now answers there.
        """
        at_address = self._state.workers_by_address.get(successor.info.address, {})
        lost_workers = [lost.worker for lost in self._lost_runs.values()]
        for worker in (*at_address.values(), *lost_workers):
            if _is_succeeded_by(worker, successor, requested_ms):
                _log_replaced(worker, successor, requested_ms)
                self._end_worker(worker, now)

    def _end_worker(self, worker: WorkerState, now: float) -> None:
        """Close the runs of a worker that has ended, and blame them."""
        lost = self._lost_runs.pop(worker.worker_id, None)
        earlier_blame = lost.blame if lost is not None else {}
        blame = earlier_blame | _blame_of_runs(worker, worker.runs.values())
        worker.has_ended = True
        worker.unlist(now)
        self._close_runs(worker, now)
        self._blame(worker, blame, now)

    def handle_restart(self, worker: WorkerState, report: WorkerReport, now: float) -> None:
        """Blame what ran on a worker before it restarted under its id."""
        listed_runs = report.listed_runs()
        lost = [r for r in worker.runs.values() if (r.task.key, r.number) not in listed_runs]
        self._blame(worker, _blame_of_runs(worker, lost), now)

    def record_lapse(self, worker: WorkerState, now: float) -> None:
        """Remember what runs on a worker whose lease lapses: whether it crashed is not known."""
        blame = _blame_of_runs(worker, worker.runs.values())
        earlier = self._lost_runs.get(worker.worker_id)
        if blame:
            blame = earlier.blame | blame if earlier is not None else blame
            lost = LostRuns(worker, blame, now + LOST_RUN_KEPT_MS)
            self._lost_runs[worker.worker_id] = lost

    def handle_report(self, worker: WorkerState, is_restarted: bool, now: float) -> None:
        """Settle what was lost on a worker that reports again: it crashed or was only silent."""
        lost = self._lost_runs.pop(worker.worker_id, None)
        if lost is not None and is_restarted:
            self._blame(worker, lost.blame, now)

    def note_alive(self, worker: WorkerState, run: Run, now: float) -> None:
        """Lower the blame of a task of which a run has outlived its start."""
        task = run.task
        started_ms = run.sent_ms if run.sent_ms is not None else run.confirmed_ms
        if now - started_ms >= HARMLESS_AGE_MS:
            self._set_blame(task, NO_BLAME)
        elif task.crash_blame.is_suspect and not worker.is_young(run):
            self._set_blame(task, task.crash_blame.lowered())

    def forget_old(self, now: float) -> None:
        """Forget the lost runs of workers that have not come back."""
        for worker_id, lost in list(self._lost_runs.items()):
            if now >= lost.forget_ms:
                del self._lost_runs[worker_id]

    def _blame(self, worker: WorkerState, blame: dict[TaskState, Evidence], now: float) -> None:
        crash = f"{worker.worker_id}/{worker.started_unix_ms}"
        tasks = [task for task in blame if not task.is_done and not task.step.job.is_final]
        for task in tasks:
            self._set_blame(task, task.crash_blame.plus(crash, blame[task]))
        tasks.sort(key=lambda task: task.crash_blame.total, reverse=True)
        if tasks:
            _log_blame(worker, tasks)
        for task in tasks:
            # An earlier one may have explained the crash, or may belong to the same job.
            if task.crash_blame.is_over_limit and not task.step.job.is_final:
                self._give_up(task, now)

    def _set_blame(self, task: TaskState, blame: CrashBlame) -> None:
        task.crash_blame = blame
        self._state.dirty.add(task.step.job.job_id)

    def _give_up(self, task: TaskState, now: float) -> None:
        blame = task.crash_blame
        reason = f"{len(blame.by_crash)} workers crashed under task {task.key.to_text()}"
        self._state.finish_job(task.step.job, JobPhase.FAILED, now, reason)
        explained = blame.explained_crashes
        for step in self._state.ready_steps.values():
            for other in step.tasks:
                if explained & other.crash_blame.by_crash.keys():
                    self._set_blame(other, other.crash_blame.without(explained))

    def _close_runs(self, worker: WorkerState, now: float) -> None:
        for run in list(worker.runs.values()):
            if run.is_sent:
                close_lost_run(self._state, self._run_ends, run, now, "its worker has ended")


def _is_succeeded_by(worker: WorkerState, successor: WorkerState, requested_ms: float) -> bool:
    """Return whether a report that was requested at a time came from a worker's successor."""
    return (
        not worker.has_ended
        and worker is not successor
        and worker.info.address == successor.info.address
        and max(worker.known_since_ms, worker.last_heard_ms) < requested_ms
    )


def _blame_of_runs(worker: WorkerState, runs: Iterable[Run]) -> dict[TaskState, Evidence]:
    """Return what the end of a worker tells about its tasks: nothing if it was leaving."""
    if worker.info.is_draining:
        return {}
    return {run.task: _evidence(worker, run) for run in runs if run.is_sent}


def _evidence(worker: WorkerState, run: Run) -> Evidence:
    if not run.has_begun:
        return Evidence.UNCONFIRMED_RUN
    return Evidence.YOUNG_RUN if worker.is_young(run) else Evidence.OLD_RUN


def _log_replaced(worker: WorkerState, successor: WorkerState, now: float) -> None:
    is_heard = worker.last_heard_ms > float("-inf")
    emit(
        log,
        Event.WORKER_REPLACED,
        worker=worker.worker_id,
        successor=successor.worker_id,
        address=worker.info.address,
        runs=len(worker.runs),
        drained=worker.info.is_draining,
        silent_ms=round(now - worker.last_heard_ms) if is_heard else None,
        ages_ms=describe_runs(worker),
    )


def _log_blame(worker: WorkerState, tasks: list[TaskState]) -> None:
    emit(
        log,
        Event.CRASH_BLAMED,
        worker=worker.worker_id,
        count=len(tasks),
        blame={t.key.to_text(): t.crash_blame.total for t in tasks[:MAX_LOGGED_RUNS]},
    )


def describe_runs(worker: WorkerState) -> dict[str, int | None]:
    """Return how old the youngest runs of a worker were when it was last heard, in ms.

    The age is negative for a run that was sent later, and None for one that an earlier owner sent.
    """
    runs = sorted(worker.runs.values(), key=_sent_ms, reverse=True)
    return {
        run.task.key.to_text(): _age_when_last_heard(worker, run) for run in runs[:MAX_LOGGED_RUNS]
    }


def _sent_ms(run: Run) -> float:
    return run.sent_ms if run.sent_ms is not None else float("-inf")


def _age_when_last_heard(worker: WorkerState, run: Run) -> int | None:
    if run.sent_ms is None or worker.last_heard_ms == float("-inf"):
        return None
    return round(worker.last_heard_ms - run.sent_ms)
