"""Test the load of patient and urgent work on workers of unlike speed."""

from baobabhoist.cell.model import CellRules, Queue, Resources, Step, Team
from baobabhoist.cell.speed_matching import speed_cost
from baobabhoist.tests.cell_harness import CellHarness, make_job

SPEEDS = {"w0": 0.7, "w1": 0.7, "w2": 1.7}
HALF = Resources(2000, 512, 0)


def best(tolerated):
    return min(SPEEDS.values(), key=lambda factor: speed_cost(factor, tolerated))


def test_urgent_work_takes_the_fastest_worker_and_patient_work_the_slowest_that_will_do():
    """Guard against short jobs that are late because patient ones hold the fast workers."""
    assert best(1.2) == 0.7
    assert best(4.0) == 1.7
    assert best(2.5) == 0.7
    assert best(3.2) == 0.7


def test_patient_work_leaves_the_fast_workers_free():
    """Guard against a quiet day on which whistle entries run on slow workers (wm quiet-1)."""
    queues = {"q": Queue("q", "svc", 1, 3, 6.0, 1000), "fast": Queue("fast", "svc", 0, 3, 1.2, 0)}
    rig = CellHarness.with_workers(3, CellRules(1, queues, {"team": Team("team")}))
    for _ in range(12):
        for worker, factor in SPEEDS.items():
            rig.cell.state.speeds.observe(worker, "q", 1000.0 * factor, 1000.0)
            rig.cell.state.speeds.observe(worker, "fast", 1000.0 * factor, 1000.0)
    rig.submit(make_job("0" * 16, Step(2, HALF, 1000)))
    rig.settle()
    assert {worker for _, worker in rig.running_tasks()} == {"w2"}
