"""Test for how long new jobs are expected to wait, and which of them are hopeless."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.admission import UPDATE_INTERVAL_MS
from baobabhoist.cell.congestion import GAP_MS, SUSTAINED_MS
from baobabhoist.cell.expected_waits import END_WAIT_MS
from baobabhoist.cell.load_meter import LoadMeter
from baobabhoist.cell.model import CellRules, Queue, Resources, Step, Team
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.observability.events import Event
from baobabhoist.tests.admission_harness import QUEUE, TICK_MS, URGENT_QUEUE, AdmissionHarness
from baobabhoist.tests.cell_harness import SMALL, CellHarness

SURGE_MS = 8_000.0
GPU_WORKER = Resources(4000, 4096, 1)


def surge(harness, team="hot", tasks=8, expected_ms=1000):
    """Return a load: a team sends so many tasks every half second; its limit ends 4 a second."""

    def load():
        if harness.cell_harness.now % 500.0 == 0.0:
            harness.submit(team, Step(tasks, SMALL, expected_ms))

    return load


def test_hot_team_at_its_limit_with_more_waiting_than_can_end_in_time():
    """Guard against accepted jobs that wait behind a surge of their team until worthless."""
    harness = AdmissionHarness()
    harness.play(SURGE_MS, surge(harness))
    assert harness.is_hopeless("hot")
    wait = harness.rows[0]
    assert (wait.team, wait.shortage, wait.cpu_rate) == ("hot", "team_limit", 4000.0)
    # 16 tasks a second arrive for 8 s. Each of the 4 cores ends one in a second and two ticks.
    assert 10_000.0 < wait.late_ms < (8 * 16 / 4 - 8) * 1000.0 + 2 * 32 * TICK_MS


def test_steady_team_beside_a_hot_one_is_never_refused():
    """Guard against a surge that is paid for by teams that did not cause it."""
    harness = AdmissionHarness()

    hot, steady = surge(harness), surge(harness, "steady", tasks=1)

    def load():
        hot()
        steady()
        assert not harness.is_hopeless("steady")

    harness.play(2 * SURGE_MS, load)
    assert harness.is_hopeless("hot")


def test_urgent_jobs_of_a_hot_team_are_accepted_while_others_are_refused():
    """Guard against urgent jobs that are refused for the sake of jobs that rank after them."""
    harness = AdmissionHarness()
    harness.play(SURGE_MS, surge(harness))
    assert harness.is_hopeless("hot")
    assert not harness.is_hopeless("hot", queue=URGENT_QUEUE)


def test_patient_jobs_are_accepted_while_hasty_ones_are_refused():
    """Guard against refusing a long job that would still end in time."""
    harness = AdmissionHarness()
    harness.play(SURGE_MS, surge(harness))
    assert harness.is_hopeless("hot")
    assert not harness.is_hopeless("hot", Step(1, SMALL, 10_000))


def test_full_cell_with_expired_backlog_refuses_nothing_for_it():
    """Guard against refusals for the sake of work that is worthless and gives way to new jobs."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    harness.submit("hot", Step(400, SMALL, 1000))

    def load():
        assert not harness.is_hopeless("steady")

    harness.play(12_000.0, load)
    assert harness.cell_harness.cell.count_queued_tasks()["q"] > 150


