"""Wire one instance: configuration, claim, links, callers, readiness and shutdown."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Sequence
from typing import Any

import attrs

from baobabhoist.cell.model import CellRules
from baobabhoist.control.accept import Acceptor
from baobabhoist.control.advice import AdviceDesk
from baobabhoist.control.claim import (
    ALONE_PAUSE_MS,
    BEAT_INTERVAL_MS,
    CONFIRMED_MS,
    EARLIER_OWNER_STOPPED,
    TAKEOVERS_WITHIN_MS,
    ClaimReason,
    ClaimRow,
    Company,
    claim_reason,
    decode_claim,
    encode_claim,
)
from baobabhoist.control.clock import SharedClock, boot_ms
from baobabhoist.control.config import ConfigInForce
from baobabhoist.control.contact import WatchedStore
from baobabhoist.control.follow import TableFollower
from baobabhoist.control.frontdesk import FrontDesk
from baobabhoist.control.interfaces import Adviser, Decoder, WorkerDriver
from baobabhoist.control.links import OWNER_BEAT_S, Identity, LinkServer, OwnerLink
from baobabhoist.control.messages import OwnerBeat
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.owner import CellOwner, OwnerParts, Ownership
from baobabhoist.control.owners import OwnerCalls
from baobabhoist.control.relay import Peers, RelayedStore
from baobabhoist.control.rowmap import (
    BEAT_ROW,
    CELL_TABLE,
    CONFIG_KEY,
    OPERATOR_TABLE,
    OWNER_ROW,
)
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link
from baobabhoist.store.rows import (
    RowsConflict,
    RowStore,
    RowsTxn,
    StoredRow,
    StoreError,
)

log = logging.getLogger(__name__)

CLAIM_CHECK_S = 0.1
# Instances that would claim at the same moment are spread over this time.
CLAIM_SPREAD_S = 0.06
# An owner needs about this much; a smaller machine waits longer before it claims.
OWNER_CORES = 1.0
OWNER_LINK_MBPS = 50.0
CLAIM_SIZE_SPREAD_S = 0.5
# Without a reading of the claim for this long its age says nothing about the owner.
CLAIM_GAP_MS = 1_800.0
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
        self.link = OwnerLink(self.identity, self.calls.handle, self._link_changed)
        self.calls.link = self.link
        self.draining = False
        self.metrics = NodeMetrics()
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
        )
        self._adapter = adapter
        self._advice = AdviceDesk(adapter.adviser, lambda: self.server.links)
        self._claim: ClaimRow | None = None
        self._claim_version = 0
        self._beat_version = 0
        self._beat_changed_ms = boot_ms()
        self._claim_read_ms = -1e12
        self._owner_task: asyncio.Task[None] | None = None
        self._claim_wake = asyncio.Event()
        self._claim_loaded = False
        self._was_ready = False
        self._takeovers_ms: list[float] = []
        self._company = Company()
        # This instance does not claim the cell before, on the local clock.
        self._claim_from_ms = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Work until cancelled."""
        await self.server.start(self.cfg.host, self.cfg.peer_port)
        store = self._adapter.store
        operator = TableFollower(
            store,
            OPERATOR_TABLE,
            self._operator_changed,
            self.clock,
            on_confirmed=self.config.confirm,
        )
        cell = TableFollower(
            store, CELL_TABLE, self._cell_changed, self.clock, on_confirmed=self._claim_confirmed
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(operator.run())
            group.create_task(cell.run())
            group.create_task(self._claim_forever())
            group.create_task(self._beat_forever())
            group.create_task(self._beat_links_forever())

    def ready(self) -> bool:
        """Tell whether this instance should get new callers."""
        current = self.config.age_ms(boot_ms()) < READY_CONFIG_MS
        is_ready = (
            not self.draining
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
        self.metrics.set_config(cfg.version if cfg else 0, self.config.age_ms(now) / 1000)
        owner = self.calls.local
        cell = owner.cell if owner is not None else None
        queued = cell.queued_tasks() if cell is not None else {}
        margin = cell.lease_margin_ms(now) if cell is not None else 0.0
        self.metrics.set_owner(owner is not None, queued, margin / 1000)

    async def drain(self) -> None:
        """Give the cell up, so that another instance takes it over at once."""
        self.draining = True
        if self.calls.local is not None:
            await self._release(self.calls.local, "this instance drains")

    async def _release(self, owner: CellOwner, reason: str) -> None:
        claim = ClaimRow("", "", "", owner.ownership.generation)
        owner.stop()
        if await owner.progress.release(encode_claim(claim), owner.cell):
            emit(log, Event.CLAIM_RELEASED, token=owner.ownership.token)
        self._step_down(reason)

    # What the followed tables bring.

    def _operator_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        for row in rows:
            if row.key.key != CONFIG_KEY or row.value is None:
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

    def _cell_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        for row in rows:
            if row.key == OWNER_ROW and row.version >= self._claim_version:
                self._claim_seen(row)
            elif row.key == BEAT_ROW and row.version > self._beat_version:
                self._beat_version = row.version
                self._beat_changed_ms = boot_ms()

    def _claim_seen(self, row: StoredRow) -> None:
        if row.value is None or row.version == self._claim_version:
            return
        try:
            claim = decode_claim(row.value)
        except ValueError as exc:
            emit(log, Event.ROW_UNREADABLE, table=CELL_TABLE, row=row.key.key, detail=exc)
            return
        self._note_takeover(claim)
        self._claim, self._claim_version = claim, row.version
        self._beat_changed_ms = boot_ms()
        emit(
            log,
            Event.CLAIM_SEEN,
            owner=claim.node,
            version=row.version,
            generation=claim.generation,
        )
        if claim.boot != self.identity.boot and self.calls.local is not None:
            self._step_down(f"{claim.node or 'nobody'} has the claim")
        self.link.follow(claim)
        self._claim_wake.set()

    def _note_takeover(self, claim: ClaimRow) -> None:
        """Count takeovers from owners that did not release the cell."""
        before = self._claim
        if before is not None and not before.released and not claim.released:
            self._takeovers_ms.append(boot_ms())

    def _recent_takeovers(self) -> int:
        since = boot_ms() - TAKEOVERS_WITHIN_MS
        self._takeovers_ms = [moment for moment in self._takeovers_ms if moment > since]
        return len(self._takeovers_ms)

    def _claim_confirmed(self, asked_ms: float) -> None:
        now = boot_ms()
        if now - self._claim_read_ms > CLAIM_GAP_MS:
            # While the store was away, the owner could not show that it lives either.
            self._beat_changed_ms = now
        self._claim_read_ms = now
        self._claim_loaded = True

    def _link_changed(self) -> None:
        self._claim_wake.set()

    # The claim.

    async def _claim_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CLAIM_CHECK_S):
                    await self._claim_wake.wait()
            except TimeoutError:
                pass
            self._claim_wake.clear()
            reason = self._claim_reason()
            if reason is not ClaimReason.NONE:
                await asyncio.sleep(self._claim_delay_s())
                if self._claim_reason() is reason:
                    await self._take(reason)

    def _claim_reason(self) -> ClaimReason:
        fresh = boot_ms() - self._claim_read_ms < CLAIM_GAP_MS
        if not (self._claim_loaded and fresh) or self.draining or self.calls.local is not None:
            return ClaimReason.NONE
        if self.config.current is None or boot_ms() < self._claim_from_ms:
            return ClaimReason.NONE
        age = boot_ms() - self._beat_changed_ms
        return claim_reason(
            self._claim, self.link.seen, age, self.identity.boot, self._recent_takeovers()
        )

    def _claim_delay_s(self) -> float:
        cores = min(1.0, self.cfg.cores / OWNER_CORES)
        link = min(1.0, self.cfg.link_mbps / OWNER_LINK_MBPS)
        lacking = 1.0 - min(cores, link)
        return lacking * CLAIM_SIZE_SPREAD_S + random.random() * CLAIM_SPREAD_S

    async def _take(self, reason: ClaimReason) -> None:
        generation = self._claim.generation + 1 if self._claim is not None else 0
        address = f"{self.cfg.host}:{self.cfg.peer_port}"
        claim = ClaimRow(self.identity.node, self.identity.boot, address, generation)
        expected = {OWNER_ROW: self._claim_version}
        if reason not in EARLIER_OWNER_STOPPED and self._beat_version:
            expected[BEAT_ROW] = self._beat_version
        txn = RowsTxn(expected, {OWNER_ROW: encode_claim(claim)})
        try:
            outcome = await self._adapter.store.commit(txn)
        except StoreError as exc:
            # If the claim was written, the table's changes bring it.
            emit(log, Event.CLAIM_FAILED, reason=reason.value, detail=exc)
            await self._adopt_own_claim(claim, reason)
            return
        if isinstance(outcome, RowsConflict):
            for row in outcome.rows:
                self._cell_changed([row], False)
            return
        self._won(claim, outcome.version, reason)

    async def _adopt_own_claim(self, claim: ClaimRow, reason: ClaimReason) -> None:
        """Find out whether a claim without an answer was written."""
        try:
            rows = await self._adapter.store.read(OWNER_ROW.table)
        except StoreError as exc:
            log.debug("the claim cannot be read back: %s", exc)
            return
        for row in rows.rows:
            if row.key == OWNER_ROW and row.value == encode_claim(claim):
                self._won(claim, row.version, reason)

    def _won(
        self,
        claim: ClaimRow,
        version: int,
        reason: ClaimReason,
    ) -> None:
        if self.calls.local is not None:
            return
        now = boot_ms()
        self._claim, self._claim_version = claim, version
        self.link.follow(None)
        until = now
        if reason not in EARLIER_OWNER_STOPPED:
            until = max(now, self._beat_changed_ms + CONFIRMED_MS)
        ownership = Ownership(version, claim.generation, now, until)
        emit(
            log,
            Event.CLAIM_WON,
            token=version,
            generation=claim.generation,
            reason=reason.value,
            wait_ms=round(until - now),
        )
        rules = self.config.current.rules if self.config.current is not None else NO_RULES
        parts = OwnerParts(
            self._adapter.store,
            self._adapter.driver,
            self._adapter.decoder,
            self.clock,
            self._advice,
            min(LEASE_MS, self.cfg.bounds.lease_max_ms),
            self.cfg.bounds.job_kept_s * 1000,
            self._may_start,
            self._step_down,
            self.metrics,
        )
        owner = CellOwner(parts, ownership, rules)
        self._company = Company(enough_ms=now)
        self.calls.local = owner
        self.identity.owns = True
        self._owner_task = asyncio.create_task(owner.run())
        self._owner_task.add_done_callback(self._owner_ended)

    def _owner_ended(self, task: asyncio.Task[None]) -> None:
        """Let another instance try after a fault here; beats alone must not keep the cell."""
        if not task.cancelled() and task.exception() is not None:
            emit(log, Event.TASK_CRASHED, detail=repr(task.exception()))
            log.error("the cell's owner failed", exc_info=task.exception())
            self._step_down("the owner's task failed")

    def _may_start(self) -> bool:
        owner = self.calls.local
        return owner is not None and boot_ms() - owner.progress.confirmed_ms < CONFIRMED_MS

    def _step_down(self, reason: str) -> None:
        owner = self.calls.local
        if owner is None:
            return
        emit(log, Event.CLAIM_LOST, token=owner.ownership.token, reason=reason)
        self.calls.local = None
        self.identity.owns = False
        if self._owner_task is not None:
            self._owner_task.cancel()
        owner.stop()
        self._beat_changed_ms = boot_ms()
        if self._claim is not None:
            self.link.follow(self._claim)

    async def _beat_links_forever(self) -> None:
        """Show the linked instances that the owner lives, also while the store is away."""
        while True:
            owner = self.calls.local
            if owner is not None:
                for link in list(self.server.links.values()):
                    self._notify(link, OwnerBeat())
                if self._company.lost(len(self.server.links), boot_ms()):
                    self._claim_from_ms = boot_ms() + ALONE_PAUSE_MS
                    await self._release(owner, "no instance is linked to this one")
            await asyncio.sleep(OWNER_BEAT_S)

    def _notify(self, link: Link, message: Any) -> None:
        task = asyncio.create_task(_notify_quietly(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat_forever(self) -> None:
        while True:
            owner = self.calls.local
            if owner is not None:
                await owner.progress.beat()
            await asyncio.sleep(BEAT_INTERVAL_MS / 1000)


async def _notify_quietly(link: Link, message: Any) -> None:
    try:
        await link.notify(message)
    except LinkClosedError as exc:
        log.debug("a link ended: %s", exc)
