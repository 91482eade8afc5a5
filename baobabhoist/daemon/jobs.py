"""Accept jobs, and connect the job coordinator to shards on this and other instances."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Sequence
from typing import Any, Protocol

import attrs

from baobabhoist.errors import ErrorKind, LinkClosedError, PlatformError, Refusal
from baobabhoist.jobs.coordinator import JobCoordinator
from baobabhoist.jobs.messages import (
    CancelTasks,
    CancelTasksReply,
    HoldAck,
    HoldCommit,
    HoldRelease,
    HoldReply,
    HoldRequest,
    JobCall,
    JobReply,
    JobsQuery,
    JobsReport,
    JobVerb,
    TasksQuery,
    TasksReport,
)
from baobabhoist.jobs.rows import (
    UNFINISHED_PREFIX,
    home_shard_of,
    job_id_of,
    job_key,
    job_to_row,
    team_job_key,
    unfinished_job_key,
)
from baobabhoist.jobs.state import JobRun
from baobabhoist.model import (
    Answer,
    JobExplanation,
    JobSpec,
    JobStatus,
    Outcome,
    Request,
    Task,
)
from baobabhoist.ownership.rendezvous import home_shard
from baobabhoist.records.kinds import Policy
from baobabhoist.store.table import Row, Table, Transaction

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0
# Before the owner of a home shard reports on many jobs, it calls other owners itself.
LIST_TIMEOUT_S = 2 * CALL_TIMEOUT_S
OWNERSHIP_POLL_INTERVAL_S = 0.25
LIST_PAGE_SIZE = 500
MAX_LISTED_JOBS = 2000


class LocalShard(Protocol):
    """Define what the job manager needs from a shard that this instance owns."""

    def report_tasks(self, task_ids: tuple[str, ...], now: float) -> TasksReport:
        """Return which tasks run and why the others wait."""

    async def cancel_tasks(self, task_ids: tuple[str, ...]) -> dict[str, str]:
        """Cancel queued tasks, stop running ones, and refuse their ids from now on.

        Returns the target shard of each task that was forwarded.
        """

    def hold(self, job_id: str, tasks: tuple[Task, ...], deadline: float, now: float) -> HoldReply:
        """Hold capacity and quota for as many of the tasks as possible."""

    async def commit_hold(self, job_id: str, now: float) -> bool:
        """Start the tasks of a hold; return whether the hold was still valid."""

    def release_hold(self, job_id: str) -> None:
        """Release a hold."""


class JobContext(Protocol):
    """Define what the job manager needs from the instance."""

    table: Table

    def shard_names(self) -> list[str]:
        """Return the names of all shards in the records."""

    def policy_of(self, queue: str) -> Policy:
        """Return the policy of a queue."""

    def owned_shards(self) -> list[str]:
        """Return the shards that this instance fully owns."""

    def local_shard(self, shard: str) -> LocalShard | None:
        """Return a shard that this instance fully owns, or None."""

    async def route(self, req: Request) -> Answer | Refusal:
        """Return the result of a request from the owner of its shard."""

    async def call_owner(self, shard: str, message: Any, timeout_s: float) -> Any:
        """Call the instance that owns a shard; raises LinkClosedError or TimeoutError."""


def _owner_unreachable(shard: str) -> Refusal:
    return Refusal(
        ErrorKind.PEER_UNREACHABLE,
        f"the owner of shard {shard} did not answer",
        Outcome.UNKNOWN,
        "repeat the call; it has no effect when the first one took effect",
        retry_after_s=1.0,
    )


def _job_not_found(job_id: str) -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND, f"there is no job {job_id}", remedy="list the jobs of the team"
    )


def _group_by_shard(shard_by_id: dict[str, str]) -> dict[str, tuple[str, ...]]:
    ids_by_shard: dict[str, list[str]] = {}
    for item_id, shard in shard_by_id.items():
        ids_by_shard.setdefault(shard, []).append(item_id)
    return {shard: tuple(item_ids) for shard, item_ids in ids_by_shard.items()}


class ShardClient:
    """Call shards on this instance directly and others over the peer links."""

    def __init__(self, context: JobContext) -> None:
        self._context = context

    async def run_task(self, req: Request) -> Answer | Refusal:
        """Run a task and return its result."""
        return await self._context.route(req)

    async def query_tasks(self, shard: str, task_ids: tuple[str, ...]) -> TasksReport | Refusal:
        """Return which tasks run and why the others wait, including forwarded ones."""
        reply = await self.call(shard, TasksQuery(shard, task_ids))
        if not isinstance(reply, TasksReport):
            return _owner_unreachable(shard)
        if not reply.elsewhere:
            return reply
        running, waiting = [*reply.running], dict(reply.waiting)
        for target, forwarded_ids in _group_by_shard(reply.elsewhere).items():
            forwarded_reply = await self.call(target, TasksQuery(target, forwarded_ids))
            if not isinstance(forwarded_reply, TasksReport):
                return _owner_unreachable(target)
            running.extend(forwarded_reply.running)
            waiting.update(forwarded_reply.waiting)
        return TasksReport(tuple(running), waiting)

    async def cancel_tasks(self, shard: str, task_ids: tuple[str, ...]) -> Refusal | None:
        """Cancel tasks; a refusal means that a shard was unreachable."""
        reply = await self.call(shard, CancelTasks(shard, task_ids))
        if not isinstance(reply, CancelTasksReply):
            return _owner_unreachable(shard)
        for target, forwarded_ids in _group_by_shard(reply.elsewhere).items():
            forwarded_reply = await self.call(target, CancelTasks(target, forwarded_ids))
            if not isinstance(forwarded_reply, CancelTasksReply):
                return _owner_unreachable(target)
        return None

    async def hold_capacity(
        self, shard: str, job_id: str, tasks: tuple[Task, ...], deadline: float
    ) -> HoldReply:
        """Hold capacity for as many of the tasks as possible."""
        reply = await self.call(shard, HoldRequest(shard, job_id, tasks, deadline))
        return reply if isinstance(reply, HoldReply) else HoldReply(())

    async def commit_hold(self, shard: str, job_id: str) -> bool:
        """Start the tasks of a hold; return whether the hold was still valid."""
        reply = await self.call(shard, HoldCommit(shard, job_id))
        return isinstance(reply, HoldAck) and reply.done

    async def release_hold(self, shard: str, job_id: str) -> None:
        """Release a hold."""
        await self.call(shard, HoldRelease(shard, job_id))

    async def call(self, shard: str, message: Any) -> Any | None:
        """Return the reply of a shard's owner, or None if it does not reply."""
        local = self._context.local_shard(shard)
        if local is not None:
            return await handle_shard_call(local, message)
        try:
            return await self._context.call_owner(shard, message, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return None


async def handle_shard_call(shard: LocalShard, message: Any) -> Any | None:
    """Handle a call about the tasks of a shard that this instance owns."""
    now = time.time()
    match message:
        case TasksQuery(_, task_ids):
            return shard.report_tasks(task_ids, now)
        case CancelTasks(_, task_ids):
            return CancelTasksReply(await shard.cancel_tasks(task_ids))
        case HoldRequest(_, job_id, tasks, deadline):
            return shard.hold(job_id, tasks, deadline, now)
        case HoldCommit(_, job_id):
            return HoldAck(await shard.commit_hold(job_id, now))
        case HoldRelease(_, job_id):
            shard.release_hold(job_id)
            return HoldAck(True)
    return None


class JobManager:
    """Accept jobs from callers and coordinate those whose home shards are owned here."""

    def __init__(self, context: JobContext) -> None:
        self._context = context
        self._shards = ShardClient(context)
        self._coordinator = JobCoordinator(context.table, self._shards, context.policy_of)

    async def run(self) -> None:
        """Coordinate jobs until cancelled."""
        async with asyncio.TaskGroup() as tg:
            tg.create_task(self._coordinator.run())
            tg.create_task(self._watch_ownership())

    async def submit(self, spec: JobSpec) -> Refusal | JobStatus:
        """Store a job durably and accept it; a repeated job id of the team returns its status."""
        shards = tuple(self._context.shard_names())
        if not shards:
            return Refusal(
                ErrorKind.SHARD_UNAVAILABLE,
                "the records name no shard",
                remedy="ask the operators to create a shard record",
            )
        run = JobRun(spec, home_shard(spec.job_id, shards), shards, time.time())
        entry = {"job_id": spec.job_id, "queue": spec.queue}
        txn = Transaction(
            checks={job_key(spec.job_id): 0},
            writes={
                job_key(spec.job_id): job_to_row(run),
                unfinished_job_key(run.home, spec.job_id): entry,
                team_job_key(spec.team, spec.job_id): entry,
            },
        )
        try:
            outcome = await self._context.table.commit(txn)
        except PlatformError as exc:
            return _platform_unavailable(exc)
        if isinstance(outcome, Refusal):
            return await self.status(spec.job_id, spec.team)
        if self._context.local_shard(run.home) is not None:
            self._coordinator.adopt(run)
        else:
            # If this call fails, the owner finds the job in the table at its next scan.
            await self._shards.call(run.home, JobCall(run.home, spec.job_id, JobVerb.ADOPT))
        return run.status()

    async def status(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Return the state of a job."""
        reply = await self._call_home(job_id, team, JobVerb.STATUS)
        return reply.status or reply.refusal or _job_not_found(job_id)

    async def cancel(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Cancel a job and return its resulting state."""
        reply = await self._call_home(job_id, team, JobVerb.CANCEL)
        return reply.status or reply.refusal or _job_not_found(job_id)

    async def explain(self, job_id: str, team: str | None) -> Refusal | JobExplanation:
        """Explain why a job is in its state."""
        reply = await self._call_home(job_id, team, JobVerb.EXPLAIN)
        return reply.explanation or reply.refusal or _job_not_found(job_id)

    async def list(self, team: str | None) -> Refusal | tuple[JobStatus, ...]:
        """Return the state of each job of a team, or of all teams.

        The table lags behind the coordinators, so these report on the unfinished jobs.
        """
        prefix = "team_job/" if team is None else f"team_job/{team}/"
        try:
            rows = await self._scan(prefix, MAX_LISTED_JOBS)
            # A job that ends between the two scans is read from the table with its final state.
            homes = {
                job_id_of(row): home_shard_of(row) for row in await self._scan(UNFINISHED_PREFIX)
            }
            job_ids = [job_id_of(row) for row in rows]
            statuses = await self._query_homes(
                [job_id for job_id in job_ids if job_id in homes], homes
            )
            for job_id in job_ids:
                if job_id not in statuses:
                    run = await self._find_run(job_id)
                    if run is not None:
                        statuses[job_id] = self._stored_status(run)
        except PlatformError as exc:
            return _platform_unavailable(exc)
        return tuple(statuses[job_id] for job_id in job_ids if job_id in statuses)

    async def unfinished_job_ids(self, queue: str) -> Refusal | tuple[str, ...]:
        """Return the ids of all unfinished jobs of a queue, from the rows that mark these jobs."""
        job_ids = []
        try:
            for row in await self._scan(UNFINISHED_PREFIX):
                job_queue = row.value.get("queue")
                if job_queue is None:
                    # Earlier releases wrote these rows without the queue.
                    run = await self._coordinator.load(job_id_of(row))
                    job_queue = run.spec.queue if run is not None else ""
                if job_queue == queue:
                    job_ids.append(job_id_of(row))
        except PlatformError as exc:
            return _platform_unavailable(exc)
        return tuple(job_ids)

    async def _scan(self, prefix: str, max_rows: int | None = None) -> Sequence[Row]:
        rows: list[Row] = []
        while max_rows is None or len(rows) < max_rows:
            after = rows[-1].key if rows else ""
            page = await self._context.table.scan(prefix, after=after, limit=LIST_PAGE_SIZE)
            rows.extend(page)
            if len(page) < LIST_PAGE_SIZE:
                break
        return [row for row in rows[:max_rows] if row.value is not None]

    async def _query_homes(
        self, job_ids: Sequence[str], homes: dict[str, str]
    ) -> dict[str, JobStatus]:
        """Return the statuses that the jobs' coordinators report; omit unreachable ones."""
        queries = [
            JobsQuery(home, home_job_ids[start : start + LIST_PAGE_SIZE])
            for home, home_job_ids in _group_by_shard(
                {job_id: homes[job_id] for job_id in job_ids}
            ).items()
            for start in range(0, len(home_job_ids), LIST_PAGE_SIZE)
        ]
        reports = await asyncio.gather(*[self._query_home(query) for query in queries])
        return {status.job_id: status for report in reports for status in report.statuses}

    async def _query_home(self, query: JobsQuery) -> JobsReport:
        if self._context.local_shard(query.home) is not None:
            return await self._report_jobs(query)
        try:
            reply = await self._context.call_owner(query.home, query, LIST_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return JobsReport(())
        return reply if isinstance(reply, JobsReport) else JobsReport(())

    async def _report_jobs(self, query: JobsQuery) -> JobsReport:
        """Report on the jobs that this instance coordinates; omit finished and unknown ones."""
        if self._context.local_shard(query.home) is None:
            return JobsReport(())
        runs = []
        for job_id in query.job_ids:
            run = await self._get_or_adopt(job_id)
            if isinstance(run, JobRun):
                runs.append(run)
        return JobsReport(await self._coordinator.statuses(runs))

    def _stored_status(self, run: JobRun) -> JobStatus:
        status = run.status()
        if run.is_finished:
            return status
        reason = f"the owner of shard {run.home} did not answer; this is the last stored state"
        return attrs.evolve(status, reason=reason)

    async def handle(self, message: Any) -> Any | None:
        """Handle a peer's message about jobs or about the tasks of an owned shard."""
        if isinstance(message, JobCall):
            return await self._handle_job_call(message)
        if isinstance(message, JobsQuery):
            return await self._report_jobs(message)
        shard = self._context.local_shard(message.shard)
        if shard is None:
            return JobReply(refusal=_owner_unreachable(message.shard))
        return await handle_shard_call(shard, message)

    async def _find_run(self, job_id: str) -> JobRun | None:
        run = self._coordinator.runs.get(job_id)
        return run or await self._coordinator.load(job_id)

    async def _call_home(self, job_id: str, team: str | None, verb: JobVerb) -> JobReply:
        try:
            run = await self._find_run(job_id)
        except PlatformError as exc:
            return JobReply(refusal=_platform_unavailable(exc))
        if run is None or team not in (None, run.spec.team):
            return JobReply(refusal=_job_not_found(job_id))
        if run.is_finished:
            return await self._apply_verb(run, verb)
        call = JobCall(run.home, job_id, verb)
        if self._context.local_shard(run.home) is not None:
            return await self._handle_job_call(call)
        try:
            reply = await self._context.call_owner(run.home, call, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return JobReply(refusal=_owner_unreachable(run.home))
        return reply if isinstance(reply, JobReply) else JobReply()

    async def _handle_job_call(self, call: JobCall) -> JobReply:
        run = await self._get_or_adopt(call.job_id, is_new=call.verb is JobVerb.ADOPT)
        if isinstance(run, Refusal):
            return JobReply(refusal=run)
        return await self._apply_verb(run, call.verb)

    async def _get_or_adopt(self, job_id: str, is_new: bool = False) -> JobRun | Refusal:
        """Return a job of an owned home shard, and adopt it if it is not coordinated yet."""
        run = self._coordinator.runs.get(job_id)
        if run is None:
            try:
                run = await self._coordinator.load(job_id)
            except PlatformError as exc:
                return _platform_unavailable(exc)
            if run is None:
                return _job_not_found(job_id)
            if not run.is_finished:
                if not is_new or run.revision:
                    run.resume()
                self._coordinator.adopt(run)
                run = self._coordinator.runs.get(job_id, run)
        return run

    async def _apply_verb(self, run: JobRun, verb: JobVerb) -> JobReply:
        if verb is JobVerb.EXPLAIN:
            return JobReply(explanation=await self._coordinator.explain(run))
        if verb is JobVerb.CANCEL:
            status = await self._coordinator.cancel(run)
            refusal = _cancelling_not_stored() if status is None else None
            return JobReply(status, refusal=refusal)
        return JobReply(status=await self._coordinator.status(run))

    async def _watch_ownership(self) -> None:
        while True:
            self._coordinator.set_owned_shards(self._context.owned_shards())
            await asyncio.sleep(OWNERSHIP_POLL_INTERVAL_S)


def _cancelling_not_stored() -> Refusal:
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the platform's table did not confirm that the job is cancelled",
        Outcome.UNKNOWN,
        "repeat the call; it has no effect when the first one took effect",
        retry_after_s=2.0,
    )


def _platform_unavailable(exc: PlatformError) -> Refusal:
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"the platform's table gave no answer: {exc}",
        Outcome.UNKNOWN,
        "repeat the call with the same job id; a job that was accepted is not started twice",
        retry_after_s=2.0,
    )
