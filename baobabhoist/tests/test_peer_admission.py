"""Test which incoming connections are closed, without sockets."""

from baobabhoist.peer.admission import (
    CloseReason,
    Eviction,
    LinkAdmission,
    LinkLimits,
    Standing,
)

LIMITS = LinkLimits(max_pending=2, max_unconfirmed=1)


def admission_with(*conns):
    admission = LinkAdmission(LIMITS)
    for conn in conns:
        assert admission.open(conn) is None
    return admission


def test_oldest_pending_connection_makes_room_and_identified_ones_stay():
    """Guard against an instance that loses its link to a crowd of strangers."""
    admission = admission_with("peer", "a")
    assert admission.identify("peer", Standing.LISTED) is None
    assert admission.open("b") is None
    assert admission.open("c") == Eviction("a", CloseReason.TOO_MANY_PENDING)
    admission.close("a")
    assert admission.open("d") == Eviction("b", CloseReason.TOO_MANY_PENDING)


def test_listed_peers_do_not_count_as_unknown_instances():
    """Guard against a listed peer that finds the places taken by made-up names."""
    admission = admission_with("a", "b")
    assert admission.identify("a", Standing.UNCONFIRMED) is None
    refused = Eviction("b", CloseReason.TOO_MANY_UNCONFIRMED)
    assert admission.identify("b", Standing.UNCONFIRMED) == refused
    assert admission.identify("b", Standing.LISTED) is None
    assert admission.identify("a", Standing.LISTED) is None
    assert admission.open("c") is None
    assert admission.identify("c", Standing.UNCONFIRMED) is None
