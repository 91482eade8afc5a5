"""Test how long the tasks of a worker that is gone for good wait for its runs."""

import pytest

from baobabhoist.cell.directory_health import DIRECTORY_RECOVERY_MS, MAX_READ_GAP_MS
from baobabhoist.cell.model import Step
from baobabhoist.cell.workers import MAX_START_LATENESS_MS, lease_duration_ms
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    MAX_LEASE_MS,
    SMALL,
    CellHarness,
    make_job,
    make_task_key,
)

TASK = make_task_key()
# A worker is removed from the directory after three heartbeats of silence.
UNLISTED_AFTER_MS = 4_500.0
# Nothing may stand still for 3 s after 4 s of calm.
MAX_STANDSTILL_MS = 7_000.0
LONGEST_WAIT_MS = MAX_START_LATENESS_MS + lease_duration_ms(MAX_LEASE_MS)
LEASE_LAPSES_MS = LEASE_MS * 1.1


def send_start(step=None, job_id="0" * 16):
    """Decide and send a start, which has not been delivered."""
    harness = CellHarness.with_workers(1)
    harness.advance(DIRECTORY_RECOVERY_MS + 100.0)
    harness.delivers_commands = False
    harness.submit(make_job(job_id, step or Step(1, SMALL, 1000)))
    harness.schedule()
    (start,) = harness.undelivered
    harness.undelivered.clear()
    harness.cell.should_send_start(start, harness.now)
    return harness, start


def crash_for_good(harness):
    """Let the worker end; another one has room for its tasks, and the directory forgets it."""
    harness.workers["w0"].is_up = False
    harness.workers["w1"] = FakeCellWorker("w1")
    harness.cell.update_worker(harness.workers["w1"].info(), harness.now)
    harness.delivers_commands = True


def is_running_elsewhere(harness):
    return TASK in harness.workers["w1"].runs


@pytest.mark.parametrize("answer", ["unanswered", "answered", "repeated"])
def test_a_task_whose_start_no_report_lists_runs_elsewhere_once_its_worker_is_gone(answer):
    """Guard against a task that stands still for its worker's next process, which never comes."""
    harness, start = send_start()
    if answer == "answered":
        harness.deliver_command(start)
    elif answer == "repeated":
        harness.cell.record_repeated_start(start, harness.now)
        harness.deliver_command(start)
        harness.settle()
    else:
        harness.lose_command(start)
    crash_for_good(harness)
    harness.advance(UNLISTED_AFTER_MS)
    harness.cell.unlist_worker("w0", harness.now)
    harness.advance(MAX_STANDSTILL_MS - UNLISTED_AFTER_MS)
    assert is_running_elsewhere(harness)


def test_a_worker_that_the_directory_lists_is_waited_for():
    """Guard against two runs of a task whose worker's next process is there and not heard yet."""
    harness, start = send_start()
    harness.lose_command(start)
    crash_for_good(harness)
    harness.advance(LONGEST_WAIT_MS - 100.0)
    assert not is_running_elsewhere(harness)
    harness.advance(300.0)
    assert is_running_elsewhere(harness)


def test_a_worker_whose_last_entry_showed_its_next_process_is_waited_for():
    """Guard against two runs of a task that a process carries out which then leaves, unheard."""
    harness, start = send_start()
    harness.lose_command(start)
    crash_for_good(harness)
    worker = harness.workers["w0"]
    harness.cell.update_worker(worker.info(started_unix_ms=2), harness.now)
    harness.cell.unlist_worker("w0", harness.now)
    harness.advance(LONGEST_WAIT_MS - 100.0)
    assert not is_running_elsewhere(harness)


def test_entries_that_lapse_with_the_store_do_not_show_that_workers_are_gone():
    """Guard against two runs of the tasks of workers whose entries lapsed in a store outage."""
    harness, start = send_start()
    harness.lose_command(start)
    crash_for_good(harness)
    harness.reads_directory = False
    harness.advance(LEASE_LAPSES_MS + MAX_READ_GAP_MS)
    harness.reads_directory = True
    harness.cell.unlist_worker("w0", harness.now)
    harness.advance(DIRECTORY_RECOVERY_MS - 200.0)
    assert not is_running_elsewhere(harness)
    harness.advance(500.0)
    assert is_running_elsewhere(harness)


def test_the_lease_of_a_worker_that_is_gone_is_waited_for():
    """Guard against two runs of a task whose worker is cut off from the store and runs on."""
    harness, start = send_start()
    harness.deliver_command(start, reply_arrives=False)
    crash_for_good(harness)
    harness.cell.unlist_worker("w0", harness.now)
    worker = harness.workers["w0"]
    while TASK in worker.runs:
        assert not is_running_elsewhere(harness)
        harness.advance(100.0)


def test_the_directory_is_urgent_while_a_start_that_was_given_up_may_arrive():
    """Guard against two runs of a task: its worker returned, and its late start came first."""
    harness, start = send_start()
    sent_ms = harness.now
    harness.lose_command(start)
    crash_for_good(harness)
    harness.cell.unlist_worker("w0", harness.now)
    assert not harness.cell.may_get_late_starts(harness.now)
    harness.advance(MAX_STANDSTILL_MS)
    assert is_running_elsewhere(harness)
    assert harness.cell.may_get_late_starts(sent_ms + MAX_START_LATENESS_MS - 1.0)
    assert not harness.cell.may_get_late_starts(sent_ms + MAX_START_LATENESS_MS)
