"""Test sessions that other instances hold, under pauses, lost links and changes of the owner.

The judge looks at what workers and callers saw: no task runs twice at once, none runs again after
its end was acknowledged or its job was shown as completed, no order is sent twice, and all jobs
end once the faults are over. No owner expects a lease to end before it does.
"""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from baobabhoist.cell.model import CommandOutcome, StartTask, StopTask, TaskKey, WorkerReport
from baobabhoist.control.sessions.messages import (
    PermitQuery,
    SessionEvents,
    WorkerSilence,
    to_held_report,
)
from baobabhoist.control.sessions.permits import PERMIT_INTERVAL_S, PERMIT_VALID_MS
from baobabhoist.tests.cell_harness import MAX_LEASE_MS
from baobabhoist.tests.sessions_harness import World, move_session

RUN_S = 45.0
# Tasks that may have crashed their worker start one at a time.
RUN_S_AFTER_CRASHES = 120.0
FAULTS_UNTIL_S = 14.0
FAR_CLOCK_MS = 10_000_000


async def pause_node(world):
    """Suspend an instance; calls that it had begun are made late."""
    node = world.rng.choice(world.instances).node
    world.network.paused_until_s[node] = world.loop.time() + world.rng.uniform(0.3, 6.0)


async def stall_link(world):
    node = world.rng.choice(world.instances).node
    world.network.stalled_until_s[node] = world.loop.time() + world.rng.uniform(0.1, 3.0)


async def lose_link(world):
    instance = world.rng.choice(world.instances)
    instance.disconnect()
    await asyncio.sleep(world.rng.uniform(0.05, 2.0))
    instance.connect(world.owner)


async def lose_all_links(world):
    for instance in world.instances:
        instance.disconnect()
    await asyncio.sleep(world.rng.uniform(0.5, 2.5))
    for instance in world.instances:
        instance.connect(world.owner)


async def cut_worker_from_node(world):
    node, worker_id = world.rng.choice(world.instances).node, world.rng.choice(list(world.workers))
    until_s = world.loop.time() + world.rng.uniform(0.2, 6.0)
    world.network.cut_until_s[node, worker_id] = until_s


async def cut_worker(world):
    worker_id = world.rng.choice(list(world.workers))
    world.network.cut_until_s[worker_id] = world.loop.time() + world.rng.uniform(0.2, 7.0)


async def cut_data_centre(world):
    node = world.rng.choice(world.instances).node
    worker_ids = world.rng.sample(list(world.workers), 2)
    world.cut_off(node, worker_ids, world.loop.time() + world.rng.uniform(4.0, 8.0))


async def add_worker(world):
    world.add_worker(f"w{len(world.workers)}")


async def take_over(world):
    world.take_over()


async def restart_worker_before_its_starts(world):
    """Let starts reach the next process of a worker, seconds after they were sent."""
    worker_id = world.rng.choice(list(world.workers))
    world.network.start_delays_s[worker_id] = world.rng.uniform(2.0, 6.0)
    await asyncio.sleep(world.rng.uniform(0.5, 1.5))
    del world.network.start_delays_s[worker_id]
    world.workers[worker_id].crash()
    await asyncio.sleep(world.rng.uniform(0.2, 1.0))
    world.restart_worker(worker_id)


FAULTS = (
    pause_node,
    stall_link,
    lose_link,
    lose_all_links,
    cut_worker_from_node,
    cut_worker,
    cut_data_centre,
    add_worker,
    take_over,
)


async def run_faults(world):
    while world.loop.time() < FAULTS_UNTIL_S:
        await asyncio.sleep(world.rng.uniform(0.1, 1.5))
        world.network.spawn(world.rng.choice(FAULTS)(world))


async def run_calm(world):
    await asyncio.sleep(1.0)


def check(world):
    assert not world.double_runs
    assert not world.short_leases
    assert not world.started_after_done
    assert not world.sent_twice()
    assert world.count_unfinished() == 0


