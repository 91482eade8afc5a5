"""Test the load of many waiting steps on many workers: a step sees only its own workers."""

from __future__ import annotations

from baobabhoist.cell.model import AdviceTerms, Resources, RunOutcome, Step
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

LARGE = Resources(4000, 4096, 0)


def ready_step(rig, job_id="0" * 16):
    return next(step for step in rig.cell.state.ready_steps.values() if step.job.job_id == job_id)


def pools(rig):
    return WorkerIndex(rig.cell.state.workers.values(), rig.now)


def test_only_usable_workers_with_the_label_are_offered():
    """Guard against starts on workers that drain, are silent or lack the label."""
    rig = CellHarness.with_workers(4)
    rig.workers["w1"].labels = ("b", "r1-1")
    rig.cell.update_worker(rig.workers["w1"].info(), rig.now)
    rig.cell.update_worker(rig.workers["w2"].info(is_draining=True), rig.now)
    rig.cell.unlist_worker("w3", rig.now)
    assert [w.worker_id for w in pools(rig).usable_workers("svc", "")] == ["w0", "w1"]
    assert [w.worker_id for w in pools(rig).usable_workers("svc", "b")] == ["w1"]
    assert pools(rig).usable_workers("other", "") == []
    assert pools(rig).max_free_cpu("other") == -1


def test_only_workers_with_a_valid_ticket_are_offered():
    """Guard against starts that workers refuse because their ticket has run out."""
    rig = CellHarness.with_workers(3, make_rules(advice=AdviceTerms(10, 1, 2_000)))
    rig.submit(make_job())
    step = ready_step(rig)
    step.approvals.record_answer(["w0", "w1", "gone"], {"w0": "a", "gone": "b"}, rig.now + 500)
    assert [w.worker_id for w in pools(rig).workers_with_ticket(step, "svc", "")] == ["w0"]
    rig.now += 500
    assert pools(rig).workers_with_ticket(step, "svc", "") == []
    assert [w.worker_id for w in pools(rig).approved_workers(step, "svc", "")] == ["w0"]


def test_the_adviser_is_asked_of_workers_that_could_hold_a_task():
    """Guard against questions about workers that are too small for the step."""
    rig = CellHarness.with_workers(3)
    rig.cell.update_worker(rig.workers["w0"].info(capacity=SMALL), rig.now)
    assert pools(rig).capable_worker_ids("svc", "", LARGE) == ["w1", "w2"]
    assert sorted(pools(rig).capable_worker_ids("svc", "", SMALL)) == ["w0", "w1", "w2"]


def test_steps_without_room_cost_no_look_at_their_workers(monkeypatch):
    """Guard against rounds of many milliseconds when much work waits on a full cell."""
    rig = CellHarness.with_workers(2)
    for number in range(8):
        rig.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    rig.settle()
    for number in range(100, 150):
        rig.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    looks = []
    place = TaskPlacer._place_step
    monkeypatch.setattr(TaskPlacer, "_place_step", lambda *args: looks.append(1) or place(*args))
    rig.settle()
    assert not looks
    rig.end_run(make_task_key("0" * 16), RunOutcome.DONE)
    assert looks


def test_remaining_work_follows_the_steps_that_are_done():
    """Guard against a rank that still counts the time of steps that are done."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job("0" * 16, Step(1, SMALL, 1000), Step(1, SMALL, 300, after=(0,))))
    state = rig.cell.find_job("0" * 16)
    assert state.remaining_critical_path_ms() == 1300
    rig.settle()
    rig.end_run(make_task_key("0" * 16), RunOutcome.DONE)
    assert state.remaining_critical_path_ms() == 300
