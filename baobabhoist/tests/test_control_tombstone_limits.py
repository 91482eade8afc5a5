"""Test how many ids without a job callers may have marked as cancelled."""

from hypothesis import given
from hypothesis import strategies as st

from baobabhoist.control.tombstone_limits import (
    INSTANCE_BURST,
    INSTANCE_PER_S,
    TEAM_BURST,
    TombstoneLimits,
)


def count_taken(limits, team, tries, now=0.0):
    return sum(limits.take(team, now) for _ in range(tries))


def test_a_team_that_cancels_ids_without_end_leaves_room_for_others():
    """Guard against one team whose made-up ids keep another one's from being cancelled."""
    limits = TombstoneLimits()
    assert count_taken(limits, "alpha", 3 * TEAM_BURST) == TEAM_BURST
    assert limits.take("beta", 0.0)


def test_a_team_may_cancel_again_after_some_time():
    """Guard against a team that is refused for good."""
    limits = TombstoneLimits()
    count_taken(limits, "alpha", TEAM_BURST)
    assert not limits.take("alpha", 0.0)
    assert limits.take("alpha", 1_000.0)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3_000)), max_size=30))
def test_an_instance_stores_no_more_than_its_limit(calls):
    """Guard against rows that pile up, whichever teams cancel ids without a job, and when."""
    limits, now, taken = TombstoneLimits(), 0.0, 0
    for team, pause_ms in calls:
        now += pause_ms
        taken += count_taken(limits, str(team), 700, now)
        assert taken <= INSTANCE_BURST + now / 1000 * INSTANCE_PER_S
