"""Test that progress is stored before workers discard it, and is never overwritten by older."""

import asyncio
import itertools

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import CellRules, Queue, RunOutcome, Step
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.progress_writer import MAX_ROWS_PER_WRITE, ProgressWriter
from baobabhoist.control.row_schema import (
    OWNER_ROW_KEY,
    PROGRESS_TABLE,
    SPEEDS_ROW_KEY,
    progress_row_key,
)
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.control.stored_rows import restore_speeds
from baobabhoist.platform.adaptive_timeout import MIN_TIMEOUT_S
from baobabhoist.platform.store import ENCODED_BYTES_PER_BYTE
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key

ID = "0" * 16
# Every write of this number is refused; more writes are needed than succeed in a row.
FAILING_WRITE = 4
MANY_JOBS = FAILING_WRITE * MAX_ROWS_PER_WRITE + 1
# The slowest links of the users' sites have 5 Mbit/s and are played at half of that.
SLOWEST_LINK_BYTES_PER_S = 2_500_000 / 8
LARGE_ROW_BYTES = 40_000
LARGE_ROWS = 20


def make_writer(**options):
    store = MemoryRowStore(**options)
    token = store.apply(RowTransaction({}, {OWNER_ROW_KEY: b"me"})).version
    loss_reasons = []
    silent_workers = SilentWorkers(StoreClock(), store.row_max_bytes)
    writer = ProgressWriter(store, token, loss_reasons.append, store.row_max_bytes, silent_workers)
    return store, writer, loss_reasons


def make_harness_with_runs():
    harness = CellHarness.with_workers(2)
    harness.submit(make_job(ID, Step(3, SMALL, 100)))
    harness.settle()
    return harness


def flush(writer, cell):
    return asyncio.run(writer._flush(cell))


def stored_done_tasks(store):
    (step,) = progress_rows.decode(store.rows[progress_row_key(ID)].value).steps
    return step.done


def stored_speeds(store):
    """Return the estimates that the next owner would continue from."""
    rows = [row for key, row in store.rows.items() if key.table == SPEEDS_ROW_KEY.table]
    cell = CellHarness.with_workers(1).cell
    restore_speeds(cell, rows)
    return cell.state.speeds


def test_ends_are_acknowledged_only_after_their_progress_is_stored():
    """Guard against a finished task that neither the worker nor the store has a record of."""
    store, writer, _ = make_writer()
    harness = make_harness_with_runs()
    harness.end_run(make_task_key(index=0))
    worker = harness.cell.state.workers["w0"]
    store.is_down = True
    assert not flush(writer, harness.cell)
    assert worker.last_acked_end == 0
    store.is_down = False
    assert flush(writer, harness.cell)
    assert worker.last_acked_end == 1
    assert stored_done_tasks(store) == (0,)


def test_late_write_does_not_undo_a_newer_one():
    """Guard against older progress that replaces newer, already confirmed progress."""
    failures = ["late"]
    store, writer, _ = make_writer(choose_failure=lambda txn: failures.pop() if failures else "")
    harness = make_harness_with_runs()
    harness.end_run(make_task_key(index=0))
    assert not flush(writer, harness.cell)
    harness.end_run(make_task_key(index=1))
    assert flush(writer, harness.cell)
    store.apply_delayed()
    assert stored_done_tasks(store) == (0, 1)


def test_unanswered_write_does_not_block_the_next_one():
    """Guard against an owner that mistakes its own earlier write for that of another owner."""
    failures = ["lost"]
    store, writer, loss_reasons = make_writer(
        choose_failure=lambda txn: failures.pop() if failures else ""
    )
    harness = make_harness_with_runs()
    harness.end_run(make_task_key(index=0))
    outcomes = [flush(writer, harness.cell) for _ in range(3)]
    assert outcomes == [False, False, True]
    assert loss_reasons == []
    assert stored_done_tasks(store) == (0,)


def test_replaced_owner_writes_nothing():
    """Guard against a previous owner that overwrites the progress of the current one."""
    store, writer, loss_reasons = make_writer()
    harness = make_harness_with_runs()
    harness.end_run(make_task_key(index=0))
    store.apply(RowTransaction({}, {OWNER_ROW_KEY: b"other"}))
    assert not flush(writer, harness.cell)
    assert loss_reasons
    assert progress_row_key(ID) not in store.rows


def test_progress_of_a_cancelled_write_is_written_next():
    """Guard against progress that is lost when the writer is cancelled during a write."""

    async def run():
        store, writer, _ = make_writer()
        harness = make_harness_with_runs()
        harness.end_run(make_task_key(index=0), RunOutcome.DONE)
        store.commits_hang = True
        flushing = asyncio.create_task(writer._flush(harness.cell))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        flushing.cancel()
        await asyncio.gather(flushing, return_exceptions=True)
        store.commits_hang = False
        assert await writer.release(b"released", harness.cell)
        assert stored_done_tasks(store) == (0,)
        return store

    store = asyncio.run(run())
    assert store.rows[OWNER_ROW_KEY].value == b"released"


