"""Keep links to the other instances and know which shards they own."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

import attrs
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.ownership.tokens import NO_TOKEN, Token
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.peer.messages import CODEC, Ack, Heard, Heartbeat, ShardDigest

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.3
PEER_LIVE_S = 2.0
RECONNECT_DELAY_S = 0.2
# A peer that returns is connected again within half of the time after which it counts as dead.
RECONNECT_DELAY_MAX_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Shorter than PEER_LIVE_S, so that a silent connection is replaced before the instance
# behind it counts as dead.
ACK_DEADLINE_S = 1.0


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
    inbound: Link | None = None
    heartbeat: Heartbeat | None = None
    live_until: float = 0.0

    def usable_link(self) -> Link | None:
        """Return the open connection to the peer, either end having opened it."""
        for link in (self.link, self.inbound):
            if link is not None and not link.closed:
                return link
        return None


class TlsContexts(Protocol):
    """Hold the TLS contexts of both roles that an instance has among its peers."""

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context of the peer port."""

    client: ssl.SSLContext


class Mesh:
    """Own the links to the other instances."""

    def __init__(
        self,
        peers: list[PeerAddress],
        describe: Callable[[], Heartbeat],
        on_message: Callable[[Any], Awaitable[Any | None]],
        *,
        on_heartbeat: Callable[[Heartbeat], None] = lambda _: None,
        tls: TlsContexts | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.peers = {address.instance_id: PeerState(address) for address in peers}
        self._describe = describe
        self._on_message = on_message
        self._on_heartbeat = on_heartbeat
        self._tls = tls
        self._clock = clock
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._beats: set[asyncio.Task[None]] = set()

    async def run(self, host: str, port: int) -> None:
        """Serve the peer port and keep a link to every peer."""
        context = self._tls.server if self._tls is not None else None
        async with serve(self._serve, host, port, ssl=context, **WEBSOCKET_OPTIONS):
            try:
                while True:
                    self._start_keepers()
                    self._beat()
                    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            finally:
                for task in (*self._keepers.values(), *self._beats):
                    task.cancel()

    def consider(self, addresses: Iterable[PeerAddress]) -> None:
        """Add peers that the membership list names and the settings do not."""
        for address in addresses:
            self.peers.setdefault(address.instance_id, PeerState(address))

    def forget(self, instance_id: str) -> None:
        """Stop contacting a peer that the membership list has long reported as gone."""
        self.peers.pop(instance_id, None)
        keeper = self._keepers.pop(instance_id, None)
        if keeper is not None:
            keeper.cancel()

    def live(self) -> list[PeerState]:
        """Return the peers that this or another live instance heard within the deadline."""
        now = self._clock()
        return [peer for peer in self.peers.values() if peer.live_until > now]

    def heard(self) -> tuple[Heard, ...]:
        """Return how long ago each live peer was heard, for this instance's heartbeat."""
        now = self._clock()
        return tuple(
            Heard(peer.address.instance_id, PEER_LIVE_S - (peer.live_until - now))
            for peer in self.live()
        )

    def owner_of(self, shard: str) -> str | None:
        """Return the live instance that reports to own a shard under the highest token."""
        best: tuple[Token, str] | None = None
        for peer in self.live():
            beat = peer.heartbeat
            if beat is not None and shard in beat.owned_shards:
                found = (_token_of(beat, shard), peer.address.instance_id)
                best = max(best, found) if best is not None else found
        return best[1] if best is not None else None

    def beats(self) -> list[Heartbeat]:
        """Return the last heartbeat of each live peer."""
        return [peer.heartbeat for peer in self.live() if peer.heartbeat is not None]

    def digests(self) -> list[ShardDigest]:
        """Return the digests of the shards that live peers own."""
        return [digest for beat in self.beats() for digest in beat.shards]

    async def call(self, instance_id: str, message: Any, deadline_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""
        peer = self.peers.get(instance_id)
        link = peer.usable_link() if peer is not None else None
        if link is None:
            raise MessageNotSentError(f"instance {instance_id} is not connected")
        return await link.call(message, deadline_s)

    async def broadcast(self, message: Any, data_centre: str | None = None) -> None:
        """Send a message to every connected peer, or to those of one data centre."""
        chosen = [
            peer
            for peer in self.peers.values()
            if data_centre is None or peer.address.data_centre == data_centre
        ]
        await asyncio.gather(*(self._notify(peer, message) for peer in chosen))

    async def _notify(self, peer: PeerState, message: Any) -> None:
        link = peer.usable_link()
        if link is None:
            return
        try:
            async with asyncio.timeout(ACK_DEADLINE_S):
                await link.notify(message)
        except (LinkClosedError, TimeoutError):
            log.info("instance %s did not take a message", peer.address.instance_id)

    async def _serve(self, conn: ServerConnection) -> None:
        async def receive(message: Any) -> Any | None:
            return await self._receive(message, link)

        link = Link(conn, CODEC, receive)
        await link.run()

    def _start_keepers(self) -> None:
        for name, peer in self.peers.items():
            if name not in self._keepers:
                self._keepers[name] = asyncio.create_task(self._keep_link(peer))

    async def _keep_link(self, peer: PeerState) -> None:
        delay_s = RECONNECT_DELAY_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = await self._connect(peer.address)
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed):
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, RECONNECT_DELAY_MAX_S)
                continue
            delay_s = RECONNECT_DELAY_S
            link = Link(conn, CODEC, self._receive)
            peer.link = link
            try:
                await link.run()
            finally:
                peer.link = None
                link.abort()
            # A connection that is cut as soon as it is made must not be made without a pause.
            await asyncio.sleep(RECONNECT_DELAY_S * random.uniform(0.5, 1.0))

    async def _connect(self, address: PeerAddress) -> Any:
        if self._tls is None:
            return await connect(f"ws://{address.host}:{address.port}", **WEBSOCKET_OPTIONS)
        return await connect(
            f"wss://{address.host}:{address.port}", ssl=self._tls.client, **WEBSOCKET_OPTIONS
        )

    def _beat(self) -> None:
        heartbeat = self._describe()
        for peer in self.peers.values():
            # Both connections of a pair carry heartbeats, so one silent connection does not
            # make its instance look dead.
            for link in (peer.link, peer.inbound):
                if link is not None and not link.closed:
                    beat = asyncio.create_task(self._send_beat(peer, link, heartbeat))
                    self._beats.add(beat)
                    beat.add_done_callback(self._beats.discard)

    async def _send_beat(self, peer: PeerState, link: Link, heartbeat: Heartbeat) -> None:
        try:
            await link.call(heartbeat, ACK_DEADLINE_S)
        except TimeoutError:
            if not link.closed:
                log.warning("the silent link to %s is replaced", peer.address.instance_id)
                link.abort()
        except LinkClosedError:
            return

    async def _receive(self, message: Any, inbound: Link | None = None) -> Any | None:
        if not isinstance(message, Heartbeat):
            return await self._on_message(message)
        peer = self.peers.get(message.instance_id)
        if peer is not None:
            if inbound is not None:
                peer.inbound = inbound
            self._note(peer, message)
        return Ack()

    def _note(self, peer: PeerState, beat: Heartbeat) -> None:
        now = self._clock()
        peer.heartbeat = beat
        peer.live_until = now + PEER_LIVE_S
        for heard in beat.heard:
            other = self.peers.get(heard.instance_id)
            if other is not None:
                until = now + PEER_LIVE_S - max(0.0, heard.age_s)
                other.live_until = max(other.live_until, until)
        self._on_heartbeat(beat)


def _token_of(beat: Heartbeat, shard: str) -> Token:
    for digest in beat.shards:
        if digest.shard == shard:
            return digest.token
    return NO_TOKEN
