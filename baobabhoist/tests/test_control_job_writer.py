"""Test that accepted jobs are stored exactly once, and that a refused job is never stored."""

import asyncio

import pytest

from baobabhoist.control import job_writer
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.row_inserts import JobInsert, WriteStatus
from baobabhoist.control.row_schema import job_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.control.tombstone_row import Tombstone, encode_tombstone, tombstone_row_key
from baobabhoist.store.row_store import RowsConflict, RowTransaction, StoredRow
from baobabhoist.testing.memory_row_store import MemoryRowStore

ID = "0123456789abcdef"
# Fails a test whose write never ends.
TEST_TIMEOUT_S = 3.0


def fail_in_turn(*failures):
    remaining = list(failures)
    return lambda txn: remaining.pop(0) if remaining else ""


def store_job(store, budget_ms=2000.0):
    return asyncio.run(make_writer(store).store_job(make_insert(), monotonic_ms() + budget_ms))


def make_insert():
    return JobInsert(ID, "team", False, b"{}")


def make_writer(store):
    return JobWriter(store, StoreHealth())


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(job_writer, "RETRY_INTERVAL_S", 0.001)


def test_repeated_write_resolves_a_lost_answer():
    """Guard against a stored job that is reported to its caller as refused."""
    store = MemoryRowStore(choose_failure=fail_in_turn("lost"))
    assert store_job(store).status is WriteStatus.NEW
    assert len(store.rows) == 1


def test_already_stored_job_is_reported_with_its_version():
    """Guard against a job that is stored and run twice."""
    store = MemoryRowStore()
    first = store_job(store)
    again = store_job(store)
    assert (again.status, again.version) == (WriteStatus.ALREADY_STORED, first.version)


def test_a_conflict_that_shows_no_row_is_no_proof_that_it_is_stored():
    """Guard against a job or a cancelling that is acknowledged although its row isn't there."""

    class OddStore(MemoryRowStore):
        async def commit(self, txn):
            return RowsConflict(())

    assert store_job(OddStore(), 50.0).status is WriteStatus.UNKNOWN


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_removed_job_in_a_conflict_is_no_proof_that_it_is_stored(is_cancelled):
    """Guard against a job that counts as stored because its id was used long ago."""

    class ShowingRemovedRows(MemoryRowStore):
        async def commit(self, txn):
            outcome = await super().commit(txn)
            if not isinstance(outcome, RowsConflict):
                return outcome
            return RowsConflict((StoredRow(job_row_key(ID), None, 7), *outcome.rows))

    store = ShowingRemovedRows()
    team = "team" if is_cancelled else "other"
    store.apply(
        RowTransaction(puts={tombstone_row_key(ID): encode_tombstone(Tombstone((team,), 0))})
    )
    status = WriteStatus.CANCELLED if is_cancelled else WriteStatus.NEW
    assert store_job(store).status is status
    assert (job_row_key(ID) in store.rows) is not is_cancelled


def test_refusal_is_reported_only_if_no_late_write_is_possible(monkeypatch):
    """Guard against a refusal of a job whose earlier write the store applies late."""
    monkeypatch.setattr(job_writer, "REFUSED_RETRY_MS", 0.0)
    store = MemoryRowStore(choose_failure=lambda txn: "refused")
    assert store_job(store, 50.0).status is WriteStatus.REFUSED
    late_store = MemoryRowStore(choose_failure=fail_in_turn("late", *["refused"] * 10_000))
    assert store_job(late_store, 50.0).status is WriteStatus.UNKNOWN
    late_store.apply_delayed()
    assert job_row_key(ID) in late_store.rows


def test_outcome_is_unknown_while_the_store_is_silent():
    """Guard against a refusal after a write whose outcome is unknown."""
    store = MemoryRowStore()
    store.is_down = True
    assert store_job(store, 30.0).status is WriteStatus.UNKNOWN


def test_retry_without_an_answer_ends_at_the_deadline():
    """Guard against a caller that gets no answer in time because a repeated write hangs."""

    class HangingStore(MemoryRowStore):
        async def commit(self, txn):
            self.commits_hang = self.commit_count > 0
            return await super().commit(txn)

    async def run():
        store = HangingStore(choose_failure=lambda txn: "late")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            result = await make_writer(store).store_job(make_insert(), monotonic_ms() + 30.0)
        assert result.status is WriteStatus.UNKNOWN

    asyncio.run(run())
