"""Test the worker index with many waiting steps on many workers.

Each step must look only at the workers that it can use.
"""

from __future__ import annotations

from baobabhoist.cell.model import AdviceTerms, Resources, RunOutcome, Step
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

LARGE = Resources(4000, 4096, 0)


def find_ready_step(harness, job_id="0" * 16):
    return next(
        step for step in harness.cell.state.ready_steps.values() if step.job.job_id == job_id
    )


def make_index(harness):
    return WorkerIndex(harness.cell.state.workers.values(), harness.now)


def test_only_usable_workers_with_the_label_are_offered():
    """Guard against starts on workers that are draining, unlisted or without the label."""
    harness = CellHarness.with_workers(4)
    harness.workers["w1"].labels = ("b", "r1-1")
    harness.cell.update_worker(harness.workers["w1"].info(), harness.now)
    harness.cell.update_worker(harness.workers["w2"].info(is_draining=True), harness.now)
    harness.cell.unlist_worker("w3", harness.now)
    assert [w.worker_id for w in make_index(harness).usable_workers("svc", "")] == ["w0", "w1"]
    assert [w.worker_id for w in make_index(harness).usable_workers("svc", "b")] == ["w1"]
    assert make_index(harness).usable_workers("other", "") == []
    assert make_index(harness).max_free_cpu("other") == -1


def test_only_workers_with_a_valid_ticket_are_offered():
    """Guard against starts that workers refuse because their ticket has expired."""
    harness = CellHarness.with_workers(3, make_rules(advice=AdviceTerms(10, 1, 2_000)))
    harness.submit(make_job())
    step = find_ready_step(harness)
    step.approvals.record_answer(["w0", "w1", "gone"], {"w0": "a", "gone": "b"}, harness.now + 500)
    assert [w.worker_id for w in make_index(harness).workers_with_ticket(step, "svc", "")] == [
        "w0"
    ]
    harness.now += 500
    assert make_index(harness).workers_with_ticket(step, "svc", "") == []
    assert [w.worker_id for w in make_index(harness).approved_workers(step, "svc", "")] == ["w0"]


def test_advice_is_requested_only_for_workers_that_are_large_enough():
    """Guard against advice requests about workers that are too small for the step."""
    harness = CellHarness.with_workers(3)
    harness.cell.update_worker(harness.workers["w0"].info(capacity=SMALL), harness.now)
    assert make_index(harness).capable_worker_ids("svc", "", LARGE) == ["w1", "w2"]
    assert sorted(make_index(harness).capable_worker_ids("svc", "", SMALL)) == ["w0", "w1", "w2"]


def test_steps_that_fit_nowhere_skip_the_worker_search(monkeypatch):
    """Guard against scheduling rounds of many milliseconds when many steps wait in a full cell."""
    harness = CellHarness.with_workers(2)
    for number in range(8):
        harness.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    harness.settle()
    for number in range(100, 150):
        harness.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    placements = []
    place_step = TaskPlacer._place_step
    monkeypatch.setattr(
        TaskPlacer, "_place_step", lambda *args: placements.append(1) or place_step(*args)
    )
    harness.settle()
    assert not placements
    harness.end_run(make_task_key("0" * 16), RunOutcome.DONE)
    assert placements


def test_the_remaining_critical_path_omits_finished_steps():
    """Guard against a rank that still includes the duration of finished steps."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(1, SMALL, 1000), Step(1, SMALL, 300, after=(0,))))
    state = harness.cell.find_job("0" * 16)
    assert state.remaining_critical_path_ms() == 1300
    harness.settle()
    harness.end_run(make_task_key("0" * 16), RunOutcome.DONE)
    assert state.remaining_critical_path_ms() == 300
