"""Own one WebSocket connection and correlate the calls on it."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from baobabhoist.errors import CodecError, LinkClosedError
from baobabhoist.peer.codec import Codec

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 1 << 24

# Settings of the websockets library for every connection between processes. Its keepalive
# closes a connection that has gone silent, so that the link is replaced by a new one.
WEBSOCKET_OPTIONS: dict[str, Any] = {
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_MESSAGE_BYTES,
    "compression": None,
}

Handler = Callable[[Any], Awaitable[Any | None]]


class Link:
    """Send calls, match replies to them and pass what arrives to a handler."""

    def __init__(self, conn: Connection, codec: Codec, handler: Handler) -> None:
        self._conn = conn
        self._codec = codec
        self._handler = handler
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    async def run(self) -> None:
        """Read until the connection ends, then fail the outstanding calls."""
        try:
            async for data in self._conn:
                self._receive(data if isinstance(data, bytes) else data.encode())
        except ConnectionClosed:
            pass
        finally:
            self.closed = True
            self._fail_pending()

    async def call(self, message: Any, deadline_s: float) -> Any:
        """Send a message and return its reply; `deadline_s` is the time left, in seconds.

        Raises LinkClosedError when the connection ends and TimeoutError at the deadline.
        """
        correlation = next(self._ids)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = fut
        try:
            async with asyncio.timeout(deadline_s):
                await self._send(self._codec.encode(message, correlation))
                return await fut
        finally:
            self._pending.pop(correlation, None)

    async def notify(self, message: Any) -> None:
        """Send a message that has no reply."""
        await self._send(self._codec.encode(message))

    async def close(self) -> None:
        """Close the connection."""
        await self._conn.close()

    async def _send(self, data: bytes) -> None:
        try:
            await self._conn.send(data)
        except ConnectionClosed as exc:
            raise LinkClosedError("the connection is closed") from exc

    def _receive(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except CodecError as exc:
            log.warning("discarded a message: %s", exc)
            return
        # Replies carry the negated id of the call, so both ends can number their own calls.
        if envelope.correlation < 0:
            fut = self._pending.get(-envelope.correlation)
            if fut is not None and not fut.done():
                fut.set_result(envelope.message)
            return
        task = asyncio.create_task(self._handle(envelope.correlation, envelope.message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, correlation: int, message: Any) -> None:
        reply = await self._handler(message)
        if correlation and reply is not None:
            try:
                await self._send(self._codec.encode(reply, -correlation))
            except LinkClosedError:
                log.info("the connection closed before a reply was sent")

    def _fail_pending(self) -> None:
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(LinkClosedError("the connection ended before the reply"))
        self._pending.clear()
