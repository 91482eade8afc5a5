"""Test the state machine of a shard claim."""

import itertools

import attrs
import pytest

from baobabhoist import invariants
from baobabhoist.errors import InvariantViolationError
from baobabhoist.model import Resources, RunningTask
from baobabhoist.ownership import claim as shard_claim
from baobabhoist.ownership import events
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState
from baobabhoist.ownership.tokens import Token

NOW = 1000.0
TIMES = events.ClaimTiming(membership_lag_s=3.0, max_lease_s=10.0)


def new_claim(workers=("w1", "w2")):
    return ShardClaim("rack-1", "b", tuple(workers), times=TIMES)


def fence(claim, worker, now=NOW, previous=None, sent_at=None):
    event = events.WorkerFenced(worker, claim.token, (), (), previous, sent_at)
    return claim.step(event, now)


def owned_claim(workers=("w1", "w2"), epoch=1):
    claim = new_claim(workers)
    claim.step(events.ClaimRequested(0 if epoch else None), NOW)
    if epoch:
        claim.step(events.EpochGranted(epoch), NOW)
    for worker in workers:
        fence(claim, worker)
    assert claim.state is ClaimState.OWNED
    return claim


def test_claim_with_the_table_requests_the_next_epoch():
    """Guard against presenting a token that the table has not granted."""
    claim = new_claim()
    assert events.AdvanceEpoch(4, 5) in claim.step(events.ClaimRequested(4), NOW)
    assert fence(claim, "w1") == []
    actions = claim.step(events.EpochGranted(5), NOW)
    assert [a.worker for a in actions] == ["w1", "w2"]
    assert claim.token == Token(5, 0, "b")


def test_claim_without_the_table_goes_above_the_highest_token_seen():
    """Guard against a second claim that every worker refuses like the first one."""
    claim = new_claim()
    claim.step(events.ClaimRequested(None), NOW)
    claim.step(events.FenceRefused("w1", Token(3, 2, "a")), NOW)
    assert claim.state is ClaimState.LOST
    assert claim.step(events.ClaimRequested(None), claim.retry_at - 0.001) == []
    claim.step(events.ClaimRequested(None), claim.retry_at)
    assert claim.token == Token(3, 3, "b")


def test_lost_race_for_the_epoch_backs_off_within_its_limits():
    """Guard against two claimants that advance the epoch against each other without a pause."""
    claim = new_claim()
    claim.step(events.ClaimRequested(4), NOW)
    claim.step(events.EpochConflict(5), NOW)
    assert TIMES.backoff_min_s <= claim.retry_at - NOW <= TIMES.backoff_max_s
    assert events.AdvanceEpoch(5, 6) in claim.step(events.ClaimRequested(5), claim.retry_at)


def test_partial_ownership_runs_only_work_without_a_request_key():
    """Guard against a request with a key that an earlier owner may still be running."""
    claim = new_claim()
    claim.step(events.ClaimRequested(None), NOW)
    fence(claim, "w1")
    assert claim.state is ClaimState.PARTIAL
    assert claim.can_dispatch_to("w1") and not claim.can_dispatch_to("w1", keyed=True)
    assert not claim.can_dispatch_to("w2")


def claim_with_missing_worker():
    claim = new_claim()
    claim.step(events.WorkerReportedGone("w2"), NOW - 20.0)
    claim.step(events.ClaimRequested(None), NOW)
    fence(claim, "w1")
    return claim


def test_missing_worker_expires_only_by_a_reading_later_than_the_membership_lag():
    """Guard against a stale reading taken before the worker came back to an earlier owner."""
    claim = claim_with_missing_worker()
    claim.step(events.WorkerReportedGone("w2"), NOW + 2.9)
    assert claim.state is ClaimState.PARTIAL
    claim.step(events.WorkerReportedGone("w2"), NOW + 3.0)
    assert claim.state is ClaimState.OWNED


@pytest.mark.parametrize("gone_s", [13.0, 13.1])
def test_missing_worker_expires_after_its_leases_have_ended(gone_s):
    """Guard against counting a worker as expired while one of its leases is still valid."""
    claim = new_claim()
    claim.step(events.ClaimRequested(None), NOW)
    fence(claim, "w1")
    claim.step(events.WorkerReportedGone("w2"), NOW + 5)
    claim.step(events.WorkerReportedGone("w2"), NOW + 5 + gone_s)
    assert (claim.state is ClaimState.OWNED) == (gone_s > 13.0)
    claim = claim_with_missing_worker()
    claim.step(events.WorkerReportedLive("w2"), NOW + 1)
    claim.step(events.WorkerReportedGone("w2"), NOW + 10)
    assert claim.state is ClaimState.PARTIAL