def test_holders_carry_all_commands_of_a_calm_cell(monkeypatch):
    """Guard against sessions that start nothing, or an owner that speaks with workers itself."""
    world = World(1)
    world.run(run_calm, RUN_S, monkeypatch)
    check(world)
    assert not world.owner.pool._local
    assert {s.holder.node for s in world.owner.pool._remote.values()} <= {"n0", "n1", "n2"}


def test_the_owner_without_holders_holds_the_sessions_itself(monkeypatch):
    """Guard against a cell that stands still because no instance is linked."""
    world = World(1, instance_count=0)
    world.run(run_calm, RUN_S, monkeypatch)
    check(world)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_one_kind_of_fault(fault, monkeypatch):
    """Guard against work that runs twice or never because of one fault, which comes again."""

    async def repeat(world):
        while world.loop.time() < FAULTS_UNTIL_S:
            await asyncio.sleep(world.rng.uniform(0.5, 2.0))
            world.network.spawn(fault(world))

    world = World(7)
    world.run(repeat, RUN_S, monkeypatch)
    check(world)


@pytest.mark.parametrize("seed", (4, 5, 7, 9, 10, 19, 315, 326, 424, 1001, 1130))
def test_late_starts_never_run_on_the_next_process_of_a_worker(seed, monkeypatch):
    """Guard against tasks that run twice because a restarted worker takes an earlier start."""

    async def repeat(world):
        while world.loop.time() < FAULTS_UNTIL_S:
            await asyncio.sleep(world.rng.uniform(0.5, 1.5))
            await restart_worker_before_its_starts(world)

    world = World(seed, job_count=60)
    world.run(repeat, RUN_S_AFTER_CRASHES, monkeypatch)
    check(world)


@pytest.mark.parametrize("token, is_later_owner", [(0, False), (1_000, True)])
def test_a_holder_that_knows_no_higher_token_shows_no_later_owner(
    token, is_later_owner, monkeypatch
):
    """Guard against an owner that gives up because a holder of an earlier release is refused."""
    world = World(1)

    async def refuse(world):
        await asyncio.sleep(1.0)
        session = next(iter(world.owner.pool._remote.values()))
        silence = WorkerSilence(session.number, 1, 0, CommandOutcome.FENCED.value, token)
        events = SessionEvents(session.holder.node, world.owner.token, silences=(silence,))
        world.owner.pool.handle_events(events)

    world.run(refuse, RUN_S, monkeypatch)
    assert world.owner.cell.is_fenced is is_later_owner


def test_the_result_of_a_moved_session_does_not_set_a_worker_clock(monkeypatch):
    """Guard against runs that start elsewhere while they work, after a result that came late."""
    world = World(1)
    clocks_ms = []

    async def answer_late(world):
        await asyncio.sleep(1.0)
        pool = world.owner.pool
        session = next(iter(pool._remote.values()))
        worker, holder = session.state, session.holder

        async def start_task(number, command):
            # Meanwhile the worker restarts, and its session moves.
            world.restart_worker(worker.worker_id)
            holder.link.closed = True
            pool._lose_holder(holder.node)
            await asyncio.sleep(1.0)
            return SimpleNamespace(outcome=CommandOutcome.OK, clock_ms=FAR_CLOCK_MS)

        monkeypatch.setattr(holder, "start_task", start_task)
        command = StartTask(worker.worker_id, TaskKey("f" * 16, 0, 0, 0), 1, "")
        await pool.start_task(command)
        clocks_ms.append(worker.lease.clock_ms)

    world.run(answer_late, RUN_S, monkeypatch)
    assert clocks_ms[0] < FAR_CLOCK_MS


