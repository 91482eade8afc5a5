"""Test that JSON from the platform is decoded, or rejected with a reason."""

import base64

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.evacuations import EvacuationChange
from baobabhoist.cell.model import JobSpec, Resources, WorkerInfo
from baobabhoist.control.config import CellConfig
from baobabhoist.control.row_schema import JobRow, decode_job, encode_job
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.observability.events import Event
from baobabhoist.platform.decode import PlatformDecoder

DECODER = PlatformDecoder()
JOB = {
    "taskSpec": "(text)",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
        {"count": 20, "cpu": 2000, "gang": True, "after": [0], "checkpointing": True},
    ],
}
WORKER = {
    "service": "svc",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "q",
            "hostname": "h.example",
            "prefix": "/a/",
            "service": "svc",
            "priority": 2,
            "maxAttempts": 4,
            "slackFactor": 4.0,
            "advice": {"decisionMs": 84.8, "perItemMs": 0.75, "validityMs": 2500},
        },
        {"name": "deep", "hostname": "h.example", "prefix": "/a/b/", "service": "svc"},
    ],
    "limits": {"maxBodyBytes": 1000},
    "tenants": [{"name": "t", "apiKeys": ["k1", 5], "weight": 14, "maximum": {"cpu": 9}}],
}
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=8,
)


def test_a_job_survives_encoding_and_decoding_of_its_row():
    """Guard against a step that loses a requirement between the caller and the worker."""
    spec = DECODER.decode_job(orjson.dumps(JOB))
    assert isinstance(spec, JobSpec)
    assert spec.steps[0].data_rack == "r1-3"
    assert spec.steps[1].gang and spec.steps[1].checkpoints and spec.steps[1].after == (0,)
    row = JobRow("q", "svc", "t", 5, spec)
    assert decode_job("f" * 16, encode_job(row), 9).spec == spec


@pytest.mark.parametrize(
    "change",
    [
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1, "cpu": -1}]},
        {"steps": [{"count": 1, "gang": "yes"}]},
        {"steps": [{"count": 10**9}]},
        {"taskSpec": 5},
        {"taskSpec": "x" * 5000},
        {"repeatCount": 1.5},
    ],
)
def test_a_malformed_job_is_refused_with_a_reason(change):
    """Guard against a malformed job that is accepted."""
    refusal = DECODER.decode_job(orjson.dumps({**JOB, **change}))
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.BAD_REQUEST
    assert refusal.message and refusal.remedy


def test_a_worker_is_decoded_and_an_unusable_entry_is_ignored():
    """Guard against tasks that are sent to a malformed directory entry."""
    worker = DECODER.decode_worker("w", orjson.dumps(WORKER))
    assert worker.capacity == Resources(16000, 32768, 0)
    assert (worker.rack, worker.hardware_kind, worker.started_unix_ms) == ("r1-3", "a", 17)
    for change in ({"state": "odd"}, {"address": 7}, {"capacity": []}, {"labels": "a"}):
        assert DECODER.decode_worker("w", orjson.dumps({**WORKER, **change})) is None


def test_a_configuration_is_decoded():
    """Guard against a key, limit or route that is lost in decoding."""
    cfg = DECODER.decode_config(orjson.dumps(CONFIG))
    assert cfg.team_by_key == {"k1": "t"}
    assert cfg.rules.teams["t"].limit == Resources(cpu=9)
    assert cfg.find_route("h.example", "/a/b/0").queue.name == "deep"
    assert cfg.find_route("h.example", "/a/c").queue.advice.ticket_valid_ms == 2500
    assert cfg.find_route("other", "/a/c") is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(ANY_JSON, st.binary(max_size=40))
def test_no_input_makes_a_decoder_raise(value, raw):
    """Guard against malformed bytes of other writers that end a table poll or an API call."""
    bodies = [raw, base64.b64encode(raw)]
    try:
        bodies.append(orjson.dumps(value))
        bodies.append(orjson.dumps({**JOB, "steps": value}))
        bodies.append(orjson.dumps({**WORKER, "capacity": value, "born": value}))
        bodies.append(orjson.dumps({**CONFIG, "routes": value, "tenants": value}))
    except TypeError:
        pass
    for body in bodies:
        assert isinstance(DECODER.decode_job(body), JobSpec | Refusal)
        assert isinstance(DECODER.decode_worker("w", body), WorkerInfo | None)
        assert isinstance(DECODER.decode_config(body), CellConfig | None)


