"""Test what a cell's owner does with jobs, orders without answers, gangs and takeovers."""

import attrs
import pytest

from baobabhoist.cell.model import (
    AdviceTerms,
    CommandOutcome,
    JobPhase,
    Resources,
    RunOutcome,
    StartTask,
    Step,
    StopTask,
)
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    SMALL,
    CellHarness,
    make_job,
    make_rules,
    make_task_key,
)


def test_a_job_runs_its_steps_in_order_and_completes():
    """Guard against a step that starts before the steps that it needs are done."""
    rig = CellHarness.with_workers()
    rig.submit(make_job("0" * 16, Step(2, SMALL, 100), Step(1, SMALL, 100, after=(0,))))
    rig.settle()
    assert [key.step for key, _ in rig.running_tasks()] == [0, 0]
    rig.end_run(make_task_key(index=0))
    assert [key.step for key, _ in rig.running_tasks()] == [0]
    rig.end_run(make_task_key(index=1))
    assert [key.step for key, _ in rig.running_tasks()] == [1]
    rig.end_run(make_task_key(step=1))
    assert rig.job_phase() is JobPhase.COMPLETED


def test_a_worker_never_gets_more_than_it_holds():
    """Guard against an overloaded worker, also while a start has no answer yet."""
    rig = CellHarness.with_workers(1)
    rig.delivers_commands = False
    rig.submit(make_job("0" * 16, Step(9, SMALL, 100)))
    starts = rig.schedule()
    assert len(starts) == 4
    assert rig.schedule() == []


def test_a_start_without_answer_keeps_its_room_and_is_not_repeated_elsewhere():
    """Guard against a task that runs twice because its start was carried out late."""
    rig = CellHarness.with_workers()
    rig.delivers_commands = False
    rig.submit(make_job())
    (start,) = rig.schedule()
    rig.lose_answer(start)
    (stop,) = rig.schedule()
    assert isinstance(stop, StopTask)
    rig.lose_answer(stop)
    for _ in range(20):
        rig.now += 100
        rig.renew_all()
        rig.cell.tick(rig.now, rig.now)
        assert not [c for c in rig.schedule() if isinstance(c, StartTask)]
    assert rig.cell.state.team_usage["team"] == SMALL


def test_an_answered_stop_frees_a_run_that_never_came():
    """Guard against a lost start that blocks its task until the lease lapses."""
    rig = CellHarness.with_workers()
    rig.delivers_commands = False
    rig.submit(make_job())
    (start,) = rig.schedule()
    rig.lose_answer(start)
    (stop,) = rig.schedule()
    rig.deliver_command(stop)
    rig.now += 200
    rig.renew_all()
    (again,) = [c for c in rig.schedule() if isinstance(c, StartTask)]
    assert again.run == 2
    # The late order is carried out now and must find its number used up.
    assert rig.workers[start.worker_id].start(rig.token, start, 10**9) is CommandOutcome.OLD


def test_tasks_of_an_unreachable_worker_wait_for_the_end_of_its_lease():
    """Guard against a second run while a cut-off worker still works on the first."""
    rig = CellHarness.with_workers()
    rig.submit(make_job())
    rig.settle()
    (_, lost) = rig.running_tasks()[0]
    began = rig.now
    for _ in range(200):
        rig.now += 50
        for worker in rig.workers.values():
            worker.advance(50)
        rig.renew(next(w for w in rig.workers if w != lost))
        rig.cell.tick(rig.now, rig.now)
        rig.schedule()
        assert len(rig.running_tasks()) <= 1
        if rig.running_tasks() and rig.running_tasks()[0][1] != lost:
            break
    assert rig.running_tasks()[0][1] != lost
    assert rig.now - began > LEASE_MS


def test_a_gang_starts_whole_and_starts_again_whole():
    """Guard against members that wait alone, and against mixed runs of one gang."""
    rig = CellHarness.with_workers(2)
    rig.submit(make_job("0" * 16, Step(6, SMALL, 100, gang=True)))
    rig.submit(make_job("1" * 16, Step(4, SMALL, 100, gang=True)))
    rig.settle()
    assert len(rig.running_tasks()) == 6
    rig.end_run(make_task_key(index=2), RunOutcome.FAILED)
    rig.settle()
    numbers = {run.number for w in rig.workers.values() for run in w.runs.values()}
    assert len(rig.running_tasks()) == 6
    assert numbers == {2}


def test_one_done_end_of_a_gang_stands_for_all_members():
    """Guard against a gang that starts again although it has ended as done."""
    rig = CellHarness.with_workers(2)
    rig.submit(make_job("0" * 16, Step(6, SMALL, 100, gang=True)))
    rig.settle()
    rig.end_run(make_task_key(index=0))
    assert rig.job_phase() is JobPhase.COMPLETED