@settings(
    max_examples=12,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(seed=st.integers(0, 1_000_000))
@example(seed=168)
def test_any_mix_of_faults(monkeypatch, seed):
    """Guard against a mix of faults after which work runs twice, or never."""
    world = World(seed)
    world.run(run_faults, RUN_S, monkeypatch)
    check(world)


def test_a_new_worker_that_is_cut_off_with_its_holder_runs_no_task_twice(monkeypatch):
    """Guard against a lease that is counted too short, since the holder had its permit before."""

    async def cut_off_new_worker(world):
        await asyncio.sleep(1.0)
        world.longest_runs_s = (12.0,)
        world.add_worker("new")
        while "new" not in world.owner.pool._remote:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        node = world.owner.pool._remote["new"].holder.node
        world.cut_off(node, ["new"], world.loop.time() + 12.0)

    world = World(1, job_count=200)
    world.run(cut_off_new_worker, 20.0, monkeypatch)
    assert not world.double_runs
    assert not world.short_leases


def test_a_holder_that_has_not_heard_of_a_move_extends_no_lease_unseen(monkeypatch):
    """Guard against a lease that an instance extends after its session was given to another."""

    async def move_unheard(world):
        await asyncio.sleep(1.0)
        pool, source, target = world.owner.pool, world.instances[0], world.instances[1]
        worker_id = next(w for w, s in pool._remote.items() if s.holder.node == source.node)
        # What the owner sends to the source arrives late; its queries and the replies don't.
        source.from_owner._last_s = world.loop.time() + 6.0
        state = world.owner.cell.state.workers[worker_id]
        move_session(pool, worker_id, target.node, world.owner.cell.state.workers)
        for node in ("owner", *(i.node for i in world.instances if i is not source)):
            world.network.cut_until_s[node, worker_id] = world.loop.time() + 12.0
        assert state.lease.extendable_until_ms > 0.0

    world = World(1)
    world.run(move_unheard, 20.0, monkeypatch)
    assert not world.short_leases


@pytest.mark.parametrize("is_local", [False, True])
def test_the_lease_of_a_worker_that_is_listed_again_counts_its_earlier_holder(
    is_local, monkeypatch
):
    """Guard against a lease that an earlier holder extends for a worker that was forgotten."""
    expiries_ms = []

    async def list_again(world):
        await asyncio.sleep(1.0)
        pool, cell, source = world.owner.pool, world.owner.cell, world.instances[0]
        worker_id = next(w for w, s in pool._remote.items() if s.holder.node == source.node)
        source.from_owner._last_s = world.loop.time() + 6.0
        cell.state.remove_worker(cell.state.workers[worker_id])
        pool.sync(cell.state.workers)
        cell.update_worker(world.workers[worker_id].info(), world.loop.now_ms())
        if is_local:
            pool._refusing_workers.add(worker_id)
        pool.sync(cell.state.workers)
        expiries_ms.append(cell.state.workers[worker_id].lease.extended_expiry_ms())
        # The next permit of the earlier holder counts as well.
        await asyncio.sleep(PERMIT_INTERVAL_S + 0.1)
        expiries_ms.append(cell.state.workers[worker_id].lease.extended_expiry_ms())
        for node in ("owner", *(i.node for i in world.instances if i is not source)):
            world.network.cut_until_s[node, worker_id] = world.loop.time() + 12.0

    world = World(1)
    world.run(list_again, 20.0, monkeypatch)
    assert not world.short_leases
    assert 0.0 < expiries_ms[0] < expiries_ms[1]


@pytest.mark.parametrize("is_moved", [False, True])
def test_a_permit_is_extended_while_an_assignment_is_on_its_way(is_moved, monkeypatch):
    """Guard against sessions that end because workers come and go faster than messages arrive."""
    permits = []

    async def change_workers(world):
        await asyncio.sleep(1.0)
        pool, workers = world.owner.pool, world.owner.cell.state.workers
        session = next(iter(pool._remote.values()))
        source, state = session.holder, session.state
        query = PermitQuery(source.node, world.owner.token, source._assignment_number)
        if is_moved:
            target = next(i.node for i in world.instances if i.node != source.node)
            move_session(pool, state.worker_id, target, workers)
        else:
            world.add_worker("new")
            pool.sync(workers)
        assert source._assignment_number > query.assignment
        reply = pool.handle_permit_query(query)
        is_counted = state.lease.extendable_until_ms >= world.loop.now_ms() + PERMIT_VALID_MS
        permits.append((reply.valid_ms, is_counted))

    World(1).run(change_workers, RUN_S, monkeypatch)
    assert permits == [(PERMIT_VALID_MS, True)]


def test_a_holder_that_has_not_heard_of_a_move_fences_no_other_session(monkeypatch):
    """Guard against an owner that gives up because of its own higher token."""

    async def move_unheard(world):
        await asyncio.sleep(1.0)
        pool, source, target = world.owner.pool, world.instances[0], world.instances[1]
        worker_id = next(w for w, s in pool._remote.items() if s.holder.node == source.node)
        source.from_owner._last_s = world.loop.time() + 3.0
        move_session(pool, worker_id, target.node, world.owner.cell.state.workers)
        await asyncio.sleep(0.5)
        world.restart_worker(worker_id)

    world = World(1)
    world.run(move_unheard, RUN_S, monkeypatch)
    assert not world.owner.cell.is_fenced
    check(world)


@pytest.mark.parametrize("earlier_count", [1, 3])
def test_workers_that_refuse_holders_of_an_earlier_release_are_served(earlier_count, monkeypatch):
    """Guard against workers that nobody reaches while releases are mixed.

    They have seen a higher token than the only one that such a holder uses.
    """

    async def lose_links(world):
        for instance in world.instances[:earlier_count]:
            instance.is_earlier_release = True
        await asyncio.sleep(0.5)
        await lose_all_links(world)

    world = World(1)
    world.run(lose_links, RUN_S, monkeypatch)
    assert not world.owner.cell.is_fenced
    check(world)


@pytest.mark.parametrize("knows_higher_tokens, is_later_owner", [(False, False), (True, True)])
def test_a_stop_through_a_holder_of_an_earlier_release_shows_no_later_owner(
    knows_higher_tokens, is_later_owner, monkeypatch
):
    """Guard against an owner that gives up because a stop under its claim's token is refused."""

    async def stop_refused(world):
        await asyncio.sleep(1.0)
        session = next(iter(world.owner.pool._remote.values()))
        instance = next(i for i in world.instances if i.node == session.holder.node)
        instance.is_earlier_release = not knows_higher_tokens
        world.workers[session.state.worker_id].token = 1_000_000
        command = StopTask(session.state.worker_id, TaskKey("f" * 16, 0, 0, 0), 1)
        world.owner.cell.handle_stop_result(
            command, await world.owner.pool.stop_task(command), world.loop.now_ms()
        )
        outcomes.append(world.owner.cell.is_fenced)

    outcomes = []
    World(1).run(stop_refused, 2.2, monkeypatch)
    assert outcomes == [is_later_owner]


def test_the_silence_of_an_earlier_process_sets_no_deadline_for_the_next(monkeypatch):
    """Guard against runs that are never given up, after news of a restart came in one message."""
    expiries_ms = []

    async def restart(world):
        await asyncio.sleep(1.0)
        session = next(iter(world.owner.pool._remote.values()))
        state, now = session.state, world.loop.now_ms()
        silence = WorkerSilence(
            session.number, 1, FAR_CLOCK_MS, "unknown", started_unix_ms=state.started_unix_ms
        )
        report = WorkerReport(100, state.started_unix_ms + 1_000, (), ())
        events = SessionEvents(
            session.holder.node,
            world.owner.token,
            reports=(to_held_report(session.number, report, now, 0),),
            silences=(silence,),
        )
        world.owner.pool.handle_events(events)
        expiries_ms.append(state.lease.expiry_ms() - now)

    World(1).run(restart, 2.2, monkeypatch)
    assert expiries_ms[0] < 2 * MAX_LEASE_MS
