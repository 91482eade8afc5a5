"""Test that teams that used much over hours give way, and that no failure loses the record."""

import asyncio

import pytest

from baobabhoist.cell.past_use import USE_STEPS, PastUse
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.control.progress_writer import USAGE_INTERVAL_MS
from baobabhoist.control.usage_row import USAGE_ROW_KEY, UsageRow, decode_usage, encode_usage
from baobabhoist.observability.events import Event
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.tests.owner_harness import OwnerHarness
from baobabhoist.tests.shares_harness import Submitter, end_runs, make_cell, started_teams
from baobabhoist.tests.test_control_progress_writer import flush, make_writer

HOUR_MS = 3_600_000.0


def test_heavy_user_over_hours_beside_a_light_one():
    """Guard against a team that used far more over hours and is still served as the others."""
    harness = make_cell(heavy=100.0, light=100.0, third=100.0)
    past_use = harness.cell.state.shares.past_use
    past_use.restore({"heavy": 3_000.0, "light": 10.0, "third": 10.0}, 0.0)
    harness.advance(1_500.0)
    jobs = Submitter(harness)
    jobs.submit("heavy", 8)
    harness.now += 1.0
    jobs.submit("light", 8)
    assert started_teams(harness) == ["light"] * 2 + ["heavy"] * 2
    end_runs(harness)
    assert "heavy" in started_teams(harness)


def test_use_decays_with_its_half_life_and_counts_in_bounded_steps():
    """Guard against a team that is held back for ever by what it used long ago."""
    past_use = PastUse(half_life_s=3600.0)
    past_use.restore({"a": 1e9, "b": 20.0}, age_ms=HOUR_MS)
    assert past_use.use_s == pytest.approx({"a": 5e8, "b": 10.0})
    assert past_use.steps({"a": 1.0, "b": 99.0}) == {"a": len(USE_STEPS), "b": 0}
    past_use.advance({}, 0.0)
    past_use.advance({}, 100 * HOUR_MS)
    past_use.forget_teams_except({"a"})
    assert list(past_use.use_s) == ["a"]
    assert past_use.steps({"a": 1.0, "b": 99.0}) == {}


def test_time_in_which_the_owner_was_suspended_adds_no_use():
    """Guard against a team charged for hours in which nobody saw what it used."""
    past_use = PastUse(half_life_s=HOUR_MS)
    past_use.advance({"a": 0.5}, 0.0)
    past_use.advance({"a": 0.5}, HOUR_MS)
    assert past_use.use_s["a"] == pytest.approx(1.0, rel=0.01)


def test_directory_that_is_empty_for_a_while_adds_no_absurd_use():
    """Guard against runs without listed workers that count as use of far more than the cell."""
    harness = make_cell(a=1.0, b=1.0)
    Submitter(harness).submit("a", 4)
    harness.advance(1_500.0)
    for worker_id in harness.workers:
        harness.cell.unlist_worker(worker_id, harness.now)
    harness.advance(2_000.0)
    assert 0.0 < harness.cell.state.shares.past_use.use_s["a"] < 4.0


def test_store_that_is_away_means_an_older_figure():
    """Guard against past use that is lost, or counts as stored, when its write fails."""
    store, writer, _ = make_writer()
    harness = make_cell(a=1.0)
    past_use = harness.cell.state.shares.past_use
    past_use.restore({"a": 7.0}, 0.0)
    past_use.has_changed = True
    store.is_down = True
    writer._next_usage_write_ms = 0.0
    assert not flush(writer, harness.cell)
    assert past_use.has_changed
    store.is_down = False
    assert flush(writer, harness.cell)
    assert USAGE_ROW_KEY not in store.rows
    writer._next_usage_write_ms -= USAGE_INTERVAL_MS
    assert flush(writer, harness.cell)
    assert decode_usage(store.rows[USAGE_ROW_KEY].value).use_s == {"a": 7.0}


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, {}),
        (encode_usage(UsageRow(0, {"a": 3.0})), {"a": 3.0}),
        (b"\xff", {}),
        (b"[]", {}),
        (b'{"schema":2,"at_ms":0,"use_s":{"a":1}}', {}),
        (b'{"schema":1,"at_ms":"now","use_s":{"a":1}}', {}),
        (b'{"schema":1,"at_ms":0,"use_s":{"a":-1}}', {}),
        (b'{"schema":1,"at_ms":0,"use_s":{"a":"much"}}', {}),
    ],
)
def test_new_owner_reads_what_is_readable_of_past_use(value, expected, fields_of):
    """Guard against an owner that ends, or trusts, a row that is absent, old or malformed."""

    async def run():
        harness = OwnerHarness()
        harness.owner._deps.policy = SchedulingPolicy(True, usage_half_life_s=1e9)
        if value is not None:
            harness.store.apply(RowTransaction(puts={USAGE_ROW_KEY: value}))
        await harness.start()
        use_s = dict(harness.owner.cell.state.shares.past_use.use_s)
        harness.owner.stop()
        return use_s

    assert asyncio.run(run()) == pytest.approx(expected, rel=0.01)
    unreadable = [f for f in fields_of(Event.ROW_UNREADABLE) if f["table"] == USAGE_ROW_KEY.table]
    assert len(unreadable) == (value is not None and not expected)
