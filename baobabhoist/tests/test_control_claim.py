"""Test the rules by which an instance claims the cell."""

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
    decode_claim,
    encode_claim,
    find_claim_reason,
)

CLAIM = ClaimRow("n1", "boot1", "10.0.0.1:7000", 3)
RELEASED = ClaimRow("", "", "", 3)


def test_connected_owner_keeps_cell_after_a_missed_heartbeat():
    """Guard against a takeover from a live owner whose heartbeat write was slow."""
    reason = find_claim_reason(CLAIM, OwnerLinkState.CONNECTED, HEARTBEAT_STALE_MS - 1, "me")
    assert reason is ClaimReason.NONE


def test_connected_owner_with_stale_heartbeat_is_replaced():
    """Guard against an owner that is alive but, cut off from the store, may send no commands."""
    reason = find_claim_reason(CLAIM, OwnerLinkState.CONNECTED, HEARTBEAT_STALE_MS + 1, "me")
    assert reason is ClaimReason.BEAT_STALE


def test_refused_connection_does_not_prove_that_the_owner_ended():
    """Guard against two owners when a partitioned zone resets connections.

    Found in run "wm trouble-2", which reported TWICE.
    """
    assert find_claim_reason(CLAIM, OwnerLinkState.REFUSED, 100.0, "me") is ClaimReason.NONE
    late = find_claim_reason(CLAIM, OwnerLinkState.REFUSED, HEARTBEAT_OVERDUE_MS + 1, "me")
    assert late not in REASONS_PREVIOUS_OWNER_STOPPED
    assert late is ClaimReason.OWNER_REFUSES


def test_another_process_at_the_address_proves_that_the_owner_ended():
    """Guard against a takeover that waits for a process that has certainly ended."""
    reason = find_claim_reason(CLAIM, OwnerLinkState.ENDED, 0.0, "me")
    assert reason in REASONS_PREVIOUS_OWNER_STOPPED


def test_silent_owner_is_replaced_once_its_heartbeat_is_overdue():
    """Guard against a cell that stays without an owner after a power failure."""
    assert (
        find_claim_reason(CLAIM, OwnerLinkState.SILENT, HEARTBEAT_OVERDUE_MS - 1, "me")
        is ClaimReason.NONE
    )
    reason = find_claim_reason(CLAIM, OwnerLinkState.SILENT, HEARTBEAT_OVERDUE_MS + 1, "me")
    assert reason is ClaimReason.OWNER_SILENT
    assert reason not in REASONS_PREVIOUS_OWNER_STOPPED
    assert HEARTBEAT_STALE_MS < CONFIRMATION_VALID_MS


def test_repeated_takeovers_back_off():
    """Guard against slow machines that replace each other before any has loaded the cell.

    Found in run "wm grown trouble-2" on small machines.
    """
    age_ms = HEARTBEAT_OVERDUE_MS + 1
    assert find_claim_reason(CLAIM, OwnerLinkState.SILENT, age_ms, "me", 1) is ClaimReason.NONE
    assert (
        find_claim_reason(CLAIM, OwnerLinkState.SILENT, 2 * age_ms, "me", 1)
        is ClaimReason.OWNER_SILENT
    )
    assert find_claim_reason(CLAIM, OwnerLinkState.SILENT, 7 * age_ms, "me", 9) is ClaimReason.NONE
    assert (
        find_claim_reason(CLAIM, OwnerLinkState.SILENT, 8 * age_ms, "me", 9)
        is ClaimReason.OWNER_SILENT
    )


def test_isolation_is_detected_after_the_timeout():
    """Guard against an owner that keeps the cell while it is cut off from all other instances.

    Found in run "grown scale-2".
    """
    detector = IsolationDetector()
    assert not detector.is_isolated(8, 0.0)
    assert not detector.is_isolated(0, 1000.0)
    assert detector.is_isolated(1, ISOLATION_TIMEOUT_MS + 1.0)
    assert not detector.is_isolated(4, ISOLATION_TIMEOUT_MS + 100.0)


def test_owner_that_never_had_many_links_is_never_isolated():
    """Guard against a single instance that releases its cell because it has no links."""
    detector = IsolationDetector()
    assert not detector.is_isolated(0, 0.0)
    assert not detector.is_isolated(0, 10 * ISOLATION_TIMEOUT_MS)


def test_released_or_missing_claim_is_taken():
    """Guard against a planned shutdown that leaves the cell without an owner."""
    assert find_claim_reason(RELEASED, OwnerLinkState.UNKNOWN, 0.0, "me") is ClaimReason.RELEASED
    assert find_claim_reason(None, OwnerLinkState.UNKNOWN, 0.0, "me") is ClaimReason.UNCLAIMED


def test_own_stale_claim_is_reclaimed():
    """Guard against an instance that never reclaims a cell which nobody took over from it."""
    assert find_claim_reason(CLAIM, OwnerLinkState.UNKNOWN, 0.0, "boot1") is ClaimReason.NONE
    reason = find_claim_reason(CLAIM, OwnerLinkState.UNKNOWN, HEARTBEAT_STALE_MS + 1, "boot1")
    assert reason is ClaimReason.RELEASED


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"node": 1}', b"\xff"])
def test_malformed_claim_row_raises_value_error(value):
    """Guard against a malformed row that stops the election."""
    with pytest.raises(ValueError, match="malformed claim row"):
        decode_claim(value)
    assert decode_claim(encode_claim(CLAIM)) == CLAIM


def test_claim_row_of_an_older_version_is_read():
    """Guard against instances that cannot follow the claim while they are upgraded."""
    row = b'{"node": "n1", "boot": "boot1", "address": "10.0.0.1:7000", "generation": 3}'
    assert decode_claim(row) == CLAIM
    unknown_field = row.replace(b"}", b', "later": 1}')
    assert decode_claim(unknown_field) == CLAIM
