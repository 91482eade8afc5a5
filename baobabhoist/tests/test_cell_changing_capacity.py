"""Test workers whose capacity shrinks and grows while they run."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.model import Resources, RunOutcome, StartTask, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_task_key

FULL = Resources(4000, 4096, 0)
HALF = Resources(2000, 4096, 0)
LESS_MEMORY = Resources(4000, 1024, 0)


def set_capacity(harness, worker_id, capacity):
    worker = harness.workers[worker_id]
    worker.capacity = capacity
    harness.cell.update_worker(worker.info(), harness.now)


def test_a_worker_that_has_shrunk_gets_no_more_than_fits_and_one_that_has_grown_does():
    """Guard against starts that bring a worker over a capacity that has shrunk (LIMIT)."""
    harness = CellHarness.with_workers(1)
    set_capacity(harness, "w0", HALF)
    harness.submit(make_job("0" * 16, Step(4, SMALL, 1000)))
    harness.settle()
    assert len(harness.running_tasks()) == 2
    set_capacity(harness, "w0", LESS_MEMORY)
    harness.settle()
    assert len(harness.running_tasks()) == 2
    set_capacity(harness, "w0", FULL)
    harness.settle()
    assert len(harness.running_tasks()) == 4


def test_a_run_that_is_being_stopped_counts_against_a_capacity_that_has_shrunk():
    """Guard against a start in the place of a task that has not ended yet (LIMIT)."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(4, SMALL, 1000)))
    harness.settle()
    harness.delivers_commands = False
    set_capacity(harness, "w0", HALF)
    harness.cell.cancel_job("0" * 16, harness.now)
    harness.submit(make_job("1" * 16))
    harness.settle()
    assert not any(isinstance(command, StartTask) for command in harness.undelivered)


def test_a_start_is_not_sent_to_a_worker_that_has_shrunk_or_drains_since_its_decision():
    """Guard against starts that wait for a slow store and bring their worker over (LIMIT)."""
    for change in (
        lambda harness: set_capacity(harness, "w0", Resources(500, 4096, 0)),
        lambda harness: harness.cell.update_worker(
            harness.workers["w0"].info(is_draining=True), harness.now
        ),
        lambda harness: harness.cell.unlist_worker("w0", harness.now),
    ):
        harness = CellHarness.with_workers(1)
        harness.delivers_commands = False
        harness.submit(make_job())
        (start,) = harness.schedule()
        change(harness)
        assert not harness.cell.should_send_start(start, harness.now)
        assert harness.cell.find_job("0" * 16).find_task(make_task_key()).run is None


CAPACITIES = st.sampled_from([FULL, HALF, LESS_MEMORY, Resources(0, 0, 0)])
ACTIONS = st.one_of(
    st.tuples(st.just("resize"), st.sampled_from(["w0", "w1"]), CAPACITIES),
    st.tuples(st.just("submit"), st.integers(1, 4), st.booleans()),
    st.tuples(st.just("end"), st.integers(0, 20), st.none()),
    st.tuples(st.just("advance"), st.sampled_from([50.0, 700.0]), st.none()),
)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(ACTIONS, max_size=25))
def test_no_start_ever_brings_a_worker_over_its_present_capacity(actions):
    """Guard against starts that look at an earlier capacity, under any order of changes."""
    harness = CellHarness.with_workers(2)
    jobs = 0
    for action, first, second in actions:
        if action == "resize":
            set_capacity(harness, first, second)
        elif action == "submit":
            harness.submit(make_job(f"{jobs:016x}", Step(first, SMALL, 100, gang=second)))
            jobs += 1
        elif action == "end" and harness.running_tasks():
            key, worker_id = harness.running_tasks()[first % len(harness.running_tasks())]
            harness.workers[worker_id].end_run(key, RunOutcome.DONE)
        elif action == "advance":
            harness.advance(first)
        runs_before = {w: len(worker.runs) for w, worker in harness.workers.items()}
        harness.settle(2)
        for worker_id, worker in harness.workers.items():
            if len(worker.runs) > runs_before[worker_id]:
                assert SMALL.times(len(worker.runs)).fits_into(worker.capacity)
