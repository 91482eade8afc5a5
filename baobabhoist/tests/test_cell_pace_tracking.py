"""Test that a change of a worker's speed is noticed while its tasks still run."""

import pytest

from baobabhoist.cell.model import ActiveRun, Resources, Step, WorkerReport
from baobabhoist.cell.pace_tracking import RunPace
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.cell.speed_estimates import SpeedEstimates
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_task_key

WHOLE_WORKER = Resources(4000, 512, 0)


def make_harness(**step):
    harness = CellHarness.with_workers(1)
    harness.cell.state.policy = SchedulingPolicy(tracks_pace=True)
    harness.submit(make_job("0" * 16, Step(1, WHOLE_WORKER, 10_000, **step)))
    harness.settle()
    return harness


def report_progress(harness, percents, interval_ms=500.0):
    """Report the progress of the run every `interval_ms`, and return the slowdown then."""
    state = harness.cell.state.workers["w0"]
    run = next(iter(state.runs.values()))
    for percent in percents:
        harness.now += interval_ms
        active = ActiveRun(make_task_key(), run.number, "", percent)
        report = WorkerReport(round(harness.now), state.started_unix_ms, (active,), ())
        harness.cell.handle_report("w0", report, harness.now, harness.now)
    return harness.cell.state.speeds.worker_slowdown("w0")


def test_a_worker_that_turns_five_times_slower_is_noticed_by_its_next_report():
    """Guard against urgent tasks on a worker whose slowness only ended runs would show."""
    harness = make_harness()
    assert report_progress(harness, [5.0, 10.0, 15.0]) == 1.0
    assert report_progress(harness, [16.0]) == pytest.approx(5.0)


def test_a_worker_that_recovers_is_noticed_too():
    """Guard against a worker that is avoided after it has become fast again."""
    harness = make_harness()
    report_progress(harness, [5.0, 10.0, 15.0, 16.0])
    assert report_progress(harness, [21.0]) == pytest.approx(1.0)


def test_slow_first_percents_and_frequent_reports_do_not_count():
    """Guard against a worker that counts as slow because its tasks take long to start."""
    harness = make_harness()
    assert report_progress(harness, [1.0, 6.0, 11.0]) == 1.0
    assert report_progress(harness, [11.1], interval_ms=100.0) == 1.0


def test_the_progress_of_a_gang_does_not_tell_the_speed_of_one_worker():
    """Guard against members on fast workers that count as slow because of another member."""
    harness = make_harness(gang=True)
    assert report_progress(harness, [5.0, 10.0, 15.0, 16.0]) == 1.0


def test_what_ended_runs_tell_stands_while_the_pace_of_a_run_is_steady():
    """Guard against a slow worker that counts as fast because a long run on it began earlier."""
    harness = make_harness()
    report_progress(harness, [5.0, 10.0])
    harness.cell.state.speeds.reset_worker("w0", 4.0)
    assert report_progress(harness, [15.0, 20.0]) == pytest.approx(4.0)


def test_a_worker_that_warms_up_does_not_count_as_faster_than_it_is():
    """Guard against a worker preferred for good because its run sped up when it was warm."""
    harness = make_harness()
    info = harness.workers["w0"].info(cold_for_ms=1_800)
    harness.cell.update_worker(info, harness.now)
    assert report_progress(harness, [1.0, 2.0, 3.0]) == 1.0
    assert report_progress(harness, [8.0, 13.0, 18.0]) == 1.0
    assert report_progress(harness, [19.0]) == pytest.approx(5.0)


def test_a_clock_that_was_set_back_is_no_change_of_speed():
    """Guard against a worker that counts as fast once its clock has caught up."""
    speeds, pace = SpeedEstimates(), RunPace()
    for percent, clock_ms in ((5.0, 10_000.0), (10.0, 10_500.0), (15.0, 11_000.0)):
        pace.observe(speeds, "w0", percent, clock_ms)
    for number in range(1, 10):
        pace.observe(speeds, "w0", 15.0 + 5.0 * number, 8_900.0 + 500.0 * number)
        assert speeds.worker_slowdown("w0") == 1.0
    pace.observe(speeds, "w0", 61.0, 13_900.0)
    assert speeds.worker_slowdown("w0") == pytest.approx(5.0)


@pytest.mark.parametrize("percent_per_report", [1.3, 1.5, 2.6])
def test_rounded_percents_are_no_change_of_speed(percent_per_report):
    """Guard against steady runs whose whole percents, by turns 1 and 2, look like a change."""
    harness = make_harness()
    percents = [float(int(percent_per_report * number)) for number in range(1, 30)]
    for percent in percents:
        assert report_progress(harness, [percent], interval_ms=400.0) == 1.0
    slow = [percents[-1] + number for number in (1.0, 2.0)]
    assert report_progress(harness, slow, interval_ms=4_000.0) > 2.0
