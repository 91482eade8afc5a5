"""Test how soon the runs of a broken gang are closed, so that it can start again."""

import attrs
import pytest

from baobabhoist.cell.jobs import RunPhase
from baobabhoist.cell.model import (
    NO_RESOURCES,
    CommandOutcome,
    RunOutcome,
    StartTask,
    Step,
    StopTask,
)
from baobabhoist.cell.periodic_checks import STALL_TIMEOUT_MS, UNSENT_START_TIMEOUT_MS
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.cell.workers import MAX_START_LATENESS_MS, REPORT_TIMEOUT_MS
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key

GANG = (Step(2, SMALL.times(4), 100, gang=True),)
# Nothing may stand still for 3 s once no start can be carried out late any more.
MAX_STANDSTILL_MS = 3_000.0


def test_a_gang_whose_start_was_rejected_does_not_stop_the_members_that_were_never_sent():
    """Guard against a gang that waits for the stops of runs which no worker has seen."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, *GANG))
    first, second = harness.schedule()
    assert harness.cell.should_send_start(first, harness.now)
    harness.cell.handle_start_result(first, CommandOutcome.NO_ROOM, harness.now)
    assert not harness.cell.should_send_start(second, harness.now)
    assert harness.schedule() == []
    harness.now += 200
    restarts = harness.schedule()
    assert [(type(c), c.run) for c in restarts] == [(StartTask, 2), (StartTask, 2)]


def test_a_start_that_was_sent_is_stopped_on_its_worker():
    """Guard against a task that runs twice because its first start is still on its way."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, *GANG))
    first, second = harness.schedule()
    assert harness.cell.should_send_start(first, harness.now)
    assert harness.cell.should_send_start(second, harness.now)
    harness.cell.handle_start_result(first, CommandOutcome.NO_ROOM, harness.now)
    (stop,) = harness.schedule()
    assert (type(stop), stop.worker_id, stop.run) == (StopTask, second.worker_id, 1)


def test_a_cancelled_job_forgets_the_starts_that_were_never_sent():
    """Guard against a new owner that waits for a run which was never started."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, *GANG))
    harness.schedule()
    harness.save_progress()
    harness.cell.cancel_job("0" * 16, harness.now)
    assert harness.schedule() == []
    assert harness.cell.state.team_usage["team"].cpu == 0
    assert "0" * 16 in harness.save_progress()


def test_a_task_whose_start_is_never_sent_starts_again():
    """Guard against an accepted job that never runs because its start command was lost."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    (lost,) = harness.schedule()
    harness.undelivered.clear()
    harness.advance(UNSENT_START_TIMEOUT_MS + 200.0)
    (again,) = [command for command in harness.undelivered if isinstance(command, StartTask)]
    assert (again.task, again.run) == (lost.task, 2)
    assert not harness.cell.should_send_start(lost, harness.now)


