"""Test the caller API: keys, headers, home shards, limits, slow clients and the drain."""

import asyncio
import time

import pytest

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.model import Answer, Outcome, Urgency
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.gateway_harness import ROSTER_HEADERS, with_gateway

REQUESTS_PATH = "/v1/queues/entries/requests"
OPEN_QUEUE_PATH = "/v1/queues/checks/requests"


def idempotent_headers(key="k1", deadline_in_s=60.0, **headers):
    return {
        **ROSTER_HEADERS,
        "Idempotency-Key": key,
        "Request-Deadline": f"{time.time() + deadline_in_s:.3f}",
        **headers,
    }


def assert_error(reply, status, kind, outcome="not_run"):
    assert (reply.status, reply.json["kind"], reply.json["outcome"]) == (status, kind, outcome)
    assert reply.json["message"]
    assert reply.json["remedy"]
    assert set(reply.json) >= {"kind", "message", "outcome", "remedy", "retry_after"}


def test_response_has_the_body_and_type_of_the_worker_and_the_request_id():
    """Guard against a response whose body or content type differs from the worker's."""

    async def test(gateway):
        reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"\x00\xffwhistle")
        assert (reply.status, reply.body) == (200, b"\x00\xffwhistle")
        assert reply.headers["Content-Type"] == "text/plain"
        assert reply.headers["Request-Id"] == gateway.daemon.routed_requests[0].request_id

    with_gateway(test)


def test_instance_without_records_does_not_reject_keys():
    """Guard against `key_rejected`, which callers do not retry, before the records are loaded."""

    async def test(gateway):
        gateway.daemon.ready = False
        gateway.daemon.view = RecordView()
        reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)
        assert_error(reply, 503, "platform_unavailable")
        assert gateway.daemon.routed_requests == []

    with_gateway(test)


def test_key_determines_the_team():
    """Guard against work accepted for another team, or without a key on a queue that needs one."""

    async def test(gateway):
        view = gateway.daemon.view
        assert_error(await gateway.post(REQUESTS_PATH), 401, "key_missing")
        assert_error(await gateway.post(REQUESTS_PATH, {"X-Team-Key": "bad"}), 401, "key_rejected")
        assert_error(
            await gateway.post(REQUESTS_PATH, {"X-Team-Key": "tess-key"}), 401, "key_rejected"
        )
        assert_error(
            await gateway.post(OPEN_QUEUE_PATH, {"X-Team-Key": "bad"}), 401, "key_rejected"
        )
        assert_error(
            await gateway.post("/v1/queues/none/requests", ROSTER_HEADERS), 404, "not_found"
        )
        assert_error(await gateway.post("/v1/queues/none/requests"), 401, "key_missing")
        assert (await gateway.post(OPEN_QUEUE_PATH)).status == 200
        assert (await gateway.post(OPEN_QUEUE_PATH, ROSTER_HEADERS)).status == 200
        assert [req.task.team for req in gateway.daemon.routed_requests] == ["public", "roster"]
        body = {**view.get("key", "roster-1").body, "withdrawn": True}
        view.apply(Record("key", "roster-1", 1, 100, body))
        assert_error(await gateway.post(REQUESTS_PATH, ROSTER_HEADERS), 401, "key_rejected")
        view.apply(Record("team", "public", 1, 101, None))
        assert_error(await gateway.post(OPEN_QUEUE_PATH), 403, "forbidden")

    with_gateway(test)


def test_partitioned_instance_rejects_keys_after_their_grace_period():
    """Guard against a withdrawn key that works indefinitely on a partitioned instance."""
    unconfirmed_s = [0.0]

    async def test(gateway):
        key = {**gateway.daemon.view.get("key", "roster-1").body, "offline_grace_s": 5.0}
        gateway.daemon.view.apply(Record("key", "roster-1", 1, 100, key))
        assert (await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)).status == 200
        unconfirmed_s[0] = 5.5
        assert_error(await gateway.post(REQUESTS_PATH, ROSTER_HEADERS), 401, "key_rejected")
        assert (await gateway.post(REQUESTS_PATH, {"X-Team-Key": "other-key"})).status == 200

    with_gateway(test, records_unconfirmed_s=lambda: unconfirmed_s[0])


