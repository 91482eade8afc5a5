"""Test which jobs count as beyond the entitlement of their team."""

import math

import attrs
import pytest

from baobabhoist.observability.events import Event
from baobabhoist.tests.cell_harness import make_job
from baobabhoist.tests.shares_harness import (
    Submitter,
    make_cell,
    marked_jobs,
)


def test_new_owner_marks_the_same_jobs_beyond_the_entitlement():
    """Guard against a takeover that changes whose work counts as entitled."""
    harness = make_cell(hot=2.0)
    jobs = Submitter(harness)
    for _ in range(5):
        harness.now += 500.0
        jobs.submit("hot", 3)
    before = marked_jobs(harness)
    accepted = [job.accepted for job in harness.cell.state.jobs.values()]
    harness.take_over(reversed(accepted))
    assert marked_jobs(harness) == before
    # A burst of 4, and 4 more for the 2 s after the first job.
    assert len(before) == 15 - 8


def test_configuration_that_comes_while_a_new_owner_loads_marks_no_more_jobs():
    """Guard against entitled jobs that count as excess because newer ones were loaded first."""
    harness = make_cell(steady=2.0)
    jobs = Submitter(harness)
    for _ in range(12):
        harness.now += 500.0
        jobs.submit("steady")
    accepted = [job.accepted for job in harness.cell.state.jobs.values()]
    harness.take_over(accepted[6:])
    harness.cell.set_rules(harness.cell_rules)
    for job in accepted[:6]:
        harness.submit(job)
    assert not marked_jobs(harness)


def test_job_accepted_ahead_of_the_clock_takes_no_entitlement_from_later_ones():
    """Guard against a team whose jobs all count as excess after one with an absurd time."""
    harness = make_cell(steady=2.0)
    ahead_ms = harness.now + 3_600_000.0
    absurd = attrs.evolve(make_job("absurd", team="steady"), accepted_ms=int(ahead_ms))
    harness.cell.add_job(absurd, ahead_ms, harness.now, harness.now)
    jobs = Submitter(harness)
    for _ in range(12):
        harness.now += 500.0
        jobs.submit("steady")
        assert not marked_jobs(harness)


@pytest.mark.parametrize("weight", [-1.0, math.nan, math.inf, 1e9])
def test_absurd_weight_is_logged_and_limits_nothing(weight, fields_of):
    """Guard against a configured weight that makes the owner fail or shuts a team out."""
    harness = make_cell(a=weight, b=1.0)
    Submitter(harness).submit("a", 100)
    assert not marked_jobs(harness)
    assert [fields["team"] for fields in fields_of(Event.TEAM_WEIGHT_INVALID)] == ["a"]


def test_team_with_excess_is_logged_once_when_it_begins_and_ends(fields_of):
    """Guard against a line for each job of a surge."""
    harness = make_cell(hot=1.0)
    jobs = Submitter(harness)
    for _ in range(3):
        jobs.submit("hot", 20)
        harness.advance(1_500.0)
    harness.advance(8_000.0)
    assert len(fields_of(Event.TEAM_EXCESS_BEGAN)) == 1
    assert len(fields_of(Event.TEAM_EXCESS_ENDED)) == 1
