"""Serve JSON over HTTP/1.1, and call such servers; a channel may be left silent or be reset."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

# What a handler returns in place of an answer.
SILENT = "silent"  # The channel stays open and delivers nothing further.
RESET = "reset"

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class Call:
    """Hold one request."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers, self.raw = headers, body

    @property
    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.raw) if self.raw else {}


Handler = Callable[[Call], Awaitable[Any]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Listen at one address; `close` ends it as a crash does: all channels are reset."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host, self.port, self.handler = host, port, handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """End as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            _reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Call(method, target, headers, body))
                if answer == SILENT:
                    await asyncio.Event().wait()
                if answer == RESET:
                    _reset(writer)
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any, dict[str, str]]:
    """Send one request over a new channel; the status is 0 if there is no whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            sent = {"Host": address, "Content-Length": str(len(data)), **(headers or {})}
            if data:
                sent["Content-Type"] = "application/json"
            lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + data)
            first, got = await _read_head(reader)
            raw = await reader.readexactly(int(got.get("content-length", "0")))
            return int(first.split(" ")[1]), json.loads(raw) if raw else None, got
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, {}
    finally:
        if writer is not None:
            writer.close()
