"""Test that no lease is extended while the stored row may name its worker."""

import asyncio
import math

import pytest

from baobabhoist.cell.model import CommandOutcome, Step
from baobabhoist.cell.scheduler import Takeover
from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.cell.workers import MAX_START_LATENESS_MS
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.owner import CellOwner
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.silent_workers import SILENT_AFTER_TAKEOVER_MS, SilentWorkers
from baobabhoist.control.silent_workers_row import (
    SILENT_WORKERS_ROW_KEY,
    decode_silent_workers,
    encode_silent_workers,
)
from baobabhoist.observability.events import Event
from baobabhoist.store.row_store import RowTransaction, StoredRow
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules
from baobabhoist.tests.owner_harness import ROW_MAX_BYTES, FakeDriver, OwnerHarness

W0 = {"w0": SilentWorker(5, 10)}
HOLD_BACK_S = 0.4
STORE_AHEAD_MS = 1_000_000.0
# The estimate of the store's clock may improve meanwhile.
CLOCK_ERROR_MS = 100.0


class RecordingDriver(FakeDriver):
    """Run the tasks of a worker that may be silent, and record what it gets."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.is_silent = False
        # Renewals that are answered before all others hang.
        self.answers_left = math.inf
        # Whether each call extended the lease, and whether the stored row named the worker then.
        self.calls = []

    def _record(self, extends):
        self.calls.append((extends, is_named(self.store)))

    async def renew(self, worker, token, acked_end, deadline_ms, wait_ms):
        if self.is_silent:
            await asyncio.sleep(0.01)
            return CommandOutcome.UNKNOWN
        if not self.answers_left:
            await asyncio.Event().wait()
        self.answers_left -= 1
        self._record(deadline_ms is not None)
        return await super().renew(worker, token, acked_end, deadline_ms, wait_ms)

    async def start(self, worker, token, command, deadline_ms):
        self._record(True)
        self.starts.append(command)
        return CommandResponse(self.workers["w0"].start(token, command, deadline_ms))

    def count_extensions(self):
        return sum(extends for extends, _ in self.calls)


def read_workers(store):
    """Return the silent workers that are stored."""
    row = store.rows.get(SILENT_WORKERS_ROW_KEY)
    return list(decode_silent_workers(row.value).workers.values()) if row is not None else []


def is_named(store):
    """Return whether the stored row may name the worker."""
    try:
        return bool(read_workers(store))
    except ValueError:
        return True


def make_owner():
    harness = OwnerHarness()
    harness.driver = harness.owner.sessions._deps.driver = RecordingDriver(harness.store)
    return harness


def fail_row(failures):
    """Return a function that lets the next writes of the row fail as listed."""

    def choose(txn):
        return failures.pop(0) if failures and SILENT_WORKERS_ROW_KEY in txn.puts else ""

    return choose


async def fall_silent(harness):
    """Let a worker with a run fall silent."""
    await harness.start_with_job()
    await harness.wait_until(lambda: harness.driver.starts)
    harness.driver.is_silent = True


def check(harness):
    """Check that each extension came while the row did not name the worker."""
    assert not [call for call in harness.driver.calls if call == (True, True)]
    # A write that is applied late must not name it either.
    harness.store.apply_delayed()
    assert not is_named(harness.store)


@pytest.mark.parametrize("failures", [[], ["lost"], ["late"], ["refused"], ["lost", "late"]])
def test_a_named_worker_that_answers_is_not_extended_before_that_is_stored(failures):
    """Guard against two runs of a task: the next owner trusts the row and waits too briefly."""

    async def run():
        harness = make_owner()
        await fall_silent(harness)
        await harness.wait_until(lambda: is_named(harness.store))
        extensions = harness.driver.count_extensions()
        failures_left = ["refused"] * 1_000
        harness.store.choose_failure = fail_row(failures_left)
        harness.driver.is_silent = False
        await asyncio.sleep(HOLD_BACK_S)
        assert harness.driver.count_extensions() == extensions
        failures_left[:] = failures
        await harness.wait_until(lambda: harness.driver.count_extensions() > extensions)
        check(harness)
        harness.task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("failure", ["lost", "late"])
def test_a_write_without_an_answer_may_name_its_workers(failure):
    """Guard against two runs of a task whose worker a write names that seems to have failed."""

    async def run():
        harness = make_owner()
        harness.store.choose_failure = fail_row([failure, *["refused"] * 1_000])
        await fall_silent(harness)
        await harness.wait_until(lambda: harness.store.delayed or is_named(harness.store))
        extensions = harness.driver.count_extensions()
        harness.driver.is_silent = False
        await asyncio.sleep(HOLD_BACK_S)
        assert harness.driver.count_extensions() == extensions
        harness.store.choose_failure = lambda txn: ""
        await harness.wait_until(lambda: harness.driver.count_extensions() > extensions)
        check(harness)
        harness.task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    "value", [encode_silent_workers(W0), b"\xff"], ids=["named", "unreadable"]
)
def test_a_new_owner_extends_no_lease_before_it_has_replaced_the_row(value, fields_of):
    """Guard against two runs of a task: the next owner trusts the row of an earlier one."""

    async def run():
        harness = make_owner()
        harness.store.apply(RowTransaction(puts={SILENT_WORKERS_ROW_KEY: value}))
        harness.store.choose_failure = fail_row(["refused"] * 1_000)
        await harness.start()
        await asyncio.sleep(HOLD_BACK_S)
        assert harness.driver.calls
        assert not harness.driver.count_extensions()
        harness.store.choose_failure = lambda txn: ""
        await harness.wait_until(harness.driver.count_extensions)
        check(harness)
        harness.task.cancel()

    asyncio.run(run())
    unreadable = [f for f in fields_of(Event.ROW_UNREADABLE) if f["table"] == "silence"]
    assert len(unreadable) == (value == b"\xff")


def test_a_named_worker_is_resumed_without_another_answer():
    """Guard against leases that lapse because the next answer of a worker takes a while."""

    async def run():
        harness = make_owner()
        await fall_silent(harness)
        await harness.wait_until(lambda: is_named(harness.store))
        harness.driver.answers_left = 1
        harness.driver.is_silent = False
        lease = harness.owner.cell.state.workers["w0"].lease
        await harness.wait_until(lambda: not lease.is_suspended)
        assert not is_named(harness.store)
        harness.task.cancel()

    asyncio.run(run())


def test_a_new_owner_counts_the_stored_times():
    """Guard against owners that each wait anew although the row tells until when."""

    async def run():
        harness = make_owner()
        await fall_silent(harness)
        await harness.wait_until(lambda: is_named(harness.store))
        harness.task.cancel()
        (stored,) = read_workers(harness.store)
        deps, term = harness.owner._deps, harness.owner.ownership
        later_ms = term.won_ms + 60_000.0
        later = OwnershipTerm(term.token, 1, later_ms, later_ms)
        harness.owner = CellOwner(deps, later, make_rules())
        await harness.start()
        worker = harness.owner.cell.state.workers["w0"]
        assert worker.runs
        lease_ms, longest_ms = map(
            deps.clock.to_local_ms, (stored.lease_expiry_ms, stored.longest_expiry_ms)
        )
        assert worker.inherited_lease_expiry_ms == pytest.approx(lease_ms, abs=CLOCK_ERROR_MS)
        assert worker.longest_inherited_expiry_ms == pytest.approx(longest_ms, abs=CLOCK_ERROR_MS)
        harness.task.cancel()

    asyncio.run(run())


def make_cell_with_run():
    """Return a cell with a run on a worker that it has never heard."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(1, SMALL, 1000)))
    harness.settle()
    progress = harness.save_progress()
    harness.workers["w0"].is_up = False
    harness.take_over([make_job("0" * 16)], progress)
    return harness


