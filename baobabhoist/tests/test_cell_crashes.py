"""Test what the scheduler concludes from the crashes of workers."""

import attrs
import orjson
import pytest

from baobabhoist.cell import progress_rows
from baobabhoist.cell.crash_blame import Evidence
from baobabhoist.cell.crashes import HARMLESS_AGE_MS
from baobabhoist.cell.model import JobPhase, StartTask, Step
from baobabhoist.cell.workers import YOUNG_RUN_MS
from baobabhoist.observability.events import Event
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.tests.cell_harness import LEASE_MS, SMALL, CellHarness, make_job, make_task_key

# Shorter than a lease, and longer.
DOWN_MS = (3_300.0, LEASE_MS + 3_000.0)
JOB_ID = "0" * 16
TICK_MS = 20.0
# A task may be started at most twice more after three workers have crashed under it.
MAX_STARTS = 5


@attrs.define
class CrashingFleet:
    """Let workers crash soon after they start certain tasks, and come back under another id."""

    harness: CellHarness
    deadly: set
    down_ms: float = DOWN_MS[0]
    # How long after its start a task crashes its worker.
    delay_ms: float = 0.0
    starts: dict = attrs.Factory(dict)
    _down: list = attrs.Factory(list)
    _crash_at: dict = attrs.Factory(dict)

    def run(self, ms):
        """Let time pass."""
        until_ms = self.harness.now + ms
        while self.harness.now < until_ms:
            self.harness.advance(TICK_MS)
            self._crash_workers()
            self._bring_back()

    def _crash_workers(self):
        for worker in list(self.harness.workers.values()):
            for key in self.deadly & set(worker.runs):
                start = (key, worker.worker_id)
                if start not in self._crash_at:
                    self.starts[key] = self.starts.get(key, 0) + 1
                    self._crash_at[start] = self.harness.now + self.delay_ms
                if worker.is_up and self.harness.now >= self._crash_at[start]:
                    self.crash(worker.worker_id)

    def crash(self, worker_id):
        """Let a worker crash."""
        self.harness.workers[worker_id].crash()
        self._down.append((self.harness.now + self.down_ms, worker_id))

    def _bring_back(self):
        for back_ms, worker_id in list(self._down):
            if self.harness.now >= back_ms:
                self._down.remove((back_ms, worker_id))
                del self.harness.workers[worker_id]
                replace(self.harness, worker_id)


def replace(harness, worker_id):
    """List another worker at the address of one that has ended, and unlist that one."""
    address = f"{worker_id.rstrip('+')}:80"
    successor = FakeCellWorker(f"{worker_id}+")
    harness.workers[successor.worker_id] = successor
    harness.cell.update_worker(successor.info(address=address), harness.now)
    harness.settle()
    harness.cell.unlist_worker(worker_id, harness.now)


def crash_once(harness, worker_id):
    """Let a worker crash that no task has crashed, and come back."""
    fleet = CrashingFleet(harness, set())
    fleet.crash(worker_id)
    fleet.run(fleet.down_ms + 200.0)


def evidence_against(harness, key):
    task = harness.cell.find_job(key.job_id).find_task(key)
    return list(task.crash_blame.by_crash.values())


