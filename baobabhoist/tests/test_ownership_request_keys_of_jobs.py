"""Test the key ledger for tasks of jobs, which outlive the window of request keys."""

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
    """Guard against refusing services and long jobs as requests with a distant deadline."""
    assert isinstance(RequestKeyLedger().admit(request(0.0), 0.0), RunNew)


def test_running_task_is_not_forgotten_after_the_window():
    """Guard against a second run of a task that still runs when it is asked for again."""
    keys = RequestKeyLedger()
    keys.admit(request(0.0, idempotent=True), 0.0)
    keys.record_dispatch("job.0.0", "worker-1")
    for now in (WINDOW_S + 1, 3 * WINDOW_S, 9 * WINDOW_S):
        keys.expire(now)
    again = request(0.0, first=False, idempotent=True)
    assert isinstance(keys.admit(again, 9 * WINDOW_S), JoinExisting)


def test_inherited_running_task_is_not_forgotten_after_the_window():
    """Guard against the same after a takeover, where only the inventory names the task."""
    keys = RequestKeyLedger(taken_over_at=5.0)
    keys.apply_inventory("worker-1", [RunningTask("job.0.0", "roster", Resources())], [], 5.0)
    keys.expire(5.0 + 2 * WINDOW_S)
    again = request(0.0, first=False, idempotent=True)
    assert isinstance(keys.admit(again, 5.0 + 2 * WINDOW_S), JoinExisting)


def test_result_of_a_long_task_is_kept_for_a_window_and_then_forgotten():
    """Guard against losing the answer of a task that ran for longer than the window."""
    keys = RequestKeyLedger()
    keys.admit(request(0.0), 0.0)
    keys.record_dispatch("job.0.0", "worker-1")
    keys.expire(WINDOW_S + 1)
    keys.record_result("job.0.0", Answer("job.0.0", 200, b"done"))
    keys.expire(2 * WINDOW_S + 5)
    assert isinstance(keys.admit(request(0.0, first=False), 2 * WINDOW_S + 5), ReplyNow)
    keys.expire(5 * WINDOW_S)
    assert not keys.entries


def test_forgotten_task_that_may_run_once_is_unknown_and_not_run_again():
    """Guard against running a non-idempotent task twice after its key was forgotten."""
    decision = RequestKeyLedger().admit(request(0.0, first=False), 20 * WINDOW_S)
    assert isinstance(decision, ReplyNow)
    assert isinstance(decision.result, Refusal)
    assert decision.result.outcome is Outcome.UNKNOWN
