"""Test the flow control of large messages without sockets."""

import asyncio

import pytest

from baobabhoist.errors import LinkClosedError
from baobabhoist.peer import streams
from baobabhoist.peer.streams import (
    CHUNK_BYTES,
    WINDOW_BYTES,
    BodyChunk,
    SendWindow,
    StreamAborted,
    StreamAssembler,
    WindowUpdate,
)


def test_a_sender_waits_until_the_receiver_has_taken_its_bytes():
    """Guard against a large body that fills the socket and holds heartbeats back."""

    async def scenario():
        window = SendWindow()
        for _ in range(WINDOW_BYTES // CHUNK_BYTES):
            await window.reserve(CHUNK_BYTES)
        waiting = asyncio.ensure_future(window.reserve(CHUNK_BYTES))
        await asyncio.sleep(0)
        assert not waiting.done()
        window.acknowledge(CHUNK_BYTES)
        await waiting

    asyncio.run(scenario())


def test_an_aborted_sender_does_not_wait_for_ever():
    """Guard against a call that hangs because its receiver gave the message up."""

    async def scenario():
        window = SendWindow()
        await window.reserve(WINDOW_BYTES)
        waiting = asyncio.ensure_future(window.reserve(1))
        await asyncio.sleep(0)
        window.abort()
        with pytest.raises(LinkClosedError):
            await waiting

    asyncio.run(scenario())


def test_interleaved_streams_are_put_together_whole():
    """Guard against bytes of one message in another."""
    found = StreamAssembler()
    assert found.add(BodyChunk(1, 0, False, b"ab")) == WindowUpdate(1, 2)
    assert found.add(BodyChunk(2, 0, False, b"xy")) == WindowUpdate(2, 2)
    assert found.add(BodyChunk(1, 2, True, b"c")) == b"abc"
    assert found.add(BodyChunk(2, 2, True, b"z")) == b"xyz"
    assert (found.streams, found.buffered_bytes) == ({}, 0)


def test_a_gap_or_an_excess_ends_the_stream(monkeypatch):
    """Guard against a message with a hole, and against memory that a sender can exhaust."""
    monkeypatch.setattr(streams, "MAX_MESSAGE_BYTES", 4)
    found = StreamAssembler()
    found.add(BodyChunk(1, 0, False, b"ab"))
    aborted = StreamAborted(1, by_sender=False)
    assert found.add(BodyChunk(1, 3, False, b"d")) == aborted
    assert found.add(BodyChunk(1, 0, False, b"abcde")) == aborted
    assert found.buffered_bytes == 0
