"""Test the API for operators."""

import asyncio

from baobabhoist.quota.escrow import PlaceMove, apply_moves, encode_row, initial_row, set_limit
from baobabhoist.records.view import RecordView
from baobabhoist.store.table import Row
from baobabhoist.tests.gateway_harness import OPERATOR_HEADERS, ROSTER_HEADERS, with_gateway

TEAM = "/v1/records/team/fibre"
CREATE = {**OPERATOR_HEADERS, "If-None-Match": "*"}


def change(limit, version=1):
    body = {"limit": limit} if version == 1 else {"limits": {"total": limit}}
    return {"schema_version": version, "body": body}


def based_on(revision):
    return {**OPERATOR_HEADERS, "If-Match": f'"{revision}"'}


def empty(gateway):
    """Start without records: those of the fixture are only in its view, not in its table."""
    gateway.daemon.view = RecordView()


def test_operator_keys_and_only_they_open_the_api():
    """Guard against team keys that change records, and withdrawn operators that still do."""

    async def test(gateway):
        async def status(headers):
            return (await gateway.call("admin", "GET", "/v1/records", headers)).status

        assert await status({}) == 401
        assert await status({"X-Operator-Key": "roster-key"}) == 401
        assert await status(ROSTER_HEADERS) == 401
        assert await status(OPERATOR_HEADERS) == 200
        assert await status({"X-Operator-Key": "tess-key"}) == 200
        assert await status({"Authorization": "Bearer operator"}) == 200
        for path in ("/healthz", "/readyz"):
            assert (await gateway.call("admin", "GET", path)).status == 200
        assert (await gateway.call("admin", "GET", "/metrics")).status == 401
        metrics = await gateway.call("admin", "GET", "/metrics", OPERATOR_HEADERS)
        assert b"baobabhoist_open_requests 0" in metrics.body
        gateway.daemon.ready = False
        assert (await gateway.call("admin", "GET", "/readyz")).status == 503

    with_gateway(test)


def test_a_record_goes_through_its_life():
    """Guard against a change without its log entry, revision, author or schema version."""

    async def test(gateway):
        empty(gateway)
        created = await gateway.call("admin", "PUT", TEAM, CREATE, change(1))
        assert (created.status, created.headers["Etag"]) == (201, '"1"')
        changed = await gateway.call("admin", "PUT", TEAM, based_on(1), change(2, 2))
        assert (changed.status, changed.json["revision"]) == (200, 2)
        read = (await gateway.call("admin", "GET", TEAM, OPERATOR_HEADERS)).json
        assert read["body"] == {"limits": {"total": 2, "classes": {}}, "share_weight": 1.0}
        assert (read["schema_version"], read["changed_by"]) == (2, "settings")
        old = await gateway.call("admin", "GET", f"{TEAM}?schema_version=1", OPERATOR_HEADERS)
        assert old.json["body"] == {"limit": 2, "share": 1.0}
        history = (await gateway.call("admin", "GET", f"{TEAM}/history", OPERATOR_HEADERS)).json
        assert [each["revision"] for each in history["versions"]] == [2, 1]
        diff = (await gateway.call("admin", "GET", f"{TEAM}/diff?from=1", OPERATOR_HEADERS)).json
        assert diff["differences"] == [
            {"path": "body.limits.total", "present": "both", "old": 1, "new": 2}
        ]
        await gateway.daemon.apply_log()
        listed = (await gateway.call("admin", "GET", "/v1/records/team", OPERATOR_HEADERS)).json
        assert (listed["revision"], listed["records"]) == (2, [read])
        gone = await gateway.call("admin", "DELETE", TEAM, based_on(2))
        assert (gone.status, gone.json["body"]) == (200, None)
        assert (await gateway.call("admin", "GET", TEAM, OPERATOR_HEADERS)).status == 404

    with_gateway(test)


def test_a_change_must_say_what_it_is_based_on():
    """Guard against a lost change of a concurrent operator."""

    async def test(gateway):
        empty(gateway)
        missing = await gateway.call("admin", "PUT", TEAM, OPERATOR_HEADERS, change(1))
        assert (missing.status, missing.json["kind"]) == (428, "precondition_missing")
        for value in ("*", "abc", '"1', "-1"):
            bad = await gateway.call(
                "admin", "PUT", TEAM, {**OPERATOR_HEADERS, "If-Match": value}, b"{}"
            )
            assert bad.status == 400
        both = await asyncio.gather(
            *(gateway.call("admin", "PUT", TEAM, CREATE, change(limit)) for limit in (1, 2))
        )
        assert sorted(reply.status for reply in both) == [201, 409]
        (lost,) = [reply for reply in both if reply.status == 409]
        assert (lost.json["kind"], lost.json["outcome"]) == ("conflict", "not_run")
        assert 'If-Match: "1"' in lost.json["remedy"]

    with_gateway(test)