def test_idempotency_keys_are_scoped_by_team_and_have_a_fixed_home_shard():
    """Guard against responses of another team, and against a key with two home shards."""

    async def test(gateway):
        for headers in (
            idempotent_headers(),
            idempotent_headers(),
            idempotent_headers(**{"X-Team-Key": "other-key"}),
        ):
            assert (await gateway.post(REQUESTS_PATH, headers)).status == 200
        first, repeat, other = gateway.daemon.routed_requests
        assert first.request_id == repeat.request_id == "roster/key/k1"
        assert first.shard == repeat.shard
        assert other.request_id == "other/key/k1"
        assert not first.first_attempt
        assert first.first_sent_at == pytest.approx(first.task.deadline - 600.0)
        assert (await gateway.post(OPEN_QUEUE_PATH, idempotent_headers())).status == 200
        assert gateway.daemon.routed_requests[-1].shard == "s1"

    with_gateway(test)


def test_generated_ids_have_their_home_shard_in_the_local_data_centre():
    """Guard against requests without an idempotency key that cross data centres needlessly."""

    async def test(gateway):
        for _ in range(20):
            await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)
        assert {req.shard for req in gateway.daemon.routed_requests} == {"n1", "n2"}
        assert all(req.first_attempt for req in gateway.daemon.routed_requests)
        await gateway.post(OPEN_QUEUE_PATH)
        assert gateway.daemon.routed_requests[-1].shard == "s1"

    with_gateway(test)


def test_headers_set_the_fields_of_the_task():
    """Guard against a header that is parsed but has no effect."""

    async def test(gateway):
        now = time.time()
        headers = idempotent_headers(
            **{
                "X-Idempotent": "true",
                "X-Urgency": "urgent",
                "X-Cpu-Milli": "1500",
                "X-Memory-MB": "64",
                "X-Accelerators": "1",
                "X-Slots": "2",
                "X-Expected-Run-S": "2.5",
                "Idempotency-First-Sent": f"{now - 1:.3f}",
            }
        )
        assert (await gateway.post(REQUESTS_PATH, headers)).status == 200
        (req,) = gateway.daemon.routed_requests
        assert (req.task.idempotent, req.task.urgency) == (True, Urgency.URGENT)
        assert (req.task.resources.cpu_milli, req.task.resources.slots) == (1500, 2)
        assert req.task.expected_run_s == 2.5
        assert req.first_sent_at == pytest.approx(now - 1, abs=0.01)

    with_gateway(test)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Request-Deadline", "nan"),
        ("Request-Deadline", "1e400"),
        ("Request-Deadline", "9" * 4000),
        ("Request-Deadline", ""),
        ("X-Cpu-Milli", "-1"),
        ("X-Cpu-Milli", "9" * 4000),
        ("X-Memory-MB", "1.5"),
        ("X-Slots", "0"),
        ("X-Slots", "\u00b2".encode().decode("latin-1")),
        ("X-Idempotent", "yes"),
        ("X-Urgency", "very"),
        ("X-Expected-Run-S", "inf"),
        ("Idempotency-Key", "a b"),
        ("Idempotency-Key", "x" * 201),
        ("Idempotency-First-Sent", "soon"),
    ],
)
def test_invalid_headers_are_refused_by_name(name, value):
    """Guard against a header that crashes the handler or is silently ignored."""

    async def test(gateway):
        reply = await gateway.post(REQUESTS_PATH, idempotent_headers(**{name: value}))
        assert_error(reply, 400, "bad_request")
        assert [problem["path"] for problem in reply.json["problems"]] == [name]
        assert gateway.daemon.routed_requests == []

    with_gateway(test)


def test_requests_that_cannot_be_served_are_refused():
    """Guard against work that is queued although its response would be of no use."""

    async def test(gateway):
        assert_error(
            await gateway.post(REQUESTS_PATH, idempotent_headers(deadline_in_s=-1)),
            408,
            "deadline_passed",
        )
        assert_error(
            await gateway.post(REQUESTS_PATH, idempotent_headers(deadline_in_s=700)),
            400,
            "deadline_too_far",
        )
        without_deadline = {**ROSTER_HEADERS, "Idempotency-Key": "k"}
        assert_error(await gateway.post(REQUESTS_PATH, without_deadline), 400, "bad_request")
        future = idempotent_headers(**{"Idempotency-First-Sent": f"{time.time() + 30:.3f}"})
        assert_error(await gateway.post(REQUESTS_PATH, future), 400, "bad_request")
        reply = await gateway.post("/v1/queues/reports/requests", ROSTER_HEADERS)
        assert_error(reply, 403, "forbidden")
        for name in ("n1", "n2", "s1"):
            revision = gateway.daemon.view.revision + 1
            gateway.daemon.view.apply(Record("shard", name, 1, revision, None))
        assert_error(await gateway.post(REQUESTS_PATH, ROSTER_HEADERS), 503, "shard_unavailable")
        assert gateway.daemon.routed_requests == []

    with_gateway(test)


