"""Test the API for callers: keys, headers, homes, bounds, slow senders and the drain."""

import asyncio
import time

import pytest

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.model import Answer, Outcome, Urgency
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.gateway_harness import ROSTER_HEADERS, with_gateway

PATH = "/v1/queues/entries/requests"
CHECKS = "/v1/queues/checks/requests"


def keyed(key="k1", ahead_s=60.0, **headers):
    return {
        **ROSTER_HEADERS,
        "Idempotency-Key": key,
        "Request-Deadline": f"{time.time() + ahead_s:.3f}",
        **headers,
    }


def assert_error(reply, status, kind, outcome="not_run"):
    assert (reply.status, reply.json["kind"], reply.json["outcome"]) == (status, kind, outcome)
    assert reply.json["message"]
    assert reply.json["remedy"]
    assert set(reply.json) >= {"kind", "message", "outcome", "remedy", "retry_after"}


def test_the_answer_comes_back_whole_with_the_request_id():
    """Guard against a changed body or type of the answer."""

    async def test(gateway):
        reply = await gateway.post(PATH, ROSTER_HEADERS, b"\x00\xffwhistle")
        assert (reply.status, reply.body) == (200, b"\x00\xffwhistle")
        assert reply.headers["Content-Type"] == "text/plain"
        assert reply.headers["Request-Id"] == gateway.daemon.routed[0].request_id

    with_gateway(test)


def test_an_instance_without_records_does_not_reject_keys():
    """Guard against a final `key_rejected` for a valid key while the records are loaded."""

    async def test(gateway):
        gateway.daemon.ready = False
        gateway.daemon.view = RecordView()
        reply = await gateway.post(PATH, ROSTER_HEADERS)
        assert_error(reply, 503, "platform_unavailable")
        assert gateway.daemon.routed == []

    with_gateway(test)


def test_keys_decide_the_team():
    """Guard against work accepted for another team, or for none on a queue that needs a key."""

    async def test(gateway):
        view = gateway.daemon.view
        assert_error(await gateway.post(PATH), 401, "key_missing")
        assert_error(await gateway.post(PATH, {"X-Team-Key": "bad"}), 401, "key_rejected")
        assert_error(await gateway.post(PATH, {"X-Team-Key": "tess-key"}), 401, "key_rejected")
        assert_error(await gateway.post(CHECKS, {"X-Team-Key": "bad"}), 401, "key_rejected")
        assert_error(
            await gateway.post("/v1/queues/none/requests", ROSTER_HEADERS), 404, "not_found"
        )
        assert_error(await gateway.post("/v1/queues/none/requests"), 401, "key_missing")
        assert (await gateway.post(CHECKS)).status == 200
        assert (await gateway.post(CHECKS, ROSTER_HEADERS)).status == 200
        assert [req.task.team for req in gateway.daemon.routed] == ["public", "roster"]
        body = {**view.get("key", "roster-1").body, "withdrawn": True}
        view.apply(Record("key", "roster-1", 1, 100, body))
        assert_error(await gateway.post(PATH, ROSTER_HEADERS), 401, "key_rejected")
        view.apply(Record("team", "public", 1, 101, None))
        assert_error(await gateway.post(CHECKS), 403, "forbidden")

    with_gateway(test)


def test_a_cut_off_instance_refuses_keys_after_their_grace():
    """Guard against a revoked key that works for ever behind a partition."""
    cut_off = [0.0]

    async def test(gateway):
        key = {**gateway.daemon.view.get("key", "roster-1").body, "offline_grace_s": 5.0}
        gateway.daemon.view.apply(Record("key", "roster-1", 1, 100, key))
        assert (await gateway.post(PATH, ROSTER_HEADERS)).status == 200
        cut_off[0] = 5.5
        assert_error(await gateway.post(PATH, ROSTER_HEADERS), 401, "key_rejected")
        assert (await gateway.post(PATH, {"X-Team-Key": "other-key"})).status == 200

    with_gateway(test, records_unconfirmed_s=lambda: cut_off[0])


def test_caller_keys_are_scoped_by_team_and_have_a_fixed_home():
    """Guard against one team getting another's answer, and a key with two homes."""

    async def test(gateway):
        for headers in (keyed(), keyed(), keyed(**{"X-Team-Key": "other-key"})):
            assert (await gateway.post(PATH, headers)).status == 200
        first, repeat, other = gateway.daemon.routed
        assert first.request_id == repeat.request_id == "roster/key/k1"
        assert first.shard == repeat.shard
        assert other.request_id == "other/key/k1"
        assert not first.first_attempt
        assert first.first_sent_at == pytest.approx(first.task.deadline - 600.0)
        assert (await gateway.post(CHECKS, keyed())).status == 200
        assert gateway.daemon.routed[-1].shard == "s1"

    with_gateway(test)


