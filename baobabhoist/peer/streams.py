"""Transfer large messages as streams of chunks with flow control, and reassemble them."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.errors import LinkClosedError

# A chunk takes about 0.5 ms on a 1 Gbit/s link, which is the longest that it delays a heartbeat.
CHUNK_BYTES = 1 << 16
# Limit on the unacknowledged bytes of a stream: the bandwidth-delay product of 4 ms at 1 Gbit/s.
WINDOW_BYTES = 1 << 19
MAX_MESSAGE_BYTES = 1 << 28
MAX_BUFFERED_BYTES = 1 << 29
# What an unfinished stream takes beside its bytes.
STREAM_OVERHEAD_BYTES = 256


@attrs.frozen
class BodyChunk:
    """Carry a part of a large encoded message; `offset` is the position of its first byte."""

    stream: int
    offset: int
    last: bool
    data: bytes


@attrs.frozen
class WindowUpdate:
    """Acknowledge the bytes of a stream that were received so far."""

    stream: int
    taken: int


@attrs.frozen
class StreamAborted:
    """Abort a stream; `by_sender` tells whether its sender or its receiver aborts it.

    Each end numbers the streams that it sends, so both may use the same number. `by_sender` tells
    which of the two streams is meant.
    """

    stream: int
    by_sender: bool


STREAM_MESSAGES = (BodyChunk, WindowUpdate, StreamAborted)


class SendWindow:
    """Block a sender while too many bytes of its stream are unacknowledged."""

    def __init__(self) -> None:
        self._sent_bytes = 0
        self._acknowledged_bytes = 0
        self._state_changed = asyncio.Event()
        self._is_aborted = False

    async def reserve(self, size: int) -> None:
        """Wait until `size` more bytes may be sent; raises LinkClosedError after an abort."""
        while (
            self._sent_bytes + size - self._acknowledged_bytes > WINDOW_BYTES
            and not self._is_aborted
        ):
            self._state_changed.clear()
            await self._state_changed.wait()
        if self._is_aborted:
            raise LinkClosedError("the transfer of the message was aborted")
        self._sent_bytes += size

    def acknowledge(self, received_bytes: int) -> None:
        """Record how many bytes the receiver has received; an outdated count has no effect."""
        self._acknowledged_bytes = max(
            self._acknowledged_bytes, min(received_bytes, self._sent_bytes)
        )
        self._state_changed.set()

    def abort(self) -> None:
        """Fail the waiting and all later reservations."""
        self._is_aborted = True
        self._state_changed.set()


@attrs.define
class StreamAssembler:
    """Reassemble the messages whose chunks arrive on one connection."""

    buffers: dict[int, bytearray] = attrs.Factory(dict)
    buffered_bytes: int = 0

    def add(self, chunk: BodyChunk) -> bytes | WindowUpdate | StreamAborted:
        """Append a chunk; return the complete message, or the reply to send to the sender."""
        buffer = self.buffers.get(chunk.stream)
        if buffer is None:
            buffer = self.buffers[chunk.stream] = bytearray()
            self.buffered_bytes += STREAM_OVERHEAD_BYTES
        size = len(chunk.data)
        exceeds_message_limit = len(buffer) + size > MAX_MESSAGE_BYTES
        exceeds_buffer_limit = self.buffered_bytes + size > MAX_BUFFERED_BYTES
        if chunk.offset != len(buffer) or exceeds_message_limit or exceeds_buffer_limit:
            self.discard(chunk.stream)
            return StreamAborted(chunk.stream, by_sender=False)
        buffer += chunk.data
        self.buffered_bytes += size
        if not chunk.last:
            return WindowUpdate(chunk.stream, len(buffer))
        message = bytes(buffer)
        self.discard(chunk.stream)
        return message

    def discard_all(self) -> None:
        """Discard the buffers of all streams."""
        self.buffers.clear()
        self.buffered_bytes = 0

    def discard(self, stream_id: int) -> None:
        """Discard the buffer of a stream, if there is one."""
        buffer = self.buffers.pop(stream_id, None)
        if buffer is not None:
            self.buffered_bytes -= len(buffer) + STREAM_OVERHEAD_BYTES
