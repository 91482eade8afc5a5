"""Test the admin API."""

import asyncio

from baobabhoist.quota.escrow import PlaceMove, apply_moves, encode_row, initial_row, set_limit
from baobabhoist.records.view import RecordView
from baobabhoist.store.table import Row
from baobabhoist.tests.gateway_harness import OPERATOR_HEADERS, ROSTER_HEADERS, with_gateway

TEAM_PATH = "/v1/records/team/fibre"
CREATE_HEADERS = {**OPERATOR_HEADERS, "If-None-Match": "*"}


def team_change(limit, version=1):
    body = {"limit": limit} if version == 1 else {"limits": {"total": limit}}
    return {"schema_version": version, "body": body}


def if_match(revision):
    return {**OPERATOR_HEADERS, "If-Match": f'"{revision}"'}


def clear_records(gateway):
    """Remove the records of the harness, which are in its view but not in its table."""
    gateway.daemon.view = RecordView()


def test_admin_api_requires_an_operator_key():
    """Guard against access to the admin API without a key or with a team key."""

    async def test(gateway):
        async def response_status(headers):
            return (await gateway.call("admin", "GET", "/v1/records", headers)).status

        assert await response_status({}) == 401
        assert await response_status({"X-Operator-Key": "roster-key"}) == 401
        assert await response_status(ROSTER_HEADERS) == 401
        assert await response_status(OPERATOR_HEADERS) == 200
        assert await response_status({"X-Operator-Key": "tess-key"}) == 200
        assert await response_status({"Authorization": "Bearer operator"}) == 200
        for path in ("/healthz", "/readyz"):
            assert (await gateway.call("admin", "GET", path)).status == 200
        assert (await gateway.call("admin", "GET", "/metrics")).status == 401
        metrics = await gateway.call("admin", "GET", "/metrics", OPERATOR_HEADERS)
        assert b"baobabhoist_open_requests 0" in metrics.body
        gateway.daemon.ready = False
        assert (await gateway.call("admin", "GET", "/readyz")).status == 503

    with_gateway(test)


def test_record_is_created_changed_read_and_deleted():
    """Guard against a change that loses its history entry, revision, author or schema version."""

    async def test(gateway):
        clear_records(gateway)
        created = await gateway.call("admin", "PUT", TEAM_PATH, CREATE_HEADERS, team_change(1))
        assert (created.status, created.headers["Etag"]) == (201, '"1"')
        changed = await gateway.call("admin", "PUT", TEAM_PATH, if_match(1), team_change(2, 2))
        assert (changed.status, changed.json["revision"]) == (200, 2)
        read = (await gateway.call("admin", "GET", TEAM_PATH, OPERATOR_HEADERS)).json
        assert read["body"] == {"limits": {"total": 2, "classes": {}}, "share_weight": 1.0}
        assert (read["schema_version"], read["changed_by"]) == (2, "settings")
        old = await gateway.call("admin", "GET", f"{TEAM_PATH}?schema_version=1", OPERATOR_HEADERS)
        assert old.json["body"] == {"limit": 2, "share": 1.0}
        history = (
            await gateway.call("admin", "GET", f"{TEAM_PATH}/history", OPERATOR_HEADERS)
        ).json
        assert [each["revision"] for each in history["versions"]] == [2, 1]
        diff = (
            await gateway.call("admin", "GET", f"{TEAM_PATH}/diff?from=1", OPERATOR_HEADERS)
        ).json
        assert diff["differences"] == [
            {"path": "body.limits.total", "present": "both", "old": 1, "new": 2}
        ]
        await gateway.daemon.apply_log()
        listed = (await gateway.call("admin", "GET", "/v1/records/team", OPERATOR_HEADERS)).json
        assert (listed["revision"], listed["records"]) == (2, [read])
        deleted = await gateway.call("admin", "DELETE", TEAM_PATH, if_match(2))
        assert (deleted.status, deleted.json["body"]) == (200, None)
        assert (await gateway.call("admin", "GET", TEAM_PATH, OPERATOR_HEADERS)).status == 404

    with_gateway(test)


def test_change_requires_a_precondition():
    """Guard against lost updates when two operators change a record concurrently."""

    async def test(gateway):
        clear_records(gateway)
        missing = await gateway.call("admin", "PUT", TEAM_PATH, OPERATOR_HEADERS, team_change(1))
        assert (missing.status, missing.json["kind"]) == (428, "precondition_missing")
        for value in ("*", "abc", '"1', "-1"):
            bad = await gateway.call(
                "admin", "PUT", TEAM_PATH, {**OPERATOR_HEADERS, "If-Match": value}, b"{}"
            )
            assert bad.status == 400
        replies = await asyncio.gather(
            *(
                gateway.call("admin", "PUT", TEAM_PATH, CREATE_HEADERS, team_change(limit))
                for limit in (1, 2)
            )
        )
        assert sorted(reply.status for reply in replies) == [201, 409]
        (conflict,) = [reply for reply in replies if reply.status == 409]
        assert (conflict.json["kind"], conflict.json["outcome"]) == ("conflict", "not_run")
        assert 'If-Match: "1"' in conflict.json["remedy"]

    with_gateway(test)


