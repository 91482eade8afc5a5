"""Test the state table of the claim."""

import itertools

import attrs
import pytest

from baobabhoist import invariants
from baobabhoist.errors import InvariantViolationError
from baobabhoist.model import Resources, RunningTask
from baobabhoist.ownership import claim as oc
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ShardState
from baobabhoist.ownership.tokens import Token

NOW = 1000.0
TIMES = oc.ClaimTimes(membership_lag_s=3.0, longest_lease_s=10.0)


def new_claim(workers=("w1", "w2")):
    return ShardClaim("rack-1", "b", tuple(workers), times=TIMES)


def fence(claim, worker, now=NOW, previous=None, sent_at=None):
    event = oc.WorkerFenced(worker, claim.token, (), (), previous, sent_at)
    return claim.step(event, now)


def owned(workers=("w1", "w2"), epoch=1):
    claim = new_claim(workers)
    claim.step(oc.ClaimWanted(0 if epoch else None), NOW)
    if epoch:
        claim.step(oc.EpochGranted(epoch), NOW)
    for worker in workers:
        fence(claim, worker)
    assert claim.state is ShardState.OWNED
    return claim


def test_claim_with_the_table_asks_for_the_next_epoch():
    """Guard against presenting a token that the table has not granted."""
    claim = new_claim()
    assert oc.AdvanceEpoch(4, 5) in claim.step(oc.ClaimWanted(4), NOW)
    assert fence(claim, "w1") == []
    actions = claim.step(oc.EpochGranted(5), NOW)
    assert [a.worker for a in actions] == ["w1", "w2"]
    assert claim.token == Token(5, 0, "b")


def test_claim_without_the_table_goes_above_the_highest_token_seen():
    """Guard against a claim that every worker refuses again."""
    claim = new_claim()
    claim.step(oc.ClaimWanted(None), NOW)
    claim.step(oc.FenceRefused("w1", Token(3, 2, "a")), NOW)
    assert claim.state is ShardState.LOST
    assert claim.step(oc.ClaimWanted(None), claim.retry_at - 0.001) == []
    claim.step(oc.ClaimWanted(None), claim.retry_at)
    assert claim.token == Token(3, 3, "b")


def test_lost_race_for_the_epoch_backs_off_within_the_bounds():
    """Guard against two claimants that advance the epoch against each other at once."""
    claim = new_claim()
    claim.step(oc.ClaimWanted(4), NOW)
    claim.step(oc.EpochConflict(5), NOW)
    assert TIMES.backoff_min_s <= claim.retry_at - NOW <= TIMES.backoff_max_s
    assert oc.AdvanceEpoch(5, 6) in claim.step(oc.ClaimWanted(5), claim.retry_at)


def test_partial_ownership_runs_only_work_without_a_callers_key():
    """Guard against a caller's key running while an earlier owner may still run it."""
    claim = new_claim()
    claim.step(oc.ClaimWanted(None), NOW)
    fence(claim, "w1")
    assert claim.state is ShardState.PARTIAL
    assert claim.may_dispatch("w1") and not claim.may_dispatch("w1", keyed=True)
    assert not claim.may_dispatch("w2")


def missing_worker_claim():
    claim = new_claim()
    claim.step(oc.WorkerReportedGone("w2"), NOW - 20.0)
    claim.step(oc.ClaimWanted(None), NOW)
    fence(claim, "w1")
    return claim


def test_missing_worker_is_excused_only_by_a_reading_later_than_the_lag():
    """Guard against a stale reading that hides the worker's return to an earlier owner."""
    claim = missing_worker_claim()
    claim.step(oc.WorkerReportedGone("w2"), NOW + 2.9)
    assert claim.state is ShardState.PARTIAL
    claim.step(oc.WorkerReportedGone("w2"), NOW + 3.0)
    assert claim.state is ShardState.OWNED


@pytest.mark.parametrize("gone_s", [13.0, 13.1])
def test_missing_worker_is_excused_after_its_leases_have_ended(gone_s):
    """Guard against excusing a worker on which a lease may still run."""
    claim = new_claim()
    claim.step(oc.ClaimWanted(None), NOW)
    fence(claim, "w1")
    claim.step(oc.WorkerReportedGone("w2"), NOW + 5)
    claim.step(oc.WorkerReportedGone("w2"), NOW + 5 + gone_s)
    assert (claim.state is ShardState.OWNED) == (gone_s > 13.0)
    claim = missing_worker_claim()
    claim.step(oc.WorkerReportedLive("w2"), NOW + 1)
    claim.step(oc.WorkerReportedGone("w2"), NOW + 10)
    assert claim.state is ShardState.PARTIAL


