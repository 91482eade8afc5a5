"""Test until when a start may still be carried out by some process of its worker."""

import orjson
import pytest

from baobabhoist.cell import progress_rows
from baobabhoist.cell.directory_health import MAX_READ_GAP_MS
from baobabhoist.cell.model import AdviceTerms, CommandOutcome, Step
from baobabhoist.cell.periodic_checks import OPEN_STOP_RETRY_INTERVAL_MS
from baobabhoist.cell.workers import MAX_START_LATENESS_MS, lease_duration_ms
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    MAX_LEASE_MS,
    SMALL,
    CellHarness,
    make_job,
    make_rules,
    make_task_key,
)

TASK = make_task_key()
LEASE_LAPSES_MS = LEASE_MS * 1.1
LONGEST_LEASE_MS = lease_duration_ms(MAX_LEASE_MS)
TICKET_VALID_MS = 2_500.0
TICKET_TERMS = AdviceTerms(10.0, 0.0, int(TICKET_VALID_MS))


def send_start(step=None):
    """Start a task; returns the harness and the command, which has not been delivered."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, step or Step(1, SMALL, 1000)))
    harness.schedule()
    (start,) = harness.undelivered
    harness.undelivered.clear()
    harness.cell.should_send_start(start, harness.now)
    return harness, start


def lose_start(step=None):
    """Start a task without an answer, on a worker that falls silent then."""
    harness, start = send_start(step)
    harness.lose_command(start)
    harness.workers["w0"].is_up = False
    return harness, start


def is_given_up(harness):
    return harness.cell.find_job(TASK.job_id).find_task(TASK).run is None


def test_a_start_without_an_answer_outlasts_the_lease_of_its_worker():
    """Guard against two runs of a task whose start the next process carries out late (TWICE)."""
    harness, _ = lose_start()
    harness.advance(MAX_START_LATENESS_MS + LONGEST_LEASE_MS - 100.0)
    assert not is_given_up(harness)
    harness.advance(200.0)
    assert is_given_up(harness)


def test_an_answered_start_outlasts_the_lease_until_a_report_lists_its_run():
    """Guard against two runs of a task whose start a process answered that nobody has heard of."""
    harness, start = send_start()
    harness.deliver_command(start)
    harness.workers["w0"].is_up = False
    harness.advance(LONGEST_LEASE_MS - 100.0)
    assert not is_given_up(harness)
    harness.advance(200.0)
    assert is_given_up(harness)


def test_a_listed_run_is_given_up_with_the_lease_of_its_worker():
    """Guard against tasks of a worker that is gone waiting for starts that it had listed."""
    harness, start = send_start()
    harness.deliver_command(start)
    harness.settle()
    harness.workers["w0"].is_up = False
    harness.advance(LEASE_LAPSES_MS)
    assert is_given_up(harness)


def test_a_task_that_lasts_waits_for_no_late_start():
    """Guard against a service that stays away long after its worker has gone."""
    harness, _ = lose_start(Step(1, SMALL, 0, lasting=True))
    harness.advance(LEASE_LAPSES_MS)
    assert is_given_up(harness)


@pytest.mark.parametrize("restarts", [False, True], ids=["same_process", "next_process"])
def test_a_worker_that_answers_settles_its_starts(restarts):
    """Guard against tasks that wait although a process was heard that refuses their late start."""
    harness, start = lose_start()
    harness.advance(LEASE_LAPSES_MS)
    worker = harness.workers["w0"]
    worker.is_up = True
    if restarts:
        worker.restart()
    harness.delivers_commands = True
    harness.advance(1_000.0)
    assert (TASK, start.run) not in worker.started_runs
    assert worker.runs[TASK].number > start.run


def test_the_tasks_that_a_lost_worker_may_have_crashed_under_are_all_remembered():
    """Guard against a deadly task that goes unnoticed because another start got no answer."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16))
    harness.schedule()
    harness.settle()
    harness.delivers_commands = False
    harness.submit(make_job("1" * 16))
    harness.schedule()
    (start,) = harness.undelivered
    harness.cell.should_send_start(start, harness.now)
    harness.lose_command(start)
    harness.workers["w0"].is_up = False
    harness.advance(MAX_START_LATENESS_MS + LONGEST_LEASE_MS + 100.0)
    harness.workers["w0"].is_up = True
    harness.workers["w0"].restart()
    harness.renew_all()
    jobs = (harness.cell.find_job(job_id * 16) for job_id in "01")
    tasks = [job.steps[0, 0].tasks[0] for job in jobs]
    assert all(task.crash_blame.by_crash for task in tasks)


