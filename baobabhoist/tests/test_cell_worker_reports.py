"""Test how reports of workers and answers to commands are applied."""

from baobabhoist.cell.model import AdviceTerms, CommandOutcome, JobPhase, RunOutcome, Step
from baobabhoist.observability.events import Event
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules, make_task_key


def test_rejected_start_says_how_old_its_ticket_and_decision_are(fields_of):
    """Guard against rejected tickets that can't be told from expired ones and late commands."""
    harness = CellHarness.with_workers(1, make_rules(advice=AdviceTerms(10.0, 1.0, 2_000)))
    harness.submit(make_job())
    harness.schedule()
    request = harness.advice_requests[-1]
    harness.cell.handle_advice(request.step, request.workers, {"w0": "t"}, harness.now + 1_060.0)
    harness.delivers_commands = False
    harness.schedule()
    command = harness.undelivered.pop()
    harness.cell.handle_start_result(command, CommandOutcome.NO_TICKET, harness.now + 1_300.0)
    assert fields_of(Event.START_REFUSED)[0] == {
        "task": "0" * 16 + ".0.0.0",
        "run": 1,
        "worker": "w0",
        "reason": "no_ticket",
        "ticket_left_ms": -300,
        "decided_ms_ago": 1_300,
    }


def test_a_gang_that_started_after_a_restart_goes_on():
    """Guard against a gang that is stopped, and blamed, for a crash before its start.

    The owner hears of the restart only with the next report, which lists the new runs.
    """
    harness = CellHarness.with_workers(2)
    harness.workers["w0"].crash()
    harness.workers["w0"].restart()
    harness.submit(make_job("0" * 16, Step(2, SMALL, 1000, gang=True, most_per_worker=1)))
    harness.schedule()
    harness.settle()
    assert [w for _, w in harness.running_tasks()] == ["w0", "w1"]
    task = harness.cell.find_job("0" * 16).find_task(make_task_key())
    assert (task.last_run_number, task.crash_blame.total) == (1, 0)


def test_a_lease_on_the_clock_of_an_earlier_process_is_waited_for():
    """Guard against tasks that run twice because a restarted worker got too long a lease.

    A start that reaches it before the owner knows of the restart carries a deadline that is far
    away on the new clock, so that the worker grants its longest lease (TWICE).
    """
    harness = CellHarness.with_workers(3, now_ms=1_000_000.0)
    harness.workers["w0"].crash()
    harness.workers["w0"].restart()
    harness.submit(make_job("0" * 16, Step(2, SMALL, 60_000, most_per_worker=1)))
    harness.schedule()
    harness.settle()
    task = next(key for key, worker_id in harness.running_tasks() if worker_id == "w0")
    # From now on nobody reaches the worker, which goes on.
    harness.workers["w0"].is_up = False
    for _ in range(130):
        harness.advance(100.0)
        running_on = [name for name, worker in harness.workers.items() if task in worker.runs]
        assert len(running_on) <= 1
    assert running_on != ["w0"]


def test_a_new_owner_waits_for_a_lease_on_the_clock_of_an_earlier_process():
    """Guard against tasks that run twice because the owner before had granted too long a lease.

    A start of its reached the worker after a restart. The next owner hears the worker once.
    """
    harness = CellHarness.with_workers(3, now_ms=1_000_000.0)
    harness.workers["w0"].crash()
    harness.workers["w0"].restart()
    accepted = make_job("0" * 16, Step(2, SMALL, 60_000, most_per_worker=1))
    harness.submit(accepted)
    harness.schedule()
    task = next(key for key, worker_id in harness.running_tasks() if worker_id == "w0")
    harness.take_over([accepted], harness.save_progress())
    harness.settle()
    # From now on nobody reaches the worker, which goes on.
    harness.workers["w0"].is_up = False
    for _ in range(130):
        harness.advance(100.0)
        running_on = [name for name, worker in harness.workers.items() if task in worker.runs]
        assert len(running_on) <= 1
    assert running_on != ["w0"]


def test_a_restarted_worker_gets_tasks_only_by_its_own_entry():
    """Guard against tasks on a worker that restarted as another kind (ROUTE).

    The next report tells of the restart, but the labels and the capacity are in the directory,
    which still showed those of the earlier process.
    """
    harness = CellHarness.with_workers(1)
    harness.updates_directory = False
    worker = harness.workers["w0"]
    worker.crash()
    worker.restart()
    worker.labels = ("b", "r1-1")
    harness.renew_all()
    harness.submit(make_job("0" * 16, Step(1, SMALL, 1000, label="a")))
    harness.submit(make_job("1" * 16, Step(1, SMALL, 1000, label="b")))
    assert harness.schedule() == []
    harness.cell.update_worker(worker.info(), harness.now)
    assert [command.task.job_id for command in harness.schedule()] == ["1" * 16]


def test_runs_whose_ends_are_not_listed_yet_are_not_lost():
    """Guard against tasks that run again because a report lists only the first ends.

    While the store is down no end is acknowledged, and a worker that had more ends than fit into
    its report seemed to have lost the others (TWICE, review/4).
    """
    harness = CellHarness.with_workers(1, max_listed_ends=2)
    harness.submit(make_job("0" * 16, Step(4, SMALL, 1000)))
    harness.settle()
    worker = harness.workers["w0"]
    for key in list(worker.runs):
        worker.end_run(key, RunOutcome.DONE)
    harness.advance(4_000.0)
    assert len(worker.started_runs) == 4
    for _ in range(3):
        harness.save_progress()
        harness.renew_all()
    assert harness.job_phase() is JobPhase.COMPLETED
    assert len(worker.started_runs) == 4
