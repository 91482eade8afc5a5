"""Drive the scheduler as an owner does, and check what a wrong decision would break."""

import random

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from baobabhoist.errors import ErrorKind, InvariantBreachError, Refusal
from baobabhoist.model import Outcome, Resources, RunningTask, Task, Urgency, WorkerSpec, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy, TeamPolicy
from baobabhoist.scheduling.results import Hold, Verdict, WaitReason
from baobabhoist.scheduling.scheduler import Scheduler

SIZE = Resources(8000, 8000, 0, 8)


class Places(QuotaLedger):
    """Confirm every end, as an owner does whose worker reports it."""

    def release(self, task_id, confirmed=True):
        super().release(task_id, True)


def specs(count, per_rack=2, size=SIZE):
    return [WorkerSpec(f"w{n}", "127.0.0.1", 1, f"r{n // per_rack}", size) for n in range(count)]


def scheduler(workers=2, places=1000, **queues):
    made = Scheduler.for_workers(specs(workers), Places("s", dict.fromkeys("abc", places)))
    for n in range(workers):
        made.worker_up(f"w{n}")
    made.set_policies(queues, {})
    return made


def task(name, team="a", cpu=1000, **changes):
    made = Task(name, team, "q", WorkKind.BATCH, Resources(cpu, 1000), 1e9, 0.0, True)
    return attrs.evolve(made, **changes)


def placed(made, now=0.0):
    return {placement.task.task_id: placement.worker for placement in made.next_batch(now, 1000)}


def fill(made, now=0.0, **changes):
    """Fill every worker with tasks of the whole size."""
    for n in range(len(made.index.workers)):
        assert made.enqueue(task(f"fill{n}", cpu=8000, **changes), now) is None
    return placed(made, now)


def test_task_larger_than_every_worker_is_refused_at_once():
    refusal = scheduler().enqueue(task("t", cpu=8001), 0.0)
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NEVER_FITS, Outcome.NOT_RUN)


def test_no_second_placement_and_no_second_end():
    made = scheduler()
    made.enqueue(task("t"), 0.0)
    with pytest.raises(InvariantBreachError):
        made.enqueue(task("t"), 0.0)
    assert list(placed(made)) == ["t"]
    made.task_ended("t", True, 1.0)
    with pytest.raises(InvariantBreachError):
        made.task_ended("t", True, 1.0)


@pytest.mark.parametrize("stop", ["worker_down", "worker_leaving"])
def test_worker_that_is_down_or_leaving_gets_nothing_new(stop):
    made = scheduler()
    getattr(made, stop)("w0")
    for n in range(4):
        made.enqueue(task(f"t{n}"), 0.0)
    assert set(placed(made).values()) == {"w1"}


def test_adopted_tasks_take_capacity_but_no_place():
    made = Scheduler.for_workers(specs(1), Places("s", {"a": 1}))
    made.adopt("w0", [RunningTask("old", "a", Resources(8000, 1000))], 0.0)
    made.worker_up("w0")
    made.enqueue(task("t"), 0.0)
    assert not placed(made)
    made.task_ended("old", True, 1.0)
    assert list(placed(made, 1.0)) == ["t"]


def test_full_owner_serves_teams_by_weight():
    made = scheduler(4)
    made.set_policies({}, {"a": TeamPolicy(weight=3.0), "b": TeamPolicy(weight=1.0)})
    for n in range(64):
        made.enqueue(task(f"a{n}", "a"), 0.0)
        made.enqueue(task(f"b{n}", "b"), 0.0)
    teams = [name[0] for name in placed(made)]
    assert (teams.count("a"), teams.count("b")) == (24, 8)


def test_usage_elsewhere_counts_against_a_team():
    made = scheduler(1)
    made.set_fleet_usage({"a": 0.9}, 0.1)
    for n in range(8):
        made.enqueue(task(f"a{n}", "a"), 0.0)
        made.enqueue(task(f"b{n}", "b"), 0.0)
    assert all(name.startswith("b") for name in placed(made))


def test_earliest_deadline_first_within_a_team_and_late_work_is_dropped():
    made = scheduler(1)
    for name, deadline in (("late", 300.0), ("soon", 100.0), ("missed", 5.0)):
        made.enqueue(task(name, cpu=8000, deadline=deadline), 0.0)
    assert [gone.task_id for gone in made.expire(10.0)] == ["missed"]
    assert list(placed(made, 10.0)) == ["soon"]


def test_full_queue_is_refused_early_with_a_time_to_retry():
    made = scheduler()
    made.set_policies({}, {"a": TeamPolicy(max_queued=2)})
    refusals = [made.enqueue(task(f"t{n}"), 0.0) for n in range(3)]
    assert refusals[:2] == [None, None]
    assert refusals[2].kind is ErrorKind.QUEUE_FULL and refusals[2].retry_after_s


