"""Test that an instance answers every call it has read before it exits on SIGTERM."""

from __future__ import annotations

import asyncio

import pytest

from baobabhoist.tests.platform_harness import run_instance

# Leaves a moment between SIGTERM and the exit.
SHORT_GRACE_S = 1.2


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
