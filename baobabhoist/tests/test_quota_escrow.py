"""Test the escrow row and its transactions."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from baobabhoist.errors import InvariantViolationError, PlatformError, Refusal
from baobabhoist.quota import escrow
from baobabhoist.quota.escrow import EscrowRow, PlaceMove

SHARDS = ["a", "b", "c"]
MOVES = st.tuples(st.sampled_from(SHARDS), st.integers(0, 2), st.integers(-4, 4))


@settings(derandomize=True, deadline=None, database=None)
@given(st.integers(0, 12), st.lists(st.one_of(MOVES, st.integers(-1, 12)), max_size=12))
def test_no_order_of_moves_and_limits_exceeds_the_limit(limit, steps):
    """Guard against a pool and shards that together hold more than the limit."""
    row = escrow.initial_row(limit, SHARDS)
    target = limit
    for step in steps:
        if isinstance(step, int):
            changed = escrow.set_limit("t", row, step)
            target = target if isinstance(changed, Refusal) else step
        else:
            changed = escrow.apply_moves("t", row, [PlaceMove(*step)])
        row = row if isinstance(changed, Refusal) else changed
        escrow.check_row("t", row)
        assert sum(escrow.ceilings(row).values()) <= target
        assert target == (row.limit if row.pending_limit is None else row.pending_limit)
        assert escrow.decode_row("t", escrow.encode_row(row)) == row


def test_lower_limit_is_pending_until_shards_return_places():
    """Guard against a lowered limit that is never reached or that revokes places in use."""
    row = escrow.set_limit("t", EscrowRow(10, 1, {"a": 6, "b": 3}), 4)
    assert (row.limit, row.pool, row.pending_limit) == (9, 0, 4)
    assert escrow.ceilings(row) == {"a": 3, "b": 1}
    assert isinstance(escrow.apply_moves("t", row, [PlaceMove("a", 1, 1)]), Refusal)
    row = escrow.apply_moves("t", row, [PlaceMove("a", 1, -3), PlaceMove("b", 1, -3)])
    assert (row.limit, row.pool, row.pending_limit) == (4, 1, None)


def test_move_under_an_earlier_epoch_is_refused():
    """Guard against a fenced owner that moves the places of its successor."""
    row = escrow.confirm_epoch(escrow.initial_row(4, SHARDS), "a", 3)
    assert isinstance(escrow.apply_moves("t", row, [PlaceMove("a", 2, -1)]), Refusal)
    assert escrow.apply_moves("t", row, [PlaceMove("a", 3, -1)]).pool == 1


def test_removed_shard_returns_its_places():
    """Guard against places that are lost when a shard is removed."""
    row = escrow.remove_shard("t", escrow.initial_row(5, SHARDS), "a")
    assert row == EscrowRow(5, 2, {"b": 2, "c": 1})


def test_transaction_checks_the_row_and_the_epochs_of_its_shards():
    """Guard against a transfer that commits after a shard has a new owner."""
    txn = escrow.build_transaction({"t": (4, escrow.initial_row(3, SHARDS))}, {"a": 7}, "id")
    assert txn.checks == {"escrow/t": 4, "shard/a": 7}
    assert txn.writes["escrow/t"]["limit"] == 3
    with pytest.raises(InvariantViolationError):
        escrow.build_transaction({"t": (4, EscrowRow(3, 1, {"a": 3}))}, {}, "id")


@pytest.mark.parametrize(
    "value", [None, {}, {**escrow.encode_row(escrow.initial_row(1, [])), "pool": "x"}]
)
def test_malformed_row_is_reported(value):
    """Guard against a malformed row that is read as an empty one."""
    with pytest.raises(PlatformError, match="escrow/t"):
        escrow.decode_row("t", value)