def test_unknown_paths_and_methods_and_malformed_bytes_get_json_errors():
    """Guard against HTML error pages, which callers cannot parse."""

    async def test(gateway):
        for listener in ("callers", "admin"):
            for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
                reply = await gateway.call(listener, method, "/nothing", None, b"")
                assert_error(reply, 404, "not_found")
            raw = await gateway.send_raw(listener, b"\x16\x03\x01 no HTTP\r\n\r\n")
            assert raw.startswith(b"HTTP/1.1 400 ")
            assert b'"kind":"bad_request"' in raw
        assert_error(
            await gateway.call("callers", "GET", REQUESTS_PATH), 405, "method_not_allowed"
        )
        unknown_method = await gateway.send_raw("callers", b"BREW /v1/jobs HTTP/1.0\r\n\r\n")
        assert b'"kind":"method_not_allowed"' in unknown_method
        assert_error(
            await gateway.post("/v1/queues/%ff/requests", ROSTER_HEADERS), 400, "bad_request"
        )
        assert (await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"still served")).status == 200

    with_gateway(test)


def test_internal_error_leaves_the_outcome_unknown():
    """Guard against `not_run` for a request that may have run, and against leaked internals."""

    async def answer(req):
        raise RuntimeError("secret")

    async def test(gateway):
        gateway.daemon.answer = answer
        reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)
        assert_error(reply, 500, "internal", "unknown")
        assert b"secret" not in reply.body
        assert gateway.callers.open_requests.count == 0

    with_gateway(test)


def test_refusal_returns_its_outcome_and_retry_time_and_is_counted():
    """Guard against an outcome that is lost between the shard owner and the caller."""

    async def answer(req):
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, "gone", Outcome.UNKNOWN, "check it", 1.2)

    async def test(gateway):
        gateway.daemon.answer = answer
        reply = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)
        assert_error(reply, 504, "outcome_unknown", "unknown")
        assert (reply.headers["Retry-After"], reply.json["retry_after"]) == ("2", 1.2)
        content, _ = gateway.callers.metrics.exposition()
        assert b'kind="outcome_unknown",team="roster"' in content
        await gateway.post(REQUESTS_PATH, {"X-Team-Key": "bad"})
        content, _ = gateway.callers.metrics.exposition()
        assert b'requests_total{result="outcome_unknown",team="roster"} 1' in content
        assert b'requests_total{result="key_rejected",team="none"} 1' in content
        assert b'answer_seconds_count{team="roster"} 1' in content

    with_gateway(test)


def test_oversized_bodies_are_refused_and_discarded_up_to_a_limit():
    """Guard against one caller exhausting the memory, and a refusal that it cannot read."""
    request_head = f"POST {REQUESTS_PATH} HTTP/1.1\r\nHost: here\r\nX-Team-Key: roster-key\r\n"

    async def test(gateway):
        assert (await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"x" * 1000)).status == 200
        assert_error(
            await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"x" * 1001), 413, "body_too_large"
        )
        for length in (b"5000", b"9" * 30):
            raw = await gateway.send_raw(
                "callers", request_head.encode() + b"Content-Length: " + length + b"\r\n\r\n"
            )
            assert raw.startswith(b"HTTP/1.1 413 ")
        chunk = b"400\r\n" + b"x" * 0x400 + b"\r\n"
        chunked = request_head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 5
        assert (await gateway.send_raw("callers", chunked)).startswith(b"HTTP/1.1 413 ")
        assert len(gateway.daemon.routed_requests) == 1
        assert gateway.callers.open_requests.count == 0

    with_gateway(test, limits=HttpLimits(max_body_bytes=1000))


