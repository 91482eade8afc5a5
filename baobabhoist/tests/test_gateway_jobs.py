"""Test the job endpoints of the caller and admin APIs."""

import math
import time

import pytest

from baobabhoist.model import WorkKind
from baobabhoist.records.view import Record
from baobabhoist.tests.gateway_harness import OPERATOR_HEADERS, ROSTER_HEADERS, with_gateway

OTHER_HEADERS = {"X-Team-Key": "other-key"}


def batch_job(**fields):
    tasks = [{"payload": "a", "expected_run_s": 2}, {"payload_base64": "AP8="}]
    return {"queue": "entries", "kind": "batch", "tasks": tasks, **fields}


def test_job_is_submitted_shown_explained_and_cancelled():
    """Guard against a job specification that loses a field on submission."""

    async def test(gateway):
        deadline = time.time() + 3600
        body = batch_job(deadline=deadline, idempotent=True, urgency="urgent")
        accepted = await gateway.post("/v1/jobs", ROSTER_HEADERS, body)
        assert (accepted.status, accepted.json["counts"]) == (202, {"queued": 2})
        job_id = accepted.json["job_id"]
        spec = gateway.jobs.specs[job_id]
        assert [task.payload for task in spec.tasks] == [b"a", b"\x00\xff"]
        assert (spec.team, spec.deadline, spec.idempotent) == ("roster", deadline, True)
        path = f"/v1/jobs/{job_id}"
        assert (await gateway.call("callers", "GET", path, ROSTER_HEADERS)).json[
            "state"
        ] == "queued"
        explained = await gateway.call("callers", "GET", f"{path}/explain", ROSTER_HEADERS)
        assert explained.json["waiting"] == {"the team is at its limit": 2}
        response = await gateway.call("admin", "GET", f"{path}/explain", OPERATOR_HEADERS)
        assert response.json == explained.json
        cancelled = await gateway.call("callers", "DELETE", path, ROSTER_HEADERS)
        assert cancelled.json["state"] == "cancelled"

    with_gateway(test)


def test_jobs_of_other_teams_are_not_visible():
    """Guard against one team reading or cancelling the work of another."""

    async def test(gateway):
        job_id = (await gateway.post("/v1/jobs", ROSTER_HEADERS, batch_job())).json["job_id"]
        for method, path in (("GET", ""), ("DELETE", ""), ("GET", "/explain")):
            reply = await gateway.call(
                "callers", method, f"/v1/jobs/{job_id}{path}", OTHER_HEADERS
            )
            assert (reply.status, reply.json["kind"]) == (404, "not_found")
        assert (await gateway.call("callers", "GET", "/v1/jobs", OTHER_HEADERS)).json == {
            "jobs": []
        }
        assert (await gateway.call("callers", "GET", "/v1/jobs")).json["kind"] == "key_missing"
        path = f"/v1/jobs/{job_id}"
        assert (await gateway.call("admin", "GET", path, OPERATOR_HEADERS)).json[
            "team"
        ] == "roster"
        assert (await gateway.call("admin", "DELETE", path)).json["kind"] == "key_missing"
        cancelled = await gateway.call("admin", "DELETE", path, OPERATOR_HEADERS)
        assert cancelled.json["state"] == "cancelled"
        listed = await gateway.call("admin", "GET", "/v1/jobs", OPERATOR_HEADERS)
        assert [job["job_id"] for job in listed.json["jobs"]] == [job_id]

    with_gateway(test)


def test_repeated_submission_with_one_key_creates_one_job_per_team():
    """Guard against a second job when a submission is retried after a lost response."""

    async def test(gateway):
        ids = [
            (
                await gateway.post("/v1/jobs", {**key, "Idempotency-Key": "week-7"}, batch_job())
            ).json
            for key in (ROSTER_HEADERS, ROSTER_HEADERS, OTHER_HEADERS)
        ]
        assert ids[0]["job_id"] == ids[1]["job_id"] != ids[2]["job_id"]
        assert len(gateway.jobs.specs) == 2

    with_gateway(test)


