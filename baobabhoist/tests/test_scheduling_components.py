"""Test the capacity index, the estimator and the health tracker."""

import random

from baobabhoist.model import Resources, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling.capacity import Availability, CapacityIndex, fits
from baobabhoist.scheduling.estimates import MAX_HISTORIES, Estimator
from baobabhoist.scheduling.health import (
    INITIAL_PROBE_INTERVAL_S,
    MAX_FAILED_WORKERS_PER_TASK,
    HealthTracker,
)
from baobabhoist.scheduling.results import Verdict


def make_task(name="t", team="a", memory=1000):
    return Task(name, team, "q", WorkKind.BATCH, Resources(1000, memory), 1e9, 0.0, True)


def test_index_finds_workers_exactly_when_a_scan_does():
    rng = random.Random(1)
    capacity = Resources(8000, 8000, 2, 8)
    index = CapacityIndex(WorkerSpec(f"w{n}", "h", 1, f"r{n % 5}", capacity) for n in range(37))
    allocations = []
    for step in range(2000):
        worker = rng.choice(sorted(index.workers.values(), key=lambda w: w.name))
        if rng.random() < 0.1:
            worker.availability = rng.choice(list(Availability))
            index.update(worker)
        demand = (rng.randint(0, 8000), rng.randint(0, 8000), rng.randint(0, 2), 1)
        found = index.find_workers(demand, 3)
        scan = [w for w in index.workers.values() if w.is_usable() and fits(demand, w.free)]
        assert len(found) == min(3, len(scan)) and all(w in scan for w in found)
        if found:
            index.allocate(found[0], demand, f"t{step}")
            allocations.append((found[0], demand, f"t{step}"))
        elif allocations:
            index.release(*allocations.pop(rng.randrange(len(allocations))))


def test_estimate_converges_from_the_declaration_to_measured_usage():
    estimator, largest = Estimator(), (8000, 8000, 0, 8)
    assert estimator.estimate_demand(make_task(), largest) == (1000, 1000, 0, 1)
    for _ in range(100):
        estimator.observe_success(make_task(), 5.0, Resources(400, 500))
    assert estimator.estimate_demand(make_task(), largest)[:2] == (400, 500)
    assert estimator.median_run_s(make_task()) == 5.0


def test_estimate_never_exceeds_the_largest_worker():
    estimator = Estimator()
    for _ in range(100):
        estimator.observe_success(make_task(), 1.0, Resources(50_000, 50_000))
    assert estimator.estimate_demand(make_task(), (4000, 6000, 0, 8)) == (4000, 6000, 0, 1)


def test_single_outlier_does_not_change_the_estimate():
    estimator = Estimator()
    estimator.observe_success(make_task(), 1.0, Resources(10, 10))
    assert estimator.estimate_demand(make_task(), (8000, 8000, 0, 8)) == (1000, 1000, 0, 1)


def test_number_of_histories_is_bounded():
    estimator = Estimator()
    for n in range(MAX_HISTORIES + 10):
        estimator.observe_success(make_task(team=f"team{n}"), 1.0, None)
    assert len(estimator.histories) == MAX_HISTORIES


def fail_jobs_until_quarantined(health, worker, jobs, now=0.0):
    for n in range(jobs):
        health.record_failure(f"t{worker}{n}", f"j{worker}{n}", worker, now, 10)
        if health.quarantine_if_suspect(worker, 10, now):
            return True
    return False


def test_worker_that_fails_different_jobs_is_quarantined():
    assert fail_jobs_until_quarantined(HealthTracker(), "w0", 3)


def test_job_that_fails_everywhere_is_given_up_without_quarantine():
    health, verdicts = HealthTracker(), []
    for n in range(30):
        verdicts.append(health.record_failure(f"t{n // 3}", "bad", f"w{n % 10}", 0.0, 10))
        assert not health.quarantine_if_suspect(f"w{n % 10}", 10, 0.0)
    assert verdicts.count(Verdict.GIVE_UP) == 30 // MAX_FAILED_WORKERS_PER_TASK


def test_failures_in_one_queue_suffice_to_quarantine_a_worker():
    health = HealthTracker()
    health.record_success("t", "q", "w1")
    for n in range(3):
        health.record_failure(f"f{n}", "q", "w0", 0.0, 2)
    assert health.quarantine_if_suspect("w0", 4, 0.0)


def test_common_fault_does_not_quarantine_the_whole_shard():
    health = HealthTracker()
    quarantined = [name for name in "abcdefghij" if fail_jobs_until_quarantined(health, name, 5)]
    assert len(quarantined) == 2


def test_probes_end_a_quarantine_and_back_off_after_failures():
    health = HealthTracker()
    fail_jobs_until_quarantined(health, "w0", 3)
    assert not health.workers_due_for_probe(
        INITIAL_PROBE_INTERVAL_S - 1
    ) and health.workers_due_for_probe(INITIAL_PROBE_INTERVAL_S) == ["w0"]
    health.start_probe("w0", "p1")
    assert not health.workers_due_for_probe(INITIAL_PROBE_INTERVAL_S)
    health.record_failure("p1", "p", "w0", 10.0, 10)
    assert not health.workers_due_for_probe(
        10.0 + INITIAL_PROBE_INTERVAL_S
    ) and health.workers_due_for_probe(10.0 + 2 * INITIAL_PROBE_INTERVAL_S)
    for name in ("p2", "p3"):
        health.start_probe("w0", name)
        ended = health.record_success(name, name, "w0")
    assert ended and not health.quarantined
