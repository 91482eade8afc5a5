"""Test the scheduler through the calls that the owner of a shard makes."""

import random

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from baobabhoist.errors import ErrorKind, InvariantViolationError, Refusal
from baobabhoist.model import Outcome, Resources, RunningTask, Task, Urgency, WorkerSpec, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy, TeamPolicy
from baobabhoist.scheduling.results import Hold, Verdict, WaitReason
from baobabhoist.scheduling.scheduler import Scheduler

WORKER_CAPACITY = Resources(8000, 8000, 0, 8)


class ConfirmingLedger(QuotaLedger):
    """Confirm each end on release, as an owner does when the worker reports the end."""

    def release(self, task_id, confirmed=True):
        super().release(task_id, True)


def worker_specs(count, per_rack=2, size=WORKER_CAPACITY):
    return [WorkerSpec(f"w{n}", "127.0.0.1", 1, f"r{n // per_rack}", size) for n in range(count)]


def make_scheduler(workers=2, places=1000, **queues):
    scheduler = Scheduler.for_workers(
        worker_specs(workers), ConfirmingLedger("s", dict.fromkeys("abc", places))
    )
    for n in range(workers):
        scheduler.worker_up(f"w{n}")
    scheduler.set_policies(queues, {})
    return scheduler


def make_task(name, team="a", cpu=1000, **changes):
    task = Task(name, team, "q", WorkKind.BATCH, Resources(cpu, 1000), 1e9, 0.0, True)
    return attrs.evolve(task, **changes)


def place_tasks(scheduler, now=0.0):
    return {
        placement.task.task_id: placement.worker for placement in scheduler.next_batch(now, 1000)
    }


def fill_workers(scheduler, now=0.0, **changes):
    """Place a task on each worker that uses all of its processors."""
    for n in range(len(scheduler.index.workers)):
        assert scheduler.enqueue(make_task(f"fill{n}", cpu=8000, **changes), now) is None
    return place_tasks(scheduler, now)


def test_task_larger_than_every_worker_is_refused_at_once():
    refusal = make_scheduler().enqueue(make_task("t", cpu=8001), 0.0)
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NEVER_FITS, Outcome.NOT_RUN)


def test_task_is_placed_and_ended_only_once():
    scheduler = make_scheduler()
    scheduler.enqueue(make_task("t"), 0.0)
    with pytest.raises(InvariantViolationError):
        scheduler.enqueue(make_task("t"), 0.0)
    assert list(place_tasks(scheduler)) == ["t"]
    scheduler.task_ended("t", True, 1.0)
    with pytest.raises(InvariantViolationError):
        scheduler.task_ended("t", True, 1.0)


@pytest.mark.parametrize("stop", ["worker_down", "worker_leaving"])
def test_worker_that_is_down_or_leaving_gets_nothing_new(stop):
    scheduler = make_scheduler()
    getattr(scheduler, stop)("w0")
    for n in range(4):
        scheduler.enqueue(make_task(f"t{n}"), 0.0)
    assert set(place_tasks(scheduler).values()) == {"w1"}


def test_adopted_tasks_take_capacity_but_no_place():
    scheduler = Scheduler.for_workers(worker_specs(1), ConfirmingLedger("s", {"a": 1}))
    scheduler.adopt("w0", [RunningTask("old", "a", Resources(8000, 1000))], 0.0)
    scheduler.worker_up("w0")
    scheduler.enqueue(make_task("t"), 0.0)
    assert not place_tasks(scheduler)
    scheduler.task_ended("old", True, 1.0)
    assert list(place_tasks(scheduler, 1.0)) == ["t"]


def test_full_shard_serves_teams_by_weight():
    scheduler = make_scheduler(4)
    scheduler.set_policies({}, {"a": TeamPolicy(weight=3.0), "b": TeamPolicy(weight=1.0)})
    for n in range(64):
        scheduler.enqueue(make_task(f"a{n}", "a"), 0.0)
        scheduler.enqueue(make_task(f"b{n}", "b"), 0.0)
    teams = [name[0] for name in place_tasks(scheduler)]
    assert (teams.count("a"), teams.count("b")) == (24, 8)


def test_usage_in_other_shards_counts_against_a_team():
    scheduler = make_scheduler(1)
    scheduler.set_fleet_usage({"a": 0.9}, 0.1)
    for n in range(8):
        scheduler.enqueue(make_task(f"a{n}", "a"), 0.0)
        scheduler.enqueue(make_task(f"b{n}", "b"), 0.0)
    assert all(name.startswith("b") for name in place_tasks(scheduler))


