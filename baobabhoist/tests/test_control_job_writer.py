"""Test that accepted jobs are stored exactly once, and that a refused job is never stored."""

import asyncio

import pytest

from baobabhoist.control import job_writer
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_writer import JobWriter, WriteStatus
from baobabhoist.control.row_schema import job_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.testing.rows import MemoryRows

ID = "0123456789abcdef"


def fail_in_turn(*failures):
    remaining = list(failures)
    return lambda txn: remaining.pop(0) if remaining else ""


def store(rows, budget_ms=2000.0):
    return asyncio.run(make_writer(rows).store_job(ID, b"{}", monotonic_ms() + budget_ms))


def make_writer(rows):
    return JobWriter(rows, StoreHealth())


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(job_writer, "RETRY_INTERVAL_S", 0.001)


def test_repeated_write_resolves_a_lost_answer():
    """Guard against a stored job that is reported to its caller as refused."""
    rows = MemoryRows(fail=fail_in_turn("lost"))
    assert store(rows).status is WriteStatus.NEW
    assert len(rows.rows) == 1


def test_already_stored_job_is_reported_with_its_version():
    """Guard against a job that is stored and run twice."""
    rows = MemoryRows()
    first = store(rows)
    again = store(rows)
    assert (again.status, again.version) == (WriteStatus.ALREADY_STORED, first.version)


def test_refusal_is_reported_only_if_no_late_write_is_possible(monkeypatch):
    """Guard against a refusal of a job whose earlier write the store applies late."""
    monkeypatch.setattr(job_writer, "REFUSED_RETRY_MS", 0.0)
    rows = MemoryRows(fail=lambda txn: "refused")
    assert store(rows, 50.0).status is WriteStatus.REFUSED
    late_rows = MemoryRows(fail=fail_in_turn("late", *["refused"] * 10_000))
    assert store(late_rows, 50.0).status is WriteStatus.UNKNOWN
    late_rows.deliver_late()
    assert job_row_key(ID) in late_rows.rows


def test_outcome_is_unknown_while_the_store_is_silent():
    """Guard against a refusal after a write whose outcome is unknown."""
    rows = MemoryRows()
    rows.down = True
    assert store(rows, 30.0).status is WriteStatus.UNKNOWN
