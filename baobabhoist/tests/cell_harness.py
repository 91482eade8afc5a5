"""Drive a cell against stand-in workers, without a network."""

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
)
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.testing.cell_worker import StandInWorker

LEASE_MS = 5_000.0
SMALL = Resources(1000, 512, 0)


def make_rules(limit=NO_RESOURCES, max_attempts=3, advice=None, **queue):
    queues = {"q": Queue("q", "svc", 0, max_attempts, 2.0, 1000, advice=advice, **queue)}
    return CellRules(1, queues, {"team": Team("team", 1.0, limit)})


def make_job(job_id="0" * 16, *steps, version=100, team="team", **spec):
    steps = steps or (Step(1, SMALL, 1000),)
    return AcceptedJob(job_id, "q", "svc", team, 0, JobSpec("(payload)", steps, **spec), version)


def make_task_key(job_id="0" * 16, index=0, step=0, occurrence=0):
    return TaskKey(job_id, occurrence, step, index)


@attrs.define
class CellHarness:
    """Hold a cell, its workers and the orders that are on their way."""

    workers: dict = attrs.Factory(dict)
    cell_rules: CellRules = attrs.Factory(make_rules)
    now: float = 10_000.0
    token: int = 50
    generation: int = 0
    cell: CellScheduler = None
    delivers_commands: bool = True
    # Orders that were sent but not delivered, oldest first.
    undelivered: list = attrs.Factory(list)
    advice_requests: list = attrs.Factory(list)
    seen_cancelled: set = attrs.Factory(set)

    def __attrs_post_init__(self):
        self.start_ownership()

    @classmethod
    def with_workers(cls, count=2, cell_rules=None, **options):
        workers = {f"w{n}": StandInWorker(f"w{n}", **options) for n in range(count)}
        rig = cls(workers, cell_rules or make_rules())
        rig.renew_all()
        return rig

    def start_ownership(self, lapsed_ms=0.0):
        """Begin a new ownership."""
        takeover = Takeover(self.generation, self.token, lapsed_ms)
        self.cell = CellScheduler(self.cell_rules, takeover, LEASE_MS)
        self.cell.sync_directory([w.info() for w in self.workers.values()], self.now)

    def take_over(self, jobs=(), progress=None, lapse_ms=LEASE_MS * 1.1):
        """Let another owner take the cell with what the store holds."""
        self.token += 10
        self.generation += 1
        self.undelivered.clear()
        self.start_ownership(self.now + lapse_ms)
        for accepted in jobs:
            self.submit(accepted)
        for job_id, saved in (progress or {}).items():
            self.cell.restore_job(job_id, saved, self.now)

    def submit(self, accepted):
        self.cell.add_job(accepted, self.now, self.now, self.now)

    def renew(self, worker_id, deliver=True):
        worker, state = self.workers[worker_id], self.cell.state.workers[worker_id]
        deadline = state.lease.extend_deadline(self.now, LEASE_MS)
        answer = worker.renew(self.token, state.last_acked_end, deadline)
        if answer is CommandOutcome.FENCED:
            self.cell.mark_fenced()
        elif deliver:
            self.cell.handle_report(worker_id, answer, self.now, self.now + 0.5)

    def renew_all(self):
        for worker_id in self.workers:
            if worker_id in self.cell.state.workers:
                self.renew(worker_id)

    def schedule(self, may_start=True):
        """Decide and carry the orders out, unless they are held back."""
        commands = self.cell.schedule(self.now, may_start)
        for command in commands:
            if isinstance(command, RequestAdvice):
                self.advice_requests.append(command)
            elif self.delivers_commands:
                self.deliver_command(command)
            else:
                self.undelivered.append(command)
        return commands

    def deliver_command(self, command, answer=True):
        """Deliver an order, and its answer unless that is lost."""
        worker = self.workers[command.worker_id]
        if isinstance(command, StartTask):
            state = self.cell.state.workers[command.worker_id]
            deadline = state.lease.extend_deadline(self.now, LEASE_MS)
            outcome = worker.start(self.token, command, deadline or 0)
            self.cell.handle_start_result(
                command, outcome if answer else CommandOutcome.UNKNOWN, self.now
            )
        elif isinstance(command, StopTask):
            outcome = worker.stop(self.token, command)
            self.cell.handle_stop_result(
                command, outcome if answer else CommandOutcome.UNKNOWN, self.now
            )
        return outcome

    def lose_answer(self, command):
        """Tell the owner that an order got no answer, without delivering it."""
        answered = (
            self.cell.handle_start_result
            if isinstance(command, StartTask)
            else self.cell.handle_stop_result
        )
        answered(command, CommandOutcome.UNKNOWN, self.now)

    def advance(self, ms, renew=True):
        """Let time pass in steps of a tick."""
        while ms > 0:
            step = min(ms, 100.0)
            ms -= step
            self.now += step
            for worker in self.workers.values():
                worker.advance(step)
            if renew:
                self.renew_all()
            self.cell.tick(self.now, self.now)
            self.schedule()

    def settle(self, rounds=4):
        """Exchange reports and decisions until nothing changes."""
        for _ in range(rounds):
            self.now += 1.0
            self.renew_all()
            self.schedule()

    def end_run(self, key, kind=RunOutcome.DONE, checkpoint=""):
        worker = self.worker_running(key)
        worker.end(key, kind, checkpoint)
        self.settle()

    def worker_running(self, key):
        return next(w for w in self.workers.values() if key in w.runs)

    def running_tasks(self):
        return sorted((key, w.worker_id) for w in self.workers.values() for key in w.runs)

    def save_progress(self):
        """Return what the store gets, and let the workers forget the ends in it."""
        saved = self.cell.take_unsaved_progress()
        for worker in self.cell.state.workers.values():
            worker.last_acked_end = worker.last_seen_end
        return saved

    def job_phase(self, job_id="0" * 16):
        return self.cell.find_job(job_id).phase