def test_full_service_refuses_jobs_of_all_teams_that_cannot_end_in_time():
    """Guard against accepting jobs for days when every worker is full of better ranked work."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    harness.play(SURGE_MS, surge(harness, "a", tasks=32))
    assert {row.shortage for row in harness.rows} == {"service_full"}
    assert harness.is_hopeless("a")
    assert harness.is_hopeless("b")
    assert not harness.is_hopeless("b", queue=URGENT_QUEUE)


def test_a_backlog_right_after_a_takeover_refuses_nothing():
    """Guard against refusals on figures that a new owner has not had time to measure."""
    harness = AdmissionHarness()
    harness.submit("hot", Step(100, SMALL, 1000))
    harness.play(SUSTAINED_MS - UPDATE_INTERVAL_MS)
    assert not harness.rows


def test_a_gang_that_no_limit_allows_does_not_refuse_others():
    """Guard against one hopeless job that makes its whole team look congested."""
    harness = AdmissionHarness()
    harness.submit("hot", Step(100, SMALL, 1000, gang=True))
    harness.play(5_000.0)
    assert not harness.rows


def test_congestion_has_hysteresis_and_is_logged_once(fields_of):
    """Guard against refusals that flap, and against a log line at each update."""
    harness = AdmissionHarness()
    harness.play(SURGE_MS, surge(harness))
    harness.play(30_000.0 + GAP_MS)
    assert not harness.rows
    for event in (Event.LONG_WAIT_BEGAN, Event.LONG_WAIT_ENDED):
        assert sorted(fields["priority"] for fields in fields_of(event)) == [0, 1]


def test_tasks_that_fill_spare_cores_are_accepted_while_all_cores_are_allocated():
    """Guard against refusing tasks that need no allocated core for want of cores."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    harness.play(SURGE_MS, surge(harness, "a", tasks=32))
    assert harness.is_hopeless("b")
    assert not harness.is_hopeless("b", Step(1, SMALL, 1000, fills=True))


class FakeEntitlement:
    """Regard all jobs of the team "greedy" as beyond its entitlement."""

    def is_beyond_entitlement(self, job):
        return job.accepted.team == "greedy"

    def has_entitlement_left(self, team, accepted_ms):
        return team != "greedy"


def test_team_beyond_its_share_is_refused_first_while_the_cell_is_full():
    """Guard against entitled teams that are refused for the surge of one beyond its share."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    harness.control.entitlement = FakeEntitlement()
    harness.play(SURGE_MS, surge(harness, "greedy", tasks=32))
    assert harness.is_hopeless("greedy")
    assert not harness.is_hopeless("steady")


def test_without_the_policy_nothing_is_computed():
    """Guard against refusals in deployments that have not asked for them."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.policy = DEFAULT_POLICY
    harness.play(SURGE_MS, surge(harness))
    assert not harness.rows


@settings(max_examples=30, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["hot", "steady"]), st.integers(1, 60), st.integers(100, 2_000)),
        max_size=8,
    )
)
def test_team_under_its_limit_in_a_cell_with_room_is_never_refused(jobs):
    """Guard against a refusal of any job that could start at once, under any load."""
    harness = AdmissionHarness()
    state = harness.cell_harness.cell.state

    def check():
        used = sum(worker.used.cpu for worker in state.workers.values())
        for name, team in state.rules.teams.items():
            waits = any(s.job.accepted.team == name for s in state.ready_steps.values())
            if used < 12_000 and not waits and state.team_usage[name].cpu < team.limit.cpu:
                harness.control.update(harness.cell_harness.now + UPDATE_INTERVAL_MS)
                assert not harness.is_hopeless(name)

    for team, tasks, expected_ms in jobs:
        harness.submit(team, Step(tasks, SMALL, expected_ms))
        harness.play(1_000.0, check)
    assert all(row.late_ms >= END_WAIT_MS for row in harness.rows)


def test_steady_team_beside_a_hot_one_at_its_limit_in_a_full_cell_is_never_refused():
    """Guard against a team that is refused for work that the limit of another holds back."""
    harness = AdmissionHarness()
    hot, others = surge(harness, tasks=16), surge(harness, "others", tasks=7)

    def load():
        hot()
        others()
        assert not harness.is_hopeless("steady")

    harness.play(2 * SURGE_MS, load)
    assert harness.is_hopeless("hot")