def test_earliest_deadline_first_within_a_team_and_late_work_is_dropped():
    scheduler = make_scheduler(1)
    for name, deadline in (("late", 300.0), ("soon", 100.0), ("missed", 5.0)):
        scheduler.enqueue(make_task(name, cpu=8000, deadline=deadline), 0.0)
    assert [task.task_id for task in scheduler.expire(10.0)] == ["missed"]
    assert list(place_tasks(scheduler, 10.0)) == ["soon"]


def test_full_queue_is_refused_early_with_a_time_to_retry():
    scheduler = make_scheduler()
    scheduler.set_policies({}, {"a": TeamPolicy(max_queued=2)})
    refusals = [scheduler.enqueue(make_task(f"t{n}"), 0.0) for n in range(3)]
    assert refusals[:2] == [None, None]
    assert refusals[2].kind is ErrorKind.QUEUE_FULL and refusals[2].retry_after_s


def test_team_at_its_limit_waits_without_blocking_others():
    scheduler = make_scheduler(places=1)
    for name, team in (("a1", "a"), ("a2", "a"), ("b1", "b")):
        scheduler.enqueue(make_task(name, team), 0.0)
    assert set(place_tasks(scheduler)) == {"a1", "b1"}
    assert scheduler.explain("a2", 1.0).reason is WaitReason.TEAM_LIMIT
    scheduler.task_ended("a1", True, 1.0)
    assert set(place_tasks(scheduler, 1.0)) == {"a2"}


def test_cancelled_work_never_runs():
    scheduler = make_scheduler()
    for n in range(100):
        scheduler.enqueue(make_task(f"t{n}"), 0.0)
    assert all(scheduler.cancel(f"t{n}") for n in range(100))
    assert not scheduler.cancel("t0")
    assert not place_tasks(scheduler) and not scheduler.queued_tasks


