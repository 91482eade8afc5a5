"""Test the peer ports against crowds of connections that do not behave."""

import asyncio
import contextlib

import pytest
from websockets.asyncio.client import connect

from baobabhoist.control.links import Identity, LinkServer
from baobabhoist.control.messages import CODEC, Greeting, Welcome
from baobabhoist.errors import LinkClosedError
from baobabhoist.peer.admission import LinkLimits
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.testing.cluster import free_port

CROWD = 200
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
    """Return how many connections the port has closed; the others stay silent."""
    reads = [asyncio.ensure_future(reader.read(1)) for reader, _ in streams]
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
