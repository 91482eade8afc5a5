"""Test that the relay injects exactly the faults that the soak requests."""

import asyncio
import contextlib
import os

import pytest

from baobabhoist.testing.cluster import free_port
from baobabhoist.testing.network import Relay, parse_relay

# How long the absence of an echo is watched, and how long an expected echo may take at most.
NO_REPLY_S = 0.2
REPLY_TIMEOUT_S = 10.0


async def echo(reader, writer):
    with contextlib.closing(writer):
        while data := await reader.read(100):
            writer.write(data)


async def is_echoed(conn, is_expected=True):
    """Return whether data sent over a connection is echoed; an expected echo may take longer."""
    reader, writer = conn
    try:
        writer.write(b"ping")
        async with asyncio.timeout(REPLY_TIMEOUT_S if is_expected else NO_REPLY_S):
            return await reader.readexactly(4) == b"ping"
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return False


async def run_with_relay(scenario):
    target = free_port()
    relay = Relay("r", free_port(), target)
    opened = []

    async def connect():
        opened.append(await asyncio.open_connection("127.0.0.1", relay.listen_port))
        return opened[-1]

    async with await asyncio.start_server(echo, "127.0.0.1", target), await relay.start():
        outcome = await scenario(relay, connect)
        for conn in list(relay.connections):
            conn.client.transport.abort()
        for _, writer in opened:
            writer.transport.abort()
        await asyncio.sleep(0)
    return outcome


@pytest.mark.parametrize(
    ("mode", "open_works", "new_works"),
    [("pass", True, True), ("cut", False, False), ("silent", False, True),
     ("blackhole", False, False)],
)  # fmt: skip
def test_mode_affects_open_and_new_connections(mode, open_works, new_works):
    """Guard against silenced connections that are closed, and cut ones that forward data."""

    async def scenario(relay, connect):
        first = await connect()
        assert await is_echoed(first)
        await relay.set_fault(mode, 0.0, None)
        outcome = (
            await is_echoed(first, open_works),
            await is_echoed(await connect(), new_works),
        )
        if mode == "silent":
            assert not first[0].at_eof()
        await relay.set_fault("pass", 0.0, None)
        assert await is_echoed(first, open_works) == open_works
        assert await is_echoed(await connect())
        return outcome

    assert asyncio.run(run_with_relay(scenario)) == (open_works, new_works)


def test_fault_of_one_source_does_not_affect_others():
    """Guard against a partition of one data centre that also cuts off the others."""

    async def scenario(relay, connect):
        relay.resolver.labels = {os.getpid(): "north"}
        first = await connect()
        assert await is_echoed(first)
        await relay.set_fault("cut", 0.0, "south")
        while_south_is_cut = await is_echoed(first), await is_echoed(await connect())
        await relay.set_fault("cut", 0.0, "north")
        while_north_is_cut = (
            await is_echoed(first, False),
            await is_echoed(await connect(), False),
        )
        return while_south_is_cut, while_north_is_cut

    assert asyncio.run(run_with_relay(scenario)) == ((True, True), (False, False))


def test_relay_names_may_contain_separators():
    """Guard against names with colons that are split at the wrong place."""
    relay = parse_relay("peer:a>b=7000:7001")
    assert (relay.name, relay.listen_port, relay.target_port) == ("peer:a>b", 7000, 7001)
