"""Detect that worker processes have ended, by their successors at the same address."""

from __future__ import annotations

import logging

from baobabhoist.cell.jobs import Run
from baobabhoist.cell.state import CellState
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# Runs that one log line names, the youngest first.
MAX_LOGGED_RUNS = 20


class CrashHandler:
    """Handle the ends of worker processes; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def handle_successor(self, successor: WorkerState, requested_ms: float) -> None:
        """Handle the first report of a worker, which shows that its predecessors have ended.

        Commands name the worker that they are meant for, so only the process that holds an
        address now answers there.
        """
        for worker in self._state.workers.values():
            if _has_ended(worker, successor, requested_ms):
                emit(
                    log,
                    Event.WORKER_REPLACED,
                    worker=worker.worker_id,
                    successor=successor.worker_id,
                    address=worker.info.address,
                    runs=len(worker.runs),
                    drained=worker.info.is_draining,
                    silent_ms=_silent_ms(worker, requested_ms),
                    ages_ms=describe_runs(worker),
                )


def _has_ended(worker: WorkerState, successor: WorkerState, requested_ms: float) -> bool:
    """Return whether a report that was requested at a time came from a worker's successor."""
    return (
        worker is not successor
        and worker.info.address == successor.info.address
        and max(worker.known_since_ms, worker.last_heard_ms) < requested_ms
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


def _silent_ms(worker: WorkerState, now: float) -> int | None:
    """Return for how long a worker has been silent, or None if it never answered."""
    if worker.last_heard_ms == float("-inf"):
        return None
    return round(now - worker.last_heard_ms)
