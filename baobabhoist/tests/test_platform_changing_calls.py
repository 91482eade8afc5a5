"""Test that a call which changes something is never sent twice by the HTTP library."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from baobabhoist.cell.model import (
    NO_RESOURCES,
    CommandOutcome,
    StartTask,
    StopTask,
    TaskKey,
    WorkerInfo,
)
from baobabhoist.control.node import PlatformAdapter
from baobabhoist.platform.instance import make_adapter
from baobabhoist.platform.store import PlatformRowStore
from baobabhoist.platform.workers import PlatformWorkerDriver
from baobabhoist.store.row_store import RowKey, RowTransaction, StoreError, StoreUnansweredError
from baobabhoist.tests.platform_harness import HOST, make_settings

TASK = TaskKey("0" * 16, 0, 0, 0)
DEADLINE_MS = 60_000
# Of the calls that the server gets: it answers the first, so that the connection is kept, and
# carries the second out without an answer.
UNANSWERED_CALL = 2
ANSWER = b'{"clockMs":1,"schemaVer":7,"nowMs":5}'

Call = Callable[[PlatformAdapter, WorkerInfo], Awaitable[Any]]


class OverloadedServer:
    """Lose the answer to the second call, and refuse all later ones."""

    def __init__(self) -> None:
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.closing(writer), contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await self._read_call(reader)
                self.calls += 1
                if self.calls == UNANSWERED_CALL:
                    return
                status = b"200 OK" if self.calls < UNANSWERED_CALL else b"503 Unavailable"
                length = str(len(ANSWER)).encode()
                head = b"HTTP/1.1 " + status + b"\r\nContent-Length: " + length + b"\r\n\r\n"
                writer.write(head + ANSWER)

    async def _read_call(self, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))


async def _commit(adapter: PlatformAdapter, worker: WorkerInfo) -> Any:
    try:
        return await adapter.store.commit(RowTransaction(puts={RowKey("jobs", "0", "0"): b"{}"}))
    except StoreError as exc:
        return type(exc)


async def _start(adapter: PlatformAdapter, worker: WorkerInfo) -> Any:
    command = StartTask(worker.worker_id, TASK, 1, "")
    return (await adapter.driver.start(worker, 1, command, DEADLINE_MS)).outcome


async def _stop(adapter: PlatformAdapter, worker: WorkerInfo) -> Any:
    return (await adapter.driver.stop(worker, 1, StopTask(worker.worker_id, TASK, 1))).outcome


async def _renew(adapter: PlatformAdapter, worker: WorkerInfo) -> Any:
    return await adapter.driver.renew(worker, 1, 0, DEADLINE_MS, 0)


def _close(adapter: PlatformAdapter) -> None:
    driver = cast(PlatformWorkerDriver, adapter.driver)
    driver._renewal_http.close()
    driver._command_http.close()
    store = cast(PlatformRowStore, adapter.store)
    store._read_http.close()
    store._write_http.close()


@pytest.mark.parametrize(
    ("call", "unanswered"),
    [
        pytest.param(_commit, StoreUnansweredError, id="a write to the store"),
        pytest.param(_start, CommandOutcome.UNKNOWN, id="a start"),
        pytest.param(_stop, CommandOutcome.UNKNOWN, id="a stop"),
        pytest.param(_renew, CommandOutcome.UNKNOWN, id="a renewal with an acknowledgement"),
    ],
)
def test_a_refusal_never_answers_a_call_that_was_carried_out_before(
    call: Call, unanswered: Any
) -> None:
    """Guard against refused jobs that run (REFUSED) and starts that are repeated (TWICE).

    The library repeated a call on a connection that had ended, and the refusal of the repetition
    counted for both.
    """

    async def run() -> Any:
        listener = await asyncio.start_server(server.serve, HOST, 0)
        address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        adapter = make_adapter(make_settings(6.0, address))
        worker = WorkerInfo("w", "svc", address, "z1", NO_RESOURCES, ())
        await call(adapter, worker)
        result = await call(adapter, worker)
        _close(adapter)
        listener.close()
        return result

    server = OverloadedServer()
    assert asyncio.run(run()) == unanswered
    assert server.calls == UNANSWERED_CALL
