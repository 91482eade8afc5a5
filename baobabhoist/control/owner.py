"""Run the cell while this instance owns it."""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import CellRules, Command, RequestAdvice, StartTask, StopTask
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import LEASE_MARGIN_MS, MAX_CLOCK_DRIFT
from baobabhoist.control.advice import AdviceDesk
from baobabhoist.control.clock import SharedClock, boot_ms, unix_ms
from baobabhoist.control.follow import TableFollower
from baobabhoist.control.interfaces import Decoder, WorkerDriver
from baobabhoist.control.loading import CellLoading, CellTables
from baobabhoist.control.messages import PendingReply, StateReply
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.progress import ProgressWriter
from baobabhoist.control.rowmap import (
    CANCEL_SUFFIX,
    JOB_PARTS,
    JOBS_TABLE,
    PROGRESS_TABLE,
    decode_job,
    decode_speeds,
)
from baobabhoist.control.workers import WorkerLoop
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.rows import RowStore, StoredRow, StoreError

log = logging.getLogger(__name__)

TICK_S = 0.1
DIRECTORY_PAUSE_S = 0.2
# Most jobs come by notice; this table brings those whose notice was lost.
JOBS_PAUSE_S = 0.2
LOAD_RETRY_S = 0.15
FORGET_EVERY_TICKS = 100
# The pause after a round of decisions is this many times as long as the round.
DECISION_PAUSE_FACTOR = 3.0
# While a cell is loaded, the loop turns after this many rows, so that beats go out.
ROWS_A_TURN = 40


@attrs.frozen
class Ownership:
    """Hold a won claim.

    `token` fences the workers; `began_ms` is when the claim was won and `earlier_until_ms`
    until when an earlier owner may still renew leases, on the local clock.
    """

    token: int
    generation: int
    began_ms: float
    earlier_until_ms: float


@attrs.define
class OwnerParts:
    """Hold what an owner works with."""

    store: RowStore
    driver: WorkerDriver
    decoder: Decoder
    clock: SharedClock
    advice: AdviceDesk
    lease_ms: float
    job_kept_ms: float
    # Tell whether the claim was confirmed recently enough to order starts.
    may_start: Callable[[], bool]
    # Called once when another owner has the cell.
    on_deposed: Callable[[str], None]
    metrics: NodeMetrics