def load(workers, now):
    clock = StoreClock(STORE_AHEAD_MS)
    silent_workers = SilentWorkers(clock, ROW_MAX_BYTES)
    value = encode_silent_workers(workers)
    silent_workers.load([StoredRow(SILENT_WORKERS_ROW_KEY, value, 1)], now)
    return silent_workers


def test_a_new_owner_names_a_worker_that_it_does_not_hear():
    """Guard against owners that each wait anew, since none of them says until when."""
    harness = make_cell_with_run()
    workers = harness.cell.state.workers
    silent_workers = load({}, harness.now)
    assert not silent_workers.is_write_due(workers, harness.now)
    harness.now += SILENT_AFTER_TAKEOVER_MS
    (value,) = silent_workers.changes(workers, harness.now).values()
    silent = decode_silent_workers(value).workers["w0"]
    assert silent.lease_expiry_ms >= workers["w0"].lease_expiry_ms() + STORE_AHEAD_MS
    assert silent.longest_expiry_ms >= workers["w0"].last_run_expiry_ms() + STORE_AHEAD_MS
    # Its session must not extend the lease once it hears the worker.
    assert workers["w0"].lease.is_suspended


def test_an_owner_that_loads_for_long_names_no_worker_before_it_could_hear_it():
    """Guard against a takeover that suspends the leases of all workers at once."""
    harness = make_cell_with_run()
    workers = harness.cell.state.workers
    silent_workers = load({}, harness.now)
    harness.now += 10 * SILENT_AFTER_TAKEOVER_MS
    silent_workers.record_opened(harness.now)
    assert not silent_workers.is_write_due(workers, harness.now)
    assert silent_workers.is_write_due(workers, harness.now + SILENT_AFTER_TAKEOVER_MS)


