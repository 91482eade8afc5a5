"""Test what a preview says of a job under load, and that it changes nothing."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.cell.model import AdviceTerms, Resources, Step
from baobabhoist.cell.placement_preview import PreviewTime, preview_placement
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.control.messages import CODEC, PlacementReply
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules

WORKER_CORES = 4
TASK_MS = 3_000
WEIGHED = SchedulingPolicy(weighs_shares=True, usage_half_life_s=60.0)


def preview(harness, *steps, may_start=True):
    spec = make_job("", *(steps or (Step(1, SMALL, TASK_MS),))).spec
    queue, time = harness.cell_rules.queues["q"], PreviewTime(harness.now, harness.now)
    return preview_placement(harness.cell.placer, queue, "team", spec, time, may_start)


def run_small_tasks(harness, count):
    harness.submit(make_job("1" * 16, Step(count, SMALL, TASK_MS)))
    harness.settle()


def reasons(result):
    return {entry.reason: entry.workers for entry in result.set_aside}


def test_in_an_idle_cell_the_job_starts_now_on_a_named_worker():
    """Guard against a preview that finds no worker where the scheduler would start the job."""
    harness = CellHarness.with_workers(2)
    result = preview(harness)
    assert (result.wait_reason, result.candidate_count, result.set_aside) == ("", 2, ())
    run_small_tasks(harness, 1)
    assert harness.running_tasks()[0][1] == result.candidates[0].worker_id


def test_in_a_full_cell_the_preview_tells_the_rank_and_when_room_is_expected():
    """Guard against a preview that promises a start while the cell is full."""
    harness = CellHarness.with_workers(2)
    run_small_tasks(harness, 2 * WORKER_CORES + 1)
    result = preview(harness)
    assert (result.wait_reason, reasons(result)) == ("no_room", {"no_room": 2})
    assert (result.position.position, result.position.waiting_steps) == (2, 1)
    assert result.room_within_ms == 5_000.0
    assert CODEC.decode(CODEC.encode(PlacementReply(result))).message == PlacementReply(result)


def test_a_team_at_its_limit_waits_although_workers_are_free():
    """Guard against a preview that looks only at the workers."""
    harness = CellHarness.with_workers(2, make_rules(limit=Resources(2_000, 0, 0)))
    run_small_tasks(harness, 2)
    result = preview(harness)
    assert (result.wait_reason, result.room_within_ms) == ("team_limit", 5_000.0)
    assert (result.team.used.cpu, result.team.limit.cpu, result.candidate_count) == (2000, 2000, 2)


def test_workers_reserved_for_a_gang_that_ranks_before_are_set_aside():
    """Guard against a preview that hands out the room which a gang waits for."""
    harness = CellHarness.with_workers(2)
    run_small_tasks(harness, 1)
    harness.submit(make_job("2" * 16, Step(2, Resources(4_000, 512), TASK_MS, gang=True)))
    harness.settle()
    result = preview(harness)
    assert result.wait_reason == "workers_reserved"
    assert reasons(result) == {"reserved": 2}


def test_without_tickets_the_approval_is_unknown_but_candidates_are_named():
    """Guard against a preview that promises a start which the adviser may not approve."""
    harness = CellHarness.with_workers(2, make_rules(advice=AdviceTerms(10.0, 1.0, 1_000)))
    result = preview(harness)
    assert (result.wait_reason, result.needs_ticket) == ("no_advice", True)
    assert result.candidate_count == 2


@pytest.mark.parametrize(
    ("step", "reason", "wait_reason"),
    [
        (Step(1, SMALL, label="x"), "no_label", "no_usable_worker"),
        (Step(1, Resources(5_000)), "too_small", "no_room"),
        (Step(1, SMALL), "silent", "no_usable_worker"),
        (Step(1, SMALL), "evacuated", "data_centre_emptied"),
    ],
)
def test_each_worker_that_takes_no_task_is_counted_by_its_reason(step, reason, wait_reason):
    """Guard against workers left out without a reason, and work for an emptied data centre."""
    harness = CellHarness.with_workers(2)
    if reason == "silent":
        harness.now += 10_000.0
    if reason == "evacuated":
        harness.cell.set_evacuations(Evacuations(frozenset({"dc"})), harness.now)
    result = preview(harness, step)
    assert (reasons(result), result.wait_reason) == ({reason: 2}, wait_reason)


def figures(harness):
    """Return what decides on the next scheduling rounds."""
    state, placer = harness.cell.state, harness.cell.placer
    accounts = {name: attrs.asdict(a) for name, a in state.entitlements.accounts.items()}
    return (
        (list(state.commands), set(state.dirty), dict(state.team_usage), set(state.jobs)),
        {k: (s.waiting_count, s.wait_reason, s.job.phase) for k, s in state.ready_steps.items()},
        {i: (w.used, set(w.runs), w.backoff_until_ms) for i, w in state.workers.items()},
        dict(placer.reservations.by_worker),
        (state.start_window.limit, list(state.start_window._starting)),
        (accounts, list(state.entitlements._uncharged), dict(state.shares.past_use.use_s)),
    )


NEEDS = st.builds(Resources, st.sampled_from([500, 1000, 4000, 9000]), st.just(256))
LABELS = st.sampled_from(["", "a", "x"])
STEPS = st.builds(Step, st.integers(1, 6), NEEDS, st.just(500), gang=st.booleans(), label=LABELS)


@given(st.lists(STEPS, max_size=6), STEPS, st.booleans())
@settings(max_examples=60, deadline=None)
def test_a_preview_changes_neither_the_state_nor_the_next_rounds(jobs, step, is_late):
    """Guard against operators who change what the scheduler decides by asking it."""
    rules = make_rules(limit=Resources(9_000))
    asked, other = (CellHarness.with_workers(3, rules, WEIGHED) for _ in range(2))
    for number, spec in enumerate(jobs):
        for harness in (asked, other):
            harness.submit(make_job(f"{number:016x}", spec))
            if is_late:
                harness.advance(300.0)
        before = figures(asked)
        preview(asked, step)
        assert figures(asked) == before
    for harness in (asked, other):
        harness.advance(1_000.0)
    assert asked.running_tasks() == other.running_tasks()