def test_the_records_in_force_are_read_while_the_platform_is_down():
    """Guard against operators seeing nothing in an outage."""

    async def test(gateway):
        gateway.daemon.table.down = True
        path = "/v1/records/team/roster"
        assert (await gateway.call("admin", "GET", path, OPERATOR_HEADERS)).json["revision"] == 1
        refused = await gateway.call("admin", "PUT", path, based_on(1), change(1))
        assert (refused.status, refused.json["kind"]) == (503, "platform_unavailable")
        assert refused.json["outcome"] == "not_run"

    with_gateway(test)


def test_a_queue_with_unfinished_jobs_is_not_deleted():
    """Guard against jobs without a queue."""

    async def test(gateway):
        empty(gateway)
        path = "/v1/records/queue/entries"
        await gateway.call("admin", "PUT", path, CREATE, {"schema_version": 2, "body": {}})
        await gateway.call("admin", "PUT", "/v1/records/team/public", CREATE, change(1))
        body = {"schema_version": 1, "body": {"open": True}}
        await gateway.call("admin", "PUT", "/v1/records/queue/checks", CREATE, body)
        await gateway.daemon.apply_log()
        job = {"queue": "checks", "kind": "batch", "replicas": 1}
        assert (await gateway.post("/v1/jobs", None, job)).status == 202
        kept = await gateway.call("admin", "DELETE", "/v1/records/queue/checks", based_on(3))
        assert (kept.status, kept.json["kind"]) == (409, "in_use")
        assert (await gateway.call("admin", "DELETE", path, based_on(1))).status == 200

    with_gateway(test)


def test_the_status_shows_the_revision_in_force_on_each_instance():
    """Guard against an operator believing that a record is in force everywhere."""

    async def test(gateway):
        found = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
        assert (found["instance_id"], found["records_revision"]) == ("entry-1", 12)
        (peer,) = found["peers"]
        assert (peer["instance_id"], peer["records_revision"], peer["live"]) == (
            "entry-2",
            3,
            False,
        )
        drained = await gateway.call("admin", "POST", "/v1/drain", OPERATOR_HEADERS)
        assert (drained.status, drained.json["draining"]) == (202, True)
        assert (await gateway.post("/v1/jobs", ROSTER_HEADERS, b"{}")).json["kind"] == "draining"
        found = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
        assert (found["draining"], found["ready"]) == (True, False)

    with_gateway(test)


def test_a_lowered_limit_is_pending_until_the_excess_has_ended():
    """Guard against an operator who takes a lowered limit for one that is in force."""

    async def test(gateway):
        empty(gateway)
        table = gateway.daemon.table
        await gateway.call("admin", "PUT", TEAM, CREATE, change(9))
        row = initial_row(9, ["n1", "n2"])
        table.rows["escrow/fibre"] = Row("escrow/fibre", 1, encode_row(row))

        async def seen():
            await gateway.daemon.apply_log()
            record = (await gateway.call("admin", "GET", TEAM, OPERATOR_HEADERS)).json
            status = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
            return record.get("pending_limit"), status["pending_limits"]

        async def store(row):
            table.rows["escrow/fibre"] = Row("escrow/fibre", 2, encode_row(row))

        assert await seen() == (None, [])
        lowered = await gateway.call("admin", "PUT", TEAM, based_on(1), change(4))
        pending = {"team": "fibre", "limit": 4, "in_force": 9}
        # The row follows the record later, but the limit is not in force before that either.
        assert (lowered.status, lowered.json["pending_limit"]) == (200, pending)
        assert await seen() == (pending, [pending])
        row = apply_moves("fibre", set_limit("fibre", row, 4), [PlaceMove("n1", 1, -2)])
        await store(row)
        assert await seen() == ({**pending, "in_force": 7}, [{**pending, "in_force": 7}])
        await store(apply_moves("fibre", row, [PlaceMove("n1", 1, -3)]))
        assert await seen() == (None, [])
        table.down = True
        assert await seen_down(gateway) == (200, None)

    async def seen_down(gateway):
        status = await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)
        return status.status, status.json["pending_limits"]

    with_gateway(test)
