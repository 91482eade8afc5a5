"""Test cells under random lost replies, delayed commands, partitions, restarts and takeovers.

Workers keep the guarantees of the platform. Under any interleaving, no task may run twice at the
same time or again after its end was stored, and no worker may exceed its capacity.
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
from baobabhoist.testing.cell_worker import FakeCellWorker, end_gang_run
from baobabhoist.tests.cell_harness import LEASE_MS, SMALL, make_job, make_rules

MAX_ATTEMPTS = 2
OUTCOMES = st.sampled_from([RunOutcome.DONE, RunOutcome.FAILED])
CAPACITY = Resources(2000, 4096, 0)
SLOTS = ("w0", "w1", "w2")
WORKERS = st.sampled_from(SLOTS)
STEP_LISTS = st.sampled_from(
    [
        (Step(1, SMALL, 100),),
        (Step(3, SMALL, 100),),
        (Step(3, SMALL, 100, gang=True),),
        (Step(1, SMALL, 100), Step(2, SMALL, 100, after=(0,))),
    ]
)


@attrs.frozen
class SentCommand:
    """Hold a command with the token and deadline that its owner sent along."""

    token: int
    deadline_ms: int
    command: object


class CellMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.workers = {slot: FakeCellWorker(slot, CAPACITY) for slot in SLOTS}
        self.now = 10_000.0
        self.token = 10
        self.generation = 0
        self.rules = make_rules(max_attempts=MAX_ATTEMPTS)
        self.jobs = {}
        self.cancelled = set()
        self.stored = {}
        # Start commands are held back until the progress that lists their runs is stored.
        self.unstored_starts = []
        self.in_transit = []
        self.stored_done = set()
        self.stored_failures = {}
        self.unreachable = set()
        # The worker that is at the address of each slot, and entries of workers that are not.
        self.ids = {slot: slot for slot in SLOTS}
        self.outdated_entries = {}
        self.replacements = 0
        self.cell = None
        self._start_ownership(0.0)

    def _start_ownership(self, inherited_leases_expire_ms):
        takeover = Takeover(self.generation, self.token, inherited_leases_expire_ms)
        self.cell = CellScheduler(self.rules, takeover, LEASE_MS)
        listing = [self._info(slot) for slot in SLOTS]
        self.cell.sync_directory([*listing, *self.outdated_entries.values()], self.now)

    def _info(self, slot):
        """Return the directory entry of the worker that is at the address of a slot now."""
        return self.workers[self.ids[slot]].info(address=f"{slot}:80")
        for accepted in self.jobs.values():
            self.cell.add_job(accepted, self.now, self.now, self.now)
        for job_id in self.cancelled:
            self.cell.cancel_job(job_id, self.now)
        for job_id, saved in self.stored.items():
            self.cell.restore_job(job_id, saved, self.now)

    # Events outside the owner.

    @rule(steps=STEP_LISTS)
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

    @rule(outcome=OUTCOMES, worker=WORKERS, data=st.data())
    def end_run(self, outcome, worker, data):
        worker_id = self.ids[worker]
        runs = self.workers[worker_id].runs
        if runs:
            key = data.draw(st.sampled_from(sorted(runs)))
            self._end(worker_id, key, outcome)

    def _end(self, worker, key, outcome):
        number = self.workers[worker].runs[key].number
        self.workers[worker].end_run(key, outcome)
        step = self.jobs[key.job_id].spec.steps[key.step]
        if not step.gang:
            return
        member_outcome = RunOutcome.DONE if outcome is RunOutcome.DONE else RunOutcome.BROKEN
        end_gang_run(self.workers, key, number, member_outcome)

    @rule(worker=WORKERS)
    def restart_worker(self, worker):
        self.workers[self.ids[worker]].restart()

    @rule(worker=WORKERS)
    def replace_worker(self, worker):
        """Let a worker crash, and another one come up at its address before its entry goes."""
        crashed_id = self.ids[worker]
        self.outdated_entries[crashed_id] = self._info(worker)
        del self.workers[crashed_id]
        self.replacements += 1
        self.ids[worker] = f"{worker}.{self.replacements}"
        self.workers[self.ids[worker]] = FakeCellWorker(self.ids[worker], CAPACITY)
        self.cell.update_worker(self._info(worker), self.now)

    @precondition(lambda self: self.outdated_entries)
    @rule()
    def drop_outdated_entries(self):
        for worker_id in self.outdated_entries:
            self.cell.unlist_worker(worker_id, self.now)
        self.outdated_entries.clear()

    @rule(worker=WORKERS)
    def cut_off_or_reconnect(self, worker):
        self.unreachable ^= {worker}

    @rule(ms=st.sampled_from([10, 120, 900, 2600]))
    def pass_time(self, ms):
        self.now += ms
        for worker in self.workers.values():
            worker.advance(ms)
        self.cell.tick(self.now, self.now)

    # Actions of the owner.

    @rule()
    def schedule(self):
        for command in self.cell.schedule(self.now, True):
            state = self.cell.state.workers[command.worker_id]
            deadline = state.lease.extend_deadline(self.now, LEASE_MS) or 0
            destination = (
                self.unstored_starts if isinstance(command, StartTask) else self.in_transit
            )
            destination.append(SentCommand(self.token, deadline, command))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), reply_arrives=st.booleans())
    def deliver(self, data, reply_arrives):
        sent = self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))
        worker_id = sent.command.worker_id
        # Commands name their worker, so the one that now is at its address does nothing.
        if worker_id not in self.workers or worker_id.split(".")[0] in self.unreachable:
            self._return_outcome(sent, CommandOutcome.UNKNOWN)
            return
        worker = self.workers[sent.command.worker_id]
        if isinstance(sent.command, StartTask):
            self._check_start(sent)
            outcome = worker.start(sent.token, sent.command, sent.deadline_ms)
        else:
            outcome = worker.stop(sent.token, sent.command)
        self._return_outcome(sent, outcome if reply_arrives else CommandOutcome.UNKNOWN)

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data())
    def time_out(self, data):
        """Let a command time out at its owner that is still delivered later."""
        self._return_outcome(data.draw(st.sampled_from(self.in_transit)), CommandOutcome.UNKNOWN)

    def _return_outcome(self, sent, outcome):
        if sent.token != self.token:
            return
        if isinstance(sent.command, StartTask):
            self.cell.handle_start_result(sent.command, outcome, self.now)
        else:
            self.cell.handle_stop_result(sent.command, outcome, self.now)

    def _check_start(self, sent):
        """Check that a start which takes effect is not for a task that is done or has failed."""
        key, worker = sent.command.task, self.workers[sent.command.worker_id]
        runs = dict(worker.runs)
        if worker.token > sent.token or sent.deadline_ms <= worker.now_ms or key in runs:
            return
        if sent.command.run <= worker.last_ended_runs.get(key, 0):
            return
        assert key not in self.stored_done, f"{key} starts after its end was stored"
        failures = self.stored_failures.get(key, set())
        assert len(failures) < MAX_ATTEMPTS, f"{key} starts after its last attempt"

    @rule(worker=WORKERS)
    def renew(self, worker):
        if worker in self.unreachable:
            return
        worker = self.ids[worker]
        state = self.cell.state.workers[worker]
        deadline = state.lease.extend_deadline(self.now, LEASE_MS)
        fake_worker = self.workers[worker]
        # A cursor of an earlier incarnation is never applied: calls name the incarnation.
        acked = (
            state.last_acked_end
            if state.started_unix_ms in (0, fake_worker.started_unix_ms)
            else 0
        )
        report = fake_worker.renew(self.token, acked, deadline)
        self.cell.handle_report(worker, report, self.now, self.now + 0.1)
        self.now += 0.2

    @rule()
    def store_progress(self):
        last_seen_ends = {w: s.last_seen_end for w, s in self.cell.state.workers.items()}
        for job_id, saved in self.cell.take_unsaved_progress().items():
            self.stored[job_id] = saved
        self.in_transit += [
            s for s in self.unstored_starts if self.cell.should_send_start(s.command, self.now)
        ]
        self.unstored_starts.clear()
        for worker, number in last_seen_ends.items():
            self._record_stored_ends(worker, number)
            self.cell.state.workers[worker].last_acked_end = number

    def _record_stored_ends(self, worker, number):
        state, fake_worker = self.cell.state.workers[worker], self.workers.get(worker)
        if fake_worker is None:
            return
        if state.started_unix_ms != fake_worker.started_unix_ms:
            return
        for ended_run in fake_worker.unacked_ends:
            if ended_run.sequence_number <= number:
                self._record_stored_end(ended_run)

    def _record_stored_end(self, ended_run):
        if ended_run.outcome is RunOutcome.DONE:
            self.stored_done.add(ended_run.task)
        elif ended_run.outcome is RunOutcome.FAILED:
            self.stored_failures.setdefault(ended_run.task, set()).add(ended_run.run)

    @rule(saves_progress=st.booleans())
    def take_over(self, saves_progress):
        if saves_progress:
            self.stored.update(self.cell.take_unsaved_progress())
        self.unstored_starts.clear()
        self.token += 1000
        self.generation += 1
        self._start_ownership(self.now + LEASE_MS / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS)

    # Invariants.

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
        for job in self.cell.state.jobs.values():
            if job.phase is JobPhase.COMPLETED:
                assert all(step.is_done for step in job.steps.values())


TestCellMachine = CellMachine.TestCase
TestCellMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
