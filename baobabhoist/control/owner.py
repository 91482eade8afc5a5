"""Run the cell while this instance owns it."""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from collections.abc import Sequence

from baobabhoist.cell.evacuations import NO_EVACUATIONS, Evacuations
from baobabhoist.cell.jobs import JobState
from baobabhoist.cell.model import CellRules, StartTask
from baobabhoist.cell.placement_preview import PreviewTime, preview_placement
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.control.cell_loader import CellLoader, CellTables
from baobabhoist.control.clock import monotonic_ms, unix_ms
from baobabhoist.control.command_sender import CommandSender
from baobabhoist.control.job_admission import KnownWaits
from baobabhoist.control.job_rows import JobRows, cancellations_last
from baobabhoist.control.messages import (
    JobWaits,
    PendingReply,
    PlacementQuery,
    PlacementReply,
    StateReply,
)
from baobabhoist.control.owner_dependencies import OwnerDependencies
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.progress_writer import ProgressWriter
from baobabhoist.control.range_reader import max_concurrent_reads
from baobabhoist.control.row_schema import (
    CANCEL_SUFFIX,
    ID_RETENTION_FACTOR,
    JOB_PARTITIONS,
    JOBS_TABLE,
)
from baobabhoist.control.sessions.pool import PoolDependencies, SessionPool
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.control.stored_rows import (
    group_by_job,
    restore_progress,
    restore_speeds,
    restore_usage,
)
from baobabhoist.control.table_follower import TableFollower
from baobabhoist.control.task_supervisor import TaskSupervisor
from baobabhoist.control.tombstone_sweeper import TombstoneSweeper
from baobabhoist.control.waiting_report import WaitingReporter
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import StoredRow, StoreError

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
DIRECTORY_POLL_PAUSE_S = 0.2
# Most jobs arrive by notification; polling the table finds those whose notification was lost.
JOBS_POLL_PAUSE_S = 0.2
LOAD_RETRY_INTERVAL_S = 0.15
# A query for a job that has just ended is answered this much later at most.
MAX_END_WAIT_S = 0.2
RETENTION_CHECK_TICKS = 100
# A new owner starts nothing until its view of the operator's table is confirmed; a confirmation
# counts if it came at most this long before the won claim.
MAX_OPERATOR_TABLE_AGE_MS = 2_500.0
# Least pause after a scheduling round, as a multiple of the round's duration.
ROUND_PAUSE_FACTOR = 3.0
# While loading a cell, yield to the event loop after this many rows, so that heartbeats are sent.
ROWS_PER_YIELD = 40


