"""Test the simulated adviser: its queue, its verdicts and its tickets."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter

import attrs
import pytest

from baobabhoist.platform.testing import soak_advice, soak_faults
from baobabhoist.platform.testing.soak_advice import PROFILES, AdvicePolicy, AdviserQueue
from baobabhoist.platform.testing.soak_bursts import BURSTS
from baobabhoist.platform.testing.soak_checker import WORKER_CAPACITY
from baobabhoist.platform.testing.soak_jobs import max_gang_resources
from baobabhoist.platform.testing.soak_load import Burst
from baobabhoist.platform.testing.soak_starvation import CALM_FAULTS, ROOM_FACTOR
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated

STEP = "a" * 15 + "2.0.0"
WORKERS = [f"w{number}" for number in range(1_000)]


def test_calls_of_one_machine_are_handled_in_turn() -> None:
    """Guard against an adviser that is never a bottleneck (issue 46)."""
    loop, ends_ms = SimulatedLoop(), []

    async def call(queue: AdviserQueue) -> None:
        await queue.process(0.4)
        ends_ms.append(round(loop.now_ms()))

    async def run() -> None:
        queue, other_machine = AdviserQueue(), AdviserQueue()
        await asyncio.gather(call(queue), call(queue), call(other_machine))

    run_simulated(loop, run())
    assert ends_ms == [400, 400, 800]


def test_adviser_refuses_further_calls_while_32_wait() -> None:
    """Guard against a queue in front of the adviser that never fills (issue 46)."""
    loop, is_full = SimulatedLoop(), []

    async def run() -> None:
        queue = AdviserQueue()
        calls = []
        for _ in range(34):
            is_full.append(queue.is_full)
            calls.append(asyncio.ensure_future(queue.process(0.1)))
            await asyncio.sleep(0)
        await asyncio.gather(*calls)

    run_simulated(loop, run())
    assert is_full == [False] * 33 + [True]


def test_verdicts_do_not_change_and_match_the_share() -> None:
    """Guard against room that is counted on workers that the adviser refuses (issue 46)."""
    policy = AdvicePolicy(0, 0, 2_000, 0.35)
    approved = soak_advice.approved_workers(policy, STEP, WORKERS)
    assert approved == soak_advice.approved_workers(policy, STEP, WORKERS)
    assert 300 < len(approved) < 400
    assert approved != soak_advice.approved_workers(policy, STEP[:-1] + "1", WORKERS)


def test_ticket_is_for_one_step_one_process_and_some_time() -> None:
    """Guard against starts that a worker accepts without a valid ticket (issue 46)."""
    ticket = soak_advice.issue_ticket(STEP, "w1", 17, 2_000)
    assert soak_advice.accepts_ticket(ticket, STEP, "w1", 17)
    assert not soak_advice.accepts_ticket(ticket, STEP[:-1] + "1", "w1", 17)
    assert not soak_advice.accepts_ticket(ticket, STEP, "w2", 17)
    assert not soak_advice.accepts_ticket(ticket, STEP, "w1", 18)
    assert not soak_advice.accepts_ticket("", STEP, "w1", 17)
    expired = soak_advice.issue_ticket(STEP, "w1", 17, 0)
    assert not soak_advice.accepts_ticket(expired, STEP, "w1", 17)


def test_deployed_profile_switches_on_what_is_deployed() -> None:
    """Guard against runs with another scheduling policy than that of the deployment (issue 46)."""
    profile = PROFILES["deployed"]
    assert profile.scheduling["advice_forecast"] and profile.scheduling["backfill"]
    assert set(profile.advice) == set(soak_advice.QUEUE_DIGITS)
    assert profile.policy_of("0" * 15 + "2") is profile.advice["gangs"]


def test_jobs_of_the_load_stay_within_their_bounds() -> None:
    """Guard against gangs that exceed the CPU or the memory they may need (issue 46)."""
    rng, load = random.Random(1), PROFILES["deployed"].load
    assert load is not None
    for _ in range(200):
        shape = load.shapes[load.draw_queue(rng)]
        for step in shape.draw_steps(rng, cpu_max=8_000, memory_mb_max=12_000):
            assert step["count"] * step["cpu"] <= 8_000 or not step.get("gang")
            assert step["count"] * step["memMb"] <= 12_000 or not step.get("gang")
            assert step["cpu"] <= shape.cpu.maximum
    assert sum(load.team_limits().values()) > 0


def test_no_gang_needs_more_workers_than_are_usually_approved() -> None:
    """Guard against a driver that draws ids without end for a gang of many MB (issue 46)."""
    rng, profile = random.Random(1), PROFILES["deployed"]
    load, policy = profile.load, profile.advice["gangs"]
    assert load is not None
    limit = max(load.team_limits().values())
    usual_count = policy.approved_share * profile.worker_count
    for _ in range(3_000):
        for step in load.shapes["gangs"].draw_steps(
            rng, *max_gang_resources(profile, "gangs", limit)
        ):
            places = min(
                WORKER_CAPACITY[resource] // step[resource] for resource in WORKER_CAPACITY
            )
            assert ROOM_FACTOR * step["count"] / places <= 1.5 * usual_count


def test_burst_raises_only_what_it_names() -> None:
    """Guard against bursts that raise the load of other queues or teams too (issue 46)."""
    load = PROFILES["deployed"].load
    assert load is not None
    quick, team = load.shapes["quick"].jobs_per_s, load.team_weights["team1"]
    assert load.jobs_per_s(Burst({"quick": 2.0})) == pytest.approx(load.jobs_per_s() + quick)
    share = team / sum(load.team_weights.values())
    hot = Burst(team_factors={"team1": 3.0})
    assert load.jobs_per_s(hot) == pytest.approx(load.jobs_per_s() * (1 + 2 * share))
    rng = random.Random(1)
    teams = Counter(load.draw_team(rng, hot) for _ in range(2_000))
    assert teams["team1"] / 2_000 == pytest.approx(3 * share / (1 + 2 * share), abs=0.04)
    queues = Counter(load.draw_queue(rng, Burst({"gangs": 0.0})) for _ in range(200))
    assert not queues["gangs"]


def test_bursts_disturb_nothing() -> None:
    """Guard against a finder that overlooks all that starves around a burst (issue 46)."""
    assert set(BURSTS) <= CALM_FAULTS


def test_calm_follows_each_fault() -> None:
    """Guard against schedules without calm spans, in which no job can be seen to starve."""
    schedule = soak_faults.schedule_faults(3, 200.0, ["kill", "stop"], calm_s=9.0)
    starts = sorted({fault.start_s for fault in schedule})
    for start_s, next_s in itertools.pairwise(starts):
        ends = [f.start_s + f.duration_s for f in schedule if f.start_s == start_s]
        assert next_s >= max(ends) + 9.0
    assert attrs.asdict(schedule[0]) == attrs.asdict(
        soak_faults.schedule_faults(3, 200.0, ["kill", "stop"])[0]
    )
