"""Serve and send HTTP/1.1 with the standard library only."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

MAX_BODY_BYTES = 8 << 20


class Request:
    """Hold one request of a connection."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers, self.body = headers, body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


class Channel:
    """Hold one accepted connection; `request` is the one that is being answered."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.request: Request | None = None

    def reset(self) -> None:
        """Close the connection with a reset, unless it is closed already."""
        if self.writer.transport.is_closing():
            return
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class NoAnswerError(Exception):
    """End a connection without an answer."""


Answer = tuple[int, Any]
Handler = Callable[[Channel, Request], Awaitable[Answer]]


class Server:
    """Serve requests on a loopback address; `handler` may raise NoAnswerError."""

    def __init__(self, handler: Handler) -> None:
        self.channels: set[Channel] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._address = ("127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{self._address[0]}:{self._address[1]}"

    async def start(self) -> None:
        """Listen on a free port, or on the same one as before."""
        host, port = self._address
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_BODY_BYTES, backlog=512
        )
        self._address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for channel in list(self.channels):
            channel.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while True:
                channel.request = None
                request = await read_request(reader)
                if request is None:
                    return
                channel.request = request
                status, body = await self._handler(channel, request)
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except NoAnswerError:
            channel.reset()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(channel)
            if not writer.transport.is_closing():
                writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def send(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], Any]:
    """Send one request over a connection of its own; the status is 0 without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _send(address, method, path, body, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, None


async def _send(
    address: str, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, dict[str, str], Any]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_BODY_BYTES)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in {"Host": address, **headers}.items()]
        if data:
            lines.append("Content-Type: application/json")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        got = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            got[name.strip().lower()] = value.strip()
        length = int(got.get("content-length", "0") or 0)
        raw = await reader.readexactly(length) if length else b""
        return status, got, json.loads(raw) if raw else None
    finally:
        writer.close()
