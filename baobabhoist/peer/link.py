"""Own one WebSocket connection and correlate the calls on it."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from baobabhoist.errors import (
    CodecError,
    LinkClosedError,
    MessageNotSentError,
    MessageTooLargeError,
)
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import (
    CHUNK_BYTES,
    MAX_MESSAGE_BYTES,
    Assembly,
    BodyChunk,
    SendWindow,
    StreamAborted,
    WindowUpdate,
)

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.5
# A frame holds one chunk at most; the rest is room for the fields around it.
MAX_FRAME_BYTES = 4 * CHUNK_BYTES
READ_AHEAD_FRAMES = 256

# Settings of the websockets library for every connection between processes. Its keepalive
# closes a connection that has gone silent, so that the link is replaced by a new one.
WEBSOCKET_OPTIONS: dict[str, Any] = {
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_FRAME_BYTES,
    "max_queue": READ_AHEAD_FRAMES,
    "compression": None,
}

Handler = Callable[[Any], Awaitable[Any | None]]


@attrs.define
class Traffic:
    """Count the bytes of messages on all links of this process."""

    sent_bytes: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


class Link:
    """Send calls, match replies to them and pass what arrives to a handler."""

    def __init__(self, conn: Connection, codec: Codec, handler: Handler) -> None:
        self._conn = conn
        self._codec = codec
        self._handler = handler
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._ids = itertools.count(1)
        self._streams = itertools.count(1)
        self._windows: dict[int, SendWindow] = {}
        self._assembly = Assembly()
        self._tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    async def run(self) -> None:
        """Read until the connection ends, then fail the outstanding calls."""
        try:
            async for data in self._conn:
                TRAFFIC.received_bytes += len(data)
                self._receive(data if isinstance(data, bytes) else data.encode())
        except ConnectionClosed:
            pass
        finally:
            self.closed = True
            self._fail_pending()

    async def call(self, message: Any, deadline_s: float) -> Any:
        """Send a message and return its reply; `deadline_s` is the time left, in seconds.

        Raises MessageNotSentError when nothing was sent, LinkClosedError when the connection ends
        and TimeoutError at the deadline.
        """
        if self.closed:
            raise MessageNotSentError("the connection is closed")
        correlation = next(self._ids)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = fut
        data = self._codec.encode(message, correlation)
        if len(data) > CHUNK_BYTES:
            return await self._call_large(data, correlation, fut, deadline_s)
        # A timer on the future costs less than a timeout around the two awaits.
        timer = asyncio.get_running_loop().call_later(max(0.0, deadline_s), _expire, fut)
        try:
            await self._send_frame(data)
            return await fut
        finally:
            timer.cancel()
            self._pending.pop(correlation, None)

    async def _call_large(
        self, data: bytes, correlation: int, fut: asyncio.Future[Any], deadline_s: float
    ) -> Any:
        try:
            async with asyncio.timeout(deadline_s):
                await self._send(data)
                return await fut
        finally:
            self._pending.pop(correlation, None)

    async def notify(self, message: Any) -> None:
        """Send a message that has no reply."""
        await self._send(self._codec.encode(message))

    async def close(self) -> None:
        """Close the connection."""
        await self._conn.close()

    def abort(self) -> None:
        """End the connection at once, without a closing handshake that a silent peer delays."""
        self.closed = True
        self._fail_pending()
        self._conn.transport.abort()

    async def _send(self, data: bytes) -> None:
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageTooLargeError(f"a message of {len(data)} bytes is too large to send")
        if len(data) > CHUNK_BYTES:
            await self._send_chunks(data)
        else:
            await self._send_frame(data)

    async def _send_frame(self, data: bytes) -> None:
        TRAFFIC.sent_bytes += len(data)
        try:
            await self._conn.send(data)
        except ConnectionClosed as exc:
            raise LinkClosedError("the connection is closed") from exc

    async def _send_chunks(self, data: bytes) -> None:
        stream = next(self._streams)
        window = self._windows[stream] = SendWindow()
        try:
            for offset in range(0, len(data), CHUNK_BYTES):
                piece = data[offset : offset + CHUNK_BYTES]
                await window.reserve(len(piece))
                last = offset + len(piece) == len(data)
                chunk = BodyChunk(stream, offset, last, piece)
                await self._send_frame(self._codec.encode(chunk))
        except asyncio.CancelledError:
            self._spawn(self._send_quietly(StreamAborted(stream, by_sender=True)))
            raise
        finally:
            del self._windows[stream]

    async def _send_quietly(self, message: Any, correlation: int = 0) -> None:
        try:
            await self._send(self._codec.encode(message, correlation))
        except LinkClosedError:
            log.info("the connection closed before %s was sent", type(message).__name__)

    def _receive(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except CodecError as exc:
            emit(log, Event.MESSAGE_DISCARDED, detail=exc)
            return
        handle = self._STREAM_HANDLERS.get(type(envelope.message))
        if handle is not None:
            handle(self, envelope.message)
        # Replies carry the negated id of the call, so both ends can number their own calls.
        elif envelope.correlation < 0:
            fut = self._pending.get(-envelope.correlation)
            if fut is not None and not fut.done():
                fut.set_result(envelope.message)
        else:
            self._spawn(self._handle(envelope.correlation, envelope.message))

    def _on_chunk(self, chunk: BodyChunk) -> None:
        taken = self._assembly.add(chunk)
        if isinstance(taken, bytes):
            self._receive(taken)
        else:
            self._spawn(self._send_quietly(taken))

    def _on_window(self, update: WindowUpdate) -> None:
        window = self._windows.get(update.stream)
        if window is not None:
            window.confirm(update.taken)

    def _on_aborted(self, aborted: StreamAborted) -> None:
        if aborted.by_sender:
            self._assembly.drop(aborted.stream)
            return
        window = self._windows.get(aborted.stream)
        if window is not None:
            window.abort()

    _STREAM_HANDLERS: dict[type, Callable[[Any, Any], None]] = {
        BodyChunk: _on_chunk,
        WindowUpdate: _on_window,
        StreamAborted: _on_aborted,
    }

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, correlation: int, message: Any) -> None:
        reply = await self._handler(message)
        if correlation and reply is not None:
            await self._send_quietly(reply, -correlation)

    def _fail_pending(self) -> None:
        for window in self._windows.values():
            window.abort()
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(LinkClosedError("the connection ended before the reply"))
                # Whoever waited may have been cancelled, and then nobody reads this.
                fut.exception()
        self._pending.clear()


def _expire(fut: asyncio.Future[Any]) -> None:
    if not fut.done():
        fut.set_exception(TimeoutError("no reply before the deadline"))
