"""Test the cell scheduler: job lifecycle, lost commands and replies, gangs and takeovers."""

import attrs
import pytest

from baobabhoist.cell import progress_rows
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
from baobabhoist.cell.state import RUN_NUMBERS_PER_OWNER
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    MAX_LEASE_MS,
    SMALL,
    CellHarness,
    make_job,
    make_rules,
    make_task_key,
)


def test_a_job_runs_its_steps_in_order_and_completes():
    """Guard against a step that starts before its dependencies are done."""
    harness = CellHarness.with_workers()
    harness.submit(make_job("0" * 16, Step(2, SMALL, 100), Step(1, SMALL, 100, after=(0,))))
    harness.settle()
    assert [key.step for key, _ in harness.running_tasks()] == [0, 0]
    harness.end_run(make_task_key(index=0))
    assert [key.step for key, _ in harness.running_tasks()] == [0]
    harness.end_run(make_task_key(index=1))
    assert [key.step for key, _ in harness.running_tasks()] == [1]
    harness.end_run(make_task_key(step=1))
    assert harness.job_phase() is JobPhase.COMPLETED


def test_a_worker_never_exceeds_its_capacity():
    """Guard against an overloaded worker while starts are still unanswered."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(9, SMALL, 100)))
    starts = harness.schedule()
    assert len(starts) == 4
    assert harness.schedule() == []


def test_an_unanswered_start_keeps_its_allocation_and_is_not_repeated():
    """Guard against a task that runs twice because its first start was executed late."""
    harness = CellHarness.with_workers()
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    harness.lose_command(start)
    (stop,) = harness.schedule()
    assert isinstance(stop, StopTask)
    harness.lose_command(stop)
    for _ in range(20):
        harness.now += 100
        harness.renew_all()
        harness.cell.tick(harness.now, harness.now)
        assert not [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert harness.cell.state.team_usage["team"] == SMALL


def test_an_answered_stop_releases_a_run_that_never_started():
    """Guard against a lost start command that blocks its task until the lease expires."""
    harness = CellHarness.with_workers()
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    harness.lose_command(start)
    (stop,) = harness.schedule()
    harness.deliver_command(stop)
    harness.now += 200
    harness.renew_all()
    (restart,) = [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert restart.run == 2
    # The delayed start arrives now and must be rejected, because its run was stopped.
    assert (
        harness.workers[start.worker_id].start(harness.token, start, 10**9) is CommandOutcome.OLD
    )


def test_tasks_of_an_unreachable_worker_wait_until_its_lease_expires():
    """Guard against a second run while a partitioned worker still executes the first."""
    harness = CellHarness.with_workers()
    harness.submit(make_job())
    harness.settle()
    (_, cut_off_worker) = harness.running_tasks()[0]
    cut_off_ms = harness.now
    for _ in range(200):
        harness.now += 50
        for worker in harness.workers.values():
            worker.advance(50)
        harness.renew(next(w for w in harness.workers if w != cut_off_worker))
        harness.cell.tick(harness.now, harness.now)
        harness.schedule()
        assert len(harness.running_tasks()) <= 1
        if harness.running_tasks() and harness.running_tasks()[0][1] != cut_off_worker:
            break
    assert harness.running_tasks()[0][1] != cut_off_worker
    assert harness.now - cut_off_ms > LEASE_MS


def test_a_gang_starts_and_restarts_as_a_whole():
    """Guard against partially started gangs and members with different run numbers."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("0" * 16, Step(6, SMALL, 100, gang=True)))
    harness.submit(make_job("1" * 16, Step(4, SMALL, 100, gang=True)))
    harness.settle()
    assert len(harness.running_tasks()) == 6
    harness.end_run(make_task_key(index=2), RunOutcome.FAILED)
    harness.settle()
    numbers = {run.number for w in harness.workers.values() for run in w.runs.values()}
    assert len(harness.running_tasks()) == 6
    assert numbers == {2}