def test_team_at_its_limit_waits_without_blocking_others():
    made = scheduler(places=1)
    for name, team in (("a1", "a"), ("a2", "a"), ("b1", "b")):
        made.enqueue(task(name, team), 0.0)
    assert set(placed(made)) == {"a1", "b1"}
    assert made.explain("a2", 1.0).reason is WaitReason.TEAM_LIMIT
    made.task_ended("a1", True, 1.0)
    assert set(placed(made, 1.0)) == {"a2"}


def test_cancelled_work_never_runs():
    made = scheduler()
    for n in range(100):
        made.enqueue(task(f"t{n}"), 0.0)
    assert all(made.cancel(f"t{n}") for n in range(100))
    assert not made.cancel("t0")
    assert not placed(made) and not made.queued_tasks


def test_replicas_of_a_service_are_spread_over_racks():
    made = scheduler(6)
    for n in range(3):
        made.enqueue(task(f"s{n}", kind=WorkKind.SERVICE, job_id="web"), 0.0)
    assert {int(worker[1:]) // 2 for worker in placed(made).values()} == {0, 1, 2}


def test_urgent_work_preempts_and_gets_the_room_it_made():
    made = scheduler()
    fill(made)
    made.enqueue(task("u", "b", kind=WorkKind.REQUEST, urgency=Urgency.URGENT), 1.0)
    made.enqueue(task("other", "c"), 1.0)
    assert not placed(made, 1.0)
    (wanted,) = made.take_preemptions()
    assert (wanted.action, wanted.for_task_id) == (PreemptionAction.STOP, "u")
    assert made.task_ended(wanted.task_id, False, 1.2, preempted=True) is Verdict.RETRY
    assert placed(made, 1.2)["u"] == wanted.worker


@pytest.mark.parametrize(
    "changes, policy",
    [
        ({"idempotent": False}, QueuePolicy()),
        ({}, QueuePolicy(preemption=PreemptionAction.NEVER)),
        ({"urgency": Urgency.URGENT}, QueuePolicy()),
    ],
)
def test_work_that_must_not_be_stopped_is_not_preempted(changes, policy):
    made = scheduler(q=policy)
    fill(made, **changes)
    made.enqueue(task("u", "b", urgency=Urgency.URGENT), 1.0)
    assert not placed(made, 1.0) and not made.take_preemptions()


def test_throttled_task_leaves_processors_to_urgent_work():
    made = scheduler(1, q=QueuePolicy(preemption=PreemptionAction.THROTTLE))
    fill(made)
    made.enqueue(task("u", "b", urgency=Urgency.URGENT), 1.0)
    assert not placed(made, 1.0)
    (wanted,) = made.take_preemptions()
    made.task_throttled(wanted.task_id, wanted.cpu_milli)
    assert list(placed(made, 1.1)) == ["u"]


def test_gang_starts_whole_or_not_at_all():
    made = scheduler()
    made.enqueue(task("busy", cpu=8000), 0.0)
    placed(made)
    gang = [task(f"g{n}", "b", cpu=8000) for n in range(2)]
    assert made.enqueue_gang("g", gang, 0.0) is None
    assert not placed(made, 0.2)
    made.task_ended("busy", True, 1.0)
    assert set(placed(made, 1.0)) == {"g0", "g1"}


def test_gang_without_enough_places_takes_none():
    made = scheduler(places=2)
    made.enqueue_gang("g", [task(f"g{n}") for n in range(3)], 0.0)
    made.enqueue(task("t"), 0.0)
    assert list(placed(made)) == ["t"]
    assert made.places.used["a"] == 1


def test_hold_collects_capacity_and_commits_as_a_whole():
    made = scheduler()
    fill(made)
    gang = [task(f"g{n}", "b", cpu=4000) for n in range(3)]
    first = made.hold("g", gang, 1.0)
    assert isinstance(first, Hold) and not first.ready
    assert isinstance(made.commit_hold("g", 1.0), Refusal)
    made.task_ended("fill0", True, 2.0)
    made.task_ended("fill1", True, 2.0)
    made.enqueue(task("small", "c", expected_run_s=1e6), 2.0)
    assert made.hold("g", gang, 2.0).ready
    assert {p.task.task_id for p in made.commit_hold("g", 2.0)} == {"g0", "g1", "g2"}


def test_released_and_expired_holds_give_everything_back():
    made = scheduler(1)
    gang = [task(f"g{n}", "b") for n in range(8)]
    assert made.hold("g", gang, 0.0).ready
    assert made.places.used["b"] == 8
    assert made.release_hold("g") and not made.release_hold("g")
    assert made.hold("h", gang, 0.0, expires_at=5.0).ready
    made.enqueue(task("t", "c", cpu=8000), 1.0)
    assert not placed(made, 1.0)
    assert list(placed(made, 6.0)) == ["t"]
    assert made.places.used["b"] == 0
    assert made.commit_hold("h", 6.0).kind is ErrorKind.NOT_FOUND


def test_backfill_never_delays_a_held_start():
    made = scheduler(1)
    made.enqueue(task("half", cpu=4000, expected_run_s=50.0), 0.0)
    placed(made)
    held = made.hold("g", [task("g", "b", cpu=8000)], 0.0, expires_at=500.0)
    made.enqueue(task("long", "c", expected_run_s=1e4), 0.0)
    made.enqueue(task("fixed", "c", expected_run_s=2.0, idempotent=False), 0.0)
    made.enqueue(task("short", "c", expected_run_s=2.0), 0.0)
    assert list(placed(made, 1.0)) == ["short"]
    made.task_ended("half", True, 10.0)
    assert not placed(made, held.start_at)
    assert [wanted.task_id for wanted in made.take_preemptions()] == ["short"]


def test_large_task_is_not_starved_by_small_ones():
    made = scheduler(1, q=QueuePolicy(reserve_after_s=10.0))
    running = []
    for n in range(8):
        made.enqueue(task(f"s{n}", "b", expected_run_s=100.0), 0.0)
    running += placed(made)
    made.enqueue(task("large", "a", cpu=8000), 0.0)
    rng, started = random.Random(1), False
    for step in range(1, 400):
        now = step * 0.5
        made.enqueue(task(f"n{step}", "b", expected_run_s=100.0, submitted_at=now), now)
        made.task_ended(running.pop(rng.randrange(len(running))), True, now)
        new = placed(made, now)
        started = "large" in new
        if started:
            break
        running += new
    assert started and now < 40.0


def test_explain_names_capacity_hold_and_absence():
    made = scheduler(1)
    fill(made)
    made.enqueue(task("t"), 0.0)
    placed(made)
    assert made.explain("fill0", 1.0).reason is WaitReason.RUNNING
    assert made.explain("t", 1.0).reason is WaitReason.CAPACITY
    assert made.explain("none", 1.0).reason is WaitReason.NOT_FOUND


def test_removed_worker_gives_up_what_fits_nowhere_else():
    large = WorkerSpec("big", "127.0.0.1", 1, "r9", Resources(16000, 16000, 0, 8))
    made = Scheduler.for_workers([*specs(1), large], Places("s", {"a": 9}))
    made.enqueue(task("t", cpu=12000), 0.0)
    made.set_workers(specs(1))
    ((gone, refusal),) = made.take_refused()
    assert (gone.task_id, refusal.kind) == ("t", ErrorKind.NEVER_FITS)


class SchedulerMachine(RuleBasedStateMachine):
    """Apply any order of events; capacity, places and counts must always agree."""

    def __init__(self):
        super().__init__()
        self.now, self.names = 0.0, 0
        self.made = scheduler(3, places=9)

    def name(self):
        self.names += 1
        return f"t{self.names}"

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
            task(self.name(), team, cpu, kind=kind, urgency=urgency, submitted_at=self.now)
            for _ in range(members)
        ]
        self.made.enqueue_gang(tasks[0].task_id, tasks, self.now)

    @rule(step=st.sampled_from([0.01, 1.0, 40.0]))
    def place(self, step):
        self.now += step
        self.made.expire(self.now)
        self.made.next_batch(self.now)

    @rule(pick=st.randoms(use_true_random=False), ok=st.booleans(), memory=st.integers(1, 9000))
    def end(self, pick, ok, memory):
        if self.made.running:
            name = pick.choice(sorted(self.made.running))
            self.made.task_ended(name, ok, self.now, Resources(700, memory))

    @rule(pick=st.randoms(use_true_random=False))
    def cancel(self, pick):
        if self.made.queued_tasks:
            assert self.made.cancel(pick.choice(sorted(self.made.queued_tasks)))

    @rule(count=st.integers(1, 4))
    def hold(self, count):
        tasks = [task(self.name(), "b", 3000) for _ in range(count)]
        self.made.hold(f"job{self.names}", tasks, self.now, self.now + 60.0)

    @rule(commit=st.booleans())
    def end_hold(self, commit):
        for job in [job for job in self.made.reservations.by_job if job.startswith("job")]:
            self.made.commit_hold(job, self.now) if commit else self.made.release_hold(job)

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]), up=st.booleans())
    def change_worker(self, worker, up):
        self.made.worker_up(worker) if up else self.made.worker_down(worker)

    @invariant()
    def amounts_agree(self):
        made, ready = self.made, 0
        for found in made.reservations.by_job.values():
            ready += len(found.members) if found.job_id in made._placed_holds else 0
        assert len(made.places.running) == len(made.running) + ready
        for worker in made.index.workers.values():
            here = [r for r in made.running.values() if r.worker is worker]
            assert sum(r.need[0] for r in here) + worker.free[0] == worker.capacity[0]
            assert min(worker.free) >= 0 and {r.declared.task_id for r in here} == worker.tasks
        waiting = made.queued_tasks.keys()
        assert not waiting & made.running.keys()
        assert sum(line.queued for line in made.queues.teams.values()) == len(waiting)


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