def test_members_that_ended_before_a_takeover_need_no_answered_stop():
    """Guard against a gang that waits a second longer after a takeover than its reports need."""
    harness = CellHarness.with_workers(2)
    accepted = make_job("0" * 16, *GANG, version=1)
    harness.submit(accepted)
    harness.settle()
    stored = harness.save_progress()
    for index in range(2):
        key = make_task_key(index=index)
        harness.worker_running(key).end_run(key, RunOutcome.STOPPED)
    harness.renew_all()
    harness.save_progress()
    harness.renew_all()
    harness.take_over([accepted], stored)
    harness.delivers_commands = False
    harness.now += 1.0
    harness.renew("w0")
    harness.now += 1.0
    harness.renew("w1")
    starts = [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert len(starts) == 2


def test_a_start_whose_ticket_expired_is_forgotten_in_the_store_too():
    """Guard against a new owner that waits for a run which was never started."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    harness.save_progress()
    expired = attrs.evolve(start, ticket_expires_ms=harness.now)
    assert not harness.cell.should_send_start(expired, harness.now)
    assert "0" * 16 in harness.save_progress()


def test_a_stop_is_not_repeated_while_its_call_is_open():
    """Guard against an overloaded owner whose repeated stops hold up all other calls."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.settle()
    harness.delivers_commands = False
    harness.cell.cancel_job("0" * 16, harness.now)
    (stop,) = harness.schedule()
    harness.advance(1_000.0)
    assert harness.undelivered == [stop]
    harness.lose_command(stop)
    harness.advance(100.0)
    assert harness.undelivered == [stop, stop]


def test_a_run_that_started_late_is_not_stalled():
    """Guard against runs stopped for want of progress that a slow owner has only just started."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    harness.undelivered.clear()
    assert harness.cell.should_send_start(start, harness.now)
    harness.advance(STALL_TIMEOUT_MS + 500.0)
    harness.deliver_command(start)
    harness.advance(200.0)
    assert harness.undelivered == []


def test_a_long_run_that_gains_a_percent_in_many_seconds_is_not_stopped():
    """Guard against slow work that is stopped and begun again for want of visible progress."""
    long_ms = 100 * 2 * STALL_TIMEOUT_MS
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(1, SMALL, int(long_ms))))
    harness.schedule()
    harness.advance(2 * STALL_TIMEOUT_MS)
    assert harness.running_tasks() == [(make_task_key(), "w0")]
    assert harness.workers["w0"].started_runs == [(make_task_key(), 1)]


@pytest.mark.parametrize("is_adopted", [True, False])
def test_a_long_run_that_goes_on_from_earlier_progress_is_not_stopped(is_adopted):
    """Guard against slow work stopped after each takeover or resumption for want of progress."""
    key, long_ms = make_task_key(), 100 * 2 * STALL_TIMEOUT_MS
    job = make_job("0" * 16, Step(1, SMALL, int(long_ms), checkpoints=True))
    harness = CellHarness.with_workers(1)
    harness.submit(job)
    harness.settle()
    if is_adopted:
        harness.take_over([job], harness.save_progress())
    else:
        harness.end_run(key, RunOutcome.STOPPED, "half")
    starts = list(harness.workers["w0"].started_runs)
    harness.workers["w0"].runs[key].progress_percent = 50.0
    harness.advance(2 * STALL_TIMEOUT_MS)
    assert harness.running_tasks() == [(key, "w0")]
    assert harness.workers["w0"].started_runs == starts


def test_only_a_gangs_start_on_a_worker_that_still_answers_is_repeated():
    """Guard against a whole gang that is stopped because one start got lost."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, *GANG))
    first, second = harness.schedule()
    harness.now += 10.0
    cell = harness.cell
    assert cell.should_send_start(first, harness.now)
    assert cell.should_send_start(second, harness.now)
    harness.now += 700.0
    assert not cell.may_repeat_start(first, harness.now)
    harness.renew(first.worker_id)
    assert cell.may_repeat_start(first, harness.now)
    assert not cell.may_repeat_start(second, harness.now)
    expired = attrs.evolve(first, ticket_expires_ms=harness.now)
    assert not cell.may_repeat_start(expired, harness.now)
    cell.cancel_job("0" * 16, harness.now)
    assert not cell.may_repeat_start(first, harness.now)


def test_a_gangs_start_is_not_repeated_when_its_other_members_have_waited_long():
    """Guard against members that end alone while a slow instance is asked a second time."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, *GANG))
    first, second = harness.schedule()
    assert harness.cell.should_send_start(first, harness.now)
    harness.now += 600.0
    assert harness.cell.should_send_start(second, harness.now)
    harness.now += 400.0
    harness.renew_all()
    assert harness.cell.may_repeat_start(first, harness.now)
    assert harness.cell.may_repeat_start(second, harness.now)
    harness.now += 1.0
    assert not harness.cell.may_repeat_start(first, harness.now)
    assert not harness.cell.may_repeat_start(second, harness.now)


def test_a_single_task_whose_start_is_unanswered_is_not_repeated():
    """Guard against tasks that wait for a lost start although they could start elsewhere."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    assert harness.cell.should_send_start(start, harness.now)
    harness.now += 700.0
    harness.renew("w0")
    assert not harness.cell.may_repeat_start(start, harness.now)


def test_the_unsent_members_of_a_gang_are_given_up_once():
    """Guard against a team that runs more than its limit: their room was released twice."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(2, SMALL, 100, gang=True)))
    # The worker falls silent before the starts are decided, which the store is slow to take.
    harness.now += REPORT_TIMEOUT_MS - 100.0
    harness.schedule()
    state = harness.cell.state
    worker = state.workers["w0"]
    harness.now = worker.lease_expiry_ms() + 1.0
    harness.cell.tick(harness.now, harness.now)
    assert not worker.runs
    assert state.team_usage["team"] == NO_RESOURCES
    (step,) = state.ready_steps.values()
    assert step.waiting_count == 2


def advance_without_stops(harness, ms):
    """Let time pass while all commands are delivered but stops, which get no answer."""
    for _ in range(int(ms / 100.0)):
        harness.advance(100.0)
        commands = list(harness.undelivered)
        harness.undelivered.clear()
        for command in commands:
            if isinstance(command, StopTask):
                harness.lose_command(command)
            else:
                harness.deliver_command(command)


@pytest.mark.parametrize("step", [Step(1, SMALL, 60_000), *GANG], ids=["task", "gang"])
def test_a_start_that_no_report_lists_ends_without_an_answered_stop(step):
    """Guard against a task that stands still because its worker reports but answers no stop."""
    harness = CellHarness.with_workers(4)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, step))
    lost, *others = harness.schedule()
    harness.undelivered.clear()
    assert harness.cell.should_send_start(lost, harness.now)
    for start in others:
        harness.deliver_command(start)
    harness.lose_command(lost)
    for member in [start.task for start in others]:
        harness.worker_running(member).end_run(member, RunOutcome.ALONE)
    advance_without_stops(harness, MAX_START_LATENESS_MS + MAX_STANDSTILL_MS)
    assert len(harness.running_tasks()) == step.count


def test_a_listed_run_that_is_stopped_is_not_ended_by_an_earlier_report():
    """Guard against two runs of a task: a report requested before the run was listed ends it."""
    harness = CellHarness.with_workers(1)
    state = harness.cell.state
    early_ms = harness.now
    early_report = harness.workers["w0"].renew(harness.token, 0, None)
    harness.submit(make_job())
    harness.now += 10.0
    harness.settle()
    run = state.workers["w0"].runs[make_task_key()]
    assert run.is_listed
    state.stop_run(run, harness.now, WasteCause.STALLED)
    assert run.phase is RunPhase.STOPPING
    harness.cell.handle_report("w0", early_report, early_ms, harness.now)
    assert state.workers["w0"].runs
