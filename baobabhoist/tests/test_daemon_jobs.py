"""Test jobs on two instances, one of which coordinates them."""

import asyncio

import pytest

from baobabhoist.daemon import jobs as daemon_jobs
from baobabhoist.daemon.jobs import JobManager
from baobabhoist.errors import ErrorKind, MessageNotSentError, Refusal
from baobabhoist.jobs import state
from baobabhoist.jobs.messages import HoldReply, TasksReport
from baobabhoist.jobs.rows import progress_key
from baobabhoist.model import (
    Answer,
    JobSpec,
    JobState,
    Outcome,
    Resources,
    TaskSpec,
    TaskState,
    WorkKind,
)
from baobabhoist.records.kinds import Policy
from baobabhoist.tests.memory_table import MemoryTable

WAIT_TIMEOUT_S = 10.0


class FakeShard:
    """Report the tasks in `placed` as running and those in `forwarded` as at another shard."""

    def __init__(self):
        self.placed = set()
        self.forwarded = {}
        self.cancelled = set()

    def report_tasks(self, task_ids, now):
        running = tuple(name for name in task_ids if name in self.placed)
        elsewhere = {name: self.forwarded[name] for name in task_ids if name in self.forwarded}
        waiting = {name: "no place" for name in task_ids if name not in {*running, *elsewhere}}
        return TasksReport(running, waiting, elsewhere)

    async def cancel_tasks(self, task_ids):
        self.cancelled.update(task_ids)
        return {name: self.forwarded[name] for name in task_ids if name in self.forwarded}

    def hold(self, job_id, tasks, deadline, now):
        return HoldReply(())


class FakeContext:
    """Provide the context of a job manager whose instance owns the shards in `owned`."""

    def __init__(self, table, shards, owned):
        self.table = table
        self.shards = shards
        self.owned = owned
        self.other_jobs = None
        self.sent = []
        self.fails = False
        self.retries = {"entries": 1}
        self.finish = asyncio.Event()

    def shard_names(self):
        return sorted(self.shards)

    def owned_shards(self):
        return self.owned

    def local_shard(self, shard):
        return self.shards[shard] if shard in self.owned else None

    def policy_of(self, queue):
        return Policy(retries=self.retries[queue])

    async def route(self, req):
        self.sent.append(req)
        if self.fails:
            return Refusal(ErrorKind.TASK_FAILED, "exit 1", Outcome.RAN)
        await self.finish.wait()
        return Answer(req.request_id, 200, b"")

    async def call_owner(self, shard, message, timeout_s):
        if self.other_jobs is None:
            raise MessageNotSentError("no link")
        return await self.other_jobs.handle(message)


def spec(job_id="j1", kind=WorkKind.SERVICE, tasks=2):
    each = TaskSpec(b"x", Resources(slots=1))
    return JobSpec(job_id, "roster", "entries", kind, (each,) * tasks, True, 9e9)


async def until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def two_instances():
    """Run a scenario with two instances, the first of which coordinates the jobs."""

    def run(scenario):
        async def main():
            table, shards = MemoryTable(), {"rack-1": FakeShard()}
            here, there = (
                FakeContext(table, shards, ["rack-1"]),
                FakeContext(table, shards, []),
            )
            jobs, others = JobManager(here), JobManager(there)
            there.other_jobs = jobs
            running = asyncio.create_task(jobs.run())
            jobs._coordinator.set_owned_shards(here.owned)
            try:
                await scenario(here, jobs, there, others)
            finally:
                running.cancel()

        asyncio.run(main())

    return run


def test_list_and_status_agree_on_every_instance(two_instances):
    """Guard against a running service or a finished job that is listed as queued."""

    async def scenario(here, jobs, there, others):
        await others.submit(spec())
        await until(lambda: len(here.sent) == 2)

        async def assert_reported(state, **counts):
            expected = {TaskState(name): count for name, count in counts.items()}
            for each in (jobs, others):
                (listed,) = await each.list("roster")
                assert listed == await each.status("j1", "roster")
                assert (listed.state, listed.counts) == (state, expected)

        await assert_reported(JobState.QUEUED, queued=2)
        here.shards["rack-1"].placed.add(here.sent[0].request_id)
        await assert_reported(JobState.RUNNING, running=1, queued=1)
        here.shards["rack-1"].placed.clear()
        await jobs.cancel("j1", "roster")
        here.finish.set()
        await until(lambda: jobs._coordinator.runs["j1"].is_finished)
        # The table does not contain the end of the job yet.
        assert (await here.table.read("active/rack-1/j1")).value is not None
        await assert_reported(JobState.SUCCEEDED, succeeded=2)

    two_instances(scenario)


def test_a_list_without_the_coordinator_says_that_the_state_may_be_old(two_instances):
    """Guard against a stored state that looks like the current one."""

    async def scenario(here, jobs, there, others):
        await others.submit(spec())
        there.other_jobs = None
        (listed,) = await others.list(None)
        assert "rack-1 did not answer" in listed.reason

    two_instances(scenario)


