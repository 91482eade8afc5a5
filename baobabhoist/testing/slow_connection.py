"""Connect two links in memory, with a bandwidth, for tests in simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator


class SlowConnection:
    """One end of a connection that delivers frames in order, at the pace of its bandwidth.

    As with a socket whose send buffer is large, sending never waits.
    """

    def __init__(self, bytes_per_s: float, latency_s: float = 0.0) -> None:
        self.received_bytes = 0
        # Nothing is delivered any more once the connection is silent.
        self.is_silent = False
        self._bytes_per_s = bytes_per_s
        self._latency_s = latency_s
        self._peer = self
        self._incoming: asyncio.Queue[bytes | None] = asyncio.Queue()
        # When the last frame sent will have left, on the clock of the event loop.
        self._idle_at_s = 0.0

    @classmethod
    def pair(
        cls, bytes_per_s: float, latency_s: float = 0.0
    ) -> tuple[SlowConnection, SlowConnection]:
        """Return both ends of a connection with the same bandwidth in both directions."""
        first, second = cls(bytes_per_s, latency_s), cls(bytes_per_s, latency_s)
        first._peer, second._peer = second, first
        return first, second

    async def send(self, data: bytes) -> None:
        """Queue a frame behind those that have not left yet."""
        loop = asyncio.get_running_loop()
        self._idle_at_s = max(self._idle_at_s, loop.time()) + len(data) / self._bytes_per_s
        loop.call_at(self._idle_at_s + self._latency_s, self._peer._deliver, data)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the frames that arrive, until the connection ends."""
        while (data := await self._incoming.get()) is not None:
            yield data

    @property
    def transport(self) -> SlowConnection:
        """Return what a link aborts."""
        return self

    def abort(self) -> None:
        """End the connection on both ends."""
        for end in (self, self._peer):
            end._incoming.put_nowait(None)

    def _deliver(self, data: bytes) -> None:
        if not self.is_silent:
            self.received_bytes += len(data)
            self._incoming.put_nowait(data)
