"""Test what the scheduler concludes from the crashes of workers."""

import logging

from baobabhoist.observability.events import FIELDS_ATTRIBUTE
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_task_key

# How long a worker is down after a crash: less than a lease.
DOWN_MS = 3_300.0
JOB_ID = "0" * 16


def crash(harness, worker_id):
    """Let a worker crash, and list its successor at the same address after some seconds."""
    harness.workers.pop(worker_id)
    harness.advance(DOWN_MS)
    replace(harness, worker_id)


def replace(harness, worker_id):
    """List another worker at the address of one that has ended, and unlist that one."""
    address = harness.cell.state.workers[worker_id].info.address
    successor = FakeCellWorker(f"{worker_id}+")
    harness.workers[successor.worker_id] = successor
    harness.cell.update_worker(successor.info(address=address), harness.now)
    harness.settle()
    harness.cell.unlist_worker(worker_id, harness.now)
    return successor


def logged_fields(caplog, name):
    return [
        getattr(record, FIELDS_ATTRIBUTE)
        for record in caplog.records
        if getattr(record, "baobabhoist_event", None) is not None
        and record.baobabhoist_event.name == name
    ]


def test_the_log_tells_a_crashed_worker_from_a_silent_one_and_names_its_runs(caplog):
    """Guard against logs that can't separate a task that crashes workers from a cut network."""
    caplog.set_level(logging.INFO)
    harness = CellHarness.with_workers(2)
    harness.submit(make_job())
    harness.schedule()
    key = make_task_key()
    worker_id = harness.worker_running(key).worker_id
    silent = next(name for name in harness.workers if name != worker_id)
    harness.workers.pop(silent)
    crash(harness, worker_id)
    (fields,) = logged_fields(caplog, "WORKER_REPLACED")
    assert (fields["worker"], fields["successor"]) == (worker_id, f"{worker_id}+")
    assert fields["ages_ms"] == {key.to_text(): 0}
    assert fields["silent_ms"] >= DOWN_MS
    assert not fields["drained"]
