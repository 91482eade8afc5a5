"""Keep links to the other instances and know which shards they own."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import InvalidHandshake

from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.peer.messages import CODEC, Ack, Heartbeat

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.3
PEER_LIVE_S = 2.0
RECONNECT_DELAY_S = 0.3
CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class PeerAddress:
    """Name another instance and where its peer port is."""

    instance_id: str
    data_centre: str
    host: str
    port: int


@attrs.define
class PeerState:
    """Hold what is known of a peer; `live_until` is in Unix seconds."""

    address: PeerAddress
    link: Link | None = None
    heartbeat: Heartbeat | None = None
    live_until: float = 0.0


class Mesh:
    """Own the links to the other instances."""

    def __init__(
        self,
        peers: list[PeerAddress],
        describe: Callable[[], Heartbeat],
        on_message: Callable[[Any], Awaitable[Any | None]],
    ) -> None:
        self.peers = {address.instance_id: PeerState(address) for address in peers}
        self._describe = describe
        self._on_message = on_message

    async def run(self, host: str, port: int) -> None:
        """Serve the peer port and keep a link to every peer."""
        async with serve(self._serve, host, port, **WEBSOCKET_OPTIONS), asyncio.TaskGroup() as tg:
            for peer in self.peers.values():
                tg.create_task(self._keep_link(peer))
            tg.create_task(self._beat())

    def live(self) -> list[PeerState]:
        """Return the peers that were heard within the heartbeat deadline."""
        now = time.time()
        return [peer for peer in self.peers.values() if peer.live_until > now]

    def owner_of(self, shard: str) -> str | None:
        """Return the instance that reports to own a shard."""
        for peer in self.live():
            if peer.heartbeat is not None and shard in peer.heartbeat.owned_shards:
                return peer.address.instance_id
        return None

    async def call(self, instance_id: str, message: Any, deadline_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""
        link = self.peers[instance_id].link
        if link is None:
            raise LinkClosedError(f"instance {instance_id} is not connected")
        return await link.call(message, deadline_s)

    async def _serve(self, conn: ServerConnection) -> None:
        await Link(conn, CODEC, self._receive).run()

    async def _keep_link(self, peer: PeerState) -> None:
        uri = f"ws://{peer.address.host}:{peer.address.port}"
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = await connect(uri, **WEBSOCKET_OPTIONS)
            except (OSError, TimeoutError, InvalidHandshake):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            peer.link = Link(conn, CODEC, self._receive)
            await peer.link.run()
            peer.link = None

    async def _beat(self) -> None:
        while True:
            heartbeat = self._describe()
            for peer in self.peers.values():
                if peer.link is not None:
                    try:
                        await peer.link.notify(heartbeat)
                    except LinkClosedError:
                        continue
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _receive(self, message: Any) -> Any | None:
        if not isinstance(message, Heartbeat):
            return await self._on_message(message)
        peer = self.peers.get(message.instance_id)
        if peer is not None:
            peer.heartbeat = message
            peer.live_until = time.time() + PEER_LIVE_S
        return Ack()