def test_start_is_sent_only_after_the_run_is_stored():
    """Guard against a run that the next owner does not know of and so starts again."""
    store, writer, _ = make_writer()
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job(ID))
    (command,) = harness.schedule()
    sent = []
    writer.call_when_stored(lambda: sent.append(command))
    store.is_down = True
    assert not flush(writer, harness.cell)
    assert sent == []
    store.is_down = False
    assert flush(writer, harness.cell)
    assert sent == [command]
    (step,) = progress_rows.decode(store.rows[progress_row_key(ID)].value).steps
    assert step.runs[0].worker_id == command.worker_id


def test_start_of_a_replaced_owner_is_never_sent():
    """Guard against two owners that both start runs although only one holds the claim."""
    store, writer, loss_reasons = make_writer()
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job(ID))
    harness.schedule()
    sent = []
    writer.call_when_stored(lambda: sent.append(1))
    store.apply(RowTransaction({}, {OWNER_ROW_KEY: b"other"}))
    assert not flush(writer, harness.cell)
    assert loss_reasons
    assert sent == []


def test_progress_is_stored_although_some_write_of_each_try_fails():
    """Guard against an owner with many changed jobs that writes the same first ones for ever."""
    writes = itertools.count(1)
    store, writer, _ = make_writer(
        choose_failure=lambda txn: "" if next(writes) % FAILING_WRITE else "refused"
    )
    harness = CellHarness.with_workers(1)
    for number in range(MANY_JOBS):
        harness.submit(make_job(f"{number:016x}"))
    harness.cell.state.dirty.update(harness.cell.state.jobs)
    tries = [flush(writer, harness.cell) for _ in range(FAILING_WRITE)]
    assert any(tries)
    assert sum(key.table == PROGRESS_TABLE for key in store.rows) == MANY_JOBS


def test_job_whose_rows_are_stored_in_part_is_written_again():
    """Guard against a job that counts as stored although a write with one of its rows failed."""
    failures = ["refused", ""]
    store, writer, _ = make_writer(choose_failure=lambda txn: failures.pop() if failures else "")
    harness = CellHarness.with_workers(1)
    job_ids = [f"{number:016x}" for number in range(MAX_ROWS_PER_WRITE + 1)]
    for job_id in job_ids:
        harness.submit(make_job(job_id))
    harness.cell.state.dirty.update(harness.cell.state.jobs)
    assert not flush(writer, harness.cell)
    missing = {job_id for job_id in job_ids if progress_row_key(job_id) not in store.rows}
    assert harness.cell.state.dirty == missing
    assert len(missing) == 1


def test_large_progress_is_stored_over_a_slow_link():
    """Guard against a write that a slow link never carries within the timeout of a write."""

    def choose_failure(txn):
        sent_bytes = sum(map(len, txn.puts.values())) * ENCODED_BYTES_PER_BYTE
        return "lost" if sent_bytes > SLOWEST_LINK_BYTES_PER_S * MIN_TIMEOUT_S else ""

    store, writer, _ = make_writer(choose_failure=choose_failure)
    keys = [progress_row_key(f"{number:016x}") for number in range(LARGE_ROWS)]
    changes = dict.fromkeys(keys, b"x" * LARGE_ROW_BYTES)
    asyncio.run(writer._write(changes, CellHarness.with_workers(1).cell))
    assert not changes
    assert set(keys) <= set(store.rows)


def test_progress_is_stored_with_the_estimates_of_thousands_of_queues():
    """Guard against progress that the store rejects because the estimates exceed a row."""
    store, writer, _ = make_writer()
    harness = make_harness_with_runs()
    rules = harness.cell.state.rules
    names = {f"queue-of-team-{number:05}" for number in range(4_000)}
    queues = rules.queues | {name: Queue(name, "svc") for name in names}
    harness.cell.set_rules(attrs.evolve(rules, queues=queues))
    for name in names:
        harness.cell.state.speeds.observe("w0", name, 700.0, 1_000.0)
    harness.end_run(make_task_key(index=0))
    assert flush(writer, harness.cell)
    assert stored_done_tasks(store) == (0,)
    assert names <= stored_speeds(store).queues.keys()


def test_the_estimates_of_removed_queues_are_stored_only_while_they_have_jobs():
    """Guard against rows that grow with each queue that has ever had a job."""
    store, writer, _ = make_writer()
    harness = make_harness_with_runs()
    for name in ("q", "gone"):
        harness.cell.state.speeds.observe("w0", name, 700.0, 1_000.0)
    harness.cell.set_rules(CellRules(2, {}, {}))
    assert flush(writer, harness.cell)
    assert list(stored_speeds(store).queues) == ["q"]