class CellOwner:
    """Run the tasks that drive one cell; each won claim gets a new instance."""

    def __init__(
        self,
        deps: OwnerDependencies,
        ownership: OwnershipTerm,
        rules: CellRules,
        evacuations: Evacuations = NO_EVACUATIONS,
    ) -> None:
        self.is_loaded = False
        self._cell: CellScheduler | None = None
        self.ownership = ownership
        self._silent_workers = SilentWorkers(deps.clock, deps.row_max_bytes)
        self.progress_writer = ProgressWriter(
            deps.store,
            ownership.token,
            self._report_ownership_lost,
            deps.row_max_bytes,
            self._silent_workers,
        )
        self.progress_writer.on_end_acked = self._handle_end_acked
        self.progress_writer.store_now_ms = deps.clock.now_ms
        self._deps = deps
        self._rules = rules
        self._evacuations = evacuations
        self._max_reads = max_concurrent_reads(deps.size.link_mbps)
        self._loader = CellLoader(deps.store, deps.decoder.tables.directory, self._max_reads)
        self._directory = self._directory_follower()
        # Set once the cell is loaded, because it continues from the loaded version.
        self._jobs: TableFollower | None = None
        self._tasks = TaskSupervisor()
        self.sessions = SessionPool(
            PoolDependencies(
                deps.driver,
                self,
                ownership.token,
                deps.lease_ms,
                deps.size,
                deps.session_hosts,
                self._silent_workers,
                lambda: self.progress_writer.newest_token,
            )
        )
        self._silent_workers.gate = self.sessions
        self._round_requested = False
        self._next_round_ms = 0.0
        self._ownership_lost_reported = False
        self._job_rows = JobRows(deps.clock)
        self._ticks = 0
        self._waiting_reporter = WaitingReporter(deps.loop_lag)
        self._sender = CommandSender(
            self.sessions,
            deps.advice_dispatcher,
            deps.metrics,
            self._waiting_reporter,
            self._tasks,
            self.may_renew,
            self.request_scheduling_round,
        )

    async def run(self) -> None:
        """Load the stored state, then run the cell until cancelled; raises if a task failed."""
        try:
            await self._load()
            if self._tasks.is_stopped:
                return
            self._jobs = self._jobs_follower()
            self._tasks.spawn_service(self._jobs.run())
            self._tasks.spawn_service(self._directory.run())
            self._tasks.spawn_service(self.progress_writer.run(self._require_cell()))
            self._tasks.spawn_service(self._run_ticks())
            self._tasks.spawn_service(TombstoneSweeper(self._deps.store, self._deps.clock).run())
            await self._tasks.wait_for_failure()
        finally:
            self.stop()

    def stop(self) -> None:
        """Cancel all tasks, so that no further commands are sent."""
        self.sessions.stop()
        self._tasks.stop()

    async def wait_until_stopped(self) -> None:
        """Wait, after `stop`, until the progress of an interrupted write is marked as unsaved."""
        await self._tasks.wait_until_stopped()

    @property
    def cell(self) -> CellScheduler | None:
        """Return the cell, or None while loading, when its jobs look as if they had never run."""
        return self._cell if self.is_loaded else None

    def apply_rules(self, rules: CellRules) -> None:
        """Apply a new configuration of queues and teams."""
        self._rules = rules
        if self._cell is not None:
            self._cell.set_rules(rules)
            self.request_scheduling_round()

    def apply_evacuations(self, evacuations: Evacuations) -> None:
        """Apply the operator's requests to empty data centres."""
        self._evacuations = evacuations
        if self._cell is not None:
            self._cell.set_evacuations(evacuations, monotonic_ms())
            self.request_scheduling_round()

    def may_renew(self) -> bool:
        """Return whether leases may be renewed: not if a later owner may rely on their expiry."""
        return monotonic_ms() < self._deps.authority_ends_ms()

    def authority_ends_ms(self) -> float:
        """Return until when this owner may act if nothing confirms its claim any more."""
        return self._deps.authority_ends_ms()

    def request_flush(self) -> None:
        """Request that changed progress is stored."""
        self.progress_writer.request_flush()

    # Queries and notifications from this and other instances.

    def handle_stored_job(self, job_id: str, value: bytes, version: int) -> None:
        """Add a stored job to the cell, unless its row was read before it was removed."""
        if self._cell is None or not self._job_rows.add(self._cell, job_id, value, version):
            return
        self.request_scheduling_round()
        if self._job_rows.take_early_cancellation(job_id):
            self.handle_cancelled_job(job_id)

    def handle_cancelled_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored, now or once its row is known."""
        if self._job_rows.cancel(self._cell, job_id):
            self.request_scheduling_round()
            self.progress_writer.request_flush()

    def job_state(self, job_id: str) -> StateReply:
        """Return the state of a job."""
        job = self._find_job(job_id)
        if job is None:
            return StateReply()
        return StateReply(job.confirmed_phase.value, job.accepted.queue, job.accepted.team)

    async def settled_job_state(self, job_id: str) -> StateReply:
        """Return the state of a job; if it has just ended, wait shortly until that is stored."""
        job = self._find_job(job_id)
        if job is not None and job.is_final and not job.is_end_stored:
            await self.progress_writer.wait_until_stored(MAX_END_WAIT_S)
        return self.job_state(job_id)

    def _find_job(self, job_id: str) -> JobState | None:
        return self.cell.find_job(job_id) if self.cell is not None else None

    def count_pending_jobs(self, queue: str) -> PendingReply | None:
        """Return the number of jobs of a queue that have not started, or None while loading."""
        if self.cell is None or not self._has_polled_jobs():
            return None
        return PendingReply(self.cell.count_queued_jobs(queue))

    def preview_placement(self, query: PlacementQuery) -> PlacementReply | None:
        """Return where a job would go now, or None while loading; this changes nothing."""
        if self.cell is None:
            return None
        queue = self._rules.queues.get(query.queue)
        if queue is None:
            return PlacementReply()
        preview = preview_placement(
            self.cell.placer,
            queue,
            query.team,
            query.spec,
            PreviewTime(monotonic_ms(), self._deps.clock.now_ms()),
            self._may_start() and not self.cell.is_fenced,
        )
        return PlacementReply(preview)

    def refuse_jobs_ms(self) -> float:
        """Return for how long new jobs should be refused, or 0: too many wait for their start."""
        if self.cell is None:
            return 0.0
        return self.cell.state.start_backlog.refuse_jobs_ms(monotonic_ms())

    def job_waits(self) -> KnownWaits | None:
        """Return the expected waits of new jobs, or None while loading or with admission off."""
        if self.cell is None or not self._deps.policy.refuses_hopeless_jobs:
            return None
        table = self.cell.admission.table
        instances = 1 + len(self._deps.session_hosts())
        return KnownWaits(JobWaits(table.rows, 0.0, instances), table.computed_ms)

    # Loading.

    async def _load(self) -> None:
        while not self._loader.is_complete:
            try:
                await self._loader.read_missing()
            except StoreError as exc:
                emit(log, Event.LOAD_FAILED, missing=len(self._loader.missing), detail=exc)
                await asyncio.sleep(LOAD_RETRY_INTERVAL_S)
        await self._build_cell(self._loader.tables())

    async def _build_cell(self, tables: CellTables) -> None:
        self._silent_workers.load(tables.silent_workers, monotonic_ms())
        takeover = Takeover(
            self.ownership.generation,
            self.ownership.token,
            self.ownership.inherited_expiry_ms(self._deps.lease_ms),
            self.ownership.inherited_expiry_ms(self._deps.max_lease_ms),
            self._silent_workers.inherited(),
        )
        loaded_rows = (
            *tables.progress,
            *tables.cell,
            *tables.speeds,
            *tables.usage,
            *tables.silent_workers,
        )
        self.progress_writer.set_versions({row.key: row.version for row in loaded_rows})
        deps = self._deps
        cell = CellScheduler(self._rules, takeover, deps.lease_ms, deps.policy, deps.max_lease_ms)
        restore_speeds(cell, tables.speeds)
        restore_usage(cell, tables.usage, self._deps.clock)
        self._cell = cell
        self._apply_directory_rows(tables.directory, True)
        cell.set_evacuations(self._evacuations, monotonic_ms())
        await self._load_jobs(tables.jobs)
        now = monotonic_ms()
        for index, (job_id, rows) in enumerate(group_by_job(tables.progress).items()):
            restore_progress(cell, job_id, rows, now)
            if index % ROWS_PER_YIELD == 0:
                await asyncio.sleep(0)
        self.is_loaded = True
        self._silent_workers.record_opened(monotonic_ms())
        self._sync_sessions()
        for index, job in enumerate(cell.unfinished_inherited_jobs()):
            cell.log_ownership(job, now)
            if index % ROWS_PER_YIELD == 0:
                await asyncio.sleep(0)
        emit(
            log,
            Event.CELL_LOADED,
            jobs=len(cell.state.jobs),
            workers=len(cell.state.workers),
            runs=sum(len(worker.runs) for worker in cell.state.workers.values()),
            token=self.ownership.token,
            took_ms=round(now - self.ownership.won_ms),
            cores=round(self._deps.size.cores, 2),
            link_mbps=self._deps.size.link_mbps,
        )
        self._deps.metrics.observe_takeover((now - self.ownership.won_ms) / 1000)

    async def _load_jobs(self, rows: Sequence[StoredRow]) -> None:
        sorted_rows = cancellations_last(rows)
        for first in range(0, len(sorted_rows), ROWS_PER_YIELD):
            self._apply_job_rows(sorted_rows[first : first + ROWS_PER_YIELD], False)
            await asyncio.sleep(0)

    # Changes of tables.

    def _jobs_follower(self) -> TableFollower:
        """Follow the jobs from the loaded version, to avoid reading the largest table twice."""
        return TableFollower(
            self._deps.store,
            JOBS_TABLE,
            self._apply_job_rows,
            self._deps.clock,
            partitions=JOB_PARTITIONS,
            pause_s=lambda: JOBS_POLL_PAUSE_S,
            on_confirmed=lambda sent_ms: self.request_scheduling_round(),
            known_version=self._loader.tables().jobs_version,
            max_reads=self._max_reads,
        )

    def _directory_follower(self) -> TableFollower:
        return TableFollower(
            self._deps.store,
            self._deps.decoder.tables.directory,
            self._apply_directory_rows,
            self._deps.clock,
            pause_s=self._directory_pause_s,
            on_confirmed=lambda sent_ms: self._require_cell().confirm_directory(sent_ms),
        )

    def _directory_pause_s(self) -> float:
        """Return the pause between polls; a process that may get late starts is called at once."""
        is_urgent = self._require_cell().may_get_late_starts(monotonic_ms())
        return 0.0 if is_urgent else DIRECTORY_POLL_PAUSE_S

    def _apply_job_rows(self, rows: Sequence[StoredRow], is_snapshot: bool) -> None:
        for row in cancellations_last(rows):
            if row.value is None:
                continue
            if row.key.key.endswith(CANCEL_SUFFIX):
                self.handle_cancelled_job(row.key.key.removesuffix(CANCEL_SUFFIX))
            else:
                self.handle_stored_job(row.key.key, row.value, row.version)

    def _apply_directory_rows(self, rows: Sequence[StoredRow], is_snapshot: bool) -> None:
        cell, now = self._require_cell(), monotonic_ms()
        listed = []
        for row in rows:
            if row.value is None:
                cell.unlist_worker(row.key.key, now)
                continue
            info = self._deps.decoder.decode_worker(row.key.key, row.value)
            if info is not None:
                listed.append(info)
        if is_snapshot:
            cell.sync_directory(listed, now)
        for info in listed:
            cell.update_worker(info, now)
        self._sync_sessions()

    def _sync_sessions(self) -> None:
        """Adapt the sessions to the workers and to the instances that can hold some."""
        if self.is_loaded and not self._tasks.is_stopped:
            self.sessions.sync(self._require_cell().state.workers)
            self.request_scheduling_round()

    def _handle_end_acked(self, worker_id: str) -> None:
        worker = self._require_cell().state.workers.get(worker_id)
        if worker is not None:
            self.sessions.acknowledge(worker)

    # Scheduling and commands.

    def request_scheduling_round(self) -> None:
        """Request one scheduling round for all events of this turn of the event loop."""
        if not self._round_requested:
            self._round_requested = True
            delay_s = (self._next_round_ms - monotonic_ms()) / 1000
            asyncio.get_running_loop().call_later(max(0.0, delay_s), self._run_scheduling_round)

    def _run_scheduling_round(self) -> None:
        self._round_requested = False
        cell = self.cell
        if cell is None or self._tasks.is_stopped:
            return
        if cell.is_fenced:
            self._report_ownership_lost("a worker obeys a higher fencing token")
            return
        try:
            self._schedule(cell)
        except Exception as exc:
            self._tasks.fail("scheduling round", exc)

    def _schedule(self, cell: CellScheduler) -> None:
        start_s = time.perf_counter()
        self._update_advice_slots(cell)
        commands = cell.schedule(monotonic_ms(), self._may_start())
        duration_s = time.perf_counter() - start_s
        # Limits the share of the processor that rounds take under a flood of events.
        self._next_round_ms = monotonic_ms() + duration_s * 1000 * ROUND_PAUSE_FACTOR
        self._deps.metrics.observe_decision(duration_s)
        self._waiting_reporter.rounds.add(duration_s * 1000)
        for command in commands:
            if isinstance(command, StartTask):
                self.progress_writer.call_when_stored(
                    functools.partial(self._sender.send, cell, command)
                )
            else:
                self._sender.send(cell, command)
        if cell.state.dirty:
            self.progress_writer.request_flush()

    def _may_start(self) -> bool:
        """Return whether tasks may start now."""
        # What was loaded may be some seconds old: workers may have left and jobs may have been
        # cancelled since.
        return (
            self.may_renew()
            and self._directory.is_confirmed
            and self._has_polled_jobs()
            and self._knows_operator_requests()
        )

    def _has_polled_jobs(self) -> bool:
        """Return whether the jobs were read since the cell was loaded."""
        return self._jobs is not None and self._jobs.is_confirmed

    def _knows_operator_requests(self) -> bool:
        """Return whether the operator's table was confirmed shortly before the claim, or since."""
        oldest_ms = self.ownership.won_ms - MAX_OPERATOR_TABLE_AGE_MS
        return self._deps.operator_confirmed_ms() >= oldest_ms

    def _update_advice_slots(self, cell: CellScheduler) -> None:
        advice, dispatcher = cell.placer.advice, self._deps.advice_dispatcher
        advice.slot_count = dispatcher.slot_count
        advice.blocked_count = max(0, dispatcher.count_unavailable() - advice.open_count)

    async def _run_ticks(self) -> None:
        while True:
            cell = self._require_cell()
            cell.tick(monotonic_ms(), unix_ms())
            self._ticks += 1
            self._deps.metrics.count_tickets(cell.state.ticket_usage.take_counts())
            if self._ticks % RETENTION_CHECK_TICKS == 0:
                self._remove_expired_jobs(cell)
            self._sync_sessions()
            self._deps.metrics.add_wasted_work(cell.state.waste)
            self._deps.metrics.observe_ended_waits(cell.state.awaited_runs.take_ended_waits())
            self.progress_writer.request_due_flush(cell)
            self._waiting_reporter.report(cell, self.may_renew(), monotonic_ms())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _remove_expired_jobs(self, cell: CellScheduler) -> None:
        """Remove jobs whose retention period has passed."""
        cutoff_ms = monotonic_ms() - ID_RETENTION_FACTOR * self._deps.job_kept_ms
        expired = [
            j.job_id for j in cell.state.jobs.values() if j.is_final and j.ended_ms < cutoff_ms
        ]
        for job_id in expired:
            self._tasks.spawn(self._remove_job(cell, job_id))

    async def _remove_job(self, cell: CellScheduler, job_id: str) -> None:
        """Forget a job once its rows are gone; one that is read again would run again."""
        job = cell.find_job(job_id)
        if job is None or not await self.progress_writer.remove_job(job_id):
            return
        self._job_rows.remove(cell, job)

    def _report_ownership_lost(self, reason: str) -> None:
        if not self._ownership_lost_reported:
            self._ownership_lost_reported = True
            self._deps.on_ownership_lost(reason)

    def _require_cell(self) -> CellScheduler:
        if self._cell is None:
            raise RuntimeError("the cell has not been loaded")
        return self._cell
