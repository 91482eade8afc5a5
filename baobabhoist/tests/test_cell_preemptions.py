"""Test which runs are stopped so that urgent work can start, and that few are."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.model import CellRules, Queue, Step, StopTask, Team
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.cell.preemptions import EXAMINATION_INTERVAL_MS, HOLD_MS
from baobabhoist.cell.victim_selection import MAX_UNSAVED_MS
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job
from baobabhoist.tests.test_cell_reservations import running_jobs

URGENT, BULK = "urgent", "bulk"
VICTIM, WINNER = "1" * 16, "f" * 16
LONG = Step(8, SMALL, 60_000, checkpoints=True)


def make_harness(preempts=True, workers=2, policy=None):
    queues = {
        URGENT: Queue(URGENT, "svc", 0, 3, 2.0, 2_000),
        BULK: Queue(BULK, "svc", 2, 3, 2.0, 2_000),
    }
    rules = CellRules(1, queues, {"team": Team("team", 1.0)})
    return CellHarness.with_workers(workers, rules, policy or SchedulingPolicy(preempts=preempts))


def submit(harness, job_id, *steps, queue=URGENT, accepted_ms_ago=0.0):
    accepted = make_job(job_id, *steps, queue=queue)
    now = harness.now
    harness.cell.add_job(accepted, now - accepted_ms_ago, now, now)


def fill_with_expired_work(harness, *steps, run_ms=500):
    submit(harness, VICTIM, *(steps or (LONG,)), queue=BULK, accepted_ms_ago=10_000_000.0)
    harness.settle()
    harness.advance(run_ms)


def stops(harness):
    return [c for c in harness.schedule() if isinstance(c, StopTask)]


def test_an_urgent_burst_in_a_cell_full_of_expired_work_starts():
    """Guard against on-time jobs that wait for runs which are worth nothing any more."""
    harness = make_harness()
    fill_with_expired_work(harness)
    submit(harness, WINNER, Step(2, SMALL, 4_000))
    harness.settle()
    assert [key.job_id for key, _ in harness.running_tasks()].count(WINNER) == 2
    assert [key.job_id for key, _ in harness.running_tasks()].count(VICTIM) == 6


def test_nothing_is_stopped_while_preemption_is_off():
    """Guard against decisions that change although the operator has not switched them on."""
    harness = make_harness(preempts=False)
    fill_with_expired_work(harness)
    submit(harness, WINNER, Step(2, SMALL, 4_000))
    assert stops(harness) == []


def test_a_gang_gets_room_for_all_its_members_or_stops_nothing():
    """Guard against runs stopped for a gang that still does not fit."""
    harness = make_harness()
    fill_with_expired_work(harness)
    submit(harness, WINNER, Step(9, SMALL, 4_000, gang=True))
    assert stops(harness) == []
    harness.now += EXAMINATION_INTERVAL_MS
    submit(harness, "e" * 16, Step(5, SMALL, 4_000, gang=True))
    harness.settle()
    assert [key.job_id for key, _ in harness.running_tasks()].count("e" * 16) == 5


def test_a_round_seeks_victims_on_the_workers_of_one_step_only(monkeypatch):
    """Guard against rounds of a full cell that list its workers for each waiting step."""
    searches = []
    find = WorkerIndex.usable_workers

    def count(index, *args):
        searches.append(args)
        return find(index, *args)

    harness = make_harness()
    fill_with_expired_work(harness)
    for number in range(10):
        submit(harness, f"b{number:015x}", Step(2, SMALL, 4_000))
    harness.schedule()
    monkeypatch.setattr(WorkerIndex, "usable_workers", count)
    harness.now += EXAMINATION_INTERVAL_MS
    harness.schedule()
    # One for the shares of the teams.
    assert len(searches) <= 2


def test_a_gang_that_backfill_gives_up_may_still_stop_expired_work():
    """Guard against gangs that wait in vain for room which a stop would give them in time."""
    policy = SchedulingPolicy(backfills=True, preempts=True)
    harness = make_harness(policy=policy)
    fill_with_expired_work(harness, attrs.evolve(LONG, count=7))
    submit(harness, WINNER, Step(5, SMALL, 4_000, gang=True))
    harness.settle()
    assert [key.job_id for key, _ in harness.running_tasks()].count(WINNER) == 5


@pytest.mark.parametrize(
    ("step", "run_ms"),
    [
        (Step(8, SMALL, 60_000), MAX_UNSAVED_MS + 500),
        (Step(8, SMALL, 1_000, checkpoints=True), 500),
        (Step(8, SMALL, 0, lasting=True), 500),
    ],
    ids=["much unsaved work", "nearly ended", "lasting"],
)
def test_runs_that_cost_too_much_to_stop_are_spared(step, run_ms):
    """Guard against work that is thrown away for less than it was worth."""
    harness = make_harness()
    fill_with_expired_work(harness, step, run_ms=run_ms)
    submit(harness, WINNER, Step(1, SMALL, 4_000))
    assert stops(harness) == []


def test_a_gang_with_value_is_never_broken():
    """Guard against one stop that throws away the work of a whole gang."""
    harness = make_harness()
    submit(harness, VICTIM, Step(8, SMALL, 60_000, gang=True, checkpoints=True), queue=BULK)
    harness.settle()
    submit(harness, WINNER, Step(1, SMALL, 4_000))
    assert stops(harness) == []


def test_a_job_is_not_stopped_twice_in_a_row():
    """Guard against a job that never ends because each urgent one stops it again."""
    harness = make_harness()
    fill_with_expired_work(harness)
    submit(harness, WINNER, Step(1, SMALL, 4_000))
    harness.settle()
    harness.now += EXAMINATION_INTERVAL_MS
    submit(harness, "e" * 16, Step(1, SMALL, 4_000))
    assert stops(harness) == []
    assert "e" * 16 not in running_jobs(harness)


def test_freed_room_is_kept_for_its_winner_until_it_is_late():
    """Guard against room that other work takes before its winner can start."""
    harness = make_harness()
    fill_with_expired_work(harness)
    harness.delivers_commands = False
    submit(harness, WINNER, Step(1, SMALL, 4_000))
    assert len(stops(harness)) == 1
    submit(harness, "e" * 16, Step(1, SMALL, 100))
    harness.deliver_command(harness.undelivered[0])
    harness.renew_all()
    (start,) = harness.schedule()
    assert start.task.job_id == WINNER
    harness.now += HOLD_MS
    harness.schedule()
    assert harness.cell.placer.preemptions.holds == {}


def test_a_stopped_task_waits_again_without_a_failed_attempt():
    """Guard against jobs that fail because they were stopped in favour of others."""
    harness = make_harness()
    fill_with_expired_work(harness)
    submit(harness, WINNER, Step(2, SMALL, 4_000))
    harness.settle()
    step = harness.cell.find_job(VICTIM).steps[(0, 0)]
    assert step.waiting_count == 2
    assert not any(task.failed_runs for task in step.tasks)
    assert any(cause is WasteCause.PREEMPTED for _, cause in harness.cell.state.waste.core_s)


JOBS = st.tuples(
    st.sampled_from([URGENT, BULK]),
    st.sampled_from([0.0, 10_000_000.0]),
    st.integers(1, 6),
    st.integers(1, 4),
    st.integers(200, 20_000),
    st.booleans(),
)


@settings(max_examples=80, deadline=None)
@given(st.lists(JOBS, min_size=2, max_size=8))
def test_no_victim_without_a_winner(jobs):
    """Guard against stops that let nothing start, and against jobs stopped again and again."""
    harness = make_harness()
    stopped_jobs = []
    for number, (queue, ago_ms, count, cores, duration_ms, gang) in enumerate(jobs):
        step = Step(count, SMALL.times(cores), duration_ms, gang=gang, checkpoints=True)
        submit(harness, f"{number:016x}", step, queue=queue, accepted_ms_ago=ago_ms)
        for _ in range(8):
            harness.now += 50.0
            harness.renew_all()
            victims = {command.task.job_id for command in stops(harness)}
            stopped_jobs += victims
            holds = harness.cell.placer.preemptions.holds.values()
            assert not victims or any(hold.step.waiting_count for hold in holds)
            for hold in holds:
                assert hold.step.job.job_id not in victims
            for worker in harness.cell.state.workers.values():
                assert worker.used.fits_into(worker.info.capacity)
        harness.now += 1.0
        harness.schedule()
        assert harness.cell.placer.preemptions.holds == {}
    assert len(stopped_jobs) == len(set(stopped_jobs))
