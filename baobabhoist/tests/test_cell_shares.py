"""Test which team's work comes next in a full cell whose teams have weights."""

import itertools
import math

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.cell.model import CellRules, Queue, RunOutcome, StartTask, Step, Team
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.cell.ranking import timeliness_of
from baobabhoist.cell.token_bucket import BURST_S, TokenBucket
from baobabhoist.observability.events import Event
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job

POLICY = SchedulingPolicy(weighs_shares=True, usage_half_life_s=3600.0)
QUEUES = {
    "urgent": Queue("urgent", "svc", 0, 3, 1.0, 60_000),
    "q": Queue("q", "svc", 1, 3, 1.0, 60_000),
}


def make_cell(workers=1, **weights):
    """Return a cell with room for four tasks on each worker."""
    rules = CellRules(1, QUEUES, {name: Team(name, weight) for name, weight in weights.items()})
    harness = CellHarness.with_workers(workers, rules, POLICY)
    harness.cell.tick(harness.now, harness.now)
    return harness


@attrs.define
class Submitter:
    """Submit jobs of one task each, whose ids tell the team and the number."""

    harness: CellHarness
    numbers: itertools.count = attrs.Factory(itertools.count)

    def submit(self, team, count=1, queue="q", need=SMALL):
        for _ in range(count):
            job = make_job(f"{team}-{next(self.numbers):04}", Step(1, need, 1000), team=team)
            job = attrs.evolve(job, queue=queue, accepted_ms=int(self.harness.now))
            self.harness.submit(job)


def started_jobs(harness):
    """Return the jobs that a round starts, in order."""
    starts = [c for c in harness.schedule() if isinstance(c, StartTask)]
    return [harness.cell.find_job(command.task.job_id) for command in starts]


def started_teams(harness):
    return [job.accepted.team for job in started_jobs(harness)]


def end_runs(harness):
    for key, _ in harness.running_tasks():
        harness.worker_running(key).end_run(key, RunOutcome.DONE)
    harness.now += 1.0
    harness.renew_all()


def test_hot_team_of_six_times_its_weight_beside_a_steady_one():
    """Guard against a team that pays with its waits for the surge of another one."""
    harness = make_cell(hot=4.0, steady=4.0)
    jobs = Submitter(harness)
    jobs.submit("hot", 6 * 8)
    harness.schedule()
    jobs.submit("steady", 8)
    end_runs(harness)
    # Each has its burst of 8 jobs, of which 4 of the hot team run.
    entitled = []
    for _ in range(3):
        entitled += started_teams(harness)
        end_runs(harness)
    assert entitled.count("steady") == 8
    assert started_teams(harness) == ["hot"] * 4


def test_urgent_job_of_an_entitled_team_under_a_flood():
    """Guard against urgent work that waits for fairness although its team is entitled to it."""
    harness = make_cell(heavy=1.0, other=1000.0)
    jobs = Submitter(harness)
    jobs.submit("heavy", 3)
    harness.schedule()
    harness.cell.state.shares.past_use.restore({"heavy": 1e6, "other": 1.0}, 0.0)
    harness.advance(1_500.0)
    jobs.submit("other", 200)
    jobs.submit("heavy", 1, "urgent")
    end_runs(harness)
    assert harness.cell.state.shares.use_step("heavy") > 0
    assert started_teams(harness)[0] == "heavy"


def test_idle_team_that_comes_back_gets_its_part_and_no_credit():
    """Guard against a team that was idle and takes all that becomes free for a while."""
    harness = make_cell(2, busy=100.0, idle=100.0)
    jobs = Submitter(harness)
    jobs.submit("idle", 50)
    jobs.submit("busy", 50)
    for _ in range(3):
        assert 3 <= started_teams(harness).count("idle") <= 5
        end_runs(harness)
    bucket = TokenBucket.for_weight(100.0)
    while bucket.take(0.0):
        pass
    assert bucket.available_at(3_600_000.0) == 100.0 * BURST_S


