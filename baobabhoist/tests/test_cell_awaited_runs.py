"""Test that a task which waits for a run of a silent worker leaves a line and a metric."""

import pytest

from baobabhoist.cell.awaited_runs import MAX_NAMED_RUNS, REVIEW_INTERVAL_MS, AwaitReason
from baobabhoist.cell.model import Resources, Step
from baobabhoist.cell.workers import MAX_START_LATENESS_MS, REPORT_TIMEOUT_MS, lease_duration_ms
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.observability.events import Event
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    MAX_LEASE_MS,
    SMALL,
    CellHarness,
    make_job,
    make_task_key,
)

TASK = make_task_key()
# The worker counts as silent, and its runs have been reviewed once.
NOTICED_MS = REPORT_TIMEOUT_MS + 500.0
LONGEST_LEASE_MS = lease_duration_ms(MAX_LEASE_MS)
LONG_TASK_MS = 600_000
TICK_MS = 100.0


def send_start(step=None):
    """Start a task; returns the harness and the command, which has not been delivered."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, step or Step(1, SMALL, LONG_TASK_MS)))
    (start,) = harness.schedule()
    harness.cell.should_send_start(start, harness.now)
    return harness, start


def silence(harness, ms=NOTICED_MS):
    harness.workers["w0"].is_up = False
    harness.advance(ms)


def lose_start():
    """Leave the start of a task without an answer, on a worker that stays silent."""
    harness, start = send_start()
    harness.lose_command(start)
    silence(harness)
    return harness


def run_listed_task(step=None):
    """Start a task whose run a report lists."""
    harness, start = send_start(step)
    harness.deliver_command(start)
    harness.settle()
    return harness


def count_awaited(harness):
    return dict(harness.cell.state.awaited_runs.summarize(harness.now).by_reason)


def test_the_line_of_an_unanswered_start_names_the_run_the_worker_and_the_end(fields_of):
    """Guard against a job that stands still with no line between its start and its loss (LOST)."""
    harness = lose_start()
    (line,) = fields_of(Event.RUNS_AWAITED)
    assert line["runs"] == {TASK.to_text(): 1}
    assert (line["worker"], line["reason"], line["count"]) == ("w0", "late_start", 1)
    assert REPORT_TIMEOUT_MS <= line["silent_ms"] <= NOTICED_MS
    sent_to_end_ms = MAX_START_LATENESS_MS + LONGEST_LEASE_MS
    assert sent_to_end_ms - NOTICED_MS <= line["until_ms"] <= sent_to_end_ms - REPORT_TIMEOUT_MS
    harness.advance(line["until_ms"] + NOTICED_MS)
    assert TASK.to_text() in [lost["task"] for lost in fields_of(Event.RUN_LOST)]


def test_the_line_of_a_listed_run_names_the_lease(fields_of):
    """Guard against a wait for a lease that looks like one for a start that comes late."""
    harness = run_listed_task()
    silence(harness)
    (line,) = fields_of(Event.RUNS_AWAITED)
    assert line["reason"] == "lease"
    assert 0 < line["until_ms"] <= lease_duration_ms(LEASE_MS) - REPORT_TIMEOUT_MS


def test_a_new_owner_that_never_hears_the_worker_names_the_earlier_one(fields_of):
    """Guard against an owner that waits anew, on a worker that it knows from the store only."""
    harness = run_listed_task()
    harness.workers["w0"].is_up = False
    harness.take_over([make_job("0" * 16)], harness.save_progress())
    silence(harness)
    (line,) = fields_of(Event.RUNS_AWAITED)
    assert (line["reason"], line["silent_ms"]) == ("earlier_owner", None)
    assert 0 < line["until_ms"] <= 1.1 * MAX_LEASE_MS - REPORT_TIMEOUT_MS


def test_a_suspended_lease_counts_as_silence_before_the_report_timeout(fields_of):
    """Guard against a wait that is not seen although a holder has reported the silence."""
    harness = run_listed_task()
    harness.cell.state.workers["w0"].lease.is_suspended = True
    harness.advance(500.0)
    (line,) = fields_of(Event.RUNS_AWAITED)
    assert line["silent_ms"] < REPORT_TIMEOUT_MS


def test_one_line_is_written_for_a_run_and_reason(fields_of):
    """Guard against a line at each tick for as long as a worker is silent."""
    harness = lose_start()
    harness.advance(10 * REVIEW_INTERVAL_MS)
    assert count_awaited(harness) == {AwaitReason.LATE_START: 1}
    assert len(fields_of(Event.RUNS_AWAITED)) == 1


def test_a_further_line_is_written_when_the_reason_changes(fields_of):
    """Guard against a line that names the lease when a start has prolonged the wait since."""
    harness = run_listed_task()
    silence(harness)
    run = harness.cell.state.workers["w0"].runs[TASK]
    run.repeated_ms = harness.now
    harness.advance(REVIEW_INTERVAL_MS)
    lines = fields_of(Event.RUNS_AWAITED)
    assert [line["reason"] for line in lines] == ["lease", "late_start"]
    assert lines[0]["until_ms"] < lines[1]["until_ms"]


def test_a_worker_with_many_runs_writes_few_lines_that_name_each_task(fields_of):
    """Guard against a flood of lines, and against a waiting task that no line names."""
    harness = CellHarness.with_workers(1, capacity=Resources(100_000, 100_000, 0))
    harness.submit(make_job("0" * 16, Step(100, SMALL, LONG_TASK_MS)))
    harness.settle(10)
    harness.workers["w0"].is_up = False
    for _ in range(int((NOTICED_MS + 1_000.0) / TICK_MS)):
        earlier = len(fields_of(Event.RUNS_AWAITED))
        harness.advance(TICK_MS)
        assert len(fields_of(Event.RUNS_AWAITED)) <= earlier + 1
    assert not fields_of(Event.RUN_LOST)
    lines = fields_of(Event.RUNS_AWAITED)
    assert len(lines) == 100 / MAX_NAMED_RUNS
    assert {line["count"] for line in lines} == {100}
    named = {task for line in lines for task in line["runs"]}
    assert named == {make_task_key(index=index).to_text() for index in range(100)}


def test_an_owner_that_was_paused_takes_no_worker_for_silent(fields_of):
    """Guard against a line for each worker of the cell after a pause of the owner."""
    harness = run_listed_task()
    harness.now += REPORT_TIMEOUT_MS + 100.0
    harness.cell.tick(harness.now, harness.now)
    harness.advance(1_000.0)
    assert fields_of(Event.RUNS_AWAITED) == []


def test_a_worker_that_is_heard_ends_the_wait_and_a_second_silence_is_logged_again(fields_of):
    """Guard against a metric that stays up, and a later standstill of the same run unseen."""
    harness = run_listed_task()
    silence(harness)
    assert count_awaited(harness) == {AwaitReason.LEASE: 1}
    harness.workers["w0"].is_up = True
    harness.advance(200.0)
    assert count_awaited(harness) == {}
    silence(harness)
    assert len(fields_of(Event.RUNS_AWAITED)) == 2


def test_the_run_of_a_cancelled_job_is_not_awaited(fields_of):
    """Guard against a metric that counts runs for which no task waits."""
    harness = run_listed_task()
    harness.cell.cancel_job("0" * 16, harness.now)
    silence(harness)
    assert fields_of(Event.RUNS_AWAITED) == []
    assert count_awaited(harness) == {}


@pytest.mark.parametrize("lasts", [False, True])
def test_metrics_show_the_wait_and_how_long_it_took(lasts):
    """Guard against a standstill that no metric shows, for tasks and for services."""
    step = Step(1, SMALL, 0 if lasts else LONG_TASK_MS, lasting=lasts)
    harness = run_listed_task(step)
    silence(harness, lease_duration_ms(LEASE_MS) + 500.0)
    (wait,) = harness.cell.state.awaited_runs.take_ended_waits()
    assert wait.reason is AwaitReason.LEASE
    assert wait.waited_ms == pytest.approx(lease_duration_ms(LEASE_MS), abs=200.0)
    assert harness.cell.state.awaited_runs.take_ended_waits() == []
    metrics = NodeMetrics()
    metrics.observe_ended_waits([wait])
    text = metrics.exposition()[0].decode()
    assert 'baobabhoist_awaited_run_seconds_bucket{le="5.0",reason="lease"} 0' in text
    assert 'baobabhoist_awaited_run_seconds_bucket{le="7.5",reason="lease"} 1' in text
