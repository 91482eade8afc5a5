"""Connect the cell's owner with all other instances; each keeps one link to the owner."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server
from websockets.exceptions import WebSocketException

from baobabhoist.control.claim import ClaimRow, OwnerLinkState
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_admission import KnownWaits
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.messages import CODEC, Greeting, OwnerHeartbeat, Welcome
from baobabhoist.control.sessions.assignment import Holder, LinkedInstance
from baobabhoist.errors import LinkClosedError
from baobabhoist.inbound.intake import Observer
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task
from baobabhoist.peer.admission import LinkLimits, Standing
from baobabhoist.peer.inbound import InboundConnection, InboundPort
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.8
GREETING_TIMEOUT_S = 1.0
RECONNECT_INTERVAL_S = 0.1
# Interval at which the owner sends a heartbeat over each of few links, and over each of many.
HEARTBEAT_INTERVAL_S = 0.25
MANY_LINKS_HEARTBEAT_INTERVAL_S = 0.4
MANY_LINKS = 32
# A link on which the owner sent nothing for this long is closed and replaced.
SILENT_LINK_TIMEOUT_MS = 900.0
# The owner's heartbeats show that it is alive, so only it has to probe the other end.
CLIENT_OPTIONS = WEBSOCKET_OPTIONS | {"ping_interval": None}
SERVER_OPTIONS = WEBSOCKET_OPTIONS | {"ping_interval": 1.0, "ping_timeout": 1.5}

Handler = Callable[[Any], Awaitable[Any]]


def heartbeat_interval_s(link_count: int) -> float:
    """Return the interval of the owner's heartbeats, whose cost grows with the links."""
    return HEARTBEAT_INTERVAL_S if link_count <= MANY_LINKS else MANY_LINKS_HEARTBEAT_INTERVAL_S


@attrs.define
class Identity:
    """Identify this process, and hold whether it owns the cell now."""

    node: str
    boot_id: str
    size: MachineSize = attrs.Factory(MachineSize)
    is_owner: bool = False
    data_centre: str = ""


