"""Drain an instance without interrupting requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# The load balancer polls /readyz about once a second. Requests that it routes here until it
# notices the drain are still served.
BALANCER_DELAY_S = 1.5
CHECK_INTERVAL_S = 0.05
# Time for responses that were written to the sockets to leave the process.
FLUSH_DELAY_S = 0.2


class OpenRequests(Protocol):
    """Count the open requests of callers."""

    count: int

    def leave_balancer(self) -> None:
        """Make /readyz respond with 503 while requests are still served."""

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""


class ShardReleaser(Protocol):
    """Define how a drain gives up the shards of this instance."""

    async def hand_over_all(self) -> None:
        """Hand every shard over to its next owner."""

    async def release_idle(self) -> None:
        """Release the shards without pending requests."""


class Drain:
    """Take an instance out of service gracefully."""

    def __init__(
        self,
        open_requests: OpenRequests,
        ownership: ShardReleaser,
        count_open_work: Callable[[], int],
        close_caller_server: Callable[[], Awaitable[None]],
        balancer_delay_s: float = BALANCER_DELAY_S,
    ) -> None:
        self.started = asyncio.Event()
        self.finished = asyncio.Event()
        self._open_requests = open_requests
        self._ownership = ownership
        self._count_open_work = count_open_work
        self._close_caller_server = close_caller_server
        self._balancer_delay_s = balancer_delay_s

    async def start(self) -> None:
        """Begin the drain and return at once; repeated calls have no effect."""
        self.started.set()

    async def run(self) -> None:
        """Wait until the drain is started, and carry it out."""
        await self.started.wait()
        emit(log, Event.DRAIN_STARTED, open_requests=self._count_open_work())
        self._open_requests.leave_balancer()
        await self._ownership.hand_over_all()
        await asyncio.sleep(self._balancer_delay_s)
        self._open_requests.begin_drain()
        while self._count_open_work() or self._open_requests.count:
            # A shard that had no successor so far may have one by now.
            await self._ownership.hand_over_all()
            await asyncio.sleep(CHECK_INTERVAL_S)
        await self._ownership.release_idle()
        await asyncio.sleep(FLUSH_DELAY_S)
        await self._close_caller_server()
        emit(log, Event.DRAIN_FINISHED)
        self.finished.set()
