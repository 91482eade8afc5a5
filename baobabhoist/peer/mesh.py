"""Maintain links to the other instances and track their heartbeats."""

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
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.inbound.intake import Observer
from baobabhoist.ownership.tokens import NO_TOKEN, Token
from baobabhoist.peer.admission import LinkLimits, Standing
from baobabhoist.peer.inbound import InboundConnection, InboundPort
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.peer.messages import CODEC, Ack, Heartbeat, LastContact, ShardDigest

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.3
PEER_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.2
# Half of PEER_TIMEOUT_S: a peer that is reachable again is connected again within half of the time
# after which a peer without heartbeats counts as dead.
MAX_RECONNECT_DELAY_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Shorter than PEER_TIMEOUT_S, so that an unresponsive connection is replaced before its peer
# counts as dead.
ACK_TIMEOUT_S = 1.0


@attrs.frozen
class PeerAddress:
    """Hold the name of another instance and the address of its peer port."""

    instance_id: str
    data_centre: str
    host: str
    port: int


@attrs.define
class PeerState:
    """Hold the links to a peer and its last heartbeat; `live_until` is in Unix seconds."""

    address: PeerAddress
    outbound_link: Link | None = None
    inbound_link: Link | None = None
    heartbeat: Heartbeat | None = None
    live_until: float = 0.0

    def find_open_link(self) -> Link | None:
        """Return an open link to the peer, preferably the one opened from here, or None."""
        for link in (self.outbound_link, self.inbound_link):
            if link is not None and not link.closed:
                return link
        return None


