"""Drive the jobs whose home shards this instance owns."""

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
# Progress of many tasks goes into one write; a successor asks again for what it missed.
FLUSH_INTERVAL_S = 2.0
RESCAN_INTERVAL_S = 15.0
# One job may not fill a shard's queue in one step.
SEND_BATCH_TASKS = 200
CANCEL_BATCH_TASKS = 500
# Running tasks may have to end before a hold is complete; others wait for its capacity.
HOLD_TIMEOUT_S = 20.0
HOLD_POLL_INTERVAL_S = 0.25
SCAN_PAGE_ROWS = 500
# A finished job is served from memory this long; later its rows answer.
FINISHED_JOB_RETENTION_S = 60.0


class ShardClient(Protocol):
    """Reach the owner of a shard, wherever it is."""

    async def run_task(self, req: Request) -> Answer | Refusal:
        """Run a task and return its result."""

    async def query_tasks(self, shard: str, task_ids: tuple[str, ...]) -> TasksReport | Refusal:
        """Return which tasks run and why the others wait."""

    async def cancel_tasks(self, shard: str, task_ids: tuple[str, ...]) -> Refusal | None:
        """Cancel tasks; a refusal means that the shard could not be asked."""

    async def hold_capacity(
        self, shard: str, job_id: str, tasks: tuple[Task, ...], deadline: float
    ) -> HoldReply:
        """Hold capacity for as many of the tasks as the shard can."""

    async def commit_hold(self, shard: str, job_id: str) -> bool:
        """Start the tasks of a hold; tell whether the hold still stood."""

    async def release_hold(self, shard: str, job_id: str) -> None:
        """Give a hold back."""


def _default_policy(queue: str) -> Policy:
    return DEFAULT_POLICY


