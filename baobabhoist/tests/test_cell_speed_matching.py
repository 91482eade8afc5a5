"""Test the placement of jobs with and without slack on workers of different speed."""

from baobabhoist.cell.model import CellRules, Queue, Resources, Step, Team
from baobabhoist.cell.speed_matching import speed_cost
from baobabhoist.tests.cell_harness import CellHarness, make_job

SLOWDOWNS = {"w0": 0.7, "w1": 0.7, "w2": 1.7}
HALF = Resources(2000, 512, 0)


def cheapest_slowdown(tolerance):
    return min(SLOWDOWNS.values(), key=lambda slowdown: speed_cost(slowdown, tolerance))


def test_urgent_jobs_take_the_fastest_worker_and_others_the_slowest_that_suffices():
    """Guard against late short jobs because jobs with slack occupy the fast workers."""
    assert cheapest_slowdown(1.2) == 0.7
    assert cheapest_slowdown(4.0) == 1.7
    assert cheapest_slowdown(2.5) == 0.7
    assert cheapest_slowdown(3.2) == 0.7


def test_jobs_with_slack_leave_the_fast_workers_free():
    """Guard against urgent jobs on slow workers at low load, when jobs with slack came first.

    Found in run "wm quiet-1".
    """
    queues = {"q": Queue("q", "svc", 1, 3, 6.0, 1000), "fast": Queue("fast", "svc", 0, 3, 1.2, 0)}
    harness = CellHarness.with_workers(3, CellRules(1, queues, {"team": Team("team")}))
    for _ in range(12):
        for worker, slowdown in SLOWDOWNS.items():
            harness.cell.state.speeds.observe(worker, "q", 1000.0 * slowdown, 1000.0)
            harness.cell.state.speeds.observe(worker, "fast", 1000.0 * slowdown, 1000.0)
    harness.submit(make_job("0" * 16, Step(2, HALF, 1000)))
    harness.settle()
    assert {worker for _, worker in harness.running_tasks()} == {"w2"}
