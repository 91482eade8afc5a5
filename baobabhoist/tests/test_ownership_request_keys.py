"""Test the request-key ledger."""

import pytest

from baobabhoist.errors import ErrorKind, InvariantViolationError, Refusal
from baobabhoist.model import (
    Answer,
    EndedTask,
    Outcome,
    Request,
    Resources,
    RunningTask,
    Task,
    WorkKind,
)
from baobabhoist.ownership.request_keys import (
    JoinExisting,
    ReplyNow,
    RequestKeyLedger,
    RequestKeyState,
    RunNew,
    unknown_outcome_refusal,
)

NOW = 1000.0
QUEUE_FULL = Refusal(ErrorKind.QUEUE_FULL, "the queue is full")


def request(key="k", sent_at=NOW, deadline=NOW + 60, first=False, idempotent=False):
    task = Task(
        key, "roster", "q", WorkKind.REQUEST, Resources(), deadline, sent_at, idempotent=idempotent
    )
    return Request(key, "rack-1", sent_at, task, first)


def ledger_with_dispatched_key(**fields):
    ledger = RequestKeyLedger()
    assert ledger.admit(request(**fields), NOW) == RunNew()
    ledger.record_dispatch("k", "w1")
    return ledger


def refused_outcome(decision):
    assert isinstance(decision, ReplyNow) and isinstance(decision.result, Refusal)
    return decision.result.outcome


def test_duplicate_waits_and_then_gets_the_stored_answer():
    """Guard against a second run of a request that is sent twice."""
    ledger = ledger_with_dispatched_key()
    assert ledger.admit(request(), NOW) == JoinExisting()
    answer = Answer("k", 200, b"body")
    ledger.record_result("k", answer)
    assert ledger.admit(request(), NOW) == ReplyNow(answer)


@pytest.mark.parametrize("deadline", [NOW + 600.6, NOW - 0.1])
def test_refused_request_never_runs_later(deadline):
    """Guard against running a copy of a request after the caller was told not_run."""
    ledger = RequestKeyLedger()
    assert refused_outcome(ledger.admit(request(deadline=deadline), NOW)) is Outcome.NOT_RUN
    for later in (1.0, 300.0):
        assert isinstance(ledger.admit(request(deadline=deadline), NOW + later), ReplyNow)
    ledger = RequestKeyLedger()
    ledger.admit(request(), NOW)
    assert ledger.record_not_run("k", QUEUE_FULL) == QUEUE_FULL
    assert ledger.admit(request(), NOW + 1) == ReplyNow(QUEUE_FULL)
    with pytest.raises(InvariantViolationError):
        ledger.record_dispatch("k", "w1")


def test_passed_deadline_of_a_key_that_may_have_expired_is_unknown():
    """Guard against not_run for a request that ran and whose key has expired since."""
    ledger = ledger_with_dispatched_key()
    ledger.record_result("k", Answer("k", 200, b""))
    assert ledger.expire(NOW + 60.5) == 1
    assert refused_outcome(ledger.admit(request(), NOW + 61)) is Outcome.UNKNOWN
    assert refused_outcome(ledger.admit(request(first=True), NOW + 61)) is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("fields", "is_run"),
    [
        ({"sent_at": NOW + 0.5}, False),
        ({"sent_at": NOW + 0.6}, True),
        ({"sent_at": NOW - 60, "first": True}, True),
        ({"sent_at": NOW - 60, "idempotent": True}, True),
    ],
)
def test_new_owner_runs_only_requests_that_no_earlier_owner_can_have_run(fields, is_run):
    """Guard against a second run of a request whose first run is unknown to the new owner."""
    ledger = RequestKeyLedger()
    ledger.begin_ownership(NOW)
    decision = ledger.admit(request(**fields), NOW + 1)
    assert (decision == RunNew()) == is_run
    assert is_run or refused_outcome(decision) is Outcome.UNKNOWN


