"""Test that a steady stream of small tasks does not starve a gang."""

from baobabhoist.cell.model import RunOutcome, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key


def submit_small_jobs(harness, first, count):
    for number in range(first, first + count):
        harness.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    harness.settle()


def test_a_gang_gets_reserved_workers_while_small_tasks_keep_arriving():
    """Guard against starvation of a gang that never finds enough free workers at once."""
    harness = CellHarness.with_workers(2)
    submit_small_jobs(harness, 0, 8)
    gang = "a" * 16
    harness.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    harness.settle()
    submit_small_jobs(harness, 100, 20)
    for number in range(8):
        if any(key.job_id == gang for key, _ in harness.running_tasks()):
            break
        harness.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in harness.running_tasks()) == 4


def test_no_workers_are_reserved_for_a_gang_that_can_never_fit():
    """Guard against cores that stay idle for a gang larger than the cell."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("a" * 16, Step(50, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 0, 8)
    assert len(harness.running_tasks()) == 8


def test_a_gang_gets_its_teams_limit_while_small_tasks_keep_arriving():
    """Guard against starvation of a gang whose team's small tasks use up the limit."""
    harness = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    submit_small_jobs(harness, 0, 4)
    gang = "a" * 16
    harness.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 100, 20)
    for number in range(4):
        harness.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in harness.running_tasks()) == 4


def test_a_gang_larger_than_its_teams_limit_does_not_block_others():
    """Guard against a team that is blocked by a gang which its limit never admits."""
    harness = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    harness.submit(make_job("a" * 16, Step(5, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 0, 4)
    assert len(harness.running_tasks()) == 4


def test_no_more_workers_are_reserved_than_the_limit_per_worker_allows():
    """Guard against workers that stay idle for a gang which its limit per worker never admits."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("a" * 16, Step(4, SMALL, 100, gang=True, most_per_worker=1)))
    submit_small_jobs(harness, 0, 8)
    assert len(harness.running_tasks()) == 8
