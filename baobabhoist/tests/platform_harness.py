"""Run one instance of the platform in this process, with an in-memory store and real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
import pytest

from baobabhoist.control.node import Node, PlatformAdapter
from baobabhoist.control.row_schema import JOBS_TABLE, OWNER_ROW_KEY
from baobabhoist.control.settings import BoundSettings, NodeSettings, StoreSettings
from baobabhoist.platform import instance
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowSet,
    RowTransaction,
)
from baobabhoist.testing.cluster import free_port
from baobabhoist.testing.memory_row_store import MemoryRowStore

HOST = "127.0.0.1"
POLL_PAUSE_S = 0.02
# Fails a test whose instance neither answers nor stops.
TEST_TIMEOUT_S = 8.0
JOB_ID = "0123456789abcdef"
JOB = orjson.dumps({"taskSpec": "x", "steps": [{"count": 1, "cpu": 10}]})
CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [{"name": "q", "service": "svc", "hostname": "h", "prefix": "/q/"}],
    "tenants": [{"name": "team", "apiKeys": ["k"]}],
}


@attrs.define
class HangingStore(MemoryRowStore):
    """Let commits hang on command; polls pause, so that they do not occupy the event loop."""

    job_commits_hang: bool = False
    release_hangs: bool = False
    job_commit_started: asyncio.Event = attrs.Factory(asyncio.Event)
    job_commits_resume: asyncio.Event = attrs.Factory(asyncio.Event)

    async def poll_changes(
        self, table: str, after_version: int, wait_ms: int, max_bytes: int = 0
    ) -> RowSet:
        """Return what changed after a short pause."""
        await asyncio.sleep(POLL_PAUSE_S)
        return await super().poll_changes(table, after_version, wait_ms, max_bytes)

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction, or hang."""
        if any(key.table == JOBS_TABLE for key in txn.puts):
            self.job_commit_started.set()
            if self.job_commits_hang:
                await self.job_commits_resume.wait()
        if self.release_hangs and OWNER_ROW_KEY in txn.puts:
            await asyncio.Event().wait()
        return await super().commit(txn)


class NoWorkers:
    """Stand in for the worker driver and the adviser, which are never called."""


@attrs.define
class Response:
    """Hold a complete HTTP response and the body's JSON."""

    status: int
    headers: dict[str, str]
    body: Any


@attrs.define
class CallerConnection:
    """Send calls over one keep-alive connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, method: str = "POST", body: bytes = JOB, **headers: str) -> None:
        """Send a request without waiting for its response."""
        lines = [
            f"{method} /q/{JOB_ID} HTTP/1.1",
            "Host: h",
            "X-Credential: k",
            f"Content-Length: {len(body)}",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        self.writer.write("\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body)

    async def receive(self) -> Response:
        """Return the next response; raises IncompleteReadError if the connection ends first."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1")
        status_line, *header_lines = head.strip().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (h.partition(":") for h in header_lines)}
        content = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return Response(int(status_line.split()[1]), headers, orjson.loads(content or b"null"))


@attrs.define
class Instance:
    """Hold a running instance."""

    node: Node
    store: HangingStore
    serving: asyncio.Task[None]

    async def connect(self) -> CallerConnection:
        """Open a connection to the address for callers."""
        host, _, port = self.node.cfg.caller_address.rpartition(":")
        return CallerConnection(*await asyncio.open_connection(host, int(port)))

    def terminate(self) -> None:
        """Send SIGTERM to the instance."""
        os.kill(os.getpid(), signal.SIGTERM)


def make_settings(grace_s: float, store_address: str = "") -> NodeSettings:
    """Return the settings of an instance on loopback."""
    return NodeSettings(
        instance_id="edge-1",
        data_centre="z1",
        host=HOST,
        caller_address=f"{HOST}:{free_port()}",
        ready_address=f"{HOST}:{free_port()}",
        peer_port=free_port(),
        metrics_port=free_port(),
        store=StoreSettings(store_address or f"{HOST}:{free_port()}", 65_536),
        bounds=BoundSettings(6_000, 5_000, grace_s, 120, 2_000),
        cpu_share=1.0,
        cpu_speed=1.0,
        link_mbps=1_000.0,
    )


def _may_start_tasks(node: Node) -> bool:
    owner = node.owner_router.local_owner
    return owner is not None and owner._may_start()


@contextlib.asynccontextmanager
async def run_instance(monkeypatch: pytest.MonkeyPatch, grace_s: float) -> AsyncIterator[Instance]:
    """Run an instance until SIGTERM; it may start tasks once this context is entered."""
    store = HangingStore()
    config_key = RowKey(PlatformDecoder.tables.operator, "", PlatformDecoder.tables.config_key)
    store.apply(RowTransaction({}, {config_key: orjson.dumps(CONFIG)}))
    adapter = PlatformAdapter(store, NoWorkers(), NoWorkers(), PlatformDecoder())
    node = Node(make_settings(grace_s), adapter)
    monkeypatch.setattr(instance, "make_node", lambda cfg: node)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        serving = asyncio.create_task(instance.serve(node.cfg, lambda: 0))
        while not (node.is_ready() and _may_start_tasks(node)):
            await asyncio.sleep(POLL_PAUSE_S)
        yield Instance(node, store, serving)
        await serving
