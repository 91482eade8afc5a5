"""Test the peer ports against crowds of connections that do not behave."""

import asyncio
import contextlib

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from baobabhoist.control.links import Identity, LinkServer
from baobabhoist.control.messages import CODEC, Greeting, Welcome
from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.admission import LinkLimits
from baobabhoist.peer.link import MAX_INVALID_MESSAGES, WEBSOCKET_OPTIONS, Link
from baobabhoist.peer.streams import CHUNK_BYTES, BodyChunk
from baobabhoist.testing.cluster import free_port

CROWD = 200
UNFINISHED_BYTES = 200 << 10
# A frame of 256 KiB, of which the masking key and the rest are still to come.
FRAME_HEADER = b"\x82\xff" + (256 << 10).to_bytes(8, "big")
HANDSHAKE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
LIMITS = LinkLimits(max_pending=4, max_unconfirmed=2, identify_timeout_s=0.3)


async def ignore(message):
    return None


@contextlib.asynccontextmanager
async def link_server(**options):
    """Run the peer port of an instance that owns its cell."""
    port = free_port()
    server = LinkServer(Identity("owner", "boot", is_owner=True), ignore, **options)
    await server.start("127.0.0.1", port)
    yield server, port
    await server.stop()


@contextlib.asynccontextmanager
async def open_link(port):
    conn = await connect(f"ws://127.0.0.1:{port}", **WEBSOCKET_OPTIONS)
    link = Link(conn, CODEC, ignore)
    reader = asyncio.ensure_future(link.run())
    yield link
    link.abort()
    await reader


async def greet(link, node):
    return await link.call(Greeting(node, f"boot-{node}"), 5.0)


async def count_closed(streams):
    """Return how many connections the port has closed within a second."""
    reads = [asyncio.ensure_future(reader.read()) for reader, _ in streams]
    done, pending = await asyncio.wait(reads, timeout=1.0)
    for read in pending:
        read.cancel()
    return len(done)


@contextlib.asynccontextmanager
async def silent_crowd(port, size):
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(size)]
    yield streams
    for _, writer in streams:
        writer.close()


def test_a_crowd_of_silent_connections_is_bounded_and_leaves_room_for_an_instance():
    """Guard against strangers that hold every descriptor of the process by staying silent."""

    async def scenario():
        async with link_server() as (_, port), silent_crowd(port, CROWD) as streams:
            async with open_link(port) as link:
                assert isinstance(await greet(link, "b"), Welcome)
            assert await count_closed(streams) >= CROWD // 4

    asyncio.run(scenario())


def test_a_connection_that_never_identifies_itself_is_closed():
    """Guard against links that complete the handshake and stay open for ever without a name."""

    async def scenario():
        async with link_server(limits=LIMITS) as (_, port), open_link(port) as link:
            async with asyncio.timeout(10.0):
                await link._conn.wait_closed()

    asyncio.run(scenario())


def test_instances_with_unknown_names_are_bounded():
    """Guard against strangers that hold every descriptor with names that they make up."""

    async def scenario():
        async with (
            link_server(limits=LIMITS) as (server, port),
            contextlib.AsyncExitStack() as stack,
        ):
            for number in range(LIMITS.max_unconfirmed):
                await greet(await stack.enter_async_context(open_link(port)), f"n{number}")
            late = await stack.enter_async_context(open_link(port))
            with pytest.raises(LinkClosedError):
                await greet(late, "late")
            assert sorted(server.links) == ["n0", "n1"]

    asyncio.run(scenario())


def test_frames_that_stop_just_short_of_their_end_are_bounded_together():
    """Guard against strangers that take the memory with many legal frames that never end."""

    async def scenario():
        limits = LinkLimits(max_bytes=1 << 20)
        async with link_server(limits=limits) as (_, port), silent_crowd(port, 20) as streams:
            for _, writer in streams:
                writer.write(HANDSHAKE + FRAME_HEADER + bytes(UNFINISHED_BYTES))
            assert await count_closed(streams) >= 20 - limits.max_bytes // UNFINISHED_BYTES

    asyncio.run(scenario())


def test_chunk_streams_that_never_end_are_bounded_together():
    """Guard against links that each hold the largest message that the protocol allows."""

    async def scenario():
        limits = LinkLimits(max_bytes=1 << 20)
        async with link_server(limits=limits) as (server, port), contextlib.AsyncExitStack() as s:
            for number in range(4):
                link = await s.enter_async_context(open_link(port))
                await greet(link, f"n{number}")
                for offset in range(0, 6 * CHUNK_BYTES, CHUNK_BYTES // 2):
                    await link.notify(BodyChunk(1, offset, False, bytes(CHUNK_BYTES // 2)))
            async with asyncio.timeout(10.0):
                while len(server.links) > 2:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_tiny_frames_before_the_identification_are_bounded():
    """Guard against strangers that hold the event loop with frames without content."""

    async def scenario():
        async with link_server() as (_, port), open_link(port) as link:
            with pytest.raises(ConnectionClosed):
                for _ in range(4 * LIMITS.max_pending_frames):
                    await link._conn.ping()
                await asyncio.wait_for(link._conn.wait_closed(), 1.0)
                raise link._conn.protocol.close_exc

    asyncio.run(scenario())


def test_link_keeps_the_name_that_it_gave_first():
    """Guard against one link that enters any number of names, which stay after its end."""

    async def scenario():
        async with link_server() as (server, port), open_link(port) as link:
            await greet(link, "a")
            await greet(link, "a")
            with pytest.raises(LinkClosedError):
                await greet(link, "b")
            async with asyncio.timeout(10.0):
                while server.links:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_instance_that_connects_again_takes_the_place_of_its_last_connection():
    """Guard against an instance that finds its place taken by what is left of its own link."""

    async def scenario():
        async with link_server(limits=LIMITS) as (server, port), contextlib.AsyncExitStack() as s:
            links = [await s.enter_async_context(open_link(port)) for _ in range(3)]
            for link, node in zip(links, ("a", "b", "a"), strict=True):
                assert isinstance(await greet(link, node), Welcome)
            async with asyncio.timeout(10.0):
                await links[0]._conn.wait_closed()
            assert sorted(server.links) == ["a", "b"]
            assert not links[2].closed

    asyncio.run(scenario())


def test_unfinished_messages_end_with_their_link():
    """Guard against memory of strangers that stays until the next garbage collection."""

    async def scenario():
        accepted = []

        async def accept(conn):
            accepted.append(Link(conn, CODEC, ignore))
            await accepted[0].run()

        port = free_port()
        async with serve(accept, "127.0.0.1", port, **WEBSOCKET_OPTIONS):
            async with open_link(port) as link:
                await link.notify(BodyChunk(1, 0, False, b"a"))
                await link.close()
            async with asyncio.timeout(10.0):
                while not accepted[0].closed:
                    await asyncio.sleep(0.01)
            assert accepted[0]._assembler.buffers == {}

    asyncio.run(scenario())


def test_link_with_many_invalid_messages_is_closed(caplog):
    """Guard against a stranger that fills the log with a line for each message."""

    async def scenario():
        async with link_server() as (_, port), open_link(port) as link:
            await greet(link, "a")
            with contextlib.suppress(ConnectionClosed):
                for _ in range(2 * MAX_INVALID_MESSAGES):
                    await link._conn.send(b"invalid")
            async with asyncio.timeout(10.0):
                await link._conn.wait_closed()

    asyncio.run(scenario())
    lines = [r for r in caplog.records if "discarded an invalid message" in r.getMessage()]
    assert len(lines) == MAX_INVALID_MESSAGES + 1
