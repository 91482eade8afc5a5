"""Test that a job doesn't run whose cancelling was acknowledged before it was stored."""

import asyncio

import pytest

from baobabhoist.control import job_writer as job_writer_module
from baobabhoist.control.row_schema import job_row_key
from baobabhoist.errors import ErrorKind
from baobabhoist.tests.caller_harness import CallerInstance, started_tasks
from baobabhoist.tests.owner_harness import JOB_ID, OwnerHarness

pytestmark = pytest.mark.usefixtures("short_owner_polls")


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(job_writer_module, "RETRY_INTERVAL_S", 0.001)


@pytest.mark.parametrize("prefix", ["/q/", "/p/"])
@pytest.mark.parametrize("is_owner_lost", [False, True])
def test_a_submission_that_arrives_after_its_cancelling_never_runs(prefix, is_owner_lost):
    """Guard against a task of a job whose cancelling was acknowledged before (UNASKED).

    The submission waited in the socket of an instance that stood still, owner or not, or it came
    again. The cancelling was answered 410 by another instance, and nothing of it was stored.
    """

    async def run():
        harness = OwnerHarness()
        if not is_owner_lost:
            await harness.start()
        instance = CallerInstance(harness)
        cancelled = await instance.cancel(prefix=prefix)
        submitted = await instance.submit(prefix=prefix)
        again = await instance.submit(prefix=prefix)
        starts = await started_tasks(harness, owner_starts_now=is_owner_lost)
        return cancelled, submitted, again, starts, await instance.state(prefix=prefix)

    cancelled = ErrorKind.CANCELLED
    unknown = ErrorKind.NOT_FOUND
    assert asyncio.run(run()) == (unknown, cancelled, cancelled, 0, unknown)


@pytest.mark.parametrize("is_owner_lost", [False, True])
def test_a_submission_that_the_store_performs_after_its_cancelling_never_runs(is_owner_lost):
    """Guard against a late write of a job whose cancelling was acknowledged before (UNASKED).

    The instance that wrote the job is gone, so no process that is alive knows of the write.
    """

    async def run():
        harness = OwnerHarness()
        if not is_owner_lost:
            await harness.start()
        instance = CallerInstance(harness)
        harness.store.choose_failure = lambda txn: (
            "late" if job_row_key(JOB_ID) in txn.puts else ""
        )
        lost = asyncio.create_task(instance.submit())
        await harness.wait_until(lambda: harness.store.delayed)
        lost.cancel()
        cancelled = await CallerInstance(harness).cancel()
        harness.store.apply_delayed()
        starts = await started_tasks(harness, owner_starts_now=is_owner_lost)
        return cancelled, starts, job_row_key(JOB_ID) in harness.store.rows

    assert asyncio.run(run()) == (ErrorKind.NOT_FOUND, 0, False)
