"""Test which incoming connections are closed, without sockets."""

from baobabhoist.peer.admission import (
    CloseReason,
    Eviction,
    LinkAdmission,
    LinkLimits,
    Standing,
)

LIMITS = LinkLimits(max_pending=2, max_unconfirmed=1, max_bytes=100, max_message_bytes=80)
TOO_MUCH_MEMORY = CloseReason.TOO_MUCH_MEMORY


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


def test_memory_is_taken_from_the_largest_connection_of_the_least_known():
    """Guard against unfinished messages of strangers that take the memory of the process."""
    admission = admission_with("a")
    admission.identify("a", Standing.UNCONFIRMED)
    admission.open("b")
    admission.open("c")
    assert admission.hold("a", 60) is None
    assert admission.hold("b", 30) is None
    assert admission.hold("c", 20) == Eviction("b", TOO_MUCH_MEMORY)
    admission.close("b")
    assert admission.hold("a", 90) == Eviction("c", TOO_MUCH_MEMORY)
    admission.close("c")
    assert admission.hold("a", 101) == Eviction("a", TOO_MUCH_MEMORY)
    admission.close("a")
    assert admission.total_bytes == 0


def test_listed_peer_may_send_large_messages():
    """Guard against a hand-over that fails because the memory is bounded for strangers."""
    admission = admission_with("a")
    admission.hold("a", 50)
    admission.identify("a", Standing.LISTED)
    assert admission.total_bytes == 0
    assert admission.hold("a", 1000) is None


def test_message_before_the_identification_is_bounded():
    """Guard against a single stranger that takes all of the memory that strangers share."""
    admission = admission_with("a")
    assert admission.hold("a", 81) == Eviction("a", TOO_MUCH_MEMORY)


def test_limits_follow_the_machine_and_never_exceed_the_defaults():
    """Guard against peer ports that take the descriptors or the memory of a small machine."""
    assert LinkLimits.for_process(0, 0) == LinkLimits()
    assert LinkLimits.for_process(0, 100_000) == LinkLimits()
    small = LinkLimits.for_process(160, 300)
    assert (small.max_bytes, small.max_pending, small.max_unconfirmed) == (20 << 20, 30, 75)