@pytest.mark.parametrize(("lasts", "expected_ms"), [(False, MAX_LEASE_MS), (True, LEASE_MS)])
def test_a_new_owner_counts_the_longest_lease_of_a_worker_that_it_never_hears(lasts, expected_ms):
    """Guard against two runs of a task: a process that had started again went on for longer."""
    step = Step(1, SMALL, 0 if lasts else 1000, lasting=lasts)
    harness, start = send_start(step)
    harness.deliver_command(start)
    harness.workers["w0"].is_up = False
    harness.take_over([make_job("0" * 16, step)], harness.save_progress(), 1.1 * LEASE_MS)
    harness.advance(1.1 * expected_ms - 100.0)
    assert not is_given_up(harness)
    harness.advance(200.0)
    assert is_given_up(harness)


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_later_start_extends_the_lease_of_an_answered_run(is_answered):
    """Guard against two runs of a task whose lease the next start at a new process extends."""
    harness, start = send_start()
    worker = harness.workers["w0"]
    worker.now_ms += 2 * MAX_LEASE_MS
    harness.renew_all()
    worker.restart()
    harness.deliver_command(start)
    harness.submit(make_job("1" * 16))
    harness.schedule()
    (second,) = harness.undelivered
    harness.cell.should_send_start(second, harness.now)
    harness.advance(1_000.0, renew=False)
    if not is_answered:
        harness.lose_command(second)
        harness.advance(1_000.0, renew=False)
    harness.deliver_command(second, is_answered)
    worker.is_up = False
    while TASK in worker.runs:
        assert not is_given_up(harness)
        harness.advance(100.0)


def test_a_gang_is_stopped_when_the_lease_lapses_under_a_member_that_is_not_given_up():
    """Guard against members that wait for one on a lost worker until they end alone (GANG)."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    # Its tasks take long, so that the members do not seem to stand still.
    harness.submit(make_job("0" * 16, Step(2, SMALL.times(4), 1_000_000, gang=True)))
    starts = harness.schedule()
    for start in starts:
        harness.deliver_command(start)
    lost, waiting = (start.worker_id for start in starts)
    harness.workers[lost].is_up = False
    harness.delivers_commands = True
    harness.advance(LEASE_LAPSES_MS)
    assert not harness.workers[waiting].runs
    assert harness.cell.state.workers[lost].runs


def test_a_late_run_is_adopted_in_place_of_a_later_one_that_its_process_does_not_hold():
    """Guard against two runs of a task whose earlier start a restarted worker has carried out."""
    harness, late_start = send_start()
    harness.lose_command(late_start)
    harness.delivers_commands = True
    harness.advance(1_000.0)
    late_worker = harness.worker_running(TASK)
    assert late_worker.runs[TASK].number > late_start.run
    progress = harness.save_progress()
    late_worker.restart()
    late_worker.start(harness.token, late_start, MAX_LEASE_MS)
    harness.workers["w1"] = FakeCellWorker("w1")
    harness.take_over([make_job("0" * 16)], progress)
    harness.now += 1.0
    harness.renew_all()
    # A start that its worker refuses is tried elsewhere in the next round.
    harness.schedule()
    harness.schedule()
    assert harness.running_tasks() == [(TASK, "w0")]
    assert late_worker.started_runs[-1] == (TASK, late_start.run)


def test_a_start_that_was_repeated_outlasts_the_lease_although_its_run_is_listed():
    """Guard against two runs of a gang's task: a copy of its start came late."""
    harness, start = send_start(Step(1, SMALL, 1000, gang=True))
    harness.advance(700.0)
    assert harness.cell.may_repeat_start(start, harness.now)
    harness.cell.record_repeated_start(start, harness.now)
    harness.deliver_command(start)
    harness.settle()
    harness.workers["w0"].is_up = False
    harness.advance(MAX_START_LATENESS_MS + LONGEST_LEASE_MS - 100.0)
    assert not is_given_up(harness)
    harness.advance(200.0)
    assert is_given_up(harness)


