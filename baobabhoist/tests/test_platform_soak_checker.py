"""Test that the checker of the platform's soak finds a breach of each guarantee."""

from __future__ import annotations

import zlib
from typing import Any

import pytest

from baobabhoist.platform.testing.soak_checker import GuaranteeChecker
from baobabhoist.platform.testing.soak_records import SubmittedJob, Team

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
SECOND_STEP_TASK = f"{JOB}.0.1.0"
SPEC = zlib.crc32(b"spec")
INITIAL_LIMITS = {"event": "limits", "t": 0.0, "acked": 0.0, "limits": {"alpha": 1_000}}


def run_start(t: float, task: str = TASK, run: int = 1, worker: str = "w1", **changes: Any) -> Any:
    """Return a log entry of a worker for the start of a run."""
    entry = {"t": t, "event": "start", "worker": worker, "task": task, "run": run}
    return {**entry, "spec": SPEC, "checkpoint": "", "mode": "normal", **changes}


def run_end(t: float, how: str, task: str = TASK, run: int = 1, worker: str = "w1") -> Any:
    """Return a log entry of a worker for the end of a run."""
    return {"t": t, "event": "end", "worker": worker, "task": task, "run": run, "how": how}


def run_acked(t: float, task: str = TASK, run: int = 1, worker: str = "w1") -> Any:
    """Return a log entry of a worker for an acknowledged end."""
    return {"t": t, "event": "acked", "worker": worker, "task": task, "run": run}


def caller_request(event: str, t: float, status: int, state: str = "", **changes: Any) -> Any:
    """Return a log entry of a caller for one request."""
    entry = {"t": t, "end": t + 0.1, "event": event, "job": JOB, "instance": "edge-1"}
    return {**entry, "key": "key-alpha", "status": status, "state": state, **changes}


def broken_guarantees(
    worker_log: list[Any], caller_log: list[Any], driver_log: list[Any], **changes: Any
) -> set[str]:
    """Return the guarantees that the logs show broken for a job of two steps."""
    step = {"count": 1, "cpu": 600, "memMb": 100}
    steps = [{**step, **changes}, {**step, "after": [0]}]
    job = SubmittedJob(JOB, "batch", "alpha", steps, SPEC, attempts=2)
    checker = GuaranteeChecker(
        worker_log,
        caller_log,
        [INITIAL_LIMITS, *driver_log],
        {JOB: job},
        {"alpha": Team("alpha", 1_000)},
    )
    checker.check_logs()
    checker.check_completion({})
    return {text.partition(" ")[0] for text in checker.breaches}


