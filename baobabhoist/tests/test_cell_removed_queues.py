"""Test jobs whose queue or team is removed from the configuration while they run."""

import attrs
import pytest

from baobabhoist.cell.model import NO_RESOURCES, CellRules, JobPhase, Resources, RunOutcome, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

ID = "0" * 16
NO_RULES = CellRules(2, {}, {})
FOUR_STARTS = 4


def fail_until_ended(harness):
    """Let each run of the task fail; return the number of starts."""
    worker = harness.workers["w0"]
    for _ in range(2 * FOUR_STARTS):
        harness.advance(2_000.0)
        if make_task_key() in worker.runs:
            harness.end_run(make_task_key(), RunOutcome.FAILED)
    return len(worker.started_runs)


@pytest.mark.parametrize("changes", [1, 3])
def test_tasks_of_a_removed_queue_have_as_many_attempts_as_before(changes):
    """Guard against tasks that fail and start again without end (BUDGET, review/5)."""
    harness = CellHarness.with_workers(1, make_rules(max_attempts=FOUR_STARTS))
    harness.submit(make_job())
    harness.settle()
    for _ in range(changes):
        harness.cell.set_rules(NO_RULES)
    assert fail_until_ended(harness) == FOUR_STARTS
    assert harness.job_phase() is JobPhase.FAILED


def test_the_next_owner_keeps_the_number_of_attempts_of_a_removed_queue():
    """Guard against the same after a change of the owner, which never knew the queue."""
    harness = CellHarness.with_workers(1, make_rules(max_attempts=FOUR_STARTS))
    job = attrs.evolve(make_job(), max_attempts=FOUR_STARTS)
    harness.submit(job)
    harness.settle()
    harness.end_run(make_task_key(), RunOutcome.FAILED)
    harness.cell_rules = NO_RULES
    harness.take_over([job], harness.save_progress())
    assert fail_until_ended(harness) == FOUR_STARTS
    assert harness.job_phase() is JobPhase.FAILED


def test_a_job_whose_attempts_are_used_up_is_not_continued():
    """Guard against one start more by an owner that only reads of the last failure."""
    harness = CellHarness.with_workers(1, make_rules(max_attempts=2))
    harness.submit(make_job())
    harness.settle()
    harness.end_run(make_task_key(), RunOutcome.FAILED)
    harness.cell_rules = make_rules(max_attempts=1)
    harness.take_over([make_job()], harness.save_progress())
    assert harness.job_phase() is JobPhase.FAILED


def test_a_removed_team_keeps_its_limit():
    """Guard against a team that takes the whole cell because its limit was removed (QUOTA)."""
    harness = CellHarness.with_workers(3, make_rules(limit=Resources(cpu=2000)))
    harness.submit(make_job(ID, Step(6, SMALL, 60_000)))
    harness.cell.set_rules(NO_RULES)
    harness.settle()
    assert len(harness.running_tasks()) == 2


def test_what_no_unfinished_job_needs_is_forgotten():
    """Guard against memory that grows with each queue that was ever removed."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.cell.set_rules(NO_RULES)
    assert list(harness.cell.state.removed_queues) == ["q"]
    harness.cell.cancel_job(ID, harness.now)
    harness.cell.set_rules(make_rules(limit=NO_RESOURCES))
    harness.cell.set_rules(NO_RULES)
    assert not harness.cell.state.removed_queues
    assert not harness.cell.state.removed_teams
