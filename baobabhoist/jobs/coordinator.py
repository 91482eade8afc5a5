"""Coordinate the jobs whose home shards this instance owns."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from baobabhoist.errors import PlatformError, Refusal
from baobabhoist.jobs.messages import HoldReply, TasksReport
from baobabhoist.jobs.rows import (
    UNFINISHED_PREFIX,
    job_from_row,
    job_key,
    progress_key,
    unfinished_job_key,
)
from baobabhoist.jobs.state import JobRun
from baobabhoist.model import (
    Answer,
    JobExplanation,
    JobStatus,
    Request,
    Task,
    WorkKind,
)
from baobabhoist.records.kinds import Policy
from baobabhoist.records.view import DEFAULT_POLICY
from baobabhoist.store.table import Row, Table, Transaction

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
# The progress of many tasks is written at once. After a change of coordinator, the next one asks
# the shards again for outcomes that were not written yet.
FLUSH_INTERVAL_S = 2.0
RESCAN_INTERVAL_S = 15.0
# Keeps one job from filling the queue of a shard in one step.
SEND_BATCH_TASKS = 200
CANCEL_BATCH_TASKS = 500
# A hold may have to wait for running tasks to end, while other jobs wait for its capacity.
HOLD_TIMEOUT_S = 20.0
HOLD_POLL_INTERVAL_S = 0.25
SCAN_PAGE_ROWS = 500
# A finished job is served from memory for this time and from the table after that.
FINISHED_JOB_RETENTION_S = 60.0


class ShardClient(Protocol):
    """Call the owner of a shard, on this instance or another one."""

    async def run_task(self, req: Request) -> Answer | Refusal:
        """Run a task and return its result."""

    async def query_tasks(self, shard: str, task_ids: tuple[str, ...]) -> TasksReport | Refusal:
        """Return which tasks are running and why the others are waiting."""

    async def cancel_tasks(self, shard: str, task_ids: tuple[str, ...]) -> Refusal | None:
        """Cancel tasks, or return a refusal if the shard could not be reached."""

    async def hold_capacity(
        self, shard: str, job_id: str, tasks: tuple[Task, ...], deadline: float
    ) -> HoldReply:
        """Hold capacity for as many of the tasks as the shard can."""

    async def commit_hold(self, shard: str, job_id: str) -> bool:
        """Start the tasks of a hold; return false if the hold no longer exists."""

    async def release_hold(self, shard: str, job_id: str) -> None:
        """Release the capacity of a hold."""


def _default_policy(queue: str) -> Policy:
    return DEFAULT_POLICY


class JobCoordinator:
    """Run the jobs of the owned shards and store their progress."""

    def __init__(
        self,
        table: Table,
        shards: ShardClient,
        policy_of: Callable[[str], Policy] = _default_policy,
    ) -> None:
        self.runs: dict[str, JobRun] = {}
        self._table = table
        self._shards = shards
        self._policy_of = policy_of
        # The owned shards, each with the time of its next scan for unfinished jobs.
        self._next_scan_at: dict[str, float] = {}
        self._flush_at = 0.0
        self._evict_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._in_flight: dict[str, set[asyncio.Task[Any]]] = {}
        self._starting_gangs: set[str] = set()
        self._cancelling_jobs: set[str] = set()
        # Two writes of one job at a time would look like a conflict with another coordinator.
        self._store_lock = asyncio.Lock()

    async def run(self) -> None:
        """Send tasks, store progress and scan the table for new jobs until cancelled."""
        while True:
            now = time.time()
            for home, scan_at in list(self._next_scan_at.items()):
                if scan_at <= now:
                    self._next_scan_at[home] = now + RESCAN_INTERVAL_S
                    self._spawn(self._scan_unfinished_jobs(home))
            for job_id in list(self.runs):
                await self._advance_job(self.runs[job_id], now)
            if now >= self._flush_at:
                self._flush_at = now + FLUSH_INTERVAL_S
                await self._flush_progress()
            self._evict_finished(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def set_owned_shards(self, homes: Iterable[str]) -> None:
        """Take over the jobs of newly owned shards and stop coordinating those of lost ones."""
        owned = set(homes)
        for home in owned - set(self._next_scan_at):
            self._next_scan_at[home] = 0.0
        for home in set(self._next_scan_at) - owned:
            del self._next_scan_at[home]
            for job_id in [key for key, run in self.runs.items() if run.home == home]:
                self._stop_coordinating(job_id)

    def adopt(self, run: JobRun) -> None:
        """Start to coordinate a job of an owned shard, unless it is coordinated already."""
        if run.home in self._next_scan_at and run.spec.job_id not in self.runs:
            self.runs[run.spec.job_id] = run

    async def load(self, job_id: str) -> JobRun | None:
        """Return a job from the table, or None if there is none; raises PlatformError."""
        row = await self._table.read(job_key(job_id))
        if row.value is None:
            return None
        progress = await self._table.read(progress_key(job_id))
        run = job_from_row(row.value, progress.value["tasks"] if progress.value else None)
        run.revision = progress.revision
        if progress.value and progress.value["cancel_wanted"]:
            run.mark_possibly_sent()
            run.cancel()
        return run

    async def status(self, run: JobRun) -> JobStatus:
        """Return the status of a job, including which tasks are running."""
        (status,) = await self.statuses([run])
        return status

    async def statuses(self, runs: Sequence[JobRun]) -> tuple[JobStatus, ...]:
        """Return the statuses of several jobs with one query to each shard."""
        report, unresponsive = await self._query_shards(runs)
        running = frozenset(report.running)
        return tuple(run.status(running, unresponsive) for run in runs)

    async def explain(self, run: JobRun) -> JobExplanation:
        """Return why the tasks of a job are waiting."""
        report, unresponsive = await self._query_shards([run])
        waiting: dict[str, int] = {}
        for index, task in enumerate(run.tasks):
            task_id = run.task_id(index)
            if not run.is_open(index) or task_id in report.running:
                continue
            reason = report.waiting.get(task_id) or task.reason or "not sent yet"
            waiting[reason] = waiting.get(reason, 0) + 1
        status = run.status(frozenset(report.running), unresponsive)
        return JobExplanation(run.spec.job_id, status.state, status.reason, waiting)

    async def cancel(self, run: JobRun) -> JobStatus | None:
        """Cancel a job and return its status after that, or None if that may not be stored."""
        if run.is_finished and self.runs.get(run.spec.job_id) is not run:
            # It was read from the table.
            return await self.status(run)
        if not run.is_finished:
            run.cancel()
        is_stored, _ = await asyncio.gather(
            self._store_cancelling(run), self._cancel_open_tasks(run)
        )
        return await self.status(run) if is_stored else None

    async def _advance_job(self, run: JobRun, now: float) -> None:
        run.expire_waiting_tasks(now)
        if run.cancel_requested:
            if not run.is_finished and run.spec.job_id not in self._cancelling_jobs:
                self._spawn(self._cancel_open_tasks(run))
            return
        if run.spec.job_id in self._starting_gangs:
            # The tasks are assigned to shards before the hold is committed. If they were sent
            # now, each would start on its own.
            return
        if run.spec.kind is WorkKind.GANG and not run.is_placed:
            if run.due_tasks(now, 1):
                self._spawn(self._start_gang(run))
            return
        due = run.due_tasks(now, SEND_BATCH_TASKS)
        need_intent = [index for index in due if run.needs_intent(index)]
        if need_intent and not await self._store_intents(run, need_intent):
            due = [index for index in due if not run.needs_intent(index)]
        for index in due:
            self._send_task(run, index)

    async def _store_intents(self, run: JobRun, indexes: list[int]) -> bool:
        for index in indexes:
            run.set_intent(index)
        if await self._store_progress([run]):
            return True
        for index in indexes:
            run.clear_intent(index)
        return False

    def _send_task(self, run: JobRun, index: int) -> None:
        req = run.build_request(index, time.time())
        run.record_sent(index)
        task = self._spawn(self._run_task(run, index, req))
        sent = self._in_flight.setdefault(run.spec.job_id, set())
        sent.add(task)
        task.add_done_callback(sent.discard)

    async def _run_task(self, run: JobRun, index: int, req: Request) -> None:
        result = await self._shards.run_task(req)
        if run.task_id(index) == req.request_id and run.is_open(index):
            run.retries = self._policy_of(run.spec.queue).retries
            run.apply_result(index, result, time.time())

    async def _start_gang(self, run: JobRun) -> None:
        job_id = run.spec.job_id
        self._starting_gangs.add(job_id)
        try:
            shard_by_index = await self._hold_whole_gang(run)
            if shard_by_index is None:
                return
            run.place_gang(shard_by_index)
            if not await self._store_progress([run]):
                await self._release_holds(job_id, set(shard_by_index.values()))
                run.clear_placement(time.time())
                return
            await self._commit_gang(run, sorted(set(shard_by_index.values())))
        finally:
            self._starting_gangs.discard(job_id)

    async def _hold_whole_gang(self, run: JobRun) -> dict[int, str] | None:
        """Hold capacity for every task of a gang or for none; return the shard of each task."""
        deadline = time.time() + HOLD_TIMEOUT_S
        shard_by_index: dict[int, str] = {}
        pending_shards: set[str] = set()
        # All coordinators ask the shards in the same order to avoid a deadlock in which each of
        # two gangs holds capacity that the other one waits for.
        for shard in sorted(run.shards):
            missing = [index for index in run.open_tasks() if index not in shard_by_index]
            if missing and not await self._hold_in_shard(
                run, shard, missing, shard_by_index, deadline
            ):
                pending_shards.add(shard)
        if len(shard_by_index) == len(run.open_tasks()) and await self._wait_until_ready(
            run, shard_by_index, pending_shards, deadline
        ):
            return shard_by_index
        await self._release_holds(run.spec.job_id, set(shard_by_index.values()) | pending_shards)
        run.retry_gang_later(time.time())
        return None

    async def _hold_in_shard(
        self,
        run: JobRun,
        shard: str,
        indexes: list[int],
        shard_by_index: dict[int, str],
        deadline: float,
    ) -> bool:
        """Record in `shard_by_index` what a shard holds; return false if it is not ready yet."""
        index_by_task_id = {run.task_id(index): index for index in indexes}
        tasks = tuple(run.build_request(index, time.time()).task for index in indexes)
        reply = await self._shards.hold_capacity(shard, run.spec.job_id, tasks, deadline)
        shard_by_index.update(
            {
                index_by_task_id[task_id]: shard
                for task_id in reply.held
                if task_id in index_by_task_id
            }
        )
        return reply.ready or not reply.held

    async def _wait_until_ready(
        self,
        run: JobRun,
        shard_by_index: dict[int, str],
        pending_shards: set[str],
        deadline: float,
    ) -> bool:
        """Wait until every hold is complete; return whether that is so before the deadline."""
        while pending_shards and not run.cancel_requested and time.time() < deadline:
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
            for shard in sorted(pending_shards):
                indexes = [
                    index
                    for index, holding_shard in shard_by_index.items()
                    if holding_shard == shard
                ]
                still_held: dict[int, str] = {}
                if await self._hold_in_shard(run, shard, indexes, still_held, deadline):
                    if len(still_held) < len(indexes):
                        return False
                    pending_shards.discard(shard)
        return not pending_shards and not run.cancel_requested

    async def _commit_gang(self, run: JobRun, shards: list[str]) -> None:
        job_id = run.spec.job_id
        committed = [
            await self._shards.commit_hold(job_id=job_id, shard=shard) for shard in shards
        ]
        if all(committed):
            for index in run.open_tasks():
                self._send_task(run, index)
            return
        for shard, is_committed in zip(shards, committed, strict=True):
            if is_committed:
                ids = tuple(run.task_id(i) for i in run.tasks_of_shard(shard))
                await self._shards.cancel_tasks(shard, ids)
        await self._release_holds(job_id, set(shards))
        run.abandon_gang_attempt(time.time())

    async def _release_holds(self, job_id: str, shards: set[str]) -> None:
        for shard in sorted(shards):
            await self._shards.release_hold(shard, job_id)

    async def _cancel_open_tasks(self, run: JobRun) -> None:
        job_id = run.spec.job_id
        self._cancelling_jobs.add(job_id)
        try:
            for shard, indexes in run.group_by_shard(run.tasks_to_cancel()).items():
                for start in range(0, len(indexes), CANCEL_BATCH_TASKS):
                    batch = indexes[start : start + CANCEL_BATCH_TASKS]
                    ids = tuple(run.task_id(index) for index in batch)
                    if await self._shards.cancel_tasks(shard, ids) is None:
                        for index in batch:
                            run.record_cancelled(index)
            await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            self._cancelling_jobs.discard(job_id)

    async def _query_shards(self, runs: Sequence[JobRun]) -> tuple[TasksReport, frozenset[str]]:
        """Return what the shards report of the jobs' tasks, and which shards did not respond."""
        task_ids_by_shard: dict[str, list[str]] = {}
        for run in runs:
            for shard, indexes in run.group_by_shard(run.possibly_sent_tasks()).items():
                task_ids_by_shard.setdefault(shard, []).extend(
                    run.task_id(index) for index in indexes
                )
        queries = [
            self._shards.query_tasks(shard, tuple(ids)) for shard, ids in task_ids_by_shard.items()
        ]
        running: list[str] = []
        waiting: dict[str, str] = {}
        unresponsive = set()
        for shard, report in zip(task_ids_by_shard, await asyncio.gather(*queries), strict=True):
            if isinstance(report, TasksReport):
                running.extend(report.running)
                waiting.update(report.waiting)
            else:
                unresponsive.add(shard)
        return TasksReport(tuple(running), waiting), frozenset(unresponsive)

    async def _scan_unfinished_jobs(self, home: str) -> None:
        prefix = f"{UNFINISHED_PREFIX}{home}/"
        after = ""
        try:
            while True:
                rows = await self._table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS)
                for row in rows:
                    await self._resume_job(home, row)
                if len(rows) < SCAN_PAGE_ROWS:
                    return
                after = rows[-1].key
        except PlatformError as exc:
            log.warning("cannot scan the unfinished jobs of shard %s: %s", home, exc)
            if home in self._next_scan_at:
                self._next_scan_at[home] = time.time() + FLUSH_INTERVAL_S

    async def _resume_job(self, home: str, row: Row) -> None:
        job_id = str(row.value["job_id"]) if row.value else ""
        if not job_id or job_id in self.runs:
            return
        run = await self.load(job_id)
        if run is not None and home in self._next_scan_at and job_id not in self.runs:
            run.resume()
            self.runs[job_id] = run

    async def _flush_progress(self) -> None:
        dirty = [run for run in self.runs.values() if run.dirty]
        if dirty:
            await self._store_progress(dirty)

    async def _store_cancelling(self, run: JobRun) -> bool:
        """Write the progress of a cancelled job unless it is stored; return whether it is.

        All jobs that are cancelled by then share one transaction.
        """
        async with self._store_lock:
            if not run.dirty:
                return True
            others = [r for r in self.runs.values() if r.dirty and r.cancel_requested]
            return await self._commit_progress([run, *(r for r in others if r is not run)])

    async def _store_progress(self, runs: list[JobRun]) -> bool:
        """Write the progress of several jobs in one transaction; return whether it was stored."""
        async with self._store_lock:
            return await self._commit_progress(runs)

    async def _commit_progress(self, runs: list[JobRun]) -> bool:
        checks: dict[str, int] = {}
        writes: dict[str, Any] = {}
        finished = []
        for run in runs:
            run.dirty = False
            job_id = run.spec.job_id
            checks[progress_key(job_id)] = run.revision
            writes[progress_key(job_id)] = {
                "tasks": run.progress_to_row(),
                "cancel_wanted": run.cancel_requested,
            }
            if run.is_finished:
                writes[unfinished_job_key(run.home, job_id)] = None
                finished.append(job_id)
        try:
            outcome = await self._table.commit(Transaction(checks, writes))
        except PlatformError as exc:
            log.warning("cannot store the progress of %d jobs: %s", len(runs), exc)
            for run in runs:
                run.dirty = True
            return False
        if isinstance(outcome, Refusal):
            await self._drop_conflicting_jobs(runs)
            return False
        for run in runs:
            run.revision = outcome.revisions[progress_key(run.spec.job_id)]
        for job_id in finished:
            self._evict_at[job_id] = time.time() + FINISHED_JOB_RETENTION_S
        return True

    async def _drop_conflicting_jobs(self, runs: list[JobRun]) -> None:
        """Stop coordinating the jobs whose progress another coordinator has written since."""
        for run in runs:
            run.dirty = True
            try:
                row = await self._table.read(progress_key(run.spec.job_id))
            except PlatformError:
                return
            if row.revision != run.revision:
                log.warning(
                    "stopped coordinating job %s: another instance wrote its progress",
                    run.spec.job_id,
                )
                self._stop_coordinating(run.spec.job_id)

    def _stop_coordinating(self, job_id: str) -> None:
        self.runs.pop(job_id, None)
        for task in self._in_flight.pop(job_id, set()):
            task.cancel()

    def _evict_finished(self, now: float) -> None:
        for job_id, evict_at in list(self._evict_at.items()):
            if evict_at <= now:
                del self._evict_at[job_id]
                self._stop_coordinating(job_id)

    def _spawn(self, coro: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
