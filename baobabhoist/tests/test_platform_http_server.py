"""Test that an instance answers every request completely, over real sockets."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Awaitable, Callable

import pytest

from baobabhoist.control.job_api import JobApi
from baobabhoist.control.row_schema import job_row_key
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.platform import instance as instance_module
from baobabhoist.platform.decode import DEFAULT_MAX_BODY_BYTES
from baobabhoist.platform.http_server import MAX_BODY_BYTES
from baobabhoist.tests.platform_harness import (
    JOB_ID,
    POLL_PAUSE_S,
    CallerConnection,
    Instance,
    run_instance,
)

SHORT_GRACE_S = 0.9


def run_test(
    monkeypatch: pytest.MonkeyPatch, test: Callable[[Instance, CallerConnection], Awaitable[None]]
) -> None:
    """Run a test with an instance and a connection to it."""

    async def run() -> None:
        async with run_instance(monkeypatch, SHORT_GRACE_S) as instance:
            await test(instance, await instance.connect())
            instance.terminate()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("method", "headers", "status"),
    [
        ("PUT", {}, 405),
        ("POST", {"Content_Type": "multipart/form-data; boundary=x"}, 400),
        (
            "POST",
            {"Content_Type": "application/x-www-form-urlencoded", "Content_Encoding": "x"},
            400,
        ),
    ],
)
def test_invalid_request_is_refused_and_not_run(
    monkeypatch: pytest.MonkeyPatch, method: str, headers: dict[str, str], status: int
) -> None:
    """Guard against an unknown outcome, which callers repeat, of a request that is never valid."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        caller.send(method, **headers)
        response = await caller.receive()
        assert (response.status, response.body["outcome"]) == (status, "not_run")
        assert job_row_key(JOB_ID) not in instance.store.rows

    run_test(monkeypatch, test)


def test_oversized_body_is_refused_before_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against an instance that runs out of memory, and cuts all its calls, for one body."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        head = f"POST /q/{JOB_ID} HTTP/1.1\r\nHost: h\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n"
        caller.writer.write(head.encode() + b"\r\n")
        response = await caller.receive()
        assert (response.status, response.body["outcome"]) == (413, "not_run")
        assert await caller.reader.read() == b""

    run_test(monkeypatch, test)


def test_malformed_deadline_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against an internal error for a deadline with digits other than 0 to 9."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        caller.send(X_Deadline_Ms="\N{SUPERSCRIPT TWO}")
        assert (await caller.receive()).status == 200

    run_test(monkeypatch, test)


def test_answer_is_sent_after_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against an unknown outcome of a job that the store accepts late."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        instance.store.job_commits_hang = True
        caller.send(X_Deadline_Ms="1")
        await instance.store.job_commit_started.wait()
        await asyncio.sleep(POLL_PAUSE_S)
        instance.store.job_commits_resume.set()
        assert (await caller.receive()).status == 200

    run_test(monkeypatch, test)