def test_service_has_identical_replicas_and_no_deadline():
    """Guard against a service that ends at the default deadline of its queue."""

    async def test(gateway):
        body = {
            "queue": "checks",
            "kind": "service",
            "replicas": 3,
            "payload": "serve",
            "resources": {"cpu_milli": 500},
        }
        job = (await gateway.post("/v1/jobs", None, body)).json
        spec = gateway.jobs.specs[job["job_id"]]
        assert (spec.team, spec.kind, len(spec.tasks)) == ("public", WorkKind.SERVICE, 3)
        assert spec.tasks[2].resources.cpu_milli == 500
        assert math.isinf(spec.deadline)
        response = await gateway.call("callers", "GET", f"/v1/jobs/{job['job_id']}")
        assert response.json["team"] == "public"

    with_gateway(test)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"kind": "request"}, "job.kind"),
        ({"tasks": []}, "job.tasks"),
        ({"replicas": 2}, "job.tasks"),
        ({"tasks": None}, "job.tasks"),
        ({"payload": "x"}, "job.payload"),
        ({"tasks": [{"payload": "x", "payload_base64": "eA=="}]}, "job.tasks[0].payload"),
        ({"tasks": [{"payload_base64": "!"}]}, "job.tasks[0].payload_base64"),
        ({"tasks": [{"resources": {"slots": 0}}]}, "job.tasks[0].resources.slots"),
        ({"tasks": [{"expected_run_s": -1}]}, "job.tasks[0].expected_run_s"),
        ({"deadline": "soon"}, "job.deadline"),
        ({"queue": "NO"}, "job.queue"),
        ({"extra": 1}, "job.extra"),
        ({"tasks": [{}] * 10_001}, "job.tasks"),
    ],
)
def test_invalid_jobs_are_refused_by_field_path(change, path):
    """Guard against jobs that are accepted but can never run as intended."""

    async def test(gateway):
        reply = await gateway.post("/v1/jobs", ROSTER_HEADERS, batch_job(**change))
        assert (reply.status, reply.json["kind"]) == (400, "bad_request")
        assert path in [problem["path"] for problem in reply.json["problems"]]
        assert gateway.jobs.specs == {}

    with_gateway(test)


def test_refused_jobs_return_the_kind_of_error():
    """Guard against a job on a queue that does not exist or does not accept its kind."""

    async def test(gateway):
        async def error_kind(body, headers=ROSTER_HEADERS):
            return (await gateway.post("/v1/jobs", headers, body)).json["kind"]

        assert await error_kind(batch_job(queue="none")) == "not_found"
        assert await error_kind(batch_job(queue="reports", kind="gang")) == "forbidden"
        assert await error_kind(batch_job(deadline=1.0)) == "deadline_passed"
        assert await error_kind(batch_job(deadline=time.time() + 1e9)) == "deadline_too_far"
        assert await error_kind(batch_job(), {}) == "key_missing"
        assert await error_kind(b"{NaN}") == "bad_request"
        assert (
            await error_kind(batch_job(), {**ROSTER_HEADERS, "Idempotency-Key": " "})
            == "bad_request"
        )
        gateway.callers.jobs = None
        assert await error_kind(batch_job()) == "platform_unavailable"

    with_gateway(test)


def test_default_deadline_is_that_of_the_queue_or_else_of_the_settings():
    """Guard against a batch job that fails at the short default deadline of requests."""

    async def test(gateway):
        path = "/v1/queues/entries/requests"
        now = time.time()
        job = (await gateway.post("/v1/jobs", ROSTER_HEADERS, batch_job())).json["job_id"]
        assert gateway.jobs.specs[job].deadline >= now + 86_400.0
        await gateway.post(path, ROSTER_HEADERS)
        assert now + 20.0 <= gateway.daemon.routed_requests[0].task.deadline < now + 86_400.0
        queue = Record("queue", "entries", 2, 100, {"default_deadline_s": 400.0})
        gateway.daemon.view.apply(queue)
        await gateway.post(path, ROSTER_HEADERS)
        job = (await gateway.post("/v1/jobs", ROSTER_HEADERS, batch_job())).json["job_id"]
        deadlines = [
            gateway.daemon.routed_requests[1].task.deadline,
            gateway.jobs.specs[job].deadline,
        ]
        assert all(now + 400.0 <= deadline < now + 86_400.0 for deadline in deadlines)

    with_gateway(test, default_deadline_s=20.0)
