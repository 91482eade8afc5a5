"""Test the coordinator of jobs against shards and a table that fail."""

import asyncio
from collections import defaultdict

import pytest

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.jobs import coordinator
from baobabhoist.jobs.coordinator import JobCoordinator
from baobabhoist.jobs.messages import HoldReply, TasksReport
from baobabhoist.jobs.rows import job_key, job_to_row, progress_key, unfinished_job_key
from baobabhoist.jobs.state import JobRun
from baobabhoist.model import Answer, JobSpec, JobState, Resources, TaskSpec, WorkKind
from baobabhoist.store.table import Committed, Row

SHARDS = ("rack-1", "rack-2")
GIVE_UP_S = 10.0


class FakeTable:
    def __init__(self):
        self.rows = {}
        self.down = False
        self.answers = asyncio.Event()
        self.answers.set()

    def _check_up(self):
        if self.down:
            raise PlatformError("the table is down")

    async def read(self, key):
        self._check_up()
        return Row(key, *self.rows.get(key, (0, None)))

    async def scan(self, prefix, after="", limit=1000):
        self._check_up()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.rows[key]) for key in keys[:limit]]

    async def commit(self, txn):
        await self.answers.wait()
        self._check_up()
        for key, revision in txn.checks.items():
            if self.rows.get(key, (0, None))[0] != revision:
                return Refusal(ErrorKind.CONFLICT, key)
        for key, value in txn.writes.items():
            self.rows[key] = (self.rows.get(key, (0, None))[0] + 1, value)
        return Committed({key: self.rows[key][0] for key in txn.writes})


class FakeShards:
    def __init__(self, room=4):
        self.room = dict.fromkeys(SHARDS, room)
        self.held = defaultdict(dict)
        self.ran = []
        self.cancelled = set()
        self.released = []
        self.refuse_commit = set()
        self.finish = asyncio.Event()

    async def run_task(self, req):
        self.ran.append((req.shard, req.request_id))
        await self.finish.wait()
        if req.request_id in self.cancelled:
            return Refusal(ErrorKind.CANCELLED, "cancelled")
        return Answer(req.request_id, 200, b"")

    async def query_tasks(self, shard, task_ids):
        return TasksReport(task_ids, {})

    async def cancel_tasks(self, shard, task_ids):
        self.cancelled.update(task_ids)
        return None

    async def hold_capacity(self, shard, job_id, tasks, deadline):
        ids = tuple(task.task_id for task in tasks[: self.room[shard]])
        self.held[shard][job_id] = ids
        return HoldReply(ids, ready=True)

    async def commit_hold(self, shard, job_id):
        return shard not in self.refuse_commit

    async def release_hold(self, shard, job_id):
        self.released.append(shard)


def job(kind, tasks, idempotent=True):
    specs = tuple(TaskSpec(b"x", Resources(slots=1)) for _ in range(tasks))
    spec = JobSpec("j1", "roster", "nightly", kind, specs, idempotent, 9e9)
    return JobRun(spec, "rack-1", SHARDS, 0.0)


def stored(table, run):
    table.rows[job_key("j1")] = (1, job_to_row(run))
    table.rows[unfinished_job_key("rack-1", "j1")] = (1, {"job_id": "j1"})


async def until(condition):
    async with asyncio.timeout(GIVE_UP_S):
        while not condition():
            await asyncio.sleep(0.01)


def drive(scenario, monkeypatch):
    monkeypatch.setattr(coordinator, "TICK_INTERVAL_S", 0.01)
    monkeypatch.setattr(coordinator, "FLUSH_INTERVAL_S", 0.05)

    async def main():
        table, shards = FakeTable(), FakeShards()
        jobs = JobCoordinator(table, shards)
        jobs.set_owned_shards(["rack-1"])
        running = asyncio.create_task(jobs.run())
        try:
            await scenario(jobs, table, shards)
        finally:
            running.cancel()

    asyncio.run(main())


