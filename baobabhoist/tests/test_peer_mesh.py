"""Test the links between instances over real sockets."""

import asyncio
import contextlib
from types import SimpleNamespace

import attrs
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from baobabhoist.config.settings import TlsSettings
from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.model import Answer
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer import mesh
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.peer.mesh import Mesh, PeerAddress
from baobabhoist.peer.messages import (
    CODEC,
    Ack,
    Heartbeat,
    LastContact,
    RelayAnswer,
    RelayRequest,
    ShardDigest,
)
from baobabhoist.peer.tls import PeerTls
from baobabhoist.testing.cluster import free_port
from baobabhoist.testing.network import Relay
from baobabhoist.tests.certificates import Authority
from baobabhoist.tests.shard_harness import request, until


@contextlib.asynccontextmanager
async def connected_link(handler):
    """Connect a link to a server; both ends use the handler."""

    async def accept(conn):
        await Link(conn, CODEC, handler).run()

    port = free_port()
    async with serve(accept, "127.0.0.1", port, **WEBSOCKET_OPTIONS):
        link = Link(await connect(f"ws://127.0.0.1:{port}", **WEBSOCKET_OPTIONS), CODEC, handler)
        reader = asyncio.ensure_future(link.run())
        yield link
        await link.close()
        await reader


async def echo(message):
    if isinstance(message, RelayRequest):
        req = message.request
        return RelayAnswer(Answer(req.request_id, 200, req.task.payload))
    return Ack()


def test_large_bodies_arrive_complete_and_do_not_delay_small_ones():
    """Guard against mixed-up bodies and against small calls that wait for large ones."""

    async def scenario():
        async with connected_link(echo) as link:
            sizes = [5_000_000, 10, 700_000, 65_536, 65_537]
            bodies = [bytes([number]) * size for number, size in enumerate(sizes)]
            calls = [
                link.call(RelayRequest(request(f"r{number}", body)), 20.0)
                for number, body in enumerate(bodies)
            ]
            completed = []

            async def record_completion(number, call):
                reply = await call
                completed.append(number)
                return reply.answer.body

            received = await asyncio.gather(
                *(record_completion(n, call) for n, call in enumerate(calls))
            )
            assert received == bodies
            assert completed.index(1) < completed.index(0)

    asyncio.run(scenario())


def test_link_stays_usable_after_a_cancelled_transfer():
    """Guard against a transfer that is cancelled halfway and blocks later messages."""

    async def scenario():
        async with connected_link(echo) as link:
            large = RelayRequest(request("large", b"x" * 50_000_000))
            with pytest.raises(TimeoutError):
                await link.call(large, 0.05)
            reply = await link.call(RelayRequest(request("small", b"y")), 10.0)
            assert reply.answer.body == b"y"

    asyncio.run(scenario())


def test_call_on_a_closed_link_reports_that_nothing_was_sent():
    """Guard against an outcome of `unknown` for a call that was certainly not sent."""

    async def scenario():
        async with connected_link(echo) as link:
            link.abort()
            with pytest.raises(MessageNotSentError):
                await link.call(Ack(), 1.0)

    asyncio.run(scenario())


def test_pending_calls_fail_as_soon_as_the_connection_ends():
    """Guard against callers that wait on a dead connection until their timeout."""

    async def scenario():
        async def never(message):
            await asyncio.Event().wait()

        async with connected_link(never) as link:
            pending = asyncio.ensure_future(link.call(Ack(), 60.0))
            await asyncio.sleep(0.05)
            link.abort()
            with pytest.raises(LinkClosedError):
                await pending

    asyncio.run(scenario())


def make_heartbeat(name, owned=(), heard=(), epoch=1):
    token = Token(epoch, 0, name)
    digests = tuple(ShardDigest(shard, token, {}, {}, 0, 0) for shard in owned)
    return Heartbeat(name, "north", tuple(owned), 0, False, digests, tuple(heard))


