"""Test the fake worker, whose log the soak checks the guarantees against."""

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


def make_run_task(task_id, payload=b"x", cpu_milli=1000, lease_s=60.0, token=TOKEN):
    task = Task(
        task_id, "roster", "entries", WorkKind.REQUEST, Resources(cpu_milli, 10), 9e9, 0.0,
        payload=payload,
    )  # fmt: skip
    return RunTask(token, task, time.time() + lease_s)


async def make_fenced_worker(**options):
    worker = FakeWorker("w1", CAPACITY, **options)
    await worker.handle(FenceWorker("s1", TOKEN))
    return worker


async def start_tasks(worker, *messages):
    tasks = [asyncio.ensure_future(worker.handle(message)) for message in messages]
    await asyncio.sleep(0)
    return tasks


def test_message_with_a_lower_token_has_no_effect():
    """Guard against a worker that runs tasks of a previous owner."""

    async def scenario():
        worker = await make_fenced_worker()
        assert isinstance(
            await worker.handle(make_run_task("t1", token=Token(0, 9, "z"))), TokenRefused
        )
        return worker.ended

    assert asyncio.run(scenario()) == {}


def test_task_beyond_the_capacity_is_refused_and_logged(tmp_path):
    """Guard against a worker that hides that its owner overcommits it."""

    async def scenario():
        worker = await make_fenced_worker(run_s=60.0, events=EventLog(str(tmp_path / "log")))
        tasks = await start_tasks(worker, make_run_task("t1", cpu_milli=3000))
        refusal = await worker.handle(make_run_task("t2", cpu_milli=2000))
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


def test_task_id_runs_once_within_the_retention_time():
    """Guard against duplicate runs, and against unbounded memory for ended ids."""

    async def scenario():
        worker = await make_fenced_worker()
        assert isinstance(await worker.handle(make_run_task("t1")), TaskEnded)
        assert await worker.handle(make_run_task("t1")) == TaskRefused("t1", "duplicate")
        worker.tick(time.time() + TASK_ID_RETENTION_S / 2)
        assert "t1" in worker.ended
        worker.tick(time.time() + TASK_ID_RETENTION_S + 1)
        return worker.ended

    assert asyncio.run(scenario()) == {}


def test_task_id_reported_as_never_run_is_rejected():
    """Guard against a task that starts after its owner was told that it never ran.

    Its start may still be in transit when the owner queries the outcome.
    """

    async def scenario():
        worker = await make_fenced_worker()
        report = await worker.handle(QueryOutcome(TOKEN, "t1"))
        return report.state, await worker.handle(make_run_task("t1"))

    assert asyncio.run(scenario()) == ("never", TaskRefused("t1", "void"))


def test_task_is_stopped_when_its_lease_expires():
    """Guard against tasks that outlive their lease, or that stop although it was renewed."""

    async def scenario():
        worker = await make_fenced_worker(run_s=60.0)
        (task,) = await start_tasks(worker, make_run_task("t1", lease_s=5.0))
        await worker.handle(RenewLeases(TOKEN, time.time() + 20.0))
        worker.tick(time.time() + 10.0)
        await asyncio.sleep(0)
        assert not task.done()
        worker.tick(time.time() + 21.0)
        return await task

    assert asyncio.run(scenario()) == TaskEnded("t1", False, b"lease", TOKEN)


def test_stop_and_checkpoint_end_a_running_task():
    """Guard against a preempted task that continues to use its resources."""

    async def scenario():
        worker = await make_fenced_worker(run_s=60.0)
        tasks = await start_tasks(worker, make_run_task("t1"), make_run_task("t2"))
        assert (await worker.handle(StopTask(TOKEN, "t1"))).state == "running"
        await worker.handle(CheckpointTask(TOKEN, "t2"))
        ends = await asyncio.gather(*tasks)
        return [end.body for end in ends], (await worker.handle(QueryOutcome(TOKEN, "t1"))).state

    assert asyncio.run(scenario()) == ([b"stopped", b"checkpointed"], "ended")


def test_modes_determine_how_tasks_end():
    """Guard against a worker whose tasks should all fail or hang, but which seems healthy."""

    async def scenario():
        worker = await make_fenced_worker()
        worker.set_mode("fail")
        failed = await worker.handle(make_run_task("t1"))
        worker.set_mode("hang")
        (task,) = await start_tasks(worker, make_run_task("t2"))
        running = list(worker.running)
        await worker.handle(StopTask(TOKEN, "t2"))
        await task
        return failed.succeeded, running

    assert asyncio.run(scenario()) == (False, ["t2"])