def test_a_gang_is_done_when_one_member_reports_done():
    """Guard against a gang that restarts although it is done."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("0" * 16, Step(6, SMALL, 100, gang=True)))
    harness.settle()
    harness.end_run(make_task_key(index=0))
    assert harness.job_phase() is JobPhase.COMPLETED


@pytest.mark.parametrize("gang", [False, True])
def test_a_job_fails_after_its_last_attempt_even_across_a_takeover(gang):
    """Guard against attempts that the next owner loses or counts twice."""
    harness = CellHarness.with_workers(2, make_rules(max_attempts=2))
    accepted = make_job("0" * 16, Step(2, SMALL, 100, gang=gang), version=1)
    harness.submit(accepted)
    harness.settle()
    harness.end_run(make_task_key(index=0), RunOutcome.FAILED)
    saved = harness.save_progress()
    harness.take_over([accepted], saved)
    harness.settle()
    harness.settle()
    assert harness.job_phase() is JobPhase.RUNNING
    harness.end_run(make_task_key(index=0), RunOutcome.FAILED)
    assert harness.job_phase() is JobPhase.FAILED
    harness.advance(1000)
    assert harness.running_tasks() == []


def test_an_end_that_is_reported_twice_counts_once():
    """Guard against a failure counted twice if a takeover precedes its acknowledgement."""
    harness = CellHarness.with_workers(1, make_rules(max_attempts=2))
    accepted = make_job(version=1)
    harness.submit(accepted)
    harness.settle()
    harness.end_run(make_task_key(), RunOutcome.FAILED)
    saved = harness.cell.take_unsaved_progress()
    harness.take_over([accepted], saved)
    harness.settle()
    assert harness.job_phase() is JobPhase.RUNNING
    assert harness.cell.find_job("0" * 16).steps[(0, 0)].tasks[0].failed_runs == {1}


def test_a_new_owner_keeps_the_runs_of_an_unreachable_worker():
    """Guard against a second run of a task that an unreachable worker may still execute."""
    harness = CellHarness.with_workers(2)
    accepted = make_job("0" * 16, Step(9, SMALL, 100), version=1)
    harness.submit(accepted)
    harness.settle()
    (ended, _) = next(item for item in harness.running_tasks() if item[1] == "w0")
    saved = harness.save_progress()
    harness.workers["w0"].end_run(ended, RunOutcome.DONE)
    harness.take_over([accepted], saved)
    harness.renew("w0")
    starts = [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert [(s.worker_id, s.task.index) for s in starts] == [("w0", 8)]
    harness.now += LEASE_MS * 1.2
    harness.cell.tick(harness.now, harness.now)
    assert harness.cell.state.workers["w1"].runs
    harness.now += (MAX_LEASE_MS - LEASE_MS) * 1.2
    harness.cell.tick(harness.now, harness.now)
    assert not harness.cell.state.workers["w1"].runs


def test_a_run_on_an_unlisted_worker_is_kept_until_its_lease_expires():
    """Guard against a second run when a partitioned worker has lost its directory entry."""
    harness = CellHarness.with_workers(2)
    accepted = make_job(version=1)
    harness.submit(accepted)
    harness.settle()
    (_, unlisted_worker) = harness.running_tasks()[0]
    saved = harness.save_progress()
    harness.take_over([accepted], saved)
    harness.cell.unlist_worker(unlisted_worker, harness.now)
    listed_worker = next(w for w in harness.workers if w != unlisted_worker)
    for _ in range(40):
        harness.now += 100
        harness.workers[unlisted_worker].advance(100)
        harness.renew(listed_worker)
        harness.cell.tick(harness.now, harness.now)
        harness.schedule()
        assert len(harness.running_tasks()) <= 1


def test_a_takeover_leaves_a_cancelled_job_cancelled():
    """Guard against older stored progress that resumes a cancelled job."""
    harness = CellHarness.with_workers(1)
    accepted = make_job(version=1)
    harness.submit(accepted)
    harness.settle()
    saved = harness.save_progress()
    harness.take_over([accepted])
    harness.cell.cancel_job("0" * 16, harness.now)
    harness.cell.restore_job("0" * 16, saved["0" * 16], harness.now)
    harness.settle()
    assert harness.job_phase() is JobPhase.CANCELLED
    assert harness.running_tasks() == []


def take_over_with_clock_behind(harness, accepted):
    """Let an owner take over by whose wall clock the job's first occurrence is not due yet."""
    saved = harness.save_progress()
    harness.take_over()
    unix_ms = accepted.spec.first_due_ms - 2000
    harness.cell.add_job(accepted, harness.now, harness.now, unix_ms)
    harness.cell.restore_job(accepted.job_id, saved[accepted.job_id], harness.now)


def make_recurring_job(harness, *steps):
    times = {"repeats": 2, "first_due_ms": int(harness.now), "interval_ms": 60_000}
    return make_job("0" * 16, *steps, version=1, **times)