def mesh_with_clock(*names):
    now = [1000.0]
    peers = [PeerAddress(name, "north", "127.0.0.1", 1) for name in names]
    own_mesh = Mesh(peers, lambda: make_heartbeat("me"), echo, clock=lambda: now[0])
    return own_mesh, now


def test_instance_is_dead_two_seconds_after_its_last_heartbeat_to_anyone():
    """Guard against a takeover from an instance that is unreachable from this one only."""

    async def scenario():
        own_mesh, now = mesh_with_clock("a", "b")
        await own_mesh._handle_message(make_heartbeat("b", ["s"]))
        now[0] += 1.9
        assert own_mesh.owner_of("s") == "b"
        await own_mesh._handle_message(make_heartbeat("a", heard=[LastContact("b", 0.5)]))
        now[0] += 1.4
        assert own_mesh.owner_of("s") == "b"
        now[0] += 0.2
        assert own_mesh.owner_of("s") is None

    asyncio.run(scenario())


def test_highest_token_decides_which_instance_owns_a_shard():
    """Guard against requests to a paused former owner that still reports its shard."""

    async def scenario():
        own_mesh, _ = mesh_with_clock("a", "b")
        await own_mesh._handle_message(make_heartbeat("b", ["s"], epoch=1))
        await own_mesh._handle_message(make_heartbeat("a", ["s"], epoch=2))
        await own_mesh._handle_message(make_heartbeat("b", ["s"], epoch=1))
        assert own_mesh.owner_of("s") == "a"

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def running(*meshes):
    """Run meshes, each given with its port."""
    tasks = [asyncio.ensure_future(own_mesh.run("127.0.0.1", port)) for own_mesh, port in meshes]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def mesh_pair(ports, peer_ports, tls=(None, None)):
    """Return two meshes; `peer_ports` are the ports on which each connects to the other."""
    names = ("a", "b")
    meshes = []
    for me, other in ((0, 1), (1, 0)):
        address = PeerAddress(names[other], "north", "127.0.0.1", peer_ports[me])
        make_own_heartbeat = lambda me=me: make_heartbeat(names[me])  # noqa: E731
        meshes.append(Mesh([address], make_own_heartbeat, echo, tls=tls[me]))
    return [(own_mesh, port) for own_mesh, port in zip(meshes, ports, strict=True)]


def make_own_heartbeat():
    return make_heartbeat("a")


@contextlib.asynccontextmanager
async def connect_when_ready(port):
    async with asyncio.timeout(5.0):
        while True:
            with contextlib.suppress(OSError):
                conn = await connect(f"ws://127.0.0.1:{port}", **WEBSOCKET_OPTIONS)
                break
            await asyncio.sleep(0.01)
    yield conn
    conn.transport.abort()


def test_unresponsive_connection_is_replaced(monkeypatch):
    """Guard against a connection that a middlebox dropped silently and that stays open forever."""
    monkeypatch.setattr(mesh, "ACK_TIMEOUT_S", 0.3)
    monkeypatch.setattr(mesh, "HEARTBEAT_INTERVAL_S", 0.05)

    async def scenario():
        ports = [free_port(), free_port()]
        relays = [Relay(f"r{port}", free_port(), port) for port in ports]
        servers = [await relay.start() for relay in relays]
        meshes = mesh_pair(ports, [relays[1].listen_port, relays[0].listen_port])
        (first, _), (second, _) = meshes
        async with running(*meshes):
            await until(lambda: first.peers["b"].outbound_link and second.peers["a"].outbound_link)
            old = first.peers["b"].outbound_link
            for relay in relays:
                await relay.set_fault("silent", 0.0, None)
                await relay.set_fault("pass", 0.0, None)
            await until(lambda: old.closed and first.peers["b"].outbound_link not in (None, old))
            reply = await first.call("b", RelayRequest(request("r", b"again")), 5.0)
            assert reply.answer.body == b"again"
        for relay, server in zip(relays, servers, strict=True):
            server.close()
            for conn in list(relay.connections):
                conn.client.transport.abort()

    asyncio.run(scenario())


