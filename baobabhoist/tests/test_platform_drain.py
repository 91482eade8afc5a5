"""Test that an instance answers every call it has read before it exits on SIGTERM."""

from __future__ import annotations

import asyncio

import pytest

from baobabhoist.tests.platform_harness import run_instance

# Leaves a moment between SIGTERM and the exit.
SHORT_GRACE_S = 1.2
# Leaves time for calls that arrive after SIGTERM.
LONG_GRACE_S = 3.0


def test_open_call_is_answered_before_the_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a submission that was read whole and whose connection closes unanswered."""

    async def run() -> None:
        async with run_instance(monkeypatch, SHORT_GRACE_S) as instance:
            instance.store.job_commits_hang = True
            caller = await instance.connect()
            caller.send()
            await instance.store.job_commit_started.wait()
            instance.terminate()
            response = await caller.receive()
            assert (response.status, response.body["outcome"]) == (504, "unknown")

    asyncio.run(run())


def test_release_that_hangs_does_not_delay_the_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against calls cut by SIGKILL because the store is slow to release the cell."""

    async def run() -> None:
        async with run_instance(monkeypatch, SHORT_GRACE_S) as instance:
            instance.store.job_commits_hang = True
            instance.store.release_hangs = True
            caller = await instance.connect()
            caller.send()
            await instance.store.job_commit_started.wait()
            instance.terminate()
            assert (await caller.receive()).status == 504
            assert await caller.reader.read() == b""

    asyncio.run(run())


def test_answers_during_a_drain_close_their_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against callers that keep using an open connection until the process exits."""

    async def run() -> None:
        async with run_instance(monkeypatch, SHORT_GRACE_S) as instance:
            instance.store.job_commits_hang = True
            caller = await instance.connect()
            caller.send()
            await instance.store.job_commit_started.wait()
            instance.terminate()
            while not instance.node._election.is_draining:
                await asyncio.sleep(0)
            instance.store.job_commits_resume.set()
            response = await caller.receive()
            assert (response.status, response.headers.get("connection")) == (200, "close")
            assert await caller.reader.read() == b""

    asyncio.run(run())


def test_call_that_arrives_too_late_is_refused_unsent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against an unknown outcome of a call that arrives just before the exit."""

    async def run() -> None:
        async with run_instance(monkeypatch, SHORT_GRACE_S) as instance:
            caller = await instance.connect()
            instance.terminate()
            while not instance.node._election.is_draining:
                await asyncio.sleep(0)
            caller.send()
            response = await caller.receive()
            assert (response.status, response.body["outcome"]) == (503, "not_run")
            assert response.headers["retry-after"] == "0"
            assert response.headers["connection"] == "close"
            assert not instance.store.job_commit_started.is_set()

    asyncio.run(run())


def test_idle_connection_stays_open_for_a_call_until_the_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a request that is cut because it was on its way when the drain began."""

    async def run() -> None:
        async with run_instance(monkeypatch, LONG_GRACE_S) as instance:
            caller, idle_caller = await instance.connect(), await instance.connect()
            instance.terminate()
            while not instance.node._election.is_draining:
                await asyncio.sleep(0)
            caller.send()
            response = await caller.receive()
            assert (response.status, response.headers.get("connection")) == (200, "close")
            assert await idle_caller.reader.read() == b""

    asyncio.run(run())
