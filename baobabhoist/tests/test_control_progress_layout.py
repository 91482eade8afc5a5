"""Test that progress of any size is stored in rows that the store accepts."""

import asyncio
from unittest import mock

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell import progress_rows
from baobabhoist.cell.crash_blame import CrashBlame, Evidence
from baobabhoist.cell.model import JobPhase, Resources, Step
from baobabhoist.cell.progress_rows import JobProgress, StepProgress, StoredRun, merge_progress
from baobabhoist.control import progress_layout
from baobabhoist.control.progress_layout import ProgressLayout
from baobabhoist.control.row_schema import PROGRESS_TABLE, progress_row_key
from baobabhoist.control.stored_rows import group_by_job, restore_progress
from baobabhoist.store.row_store import StoredRow
from baobabhoist.tests.cell_harness import CellHarness, make_job
from baobabhoist.tests.test_control_progress_writer import flush, make_writer

ID, OTHER_ID = "0" * 16, "1" * 16
TINY = Resources(10, 1, 0)
TASKS = 1_000
ROW_MAX_BYTES = 50_000

indices = st.integers(0, TASKS - 1)
texts = st.text("0123456789abcdef", min_size=1, max_size=20)
step_progress = st.builds(
    StepProgress,
    st.integers(0, 2),
    st.integers(0, 2),
    st.sets(indices).map(lambda found: tuple(sorted(found))),
    st.dictionaries(indices, st.sets(st.integers(1, 9), min_size=1).map(sorted).map(tuple)),
    st.dictionaries(indices, texts),
    st.dictionaries(indices, st.builds(StoredRun, st.integers(1, 9), texts)),
    st.dictionaries(
        indices,
        st.dictionaries(texts, st.sampled_from(Evidence), min_size=1).map(CrashBlame),
    ),
    st.dictionaries(indices, st.integers(1_000, 9_000)),
)
job_progress = st.builds(
    JobProgress,
    st.sampled_from([JobPhase.QUEUED, JobPhase.RUNNING]),
    st.lists(step_progress, unique_by=lambda s: (s.occurrence, s.step), max_size=3).map(tuple),
)


def without_empty(progress):
    empty = StepProgress(0, 0).split(1)
    steps = [step for step in progress.steps if step.split(TASKS) != empty]
    return progress.phase, sorted(steps, key=lambda s: (s.occurrence, s.step))


def read_back(rows):
    decoded = {key: progress_rows.decode(value) for key, value in rows.items()}
    main = decoded.pop(progress_row_key(ID))
    return merge_progress(main, decoded.values())


@settings(deadline=None)
@given(st.lists(job_progress, min_size=1, max_size=4))
def test_what_is_stored_is_read_back(history):
    """Guard against progress that is lost or doubled once a job is split over several rows."""
    layout, rows = ProgressLayout(ROW_MAX_BYTES), {}
    for progress in history:
        with mock.patch.object(progress_layout, "SPLIT_SHARE", 0.005):
            changes = layout.changes(ID, progress)
        layout.record_stored(changes)
        rows |= changes
        assert without_empty(read_back(rows)) == without_empty(progress)


def make_wide_harness():
    """Return a cell whose wide job has lost all its workers once."""
    harness = CellHarness.with_workers(6, capacity=Resources(16_000, 65_536, 0))
    harness.submit(make_job(ID, Step(TASKS, TINY, 60_000, checkpoints=True)))
    harness.settle(60)
    for worker in harness.workers.values():
        for run in worker.runs.values():
            run.checkpoint = f"{run.task.index:016x}"
    harness.advance(1_000.0)
    for worker in harness.workers.values():
        worker.crash()
        worker.restart()
    harness.settle(60)
    return harness


def test_a_crash_under_a_wide_job_stops_no_other_job():
    """Guard against a cell that stands still because one row is too large (LOST, review/2)."""
    store, writer, _ = make_writer(row_max_bytes=ROW_MAX_BYTES)
    harness = make_wide_harness()
    harness.submit(make_job(OTHER_ID))
    harness.schedule()
    assert flush(writer, harness.cell)
    sizes = {key: len(row.value) for key, row in store.rows.items() if key.table == PROGRESS_TABLE}
    assert max(sizes.values()) <= ROW_MAX_BYTES < sum(sizes.values())
    assert progress_row_key(OTHER_ID) in sizes


def test_the_next_owner_continues_a_split_job():
    """Guard against tasks that run again because their progress was in another row."""
    store, writer, _ = make_writer(row_max_bytes=ROW_MAX_BYTES)
    harness = make_wide_harness()
    assert flush(writer, harness.cell)
    job = harness.cell.find_job(ID)
    before = progress_rows.capture_progress(job)
    rows = [row for key, row in store.rows.items() if key.table == PROGRESS_TABLE]
    harness.take_over([job.accepted])
    for job_id, job_rows in group_by_job(rows).items():
        restore_progress(harness.cell, job_id, job_rows, harness.now)
    after = progress_rows.capture_progress(harness.cell.find_job(ID))
    assert without_empty(after) == without_empty(before)