def test_peer_needs_a_certificate_of_the_trusted_authority(tmp_path):
    """Guard against an untrusted peer in the mesh and a certificate reload without effect."""
    trusted, untrusted = Authority("peers"), Authority("untrusted")
    ca = trusted.write(tmp_path / "ca.pem")

    def identity(name, authority):
        certificate, key = tmp_path / f"{name}.pem", tmp_path / f"{name}.key"
        authority.issue(name, certificate, key)
        return TlsSettings(str(certificate), str(key), str(ca))

    async def scenario():
        ports = [free_port(), free_port()]
        good, bad = PeerTls(identity("a", trusted)), PeerTls(identity("b", untrusted))
        meshes = mesh_pair(ports, [ports[1], ports[0]], (good, bad))
        (first, _), _ = meshes
        async with running(*meshes):
            await asyncio.sleep(0.5)
            assert not first.live_peers()
            identity("b", trusted)
            assert bad.reload_if_changed()
            await until(lambda: first.live_peers())

    asyncio.run(scenario())


def test_messages_of_older_and_newer_releases_are_decoded():
    """Guard against instances that cannot exchange messages during a rolling upgrade."""
    old = attrs.evolve(make_heartbeat("a"), shards=(), heard=())
    fields = CODEC.converter.unstructure(old)
    del fields["cut_off_s"], fields["weight"]
    assert CODEC.converter.structure(fields | {"later": 1}, Heartbeat) == old


def test_message_whose_handler_crashes_leaves_a_line(caplog):
    """Guard against a caller that waits for an answer which a crash has prevented, unnoticed."""

    async def fail(message):
        raise ValueError("broken handler")

    async def scenario():
        async with connected_link(fail) as link:
            with pytest.raises(TimeoutError):
                await link.call(RelayRequest(request("small", b"y")), 0.2)

    asyncio.run(scenario())
    lines = [r.getMessage() for r in caplog.records]
    assert lines == ["background task Link._handle failed: ValueError('broken handler')"]


def test_sending_over_an_aborted_link_is_reported_as_closed():
    """Guard against a sender that crashes because its link was replaced meanwhile."""

    class AbortedConnection:
        transport = SimpleNamespace(abort=lambda: None)

        async def send(self, data):
            # websockets 17 aborts the transport again, which has no event loop any more.
            raise AttributeError("'NoneType' object has no attribute 'call_soon'")

    async def scenario():
        link = Link(AbortedConnection(), CODEC, echo)
        link.abort()
        with pytest.raises(LinkClosedError):
            await link.notify(RelayRequest(request("small", b"y")))

    asyncio.run(scenario())


def test_call_times_out_while_the_connection_carries_nothing():
    """Guard against callers that wait for a choked link longer than their timeout."""

    class ChokedConnection:
        async def send(self, data):
            await asyncio.Event().wait()

    async def scenario():
        link = Link(ChokedConnection(), CODEC, echo)
        async with asyncio.timeout(5.0):
            with pytest.raises(TimeoutError, match="no reply"):
                await link.call(RelayRequest(request("small", b"y")), 0.01)

    asyncio.run(scenario())


def test_listed_name_holds_one_connection_of_a_peer_port():
    """Guard against a stranger that opens any number of connections with the name of a peer."""

    async def scenario():
        port = free_port()
        own_mesh = Mesh([PeerAddress("b", "north", "127.0.0.1", 1)], make_own_heartbeat, echo)
        async with running((own_mesh, port)), contextlib.AsyncExitStack() as stack:
            links = []
            for _ in range(3):
                conn = await stack.enter_async_context(connect_when_ready(port))
                links.append(Link(conn, CODEC, echo))
                stack.callback(asyncio.ensure_future(links[-1].run()).cancel)
                assert await links[-1].call(make_heartbeat("b"), 5.0) == Ack()
            async with asyncio.timeout(10.0):
                while not (links[0].closed and links[1].closed):
                    await asyncio.sleep(0.01)
            assert not links[2].closed
            assert [peer.address.instance_id for peer in own_mesh.live_peers()] == ["b"]

    asyncio.run(scenario())