@pytest.mark.parametrize("gang", [False, True])
def test_a_job_fails_after_its_attempts_also_across_a_takeover(gang):
    """Guard against attempts that are forgotten or counted twice by the next owner."""
    rig = CellHarness.with_workers(2, make_rules(max_attempts=2))
    accepted = make_job("0" * 16, Step(2, SMALL, 100, gang=gang), version=1)
    rig.submit(accepted)
    rig.settle()
    rig.end_run(make_task_key(index=0), RunOutcome.FAILED)
    saved = rig.save_progress()
    rig.take_over([accepted], saved)
    rig.settle()
    rig.settle()
    assert rig.job_phase() is JobPhase.RUNNING
    rig.end_run(make_task_key(index=0), RunOutcome.FAILED)
    assert rig.job_phase() is JobPhase.FAILED
    rig.advance(1000)
    assert rig.running_tasks() == []


def test_an_end_that_is_listed_twice_counts_once():
    """Guard against a used-up attempt when the store was slower than the takeover."""
    rig = CellHarness.with_workers(1, make_rules(max_attempts=2))
    accepted = make_job(version=1)
    rig.submit(accepted)
    rig.settle()
    rig.end_run(make_task_key(), RunOutcome.FAILED)
    saved = rig.cell.take_unsaved_progress()
    rig.take_over([accepted], saved)
    rig.settle()
    assert rig.job_phase() is JobPhase.RUNNING
    assert rig.cell.find_job("0" * 16).steps[(0, 0)].tasks[0].failed_runs == {1}


def test_a_new_owner_keeps_what_runs_on_a_worker_that_it_does_not_reach():
    """Guard against a second run of a task that an unreached worker still has."""
    rig = CellHarness.with_workers(2)
    accepted = make_job("0" * 16, Step(9, SMALL, 100), version=1)
    rig.submit(accepted)
    rig.settle()
    (ended, _) = next(item for item in rig.running_tasks() if item[1] == "w0")
    saved = rig.save_progress()
    rig.workers["w0"].end(ended, RunOutcome.DONE)
    rig.take_over([accepted], saved)
    rig.renew("w0")
    starts = [c for c in rig.schedule() if isinstance(c, StartTask)]
    assert [(s.worker_id, s.task.index) for s in starts] == [("w0", 8)]
    rig.now += LEASE_MS * 1.2
    rig.cell.tick(rig.now, rig.now)
    assert not rig.cell.state.workers["w1"].runs


def test_a_run_on_a_worker_that_is_not_listed_waits_for_its_lease():
    """Guard against a second run while a cut-off worker has lost its entry."""
    rig = CellHarness.with_workers(2)
    accepted = make_job(version=1)
    rig.submit(accepted)
    rig.settle()
    (_, away) = rig.running_tasks()[0]
    saved = rig.save_progress()
    rig.take_over([accepted], saved)
    rig.cell.unlist_worker(away, rig.now)
    near = next(w for w in rig.workers if w != away)
    for _ in range(40):
        rig.now += 100
        rig.workers[away].advance(100)
        rig.renew(near)
        rig.cell.tick(rig.now, rig.now)
        rig.schedule()
        assert len(rig.running_tasks()) <= 1


def test_a_takeover_leaves_a_cancelled_job_cancelled():
    """Guard against older progress that brings a cancelled job back to life."""
    rig = CellHarness.with_workers(1)
    accepted = make_job(version=1)
    rig.submit(accepted)
    rig.settle()
    saved = rig.save_progress()
    rig.take_over([accepted])
    rig.cell.cancel_job("0" * 16, rig.now)
    rig.cell.restore_job("0" * 16, saved["0" * 16], rig.now)
    rig.settle()
    assert rig.job_phase() is JobPhase.CANCELLED
    assert rig.running_tasks() == []


def test_an_adopted_run_keeps_the_lease_that_the_earlier_owner_gave():
    """Guard against a second run, because the new owner has not renewed the lease yet."""
    rig = CellHarness.with_workers(2)
    accepted = make_job(version=1)
    rig.submit(accepted)
    rig.settle()
    rig.take_over([accepted], rig.save_progress())
    rig.renew_all()
    rig.cell.tick(rig.now, rig.now)
    assert not [c for c in rig.schedule() if isinstance(c, StartTask)]
    assert len(rig.running_tasks()) == 1


def test_a_fenced_owner_starts_nothing():
    """Guard against two owners that both start tasks."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job())
    rig.workers["w0"].token = rig.token + 1
    rig.schedule()
    assert rig.cell.is_fenced
    rig.submit(make_job("1" * 16))
    assert rig.schedule() == []


def test_a_cancelled_job_stops_and_never_starts_again():
    """Guard against work that goes on after its cancellation was acknowledged."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job("0" * 16, Step(6, SMALL, 100)))
    rig.settle()
    rig.cell.cancel_job("0" * 16, rig.now)
    rig.settle()
    assert rig.running_tasks() == []
    assert rig.job_phase() is JobPhase.CANCELLED
    assert rig.cell.state.team_usage["team"] == Resources()


def test_a_team_stays_within_its_limit_on_all_workers_together():
    """Guard against a limit that each worker or each step keeps only for itself."""
    rig = CellHarness.with_workers(3, make_rules(limit=Resources(cpu=2000)))
    rig.submit(make_job("0" * 16, Step(4, SMALL, 100)))
    rig.submit(make_job("1" * 16, Step(4, SMALL, 100, gang=True)))
    rig.settle()
    assert len(rig.running_tasks()) == 2