def test_the_log_tells_a_crashed_worker_from_a_silent_one_and_names_its_runs(fields_of):
    """Guard against logs that can't separate a task that crashes workers from a cut network."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job())
    harness.schedule()
    key = make_task_key()
    worker_id = harness.worker_running(key).worker_id
    silent = next(name for name in harness.workers if name != worker_id)
    harness.workers[silent].is_up = False
    crash_once(harness, worker_id)
    (fields,) = fields_of(Event.WORKER_REPLACED)
    assert (fields["worker"], fields["successor"]) == (worker_id, f"{worker_id}+")
    assert fields["ages_ms"] == {key.to_text(): 0}
    assert fields["silent_ms"] >= DOWN_MS[0]
    assert not fields["drained"]


@pytest.mark.parametrize("down_ms", DOWN_MS)
def test_a_task_that_crashes_each_worker_is_given_up_while_its_neighbours_complete(down_ms):
    """Guard against one task that takes down worker after worker."""
    harness = CellHarness.with_workers(6)
    harness.submit(make_job())
    fleet = CrashingFleet(harness, {make_task_key()}, down_ms)
    neighbours = [make_job(f"{n:016x}", Step(1, SMALL, 1000)) for n in range(1, 12)]
    for neighbour in neighbours:
        harness.submit(neighbour)
    fleet.run(8 * (LEASE_MS + down_ms))
    assert harness.job_phase() is JobPhase.FAILED
    assert fleet.starts[make_task_key()] <= MAX_STARTS
    for neighbour in neighbours:
        harness.end_run(make_task_key(neighbour.job_id))
        assert harness.job_phase(neighbour.job_id) is JobPhase.COMPLETED


@pytest.mark.parametrize("delay_ms", [600.0, 2_000.0])
def test_a_task_that_crashes_its_worker_some_time_after_the_start_is_given_up(delay_ms):
    """Guard against a bound that holds only for tasks which crash their worker at once."""
    harness = CellHarness.with_workers(6)
    harness.submit(make_job())
    fleet = CrashingFleet(harness, {make_task_key()}, delay_ms=delay_ms)
    fleet.run(12 * LEASE_MS)
    assert harness.job_phase() is JobPhase.FAILED
    assert fleet.starts[make_task_key()] <= MAX_STARTS


def test_a_gang_with_a_task_that_crashes_each_worker_is_given_up():
    """Guard against a gang that takes down one worker after the other as a whole."""
    harness = CellHarness.with_workers(6)
    harness.submit(make_job(JOB_ID, Step(3, SMALL.times(3), 1000, gang=True)))
    fleet = CrashingFleet(harness, {make_task_key(index=1)})
    fleet.run(12 * LEASE_MS)
    assert harness.job_phase() is JobPhase.FAILED
    assert fleet.starts[make_task_key(index=1)] <= MAX_STARTS


def test_the_bound_on_crashes_holds_across_changes_of_the_owner():
    """Guard against owners that each allow a task the same number of crashes."""
    harness = CellHarness.with_workers(6)
    job, stored = make_job(version=1), {}
    harness.submit(job)
    fleet = CrashingFleet(harness, {make_task_key()})
    for _ in range(8):
        fleet.run(DOWN_MS[0] + 500.0)
        saved = harness.save_progress()
        stored |= {i: progress_rows.decode(progress_rows.encode(p)) for i, p in saved.items()}
        harness.take_over([job], stored)
    assert harness.job_phase() is JobPhase.FAILED
    assert fleet.starts[make_task_key()] <= MAX_STARTS


def test_a_task_that_crashes_workers_which_restart_under_their_id_is_given_up():
    """Guard against a bound that misses the workers that keep their id."""
    harness = CellHarness.with_workers(6)
    harness.submit(make_job())
    starts = 0
    for _ in range(12):
        harness.advance(LEASE_MS)
        for worker in harness.workers.values():
            if make_task_key() in worker.runs:
                starts += 1
                worker.restart()
    assert harness.job_phase() is JobPhase.FAILED
    assert starts <= MAX_STARTS


def test_workers_that_were_only_silent_are_no_evidence_against_their_tasks():
    """Guard against a sound job that is given up because the network to its workers was cut."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    for _ in range(5):
        harness.advance(2 * LEASE_MS, renew=False)
        harness.settle()
    assert not evidence_against(harness, make_task_key())
    harness.end_run(make_task_key())
    assert harness.job_phase() is JobPhase.COMPLETED


def test_a_worker_that_drained_and_left_is_no_evidence_against_its_tasks():
    """Guard against a sound job that is given up because its workers were replaced as planned."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    draining = harness.workers["w0"].info(is_draining=True)
    harness.cell.update_worker(draining, harness.now)
    crash_once(harness, "w0")
    assert harness.worker_running(make_task_key()).worker_id == "w0+"
    assert not evidence_against(harness, make_task_key())


def test_a_run_restarts_as_soon_as_another_worker_answers_at_the_address():
    """Guard against tasks that wait for the lease of a worker that is known to have crashed."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    fleet = CrashingFleet(harness, set(), down_ms=500.0)
    fleet.crash("w0")
    fleet.run(600.0)
    assert harness.worker_running(make_task_key()).worker_id == "w0+"