def test_new_owner_marks_the_same_jobs_beyond_the_entitlement():
    """Guard against a takeover that changes whose work counts as entitled."""
    harness = make_cell(hot=2.0)
    jobs = Submitter(harness)
    for _ in range(5):
        harness.now += 500.0
        jobs.submit("hot", 3)
    before = marked_jobs(harness)
    accepted = [job.accepted for job in harness.cell.state.jobs.values()]
    harness.take_over(reversed(accepted))
    assert marked_jobs(harness) == before
    # A burst of 4, and 4 more for the 2 s after the first job.
    assert len(before) == 15 - 8


def test_configuration_that_comes_while_a_new_owner_loads_marks_no_more_jobs():
    """Guard against entitled jobs that count as excess because newer ones were loaded first."""
    harness = make_cell(steady=2.0)
    jobs = Submitter(harness)
    for _ in range(12):
        harness.now += 500.0
        jobs.submit("steady")
    accepted = [job.accepted for job in harness.cell.state.jobs.values()]
    harness.take_over(accepted[6:])
    harness.cell.set_rules(harness.cell_rules)
    for job in accepted[:6]:
        harness.submit(job)
    assert not marked_jobs(harness)


def test_job_accepted_ahead_of_the_clock_takes_no_entitlement_from_later_ones():
    """Guard against a team whose jobs all count as excess after one with an absurd time."""
    harness = make_cell(steady=2.0)
    ahead_ms = harness.now + 3_600_000.0
    absurd = attrs.evolve(make_job("absurd", team="steady"), accepted_ms=int(ahead_ms))
    harness.cell.add_job(absurd, ahead_ms, harness.now, harness.now)
    jobs = Submitter(harness)
    for _ in range(12):
        harness.now += 500.0
        jobs.submit("steady")
        assert not marked_jobs(harness)


def marked_jobs(harness):
    state = harness.cell.state
    return {i for i, job in state.jobs.items() if state.entitlements.is_beyond_entitlement(job)}


@pytest.mark.parametrize("weight", [-1.0, math.nan, math.inf, 1e9])
def test_absurd_weight_is_logged_and_limits_nothing(weight, fields_of):
    """Guard against a configured weight that makes the owner fail or shuts a team out."""
    harness = make_cell(a=weight, b=1.0)
    Submitter(harness).submit("a", 100)
    assert not marked_jobs(harness)
    assert [fields["team"] for fields in fields_of(Event.TEAM_WEIGHT_INVALID)] == ["a"]


def test_work_for_a_resource_that_no_worker_has():
    """Guard against a team that waits behind all others because no worker has a GPU."""
    harness = make_cell(a=100.0, b=100.0)
    jobs = Submitter(harness)
    jobs.submit("a", need=attrs.evolve(SMALL, gpu=8))
    assert not started_teams(harness)
    jobs.submit("a", 8)
    jobs.submit("b", 8)
    assert started_teams(harness) == ["a"] * 2 + ["b"] * 2


def test_emptied_data_centre_counts_as_no_room():
    """Guard against a full cell that serves as if it had room, in workers to be emptied."""
    harness = make_cell(2, a=100.0, b=100.0)
    workers = list(harness.workers.values())
    harness.cell.update_worker(workers[1].info(data_centre="emptied"), harness.now)
    harness.cell.set_evacuations(Evacuations(frozenset({"emptied"})), harness.now)
    harness.advance(1_500.0)
    jobs = Submitter(harness)
    jobs.submit("a", 4)
    jobs.submit("b", 4)
    assert "b" in started_teams(harness)


def test_wide_step_that_no_worker_can_run_takes_no_share():
    """Guard against a team that gets nothing while one of its steps waits for absent workers."""
    harness = make_cell(a=100.0, b=100.0)
    wide = make_job("a-wide", Step(100, SMALL, 1000, label="absent"), team="a")
    harness.submit(attrs.evolve(wide, accepted_ms=int(harness.now)))
    jobs = Submitter(harness)
    jobs.submit("b", 12)
    harness.schedule()
    harness.now += 1.0
    jobs.submit("a", 8)
    end_runs(harness)
    assert "a" in started_teams(harness)