def test_records_in_force_are_readable_while_the_platform_is_down():
    """Guard against operators who cannot read records during an outage of the platform."""

    async def test(gateway):
        gateway.daemon.table.down = True
        path = "/v1/records/team/roster"
        assert (await gateway.call("admin", "GET", path, OPERATOR_HEADERS)).json["revision"] == 1
        refused = await gateway.call("admin", "PUT", path, if_match(1), team_change(1))
        assert (refused.status, refused.json["kind"]) == (503, "platform_unavailable")
        assert refused.json["outcome"] == "not_run"

    with_gateway(test)


def test_queue_with_unfinished_jobs_cannot_be_deleted():
    """Guard against unfinished jobs whose queue no longer exists."""

    async def test(gateway):
        clear_records(gateway)
        path = "/v1/records/queue/entries"
        await gateway.call("admin", "PUT", path, CREATE_HEADERS, {"schema_version": 2, "body": {}})
        await gateway.call(
            "admin", "PUT", "/v1/records/team/public", CREATE_HEADERS, team_change(1)
        )
        body = {"schema_version": 1, "body": {"open": True}}
        await gateway.call("admin", "PUT", "/v1/records/queue/checks", CREATE_HEADERS, body)
        await gateway.daemon.apply_log()
        job = {"queue": "checks", "kind": "batch", "replicas": 1}
        assert (await gateway.post("/v1/jobs", None, job)).status == 202
        kept = await gateway.call("admin", "DELETE", "/v1/records/queue/checks", if_match(3))
        assert (kept.status, kept.json["kind"]) == (409, "in_use")
        assert (await gateway.call("admin", "DELETE", path, if_match(1))).status == 200

    with_gateway(test)


def test_status_shows_the_records_revision_of_each_instance():
    """Guard against a status that hides instances on which an older revision is in force."""

    async def test(gateway):
        status = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
        assert (status["instance_id"], status["records_revision"]) == ("entry-1", 12)
        (peer,) = status["peers"]
        assert (peer["instance_id"], peer["records_revision"], peer["live"]) == (
            "entry-2",
            3,
            False,
        )
        drained = await gateway.call("admin", "POST", "/v1/drain", OPERATOR_HEADERS)
        assert (drained.status, drained.json["draining"]) == (202, True)
        assert (await gateway.post("/v1/jobs", ROSTER_HEADERS, b"{}")).json["kind"] == "draining"
        status = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
        assert (status["draining"], status["ready"]) == (True, False)

    with_gateway(test)


def test_lowered_limit_is_pending_until_enough_tasks_have_ended():
    """Guard against a lowered limit that is shown as in force while more tasks still run."""

    async def test(gateway):
        clear_records(gateway)
        table = gateway.daemon.table
        await gateway.call("admin", "PUT", TEAM_PATH, CREATE_HEADERS, team_change(9))
        row = initial_row(9, ["n1", "n2"])
        table.rows["escrow/fibre"] = Row("escrow/fibre", 1, encode_row(row))

        async def fetch_pending_limits():
            await gateway.daemon.apply_log()
            record = (await gateway.call("admin", "GET", TEAM_PATH, OPERATOR_HEADERS)).json
            status = (await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)).json
            return record.get("pending_limit"), status["pending_limits"]

        async def store_escrow_row(row):
            table.rows["escrow/fibre"] = Row("escrow/fibre", 2, encode_row(row))

        assert await fetch_pending_limits() == (None, [])
        lowered = await gateway.call("admin", "PUT", TEAM_PATH, if_match(1), team_change(4))
        pending = {"team": "fibre", "limit": 4, "in_force": 9}
        # The escrow row follows the record with a delay; the limit is pending meanwhile as well.
        assert (lowered.status, lowered.json["pending_limit"]) == (200, pending)
        assert await fetch_pending_limits() == (pending, [pending])
        row = apply_moves("fibre", set_limit("fibre", row, 4), [PlaceMove("n1", 1, -2)])
        await store_escrow_row(row)
        assert await fetch_pending_limits() == (
            {**pending, "in_force": 7},
            [{**pending, "in_force": 7}],
        )
        await store_escrow_row(apply_moves("fibre", row, [PlaceMove("n1", 1, -3)]))
        assert await fetch_pending_limits() == (None, [])
        table.down = True
        assert await fetch_status_while_down(gateway) == (200, None)

    async def fetch_status_while_down(gateway):
        status = await gateway.call("admin", "GET", "/v1/status", OPERATOR_HEADERS)
        return status.status, status.json["pending_limits"]

    with_gateway(test)
