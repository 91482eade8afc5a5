"""Test the tombstones of ids that were cancelled without a job, with a real owner."""

import asyncio

import pytest

from baobabhoist.control import job_writer as job_writer_module
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_api import DEFAULT_JOB_KEPT_MS, ApiCall
from baobabhoist.control.row_schema import cancel_row_key, job_row_key
from baobabhoist.control.tombstone_row import (
    TOMBSTONES_TABLE,
    Tombstone,
    decode_tombstone,
    encode_tombstone,
    tombstone_row_key,
)
from baobabhoist.errors import ErrorKind
from baobabhoist.model import Outcome
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.caller_harness import BODY, CALL_MS, CallerInstance, started_tasks
from baobabhoist.tests.owner_harness import JOB_ID, OwnerHarness

pytestmark = pytest.mark.usefixtures("short_owner_polls")


class RecordingStore(MemoryRowStore):
    """Record which tables are read."""

    tables = frozenset()

    async def read(self, table, part="", **bounds):
        self.tables |= {table}
        return await super().read(table, part, **bounds)


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(job_writer_module, "RETRY_INTERVAL_S", 0.001)


def test_a_job_that_is_stored_while_it_is_cancelled_is_cancelled():
    """Guard against a 410 for a job that was stored after the cancelling had looked for it."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        instance = CallerInstance(harness)

        def store_job_first(txn):
            if tombstone_row_key(JOB_ID) in txn.puts and job_row_key(JOB_ID) not in rows:
                harness.store_job()
            return ""

        rows = harness.store.rows
        harness.store.choose_failure = store_job_first
        refusal = await instance.cancel()
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state == "cancelled")
        harness.task.cancel()
        return refusal, cancel_row_key(JOB_ID) in rows, tombstone_row_key(JOB_ID) in rows

    assert asyncio.run(run()) == (None, True, False)


@pytest.mark.parametrize("prefix", ["/q/", "/p/"])
@pytest.mark.parametrize("cancels_itself", [False, True])
def test_another_team_neither_ends_nor_refuses_a_job_by_its_id(cancels_itself, prefix):
    """Guard against a key that refuses the jobs of other teams by cancelling their ids first."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        instance = CallerInstance(harness)
        by_other = await instance.cancel("k2", prefix=prefix)
        if cancels_itself:
            assert await instance.cancel("k", prefix=prefix) is ErrorKind.NOT_FOUND
        submitted = await instance.submit("k", prefix=prefix)
        state = await instance.state("k", prefix=prefix)
        tombstone = decode_tombstone(harness.store.rows[tombstone_row_key(JOB_ID)].value)
        harness.task.cancel()
        return by_other, submitted, state, set(tombstone.teams)

    unknown = ErrorKind.NOT_FOUND
    if cancels_itself:
        expected = (unknown, ErrorKind.CANCELLED, unknown, {"team", "other"})
    else:
        expected = (unknown, None, "queued", {"other"})
    assert asyncio.run(run()) == expected


@pytest.mark.parametrize(("cancel_key", "submit_key"), [("k", "unknown"), ("", "k"), ("", "")])
def test_callers_of_a_public_queue_need_no_key(cancel_key, submit_key):
    """Guard against a cancelled job of a public queue that runs, as one call had no known key."""

    async def run():
        instance = CallerInstance(OwnerHarness())
        cancelled = await instance.cancel(cancel_key, prefix="/p/")
        return cancelled, await instance.submit(submit_key, prefix="/p/")

    assert asyncio.run(run()) == (ErrorKind.NOT_FOUND, ErrorKind.CANCELLED)


def test_a_cancelling_by_nobody_refuses_no_job_of_a_team():
    """Guard against anybody who refuses a team's job by cancelling its id on a public queue."""

    async def run():
        instance = CallerInstance(OwnerHarness())
        cancelled = await instance.cancel("", prefix="/p/")
        return cancelled, await instance.submit("k", prefix="/q/")

    assert asyncio.run(run()) == (ErrorKind.NOT_FOUND, None)


def test_a_refused_job_of_a_cancelled_id_is_said_not_to_run():
    """Guard against a caller that is told to repeat what is refused each time."""

    async def run():
        harness = OwnerHarness()
        instance = CallerInstance(harness)
        await instance.cancel()
        call = ApiCall("h", f"/q/{JOB_ID}", "k", monotonic_ms() + CALL_MS)
        return await instance.api.submit(call, instance.api.admit(call), BODY)

    refusal = asyncio.run(run())
    assert (refusal.outcome, refusal.retry_after_s) == (Outcome.NOT_RUN, None)


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        ("refused", ErrorKind.PLATFORM_UNAVAILABLE),
        ("late", ErrorKind.OUTCOME_UNKNOWN),
        ("away", ErrorKind.PLATFORM_UNAVAILABLE),
    ],
)
def test_a_cancelling_that_is_not_stored_is_not_acknowledged(failure, kind, monkeypatch):
    """Guard against a 410 for a cancelling that the store could not take."""
    monkeypatch.setattr(job_writer_module, "REFUSED_RETRY_MS", 0.0)

    async def run():
        harness = OwnerHarness()
        harness.store.is_down = failure == "away"
        harness.store.choose_failure = lambda txn: failure
        call = ApiCall("h", f"/q/{JOB_ID}", "k", monotonic_ms() + 300.0)
        api = CallerInstance(harness).api
        refusal = await api.cancel(call, api.admit(call))
        return refusal, tombstone_row_key(JOB_ID) in harness.store.rows

    refusal, is_stored = asyncio.run(run())
    assert (refusal.kind, is_stored) == (kind, False)
    assert refusal.retry_after_s is not None