def test_a_new_owner_counts_a_start_of_the_owner_before_that_comes_late():
    """Guard against two runs of a task whose start is carried out after a change of the owner."""
    harness, start = lose_start()
    worker = harness.workers["w0"]
    harness.take_over([make_job("0" * 16)], harness.save_progress(), 1.1 * LEASE_MS)
    harness.advance(MAX_START_LATENESS_MS - 100.0)
    worker.restart()
    worker.start(harness.token, start, MAX_LEASE_MS)
    worker.is_up = False
    while TASK in worker.runs:
        assert not is_given_up(harness)
        harness.advance(100.0)


def stored_runs(harness):
    """Return the runs as another owner reads them, from a row of the store."""
    job = harness.cell.find_job(TASK.job_id)
    row = progress_rows.encode(progress_rows.capture_progress(job))
    (step,) = progress_rows.decode(row).steps
    return step.runs


@pytest.mark.parametrize("is_repeated", [False, True])
def test_each_new_owner_reads_that_a_start_had_no_answer(is_repeated):
    """Guard against two runs of a task whose start comes late, after two changes of the owner."""
    harness, start = send_start()
    assert not stored_runs(harness)[0].may_start_late
    harness.cell.take_unsaved_progress()
    if is_repeated:
        harness.cell.record_repeated_start(start, harness.now)
    else:
        harness.lose_command(start)
    harness.workers["w0"].is_up = False
    progress = harness.save_progress()
    for _ in range(2):
        harness.take_over([make_job("0" * 16)], progress)
        job = harness.cell.find_job(TASK.job_id)
        progress = {TASK.job_id: progress_rows.capture_progress(job)}
    assert stored_runs(harness)[0].may_start_late


def test_a_start_is_not_stored_as_unanswered_once_a_report_lists_its_run():
    """Guard against tasks that wait for a start which has been carried out."""
    harness, start = send_start()
    harness.deliver_command(start, reply_arrives=False)
    assert stored_runs(harness)[0].may_start_late
    harness.renew_all()
    assert not stored_runs(harness)[0].may_start_late


def test_a_new_owner_waits_for_no_late_start_on_a_worker_that_is_gone():
    """Guard against a task that stands still for its worker's next process, which never comes."""
    harness, _ = lose_start()
    progress = harness.save_progress()
    harness.take_over([make_job("0" * 16)], progress, LEASE_LAPSES_MS)
    harness.cell.unlist_worker("w0", harness.now)
    harness.advance(LEASE_LAPSES_MS + 200.0)
    assert is_given_up(harness)


@pytest.mark.parametrize("entries", [[[0, 0]], [[0, 0, "x"]], 7, [["a", 0, 0]]])
def test_odd_late_starts_make_a_row_unreadable(entries):
    """Guard against an owner that ends, or guesses, because of an odd row."""
    body = {"phase": "running", "steps": [], "lateStarts": entries}
    with pytest.raises(ValueError):
        progress_rows.decode(orjson.dumps(body))