def test_generated_ids_have_their_home_in_the_own_data_centre():
    """Guard against requests without a key crossing data centres for no reason."""

    async def test(gateway):
        for _ in range(20):
            await gateway.post(PATH, ROSTER_HEADERS)
        assert {req.shard for req in gateway.daemon.routed} == {"n1", "n2"}
        assert all(req.first_attempt for req in gateway.daemon.routed)
        await gateway.post(CHECKS)
        assert gateway.daemon.routed[-1].shard == "s1"

    with_gateway(test)


def test_headers_reach_the_task():
    """Guard against a header that is read but has no effect."""

    async def test(gateway):
        now = time.time()
        headers = keyed(
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
        assert (await gateway.post(PATH, headers)).status == 200
        (req,) = gateway.daemon.routed
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
def test_unusable_headers_are_refused_by_name(name, value):
    """Guard against a header that crashes the handler or is silently ignored."""

    async def test(gateway):
        reply = await gateway.post(PATH, keyed(**{name: value}))
        assert_error(reply, 400, "bad_request")
        assert [problem["path"] for problem in reply.json["problems"]] == [name]
        assert gateway.daemon.routed == []

    with_gateway(test)


def test_deadlines_and_kinds_that_cannot_be_served_are_refused():
    """Guard against work that is queued although nobody can use its answer."""

    async def test(gateway):
        assert_error(await gateway.post(PATH, keyed(ahead_s=-1)), 408, "deadline_passed")
        assert_error(await gateway.post(PATH, keyed(ahead_s=700)), 400, "deadline_too_far")
        without = {**ROSTER_HEADERS, "Idempotency-Key": "k"}
        assert_error(await gateway.post(PATH, without), 400, "bad_request")
        future = keyed(**{"Idempotency-First-Sent": f"{time.time() + 30:.3f}"})
        assert_error(await gateway.post(PATH, future), 400, "bad_request")
        reply = await gateway.post("/v1/queues/reports/requests", ROSTER_HEADERS)
        assert_error(reply, 403, "forbidden")
        for name in ("n1", "n2", "s1"):
            revision = gateway.daemon.view.revision + 1
            gateway.daemon.view.apply(Record("shard", name, 1, revision, None))
        assert_error(await gateway.post(PATH, ROSTER_HEADERS), 503, "shard_unavailable")
        assert gateway.daemon.routed == []

    with_gateway(test)


def test_paths_methods_and_bytes_that_make_no_sense_get_typed_errors():
    """Guard against error pages that callers cannot read."""

    async def test(gateway):
        for listener in ("callers", "admin"):
            for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
                reply = await gateway.call(listener, method, "/nothing", None, b"")
                assert_error(reply, 404, "not_found")
            raw = await gateway.raw(listener, b"\x16\x03\x01 no HTTP\r\n\r\n")
            assert raw.startswith(b"HTTP/1.1 400 ")
            assert b'"kind":"bad_request"' in raw
        assert_error(await gateway.call("callers", "GET", PATH), 405, "method_not_allowed")
        odd = await gateway.raw("callers", b"BREW /v1/jobs HTTP/1.0\r\n\r\n")
        assert b'"kind":"method_not_allowed"' in odd
        assert_error(
            await gateway.post("/v1/queues/%ff/requests", ROSTER_HEADERS), 400, "bad_request"
        )
        assert (await gateway.post(PATH, ROSTER_HEADERS, b"still served")).status == 200

    with_gateway(test)


def test_a_fault_of_the_daemon_leaves_the_outcome_open():
    """Guard against `not_run` for a request that may have run, and against leaked internals."""

    async def answer(req):
        raise RuntimeError("secret")

    async def test(gateway):
        gateway.daemon.answer = answer
        reply = await gateway.post(PATH, ROSTER_HEADERS)
        assert_error(reply, 500, "internal", "unknown")
        assert b"secret" not in reply.body
        assert gateway.callers.open_requests.count == 0

    with_gateway(test)


def test_a_refusal_carries_its_outcome_and_the_time_to_retry():
    """Guard against an outcome that is lost between the owner and the caller."""

    async def answer(req):
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, "gone", Outcome.UNKNOWN, "check it", 1.2)

    async def test(gateway):
        gateway.daemon.answer = answer
        reply = await gateway.post(PATH, ROSTER_HEADERS)
        assert_error(reply, 504, "outcome_unknown", "unknown")
        assert (reply.headers["Retry-After"], reply.json["retry_after"]) == ("2", 1.2)
        content, _ = gateway.callers.metrics.exposition()
        assert b'kind="outcome_unknown",team="roster"' in content
        await gateway.post(PATH, {"X-Team-Key": "bad"})
        content, _ = gateway.callers.metrics.exposition()
        assert b'requests_total{result="outcome_unknown",team="roster"} 1' in content
        assert b'requests_total{result="key_rejected",team="none"} 1' in content
        assert b'answer_seconds_count{team="roster"} 1' in content

    with_gateway(test)