def test_forwarded_tasks_are_reported_and_cancelled_where_they_run(two_instances):
    """Guard against a forwarded task that counts as queued and survives the cancellation."""

    async def scenario(here, jobs, there, others):
        here.shards["rack-2"] = FakeShard()
        here.owned.append("rack-2")
        await jobs.submit(spec(tasks=1))
        await until(lambda: here.sent)
        name = here.sent[0].request_id
        origin = here.sent[0].shard
        target = "rack-2" if origin == "rack-1" else "rack-1"
        here.shards[origin].forwarded[name] = target
        here.shards[target].placed.add(name)
        assert (await jobs.status("j1", None)).counts == {TaskState.RUNNING: 1}
        await jobs.cancel("j1", None)
        assert name in here.shards[target].cancelled

    two_instances(scenario)


def test_a_cancelling_is_confirmed_only_once_it_is_stored(two_instances):
    """Guard against a cancelled job that runs again because only its coordinator knew of it."""

    async def scenario(here, jobs, there, others):
        await jobs.submit(spec("j1", WorkKind.BATCH, 1))
        await until(lambda: here.sent)
        here.table.down = True
        reply = await jobs.cancel("j1", "roster")
        assert (reply.kind, reply.outcome) == (ErrorKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN)
        here.finish.set()
        await until(lambda: jobs._coordinator.runs["j1"].is_finished)
        assert isinstance(await jobs.cancel("j1", "roster"), Refusal)
        here.table.down = False
        assert not isinstance(await jobs.cancel("j1", "roster"), Refusal)
        assert here.table.rows[progress_key("j1")].value["cancel_wanted"]

    two_instances(scenario)


def test_a_wave_of_cancellings_shares_transactions(two_instances):
    """Guard against jobs that wait for the table behind a transaction for each cancelling."""

    async def scenario(here, jobs, there, others):
        names = [f"j{number}" for number in range(50)]
        for name in names:
            await jobs.submit(spec(name, WorkKind.BATCH, 1))
        await until(lambda: len(here.sent) == len(names))
        commit, txns = here.table.commit, []

        async def record_commit(txn):
            txns.append(txn)
            await asyncio.sleep(0.01)
            return await commit(txn)

        here.table.commit = record_commit
        replies = await asyncio.gather(*(jobs.cancel(name, "roster") for name in names))
        assert not any(isinstance(reply, Refusal) for reply in replies)
        assert len(txns) < len(names) / 10
        assert all(here.table.rows[progress_key(n)].value["cancel_wanted"] for n in names)

    two_instances(scenario)


def test_a_cancelling_reaches_a_job_that_is_not_coordinated_yet(two_instances):
    """Guard against a confirmed cancelling that is lost before the coordinator reads the job."""

    async def scenario(here, jobs, there, others):
        jobs._coordinator.set_owned_shards([])
        await jobs.submit(spec("j1", WorkKind.BATCH, 1))
        assert not isinstance(await jobs.cancel("j1", "roster"), Refusal)
        assert here.table.rows[progress_key("j1")].value["cancel_wanted"]

    two_instances(scenario)


@pytest.mark.parametrize("is_coordinator_lost", [False, True])
def test_a_submission_that_arrives_after_its_jobs_cancelling_starts_nothing(
    two_instances, is_coordinator_lost
):
    """Guard against a first submission that is read late and starts the job that was cancelled.

    Its caller got no answer, submitted the job again under its key, and cancelled it then.
    """

    async def scenario(here, jobs, there, others):
        await jobs.submit(spec())
        await until(lambda: len(here.sent) == 2)
        cancelled = await jobs.cancel("j1", "roster")
        if is_coordinator_lost:
            jobs._coordinator.set_owned_shards([])
            jobs._coordinator.set_owned_shards(here.owned)
        late = await others.submit(spec())
        await asyncio.sleep(0.3)
        assert (cancelled.job_id, late.job_id) == ("j1", "j1")
        assert len(here.sent) == 2
        assert here.shards["rack-1"].cancelled == {req.request_id for req in here.sent}

    two_instances(scenario)


def test_all_unfinished_jobs_of_a_queue_are_found_however_many_there_are(
    two_instances, monkeypatch
):
    """Guard against deletion of a queue that still has jobs beyond the limit of a list."""
    monkeypatch.setattr(daemon_jobs, "LIST_PAGE_SIZE", 2)
    monkeypatch.setattr(daemon_jobs, "MAX_LISTED_JOBS", 2)

    async def scenario(here, jobs, there, others):
        for name in ("j1", "j2", "j3", "j4"):
            await others.submit(spec(name, WorkKind.BATCH, 1))
        await until(lambda: len(here.sent) == 4)
        del here.table.rows["active/rack-1/j2"].value["queue"]
        assert await others.unfinished_job_ids("entries") == ("j1", "j2", "j3", "j4")
        assert await others.unfinished_job_ids("reports") == ()
        here.finish.set()
        await until(lambda: here.table.rows["active/rack-1/j4"].value is None)
        assert await others.unfinished_job_ids("entries") == ()

    two_instances(scenario)


def test_the_policy_of_the_queue_bounds_the_retries_of_failed_tasks(two_instances, monkeypatch):
    """Guard against a retry limit in the policy that has no effect on jobs."""
    monkeypatch.setattr(state, "RETRY_BACKOFF_MIN_S", 0.001)

    async def scenario(here, jobs, there, others):
        here.fails, here.retries["entries"] = True, 3
        await jobs.submit(spec(kind=WorkKind.BATCH, tasks=1))
        await until(lambda: jobs._coordinator.runs["j1"].is_finished)
        assert len({req.request_id for req in here.sent}) == len(here.sent) == 4

    two_instances(scenario)