def test_a_progress_that_names_too_many_occurrences_fails_only_its_job():
    """Guard against an owner that opens more occurrences than its memory holds."""
    harness = CellHarness.with_workers(1)
    repeats = 10**9
    far_ahead = int(harness.now) + 10**9
    harness.submit(make_job(ID, repeats=repeats, first_due_ms=far_ahead, interval_ms=1))
    value = progress_rows.encode(
        JobProgress(JobPhase.RUNNING, (StepProgress(repeats - 1, 0, (0,)),))
    )
    restore_progress(harness.cell, ID, [StoredRow(progress_row_key(ID), value, 1)], harness.now)
    assert harness.job_phase(ID) is JobPhase.FAILED


def test_the_parts_of_a_finished_job_are_removed():
    """Guard against rows that each new owner reads although their job has ended."""
    store, writer, _ = make_writer(row_max_bytes=ROW_MAX_BYTES)
    harness = make_wide_harness()
    assert flush(writer, harness.cell)
    harness.cell.cancel_job(ID, harness.now)
    assert flush(writer, harness.cell)
    stored = {key: row for key, row in store.rows.items() if key.table == PROGRESS_TABLE}
    assert list(stored) == [progress_row_key(ID)]
    assert progress_rows.decode(stored[progress_row_key(ID)].value).phase is JobPhase.CANCELLED


def test_only_changed_parts_are_written_again():
    """Guard against the whole progress of a wide job in each write."""
    store, writer, _ = make_writer(row_max_bytes=ROW_MAX_BYTES)
    harness = make_wide_harness()
    assert flush(writer, harness.cell)
    version = store.version
    task = next(iter(harness.workers["w0"].runs))
    harness.workers["w0"].runs[task].checkpoint = "f" * 16
    harness.renew_all()
    harness.cell.state.dirty.add(ID)
    assert flush(writer, harness.cell)
    written = [r.key for r in store.history if r.version > version]
    assert len(written) == 2


def test_a_part_whose_write_got_no_answer_is_written_again():
    """Guard against a row that keeps what was written late, because its content changed back."""
    layout = ProgressLayout(2_000)
    step = StepProgress(0, 0, tuple(range(600)))
    before = JobProgress(JobPhase.RUNNING, (step,))
    after = JobProgress(JobPhase.RUNNING, (attrs.evolve(step, runs={5: StoredRun(1, "w0")}),))
    layout.record_stored(layout.changes(ID, before))
    unanswered = layout.changes(ID, after)
    assert len(unanswered) == 2
    layout.record_unknown(unanswered)
    assert set(layout.changes(ID, before)) == set(unanswered)


def test_wide_jobs_together_fit_into_the_calls():
    """Guard against a write that the store never accepts because it holds too many large rows."""
    store, writer, _ = make_writer(row_max_bytes=ROW_MAX_BYTES, call_max_bytes=750_000)
    changes = {}
    for number in range(30):
        key = progress_row_key(f"{number:016x}")
        changes[key] = b"x" * 40_000
    harness = CellHarness.with_workers(1)
    keys = set(changes)
    asyncio.run(writer._write(changes, harness.cell))
    assert not changes
    assert keys <= set(store.rows)


def test_a_long_checkpoint_does_not_keep_a_job_from_being_stored(fields_of):
    """Guard against a worker whose checkpoints make the progress of its job too large."""
    layout = ProgressLayout(2_000)
    step = StepProgress(0, 0, (1,), checkpoints={2: "f" * 5_000})
    for _ in range(2):
        changes = layout.changes(ID, JobProgress(JobPhase.RUNNING, (step,)))
        assert max(len(value) for value in changes.values()) < 2_000
    assert read_back(changes).steps[0].done == (1,)


@pytest.mark.parametrize("is_store_sound", [True, False])
def test_a_job_that_the_store_rejects_fails_alone(is_store_sound):
    """Guard against one row that holds up a cell, and against jobs that fail with the store."""

    def choose_failure(txn):
        value = txn.puts.get(progress_row_key(ID), b"")
        return "rejected" if not is_store_sound or len(value) > 50 else ""

    _, writer, _ = make_writer(choose_failure=choose_failure)
    if not is_store_sound:
        writer.heartbeat_confirmed_ms = float("-inf")
    harness = CellHarness.with_workers(2)
    harness.submit(make_job(ID))
    harness.submit(make_job(OTHER_ID))
    harness.settle()
    assert not flush(writer, harness.cell)
    assert flush(writer, harness.cell) == is_store_sound
    phases = [harness.job_phase(job_id) for job_id in (ID, OTHER_ID)]
    first = JobPhase.FAILED if is_store_sound else JobPhase.RUNNING
    assert phases == [first, JobPhase.RUNNING]
