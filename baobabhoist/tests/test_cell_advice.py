"""Test that waiting steps keep valid tickets, with a simulated adviser that takes its time."""

from __future__ import annotations

import attrs
import pytest

from baobabhoist.cell.advice_requests import AdviceRequester, return_lead_ms
from baobabhoist.cell.approvals import TICKET_MARGIN_MS
from baobabhoist.cell.jobs import FINAL_PERCENT, RunPhase
from baobabhoist.cell.model import (
    AdviceTerms,
    JobPhase,
    RequestAdvice,
    Resources,
    StartTask,
    Step,
    StopTask,
)
from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.testing.cell_worker import FakeRun
from baobabhoist.tests.cell_harness import (
    LEASE_MS,
    CellHarness,
    make_job,
    make_rules,
    make_task_key,
)

WHOLE_WORKER = Resources(4000, 512, 0)
# The terms of the slowest adviser among the platform's sites.
TERMS = AdviceTerms(350.0, 5.0, 2_500)
ROUND_MS = 10.0
JOB = "a" * 16
# Time for a batch of starts to be written to the store by a busy owner.
STORE_WRITE_MS = 80.0
RESTART_INTERVAL_MS = 1_400.0
# Rounds in which a lapse is noticed, the other members of a gang stop, and all start again.
RESTART_ROUNDS = 5
# Time for a first query, a renewal and the start itself.
START_BOUND_MS = 2_000.0
# A gang of a cell in which four workers of ten can't be used, though they look free.
GANG_CELL_WORKERS, GANG_CELL_UNUSABLE = 60, 24
GANG_OF_SEVEN = Step(7, Resources(2000, 512, 0), 60_000, gang=True)
# Nothing may stand still for 3 s after 4 s of calm.
MAX_STANDSTILL_MS = 7_000.0


@attrs.frozen
class PendingAnswer:
    """Hold a query and the time of its answer."""

    at_ms: float
    query: RequestAdvice


@attrs.define
class AdvisedHarness(CellHarness):
    """Answer advice queries after their cost; a ticket's text is the time of its expiry."""

    pending_answers: list = attrs.Factory(list)
    query_count: int = 0
    is_adviser_up: bool = True
    # Workers that the adviser does not approve.
    refused_ids: set = attrs.Factory(set)

    def schedule(self, may_start=True):
        """Run a round and queue the answers of its queries."""
        commands = CellHarness.schedule(self, may_start)
        for command in commands:
            if isinstance(command, RequestAdvice):
                self.query_count += 1
                self.pending_answers.append(PendingAnswer(self.now + command.cost_ms, command))
        return commands

    def run_for(self, ms, until=lambda: False):
        """Run rounds for a time or until a condition holds; return whether it does."""
        end_ms = self.now + ms
        while self.now < end_ms and not until():
            self.now += ROUND_MS
            for worker in self.workers.values():
                worker.advance(ROUND_MS)
            self._deliver_answers()
            self.renew_all()
            self.cell.tick(self.now, self.now)
            self.schedule()
        return until()

    def _deliver_answers(self):
        due = [answer for answer in self.pending_answers if answer.at_ms <= self.now]
        self.pending_answers = [a for a in self.pending_answers if a.at_ms > self.now]
        for answer in due:
            if self.is_adviser_up:
                valid_until_ms = self.now + TERMS.ticket_valid_ms
                approved = [w for w in answer.query.workers if w not in self.refused_ids]
                tickets = dict.fromkeys(approved, str(valid_until_ms))
                self.cell.handle_advice(
                    answer.query.step, answer.query.workers, tickets, valid_until_ms
                )

    def occupy_all(self):
        """Reserve the capacity of every worker, so that no task fits."""
        for worker in self.cell.state.workers.values():
            worker.used = worker.info.capacity

    def free_all(self):
        """Release the capacity of every worker."""
        for worker in self.cell.state.workers.values():
            worker.used = Resources()

    def is_running(self, job_id):
        return any(key.job_id == job_id for key, _ in self.running_tasks())


def advised_harness(worker_count, max_requests=40):
    harness = AdvisedHarness.with_workers(worker_count, make_rules(advice=TERMS))
    harness.cell.placer.advice.slot_count = max_requests
    return harness


def test_a_waiting_gang_keeps_its_tickets_while_workers_restart():
    """Guard against a gang that never starts because restarted workers have newer tickets.

    Its other tickets were renewed only when none was valid, and each restart added a valid one.
    """
    harness = advised_harness(24)
    harness.submit(make_job("a" * 16, Step(16, WHOLE_WORKER, 4000, gang=True)))
    harness.occupy_all()
    for number in range(8):
        harness.run_for(RESTART_INTERVAL_MS)
        harness.workers[f"w{number}"].restart()
    harness.free_all()
    assert harness.run_for(START_BOUND_MS, lambda: harness.is_running("a" * 16))


