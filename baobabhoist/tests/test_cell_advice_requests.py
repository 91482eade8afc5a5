"""Test which waiting step asks the adviser next while hundreds wait, as after a disturbance."""

import attrs

from baobabhoist.cell.jobs import MAX_IDLE_MS
from baobabhoist.cell.model import AdviceTerms, Resources, Step
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.tests.advice_harness import answer, make_advice_harness, requests_of
from baobabhoist.tests.cell_harness import make_job, make_rules

SMALL = Resources(100, 64, 0)
WHOLE_WORKER = Resources(4000, 512, 0)
SHORT_TERMS = AdviceTerms(7.0, 0.1, 2_000)
LONG_TERMS = AdviceTerms(390.0, 5.5, 2_000)
# An accepted job must run after this time if there is room for it.
STARVATION_MS = 3_000.0


def make_harness(worker_count, terms=SHORT_TERMS, slots=8):
    policy = SchedulingPolicy(forecasts_advice=True)
    return make_advice_harness(worker_count, terms, slots, policy)


def submit_jobs(harness, letter, count, step, queue="q"):
    job_ids = [f"{letter}{number:0{16 - len(letter)}x}" for number in range(count)]
    for job_id in job_ids:
        harness.submit(make_job(job_id, step, queue=queue))
    return job_ids


def add_long_queue(harness):
    """Add a queue whose requests are long, ahead of the other one."""
    queue = make_rules(advice=LONG_TERMS).queues["q"]
    short_queue = attrs.evolve(harness.cell.state.rules.queues["q"], priority=1)
    queues = {"q": short_queue, "long": attrs.evolve(queue, name="long")}
    harness.cell.set_rules(attrs.evolve(harness.cell.state.rules, version=2, queues=queues))


def advance(harness, ms):
    harness.now += ms
    harness.renew_all()


def ask_until(harness, until_ms, interval_ms):
    """Answer all requests at once until a time; return the jobs that asked."""
    asked = set()
    while harness.now < until_ms:
        for job_id, request in requests_of(harness).items():
            asked.add(job_id)
            answer(harness, request, request.workers)
        advance(harness, interval_ms)
    return asked


def test_all_expired_jobs_that_stand_still_ask_while_the_slots_are_in_use():
    """Guard against jobs past their late limit that wait for a request a second between them."""
    harness = make_harness(8, slots=4)
    harness.cell.placer.advice.blocked_count = 3
    job_ids = submit_jobs(harness, "a", 30, Step(1, SMALL, 100))
    harness.cell.schedule(harness.now, False)
    advance(harness, 10_000.0)
    asked = ask_until(harness, harness.now + STARVATION_MS, 50.0)
    assert asked == set(job_ids)


def test_expired_jobs_with_long_requests_ask_while_some_slots_are_free():
    """Guard against jobs that stand still unasked beside free slots, as they are worth nothing."""
    harness = make_harness(8, LONG_TERMS)
    harness.cell.placer.advice.blocked_count = 5
    job_ids = submit_jobs(harness, "a", 10, Step(1, SMALL, 100))
    harness.cell.schedule(harness.now, False)
    advance(harness, 10_000.0)
    asked = ask_until(harness, harness.now + STARVATION_MS, 50.0)
    assert asked == set(job_ids)


def test_expired_gangs_ask_beside_many_quick_jobs_that_stand_still():
    """Guard against a request a second for expired jobs that quick ones use up."""
    harness = make_harness(8, slots=4)
    add_long_queue(harness)
    harness.cell.placer.advice.blocked_count = 3
    submit_jobs(harness, "a", 120, Step(1, SMALL, 100))
    gangs = submit_jobs(harness, "b", 1, Step(2, SMALL, 100, gang=True), "long")
    harness.cell.schedule(harness.now, False)
    advance(harness, 10_000.0)
    asked = ask_until(harness, harness.now + STARVATION_MS, 50.0)
    assert set(gangs) <= asked


def test_long_requests_leave_half_of_the_slots_to_jobs_that_stand_still():
    """Guard against gangs whose requests keep the slots from a backlog of quick jobs."""
    harness = make_harness(32, slots=8)
    add_long_queue(harness)
    gangs = submit_jobs(harness, "a", 12, Step(2, SMALL, 60_000, gang=True), "long")
    quick_jobs = submit_jobs(harness, "b", 4, Step(1, SMALL, 100))
    harness.cell.placer.advice.blocked_count = 8
    assert not requests_of(harness)
    advance(harness, MAX_IDLE_MS)
    assert not requests_of(harness)
    harness.cell.placer.advice.blocked_count = 0
    asked = requests_of(harness)
    assert set(quick_jobs) <= set(asked)
    assert len(set(gangs) & set(asked)) == 4


def test_steps_behind_those_that_have_nothing_to_ask_are_looked_at_in_slow_rounds():
    """Guard against steps that never ask because those ahead use up all checks of each round."""
    harness = make_harness(8)
    add_long_queue(harness)
    submit_jobs(harness, "a", 40, Step(9, WHOLE_WORKER, 60_000, gang=True), "long")
    quick_jobs = submit_jobs(harness, "b", 3, Step(1, SMALL, 100))
    asked = ask_until(harness, harness.now + STARVATION_MS, 100.0)
    assert asked == set(quick_jobs)


def test_the_head_of_the_ranking_is_looked_at_in_every_second_round():
    """Guard against urgent steps that wait until a long list of others has been gone through."""
    harness = make_harness(8)
    add_long_queue(harness)
    submit_jobs(harness, "a", 400, Step(9, WHOLE_WORKER, 60_000, gang=True), "long")
    for number in range(6):
        advance(harness, 100.0)
        requests_of(harness)
        (job_id,) = submit_jobs(harness, f"{number:x}b", 1, Step(1, SMALL, 100), "long")
        asked = set(requests_of(harness))
        advance(harness, 100.0)
        assert job_id in asked | set(requests_of(harness))
