"""Test on what the acknowledgement of a cancelling rests, with a real owner."""

import asyncio

import pytest

from baobabhoist.cell.model import JobPhase
from baobabhoist.control import owner as owner_module
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.config import ActiveConfig, Route
from baobabhoist.control.job_api import AdmittedCall, ApiCall, JobApi
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.row_schema import cancel_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.tests.cell_harness import make_rules
from baobabhoist.tests.owner_harness import JOB_ID, ROW_MAX_BYTES, OwnerHarness

pytestmark = pytest.mark.usefixtures("short_owner_polls")

REVOKE_MS = 5_000.0
# Only calls that the store does not answer take this long.
CALL_MS = 400.0


def make_job_api(harness):
    """Return the API of the owner's instance."""
    router = OwnerRouter("n1", None)
    router.local_owner = harness.owner
    return JobApi(
        ActiveConfig(),
        harness.store,
        JobWriter(harness.store, StoreHealth()),
        PlatformDecoder(),
        StoreClock(),
        router,
        REVOKE_MS,
        ROW_MAX_BYTES,
    )


def cancel(harness):
    """Cancel the harness's job as its team does; returns the refusal or None."""
    queue = make_rules().queues["q"]
    admitted = AdmittedCall(None, Route("h", "/q/", queue), "team", JOB_ID)
    call = ApiCall("h", f"/q/{JOB_ID}", "k", monotonic_ms() + CALL_MS)
    return make_job_api(harness).cancel(call, admitted)


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