def test_internal_error_is_answered_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against a call that fails without an answer or without a reason in the log."""

    # A benchmark that runs as a test silences the package.
    caplog.set_level(logging.INFO, logger="baobabhoist")

    async def fail(*args: object) -> None:
        raise LookupError("the reason")

    async def test(instance: Instance, caller: CallerConnection) -> None:
        monkeypatch.setattr(instance.node.job_api.job_writer, "store_job", fail)
        caller.send()
        response = await caller.receive()
        assert (response.status, response.body["outcome"]) == (504, "unknown")

    run_test(monkeypatch, test)
    fields = [getattr(record, "baobabhoist_fields", {}) for record in caplog.records]
    assert any("the reason" in str(entry.get("detail")) for entry in fields)


def test_job_is_stored_although_its_caller_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a job that is half submitted, or a crash, because its caller disconnects."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        instance.store.job_commits_hang = True
        caller.send()
        await instance.store.job_commit_started.wait()
        caller.writer.transport.abort()
        instance.store.job_commits_resume.set()
        while job_row_key(JOB_ID) not in instance.store.rows:
            await asyncio.sleep(POLL_PAUSE_S)
        caller = await instance.connect()
        caller.send("GET", body=b"")
        assert (await caller.receive()).body == {"state": "queued"}

    run_test(monkeypatch, test)


def test_pipelined_calls_are_all_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a second request that is dropped when it arrives before the first answer."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        caller.send()
        caller.send("GET", body=b"")
        assert (await caller.receive()).body == {}
        assert (await caller.receive()).body == {"state": "queued"}

    run_test(monkeypatch, test)


def test_reload_leaves_open_calls_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a call that SIGHUP cuts, with a settings file that is missing at that time."""
    reloaded = asyncio.Event()
    reload_settings = instance_module._reload_settings

    def reload_and_tell() -> None:
        reload_settings()
        reloaded.set()

    monkeypatch.setattr(instance_module, "_reload_settings", reload_and_tell)
    monkeypatch.setenv(instance_module.SETTINGS_ENV_VAR, "/nonexistent/settings.yaml")

    async def test(instance: Instance, caller: CallerConnection) -> None:
        instance.store.job_commits_hang = True
        caller.send()
        await instance.store.job_commit_started.wait()
        os.kill(os.getpid(), signal.SIGHUP)
        await reloaded.wait()
        instance.store.job_commits_resume.set()
        response = await caller.receive()
        assert (response.status, response.headers.get("connection")) == (200, None)

    run_test(monkeypatch, test)


def test_hopeless_job_is_answered_429_with_a_time_to_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a refusal that callers take for an outage, or that they retry at once."""

    async def refuse(*_: object) -> Refusal:
        return Refusal(ErrorKind.TEAM_LIMIT, "the job cannot end in time", retry_after_s=4.0)

    async def test(instance: Instance, caller: CallerConnection) -> None:
        monkeypatch.setattr(JobApi, "submit", refuse)
        caller.send()
        response = await caller.receive()
        assert (response.status, response.body["outcome"]) == (429, "not_run")
        assert response.headers["retry-after"] == "4"
        lines = instance.node.metrics.exposition()[0].decode().splitlines()
        refused = [line for line in lines if line.startswith("baobabhoist_refused_jobs_total{")]
        assert [line.split()[-1] for line in refused] == ["1"]
        assert 'reason="team_limit"' in refused[0]

    run_test(monkeypatch, test)


@pytest.mark.parametrize(
    ("path", "key", "size", "status"),
    [
        (f"/q/{JOB_ID}", "wrong", 100_000, 401),
        (f"/other/{JOB_ID}", "k", 100_000, 404),
        (f"/q/{JOB_ID}", "k", DEFAULT_MAX_BODY_BYTES + 1, 413),
    ],
)
def test_call_is_refused_before_its_body(
    monkeypatch: pytest.MonkeyPatch, path: str, key: str, size: int, status: int
) -> None:
    """Guard against bodies that are held in memory although their calls cannot be served."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Credential: {key}\r\nContent-Length: {size}"
        caller.writer.write(head.encode() + b"\r\n\r\nx")
        response = await caller.receive()
        assert (response.status, response.body["outcome"]) == (status, "not_run")

    run_test(monkeypatch, test)


def test_stopping_instance_refuses_a_call_before_its_body(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against bodies that a stopping instance reads and then refuses."""

    async def test(instance: Instance, caller: CallerConnection) -> None:
        instance.terminate()
        await asyncio.sleep(POLL_PAUSE_S)
        head = f"POST /q/{JOB_ID} HTTP/1.1\r\nHost: h\r\nX-Credential: k\r\nContent-Length: 100000"
        caller.writer.write(head.encode() + b"\r\n\r\nx")
        response = await caller.receive()
        assert (response.status, response.headers["retry-after"]) == (503, "0")
        assert response.headers["connection"] == "close"

    run_test(monkeypatch, test)
