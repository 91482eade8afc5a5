"""Test that the cell's owner does not go on without one of its tasks, with an in-memory store."""

import asyncio
from collections import Counter

import pytest

from baobabhoist.cell.model import CommandOutcome
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control import owner as owner_module
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.row_schema import (
    PROGRESS_TABLE,
    job_row_key,
)
from baobabhoist.control.sessions import pool
from baobabhoist.store.row_store import RowKey, RowTransaction, StoredRow
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.owner_harness import (
    DIRECTORY,
    FAILURE_TIMEOUT_S,
    GANG_JOB,
    JOB,
    JOB_ID,
    WORKER_ROW_KEY,
    JobsAwayStore,
    OwnerHarness,
)

pytestmark = pytest.mark.usefixtures("short_owner_polls")


def crash(*args):
    raise RuntimeError("a fault in this process")


def break_jobs_follower(harness):
    harness.owner.handle_stored_job = crash
    harness.store_job()


def break_directory_follower(harness):
    harness.decoder.crashes = True
    harness.store.apply(RowTransaction(puts={WORKER_ROW_KEY: b"worker 2"}))


def break_progress_writer(harness):
    harness.owner.cell.take_unsaved_progress = crash
    harness.owner.progress_writer.request_flush()


def break_periodic_checks(harness):
    harness.owner.cell.tick = crash


def break_scheduling(harness):
    harness.owner.cell.schedule = crash
    harness.owner.request_scheduling_round()


@pytest.mark.parametrize(
    "break_task",
    [
        break_jobs_follower,
        break_directory_follower,
        break_progress_writer,
        break_periodic_checks,
        break_scheduling,
    ],
)
def test_owner_ends_when_one_of_its_tasks_crashes(break_task):
    """Guard against an owner that holds its claim while jobs are accepted and never run."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        break_task(harness)
        assert await harness.fails()

    asyncio.run(run())


class LateDirectoryStore(MemoryRowStore):
    """Answer the second read of the directory, which a new owner makes to follow it, late."""

    def __init__(self, version):
        super().__init__(version=version)
        self.directory_reads = 0
        self.may_answer = asyncio.Event()

    async def read(self, table, part="", *, start="", end=""):
        if table == DIRECTORY:
            self.directory_reads += 1
            if self.directory_reads > 1:
                await self.may_answer.wait()
        return await super().read(table, part, start=start, end=end)


def test_new_owner_starts_nothing_on_a_worker_that_left_while_it_was_loading():
    """Guard against a restart that brings back a server that had left."""

    async def run():
        harness = OwnerHarness(LateDirectoryStore)
        harness.store_job()
        await harness.start()
        harness.store.apply(RowTransaction(removes=(WORKER_ROW_KEY,)))
        worker = harness.owner.cell.state.workers["w0"]
        await harness.wait_until(lambda: worker.has_accepted_token)
        for _ in range(20):
            harness.owner.request_scheduling_round()
            await asyncio.sleep(0.01)
        harness.store.may_answer.set()
        await harness.wait_until(lambda: not worker.is_listed)
        harness.task.cancel()
        assert harness.driver.starts == []

    asyncio.run(run())


@pytest.mark.parametrize("crashing", ["add_job", "restore_job"])
def test_a_row_that_crashes_the_cell_does_not_end_the_owner(crashing, monkeypatch):
    """Guard against one stored job that takes down each owner that loads it."""

    async def run():
        harness = OwnerHarness()
        harness.store_job()
        progress = {RowKey(PROGRESS_TABLE, "", JOB_ID): b'{"phase":"queued","steps":[]}'}
        harness.store.apply(RowTransaction(puts=progress))
        monkeypatch.setattr(CellScheduler, crashing, crash)
        await harness.start()
        harness.store.apply(RowTransaction(puts={job_row_key("b" + 15 * "0"): JOB}))
        for _ in range(10):
            await asyncio.sleep(0.01)
        assert not harness.task.done()
        harness.task.cancel()

    asyncio.run(run())


def test_an_owner_whose_authority_ended_while_a_run_was_stored_sends_no_start():
    """Guard against a paused process that acts on a permission which has run out."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        cell = harness.owner.cell
        stored = asyncio.Event()
        harness.owner.progress_writer.call_when_stored = lambda send: stored.set() or send()
        harness.store_job()
        schedule = cell.schedule

        def schedule_and_suspend(now, may_start):
            commands = schedule(now, may_start)
            if commands:
                harness.authority_ends_ms = float("-inf")
            return commands

        cell.schedule = schedule_and_suspend
        async with asyncio.timeout(FAILURE_TIMEOUT_S):
            await stored.wait()
        await asyncio.sleep(0.05)
        harness.task.cancel()
        assert harness.driver.starts == []

    asyncio.run(run())


