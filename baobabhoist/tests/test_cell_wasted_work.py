"""Test that the work which runs throw away is counted once, under its cause."""

import pytest

from baobabhoist.cell.model import CommandOutcome, RunOutcome, Step
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key

JOB = "0" * 16


def run_for(ms, *steps, workers=2):
    harness = CellHarness.with_workers(workers)
    harness.submit(make_job(JOB, *steps))
    harness.settle()
    harness.advance(ms)
    return harness


def wasted(harness):
    return {cause: core_s for (_, cause), core_s in harness.cell.state.waste.core_s.items()}


def test_a_cancelled_job_throws_away_all_its_work():
    """Guard against a cause of waste that no metric shows."""
    harness = run_for(2_000, Step(2, SMALL, 60_000))
    harness.cell.cancel_job(JOB, harness.now)
    harness.settle()
    assert wasted(harness) == {WasteCause.JOB_ENDED: pytest.approx(4.0, abs=0.1)}


def test_work_before_the_last_checkpoint_is_not_wasted():
    """Guard against victims chosen by their age although a checkpoint has saved their work."""
    harness = run_for(2_000, Step(1, SMALL, 60_000, checkpoints=True))
    harness.worker_running(make_task_key()).runs[make_task_key()].checkpoint = "half"
    harness.advance(500)
    harness.workers["w0"].restart()
    harness.workers["w1"].restart()
    harness.settle()
    assert wasted(harness) == {WasteCause.WORKER_LOST: pytest.approx(0.5, abs=0.15)}


def test_a_stop_that_reports_a_new_checkpoint_wastes_nothing():
    """Guard against a price on stops of checkpointing tasks that lose nothing."""
    harness = run_for(2_000, Step(1, SMALL, 60_000, checkpoints=True))
    harness.end_run(make_task_key(), RunOutcome.STOPPED, "at the stop")
    assert wasted(harness) == {}


def test_a_gang_throws_away_the_work_of_its_other_members():
    """Guard against the loss of a whole gang counted as that of the member which failed."""
    harness = run_for(2_000, Step(4, SMALL, 60_000, gang=True))
    harness.end_run(make_task_key(), RunOutcome.FAILED)
    assert wasted(harness)[WasteCause.FAILED] == pytest.approx(2.0, abs=0.1)
    assert wasted(harness)[WasteCause.GANG_BROKEN] == pytest.approx(6.0, abs=0.2)


def test_the_wait_of_a_gang_for_its_last_member_is_counted():
    """Guard against gangs whose members start far apart, which no metric shows."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job(JOB, Step(2, SMALL.times(4), 60_000, gang=True)))
    first, second = harness.schedule()
    harness.deliver_command(first)
    harness.advance(1_000, renew=False)
    harness.deliver_command(second)
    assert wasted(harness) == {WasteCause.GANG_STARTING: pytest.approx(4.0, abs=0.1)}


def test_runs_that_end_well_or_never_began_waste_nothing():
    """Guard against a metric that grows on a healthy cell."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job(JOB, Step(2, SMALL, 60_000)))
    first, second = harness.schedule()
    harness.deliver_command(first)
    harness.cell.should_send_start(second, harness.now)
    harness.cell.handle_start_result(second, CommandOutcome.NO_ROOM, harness.now)
    harness.end_run(first.task)
    assert wasted(harness) == {}


def test_the_counter_grows_by_what_was_recorded_since_the_last_call():
    """Guard against work that is counted twice."""
    harness = run_for(2_000, Step(1, SMALL, 60_000))
    harness.cell.cancel_job(JOB, harness.now)
    harness.settle()
    metrics = NodeMetrics()
    for _ in range(2):
        metrics.add_wasted_work(harness.cell.state.waste)
    text = metrics.exposition()[0].decode()
    (line,) = [t for t in text.splitlines() if t.startswith("baobabhoist_wasted_core_seconds")]
    assert 'cause="job_ended"' in line
    assert float(line.split()[-1]) == pytest.approx(2.0, abs=0.1)
