"""Test the job coordinator with faults of the shards and the table."""

import asyncio
from collections import defaultdict

import pytest

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.jobs import coordinator
from baobabhoist.jobs.coordinator import JobCoordinator
from baobabhoist.jobs.messages import HoldReply, TasksReport
from baobabhoist.jobs.rows import job_key, job_to_row, progress_key, unfinished_job_key
from baobabhoist.jobs.state import JobRun
from baobabhoist.model import Answer, JobSpec, JobState, Outcome, Resources, TaskSpec, WorkKind
from baobabhoist.store.table import Committed, Row

SHARDS = ("rack-1", "rack-2")
TIMEOUT_S = 10.0


class FakeTable:
    def __init__(self):
        self.rows = {}
        self.is_down = False
        self.is_answering = asyncio.Event()
        self.is_answering.set()

    def _check_up(self):
        if self.is_down:
            raise PlatformError("the table is unavailable")

    async def read(self, key):
        self._check_up()
        return Row(key, *self.rows.get(key, (0, None)))

    async def scan(self, prefix, after="", limit=1000):
        self._check_up()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.rows[key]) for key in keys[:limit]]

    async def commit(self, txn):
        await self.is_answering.wait()
        self._check_up()
        for key, revision in txn.checks.items():
            if self.rows.get(key, (0, None))[0] != revision:
                return Refusal(ErrorKind.CONFLICT, key)
        for key, value in txn.writes.items():
            self.rows[key] = (self.rows.get(key, (0, None))[0] + 1, value)
        return Committed({key: self.rows[key][0] for key in txn.writes})


class FakeShards:
    def __init__(self, free_slots=4):
        self.free_slots = dict.fromkeys(SHARDS, free_slots)
        self.held = defaultdict(dict)
        self.sent = []
        self.cancelled = set()
        self.released = []
        self.shards_refusing_commit = set()
        self.finish = asyncio.Event()

    async def run_task(self, req):
        self.sent.append((req.shard, req.request_id))
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
        ids = tuple(task.task_id for task in tasks[: self.free_slots[shard]])
        self.held[shard][job_id] = ids
        return HoldReply(ids, ready=True)

    async def commit_hold(self, shard, job_id):
        return shard not in self.shards_refusing_commit

    async def release_hold(self, shard, job_id):
        self.released.append(shard)


def new_run(kind, tasks, idempotent=True):
    specs = tuple(TaskSpec(b"x", Resources(slots=1)) for _ in range(tasks))
    spec = JobSpec("j1", "roster", "nightly", kind, specs, idempotent, 9e9)
    return JobRun(spec, "rack-1", SHARDS, 0.0)


def store_run(table, run):
    table.rows[job_key("j1")] = (1, job_to_row(run))
    table.rows[unfinished_job_key("rack-1", "j1")] = (1, {"job_id": "j1"})


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def run_scenario(scenario, monkeypatch):
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


def test_gang_larger_than_one_shard_starts_across_shards(monkeypatch):
    """Guard against a gang that never starts because no single shard is large enough."""

    async def scenario(jobs, table, shards):
        jobs.adopt(new_run(WorkKind.GANG, 6))
        await wait_until(lambda: len(shards.sent) == 6)
        assert {shard for shard, _ in shards.sent} == set(SHARDS)
        shards.finish.set()
        await wait_until(lambda: jobs.runs["j1"].state is JobState.SUCCEEDED)

    run_scenario(scenario, monkeypatch)


def test_gang_is_not_sent_while_the_table_is_slow_to_store_its_placement(monkeypatch):
    """Guard against tasks of a gang that start one by one before the hold is committed."""

    async def scenario(jobs, table, shards):
        table.is_answering.clear()
        jobs.adopt(new_run(WorkKind.GANG, 6))
        await wait_until(lambda: len(shards.held) == 2)
        await asyncio.sleep(0.2)
        assert shards.sent == []
        table.is_answering.set()
        await wait_until(lambda: len(shards.sent) == 6)

    run_scenario(scenario, monkeypatch)


def test_gang_without_capacity_for_all_tasks_runs_none_and_releases_its_holds(monkeypatch):
    """Guard against a gang that runs in part or holds capacity that it cannot use."""

    async def scenario(jobs, table, shards):
        jobs.adopt(new_run(WorkKind.GANG, 9))
        await wait_until(lambda: set(shards.released) == set(SHARDS))
        assert shards.sent == []

    run_scenario(scenario, monkeypatch)