def test_a_cancelling_whose_answer_was_lost_is_acknowledged():
    """Guard against a cancelling that is never acknowledged because its first write was stored."""

    async def run():
        harness = OwnerHarness()
        outcomes = ["lost"]
        harness.store.choose_failure = lambda txn: outcomes.pop() if outcomes else ""
        instance = CallerInstance(harness)
        return await instance.cancel(), await instance.cancel()

    assert asyncio.run(run()) == (ErrorKind.NOT_FOUND, ErrorKind.NOT_FOUND)


def test_thousands_of_made_up_ids_neither_push_out_a_cancelled_one_nor_slow_a_takeover():
    """Guard against an owner that loads or holds rows of ids that never become jobs."""

    async def run():
        harness = OwnerHarness(RecordingStore)
        instance = CallerInstance(harness)
        await instance.cancel()
        answers = {await instance.cancel(job_id=f"{n:016x}") for n in range(3_000)}
        submitted = await instance.submit()
        starts = await started_tasks(harness, owner_starts_now=True)
        remembered = harness.owner._job_rows.early_cancellation_count
        return answers, submitted, starts, TOMBSTONES_TABLE in harness.store.tables, remembered

    kinds, submitted, starts, reads_tombstones, remembered = asyncio.run(run())
    assert kinds == {ErrorKind.NOT_FOUND, ErrorKind.PLATFORM_UNAVAILABLE}
    assert (submitted, starts, reads_tombstones, remembered) == (ErrorKind.CANCELLED, 0, False, 0)


def test_ids_without_a_job_beyond_the_limit_do_not_keep_a_job_from_being_cancelled():
    """Guard against an accepted job that can't be cancelled because its team cancelled others."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        instance = CallerInstance(harness)
        await instance.submit()
        while instance.api.tombstone_limits.take("team", monotonic_ms()):
            pass
        unknown = await instance.cancel(job_id="b" * 16)
        accepted = await instance.cancel()
        harness.task.cancel()
        return unknown, accepted, tombstone_row_key("b" * 16) in harness.store.rows

    assert asyncio.run(run()) == (ErrorKind.PLATFORM_UNAVAILABLE, None, False)


def test_a_submission_makes_one_call_to_the_store():
    """Guard against ordinary submissions that pay for cancelled ids with calls to the store."""

    async def run():
        harness = OwnerHarness()
        await CallerInstance(harness).submit()
        return harness.store.commit_count

    assert asyncio.run(run()) == 1


def test_a_tombstone_lasts_as_long_as_an_ended_job():
    """Guard against an id that may be used again while late writes of it can still come."""

    async def run():
        harness = OwnerHarness()
        harness.store.now_ms = 0
        instance = CallerInstance(harness)
        await instance.cancel()
        return instance.api.clock.now_ms(), harness.store.rows[tombstone_row_key(JOB_ID)].value

    now_ms, value = asyncio.run(run())
    assert decode_tombstone(value).expires_ms > now_ms + 2 * DEFAULT_JOB_KEPT_MS - CALL_MS


@pytest.mark.parametrize(("age_ms", "is_renewed"), [(1_000, False), (200_000, True)])
def test_a_tombstone_is_renewed_by_a_later_cancelling(age_ms, is_renewed):
    """Guard against a cancelling whose 410 rests on a tombstone that is about to expire."""

    async def run():
        harness = OwnerHarness()
        instance = CallerInstance(harness)
        kept_until_ms = instance.api.clock.now_ms() + int(2 * DEFAULT_JOB_KEPT_MS)
        stored = Tombstone(("other", "team"), kept_until_ms - age_ms)
        key = tombstone_row_key(JOB_ID)
        harness.store.apply(RowTransaction(puts={key: encode_tombstone(stored)}))
        kind = await instance.cancel()
        tombstone = decode_tombstone(harness.store.rows[key].value)
        return kind, set(tombstone.teams), tombstone.expires_ms >= kept_until_ms

    expected = (ErrorKind.NOT_FOUND, {"other", "team"}, is_renewed)
    assert asyncio.run(run()) == expected


def test_a_tombstone_that_cannot_be_read_refuses_its_id_alone():
    """Guard against a damaged row that lets a cancelled job run, or raises for other jobs."""

    async def run():
        harness = OwnerHarness()
        harness.store.apply(RowTransaction(puts={tombstone_row_key(JOB_ID): b"\xff"}))
        instance = CallerInstance(harness)
        refused = await instance.submit()
        other = await instance.submit(job_id="b" * 16)
        cancelled = await instance.cancel()
        return refused, other, cancelled, await instance.submit("k2")

    expected = (ErrorKind.CANCELLED, None, ErrorKind.NOT_FOUND, None)
    assert asyncio.run(run()) == expected
