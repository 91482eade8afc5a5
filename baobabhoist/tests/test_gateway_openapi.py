"""Check the OpenAPI description against the handlers, and send malformed input to both APIs."""

import asyncio
import json
import re
from pathlib import Path

import yaml
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from tornado.web import RequestHandler

import baobabhoist.gateway
from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.gateway import bodies
from baobabhoist.gateway.jobs import status_body
from baobabhoist.model import JobState, JobStatus, Outcome
from baobabhoist.records.kinds import RecordKind
from baobabhoist.records.schema import SCHEMAS
from baobabhoist.records.store import render_record
from baobabhoist.records.validators import ABSENT
from baobabhoist.records.view import Record
from baobabhoist.tests.gateway_harness import OPERATOR_HEADERS, ROSTER_HEADERS, Gateway
from baobabhoist.tests.test_records_schema import JSON

METHODS = ("get", "put", "post", "delete", "patch", "head", "options")
OPENAPI = yaml.safe_load(
    (Path(baobabhoist.gateway.__file__).parent / "openapi.yaml").read_text(encoding="utf-8")
)
OPENAPI_SCHEMAS = OPENAPI["components"]["schemas"]


def handled_endpoints(gateway):
    for listener, app in gateway.apps.items():
        for rule in app.wildcard_router.rules:
            pattern = rule.matcher.regex.pattern.removesuffix("$")
            path = re.sub(r"\(\[\^/\][^)]*\)", "{}", pattern)
            for method in METHODS:
                if getattr(rule.target, method) is not getattr(RequestHandler, method):
                    yield listener, method, path


def described_endpoints():
    for path, item in OPENAPI["paths"].items():
        for method in METHODS:
            for listener in item.get(method, {}).get("x-listeners", []):
                yield listener, method, re.sub(r"{[a-z]+}", "{}", path)


def test_every_path_and_method_is_described_and_handled():
    """Guard against endpoints that are described but not handled, and the reverse."""
    assert sorted(described_endpoints()) == sorted(handled_endpoints(Gateway()))


def test_every_operation_describes_its_errors():
    """Guard against an operation without a description of its error body."""
    for item in OPENAPI["paths"].values():
        for method in METHODS:
            if method in item:
                errors = item[method]["responses"]["default"]
                assert errors == {"$ref": "#/components/responses/Error"}


def test_error_schema_matches_the_errors():
    """Guard against a kind or a field of errors that the description lacks."""
    error = OPENAPI_SCHEMAS["Error"]
    assert error["properties"]["kind"]["enum"] == [kind.value for kind in ErrorKind]
    assert error["properties"]["outcome"]["enum"] == [outcome.value for outcome in Outcome]
    assert list(Refusal(ErrorKind.CONFLICT, "m").to_body()) == error["required"]
    error_body = Refusal(ErrorKind.CONFLICT, "m", problems=(Problem("p", "m"),)).to_body()
    assert list(error_body) == list(error["properties"])
    assert list(error_body["problems"][0]) == error["properties"]["problems"]["items"]["required"]


def assert_same_fields(check, schema):
    assert schema["additionalProperties"] is False
    assert set(check.fields) == set(schema["properties"])
    required = {name for name, field in check.fields.items() if field.default is ABSENT}
    assert required == set(schema.get("required", ()))


def test_bodies_have_the_described_fields():
    """Guard against a described field that is refused, and an accepted one not described."""
    for kind, versions in SCHEMAS.items():
        for number, version in versions.items():
            assert_same_fields(
                version.validator, OPENAPI_SCHEMAS[f"{kind.value.capitalize()}V{number}"]
            )
    assert_same_fields(bodies.JOB_SCHEMA, OPENAPI_SCHEMAS["Job"])
    assert OPENAPI_SCHEMAS["RecordKind"]["enum"] == [kind.value for kind in RecordKind]
    assert set(status_body(JobStatus("j", JobState.QUEUED))) == set(
        OPENAPI_SCHEMAS["JobStatus"]["required"]
    )
    record = render_record(Record("team", "a", 1, 1, {"limit": 1}))
    assert list(record) == OPENAPI_SCHEMAS["Record"]["required"]


def assert_json_error_if_failed(reply):
    assert reply.status != 500, reply.body
    if reply.status >= 400:
        assert set(reply.json) >= set(OPENAPI_SCHEMAS["Error"]["required"]), reply.body
        assert reply.json["kind"] in OPENAPI_SCHEMAS["Error"]["properties"]["kind"]["enum"]
        assert reply.json["outcome"] == "not_run"


PATH_PARTS = st.sampled_from(
    ["team", "queue", "key", "entries", "roster", "job-1", "%00", "%ff", ".."]
)
NAMES = PATH_PARTS | st.text("azAZ09-_~.", min_size=1, max_size=8)
HEADER_NAMES = st.sampled_from(
    [
        "Idempotency-Key",
        "Request-Deadline",
        "Idempotency-First-Sent",
        "X-Idempotent",
        "X-Urgency",
        "X-Cpu-Milli",
        "X-Slots",
        "If-Match",
        "If-None-Match",
        "Accept",
    ]
)
HEADER_VALUES = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=12
) | st.sampled_from(["1", '"1"', "*", "nan", "-1", "true", "9" * 50])
BODIES = (
    JSON.map(lambda value: json.dumps({"schema_version": 1, "body": value}).encode())
    | st.binary(max_size=20)
    | st.sampled_from(
        [
            b"NaN",
            b'{"schema_version": 1, "body": {"limit": 1e999}}',
            b'{"schema_version": 2, "body": {"limits": {"total": 1234567890123456789012345}}}',
            b'{"schema_version": true, "body": []}',
            b'{"queue": "entries", "kind": "batch", "tasks": [{"resources": {"slots": 1.0}}]}',
            b'{"queue": "entries", "kind": "batch", "replicas": 1e30}',
            b"[" * 5000,
            b'"\\ud800"',
        ]
    )
)
ENDPOINTS = st.sampled_from(
    [
        (listener, method, path)
        for path, item in OPENAPI["paths"].items()
        for method in METHODS
        for listener in item.get(method, {}).get("x-listeners", [])
        if path != "/v1/drain"
    ]
)
CALLS = st.lists(
    st.tuples(ENDPOINTS, NAMES, st.dictionaries(HEADER_NAMES, HEADER_VALUES, max_size=3), BODIES),
    min_size=5,
    max_size=15,
)


# Shrinking is disabled: each attempt starts two servers, so that it took over a minute, and the
# lists of calls are short anyway.
@settings(derandomize=True, deadline=None, max_examples=60, phases=[Phase.generate])
@given(CALLS)
def test_malformed_input_gets_only_json_errors(calls):
    """Guard against input that causes an internal error or affects later requests."""

    async def run():
        async with Gateway() as gateway:
            for (listener, method, path), name, headers, body in calls:
                target = "/".join(name if "{" in part else part for part in path.split("/"))
                key = ROSTER_HEADERS if listener == "callers" else OPERATOR_HEADERS
                sent = body if method in ("post", "put") else None
                reply = await gateway.call(
                    listener, method.upper(), target, {**headers, **key}, sent
                )
                assert_json_error_if_failed(reply)
            valid_reply = await gateway.post(
                "/v1/queues/entries/requests", ROSTER_HEADERS, b"fine"
            )
            assert (valid_reply.status, valid_reply.body) == (200, b"fine")
            assert gateway.callers.open_requests.count == 0

    asyncio.run(run())
