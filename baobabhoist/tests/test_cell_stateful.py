"""Drive cells through lost answers, late orders, cuts, restarts and takeovers at random.

Workers keep the promises of the platform; whatever the schedule, no task may run twice at the
same time or again after its end was noted, and no worker may hold more than it has room for.
"""

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from baobabhoist.cell.model import (
    CommandOutcome,
    JobPhase,
    Resources,
    RunOutcome,
    StartTask,
    Step,
)
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import LEASE_MARGIN_MS, MAX_CLOCK_DRIFT
from baobabhoist.testing.cell_worker import StandInWorker, end_gang
from baobabhoist.tests.cell_harness import LEASE_MS, SMALL, make_job, make_rules

MAX_ATTEMPTS = 2
ENDS = st.sampled_from([RunOutcome.DONE, RunOutcome.FAILED])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
STEPS = st.sampled_from(
    [
        (Step(1, SMALL, 100),),
        (Step(3, SMALL, 100),),
        (Step(3, SMALL, 100, gang=True),),
        (Step(1, SMALL, 100), Step(2, SMALL, 100, after=(0,))),
    ]
)


@attrs.frozen
class Sent:
    """Hold an order with what its owner put into it."""

    token: int
    deadline_ms: int
    command: object


class CellMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.workers = {
            f"w{n}": StandInWorker(f"w{n}", Resources(2000, 4096, 0)) for n in range(3)
        }
        self.now = 10_000.0
        self.token = 10
        self.generation = 0
        self.rules = make_rules(max_attempts=MAX_ATTEMPTS)
        self.jobs = {}
        self.cancelled = set()
        self.stored = {}
        # Starts wait here until the progress that names them is stored.
        self.unstored = []
        self.sent = []
        self.noted = set()
        self.noted_failures = {}
        self.cut = set()
        self.cell = None
        self._own(0.0)

    def _own(self, lapsed_ms):
        takeover = Takeover(self.generation, self.token, lapsed_ms)
        self.cell = CellScheduler(self.rules, takeover, LEASE_MS)
        self.cell.sync_directory([w.info() for w in self.workers.values()], self.now)
        for accepted in self.jobs.values():
            self.cell.add_job(accepted, self.now, self.now, self.now)
        for job_id in self.cancelled:
            self.cell.cancel_job(job_id, self.now)
        for job_id, saved in self.stored.items():
            self.cell.restore_job(job_id, saved, self.now)

    # What happens outside the owner.

    @rule(steps=STEPS)
    def submit(self, steps):
        job_id = f"{len(self.jobs):016x}"
        accepted = make_job(job_id, *steps, version=self.token + 1 + len(self.jobs))
        self.jobs[job_id] = accepted
        self.cell.add_job(accepted, self.now, self.now, self.now)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        self.cancelled.add(job_id)
        self.cell.cancel_job(job_id, self.now)

    @rule(kind=ENDS, worker=WORKERS, data=st.data())
    def end_run(self, kind, worker, data):
        runs = self.workers[worker].runs
        if runs:
            key = data.draw(st.sampled_from(sorted(runs)))
            self._end(worker, key, kind)

    def _end(self, worker, key, kind):
        number = self.workers[worker].runs[key].number
        self.workers[worker].end(key, kind)
        step = self.jobs[key.job_id].spec.steps[key.step]
        if not step.gang:
            return
        other_kind = RunOutcome.DONE if kind is RunOutcome.DONE else RunOutcome.BROKEN
        end_gang(self.workers, key, number, other_kind)

    @rule(worker=WORKERS)
    def restart_worker(self, worker):
        self.workers[worker].restart()

    @rule(worker=WORKERS)
    def cut_or_heal(self, worker):
        self.cut ^= {worker}

    @rule(ms=st.sampled_from([10, 120, 900, 2600]))
    def pass_time(self, ms):
        self.now += ms
        for worker in self.workers.values():
            worker.advance(ms)
        self.cell.tick(self.now, self.now)

    # What the owner does.

    @rule()
    def decide(self):
        for command in self.cell.schedule(self.now, True):
            state = self.cell.state.workers[command.worker_id]
            deadline = state.lease.extend_deadline(self.now, LEASE_MS) or 0
            waiting = self.unstored if isinstance(command, StartTask) else self.sent
            waiting.append(Sent(self.token, deadline, command))

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), answer=st.booleans())
    def deliver(self, data, answer):
        sent = self.sent.pop(data.draw(st.integers(0, len(self.sent) - 1)))
        if sent.command.worker_id in self.cut:
            self._answer(sent, CommandOutcome.UNKNOWN)
            return
        worker = self.workers[sent.command.worker_id]
        if isinstance(sent.command, StartTask):
            self._check_start(sent)
            outcome = worker.start(sent.token, sent.command, sent.deadline_ms)
        else:
            outcome = worker.stop(sent.token, sent.command)
        self._answer(sent, outcome if answer else CommandOutcome.UNKNOWN)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def time_out(self, data):
        """Give an order up that is carried out later all the same."""
        self._answer(data.draw(st.sampled_from(self.sent)), CommandOutcome.UNKNOWN)

    def _answer(self, sent, outcome):
        if sent.token != self.token:
            return
        if isinstance(sent.command, StartTask):
            self.cell.handle_start_result(sent.command, outcome, self.now)
        else:
            self.cell.handle_stop_result(sent.command, outcome, self.now)

    def _check_start(self, sent):
        """A start that would take effect must not be one of a task that is settled."""
        key, worker = sent.command.task, self.workers[sent.command.worker_id]
        before = dict(worker.runs)
        if worker.token > sent.token or sent.deadline_ms <= worker.now or key in before:
            return
        if sent.command.run <= worker.ended_runs.get(key, 0):
            return
        assert key not in self.noted, f"{key} starts after its end was noted"
        failures = self.noted_failures.get(key, set())
        assert len(failures) < MAX_ATTEMPTS, f"{key} starts after its last attempt"

    @rule(worker=WORKERS)
    def renew(self, worker):
        if worker in self.cut:
            return
        state = self.cell.state.workers[worker]
        deadline = state.lease.extend_deadline(self.now, LEASE_MS)
        stand_in = self.workers[worker]
        # A cursor of an ended lifetime never reaches the next one: its id is in the call.
        acked = state.last_acked_end if state.started_unix_ms in (0, stand_in.born_ms) else 0
        answer = stand_in.renew(self.token, acked, deadline)
        self.cell.handle_report(worker, answer, self.now, self.now + 0.1)
        self.now += 0.2

    @rule()
    def store_progress(self):
        seen = {w: s.last_seen_end for w, s in self.cell.state.workers.items()}
        for job_id, saved in self.cell.take_unsaved_progress().items():
            self.stored[job_id] = saved
        self.sent += [s for s in self.unstored if self.cell.should_send_start(s.command)]
        self.unstored.clear()
        for worker, number in seen.items():
            self._note_ends(worker, number)
            self.cell.state.workers[worker].last_acked_end = number

    def _note_ends(self, worker, number):
        state, stand_in = self.cell.state.workers[worker], self.workers[worker]
        if state.started_unix_ms != stand_in.born_ms:
            return
        for end in stand_in.ends:
            if end.sequence_number <= number:
                self._note(end)

    def _note(self, end):
        if end.outcome is RunOutcome.DONE:
            self.noted.add(end.task)
        elif end.outcome is RunOutcome.FAILED:
            self.noted_failures.setdefault(end.task, set()).add(end.run)

    @rule(hands_over=st.booleans())
    def take_over(self, hands_over):
        if hands_over:
            self.stored.update(self.cell.take_unsaved_progress())
        self.unstored.clear()
        self.token += 1000
        self.generation += 1
        self._own(self.now + LEASE_MS / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS)

    # What must always hold.

    @invariant()
    def no_task_runs_twice(self):
        keys = [key for worker in self.workers.values() for key in worker.runs]
        assert len(keys) == len(set(keys)), "a task runs on two workers"

    @invariant()
    def no_worker_is_overloaded(self):
        for worker in self.workers.values():
            assert len(worker.runs) * SMALL.cpu <= worker.capacity.cpu, worker.worker_id

    @invariant()
    def counts_match(self):
        state = self.cell.state
        for worker in state.workers.values():
            expected = SMALL.times(len(worker.runs))
            assert worker.used == expected
        total = sum(len(worker.runs) for worker in state.workers.values())
        assert state.team_usage["team"] == SMALL.times(total)

    @invariant()
    def completed_jobs_are_done(self):
        for found in self.cell.state.jobs.values():
            if found.phase is JobPhase.COMPLETED:
                assert all(step.is_done for step in found.steps.values())


TestCellMachine = CellMachine.TestCase
TestCellMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
