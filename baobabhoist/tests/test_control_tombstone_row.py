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


@given(TOMBSTONES, TOMBSTONES, st.text(max_size=8))
def test_merging_forbids_what_either_forbids(first, second, team):
    """Guard against a team whose cancelling is undone when another team cancels the same id."""
    merged = first.merge(second)
    assert merged.forbids(team) is (first.forbids(team) or second.forbids(team))
    assert merged.expires_ms == max(first.expires_ms, second.expires_ms)


@pytest.mark.parametrize(("team", "is_forbidden"), [("alpha", True), ("beta", False), ("", True)])
def test_a_tombstone_is_for_its_team_and_for_jobs_without_one(team, is_forbidden):
    """Guard against a key that refuses the jobs of other teams by cancelling their ids."""
    assert Tombstone(("alpha",), 0).forbids(team) is is_forbidden


def test_a_caller_without_a_key_forbids_no_job_of_a_team():
    """Guard against anybody who refuses a team's job by cancelling its id on a public queue."""
    assert not Tombstone(("",), 0).forbids("alpha")


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