def test_worker_unreachable_for_long_is_used_only_after_the_others_confirm():
    """Guard against a paused owner using a worker that a new owner has counted as expired."""
    claim = owned_claim()
    claim.step(events.WorkerDisconnected("w2"), NOW + 1)
    assert not claim.can_dispatch_to("w2")
    assert claim.step(events.WorkerConnected("w2"), NOW + 30)
    actions = fence(claim, "w2", NOW + 30)
    assert events.PresentToken("w1", claim.token) in actions
    assert not claim.can_dispatch_to("w2")
    claim.step(events.WorkerConfirmed("w1", claim.token, NOW + 29), NOW + 31)
    assert not claim.can_dispatch_to("w2")
    claim.step(events.WorkerConfirmed("w1", claim.token, NOW + 30), NOW + 31)
    assert claim.can_dispatch_to("w2", keyed=True)


def test_worker_unreachable_for_a_short_time_is_used_at_once():
    """Guard against calls to every worker after each lost connection."""
    claim = owned_claim()
    claim.step(events.WorkerDisconnected("w2"), NOW + 1)
    assert fence(claim, "w2", NOW + 2)[1:] == []
    assert claim.can_dispatch_to("w2", keyed=True)


def test_epoch_commit_keeps_the_shard_if_there_was_no_other_owner():
    """Guard against losing the open keys whenever the table becomes available again."""
    claim = owned_claim(epoch=0)
    round_token = claim.token
    owned_since = claim.owned_since
    assert not claim.can_use_full_escrow
    claim.step(events.ClaimRequested(0), NOW + 1)
    claim.step(events.EpochGranted(1), NOW + 1)
    assert claim.state is ClaimState.OWNED and not claim.can_dispatch_to("w1")
    for worker in ("w1", "w2"):
        assert not claim.can_use_full_escrow
        fence(claim, worker, NOW + 1, previous=round_token)
    assert claim.can_use_full_escrow and claim.can_dispatch_to("w1")
    assert claim.owned_since == owned_since


@pytest.mark.parametrize("previous", [None, Token(0, 2, "c"), Token(1, 0, "b")])
def test_epoch_commit_after_another_owner_loses_the_shard(previous):
    """Guard against running queued keys that another owner meanwhile refused as not run.

    A worker that holds the new token already may have named that owner in a reply that was lost.
    """
    claim = owned_claim(epoch=0)
    claim.step(events.EpochGranted(1), NOW + 1)
    fence(claim, "w1", NOW + 1, previous=previous)
    assert claim.state is ClaimState.LOST and claim.retry_at == NOW + 1


def test_not_run_is_certain_only_after_a_later_confirmation():
    """Guard against a paused owner replying not_run to a request that the next owner runs."""
    claim = owned_claim()
    assert not claim.is_confirmed_since(NOW + 1)
    claim.step(events.WorkerConfirmed("w1", claim.token, NOW + 1), NOW + 2)
    assert claim.is_confirmed_since(NOW + 1)


def test_refusal_of_a_lower_token_presents_the_token_again():
    """Guard against losing the shard on a reply to a call under an earlier token."""
    claim = owned_claim()
    actions = claim.step(events.FenceRefused("w1", Token(0, 1, "a")), NOW)
    assert actions == [events.PresentToken("w1", claim.token)]


def test_hand_over_stops_dispatch_and_ends_in_each_case():
    """Guard against a hand-over that blocks the shard or lets both sides dispatch."""
    claim = owned_claim()
    assert events.SendQueue("c", claim.token) in claim.step(events.HandOverRequested("c"), NOW)
    assert not claim.can_dispatch_to("w1")
    claim.step(events.HandOverRefused(), NOW)
    assert claim.can_dispatch_to("w1")
    claim.step(events.HandOverRequested("c"), NOW)
    claim.step(events.Tick(), NOW + TIMES.hand_over_timeout_s)
    assert claim.state is ClaimState.LOST
    claim = owned_claim()
    claim.step(events.HandOverRequested("c"), NOW)
    claim.step(events.HandOverAccepted(), NOW)
    assert claim.state is ClaimState.IDLE


@pytest.mark.parametrize(
    ("previous", "is_direct_successor"),
    [(Token(0, 5, "a"), True), (Token(0, 4, "a"), True), (Token(0, 6, "c"), False), (None, False)],
)
def test_queue_is_accepted_only_from_the_previous_owner(previous, is_direct_successor):
    """Guard against a queue from a paused owner after another owner has run its requests."""
    claim = new_claim()
    claim.step(events.ClaimRequested(0), NOW)
    claim.step(events.EpochGranted(1), NOW)
    fence(claim, "w1", previous=Token(0, 5, "a"))
    assert not claim.directly_succeeds(Token(0, 5, "a"))
    fence(claim, "w2", previous=previous)
    fence(claim, "w2", previous=claim.token)
    assert claim.directly_succeeds(Token(0, 5, "a")) == is_direct_successor