def test_a_worker_that_started_again_has_lost_its_runs():
    """Guard against tasks that wait for a lifetime that has ended."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job())
    rig.settle()
    rig.workers["w0"].restart()
    rig.settle()
    assert len(rig.running_tasks()) == 1
    assert rig.workers["w0"].runs[make_task_key()].number == 2


def test_an_unwanted_run_is_stopped_and_blocks_its_worker_until_it_is_gone():
    """Guard against room that an unknown run takes without being counted."""
    rig = CellHarness.with_workers(1)
    command = StartTask("w0", make_task_key("f" * 16), 1, "(payload)")
    rig.workers["w0"].start(rig.token, command, 10**9)
    rig.delivers_commands = False
    rig.renew_all()
    rig.submit(make_job())
    (stop,) = rig.schedule()
    assert isinstance(stop, StopTask)
    rig.deliver_command(stop)
    rig.settle()
    assert [c.task for c in rig.undelivered if isinstance(c, StartTask)] == [make_task_key()]


def test_tickets_are_asked_for_and_renewed_only_for_approved_workers():
    """Guard against starts without a ticket and against questions about refused workers."""
    rig = CellHarness.with_workers(3, make_rules(advice=AdviceTerms(10.0, 1.0, 2000)))
    rig.submit(make_job())
    (question,) = rig.schedule()
    assert set(question.workers) == {"w0", "w1", "w2"}
    rig.cell.handle_advice(question.step, question.workers, {"w1": "t1"}, rig.now + 2000)
    rig.cell.state.workers["w1"].backoff_until_ms = rig.now + 2500
    rig.now += 1950
    (again,) = rig.schedule()
    assert again.workers == ("w1",)
    rig.cell.handle_advice(again.step, again.workers, {"w1": "t2"}, rig.now + 2000)
    rig.now += 600
    rig.renew_all()
    (start,) = rig.schedule()
    assert (start.worker_id, start.ticket) == ("w1", "t2")


def test_a_checkpoint_goes_with_the_next_start_of_all_members():
    """Guard against lost work, and against members that resume from different points."""
    rig = CellHarness.with_workers(2)
    rig.submit(make_job("0" * 16, Step(3, SMALL, 100, gang=True, checkpoints=True)))
    rig.settle()
    for index, run in enumerate(r for w in rig.workers.values() for r in w.runs.values()):
        run.checkpoint = f"c{index}"
    rig.renew_all()
    rig.end_run(make_task_key(index=1), RunOutcome.FAILED, "c9")
    rig.settle()
    saved = {run.checkpoint for w in rig.workers.values() for run in w.runs.values()}
    assert len(saved) == 1
    assert saved != {""}


def test_a_draining_worker_gets_nothing_new():
    """Guard against work on a worker that is about to leave."""
    rig = CellHarness.with_workers(1)
    rig.cell.update_worker(attrs.evolve(rig.workers["w0"].info(), is_draining=True), rig.now)
    rig.submit(make_job())
    assert rig.schedule() == []


def test_a_stalled_run_starts_elsewhere():
    """Guard against a task that stands still on a worker that answers well."""
    rig = CellHarness.with_workers(2)
    rig.submit(make_job())
    rig.settle()
    (_, stuck) = rig.running_tasks()[0]
    rig.advance(5000)
    assert rig.running_tasks()[0][1] != stuck


def test_a_job_that_does_not_fit_anywhere_stays_queued():
    """Guard against a job that is shown as failed although none of its tasks failed."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job("0" * 16, Step(1, Resources(cpu=99_000), 100)))
    rig.advance(500)
    assert rig.job_phase() is JobPhase.QUEUED


def test_each_occurrence_runs_when_it_is_due():
    """Guard against an occurrence that starts before its time or not at all."""
    rig = CellHarness.with_workers(1)
    rig.submit(make_job(repeats=2, first_due_ms=int(rig.now) + 500, interval_ms=1000))
    rig.advance(400)
    assert rig.running_tasks() == []
    rig.advance(200)
    rig.end_run(make_task_key(occurrence=0))
    assert rig.job_phase() is JobPhase.RUNNING
    rig.advance(1000)
    rig.end_run(make_task_key(occurrence=1))
    assert rig.job_phase() is JobPhase.COMPLETED


def test_a_finished_job_keeps_neither_payload_nor_tickets():
    """Guard against an owner whose memory grows with the payloads of finished jobs."""
    rig = CellHarness.with_workers(1, make_rules(advice=AdviceTerms(10, 1, 2_000)))
    rig.submit(make_job())
    rig.settle()
    question = rig.advice_requests[-1]
    rig.cell.handle_advice(question.step, question.workers, {"w0": "t"}, rig.now + 2_000)
    rig.settle()
    state = rig.cell.find_job("0" * 16)
    assert state.accepted.spec.payload
    rig.end_run(make_task_key())
    assert state.phase is JobPhase.COMPLETED
    assert not state.accepted.spec.payload
    assert not state.steps[(0, 0)].approvals.tickets
