"""Test that a steady stream of small tasks does not starve a gang."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell import placer, reservations
from baobabhoist.cell.gang_forecast import forecast_limit_start, forecast_start
from baobabhoist.cell.model import RunOutcome, Step
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.cell.reservations import FORECAST_AGE_MS, MAX_FORECASTS_PER_ROUND
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

GANG = "a" * 16


def submit_small_jobs(harness, first, count):
    for number in range(first, first + count):
        harness.submit(make_job(f"{number:016x}", Step(1, SMALL, 4000)))
    harness.settle()


def test_a_gang_gets_reserved_workers_while_small_tasks_keep_arriving():
    """Guard against starvation of a gang that never finds enough free workers at once."""
    harness = CellHarness.with_workers(2)
    submit_small_jobs(harness, 0, 8)
    gang = "a" * 16
    harness.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    harness.settle()
    submit_small_jobs(harness, 100, 20)
    for number in range(8):
        if any(key.job_id == gang for key, _ in harness.running_tasks()):
            break
        harness.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in harness.running_tasks()) == 4


def test_no_workers_are_reserved_for_a_gang_that_can_never_fit():
    """Guard against cores that stay idle for a gang larger than the cell."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("a" * 16, Step(50, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 0, 8)
    assert len(harness.running_tasks()) == 8


