"""Make calls and send messages over one WebSocket connection."""

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
from baobabhoist.observability.tasks import create_logged_task
from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import (
    CHUNK_BYTES,
    MAX_MESSAGE_BYTES,
    BodyChunk,
    SendWindow,
    StreamAborted,
    StreamAssembler,
    WindowUpdate,
)

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.5
# A frame holds at most one chunk; the remainder leaves room for the encoding around it.
MAX_FRAME_BYTES = 4 * CHUNK_BYTES
MAX_QUEUED_FRAMES = 256
# An instance of a newer release may send some messages that this one does not know.
MAX_INVALID_MESSAGES = 100

# Options of the websockets library for all connections between processes. Its keepalive closes an
# unresponsive connection, after which a new link is opened.
WEBSOCKET_OPTIONS: dict[str, Any] = {
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_FRAME_BYTES,
    "max_queue": MAX_QUEUED_FRAMES,
    "compression": None,
}

MessageHandler = Callable[[Any], Awaitable[Any | None]]


@attrs.define
class LinkTraffic:
    """Count the bytes of the messages on all links of this process."""

    sent_bytes: int = 0
    received_bytes: int = 0


LINK_TRAFFIC = LinkTraffic()


class Link:
    """Send messages, match replies to calls and pass received messages to a handler."""

    def __init__(self, conn: Connection, codec: Codec, handler: MessageHandler) -> None:
        self._conn = conn
        self._codec = codec
        self._handler = handler
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._correlation_ids = itertools.count(1)
        self._stream_ids = itertools.count(1)
        self._send_windows: dict[int, SendWindow] = {}
        self._assembler = StreamAssembler()
        self._tasks: set[asyncio.Task[None]] = set()
        self._invalid_messages = 0
        self.closed = False

    async def run(self) -> None:
        """Receive messages until the connection ends, then fail the pending calls."""
        try:
            async for data in self._conn:
                if self.closed:
                    break
                LINK_TRAFFIC.received_bytes += len(data)
                self._receive(data if isinstance(data, bytes) else data.encode())
        except ConnectionClosed:
            pass
        finally:
            self.closed = True
            self._fail_pending_calls()
            # The link is part of a cycle of references, which is collected much later.
            self._assembler.discard_all()

    def unfinished_bytes(self) -> int:
        """Return the bytes of the messages of which only a part has arrived."""
        return self._assembler.buffered_bytes

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return its reply.

        Raises MessageNotSentError if nothing was sent, LinkClosedError if the connection ends
        before the reply and TimeoutError after `timeout_s`.
        """
        if self.closed:
            raise MessageNotSentError("the connection is closed; the message was not sent")
        correlation_id = next(self._correlation_ids)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[correlation_id] = fut
        data = self._codec.encode(message, correlation_id)
        try:
            # Sending may wait as well, while the connection carries nothing.
            async with asyncio.timeout(timeout_s):
                await self._send(data)
                return await fut
        except TimeoutError:
            raise TimeoutError("no reply within the timeout") from None
        finally:
            self._pending_calls.pop(correlation_id, None)

    async def notify(self, message: Any) -> None:
        """Send a message without expecting a reply."""
        await self._send(self._codec.encode(message))

    async def close(self) -> None:
        """Close the connection with a closing handshake."""
        await self._conn.close()

    def abort(self) -> None:
        """Close the connection at once, without the handshake that an unresponsive peer delays."""
        self.closed = True
        self._fail_pending_calls()
        self._conn.transport.abort()

    async def _send(self, data: bytes) -> None:
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageTooLargeError(
                f"a message of {len(data)} bytes exceeds the size limit of the protocol"
            )
        if len(data) > CHUNK_BYTES:
            await self._send_chunks(data)
        else:
            await self._send_frame(data)

    async def _send_frame(self, data: bytes) -> None:
        if self.closed:
            raise LinkClosedError("the connection is closed")
        LINK_TRAFFIC.sent_bytes += len(data)
        try:
            await self._conn.send(data)
        except ConnectionClosed as exc:
            raise LinkClosedError("the connection is closed") from exc

    async def _send_chunks(self, data: bytes) -> None:
        stream_id = next(self._stream_ids)
        window = self._send_windows[stream_id] = SendWindow()
        try:
            for offset in range(0, len(data), CHUNK_BYTES):
                part = data[offset : offset + CHUNK_BYTES]
                await window.reserve(len(part))
                is_last = offset + len(part) == len(data)
                chunk = BodyChunk(stream_id, offset, is_last, part)
                await self._send_frame(self._codec.encode(chunk))
        except asyncio.CancelledError:
            self._spawn(self._send_if_open(StreamAborted(stream_id, by_sender=True)))
            raise
        finally:
            del self._send_windows[stream_id]

    async def _send_if_open(self, message: Any, correlation_id: int = 0) -> None:
        try:
            await self._send(self._codec.encode(message, correlation_id))
        except LinkClosedError:
            log.info("connection closed before %s was sent", type(message).__name__)

    def _receive(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except CodecError as exc:
            emit(log, Event.MESSAGE_DISCARDED, detail=exc)
            self._invalid_messages += 1
            if self._invalid_messages > MAX_INVALID_MESSAGES:
                self.abort()
            return
        stream_handler = self._STREAM_HANDLERS.get(type(envelope.message))
        if stream_handler is not None:
            stream_handler(self, envelope.message)
        # A reply carries the negated correlation id of its call, so both ends can number their own
        # calls.
        elif envelope.correlation_id < 0:
            fut = self._pending_calls.get(-envelope.correlation_id)
            if fut is not None and not fut.done():
                fut.set_result(envelope.message)
        else:
            self._spawn(self._handle(envelope.correlation_id, envelope.message))

    def _on_chunk(self, chunk: BodyChunk) -> None:
        result = self._assembler.add(chunk)
        if isinstance(result, bytes):
            self._receive(result)
        else:
            self._spawn(self._send_if_open(result))

    def _on_window_update(self, update: WindowUpdate) -> None:
        window = self._send_windows.get(update.stream)
        if window is not None:
            window.acknowledge(update.taken)

    def _on_stream_aborted(self, aborted: StreamAborted) -> None:
        if aborted.by_sender:
            self._assembler.discard(aborted.stream)
            return
        window = self._send_windows.get(aborted.stream)
        if window is not None:
            window.abort()

    _STREAM_HANDLERS: dict[type, Callable[[Any, Any], None]] = {
        BodyChunk: _on_chunk,
        WindowUpdate: _on_window_update,
        StreamAborted: _on_stream_aborted,
    }

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = create_logged_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, correlation_id: int, message: Any) -> None:
        reply = await self._handler(message)
        if correlation_id and reply is not None:
            await self._send_if_open(reply, -correlation_id)

    def _fail_pending_calls(self) -> None:
        for window in self._send_windows.values():
            window.abort()
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_exception(LinkClosedError("the connection closed before the reply"))
                # If the caller was cancelled, nothing else retrieves the exception, which asyncio
                # would then log.
                fut.exception()
        self._pending_calls.clear()