def test_a_new_owner_carries_an_entry_on_unchanged():
    """Guard against times that grow a little with each owner."""
    harness = make_cell_with_run()
    silent_workers = load(W0, harness.now)
    workers = harness.cell.state.workers
    assert not silent_workers.is_write_due(workers, harness.now + SILENT_AFTER_TAKEOVER_MS)
    assert silent_workers.inherited()["w0"].lease_expiry_ms == 5 - STORE_AHEAD_MS


def test_a_worker_that_answers_once_and_is_silent_again_is_not_resumed():
    """Guard against a dark worker that gets starts because it answered while a write was sent."""
    harness = make_cell_with_run()
    silent_workers = load(W0, harness.now)
    resumed = []
    silent_workers.gate.resume = resumed.append
    assert not silent_workers.record_answer("w0")
    assert silent_workers.changes(harness.cell.state.workers, harness.now)
    silent_workers.record_silence("w0")
    silent_workers.record_stored()
    assert not resumed
    assert not silent_workers.may_name("w0")
    later_ms = harness.now + SILENT_AFTER_TAKEOVER_MS
    assert silent_workers.changes(harness.cell.state.workers, later_ms)


def test_a_worker_whose_lease_another_instance_may_extend_is_not_named():
    """Guard against two runs of a task whose worker's earlier holder goes on for it."""
    harness = make_cell_with_run()
    silent_workers = load({}, harness.now)
    silent_workers.gate.may_extend_elsewhere = lambda worker_id: True
    later_ms = harness.now + SILENT_AFTER_TAKEOVER_MS
    assert not silent_workers.is_write_due(harness.cell.state.workers, later_ms)


def test_the_stored_times_make_no_wait_longer_than_all_that_earlier_owners_can_have_granted():
    """Guard against tasks that wait for ever because of odd times in the store."""
    takeover = Takeover(
        1, 1, 100.0, 200.0, {"near": SilentWorker(5, 10), "far": SilentWorker(1e9, 1e9)}
    )
    assert takeover.expiries_of("near") == SilentWorker(5, 10)
    assert takeover.expiries_of("far") == SilentWorker(200.0, 200.0 + MAX_START_LATENESS_MS)
    assert takeover.expiries_of("other") == SilentWorker(100.0, 200.0)
