"""Test that no task starts in a data centre that is being emptied, under any order of events."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from baobabhoist.cell.evacuations import NO_EVACUATIONS, EvacuationChange, Evacuations
from baobabhoist.cell.model import AdviceTerms, RequestAdvice, Resources, StartTask, Step
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_summary import summarize_waiting
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key

DATA_CENTRES = ("east", "west")
EAST = Evacuations(frozenset({"east"}))
WHOLE_WORKER = Resources(4000, 512, 0)


class TwoDataCentres(CellHarness):
    """Drive a cell whose workers w0 and w1 are in the east, w2 and w3 in the west."""

    def start_ownership(self, *args):
        super().start_ownership(*args)
        for index, worker in enumerate(self.workers.values()):
            info = worker.info(data_centre=DATA_CENTRES[index // 2])
            self.cell.update_worker(info, self.now)

    def evacuate(self, evacuations):
        self.cell.set_evacuations(evacuations, self.now)

    def count_starts(self, data_centre):
        first = 2 * DATA_CENTRES.index(data_centre)
        return sum(len(self.workers[f"w{n}"].started_runs) for n in (first, first + 1))


@pytest.fixture
def harness():
    return TwoDataCentres.with_workers(4)


def wait_reasons(harness):
    return set(summarize_waiting(harness.cell.state, harness.now).by_reason)


def test_emptied_data_centre_gets_no_starts_until_the_request_is_taken_back(harness):
    """Guard against starts on the free workers of a data centre that is to be emptied."""
    harness.evacuate(EAST)
    harness.submit(make_job("0" * 16, Step(16, SMALL, 60_000)))
    harness.settle()
    assert (harness.count_starts("east"), harness.count_starts("west")) == (0, 8)
    harness.evacuate(NO_EVACUATIONS)
    harness.settle()
    assert harness.count_starts("east") == 8


def test_running_tasks_of_an_emptied_data_centre_go_on(harness):
    """Guard against work that is thrown away when a data centre is emptied."""
    harness.submit(make_job("0" * 16, Step(16, SMALL, 60_000)))
    harness.settle()
    harness.evacuate(EAST)
    harness.advance(1_000)
    assert len(harness.running_tasks()) == 16


def test_unsent_start_in_an_emptied_data_centre_is_closed_and_placed_elsewhere(harness):
    """Guard against a start that was decided before the request and is sent after it."""
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(4, WHOLE_WORKER, 60_000)))
    harness.schedule()
    harness.evacuate(EAST)
    assert not harness.cell.state.workers["w0"].runs
    valid = [c for c in harness.undelivered if harness.cell.should_send_start(c, harness.now)]
    assert {command.worker_id for command in valid} == {"w2", "w3"}


def test_gang_with_an_unsent_member_in_an_emptied_data_centre_starts_again_as_a_whole(harness):
    """Guard against members of a gang that wait for one that was never started."""
    harness.delivers_commands = False
    harness.submit(make_job("0" * 16, Step(3, SMALL, 60_000, gang=True, most_per_worker=1)))
    harness.schedule()
    harness.evacuate(EAST)
    assert not any(harness.cell.should_send_start(c, harness.now) for c in harness.undelivered)
    harness.evacuate(NO_EVACUATIONS)
    harness.delivers_commands = True
    harness.settle()
    assert len(harness.running_tasks()) == 3


def test_reservation_of_a_gang_leaves_an_emptied_data_centre_at_once(harness):
    """Guard against a gang that holds workers free on which it can't start."""
    harness.submit(make_job("0" * 16, Step(4, WHOLE_WORKER, 60_000), version=1))
    harness.settle()
    gang = Step(2, WHOLE_WORKER, 60_000, gang=True)
    harness.submit(make_job("1" * 16, gang))
    harness.settle()
    harness.evacuate(EAST)
    harness.schedule()
    assert set(harness.cell.placer.reservations.gang_by_worker) <= {"w2", "w3"}
    for index in range(4):
        if harness.worker_running(make_task_key(index=index)).worker_id in ("w2", "w3"):
            harness.end_run(make_task_key(index=index))
    assert {w for key, w in harness.running_tasks() if key.job_id == "1" * 16} == {"w2", "w3"}


