"""Test that a run which goes on after it was given up leaves a line that names the reason."""

import pytest

from baobabhoist.cell.given_up_runs import GivenUpRuns
from baobabhoist.observability.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE, Event
from baobabhoist.testing.cell_worker import FakeRun
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_task_key


def listed_after_all(caplog):
    records = [r for r in caplog.records if hasattr(r, EVENT_ATTRIBUTE)]
    return [
        getattr(r, FIELDS_ATTRIBUTE)
        for r in records
        if getattr(r, EVENT_ATTRIBUTE) is Event.GIVEN_UP_RUN_LISTED
    ]


@pytest.mark.parametrize("restarts", [False, True], ids=["same_process", "next_process"])
def test_a_run_that_goes_on_after_its_lease_is_logged_with_its_process(restarts, caplog):
    """Guard against an incident whose log can't tell a short lease from another process."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    worker, task = harness.workers["w0"], make_task_key()
    worker.is_up = False
    harness.advance(12_000.0)
    worker.is_up = True
    if restarts:
        worker.restart()
    worker.runs[task] = FakeRun(task, 1)
    harness.settle()
    (fields,) = listed_after_all(caplog)
    assert fields["reason"] == "the lease of its worker has lapsed"
    assert fields["same_process"] is not restarts
    assert fields["ms_ago"] > 0


def test_the_oldest_runs_are_forgotten_first(monkeypatch):
    """Guard against memory that grows with each run that was ever given up."""
    monkeypatch.setattr("baobabhoist.cell.given_up_runs.MAX_GIVEN_UP_RUNS", 2)
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    run = harness.cell.state.workers["w0"].runs[make_task_key()]
    runs = GivenUpRuns()
    for number in (1, 2, 3):
        run.number = number
        runs.add(run, object())
    assert runs.find(make_task_key(), 1, "w0") is None
    assert runs.find(make_task_key(), 3, "w0") is not None
