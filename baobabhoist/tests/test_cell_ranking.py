"""Test the load of more work than room: what can still be served in time comes first."""

from baobabhoist.cell.model import CellRules, Queue, Resources, Step, Team
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_task_key

WIDE = Resources(4000, 512, 0)


def full_rig():
    """Return a cell of one worker that one long task fills."""
    queues = {"q": Queue("q", "svc", 1, 3, 2.0, 1000), "urgent": Queue("urgent", "svc", 0, 3, 2.0)}
    rig = CellHarness.with_workers(1, CellRules(1, queues, {"team": Team("team")}))
    rig.submit(make_job("f" * 16, Step(1, WIDE, 1000)))
    rig.settle()
    return rig


def next_started(rig):
    rig.end_run(make_task_key("f" * 16))
    return rig.running_tasks()[0][0].job_id


def test_what_can_still_be_in_time_goes_before_what_is_late():
    """Guard against a full cell that serves only work which is worth little by now."""
    rig = full_rig()
    rig.submit(make_job("0" * 16, Step(1, WIDE, 1000)))
    rig.now += 2_500.0
    rig.workers["w0"].advance(2_500.0)
    rig.submit(make_job("1" * 16, Step(1, WIDE, 1000)))
    assert timeliness_of(rig.cell.find_job("0" * 16), rig.now) is Timeliness.LATE
    assert next_started(rig) == "1" * 16


def test_a_hopeless_job_waits_for_all_others():
    """Guard against room given to work that is worth nothing any more."""
    rig = full_rig()
    rig.submit(make_job("0" * 16, Step(1, WIDE, 1000)))
    rig.cell.find_job("0" * 16).accepted_local_ms -= 100_000.0
    rig.cell.find_job("0" * 16).objective_ms -= 100_000.0
    assert timeliness_of(rig.cell.find_job("0" * 16), rig.now) is Timeliness.EXPIRED
    rig.submit(make_job("1" * 16, Step(1, WIDE, 1000)))
    assert next_started(rig) == "1" * 16


def test_among_equals_the_one_with_least_time_to_spare_comes_first():
    """Guard against a short job that is late because a longer objective came earlier."""
    rig = full_rig()
    rig.submit(make_job("0" * 16, Step(1, WIDE, 3000)))
    rig.submit(make_job("1" * 16, Step(1, WIDE, 500)))
    assert next_started(rig) == "1" * 16
