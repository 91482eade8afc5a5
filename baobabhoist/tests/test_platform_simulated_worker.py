"""Test how the simulated workers of the platform's soak carry out starts that arrive late."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.testing import bind_unused_port
from tornado.web import Application

from baobabhoist.platform.testing import workers
from baobabhoist.platform.testing.simulated_worker import Worker, WorkerHub

TASK = f"{'a' * 16}.0.0.0"
START = {
    "task": TASK,
    "runId": 1,
    "taskSpec": json.dumps({"plan": {"run_ms": 1_000.0}}),
    "deadlineMs": 60_000,
    "fencingToken": 7,
}


def make_worker(folder: Path) -> Worker:
    """Return a worker whose hub logs to a folder."""
    hub = WorkerHub(folder / "runs.jsonl", "")
    worker = Worker("w1", 0, 0, "svc", (), {}, hub, "z1")
    hub.workers["w1"] = worker
    return worker


def logged(worker: Worker, event: str) -> list[dict[str, Any]]:
    """Return the entries of an event in the workers' log."""
    if not worker.hub.log_path.exists():
        return []
    lines = worker.hub.log_path.read_text().splitlines()
    return [entry for entry in map(json.loads, lines) if entry["event"] == event]


def test_a_late_start_runs_on_the_process_after_a_crash(tmp_path: Path) -> None:
    """Guard against stand-ins that lose a start on the network when a worker restarts."""
    worker = make_worker(tmp_path)
    worker.accept_token(9)
    worker.crash()
    worker.receive_late_start("w1", START)
    assert list(worker.runs) == [TASK]
    assert [entry["late"] for entry in logged(worker, "start")] == [True]
    assert [entry["status"] for entry in logged(worker, "late_start")] == [200]


def test_a_late_start_is_refused_after_a_call_with_a_higher_token(tmp_path: Path) -> None:
    """Guard against late starts that escape the check of the fencing token."""
    worker = make_worker(tmp_path)
    worker.crash()
    worker.accept_token(8)
    worker.receive_late_start("w1", START)
    assert worker.runs == {}
    assert [entry["reason"] for entry in logged(worker, "late_start")] == ["fence"]


def test_a_late_start_for_another_worker_is_refused(tmp_path: Path) -> None:
    """Guard against late starts that escape the check of the intended worker."""
    worker = make_worker(tmp_path)
    worker.receive_late_start("w2", START)
    assert worker.runs == {}
    assert [entry["status"] for entry in logged(worker, "late_start")] == [421]


def test_a_late_start_does_not_reach_a_worker_that_is_gone(tmp_path: Path) -> None:
    """Guard against runs on a worker that has left the platform."""
    worker = make_worker(tmp_path)
    worker.gone = True
    worker.receive_late_start("w1", START)
    assert worker.runs == {}


def test_a_start_in_time_is_not_logged_as_late(tmp_path: Path) -> None:
    """Guard against exemptions for late starts that cover other starts as well."""
    worker = make_worker(tmp_path)
    worker.start_run(START)
    assert [entry["late"] for entry in logged(worker, "start")] == [False]


class CrashingHub(WorkerHub):
    """Crash the worker as soon as one of its starts waits on the network."""

    def log(self, event: str, **fields: Any) -> None:
        """Append a line to the log."""
        super().log(event, **fields)
        if event == "start_delayed":
            self.workers["w1"].crash()


async def send_start_without_response(worker: Worker) -> None:
    """Send a start over HTTP and expect that it gets no response."""
    server = Application([(r"/-/run-start", workers.WorkerCommandHandler, {"worker": worker})])
    socket, port = bind_unused_port()
    listener = HTTPServer(server)
    listener.add_socket(socket)
    url, headers = f"http://127.0.0.1:{port}/-/run-start", {"X-Target-Instance": "w1"}
    with pytest.raises(HTTPStreamClosedError):
        await AsyncHTTPClient().fetch(url, method="POST", headers=headers, body=json.dumps(START))
    listener.stop()


def test_a_delayed_start_gets_no_response_and_outlives_a_crash(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a mode `delay_starts` that answers, or whose starts end with a process."""
    monkeypatch.setattr(workers, "LATE_COMMAND_MIN_S", 0.0)
    monkeypatch.setattr(workers, "LATE_COMMAND_MAX_S", 0.1)
    worker = make_worker(tmp_path)
    worker.hub = CrashingHub(tmp_path / "runs.jsonl", "", {"w1": worker})
    worker.mode = "delay_starts"
    asyncio.run(send_start_without_response(worker))
    assert list(worker.runs) == [TASK]
    assert [entry["worker"] for entry in logged(worker, "crashed")] == ["w1"]