def test_a_new_owner_whose_wall_clock_is_behind_keeps_the_ends_of_an_occurrence():
    """Guard against a task that runs again because its occurrence seems not to be due yet."""
    harness = CellHarness.with_workers(1)
    accepted = make_recurring_job(harness)
    harness.submit(accepted)
    harness.settle()
    harness.end_run(make_task_key())
    take_over_with_clock_behind(harness, accepted)
    harness.advance(3000)
    assert harness.workers["w0"].started_runs == [(make_task_key(), 1)]


def test_a_new_owner_whose_wall_clock_is_behind_tracks_the_runs_of_an_occurrence():
    """Guard against a second run because the occurrence of the first seems not to be due yet."""
    harness = CellHarness.with_workers(2)
    accepted = make_recurring_job(harness)
    harness.submit(accepted)
    harness.settle()
    ((task, worker_id),) = harness.running_tasks()
    take_over_with_clock_behind(harness, accepted)
    harness.renew(worker_id)
    harness.settle()
    assert harness.running_tasks() == [(task, worker_id)]


def test_a_new_owner_starts_no_more_of_an_occurrence_that_is_not_due_by_its_clock():
    """Guard against a start before its time because an earlier owner's clock was ahead."""
    harness = CellHarness.with_workers(1)
    steps = (Step(1, SMALL, 1000), Step(1, SMALL, 1000, after=(0,)))
    accepted = make_recurring_job(harness, *steps)
    harness.submit(accepted)
    harness.settle()
    harness.workers["w0"].end_run(make_task_key(), RunOutcome.DONE)
    harness.renew_all()
    take_over_with_clock_behind(harness, accepted)
    harness.settle()
    assert harness.running_tasks() == []
    harness.advance(100)
    assert harness.running_tasks() == [(make_task_key(step=1), "w0")]


