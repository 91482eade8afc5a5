"""Test reads from the store over links that need longer than a timeout for the whole answer."""

from __future__ import annotations

import asyncio
import base64
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import orjson
import pytest

from baobabhoist.platform import store as platform_store
from baobabhoist.platform.http_client import HttpClient
from baobabhoist.platform.store import PlatformRowStore
from baobabhoist.store.row_store import (
    BacklogTooLargeError,
    RowsCommitted,
    RowSet,
    RowTransaction,
    StoreUnansweredError,
)
from baobabhoist.tests.platform_harness import HOST

Result = TypeVar("Result")

TIMEOUT_S = 1.0
PART_INTERVAL_S = 0.1
# The whole answer takes twice the timeout of a request.
PARTS = 20
VALUE = b"v" * 60_000
MAX_REQUESTS = 4
# Fails a test that would wait for ever.
TEST_TIMEOUT_S = 20.0

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform_store, "REQUEST_TIMEOUT_S", TIMEOUT_S)


def _answer(values: Iterable[bytes] = (VALUE,), version: int = 7) -> bytes:
    rows = [
        {"table": "op", "key": "config", "schemaVer": version, "value": base64.b64encode(value)}
        for value in values
    ]
    body = {"rows": rows, "schemaVer": version, "nowMs": 5, "hasMore": False}
    data = orjson.dumps(body, default=bytes.decode)
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def _slow_link(answer: bytes, parts: int = PARTS) -> Serve:
    """Return a server that sends an answer in parts, and only the first `parts` of them."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        size = len(answer) // PARTS + 1
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            for first in range(0, parts * size, size):
                writer.write(answer[first : first + size])
                await writer.drain()
                await asyncio.sleep(PART_INTERVAL_S)
            await reader.read()
        writer.close()

    return serve


def _run(serve: Serve, call: Callable[[PlatformRowStore], Awaitable[Result]]) -> Result:
    async def run() -> Result:
        server = await asyncio.start_server(serve, HOST, 0)
        http = HttpClient(MAX_REQUESTS)
        port = server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await call(PlatformRowStore(http, HttpClient(1), f"{HOST}:{port}"))
        finally:
            http.close()
            server.close()

    return asyncio.run(run())


def test_row_that_takes_longer_than_a_timeout_is_read() -> None:
    """Guard against a configuration that a slow link can carry and that is asked for for ever."""
    rows = _run(_slow_link(_answer()), lambda store: store.read("op"))
    assert rows.rows[0].value == VALUE


def test_change_that_takes_longer_than_a_timeout_is_read() -> None:
    """Guard against a change of the configuration that slow links never get in force."""

    async def poll(store: PlatformRowStore) -> RowSet:
        return await store.poll_changes("op", 3, 0)

    assert _run(_slow_link(_answer()), poll).rows[0].value == VALUE


@pytest.mark.parametrize("parts", [0, 1, PARTS // 2])
def test_answer_that_stops_arriving_is_given_up(parts: int) -> None:
    """Guard against a read that waits for ever for a connection that carries nothing any more."""

    async def read(store: PlatformRowStore) -> None:
        with pytest.raises(StoreUnansweredError):
            await store.read("op")

    _run(_slow_link(_answer(), parts), read)


def test_changes_larger_than_the_limit_are_not_received() -> None:
    """Guard against a slow link that is full of versions which nobody needs any more."""
    answer = _answer([VALUE] * 8)

    async def poll(store: PlatformRowStore) -> None:
        with pytest.raises(BacklogTooLargeError):
            await store.poll_changes("op", 3, 0, max_bytes=2 * len(VALUE))

    # Nothing but the head and a first part is ever sent.
    _run(_slow_link(answer, parts=1), poll)


def test_abandoned_reads_end_and_do_not_hold_up_others() -> None:
    """Guard against connections that are all in use for reads which nobody waits for any more."""

    async def read_again(store: PlatformRowStore) -> RowSet:
        for _ in range(3):
            reads = [asyncio.ensure_future(store.read("op")) for _ in range(3)]
            await asyncio.wait(reads, timeout=PART_INTERVAL_S)
            for read in reads:
                read.cancel()
        await asyncio.sleep(PART_INTERVAL_S)
        assert not store._read_http._client._requests
        assert len(store._read_http._client._free_list) == MAX_REQUESTS
        return await store.read("op")

    assert _run(_slow_link(_answer()), read_again).rows[0].value == VALUE


def test_write_does_not_wait_until_reads_end() -> None:
    """Guard against an owner that loses the cell because its heartbeats wait for long reads."""
    answer = _answer()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST"):
            writer.write(answer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.read()
        writer.close()

    async def write(store: PlatformRowStore) -> None:
        reads = [asyncio.ensure_future(store.read("op")) for _ in range(MAX_REQUESTS)]
        await asyncio.sleep(0)
        outcome = await store.commit(RowTransaction())
        assert isinstance(outcome, RowsCommitted)
        assert not any(read.done() for read in reads)
        for read in reads:
            read.cancel()

    _run(serve, write)