ACCEPTED = caller_request("submit", 1.0, 200)
CANCELLED = caller_request("cancel", 2.0, 200)
FAULT_WINDOW = {"event": "window", "t": 9.0, "until": 11.0, "fault": "kill"}
DONE_RUN = [run_start(2.0), run_end(3.0, "done"), run_acked(3.1)]
BREACHES: dict[str, tuple[str, list[Any], list[Any], list[Any]]] = {
    "two runs at the same time": (
        "TWICE",
        [run_start(2.0), run_start(2.5, run=2, worker="w2")],
        [],
        [],
    ),
    "started after it was done": ("TWICE", [*DONE_RUN, run_start(4.0, run=2)], [], []),
    "second step before the first": (
        "ORDER",
        [run_start(2.0), run_start(2.5, SECOND_STEP_TASK)],
        [],
        [],
    ),
    "team over its limit": (
        "QUOTA",
        [run_start(2.0 + n / 10, f"{JOB}.0.0.{n}", worker=f"w{n}") for n in range(4)],
        [],
        [],
    ),
    "worker over its capacity": (
        "LIMIT",
        [run_start(2.0 + n / 10, f"{JOB}.0.0.{n}") for n in range(8)],
        [],
        [],
    ),
    "started after its last attempt": (
        "BUDGET",
        [
            *(run_start(2.0, run=1), run_end(3.0, "failed"), run_acked(3.1)),
            *(run_start(4.0, run=2), run_end(5.0, "failed", run=2), run_acked(5.1, run=2)),
            run_start(6.0, run=3),
        ],
        [],
        [],
    ),
    "unknown job": ("UNASKED", [run_start(2.0, "b" * 16 + ".0.0.0")], [], []),
    "another payload": ("UNASKED", [run_start(2.0, spec=1)], [], []),
    "another task's checkpoint": ("UNASKED", [run_start(2.0, checkpoint="0" * 16)], [], []),
    "started after its cancellation": ("UNASKED", [run_start(9.0)], [ACCEPTED, CANCELLED], []),
    "started after it was unknown to its cancellation": (
        "UNASKED",
        [run_start(9.0)],
        [caller_request("submit", 1.0, 0, left=True), caller_request("cancel", 2.0, 410)],
        [],
    ),
    "still running after its cancellation": (
        "UNASKED",
        [run_start(1.5)],
        [ACCEPTED, CANCELLED],
        [],
    ),
    "ran although refused": (
        "REFUSED",
        [run_start(2.0)],
        [caller_request("submit", 1.0, 503)],
        [],
    ),
    "unknown key": ("ROUTE", [], [caller_request("submit", 1.0, 200, key="key-of-nobody")], []),
    "revoked key": (
        "CONFIG",
        [],
        [caller_request("submit", 9.0, 200)],
        [{"event": "revoked", "t": 1.0, "key": "key-alpha"}],
    ),
    "gang incomplete without a fault": ("GANG", [run_start(2.0), run_end(5.0, "alone")], [], []),
    "unknown after it was accepted": (
        "LOST",
        [],
        [ACCEPTED, caller_request("state", 9.0, 410)],
        [],
    ),
    "reported failed without attempts": (
        "LOST",
        [],
        [ACCEPTED, caller_request("state", 9.0, 200, "failed")],
        [],
    ),
    "reported cancelled without a cancellation": (
        "LOST",
        [],
        [ACCEPTED, caller_request("state", 9.0, 200, "cancelled")],
        [],
    ),
    "never finished": ("LOST", [], [ACCEPTED], []),
    "reported completed too early": (
        "MIXED",
        DONE_RUN,
        [ACCEPTED, caller_request("state", 9.0, 200, "completed")],
        [],
    ),
    "connection cut by a stop": (
        "LOST",
        [],
        [caller_request("submit", 5.0, 0, reason="reset")],
        [{"event": "stop", "t": 5.0, "instance": "edge-1"}],
    ),
    "started on a draining worker": (
        "DRAIN",
        [run_start(5.0)],
        [],
        [{"event": "draining", "t": 1.0, "worker": "w1"}],
    ),
    "started in an emptied data centre": (
        "EVAC",
        [run_start(7.0)],
        [],
        [{"event": "evacuated", "t": 1.0, "worker": "w1"}],
    ),
}


@pytest.mark.parametrize("name", BREACHES)
def test_breach_is_detected(name: str) -> None:
    """Guard against a checker that misses a broken guarantee."""
    guarantee, worker_log, caller_log, driver_log = BREACHES[name]
    assert guarantee in broken_guarantees(worker_log, caller_log, driver_log)


@pytest.mark.parametrize("fault", ["kill", "outage_takeover"])
def test_start_after_a_cancellation_is_a_breach_during_a_fault(fault: str) -> None:
    """Guard against a fault that excuses a start long after an acknowledged cancellation."""
    window = {**FAULT_WINDOW, "fault": fault}
    requests = [ACCEPTED, CANCELLED]
    assert "UNASKED" in broken_guarantees([run_start(9.5)], requests, [window])
    in_time = [run_start(5.0), run_end(5.1, "stopped")]
    assert "UNASKED" not in broken_guarantees(in_time, requests, [window])
    late = [run_start(9.5, mode="late"), run_end(9.6, "stopped")]
    assert "UNASKED" not in broken_guarantees(late, requests, [window])


