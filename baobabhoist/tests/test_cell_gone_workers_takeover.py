"""Test which runs a new owner waits for on a worker that leaves the directory unheard."""

import pytest

from baobabhoist.cell.directory_health import DIRECTORY_RECOVERY_MS
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.tests.cell_harness import MAX_LEASE_MS, CellHarness, make_job, make_task_key

TASK = make_task_key()
# A worker is removed from the directory after three heartbeats of silence.
UNLISTED_AFTER_MS = 4_500.0
TAKEOVER_DELAY_MS = 500.0


def run_on_next_process(is_late):
    """Let the next process of a worker carry out a start whose answer is lost."""
    harness = CellHarness.with_workers(1)
    harness.advance(DIRECTORY_RECOVERY_MS + 100.0)
    harness.delivers_commands = False
    accepted = make_job()
    harness.submit(accepted)
    harness.schedule()
    (start,) = harness.undelivered
    harness.cell.should_send_start(start, harness.now)
    worker = harness.workers["w0"]
    worker.restart()
    harness.cell.update_worker(worker.info(), harness.now)
    if is_late:
        harness.now += UNLISTED_AFTER_MS
        harness.cell.unlist_worker("w0", harness.now)
    worker.start(harness.token, start, int(10 * MAX_LEASE_MS))
    harness.lose_command(start)
    return harness, worker, accepted


def assert_runs_once(harness, worker, unlist_after_ms):
    """Let the worker run to the end of its lease, cut off from all; it leaves the directory."""
    waited_ms = 0.0
    while TASK in worker.runs:
        harness.advance(100.0, renew=False)
        worker.advance(100.0 if "w0" not in harness.workers else 0.0)
        harness.renew("w1")
        waited_ms += 100.0
        if waited_ms == unlist_after_ms:
            harness.cell.unlist_worker("w0", harness.now)
        assert TASK not in harness.workers["w1"].runs, f"runs twice after {waited_ms} ms"


@pytest.mark.parametrize("is_late", [False, True], ids=["listed", "lapsed_before"])
def test_a_new_owner_waits_for_the_longest_lease_of_a_process_that_leaves_unheard(is_late):
    """Guard against two runs of a task that a process carries out which is cut off from all."""
    harness, worker, accepted = run_on_next_process(is_late)
    progress = harness.save_progress()
    harness.advance(TAKEOVER_DELAY_MS, renew=False)
    worker.is_up = False
    harness.delivers_commands = True
    harness.workers["w1"] = FakeCellWorker("w1")
    if is_late:
        del harness.workers["w0"]
    harness.take_over([accepted], progress)
    assert_runs_once(harness, worker, UNLISTED_AFTER_MS - TAKEOVER_DELAY_MS)
