"""Maintain the connection to one worker and reconnect when it fails."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from baobabhoist.errors import MessageNotSentError
from baobabhoist.model import WorkerSpec
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.upstream.messages import CODEC

log = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
# The lease renewals, one per second, already detect an unresponsive worker, so the keepalive only
# has to close connections on which no lease is renewed. More frequent pings cost a fifth of a core
# with 400 workers.
WORKER_WEBSOCKET_OPTIONS: dict[str, Any] = WEBSOCKET_OPTIONS | {"ping_interval": 5.0}


async def _ignore_message(message: Any) -> None:
    log.warning("ignored an unexpected %s message from a worker", type(message).__name__)


class WorkerLink:
    """Maintain the connection to one worker."""

    def __init__(
        self, spec: WorkerSpec, on_change: Callable[[str, bool], Awaitable[None]]
    ) -> None:
        self.spec = spec
        self._on_change = on_change
        self._link: Link | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether a call can be sent now."""
        return self._link is not None and not self._link.closed

    async def run(self) -> None:
        """Connect and reconnect until cancelled, and report each change of the connection."""
        uri = f"ws://{self.spec.host}:{self.spec.port}"
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = await connect(uri, **WORKER_WEBSOCKET_OPTIONS)
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._serve_link(Link(conn, CODEC, _ignore_message))
            # Pause, in case the worker closes each connection right after it was established.
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Call the worker; raises MessageNotSentError, LinkClosedError or TimeoutError."""
        if self._link is None:
            raise MessageNotSentError(f"worker {self.spec.name} is not connected")
        return await self._link.call(message, timeout_s)

    def reconnect(self) -> None:
        """Abort an unresponsive connection, so that a new one is opened."""
        if self.is_connected and self._link is not None:
            emit(log, Event.LINK_REPLACED, name=self.spec.name)
            self._link.abort()

    async def _serve_link(self, link: Link) -> None:
        self._link = link
        reader = asyncio.create_task(link.run())
        try:
            await self._on_change(self.spec.name, True)
            await asyncio.shield(reader)
        finally:
            reader.cancel()
            link.abort()
            self._link = None
        await self._on_change(self.spec.name, False)
