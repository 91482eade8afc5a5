"""Test the advice requests of gangs and backlogs in a full cell, with the forecast switched on."""

import itertools
from types import SimpleNamespace

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.advice_breadth import gang_places_factor
from baobabhoist.cell.model import AdviceTerms, Resources, Step
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.cell.ticket_usage import TicketOutcome, TicketUsage
from baobabhoist.tests.advice_harness import answer, make_advice_harness, requests_of
from baobabhoist.tests.cell_harness import make_job

WHOLE_WORKER = Resources(4000, 512, 0)
HALF_WORKER = Resources(2000, 256, 0)
LONG_TERMS = AdviceTerms(350.0, 5.0, 2_500)
# A question about a few workers takes longer than its tickets are valid.
SLOW_TERMS = AdviceTerms(2_600.0, 5.0, 2_500)
JOB_A, JOB_B = "a" * 16, "b" * 16


def make_harness(worker_count, terms=LONG_TERMS, slots=8, **rules):
    policy = SchedulingPolicy(forecasts_advice=True)
    return make_advice_harness(worker_count, terms, slots, policy, **rules)


def set_used(harness, used_by_worker):
    for worker_id, used in used_by_worker.items():
        harness.cell.state.workers[worker_id].used = used


def occupy_all(harness, used=WHOLE_WORKER):
    set_used(harness, dict.fromkeys(harness.workers, used))


def test_many_gangs_wait_for_advice_while_the_cell_is_full():
    """Guard against gangs that know too few approved workers to find room on all at once."""
    named = {}
    for used in (Resources(), HALF_WORKER):
        harness = make_harness(60)
        occupy_all(harness, used)
        harness.submit(make_job(JOB_A, Step(8, HALF_WORKER, 1000, gang=True)))
        named[used] = len(requests_of(harness)[JOB_A].workers)
    assert named[HALF_WORKER] >= 1.5 * named[Resources()]
    assert gang_places_factor(0.0) <= 3 * gang_places_factor(1.0)


def test_a_gang_learns_its_workers_before_there_is_room_and_then_asks_no_more():
    """Guard against tickets that are renewed again and again while the cell stays full."""
    harness = make_harness(12)
    occupy_all(harness)
    harness.submit(make_job(JOB_A, Step(2, WHOLE_WORKER, 1000, gang=True)))
    asked = set()
    while request := requests_of(harness).get(JOB_A):
        assert not asked & set(request.workers)
        asked |= set(request.workers)
        answer(harness, request, sorted(request.workers)[::2])
        harness.now += 3_000.0
        harness.renew_all()
    assert asked


@pytest.mark.parametrize("terms", [LONG_TERMS, SLOW_TERMS])
def test_a_repeated_question_names_only_approved_workers_with_room(terms):
    """Guard against a gang whose question takes longer than its ticket is valid, asked in vain."""
    harness = make_harness(12, terms)
    occupy_all(harness)
    harness.submit(make_job(JOB_A, Step(2, WHOLE_WORKER, 60_000, gang=True)))
    request = requests_of(harness)[JOB_A]
    answer(harness, request, request.workers[:6])
    harness.now += 3_000.0
    harness.renew_all()
    assert not requests_of(harness)
    set_used(harness, dict.fromkeys(request.workers[:4], Resources()))
    harness.now += 100.0
    again = requests_of(harness)[JOB_A]
    assert set(again.workers) <= set(request.workers[:4])


def test_an_expired_backlog_leaves_the_slots_to_steps_that_can_still_earn():
    """Guard against questions for jobs past their late limit while the slots are in use."""
    harness = make_harness(8, slots=2)
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    harness.now += 60_000.0
    harness.renew_all()
    harness.cell.placer.advice.blocked_count = 1
    assert not requests_of(harness)
    harness.submit(make_job(JOB_B, Step(1, WHOLE_WORKER, 1000)))
    assert set(requests_of(harness)) == {JOB_B}


def test_an_expired_backlog_is_asked_for_while_slots_are_idle():
    """Guard against accepted jobs that never end because they are late."""
    harness = make_harness(8)
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    harness.now += 60_000.0
    harness.renew_all()
    assert JOB_A in requests_of(harness)


