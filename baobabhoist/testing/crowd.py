"""Play a crowd of clients that do not behave: bodies that never end, unread answers, idle ones."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Iterator

import attrs

from baobabhoist.peer.codec import Codec
from baobabhoist.peer.streams import BodyChunk

HOST = "127.0.0.1"
KIB, MIB = 1 << 10, 1 << 20
PIECE_BYTES = 16 * KIB
CHUNK_BYTES = 64 * KIB
FAR_OVER_LIMIT_BYTES = 64 * MIB
ANNOUNCED_BYTES = 8 << 30
# Sent by one member over all of its connections.
MEMBER_MAX_BYTES = 128 * MIB
CROWD_MAX_S = 150.0
# Covers the second repetition of an opening packet that the kernel dropped.
SETTLE_MAX_S = 10.0
STALL_S = 1.0
POLL_INTERVAL_S = 0.05
RECONNECT_PAUSE_S = 1.0
# A member that does not read its answers lets them fill the buffers of both ends.
UNREAD_LIMIT_BYTES = 1
FEW_MEMBERS, MANY_MEMBERS, TOO_MANY_MEMBERS = 20, 200, 400


@attrs.frozen
class Target:
    """Hold the port that a crowd connects to, and what a well-behaved client would send there."""

    port: int
    # The request line and the headers, without those that frame the body.
    head: str
    max_body_bytes: int
    codec: Codec | None = None

    def start(self, *framing: str, method: str = "") -> bytes:
        """Return the head of a request whose body is framed by the given headers."""
        request_line, *headers = self.head.split("\r\n")
        path = request_line.partition(" ")[2]
        lines = [f"{method} {path}" if method else request_line, *headers, *framing]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


@attrs.frozen
class Behaviour:
    """Describe the members of a crowd: what each sends, in which pieces and at which pace."""

    pieces: Callable[[Target], Iterator[bytes]]
    member_count: int = FEW_MEMBERS
    pause_s: float = 0.0
    reads_answers: bool = True


def _chunk(size: int) -> bytes:
    return f"{size:x}\r\n".encode() + b" " * size + b"\r\n"


def _whole_body(target: Target) -> Iterator[bytes]:
    size = target.max_body_bytes
    yield target.start(f"Content-Length: {size}") + b" " * (size - 1)


def _body_in_pieces(target: Target) -> Iterator[bytes]:
    yield target.start(f"Content-Length: {target.max_body_bytes}")
    yield from itertools.repeat(b" " * PIECE_BYTES, target.max_body_bytes // PIECE_BYTES - 1)
    yield b" " * (PIECE_BYTES - 1)


def _large_chunks(target: Target) -> Iterator[bytes]:
    yield target.start("Transfer-Encoding: chunked")
    yield from itertools.repeat(_chunk(CHUNK_BYTES), target.max_body_bytes // CHUNK_BYTES - 1)
    yield _chunk(CHUNK_BYTES - 1)


def _endless_chunks(target: Target) -> Iterator[bytes]:
    yield target.start("Transfer-Encoding: chunked")
    yield from itertools.repeat(_chunk(CHUNK_BYTES), FAR_OVER_LIMIT_BYTES // CHUNK_BYTES)


def _tiny_chunks(target: Target) -> Iterator[bytes]:
    yield target.start("Transfer-Encoding: chunked")
    yield from itertools.repeat(_chunk(2) * (CHUNK_BYTES // len(_chunk(2))))


def _announced_far_over_limit(target: Target) -> Iterator[bytes]:
    yield target.start(f"Content-Length: {ANNOUNCED_BYTES}")
    yield from itertools.repeat(b" " * CHUNK_BYTES, FAR_OVER_LIMIT_BYTES // CHUNK_BYTES)


def _endless_headers(target: Target) -> Iterator[bytes]:
    yield target.start().removesuffix(b"\r\n")
    line = b"X-Pad: " + b"x" * KIB + b"\r\n"
    yield from itertools.repeat(line, FAR_OVER_LIMIT_BYTES // len(line))


def _slow_headers(target: Target) -> Iterator[bytes]:
    yield target.start().removesuffix(b"\r\n")
    yield from itertools.repeat(b"x")


def _idle(target: Target) -> Iterator[bytes]:
    yield b""


def _unread_queries(target: Target) -> Iterator[bytes]:
    yield from itertools.repeat(target.start(method="GET") * 100)


def _unfinished_messages(target: Target) -> Iterator[bytes]:
    """Open a WebSocket and send a message of the largest body's size without its last chunk."""
    assert target.codec is not None
    yield target.start(
        "Connection: Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==",
    )
    for offset in range(0, target.max_body_bytes, CHUNK_BYTES):
        chunk = BodyChunk(1, offset, last=False, data=b" " * CHUNK_BYTES)
        yield _masked_frame(target.codec.encode(chunk))


