"""Test when the end of a job is shown, and that an ended job is forgotten for good."""

import asyncio

import pytest

from baobabhoist.cell.model import JobPhase
from baobabhoist.control import owner as owner_module
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_schema import OWNER_ROW_KEY
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.tests.owner_harness import (
    FAILURE_TIMEOUT_S,
    JOB,
    JOB_ID,
    OwnerHarness,
)

pytestmark = pytest.mark.usefixtures("short_owner_polls")


def test_a_job_is_shown_as_completed_only_once_that_is_stored():
    """Guard against a job that starts again after a caller has seen it completed (TWICE).

    While the store was down the end was known to this owner alone. If it was replaced, and the
    worker that had reported the end could not be reached, the next owner ran the task again.
    """

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        harness.store.choose_failure = lambda txn: "refused"
        cell.state.finish_job(cell.find_job(JOB_ID), JobPhase.COMPLETED, monotonic_ms(), "done")
        harness.owner.progress_writer.request_flush()
        first_try = harness.store.commit_count + 1
        await harness.wait_until(lambda: harness.store.commit_count > first_try)
        states = [harness.owner.job_state(JOB_ID).state]
        harness.store.choose_failure = lambda txn: ""
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state != states[0])
        states.append(harness.owner.job_state(JOB_ID).state)
        harness.task.cancel()
        return states

    assert asyncio.run(run()) == ["running", "completed"]


@pytest.mark.parametrize(("is_down", "shown"), [(False, "completed"), (True, "running")])
def test_a_query_for_a_job_that_has_just_ended_waits_for_the_write(is_down, shown, monkeypatch):
    """Guard against callers who learn of each end one poll late, or who wait out an outage."""
    monkeypatch.setattr(owner_module, "MAX_END_WAIT_S", 0.05 if is_down else FAILURE_TIMEOUT_S)

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        harness.store.is_down = is_down
        cell.state.finish_job(cell.find_job(JOB_ID), JobPhase.COMPLETED, monotonic_ms(), "done")
        state = await harness.owner.settled_job_state(JOB_ID)
        harness.task.cancel()
        return state.state

    assert asyncio.run(run()) == shown


@pytest.mark.parametrize("failure", ["refused", "lost"])
def test_an_expired_job_whose_rows_remain_does_not_run_again(failure):
    """Guard against a forgotten job that is read again when the history is lost (TWICE)."""

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        cell.state.finish_job(cell.find_job(JOB_ID), JobPhase.COMPLETED, monotonic_ms(), "done")
        harness.owner.progress_writer.request_flush()
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state == "completed")
        starts = len(harness.driver.starts)
        harness.store.choose_failure = lambda txn: failure if txn.removes else ""
        cell.find_job(JOB_ID).ended_ms = float("-inf")
        harness.owner._remove_expired_jobs(cell)
        await asyncio.sleep(0.05)
        # The followers read all tables again.
        harness.store.history_start_version = harness.store.version + 1
        await asyncio.sleep(0.1)
        assert harness.owner.job_state(JOB_ID).state == "completed"
        assert len(harness.driver.starts) == starts
        harness.store.history_start_version = 0
        harness.store.choose_failure = lambda txn: ""
        harness.owner._remove_expired_jobs(cell)
        await harness.wait_until(lambda: cell.find_job(JOB_ID) is None)
        left = [key for key in harness.store.rows if key.key.startswith(JOB_ID)]
        harness.task.cancel()
        return left

    assert asyncio.run(run()) == []


def test_a_row_that_was_read_before_its_removal_brings_no_job_back():
    """Guard against a job that runs again because its table was read while it was removed."""

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        version = cell.find_job(JOB_ID).accepted.version
        cell.cancel_job(JOB_ID, monotonic_ms())
        cell.find_job(JOB_ID).ended_ms = float("-inf")
        harness.owner._remove_expired_jobs(cell)
        await harness.wait_until(lambda: cell.find_job(JOB_ID) is None)
        harness.owner.handle_stored_job(JOB_ID, JOB, version)
        is_back = cell.find_job(JOB_ID) is not None
        harness.owner.handle_stored_job(JOB_ID, JOB, version + 10)
        is_new = cell.find_job(JOB_ID) is not None
        harness.task.cancel()
        return is_back, is_new

    assert asyncio.run(run()) == (False, True)


@pytest.mark.parametrize("phase", [JobPhase.COMPLETED, JobPhase.FAILED])
@pytest.mark.parametrize("is_deposed", [False, True])
def test_an_end_is_not_shown_by_an_owner_that_could_not_store_it(phase, is_deposed, monkeypatch):
    """Guard against an end that is shown during a hand-over, or by an owner that was replaced.

    The next owner does not know it and runs the job again.
    """
    monkeypatch.setattr(owner_module, "MAX_END_WAIT_S", 0.02)

    async def run():
        harness = OwnerHarness()
        cell = await harness.start_with_job()
        if is_deposed:
            harness.store.apply(RowTransaction(puts={OWNER_ROW_KEY: b"another"}))
        else:
            harness.store.choose_failure = lambda txn: "refused"
        cell.state.finish_job(cell.find_job(JOB_ID), phase, monotonic_ms(), "its tasks ended")
        states = [await harness.owner.settled_job_state(JOB_ID)]
        harness.owner.stop()
        await harness.owner.wait_until_stopped()
        assert not await harness.owner.progress_writer.release(b"nobody", cell)
        states.append(await harness.owner.settled_job_state(JOB_ID))
        harness.task.cancel()
        return [reply.state for reply in states]

    assert asyncio.run(run()) == ["running", "running"]
