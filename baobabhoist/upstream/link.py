"""Keep a connection to one worker and replace it when it fails."""

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
# The renewal of leases, once a second, already finds a silent worker; the keepalive only has to
# end connections on which nothing is renewed. More frequent pings cost a fifth of a core for 400
# workers.
WORKER_OPTIONS: dict[str, Any] = WEBSOCKET_OPTIONS | {"ping_interval": 5.0}


async def _ignore(message: Any) -> None:
    log.warning("unexpected message from a worker: %s", type(message).__name__)


class WorkerLink:
    """Own the connection to one worker."""

    def __init__(
        self, spec: WorkerSpec, on_change: Callable[[str, bool], Awaitable[None]]
    ) -> None:
        self.spec = spec
        self._on_change = on_change
        self._link: Link | None = None

    @property
    def connected(self) -> bool:
        """Tell whether a call can be sent now."""
        return self._link is not None and not self._link.closed

    async def run(self) -> None:
        """Connect, report the connection, and connect again when it ends."""
        uri = f"ws://{self.spec.host}:{self.spec.port}"
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = await connect(uri, **WORKER_OPTIONS)
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._serve(Link(conn, CODEC, _ignore))
            # A connection that is cut as soon as it is made must not be made without a pause.
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def call(self, message: Any, deadline_s: float) -> Any:
        """Send a call; raises MessageNotSentError, LinkClosedError or TimeoutError."""
        if self._link is None:
            raise MessageNotSentError(f"worker {self.spec.name} is not connected")
        return await self._link.call(message, deadline_s)

    def replace(self) -> None:
        """Drop a connection that has gone silent, so that a new one is made."""
        if self.connected and self._link is not None:
            emit(log, Event.LINK_REPLACED, name=self.spec.name)
            self._link.abort()

    async def _serve(self, link: Link) -> None:
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