def test_a_suspect_starts_alone_and_is_cleared_by_outliving_its_start():
    """Guard against a neighbour that is given up because it shares a second crash by chance."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job(JOB_ID, Step(2, SMALL, 1000)))
    harness.schedule()
    keys = [make_task_key(index=0), make_task_key(index=1)]
    worker_id = harness.worker_running(keys[0]).worker_id
    assert harness.worker_running(keys[1]).worker_id == worker_id
    crash_once(harness, worker_id)
    assert harness.worker_running(keys[0]) is not harness.worker_running(keys[1])
    assert all(evidence_against(harness, key) == [Evidence.YOUNG_RUN] for key in keys)
    harness.submit(make_job("1" * 16))
    harness.schedule()
    assert not any(make_task_key("1" * 16) in w.runs for w in harness.workers.values())
    harness.advance(YOUNG_RUN_MS + 100.0)
    assert harness.worker_running(make_task_key("1" * 16))
    assert all(evidence_against(harness, key) == [Evidence.OLD_RUN] for key in keys)


def test_crashes_that_a_task_has_caused_do_not_count_against_others():
    """Guard against jobs that add up the crashes of several neighbours and are given up."""
    harness = CellHarness.with_workers(6)
    long_key = make_task_key("f" * 16)
    harness.submit(make_job("f" * 16))
    harness.schedule()
    for number in range(4):
        key = make_task_key(f"{number:016x}")
        harness.advance(YOUNG_RUN_MS + 100.0)
        harness.submit(make_job(key.job_id))
        CrashingFleet(harness, {key}).run(4 * LEASE_MS)
        assert harness.job_phase(key.job_id) is JobPhase.FAILED
    assert not evidence_against(harness, long_key)
    harness.end_run(long_key)
    assert harness.job_phase("f" * 16) is JobPhase.COMPLETED


def test_a_run_of_many_seconds_clears_its_task():
    """Guard against a service that is given up after years because of a crash now and then."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job(JOB_ID, Step(1, SMALL, 1000, lasting=True)))
    harness.schedule()
    for _ in range(6):
        harness.advance(HARMLESS_AGE_MS + 500.0)
        assert not evidence_against(harness, make_task_key())
        crash_once(harness, harness.worker_running(make_task_key()).worker_id)
    assert harness.job_phase() is JobPhase.RUNNING


def test_the_release_before_reads_the_rows_that_name_crashes():
    """Guard against rows that an instance of the last release takes for damaged."""
    harness = CellHarness.with_workers(2)
    harness.submit(make_job())
    harness.schedule()
    crash_once(harness, harness.worker_running(make_task_key()).worker_id)
    (progress,) = harness.save_progress().values()
    body = orjson.loads(progress_rows.encode(progress))
    assert all(len(step) == 6 for step in body["steps"])
    assert progress_rows.decode(progress_rows.encode(progress)) == progress
    del body["crashes"]
    assert progress_rows.decode(orjson.dumps(body)).steps[0].crash_blame == {}


def test_a_job_whose_start_was_lost_with_its_worker_still_counts_as_queued():
    """Guard against a count of waiting jobs that leaves out those that never began (MIXED)."""
    harness = CellHarness.with_workers(2)
    harness.delivers_commands = False
    harness.submit(make_job())
    (start,) = harness.schedule()
    harness.cell.should_send_start(start, harness.now)
    harness.workers[start.worker_id].crash()
    harness.lose_command(start)
    assert harness.job_phase() is JobPhase.QUEUED
    assert harness.cell.count_queued_jobs("q") == 1


def test_a_task_that_its_crashed_workers_never_began_is_not_given_up():
    """Guard against a job that fails because its starts reached workers that were already down."""
    harness = CellHarness.with_workers(6)
    harness.delivers_commands = False
    harness.submit(make_job())
    for _ in range(4):
        fleet = CrashingFleet(harness, set())
        harness.schedule()
        start = [c for c in harness.undelivered if isinstance(c, StartTask)][-1]
        harness.cell.should_send_start(start, harness.now)
        fleet.crash(start.worker_id)
        harness.lose_command(start)
        fleet.run(fleet.down_ms + 200.0)
    assert evidence_against(harness, make_task_key()) == [Evidence.UNCONFIRMED_RUN] * 4
    assert harness.job_phase() is JobPhase.QUEUED


def test_a_silent_worker_keeps_its_run_when_another_worker_appears_at_another_address():
    """Guard against work that is started again elsewhere while a silent worker goes on (TWICE)."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.schedule()
    silent = harness.workers.pop("w0")
    harness.workers["w1"] = FakeCellWorker("w1")
    harness.cell.update_worker(harness.workers["w1"].info(), harness.now)
    harness.advance(DOWN_MS[0])
    assert make_task_key() in silent.runs
    assert not harness.workers["w1"].runs


def test_a_report_that_was_requested_before_a_worker_was_listed_does_not_end_it():
    """Guard against a late report of a predecessor that ends the runs of its successor (TWICE)."""
    harness = CellHarness.with_workers(0)
    old, new = FakeCellWorker("old"), FakeCellWorker("new")
    harness.cell.update_worker(old.info(address="a:80"), harness.now)
    requested_ms = harness.now
    harness.advance(1_000.0)
    harness.workers["new"] = new
    harness.cell.update_worker(new.info(address="a:80"), harness.now)
    late_report = old.renew(harness.token, 0, None)
    harness.cell.handle_report("old", late_report, requested_ms, harness.now)
    harness.settle()
    harness.submit(make_job())
    harness.settle()
    assert make_task_key() in new.runs
