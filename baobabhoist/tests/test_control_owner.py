"""Test that the cell's owner does not go on without one of its tasks, with an in-memory store."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from baobabhoist.cell.model import CommandOutcome, JobPhase, JobSpec, Step, WorkerInfo
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.control import owner as owner_module
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, ExternalTables
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner import CellOwner, OwnerDependencies
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.row_schema import (
    OWNER_ROW_KEY,
    PROGRESS_TABLE,
    JobRow,
    encode_job,
    job_row_key,
)
from baobabhoist.control.sessions import pool
from baobabhoist.store.row_store import RowKey, RowTransaction, StoredRow
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.cell_harness import LEASE_MS, SMALL, CellHarness, make_rules

JOB_ID = "a" + 15 * "0"
JOB = encode_job(JobRow("q", "svc", "team", 0, JobSpec("(payload)", (Step(1, SMALL, 100),))))
GANG = Step(1, SMALL, 100, gang=True)
GANG_JOB = encode_job(JobRow("q", "svc", "team", 0, JobSpec("(payload)", (GANG,))))
DIRECTORY = "servers"
WORKER_ROW_KEY = RowKey(DIRECTORY, "", "w0")
# Only a test that fails waits for this long.
FAILURE_TIMEOUT_S = 5.0
ROW_MAX_BYTES = 65_536


class FakeDecoder:
    """Decode each directory entry as the same worker, or crash."""

    tables = ExternalTables("operator", "config", DIRECTORY)

    def __init__(self):
        self.crashes = False

    def decode_worker(self, worker_id, value):
        if self.crashes:
            raise RuntimeError("a fault in the decoder")
        return WorkerInfo(worker_id, "svc", "10.0.1.1:80", "z1", SMALL, ())


class FakeDriver:
    """Pass commands on to a fake worker; each start crashes if `crashes` is set."""

    def __init__(self):
        self.workers = CellHarness.with_workers(1).workers
        self.crashes = False
        self.starts = []
        self.stops = []

    async def renew(self, worker, token, acked_end, deadline_ms, wait_ms):
        await asyncio.sleep(0.01)
        return self.workers[worker.worker_id].renew(token, acked_end, deadline_ms)

    async def start(self, worker, token, command, deadline_ms):
        if self.crashes:
            raise RuntimeError("a fault in the driver")
        self.starts.append(command)
        return CommandResponse(CommandOutcome.OK)

    async def stop(self, worker, token, command):
        self.stops.append(command)
        return CommandResponse(CommandOutcome.OK)


class OwnerHarness:
    """Run an owner of one worker."""

    def __init__(self, store_class=MemoryRowStore):
        # The fake worker has already seen the token of an earlier owner.
        self.store = store_class(version=CellHarness().token)
        token = self.store.apply(RowTransaction(puts={OWNER_ROW_KEY: b"me"})).version
        self.store.apply(RowTransaction(puts={WORKER_ROW_KEY: b"worker"}))
        self.authority_ends_ms = float("inf")
        self.decoder = FakeDecoder()
        self.driver = FakeDriver()
        metrics = NodeMetrics()
        deps = OwnerDependencies(
            self.store,
            self.driver,
            self.decoder,
            StoreClock(),
            SimpleNamespace(slot_count=1, count_unavailable=lambda: 0),
            LEASE_MS,
            LEASE_MS,
            60_000.0,
            ROW_MAX_BYTES,
            lambda: self.authority_ends_ms,
            lambda reason: None,
            metrics,
            MachineSize(1.0, 1_000.0),
            LoopLagMonitor(metrics),
            dict,
        )
        now = monotonic_ms()
        self.owner = CellOwner(deps, OwnershipTerm(token, 0, now, now), make_rules())
        self.task = None

    async def start(self):
        self.task = asyncio.create_task(self.owner.run())
        await self.wait_until(lambda: self.owner.is_loaded)

    async def start_with_job(self):
        """Start the owner, store a job and return the cell once it has the job."""
        await self.start()
        self.store_job()
        cell = self.owner.cell
        await self.wait_until(lambda: cell.find_job(JOB_ID) is not None)
        return cell

    async def wait_until(self, condition):
        async with asyncio.timeout(FAILURE_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def fails(self):
        """Return whether the owner ends with an error."""
        await asyncio.wait({self.task}, timeout=FAILURE_TIMEOUT_S)
        if not self.task.done():
            self.task.cancel()
            return False
        return self.task.exception() is not None

    def store_job(self):
        self.store.apply(RowTransaction(puts={job_row_key(JOB_ID): JOB}))


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    monkeypatch.setattr(owner_module, "JOBS_POLL_PAUSE_S", 0.01)
    monkeypatch.setattr(owner_module, "DIRECTORY_POLL_PAUSE_S", 0.01)


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