class TurnCounter:
    """Count the turns of the event loop, and the events of each kind in each turn."""

    def __init__(self):
        self.turn = 0
        self.events = Counter()

    async def run(self):
        while True:
            self.turn += 1
            await asyncio.sleep(0)

    def record(self, kind):
        self.events[kind, self.turn] += 1

    def most_in_one_turn(self, kind):
        return max(n for (k, _), n in self.events.items() if k == kind)


def test_new_owner_does_not_block_the_event_loop(monkeypatch):
    """Guard against an owner that counts as silent because it has just loaded a large cell."""
    worker_count, job_count = 100, 400
    counter = TurnCounter()
    log_ownership = CellScheduler.log_ownership

    def count_job(cell, job, now):
        counter.record("job")
        log_ownership(cell, job, now)

    async def renew(*args):
        counter.record("renewal")
        await asyncio.Event().wait()

    async def run():
        harness = OwnerHarness()
        harness.driver.renew = renew
        for number in range(worker_count):
            key = RowKey(DIRECTORY, "", f"w{number}")
            harness.store.apply(RowTransaction(puts={key: b"worker"}))
        # Jobs of an earlier owner are older than the claim.
        for number in range(job_count):
            row = StoredRow(job_row_key(f"a{number:015x}"), JOB, 1)
            harness.store.rows[row.key] = row
        counting = asyncio.create_task(counter.run())
        await harness.start()
        await harness.wait_until(lambda: sum(counter.events.values()) >= worker_count + job_count)
        counting.cancel()
        harness.task.cancel()

    monkeypatch.setattr(CellScheduler, "log_ownership", count_job)
    asyncio.run(run())
    assert counter.most_in_one_turn("job") <= owner_module.ROWS_PER_YIELD
    assert counter.most_in_one_turn("renewal") <= pool.SESSIONS_PER_TURN


def test_crashed_start_counts_as_unanswered():
    """Guard against a run that is never started again because sending its start crashed."""

    async def run():
        harness = OwnerHarness()
        harness.driver.crashes = True
        await harness.start()
        harness.store_job()
        await harness.wait_until(lambda: harness.driver.stops)
        assert not harness.task.done()
        harness.task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("second", "is_stopped"),
    [(CommandOutcome.OK, False), (CommandOutcome.OLD, True), (CommandOutcome.NO_ROOM, True)],
)
def test_a_repeated_start_leaves_open_what_the_first_did_unless_it_succeeds(second, is_stopped):
    """Guard against gangs stopped for one lost message, and against tasks that run twice.

    A repetition that is rejected doesn't prove that the first start had no effect.
    """

    async def run():
        harness = OwnerHarness()
        outcomes = [CommandOutcome.UNKNOWN, second]
        driver = harness.driver

        async def start(worker, token, command, deadline_ms):
            await asyncio.sleep(0.05)
            driver.starts.append(command)
            outcome = outcomes.pop(0)
            if outcome is CommandOutcome.OK:
                driver.workers["w0"].start(token, command, deadline_ms)
            return CommandResponse(outcome)

        driver.start = start
        await harness.start()
        harness.store.apply(RowTransaction(puts={job_row_key(JOB_ID): GANG_JOB}))
        await harness.wait_until(lambda: driver.stops or driver.workers["w0"].runs)
        assert driver.starts[0] == driver.starts[1]
        assert bool(driver.stops) == is_stopped
        (sent_run,) = harness.owner.cell.state.workers["w0"].runs.values()
        assert sent_run.repeated_ms is not None
        harness.task.cancel()

    asyncio.run(run())


