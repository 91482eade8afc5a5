"""Test which failures set workers aside: those of a worker, and not those of a job."""

from baobabhoist.cell.model import CommandOutcome, RunOutcome, Step
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules

LARGE = SMALL.times(4)


def restricted_workers(harness):
    """Return the workers that are quarantined or on probation."""
    workers = harness.cell.state.workers.values()
    return sorted(w.worker_id for w in workers if w.health.is_on_probation)


def submit_jobs(harness, first, count, step=None):
    for number in range(first, first + count):
        harness.submit(make_job(f"{number:016x}", step or Step(1, SMALL, 1000)))


def end_all_runs(harness, fails):
    """End each run, as failed if `fails` says so of its task and worker; then settle."""
    for worker in harness.workers.values():
        for task in list(worker.runs):
            failed = fails(task, worker.worker_id)
            worker.end_run(task, RunOutcome.FAILED if failed else RunOutcome.DONE)
    harness.settle()


def test_jobs_that_always_fail_set_no_sound_worker_aside():
    """Guard against waiting work beside free workers, set aside for the failures of jobs."""
    harness = CellHarness.with_workers(8, make_rules(max_attempts=3))
    for wave in range(6):
        submit_jobs(harness, 16 * wave, 16)
        harness.settle()
        for _ in range(3):
            end_all_runs(harness, lambda task, worker_id: True)
        assert restricted_workers(harness) == []
    submit_jobs(harness, 1000, 32)
    harness.settle()
    assert len(harness.running_tasks()) == 32


def test_a_worker_that_fails_everything_is_set_aside_after_three_jobs():
    """Guard against a worker that uses up the attempts of jobs which succeed elsewhere."""
    harness = CellHarness.with_workers(8, make_rules(max_attempts=3))
    for number in range(3):
        assert restricted_workers(harness) == []
        submit_jobs(harness, 8 * number, 8, Step(1, LARGE, 1000))
        harness.settle()
        end_all_runs(harness, lambda task, worker_id: worker_id == "w0")
        end_all_runs(harness, lambda task, worker_id: worker_id == "w0")
    assert restricted_workers(harness) == ["w0"]


def test_a_failing_worker_is_found_by_a_wide_job_that_succeeds_elsewhere():
    """Guard against two failing workers that excuse each other because they fail one job."""
    harness = CellHarness.with_workers(8, make_rules(max_attempts=9))
    for number in range(4):
        submit_jobs(harness, number, 1, Step(8, LARGE, 1000))
        harness.settle()
        for _ in range(2):
            end_all_runs(harness, lambda task, worker_id: worker_id in ("w0", "w1"))
    assert restricted_workers(harness) == ["w0", "w1"]


def test_a_quarantine_ends_when_its_jobs_fail_elsewhere_too():
    """Guard against a sound worker that stays set aside for jobs that fail everywhere."""
    harness = CellHarness.with_workers(2, make_rules(max_attempts=2))
    harness.cell.state.workers["w1"].backoff_until_ms = harness.now + 1_000
    submit_jobs(harness, 0, 3)
    harness.settle()
    end_all_runs(harness, lambda task, worker_id: True)
    assert restricted_workers(harness) == ["w0"]
    harness.now += 1_000
    harness.settle()
    assert {worker_id for _, worker_id in harness.running_tasks()} == {"w1"}
    end_all_runs(harness, lambda task, worker_id: True)
    assert restricted_workers(harness) == []


def test_at_most_a_quarter_of_the_workers_is_set_aside():
    """Guard against a fault of most workers that leaves the jobs without any."""
    harness = CellHarness.with_workers(8, make_rules(max_attempts=99))
    bad_workers = {f"w{n}" for n in range(6)}
    for number in range(8):
        submit_jobs(harness, 8 * number, 8, Step(1, LARGE, 1000))
        harness.settle()
        for _ in range(8):
            end_all_runs(harness, lambda task, worker_id: worker_id in bad_workers)
            assert len(restricted_workers(harness)) <= 2


def test_stalled_runs_set_at_most_a_quarter_of_the_workers_aside():
    """Guard against a stall of all workers that leaves the jobs without any."""
    harness = CellHarness.with_workers(8)
    submit_jobs(harness, 0, 8, Step(1, LARGE, 1000))
    harness.settle()
    harness.advance(4_000)
    assert len(restricted_workers(harness)) == 2


def test_a_worker_that_refuses_all_starts_is_set_aside():
    """Guard against refusals that are taken for failures of the jobs."""
    harness = CellHarness.with_workers(4)
    harness.delivers_commands = False
    submit_jobs(harness, 0, 3, Step(1, SMALL, 1000))
    for start in harness.schedule():
        harness.cell.handle_start_result(start, CommandOutcome.UNHEALTHY, harness.now)
    assert len(restricted_workers(harness)) == 1
