"""Test what the owner of a cell logs, with an in-memory store and fake workers."""

import asyncio

import attrs

from baobabhoist.cell.awaited_runs import AwaitedRuns, AwaitReason, EndedWait
from baobabhoist.cell.model import CommandOutcome, Step
from baobabhoist.control import waiting_report
from baobabhoist.control.advice import AdviceDispatcher
from baobabhoist.control.advice_gate import AdviceGate
from baobabhoist.control.claim import ClaimRow, encode_claim
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, ExternalTables
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner import CellOwner, OwnerDependencies
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.row_schema import OWNER_ROW_KEY, JobRow, encode_job, job_row_key
from baobabhoist.observability.events import Event
from baobabhoist.store.row_store import RowKey, RowTransaction
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.cell_harness import LEASE_MS, SMALL, make_job, make_rules

TABLES = ExternalTables("operator", "config", "directory")
JOB_ID = "0" * 16


class FakeDecoder:
    tables = TABLES

    def __init__(self, worker):
        self.worker = worker

    def decode_worker(self, worker_id, value):
        return self.worker.info()


@attrs.define
class FakeDriver:
    """Renew leases of a fake worker; answer each start with one outcome."""

    worker: FakeCellWorker
    start_outcome: CommandOutcome

    async def renew(self, info, token, acked_end, deadline_ms, wait_ms):
        await asyncio.sleep(0.01)
        return self.worker.renew(token, acked_end, deadline_ms)

    async def start(self, info, token, command, deadline_ms):
        return CommandResponse(self.start_outcome)


class OwnerHarness:
    """Run the owner of a cell with one worker."""

    def __init__(self, start_outcome=CommandOutcome.OK):
        self.store = MemoryRowStore()
        worker = FakeCellWorker("w0")
        self.store.apply(RowTransaction({}, {RowKey("directory", "", "w0"): b"{}"}))
        claim = encode_claim(ClaimRow("me", "boot", "10.0.0.1:7000", 0))
        token = self.store.apply(RowTransaction({}, {OWNER_ROW_KEY: claim})).version
        self.metrics = NodeMetrics()
        deps = OwnerDependencies(
            store=self.store,
            driver=FakeDriver(worker, start_outcome),
            decoder=FakeDecoder(worker),
            clock=StoreClock(0.0),
            advice_dispatcher=AdviceDispatcher(AdviceGate(None), dict),
            lease_ms=LEASE_MS,
            max_lease_ms=LEASE_MS,
            job_kept_ms=60_000.0,
            row_max_bytes=65_536,
            authority_ends_ms=lambda: float("inf"),
            on_ownership_lost=lambda reason: None,
            metrics=self.metrics,
            size=MachineSize(0.39, 10.0),
            loop_lag=LoopLagMonitor(self.metrics),
            session_hosts=dict,
        )
        now = monotonic_ms()
        self.owner = CellOwner(deps, OwnershipTerm(token, 0, now, now), make_rules())

    def submit(self, task_count):
        spec = make_job(JOB_ID, Step(task_count, SMALL, 60_000)).spec
        value = encode_job(JobRow("q", "svc", "team", 0, spec))
        self.store.apply(RowTransaction({}, {job_row_key(JOB_ID): value}))

    async def run_until(self, is_done):
        task = asyncio.create_task(self.owner.run())
        try:
            async with asyncio.timeout(60.0):
                while not is_done():
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()
            await asyncio.wait([task])


def test_loaded_cell_says_the_size_of_the_machine(fields_of):
    """Guard against an owner too small for the cell that can't be told from a large one."""
    harness = OwnerHarness()
    asyncio.run(harness.run_until(lambda: fields_of(Event.CELL_LOADED)))
    loaded = fields_of(Event.CELL_LOADED)[0]
    assert (loaded["cores"], loaded["link_mbps"]) == (0.39, 10.0)


def test_crashed_background_task_is_named(fields_of, monkeypatch):
    """Guard against an owner that goes on without one of its tasks, with no line that says so."""
    harness = OwnerHarness()

    async def fail(*args):
        raise KeyError("p17")

    monkeypatch.setattr(harness.owner.progress_writer, "run", fail)
    asyncio.run(harness.run_until(lambda: fields_of(Event.TASK_CRASHED)))
    crashed = fields_of(Event.TASK_CRASHED)[0]
    assert crashed["task"].endswith("fail")
    assert crashed["detail"] == "KeyError('p17')"


def test_rejected_starts_show_in_lines_and_metrics(fields_of, monkeypatch):
    """Guard against an owner that sends starts in vain and looks as if it decided nothing."""
    monkeypatch.setattr(waiting_report, "LONG_WAIT_MS", 0.0)
    monkeypatch.setattr(waiting_report, "REPORT_INTERVAL_MS", 0.0)
    harness = OwnerHarness(CommandOutcome.NO_ROOM)
    harness.submit(task_count=9)

    def is_reported():
        return any(line["starts_not_ok"] for line in fields_of(Event.STEPS_WAITING))

    asyncio.run(harness.run_until(is_reported))
    line = next(f for f in fields_of(Event.STEPS_WAITING) if f["starts_not_ok"])
    assert set(line["starts_not_ok"]) == {"no_room"}
    assert line["starts_sent"] == line["starts_not_ok"]["no_room"] > 0
    assert any(f["rounds"] for f in fields_of(Event.STEPS_WAITING))
    assert line["oldest"] == f"{JOB_ID}.0.0"
    text = harness.metrics.exposition()[0].decode()
    assert 'baobabhoist_failed_starts_total{reason="no_room"}' in text


def test_waits_for_runs_of_silent_workers_reach_the_metrics(monkeypatch):
    """Guard against a histogram of standstills that stays empty on a running owner (LOST)."""
    waits = [EndedWait(AwaitReason.LATE_START, 24_000.0)]
    monkeypatch.setattr(AwaitedRuns, "take_ended_waits", lambda self: waits)
    harness = OwnerHarness()

    def is_counted():
        return "baobabhoist_awaited_run_seconds_count" in harness.metrics.exposition()[0].decode()

    asyncio.run(harness.run_until(is_counted))
    text = harness.metrics.exposition()[0].decode()
    assert 'baobabhoist_awaited_run_seconds_bucket{le="20.0",reason="late_start"} 0' in text
