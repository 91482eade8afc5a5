"""Test how long the tasks of a silent worker wait while owners change, in simulated time."""

import asyncio

import pytest

from baobabhoist.cell.workers import MAX_START_LATENESS_MS, lease_duration_ms
from baobabhoist.tests.cell_harness import LEASE_MS, MAX_LEASE_MS
from baobabhoist.tests.sessions_harness import World, move_session

OWNER_INTERVAL_S = 3.0
# Nothing may stand still for 3 s after 4 s of calm.
MAX_STANDSTILL_S = 7.0
LONGEST_WAIT_S = (MAX_START_LATENESS_MS + lease_duration_ms(MAX_LEASE_MS)) / 1000
LEASE_LAPSES_S = lease_duration_ms(LEASE_MS) / 1000
NEVER_S = 1e6
FAULTS_UNTIL_S = 25.0


async def lose_worker(world):
    """Let a worker end for good after starts that get no answer."""
    world.network.start_delays_s["w0"] = NEVER_S
    await asyncio.sleep(1.0)
    assert any(run.is_sent for run in world.owner.cell.state.workers["w0"].runs.values())
    world.workers["w0"].crash()


async def change_owners(world, until_s):
    while world.loop.time() < until_s:
        await asyncio.sleep(OWNER_INTERVAL_S)
        world.take_over()


def are_all_done(world):
    return world.count_unfinished() == 0


@pytest.mark.parametrize(
    ("is_listed", "bound_s"),
    [
        (True, LONGEST_WAIT_S + MAX_STANDSTILL_S),
        (False, LEASE_LAPSES_S + MAX_STANDSTILL_S),
    ],
    ids=["listed", "gone"],
)
@pytest.mark.parametrize("instance_count", [0, 3], ids=["own_sessions", "held_sessions"])
def test_the_tasks_of_a_lost_worker_run_elsewhere_although_owners_change_every_few_seconds(
    is_listed, bound_s, instance_count, monkeypatch
):
    """Guard against a task that stands still for ever: each new owner began its wait anew."""
    waits_s = []

    async def lose_and_change(world):
        lost_s = world.loop.time()
        await lose_worker(world)
        if not is_listed:
            world.unlist_worker("w0")
        changes = asyncio.create_task(change_owners(world, lost_s + 2 * bound_s))
        while not are_all_done(world) and world.loop.time() < lost_s + 2 * bound_s:
            await asyncio.sleep(0.1)
        waits_s.append(world.loop.time() - lost_s)
        changes.cancel()

    world = World(3, instance_count=instance_count)
    world.longest_runs_s = (0.5,)
    world.run(lose_and_change, 5.0, monkeypatch)
    assert waits_s[0] < bound_s
    assert not world.double_runs
    assert not world.short_leases


def test_a_worker_that_an_earlier_holder_may_go_on_extending_is_not_named(monkeypatch):
    """Guard against two runs of a task: its worker was named although a holder extended it."""
    is_named = []

    async def move_unheard(world):
        await asyncio.sleep(1.0)
        world.longest_runs_s = (12.0,)
        owner, source, target = world.owner, world.instances[0], world.instances[1]
        sessions = owner.pool._remote.items()
        worker_id = next(w for w, session in sessions if session.holder.node == source.node)
        # The source hears of the move late, and goes on under its permit.
        source.from_owner._last_s = world.loop.time() + 4.0
        move_session(owner.pool, worker_id, target.node, owner.cell.state.workers)
        for node in ("owner", *(i.node for i in world.instances if i is not source)):
            world.network.cut_until_s[node, worker_id] = world.loop.time() + 20.0
        await asyncio.sleep(3.0)
        is_suspended = owner.cell.state.workers[worker_id].lease.is_suspended
        is_named.append((is_suspended, owner.silent_workers.may_name(worker_id)))
        world.network.cut_until_s[source.node, worker_id] = world.loop.time() + 20.0
        await asyncio.sleep(3.0)
        is_named.append((is_suspended, owner.silent_workers.may_name(worker_id)))

    world = World(1, job_count=100)
    world.longest_runs_s = (12.0,)
    world.run(move_unheard, 20.0, monkeypatch)
    assert is_named == [(True, False), (True, True)]
    assert not world.short_leases


async def cut_worker(world):
    """Cut a worker off from all instances; it goes on under its lease."""
    worker_id = world.rng.choice(list(world.workers))
    world.network.cut_until_s[worker_id] = world.loop.time() + world.rng.uniform(0.5, 15.0)


async def cut_worker_from_owner(world):
    worker_id = world.rng.choice(list(world.workers))
    until_s = world.loop.time() + world.rng.uniform(0.5, 10.0)
    world.network.cut_until_s["owner", worker_id] = until_s


async def stall_link(world):
    node = world.rng.choice(world.instances).node
    world.network.stalled_until_s[node] = world.loop.time() + world.rng.uniform(0.1, 3.0)


async def take_over(world):
    world.take_over()


@pytest.mark.parametrize("instance_count", [0, 3], ids=["own_sessions", "held_sessions"])
@pytest.mark.parametrize("seed", range(12))
def test_owners_that_take_over_from_one_another_count_no_lease_of_a_cut_off_worker_too_short(
    seed, instance_count, monkeypatch
):
    """Guard against two runs of a task: a worker that an earlier owner named had been extended."""
    faults = [cut_worker, cut_worker_from_owner, take_over, take_over]
    if instance_count:
        faults.append(stall_link)

    async def run_faults(world):
        while world.loop.time() < FAULTS_UNTIL_S:
            await asyncio.sleep(world.rng.uniform(0.1, 1.5))
            world.network.spawn(world.rng.choice(faults)(world))

    world = World(seed, instance_count=instance_count, job_count=60)
    world.longest_runs_s = (1.0, 12.0)
    world.run(run_faults, 60.0, monkeypatch)
    assert not world.double_runs
    assert not world.short_leases
    assert not world.started_after_done
    assert are_all_done(world)