def test_gang_larger_than_one_shard_starts_in_both(monkeypatch):
    """Guard against a gang that never starts because no single shard is large enough."""

    async def scenario(jobs, table, shards):
        jobs.adopt(job(WorkKind.GANG, 6))
        await until(lambda: len(shards.ran) == 6)
        assert {shard for shard, _ in shards.ran} == set(SHARDS)
        shards.finish.set()
        await until(lambda: jobs.runs["j1"].state is JobState.SUCCEEDED)

    drive(scenario, monkeypatch)


def test_gang_is_not_sent_while_the_table_is_slow_to_store_its_placement(monkeypatch):
    """Guard against tasks of a gang that start one by one before the hold is committed."""

    async def scenario(jobs, table, shards):
        table.answers.clear()
        jobs.adopt(job(WorkKind.GANG, 6))
        await until(lambda: len(shards.held) == 2)
        await asyncio.sleep(0.2)
        assert shards.ran == []
        table.answers.set()
        await until(lambda: len(shards.ran) == 6)

    drive(scenario, monkeypatch)


def test_gang_without_room_for_all_runs_nothing_and_gives_all_back(monkeypatch):
    """Guard against a gang that runs in part or keeps capacity that it cannot use."""

    async def scenario(jobs, table, shards):
        jobs.adopt(job(WorkKind.GANG, 9))
        await until(lambda: set(shards.released) == set(SHARDS))
        assert shards.ran == []

    drive(scenario, monkeypatch)


def test_gang_whose_commit_fails_in_one_shard_cancels_the_other(monkeypatch):
    """Guard against half a gang running after an owner died between hold and commit."""

    async def scenario(jobs, table, shards):
        shards.refuse_commit = {"rack-2"}
        run = job(WorkKind.GANG, 6)
        jobs.adopt(run)
        await until(lambda: len(shards.cancelled) == 4)
        await until(lambda: run.tasks[0].generation == 1)
        assert shards.ran == []

    drive(scenario, monkeypatch)


@pytest.mark.parametrize(("idempotent", "sent"), [(True, 3), (False, 0)])
def test_table_outage_holds_back_only_tasks_that_may_run_once(monkeypatch, idempotent, sent):
    """Guard against an unmarked single-run start, and against a halt of all batch work."""

    async def scenario(jobs, table, shards):
        table.down = True
        jobs.adopt(job(WorkKind.BATCH, 3, idempotent))
        await asyncio.sleep(0.2)
        assert len(shards.ran) == sent
        table.down = False
        await until(lambda: len(shards.ran) == 3)
        assert len({request_id for _, request_id in shards.ran}) == 3

    drive(scenario, monkeypatch)


def test_coordinator_drops_a_job_that_another_one_has_written(monkeypatch):
    """Guard against two coordinators that overwrite each other's progress."""

    async def scenario(jobs, table, shards):
        jobs.adopt(job(WorkKind.BATCH, 2))
        await until(lambda: len(shards.ran) == 2)
        table.rows[progress_key("j1")] = (7, {"tasks": [], "cancel_wanted": False})
        shards.finish.set()
        await until(lambda: "j1" not in jobs.runs)
        assert table.rows[progress_key("j1")][0] == 7

    drive(scenario, monkeypatch)


def test_new_owner_finds_the_jobs_of_its_shard_and_finishes_them(monkeypatch):
    """Guard against accepted jobs that are forgotten when their coordinator dies."""

    async def scenario(jobs, table, shards):
        shards.finish.set()
        stored(table, job(WorkKind.BATCH, 3))
        jobs.set_owned_shards([])
        jobs.set_owned_shards(["rack-1"])
        await until(lambda: table.rows[unfinished_job_key("rack-1", "j1")][1] is None)
        assert jobs.runs["j1"].state is JobState.SUCCEEDED

    drive(scenario, monkeypatch)


def test_cancel_reaches_the_shards_of_all_sent_tasks(monkeypatch):
    """Guard against a cancelled job that goes on running."""

    async def scenario(jobs, table, shards):
        run = job(WorkKind.BATCH, 5)
        jobs.adopt(run)
        await until(lambda: len(shards.ran) == 5)
        await jobs.cancel(run)
        shards.finish.set()
        await until(lambda: run.state is JobState.CANCELLED)
        assert shards.cancelled == {request_id for _, request_id in shards.ran}

    drive(scenario, monkeypatch)
