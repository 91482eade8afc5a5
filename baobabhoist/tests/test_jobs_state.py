"""Test the progress of a job: retries, unknown outcomes, cancellation, resumption."""

import math

import pytest

from baobabhoist.daemon.preemption import PREEMPTED_REFUSAL
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.jobs.rows import job_from_row, job_to_row
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
NO_CAPACITY = Refusal(ErrorKind.NO_CAPACITY, "full")
SHARDS = ("rack-1", "rack-2", "rack-3")


def new_run(kind=WorkKind.BATCH, tasks=2, idempotent=True, deadline=1000.0):
    specs = tuple(TaskSpec(b"x", Resources(slots=1)) for _ in range(tasks))
    spec = JobSpec("roster.j1", "roster", "nightly", kind, specs, idempotent, deadline)
    return JobRun(spec, "rack-1", SHARDS, 0.0)


def send_all(run, now):
    requests = []
    for index in run.due_tasks(now, 100):
        if run.needs_intent(index):
            run.set_intent(index)
        requests.append(run.build_request(index, now))
        run.record_sent(index)
    return requests


def resumed_run(run):
    resumed = job_from_row(job_to_row(run), run.progress_to_row())
    resumed.resume()
    return resumed


@pytest.mark.parametrize("retries", [0, 1, 4])
def test_failed_idempotent_task_is_retried_as_often_as_its_policy_allows(retries):
    """Guard against endless retries of a job that fails on every worker."""
    run = new_run(tasks=1)
    run.retries = retries
    ids = set()
    for attempt in range(retries + 1):
        assert run.state is not JobState.FAILED
        (req,) = send_all(run, attempt * 100.0)
        ids.add(req.request_id)
        run.apply_result(0, FAILED, attempt * 100.0)
    assert len(ids) == retries + 1
    assert run.state is JobState.FAILED


def test_unknown_outcome_of_a_task_that_is_not_idempotent_is_final():
    """Guard against running a non-idempotent task a second time."""
    run = new_run(tasks=1, idempotent=False)
    send_all(run, 0.0)
    run.apply_result(0, UNKNOWN, 1.0)
    assert run.due_tasks(100.0, 10) == []
    assert run.state is JobState.FAILED
    assert run.status().refusal.outcome is Outcome.UNKNOWN


def test_unknown_outcome_of_an_idempotent_task_is_retried_under_the_same_id_and_shard():
    """Guard against a second copy of a task that is still running in its first shard."""
    run = new_run(tasks=1)
    (first,) = send_all(run, 0.0)
    run.apply_result(0, UNKNOWN, 1.0)
    (retried,) = send_all(run, 100.0)
    assert (retried.request_id, retried.shard) == (first.request_id, first.shard)
    assert not retried.first_attempt


def test_refused_task_gets_a_new_id_that_needs_a_stored_intent():
    """Guard against a new coordinator that sends the old id while the new one is running."""
    run = new_run(tasks=1)
    (first,) = send_all(run, 0.0)
    run.apply_result(0, NO_CAPACITY, 1.0)
    assert run.needs_intent(0)
    (second,) = send_all(run, 100.0)
    assert second.request_id != first.request_id


@pytest.mark.parametrize("idempotent", [True, False])
def test_resumed_run_never_sends_an_attempt_in_flight_as_a_first_one(idempotent):
    """Guard against restarting running tasks after a change of coordinator."""
    run = new_run(tasks=3, idempotent=idempotent)
    sent = send_all(run, 0.0)
    run.apply_result(0, Answer(sent[0].request_id, 200, b"done"), 1.0)
    requests = send_all(resumed_run(run), 2.0)
    assert {req.request_id for req in requests} == {req.request_id for req in sent[1:]}
    assert not any(req.first_attempt for req in requests)


def test_resumed_run_sends_a_non_idempotent_task_without_intent_as_a_first_attempt():
    """Guard against an unknown outcome of a task that was certainly never sent."""
    run = new_run(tasks=1, idempotent=False)
    (req,) = send_all(resumed_run(run), 1.0)
    assert req.first_attempt


def test_cancel_keeps_possibly_running_tasks_open():
    """Guard against reporting a task as cancelled while it is running."""
    run = new_run(tasks=2)
    (index, *_) = run.due_tasks(0.0, 1)
    run.record_sent(index)
    run.cancel()
    assert run.tasks_to_cancel() == [index]
    assert run.status().counts == {TaskState.QUEUED: 1, TaskState.CANCELLED: 1}
    run.apply_result(index, Refusal(ErrorKind.CANCELLED, "cancelled"), 1.0)
    assert run.state is JobState.CANCELLED


def test_deadline_leaves_a_possibly_running_task_unknown():
    """Guard against reporting a task as failed whose outcome was not reported."""
    run = new_run(tasks=2)
    send_all(run, 0.0)
    run.apply_result(0, UNKNOWN, 1.0)
    run.apply_result(1, NO_CAPACITY, 1.0)
    run.expire_waiting_tasks(1000.0)
    assert run.status().counts == {TaskState.UNKNOWN: 1, TaskState.FAILED: 1}


def test_service_replica_that_ended_is_restarted():
    """Guard against a service that never replaces a lost replica."""
    run = new_run(kind=WorkKind.SERVICE, tasks=1, deadline=math.inf)
    (first,) = send_all(run, 0.0)
    run.apply_result(0, Answer(first.request_id, 200, b""), 1.0)
    (second,) = send_all(run, 100.0)
    assert second.request_id != first.request_id
    assert job_from_row(job_to_row(run), run.progress_to_row()).spec.deadline == math.inf


def test_partly_committed_gang_gets_new_ids_and_shards():
    """Guard against a gang of which only some tasks run."""
    run = new_run(kind=WorkKind.GANG, tasks=2)
    run.place_gang({0: "rack-1", 1: "rack-2"})
    assert run.is_placed
    old = [run.task_id(index) for index in range(2)]
    run.abandon_gang_attempt(1.0)
    assert not run.is_placed
    assert not set(old) & {run.task_id(index) for index in range(2)}


def test_a_preempted_task_runs_again_without_using_up_its_retries():
    """Guard against a job that fails because its tasks were preempted too often."""
    run = new_run(tasks=1)
    run.retries = 0
    for attempt in range(5):
        send_all(run, attempt * 100.0)
        run.apply_result(0, PREEMPTED_REFUSAL, attempt * 100.0)
    assert run.state is JobState.QUEUED
    run = new_run(tasks=1, idempotent=False)
    send_all(run, 0.0)
    run.apply_result(0, PREEMPTED_REFUSAL, 1.0)
    assert run.state is JobState.FAILED
