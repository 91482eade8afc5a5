"""Test the flow control and reassembly of large messages without sockets."""

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


def test_sender_waits_until_its_bytes_are_acknowledged():
    """Guard against a large body that fills the socket buffer and delays heartbeats."""

    async def scenario():
        window = SendWindow()
        for _ in range(WINDOW_BYTES // CHUNK_BYTES):
            await window.reserve(CHUNK_BYTES)
        reservation = asyncio.ensure_future(window.reserve(CHUNK_BYTES))
        await asyncio.sleep(0)
        assert not reservation.done()
        window.acknowledge(CHUNK_BYTES)
        await reservation

    asyncio.run(scenario())


def test_abort_wakes_a_waiting_sender():
    """Guard against a call that hangs after the receiver aborted its message."""

    async def scenario():
        window = SendWindow()
        await window.reserve(WINDOW_BYTES)
        reservation = asyncio.ensure_future(window.reserve(1))
        await asyncio.sleep(0)
        window.abort()
        with pytest.raises(LinkClosedError):
            await reservation

    asyncio.run(scenario())


def test_interleaved_streams_are_reassembled():
    """Guard against chunks of one message that end up in another."""
    assembler = StreamAssembler()
    assert assembler.add(BodyChunk(1, 0, False, b"ab")) == WindowUpdate(1, 2)
    assert assembler.add(BodyChunk(2, 0, False, b"xy")) == WindowUpdate(2, 2)
    assert assembler.add(BodyChunk(1, 2, True, b"c")) == b"abc"
    assert assembler.add(BodyChunk(2, 2, True, b"z")) == b"xyz"
    assert (assembler.buffers, assembler.buffered_bytes) == ({}, 0)


def test_gap_or_excess_size_aborts_the_stream(monkeypatch):
    """Guard against an incomplete message and against a sender that exhausts the memory."""
    monkeypatch.setattr(streams, "MAX_MESSAGE_BYTES", 4)
    assembler = StreamAssembler()
    assembler.add(BodyChunk(1, 0, False, b"ab"))
    aborted = StreamAborted(1, by_sender=False)
    assert assembler.add(BodyChunk(1, 3, False, b"d")) == aborted
    assert assembler.add(BodyChunk(1, 0, False, b"abcde")) == aborted
    assert assembler.buffered_bytes == 0


def test_streams_without_bytes_count_towards_the_limit(monkeypatch):
    """Guard against a sender that exhausts the memory with many streams that stay empty."""
    monkeypatch.setattr(streams, "MAX_BUFFERED_BYTES", 10_000)
    assembler = StreamAssembler()
    replies = [assembler.add(BodyChunk(number, 0, False, b"")) for number in range(100)]
    assert replies[-1] == StreamAborted(99, by_sender=False)
    assert len(assembler.buffers) < 50
