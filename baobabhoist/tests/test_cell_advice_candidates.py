"""Test which workers an advice request names, with an adviser whose time is scarce."""

import attrs
import pytest

from baobabhoist.cell.model import (
    AdviceTerms,
    CellRules,
    Queue,
    Resources,
    Step,
    Team,
)
from baobabhoist.tests.advice_harness import answer, make_advice_harness, requests_of
from baobabhoist.tests.cell_harness import CellHarness, make_job

WHOLE_WORKER = Resources(4000, 512, 0)
HALF_WORKER = Resources(2000, 256, 0)
# No further workers are named beside those that the waiting tasks need.
EXACT_TERMS = AdviceTerms(400.0, 1_000.0, 2_500)
LONG_TERMS = AdviceTerms(400.0, 5.0, 2_500)
SHORT_TERMS = AdviceTerms(20.0, 0.2, 2_500)
JOB_A, JOB_B, JOB_C = "a" * 16, "b" * 16, "c" * 16


def make_harness(worker_count, terms=EXACT_TERMS, slots=8, **rules):
    return make_advice_harness(worker_count, terms, slots, **rules)


def occupy(harness, worker_ids):
    for worker_id in worker_ids:
        state = harness.cell.state.workers[worker_id]
        state.used = state.info.capacity


def test_as_few_workers_are_named_as_the_waiting_tasks_need():
    """Guard against requests that name all workers of a large cell for a job of one task."""
    harness = make_harness(60)
    harness.submit(make_job(JOB_A, Step(2, WHOLE_WORKER, 1000)))
    request = requests_of(harness)[JOB_A]
    # Twice the tasks would do if half of the workers are approved, with some more to spare.
    assert 4 <= len(request.workers) <= 8


def test_only_workers_with_room_are_named():
    """Guard against tickets that expire before their workers have room."""
    harness = make_harness(4)
    occupy(harness, ["w0", "w2"])
    harness.submit(make_job(JOB_A, Step(4, HALF_WORKER, 1000)))
    assert set(requests_of(harness)[JOB_A].workers) == {"w1", "w3"}


def test_a_worker_whose_run_ends_before_the_answer_comes_counts_as_free():
    """Guard against a worker that idles while advice on it is awaited."""
    harness = CellHarness.with_workers(1, two_queues(LONG_TERMS))
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    harness.settle()
    assert len(harness.running_tasks()) == 1
    harness.now += 700.0
    harness.submit(in_queue("advised", make_job(JOB_B, Step(1, WHOLE_WORKER, 1000))))
    harness.cell.placer.advice.slot_count = 1
    harness.renew_all()
    assert JOB_B in requests_of(harness)


def test_steps_do_not_ask_for_the_room_of_those_ranked_above_them():
    """Guard against many requests about the same free worker, of which one is of use."""
    harness = make_harness(2)
    for job_id in (JOB_A, JOB_B, JOB_C):
        harness.submit(make_job(job_id, Step(2, WHOLE_WORKER, 1000)))
    harness.cell.placer.advice.slot_count = 3
    requests = requests_of(harness)
    assert len(requests) == 1


def test_approved_workers_are_named_before_others():
    """Guard against requests about unknown workers while tickets of approved ones expired."""
    harness = make_harness(6)
    harness.delivers_commands = False
    occupy(harness, ["w0"])
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    request = requests_of(harness)[JOB_A]
    chosen = request.workers[-1]
    harness.cell.state.workers[chosen].backoff_until_ms = harness.now + 3_000.0
    answer(harness, request, [chosen])
    harness.now += 3_100.0
    harness.renew_all()
    assert requests_of(harness)[JOB_A].workers[0] == chosen


def test_refused_workers_are_not_named_again():
    """Guard against requests that can't be of use: verdicts do not change."""
    harness = make_harness(4, LONG_TERMS)
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    request = requests_of(harness)[JOB_A]
    answer(harness, request, [])
    harness.now += 100.0
    again = requests_of(harness).get(JOB_A)
    assert again is None or not set(again.workers) & set(request.workers)


def test_a_late_answer_is_used():
    """Guard against an answer that is thrown away, so that the adviser works for nothing."""
    harness = make_harness(2, LONG_TERMS, slots=1)
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    request = requests_of(harness)[JOB_A]
    harness.advance(request.cost_ms + 1_000.0)
    answer(harness, request, ["w0"])
    harness.schedule()
    assert [worker_id for _, worker_id in harness.running_tasks()] == ["w0"]


def test_long_requests_leave_a_slot_to_short_ones():
    """Guard against urgent steps that wait until a long request has ended."""
    harness = CellHarness.with_workers(40, two_queues(LONG_TERMS, SHORT_TERMS))
    harness.cell.placer.advice.slot_count = 4
    for number in range(6):
        harness.submit(in_queue("advised", make_job(f"{number:016x}", Step(1, WHOLE_WORKER, 900))))
    assert len(requests_of(harness)) == 3
    harness.submit(in_queue("short", make_job(JOB_A, Step(1, WHOLE_WORKER, 900))))
    assert set(requests_of(harness)) == {JOB_A}


def test_a_step_beyond_its_teams_limit_does_not_ask():
    """Guard against slots that are taken by a team that may not start anything."""
    harness = make_harness(4, limit=Resources(4000, 0, 0), slots=1)
    harness.submit(make_job(JOB_A, Step(1, WHOLE_WORKER, 1000)))
    answer(harness, requests_of(harness)[JOB_A], ["w0", "w1", "w2", "w3"])
    harness.schedule()
    assert len(harness.running_tasks()) == 1
    harness.submit(make_job(JOB_B, Step(50, WHOLE_WORKER, 60_000)))
    harness.cell.placer.advice.slot_count = 2
    harness.cell.placer.advice.blocked_count = 1
    assert not requests_of(harness)


def test_workers_at_the_limit_of_the_step_are_not_named():
    """Guard against a step with one task a worker that asks about the workers it runs on."""
    harness = make_harness(3, LONG_TERMS, slots=1)
    harness.submit(make_job(JOB_A, Step(2, HALF_WORKER, 60_000, most_per_worker=1)))
    answer(harness, requests_of(harness)[JOB_A], ["w0"])
    harness.schedule()
    assert [worker_id for _, worker_id in harness.running_tasks()] == ["w0"]
    harness.now += 2_600.0
    harness.renew_all()
    request = requests_of(harness).get(JOB_A)
    assert request is None or "w0" not in request.workers


@pytest.mark.parametrize(("approved_count", "few"), [(20, True), (2, False)])
def test_the_number_of_named_workers_follows_the_learned_approvals(approved_count, few):
    """Guard against a second request because the first named too few workers."""
    harness = make_harness(80)
    harness.submit(make_job(JOB_A, Step(10, WHOLE_WORKER, 1000)))
    request = requests_of(harness)[JOB_A]
    answer(harness, request, request.workers[:approved_count])
    harness.schedule()
    harness.submit(make_job(JOB_B, Step(10, WHOLE_WORKER, 1000)))
    named = len(requests_of(harness)[JOB_B].workers)
    assert named < 30 if few else named >= 30


def two_queues(advised_terms, short_terms=None):
    """Return rules with queues without advice, with long and with short requests."""
    queues = {
        "q": Queue("q", "svc", 1, 3, 2.0, 1000),
        "advised": Queue("advised", "svc", 1, 3, 2.0, 1000, advice=advised_terms),
        "short": Queue("short", "svc", 0, 3, 2.0, 1000, advice=short_terms),
    }
    return CellRules(1, queues, {"team": Team("team")})


def in_queue(queue, job):
    return attrs.evolve(job, queue=queue)