def test_all_approved_workers_keep_their_tickets_if_one_query_cannot_name_them():
    """Guard against a gang that never starts because only 100 of its workers are renewed."""
    harness = advised_harness(120)
    harness.submit(make_job("a" * 16, Step(110, WHOLE_WORKER, 4000, gang=True)))
    harness.occupy_all()
    harness.run_for(6_000.0)
    harness.free_all()
    assert harness.run_for(START_BOUND_MS, lambda: harness.is_running("a" * 16))


def test_a_step_that_fits_gets_tickets_behind_steps_that_never_start():
    """Guard against a step that waits with free workers while steps that can't start renew."""
    harness = advised_harness(8)
    for number in range(20):
        step = Step(50, WHOLE_WORKER, 20_000, gang=True)
        harness.submit(make_job(f"{number:016x}", step))
    harness.now += 1.0
    harness.submit(make_job("a" * 16, Step(1, WHOLE_WORKER, 400)))
    harness.cell.find_job("a" * 16).objective_ms += 60_000.0
    harness.occupy_all()
    harness.run_for(6_000.0)
    harness.free_all()
    assert harness.run_for(START_BOUND_MS, lambda: harness.is_running("a" * 16))


def test_queries_without_an_answer_do_not_block_later_ones_for_ever():
    """Guard against a cell that asks for no more advice after some answers were lost."""
    harness = advised_harness(2, max_requests=2)
    harness.is_adviser_up = False
    for number in range(2):
        harness.submit(make_job(f"{number:016x}", Step(1, WHOLE_WORKER, 400)))
    harness.run_for(1_000.0)
    for number in range(2):
        harness.cell.cancel_job(f"{number:016x}", harness.now)
    harness.is_adviser_up = True
    harness.submit(make_job("a" * 16, Step(1, WHOLE_WORKER, 400)))
    assert harness.run_for(8_000.0, lambda: harness.is_running("a" * 16))


def test_a_waiting_step_asks_about_once_per_ticket_lifetime():
    """Guard against an adviser that is kept busy by renewals of one waiting step."""
    harness = advised_harness(24)
    harness.submit(make_job("a" * 16, Step(16, WHOLE_WORKER, 4000, gang=True)))
    harness.occupy_all()
    harness.run_for(10_000.0)
    assert harness.query_count <= 8


def test_a_start_that_waits_for_the_store_is_not_sent_with_an_expired_ticket():
    """Guard against starts that workers reject after the store did not answer for seconds."""
    harness = advised_harness(4)
    harness.delivers_commands = False
    harness.submit(make_job("a" * 16, Step(3, WHOLE_WORKER, 4000, gang=True)))
    harness.run_for(1_000.0, lambda: len(harness.undelivered) == 3)
    starts = list(harness.undelivered)
    assert all(harness.cell.should_send_start(start, harness.now) for start in starts)
    harness.run_for(TERMS.ticket_valid_ms)
    assert not any(harness.cell.should_send_start(start, harness.now) for start in starts)
    harness.delivers_commands = True
    harness.undelivered.clear()
    assert harness.run_for(START_BOUND_MS, lambda: harness.is_running("a" * 16))


def test_no_start_is_decided_on_a_ticket_that_expires_before_it_is_sent():
    """Guard against starts that are stored and then dropped, with the rest of their gang."""
    harness = advised_harness(2)
    harness.submit(make_job("a" * 16, Step(2, WHOLE_WORKER, 4000, gang=True)))
    (query,) = harness.schedule()
    valid_until_ms = harness.now + 300.0
    tickets = dict.fromkeys(query.workers, "t")
    harness.cell.handle_advice(query.step, query.workers, tickets, valid_until_ms)
    harness.now = valid_until_ms - TICKET_MARGIN_MS - STORE_WRITE_MS + 1.0
    harness.renew_all()
    starts = [command for command in harness.schedule() if isinstance(command, StartTask)]
    harness.now += STORE_WRITE_MS
    assert all(harness.cell.should_send_start(start, harness.now) for start in starts)


class ProgressingHarness(AdvisedHarness):
    """Let all runs make progress, so that none counts as stalled."""

    def renew_all(self):
        for worker in self.workers.values():
            for run in worker.runs.values():
                run.progress_percent += 0.05
        super().renew_all()