def test_advice_and_tickets_of_an_emptied_data_centre_are_not_counted_on():
    """Guard against a step that asks nobody else because it holds tickets it can't use."""
    rules = make_rules(advice=AdviceTerms(10.0, 0.1, 2_500))
    harness = TwoDataCentres.with_workers(4, rules)
    harness.submit(make_job("0" * 16, Step(2, WHOLE_WORKER, 60_000)))
    harness.evacuate(EAST)
    harness.schedule()
    asked = harness.advice_requests[0]
    assert set(asked.workers) == {"w2", "w3"}
    harness.cell.handle_advice(asked.step, ["w0", "w1"], {"w0": "t", "w1": "t"}, 1e9)
    commands = harness.schedule()
    assert not any(isinstance(command, StartTask) for command in commands)
    assert wait_reasons(harness) == {WaitReason.DATA_CENTRE_EMPTIED}
    again = [command for command in commands if isinstance(command, RequestAdvice)]
    assert [set(command.workers) for command in again] == [{"w2", "w3"}]


def test_step_says_that_it_waits_for_an_emptied_data_centre(harness):
    """Guard against an operator who can't tell an emptied data centre from broken workers."""
    harness.evacuate(Evacuations(frozenset(DATA_CENTRES)))
    harness.submit(make_job("0" * 16, Step(1, SMALL, 60_000)))
    harness.settle()
    assert wait_reasons(harness) == {WaitReason.DATA_CENTRE_EMPTIED}


def test_worker_that_is_listed_later_is_covered_by_the_request(harness):
    """Guard against a new worker in an emptied data centre that gets the waiting tasks."""
    harness.evacuate(EAST)
    moved = harness.workers["w3"].info(data_centre="east")
    harness.cell.update_worker(moved, harness.now)
    assert harness.cell.state.workers["w3"].is_evacuated


CHANGES = st.lists(
    st.builds(EvacuationChange, st.sampled_from(DATA_CENTRES), st.booleans()), max_size=4
)


@attrs.define
class OperatorTable:
    """Hold which data centres the operator's rows name, apart from the code under test."""

    rows: set = attrs.Factory(set)

    def apply(self, changes):
        for change in changes:
            (self.rows.add if change.is_requested else self.rows.discard)(change.data_centre)


class EvacuationMachine(RuleBasedStateMachine):
    """Let rows, snapshots, decisions, sends and owners follow each other in any order."""

    def __init__(self):
        super().__init__()
        self.harness = TwoDataCentres.with_workers(4)
        self.harness.delivers_commands = False
        self.table = OperatorTable()
        self.known = NO_EVACUATIONS
        self.job_count = 0

    def adopt(self, evacuations):
        assert evacuations.data_centres == self.table.rows
        self.known = evacuations
        self.harness.evacuate(evacuations)

    @rule(changes=CHANGES)
    def change_rows(self, changes):
        self.table.apply(changes)
        self.adopt(self.known.with_changes(changes, is_snapshot=False))

    @rule(lost=CHANGES)
    def lose_history(self, lost):
        """Changes that no feed delivered are known only from the snapshot."""
        self.table.apply(lost)
        snapshot = [EvacuationChange(name, True) for name in sorted(self.table.rows)]
        self.adopt(self.known.with_changes(snapshot, is_snapshot=True))

    @rule(count=st.integers(1, 4), is_gang=st.booleans())
    def submit(self, count, is_gang):
        self.job_count += 1
        step = Step(count, SMALL, 60_000, gang=is_gang)
        self.harness.submit(make_job(f"{self.job_count:016x}", step))

    @rule()
    def decide(self):
        self.harness.settle(rounds=1)

    @rule()
    def send(self):
        commands, self.harness.undelivered = self.harness.undelivered, []
        for command in commands:
            if not isinstance(command, StartTask):
                self.harness.deliver_command(command)
            elif self.harness.cell.should_send_start(command, self.harness.now):
                worker = self.harness.cell.state.workers[command.worker_id]
                assert worker.info.data_centre not in self.table.rows

    @rule()
    def change_owner(self):
        self.harness.take_over()
        self.harness.evacuate(self.known)
        self.harness.renew_all()


EvacuationMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestEvacuations = EvacuationMachine.TestCase
