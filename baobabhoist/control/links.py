"""Connect the cell's owner with every other instance: each keeps one link to the owner."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from baobabhoist.control.claim import ClaimRow, OwnerLinkState
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.messages import CODEC, Greeting, OwnerHeartbeat, Welcome
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.8
GREETING_TIMEOUT_S = 1.0
RECONNECT_S = 0.1
# The owner sends something over each link this often.
OWNER_HEARTBEAT_INTERVAL_S = 0.25
# A link on which the owner was not heard for this long is replaced.
SILENT_LINK_MS = 900.0
SILENCE_CHECK_S = 0.2

Handler = Callable[[Any], Awaitable[Any]]


@attrs.define
class Identity:
    """Hold who this process is, and whether it owns the cell now."""

    node: str
    boot_id: str
    is_owner: bool = False


class LinkServer:
    """Accept links from the other instances and keep them while they last."""

    def __init__(self, identity: Identity, handler: Handler) -> None:
        self.links: dict[str, Link] = {}
        self._identity = identity
        self._handler = handler
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await serve(self._serve, host, port, **WEBSOCKET_OPTIONS)

    async def stop(self) -> None:
        """Stop listening and close the links."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, conn: ServerConnection) -> None:
        node = ""

        async def handle(message: Any) -> Any:
            nonlocal node
            if isinstance(message, Greeting):
                node = message.node
                self.links[node] = link
                return Welcome(
                    self._identity.node, self._identity.boot_id, self._identity.is_owner
                )
            return await self._handler(message)

        link = Link(conn, CODEC, handle)
        await link.run()
        if self.links.get(node) is link:
            del self.links[node]


class OwnerLink:
    """Keep one link to the owner that the claim names."""

    def __init__(
        self, identity: Identity, handler: Handler, on_change: Callable[[], None]
    ) -> None:
        self.state = OwnerLinkState.UNKNOWN
        self.link: Link | None = None
        self._identity = identity
        self._handler = handler
        self._on_change = on_change
        self._heard_ms = 0.0
        self._claim: ClaimRow | None = None
        self._task: asyncio.Task[None] | None = None

    def connect_to(self, claim: ClaimRow | None) -> None:
        """Connect to another owner, or to none."""
        if claim == self._claim:
            return
        self._claim = claim
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.link, self.state = None, OwnerLinkState.UNKNOWN
        if claim is not None and not claim.is_released and claim.boot != self._identity.boot_id:
            self._task = asyncio.create_task(self._keep(claim))

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Call the owner; raises LinkClosedError or TimeoutError."""
        if self.link is None:
            raise LinkClosedError("there is no link to the owner")
        return await self.link.call(message, timeout_s)

    async def _keep(self, claim: ClaimRow) -> None:
        while True:
            try:
                await self._connect(claim)
            except ConnectionRefusedError:
                self._saw(OwnerLinkState.REFUSED, claim)
            except (OSError, TimeoutError, WebSocketException, LinkClosedError) as exc:
                log.debug("no link to %s: %s", claim.node, exc)
                if self.state is not OwnerLinkState.ENDED:
                    self._saw(OwnerLinkState.SILENT, claim)
            await asyncio.sleep(RECONNECT_S)

    async def _connect(self, claim: ClaimRow) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            conn: Connection = await connect(
                f"ws://{claim.address}", proxy=None, **WEBSOCKET_OPTIONS
            )
        link = Link(conn, CODEC, self._handle)
        running = asyncio.create_task(link.run())
        try:
            greeting = Greeting(self._identity.node, self._identity.boot_id)
            welcome = await link.call(greeting, GREETING_TIMEOUT_S)
            if not isinstance(welcome, Welcome) or welcome.boot != claim.boot:
                self._saw(OwnerLinkState.ENDED, claim)
                return
            self.link = link
            self._saw(OwnerLinkState.CONNECTED, claim)
            await self._while_heard(running)
        finally:
            self.link = None
            link.abort()
            running.cancel()
        self._saw(OwnerLinkState.SILENT, claim)

    async def _while_heard(self, running: asyncio.Task[None]) -> None:
        """Return when the connection ends or the owner falls silent."""
        self._heard_ms = monotonic_ms()
        while monotonic_ms() - self._heard_ms < SILENT_LINK_MS:
            done, _ = await asyncio.wait((running,), timeout=SILENCE_CHECK_S)
            if done:
                return

    async def _handle(self, message: Any) -> Any:
        self._heard_ms = monotonic_ms()
        if not isinstance(message, OwnerHeartbeat):
            return await self._handler(message)
        if not message.owns:
            self._on_change()
        return None

    def _saw(self, state: OwnerLinkState, claim: ClaimRow) -> None:
        if state is self.state:
            return
        emit(log, Event.OWNER_SEEN, owner=claim.node, state=state.value, before=self.state.value)
        self.state = state
        self._on_change()
