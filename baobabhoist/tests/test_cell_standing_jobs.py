"""Test that a job of which nothing runs is found, with what holds it."""

from baobabhoist.cell.jobs import RunPhase
from baobabhoist.cell.model import AdviceTerms, CommandOutcome, StartTask, Step
from baobabhoist.cell.standing_jobs import StandingJobs, StepRoom, used_fraction
from baobabhoist.cell.wait_account import AdviceDecision, WaitAccount
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.tests.advice_harness import answer, make_advice_harness, requests_of
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job

JOB_ID = "0" * 16
UNANSWERED_MS = 2_000.0
GANG = Step(4, SMALL, 60_000, gang=True)


def longest(harness, standing_jobs):
    standing_jobs.update(harness.cell.state, harness.now)
    (standing,) = standing_jobs.longest_by_reason(harness.cell.placer, harness.now, 0.0)
    return standing


def test_job_whose_unanswered_start_holds_it_is_found():
    """Guard against a job that stands still unseen, because no task of it counts as waiting."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = (c for c in harness.schedule() if isinstance(c, StartTask))
    harness.cell.should_send_start(start, harness.now)
    harness.cell.handle_start_result(start, CommandOutcome.UNKNOWN, harness.now)
    standing_jobs = StandingJobs()
    standing = longest(harness, standing_jobs)
    assert standing.step.key.job_id == JOB_ID
    assert standing.runs == {RunPhase.UNSURE: 1}
    assert standing.oldest_run.worker_id == start.worker_id
    harness.now += 3_000.0
    assert longest(harness, standing_jobs).since_ms == harness.now - 3_000.0


def test_job_that_runs_does_not_stand():
    """Guard against jobs that run named as standing still."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.settle()
    standing_jobs = StandingJobs()
    standing_jobs.update(harness.cell.state, harness.now)
    assert standing_jobs.longest_by_reason(harness.cell.placer, harness.now, 0.0) == []
    assert used_fraction(harness.cell.state, harness.now) == 0.25


def test_room_is_counted_with_and_without_tickets():
    """Guard against a gang that waits with room, and no line that says whether tickets lack."""
    harness = make_advice_harness(3, AdviceTerms(10.0, 1.0, 2_000))
    harness.submit(make_job(JOB_ID, GANG))
    answer(harness, requests_of(harness)[JOB_ID], ["w0", "w1"], valid_ms=100.0)
    harness.now += 200.0
    harness.renew_all()
    harness.cell.schedule(harness.now, False)
    assert longest(harness, StandingJobs()).room == StepRoom(4, 8, 0, 0)


def test_account_adds_up_reasons_and_decisions():
    """Guard against a wait of which the log tells only the last reason."""
    account = WaitAccount()
    account.record(WaitReason.TEAM_LIMIT, AdviceDecision.TOO_LATE, 1_000.0)
    account.record(WaitReason.NO_ROOM_FOR_GANG, AdviceDecision.ASKED, 1_400.0)
    account.record(WaitReason.NO_ROOM_FOR_GANG, AdviceDecision.OPEN, 1_500.0)
    account.record(None, AdviceDecision.OPEN, 2_000.0)
    assert account.by_reason_ms == {
        WaitReason.TEAM_LIMIT: 400.0,
        WaitReason.NO_ROOM_FOR_GANG: 600.0,
    }
    assert account.by_decision_ms == {
        AdviceDecision.TOO_LATE: 400.0,
        AdviceDecision.ASKED: 100.0,
        AdviceDecision.OPEN: 500.0,
    }
    assert account.requests == 1


def test_time_of_an_unanswered_start_is_not_a_wait_for_room():
    """Guard against a log that blames the reason before a start for the time after it."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    harness.schedule(may_start=False)
    step = next(iter(harness.cell.state.ready_steps.values()))
    harness.now += 100.0
    (start,) = (c for c in harness.schedule() if isinstance(c, StartTask))
    harness.cell.should_send_start(start, harness.now)
    harness.cell.handle_start_result(start, CommandOutcome.UNKNOWN, harness.now)
    harness.now += UNANSWERED_MS
    (run,) = [task.run for task in step.tasks]
    harness.cell.state.close_run(run)
    harness.schedule(may_start=False)
    assert sum(step.wait_account.by_reason_ms.values()) == 100.0
