"""Test that the platform's soak finds starving jobs in calm times, and no others."""

from __future__ import annotations

from typing import Any

import pytest

from baobabhoist.platform.testing.soak_advice import AdvicePolicy
from baobabhoist.platform.testing.soak_checker import GuaranteeChecker
from baobabhoist.platform.testing.soak_records import SubmittedJob, Team
from baobabhoist.tests.test_platform_soak_checker import (
    JOB,
    SECOND_STEP_TASK,
    SPEC,
    caller_request,
    run_acked,
    run_end,
    run_start,
)

STEP = {"count": 1, "cpu": 600, "memMb": 100}
OTHER_JOB = "b" * 16
OTHER_STEP = {"count": 20, "cpu": 1_000, "memMb": 100}
LIMITS = {"event": "limits", "t": 0.0, "acked": 0.0, "limits": {"alpha": 4_000, "beta": 0}}
WORKERS = [{"t": 0.0, "event": "joined", "worker": f"w{n}"} for n in (1, 2, 3)]
ACCEPTED = caller_request("submit", 9.0, 200)
SEEN_RUNNING = caller_request("state", 19.9, 200, "running")
# Of the workers w1 to w3 it approves only w3 for the first step of the job.
APPROVES_W3 = AdvicePolicy(0, 0, 2_000, 0.5)
FAULT = {"event": "window", "t": 5.0, "until": 9.0, "fault": "kill"}
LOST_RUN = [run_start(9.5), run_end(10.0, "crashed")]


def find_starving_jobs(
    worker_log: list[Any],
    driver_log: list[Any],
    requests: list[Any] | None = None,
    steps: list[Any] | None = None,
    other_team: str = "beta",
    **job_changes: Any,
) -> list[str]:
    """Return the breaches for a job that was accepted at 9.1 and is not final at 20.0."""
    steps = steps or [STEP, {**STEP, "after": [0]}]
    job = SubmittedJob(JOB, "batch", "alpha", steps, SPEC, attempts=2, **job_changes)
    other_job = SubmittedJob(OTHER_JOB, "batch", other_team, [OTHER_STEP], SPEC, attempts=2)
    checker = GuaranteeChecker(
        [*WORKERS, *worker_log],
        [ACCEPTED, *(requests or []), SEEN_RUNNING],
        [LIMITS, *driver_log],
        {JOB: job, OTHER_JOB: other_job},
        {"alpha": Team("alpha", 4_000), "beta": Team("beta", 0)},
    )
    checker.check_logs()
    checker.breaches.clear()
    checker.check_starvation()
    return checker.breaches


def other_runs(count: int, worker: str = "w1") -> list[Any]:
    """Return the starts of tasks of another job, which last."""
    return [run_start(9.0, f"{OTHER_JOB}.0.0.{n}", worker=worker) for n in range(count)]


STARVING: dict[str, tuple[list[Any], list[Any]]] = {
    "never started": ([], [FAULT]),
    "lost with its worker": (LOST_RUN, [FAULT]),
    "between two steps": (
        [run_start(9.5), run_end(10.0, "done"), run_acked(10.1)],
        [FAULT],
    ),
    "done, but lost before it was acknowledged": (
        [
            *(
                run_start(9.2),
                run_end(9.3, "done"),
                {"t": 9.4, "event": "crashed", "worker": "w1"},
            ),
            *(run_start(9.5, SECOND_STEP_TASK), run_end(9.6, "stopped", SECOND_STEP_TASK)),
        ],
        [FAULT],
    ),
    "beside other jobs at work": (other_runs(3), [FAULT]),
    "beside a change of the configuration": (
        [],
        [FAULT, {**FAULT, "fault": "config", "until": 19.0}],
    ),
}


@pytest.mark.parametrize("name", STARVING)
def test_job_that_starves_in_calm_is_found(name: str) -> None:
    """Guard against a check that misses a job with nothing running (issue 43)."""
    worker_log, driver_log = STARVING[name]
    (breach,) = find_starving_jobs(worker_log, driver_log)
    assert breach == f"LOST {JOB} starves for 7.0 s from 13.000"


