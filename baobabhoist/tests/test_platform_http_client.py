"""Test that the clients of the platform's services do not hold each other up."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

import attrs
import pytest

from baobabhoist.cell.model import NO_RESOURCES, CommandOutcome, StopTask, TaskKey, WorkerInfo
from baobabhoist.platform.http_client import HttpClient
from baobabhoist.platform.instance import MAX_RENEWALS, make_adapter
from baobabhoist.platform.workers import PlatformWorkerDriver
from baobabhoist.tests.platform_harness import HOST, make_settings

# Longer than the test may take.
WORKER_WAIT_MS = 60_000
TEST_TIMEOUT_S = 10.0
EMPTY_PAGE = b'{"rows":[],"hasMore":false,"schemaVer":7,"nowMs":5}'


async def _answer_with_empty_page(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(EMPTY_PAGE)}\r\n\r\n"
    writer.write(head.encode() + EMPTY_PAGE)
    await writer.drain()
    writer.close()


async def _never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.closing(writer):
        await reader.read()


async def _listen(serve: object) -> str:
    server = await asyncio.start_server(serve, HOST, 0, backlog=2 * MAX_RENEWALS)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def test_silent_workers_hold_up_neither_the_store_nor_commands() -> None:
    """Guard against heartbeats and starts that wait until workers answer their renewals."""

    async def run() -> int:
        adapter = make_adapter(make_settings(6.0, await _listen(_answer_with_empty_page)))
        worker = WorkerInfo("w", "svc", await _listen(_never_answer), "z1", NO_RESOURCES, ())
        renewals = [
            asyncio.ensure_future(adapter.driver.renew(worker, 1, 0, None, WORKER_WAIT_MS))
            for _ in range(MAX_RENEWALS)
        ]
        await asyncio.sleep(0)
        stop = StopTask("w", TaskKey("0" * 16, 0, 0, 0), 1)
        reachable = attrs.evolve(worker, address=await _listen(_answer_with_empty_page))
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                rows = await adapter.store.read("cell")
                response = await adapter.driver.stop(reachable, 1, stop)
        finally:
            for renewal in renewals:
                renewal.cancel()
            driver = cast(PlatformWorkerDriver, adapter.driver)
            driver._renewal_http.close()
            driver._command_http.close()
        assert response.outcome is CommandOutcome.OK
        return rows.version

    assert asyncio.run(run()) == 7


def test_failure_of_an_abandoned_request_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against a log that fills with errors of requests which nobody waits for any more."""

    async def run() -> None:
        received, hang_up = asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            received.set()
            await hang_up.wait()
            writer.close()

        client = HttpClient(10)
        address = await _listen(serve)
        request = asyncio.ensure_future(client.request("GET", address, "/", timeout_s=60.0))
        await received.wait()
        request.cancel()
        hang_up.set()
        following = await client.request("GET", await _listen(_hang_up), "/", timeout_s=60.0)
        assert following.status == 0
        client.close()

    asyncio.run(run())
    assert not caplog.records


async def _hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


class _LostAnswers:
    """Answer the first POST, carry out the second without an answer, and refuse all others."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
                self.bodies.append(await reader.readexactly(length))
                if len(self.bodies) == 2:
                    break
                status = b"200 OK" if len(self.bodies) == 1 else b"503 Unavailable"
                writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()


@pytest.mark.parametrize("body", [{"n": 1}, None])
def test_a_request_is_not_sent_again_by_the_library(body: object) -> None:
    """Guard against a refusal of a second sending that is taken for the answer to the first.

    Callers were told that their jobs never run although the store had them (REFUSED), and tasks
    whose start was carried out were started once more (TWICE).
    """

    async def run() -> list[int]:
        client = HttpClient(10)
        address = await _listen(server.serve)
        answers = [
            await client.request("POST", address, "/", body, timeout_s=TEST_TIMEOUT_S)
            for _ in range(3)
        ]
        client.close()
        return [answer.status for answer in answers]

    server = _LostAnswers()
    assert asyncio.run(run()) == [200, 0, 503]
    assert len(server.bodies) == 3


class _FullServer:
    """Answer on two connections, all requests but those for `/hang`, and reset all others."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        if self.connections > 2:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while b"/hang" not in await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await reader.read()


def test_an_address_that_resets_new_connections_is_reached_over_a_cached_one() -> None:
    """Guard against a worker that no command reaches any more once it takes no new connection.

    After a lost answer each request demanded a new connection, for as long as these failed.
    """

    async def run() -> list[int]:
        client = HttpClient(10)
        address = await _listen(_FullServer().serve)
        hanging = client.request("GET", address, "/hang", timeout_s=1.0)
        answered = client.request("GET", address, "/", timeout_s=TEST_TIMEOUT_S)
        answers = list(await asyncio.gather(hanging, answered))
        for _ in range(2):
            answers.append(await client.request("GET", address, "/", timeout_s=TEST_TIMEOUT_S))
        client.close()
        return [answer.status for answer in answers]

    assert asyncio.run(run()) == [0, 200, 0, 200]


def test_why_a_worker_answers_no_command_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against tasks that wait for a worker of which no line says what its calls meet."""

    async def run() -> None:
        driver = PlatformWorkerDriver(HttpClient(10), HttpClient(10))
        worker = WorkerInfo("w", "svc", await _listen(_hang_up), "z1", NO_RESOURCES, ())
        stop = StopTask("w", TaskKey("0" * 16, 0, 0, 0), 1)
        for _ in range(3):
            await driver.stop(worker, 1, stop)
        driver._renewal_http.close()
        driver._command_http.close()

    asyncio.run(run())
    (record,) = caplog.records
    assert record.message.startswith("worker w leaves commands to stop a run unanswered: ")