def test_without_weights_the_order_is_as_before():
    """Guard against fairness where no configuration asks for it."""
    harness = make_cell(a=0.0, b=0.0)
    jobs = Submitter(harness)
    jobs.submit("a", 12)
    jobs.submit("b", 12)
    started = started_teams(harness)
    end_runs(harness)
    assert started + started_teams(harness) == ["a"] * 8
    assert not marked_jobs(harness)


def test_team_with_excess_is_logged_once_when_it_begins_and_ends(fields_of):
    """Guard against a line for each job of a surge."""
    harness = make_cell(hot=1.0)
    jobs = Submitter(harness)
    for _ in range(3):
        jobs.submit("hot", 20)
        harness.advance(1_500.0)
    harness.advance(8_000.0)
    assert len(fields_of(Event.TEAM_EXCESS_BEGAN)) == 1
    assert len(fields_of(Event.TEAM_EXCESS_ENDED)) == 1


class SharesMachine(RuleBasedStateMachine):
    """Let two teams send jobs of one size to a small cell, whose owner changes at times."""

    TEAMS = st.sampled_from(["small", "large"])

    def __init__(self):
        super().__init__()
        self.harness = make_cell(small=1.0, large=3.0)
        self.jobs = Submitter(self.harness)
        self.stored = {}

    @rule(team=TEAMS, count=st.integers(1, 12))
    def submit(self, team, count):
        self.jobs.submit(team, count)

    @rule(ms=st.sampled_from([10.0, 400.0, 2_000.0]))
    def wait(self, ms):
        self.harness.now += ms
        for worker in self.harness.workers.values():
            worker.advance(ms)
            for run in worker.runs.values():
                run.progress_percent += 1.0
        self.harness.renew_all()
        self.harness.cell.tick(self.harness.now, self.harness.now)

    @rule(count=st.integers(1, 4))
    def end_some_runs(self, count):
        for key, _ in self.harness.running_tasks()[:count]:
            self.harness.worker_running(key).end_run(key, RunOutcome.DONE)
        self.harness.now += 1.0
        self.harness.renew_all()

    @rule()
    def take_over(self):
        before = marked_jobs(self.harness)
        self.stored |= self.harness.save_progress()
        accepted = [job.accepted for job in self.harness.cell.state.jobs.values()]
        self.harness.take_over(reversed(accepted), self.stored)
        self.harness.renew_all()
        self.harness.cell.tick(self.harness.now, self.harness.now)
        assert marked_jobs(self.harness) == before

    @rule()
    def schedule(self):
        """Check that no team is passed over by one that is entitled to less."""
        state = self.harness.cell.state
        before = {team: self.ratio(team) for team in ("small", "large")}
        for job in started_jobs(self.harness):
            ratio = before[job.accepted.team]
            before[job.accepted.team] = self.ratio_with_one_more(job.accepted.team, ratio)
            for step in state.ready_steps.values():
                if step.waiting_count:
                    self.check_not_passed_over(step.job, job, ratio)

    def check_not_passed_over(self, waiting, started, started_ratio):
        now = self.harness.now
        if timeliness_of(waiting, now) is not timeliness_of(started, now):
            return
        is_beyond = self.harness.cell.state.entitlements.is_beyond_entitlement
        assert is_beyond(waiting) or not is_beyond(started)
        is_within_share = self.ratio(waiting.accepted.team) <= 1.0
        if is_within_share and is_beyond(waiting) is is_beyond(started):
            assert started_ratio <= 1.0

    def ratio(self, team):
        used = self.harness.cell.state.team_usage[team]
        return self.harness.cell.state.shares.ratio(team, (used.cpu, used.memory_mb, 0, 0))

    def ratio_with_one_more(self, team, ratio):
        return ratio + self.harness.cell.state.shares.ratio(
            team, (SMALL.cpu, SMALL.memory_mb, 0, 0)
        )

    def teardown(self):
        """Check that no job starves once others stop coming."""
        for _ in self.harness.cell.state.jobs:
            self.harness.schedule()
            end_runs(self.harness)
        assert all(job.is_final for job in self.harness.cell.state.jobs.values())


TestShares = SharesMachine.TestCase
TestShares.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