def test_replicas_of_a_service_are_spread_over_racks():
    scheduler = make_scheduler(6)
    for n in range(3):
        scheduler.enqueue(make_task(f"s{n}", kind=WorkKind.SERVICE, job_id="web"), 0.0)
    assert {int(worker[1:]) // 2 for worker in place_tasks(scheduler).values()} == {0, 1, 2}


def test_urgent_work_preempts_and_gets_the_freed_capacity():
    scheduler = make_scheduler()
    fill_workers(scheduler)
    scheduler.enqueue(make_task("u", "b", kind=WorkKind.REQUEST, urgency=Urgency.URGENT), 1.0)
    scheduler.enqueue(make_task("other", "c"), 1.0)
    assert not place_tasks(scheduler, 1.0)
    (preemption,) = scheduler.take_preemptions()
    assert (preemption.action, preemption.for_task_id) == (PreemptionAction.STOP, "u")
    assert scheduler.task_ended(preemption.task_id, False, 1.2, preempted=True) is Verdict.RETRY
    assert place_tasks(scheduler, 1.2)["u"] == preemption.worker


@pytest.mark.parametrize(
    "changes, policy",
    [
        ({"idempotent": False}, QueuePolicy()),
        ({}, QueuePolicy(preemption=PreemptionAction.NEVER)),
        ({"urgency": Urgency.URGENT}, QueuePolicy()),
    ],
)
def test_work_that_must_not_be_stopped_is_not_preempted(changes, policy):
    scheduler = make_scheduler(q=policy)
    fill_workers(scheduler, **changes)
    scheduler.enqueue(make_task("u", "b", urgency=Urgency.URGENT), 1.0)
    assert not place_tasks(scheduler, 1.0) and not scheduler.take_preemptions()


def test_throttled_task_leaves_processors_to_urgent_work():
    scheduler = make_scheduler(1, q=QueuePolicy(preemption=PreemptionAction.THROTTLE))
    fill_workers(scheduler)
    scheduler.enqueue(make_task("u", "b", urgency=Urgency.URGENT), 1.0)
    assert not place_tasks(scheduler, 1.0)
    (preemption,) = scheduler.take_preemptions()
    scheduler.task_throttled(preemption.task_id, preemption.cpu_milli)
    assert list(place_tasks(scheduler, 1.1)) == ["u"]


def test_gang_starts_whole_or_not_at_all():
    scheduler = make_scheduler()
    scheduler.enqueue(make_task("busy", cpu=8000), 0.0)
    place_tasks(scheduler)
    gang = [make_task(f"g{n}", "b", cpu=8000) for n in range(2)]
    assert scheduler.enqueue_gang("g", gang, 0.0) is None
    assert not place_tasks(scheduler, 0.2)
    scheduler.task_ended("busy", True, 1.0)
    assert set(place_tasks(scheduler, 1.0)) == {"g0", "g1"}


def test_gang_without_enough_places_acquires_none():
    scheduler = make_scheduler(places=2)
    scheduler.enqueue_gang("g", [make_task(f"g{n}") for n in range(3)], 0.0)
    scheduler.enqueue(make_task("t"), 0.0)
    assert list(place_tasks(scheduler)) == ["t"]
    assert scheduler.places.used["a"] == 1


def test_hold_waits_for_capacity_and_commits_all_tasks():
    scheduler = make_scheduler()
    fill_workers(scheduler)
    gang = [make_task(f"g{n}", "b", cpu=4000) for n in range(3)]
    first = scheduler.hold("g", gang, 1.0)
    assert isinstance(first, Hold) and not first.ready
    assert isinstance(scheduler.commit_hold("g", 1.0), Refusal)
    scheduler.task_ended("fill0", True, 2.0)
    scheduler.task_ended("fill1", True, 2.0)
    scheduler.enqueue(make_task("small", "c", expected_run_s=1e6), 2.0)
    assert scheduler.hold("g", gang, 2.0).ready
    assert {p.task.task_id for p in scheduler.commit_hold("g", 2.0)} == {"g0", "g1", "g2"}


def test_released_and_expired_holds_release_capacity_and_places():
    scheduler = make_scheduler(1)
    gang = [make_task(f"g{n}", "b") for n in range(8)]
    assert scheduler.hold("g", gang, 0.0).ready
    assert scheduler.places.used["b"] == 8
    assert scheduler.release_hold("g") and not scheduler.release_hold("g")
    assert scheduler.hold("h", gang, 0.0, expires_at=5.0).ready
    scheduler.enqueue(make_task("t", "c", cpu=8000), 1.0)
    assert not place_tasks(scheduler, 1.0)
    assert list(place_tasks(scheduler, 6.0)) == ["t"]
    assert scheduler.places.used["b"] == 0
    assert scheduler.commit_hold("h", 6.0).kind is ErrorKind.NOT_FOUND


def test_backfill_does_not_delay_a_reservation():
    scheduler = make_scheduler(1)
    scheduler.enqueue(make_task("half", cpu=4000, expected_run_s=50.0), 0.0)
    place_tasks(scheduler)
    hold = scheduler.hold("g", [make_task("g", "b", cpu=8000)], 0.0, expires_at=500.0)
    scheduler.enqueue(make_task("long", "c", expected_run_s=1e4), 0.0)
    scheduler.enqueue(make_task("fixed", "c", expected_run_s=2.0, idempotent=False), 0.0)
    scheduler.enqueue(make_task("short", "c", expected_run_s=2.0), 0.0)
    assert list(place_tasks(scheduler, 1.0)) == ["short"]
    scheduler.task_ended("half", True, 10.0)
    assert not place_tasks(scheduler, hold.start_at)
    assert [preemption.task_id for preemption in scheduler.take_preemptions()] == ["short"]


def test_large_task_is_not_starved_by_small_ones():
    scheduler = make_scheduler(1, q=QueuePolicy(reserve_after_s=10.0))
    running = []
    for n in range(8):
        scheduler.enqueue(make_task(f"s{n}", "b", expected_run_s=100.0), 0.0)
    running += place_tasks(scheduler)
    scheduler.enqueue(make_task("large", "a", cpu=8000), 0.0)
    rng, started = random.Random(1), False
    for step in range(1, 400):
        now = step * 0.5
        scheduler.enqueue(make_task(f"n{step}", "b", expected_run_s=100.0, submitted_at=now), now)
        scheduler.task_ended(running.pop(rng.randrange(len(running))), True, now)
        new = place_tasks(scheduler, now)
        started = "large" in new
        if started:
            break
        running += new
    assert started and now < 40.0


def test_explain_distinguishes_running_waiting_and_unknown_tasks():
    scheduler = make_scheduler(1)
    fill_workers(scheduler)
    scheduler.enqueue(make_task("t"), 0.0)
    place_tasks(scheduler)
    assert scheduler.explain("fill0", 1.0).reason is WaitReason.RUNNING
    assert scheduler.explain("t", 1.0).reason is WaitReason.CAPACITY
    assert scheduler.explain("none", 1.0).reason is WaitReason.NOT_FOUND


def test_tasks_that_fit_on_no_remaining_worker_are_refused():
    large = WorkerSpec("big", "127.0.0.1", 1, "r9", Resources(16000, 16000, 0, 8))
    scheduler = Scheduler.for_workers([*worker_specs(1), large], ConfirmingLedger("s", {"a": 9}))
    scheduler.enqueue(make_task("t", cpu=12000), 0.0)
    scheduler.set_workers(worker_specs(1))
    ((task, refusal),) = scheduler.take_refused()
    assert (task.task_id, refusal.kind) == ("t", ErrorKind.NEVER_FITS)


class SchedulerMachine(RuleBasedStateMachine):
    """Apply events in any order, and check that capacity, places and counts always agree."""

    def __init__(self):
        super().__init__()
        self.now, self.task_count = 0.0, 0
        self.scheduler = make_scheduler(3, places=9)

    def next_task_id(self):
        self.task_count += 1
        return f"t{self.task_count}"

    @rule(
        team=st.sampled_from("abc"),
        cpu=st.sampled_from([500, 2000, 8000]),
        members=st.sampled_from([1, 1, 1, 3]),
        kind=st.sampled_from(list(WorkKind)),
        urgent=st.booleans(),
    )
    def enqueue(self, team, cpu, members, kind, urgent):
        urgency = Urgency.URGENT if urgent else Urgency.NORMAL
        tasks = [
            make_task(
                self.next_task_id(), team, cpu, kind=kind, urgency=urgency, submitted_at=self.now
            )
            for _ in range(members)
        ]
        self.scheduler.enqueue_gang(tasks[0].task_id, tasks, self.now)

    @rule(step=st.sampled_from([0.01, 1.0, 40.0]))
    def place(self, step):
        self.now += step
        self.scheduler.expire(self.now)
        self.scheduler.next_batch(self.now)

    @rule(pick=st.randoms(use_true_random=False), ok=st.booleans(), memory=st.integers(1, 9000))
    def end(self, pick, ok, memory):
        if self.scheduler.running:
            name = pick.choice(sorted(self.scheduler.running))
            self.scheduler.task_ended(name, ok, self.now, Resources(700, memory))

    @rule(pick=st.randoms(use_true_random=False))
    def cancel(self, pick):
        if self.scheduler.queued_tasks:
            assert self.scheduler.cancel(pick.choice(sorted(self.scheduler.queued_tasks)))

    @rule(count=st.integers(1, 4))
    def hold(self, count):
        tasks = [make_task(self.next_task_id(), "b", 3000) for _ in range(count)]
        self.scheduler.hold(f"job{self.task_count}", tasks, self.now, self.now + 60.0)

    @rule(commit=st.booleans())
    def end_hold(self, commit):
        for job in [job for job in self.scheduler.reservations.by_job if job.startswith("job")]:
            self.scheduler.commit_hold(job, self.now) if commit else self.scheduler.release_hold(
                job
            )

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]), up=st.booleans())
    def change_worker(self, worker, up):
        self.scheduler.worker_up(worker) if up else self.scheduler.worker_down(worker)

    @invariant()
    def amounts_agree(self):
        scheduler, ready = self.scheduler, 0
        for reservation in scheduler.reservations.by_job.values():
            ready += (
                len(reservation.members)
                if reservation.job_id in scheduler._holds_with_places
                else 0
            )
        assert len(scheduler.places.running) == len(scheduler.running) + ready
        for worker in scheduler.index.workers.values():
            here = [r for r in scheduler.running.values() if r.worker is worker]
            assert sum(r.demand[0] for r in here) + worker.free[0] == worker.capacity[0]
            assert min(worker.free) >= 0 and {r.declared.task_id for r in here} == worker.task_ids
        waiting = scheduler.queued_tasks.keys()
        assert not waiting & scheduler.running.keys()
        assert sum(team.task_count for team in scheduler.queues.teams.values()) == len(waiting)


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
