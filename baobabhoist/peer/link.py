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
from baobabhoist.peer.codec import Codec, Envelope
from baobabhoist.peer.flow_control import LinkWindow, SendWindow
from baobabhoist.peer.pending_call import PendingCall
from baobabhoist.peer.streams import (
    CHUNK_BYTES,
    MAX_MESSAGE_BYTES,
    BodyChunk,
    StreamAborted,
    StreamAssembler,
    WindowUpdate,
)

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.5
# Interval of the announcements of a reply that is not ready yet.
ANNOUNCE_INTERVAL_S = 0.2
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

    def __init__(
        self,
        conn: Connection,
        codec: Codec,
        handler: MessageHandler,
        slow_calls: tuple[type, ...] = (),
    ) -> None:
        self._conn = conn
        self._codec = codec
        self._handler = handler
        # The calls whose replies are announced while they are being handled.
        self._slow_calls = slow_calls
        self._pending_calls: dict[int, PendingCall] = {}
        self._correlation_ids = itertools.count(1)
        self._stream_ids = itertools.count(1)
        self._link_window = LinkWindow()
        # Also of streams that were sent and are not acknowledged yet.
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

    def expect_bandwidth(self, mbps: float) -> None:
        """Set the bandwidth of the slower end's machine; 0 is not known."""
        self._link_window.expect_bandwidth(mbps)

    async def call(self, message: Any, timeout_s: float, idle_timeout_s: float = 0.0) -> Any:
        """Send a message and return its reply.

        `timeout_s` bounds the whole call. With an `idle_timeout_s` it bounds the time until the
        reply begins, counted from the last part of the message that arrived, and the reply may
        take as long as parts of it keep arriving.

        Raises MessageNotSentError if nothing was sent, LinkClosedError if the connection ends
        before the reply and TimeoutError if a time has passed.
        """
        if self.closed:
            raise MessageNotSentError("the connection is closed; the message was not sent")
        correlation_id = next(self._correlation_ids)
        call = self._pending_calls[correlation_id] = PendingCall(timeout_s, idle_timeout_s)
        try:
            # Sending may wait as well, while the connection carries nothing.
            async with call.timeout:
                await self._send(message, correlation_id)
                return await call.reply
        except TimeoutError:
            raise TimeoutError("no reply within the timeout") from None
        finally:
            del self._pending_calls[correlation_id]

    async def notify(self, message: Any) -> None:
        """Send a message without expecting a reply."""
        await self._send(message)

    async def close(self) -> None:
        """Close the connection with a closing handshake."""
        await self._conn.close()

    def abort(self) -> None:
        """Close the connection at once, without the handshake that an unresponsive peer delays."""
        self.closed = True
        self._fail_pending_calls()
        self._conn.transport.abort()

    async def _send(self, message: Any, correlation_id: int = 0) -> None:
        data = self._codec.encode(message, correlation_id)
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageTooLargeError(
                f"a message of {len(data)} bytes exceeds the size limit of the protocol"
            )
        if len(data) > CHUNK_BYTES:
            await self._send_chunks(data, correlation_id)
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

    async def _send_chunks(self, data: bytes, correlation_id: int) -> None:
        stream_id = next(self._stream_ids)
        window = self._send_windows[stream_id] = SendWindow(self._link_window, correlation_id)
        offset = 0
        try:
            while offset < len(data):
                part = data[offset : offset + self._link_window.chunk_bytes]
                await window.reserve(len(part))
                is_last = offset + len(part) == len(data)
                chunk = BodyChunk(stream_id, offset, is_last, part)
                # The correlation id tells the receiver to which call the chunk belongs.
                await self._send_frame(self._codec.encode(chunk, correlation_id))
                offset += len(part)
        except asyncio.CancelledError:
            self._spawn(self._send_if_open(StreamAborted(stream_id, by_sender=True)))
            raise
        finally:
            window.finish()
            self._forget_settled_window(stream_id)

    def _forget_settled_window(self, stream_id: int) -> None:
        window = self._send_windows.get(stream_id)
        if window is not None and window.is_settled:
            del self._send_windows[stream_id]

    async def _send_if_open(self, message: Any, correlation_id: int = 0) -> None:
        try:
            await self._send(message, correlation_id)
        except LinkClosedError as exc:
            log.info("%s was not sent: %s", type(message).__name__, exc)

    def _receive(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except CodecError as exc:
            emit(log, Event.MESSAGE_DISCARDED, detail=exc)
            self._invalid_messages += 1
            if self._invalid_messages > MAX_INVALID_MESSAGES:
                self.abort()
            return
        self._dispatch(envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        # A reply carries the negated correlation id of its call, so both ends can number their own
        # calls.
        is_reply = envelope.correlation_id < 0
        call = self._pending_calls.get(-envelope.correlation_id) if is_reply else None
        stream_handler = self._STREAM_HANDLERS.get(type(envelope.message))
        if is_reply and call is None:
            self._refuse_reply(envelope.message)
        elif stream_handler is not None:
            if call is not None:
                call.record_received_part()
            stream_handler(self, envelope.message)
        elif call is not None:
            call.set_reply(envelope.message)
        else:
            self._spawn(self._handle(envelope.correlation_id, envelope.message))

    def _refuse_reply(self, message: Any) -> None:
        """Drop a reply to a call that was given up, and stop the transfer of a large one."""
        if isinstance(message, BodyChunk):
            self._assembler.discard(message.stream)
            aborted = StreamAborted(message.stream, by_sender=False)
            self._spawn(self._send_if_open(aborted))

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
            call = self._pending_calls.get(window.correlation_id)
            if call is not None:
                call.record_sent_part()
            self._forget_settled_window(update.stream)

    def _on_stream_aborted(self, aborted: StreamAborted) -> None:
        if aborted.by_sender:
            self._assembler.discard(aborted.stream)
            return
        window = self._send_windows.get(aborted.stream)
        if window is not None:
            window.abort()
            self._forget_settled_window(aborted.stream)

    _STREAM_HANDLERS: dict[type, Callable[[Any, Any], None]] = {
        BodyChunk: _on_chunk,
        WindowUpdate: _on_window_update,
        StreamAborted: _on_stream_aborted,
    }

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = create_logged_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, correlation_id: int, message: Any) -> None:
        if correlation_id and isinstance(message, self._slow_calls):
            reply = await self._handle_slow_call(correlation_id, message)
        else:
            reply = await self._handler(message)
        if correlation_id and reply is not None:
            await self._send_if_open(reply, -correlation_id)

    async def _handle_slow_call(self, correlation_id: int, message: Any) -> Any | None:
        announcements = self._spawn(self._announce_reply(-correlation_id))
        try:
            return await self._handler(message)
        finally:
            announcements.cancel()

    async def _announce_reply(self, correlation_id: int) -> None:
        """Send empty chunks, which every release understands, until the reply is ready."""
        stream_id = next(self._stream_ids)
        announcement = self._codec.encode(BodyChunk(stream_id, 0, False, b""), correlation_id)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        try:
            while True:
                await self._send_frame(announcement)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        except LinkClosedError:
            return
        except asyncio.CancelledError:
            self._spawn(self._send_if_open(StreamAborted(stream_id, by_sender=True)))
            raise

    def _fail_pending_calls(self) -> None:
        for window in self._send_windows.values():
            window.abort()
        for call in self._pending_calls.values():
            call.fail()
