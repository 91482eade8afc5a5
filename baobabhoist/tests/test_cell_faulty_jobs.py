"""Test that a job which makes the scheduler raise takes no owner down."""

import pytest

from baobabhoist.cell import placer as placer_module
from baobabhoist.cell.model import JobPhase
from baobabhoist.tests.cell_harness import CellHarness, make_job

FAULTY, SOUND = "0" * 16, "1" * 16


def raise_for_faulty_job(function):
    def wrapper(step, *args):
        if step.job.job_id == FAULTY:
            raise ZeroDivisionError("a fault of the scheduler")
        return function(step, *args)

    return wrapper


@pytest.mark.parametrize("name", ["rank_step", "_min_need"])
def test_a_job_that_makes_the_scheduler_raise_is_given_up_and_others_go_on(name, monkeypatch):
    """Guard against one job that takes down each owner that loads it, one after the other."""
    monkeypatch.setattr(placer_module, name, raise_for_faulty_job(getattr(placer_module, name)))
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(FAULTY))
    harness.submit(make_job(SOUND))
    harness.settle()
    assert harness.job_phase(FAULTY) is JobPhase.FAILED
    assert harness.job_phase(SOUND) is JobPhase.RUNNING
    assert FAULTY in harness.save_progress()
