"""Test that odd rows of any table cost only themselves, also while a new owner loads them."""

import asyncio
import contextlib
import logging

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell import progress_rows
from baobabhoist.control.claim import decode_claim
from baobabhoist.control.row_schema import (
    HEARTBEAT_ROW_KEY,
    PROGRESS_TABLE,
    SPEEDS_ROW_KEY,
    decode_job,
    decode_speeds,
    job_row_key,
    progress_row_key,
)
from baobabhoist.control.silent_workers_row import (
    SILENT_WORKERS_ROW_KEY,
    decode_silent_workers,
)
from baobabhoist.control.tombstone_row import decode_tombstone
from baobabhoist.control.usage_row import USAGE_ROW_KEY, decode_usage
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.store.row_store import RowKey, RowTransaction
from baobabhoist.tests.owner_harness import (
    DIRECTORY,
    JOB,
    JOB_ID,
    WORKER_ROW_KEY,
    OwnerHarness,
)
from baobabhoist.tests.test_platform_decode import ANY_JSON

ENTRY = orjson.dumps(
    {
        "service": "svc",
        "address": "10.0.0.9:80",
        "zone": "dc",
        "state": "ready",
        "capacity": {"cpu": 4000, "memMb": 4096},
        "labels": [],
    }
)
NESTED = b"[" * 500 + b"]" * 500
ODD_JOB = JOB.replace(b'"count":1', b'"count":1000000000000')
ODD_ROWS = {
    "directory": (RowKey(DIRECTORY, "", "odd"), b'{"labels":%b}' % NESTED),
    "labels": (RowKey(DIRECTORY, "", "odd"), ENTRY.replace(b"[]", NESTED)),
    "port": (RowKey(DIRECTORY, "", "odd"), ENTRY.replace(b":80", b":99999")),
    "address": (RowKey(DIRECTORY, "", "odd"), ENTRY.replace(b"10.", b"\\u0000.")),
    "capacity": (RowKey(DIRECTORY, "", "odd"), ENTRY.replace(b"4000", b"9" * 300)),
    "bytes": (RowKey(DIRECTORY, "", "odd"), b"\xff\x00"),
    "job": (job_row_key("b" * 16), NESTED),
    "huge job": (job_row_key("b" * 16), ODD_JOB),
    "cancellation": (RowKey("jobs", "b", "b/cancel"), NESTED),
    "progress": (progress_row_key("b" * 16), NESTED),
    "part of progress": (RowKey(PROGRESS_TABLE, "", "b" * 16 + "/x"), b'{"phase":%b}' % NESTED),
    "speeds": (SPEEDS_ROW_KEY, b'{"workers":{"w0":{"mean":1e5}},"queues":{}}'),
    "usage": (USAGE_ROW_KEY, b'{"schema":1,"at_ms":5,"use_s":{"team":1e300}}'),
    "silent workers": (SILENT_WORKERS_ROW_KEY, b'{"schema":1,"workers":{"w0":[1]}}'),
    "all silent workers": (SILENT_WORKERS_ROW_KEY, NESTED),
    "heartbeat": (HEARTBEAT_ROW_KEY, NESTED),
}


@pytest.mark.parametrize("is_loaded_before", [False, True])
@pytest.mark.parametrize("name", ODD_ROWS)
def test_an_odd_row_costs_that_row_alone(name, is_loaded_before, caplog):
    """Guard against one odd row of any table that ends each owner in turn, so that no job runs."""

    async def run():
        harness = OwnerHarness()
        harness.owner._deps.decoder = PlatformDecoder()
        harness.store.apply(RowTransaction(puts={WORKER_ROW_KEY: ENTRY}))
        key, value = ODD_ROWS[name]
        if is_loaded_before:
            await harness.start()
        harness.store.apply(RowTransaction(puts={key: value}))
        if not is_loaded_before:
            await harness.start()
        harness.store_job()
        await harness.wait_until(lambda: harness.driver.starts)
        harness.store.history_start_version = harness.store.version
        await asyncio.sleep(0.05)
        assert not harness.task.done()
        harness.task.cancel()
        await asyncio.sleep(0)

    asyncio.run(run())
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]


def test_a_job_whose_progress_cannot_be_read_does_not_start_again():
    """Guard against tasks that run twice because the row that says they are done is damaged."""

    async def run():
        harness = OwnerHarness()
        harness.store_job()
        harness.store.apply(RowTransaction(puts={progress_row_key(JOB_ID): b'{"phase":"x"}'}))
        await harness.start()
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state == "failed")
        assert harness.driver.starts == []
        harness.task.cancel()

    asyncio.run(run())


@settings(deadline=None)
@given(ANY_JSON, st.binary(max_size=40), st.integers(0, 600))
def test_no_row_makes_a_decoder_raise_anything_but_its_own_error(value, raw, depth):
    """Guard against rows of another release, or damaged ones, that end whoever reads them."""
    bodies = [raw, b"[" * depth + b"]" * depth]
    names = ("phase", "steps", "workers", "queues", "spec", "node", "address", "generation")
    with contextlib.suppress(TypeError):
        bodies += [orjson.dumps(value), orjson.dumps(dict.fromkeys(names, value))]
    decoders = (
        progress_rows.decode,
        decode_claim,
        decode_usage,
        decode_silent_workers,
        decode_speeds,
        decode_tombstone,
        lambda body: decode_job(JOB_ID, body, 1),
    )
    for body in bodies:
        for decode in decoders:
            try:
                decode(body)
            except ValueError:
                continue