def lose_worker_of(step):
    """Start a step, lose one worker for good, and return that worker with the harness."""
    harness = ProgressingHarness.with_workers(6, make_rules(advice=TERMS))
    harness.submit(make_job("a" * 16, step))
    assert harness.run_for(START_BOUND_MS, lambda: harness.is_running("a" * 16))
    harness.run_for(RESTART_INTERVAL_MS)
    return harness, lose_a_busy_worker(harness)


def lose_a_busy_worker(harness):
    _, worker_id = harness.running_tasks()[0]
    lost = harness.cell.state.workers[worker_id]
    harness.workers[worker_id].is_up = False
    lost.lease.is_suspended = True
    harness.cell.unlist_worker(worker_id, harness.now)
    return lost


@pytest.mark.parametrize("gang", [False, True])
def test_advice_is_asked_for_before_the_lease_of_a_lost_worker_ends(gang):
    """Guard against jobs that stand still for the adviser's time after their lost run has ended.

    Nothing was asked for a task, nor for a gang, while a run only waited for its lease to expire.
    """
    harness, lost = lose_worker_of(Step(2, WHOLE_WORKER, 60_000, gang=gang))
    expiry_ms = lost.lease_expiry_ms()
    has_restarted = harness.run_for(
        2 * LEASE_MS, lambda: not lost.runs and len(harness.running_tasks()) == 2
    )
    assert has_restarted
    assert harness.now <= expiry_ms + RESTART_ROUNDS * ROUND_MS


def test_no_advice_is_asked_for_long_before_the_lease_of_a_lost_worker_ends():
    """Guard against tickets that expire before the run of their task has ended."""
    harness, lost = lose_worker_of(Step(2, WHOLE_WORKER, 60_000))
    query_count = harness.query_count
    harness.run_for(lost.lease_expiry_ms() - harness.now - return_lead_ms(TERMS) - ROUND_MS)
    assert harness.query_count == query_count


def test_the_tasks_of_many_lost_runs_ask_before_the_lease_ends():
    """Guard against tasks that ask one after the other once all their runs have ended at once."""
    harness = ProgressingHarness.with_workers(6, make_rules(advice=TERMS))
    harness.cell.placer.advice.slot_count = 4
    jobs = [f"{number:016x}" for number in range(8)]
    for job_id in jobs:
        harness.submit(make_job(job_id, Step(1, Resources(500, 64, 0), 60_000)))
    assert harness.run_for(4 * START_BOUND_MS, lambda: len(harness.running_tasks()) == len(jobs))
    harness.run_for(RESTART_INTERVAL_MS)
    lost = lose_a_busy_worker(harness)
    assert len(lost.runs) == len(jobs)
    harness.run_for(lost.lease_expiry_ms() + RESTART_ROUNDS * ROUND_MS - harness.now)
    assert not lost.runs
    assert len(harness.running_tasks()) == len(jobs)


def test_an_error_of_a_request_before_the_lease_ends_costs_only_its_job(monkeypatch):
    """Guard against an owner that ends because a request for a lost run's task raises."""
    harness, _ = lose_worker_of(Step(2, WHOLE_WORKER, 60_000))
    step = harness.cell.find_job("a" * 16).steps[(0, 0)]

    def fail(*args):
        raise RuntimeError("no candidates")

    monkeypatch.setattr(AdviceRequester, "returning_steps", lambda self: [step])
    monkeypatch.setattr(AdviceRequester, "request", fail)
    harness.cell.placer.place_waiting_steps(harness.now, True)
    assert step.job.phase is JobPhase.FAILED


def make_gang_cell():
    """Return a cell whose adviser approves each third worker, and its last workers."""
    policy = SchedulingPolicy(forecasts_advice=True)
    harness = AdvisedHarness.with_workers(
        GANG_CELL_WORKERS, make_rules(advice=TERMS), policy=policy
    )
    harness.refused_ids = {f"w{n}" for n in range(GANG_CELL_WORKERS) if n % 3}
    return harness, list(harness.workers.values())[-GANG_CELL_UNUSABLE:]


def use_others_a_little(harness, unusable):
    """Let a quarter of each other worker be in use, so that the unusable ones look most free."""
    unusable_ids = {worker.worker_id for worker in unusable}
    for worker_id, state in harness.cell.state.workers.items():
        if worker_id not in unusable_ids:
            state.used = Resources(1000, 256, 0)


def is_gang_running(harness):
    running = [key for key, _ in harness.running_tasks() if key.job_id == JOB]
    return len(running) == GANG_OF_SEVEN.count


