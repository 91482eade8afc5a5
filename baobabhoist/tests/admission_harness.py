"""Play loads of several teams against a cell that estimates the waits of new jobs."""

import attrs

from baobabhoist.cell.admission import AdmissionControl
from baobabhoist.cell.job_prospects import find_hopeless_wait, slack_of
from baobabhoist.cell.model import CellRules, JobSpec, Queue, Resources, RunOutcome, Step, Team
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job

QUEUE = Queue("q", "svc", 1, 3, 2.0, 1000)
URGENT_QUEUE = Queue("urgent", "svc", 0, 3, 2.0, 1000)
HOT_LIMIT = Resources(4000, 0, 0)
TICK_MS = 100.0


@attrs.define
class AdmissionHarness:
    """Hold a cell of 4 workers of 4 cores, whose tasks take as long as declared."""

    cell_harness: CellHarness = attrs.Factory(
        lambda: CellHarness.with_workers(
            4,
            CellRules(
                1,
                {"q": QUEUE, "urgent": URGENT_QUEUE},
                {"hot": Team("hot", 1.0, HOT_LIMIT), "steady": Team("steady", 1.0, HOT_LIMIT)},
            ),
        )
    )
    job_count: int = 0
    _started_ms: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        self.cell_harness.cell.state.policy = SchedulingPolicy(refuses_hopeless_jobs=True)

    @property
    def control(self) -> AdmissionControl:
        return self.cell_harness.cell.admission

    @property
    def rows(self):
        return self.control.table.rows

    def submit(self, team, *steps, queue="q"):
        self.job_count += 1
        job = make_job(f"{self.job_count:016x}", *steps, team=team)
        self.cell_harness.submit(attrs.evolve(job, queue=queue))

    def is_hopeless(self, team, *steps, queue=QUEUE):
        """Return whether a new job of a team would be refused."""
        steps = steps or (Step(1, SMALL, 1000),)
        slack = slack_of(JobSpec("", steps), queue)
        return find_hopeless_wait(slack, team, queue, self.rows) is not None

    def play(self, duration_ms, load=lambda: None):
        """Let time pass: `load` is called at each tick, and runs end when they are due."""
        harness = self.cell_harness
        for _ in range(int(duration_ms / TICK_MS)):
            load()
            harness.advance(TICK_MS)
            self._end_due_runs()
            harness.save_progress()

    def _end_due_runs(self):
        harness = self.cell_harness
        for worker in harness.workers.values():
            for key in list(worker.runs):
                started_ms = self._started_ms.setdefault(key, harness.now)
                step = harness.cell.find_job(key.job_id).find_step(key)
                if harness.now - started_ms >= step.spec.expected_ms:
                    worker.end_run(key, RunOutcome.DONE, "")
