"""Test the links between instances over real sockets."""

import asyncio
import contextlib

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
    Heard,
    Heartbeat,
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
async def linked(handler):
    """Connect a link to a server whose links use a handler."""

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


def test_large_bodies_arrive_whole_and_out_of_order():
    """Guard against mixed bodies, and against small calls that wait for large ones."""

    async def scenario():
        async with linked(echo) as link:
            sizes = [5_000_000, 10, 700_000, 65_536, 65_537]
            bodies = [bytes([number]) * size for number, size in enumerate(sizes)]
            calls = [
                link.call(RelayRequest(request(f"r{number}", body)), 20.0)
                for number, body in enumerate(bodies)
            ]
            order = []

            async def note(number, call):
                reply = await call
                order.append(number)
                return reply.answer.body

            found = await asyncio.gather(*(note(n, call) for n, call in enumerate(calls)))
            assert found == bodies
            assert order.index(1) < order.index(0)

    asyncio.run(scenario())


def test_a_cancelled_transfer_leaves_the_link_usable():
    """Guard against a sender that goes away in the middle and blocks those behind it."""

    async def scenario():
        async with linked(echo) as link:
            large = RelayRequest(request("large", b"x" * 50_000_000))
            with pytest.raises(TimeoutError):
                await link.call(large, 0.05)
            reply = await link.call(RelayRequest(request("small", b"y")), 10.0)
            assert reply.answer.body == b"y"

    asyncio.run(scenario())


def test_a_closed_link_says_that_nothing_was_sent():
    """Guard against `unknown` for a call that certainly did not leave this instance."""

    async def scenario():
        async with linked(echo) as link:
            link.abort()
            with pytest.raises(MessageNotSentError):
                await link.call(Ack(), 1.0)

    asyncio.run(scenario())


def test_calls_that_are_open_when_a_connection_ends_fail_at_once():
    """Guard against callers that wait until their deadline for a dead connection."""

    async def scenario():
        async def never(message):
            await asyncio.Event().wait()

        async with linked(never) as link:
            call = asyncio.ensure_future(link.call(Ack(), 60.0))
            await asyncio.sleep(0.05)
            link.abort()
            with pytest.raises(LinkClosedError):
                await call

    asyncio.run(scenario())


def beat(name, owned=(), heard=(), epoch=1):
    token = Token(epoch, 0, name)
    digests = tuple(ShardDigest(shard, token, {}, {}, 0, 0) for shard in owned)
    return Heartbeat(name, "north", tuple(owned), 0, False, digests, tuple(heard))


def quiet_mesh(*names):
    now = [1000.0]
    peers = [PeerAddress(name, "north", "127.0.0.1", 1) for name in names]
    found = Mesh(peers, lambda: beat("me"), echo, clock=lambda: now[0])
    return found, now


def test_an_instance_is_dead_two_seconds_after_anyone_heard_it():
    """Guard against a takeover from an instance that only this one cannot hear."""

    async def scenario():
        found, now = quiet_mesh("a", "b")
        await found._receive(beat("b", ["s"]))
        now[0] += 1.9
        assert found.owner_of("s") == "b"
        await found._receive(beat("a", heard=[Heard("b", 0.5)]))
        now[0] += 1.4
        assert found.owner_of("s") == "b"
        now[0] += 0.2
        assert found.owner_of("s") is None

    asyncio.run(scenario())


def test_of_two_instances_that_report_a_shard_the_higher_token_counts():
    """Guard against requests sent to a paused owner that does not know of its successor."""

    async def scenario():
        found, _ = quiet_mesh("a", "b")
        await found._receive(beat("b", ["s"], epoch=1))
        await found._receive(beat("a", ["s"], epoch=2))
        await found._receive(beat("b", ["s"], epoch=1))
        assert found.owner_of("s") == "a"

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def running(*meshes):
    """Run meshes, given with their ports."""
    tasks = [asyncio.ensure_future(found.run("127.0.0.1", port)) for found, port in meshes]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def pair(ports, is_reachable, tls=(None, None)):
    """Return two meshes; `reach` are the ports at which each finds the other."""
    names = ("a", "b")
    found = []
    for me, other in ((0, 1), (1, 0)):
        address = PeerAddress(names[other], "north", "127.0.0.1", is_reachable[me])
        describe = lambda me=me: beat(names[me])  # noqa: E731
        found.append(Mesh([address], describe, echo, tls=tls[me]))
    return [(one, port) for one, port in zip(found, ports, strict=True)]


def test_a_silent_connection_is_replaced(monkeypatch):
    """Guard against a middlebox that forgets a connection, which then stays open for ever."""
    monkeypatch.setattr(mesh, "ACK_DEADLINE_S", 0.3)
    monkeypatch.setattr(mesh, "HEARTBEAT_INTERVAL_S", 0.05)

    async def scenario():
        ports = [free_port(), free_port()]
        relays = [Relay(f"r{port}", free_port(), port) for port in ports]
        servers = [await relay.start() for relay in relays]
        meshes = pair(ports, [relays[1].port, relays[0].port])
        (first, _), (second, _) = meshes
        async with running(*meshes):
            await until(lambda: first.peers["b"].link and second.peers["a"].link)
            old = first.peers["b"].link
            for relay in relays:
                await relay.command("silent", 0.0, None)
                await relay.command("pass", 0.0, None)
            await until(lambda: old.closed and first.peers["b"].link not in (None, old))
            reply = await first.call("b", RelayRequest(request("r", b"again")), 5.0)
            assert reply.answer.body == b"again"
        for relay, server in zip(relays, servers, strict=True):
            server.close()
            for conn in list(relay.open):
                conn.client.transport.abort()

    asyncio.run(scenario())


def test_peers_without_a_certificate_of_the_authority_are_refused(tmp_path):
    """Guard against a stranger that joins the mesh, and a reload without effect."""
    trusted, stranger = Authority("peers"), Authority("strangers")
    ca = trusted.write(tmp_path / "ca.pem")

    def identity(name, authority):
        certificate, key = tmp_path / f"{name}.pem", tmp_path / f"{name}.key"
        authority.issue(name, certificate, key)
        return TlsSettings(str(certificate), str(key), str(ca))

    async def scenario():
        ports = [free_port(), free_port()]
        good, bad = PeerTls(identity("a", trusted)), PeerTls(identity("b", stranger))
        meshes = pair(ports, [ports[1], ports[0]], (good, bad))
        (first, _), _ = meshes
        async with running(*meshes):
            await asyncio.sleep(0.5)
            assert not first.live()
            identity("b", trusted)
            assert bad.reload_if_changed()
            await until(lambda: first.live())

    asyncio.run(scenario())


def test_messages_with_missing_fields_of_a_later_release_are_read():
    """Guard against instances that cannot talk to each other during an upgrade."""
    old = attrs.evolve(beat("a"), shards=(), heard=())
    fields = CODEC.converter.unstructure(old)
    del fields["cut_off_s"], fields["weight"]
    assert CODEC.converter.structure(fields | {"later": 1}, Heartbeat) == old
