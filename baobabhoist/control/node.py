"""Assemble and run one instance."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs

from baobabhoist.cell.model import CellRules
from baobabhoist.control.advice_gate import AdviceGate
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.config import ActiveConfig
from baobabhoist.control.election import OwnerElection
from baobabhoist.control.handover import HandoverMonitor
from baobabhoist.control.interfaces import Adviser, Decoder, WorkerDriver
from baobabhoist.control.job_admission import JobAdmission
from baobabhoist.control.job_api import JobApi
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.links import Identity, LinkServer, OwnerLink
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.placement_previews import PlacementPreviews
from baobabhoist.control.relay import FailoverStore, RelayPeers
from baobabhoist.control.row_schema import (
    CELL_TABLE,
)
from baobabhoist.control.settings import NodeSettings
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.control.table_follower import TableFollower
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_task_crash
from baobabhoist.peer.admission import LinkLimits
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import (
    RowStore,
    StoredRow,
)

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner
    from baobabhoist.control.sessions.holder import SessionHolder

log = logging.getLogger(__name__)

# An instance whose configuration was confirmed longer ago than this is not ready.
MAX_READY_CONFIG_AGE_MS = 2_800.0
# An instance that could not reach the store directly for this long is not ready.
MAX_READY_STORE_OUTAGE_MS = 800.0
DEFAULT_LEASE_MS = 5_000.0
EMPTY_RULES = CellRules(0, {}, {})


@attrs.define
class PlatformAdapter:
    """Hold the platform's implementations of the interfaces that an instance uses."""

    store: RowStore
    driver: WorkerDriver
    adviser: Adviser
    decoder: Decoder


