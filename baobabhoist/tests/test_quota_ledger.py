"""Test the places of a shard."""

import pytest

from baobabhoist import invariants
from baobabhoist.errors import InvariantBreachError, is_refusal
from baobabhoist.model import Resources, RunningTask
from baobabhoist.quota.ledger import QuotaLedger


def ledger(places=2):
    return QuotaLedger("rack-1", {"roster": places})


def running(*names):
    return [RunningTask(name, "roster", Resources()) for name in names]


def test_start_stays_within_the_places():
    """Guard against a team that exceeds its limit in one shard."""
    quota = ledger(1)
    assert quota.acquire("roster", "a", "w1") is None
    assert is_refusal(quota.acquire("roster", "b", "w1"))
    assert is_refusal(quota.acquire("other", "c", "w1"))


def test_ended_place_is_used_elsewhere_only_after_the_worker_confirmed():
    """Guard against a place that the worker's new owner counts too."""
    quota = ledger(1)
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
    """Guard against a reply that overtakes the report of the end."""
    quota = ledger(1)
    quota.acquire("roster", "a", "w1")
    watermark = quota.end_watermark()
    quota.release("a")
    quota.confirm_ends("w1", watermark)
    assert quota.transferable("roster") == 0
    quota.confirm_ends("w1", quota.end_watermark())
    assert quota.transferable("roster") == 1


def test_takeover_uses_only_the_places_found_in_use():
    """Guard against a new owner that uses places given away by the old one."""
    quota = ledger(5)
    quota.begin_takeover()
    assert is_refusal(quota.acquire("roster", "x", "w1"))
    quota.adopt("w1", running("a", "b"))
    assert is_refusal(quota.acquire("roster", "x", "w1"))
    quota.release("a", confirmed=True)
    assert quota.transferable("roster") == 0
    assert quota.acquire("roster", "x", "w1") is None
    quota.lift_takeover_cap({"roster": 3})
    assert quota.acquire("roster", "y", "w1") is None
    assert is_refusal(quota.acquire("roster", "z", "w1"))


def test_copy_of_an_inventory_does_not_raise_the_cap():
    """Guard against a delayed report that names a task which has ended since."""
    quota = ledger()
    quota.begin_takeover()
    quota.adopt("w1", running("a"))
    quota.release("a", confirmed=True)
    quota.adopt("w1", running("a"))
    assert quota.allowed("roster") == 1
    assert is_refusal(quota.acquire("roster", "x", "w1"))


def test_excused_worker_gives_all_its_places_back():
    """Guard against places that stay with a worker that is gone."""
    quota = ledger(2)
    quota.acquire("roster", "a", "w1")
    quota.acquire("roster", "b", "w1")
    quota.release("a")
    assert quota.release_worker("w1") == ["b"]
    assert quota.transferable("roster") == 2


def test_lowered_limit_stops_starts_at_once_and_lists_the_latest_tasks():
    """Guard against starts above a lowered limit, and stopping more or older work than needed."""
    quota = ledger(4)
    for name in "abcd":
        quota.acquire("roster", name, "w1")
    quota.set_ceiling("roster", 2)
    assert quota.excess_tasks("roster") == ["d", "c"]
    quota.release("d", confirmed=True)
    assert is_refusal(quota.acquire("roster", "e", "w1"))
    quota.set_ceiling("roster", None)
    assert quota.excess_tasks("roster") == []
    assert quota.acquire("roster", "e", "w1") is None


def test_places_leave_before_and_arrive_after_the_transaction():
    """Guard against a place that donor and recipient use at the same time."""
    quota = ledger(2)
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
    """Guard against a place that is counted twice or given away in use."""
    quota = ledger(1)
    quota.acquire("roster", "a", "w1")
    before, counted = repr(quota), invariants.breaches[event]
    with pytest.raises(InvariantBreachError):
        step(quota)
    assert repr(quota) == before
    assert invariants.breaches[event] == counted + 1


def test_start_beyond_the_places_is_refused_even_if_the_search_errs(monkeypatch):
    """Guard against a fault in the search for a place that takes effect."""
    monkeypatch.setattr(QuotaLedger, "_has_place", lambda *args: True)
    quota = ledger(0)
    with pytest.raises(InvariantBreachError):
        quota.acquire("roster", "a", "w1")
    assert not quota.running
