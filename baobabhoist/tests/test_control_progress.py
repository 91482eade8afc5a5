"""Test that progress is stored before workers forget it, and never goes back."""

import asyncio

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import RunOutcome, Step
from baobabhoist.control.progress import ProgressWriter
from baobabhoist.control.rowmap import OWNER_ROW, progress_row
from baobabhoist.store.rows import RowsTxn
from baobabhoist.testing.rows import MemoryRows
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key

ID = "0" * 16


def claimed(**options):
    rows = MemoryRows(**options)
    token = rows.apply(RowsTxn({}, {OWNER_ROW: b"me"})).version
    deposed = []
    return rows, ProgressWriter(rows, token, deposed.append), deposed


def working_rig():
    rig = CellHarness.with_workers(2)
    rig.submit(make_job(ID, Step(3, SMALL, 100)))
    rig.settle()
    return rig


def flush(writer, cell):
    return asyncio.run(writer._flush(cell))


def stored_done(rows):
    (step,) = progress_rows.decode(rows.rows[progress_row(ID)].value).steps
    return step.done


def test_ends_are_acknowledged_only_after_their_progress_is_stored():
    """Guard against a done task that both the worker and the store have forgotten."""
    rows, writer, _ = claimed()
    rig = working_rig()
    rig.end_run(make_task_key(index=0))
    worker = rig.cell.state.workers["w0"]
    rows.down = True
    assert not flush(writer, rig.cell)
    assert worker.last_acked_end == 0
    rows.down = False
    assert flush(writer, rig.cell)
    assert worker.last_acked_end == 1
    assert stored_done(rows) == (0,)


def test_a_write_that_is_carried_out_late_does_not_undo_a_newer_one():
    """Guard against progress that goes back after the store answered a newer write."""
    ways = ["late"]
    rows, writer, _ = claimed(fail=lambda txn: ways.pop() if ways else "")
    rig = working_rig()
    rig.end_run(make_task_key(index=0))
    assert not flush(writer, rig.cell)
    rig.end_run(make_task_key(index=1))
    assert flush(writer, rig.cell)
    rows.deliver_late()
    assert stored_done(rows) == (0, 1)


def test_a_write_whose_answer_was_lost_does_not_block_the_next_one():
    """Guard against an owner that takes its own earlier write for another owner's."""
    ways = ["lost"]
    rows, writer, deposed = claimed(fail=lambda txn: ways.pop() if ways else "")
    rig = working_rig()
    rig.end_run(make_task_key(index=0))
    tries = [flush(writer, rig.cell) for _ in range(3)]
    assert tries == [False, False, True]
    assert deposed == []
    assert stored_done(rows) == (0,)


def test_a_deposed_owner_writes_nothing():
    """Guard against progress of an earlier owner over that of the present one."""
    rows, writer, deposed = claimed()
    rig = working_rig()
    rig.end_run(make_task_key(index=0))
    rows.apply(RowsTxn({}, {OWNER_ROW: b"other"}))
    assert not flush(writer, rig.cell)
    assert deposed
    assert progress_row(ID) not in rows.rows


def test_a_cancelled_write_keeps_its_progress_for_the_next_one():
    """Guard against progress lost when the writer is stopped in the middle of a write."""

    async def run():
        rows, writer, _ = claimed()
        rig = working_rig()
        rig.end_run(make_task_key(index=0), RunOutcome.DONE)
        rows.hangs = True
        flushing = asyncio.create_task(writer._flush(rig.cell))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        flushing.cancel()
        await asyncio.gather(flushing, return_exceptions=True)
        rows.hangs = False
        assert await writer.release(b"released", rig.cell)
        assert stored_done(rows) == (0,)
        return rows

    rows = asyncio.run(run())
    assert rows.rows[OWNER_ROW].value == b"released"


def test_a_start_is_sent_only_after_the_run_is_stored():
    """Guard against a run that the next owner does not know of and starts again."""
    rows, writer, _ = claimed()
    rig = CellHarness.with_workers(1)
    rig.delivers_commands = False
    rig.submit(make_job(ID))
    (order,) = rig.schedule()
    sent = []
    writer.when_stored(lambda: sent.append(order))
    rows.down = True
    assert not flush(writer, rig.cell)
    assert sent == []
    rows.down = False
    assert flush(writer, rig.cell)
    assert sent == [order]
    (step,) = progress_rows.decode(rows.rows[progress_row(ID)].value).steps
    assert step.runs[0].worker_id == order.worker_id


def test_a_start_of_a_deposed_owner_is_never_sent():
    """Guard against two owners that both order runs while only one holds the claim."""
    rows, writer, deposed = claimed()
    rig = CellHarness.with_workers(1)
    rig.delivers_commands = False
    rig.submit(make_job(ID))
    rig.schedule()
    sent = []
    writer.when_stored(lambda: sent.append(1))
    rows.apply(RowsTxn({}, {OWNER_ROW: b"other"}))
    assert not flush(writer, rig.cell)
    assert deposed
    assert sent == []