def test_job_that_waits_for_advice_starves() -> None:
    """Guard against a check that passes over all jobs whose queue has advice (issue 46)."""
    advice = AdvicePolicy(0, 0, 2_000, 1.0)
    (breach,) = find_starving_jobs([], [FAULT], advice=advice)
    assert breach == f"LOST {JOB} starves for 7.0 s from 13.000"
    on_refused_workers = [*other_runs(4, "w1"), *other_runs(4, "w2")]
    assert find_starving_jobs(on_refused_workers, [FAULT], advice=APPROVES_W3)


def test_starvation_ends_with_the_next_run() -> None:
    """Guard against a bound that is longer than that of the guarantee."""
    next_run = [run_start(16.1, run=2), run_end(19.5, "stopped", run=2)]
    assert find_starving_jobs([*LOST_RUN, *next_run], [FAULT])
    next_run = [run_start(15.9, run=2), run_end(19.5, "stopped", run=2)]
    assert not find_starving_jobs([*LOST_RUN, *next_run], [FAULT])


NOT_STARVING: dict[str, tuple[list[Any], list[Any], list[Any], dict[str, Any]]] = {
    "during a fault": ([], [{**FAULT, "until": 19.0}], [], {}),
    "within 4 s of a fault": ([], [{**FAULT, "until": 13.1}], [], {}),
    "in less than 7 s between two faults": (
        [],
        [FAULT, {**FAULT, "t": 15.9, "until": 17.0}],
        [],
        {},
    ),
    "a worker drains": ([], [{**FAULT, "fault": "worker_drain", "until": 19.0}], [], {}),
    "without room for it twice": (
        [*other_runs(1, "w1"), *other_runs(1, "w2")],
        [FAULT],
        [],
        {"steps": [{**STEP, "cpu": 3_200}]},
    ),
    "without room for a gang twice": (
        [],
        [FAULT],
        [],
        {"steps": [{**STEP, "memMb": 4_000, "count": 4, "gang": True}]},
    ),
    "the other workers are gone": (
        [{"t": 8.0, "event": "ended", "worker": f"w{n}"} for n in (1, 2, 3)],
        [FAULT],
        [],
        {},
    ),
    "with half of its team's limit in use": (other_runs(2), [FAULT], [], {"other_team": "alpha"}),
    "over its team's limit": (
        [],
        [FAULT, {**LIMITS, "t": 9.0, "acked": 9.1, "limits": {"alpha": 500, "beta": 0}}],
        [],
        {},
    ),
    "cancelled": ([], [FAULT], [], {"cancel_sent": 9.5}),
    "failed": (
        [
            *(run_start(9.2), run_end(9.4, "failed")),
            *(run_start(9.5, run=2), run_end(9.6, "failed", run=2)),
        ],
        [FAULT],
        [],
        {},
    ),
    "completed": (
        [run_start(9.5), run_end(10.0, "done"), run_acked(10.1)],
        [FAULT],
        [],
        {"steps": [STEP]},
    ),
    "shown as final": ([], [FAULT], [caller_request("state", 12.0, 200, "failed")], {}),
    "running": ([run_start(9.5)], [FAULT], [], {}),
    "no worker is approved": ([], [FAULT], [], {"advice": AdvicePolicy(0, 0, 2_000, 0.0)}),
    "without room on the approved workers": (
        other_runs(4, "w3"),
        [FAULT],
        [],
        {"advice": APPROVES_W3},
    ),
}


@pytest.mark.parametrize("name", NOT_STARVING)
def test_job_that_may_wait_is_not_found(name: str) -> None:
    """Guard against reports of jobs that the guarantee lets wait."""
    worker_log, driver_log, requests, changes = NOT_STARVING[name]
    assert find_starving_jobs(worker_log, driver_log, requests, **changes) == []


def test_job_starves_just_below_the_limits() -> None:
    """Guard against exemptions that are wider than those of the guarantee."""
    assert find_starving_jobs(other_runs(1), [FAULT], other_team="alpha")
    most_of_a_worker = [{**STEP, "cpu": 3_000}]
    room_on_two_workers = [*other_runs(1, "w1"), *other_runs(2, "w2")]
    assert find_starving_jobs(room_on_two_workers, [FAULT], steps=most_of_a_worker)
    most_of_the_service = other_runs(4, "w1") + other_runs(4, "w2") + other_runs(2, "w3")
    assert find_starving_jobs(most_of_the_service, [FAULT])
    gang = [{**STEP, "cpu": 1_000, "count": 4, "gang": True}]
    assert find_starving_jobs([], [FAULT], steps=gang)