def test_worker_back_from_a_long_silence_waits_for_the_others():
    """Guard against a paused owner using a worker that the new owner has excused."""
    claim = owned()
    claim.step(oc.WorkerDisconnected("w2"), NOW + 1)
    assert not claim.may_dispatch("w2")
    assert claim.step(oc.WorkerConnected("w2"), NOW + 30)
    actions = fence(claim, "w2", NOW + 30)
    assert oc.PresentToken("w1", claim.token) in actions
    assert not claim.may_dispatch("w2")
    claim.step(oc.WorkerConfirmed("w1", claim.token, NOW + 29), NOW + 31)
    assert not claim.may_dispatch("w2")
    claim.step(oc.WorkerConfirmed("w1", claim.token, NOW + 30), NOW + 31)
    assert claim.may_dispatch("w2", keyed=True)


def test_worker_back_from_a_short_silence_is_used_at_once():
    """Guard against a check of every worker after each lost connection."""
    claim = owned()
    claim.step(oc.WorkerDisconnected("w2"), NOW + 1)
    assert fence(claim, "w2", NOW + 2)[1:] == []
    assert claim.may_dispatch("w2", keyed=True)


def test_confirmation_by_the_table_keeps_the_shard_when_nobody_came_between():
    """Guard against losing the open keys whenever the table returns."""
    claim = owned(epoch=0)
    round_token = claim.token
    since = claim.owned_since
    assert not claim.escrow_usable
    claim.step(oc.ClaimWanted(0), NOW + 1)
    claim.step(oc.EpochGranted(1), NOW + 1)
    assert claim.state is ShardState.OWNED and not claim.may_dispatch("w1")
    for worker in ("w1", "w2"):
        assert not claim.escrow_usable
        fence(claim, worker, NOW + 1, previous=round_token)
    assert claim.escrow_usable and claim.may_dispatch("w1")
    assert claim.owned_since == since


@pytest.mark.parametrize("previous", [None, Token(0, 2, "c"), Token(1, 0, "b")])
def test_confirmation_after_another_owner_gives_the_shard_up(previous):
    """Guard against running queued keys that the owner in between refused as not run.

    A worker that holds the new token already may have said so in a reply that was lost.
    """
    claim = owned(epoch=0)
    claim.step(oc.EpochGranted(1), NOW + 1)
    fence(claim, "w1", NOW + 1, previous=previous)
    assert claim.state is ShardState.LOST and claim.retry_at == NOW + 1


def test_not_run_is_certain_only_after_a_later_confirmation():
    """Guard against a not_run by a paused owner for a key that its successor runs."""
    claim = owned()
    assert not claim.confirmed_after(NOW + 1)
    claim.step(oc.WorkerConfirmed("w1", claim.token, NOW + 1), NOW + 2)
    assert claim.confirmed_after(NOW + 1)


def test_refusal_of_a_lower_token_presents_the_token_again():
    """Guard against losing the shard to a reply from before the token was raised."""
    claim = owned()
    actions = claim.step(oc.FenceRefused("w1", Token(0, 1, "a")), NOW)
    assert actions == [oc.PresentToken("w1", claim.token)]


def test_hand_over_stops_dispatch_and_ends_one_way_or_the_other():
    """Guard against a hand-over that blocks the shard or lets both sides dispatch."""
    claim = owned()
    assert oc.SendQueue("c", claim.token) in claim.step(oc.HandOverWanted("c"), NOW)
    assert not claim.may_dispatch("w1")
    claim.step(oc.HandOverRefused(), NOW)
    assert claim.may_dispatch("w1")
    claim.step(oc.HandOverWanted("c"), NOW)
    claim.step(oc.Tick(), NOW + TIMES.hand_over_s)
    assert claim.state is ShardState.LOST
    claim = owned()
    claim.step(oc.HandOverWanted("c"), NOW)
    claim.step(oc.HandOverTaken(), NOW)
    assert claim.state is ShardState.IDLE


@pytest.mark.parametrize(
    ("previous", "follows"),
    [(Token(0, 5, "a"), True), (Token(0, 4, "a"), True), (Token(0, 6, "c"), False), (None, False)],
)
def test_queue_is_taken_only_from_the_owner_directly_before(previous, follows):
    """Guard against a queue from a paused owner whose keys an owner in between has run."""
    claim = new_claim()
    claim.step(oc.ClaimWanted(0), NOW)
    claim.step(oc.EpochGranted(1), NOW)
    fence(claim, "w1", previous=Token(0, 5, "a"))
    assert not claim.follows(Token(0, 5, "a"))
    fence(claim, "w2", previous=previous)
    fence(claim, "w2", previous=claim.token)
    assert claim.follows(Token(0, 5, "a")) == follows


