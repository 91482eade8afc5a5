"""Test the quota ledger of a shard."""

import pytest

from baobabhoist import invariants
from baobabhoist.errors import InvariantViolationError, is_refusal
from baobabhoist.model import Resources, RunningTask
from baobabhoist.quota.ledger import QuotaLedger


def make_ledger(places=2):
    return QuotaLedger("rack-1", {"roster": places})


def running_tasks(*task_ids):
    return [RunningTask(task_id, "roster", Resources()) for task_id in task_ids]


def test_start_stays_within_the_places():
    """Guard against a team that exceeds its limit in one shard."""
    quota = make_ledger(1)
    assert quota.acquire("roster", "a", "w1") is None
    assert is_refusal(quota.acquire("roster", "b", "w1"))
    assert is_refusal(quota.acquire("other", "c", "w1"))


def test_released_place_is_used_on_another_worker_only_after_confirmation():
    """Guard against a place that a new owner of the shard counts as well."""
    quota = make_ledger(1)
    quota.acquire("roster", "a", "w1")
    quota.release("a")
    assert is_refusal(quota.acquire("roster", "b", "w2"))
    assert quota.transferable("roster") == 0
    assert quota.acquire("roster", "c", "w1") is None
    quota.release("c")
    quota.confirm_ends("w2")
    assert quota.transferable("roster") == 0
    quota.confirm_ends("w1")
    assert quota.transferable("roster") == 1
    assert quota.acquire("roster", "d", "w2") is None
    quota.release("d", confirmed=True)
    assert quota.transferable("roster") == 1


def test_call_sent_before_an_end_does_not_confirm_it():
    """Guard against an end confirmed by the late reply to a call that was sent before it."""
    quota = make_ledger(1)
    quota.acquire("roster", "a", "w1")
    watermark = quota.end_watermark()
    quota.release("a")
    quota.confirm_ends("w1", watermark)
    assert quota.transferable("roster") == 0
    quota.confirm_ends("w1", quota.end_watermark())
    assert quota.transferable("roster") == 1


def test_takeover_uses_only_places_of_running_tasks():
    """Guard against a new owner that uses places transferred away by the previous one."""
    quota = make_ledger(5)
    quota.begin_takeover()
    assert is_refusal(quota.acquire("roster", "x", "w1"))
    quota.adopt("w1", running_tasks("a", "b"))
    assert is_refusal(quota.acquire("roster", "x", "w1"))
    quota.release("a", confirmed=True)
    assert quota.transferable("roster") == 0
    assert quota.acquire("roster", "x", "w1") is None
    quota.lift_takeover_cap({"roster": 3})
    assert quota.acquire("roster", "y", "w1") is None
    assert is_refusal(quota.acquire("roster", "z", "w1"))


def test_duplicate_report_does_not_raise_the_takeover_cap():
    """Guard against a delayed duplicate of a report that names a task which has ended since."""
    quota = make_ledger()
    quota.begin_takeover()
    quota.adopt("w1", running_tasks("a"))
    quota.release("a", confirmed=True)
    quota.adopt("w1", running_tasks("a"))
    assert quota.allowed("roster") == 1
    assert is_refusal(quota.acquire("roster", "x", "w1"))


def test_release_worker_releases_all_its_places():
    """Guard against places that stay allocated to a worker that is gone."""
    quota = make_ledger(2)
    quota.acquire("roster", "a", "w1")
    quota.acquire("roster", "b", "w1")
    quota.release("a")
    assert quota.release_worker("w1") == ["b"]
    assert quota.transferable("roster") == 2


def test_lowered_limit_stops_starts_at_once_and_lists_the_latest_tasks():
    """Guard against starts above a lowered limit, and stopping more or older tasks than needed."""
    quota = make_ledger(4)
    for name in "abcd":
        quota.acquire("roster", name, "w1")
    quota.set_ceiling("roster", 2)
    assert quota.excess_tasks("roster") == ["d", "c"]
    quota.release("d", confirmed=True)
    assert is_refusal(quota.acquire("roster", "e", "w1"))
    quota.set_ceiling("roster", None)
    assert quota.excess_tasks("roster") == []
    assert quota.acquire("roster", "e", "w1") is None


def test_places_are_withdrawn_before_and_deposited_after_the_transaction():
    """Guard against a place that source and target shard use at the same time."""
    quota = make_ledger(2)
    quota.withdraw("roster", 2)
    assert is_refusal(quota.acquire("roster", "a", "w1"))
    quota.deposit("roster", 1)
    assert quota.acquire("roster", "a", "w1") is None


@pytest.mark.parametrize(
    ("step", "event"),
    [
        (lambda quota: quota.acquire("roster", "a", "w1"), invariants.Invariant.QUOTA_TASK_NEW),
        (lambda quota: quota.release("absent"), invariants.Invariant.QUOTA_TASK_KNOWN),
        (lambda quota: quota.withdraw("roster", 1), invariants.Invariant.QUOTA_GIVEN_FREE),
        (lambda quota: quota.deposit("roster", 0), invariants.Invariant.QUOTA_COUNTS),
        (lambda quota: quota._reduce_unconfirmed("roster", 1), invariants.Invariant.QUOTA_COUNTS),
    ],
)
def test_step_that_breaks_an_invariant_is_refused_and_counted(step, event):
    """Guard against a place that is counted twice or transferred while in use."""
    quota = make_ledger(1)
    quota.acquire("roster", "a", "w1")
    before, counted = repr(quota), invariants.breach_counts[event]
    with pytest.raises(InvariantViolationError):
        step(quota)
    assert repr(quota) == before
    assert invariants.breach_counts[event] == counted + 1


def test_start_above_the_limit_is_refused_even_if_the_first_check_is_wrong(monkeypatch):
    """Guard against a fault in `_has_place` that lets a team exceed its places."""
    monkeypatch.setattr(QuotaLedger, "_has_place", lambda *args: True)
    quota = make_ledger(0)
    with pytest.raises(InvariantViolationError):
        quota.acquire("roster", "a", "w1")
    assert not quota.running