def test_oversize_bodies_are_refused_and_the_connection_limit_holds():
    """Guard against memory used up by one caller, and a refusal that the caller cannot read."""
    head = f"POST {PATH} HTTP/1.1\r\nHost: here\r\nX-Team-Key: roster-key\r\n"

    async def test(gateway):
        assert (await gateway.post(PATH, ROSTER_HEADERS, b"x" * 1000)).status == 200
        assert_error(await gateway.post(PATH, ROSTER_HEADERS, b"x" * 1001), 413, "body_too_large")
        for length in (b"5000", b"9" * 30):
            raw = await gateway.raw(
                "callers", head.encode() + b"Content-Length: " + length + b"\r\n\r\n"
            )
            assert raw.startswith(b"HTTP/1.1 413 ")
        chunk = b"400\r\n" + b"x" * 0x400 + b"\r\n"
        chunked = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 5
        assert (await gateway.raw("callers", chunked)).startswith(b"HTTP/1.1 413 ")
        assert len(gateway.daemon.routed) == 1
        assert gateway.callers.open_requests.count == 0

    with_gateway(test, limits=HttpLimits(max_body_bytes=1000))


def test_slow_senders_get_an_answer_and_disturb_no_other_caller():
    """Guard against connections that are held open for ever, and requests counted for ever."""
    head = f"POST {PATH} HTTP/1.1\r\nHost: here\r\nX-Team-Key: roster-key\r\n".encode()

    async def test(gateway):
        slow_body = asyncio.create_task(
            gateway.raw("callers", head + b"Content-Length: 10\r\n\r\nabc")
        )
        slow_head = asyncio.create_task(gateway.raw("callers", head))
        gone = asyncio.create_task(
            gateway.raw("callers", head + b"Content-Length: 10\r\n\r\nabc", close=True)
        )
        assert (await gateway.post(PATH, ROSTER_HEADERS, b"fast")).body == b"fast"
        late = await slow_body
        assert late.startswith(b"HTTP/1.1 408 ")
        assert b'"kind":"request_timeout"' in late
        assert await slow_head == b""
        await gone
        assert [req.task.payload for req in gateway.daemon.routed] == [b"fast"]
        assert gateway.callers.open_requests.count == 0

    with_gateway(test, limits=HttpLimits(body_timeout_s=1.0, idle_timeout_s=1.0))


def test_a_drain_finishes_open_requests_and_refuses_new_ones():
    """Guard against a planned stop that cuts a request or never ends."""

    async def test(gateway):
        open_requests = gateway.callers.open_requests
        arrived, finish = asyncio.Event(), asyncio.Event()

        async def answer(req):
            arrived.set()
            await finish.wait()
            return Answer(req.request_id, 200, b"done" * 100_000)

        gateway.daemon.answer = answer
        running = asyncio.create_task(gateway.post(PATH, ROSTER_HEADERS))
        await arrived.wait()
        assert (await gateway.call("callers", "GET", "/readyz")).status == 200
        open_requests.leave_balancer()
        assert_error(await gateway.call("callers", "GET", "/readyz"), 503, "draining")
        drained = asyncio.create_task(open_requests.wait_drained())
        open_requests.begin_drain()
        refused = await gateway.post(PATH, ROSTER_HEADERS)
        assert_error(refused, 503, "draining")
        assert refused.headers["Connection"] == "close"
        assert (open_requests.count, drained.done()) == (1, False)
        finish.set()
        assert (await running).body == b"done" * 100_000
        await drained
        assert (await gateway.call("admin", "GET", "/healthz")).status == 200

    with_gateway(test)


def test_a_caller_that_goes_away_does_not_end_its_request_early():
    """Guard against a drain that ends while work for a lost caller still runs."""

    async def test(gateway):
        arrived, finish = asyncio.Event(), asyncio.Event()

        async def answer(req):
            arrived.set()
            await finish.wait()
            return Answer(req.request_id, 200, b"late")

        gateway.daemon.answer = answer
        _, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["callers"])
        head = f"POST {PATH} HTTP/1.1\r\nX-Team-Key: roster-key\r\nHost: h\r\n"
        writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        await arrived.wait()
        writer.transport.abort()
        gateway.callers.open_requests.begin_drain()
        assert (await gateway.post(PATH, ROSTER_HEADERS)).json["kind"] == "draining"
        assert gateway.callers.open_requests.count == 1
        finish.set()
        await gateway.callers.open_requests.wait_drained()

    with_gateway(test)


def test_a_caller_that_does_not_read_its_answer_cannot_hold_up_a_drain():
    """Guard against an instance that never stops because one caller has stalled."""

    async def answer(req):
        return Answer(req.request_id, 200, b"x" * (64 << 20))

    async def test(gateway):
        gateway.daemon.answer = answer
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["callers"])
        head = f"POST {PATH} HTTP/1.1\r\nX-Team-Key: roster-key\r\nHost: h\r\n"
        writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        await reader.readexactly(8)
        gateway.callers.open_requests.begin_drain()
        assert gateway.callers.open_requests.count == 1
        await gateway.callers.open_requests.wait_drained()
        writer.transport.abort()

    with_gateway(test, limits=HttpLimits(write_timeout_s=0.2))