def test_inventory_sets_the_states_of_request_keys():
    """Guard against a second run of a request that is running or ended on a worker."""
    ledger = RequestKeyLedger()
    ledger.admit(request("running"), NOW)
    ledger.admit(request("ended"), NOW)
    running = [RunningTask("running", "roster", Resources())]
    ended = [EndedTask("ended", "roster", True, b"x"), EndedTask("other", "roster", False)]
    results = dict(ledger.apply_inventory("w1", running, ended, NOW))
    assert results["ended"] == Answer("ended", 200, b"x")
    assert ledger.entries["running"].state is RequestKeyState.DISPATCHED
    assert refused_outcome(ledger.admit(request("other"), NOW)) is Outcome.RAN
    assert ledger.apply_inventory("w1", running, ended, NOW) == []


def test_idempotent_work_is_retried_once_and_other_work_never():
    """Guard against a third run, a retry after the deadline and a retry of non-idempotent work."""
    ledger = ledger_with_dispatched_key()
    assert not ledger.requeue_for_retry("k", NOW + 60, NOW)
    ledger = ledger_with_dispatched_key(idempotent=True)
    assert not ledger.requeue_for_retry("k", NOW + 60, NOW + 60)
    assert ledger.requeue_for_retry("k", NOW + 60, NOW)
    ledger.record_dispatch("k", "w2")
    assert not ledger.requeue_for_retry("k", NOW + 60, NOW)
    assert ledger.record_not_run("k", QUEUE_FULL) != QUEUE_FULL


def test_late_report_of_the_worker_replaces_unknown_only():
    """Guard against an answer that changes after a caller has received it."""
    ledger = ledger_with_dispatched_key()
    ledger.record_unknown("k")
    answer = Answer("k", 200, b"")
    assert ledger.record_result("k", answer) == answer
    with pytest.raises(InvariantViolationError):
        ledger.record_result("k", unknown_outcome_refusal("late"))
    assert ledger.entries["k"].result == answer


def test_lost_shard_replies_unknown_unless_no_other_owner_can_have_the_key():
    """Guard against not_run for a request of which the new owner may have a copy."""
    ledger = RequestKeyLedger()
    for key, first in (("sole", True), ("copied", True), ("callers", False), ("sent", True)):
        ledger.admit(request(key, first=first), NOW)
    ledger.admit(request("copied"), NOW)
    ledger.record_dispatch("sent", "w1")
    outcomes = {key: result.outcome for key, result in ledger.settle_open_keys(NOW)}
    assert outcomes.pop("sole") is Outcome.NOT_RUN
    assert set(outcomes.values()) == {Outcome.UNKNOWN}


def test_handed_over_request_runs_at_the_next_owner_and_is_not_reported_as_not_run():
    """Guard against not_run for a request that the next owner runs."""
    ledger, successor = RequestKeyLedger(), RequestKeyLedger()
    ledger.admit(request(), NOW)
    sent = ledger.export_queued()
    assert refused_outcome(ReplyNow(ledger.record_not_run("k", QUEUE_FULL))) is Outcome.UNKNOWN
    successor.apply_inventory("w1", [RunningTask("ran", "roster", Resources())], [], NOW)
    assert successor.import_queued(sent, NOW) == ["k"]
    assert successor.import_queued(sent, NOW) == []


def test_memory_is_bounded_and_a_refusal_that_cannot_be_stored_is_unknown():
    """Guard against memory that grows with refused requests, and not_run without a record."""
    ledger = RequestKeyLedger(max_entries=2)
    decisions = [ledger.admit(request(str(n)), NOW) for n in range(6)]
    assert decisions[:2] == [RunNew(), RunNew()]
    assert [refused_outcome(decision) for decision in decisions[2:4]] == [Outcome.NOT_RUN] * 2
    assert [refused_outcome(decision) for decision in decisions[4:]] == [Outcome.UNKNOWN] * 2
    assert len(ledger.entries) == 4


@pytest.mark.parametrize(
    "violate",
    [
        lambda ledger: ledger.record_dispatch("absent"),
        lambda ledger: ledger.record_dispatch("k", "w2"),
        lambda ledger: ledger.record_not_run("k", unknown_outcome_refusal("?")),
        lambda ledger: ledger._change_state("k", ledger.entries["k"], RequestKeyState.DISPATCHED),
    ],
)
def test_step_that_violates_an_invariant_is_refused(violate):
    """Guard against a second dispatch and against a state without a matching result."""
    ledger = ledger_with_dispatched_key()
    entries_before = repr(ledger.entries)
    with pytest.raises(InvariantViolationError):
        violate(ledger)
    assert repr(ledger.entries) == entries_before
