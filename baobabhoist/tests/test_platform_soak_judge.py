"""Test that the judge of the platform's soak sees each promise that is broken."""

from __future__ import annotations

import zlib
from typing import Any

import pytest

from baobabhoist.platform.testing.soak_judge import Judge, SubmittedJob, Team

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
SECOND_STEP = f"{JOB}.0.1.0"
SPEC = zlib.crc32(b"spec")
BEGAN = {"event": "limits", "t": 0.0, "acked": 0.0, "limits": {"alpha": 1_000}}


def start(t: float, task: str = TASK, run: int = 1, worker: str = "w1", **changes: Any) -> Any:
    """Return a start in a worker's log."""
    entry = {"t": t, "event": "start", "worker": worker, "task": task, "run": run}
    return {**entry, "spec": SPEC, "checkpoint": "", "mode": "normal", **changes}


def end(t: float, how: str, task: str = TASK, run: int = 1, worker: str = "w1") -> Any:
    """Return an end in a worker's log."""
    return {"t": t, "event": "end", "worker": worker, "task": task, "run": run, "how": how}


def acked(t: float, task: str = TASK, run: int = 1, worker: str = "w1") -> Any:
    """Return an end that was taken note of."""
    return {"t": t, "event": "acked", "worker": worker, "task": task, "run": run}


def call(event: str, t: float, status: int, state: str = "", **changes: Any) -> Any:
    """Return a caller's call."""
    entry = {"t": t, "end": t + 0.1, "event": event, "job": JOB, "instance": "edge-1"}
    return {**entry, "key": "key-alpha", "status": status, "state": state, **changes}


def judged(runs: list[Any], callers: list[Any], driver: list[Any], **changes: Any) -> set[str]:
    """Return the rules that a job of two steps broke."""
    first = {"count": 1, "cpu": 600, "memMb": 100}
    steps = [{**first, **changes}, {**first, "after": [0]}]
    job = SubmittedJob(JOB, "batch", "alpha", steps, SPEC, attempts=2)
    judge = Judge(runs, callers, [BEGAN, *driver], {JOB: job}, {"alpha": Team("alpha", 1_000)})
    judge.check_logs()
    judge.check_completion({})
    return {text.partition(" ")[0] for text in judge.breaches}


TAKEN = call("submit", 1.0, 200)
CANCELLED = call("cancel", 2.0, 200)
WINDOW = {"event": "window", "t": 9.0, "until": 11.0, "fault": "kill"}
DONE = [start(2.0), end(3.0, "done"), acked(3.1)]
BREACHES: dict[str, tuple[str, list[Any], list[Any], list[Any]]] = {
    "two runs at a time": ("TWICE", [start(2.0), start(2.5, run=2, worker="w2")], [], []),
    "started though done": ("TWICE", [*DONE, start(4.0, run=2)], [], []),
    "second step too early": ("ORDER", [start(2.0), start(2.5, SECOND_STEP)], [], []),
    "over the limit": (
        "QUOTA",
        [start(2.0 + n / 10, f"{JOB}.0.0.{n}", worker=f"w{n}") for n in range(4)],
        [],
        [],
    ),
    "too much on a worker": (
        "LIMIT",
        [start(2.0 + n / 10, f"{JOB}.0.0.{n}") for n in range(8)],
        [],
        [],
    ),
    "started after its last attempt": (
        "BUDGET",
        [
            *(start(2.0, run=1), end(3.0, "failed"), acked(3.1)),
            *(start(4.0, run=2), end(5.0, "failed", run=2), acked(5.1, run=2)),
            start(6.0, run=3),
        ],
        [],
        [],
    ),
    "unknown job": ("UNASKED", [start(2.0, "b" * 16 + ".0.0.0")], [], []),
    "another payload": ("UNASKED", [start(2.0, spec=1)], [], []),
    "another task's checkpoint": ("UNASKED", [start(2.0, checkpoint="0" * 16)], [], []),
    "started after its cancellation": ("UNASKED", [start(9.0)], [TAKEN, CANCELLED], []),
    "works on after its cancellation": ("UNASKED", [start(1.5)], [TAKEN, CANCELLED], []),
    "refused and run": ("REFUSED", [start(2.0)], [call("submit", 1.0, 503)], []),
    "unknown key": ("ROUTE", [], [call("submit", 1.0, 200, key="key-of-nobody")], []),
    "revoked key": (
        "CONFIG",
        [],
        [call("submit", 9.0, 200)],
        [{"event": "revoked", "t": 1.0, "key": "key-alpha"}],
    ),
    "alone without a fault": ("GANG", [start(2.0), end(5.0, "alone")], [], []),
    "not known any more": ("LOST", [], [TAKEN, call("state", 9.0, 410)], []),
    "failed without attempts": ("LOST", [], [TAKEN, call("state", 9.0, 200, "failed")], []),
    "cancelled by nobody": ("LOST", [], [TAKEN, call("state", 9.0, 200, "cancelled")], []),
    "never ended": ("LOST", [], [TAKEN], []),
    "completed too early": ("MIXED", DONE, [TAKEN, call("state", 9.0, 200, "completed")], []),
    "cut by a stop": (
        "LOST",
        [],
        [call("submit", 5.0, 0, reason="reset")],
        [{"event": "stop", "t": 5.0, "instance": "edge-1"}],
    ),
    "started on a worker that leaves": (
        "DRAIN",
        [start(5.0)],
        [],
        [{"event": "draining", "t": 1.0, "worker": "w1"}],
    ),
}


@pytest.mark.parametrize("name", BREACHES)
def test_breach_is_seen(name: str) -> None:
    """Guard against a soak that passes whatever happens."""
    rule, runs, callers, driver = BREACHES[name]
    assert rule in judged(runs, callers, driver)


def test_what_is_allowed_is_no_breach() -> None:
    """Guard against a soak that reports what the promises allow."""
    second = [start(4.0, SECOND_STEP), end(5.0, "done", SECOND_STEP), acked(5.1, SECOND_STEP)]
    shown = call("state", 6.0, 200, "completed")
    assert judged([*DONE, *second], [TAKEN, shown], []) == {"LOST"}  # no final state was given
    lapsed = [start(2.0), end(3.0, "done"), {"t": 3.1, "event": "lapsed", "worker": "w1"}]
    again = [*lapsed, acked(3.2), start(4.0, run=2)]
    assert "TWICE" not in judged(again, [], [])
    alone = [start(9.5), end(12.0, "alone")]
    assert "GANG" not in judged(alone, [], [WINDOW])