def _masked_frame(payload: bytes) -> bytes:
    """Return a binary WebSocket frame; its mask of zeros leaves the payload as it is."""
    return b"\x82\xff" + len(payload).to_bytes(8, "big") + bytes(4) + payload


BEHAVIOURS = {
    "whole_bodies": Behaviour(_whole_body),
    "bodies_in_pieces": Behaviour(_body_in_pieces),
    "large_chunks": Behaviour(_large_chunks),
    "endless_chunks": Behaviour(_endless_chunks),
    "tiny_chunks": Behaviour(_tiny_chunks, MANY_MEMBERS),
    "announced_far_over_limit": Behaviour(_announced_far_over_limit),
    "endless_headers": Behaviour(_endless_headers),
    "slow_headers": Behaviour(_slow_headers, TOO_MANY_MEMBERS, pause_s=0.2),
    "idle": Behaviour(_idle, TOO_MANY_MEMBERS),
    "unread_answers": Behaviour(_unread_queries, reads_answers=False),
    "unfinished_messages": Behaviour(_unfinished_messages),
}


@attrs.define
class Member:
    """Keep one connection open; open another when the server closes it."""

    target: Target
    behaviour: Behaviour
    sent_bytes: int = 0
    has_connected: bool = False
    # Whether a connection has sent everything or was closed by the server.
    is_settled: bool = False

    async def run(self) -> None:
        """Connect again and again, until the bytes or the time of a member are used up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_MAX_S):
                while self.sent_bytes < MEMBER_MAX_BYTES:
                    with contextlib.suppress(OSError):
                        await self._connect()
                    self.is_settled = True
                    await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect(self) -> None:
        limit = CHUNK_BYTES if self.behaviour.reads_answers else UNREAD_LIMIT_BYTES
        reader, writer = await asyncio.open_connection(HOST, self.target.port, limit=limit)
        self.has_connected = True
        try:
            await self._send(writer)
            self.is_settled = True
            while self.behaviour.reads_answers and await reader.read(CHUNK_BYTES):
                pass
            if not self.behaviour.reads_answers:
                await asyncio.Event().wait()
        finally:
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        for piece in self.behaviour.pieces(self.target):
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
            await asyncio.sleep(self.behaviour.pause_s)
            if self.sent_bytes >= MEMBER_MAX_BYTES:
                return


@attrs.define
class Crowd:
    """Run the members of a crowd while used as an asynchronous context manager."""

    target: Target
    behaviour: Behaviour
    members: list[Member] = attrs.Factory(list)
    _tasks: list[asyncio.Task[None]] = attrs.Factory(list)

    async def __aenter__(self) -> Crowd:
        """Start the members."""
        for _ in range(self.behaviour.member_count):
            self.members.append(Member(self.target, self.behaviour))
        self._tasks = [asyncio.create_task(member.run()) for member in self.members]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def wait_until_settled(self) -> None:
        """Wait until every member has sent all it can, or the server reads no more."""
        deadline = time.monotonic() + SETTLE_MAX_S
        progress, stalled_at = (0, 0), time.monotonic() + STALL_S
        while time.monotonic() < deadline:
            connected_count = sum(m.has_connected or m.is_settled for m in self.members)
            if all(member.is_settled for member in self.members):
                return
            if (connected_count, self.sent_bytes) != progress:
                progress = (connected_count, self.sent_bytes)
                stalled_at = time.monotonic() + STALL_S
            elif time.monotonic() >= stalled_at and connected_count == len(self.members):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes the members have handed to the kernel."""
        return sum(member.sent_bytes for member in self.members)
