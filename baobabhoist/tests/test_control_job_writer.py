"""Test that accepted jobs are stored once, and that refusals are true."""

import asyncio

import pytest

from baobabhoist.control import job_writer
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_writer import JobWriter, WriteStatus
from baobabhoist.control.row_schema import job_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.testing.rows import MemoryRows

ID = "0123456789abcdef"


def failing(*ways):
    left = list(ways)
    return lambda txn: left.pop(0) if left else ""


def store(rows, budget_ms=2000.0):
    return asyncio.run(writer(rows).store_job(ID, b"{}", monotonic_ms() + budget_ms))


def writer(rows):
    return JobWriter(rows, StoreHealth())


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(job_writer, "RETRY_S", 0.001)


def test_a_lost_answer_is_read_back_by_the_same_write():
    """Guard against an accepted job that its caller takes for refused."""
    rows = MemoryRows(fail=failing("lost"))
    assert store(rows).status is WriteStatus.NEW
    assert len(rows.rows) == 1


def test_a_job_that_came_before_is_known_with_its_version():
    """Guard against one job that is stored and run twice."""
    rows = MemoryRows()
    first = store(rows)
    again = store(rows)
    assert (again.status, again.version) == (WriteStatus.ALREADY_STORED, first.version)


def test_a_refused_write_is_refused_only_while_nothing_may_come_late(monkeypatch):
    """Guard against "not run" for a job that the store carries out a moment later."""
    monkeypatch.setattr(job_writer, "REFUSED_MAX_MS", 0.0)
    rows = MemoryRows(fail=lambda txn: "refused")
    assert store(rows, 50.0).status is WriteStatus.REFUSED
    doubtful = MemoryRows(fail=failing("late", *["refused"] * 10_000))
    assert store(doubtful, 50.0).status is WriteStatus.UNKNOWN
    doubtful.deliver_late()
    assert job_row_key(ID) in doubtful.rows


def test_a_store_that_stays_silent_leaves_the_outcome_unknown():
    """Guard against a refusal after a write whose fate is not known."""
    rows = MemoryRows()
    rows.down = True
    assert store(rows, 30.0).status is WriteStatus.UNKNOWN