def test_gang_whose_commit_fails_in_one_shard_is_cancelled_in_the_other(monkeypatch):
    """Guard against half a gang running after an owner crashed between hold and commit."""

    async def scenario(jobs, table, shards):
        shards.shards_refusing_commit = {"rack-2"}
        run = new_run(WorkKind.GANG, 6)
        jobs.adopt(run)
        await wait_until(lambda: len(shards.cancelled) == 4)
        await wait_until(lambda: run.tasks[0].generation == 1)
        assert shards.sent == []

    run_scenario(scenario, monkeypatch)


@pytest.mark.parametrize(("idempotent", "sent_during_outage"), [(True, 3), (False, 0)])
def test_table_outage_delays_only_tasks_that_are_not_idempotent(
    monkeypatch, idempotent, sent_during_outage
):
    """Guard against a non-idempotent start without a stored intent, and a halt of all jobs."""

    async def scenario(jobs, table, shards):
        table.is_down = True
        jobs.adopt(new_run(WorkKind.BATCH, 3, idempotent))
        await asyncio.sleep(0.2)
        assert len(shards.sent) == sent_during_outage
        table.is_down = False
        await wait_until(lambda: len(shards.sent) == 3)
        assert len({request_id for _, request_id in shards.sent}) == 3

    run_scenario(scenario, monkeypatch)


def test_coordinator_stops_a_job_that_another_one_has_written(monkeypatch):
    """Guard against two coordinators that overwrite each other's progress."""

    async def scenario(jobs, table, shards):
        jobs.adopt(new_run(WorkKind.BATCH, 2))
        await wait_until(lambda: len(shards.sent) == 2)
        table.rows[progress_key("j1")] = (7, {"tasks": [], "cancel_wanted": False})
        shards.finish.set()
        await wait_until(lambda: "j1" not in jobs.runs)
        assert table.rows[progress_key("j1")][0] == 7

    run_scenario(scenario, monkeypatch)


def test_new_owner_resumes_the_unfinished_jobs_of_its_shard(monkeypatch):
    """Guard against losing accepted jobs when their coordinator crashes."""

    async def scenario(jobs, table, shards):
        shards.finish.set()
        store_run(table, new_run(WorkKind.BATCH, 3))
        jobs.set_owned_shards([])
        jobs.set_owned_shards(["rack-1"])
        await wait_until(lambda: table.rows[unfinished_job_key("rack-1", "j1")][1] is None)
        assert jobs.runs["j1"].state is JobState.SUCCEEDED

    run_scenario(scenario, monkeypatch)


def test_cancel_reaches_the_shards_of_all_sent_tasks(monkeypatch):
    """Guard against a cancelled job that continues to run."""

    async def scenario(jobs, table, shards):
        run = new_run(WorkKind.BATCH, 5)
        jobs.adopt(run)
        await wait_until(lambda: len(shards.sent) == 5)
        await jobs.cancel(run)
        shards.finish.set()
        await wait_until(lambda: run.state is JobState.CANCELLED)
        assert shards.cancelled == {request_id for _, request_id in shards.sent}

    run_scenario(scenario, monkeypatch)


def test_next_coordinator_cancels_a_task_that_waits_for_its_retry_at_its_shard(monkeypatch):
    """Guard against a task that runs on, although its job is shown as cancelled."""

    async def scenario(jobs, table, shards):
        run = new_run(WorkKind.BATCH, 1)
        run.record_sent(0)
        run.apply_result(0, Refusal(ErrorKind.PEER_UNREACHABLE, "", Outcome.UNKNOWN), 0.0)
        run.cancel()
        store_run(table, run)
        table.rows[progress_key("j1")] = (
            1,
            {"tasks": run.progress_to_row(), "cancel_wanted": True},
        )
        jobs.set_owned_shards([])
        jobs.set_owned_shards(["rack-1"])
        await wait_until(lambda: table.rows[unfinished_job_key("rack-1", "j1")][1] is None)
        assert shards.cancelled == {"j1.0.0"}

    run_scenario(scenario, monkeypatch)