class JobCoordinator:
    """Own the progress of the jobs of some shards."""

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
        self._homes: dict[str, float] = {}
        self._flush_at = 0.0
        self._forget_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._in_flight: dict[str, set[asyncio.Task[Any]]] = {}
        self._holding: set[str] = set()
        self._cancelling: set[str] = set()

    async def run(self) -> None:
        """Send tasks, store progress and look for new jobs until cancelled."""
        while True:
            now = time.time()
            for home, scan_at in list(self._homes.items()):
                if scan_at <= now:
                    self._homes[home] = now + RESCAN_INTERVAL_S
                    self._spawn(self._scan(home))
            for job_id in list(self.runs):
                await self._advance(self.runs[job_id], now)
            if now >= self._flush_at:
                self._flush_at = now + FLUSH_INTERVAL_S
                await self._flush()
            self._forget(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def set_owned_shards(self, homes: Iterable[str]) -> None:
        """Take over the jobs of newly owned shards and drop those of lost ones."""
        wanted = set(homes)
        for home in wanted - set(self._homes):
            self._homes[home] = 0.0
        for home in set(self._homes) - wanted:
            del self._homes[home]
            for job_id in [key for key, run in self.runs.items() if run.home == home]:
                self._drop(job_id)

    def adopt(self, run: JobRun) -> None:
        """Coordinate a job, unless that is being done already."""
        if run.home in self._homes and run.spec.job_id not in self.runs:
            self.runs[run.spec.job_id] = run

    async def load(self, job_id: str) -> JobRun | None:
        """Return a job from the table, or None; raises PlatformError."""
        row = await self._table.read(job_key(job_id))
        if row.value is None:
            return None
        progress = await self._table.read(progress_key(job_id))
        run = job_from_row(row.value, progress.value["tasks"] if progress.value else None)
        run.revision = progress.revision
        if progress.value and progress.value["cancel_wanted"]:
            run.cancel()
        return run

    async def status(self, run: JobRun) -> JobStatus:
        """Describe a job with the tasks that run now."""
        (status,) = await self.statuses([run])
        return status

    async def statuses(self, runs: Sequence[JobRun]) -> tuple[JobStatus, ...]:
        """Describe several jobs with the tasks that run now; each shard is asked once."""
        report, silent = await self._report(runs)
        running = frozenset(report.running)
        return tuple(run.status(running, silent) for run in runs)

    async def explain(self, run: JobRun) -> JobExplanation:
        """Explain what the tasks of a job wait for."""
        report, silent = await self._report([run])
        waiting: dict[str, int] = {}
        for index, task in enumerate(run.tasks):
            task_id = run.task_id(index)
            if not run.is_open(index) or task_id in report.running:
                continue
            reason = report.waiting.get(task_id) or task.reason or "not sent yet"
            waiting[reason] = waiting.get(reason, 0) + 1
        status = run.status(frozenset(report.running), silent)
        return JobExplanation(run.spec.job_id, status.state, status.reason, waiting)

    async def cancel(self, run: JobRun) -> JobStatus:
        """Cancel a job and return its state after that."""
        run.cancel()
        await self._cancel_open(run)
        return await self.status(run)

    async def _advance(self, run: JobRun, now: float) -> None:
        run.expire_waiting_tasks(now)
        if run.cancel_requested:
            if not run.is_finished and run.spec.job_id not in self._cancelling:
                self._spawn(self._cancel_open(run))
            return
        if run.spec.job_id in self._holding:
            # The tasks have their shards before the hold is committed; sent now, each of them
            # would start without the others.
            return
        if run.spec.kind is WorkKind.GANG and not run.is_placed:
            if run.due_tasks(now, 1):
                self._spawn(self._start_gang(run))
            return
        due = run.due_tasks(now, SEND_BATCH_TASKS)
        marks = [index for index in due if run.needs_intent(index)]
        if marks and not await self._store_intents(run, marks):
            due = [index for index in due if not run.needs_intent(index)]
        for index in due:
            self._send(run, index)

    async def _store_intents(self, run: JobRun, indexes: list[int]) -> bool:
        for index in indexes:
            run.set_intent(index)
        if await self._store([run]):
            return True
        for index in indexes:
            run.clear_intent(index)
        return False

    def _send(self, run: JobRun, index: int) -> None:
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
        self._holding.add(job_id)
        try:
            held = await self._hold_all(run)
            if held is None:
                return
            run.place_gang(held)
            if not await self._store([run]):
                await self._release(job_id, set(held.values()))
                run.clear_placement(time.time())
                return
            await self._commit(run, sorted(set(held.values())))
        finally:
            self._holding.discard(job_id)

    async def _hold_all(self, run: JobRun) -> dict[int, str] | None:
        """Hold capacity for every task, in shard order, or for none."""
        deadline = time.time() + HOLD_TIMEOUT_S
        held: dict[int, str] = {}
        waiting: set[str] = set()
        # Every coordinator takes shards in the same order, so that two gangs which need the
        # same shards cannot each hold a part that the other waits for.
        for shard in sorted(run.shards):
            missing = [index for index in run.open_tasks() if index not in held]
            if missing and not await self._hold_some(run, shard, missing, held, deadline):
                waiting.add(shard)
        if len(held) == len(run.open_tasks()) and await self._ready(run, held, waiting, deadline):
            return held
        await self._release(run.spec.job_id, set(held.values()) | waiting)
        run.retry_gang_later(time.time())
        return None

    async def _hold_some(
        self,
        run: JobRun,
        shard: str,
        indexes: list[int],
        held: dict[int, str],
        deadline: float,
    ) -> bool:
        """Add what a shard holds; tell whether nothing there still has to become free."""
        names = {run.task_id(index): index for index in indexes}
        tasks = tuple(run.build_request(index, time.time()).task for index in indexes)
        reply = await self._shards.hold_capacity(shard, run.spec.job_id, tasks, deadline)
        held.update({names[task_id]: shard for task_id in reply.held if task_id in names})
        return reply.ready or not reply.held

    async def _ready(
        self, run: JobRun, held: dict[int, str], waiting: set[str], deadline: float
    ) -> bool:
        """Wait until every hold is complete; tell whether that was before the deadline."""
        while waiting and not run.cancel_requested and time.time() < deadline:
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
            for shard in sorted(waiting):
                indexes = [index for index, where in held.items() if where == shard]
                again: dict[int, str] = {}
                if await self._hold_some(run, shard, indexes, again, deadline):
                    if len(again) < len(indexes):
                        return False
                    waiting.discard(shard)
        return not waiting and not run.cancel_requested

    async def _commit(self, run: JobRun, shards: list[str]) -> None:
        job_id = run.spec.job_id
        committed = [
            await self._shards.commit_hold(job_id=job_id, shard=shard) for shard in shards
        ]
        if all(committed):
            for index in run.open_tasks():
                self._send(run, index)
            return
        for shard, done in zip(shards, committed, strict=True):
            if done:
                ids = tuple(run.task_id(i) for i in run.tasks_of_shard(shard))
                await self._shards.cancel_tasks(shard, ids)
        await self._release(job_id, set(shards))
        run.abandon_gang_attempt(time.time())

    async def _release(self, job_id: str, shards: set[str]) -> None:
        for shard in sorted(shards):
            await self._shards.release_hold(shard, job_id)

    async def _cancel_open(self, run: JobRun) -> None:
        job_id = run.spec.job_id
        self._cancelling.add(job_id)
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
            self._cancelling.discard(job_id)

    async def _report(self, runs: Sequence[JobRun]) -> tuple[TasksReport, frozenset[str]]:
        """Return what the shards report of the jobs' tasks, and the shards without a report."""
        asked: dict[str, list[str]] = {}
        for run in runs:
            for shard, indexes in run.group_by_shard(run.possibly_sent_tasks()).items():
                asked.setdefault(shard, []).extend(run.task_id(index) for index in indexes)
        calls = [self._shards.query_tasks(shard, tuple(ids)) for shard, ids in asked.items()]
        running: list[str] = []
        waiting: dict[str, str] = {}
        silent = set()
        for shard, report in zip(asked, await asyncio.gather(*calls), strict=True):
            if isinstance(report, TasksReport):
                running.extend(report.running)
                waiting.update(report.waiting)
            else:
                silent.add(shard)
        return TasksReport(tuple(running), waiting), frozenset(silent)

    async def _scan(self, home: str) -> None:
        prefix = f"{UNFINISHED_PREFIX}{home}/"
        after = ""
        try:
            while True:
                rows = await self._table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS)
                for row in rows:
                    await self._resume(home, row)
                if len(rows) < SCAN_PAGE_ROWS:
                    return
                after = rows[-1].key
        except PlatformError as exc:
            log.warning("cannot look for the jobs of shard %s: %s", home, exc)
            if home in self._homes:
                self._homes[home] = time.time() + FLUSH_INTERVAL_S

    async def _resume(self, home: str, row: Row) -> None:
        job_id = str(row.value["job_id"]) if row.value else ""
        if not job_id or job_id in self.runs:
            return
        run = await self.load(job_id)
        if run is not None and home in self._homes and job_id not in self.runs:
            run.resume()
            self.runs[job_id] = run

    async def _flush(self) -> None:
        dirty = [run for run in self.runs.values() if run.dirty]
        if dirty:
            await self._store(dirty)

    async def _store(self, runs: list[JobRun]) -> bool:
        """Write the progress of several jobs in one transaction."""
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
            await self._find_conflicts(runs)
            return False
        for run in runs:
            run.revision = outcome.revisions[progress_key(run.spec.job_id)]
        for job_id in finished:
            self._forget_at[job_id] = time.time() + FINISHED_JOB_RETENTION_S
        return True

    async def _find_conflicts(self, runs: list[JobRun]) -> None:
        """Drop the jobs that another coordinator has written meanwhile."""
        for run in runs:
            run.dirty = True
            try:
                row = await self._table.read(progress_key(run.spec.job_id))
            except PlatformError:
                return
            if row.revision != run.revision:
                log.warning("job %s has another coordinator", run.spec.job_id)
                self._drop(run.spec.job_id)

    def _drop(self, job_id: str) -> None:
        self.runs.pop(job_id, None)
        for task in self._in_flight.pop(job_id, set()):
            task.cancel()

    def _forget(self, now: float) -> None:
        for job_id, forget_at in list(self._forget_at.items()):
            if forget_at <= now:
                del self._forget_at[job_id]
                self._drop(job_id)

    def _spawn(self, coro: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
