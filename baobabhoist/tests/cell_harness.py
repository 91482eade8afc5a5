"""Drive a cell scheduler with fake workers, without a network."""

import attrs

from baobabhoist.cell.model import (
    NO_RESOURCES,
    AcceptedJob,
    CellRules,
    CommandOutcome,
    JobSpec,
    Queue,
    RequestAdvice,
    Resources,
    RunOutcome,
    StartTask,
    Step,
    StopTask,
    TaskKey,
    Team,
    WorkerReport,
)
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.testing.cell_worker import FakeCellWorker

LEASE_MS = 5_000.0
# The longest lease that a worker grants.
MAX_LEASE_MS = 10_000.0
SMALL = Resources(1000, 512, 0)


def make_rules(limit=NO_RESOURCES, max_attempts=3, advice=None, **queue):
    queues = {"q": Queue("q", "svc", 0, max_attempts, 2.0, 1000, advice=advice, **queue)}
    return CellRules(1, queues, {"team": Team("team", 1.0, limit)})


def make_job(job_id="0" * 16, *steps, version=100, team="team", queue="q", **spec):
    steps = steps or (Step(1, SMALL, 1000),)
    return AcceptedJob(job_id, queue, "svc", team, 0, JobSpec("(payload)", steps, **spec), version)


def make_task_key(job_id="0" * 16, index=0, step=0, occurrence=0):
    return TaskKey(job_id, occurrence, step, index)