def test_slow_clients_time_out_without_affecting_other_callers():
    """Guard against connections that stay open, and requests that stay counted, indefinitely."""
    request_head = (
        f"POST {REQUESTS_PATH} HTTP/1.1\r\nHost: here\r\nX-Team-Key: roster-key\r\n".encode()
    )

    async def test(gateway):
        slow_body = asyncio.create_task(
            gateway.send_raw("callers", request_head + b"Content-Length: 10\r\n\r\nabc")
        )
        slow_head = asyncio.create_task(gateway.send_raw("callers", request_head))
        disconnected = asyncio.create_task(
            gateway.send_raw(
                "callers", request_head + b"Content-Length: 10\r\n\r\nabc", close=True
            )
        )
        assert (await gateway.post(REQUESTS_PATH, ROSTER_HEADERS, b"fast")).body == b"fast"
        late_response = await slow_body
        assert late_response.startswith(b"HTTP/1.1 408 ")
        assert b'"kind":"request_timeout"' in late_response
        assert await slow_head == b""
        await disconnected
        assert [req.task.payload for req in gateway.daemon.routed_requests] == [b"fast"]
        assert gateway.callers.open_requests.count == 0

    with_gateway(test, limits=HttpLimits(body_timeout_s=1.0, idle_timeout_s=1.0))


def test_drain_finishes_open_requests_and_refuses_new_ones():
    """Guard against a graceful shutdown that aborts a request or never ends."""

    async def test(gateway):
        open_requests = gateway.callers.open_requests
        arrived, finish = asyncio.Event(), asyncio.Event()

        async def answer(req):
            arrived.set()
            await finish.wait()
            return Answer(req.request_id, 200, b"done" * 100_000)

        gateway.daemon.answer = answer
        running = asyncio.create_task(gateway.post(REQUESTS_PATH, ROSTER_HEADERS))
        await arrived.wait()
        assert (await gateway.call("callers", "GET", "/readyz")).status == 200
        open_requests.leave_balancer()
        assert_error(await gateway.call("callers", "GET", "/readyz"), 503, "draining")
        drained = asyncio.create_task(open_requests.wait_drained())
        open_requests.begin_drain()
        refused = await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)
        assert_error(refused, 503, "draining")
        assert refused.headers["Connection"] == "close"
        assert (open_requests.count, drained.done()) == (1, False)
        finish.set()
        assert (await running).body == b"done" * 100_000
        await drained
        assert (await gateway.call("admin", "GET", "/healthz")).status == 200

    with_gateway(test)


def test_request_of_a_disconnected_caller_stays_open_until_it_has_ended():
    """Guard against a drain that ends while the request of a disconnected caller still runs."""

    async def test(gateway):
        arrived, finish = asyncio.Event(), asyncio.Event()

        async def answer(req):
            arrived.set()
            await finish.wait()
            return Answer(req.request_id, 200, b"late")

        gateway.daemon.answer = answer
        _, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["callers"])
        request_head = f"POST {REQUESTS_PATH} HTTP/1.1\r\nX-Team-Key: roster-key\r\nHost: h\r\n"
        writer.write(request_head.encode() + b"Content-Length: 0\r\n\r\n")
        await arrived.wait()
        writer.transport.abort()
        gateway.callers.open_requests.begin_drain()
        assert (await gateway.post(REQUESTS_PATH, ROSTER_HEADERS)).json["kind"] == "draining"
        assert gateway.callers.open_requests.count == 1
        finish.set()
        await gateway.callers.open_requests.wait_drained()

    with_gateway(test)


def test_caller_that_does_not_read_its_response_cannot_block_a_drain():
    """Guard against an instance that never stops because one caller has stalled."""

    async def answer(req):
        return Answer(req.request_id, 200, b"x" * (64 << 20))

    async def test(gateway):
        gateway.daemon.answer = answer
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["callers"])
        request_head = f"POST {REQUESTS_PATH} HTTP/1.1\r\nX-Team-Key: roster-key\r\nHost: h\r\n"
        writer.write(request_head.encode() + b"Content-Length: 0\r\n\r\n")
        await reader.readexactly(8)
        gateway.callers.open_requests.begin_drain()
        assert gateway.callers.open_requests.count == 1
        await gateway.callers.open_requests.wait_drained()
        writer.transport.abort()

    with_gateway(test, limits=HttpLimits(write_timeout_s=0.2))
