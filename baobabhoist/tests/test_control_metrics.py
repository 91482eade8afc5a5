"""Test the metrics that say why jobs wait, and that their labels are bounded."""

from baobabhoist.cell.awaited_runs import AwaitReason
from baobabhoist.cell.model import CommandOutcome, Step
from baobabhoist.cell.shares import TeamFigures
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_summary import WaitingSummary, summarize_waiting
from baobabhoist.cell.worker_conditions import WorkerCondition
from baobabhoist.control.interfaces import AdviceOutcome
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job


def lines_of(metrics, name):
    text = metrics.exposition()[0].decode()
    return [line for line in text.splitlines() if line.startswith(f"baobabhoist_{name}")]


def test_waiting_tasks_by_reason_and_workers_by_condition():
    """Guard against a waiting cell whose metrics don't say whether room or workers are missing."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("0" * 16, Step(13, SMALL, 60_000)))
    harness.cell.unlist_worker("w1", harness.now)
    harness.schedule()
    metrics = NodeMetrics()
    metrics.set_waiting(summarize_waiting(harness.cell.state, harness.now))
    assert 'baobabhoist_waiting_tasks{reason="no_room"} 9' in lines_of(metrics, "waiting_tasks")
    workers = lines_of(metrics, "workers")
    assert 'baobabhoist_workers{condition="usable"} 1' in workers
    assert 'baobabhoist_workers{condition="unlisted"} 1' in workers


def test_awaited_runs_by_reason():
    """Guard against a job that stands still although no metric says that a task waits (LOST)."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(3, SMALL, 60_000)))
    harness.settle()
    harness.workers["w0"].is_up = False
    harness.advance(3_000.0)
    metrics = NodeMetrics()
    metrics.set_waiting(summarize_waiting(harness.cell.state, harness.now))
    assert 'baobabhoist_awaited_runs{reason="lease"} 3' in lines_of(metrics, "awaited_runs")
    metrics.set_waiting(WaitingSummary())
    values = [line.split()[-1] for line in lines_of(metrics, "awaited_runs")]
    assert values == ["0"] * len(AwaitReason)


def test_gauges_of_an_instance_that_no_longer_owns_the_cell_are_zero():
    """Guard against a former owner whose metrics still show waiting tasks."""
    harness = CellHarness.with_workers(0)
    harness.submit(make_job())
    harness.schedule()
    metrics = NodeMetrics()
    metrics.set_waiting(summarize_waiting(harness.cell.state, harness.now))
    metrics.set_waiting(WaitingSummary())
    values = [line.split()[-1] for line in lines_of(metrics, "waiting_tasks")]
    assert values == ["0"] * len(WaitReason)
    assert len(lines_of(metrics, "workers")) == len(WorkerCondition)


def test_shares_on_an_instance_that_no_longer_owns_the_cell_are_zero():
    """Guard against two instances that both show what a team has, one of them out of date."""
    metrics = NodeMetrics()
    metrics.set_team_shares([TeamFigures("a", 1.5, 20.0, 3)])
    metrics.set_team_shares([])
    for name in ("team_share_ratio", "team_past_use_seconds", "team_jobs_beyond"):
        values = [line.split()[-1] for line in lines_of(metrics, name)]
        assert [float(value) for value in values] == [0.0]


def test_failed_starts_advice_and_loop_lag_are_counted():
    """Guard against rejected starts, late advice or a blocked loop that no metric shows."""
    metrics = NodeMetrics()
    for _ in range(2):
        metrics.count_failed_start(CommandOutcome.NO_TICKET)
    metrics.count_advice(AdviceOutcome.LATE)
    metrics.observe_loop_lag(0.3)
    failed = 'baobabhoist_failed_starts_total{reason="no_ticket"} 2'
    assert lines_of(metrics, "failed_starts_total") == [failed]
    late = 'baobabhoist_advice_queries_total{outcome="late"} 1'
    assert lines_of(metrics, "advice_queries_total") == [late]
    assert "baobabhoist_loop_lag_seconds_count 1" in "\n".join(lines_of(metrics, "loop_lag"))