class Node:
    """Run the tasks of one instance."""

    def __init__(self, cfg: NodeSettings, adapter: PlatformAdapter) -> None:
        self.cfg = cfg
        self.config = ActiveConfig()
        self.clock = StoreClock()
        size = MachineSize(cfg.cores, cfg.link_mbps)
        self.identity = Identity(
            cfg.instance_id, secrets.token_hex(8), size, data_centre=cfg.data_centre
        )
        advice_gate = AdviceGate(adapter.adviser)
        self.owner_router = OwnerRouter(cfg.instance_id, advice_gate)
        self.metrics = NodeMetrics()
        self.link_server = LinkServer(
            self.identity,
            self.owner_router.handle,
            LinkLimits.for_process(cfg.limits.memory_mb, cfg.limits.max_open_files),
            self.metrics,
        )
        self.owner_link = OwnerLink(
            self.identity, self.owner_router.handle, lambda: self._election.recheck()
        )
        self.owner_router.owner_link = self.owner_link
        self.owner_router.make_session_holder = self._make_session_holder
        # Returns how many log lines were dropped or suppressed.
        self.count_dropped_lines: Callable[[], int] = lambda: 0
        direct = MonitoredStore(adapter.store, self.metrics)
        self._store_health = direct.health
        store = FailoverStore(direct, RelayPeers(self._relay_links))
        self.owner_router.relay_store = store
        adapter = attrs.evolve(adapter, store=store)
        self.job_api = JobApi(
            self.config,
            adapter.store,
            JobWriter(store, direct.health),
            adapter.decoder,
            self.clock,
            self.owner_router,
            cfg.bounds.revoke_ms,
            cfg.store.row_max_bytes,
            JobAdmission(self.owner_router) if cfg.scheduling.admission else None,
            cfg.bounds.job_kept_s * 1000,
            config_apply_ms=cfg.bounds.config_apply_ms,
        )
        self.placement_previews = PlacementPreviews(
            self.config, adapter.decoder, self.owner_router, self.job_api.admission
        )
        self._adapter = adapter
        self._advice_gate = advice_gate
        self._loop_lag = LoopLagMonitor(self.metrics)
        self._was_ready = False
        self._election = OwnerElection(
            cfg,
            store,
            self.config,
            self.identity,
            self.owner_router,
            self.link_server,
            self.owner_link,
            self._make_owner,
            direct.health,
        )
        self.owner_router.is_ready_to_own = self._election.is_ready_to_own
        self._handover_monitor = HandoverMonitor(
            size, self.owner_router, self.link_server, self._election
        )

    async def run(self) -> None:
        """Run until cancelled."""
        await self.link_server.start(self.cfg.host, self.cfg.peer_port)
        store = self._adapter.store
        operator_follower = TableFollower(
            store,
            self._adapter.decoder.tables.operator,
            self._apply_operator_rows,
            self.clock,
            on_current=self.config.confirm,
            is_rewritten=True,
        )
        cell_follower = TableFollower(
            store,
            CELL_TABLE,
            self._election.apply_rows,
            self.clock,
            on_confirmed=self._election.record_read,
            pause_s=self._election.poll_pause_s,
        )
        self._election.poll_now = cell_follower.poll_now
        coros = {
            "follower of the operator table": operator_follower.run(),
            "follower of the cell table": cell_follower.run(),
            "claims": self._election.run_claims(),
            "store heartbeats": self._election.run_store_heartbeats(),
            "link heartbeats": self._election.run_link_heartbeats(),
            "handover monitor": self._handover_monitor.run(),
            "loop lag monitor": self._loop_lag.run(),
        }
        async with asyncio.TaskGroup() as group:
            for name, coro in coros.items():
                group.create_task(coro, name=name).add_done_callback(log_task_crash)

    def is_ready(self) -> bool:
        """Return whether this instance should receive new calls."""
        max_age_ms = min(MAX_READY_CONFIG_AGE_MS, self.cfg.bounds.config_apply_ms)
        is_config_recent = self.config.age_ms(monotonic_ms()) < max_age_ms
        is_ready = (
            not self._election.is_draining
            and self.config.current is not None
            and is_config_recent
            and self.owner_router.is_owner_reachable
            and not self._store_health.is_unreachable_for(MAX_READY_STORE_OUTAGE_MS)
        )
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            emit(
                log,
                Event.READINESS,
                ready=is_ready,
                config_age_ms=round(self.config.age_ms(monotonic_ms())),
                owner=self.owner_router.is_owner_reachable,
            )
        return is_ready

    def _relay_links(self) -> list[Link]:
        """Return the links to instances through which the store may be reached."""
        if self.owner_router.local_owner is not None:
            return list(self.link_server.links.values())
        return [self.owner_link.link] if self.owner_link.link is not None else []

    def refresh_metrics(self) -> None:
        """Set the gauges whose values are read when the metrics are scraped."""
        from baobabhoist.cell.waiting_summary import WaitingSummary, summarize_waiting

        cfg, now = self.config.current, monotonic_ms()
        self.metrics.set_dropped_log_lines(self.count_dropped_lines())
        self.metrics.set_config(cfg.version if cfg else 0, self.config.age_ms(now) / 1000)
        owner = self.owner_router.local_owner
        cell = owner.cell if owner is not None else None
        queued = cell.count_queued_tasks() if cell is not None else {}
        margin = cell.min_lease_margin_ms(now) if cell is not None else 0.0
        self.metrics.set_owner_gauges(owner is not None, queued, margin / 1000)
        summary = summarize_waiting(cell.state, now) if cell is not None else WaitingSummary()
        self.metrics.set_waiting(summary)
        state = cell.state if cell is not None else None
        figures = state.shares.figures(state.team_usage) if state is not None else ()
        self.metrics.set_team_shares(figures)

    async def drain(self) -> None:
        """Stop claiming the cell, and release it so that another instance takes over at once."""
        self._election.is_draining = True
        await self._election.release("this instance drains")

    def _apply_operator_rows(self, rows: Sequence[StoredRow], is_snapshot: bool) -> None:
        # Evacuations come first: an instance claims no cell before it has a configuration, so an
        # owner knows them from its start.
        self._apply_evacuations(rows, is_snapshot)
        for row in rows:
            if row.key.key == self._adapter.decoder.tables.config_key and row.value is not None:
                self._apply_config(row.value)

    def _apply_evacuations(self, rows: Sequence[StoredRow], is_snapshot: bool) -> None:
        decoder = self._adapter.decoder
        decoded = (decoder.decode_evacuation(row.key.key, row.value) for row in rows)
        changes = [change for change in decoded if change is not None]
        evacuations = self.config.evacuations.with_changes(changes, is_snapshot=is_snapshot)
        if evacuations == self.config.evacuations:
            return
        self.config.evacuations = evacuations
        if self.owner_router.local_owner is not None:
            self.owner_router.local_owner.apply_evacuations(evacuations)

    def _apply_config(self, value: bytes) -> None:
        cfg = self._adapter.decoder.decode_config(value)
        if cfg is None or not self.config.accept(cfg):
            return
        emit(
            log,
            Event.CONFIG_IN_FORCE,
            version=cfg.version,
            queues=len(cfg.rules.queues),
            teams=len(cfg.rules.teams),
            keys=len(cfg.team_by_key),
            bytes=len(value),
            config_age_ms=round(self.config.age_ms(monotonic_ms())),
        )
        if self.owner_router.local_owner is not None:
            self.owner_router.local_owner.apply_rules(cfg.rules)

    def _make_session_holder(self) -> SessionHolder:
        from baobabhoist.control.sessions.holder import SessionHolder

        return SessionHolder(
            self.cfg.instance_id,
            self._adapter.driver,
            self.owner_link.call,
            self.owner_link.notify,
        )

    def _make_owner(
        self,
        ownership: OwnershipTerm,
        authority_ends_ms: Callable[[], float],
        on_ownership_lost: Callable[[str], None],
    ) -> CellOwner:
        # Imported only now: few instances ever own a cell, and all have to start quickly.
        from baobabhoist.control.advice import AdviceDispatcher
        from baobabhoist.control.owner import CellOwner
        from baobabhoist.control.owner_dependencies import OwnerDependencies

        self.owner_router.end_held_sessions()
        rules = self.config.current.rules if self.config.current is not None else EMPTY_RULES
        deps = OwnerDependencies(
            self._adapter.store,
            self._adapter.driver,
            self._adapter.decoder,
            self.clock,
            AdviceDispatcher(
                self._advice_gate, lambda: self.link_server.links, self.metrics.count_advice
            ),
            min(DEFAULT_LEASE_MS, self.cfg.bounds.lease_max_ms),
            self.cfg.bounds.lease_max_ms,
            self.cfg.bounds.job_kept_s * 1000,
            self.cfg.store.row_max_bytes,
            authority_ends_ms,
            on_ownership_lost,
            self.metrics,
            self.identity.size,
            self._loop_lag,
            lambda: self.link_server.session_hosts,
            self.cfg.scheduling.policy(),
            lambda: self.config.confirmed_ms,
        )
        return CellOwner(deps, ownership, rules, self.config.evacuations)
