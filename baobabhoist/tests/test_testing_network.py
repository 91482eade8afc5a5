"""Test that the relay's faults are those that the soak believes it injects."""

import asyncio
import os

import pytest

from baobabhoist.testing.cluster import free_port
from baobabhoist.testing.network import Relay, parse_relay

PATIENCE_S = 0.2


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def answers(conn):
    """Tell whether an echo comes back."""
    reader, writer = conn
    try:
        writer.write(b"ping")
        async with asyncio.timeout(PATIENCE_S):
            return await reader.readexactly(4) == b"ping"
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return False


async def with_relay(scenario):
    target = free_port()
    relay = Relay("r", free_port(), target)
    async with await asyncio.start_server(echo, "127.0.0.1", target), await relay.start():
        outcome = await scenario(
            relay, lambda: asyncio.open_connection("127.0.0.1", relay.listen_port)
        )
        for conn in list(relay.connections):
            conn.client.transport.abort()
        await asyncio.sleep(0)
    return outcome


@pytest.mark.parametrize(
    ("mode", "old", "new"),
    [("pass", True, True), ("cut", False, False), ("silent", False, True),
     ("blackhole", False, False)],
)  # fmt: skip
def test_modes(mode, old, new):
    """Guard against a silent connection that is closed, or a cut that lets data through."""

    async def scenario(relay, connect):
        first = await connect()
        assert await answers(first)
        await relay.set_fault(mode, 0.0, None)
        outcome = await answers(first), await answers(await connect())
        if mode == "silent":
            assert not first[0].at_eof()
        await relay.set_fault("pass", 0.0, None)
        assert await answers(first) == old
        assert await answers(await connect())
        return outcome

    assert asyncio.run(with_relay(scenario)) == (old, new)


def test_a_fault_of_one_source_leaves_the_others():
    """Guard against a cut data centre that also cuts the others."""

    async def scenario(relay, connect):
        relay.resolver.labels = {os.getpid(): "north"}
        first = await connect()
        assert await answers(first)
        await relay.set_fault("cut", 0.0, "south")
        there = await answers(first), await answers(await connect())
        await relay.set_fault("cut", 0.0, "north")
        return there, (await answers(first), await answers(await connect()))

    assert asyncio.run(with_relay(scenario)) == ((True, True), (False, False))


def test_relays_are_named_on_the_command_line():
    """Guard against names with the separators in them."""
    relay = parse_relay("peer:a>b=7000:7001")
    assert (relay.name, relay.listen_port, relay.target_port) == ("peer:a>b", 7000, 7001)