class TlsContexts(Protocol):
    """Provide the TLS contexts for incoming and outgoing connections between instances."""

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context for incoming connections on the peer port."""

    client: ssl.SSLContext


class Mesh:
    """Maintain the links to the other instances and exchange heartbeats on them."""

    def __init__(
        self,
        peers: list[PeerAddress],
        make_heartbeat: Callable[[], Heartbeat],
        on_message: Callable[[Any], Awaitable[Any | None]],
        *,
        on_heartbeat: Callable[[Heartbeat], None] = lambda _: None,
        tls: TlsContexts | None = None,
        clock: Callable[[], float] = time.time,
        limits: LinkLimits | None = None,
        observer: Observer | None = None,
    ) -> None:
        self.peers = {address.instance_id: PeerState(address) for address in peers}
        self._make_heartbeat = make_heartbeat
        self._on_message = on_message
        self._on_heartbeat = on_heartbeat
        self._tls = tls
        self._clock = clock
        self._port = InboundPort(limits, observer)
        # The last connection that each listed peer has opened.
        self._inbound_conns: dict[str, InboundConnection] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._heartbeat_tasks: set[asyncio.Task[None]] = set()

    async def run(self, host: str, port: int) -> None:
        """Serve the peer port, maintain links to all peers and send heartbeats until cancelled."""
        server_context = self._tls.server if self._tls is not None else None
        async with self._port.serve(self._serve_connection, host, port, context=server_context):
            try:
                while True:
                    self._start_link_tasks()
                    self._send_heartbeats()
                    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            finally:
                for task in (*self._link_tasks.values(), *self._heartbeat_tasks):
                    task.cancel()

    def add_peers(self, addresses: Iterable[PeerAddress]) -> None:
        """Add peers from the membership list that are not known yet."""
        for address in addresses:
            self.peers.setdefault(address.instance_id, PeerState(address))

    def remove_peer(self, instance_id: str) -> None:
        """Remove a peer and stop connecting to it.

        Call it once the membership list has reported the peer as gone for the membership lag.
        """
        self.peers.pop(instance_id, None)
        self._inbound_conns.pop(instance_id, None)
        link_task = self._link_tasks.pop(instance_id, None)
        if link_task is not None:
            link_task.cancel()

    def live_peers(self) -> list[PeerState]:
        """Return the peers from which this or another live instance had a recent heartbeat.

        A heartbeat is recent for PEER_TIMEOUT_S.
        """
        now = self._clock()
        return [peer for peer in self.peers.values() if peer.live_until > now]

    def last_contacts(self) -> tuple[LastContact, ...]:
        """Return the age of each live peer's last heartbeat, for this instance's heartbeat."""
        now = self._clock()
        return tuple(
            LastContact(peer.address.instance_id, PEER_TIMEOUT_S - (peer.live_until - now))
            for peer in self.live_peers()
        )

    def owner_of(self, shard: str) -> str | None:
        """Return the live peer that reports owning a shard under the highest token."""
        best: tuple[Token, str] | None = None
        for peer in self.live_peers():
            heartbeat = peer.heartbeat
            if heartbeat is not None and shard in heartbeat.owned_shards:
                candidate = (_token_of(heartbeat, shard), peer.address.instance_id)
                best = max(best, candidate) if best is not None else candidate
        return best[1] if best is not None else None

    def live_heartbeats(self) -> list[Heartbeat]:
        """Return the last heartbeat of each live peer."""
        return [peer.heartbeat for peer in self.live_peers() if peer.heartbeat is not None]

    def shard_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards that live peers own."""
        return [digest for heartbeat in self.live_heartbeats() for digest in heartbeat.shards]

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises MessageNotSentError, LinkClosedError or TimeoutError."""
        peer = self.peers.get(instance_id)
        link = peer.find_open_link() if peer is not None else None
        if link is None:
            raise MessageNotSentError(f"instance {instance_id} is not connected")
        return await link.call(message, timeout_s)

    async def broadcast(self, message: Any, data_centre: str | None = None) -> None:
        """Send a message to every connected peer, or to those of one data centre."""
        recipients = [
            peer
            for peer in self.peers.values()
            if data_centre is None or peer.address.data_centre == data_centre
        ]
        await asyncio.gather(*(self._notify(peer, message) for peer in recipients))

    async def _notify(self, peer: PeerState, message: Any) -> None:
        link = peer.find_open_link()
        if link is None:
            return
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await link.notify(message)
        except (LinkClosedError, TimeoutError):
            log.info("cannot deliver a message to instance %s", peer.address.instance_id)

    async def _serve_connection(self, conn: InboundConnection) -> None:
        async def handle(message: Any) -> Any | None:
            if isinstance(message, Heartbeat) and not link.closed:
                self._identify(message.instance_id, conn, link)
            return await self._handle_message(message)

        link = Link(conn, CODEC, handle)
        conn.count_unfinished_bytes = link.unfinished_bytes
        await link.run()

    def _identify(self, instance_id: str, conn: InboundConnection, link: Link) -> None:
        peer = self.peers.get(instance_id)
        if peer is None:
            conn.identify(Standing.UNCONFIRMED)
            return
        conn.identify(Standing.LISTED)
        previous = self._inbound_conns.get(instance_id)
        if previous is not None and previous is not conn:
            previous.replace()
        self._inbound_conns[instance_id] = conn
        peer.inbound_link = link

    def _start_link_tasks(self) -> None:
        for name, peer in self.peers.items():
            if name not in self._link_tasks:
                self._link_tasks[name] = asyncio.create_task(self._maintain_link(peer))

    async def _maintain_link(self, peer: PeerState) -> None:
        delay_s = RECONNECT_DELAY_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    conn = await self._connect(peer.address)
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed):
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, MAX_RECONNECT_DELAY_S)
                continue
            delay_s = RECONNECT_DELAY_S
            link = Link(conn, CODEC, self._handle_message)
            peer.outbound_link = link
            try:
                await link.run()
            finally:
                peer.outbound_link = None
                link.abort()
            # Pause, in case the peer closes each connection right after it was established.
            await asyncio.sleep(RECONNECT_DELAY_S * random.uniform(0.5, 1.0))

    async def _connect(self, address: PeerAddress) -> Any:
        if self._tls is None:
            return await connect(f"ws://{address.host}:{address.port}", **WEBSOCKET_OPTIONS)
        return await connect(
            f"wss://{address.host}:{address.port}", ssl=self._tls.client, **WEBSOCKET_OPTIONS
        )

    def _send_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        for peer in self.peers.values():
            # Heartbeats are sent on both connections of a pair, so that one unresponsive
            # connection does not make its peer appear dead.
            for link in (peer.outbound_link, peer.inbound_link):
                if link is not None and not link.closed:
                    task = asyncio.create_task(self._send_heartbeat(peer, link, heartbeat))
                    self._heartbeat_tasks.add(task)
                    task.add_done_callback(self._heartbeat_tasks.discard)

    async def _send_heartbeat(self, peer: PeerState, link: Link, heartbeat: Heartbeat) -> None:
        try:
            await link.call(heartbeat, ACK_TIMEOUT_S)
        except TimeoutError:
            if not link.closed:
                log.warning(
                    "replacing the unresponsive link to instance %s", peer.address.instance_id
                )
                link.abort()
        except LinkClosedError:
            return

    async def _handle_message(self, message: Any) -> Any | None:
        if not isinstance(message, Heartbeat):
            return await self._on_message(message)
        peer = self.peers.get(message.instance_id)
        if peer is not None:
            self._record_heartbeat(peer, message)
        return Ack()

    def _record_heartbeat(self, peer: PeerState, heartbeat: Heartbeat) -> None:
        now = self._clock()
        peer.heartbeat = heartbeat
        peer.live_until = now + PEER_TIMEOUT_S
        for contact in heartbeat.heard:
            other = self.peers.get(contact.instance_id)
            if other is not None:
                live_until = now + PEER_TIMEOUT_S - max(0.0, contact.age_s)
                other.live_until = max(other.live_until, live_until)
        self._on_heartbeat(heartbeat)


def _token_of(heartbeat: Heartbeat, shard: str) -> Token:
    for digest in heartbeat.shards:
        if digest.shard == shard:
            return digest.token
    return NO_TOKEN
