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
    assert quota.start("roster", "a", "w1") is None
    assert is_refusal(quota.start("roster", "b", "w1"))
    assert is_refusal(quota.start("other", "c", "w1"))


def test_ended_place_is_used_elsewhere_only_after_the_worker_confirmed():
    """Guard against a place that the worker's new owner counts too."""
    quota = ledger(1)
    quota.start("roster", "a", "w1")
    quota.ended("a")
    assert is_refusal(quota.start("roster", "b", "w2"))
    assert quota.giveable("roster") == 0
    assert quota.start("roster", "c", "w1") is None
    quota.ended("c")
    quota.worker_confirmed("w2")
    assert quota.giveable("roster") == 0
    quota.worker_confirmed("w1")
    assert quota.giveable("roster") == 1
    assert quota.start("roster", "d", "w2") is None
    quota.ended("d", confirmed=True)
    assert quota.giveable("roster") == 1


def test_call_sent_before_an_end_does_not_confirm_it():
    """Guard against a reply that overtakes the report of the end."""
    quota = ledger(1)
    quota.start("roster", "a", "w1")
    mark = quota.mark()
    quota.ended("a")
    quota.worker_confirmed("w1", mark)
    assert quota.giveable("roster") == 0
    quota.worker_confirmed("w1", quota.mark())
    assert quota.giveable("roster") == 1


def test_takeover_uses_only_the_places_found_in_use():
    """Guard against a new owner that uses places given away by the old one."""
    quota = ledger(5)
    quota.begin_takeover()
    assert is_refusal(quota.start("roster", "x", "w1"))
    quota.adopt("w1", running("a", "b"))
    assert is_refusal(quota.start("roster", "x", "w1"))
    quota.ended("a", confirmed=True)
    assert quota.giveable("roster") == 0
    assert quota.start("roster", "x", "w1") is None
    quota.uncap({"roster": 3})
    assert quota.start("roster", "y", "w1") is None
    assert is_refusal(quota.start("roster", "z", "w1"))


def test_copy_of_an_inventory_does_not_raise_the_cap():
    """Guard against a delayed report that names a task which has ended since."""
    quota = ledger()
    quota.begin_takeover()
    quota.adopt("w1", running("a"))
    quota.ended("a", confirmed=True)
    quota.adopt("w1", running("a"))
    assert quota.allowed("roster") == 1
    assert is_refusal(quota.start("roster", "x", "w1"))


def test_excused_worker_gives_all_its_places_back():
    """Guard against places that stay with a worker that is gone."""
    quota = ledger(2)
    quota.start("roster", "a", "w1")
    quota.start("roster", "b", "w1")
    quota.ended("a")
    assert quota.worker_gone("w1") == ["b"]
    assert quota.giveable("roster") == 2


def test_lowered_limit_stops_starts_at_once_and_lists_the_latest_tasks():
    """Guard against starts above a lowered limit, and stopping more or older work than needed."""
    quota = ledger(4)
    for name in "abcd":
        quota.start("roster", name, "w1")
    quota.set_ceiling("roster", 2)
    assert quota.excess("roster") == ["d", "c"]
    quota.ended("d", confirmed=True)
    assert is_refusal(quota.start("roster", "e", "w1"))
    quota.set_ceiling("roster", None)
    assert quota.excess("roster") == []
    assert quota.start("roster", "e", "w1") is None


def test_places_leave_before_and_arrive_after_the_transaction():
    """Guard against a place that donor and recipient use at the same time."""
    quota = ledger(2)
    quota.take_out("roster", 2)
    assert is_refusal(quota.start("roster", "a", "w1"))
    quota.put_in("roster", 1)
    assert quota.start("roster", "a", "w1") is None


@pytest.mark.parametrize(
    ("step", "event"),
    [
        (lambda quota: quota.start("roster", "a", "w1"), invariants.Invariant.QUOTA_TASK_NEW),
        (lambda quota: quota.ended("absent"), invariants.Invariant.QUOTA_TASK_KNOWN),
        (lambda quota: quota.take_out("roster", 1), invariants.Invariant.QUOTA_GIVEN_FREE),
        (lambda quota: quota.put_in("roster", 0), invariants.Invariant.QUOTA_COUNTS),
        (lambda quota: quota._less_unconfirmed("roster", 1), invariants.Invariant.QUOTA_COUNTS),
    ],
)
def test_step_that_violates_an_invariant_is_rolled_back_and_counted(step, event):
    """Guard against a place that is counted twice or given away in use."""
    quota = ledger(1)
    quota.start("roster", "a", "w1")
    before, counted = repr(quota), invariants.breach_counts[event]
    with pytest.raises(InvariantBreachError):
        step(quota)
    assert repr(quota) == before
    assert invariants.breach_counts[event] == counted + 1


def test_start_beyond_the_places_is_refused_even_if_the_search_errs(monkeypatch):
    """Guard against a fault in the search for a place that takes effect."""
    monkeypatch.setattr(QuotaLedger, "_has_place", lambda *args: True)
    quota = ledger(0)
    with pytest.raises(InvariantBreachError):
        quota.start("roster", "a", "w1")
    assert not quota.running