class LinkServer:
    """Accept links from the other instances and track the open ones by node name."""

    def __init__(
        self,
        identity: Identity,
        handler: Handler,
        limits: LinkLimits | None = None,
        observer: Observer | None = None,
    ) -> None:
        self.links: dict[str, Link] = {}
        # The sizes of the linked instances' machines, by node name.
        self.sizes: dict[str, MachineSize] = {}
        # The linked instances that can hold sessions with workers, by node name.
        self.session_hosts: dict[str, LinkedInstance] = {}
        self._identity = identity
        self._handler = handler
        self._port = InboundPort(limits, observer)
        self._conns: dict[str, InboundConnection] = {}
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening on `host` and `port`."""
        self._server = await self._port.serve(self._serve, host, port, SERVER_OPTIONS)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, conn: InboundConnection) -> None:
        node = ""

        async def handle(message: Any) -> Any:
            nonlocal node
            if isinstance(message, Greeting):
                if node not in ("", message.node) or not self._accept(conn, message):
                    link.abort()
                    return None
                node = message.node
                self._add(message, link)
                return Welcome(
                    self._identity.node, self._identity.boot_id, self._identity.is_owner
                )
            return await self._handler(message)

        link = Link(conn, CODEC, handle)
        conn.count_unfinished_bytes = link.unfinished_bytes
        await link.run()
        if self.links.get(node) is link:
            del self.links[node]
            del self.sizes[node]
            del self._conns[node]
            self.session_hosts.pop(node, None)

    def _accept(self, conn: InboundConnection, greeting: Greeting) -> bool:
        """Replace the last connection of an instance; return whether the new one may stay."""
        previous = self._conns.get(greeting.node)
        if previous is not None and previous is not conn:
            previous.replace()
        if not conn.identify(Standing.UNCONFIRMED):
            return False
        self._conns[greeting.node] = conn
        return True

    def _add(self, greeting: Greeting, link: Link) -> None:
        node, size = greeting.node, MachineSize(greeting.cores, greeting.link_mbps)
        self.links[node] = link
        self.sizes[node] = size
        if greeting.holds_sessions:
            holder = Holder(node, greeting.data_centre, size)
            self.session_hosts[node] = LinkedInstance(holder, link)
        else:
            self.session_hosts.pop(node, None)


class OwnerLink:
    """Maintain a link to the owner named in the claim."""

    def __init__(
        self, identity: Identity, handler: Handler, on_change: Callable[[], None]
    ) -> None:
        self.state = OwnerLinkState.UNKNOWN
        self.link: Link | None = None
        # Until when the owner wants new jobs to be refused.
        self.refuse_jobs_until_ms = 0.0
        # The expected waits of new jobs that the connected owner sent last.
        self.job_waits: KnownWaits | None = None
        self._identity = identity
        self._handler = handler
        self._on_change = on_change
        self._last_message_ms = 0.0
        self._claim: ClaimRow | None = None
        self._task: asyncio.Task[None] | None = None

    def connect_to(self, claim: ClaimRow | None) -> None:
        """Connect to the owner named in a claim, or disconnect if there is none."""
        if claim == self._claim:
            return
        self._claim = claim
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.link, self.state = None, OwnerLinkState.UNKNOWN
        self.job_waits = None
        if claim is not None and not claim.is_released and claim.boot != self._identity.boot_id:
            self._task = create_logged_task(self._maintain(claim))

    async def notify(self, message: Any) -> None:
        """Send a message to the owner; raises LinkClosedError."""
        if self.link is None:
            raise LinkClosedError("no link to the owner is open")
        await self.link.notify(message)

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Call the owner; raises LinkClosedError or TimeoutError."""
        if self.link is None:
            raise LinkClosedError("no link to the owner is open")
        return await self.link.call(message, timeout_s)

    async def _maintain(self, claim: ClaimRow) -> None:
        while True:
            try:
                await self._connect(claim)
            except ConnectionRefusedError:
                self._set_state(OwnerLinkState.REFUSED, claim)
            except (OSError, TimeoutError, WebSocketException, LinkClosedError) as exc:
                log.debug("connecting to the owner %s failed: %s", claim.node, exc)
                if self.state is not OwnerLinkState.ENDED:
                    self._set_state(OwnerLinkState.SILENT, claim)
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _connect(self, claim: ClaimRow) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            conn: Connection = await connect(f"ws://{claim.address}", proxy=None, **CLIENT_OPTIONS)
        link = Link(conn, CODEC, self._handle)
        reader = create_logged_task(link.run())
        try:
            greeting = self._make_greeting()
            welcome = await link.call(greeting, GREETING_TIMEOUT_S)
            if not isinstance(welcome, Welcome) or welcome.boot != claim.boot:
                self._set_state(OwnerLinkState.ENDED, claim)
                return
            self.link = link
            self._set_state(OwnerLinkState.CONNECTED, claim)
            await self._wait_until_silent(reader)
        finally:
            self.link = self.job_waits = None
            link.abort()
            reader.cancel()
        self._set_state(OwnerLinkState.SILENT, claim)

    def _make_greeting(self) -> Greeting:
        identity, size = self._identity, self._identity.size
        return Greeting(
            identity.node,
            identity.boot_id,
            size.cores,
            size.link_mbps,
            identity.data_centre,
            holds_sessions=True,
        )

    async def _wait_until_silent(self, reader: asyncio.Task[None]) -> None:
        """Wait until the connection ends or the owner has sent nothing for too long."""
        self._last_message_ms = monotonic_ms()
        is_done = False
        while not is_done:
            left_ms = self._last_message_ms + SILENT_LINK_TIMEOUT_MS - monotonic_ms()
            if left_ms <= 0.0:
                return
            done, _ = await asyncio.wait((reader,), timeout=left_ms / 1000)
            is_done = bool(done)

    async def _handle(self, message: Any) -> Any:
        self._last_message_ms = monotonic_ms()
        if not isinstance(message, OwnerHeartbeat):
            return await self._handler(message)
        self.refuse_jobs_until_ms = monotonic_ms() + message.refuse_jobs_ms
        if message.waits is not None:
            self.job_waits = KnownWaits(message.waits, monotonic_ms() - message.waits.age_ms)
        if not message.owns:
            self._on_change()
        return None

    def _set_state(self, state: OwnerLinkState, claim: ClaimRow) -> None:
        if state is self.state:
            return
        emit(log, Event.OWNER_SEEN, owner=claim.node, state=state.value, before=self.state.value)
        self.state = state
        self._on_change()
