"""Accept jobs, and connect their coordinator to shards on this and other instances."""

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
# The owner of a home shard asks other owners in turn before it answers for many jobs.
LIST_TIMEOUT_S = 2 * CALL_TIMEOUT_S
OWNED_INTERVAL_S = 0.25
LIST_PAGE = 500
LIST_MAX = 2000


class LocalShard(Protocol):
    """Be what jobs need of a shard that this instance owns."""

    def report_tasks(self, task_ids: tuple[str, ...], now: float) -> TasksReport:
        """Return which tasks run and why the others wait."""

    async def cancel_tasks(self, task_ids: tuple[str, ...]) -> dict[str, str]:
        """Cancel queued tasks, stop running ones, and refuse the ids from now on.

        Returns the shards that have the forwarded ones.
        """

    def hold(self, job_id: str, tasks: tuple[Task, ...], deadline: float, now: float) -> HoldReply:
        """Hold capacity and places for as many of the tasks as possible."""

    async def commit_hold(self, job_id: str, now: float) -> bool:
        """Start the tasks of a hold; tell whether it still stood."""

    def release_hold(self, job_id: str) -> None:
        """Give a hold back."""


class Node(Protocol):
    """Be what jobs need of the instance."""

    table: Table

    def shard_names(self) -> list[str]:
        """Return the names of all shards in the records."""

    def policy_of(self, queue: str) -> Policy:
        """Return the policy of a queue."""

    def owned_shards(self) -> list[str]:
        """Return the shards that this instance owns fully."""

    def local_shard(self, shard: str) -> LocalShard | None:
        """Return a shard that this instance owns fully, or None."""

    async def route(self, req: Request) -> Answer | Refusal:
        """Return the result of a request from the owner of its shard."""

    async def call_owner(self, shard: str, message: Any, timeout_s: float) -> Any:
        """Call the instance that owns a shard; raises LinkClosedError or TimeoutError."""


def _unreachable(shard: str) -> Refusal:
    return Refusal(
        ErrorKind.PEER_UNREACHABLE,
        f"the owner of shard {shard} did not answer",
        Outcome.UNKNOWN,
        "repeat the call; it has no effect when the first one took effect",
        retry_after_s=1.0,
    )


def _not_found(job_id: str) -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND, f"there is no job {job_id}", remedy="list the jobs of the team"
    )


def _by_shard(elsewhere: dict[str, str]) -> dict[str, tuple[str, ...]]:
    names: dict[str, list[str]] = {}
    for task_id, shard in elsewhere.items():
        names.setdefault(shard, []).append(task_id)
    return {shard: tuple(found) for shard, found in names.items()}


