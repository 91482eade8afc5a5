"""Test what the scheduler concludes from the crashes of workers."""

import logging

import attrs
import pytest

from baobabhoist.cell.model import JobPhase, Step
from baobabhoist.observability.events import FIELDS_ATTRIBUTE
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
    down_ms: float
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
    return successor


def logged_fields(caplog, name):
    return [
        getattr(record, FIELDS_ATTRIBUTE)
        for record in caplog.records
        if getattr(record, "baobabhoist_event", None) is not None
        and record.baobabhoist_event.name == name
    ]


def test_the_log_tells_a_crashed_worker_from_a_silent_one_and_names_its_runs(caplog):
    """Guard against logs that can't separate a task that crashes workers from a cut network."""
    caplog.set_level(logging.INFO)
    harness = CellHarness.with_workers(2)
    harness.submit(make_job())
    harness.schedule()
    key = make_task_key()
    worker_id = harness.worker_running(key).worker_id
    silent = next(name for name in harness.workers if name != worker_id)
    harness.workers[silent].is_up = False
    fleet = CrashingFleet(harness, set(), DOWN_MS[0])
    fleet.crash(worker_id)
    fleet.run(DOWN_MS[0] + 100.0)
    (fields,) = logged_fields(caplog, "WORKER_REPLACED")
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
