"""Run a cell's owner with an in-memory store and fake workers."""

import asyncio
from types import SimpleNamespace

from baobabhoist.cell.model import CommandOutcome, JobSpec, Step, WorkerInfo
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, ExternalTables
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner import CellOwner, OwnerDependencies
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.row_schema import (
    JOB_PARTITIONS,
    JOBS_TABLE,
    OWNER_ROW_KEY,
    JobRow,
    encode_job,
    job_row_key,
)
from baobabhoist.store.row_store import RowKey, RowTransaction, StoreUnansweredError
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


class JobsAwayStore(MemoryRowStore):
    """Fail all calls for the jobs once the last partition of them has been read."""

    are_jobs_away = False
    polls_of_directory = 0

    async def read(self, table, part="", **bounds):
        if table == JOBS_TABLE and self.are_jobs_away:
            raise StoreUnansweredError("the jobs are away")
        rows = await super().read(table, part, **bounds)
        if (table, part) == (JOBS_TABLE, JOB_PARTITIONS[-1]):
            self.are_jobs_away = True
        return rows

    async def poll_changes(self, table, after_version, wait_ms, max_bytes=0):
        if table == JOBS_TABLE and self.are_jobs_away:
            raise StoreUnansweredError("the jobs are away")
        if table == DIRECTORY:
            self.polls_of_directory += 1
        return await super().poll_changes(table, after_version, wait_ms, max_bytes)


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