def replace_each_field(body, value):
    """Yield copies of a body in which one field, at any depth, has another value."""
    for name, field in body.items():
        yield {**body, name: value}
        items = field if isinstance(field, list) else [field]
        for item in (item for item in items if isinstance(item, dict)):
            for changed in replace_each_field(item, value):
                yield {**body, name: [changed] if isinstance(field, list) else changed}


ODD_VALUES = ["[" * 500 + "]" * 500, "[" * 1_000 + "]" * 1_000, '{"a":' * 400 + "1" + "}" * 400]
ODD_VALUES += [
    str(1 << 63),
    "9" * 300,
    "1e300",
    "1e999",
    "-1",
    "0.5",
    "NaN",
    '"\\u0000"',
    '"\u00e9"',
]
PLACE = "(here)"


@pytest.mark.parametrize("odd", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_an_odd_value_in_any_field_gives_a_typed_result(odd):
    """Guard against one odd entry among those of the workers that ends each owner in turn.

    A list of labels that was nested some hundreds of levels deep raised RecursionError in the
    decoder, which ended the task that followed the directory.
    """

    def odd_bodies(sound):
        for body in replace_each_field(sound, PLACE):
            yield orjson.dumps(body).replace(b'"%s"' % PLACE.encode(), odd.encode())

    for body in odd_bodies(WORKER):
        decoded = DECODER.decode_worker("w", body)
        assert isinstance(decoded, WorkerInfo | None)
        assert decoded is None or all(isinstance(label, str) for label in decoded.labels)
    for body in odd_bodies(JOB):
        assert isinstance(DECODER.decode_job(body), JobSpec | Refusal)
    for body in odd_bodies(CONFIG):
        assert isinstance(DECODER.decode_config(body), CellConfig | None)


ODD_ADDRESSES = ["", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1"]
ODD_ADDRESSES += [
    ":80",
    "a\x00b:80",
    "a b:80",
    "\u00e9:80",
    "a/b:80",
    "u@a:80",
    "a:80/x",
    "a:\u0661",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_entry_whose_address_cannot_be_called_names_no_worker(address):
    """Guard against a session that fails again and again because it can make no request."""
    assert DECODER.decode_worker("w", orjson.dumps(WORKER | {"address": address})) is None


@pytest.mark.parametrize("worker_id", ["", "a b", "a\r\nX-Other: 1", "\u00e9", "\x00", "x" * 201])
def test_an_id_that_no_header_can_hold_names_no_worker(worker_id):
    """Guard against ids that end a session or add a header to its requests."""
    assert DECODER.decode_worker(worker_id, orjson.dumps(WORKER)) is None


def test_an_unreadable_row_is_logged_once(fields_of):
    """Guard against a log line for each report of a worker whose entry is malformed."""
    decoder = PlatformDecoder()
    for sequence in range(5):
        decoder.decode_worker("w0", orjson.dumps(WORKER | {"state": 1, "sequence": sequence}))
        decoder.decode_worker("w1", orjson.dumps(WORKER | {"coldRemainingMs": "x"}))
    assert [f["row"] for f in fields_of(Event.ROW_UNREADABLE)] == ["w0", "w1"]
    decoder.decode_worker("w0", orjson.dumps(WORKER))
    decoder.decode_worker("w0", orjson.dumps(WORKER | {"state": 1}))
    assert len(fields_of(Event.ROW_UNREADABLE)) == 3


@pytest.mark.parametrize(
    ("value", "expected"), [(4_500, 4_500), (1e15, 600_000), ("x", 0), (-1, 0)]
)
def test_malformed_cold_time_leaves_the_worker_usable(value, expected):
    """Guard against a healthy worker that is lost because of a field that is only a hint."""
    entry = orjson.dumps(WORKER | {"coldRemainingMs": value})
    assert DECODER.decode_worker("w", entry).cold_for_ms == expected


def test_only_rows_under_the_prefix_are_requests_to_empty_a_data_centre():
    """Guard against a configuration, or another request, that empties a data centre."""
    assert DECODER.decode_evacuation("config", b"{}") is None
    assert DECODER.decode_evacuation("evacuated/z", b"{}") is None
    assert DECODER.decode_evacuation("evacuate/z", None) == EvacuationChange("z", False)
