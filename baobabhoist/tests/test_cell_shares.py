"""Test which team's work comes next in a full cell whose teams have weights."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.cell.model import RunOutcome, Step
from baobabhoist.cell.ranking import timeliness_of
from baobabhoist.cell.token_bucket import BURST_S, TokenBucket
from baobabhoist.tests.cell_harness import SMALL, make_job
from baobabhoist.tests.shares_harness import (
    Submitter,
    end_runs,
    make_cell,
    marked_jobs,
    started_jobs,
    started_teams,
)


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
