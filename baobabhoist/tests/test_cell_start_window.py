"""Test the limit on the starts in progress under an owner that is short of processor time."""

import collections

import attrs

from baobabhoist.cell.model import (
    AdviceTerms,
    CommandOutcome,
    Resources,
    RunOutcome,
    StartTask,
    Step,
    StopTask,
)
from baobabhoist.cell.start_window import (
    INITIAL_LIMIT,
    MIN_LIMIT,
    QUICK_ANSWER_VALID_MS,
    SLOW_ANSWER_MS,
    StartWindow,
)
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_rules

TICKET_VALID_MS = 2_500
COMMAND_TIMEOUT_MS = 700
STEP_MS = 20
TASK_MS = 600


def test_slow_answers_decrease_the_limit_once_for_the_starts_of_one_window():
    window = StartWindow()
    window.record_answer(SLOW_ANSWER_MS * 2, 1_000.0)
    after_first = window.limit
    window.record_answer(SLOW_ANSWER_MS * 2, 1_010.0)
    assert MIN_LIMIT < window.limit == after_first < INITIAL_LIMIT


def test_limit_never_falls_below_its_minimum():
    window = StartWindow()
    for second in range(60):
        window.record_answer(SLOW_ANSWER_MS * 2, second * 1_000.0)
    assert window.limit == MIN_LIMIT


# Guards against a silent worker that holds back the starts on all others.
def test_timeouts_of_a_silent_worker_leave_the_limit_while_others_answer():
    window = StartWindow()
    window.record_answer(5.0, 1_000.0)
    window.record_timeout(COMMAND_TIMEOUT_MS, 1_000.0 + QUICK_ANSWER_VALID_MS / 2)
    assert window.limit == INITIAL_LIMIT


def test_timeouts_decrease_the_limit_when_no_worker_answers_quickly():
    window = StartWindow()
    window.record_timeout(COMMAND_TIMEOUT_MS, 1_000.0)
    assert window.limit < INITIAL_LIMIT


@attrs.define
class SlowOwner:
    """Send the commands of a cell one after the other, each for `cost_ms` of processor time."""

    harness: CellHarness
    cost_ms: float
    # Decided starts that have not been sent, oldest first, with the time of the decision.
    backlog: collections.deque = attrs.Factory(collections.deque)
    # When the tickets of each step expire at the workers.
    tickets_expire_ms: dict = attrs.Factory(dict)
    ends_ms: dict = attrs.Factory(dict)
    rejected_count: int = 0
    _budget_ms: float = 0.0

    def run(self, ms):
        end_ms = self.harness.now + ms
        while self.harness.now < end_ms:
            self.harness.advance(STEP_MS)
            self._end_tasks()
            self.harness.schedule()
            self._answer_advice()
            self._queue_commands()
            self._send(STEP_MS)

    def _answer_advice(self):
        for query in self.harness.advice_requests:
            expires_ms = self.harness.now + TICKET_VALID_MS
            self.tickets_expire_ms[query.step] = expires_ms
            tickets = dict.fromkeys(query.workers, "ticket")
            self.harness.cell.handle_advice(query.step, query.workers, tickets, expires_ms)
        self.harness.advice_requests.clear()

    def _queue_commands(self):
        self.backlog += [(self.harness.now, command) for command in self.harness.undelivered]
        self.harness.undelivered.clear()

    def _send(self, ms):
        self._budget_ms = min(self._budget_ms, 0.0) + ms
        while self.backlog and self._budget_ms > 0:
            self._budget_ms -= self.cost_ms
            decided_ms, command = self.backlog.popleft()
            if isinstance(command, StopTask):
                self.harness.deliver_command(command)
            elif self.harness.cell.should_send_start(command, self.harness.now):
                self._send_start(decided_ms, command)

    def _send_start(self, decided_ms, command):
        cell, now = self.harness.cell, self.harness.now
        if now > self.tickets_expire_ms[command.task.step_key]:
            self.rejected_count += 1
            outcome = CommandOutcome.NO_TICKET
            cell.handle_start_result(command, outcome, now)
        else:
            outcome = self.harness.deliver_command(command)
            self.ends_ms[command.task] = (now + TASK_MS, command.worker_id)
        cell.record_start_answer(outcome, now - decided_ms, now)

    def _end_tasks(self):
        for task, (ends_ms, worker_id) in list(self.ends_ms.items()):
            if ends_ms <= self.harness.now:
                del self.ends_ms[task]
                if task in self.harness.workers[worker_id].runs:
                    self.harness.workers[worker_id].end_run(task, RunOutcome.DONE)


# Guards against accepted jobs that never run because each start is sent after its ticket expired.
def test_an_owner_that_sends_few_starts_a_second_still_finishes_all_jobs():
    rules = make_rules(advice=AdviceTerms(11, 0.16, TICKET_VALID_MS))
    harness = CellHarness.with_workers(60, rules, capacity=Resources(16_000, 65_536, 0))
    harness.delivers_commands = False
    owner = SlowOwner(harness, cost_ms=12.0)
    for number in range(100):
        harness.submit(make_job(f"{number:016x}", Step(10, Resources(1_000, 512), TASK_MS)))
    # Half as long again as sending one start for each task takes.
    owner.run(1.5 * 1_000 * owner.cost_ms)
    finished = [j for j in harness.cell.state.jobs.values() if j.is_final]
    assert len(finished) == 100


# Guards against an owner on a small machine that is silent for seconds after loading the cell.
def test_a_new_owner_decides_few_starts_until_workers_have_answered():
    harness = CellHarness.with_workers(60, capacity=Resources(16_000, 65_536, 0))
    for number in range(20):
        harness.submit(make_job(f"{number:016x}", Step(10, Resources(1_000, 512), TASK_MS)))
    starts = [c for c in harness.schedule() if isinstance(c, StartTask)]
    assert len(starts) == INITIAL_LIMIT


def test_quick_answers_double_the_starts_in_progress():
    harness = CellHarness.with_workers(60, capacity=Resources(16_000, 65_536, 0))
    for number in range(20):
        harness.submit(make_job(f"{number:016x}", Step(10, Resources(1_000, 512), TASK_MS)))
    counts = []
    for _ in range(3):
        starts = [c for c in harness.schedule() if isinstance(c, StartTask)]
        counts.append(len(starts))
        for _ in starts:
            harness.cell.record_start_answer(CommandOutcome.OK, 5.0, harness.now)
    assert counts == [INITIAL_LIMIT, 2 * INITIAL_LIMIT, 4 * INITIAL_LIMIT - 24]
