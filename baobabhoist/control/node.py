"""Wire one instance: configuration, claim, links, callers, readiness and metrics."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable, Sequence

import attrs

from baobabhoist.cell.model import CellRules
from baobabhoist.control.accept import Acceptor
from baobabhoist.control.advice import AdviceDesk
from baobabhoist.control.claimant import Claimant
from baobabhoist.control.clock import SharedClock, boot_ms
from baobabhoist.control.config import ConfigInForce
from baobabhoist.control.contact import WatchedStore
from baobabhoist.control.follow import TableFollower
from baobabhoist.control.frontdesk import FrontDesk
from baobabhoist.control.interfaces import Adviser, Decoder, WorkerDriver
from baobabhoist.control.links import Identity, LinkServer, OwnerLink
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner import CellOwner, OwnerParts, Ownership
from baobabhoist.control.owners import OwnerCalls
from baobabhoist.control.relay import Peers, RelayedStore
from baobabhoist.control.rowmap import (
    CELL_TABLE,
)
from baobabhoist.control.settings import NodeSettings
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link
from baobabhoist.store.rows import (
    RowStore,
    StoredRow,
)

log = logging.getLogger(__name__)

# An instance whose configuration is older than this is not ready.
READY_CONFIG_MS = 2_800.0
# An instance that has no way of its own to the store for this long takes no new callers.
READY_CONTACT_MS = 800.0
LEASE_MS = 5_000.0
NO_RULES = CellRules(0, {}, {})


@attrs.define
class Adapter:
    """Hold what a platform's adapter provides."""

    store: RowStore
    driver: WorkerDriver
    adviser: Adviser
    decoder: Decoder


class Node:
    """Own the tasks of one instance."""

    def __init__(self, cfg: NodeSettings, adapter: Adapter) -> None:
        self.cfg = cfg
        self.config = ConfigInForce()
        self.clock = SharedClock()
        self.identity = Identity(cfg.instance_id, secrets.token_hex(8))
        self.calls = OwnerCalls(cfg.instance_id, adapter.adviser)
        self.server = LinkServer(self.identity, self.calls.handle)
        self.link = OwnerLink(self.identity, self.calls.handle, lambda: self._claimant.wake())
        self.calls.link = self.link
        self.metrics = NodeMetrics()
        # Returns how many log lines were dropped or left out.
        self.dropped_lines: Callable[[], int] = lambda: 0
        direct = WatchedStore(adapter.store, self.metrics)
        self._contact = direct.contact
        store = RelayedStore(direct, Peers(self._links))
        self.calls.relay = store
        adapter = attrs.evolve(adapter, store=store)
        self.front = FrontDesk(
            self.config,
            adapter.store,
            Acceptor(store, direct.contact),
            adapter.decoder,
            self.clock,
            self.calls,
            cfg.bounds.revoke_ms,
            cfg.store.row_max_bytes,
        )
        self._adapter = adapter
        self._advice = AdviceDesk(adapter.adviser, lambda: self.server.links)
        self._was_ready = False
        self._claimant = Claimant(
            cfg,
            store,
            self.config,
            self.identity,
            self.calls,
            self.server,
            self.link,
            self._make_owner,
        )

    async def run(self) -> None:
        """Work until cancelled."""
        await self.server.start(self.cfg.host, self.cfg.peer_port)
        store = self._adapter.store
        operator = TableFollower(
            store,
            self._adapter.decoder.tables.operator,
            self._operator_changed,
            self.clock,
            on_confirmed=self.config.confirm,
        )
        cell = TableFollower(
            store,
            CELL_TABLE,
            self._claimant.rows_changed,
            self.clock,
            on_confirmed=self._claimant.confirmed,
            pause_s=self._claimant.pause_s,
        )
        self._claimant.hurry = cell.hurry
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.run())
            group.create_task(cell.run())
            group.create_task(self._claimant.claim_forever())
            group.create_task(self._claimant.beat_forever())
            group.create_task(self._claimant.beat_links_forever())

    def ready(self) -> bool:
        """Tell whether this instance should get new callers."""
        current = self.config.age_ms(boot_ms()) < READY_CONFIG_MS
        is_ready = (
            not self._claimant.draining
            and self.config.current is not None
            and current
            and self.calls.reachable
            and not self._contact.lost_for(READY_CONTACT_MS)
        )
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            emit(
                log,
                Event.READINESS,
                ready=is_ready,
                config_age_ms=round(self.config.age_ms(boot_ms())),
                owner=self.calls.reachable,
            )
        return is_ready

    def _links(self) -> list[Link]:
        """Return the links to instances through which the store may be reached."""
        if self.calls.local is not None:
            return list(self.server.links.values())
        return [self.link.link] if self.link.link is not None else []

    def refresh_metrics(self) -> None:
        """Set the gauges that are read, not counted."""
        cfg, now = self.config.current, boot_ms()
        self.metrics.set_dropped_lines(self.dropped_lines())
        self.metrics.set_config(cfg.version if cfg else 0, self.config.age_ms(now) / 1000)
        owner = self.calls.local
        cell = owner.cell if owner is not None else None
        queued = cell.count_queued_tasks() if cell is not None else {}
        margin = cell.min_lease_margin_ms(now) if cell is not None else 0.0
        self.metrics.set_owner(owner is not None, queued, margin / 1000)

    async def drain(self) -> None:
        """Give the cell up, so that another instance takes it over at once."""
        self._claimant.draining = True
        await self._claimant.release("this instance drains")

    def _operator_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        for row in rows:
            is_config = row.key.key == self._adapter.decoder.tables.config_key
            if not is_config or row.value is None:
                continue
            cfg = self._adapter.decoder.config(row.value)
            if cfg is None or not self.config.accept(cfg):
                continue
            emit(
                log,
                Event.CONFIG_IN_FORCE,
                version=cfg.version,
                queues=len(cfg.rules.queues),
                teams=len(cfg.rules.teams),
                keys=len(cfg.keys),
            )
            if self.calls.local is not None:
                self.calls.local.use_rules(cfg.rules)

    def _make_owner(
        self,
        ownership: Ownership,
        may_start: Callable[[], bool],
        on_deposed: Callable[[str], None],
    ) -> CellOwner:
        rules = self.config.current.rules if self.config.current is not None else NO_RULES
        parts = OwnerParts(
            self._adapter.store,
            self._adapter.driver,
            self._adapter.decoder,
            self.clock,
            self._advice,
            min(LEASE_MS, self.cfg.bounds.lease_max_ms),
            self.cfg.bounds.job_kept_s * 1000,
            may_start,
            on_deposed,
            self.metrics,
        )
        return CellOwner(parts, ownership, rules)
