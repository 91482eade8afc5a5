"""Test the ledger of request keys."""

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
from baobabhoist.ownership.keys import Join, KeyLedger, KeyState, Reply, Run, outcome_unknown

NOW = 1000.0
FULL = Refusal(ErrorKind.QUEUE_FULL, "the queue is full")


def request(key="k", sent_at=NOW, deadline=NOW + 60, first=False, idempotent=False):
    task = Task(
        key, "roster", "q", WorkKind.REQUEST, Resources(), deadline, sent_at, idempotent=idempotent
    )
    return Request(key, "rack-1", sent_at, task, first)


def dispatched(**fields):
    keys = KeyLedger()
    assert keys.admit(request(**fields), NOW) == Run()
    keys.dispatched("k", "w1")
    return keys


def outcome(decision):
    assert isinstance(decision, Reply) and isinstance(decision.result, Refusal)
    return decision.result.outcome


def test_duplicate_waits_and_then_gets_the_stored_answer():
    """Guard against a second run of a key that is sent twice."""
    keys = dispatched()
    assert keys.admit(request(), NOW) == Join()
    answer = Answer("k", 200, b"body")
    keys.answered("k", answer)
    assert keys.admit(request(), NOW) == Reply(answer)


@pytest.mark.parametrize("deadline", [NOW + 600.6, NOW - 0.1])
def test_refused_id_never_runs_later(deadline):
    """Guard against a copy of a refused request that runs after the caller was told not_run."""
    keys = KeyLedger()
    assert outcome(keys.admit(request(deadline=deadline), NOW)) is Outcome.NOT_RUN
    for later in (1.0, 300.0):
        assert isinstance(keys.admit(request(deadline=deadline), NOW + later), Reply)
    keys = KeyLedger()
    keys.admit(request(), NOW)
    assert keys.not_run("k", FULL) == FULL
    assert keys.admit(request(), NOW + 1) == Reply(FULL)
    with pytest.raises(InvariantViolationError):
        keys.dispatched("k", "w1")


def test_passed_deadline_of_a_key_that_may_be_forgotten_is_unknown():
    """Guard against not_run for a key that ran and was forgotten since."""
    keys = dispatched()
    keys.answered("k", Answer("k", 200, b""))
    assert keys.expire(NOW + 60.5) == 1
    assert outcome(keys.admit(request(), NOW + 61)) is Outcome.UNKNOWN
    assert outcome(keys.admit(request(first=True), NOW + 61)) is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("fields", "runs"),
    [
        ({"sent_at": NOW + 0.5}, False),
        ({"sent_at": NOW + 0.6}, True),
        ({"sent_at": NOW - 60, "first": True}, True),
        ({"sent_at": NOW - 60, "idempotent": True}, True),
    ],
)
def test_after_a_takeover_only_keys_that_no_other_owner_can_have_run_are_run(fields, runs):
    """Guard against a second run of a key whose first run the new owner cannot see."""
    keys = KeyLedger()
    keys.take_over(NOW)
    decision = keys.admit(request(**fields), NOW + 1)
    assert (decision == Run()) == runs
    assert runs or outcome(decision) is Outcome.UNKNOWN


def test_inventory_sets_the_states_of_inherited_keys():
    """Guard against running a key again that a worker runs or has run."""
    keys = KeyLedger()
    keys.admit(request("running"), NOW)
    keys.admit(request("ended"), NOW)
    running = [RunningTask("running", "roster", Resources())]
    ended = [EndedTask("ended", "roster", True, b"x"), EndedTask("other", "roster", False)]
    results = dict(keys.inherit("w1", running, ended, NOW))
    assert results["ended"] == Answer("ended", 200, b"x")
    assert keys.entries["running"].state is KeyState.DISPATCHED
    assert outcome(keys.admit(request("other"), NOW)) is Outcome.RAN
    assert keys.inherit("w1", running, ended, NOW) == []


def test_idempotent_work_is_retried_once_and_other_work_never():
    """Guard against a third run, a retry after the deadline and any retry of other work."""
    keys = dispatched()
    assert not keys.retry("k", NOW + 60, NOW)
    keys = dispatched(idempotent=True)
    assert not keys.retry("k", NOW + 60, NOW + 60)
    assert keys.retry("k", NOW + 60, NOW)
    keys.dispatched("k", "w2")
    assert not keys.retry("k", NOW + 60, NOW)
    assert keys.not_run("k", FULL) != FULL


def test_late_report_of_the_worker_replaces_unknown_only():
    """Guard against an answer that changes after a caller has received it."""
    keys = dispatched()
    keys.unknown("k")
    answer = Answer("k", 200, b"")
    assert keys.answered("k", answer) == answer
    with pytest.raises(InvariantViolationError):
        keys.answered("k", outcome_unknown("late"))
    assert keys.entries["k"].result == answer


def test_lost_shard_answers_unknown_unless_nobody_else_can_have_the_key():
    """Guard against not_run for a key of which a copy may be with the new owner."""
    keys = KeyLedger()
    for key, first in (("sole", True), ("copied", True), ("callers", False), ("sent", True)):
        keys.admit(request(key, first=first), NOW)
    keys.admit(request("copied"), NOW)
    keys.dispatched("sent", "w1")
    outcomes = {key: result.outcome for key, result in keys.drop(NOW)}
    assert outcomes.pop("sole") is Outcome.NOT_RUN
    assert set(outcomes.values()) == {Outcome.UNKNOWN}


def test_handed_over_key_runs_at_the_successor_and_is_not_called_not_run():
    """Guard against not_run for a request that the successor runs."""
    keys, successor = KeyLedger(), KeyLedger()
    keys.admit(request(), NOW)
    sent = keys.hand_over()
    assert outcome(Reply(keys.not_run("k", FULL))) is Outcome.UNKNOWN
    successor.inherit("w1", [RunningTask("ran", "roster", Resources())], [], NOW)
    assert successor.accept(sent, NOW) == ["k"]
    assert successor.accept(sent, NOW) == []


def test_memory_is_bounded_and_a_refusal_that_cannot_be_kept_is_unknown():
    """Guard against memory that grows with refused requests, or a refusal that is forgotten."""
    keys = KeyLedger(max_entries=2)
    decisions = [keys.admit(request(str(n)), NOW) for n in range(6)]
    assert decisions[:2] == [Run(), Run()]
    assert [outcome(decision) for decision in decisions[2:4]] == [Outcome.NOT_RUN] * 2
    assert [outcome(decision) for decision in decisions[4:]] == [Outcome.UNKNOWN] * 2
    assert len(keys.entries) == 4


@pytest.mark.parametrize(
    "step",
    [
        lambda keys: keys.dispatched("absent"),
        lambda keys: keys.dispatched("k", "w2"),
        lambda keys: keys.not_run("k", outcome_unknown("?")),
        lambda keys: keys._move("k", keys.entries["k"], KeyState.DISPATCHED),
    ],
)
def test_step_that_breaks_an_invariant_is_refused(step):
    """Guard against a second dispatch or a state without a reason."""
    keys = dispatched()
    before = repr(keys.entries)
    with pytest.raises(InvariantViolationError):
        step(keys)
    assert repr(keys.entries) == before
