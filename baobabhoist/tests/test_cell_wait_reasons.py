"""Test the reason that is kept for each step that a scheduling round leaves waiting."""

from baobabhoist.cell.model import AdviceTerms, Step
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_summary import find_wait_reason, summarize_waiting
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

JOB_ID = "0" * 16
OTHER_ID = "f" * 16
WORKER_TASKS = 4
ADVICE_RULES = make_rules(advice=AdviceTerms(10.0, 1.0, 2_000))


def reason_of(harness, job_id=JOB_ID):
    """Run a round without time passing and return the reason of a job's first step."""
    harness.schedule()
    return current_reason(harness, job_id)


def current_reason(harness, job_id):
    state = harness.cell.state
    worker_index = WorkerIndex(state.workers.values(), harness.now)
    step = harness.cell.find_job(job_id).steps[(0, 0)]
    return find_wait_reason(step, state, worker_index, harness.now)


def answer_advice(harness, tickets, valid_ms=2_000.0):
    request = harness.advice_requests[-1]
    harness.cell.handle_advice(request.step, request.workers, tickets, harness.now + valid_ms)


def test_started_step_has_no_reason():
    """Guard against steps that are reported as waiting although they run."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    assert summarize_waiting(harness.cell.state, harness.now).steps == 0


def test_reason_without_confirmed_claim():
    """Guard against an owner that may not start tasks and looks as if it had no workers."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule(may_start=False)
    assert current_reason(harness, JOB_ID) is WaitReason.STARTS_PAUSED


def test_reason_without_usable_worker():
    """Guard against quarantined or silent workers that look like a full cell."""
    harness = CellHarness.with_workers(0)
    harness.submit(make_job())
    assert reason_of(harness) is WaitReason.NO_USABLE_WORKER


def test_reason_without_worker_of_the_label():
    """Guard against a missing label that looks like missing tickets."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(JOB_ID, Step(1, SMALL, 1000, label="gpu")))
    assert reason_of(harness) is WaitReason.NO_USABLE_WORKER


def test_reason_in_a_full_cell():
    """Guard against a full cell that can't be told from a scheduler that is stuck."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(JOB_ID, Step(WORKER_TASKS + 1, SMALL, 1000)))
    assert reason_of(harness) is WaitReason.NO_ROOM
    assert reason_of(harness) is WaitReason.NO_ROOM


def test_reason_of_a_gang_without_room():
    """Guard against a gang that waits for room while the cell has some, without a sign of it."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(JOB_ID, Step(WORKER_TASKS + 1, SMALL, 1000, gang=True)))
    assert reason_of(harness) is WaitReason.NO_ROOM_FOR_GANG


def test_reason_of_a_gang_with_a_run_that_is_ending():
    """Guard against a gang that waits for its earlier run without a sign of it."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job(JOB_ID, Step(2, SMALL, 1000, gang=True)))
    harness.settle()
    task = harness.cell.find_job(JOB_ID).find_task(make_task_key(index=1))
    harness.cell.state.close_run(task.run)
    assert reason_of(harness) is WaitReason.GANG_RUN_ENDING


def test_reason_at_the_team_limit_and_behind_its_reservation():
    """Guard against a team at its limit that looks like a full cell."""
    harness = CellHarness.with_workers(2, make_rules(limit=SMALL.times(2)))
    harness.submit(make_job(OTHER_ID, Step(1, SMALL, 1000)))
    harness.settle()
    harness.submit(make_job("a" * 16, Step(2, SMALL, 1000, gang=True)))
    harness.submit(make_job(JOB_ID))
    harness.schedule()
    assert reason_of(harness, "a" * 16) is WaitReason.TEAM_LIMIT
    assert reason_of(harness) is WaitReason.TEAM_LIMIT_RESERVED


def test_reason_behind_workers_reserved_for_a_gang():
    """Guard against cores that are idle for a gang without a sign of it."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(OTHER_ID, Step(1, SMALL, 1000)))
    harness.settle()
    harness.submit(make_job("a" * 16, Step(WORKER_TASKS, SMALL, 1000, gang=True)))
    harness.submit(make_job(JOB_ID))
    assert reason_of(harness, "a" * 16) is WaitReason.NO_ROOM_FOR_GANG
    assert reason_of(harness) is WaitReason.WORKERS_RESERVED


def test_reasons_of_a_step_that_needs_tickets():
    """Guard against a lack of tickets that can't be told from refusals or from a full worker."""
    harness = CellHarness.with_workers(2, ADVICE_RULES)
    harness.submit(make_job(JOB_ID, Step(WORKER_TASKS + 1, SMALL, 60_000)))
    assert reason_of(harness) is WaitReason.NO_ADVICE
    answer_advice(harness, {"w0": "t"})
    assert reason_of(harness) is WaitReason.NO_ROOM_WITH_TICKET
    harness.now += 2_500.0
    harness.renew_all()
    assert reason_of(harness) is WaitReason.TICKETS_EXPIRED


def test_reason_of_a_step_that_the_adviser_refused_everywhere():
    """Guard against refusals by the adviser that look like advice that never came."""
    harness = CellHarness.with_workers(2, ADVICE_RULES)
    harness.submit(make_job())
    harness.schedule()
    answer_advice(harness, {})
    assert reason_of(harness) is WaitReason.NOT_APPROVED


def test_reason_with_tickets_for_unusable_workers_only():
    """Guard against quarantined workers that look like expired tickets."""
    harness = CellHarness.with_workers(2, ADVICE_RULES)
    harness.submit(make_job())
    harness.schedule()
    answer_advice(harness, {"w0": "t"})
    harness.cell.state.workers["w0"].health.quarantined_until_ms = harness.now + 1.0
    assert reason_of(harness) is WaitReason.TICKET_WORKERS_UNUSABLE


def test_wait_lasts_until_a_worker_confirms_a_start():
    """Guard against rejected starts that hide for how long a step has waited."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job(JOB_ID, Step(1, SMALL, 1000)))
    harness.schedule(may_start=False)
    step = harness.cell.find_job(JOB_ID).steps[(0, 0)]
    waiting_since_ms = step.waiting_since_ms
    assert waiting_since_ms == harness.now
    harness.delivers_commands = False
    harness.now += 100.0
    harness.schedule()
    assert step.waiting_count == 0
    assert step.waiting_since_ms == waiting_since_ms
    harness.deliver_command(harness.undelivered.pop())
    assert step.waiting_since_ms is None
