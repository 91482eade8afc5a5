"""Test the worker stand-in, on which the judgement of the guarantees rests."""

import asyncio
import json
import time

from baobabhoist.model import Resources, Task, WorkKind
from baobabhoist.ownership.tokens import Token
from baobabhoist.testing.event_log import EventLog
from baobabhoist.testing.worker import TASK_ID_RETENTION_S, FakeWorker
from baobabhoist.upstream.messages import (
    CheckpointTask,
    FenceWorker,
    QueryOutcome,
    RenewLeases,
    RunTask,
    StopTask,
    TaskEnded,
    TaskRefused,
    TokenRefused,
)

TOKEN = Token(1, 0, "a")
CAPACITY = Resources(4000, 4096, 0, 2)


def call(task_id, payload=b"x", cpu_milli=1000, lease_s=60.0, token=TOKEN):
    task = Task(
        task_id, "roster", "entries", WorkKind.REQUEST, Resources(cpu_milli, 10), 9e9, 0.0,
        payload=payload,
    )  # fmt: skip
    return RunTask(token, task, time.time() + lease_s)


async def fenced(**options):
    worker = FakeWorker("w1", CAPACITY, **options)
    await worker.handle(FenceWorker("s1", TOKEN))
    return worker


async def started(worker, *calls):
    tasks = [asyncio.ensure_future(worker.handle(c)) for c in calls]
    await asyncio.sleep(0)
    return tasks


def test_a_lower_token_has_no_effect():
    """Guard against a stand-in that runs work of a former owner."""

    async def scenario():
        worker = await fenced()
        assert isinstance(await worker.handle(call("t1", token=Token(0, 9, "z"))), TokenRefused)
        return worker.ended

    assert asyncio.run(scenario()) == {}


def test_work_beyond_the_capacity_is_refused_and_logged(tmp_path):
    """Guard against a stand-in that hides an owner which assigns too much."""

    async def scenario():
        worker = await fenced(run_s=60.0, events=EventLog(str(tmp_path / "log")))
        tasks = await started(worker, call("t1", cpu_milli=3000))
        refusal = await worker.handle(call("t2", cpu_milli=2000))
        for task in tasks:
            task.cancel()
        return refusal

    assert asyncio.run(scenario()) == TaskRefused("t2", "full")
    entries = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert [(e["event"], e.get("id"), e.get("reason")) for e in entries] == [
        ("up", None, None),
        ("fenced", None, None),
        ("started", "t1", None),
        ("refused", "t2", "full"),
    ]


def test_an_id_runs_once_while_it_is_remembered():
    """Guard against duplicates, and against a memory of ended ids that grows for ever."""

    async def scenario():
        worker = await fenced()
        assert isinstance(await worker.handle(call("t1")), TaskEnded)
        assert await worker.handle(call("t1")) == TaskRefused("t1", "duplicate")
        worker.tick(time.time() + TASK_ID_RETENTION_S / 2)
        assert "t1" in worker.ended
        worker.tick(time.time() + TASK_ID_RETENTION_S + 1)
        return worker.ended

    assert asyncio.run(scenario()) == {}


def test_an_id_reported_as_never_started_stays_so():
    """Guard against a start that is still on its way when its owner asks for the outcome."""

    async def scenario():
        worker = await fenced()
        report = await worker.handle(QueryOutcome(TOKEN, "t1"))
        return report.state, await worker.handle(call("t1"))

    assert asyncio.run(scenario()) == ("never", TaskRefused("t1", "void"))


def test_a_task_whose_lease_lapses_is_stopped_unless_renewed():
    """Guard against tasks that outlive their owner's lease, or die in spite of renewal."""

    async def scenario():
        worker = await fenced(run_s=60.0)
        (task,) = await started(worker, call("t1", lease_s=5.0))
        await worker.handle(RenewLeases(TOKEN, time.time() + 20.0))
        worker.tick(time.time() + 10.0)
        await asyncio.sleep(0)
        assert not task.done()
        worker.tick(time.time() + 21.0)
        return await task

    assert asyncio.run(scenario()) == TaskEnded("t1", False, b"lease", TOKEN)


def test_stop_and_checkpoint_end_a_running_task():
    """Guard against a preempted task that goes on using its resources."""

    async def scenario():
        worker = await fenced(run_s=60.0)
        tasks = await started(worker, call("t1"), call("t2"))
        assert (await worker.handle(StopTask(TOKEN, "t1"))).state == "running"
        await worker.handle(CheckpointTask(TOKEN, "t2"))
        ends = await asyncio.gather(*tasks)
        return [end.body for end in ends], (await worker.handle(QueryOutcome(TOKEN, "t1"))).state

    assert asyncio.run(scenario()) == ([b"stopped", b"checkpointed"], "ended")


def test_modes_change_how_tasks_fare():
    """Guard against a worker that fails everything being taken for a healthy one."""

    async def scenario():
        worker = await fenced()
        worker.set_mode("fail")
        failed = await worker.handle(call("t1"))
        worker.set_mode("hang")
        (task,) = await started(worker, call("t2"))
        running = list(worker.running)
        await worker.handle(StopTask(TOKEN, "t2"))
        await task
        return failed.succeeded, running

    assert asyncio.run(scenario()) == (False, ["t2"])
