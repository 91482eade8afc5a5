"""Check the index, the estimates and the judgement of health on their own."""

import random

from baobabhoist.model import Resources, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling.capacity import Availability, CapacityIndex, fits
from baobabhoist.scheduling.estimates import MAX_KEYS, Estimator
from baobabhoist.scheduling.health import FIRST_PROBE_S, GIVE_UP_WORKERS, HealthBook
from baobabhoist.scheduling.results import Verdict


def task(name="t", team="a", memory=1000):
    return Task(name, team, "q", WorkKind.BATCH, Resources(1000, memory), 1e9, 0.0, True)


def test_search_finds_room_exactly_when_a_scan_does():
    rng = random.Random(1)
    size = Resources(8000, 8000, 2, 8)
    index = CapacityIndex(WorkerSpec(f"w{n}", "h", 1, f"r{n % 5}", size) for n in range(37))
    held = []
    for step in range(2000):
        worker = rng.choice(sorted(index.workers.values(), key=lambda w: w.name))
        if rng.random() < 0.1:
            worker.availability = rng.choice(list(Availability))
            index.changed(worker)
        need = (rng.randint(0, 8000), rng.randint(0, 8000), rng.randint(0, 2), 1)
        found = index.search(need, 3)
        scan = [w for w in index.workers.values() if w.usable() and fits(need, w.free)]
        assert len(found) == min(3, len(scan)) and all(w in scan for w in found)
        if found:
            index.take(found[0], need, f"t{step}")
            held.append((found[0], need, f"t{step}"))
        elif held:
            index.give(*held.pop(rng.randrange(len(held))))


def test_estimate_moves_from_the_declaration_to_what_is_used():
    estimator, largest = Estimator(), (8000, 8000, 0, 8)
    assert estimator.need(task(), largest) == (1000, 1000, 0, 1)
    for _ in range(100):
        estimator.observe(task(), 5.0, Resources(400, 500))
    assert estimator.need(task(), largest)[:2] == (400, 500)
    assert estimator.run_s(task()) == 5.0


def test_estimate_never_exceeds_the_largest_worker():
    estimator = Estimator()
    for _ in range(100):
        estimator.observe(task(), 1.0, Resources(50_000, 50_000))
    assert estimator.need(task(), (4000, 6000, 0, 8)) == (4000, 6000, 0, 1)


def test_one_wild_observation_does_not_move_the_estimate():
    estimator = Estimator()
    estimator.observe(task(), 1.0, Resources(10, 10))
    assert estimator.need(task(), (8000, 8000, 0, 8)) == (1000, 1000, 0, 1)


def test_estimates_of_many_teams_stay_bounded():
    estimator = Estimator()
    for n in range(MAX_KEYS + 10):
        estimator.observe(task(team=f"team{n}"), 1.0, None)
    assert len(estimator.histories) == MAX_KEYS


def fail_everything(book, worker, jobs, now=0.0):
    for n in range(jobs):
        book.failed(f"t{worker}{n}", f"j{worker}{n}", worker, now, 10)
        if book.suspect(worker, 10, now):
            return True
    return False


def test_worker_that_fails_different_jobs_is_quarantined():
    assert fail_everything(HealthBook(), "w0", 3)


def test_job_that_fails_everywhere_is_given_up_and_no_worker_blamed():
    book, verdicts = HealthBook(), []
    for n in range(30):
        verdicts.append(book.failed(f"t{n // 3}", "bad", f"w{n % 10}", 0.0, 10))
        assert not book.suspect(f"w{n % 10}", 10, 0.0)
    assert verdicts.count(Verdict.GIVE_UP) == 30 // GIVE_UP_WORKERS


def test_one_queue_is_enough_to_tell_a_failing_worker():
    book = HealthBook()
    book.succeeded("t", "q", "w1")
    for n in range(3):
        book.failed(f"f{n}", "q", "w0", 0.0, 2)
    assert book.suspect("w0", 4, 0.0)


def test_common_cause_does_not_empty_the_shard():
    book = HealthBook()
    quarantined = [name for name in "abcdefghij" if fail_everything(book, name, 5)]
    assert len(quarantined) == 2


def test_probes_end_a_quarantine_and_failed_ones_space_out():
    book = HealthBook()
    fail_everything(book, "w0", 3)
    assert not book.probe_due(FIRST_PROBE_S - 1) and book.probe_due(FIRST_PROBE_S) == ["w0"]
    book.probe("w0", "p1")
    assert not book.probe_due(FIRST_PROBE_S)
    book.failed("p1", "p", "w0", 10.0, 10)
    assert not book.probe_due(10.0 + FIRST_PROBE_S) and book.probe_due(10.0 + 2 * FIRST_PROBE_S)
    for name in ("p2", "p3"):
        book.probe("w0", name)
        ended = book.succeeded(name, name, "w0")
    assert ended and not book.quarantined
