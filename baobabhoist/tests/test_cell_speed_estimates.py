"""Test the load of unlike workers: fast ones are found although declared times are off."""

import random

from baobabhoist.cell.model import Step
from baobabhoist.cell.speed_estimates import SpeedEstimates
from baobabhoist.control.rowmap import decode_speeds, encode_speeds
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job

SPEEDS = {"fast": 0.7, "mean": 1.0, "slow": 1.7}


def learn(off, tasks, seed=1):
    rng = random.Random(seed)
    speeds = SpeedEstimates()
    for number in range(tasks):
        worker = sorted(SPEEDS)[number % 3]
        declared = 1000.0 * rng.lognormvariate(0.0, 0.5)
        took = declared * 1.4 * SPEEDS[worker] * rng.lognormvariate(0.0, off)
        speeds.observe(worker, "q", took, declared)
    return speeds


def test_slow_workers_are_known_after_a_few_tasks():
    """Guard against short jobs that miss their objective on a slow worker for long."""
    speeds = learn(0.3, 18)
    assert (
        speeds.worker_slowdown("fast")
        < speeds.worker_slowdown("mean")
        < speeds.worker_slowdown("slow")
    )
    assert speeds.worker_slowdown("slow") / speeds.worker_slowdown("fast") > 1.7


def test_times_that_are_far_off_move_the_figures_less():
    """Guard against one misdeclared job that makes a good worker look slow."""
    speeds = learn(0.2, 60)
    before = speeds.worker_slowdown("fast")
    for _ in range(20):
        speeds.observe("mean", "wild", 30_000.0, 1000.0)
        speeds.observe("mean", "wild", 100.0, 1000.0)
    speeds.observe("fast", "wild", 9_000.0, 1000.0)
    assert speeds.worker_slowdown("fast") < 1.15 * before


def test_a_worker_that_turns_slow_is_seen():
    """Guard against a figure that never changes again."""
    speeds = learn(0.2, 200)
    for _ in range(12):
        speeds.observe("fast", "q", 1400.0 * 5.0, 1000.0)
    assert speeds.worker_slowdown("fast") > speeds.worker_slowdown("slow")


def test_the_fastest_free_worker_comes_first():
    """Guard against speeds that are learned and not used."""
    rig = CellHarness.with_workers(3)
    for _ in range(10):
        for worker, took in (("w0", 1700.0), ("w1", 700.0), ("w2", 1000.0)):
            rig.cell.state.speeds.observe(worker, "q", took, 1000.0)
    rig.submit(make_job("0" * 16, Step(1, SMALL, 2000)))
    rig.settle()
    assert rig.running_tasks()[0][1] == "w1"


def test_what_was_learned_outlasts_its_owner():
    """Guard against a takeover after which short jobs meet slow workers again."""
    speeds = learn(0.2, 30)
    assert decode_speeds(encode_speeds(speeds)) == speeds