@pytest.mark.parametrize("cause", ["never_heard", "entry_outdated"])
def test_a_gang_starts_beside_workers_that_only_look_free(cause):
    """Guard against a gang that asks again and again for workers that can't start anything."""
    harness, unusable = make_gang_cell()
    if cause == "never_heard":
        for worker in unusable:
            worker.is_up = False
        harness.take_over()
    else:
        harness.updates_directory = False
        for worker in unusable:
            worker.restart()
    harness.settle()
    use_others_a_little(harness, unusable)
    harness.submit(make_job(JOB, GANG_OF_SEVEN))
    assert harness.run_for(MAX_STANDSTILL_MS, lambda: is_gang_running(harness))


def restart_while_asked_about(harness):
    """Let all workers that an open question names restart before its answer arrives."""
    harness.submit(make_job(JOB, GANG_OF_SEVEN))
    harness.settle()
    (question,) = harness.pending_answers
    restarted = [harness.workers[worker_id] for worker_id in question.query.workers]
    for worker in restarted:
        worker.restart()
        # The tickets of the answer are not valid for the new process.
        worker.requires_tickets = True
    harness.run_for(question.at_ms - harness.now + ROUND_MS)
    harness.is_adviser_up = False
    harness.run_for(TERMS.ticket_valid_ms)
    assert not harness.running_tasks()
    harness.is_adviser_up = True
    for worker in restarted:
        worker.requires_tickets = False
    return restarted


def test_a_gang_starts_although_approvals_are_of_earlier_processes():
    """Guard against a gang that asks for ever for workers that were approved before a restart."""
    harness, unusable = make_gang_cell()
    use_others_a_little(harness, unusable)
    restarted = restart_while_asked_about(harness)
    harness.refused_ids.update(worker.worker_id for worker in restarted)
    assert harness.run_for(MAX_STANDSTILL_MS, lambda: is_gang_running(harness))


def occupy_with_runs_that_hang(harness, worker_ids, phase):
    """Let a run occupy each worker that seems to end at once, but never does."""
    state = harness.cell.state
    rules = harness.cell_rules
    queue = attrs.evolve(rules.queues["q"], name="p", advice=None)
    harness.cell.set_rules(attrs.evolve(rules, queues={**rules.queues, "p": queue}))
    harness.submit(make_job("b" * 16, Step(len(worker_ids), WHOLE_WORKER, 500), queue="p"))
    tasks = state.jobs["b" * 16].steps[0, 0].tasks
    for task, worker_id in zip(tasks, worker_ids, strict=True):
        state.start_run(task, state.workers[worker_id], 1, harness.now)
    harness.settle()
    for worker_id in worker_ids:
        (run,) = state.workers[worker_id].runs.values()
        harness.workers[worker_id].runs[run.task.key].progress_percent = FINAL_PERCENT
        if phase is RunPhase.STOPPING:
            # The stop is answered, but the worker goes on listing the run.
            run.phase, run.stop_answered_ms, run.stopped_ms = phase, harness.now, harness.now


@pytest.mark.parametrize("phase", [RunPhase.RUNNING, RunPhase.STOPPING])
def test_a_gang_starts_beside_runs_that_only_seem_to_end(phase):
    """Guard against a gang that asks again and again for the room of runs that do not end."""
    harness, _ = make_gang_cell()
    harness.refused_ids = set()
    harness.submit(make_job(JOB, GANG_OF_SEVEN))
    harness.settle()
    (question,) = harness.pending_answers
    occupy_with_runs_that_hang(harness, question.query.workers, phase)
    assert harness.run_for(MAX_STANDSTILL_MS, lambda: is_gang_running(harness))


@attrs.define
class StopLosingHarness(AdvisedHarness):
    """Lose each stop command, as workers do whose connections are all taken."""

    def deliver_command(self, command, reply_arrives=True):
        if isinstance(command, StopTask):
            return self.lose_command(command)
        return AdvisedHarness.deliver_command(self, command, reply_arrives)


def test_a_gang_starts_beside_workers_that_stop_no_orphan():
    """Guard against a gang that asks again and again for workers with runs of unknown jobs."""
    policy = SchedulingPolicy(forecasts_advice=True)
    harness = StopLosingHarness.with_workers(
        GANG_CELL_WORKERS, make_rules(advice=TERMS), policy=policy
    )
    harness.refused_ids = {f"w{n}" for n in range(GANG_CELL_WORKERS) if n % 3}
    unusable = list(harness.workers.values())[-GANG_CELL_UNUSABLE:]
    for number, worker in enumerate(unusable):
        orphan = make_task_key(f"{number:x}".rjust(16, "e"))
        worker.runs[orphan] = FakeRun(orphan, 1)
    harness.settle()
    use_others_a_little(harness, unusable)
    harness.submit(make_job(JOB, GANG_OF_SEVEN))
    assert harness.run_for(MAX_STANDSTILL_MS, lambda: is_gang_running(harness))