def test_a_gang_gets_its_teams_limit_while_small_tasks_keep_arriving():
    """Guard against starvation of a gang whose team's small tasks use up the limit."""
    harness = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    submit_small_jobs(harness, 0, 4)
    gang = "a" * 16
    harness.submit(make_job(gang, Step(4, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 100, 20)
    for number in range(4):
        harness.end_run(make_task_key(f"{number:016x}"), RunOutcome.DONE)
    assert sum(key.job_id == gang for key, _ in harness.running_tasks()) == 4


def test_a_gang_larger_than_its_teams_limit_does_not_block_others():
    """Guard against a team that is blocked by a gang which its limit never admits."""
    harness = CellHarness.with_workers(4, make_rules(limit=SMALL.times(4)))
    harness.submit(make_job("a" * 16, Step(5, SMALL, 100, gang=True)))
    submit_small_jobs(harness, 0, 4)
    assert len(harness.running_tasks()) == 4


def test_no_more_workers_are_reserved_than_the_limit_per_worker_allows():
    """Guard against workers that stay idle for a gang which its limit per worker never admits."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job("a" * 16, Step(4, SMALL, 100, gang=True, most_per_worker=1)))
    submit_small_jobs(harness, 0, 8)
    assert len(harness.running_tasks()) == 8


def backfilling_harness(workers=2):
    return CellHarness.with_workers(workers, policy=SchedulingPolicy(backfills=True))


def gather_a_gang(harness, long_ms=4_000, gang_ms=400):
    """Let a gang wait for two workers, each with one long run and room for three more tasks."""
    for number in range(2):
        harness.submit(make_job(f"{number:016x}", Step(1, SMALL.times(3), long_ms)))
    harness.settle()
    harness.submit(make_job(GANG, Step(8, SMALL, gang_ms, gang=True)))
    harness.settle()


def running_jobs(harness):
    return {key.job_id for key, _ in harness.running_tasks()}


def test_small_tasks_around_a_gathering_gang():
    """Guard against cores that idle until a gang starts, and against tasks that delay it."""
    harness = backfilling_harness()
    gather_a_gang(harness)
    harness.submit(make_job("b" * 16, Step(1, SMALL, 500)))
    harness.submit(make_job("c" * 16, Step(1, SMALL, 8_000)))
    harness.settle()
    assert "b" * 16 in running_jobs(harness)
    assert "c" * 16 not in running_jobs(harness)


def test_nothing_runs_ahead_of_a_gang_while_backfill_is_off():
    """Guard against decisions that change although the operator has not switched them on."""
    harness = CellHarness.with_workers(2)
    gather_a_gang(harness)
    harness.submit(make_job("b" * 16, Step(1, SMALL, 500)))
    harness.settle()
    assert "b" * 16 not in running_jobs(harness)


def test_two_gangs_that_need_the_same_workers():
    """Guard against two gangs that each hold half of the workers and never start."""
    harness = backfilling_harness()
    gather_a_gang(harness)
    harness.submit(make_job("b" * 16, Step(8, SMALL, 400, gang=True)))
    harness.settle()
    held = harness.cell.placer.reservations.by_worker.values()
    assert {reservation.step.job.job_id for reservation in held} == {GANG}
    for number in range(2):
        harness.end_run(make_task_key(f"{number:016x}"))
    assert running_jobs(harness) == {GANG}
    harness.end_run(make_task_key(GANG))
    assert running_jobs(harness) == {"b" * 16}


def test_a_gang_that_cannot_start_in_time_gives_up_its_reservation():
    """Guard against workers kept for a gang whose job is worth nothing when it starts."""
    harness = backfilling_harness()
    gather_a_gang(harness, long_ms=60_000)
    assert harness.cell.find_job(GANG).steps[(0, 0)].wait_reason is WaitReason.NO_ROOM_IN_TIME
    harness.submit(make_job("c" * 16, Step(1, SMALL, 8_000)))
    harness.settle()
    assert "c" * 16 in running_jobs(harness)


def test_many_gangs_that_cannot_start_in_time_take_few_forecasts_a_round(monkeypatch):
    """Guard against rounds that take long because each waiting gang is forecast in each."""
    forecasts = []

    def count(step, *args):
        forecasts.append(step.key)
        return forecast_start(step, *args)

    monkeypatch.setattr(reservations, "forecast_start", count)
    harness = backfilling_harness()
    gather_a_gang(harness, long_ms=60_000)
    for number in range(20):
        harness.submit(make_job(f"b{number:015x}", Step(8, SMALL, 400, gang=True)))
    forecasts.clear()
    for _ in range(3):
        harness.now += FORECAST_AGE_MS
        harness.schedule()
    assert 0 < len(forecasts) <= 3 * MAX_FORECASTS_PER_ROUND
    assert len(forecasts) == len(set(forecasts))


def test_tasks_of_unknown_end_let_nothing_run_ahead():
    """Guard against a reserved start that is taken as known because a lasting task ends never."""
    harness = backfilling_harness()
    harness.submit(make_job("0" * 16, Step(2, SMALL.times(3), 0, lasting=True)))
    harness.settle()
    harness.submit(make_job(GANG, Step(8, SMALL, 400, gang=True)))
    harness.submit(make_job("b" * 16, Step(1, SMALL, 500)))
    harness.settle()
    assert running_jobs(harness) == {"0" * 16}


def test_a_task_without_an_estimate_does_not_run_ahead_of_a_gang():
    """Guard against gangs that never start because tasks of unknown duration pass for short."""
    harness = backfilling_harness()
    gather_a_gang(harness)
    steps = Step(1, SMALL, 0), Step(1, SMALL, 8_000, after=(0,))
    harness.submit(make_job("c" * 16, *steps))
    harness.settle()
    assert "c" * 16 not in running_jobs(harness)


def test_small_tasks_of_a_team_whose_limit_is_reserved_for_a_gang():
    """Guard against a team that runs nothing while its gang waits for the rest of its limit."""
    rules = make_rules(limit=SMALL.times(8))
    harness = CellHarness.with_workers(4, rules, SchedulingPolicy(backfills=True))
    harness.submit(make_job("0" * 16, Step(1, SMALL.times(3), 4_000)))
    harness.settle()
    harness.submit(make_job(GANG, Step(8, SMALL, 400, gang=True)))
    harness.submit(make_job("b" * 16, Step(1, SMALL, 500)))
    harness.submit(make_job("c" * 16, Step(1, SMALL, 8_000)))
    harness.settle()
    assert running_jobs(harness) == {"0" * 16, "b" * 16}


def wait_until_jobs_would_starve(harness):
    """Let pass for how long an accepted job may stand still although it could run."""
    harness.now += 3_000.0
    harness.settle()


def test_a_team_does_not_stand_still_while_its_gang_waits_for_the_rest_of_the_limit():
    """Guard against jobs that starve behind a gang although their team has room (issue 46)."""
    rules = make_rules(limit=SMALL.times(16))
    harness = CellHarness.with_workers(5, rules, SchedulingPolicy(backfills=True))
    harness.submit(make_job("0" * 16, Step(1, SMALL, 20_000)))
    harness.settle()
    harness.submit(make_job(GANG, Step(16, SMALL, 10_000, gang=True)))
    for number in range(5):
        harness.submit(make_job(f"c{number:015x}", Step(1, SMALL, 30_000)))
    harness.settle()
    assert running_jobs(harness) == {"0" * 16}
    wait_until_jobs_would_starve(harness)
    assert running_jobs(harness) == {"0" * 16, *(f"c{number:015x}" for number in range(5))}


def test_idle_jobs_take_no_more_than_half_of_the_limit_that_a_gang_waits_for():
    """Guard against gangs that never start because jobs that wait as well use up the limit."""
    rules = make_rules(limit=SMALL.times(16))
    harness = CellHarness.with_workers(5, rules, SchedulingPolicy(backfills=True))
    harness.submit(make_job("0" * 16, Step(8, SMALL, 4_000)))
    harness.settle()
    harness.submit(make_job(GANG, Step(16, SMALL, 10_000, gang=True)))
    harness.submit(make_job("c" * 16, Step(1, SMALL, 30_000)))
    wait_until_jobs_would_starve(harness)
    assert running_jobs(harness) == {"0" * 16}


def test_a_job_does_not_stand_still_while_a_gang_gathers_the_workers():
    """Guard against jobs that starve on free workers that wait for a gang (issue 46)."""
    harness = backfilling_harness()
    gather_a_gang(harness, long_ms=15_000, gang_ms=4_000)
    harness.submit(make_job("c" * 16, Step(1, SMALL, 30_000)))
    harness.settle()
    assert "c" * 16 not in running_jobs(harness)
    wait_until_jobs_would_starve(harness)
    assert "c" * 16 in running_jobs(harness)


def test_a_job_that_lost_its_worker_is_not_held_back_as_well():
    """Guard against a lease and a wait behind a gang that add up to a starving job (issue 46)."""
    rules = make_rules(limit=SMALL.times(18))
    harness = CellHarness.with_workers(6, rules, SchedulingPolicy(backfills=True))
    harness.submit(make_job("c" * 16, Step(1, SMALL, 30_000)))
    harness.settle()
    lost_worker = harness.worker_running(make_task_key("c" * 16))
    harness.submit(make_job("0" * 16, Step(1, SMALL.times(4), 0, lasting=True)))
    harness.settle()
    harness.submit(make_job(GANG, Step(16, SMALL, 10_000, gang=True)))
    lost_worker.crash()
    lost_worker.is_up = False
    harness.cell.unlist_worker(lost_worker.worker_id, harness.now)
    del harness.workers[lost_worker.worker_id]
    (task,) = harness.cell.find_job("c" * 16).steps[(0, 0)].tasks
    lost_run = task.run
    while task.run is lost_run:
        harness.advance(100.0)
    harness.advance(200.0)
    assert "c" * 16 in running_jobs(harness)


def test_many_gangs_beyond_their_teams_limit_take_few_forecasts_a_round(monkeypatch):
    """Guard against rounds that look at all runs for each waiting gang of a team."""
    forecasts = []

    def count(step, *args):
        forecasts.append(step.key)
        return forecast_limit_start(step, *args)

    monkeypatch.setattr(placer, "forecast_limit_start", count)
    rules = make_rules(limit=SMALL.times(8))
    harness = CellHarness.with_workers(4, rules, SchedulingPolicy(backfills=True))
    harness.submit(make_job("0" * 16, Step(3, SMALL, 60_000)))
    harness.settle()
    for number in range(20):
        harness.submit(make_job(f"b{number:015x}", Step(8, SMALL, 400, gang=True)))
    for _ in range(3):
        harness.now += FORECAST_AGE_MS
        harness.schedule()
    assert 0 < len(forecasts) <= 3 * MAX_FORECASTS_PER_ROUND
    assert len(forecasts) == len(set(forecasts))


TASKS = st.tuples(st.integers(1, 4), st.integers(1, 8), st.integers(100, 6_000))


@settings(max_examples=60, deadline=None)
@given(st.lists(TASKS, max_size=8), st.lists(st.integers(2, 8), min_size=1, max_size=3))
def test_some_gang_always_starts_when_the_cell_empties(small_jobs, gang_sizes):
    """Guard against reservations that block each other, and against over-allocation."""
    harness = backfilling_harness()
    for number, (count, cores, duration_ms) in enumerate(small_jobs):
        need = SMALL.times(min(cores, 4))
        harness.submit(make_job(f"{number:016x}", Step(count, need, duration_ms)))
    harness.settle()
    for number, size in enumerate(gang_sizes):
        harness.submit(make_job(f"{number + 100:016x}", Step(size, SMALL, 1_000, gang=True)))
    for _ in range(200):
        harness.settle(2)
        for worker in harness.cell.state.workers.values():
            assert worker.used.fits_into(worker.info.capacity)
        running = harness.running_tasks()
        if not running:
            break
        step = harness.cell.find_job(running[0][0].job_id).steps[(0, 0)]
        members = [t.key for t in step.tasks if t.run is not None]
        for key in members if step.spec.gang else members[:1]:
            harness.worker_running(key).end_run(key, RunOutcome.DONE)
    assert all(job.is_final for job in harness.cell.state.jobs.values())


def test_a_job_whose_worker_no_report_came_from_is_idle_since_the_takeover():
    """Guard against a job that passes every gang because its worker was never heard (issue 46)."""
    harness = CellHarness.with_workers(1)
    job = make_job("c" * 16, Step(1, SMALL, 30_000))
    harness.submit(job)
    harness.settle()
    progress = harness.save_progress()
    harness.worker_running(make_task_key("c" * 16)).is_up = False
    harness.take_over([job], progress)
    taken_over_ms = harness.now
    restored_job = harness.cell.find_job("c" * 16)
    while restored_job.active_run_count:
        harness.advance(100.0)
    assert restored_job.idle_since_ms == taken_over_ms
