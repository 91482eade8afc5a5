"""Test the progress of a job: retries, unknown outcomes, cancellation, succession."""

import math

import pytest

from baobabhoist.daemon.preemption import PREEMPTED_REFUSAL
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.jobs.rows import job_row, run_of
from baobabhoist.jobs.state import JobRun
from baobabhoist.model import (
    Answer,
    JobSpec,
    JobState,
    Outcome,
    Resources,
    TaskSpec,
    TaskState,
    WorkKind,
)

UNKNOWN = Refusal(ErrorKind.OUTCOME_UNKNOWN, "no report", Outcome.UNKNOWN)
FAILED = Refusal(ErrorKind.TASK_FAILED, "exit 1", Outcome.RAN)
NO_ROOM = Refusal(ErrorKind.NO_CAPACITY, "full")
SHARDS = ("rack-1", "rack-2", "rack-3")


def job(kind=WorkKind.BATCH, tasks=2, idempotent=True, deadline=1000.0):
    specs = tuple(TaskSpec(b"x", Resources(slots=1)) for _ in range(tasks))
    spec = JobSpec("roster.j1", "roster", "nightly", kind, specs, idempotent, deadline)
    return JobRun(spec, "rack-1", SHARDS, 0.0)


def send_all(run, now):
    requests = []
    for index in run.due(now, 100):
        if run.needs_mark(index):
            run.mark(index)
        requests.append(run.request(index, now))
        run.sent(index)
    return requests


def successor_of(run):
    successor = run_of(job_row(run), run.as_row())
    successor.resume()
    return successor


@pytest.mark.parametrize("retries", [0, 1, 4])
def test_failed_idempotent_task_is_given_up_after_the_retries_of_its_policy(retries):
    """Guard against a job that fails everywhere being retried for ever."""
    run = job(tasks=1)
    run.retries = retries
    ids = set()
    for attempt in range(retries + 1):
        assert run.state is not JobState.FAILED
        (req,) = send_all(run, attempt * 100.0)
        ids.add(req.request_id)
        run.result(0, FAILED, attempt * 100.0)
    assert len(ids) == retries + 1
    assert run.state is JobState.FAILED


def test_unknown_outcome_of_a_task_that_may_run_once_is_final():
    """Guard against running a non-idempotent task a second time."""
    run = job(tasks=1, idempotent=False)
    send_all(run, 0.0)
    run.result(0, UNKNOWN, 1.0)
    assert run.due(100.0, 10) == []
    assert run.state is JobState.FAILED
    assert run.status().refusal.outcome is Outcome.UNKNOWN


def test_unknown_outcome_of_an_idempotent_task_is_asked_under_the_same_id_and_shard():
    """Guard against a second copy of a task that still runs in its first shard."""
    run = job(tasks=1)
    (first,) = send_all(run, 0.0)
    run.result(0, UNKNOWN, 1.0)
    (again,) = send_all(run, 100.0)
    assert (again.request_id, again.shard) == (first.request_id, first.shard)
    assert not again.first_attempt


def test_refused_task_gets_a_new_id_that_needs_a_mark():
    """Guard against a successor using the old id while the new one runs."""
    run = job(tasks=1)
    (first,) = send_all(run, 0.0)
    run.result(0, NO_ROOM, 1.0)
    assert run.needs_mark(0)
    (second,) = send_all(run, 100.0)
    assert second.request_id != first.request_id


@pytest.mark.parametrize("idempotent", [True, False])
def test_successor_never_sends_an_attempt_under_way_as_a_first_one(idempotent):
    """Guard against a change of coordinator starting running tasks again."""
    run = job(tasks=3, idempotent=idempotent)
    sent = send_all(run, 0.0)
    run.result(0, Answer(sent[0].request_id, 200, b"done"), 1.0)
    requests = send_all(successor_of(run), 2.0)
    assert {req.request_id for req in requests} == {req.request_id for req in sent[1:]}
    assert not any(req.first_attempt for req in requests)


def test_successor_starts_an_unmarked_single_run_task_as_a_first_attempt():
    """Guard against calling a task unknown that was certainly never sent."""
    run = job(tasks=1, idempotent=False)
    (req,) = send_all(successor_of(run), 1.0)
    assert req.first_attempt


def test_cancel_keeps_tasks_open_that_may_run():
    """Guard against reporting a task as cancelled while it runs."""
    run = job(tasks=2)
    (index, *_) = run.due(0.0, 1)
    run.sent(index)
    run.cancel()
    assert run.to_cancel() == [index]
    assert run.status().counts == {TaskState.QUEUED: 1, TaskState.CANCELLED: 1}
    run.result(index, Refusal(ErrorKind.CANCELLED, "cancelled"), 1.0)
    assert run.state is JobState.CANCELLED


def test_deadline_leaves_a_possibly_running_task_unknown():
    """Guard against a false "failed" for a task whose outcome nobody reported."""
    run = job(tasks=2)
    send_all(run, 0.0)
    run.result(0, UNKNOWN, 1.0)
    run.result(1, NO_ROOM, 1.0)
    run.expire(1000.0)
    assert run.status().counts == {TaskState.UNKNOWN: 1, TaskState.FAILED: 1}


def test_service_replica_that_ended_is_started_again():
    """Guard against a service that loses replicas for good."""
    run = job(kind=WorkKind.SERVICE, tasks=1, deadline=math.inf)
    (first,) = send_all(run, 0.0)
    run.result(0, Answer(first.request_id, 200, b""), 1.0)
    (second,) = send_all(run, 100.0)
    assert second.request_id != first.request_id
    assert run_of(job_row(run), run.as_row()).spec.deadline == math.inf


def test_gang_whose_commit_failed_in_part_gets_new_ids_and_shards():
    """Guard against a gang that runs with a part of its tasks."""
    run = job(kind=WorkKind.GANG, tasks=2)
    run.place_gang({0: "rack-1", 1: "rack-2"})
    assert run.placed
    old = [run.task_id(index) for index in range(2)]
    run.abandon_attempt(1.0)
    assert not run.placed
    assert not set(old) & {run.task_id(index) for index in range(2)}


def test_a_preempted_task_runs_again_without_using_up_its_retries():
    """Guard against a job that fails because its owner stopped its tasks too often."""
    run = job(tasks=1)
    run.retries = 0
    for attempt in range(5):
        send_all(run, attempt * 100.0)
        run.result(0, PREEMPTED_REFUSAL, attempt * 100.0)
    assert run.state is JobState.QUEUED
    run = job(tasks=1, idempotent=False)
    send_all(run, 0.0)
    run.result(0, PREEMPTED_REFUSAL, 1.0)
    assert run.state is JobState.FAILED