def test_an_expired_backlog_is_asked_for_now_and_then_while_the_slots_stay_in_use():
    """Guard against accepted jobs that nothing runs for as long as the adviser is the bottleneck.

    With two slots, of which one is kept for short requests, no slot for long ones counts as idle.
    """
    harness = make_harness(8, slots=2)
    for job_id in (JOB_A, JOB_B):
        harness.submit(make_job(job_id, Step(1, WHOLE_WORKER, 1000)))
    harness.now += 60_000.0
    harness.renew_all()
    assert not requests_of(harness)
    asked_ms = []
    for _ in range(60):
        harness.now += 50.0
        harness.renew_all()
        for request in requests_of(harness).values():
            asked_ms.append(harness.now)
            answer(harness, request, ())
    assert len(asked_ms) >= 2
    assert all(b - a >= 1_000.0 for a, b in itertools.pairwise(asked_ms))


@given(
    used=st.lists(st.sampled_from([0, 2000, 4000, 4000, 4000]), min_size=8, max_size=8),
    approved=st.sets(st.sampled_from([f"w{n}" for n in range(8)])),
    count=st.integers(1, 4),
    is_gang=st.booleans(),
)
@settings(max_examples=60, deadline=None)
def test_no_ticket_is_renewed_without_room(used, approved, count, is_gang):
    """Guard against any backlog in which tickets are asked for that can start nothing."""
    harness = make_harness(8, AdviceTerms(350.0, 400.0, 2_500))
    occupy_all(harness)
    harness.submit(make_job(JOB_A, Step(count, HALF_WORKER, 60_000, gang=is_gang)))
    for _ in harness.workers:
        if request := requests_of(harness).get(JOB_A):
            answer(harness, request, approved & set(request.workers), valid_ms=1.0)
        harness.now += 100.0
    set_used(harness, {f"w{n}": Resources(cpu) for n, cpu in enumerate(used)})
    harness.now += 100.0
    request = requests_of(harness).get(JOB_A)
    known = set(harness.cell.state.jobs[JOB_A].steps[0, 0].approvals.tickets)
    with_room = {f"w{n}" for n, cpu in enumerate(used) if cpu < 4000}
    for worker_id in request.workers if request is not None else ():
        assert worker_id not in known or worker_id in with_room


@given(st.permutations(range(6)))
@settings(max_examples=20, deadline=None)
def test_tickets_are_used_in_the_order_of_their_expiry(order):
    """Guard against a ticket that expires unused beside one that would have lasted longer."""
    harness = make_harness(6, AdviceTerms(20.0, 0.2, 2_500))
    harness.delivers_commands = False
    occupy_all(harness)
    harness.submit(make_job(JOB_A, Step(3, WHOLE_WORKER, 60_000)))
    harness.schedule()
    approvals = harness.cell.state.jobs[JOB_A].steps[0, 0].approvals
    for place, number in enumerate(order):
        expires_ms = harness.now + 1_000.0 + 100.0 * place
        approvals.record_answer([f"w{number}"], {f"w{number}": "t"}, expires_ms)
    occupy_all(harness, Resources())
    harness.schedule()
    started = {t.run.worker_id for t in harness.cell.state.jobs[JOB_A].steps[0, 0].tasks}
    assert started == {f"w{number}" for number in order[:3]}


def test_tickets_are_counted_by_what_became_of_them():
    """Guard against a count that hides tickets that expired while their step waited."""
    usage = TicketUsage()
    accepted = attrs.evolve(make_job(), queue="q")
    job = SimpleNamespace(accepted=accepted, is_final=False)
    waiting = SimpleNamespace(key=1, job=job, waiting_count=2)
    placed = SimpleNamespace(key=2, job=job, waiting_count=0)
    usage.record_answer(waiting, ["w0", "w1"], 1_000.0)
    usage.record_answer(placed, ["w0"], 1_000.0)
    usage.record_start(waiting, "w0")
    usage.record_start(waiting, "w0")
    usage.settle(999.0)
    assert usage.describe() == {"q": {"used": 1}}
    usage.settle(1_000.0)
    assert usage.take_counts() == {("q", outcome): 1 for outcome in TicketOutcome}
    assert not usage.take_counts()
