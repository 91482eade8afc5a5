"""Test when an instance claims the cell."""

import pytest

from baobabhoist.control.claim import (
    CONFIRMATION_VALID_MS,
    HEARTBEAT_OVERDUE_MS,
    HEARTBEAT_STALE_MS,
    ISOLATION_TIMEOUT_MS,
    REASONS_PREVIOUS_OWNER_STOPPED,
    ClaimReason,
    ClaimRow,
    IsolationDetector,
    OwnerLinkState,
    claim_reason,
    decode_claim,
    encode_claim,
)

CLAIM = ClaimRow("n1", "boot1", "10.0.0.1:7000", 3)
RELEASED = ClaimRow("", "", "", 3)


def test_a_connected_owner_keeps_the_cell_through_a_missed_beat():
    """Guard against a takeover from a live owner because one write was slow."""
    reason = claim_reason(CLAIM, OwnerLinkState.CONNECTED, HEARTBEAT_STALE_MS - 1, "me")
    assert reason is ClaimReason.NONE


def test_a_connected_owner_that_the_store_no_longer_hears_is_replaced():
    """Guard against an owner that lives and can order nothing."""
    reason = claim_reason(CLAIM, OwnerLinkState.CONNECTED, HEARTBEAT_STALE_MS + 1, "me")
    assert reason is ClaimReason.BEAT_STALE


def test_a_refused_connection_alone_does_not_show_that_the_owner_ended():
    """Guard against two owners when a cut zone resets connections (wm trouble-2, TWICE)."""
    assert claim_reason(CLAIM, OwnerLinkState.REFUSED, 100.0, "me") is ClaimReason.NONE
    late = claim_reason(CLAIM, OwnerLinkState.REFUSED, HEARTBEAT_OVERDUE_MS + 1, "me")
    assert late not in REASONS_PREVIOUS_OWNER_STOPPED
    assert late is ClaimReason.OWNER_REFUSES


def test_another_process_at_the_address_shows_that_the_owner_ended():
    """Guard against a takeover that waits for a process that is certain to be gone."""
    reason = claim_reason(CLAIM, OwnerLinkState.ENDED, 0.0, "me")
    assert reason in REASONS_PREVIOUS_OWNER_STOPPED


def test_a_silent_owner_is_replaced_once_its_beat_is_stale():
    """Guard against a cell without an owner after a loss of power."""
    assert (
        claim_reason(CLAIM, OwnerLinkState.SILENT, HEARTBEAT_OVERDUE_MS - 1, "me")
        is ClaimReason.NONE
    )
    reason = claim_reason(CLAIM, OwnerLinkState.SILENT, HEARTBEAT_OVERDUE_MS + 1, "me")
    assert reason is ClaimReason.OWNER_SILENT
    assert reason not in REASONS_PREVIOUS_OWNER_STOPPED
    assert HEARTBEAT_STALE_MS < CONFIRMATION_VALID_MS


def test_owners_do_not_replace_each_other_before_they_have_begun():
    """Guard against takeovers in a row among slow machines (wm grown trouble-2, small)."""
    age = HEARTBEAT_OVERDUE_MS + 1
    assert claim_reason(CLAIM, OwnerLinkState.SILENT, age, "me", 1) is ClaimReason.NONE
    assert claim_reason(CLAIM, OwnerLinkState.SILENT, 2 * age, "me", 1) is ClaimReason.OWNER_SILENT
    assert claim_reason(CLAIM, OwnerLinkState.SILENT, 7 * age, "me", 9) is ClaimReason.NONE
    assert claim_reason(CLAIM, OwnerLinkState.SILENT, 8 * age, "me", 9) is ClaimReason.OWNER_SILENT


def test_an_owner_that_no_instance_reaches_gives_the_cell_up():
    """Guard against an owner that is cut off from all others for long (grown scale-2)."""
    detector = IsolationDetector()
    assert not detector.is_isolated(8, 0.0)
    assert not detector.is_isolated(0, 1000.0)
    assert detector.is_isolated(1, ISOLATION_TIMEOUT_MS + 1.0)
    assert not detector.is_isolated(4, ISOLATION_TIMEOUT_MS + 100.0)


def test_a_small_site_needs_no_company():
    """Guard against a single instance that gives its cell up for want of others."""
    detector = IsolationDetector()
    assert not detector.is_isolated(0, 0.0)
    assert not detector.is_isolated(0, 10 * ISOLATION_TIMEOUT_MS)


def test_a_released_or_missing_claim_is_taken():
    """Guard against a planned stop that leaves the cell without an owner."""
    assert claim_reason(RELEASED, OwnerLinkState.UNKNOWN, 0.0, "me") is ClaimReason.RELEASED
    assert claim_reason(None, OwnerLinkState.UNKNOWN, 0.0, "me") is ClaimReason.UNCLAIMED


def test_a_cell_that_nobody_took_over_comes_back():
    """Guard against a cell that its giver never claims again after a failed hand-over."""
    assert claim_reason(CLAIM, OwnerLinkState.UNKNOWN, 0.0, "boot1") is ClaimReason.NONE
    reason = claim_reason(CLAIM, OwnerLinkState.UNKNOWN, HEARTBEAT_STALE_MS + 1, "boot1")
    assert reason is ClaimReason.RELEASED


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"node": 1}', b"\xff"])
def test_a_foreign_claim_row_is_an_error_and_nothing_else(value):
    """Guard against a row of another writer that stops the watch of the claim."""
    with pytest.raises(ValueError, match="not a claim"):
        decode_claim(value)
    assert decode_claim(encode_claim(CLAIM)) == CLAIM
