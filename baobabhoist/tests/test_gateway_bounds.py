"""Test the HTTP ports against crowds of clients that do not behave."""

import asyncio
import contextlib

import attrs

from baobabhoist.gateway.base_handler import ApiHandler
from baobabhoist.gateway.server import make_intake
from baobabhoist.inbound.intake import Intake
from baobabhoist.tests.gateway_harness import ROSTER_HEADERS, with_gateway

REQUESTS_PATH = "/v1/queues/entries/requests"
BODY_BYTES = 1 << 20
CROWD = 8


def small_intake():
    """Return an intake with room for two unfinished bodies of BODY_BYTES."""
    limits = make_intake(0, 0, 0).limits
    return Intake(
        attrs.evolve(
            limits,
            body_memory_bytes=3 * BODY_BYTES,
            small_reserve_bytes=BODY_BYTES,
            min_stall_s=60.0,
        )
    )


def request_head(key="X-Team-Key: roster-key", length=BODY_BYTES, path=REQUESTS_PATH):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\n{key}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode()


@contextlib.asynccontextmanager
async def sending(gateway, data, listener="callers"):
    """Send a part of a request on a connection that stays open."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports[listener])
    writer.write(data)
    yield reader
    writer.close()


async def read_status(reader):
    async with asyncio.timeout(10.0):
        return int((await reader.readline()).split()[1])


def test_unfinished_bodies_are_bounded_over_all_connections():
    """Guard against legal bodies that stop short of their end and fill the memory together."""

    async def test(gateway):
        body = request_head() + bytes(BODY_BYTES - 1)
        async with contextlib.AsyncExitStack() as stack:
            readers = [
                await stack.enter_async_context(sending(gateway, body)) for _ in range(CROWD)
            ]
            reads = [asyncio.ensure_future(read_status(reader)) for reader in readers]
            done, open_reads = await asyncio.wait(reads, timeout=5.0)
            assert [read.result() for read in done] == [503] * (CROWD - 2)
            reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"small")
            assert reply.body == b"small"
            for read in open_reads:
                read.cancel()
        assert [req.task.payload for req in gateway.daemon.routed_requests] == [b"small"]

    with_gateway(test, intake=small_intake())


def test_body_without_room_is_refused_as_not_run_and_may_be_sent_again():
    """Guard against a refusal for memory that tells a caller neither the outcome nor the time."""

    async def test(gateway):
        body = request_head() + bytes(BODY_BYTES - 1)
        async with sending(gateway, body), sending(gateway, body), sending(gateway, body) as last:
            async with asyncio.timeout(10.0):
                head = await last.readuntil(b"\r\n\r\n")
                answer = await last.readuntil(b"}")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in head
        assert b'"outcome":"not_run"' in answer
        assert gateway.daemon.routed_requests == []
        async with asyncio.timeout(10.0):
            while gateway.callers.open_requests.count or gateway.intake.bodies.used_bytes:
                await asyncio.sleep(0.01)

    with_gateway(test, intake=small_intake())


def test_request_is_refused_for_its_key_before_its_body():
    """Guard against strangers without a key that make an instance read large bodies."""

    async def test(gateway):
        cases = [
            ("callers", "X-Team-Key: wrong", REQUESTS_PATH, 401),
            ("callers", "X-Other: 1", REQUESTS_PATH, 401),
            ("callers", "X-Team-Key: wrong", "/v1/jobs", 401),
            ("admin", "X-Operator-Key: wrong", "/v1/records/team/a", 401),
        ]
        for listener, key, path, status in cases:
            async with sending(gateway, request_head(key, path=path), listener) as reader:
                assert await read_status(reader) == status

    with_gateway(test)


def test_request_is_refused_during_a_drain_before_its_body():
    """Guard against a drain that waits for bodies that will not be served."""

    async def test(gateway):
        gateway.callers.open_requests.begin_drain()
        async with sending(gateway, request_head()) as reader:
            assert await read_status(reader) == 503

    with_gateway(test)


def test_announced_size_over_the_limit_is_refused_before_the_body():
    """Guard against reading a body that cannot be accepted."""

    async def test(gateway):
        too_large = request_head(length=gateway.callers.limits.max_body_bytes + 1)
        async with sending(gateway, too_large) as reader:
            assert await read_status(reader) == 413

    with_gateway(test)


def test_connections_are_bounded_and_callers_are_served():
    """Guard against silent connections that hold every descriptor of the process."""

    async def test(gateway):
        async with contextlib.AsyncExitStack() as stack:
            readers = [
                await stack.enter_async_context(sending(gateway, b"")) for _ in range(CROWD)
            ]
            closed = [asyncio.ensure_future(reader.read()) for reader in readers]
            reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"served")
            assert reply.body == b"served"
            done, still_open = await asyncio.wait(closed, timeout=1.0)
            assert len(done) >= CROWD // 2
            for read in still_open:
                read.cancel()

    limits = attrs.evolve(make_intake(0, 0, 0).limits, max_connections=CROWD // 2)
    with_gateway(test, intake=Intake(limits))


def test_body_of_a_request_that_ends_early_is_freed_at_once(monkeypatch):
    """Guard against bodies that stay in memory until the next garbage collection."""
    handlers = []

    def prepare(handler):
        handlers.append(handler)
        receive(handler)

    receive = ApiHandler.prepare
    monkeypatch.setattr(ApiHandler, "prepare", prepare)

    async def test(gateway):
        body = request_head() + bytes(BODY_BYTES - 1)
        async with sending(gateway, body), sending(gateway, body), sending(gateway, body) as last:
            assert await read_status(last) == 503
        async with asyncio.timeout(10.0):
            while gateway.callers.open_requests.count:
                await asyncio.sleep(0.01)
        assert [handler._chunks for handler in handlers] == [[]] * 4

    with_gateway(test, intake=small_intake())