class ShardDirectory:
    """Reach shards on this instance directly and others over the peer links."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def run_task(self, req: Request) -> Answer | Refusal:
        """Run a task and return its result."""
        return await self._node.route(req)

    async def query_tasks(self, shard: str, task_ids: tuple[str, ...]) -> TasksReport | Refusal:
        """Return which tasks run and why the others wait, also of those forwarded from here."""
        reply = await self.call(shard, TasksQuery(shard, task_ids))
        if not isinstance(reply, TasksReport):
            return _unreachable(shard)
        if not reply.elsewhere:
            return reply
        running, waiting = [*reply.running], dict(reply.waiting)
        for target, names in _by_shard(reply.elsewhere).items():
            found = await self.call(target, TasksQuery(target, names))
            if not isinstance(found, TasksReport):
                return _unreachable(target)
            running.extend(found.running)
            waiting.update(found.waiting)
        return TasksReport(tuple(running), waiting)

    async def cancel_tasks(self, shard: str, task_ids: tuple[str, ...]) -> Refusal | None:
        """Cancel tasks; a refusal means that the shard could not be asked."""
        reply = await self.call(shard, CancelTasks(shard, task_ids))
        if not isinstance(reply, CancelTasksReply):
            return _unreachable(shard)
        for target, names in _by_shard(reply.elsewhere).items():
            found = await self.call(target, CancelTasks(target, names))
            if not isinstance(found, CancelTasksReply):
                return _unreachable(target)
        return None

    async def hold_capacity(
        self, shard: str, job_id: str, tasks: tuple[Task, ...], deadline: float
    ) -> HoldReply:
        """Hold capacity for as many of the tasks as the shard can."""
        reply = await self.call(shard, HoldRequest(shard, job_id, tasks, deadline))
        return reply if isinstance(reply, HoldReply) else HoldReply(())

    async def commit_hold(self, shard: str, job_id: str) -> bool:
        """Start the tasks of a hold; tell whether the hold still stood."""
        reply = await self.call(shard, HoldCommit(shard, job_id))
        return isinstance(reply, HoldAck) and reply.done

    async def release_hold(self, shard: str, job_id: str) -> None:
        """Give a hold back."""
        await self.call(shard, HoldRelease(shard, job_id))

    async def call(self, shard: str, message: Any) -> Any | None:
        """Return the reply of a shard's owner, or None when there is none."""
        local = self._node.local_shard(shard)
        if local is not None:
            return await answer_shard_call(local, message)
        try:
            return await self._node.call_owner(shard, message, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return None


async def answer_shard_call(shard: LocalShard, message: Any) -> Any | None:
    """Answer a call about the tasks of a shard that this instance owns."""
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


class Jobs:
    """Accept jobs from callers and coordinate those whose home shards are owned here."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._directory = ShardDirectory(node)
        self._coordinator = JobCoordinator(node.table, self._directory, node.policy_of)

    async def run(self) -> None:
        """Coordinate jobs until cancelled."""
        async with asyncio.TaskGroup() as tg:
            tg.create_task(self._coordinator.run())
            tg.create_task(self._follow_ownership())

    async def submit(self, spec: JobSpec) -> Refusal | JobStatus:
        """Accept a job durably; a repeated job id of the same team returns its status."""
        shards = tuple(self._node.shard_names())
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
            outcome = await self._node.table.commit(txn)
        except PlatformError as exc:
            return _platform_down(exc)
        if isinstance(outcome, Refusal):
            return await self.status(spec.job_id, spec.team)
        if self._node.local_shard(run.home) is not None:
            self._coordinator.adopt(run)
        else:
            # Without an answer the owner finds the job in the table at its next scan.
            await self._directory.call(run.home, JobCall(run.home, spec.job_id, JobVerb.ADOPT))
        return run.status()

    async def status(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Return the state of a job."""
        reply = await self._ask(job_id, team, JobVerb.STATUS)
        return reply.status or reply.refusal or _not_found(job_id)

    async def cancel(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Cancel a job and return its state after that."""
        reply = await self._ask(job_id, team, JobVerb.CANCEL)
        return reply.status or reply.refusal or _not_found(job_id)

    async def explain(self, job_id: str, team: str | None) -> Refusal | JobExplanation:
        """Explain why a job is in its state."""
        reply = await self._ask(job_id, team, JobVerb.EXPLAIN)
        return reply.explanation or reply.refusal or _not_found(job_id)

    async def list(self, team: str | None) -> Refusal | tuple[JobStatus, ...]:
        """Return the state of each job of a team, or of all teams.

        The table lags behind the coordinators, which therefore report on unfinished jobs.
        """
        prefix = "team_job/" if team is None else f"team_job/{team}/"
        try:
            rows = await self._scan(prefix, LIST_MAX)
            # A job that ends between the two scans is read from the table, with its last state.
            homes = {
                job_id_of(row): home_shard_of(row) for row in await self._scan(UNFINISHED_PREFIX)
            }
            wanted = [job_id_of(row) for row in rows]
            found = await self._ask_homes([name for name in wanted if name in homes], homes)
            for job_id in wanted:
                if job_id not in found:
                    run = await self._load(job_id)
                    if run is not None:
                        found[job_id] = self._stored_status(run)
        except PlatformError as exc:
            return _platform_down(exc)
        return tuple(found[job_id] for job_id in wanted if job_id in found)

    async def unfinished_job_ids(self, queue: str) -> Refusal | tuple[str, ...]:
        """Return the ids of all unfinished jobs of a queue, from the rows that mark them."""
        found = []
        try:
            for row in await self._scan(UNFINISHED_PREFIX):
                name = row.value.get("queue")
                if name is None:
                    # Earlier releases wrote the row without the queue.
                    run = await self._coordinator.load(job_id_of(row))
                    name = run.spec.queue if run is not None else ""
                if name == queue:
                    found.append(job_id_of(row))
        except PlatformError as exc:
            return _platform_down(exc)
        return tuple(found)

    async def _scan(self, prefix: str, most: int | None = None) -> Sequence[Row]:
        rows: list[Row] = []
        while most is None or len(rows) < most:
            after = rows[-1].key if rows else ""
            page = await self._node.table.scan(prefix, after=after, limit=LIST_PAGE)
            rows.extend(page)
            if len(page) < LIST_PAGE:
                break
        return [row for row in rows[:most] if row.value is not None]

    async def _ask_homes(
        self, job_ids: Sequence[str], homes: dict[str, str]
    ) -> dict[str, JobStatus]:
        """Return what the coordinators of jobs report; unreachable ones are left out."""
        queries = [
            JobsQuery(home, names[start : start + LIST_PAGE])
            for home, names in _by_shard({name: homes[name] for name in job_ids}).items()
            for start in range(0, len(names), LIST_PAGE)
        ]
        reports = await asyncio.gather(*[self._ask_home(query) for query in queries])
        return {status.job_id: status for report in reports for status in report.statuses}

    async def _ask_home(self, query: JobsQuery) -> JobsReport:
        if self._node.local_shard(query.home) is not None:
            return await self._report(query)
        try:
            reply = await self._node.call_owner(query.home, query, LIST_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return JobsReport(())
        return reply if isinstance(reply, JobsReport) else JobsReport(())

    async def _report(self, query: JobsQuery) -> JobsReport:
        """Report on jobs that are coordinated here; others may be finished or not yet known."""
        if self._node.local_shard(query.home) is None:
            return JobsReport(())
        found = []
        for job_id in query.job_ids:
            known = await self._known(job_id)
            if isinstance(known, JobRun):
                found.append(known)
        return JobsReport(await self._coordinator.statuses(found))

    def _stored_status(self, run: JobRun) -> JobStatus:
        status = run.status()
        if run.is_finished:
            return status
        reason = f"the owner of shard {run.home} did not answer; this is the last stored state"
        return attrs.evolve(status, reason=reason)

    async def handle(self, message: Any) -> Any | None:
        """Answer a peer's message about jobs or about the tasks of an owned shard."""
        if isinstance(message, JobCall):
            return await self._answer(message)
        if isinstance(message, JobsQuery):
            return await self._report(message)
        shard = self._node.local_shard(message.shard)
        if shard is None:
            return JobReply(refusal=_unreachable(message.shard))
        return await answer_shard_call(shard, message)

    async def _load(self, job_id: str) -> JobRun | None:
        known = self._coordinator.runs.get(job_id)
        return known or await self._coordinator.load(job_id)

    async def _ask(self, job_id: str, team: str | None, verb: JobVerb) -> JobReply:
        try:
            run = await self._load(job_id)
        except PlatformError as exc:
            return JobReply(refusal=_platform_down(exc))
        if run is None or team not in (None, run.spec.team):
            return JobReply(refusal=_not_found(job_id))
        if run.is_finished:
            return await self._perform(run, verb)
        call = JobCall(run.home, job_id, verb)
        if self._node.local_shard(run.home) is not None:
            return await self._answer(call)
        try:
            reply = await self._node.call_owner(run.home, call, CALL_TIMEOUT_S)
        except (LinkClosedError, TimeoutError):
            return JobReply(refusal=_unreachable(run.home))
        return reply if isinstance(reply, JobReply) else JobReply()

    async def _answer(self, call: JobCall) -> JobReply:
        run = await self._known(call.job_id, new=call.verb is JobVerb.ADOPT)
        if isinstance(run, Refusal):
            return JobReply(refusal=run)
        return await self._perform(run, call.verb)

    async def _known(self, job_id: str, new: bool = False) -> JobRun | Refusal:
        """Return a job of an owned home shard; one that is not coordinated yet is taken over."""
        run = self._coordinator.runs.get(job_id)
        if run is None:
            try:
                run = await self._coordinator.load(job_id)
            except PlatformError as exc:
                return _platform_down(exc)
            if run is None:
                return _not_found(job_id)
            if not run.is_finished:
                if not new or run.revision:
                    run.resume()
                self._coordinator.adopt(run)
                run = self._coordinator.runs.get(job_id, run)
        return run

    async def _perform(self, run: JobRun, verb: JobVerb) -> JobReply:
        if verb is JobVerb.EXPLAIN:
            return JobReply(explanation=await self._coordinator.explain(run))
        if verb is JobVerb.CANCEL and not run.is_finished:
            return JobReply(status=await self._coordinator.cancel(run))
        return JobReply(status=await self._coordinator.status(run))

    async def _follow_ownership(self) -> None:
        while True:
            self._coordinator.set_owned_shards(self._node.owned_shards())
            await asyncio.sleep(OWNED_INTERVAL_S)


def _platform_down(exc: PlatformError) -> Refusal:
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"the platform's table gave no answer: {exc}",
        Outcome.UNKNOWN,
        "repeat the call with the same job id; a job that was accepted is not started twice",
        retry_after_s=2.0,
    )