def test_start_that_a_worker_carried_out_late_may_follow_a_cancellation() -> None:
    """Guard against breaches that nobody can prevent, and excuses for other starts."""
    requests = [ACCEPTED, CANCELLED]
    stopped = run_end(9.6, "stopped")
    assert "UNASKED" not in broken_guarantees([run_start(9.5, late=True), stopped], requests, [])
    assert "UNASKED" in broken_guarantees([run_start(9.5, late=False), stopped], requests, [])


@pytest.mark.parametrize("status", [0, 403, 503, 504])
def test_start_after_a_cancellation_that_was_not_acknowledged_is_no_breach(status: int) -> None:
    """Guard against breaches that no instance answers for."""
    requests = [ACCEPTED, caller_request("cancel", 2.0, status)]
    stopped = run_end(9.6, "stopped")
    assert "UNASKED" not in broken_guarantees([run_start(9.5), stopped], requests, [])


@pytest.mark.parametrize(("left", "is_breach"), [(False, True), (True, False)])
def test_caller_that_left_during_a_stop_got_no_response_by_itself(
    left: bool, is_breach: bool
) -> None:
    """Guard against breaches of callers that left, and against an excuse for all others."""
    request = caller_request("submit", 5.0, 0, reason="timeout", left=left)
    stop = {"event": "stop", "t": 5.0, "instance": "edge-1"}
    assert ("LOST" in broken_guarantees([], [request], [stop])) is is_breach


def test_late_starts_excuse_no_second_run() -> None:
    """Guard against an exemption for late starts that covers two runs of one task."""
    overlapping = [run_start(2.0), run_start(2.5, run=2, worker="w2", late=True)]
    assert "TWICE" in broken_guarantees(overlapping, [], [])
    assert "TWICE" in broken_guarantees([*DONE_RUN, run_start(4.0, run=2, late=True)], [], [])
    completed = [ACCEPTED, caller_request("state", 8.0, 200, "completed")]
    assert "TWICE" in broken_guarantees([run_start(9.5, late=True)], completed, [])


@pytest.mark.parametrize("state", ["completed", "failed"])
def test_start_after_a_reported_end_is_a_breach_during_a_fault(state: str) -> None:
    """Guard against a fault that excuses a start after the job was shown as ended."""
    requests = [ACCEPTED, caller_request("state", 8.0, 200, state)]
    assert "TWICE" in broken_guarantees([run_start(9.5)], requests, [FAULT_WINDOW])
    assert "TWICE" not in broken_guarantees([run_start(9.0)], requests, [FAULT_WINDOW])


def test_refused_job_that_runs_is_a_breach_during_a_fault() -> None:
    """Guard against a fault that excuses a run of a job that was refused everywhere."""
    refusals = [caller_request("submit", t, 503) for t in (9.0, 9.5)]
    assert "REFUSED" in broken_guarantees([run_start(10.0)], refusals, [FAULT_WINDOW])
    unanswered = [*refusals, caller_request("submit", 9.8, 0)]
    assert "REFUSED" not in broken_guarantees([run_start(10.0)], unanswered, [FAULT_WINDOW])


def test_allowed_behaviour_is_no_breach() -> None:
    """Guard against a checker that reports what the guarantees allow."""
    second_step_run = [
        run_start(4.0, SECOND_STEP_TASK),
        run_end(5.0, "done", SECOND_STEP_TASK),
        run_acked(5.1, SECOND_STEP_TASK),
    ]
    reported = caller_request("state", 6.0, 200, "completed")
    # LOST remains, because no final state of the job is given.
    assert broken_guarantees([*DONE_RUN, *second_step_run], [ACCEPTED, reported], []) == {"LOST"}
    done_before_expiry = [
        run_start(2.0),
        run_end(3.0, "done"),
        {"t": 3.1, "event": "lapsed", "worker": "w1"},
    ]
    rerun = [*done_before_expiry, run_acked(3.2), run_start(4.0, run=2)]
    assert "TWICE" not in broken_guarantees(rerun, [], [])
    incomplete_gang = [run_start(9.5), run_end(12.0, "alone")]
    assert "GANG" not in broken_guarantees(incomplete_gang, [], [FAULT_WINDOW])