def test_added_worker_is_used_only_after_it_is_fenced_and_the_others_confirm():
    """Guard against an owner with newer records that uses a worker under an old token."""
    claim = owned_claim()
    actions = claim.step(events.WorkersChanged(("w1", "w2", "w3")), NOW + 5)
    assert actions == [events.PresentToken("w3", claim.token)]
    fence(claim, "w3", NOW + 5)
    assert not claim.can_dispatch_to("w3")
    fence(claim, "w1", NOW + 6)
    fence(claim, "w2", NOW + 6)
    assert claim.can_dispatch_to("w3")


def test_inventory_under_an_earlier_token_is_not_applied():
    """Guard against counting tasks of an inventory from before the claim."""
    claim = owned_claim()
    running = (RunningTask("t", "roster", Resources()),)
    assert claim.step(events.WorkerFenced("w1", Token(0, 1, "b"), running), NOW) == []
    accepted = claim.step(events.WorkerFenced("w1", claim.token, running), NOW)
    assert accepted[0] == events.ApplyInventory("w1", running, ())


def test_every_event_in_every_state_keeps_the_invariants():
    """Guard against a handler that violates an invariant in some state."""
    all_events = [
        events.ClaimRequested(None),
        events.ClaimRequested(7),
        events.EpochGranted(9),
        events.EpochUnavailable(),
        events.EpochConflict(9),
        events.FenceRefused("w1", Token(20, 0, "z")),
        events.WorkerConfirmed("w1", Token(1, 0, "b"), NOW),
        events.WorkerConnected("w1"),
        events.WorkerDisconnected("w1"),
        events.WorkerReportedGone("w1"),
        events.WorkerReportedLive("w1"),
        events.WorkersChanged(("w1",)),
        events.Tick(),
        events.HandOverRequested("c"),
        events.HandOverAccepted(),
        events.HandOverRefused(),
        events.ReleaseRequested(),
    ]
    for sequence in itertools.product(all_events, repeat=2):
        claim = owned_claim(epoch=0)
        for event in sequence:
            claim.step(event, NOW + 60)
            fence(claim, "w1", NOW + 60)


INVARIANT_VIOLATIONS = [
    (
        lambda claim: setattr(claim, "state", ClaimState.IDLE),
        invariants.Invariant.CLAIM_FENCED_KNOWN,
    ),
    (
        lambda claim: setattr(claim, "token", Token(0, 0, "b")),
        invariants.Invariant.CLAIM_TOKEN_RISES,
    ),
    (lambda claim: claim.fenced_workers.add("w9"), invariants.Invariant.CLAIM_FENCED_KNOWN),
]


@pytest.mark.parametrize(("violate", "event"), INVARIANT_VIOLATIONS)
def test_step_that_violates_an_invariant_is_rolled_back_and_counted(violate, event, monkeypatch):
    """Guard against a faulty handler that changes the claim."""

    def faulty_handler(claim, _event, _now):
        violate(claim)
        return []

    claim = owned_claim()
    state_before = attrs.asdict(claim)
    count_before = invariants.breach_counts[event]
    monkeypatch.setitem(
        shard_claim.TRANSITION_HANDLERS, (ClaimState.OWNED, events.Tick), faulty_handler
    )
    with pytest.raises(InvariantViolationError, match=str(int(event))):
        claim.step(events.Tick(), NOW)
    assert attrs.asdict(claim) == state_before
    assert invariants.breach_counts[event] == count_before + 1


@pytest.mark.parametrize(
    ("state", "event"),
    [
        (ClaimState.OWNED, invariants.Invariant.CLAIM_OWNED_RESOLVED),
        (ClaimState.HANDING_OVER, invariants.Invariant.CLAIM_TRANSITION),
    ],
)
def test_partial_claim_cannot_enter_a_state_that_is_not_allowed(state, event, monkeypatch):
    """Guard against full ownership while a worker is not resolved."""

    def faulty_handler(claim, _event, _now):
        claim.state = state
        return []

    claim = new_claim()
    claim.step(events.ClaimRequested(None), NOW)
    fence(claim, "w1")
    monkeypatch.setitem(
        shard_claim.TRANSITION_HANDLERS, (ClaimState.PARTIAL, events.Tick), faulty_handler
    )
    with pytest.raises(InvariantViolationError, match=str(int(event))):
        claim.step(events.Tick(), NOW)
    assert claim.state is ClaimState.PARTIAL
