"""Test the validation of record bodies and the conversion between schema versions."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import WorkKind
from baobabhoist.records.kinds import RecordKind
from baobabhoist.records.schema import SCHEMAS, convert_to_version, parse_body, to_canonical_body

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)
FIELD_NAMES = st.sampled_from(
    [
        "limit",
        "share",
        "limits",
        "share_weight",
        "total",
        "classes",
        "team",
        "digest",
        "operator",
        "open",
        "data_centre",
        "kinds",
        "home_data_centres",
        "workers",
        "name",
        "host",
        "port",
        "policy",
        "retries",
        "objective",
        "default_deadline_s",
    ]
)
VERSIONS = [(kind, version) for kind, versions in SCHEMAS.items() for version in versions]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.sampled_from(VERSIONS), st.dictionaries(FIELD_NAMES, JSON) | JSON)
def test_malformed_bodies_are_refused_with_typed_errors(version, body):
    """Guard against exceptions, and against accepted bodies that cannot be converted back."""
    kind, number = version
    parsed = parse_body(kind, number, body)
    if isinstance(parsed, Refusal):
        assert parsed.kind is ErrorKind.BAD_REQUEST
        assert parsed.problems
        assert all(problem.path and problem.remedy for problem in parsed.problems)
    else:
        assert (
            parse_body(kind, number, convert_to_version(kind, number, to_canonical_body(parsed)))
            == parsed
        )


def test_all_problems_are_reported_together():
    """Guard against operators who can correct only one field per attempt."""
    worker = {"name": "UP", "host": "127.0.0.1", "port": 0, "cpu_milli": "8", "memory_mb": 10**400}
    parsed = parse_body(RecordKind.SHARD, 1, {"data_centre": 5, "workers": [worker], "extra": 1})
    paths = {problem.path for problem in parsed.problems}
    assert paths >= {
        "body.extra",
        "body.data_centre",
        "body.workers[0].name",
        "body.workers[0].port",
        "body.workers[0].cpu_milli",
        "body.workers[0].memory_mb",
        "body.workers[0].slots",
    }


@pytest.mark.parametrize("share", [float("nan"), float("inf"), True, "1", -1, 10**400])
def test_shares_that_are_not_numbers_in_range_are_refused(share):
    """Guard against a weight that breaks the fair-share ordering of teams."""
    assert (
        parse_body(RecordKind.TEAM, 1, {"limit": 1, "share": share}).problems[0].path
        == "body.share"
    )


def test_a_version_1_change_keeps_limits_that_only_version_2_has():
    """Guard against a version 1 tool that removes limits set by a version 2 tool."""
    new = parse_body(RecordKind.TEAM, 2, {"limits": {"total": 9, "classes": {"batch": 4}}})
    old = parse_body(RecordKind.TEAM, 1, {"limit": 2, "share": 3}, to_canonical_body(new))
    assert old.class_limits == {WorkKind.BATCH: 4}
    assert old.limit_for(WorkKind.BATCH) == 2
    assert old.limit_for(WorkKind.GANG) == 2


def test_a_queue_with_two_home_data_centres_is_not_truncated_in_version_1():
    """Guard against a version 1 tool that writes back only one of several home data centres."""
    queue = parse_body(RecordKind.QUEUE, 2, {"home_data_centres": ["north", "south"]})
    assert convert_to_version("queue", 1, to_canonical_body(queue)).kind is ErrorKind.BAD_REQUEST
    one = parse_body(RecordKind.QUEUE, 1, {"data_centre": "north", "open": True})
    assert convert_to_version("queue", 1, to_canonical_body(one))["data_centre"] == "north"
    assert convert_to_version("queue", 2, to_canonical_body(one))["home_data_centres"] == ["north"]


def test_inconsistent_values_are_refused():
    """Guard against keys without an owner, limits above the total and duplicate addresses."""
    digest = "a" * 64
    assert parse_body(RecordKind.KEY, 1, {"digest": digest}).problems
    assert parse_body(
        RecordKind.KEY, 1, {"digest": digest, "team": "t", "operator": True}
    ).problems
    limits = {"limits": {"total": 1, "classes": {"batch": 2}}}
    assert parse_body(RecordKind.TEAM, 2, limits).problems[0].path == "body.limits.classes.batch"
    worker = {"host": "127.0.0.1", "port": 1, "cpu_milli": 1, "memory_mb": 1, "slots": 1}
    workers = [{"name": "a", **worker}, {"name": "b", **worker}]
    shard = parse_body(RecordKind.SHARD, 1, {"data_centre": "north", "workers": workers})
    assert shard.problems[0].path == "body.workers[1].port"
