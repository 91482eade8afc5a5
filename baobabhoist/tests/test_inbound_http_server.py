"""Test the bounded HTTP server over real sockets, with limits that a few clients reach."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from baobabhoist.errors import HTTP_STATUS, ErrorKind, Refusal
from baobabhoist.inbound.http_server import BoundedHTTPServer, early_refusal
from baobabhoist.inbound.intake import Intake
from baobabhoist.inbound.limits import InboundLimits

HOST = "127.0.0.1"
LIMITS = InboundLimits(
    max_connections=20,
    max_waiting=20,
    max_sending=2,
    body_memory_bytes=4_000,
    small_reserve_bytes=1_000,
    small_body_bytes=500,
    pieces_per_s=1e9,
    min_stall_s=60.0,
    discard_bytes=2_000,
    discard_timeout_s=0.2,
)
MAX_BODY_BYTES = 3_000
FORBIDDEN = Refusal(ErrorKind.FORBIDDEN, "the path is forbidden")
# More than the kernel buffers for a client that does not read.
LARGE_ANSWER_BYTES = 32 << 20
TIMEOUT_S = 10.0


class EchoHandler(RequestHandler):
    """Answer with the size of the body."""

    def post(self) -> None:
        refusal = early_refusal(self.request)
        if refusal is None:
            self.finish(str(len(self.request.body)))
            return
        self.set_status(HTTP_STATUS[refusal.kind])
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(round(refusal.retry_after_s)))
        self.finish(refusal.message)

    def get(self) -> None:
        self.finish(b"x" * LARGE_ANSWER_BYTES)


@attrs.define
class Client:
    """Speak HTTP over one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def begin(self, size: int, path: str = "/", method: str = "POST") -> None:
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n".encode()
        )

    def begin_chunked(self, path: str = "/") -> None:
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.writer.write(head.encode())

    async def receive(self) -> tuple[int, str, str]:
        """Return the status of the next answer, its Retry-After and its body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        headers = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
        body = await self.reader.readexactly(int(headers["Content-Length"]))
        return int(head.split()[1]), headers.get("Retry-After", ""), body.decode()

    async def is_closed(self) -> bool:
        try:
            while await self.reader.read(1 << 20):
                pass
        except ConnectionResetError:
            pass
        return True


@attrs.define
class Harness:
    """Run a server for one test."""

    intake: Intake
    port: int
    clients: list[Client] = attrs.Factory(list)

    async def connect(self) -> Client:
        client = Client(*await asyncio.open_connection(HOST, self.port))
        self.clients.append(client)
        return client

    async def is_serving(self) -> bool:
        client = await self.connect()
        client.begin(3)
        client.writer.write(b"abc")
        answer = await client.receive()
        client.writer.close()
        return answer == (200, "", "3")

    async def begin_bodies(self, count: int, size: int) -> list[Client]:
        """Send bodies that stop just short of their ends, and wait until the server has them."""
        clients = [await self.connect() for _ in range(count)]
        for client in clients:
            client.begin(size)
            client.writer.write(b"x" * (size - 1))
        while self.intake.bodies.used_bytes < min(count * (size - 1), MAX_BODY_BYTES - size):
            await asyncio.sleep(0.01)
        return clients


def check_early(start_line, headers, body_bytes):
    return FORBIDDEN if start_line.path == "/forbidden" else None


def run_test(test: Callable[[Harness], Awaitable[None]], **limits) -> None:
    async def run() -> None:
        intake = Intake(attrs.evolve(LIMITS, **limits))
        app = Application([(r".*", EchoHandler)])
        server = BoundedHTTPServer(app, intake, MAX_BODY_BYTES, check_early)
        sockets = bind_sockets(0, HOST)
        server.add_sockets(sockets)
        harness = Harness(intake, sockets[0].getsockname()[1])
        async with asyncio.timeout(TIMEOUT_S):
            await test(harness)
        for client in harness.clients:
            client.writer.transport.abort()
        server.stop()
        await server.close_all_connections()
        assert intake.bodies.used_bytes == 0
        assert len(intake.connections) == 0

    asyncio.run(run())


# Guards against many unfinished bodies that together fill the memory.
def test_the_sum_of_unfinished_bodies_is_bounded():
    async def test(harness: Harness) -> None:
        crowd = await harness.begin_bodies(8, 1_000)
        answers = [asyncio.create_task(client.receive()) for client in crowd]
        done, pending = await asyncio.wait(answers, timeout=0.5)
        assert len(pending) == 3  # As many as fit beside the reserve.
        assert {answer.result()[:2] for answer in done} == {(503, "1")}
        assert harness.intake.bodies.used_bytes <= LIMITS.body_memory_bytes
        assert await harness.is_serving()
        for client in crowd:
            client.writer.write(b"x")
        assert [(await answer)[0] for answer in answers].count(200) == 3

    run_test(test)


# Guards against stalled bodies that shut out a caller who sends a large one.
def test_a_stalled_body_is_given_up_for_another():
    async def test(harness: Harness) -> None:
        crowd = await harness.begin_bodies(3, 1_000)
        client = await harness.connect()
        client.begin(1_000)
        client.writer.write(b"x" * 1_000)
        assert await client.receive() == (200, "", "1000")
        assert (await crowd[0].receive())[:2] == (503, "1")

    run_test(test, min_stall_s=0.0)


# Guards against a body over the limit that is read before it is refused.
@pytest.mark.parametrize("announced", [True, False])
def test_a_body_over_the_limit_is_refused_before_its_end(announced):
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        if announced:
            client.begin(MAX_BODY_BYTES + 1)
        else:
            client.begin_chunked()
            client.writer.write(b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1))
        assert (await client.receive())[0] == 413
        assert await client.is_closed()

    run_test(test, body_memory_bytes=10_000)


# Guards against a request that is refused for its key or route after its whole body was read.
@pytest.mark.parametrize("size", [400, 1_000])
def test_a_request_is_refused_before_its_body(size):
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        client.begin(size, "/forbidden")
        client.writer.write(b"x")
        assert await client.receive() == (403, "", FORBIDDEN.message)
        client.writer.write(b"x" * (size - 1))
        client.begin(1)
        client.writer.write(b"x")
        assert await client.receive() == (200, "", "1")

    run_test(test)


# Guards against a connection that stays open for the rest of a refused body.
def test_the_rest_of_a_refused_body_is_not_read_for_long():
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        client.begin_chunked("/forbidden")
        client.writer.write(b"1\r\nx\r\n")
        assert (await client.receive())[0] == 403
        assert await client.is_closed()

    run_test(test)


# Guards against a body in small chunks that is cut or refused in calm.
def test_a_body_in_small_chunks_is_served():
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        for _ in range(2):
            client.begin_chunked()
            client.writer.write(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
            assert await client.receive() == (200, "", "1000")

    run_test(test)


# Guards against small chunks that are decoded without end while others wait for the event loop.
def test_decoding_of_small_chunks_pauses():
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        client.begin_chunked()
        client.writer.write(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
        assert await harness.is_serving()
        await asyncio.sleep(0.1)
        assert 0 < harness.intake.bodies.used_bytes < 100

    run_test(test, pieces_per_s=1e-9, piece_burst=1)


# Guards against connections that take all descriptors, and shut ordinary callers out.
def test_the_number_of_connections_is_bounded():
    async def test(harness: Harness) -> None:
        crowd = [await harness.connect() for _ in range(3 * LIMITS.max_connections)]
        assert await harness.is_serving()
        assert len(harness.intake.connections) <= LIMITS.max_connections
        assert await crowd[0].is_closed()

    run_test(test)


# Guards against large answers that their clients don't read, and that fill the memory.
def test_the_number_of_unread_answers_is_bounded():
    async def test(harness: Harness) -> None:
        crowd = [await harness.connect() for _ in range(2 * LIMITS.max_sending)]
        for client in crowd:
            client.begin(0, method="GET")
        while len(harness.intake.connections) > LIMITS.max_sending:
            await asyncio.sleep(0.01)
        assert await crowd[0].is_closed()
        assert await harness.is_serving()

    run_test(test)


# Guards against clients that stop in their headers, in a body or while they are answered.
@pytest.mark.parametrize("sent", ["", "POST / HTTP/1.1\r\nX: ", "body", "unread"])
def test_a_client_that_stalls_is_disconnected(sent):
    async def test(harness: Harness) -> None:
        client = await harness.connect()
        if sent == "body":
            client.begin(100)
            client.writer.write(b"x")
        elif sent == "unread":
            client.begin(0, method="GET")
        else:
            client.writer.write(sent.encode())
        while len(harness.intake.connections) == 0:
            await asyncio.sleep(0.01)
        while len(harness.intake.connections) > 0:
            await asyncio.sleep(0.05)
        assert await client.is_closed()

    run_test(test, idle_timeout_s=0.2, body_stall_timeout_s=0.2, write_timeout_s=0.2)
