"""Split large messages into chunks under flow control and put them together again."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.errors import LinkClosedError

# A chunk takes about 0.5 ms on a 1 Gbit/s link, so a heartbeat waits no longer than that.
CHUNK_BYTES = 1 << 16
# Unconfirmed bytes of one stream: covers a round trip of 4 ms at 1 Gbit/s.
WINDOW_BYTES = 1 << 19
MAX_MESSAGE_BYTES = 1 << 28
MAX_BUFFERED_BYTES = 1 << 29


@attrs.frozen
class BodyChunk:
    """Carry a piece of a large encoded message; `offset` is that of its first byte."""

    stream: int
    offset: int
    last: bool
    data: bytes


@attrs.frozen
class WindowUpdate:
    """Confirm the bytes of a stream that were taken so far."""

    stream: int
    taken: int


@attrs.frozen
class StreamAborted:
    """Give a stream up; `by_sender` tells which end numbered it."""

    stream: int
    by_sender: bool


STREAM_MESSAGES = (BodyChunk, WindowUpdate, StreamAborted)


class SendWindow:
    """Make a sender wait while too many bytes of its stream are unconfirmed."""

    def __init__(self) -> None:
        self._sent = 0
        self._taken = 0
        self._open = asyncio.Event()
        self._aborted = False

    async def reserve(self, size: int) -> None:
        """Wait until `size` more bytes may be sent; raises LinkClosedError after an abort."""
        while self._sent + size - self._taken > WINDOW_BYTES and not self._aborted:
            self._open.clear()
            await self._open.wait()
        if self._aborted:
            raise LinkClosedError("the receiver gave the message up")
        self._sent += size

    def acknowledge(self, taken: int) -> None:
        """Note the bytes that the receiver has taken; a late confirmation has no effect."""
        self._taken = max(self._taken, min(taken, self._sent))
        self._open.set()

    def abort(self) -> None:
        """Make the sender give the stream up."""
        self._aborted = True
        self._open.set()


@attrs.define
class StreamAssembler:
    """Collect the streams that arrive on one connection."""

    streams: dict[int, bytearray] = attrs.Factory(dict)
    buffered_bytes: int = 0

    def add(self, chunk: BodyChunk) -> bytes | WindowUpdate | StreamAborted:
        """Take a chunk; return the whole message, a confirmation or the end of the stream."""
        buffer = self.streams.setdefault(chunk.stream, bytearray())
        size = len(chunk.data)
        too_large = len(buffer) + size > MAX_MESSAGE_BYTES
        too_much = self.buffered_bytes + size > MAX_BUFFERED_BYTES
        if chunk.offset != len(buffer) or too_large or too_much:
            self.discard(chunk.stream)
            return StreamAborted(chunk.stream, by_sender=False)
        buffer += chunk.data
        self.buffered_bytes += size
        if not chunk.last:
            return WindowUpdate(chunk.stream, len(buffer))
        whole = bytes(buffer)
        self.discard(chunk.stream)
        return whole

    def discard(self, stream: int) -> None:
        """Forget an unfinished stream."""
        buffer = self.streams.pop(stream, None)
        if buffer is not None:
            self.buffered_bytes -= len(buffer)