def test_jobs_without_gpus_are_accepted_while_only_gpus_are_short():
    """Guard against refusing jobs that would start at once beside a backlog for GPUs."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    for worker in harness.cell_harness.workers.values():
        worker.capacity = GPU_WORKER
    harness.cell_harness.start_ownership()
    harness.cell_harness.cell.state.policy = SchedulingPolicy(refuses_hopeless_jobs=True)
    harness.cell_harness.cell.state.rules.teams.clear()
    gpu_task = Resources(100, 1, 1)

    def load():
        if harness.cell_harness.now % 500.0 == 0.0:
            harness.submit("hot", Step(8, gpu_task, 1000))

    harness.play(SURGE_MS, load)
    assert harness.is_hopeless("hot", Step(1, gpu_task, 1000))
    assert not harness.is_hopeless("hot")


@pytest.mark.parametrize("label", ["rare", "other"])
def test_work_for_a_few_labelled_workers_or_none_refuses_no_other_jobs(label):
    """Guard against refusals for work that cannot run on the workers that others use."""
    harness = AdmissionHarness()
    harness.cell_harness.workers["w0"].labels += (label,)
    harness.cell_harness.start_ownership()
    harness.cell_harness.cell.state.policy = SchedulingPolicy(refuses_hopeless_jobs=True)
    harness.cell_harness.cell.state.rules.teams.clear()
    busy = surge(harness, "others", tasks=8)

    def load():
        busy()
        if harness.cell_harness.now % 500.0 == 0.0:
            harness.submit("hot", Step(32, SMALL, 1000, label="rare"))
        assert not harness.is_hopeless("steady")

    harness.play(2 * SURGE_MS, load)


def test_hasty_jobs_are_accepted_beside_patient_ones_that_rank_after_them():
    """Guard against refusing short jobs for patient ones, which can wait and are served later."""
    harness = AdmissionHarness()
    chain = [Step(10, SMALL, 1000, after=(n - 1,) if n else ()) for n in range(8)]
    for _ in range(16):
        harness.submit("hot", *chain)
    harness.play(4_000.0)
    assert harness.rows
    assert not harness.is_hopeless("hot")


def test_an_error_outside_the_steps_ends_no_owner_and_withdraws_the_figures(monkeypatch):
    """Guard against figures that are only advice and end each owner in turn, or stay for good."""
    harness = AdmissionHarness()
    harness.play(SURGE_MS, surge(harness))
    assert harness.rows
    monkeypatch.setattr(LoadMeter, "_measure_services", lambda *_: 1 / 0)
    harness.play(UPDATE_INTERVAL_MS)
    assert not harness.rows
    monkeypatch.undo()
    harness.play(SUSTAINED_MS + UPDATE_INTERVAL_MS)
    assert harness.rows


class CountedQueues(dict):
    """Count how often all queues are gone through."""

    passes = 0

    def values(self):
        self.passes += 1
        return super().values()


def test_the_queues_are_not_gone_through_for_each_team_at_its_limit():
    """Guard against an owner that takes longer with each queue, also with those without jobs."""
    queues = CountedQueues({"q": QUEUE} | {f"q{n}": Queue(f"q{n}", "svc") for n in range(50)})
    teams = {name: Team(name, 1.0, Resources(1000, 0, 0)) for name in ("a", "b", "c", "d")}
    harness = AdmissionHarness(CellHarness.with_workers(4, CellRules(1, queues, teams)))
    loads = [surge(harness, name) for name in teams]
    harness.play(2 * SURGE_MS, lambda: [load() for load in loads])
    assert {row.team for row in harness.rows} == set(teams)
    assert queues.passes <= 2


def test_work_of_a_service_that_has_no_queue_any_more_does_not_end_the_figures(caplog):
    """Guard against a removed queue whose waiting jobs leave all teams without expected waits."""
    harness = AdmissionHarness()
    harness.cell_harness.cell.state.rules.teams.clear()
    harness.play(SURGE_MS, surge(harness, "a", tasks=32))
    harness.cell_harness.cell.set_rules(CellRules(2, {}, {}))
    harness.play(2 * UPDATE_INTERVAL_MS)
    assert harness.cell_harness.cell.count_queued_tasks()
    assert not harness.rows
    assert "computing the expected waits" not in caplog.text