def test_a_gang_whose_member_is_kept_is_stopped_once_and_not_at_each_tick():
    """Guard against an owner that floods a silent worker with stops while it waits for a start."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(2, SMALL, 1000, gang=True)))
    harness.schedule()
    for start in harness.undelivered:
        harness.cell.should_send_start(start, harness.now)
        harness.lose_command(start)
    harness.workers["w0"].is_up = False
    harness.advance(LEASE_LAPSES_MS)
    harness.undelivered.clear()
    harness.advance(OPEN_STOP_RETRY_INTERVAL_MS)
    assert len(harness.undelivered) <= 2 * 2


def send_start_with_ticket():
    """Start a task with a ticket of its worker's process."""
    harness = CellHarness.with_workers(1, make_rules(advice=TICKET_TERMS))
    harness.cell.confirm_directory(harness.now)
    worker = harness.workers["w0"]
    worker.requires_tickets = True
    harness.delivers_commands = False
    harness.submit(make_job())
    harness.schedule()
    (question,) = harness.advice_requests
    tickets = {"w0": worker.issue_ticket(question.step, TICKET_VALID_MS)}
    valid_until_ms = harness.now + TICKET_VALID_MS
    harness.cell.handle_advice(question.step, question.workers, tickets, valid_until_ms)
    harness.schedule()
    (start,) = harness.undelivered
    harness.undelivered.clear()
    assert start.ticket
    harness.cell.should_send_start(start, harness.now)
    return harness, start


@pytest.mark.parametrize("is_expired", [True, False], ids=["expired", "next_process"])
def test_no_process_carries_out_a_late_start_whose_ticket_is_void(is_expired):
    """Guard the premise of each bound by the ticket: the stand-in refuses it as workers do."""
    harness, start = send_start_with_ticket()
    worker = harness.workers["w0"]
    if is_expired:
        harness.advance(TICKET_VALID_MS + 100.0)
    else:
        worker.restart()
    assert (
        worker.start(harness.token, start, int(worker.now_ms + LEASE_MS))
        is CommandOutcome.NO_TICKET
    )
    assert not worker.started_runs


def wait_until_given_up(harness):
    """Let time pass until the run of the task is given up; return for how long."""
    since_ms = harness.now
    while not is_given_up(harness):
        harness.advance(100.0)
    return harness.now - since_ms


def test_a_ticket_of_the_process_heard_before_bounds_the_wait_for_a_lost_start():
    """Guard against a task that stands still for a process that would refuse its ticket."""
    harness, start = send_start_with_ticket()
    harness.lose_command(start)
    harness.workers["w0"].is_up = False
    assert wait_until_given_up(harness) <= MAX_START_LATENESS_MS + 100.0


@pytest.mark.parametrize("cause", ["no_ticket", "next_process", "unread_directory", "read_gap"])
def test_a_lost_start_that_a_next_process_may_carry_out_is_awaited_for_longer(cause):
    """Guard against two runs of a task whose lost start the worker's next process may accept."""
    has_ticket = cause != "no_ticket"
    harness, start = send_start_with_ticket() if has_ticket else send_start()
    sent_ms = harness.now
    harness.lose_command(start)
    harness.workers["w0"].is_up = False
    if cause == "next_process":
        entry = harness.workers["w0"].info(started_unix_ms=2)
        harness.cell.update_worker(entry, harness.now)
    harness.reads_directory = cause not in ("unread_directory", "read_gap")
    if cause == "read_gap":
        harness.advance(MAX_READ_GAP_MS + 100.0)
        harness.reads_directory = True
    wait_until_given_up(harness)
    assert harness.now - sent_ms >= MAX_START_LATENESS_MS + LONGEST_LEASE_MS


def test_a_lost_start_that_was_given_up_still_extends_the_wait_for_others():
    """Guard against two runs of a task: a refused start extends the lease of a next process."""
    harness, start = send_start_with_ticket()
    state, sent_ms = harness.cell.state, harness.now
    harness.submit(make_job("1" * 16))
    (task,) = harness.cell.find_job("1" * 16).steps[0, 0].tasks
    state.start_run(task, state.workers["w0"], 1, harness.now)
    run = task.run
    run.has_ticket, run.is_sent, run.sent_ms = False, True, sent_ms - 900.0
    harness.lose_command(start)
    harness.workers["w0"].is_up = False
    wait_until_given_up(harness)
    expiry_ms = state.workers["w0"].run_expiry_ms(run, has_no_next_process=False)
    assert expiry_ms >= sent_ms + MAX_START_LATENESS_MS + LONGEST_LEASE_MS