@attrs.define
class CellHarness:
    """Hold a cell scheduler, its workers and the commands in transit."""

    workers: dict = attrs.Factory(dict)
    cell_rules: CellRules = attrs.Factory(make_rules)
    policy: SchedulingPolicy = DEFAULT_POLICY
    now: float = 10_000.0
    token: int = 50
    generation: int = 0
    cell: CellScheduler = None
    delivers_commands: bool = True
    # The directory is read along with each report.
    updates_directory: bool = True
    # The directory is read at each tick.
    reads_directory: bool = True
    # Commands that were issued but not delivered, oldest first.
    undelivered: list = attrs.Factory(list)
    advice_requests: list = attrs.Factory(list)
    seen_cancelled: set = attrs.Factory(set)

    def __attrs_post_init__(self):
        self.start_ownership()

    @classmethod
    def with_workers(cls, count=2, cell_rules=None, policy=DEFAULT_POLICY, **options):
        workers = {f"w{n}": FakeCellWorker(f"w{n}", **options) for n in range(count)}
        harness = cls(workers, cell_rules or make_rules(), policy=policy)
        harness.renew_all()
        return harness

    def start_ownership(self, inherited_leases_expire_ms=0.0):
        """Replace the scheduler by that of a new owner."""
        longest_expire_ms = inherited_leases_expire_ms + 1.1 * (MAX_LEASE_MS - LEASE_MS)
        takeover = Takeover(
            self.generation, self.token, inherited_leases_expire_ms, longest_expire_ms
        )
        self.cell = CellScheduler(self.cell_rules, takeover, LEASE_MS, self.policy, MAX_LEASE_MS)
        self.cell.sync_directory([w.info() for w in self.workers.values()], self.now)

    def take_over(self, jobs=(), progress=None, inherited_lease_ms=LEASE_MS * 1.1):
        """Let another owner take over the cell with the jobs and progress in the store."""
        self.token += 10
        self.generation += 1
        self.undelivered.clear()
        self.start_ownership(self.now + inherited_lease_ms)
        for accepted in jobs:
            self.submit(accepted)
        for job_id, saved in (progress or {}).items():
            self.cell.restore_job(job_id, saved, self.now)

    def submit(self, accepted):
        self.cell.add_job(accepted, self.now, self.now, self.now)

    def renew(self, worker_id, report_arrives=True):
        worker, state = self.workers[worker_id], self.cell.state.workers[worker_id]
        # The lease of a silent worker is not extended.
        deadline = state.lease.extend_deadline(self.now, LEASE_MS) if worker.is_up else None
        reply = worker.renew(self.token, state.last_acked_end, deadline)
        if reply is CommandOutcome.FENCED:
            self.cell.mark_fenced()
        elif report_arrives and isinstance(reply, WorkerReport):
            if self.updates_directory:
                self.update_entry(worker_id)
            self.cell.handle_report(worker_id, reply, self.now, self.now + 0.5)

    def update_entry(self, worker_id):
        """Let the directory show the current process of a worker."""
        worker, state = self.workers[worker_id], self.cell.state.workers[worker_id]
        if state.info.started_unix_ms != worker.started_unix_ms:
            entry = attrs.evolve(state.info, started_unix_ms=worker.started_unix_ms)
            self.cell.update_worker(entry, self.now)

    def renew_all(self):
        for worker_id in self.workers:
            if worker_id in self.cell.state.workers:
                self.renew(worker_id)

    def schedule(self, may_start=True):
        """Run a scheduling round and deliver its commands if `delivers_commands` is set."""
        commands = self.cell.schedule(self.now, may_start)
        for command in commands:
            if isinstance(command, RequestAdvice):
                self.advice_requests.append(command)
            elif self.delivers_commands:
                self.deliver_command(command)
            else:
                self.undelivered.append(command)
        return commands

    def deliver_command(self, command, reply_arrives=True):
        """Deliver a command, and its reply if `reply_arrives`."""
        worker = self.workers[command.worker_id]
        if isinstance(command, StartTask):
            state = self.cell.state.workers[command.worker_id]
            self.cell.should_send_start(command, self.now)
            deadline = state.lease.extend_deadline(self.now, LEASE_MS)
            outcome = worker.start(self.token, command, deadline or 0)
            self.cell.handle_start_result(
                command, outcome if reply_arrives else CommandOutcome.UNKNOWN, self.now
            )
        elif isinstance(command, StopTask):
            outcome = worker.stop(self.token, command)
            self.cell.handle_stop_result(
                command, outcome if reply_arrives else CommandOutcome.UNKNOWN, self.now
            )
        return outcome

    def lose_command(self, command):
        """Report an unknown outcome of a command to its owner without delivering it."""
        handle_result = (
            self.cell.handle_start_result
            if isinstance(command, StartTask)
            else self.cell.handle_stop_result
        )
        handle_result(command, CommandOutcome.UNKNOWN, self.now)

    def advance(self, ms, renew=True):
        """Let time pass in ticks of at most 100 ms."""
        while ms > 0:
            step = min(ms, 100.0)
            ms -= step
            self.now += step
            for worker in self.workers.values():
                worker.advance(step)
            if renew:
                self.renew_all()
            if self.reads_directory:
                self.cell.confirm_directory(self.now)
            self.cell.tick(self.now, self.now)
            self.schedule()

    def settle(self, rounds=4):
        """Alternate reports and scheduling rounds; by default often enough for a stable state."""
        for _ in range(rounds):
            self.now += 1.0
            self.renew_all()
            self.schedule()

    def end_run(self, key, outcome=RunOutcome.DONE, checkpoint=""):
        worker = self.worker_running(key)
        worker.end_run(key, outcome, checkpoint)
        self.settle()

    def worker_running(self, key):
        return next(w for w in self.workers.values() if key in w.runs)

    def running_tasks(self):
        return sorted((key, w.worker_id) for w in self.workers.values() for key in w.runs)

    def save_progress(self):
        """Return the progress to store and acknowledge the ends in it to the workers."""
        progress_by_job = self.cell.take_unsaved_progress()
        for worker in self.cell.state.workers.values():
            worker.last_acked_end = worker.last_seen_end
        return progress_by_job

    def job_phase(self, job_id="0" * 16):
        return self.cell.find_job(job_id).phase