class CellOwner:
    """Own the tasks that drive one cell; made anew for each claim."""

    def __init__(self, parts: OwnerParts, ownership: Ownership, rules: CellRules) -> None:
        self.loaded = False
        self._cell: CellScheduler | None = None
        self.ownership = ownership
        self.progress = ProgressWriter(parts.store, ownership.token, self._deposed)
        self.progress.on_acked = self._acked
        self._parts = parts
        self._rules = rules
        self._loading = CellLoading(parts.store, parts.decoder.tables.directory)
        self._tasks: set[asyncio.Task[None]] = set()
        self._loops: dict[str, WorkerLoop] = {}
        self._kicked = False
        self._decide_from_ms = 0.0
        self._deposed_told = False
        self._ticks = 0

    async def run(self) -> None:
        """Load what lasts, then work until cancelled."""
        try:
            await self._load()
            self.spawn(self._jobs_follower().run())
            self.spawn(self._directory_follower().run())
            self.spawn(self.progress.run(self._require_cell()))
            await self._tick_forever()
        finally:
            self.stop()

    def stop(self) -> None:
        """Stop all tasks; nothing is ordered any more."""
        for loop in self._loops.values():
            loop.cancel()
        self._loops.clear()
        for task in self._tasks:
            task.cancel()

    @property
    def cell(self) -> CellScheduler | None:
        """Return the cell once it is loaded: before, its jobs look as if nothing had run."""
        return self._cell if self.loaded else None

    def use_rules(self, rules: CellRules) -> None:
        """Use these queues and teams from now on."""
        self._rules = rules
        if self._cell is not None:
            self._cell.set_rules(rules)
            self.kick()

    def may_renew(self) -> bool:
        """Tell whether leases may be renewed: not once a later owner may count on their end."""
        return self._parts.may_start()

    # Questions and notices of the other instances.

    def job_stored(self, job_id: str, value: bytes, version: int) -> None:
        """Take a job over that was just stored."""
        cell = self._cell
        if cell is None:
            return
        try:
            accepted = decode_job(job_id, value, version)
        except ValueError as exc:
            emit(log, Event.ROW_UNREADABLE, table=JOBS_TABLE, row=job_id, detail=exc)
            return
        accepted_at = self._parts.clock.local_ms(accepted.accepted_ms)
        if cell.add_job(accepted, accepted_at, boot_ms(), unix_ms()):
            self.kick()

    def job_cancelled(self, job_id: str) -> None:
        """Cancel a job whose cancellation was just stored."""
        if self._cell is not None and self._cell.cancel_job(job_id, boot_ms()):
            self.kick()
            self.progress.wake()

    def state_of(self, job_id: str) -> StateReply:
        """Return the state of a job."""
        job = self.cell.find_job(job_id) if self.cell is not None else None
        if job is None:
            return StateReply()
        return StateReply(job.phase.value, job.accepted.queue, job.accepted.team)

    def pending_in(self, queue: str) -> PendingReply | None:
        """Return how many jobs of a queue have not begun, or None while loading."""
        return PendingReply(self.cell.count_queued_jobs(queue)) if self.cell is not None else None

    # Loading.

    async def _load(self) -> None:
        while not self._loading.complete:
            try:
                await self._loading.read_missing()
            except StoreError as exc:
                emit(log, Event.LOAD_FAILED, missing=len(self._loading.missing), detail=exc)
                await asyncio.sleep(LOAD_RETRY_S)
        await self._use_loaded(self._loading.tables())

    async def _use_loaded(self, tables: CellTables) -> None:
        takeover = Takeover(
            self.ownership.generation, self.ownership.token, self._leases_lapsed_ms()
        )
        known = (*tables.progress, *tables.own, *tables.learned)
        self.progress.loaded({row.key: row.version for row in known})
        cell = CellScheduler(self._rules, takeover, self._parts.lease_ms)
        cell.placer.max_advice_requests = self._parts.advice.capacity
        self._use_learned(cell, tables.learned)
        self._cell = cell
        self._directory_changed(tables.directory, True)
        await self._load_jobs(tables.jobs)
        now = boot_ms()
        for number, row in enumerate(tables.progress):
            self._apply_progress(cell, row, now)
            if number % ROWS_A_TURN == 0:
                await asyncio.sleep(0)
        self.loaded = True
        self._sync_workers()
        cell.log_inherited_jobs(now)
        emit(
            log,
            Event.CELL_LOADED,
            jobs=len(cell.state.jobs),
            workers=len(cell.state.workers),
            runs=sum(len(worker.runs) for worker in cell.state.workers.values()),
            token=self.ownership.token,
            took_ms=round(now - self.ownership.began_ms),
        )
        self._parts.metrics.took_over((now - self.ownership.began_ms) / 1000)

    def _leases_lapsed_ms(self) -> float:
        """Return when every lease that earlier owners gave has lapsed for certain."""
        last_ms = max(self.ownership.began_ms, self.ownership.earlier_until_ms)
        return last_ms + self._parts.lease_ms / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS

    async def _load_jobs(self, rows: Sequence[StoredRow]) -> None:
        # Cancellations come last, because they need their jobs.
        ordered = sorted(rows, key=lambda r: r.key.key.endswith(CANCEL_SUFFIX))
        for first in range(0, len(ordered), ROWS_A_TURN):
            self._jobs_changed(ordered[first : first + ROWS_A_TURN], False)
            await asyncio.sleep(0)

    def _use_learned(self, cell: CellScheduler, rows: Sequence[StoredRow]) -> None:
        for row in rows:
            try:
                if row.value is not None:
                    cell.state.speeds = decode_speeds(row.value)
            except ValueError as exc:
                emit(log, Event.ROW_UNREADABLE, table=row.key.table, row=row.key.key, detail=exc)

    def _apply_progress(self, cell: CellScheduler, row: StoredRow, now: float) -> None:
        try:
            if row.value is not None:
                cell.restore_job(row.key.key, progress_rows.decode(row.value), now)
        except (ValueError, IndexError) as exc:
            emit(log, Event.ROW_UNREADABLE, table=PROGRESS_TABLE, row=row.key.key, detail=exc)

    # Tables.

    def _jobs_follower(self) -> TableFollower:
        """Follow the jobs from where they were read, because that was the largest reading."""
        return TableFollower(
            self._parts.store,
            JOBS_TABLE,
            self._jobs_changed,
            self._parts.clock,
            parts=JOB_PARTS,
            pause_s=lambda: JOBS_PAUSE_S,
            known_version=self._loading.tables().jobs_version,
        )

    def _directory_follower(self) -> TableFollower:
        return TableFollower(
            self._parts.store,
            self._parts.decoder.tables.directory,
            self._directory_changed,
            self._parts.clock,
            pause_s=lambda: DIRECTORY_PAUSE_S,
        )

    def _jobs_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        for row in sorted(rows, key=lambda r: r.key.key.endswith(CANCEL_SUFFIX)):
            if row.value is None:
                continue
            if row.key.key.endswith(CANCEL_SUFFIX):
                self.job_cancelled(row.key.key.removesuffix(CANCEL_SUFFIX))
            else:
                self.job_stored(row.key.key, row.value, row.version)

    def _directory_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        cell, now = self._require_cell(), boot_ms()
        found = []
        for row in rows:
            if row.value is None:
                cell.unlist_worker(row.key.key, now)
                continue
            info = self._parts.decoder.worker(row.key.key, row.value)
            if info is not None:
                found.append(info)
        if whole:
            cell.sync_directory(found, now)
        for info in found:
            cell.update_worker(info, now)
        self._sync_workers()

    def _sync_workers(self) -> None:
        """Keep a loop for each worker."""
        if not self.loaded:
            return
        workers = self._require_cell().state.workers
        for worker_id in list(self._loops):
            if worker_id not in workers:
                self._loops.pop(worker_id).cancel()
        for worker_id, worker in workers.items():
            if worker.info.address:
                self._open_loop(worker_id)
        self.kick()

    def _open_loop(self, worker_id: str) -> None:
        if worker_id in self._loops:
            return
        state = self._require_cell().state.workers[worker_id]
        loop = WorkerLoop(self, self._parts.driver, state, self._parts.lease_ms)
        self._loops[worker_id] = loop
        loop.start()

    def _acked(self, worker_id: str) -> None:
        loop = self._loops.get(worker_id)
        if loop is not None:
            loop.acked.set()

    # Decisions and orders.

    def kick(self) -> None:
        """Decide in this turn of the event loop, once for all events that came in it."""
        if not self._kicked:
            self._kicked = True
            delay_s = (self._decide_from_ms - boot_ms()) / 1000
            asyncio.get_running_loop().call_later(max(0.0, delay_s), self._decide)

    def _decide(self) -> None:
        self._kicked = False
        cell = self.cell
        if cell is None:
            return
        if cell.is_fenced:
            self._deposed("a worker obeys a higher fencing token")
            return
        began_s = time.perf_counter()
        commands = cell.schedule(boot_ms(), self._parts.may_start())
        took_s = time.perf_counter() - began_s
        # Under a flood of events decisions take at most a part of the processor.
        self._decide_from_ms = boot_ms() + took_s * 1000 * DECISION_PAUSE_FACTOR
        self._parts.metrics.decided(took_s)
        for command in commands:
            if isinstance(command, StartTask):
                self.progress.when_stored(functools.partial(self._send, command))
            else:
                self._send(command)
        if cell.state.dirty:
            self.progress.wake()

    def _send(self, command: Command) -> None:
        self.spawn(self._ORDERS[type(command)](self, command))

    async def _start(self, order: StartTask) -> None:
        loop = self._loops.get(order.worker_id)
        cell = self._require_cell()
        if loop is not None and cell.should_send_start(order):
            self._observe_start(order)
            sent_ms = boot_ms()
            outcome = await loop.start_task(order)
            seconds = (boot_ms() - sent_ms) / 1000
            self._parts.metrics.worker_called("start", outcome.value, seconds)
            cell.handle_start_result(order, outcome, boot_ms())
            self.kick()

    def _observe_start(self, order: StartTask) -> None:
        job = self._require_cell().find_job(order.task.job_id)
        step = job.find_step(order.task) if job is not None else None
        if job is not None and step is not None:
            waited_s = (boot_ms() - step.ready_since_ms) / 1000
            self._parts.metrics.started(job.accepted.team, job.accepted.queue, waited_s)

    async def _stop(self, order: StopTask) -> None:
        loop = self._loops.get(order.worker_id)
        if loop is not None:
            outcome = await loop.stop_task(order)
            self._require_cell().handle_stop_result(order, outcome, boot_ms())
            self.kick()

    async def _ask(self, question: RequestAdvice) -> None:
        advice = await self._parts.advice.ask(question)
        cell, now = self._require_cell(), boot_ms()
        if advice is None:
            cell.handle_advice_failure(question.step, now + LOAD_RETRY_S * 1000)
        else:
            cell.handle_advice(
                question.step, question.workers, advice.tickets, now + advice.valid_ms
            )
        self.kick()

    _ORDERS: dict[type[Command], Callable[[Any, Any], Coroutine[Any, Any, None]]] = {
        StartTask: _start,
        StopTask: _stop,
        RequestAdvice: _ask,
    }

    async def _tick_forever(self) -> None:
        while True:
            cell = self._require_cell()
            cell.placer.max_advice_requests = self._parts.advice.capacity
            cell.tick(boot_ms(), unix_ms())
            self._ticks += 1
            if self._ticks % FORGET_EVERY_TICKS == 0:
                self._forget_old(cell)
            if set(self._loops) - set(cell.state.workers):
                self._sync_workers()
            self.kick()
            await asyncio.sleep(TICK_S)

    def _forget_old(self, cell: CellScheduler) -> None:
        """Remove jobs that finished long enough ago."""
        limit = boot_ms() - 2 * self._parts.job_kept_ms
        old = [j.job_id for j in cell.state.jobs.values() if j.is_final and j.ended_ms < limit]
        for job_id in old:
            cell.remove_job(job_id)
            self.spawn(self.progress.remove_job(job_id))

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a task as long as this owner."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            emit(log, Event.TASK_CRASHED, detail=repr(task.exception()))
            log.error("task crashed", exc_info=task.exception())

    def _deposed(self, reason: str) -> None:
        if not self._deposed_told:
            self._deposed_told = True
            self._parts.on_deposed(reason)

    def _require_cell(self) -> CellScheduler:
        if self._cell is None:
            raise RuntimeError("the cell is not loaded")
        return self._cell
