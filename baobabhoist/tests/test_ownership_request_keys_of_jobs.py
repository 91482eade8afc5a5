"""Test the request-key ledger with tasks of jobs, which may outlast the key window."""

import math

from baobabhoist.errors import Refusal
from baobabhoist.model import Answer, Outcome, Request, Resources, RunningTask, Task, WorkKind
from baobabhoist.ownership.request_keys import JoinExisting, ReplyNow, RequestKeyLedger, RunNew

WINDOW_S = 600.0


def request(now, first=True, idempotent=False, deadline=math.inf):
    task = Task(
        "job.0.0",
        "roster",
        "nightly",
        WorkKind.BATCH,
        Resources(),
        deadline,
        now,
        idempotent=idempotent,
        job_id="job",
    )
    return Request("job.0.0", "rack-1", now, task, first)


def test_task_of_a_job_may_have_a_deadline_beyond_the_window():
    """Guard against refusing services and long jobs for a deadline that is too far ahead."""
    assert isinstance(RequestKeyLedger().admit(request(0.0), 0.0), RunNew)


def test_key_of_a_running_task_does_not_expire_after_the_window():
    """Guard against a second run of a task that is sent again while it is running."""
    ledger = RequestKeyLedger()
    ledger.admit(request(0.0, idempotent=True), 0.0)
    ledger.record_dispatch("job.0.0", "worker-1")
    for now in (WINDOW_S + 1, 3 * WINDOW_S, 9 * WINDOW_S):
        ledger.expire(now)
    repeated = request(0.0, first=False, idempotent=True)
    assert isinstance(ledger.admit(repeated, 9 * WINDOW_S), JoinExisting)


def test_key_of_a_running_task_from_an_inventory_does_not_expire_after_the_window():
    """Guard against a second run after a takeover, when only the inventory lists the task."""
    ledger = RequestKeyLedger(taken_over_at=5.0)
    ledger.apply_inventory("worker-1", [RunningTask("job.0.0", "roster", Resources())], [], 5.0)
    ledger.expire(5.0 + 2 * WINDOW_S)
    repeated = request(0.0, first=False, idempotent=True)
    assert isinstance(ledger.admit(repeated, 5.0 + 2 * WINDOW_S), JoinExisting)


def test_result_of_a_long_task_expires_one_window_after_its_end():
    """Guard against losing the answer of a task that ran for longer than the window."""
    ledger = RequestKeyLedger()
    ledger.admit(request(0.0), 0.0)
    ledger.record_dispatch("job.0.0", "worker-1")
    ledger.expire(WINDOW_S + 1)
    ledger.record_result("job.0.0", Answer("job.0.0", 200, b"done"))
    ledger.expire(2 * WINDOW_S + 5)
    assert isinstance(ledger.admit(request(0.0, first=False), 2 * WINDOW_S + 5), ReplyNow)
    ledger.expire(5 * WINDOW_S)
    assert not ledger.entries


def test_expired_task_that_is_not_idempotent_is_unknown_and_not_run_again():
    """Guard against running a non-idempotent task twice after its key has expired."""
    decision = RequestKeyLedger().admit(request(0.0, first=False), 20 * WINDOW_S)
    assert isinstance(decision, ReplyNow)
    assert isinstance(decision.result, Refusal)
    assert decision.result.outcome is Outcome.UNKNOWN
