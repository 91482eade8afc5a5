"""Stop an instance without cutting a request."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# The balancer reads /readyz about once a second; callers it still sends here are served.
BALANCER_DELAY_S = 1.5
CHECK_INTERVAL_S = 0.05
# Answers already written to the sockets leave the process within this time.
FLUSH_DELAY_S = 0.2


class OpenRequests(Protocol):
    """Count the open requests of callers."""

    count: int

    def leave_balancer(self) -> None:
        """Make /readyz answer 503 and still serve."""

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""


class ShardReleaser(Protocol):
    """Give the shards away."""

    async def hand_over_all(self) -> None:
        """Give every shard to the next instance."""

    async def release_idle(self) -> None:
        """Give up the shards without open requests."""


class Drain:
    """Take an instance out of service in order."""

    def __init__(
        self,
        open_requests: OpenRequests,
        owners: ShardReleaser,
        count_open_work: Callable[[], int],
        close_caller_server: Callable[[], Awaitable[None]],
        balancer_delay_s: float = BALANCER_DELAY_S,
    ) -> None:
        self.started = asyncio.Event()
        self.finished = asyncio.Event()
        self._open_requests = open_requests
        self._owners = owners
        self._count_open_work = count_open_work
        self._close_caller_server = close_caller_server
        self._balancer_delay_s = balancer_delay_s

    async def start(self) -> None:
        """Begin the drain and return at once; further calls have no effect."""
        self.started.set()

    async def run(self) -> None:
        """Wait for the start of the drain, and carry it out."""
        await self.started.wait()
        emit(log, Event.DRAIN_STARTED, open_requests=self._count_open_work())
        self._open_requests.leave_balancer()
        await self._owners.hand_over_all()
        await asyncio.sleep(self._balancer_delay_s)
        self._open_requests.begin_drain()
        while self._count_open_work() or self._open_requests.count:
            # A successor may have appeared since.
            await self._owners.hand_over_all()
            await asyncio.sleep(CHECK_INTERVAL_S)
        await self._owners.release_idle()
        await asyncio.sleep(FLUSH_DELAY_S)
        await self._close_caller_server()
        emit(log, Event.DRAIN_FINISHED)
        self.finished.set()
