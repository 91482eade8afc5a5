"""Test which waiting work counts towards the load of a pool."""

from baobabhoist.cell import load_meter
from baobabhoist.cell.model import Step
from baobabhoist.tests.admission_harness import AdmissionHarness
from baobabhoist.tests.cell_harness import SMALL

ONE_TASK = Step(1, SMALL, 1000)


def test_a_job_that_cannot_be_measured_is_left_out(monkeypatch):
    """Guard against one job that ends each owner in turn, before it is given up."""
    harness = AdmissionHarness()
    harness.submit("steady", ONE_TASK)
    monkeypatch.setattr(load_meter, "timeliness_of", lambda job, now: 1 / 0)
    # Measured directly, because the control would hide an error behind an empty table.
    meter = load_meter.LoadMeter(harness.cell_harness.cell.state, None)
    loads = meter.measure(harness.cell_harness.now).values()
    assert not any(group.work for load in loads for group in load.groups.values())
    harness.control.update(harness.cell_harness.now)
    assert not harness.rows
