"""Bound the bytes that are on their way in chunks, so that other messages are not held up."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.streams import CHUNK_BYTES

# Limit on the unacknowledged bytes of a link: the bandwidth-delay product of 4 ms at 1 Gbit/s.
WINDOW_BYTES = 1 << 19
# A chunk takes 0.13 s on a 1 Mbit/s link.
MIN_CHUNK_BYTES = 1 << 14
# A window smaller than this number of the largest chunks is filled with smaller ones.
CHUNKS_IN_WINDOW = 4
# The least window of a link whose bandwidth is not known.
MIN_WINDOW_BYTES = 2 * MIN_CHUNK_BYTES
BYTES_PER_S_PER_MBPS = 125_000
# How long chunks may wait for earlier ones to leave; a heartbeat sent after them waits as well.
MAX_QUEUEING_DELAY_S = 0.1


@attrs.define(eq=False)
class LinkWindow:
    """Fit the unacknowledged bytes of all streams of a link to its bandwidth.

    The window grows while it is full and acknowledgements arrive soon, and is halved when they
    are late, compared with the earliest one on this link.
    """

    size_bytes: int = MIN_WINDOW_BYTES
    min_size_bytes: int = MIN_WINDOW_BYTES
    unacknowledged_bytes: int = 0
    _min_delay_s: float = float("inf")
    _last_halved_at_s: float = float("-inf")
    _changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def chunk_bytes(self) -> int:
        """Return the size of the next chunk."""
        return min(CHUNK_BYTES, max(MIN_CHUNK_BYTES, self.size_bytes // CHUNKS_IN_WINDOW))

    def expect_bandwidth(self, mbps: float) -> None:
        """Never be smaller than what a link of this bandwidth carries soon; 0 is not known.

        An acknowledgement may also be late because the receiver is busy, which a smaller window
        would make worse.
        """
        soon_bytes = int(mbps * BYTES_PER_S_PER_MBPS * MAX_QUEUEING_DELAY_S)
        self.min_size_bytes = min(WINDOW_BYTES, max(MIN_WINDOW_BYTES, soon_bytes))
        self.size_bytes = max(self.size_bytes, self.min_size_bytes)

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes may be sent; one chunk may always be on its way."""
        total_bytes = self.unacknowledged_bytes + size
        return not self.unacknowledged_bytes or total_bytes <= self.size_bytes

    async def wait_for_change(self) -> None:
        """Wait until some bytes are acknowledged or `notify` is called."""
        self._changed.clear()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake all that wait for a change."""
        self._changed.set()

    def release(self, size: int) -> None:
        """Count bytes as no longer on their way."""
        self.unacknowledged_bytes -= size
        self.notify()

    def adapt(self, size: int, sent_at_s: float, acknowledged_at_s: float) -> None:
        """Change the window after the acknowledgement of a chunk, before its release."""
        delay_s = acknowledged_at_s - sent_at_s
        self._min_delay_s = min(self._min_delay_s, delay_s)
        if delay_s - self._min_delay_s <= MAX_QUEUEING_DELAY_S:
            if not self.has_room(self.chunk_bytes):
                self.size_bytes = min(WINDOW_BYTES, self.size_bytes + size)
        # Chunks sent before the window was halved say nothing about the new one.
        elif sent_at_s >= self._last_halved_at_s:
            self.size_bytes = max(self.min_size_bytes, self.size_bytes // 2)
            self._last_halved_at_s = acknowledged_at_s


@attrs.frozen
class SentChunk:
    """Hold the position of the end of a chunk in its message, and when it was sent."""

    end: int
    size: int
    sent_at_s: float


class SendWindow:
    """Block the sender of a stream while the window of its link is full."""

    def __init__(self, link_window: LinkWindow, correlation_id: int = 0) -> None:
        self.correlation_id = correlation_id
        self._link_window = link_window
        self._chunks: deque[SentChunk] = deque()
        self._sent_bytes = 0
        self._is_aborted = False
        self._is_finished = False

    @property
    def is_settled(self) -> bool:
        """Return whether the stream has ended and nothing of it is on its way."""
        return (self._is_finished or self._is_aborted) and not self._chunks

    async def reserve(self, size: int) -> None:
        """Wait until `size` more bytes may be sent; raises LinkClosedError after an abort."""
        while not self._is_aborted and not self._link_window.has_room(size):
            await self._link_window.wait_for_change()
        if self._is_aborted:
            raise LinkClosedError("the transfer of the message was aborted")
        self._link_window.unacknowledged_bytes += size
        self._sent_bytes += size
        now_s = asyncio.get_running_loop().time()
        self._chunks.append(SentChunk(self._sent_bytes, size, now_s))

    def acknowledge(self, received_bytes: int) -> None:
        """Record how many bytes the receiver has received; an outdated count has no effect."""
        now_s = asyncio.get_running_loop().time()
        while self._chunks and self._chunks[0].end <= received_bytes:
            chunk = self._chunks.popleft()
            self._link_window.adapt(chunk.size, chunk.sent_at_s, now_s)
            self._link_window.release(chunk.size)
        self._release_last()

    def finish(self) -> None:
        """Record that no more bytes of the stream will be sent."""
        self._is_finished = True
        self._release_last()

    def abort(self) -> None:
        """Fail the waiting and all later reservations."""
        self._is_aborted = True
        self._release_all()

    def _release_last(self) -> None:
        """Release the last chunk, which has no acknowledgement, with the one before it."""
        if self._is_finished and len(self._chunks) <= 1:
            self._release_all()

    def _release_all(self) -> None:
        for chunk in self._chunks:
            self._link_window.release(chunk.size)
        self._chunks.clear()
        self._link_window.notify()