def test_added_worker_is_used_only_after_it_is_fenced_and_the_others_confirm():
    """Guard against an owner with newer records that uses a worker under an old token."""
    claim = owned()
    actions = claim.step(oc.WorkersChanged(("w1", "w2", "w3")), NOW + 5)
    assert actions == [oc.PresentToken("w3", claim.token)]
    fence(claim, "w3", NOW + 5)
    assert not claim.may_dispatch("w3")
    fence(claim, "w1", NOW + 6)
    fence(claim, "w2", NOW + 6)
    assert claim.may_dispatch("w3")


def test_report_of_an_earlier_token_is_not_taken():
    """Guard against counting an inventory from before the claim."""
    claim = owned()
    running = (RunningTask("t", "roster", Resources()),)
    assert claim.step(oc.WorkerFenced("w1", Token(0, 1, "b"), running), NOW) == []
    accepted = claim.step(oc.WorkerFenced("w1", claim.token, running), NOW)
    assert accepted[0] == oc.TakeInventory("w1", running, ())


def test_every_event_in_every_state_keeps_the_invariants():
    """Guard against a pair of state and event that the table handles wrongly."""
    events = [
        oc.ClaimWanted(None),
        oc.ClaimWanted(7),
        oc.EpochGranted(9),
        oc.EpochUnavailable(),
        oc.EpochConflict(9),
        oc.FenceRefused("w1", Token(20, 0, "z")),
        oc.WorkerConfirmed("w1", Token(1, 0, "b"), NOW),
        oc.WorkerConnected("w1"),
        oc.WorkerDisconnected("w1"),
        oc.WorkerReportedGone("w1"),
        oc.WorkerReportedLive("w1"),
        oc.WorkersChanged(("w1",)),
        oc.Tick(),
        oc.HandOverWanted("c"),
        oc.HandOverTaken(),
        oc.HandOverRefused(),
        oc.ReleaseWanted(),
    ]
    for chosen in itertools.product(events, repeat=2):
        claim = owned(epoch=0)
        for event in chosen:
            claim.step(event, NOW + 60)
            fence(claim, "w1", NOW + 60)


BREAKS = [
    (
        lambda claim: setattr(claim, "state", ShardState.IDLE),
        invariants.Invariant.CLAIM_FENCED_KNOWN,
    ),
    (
        lambda claim: setattr(claim, "token", Token(0, 0, "b")),
        invariants.Invariant.CLAIM_TOKEN_RISES,
    ),
    (lambda claim: claim.fenced.add("w9"), invariants.Invariant.CLAIM_FENCED_KNOWN),
]


@pytest.mark.parametrize(("damage", "event"), BREAKS)
def test_step_that_breaks_an_invariant_is_refused_and_counted(damage, event, monkeypatch):
    """Guard against a fault of a handler that takes effect."""

    def faulty(claim, _event, _now):
        damage(claim)
        return []

    claim = owned()
    before = attrs.asdict(claim)
    counted = invariants.breaches[event]
    monkeypatch.setitem(oc.TABLE, (ShardState.OWNED, oc.Tick), faulty)
    with pytest.raises(InvariantViolationError, match=str(int(event))):
        claim.step(oc.Tick(), NOW)
    assert attrs.asdict(claim) == before
    assert invariants.breaches[event] == counted + 1


@pytest.mark.parametrize(
    ("state", "event"),
    [
        (ShardState.OWNED, invariants.Invariant.CLAIM_OWNED_RESOLVED),
        (ShardState.HANDING_OVER, invariants.Invariant.CLAIM_TRANSITION),
    ],
)
def test_partial_claim_cannot_jump_to_a_state_that_it_has_not_earned(state, event, monkeypatch):
    """Guard against full ownership while a worker is unresolved."""

    def faulty(claim, _event, _now):
        claim.state = state
        return []

    claim = new_claim()
    claim.step(oc.ClaimWanted(None), NOW)
    fence(claim, "w1")
    monkeypatch.setitem(oc.TABLE, (ShardState.PARTIAL, oc.Tick), faulty)
    with pytest.raises(InvariantViolationError, match=str(int(event))):
        claim.step(oc.Tick(), NOW)
    assert claim.state is ShardState.PARTIAL
