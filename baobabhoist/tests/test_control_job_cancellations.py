"""Test on what the acknowledgement of a cancelling rests, with a real owner."""

import asyncio

import pytest

from baobabhoist.cell.model import JobPhase
from baobabhoist.cell.progress_rows import JobProgress, encode
from baobabhoist.control import owner as owner_module
from baobabhoist.control import table_follower
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.config import Route
from baobabhoist.control.job_api import AdmittedCall, ApiCall
from baobabhoist.control.row_schema import (
    cancel_row_key,
    progress_row_key,
)
from baobabhoist.errors import ErrorKind
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.tests.caller_harness import CallerInstance
from baobabhoist.tests.cell_harness import make_rules
from baobabhoist.tests.owner_harness import JOB, JOB_ID, JobsAwayStore, OwnerHarness

pytestmark = pytest.mark.usefixtures("short_owner_polls")

# Only calls that the store does not answer take this long.
CALL_MS = 400.0
# An owner that may start a task has started it after so many polls of the directory.
POLLS_FOR_A_START = 30


def cancel(harness):
    """Cancel the harness's job as its team does; returns the refusal or None."""
    queue = make_rules().queues["q"]
    admitted = AdmittedCall(None, Route("h", "/q/", queue), "team", JOB_ID)
    call = ApiCall("h", f"/q/{JOB_ID}", "k", monotonic_ms() + CALL_MS)
    return CallerInstance(harness).api.cancel(call, admitted)


@pytest.mark.parametrize("phase", [JobPhase.COMPLETED, JobPhase.FAILED])
@pytest.mark.parametrize("is_store_away", [False, True])
def test_a_cancelling_of_a_job_whose_end_is_not_stored_is_stored(
    phase, is_store_away, monkeypatch
):
    """Guard against a task that the next owner starts after its job was cancelled (UNASKED).

    The job had ended for this owner alone. Its cancelling was acknowledged because of that end,
    and the next owner knew neither the one nor the other.
    """
    monkeypatch.setattr(owner_module, "MAX_END_WAIT_S", 0.05)
    cancelled = cancel_row_key(JOB_ID)

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        harness.store.choose_failure = lambda txn: (
            "" if cancelled in txn.puts and not is_store_away else "refused"
        )
        cell.state.finish_job(cell.find_job(JOB_ID), phase, monotonic_ms(), "its tasks ended")
        refusal = await cancel(harness)
        harness.task.cancel()
        return refusal is None, cancelled in harness.store.rows

    is_acknowledged, is_stored = asyncio.run(run())
    assert is_acknowledged is is_stored is not is_store_away


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_a_new_owner_starts_nothing_before_it_has_polled_the_jobs(is_history_lost, monkeypatch):
    """Guard against a task that starts long after its job was cancelled while its owner loaded.

    The job's row was read before the cancelling was stored, and the notice met an owner without a
    cell. Only the first poll of the jobs brings it, and the store doesn't answer that.
    """
    monkeypatch.setattr(table_follower, "RETRY_INTERVAL_S", 0.01)

    async def run():
        harness = OwnerHarness(JobsAwayStore)
        harness.store_job()
        task = asyncio.create_task(harness.owner.run())
        harness.task = task
        await harness.wait_until(lambda: harness.store.are_jobs_away)
        harness.store.apply(RowTransaction(puts={cancel_row_key(JOB_ID): b"{}"}))
        if is_history_lost:
            harness.store.history_start_version = harness.store.version
        await harness.wait_until(lambda: harness.store.polls_of_directory > POLLS_FOR_A_START)
        starts_before = len(harness.driver.starts)
        harness.store.are_jobs_away = False
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state == "cancelled")
        task.cancel()
        return starts_before, len(harness.driver.starts)

    assert asyncio.run(run()) == (0, 0)


@pytest.mark.parametrize("is_loaded", [False, True])
def test_a_cancelling_that_overtakes_its_job_is_applied_to_it(is_loaded):
    """Guard against a task that starts because its cancelling was heard before its job."""

    async def run():
        harness = OwnerHarness(JobsAwayStore)
        if is_loaded:
            await harness.start()
            await harness.wait_until(lambda: harness.store.are_jobs_away)
        harness.owner.handle_cancelled_job(JOB_ID)
        if is_loaded:
            harness.owner.handle_stored_job(JOB_ID, JOB, harness.store.version)
        else:
            harness.store_job()
            await harness.start()
        state = harness.owner.job_state(JOB_ID).state
        harness.task.cancel()
        return state

    assert asyncio.run(run()) == "cancelled"


def test_a_removed_job_leaves_no_cancelling_for_another_of_its_id():
    """Guard against a new job that is cancelled because of rows that were read long ago."""

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        version = cell.find_job(JOB_ID).accepted.version
        cell.cancel_job(JOB_ID, monotonic_ms())
        cell.find_job(JOB_ID).ended_ms = float("-inf")
        harness.owner._remove_expired_jobs(cell)
        await harness.wait_until(lambda: cell.find_job(JOB_ID) is None)
        harness.owner.handle_cancelled_job(JOB_ID)
        harness.owner.handle_stored_job(JOB_ID, JOB, version + 10)
        state = harness.owner.job_state(JOB_ID).state
        harness.task.cancel()
        return state

    assert asyncio.run(run()) == "queued"


def test_a_job_shown_as_completed_is_not_shown_as_cancelled_by_the_next_owner():
    """Guard against a final state that changes, because the job was cancelled as it ended."""

    async def run():
        harness = OwnerHarness()
        harness.store_job()
        completed = encode(JobProgress(JobPhase.COMPLETED))
        harness.store.apply(RowTransaction(puts={progress_row_key(JOB_ID): completed}))
        harness.store.apply(RowTransaction(puts={cancel_row_key(JOB_ID): b"{}"}))
        await harness.start()
        state = harness.owner.job_state(JOB_ID).state
        harness.task.cancel()
        return state

    assert asyncio.run(run()) == "completed"


def test_a_cancelling_stored_late_is_acknowledged_once_its_row_is_there():
    """Guard against a second call that is acknowledged because of the first one's late write."""

    async def run():
        harness = OwnerHarness()
        await harness.start_with_job()
        cancelled = cancel_row_key(JOB_ID)
        is_late = True
        harness.store.choose_failure = lambda txn: (
            "late" if is_late and cancelled in txn.puts else ""
        )
        first = await cancel(harness)
        stored_first = cancelled in harness.store.rows
        is_late = False
        second = await cancel(harness)
        stored = harness.store.rows[cancelled]
        harness.store.apply_delayed()
        harness.task.cancel()
        return first.kind, stored_first, second, harness.store.rows[cancelled] == stored

    assert asyncio.run(run()) == (ErrorKind.OUTCOME_UNKNOWN, False, None, True)


@pytest.mark.parametrize("is_job_there", [False, True])
def test_a_cancelling_is_acknowledged_only_with_the_row_of_its_job(is_job_there):
    """Guard against a 200 for the cancelling of a job that nobody stored."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        if is_job_there:
            harness.store_job()
        refusal = await cancel(harness)
        harness.task.cancel()
        return refusal is None, cancel_row_key(JOB_ID) in harness.store.rows

    assert asyncio.run(run()) == (is_job_there, is_job_there)
