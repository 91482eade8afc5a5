"""Test the load of a gang among small work: it gets its room although small tasks keep coming."""

from baobabhoist.cell.model import RunOutcome, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key


def fill(rig, first, count):
    for number in range(first, first + count):
        rig.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    rig.settle()


def test_a_gang_gathers_room_while_small_tasks_keep_coming():
    """Guard against a gang that never finds all its places free at once."""
    rig = CellHarness.with_workers(2)
    fill(rig, 0, 8)
    gang = "a" * 16
    rig.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    rig.settle()
    fill(rig, 100, 20)
    for number in range(8):
        if any(key.job_id == gang for key, _ in rig.running_tasks()):
            break
        rig.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in rig.running_tasks()) == 4


def test_room_that_no_gang_waits_for_is_used():
    """Guard against cores that stay idle for a gang which could never fit."""
    rig = CellHarness.with_workers(2)
    rig.submit(make_job("a" * 16, Step(50, SMALL, 100, gang=True)))
    fill(rig, 0, 8)
    assert len(rig.running_tasks()) == 8


def test_a_gang_gets_its_teams_limit_although_small_tasks_keep_coming():
    """Guard against a gang that waits for ever while its team's small work takes the limit."""
    rig = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    fill(rig, 0, 4)
    gang = "a" * 16
    rig.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    fill(rig, 100, 20)
    for number in range(4):
        rig.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in rig.running_tasks()) == 4


def test_a_gang_wider_than_its_teams_limit_holds_nothing_up():
    """Guard against a team that stands still for a gang which its limit can never hold."""
    rig = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    rig.submit(make_job("a" * 16, Step(5, SMALL, 100, gang=True)))
    fill(rig, 0, 4)
    assert len(rig.running_tasks()) == 4
