"""Test that cold workers are used last and filled gently, and don't spoil speed estimates."""

import pytest

from baobabhoist.cell.model import AdviceTerms, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

COLD_MS = 5_000


def make_cold(harness, *worker_ids):
    for worker_id in worker_ids:
        info = harness.workers[worker_id].info(cold_for_ms=COLD_MS)
        harness.cell.update_worker(info, harness.now)


@pytest.fixture
def harness():
    harness = CellHarness.with_workers(2)
    make_cold(harness, "w0")
    return harness


def test_cold_workers_get_tasks_only_when_warm_ones_are_full(harness):
    """Guard against tasks on workers that came back cold while others are free."""
    harness.submit(make_job("0" * 16, Step(4, SMALL, 60_000)))
    harness.settle()
    assert {worker for _, worker in harness.running_tasks()} == {"w1"}
    harness.submit(make_job("1" * 16, Step(1, SMALL, 60_000)))
    harness.settle()
    assert len(harness.workers["w0"].runs) == 1


def test_cold_worker_starts_one_task_at_a_time(harness):
    """Guard against a burst of starts on a worker that is still warming up."""
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(8, SMALL, 60_000)))
    harness.schedule()
    harness.schedule()
    assert [c.worker_id for c in harness.undelivered].count("w0") == 1


def test_a_gang_that_needs_several_starts_on_cold_workers_does_not_wait_until_they_are_warm(
    harness,
):
    """Guard against gangs for which nothing runs in an empty cell that has just been restarted."""
    make_cold(harness, "w1")
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(6, SMALL, 60_000, gang=True)))
    harness.schedule()
    assert len(harness.undelivered) == 6


def test_cold_worker_is_used_as_any_other_once_it_is_warm(harness):
    """Guard against a worker that counts as cold for good because its entry does not change."""
    harness.advance(COLD_MS / 2)
    harness.cell.sync_directory(
        [harness.workers["w0"].info(cold_for_ms=COLD_MS), harness.workers["w1"].info()],
        harness.now,
    )
    harness.advance(COLD_MS / 2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(8, SMALL, 60_000)))
    harness.schedule()
    assert [c.worker_id for c in harness.undelivered].count("w0") == 4


def test_runs_on_cold_workers_do_not_change_the_speed_estimates(harness):
    """Guard against a worker that counts as slow for long because it was cold once."""
    make_cold(harness, "w1")
    harness.submit(make_job("0" * 16, Step(1, SMALL, 500)))
    harness.settle()
    harness.advance(900)
    harness.end_run(make_task_key())
    assert not harness.cell.state.speeds.workers


def test_advice_is_asked_for_warm_workers_first():
    """Guard against tickets for cold workers, which are the most free ones."""
    harness = CellHarness.with_workers(8, make_rules(advice=AdviceTerms(10.0, 10.0, 2_500)))
    make_cold(harness, "w0", "w1", "w2", "w3")
    harness.submit(make_job("0" * 16, Step(2, SMALL, 60_000)))
    harness.schedule()
    assert set(harness.advice_requests[0].workers) <= {"w4", "w5", "w6", "w7"}
