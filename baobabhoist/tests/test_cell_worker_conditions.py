"""Test that the condition of a worker says why it accepts no tasks."""

import attrs
import pytest

from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.cell.model import Step
from baobabhoist.cell.worker_conditions import WorkerCondition, worker_condition
from baobabhoist.cell.workers import REPORT_TIMEOUT_MS
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key


@pytest.fixture
def harness():
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(1, SMALL, 60_000)))
    harness.settle()
    return harness


def drain(harness, worker):
    worker.info = attrs.evolve(worker.info, is_draining=True)


def evacuate(harness, worker):
    evacuations = Evacuations(frozenset({worker.info.data_centre}))
    harness.cell.set_evacuations(evacuations, harness.now)


def unlist(harness, worker):
    harness.cell.unlist_worker(worker.worker_id, harness.now)


def fall_silent(harness, worker):
    worker.last_report_ms = harness.now - REPORT_TIMEOUT_MS


def suspend(harness, worker):
    worker.lease.is_suspended = True


def restart(harness, worker):
    worker.started_unix_ms += 1


def lose_token(harness, worker):
    worker.has_accepted_token = False


def quarantine(harness, worker):
    worker.health.quarantined_until_ms = harness.now + 1.0


def end_quarantine(harness, worker):
    worker.health.is_on_probation = True
    worker.health.quarantined_until_ms = harness.now


def back_off(harness, worker):
    worker.backoff_until_ms = harness.now + 1.0


def add_orphan(harness, worker):
    worker.orphan_runs[make_task_key("f" * 16)] = 1


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda *_: None, WorkerCondition.USABLE),
        (drain, WorkerCondition.DRAINING),
        (evacuate, WorkerCondition.EVACUATED),
        (unlist, WorkerCondition.UNLISTED),
        (fall_silent, WorkerCondition.SILENT),
        (suspend, WorkerCondition.SILENT),
        (restart, WorkerCondition.RESTARTED),
        (lose_token, WorkerCondition.SILENT),
        (quarantine, WorkerCondition.QUARANTINED),
        (end_quarantine, WorkerCondition.ON_PROBATION),
        (back_off, WorkerCondition.BACKED_OFF),
        (add_orphan, WorkerCondition.STOPPING_ORPHANS),
    ],
)
def test_condition_names_the_cause_and_agrees_with_the_placer(harness, change, expected):
    """Guard against a cell whose workers count as usable but get no tasks, or the reverse."""
    worker = harness.cell.state.workers["w0"]
    change(harness, worker)
    assert worker_condition(worker, harness.now) is expected
    is_usable = expected is WorkerCondition.USABLE
    assert worker.can_start_tasks(harness.now) is is_usable