def test_an_owner_whose_repeated_start_is_fenced_starts_nothing_more():
    """Guard against two owners that start tasks because one overlooks the later one's token."""

    async def run():
        harness = OwnerHarness()
        outcomes = [CommandOutcome.UNKNOWN, CommandOutcome.FENCED]

        async def start(worker, token, command, deadline_ms):
            await asyncio.sleep(0.05)
            return CommandResponse(outcomes.pop(0))

        harness.driver.start = start
        await harness.start()
        harness.store.apply(RowTransaction(puts={job_row_key(JOB_ID): GANG_JOB}))
        await harness.wait_until(lambda: not outcomes)
        await harness.wait_until(lambda: harness.owner.cell.is_fenced)
        harness.task.cancel()

    asyncio.run(run())


def test_stopped_owner_places_no_further_tasks():
    """Guard against runs that are stored at a release although their starts are never sent."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        await harness.wait_until(lambda: harness.owner.cell.state.workers["w0"].has_accepted_token)
        harness.owner.stop()
        harness.owner.handle_stored_job(JOB_ID, JOB, 100)
        await asyncio.sleep(0.05)
        assert not harness.owner.cell.state.dirty
        harness.task.cancel()

    asyncio.run(run())


def test_owner_stopped_while_it_loads_calls_no_worker(monkeypatch):
    """Guard against leases that a released owner grants after the next one has begun."""

    async def run():
        harness = OwnerHarness()
        read, resume = MemoryRowStore.read, asyncio.Event()

        async def read_late(*args, **kwargs):
            await resume.wait()
            return await read(*args, **kwargs)

        monkeypatch.setattr(MemoryRowStore, "read", read_late)
        harness.task = asyncio.create_task(harness.owner.run())
        await asyncio.sleep(0)
        harness.owner.stop()
        resume.set()
        await asyncio.wait_for(harness.task, FAILURE_TIMEOUT_S)
        assert harness.driver.workers["w0"].token < harness.owner.ownership.token

    asyncio.run(run())


def test_interrupted_progress_is_unsaved_once_the_owner_has_stopped(monkeypatch):
    """Guard against a release that leaves out the progress which was being written."""

    async def run():
        harness = OwnerHarness()
        await harness.start()
        writing = asyncio.Event()

        async def hang(*args):
            writing.set()
            await asyncio.Event().wait()

        await harness.wait_until(lambda: harness.owner.cell.state.workers["w0"].has_accepted_token)
        monkeypatch.setattr(MemoryRowStore, "commit", hang)
        harness.store_job()
        await asyncio.wait_for(writing.wait(), FAILURE_TIMEOUT_S)
        harness.owner.stop()
        await harness.owner.wait_until_stopped()
        assert JOB_ID in harness.owner.cell.state.dirty
        harness.task.cancel()

    asyncio.run(run())


def test_a_new_owner_counts_pending_jobs_once_it_has_polled_them():
    """Guard against too low a count, of the jobs that were stored before the cell was loaded."""

    async def run():
        harness = OwnerHarness(JobsAwayStore)
        await harness.start()
        harness.store_job()
        unread = harness.owner.count_pending_jobs("q")
        harness.store.are_jobs_away = False
        await harness.wait_until(lambda: harness.owner.job_state(JOB_ID).state)
        count = harness.owner.count_pending_jobs("q")
        harness.task.cancel()
        return unread, count is not None

    assert asyncio.run(run()) == (None, True)
