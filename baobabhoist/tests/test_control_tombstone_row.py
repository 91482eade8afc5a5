"""Test the row that marks an id as cancelled, also when a fault has written it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhoist.control.tombstone_row import Tombstone, decode_tombstone, encode_tombstone

TEAMS = st.lists(st.text(max_size=8), max_size=4, unique=True).map(tuple)
TOMBSTONES = st.builds(Tombstone, TEAMS, st.integers(0, 1 << 53))


@given(TOMBSTONES)
def test_a_row_is_read_as_it_was_written(tombstone):
    """Guard against a cancelling that the next call for its id can't read."""
    assert decode_tombstone(encode_tombstone(tombstone)) == tombstone


@given(TOMBSTONES, TOMBSTONES, st.text(max_size=8), st.booleans())
def test_merging_forbids_what_either_forbids(first, second, team, is_public):
    """Guard against a team whose cancelling is undone when another team cancels the same id."""
    merged = first.merge(second)
    either = [each.forbids(team, is_public=is_public) for each in (first, second)]
    assert merged.forbids(team, is_public=is_public) is any(either)
    assert merged.expires_ms == max(first.expires_ms, second.expires_ms)


@pytest.mark.parametrize(
    ("cancelled_by", "submitted_by", "on_team_queue", "on_public_queue"),
    [
        ("alpha", "alpha", True, True),
        ("alpha", "beta", False, False),
        ("alpha", "", None, True),
        ("", "alpha", False, True),
        ("", "", None, True),
    ],
)
def test_a_tombstone_is_for_its_team_alone(
    cancelled_by, submitted_by, on_team_queue, on_public_queue
):
    """Guard against a caller who refuses the jobs of other teams by cancelling their ids."""
    tombstone = Tombstone((cancelled_by,), 0)
    assert tombstone.forbids(submitted_by, is_public=True) is on_public_queue
    if on_team_queue is not None:
        assert tombstone.forbids(submitted_by, is_public=False) is on_team_queue


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"schema":2,"teams":[],"expires_ms":1}',
        b'{"schema":1,"teams":"alpha","expires_ms":1}',
        b'{"schema":1,"teams":[7],"expires_ms":1}',
        b'{"schema":1,"teams":[],"expires_ms":true}',
        b'{"schema":1,"teams":[]}',
    ],
)
def test_an_odd_row_is_not_read(value):
    """Guard against a team or a time that is taken from a row which means something else."""
    with pytest.raises(ValueError):
        decode_tombstone(value)
