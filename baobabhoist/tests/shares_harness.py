"""Serve jobs of teams with weights in a small cell."""

import itertools

import attrs

from baobabhoist.cell.model import CellRules, Queue, RunOutcome, StartTask, Step, Team
from baobabhoist.cell.policy import SchedulingPolicy
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


def marked_jobs(harness):
    state = harness.cell.state
    return {i for i, job in state.jobs.items() if state.entitlements.is_beyond_entitlement(job)}