def test_an_adopted_run_keeps_the_lease_of_the_earlier_owner():
    """Guard against a second run because the new owner has not renewed the lease yet."""
    harness = CellHarness.with_workers(2)
    accepted = make_job(version=1)
    harness.submit(accepted)
    harness.settle()
    harness.take_over([accepted], harness.save_progress())
    harness.renew_all()
    harness.cell.tick(harness.now, harness.now)
    assert not [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert len(harness.running_tasks()) == 1


def test_a_fenced_owner_starts_nothing():
    """Guard against two owners that both start tasks."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.workers["w0"].token = harness.token + 1
    harness.schedule()
    assert harness.cell.is_fenced
    harness.submit(make_job("1" * 16))
    assert harness.schedule() == []


def test_a_cancelled_job_stops_and_never_starts_again():
    """Guard against tasks that run on after their cancellation was acknowledged."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(6, SMALL, 100)))
    harness.settle()
    harness.cell.cancel_job("0" * 16, harness.now)
    harness.settle()
    assert harness.running_tasks() == []
    assert harness.job_phase() is JobPhase.CANCELLED
    assert harness.cell.state.team_usage["team"] == Resources()


def test_a_team_stays_within_its_limit_on_all_workers_together():
    """Guard against a limit that is enforced only per worker or per step."""
    harness = CellHarness.with_workers(3, make_rules(limit=Resources(cpu=2000)))
    harness.submit(make_job("0" * 16, Step(4, SMALL, 100)))
    harness.submit(make_job("1" * 16, Step(4, SMALL, 100, gang=True)))
    harness.settle()
    assert len(harness.running_tasks()) == 2


def test_runs_of_a_restarted_worker_are_lost():
    """Guard against tasks that wait for runs of an earlier incarnation of the worker."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.settle()
    harness.workers["w0"].restart()
    harness.settle()
    assert len(harness.running_tasks()) == 1
    assert harness.workers["w0"].runs[make_task_key()].number == 2


def test_an_orphan_run_is_stopped_and_blocks_its_worker_until_it_ends():
    """Guard against an overloaded worker because an orphan run is not accounted for."""
    harness = CellHarness.with_workers(1)
    command = StartTask("w0", make_task_key("f" * 16), 1, "(payload)")
    harness.workers["w0"].start(harness.token, command, 10**9)
    harness.delivers_commands = False
    harness.renew_all()
    harness.submit(make_job())
    (stop,) = harness.schedule()
    assert isinstance(stop, StopTask)
    harness.deliver_command(stop)
    harness.settle()
    assert [c.task for c in harness.undelivered if isinstance(c, StartTask)] == [make_task_key()]


def test_tickets_are_requested_once_and_renewed_only_for_approved_workers():
    """Guard against starts without a ticket and against requests about refused workers."""
    harness = CellHarness.with_workers(3, make_rules(advice=AdviceTerms(10.0, 1.0, 2000)))
    harness.submit(make_job())
    (request,) = harness.schedule()
    assert set(request.workers) == {"w0", "w1", "w2"}
    harness.cell.handle_advice(request.step, request.workers, {"w1": "t1"}, harness.now + 2000)
    harness.cell.state.workers["w1"].backoff_until_ms = harness.now + 2500
    harness.now += 1950
    (renewal,) = harness.schedule()
    assert renewal.workers == ("w1",)
    harness.cell.handle_advice(renewal.step, renewal.workers, {"w1": "t2"}, harness.now + 2000)
    harness.now += 600
    harness.renew_all()
    (start,) = harness.schedule()
    assert (start.worker_id, start.ticket) == ("w1", "t2")


def test_all_members_of_a_gang_resume_from_the_same_checkpoint():
    """Guard against lost work, and against members that resume from different points."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("0" * 16, Step(3, SMALL, 100, gang=True, checkpoints=True)))
    harness.settle()
    for index, run in enumerate(r for w in harness.workers.values() for r in w.runs.values()):
        run.checkpoint = f"c{index}"
    harness.renew_all()
    harness.end_run(make_task_key(index=1), RunOutcome.FAILED, "c9")
    harness.settle()
    saved = {run.checkpoint for w in harness.workers.values() for run in w.runs.values()}
    assert len(saved) == 1
    assert saved != {""}


def test_a_draining_worker_gets_no_new_tasks():
    """Guard against tasks on a worker that is about to leave."""
    harness = CellHarness.with_workers(1)
    harness.cell.update_worker(
        attrs.evolve(harness.workers["w0"].info(), is_draining=True), harness.now
    )
    harness.submit(make_job())
    assert harness.schedule() == []


def test_a_stalled_task_restarts_on_another_worker():
    """Guard against a task without progress on a worker that still reports."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job())
    harness.settle()
    (_, stalled_worker) = harness.running_tasks()[0]
    harness.advance(5000)
    assert harness.running_tasks()[0][1] != stalled_worker


def test_a_job_that_does_not_fit_anywhere_stays_queued():
    """Guard against a job that is reported as failed although none of its tasks failed."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(1, Resources(cpu=99_000), 100)))
    harness.advance(500)
    assert harness.job_phase() is JobPhase.QUEUED


def test_each_occurrence_runs_when_it_is_due():
    """Guard against an occurrence that starts before its time or not at all."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(repeats=2, first_due_ms=int(harness.now) + 500, interval_ms=1000))
    harness.advance(400)
    assert harness.running_tasks() == []
    harness.advance(200)
    harness.end_run(make_task_key(occurrence=0))
    assert harness.job_phase() is JobPhase.RUNNING
    harness.advance(1000)
    harness.end_run(make_task_key(occurrence=1))
    assert harness.job_phase() is JobPhase.COMPLETED


def test_a_finished_job_keeps_neither_payload_nor_tickets():
    """Guard against an owner whose memory grows with the payloads of finished jobs."""
    harness = CellHarness.with_workers(1, make_rules(advice=AdviceTerms(10, 1, 2_000)))
    harness.submit(make_job())
    harness.settle()
    request = harness.advice_requests[-1]
    harness.cell.handle_advice(request.step, request.workers, {"w0": "t"}, harness.now + 2_000)
    harness.settle()
    state = harness.cell.find_job("0" * 16)
    assert state.accepted.spec.payload
    harness.end_run(make_task_key())
    assert state.phase is JobPhase.COMPLETED
    assert not state.accepted.spec.payload
    assert not state.steps[(0, 0)].approvals.tickets


def test_the_next_owner_uses_higher_numbers_after_more_starts_than_are_reserved():
    """Guard against a lasting task that never runs again: workers reject a lower run number."""
    harness = CellHarness.with_workers(1)
    accepted = make_job("0" * 16, Step(1, SMALL, 100, lasting=True))
    harness.submit(accepted)
    task = harness.cell.find_job(accepted.job_id).find_task(make_task_key())
    task.last_run_number = RUN_NUMBERS_PER_OWNER + 5
    harness.settle()
    harness.workers["w0"].end_run(make_task_key(), RunOutcome.FAILED)
    harness.renew_all()
    rows = {i: progress_rows.encode(p) for i, p in harness.save_progress().items()}
    harness.take_over([accepted], {i: progress_rows.decode(row) for i, row in rows.items()})
    harness.settle()
    assert harness.running_tasks() == [(make_task_key(), "w0")]
