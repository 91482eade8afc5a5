"""Define the messages that carry large messages in chunks, and reassemble these."""

from __future__ import annotations

import attrs

# The largest chunk; it takes about 0.5 ms on a 1 Gbit/s link.
CHUNK_BYTES = 1 << 16
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
