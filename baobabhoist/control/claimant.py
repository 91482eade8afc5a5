"""Claim the cell, keep the claim while this process owns it, and give it up."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from baobabhoist.control.claim import (
    ALONE_PAUSE_MS,
    BEAT_INTERVAL_MS,
    CONFIRMED_MS,
    EARLIER_OWNER_STOPPED,
    TAKEOVERS_WITHIN_MS,
    ClaimReason,
    ClaimRow,
    Company,
    OwnerSeen,
    claim_reason,
    decode_claim,
    encode_claim,
)
from baobabhoist.control.clock import boot_ms
from baobabhoist.control.config import ConfigInForce
from baobabhoist.control.links import OWNER_BEAT_S, Identity, LinkServer, OwnerLink
from baobabhoist.control.messages import OwnerBeat
from baobabhoist.control.owner import CellOwner, Ownership
from baobabhoist.control.owners import OwnerCalls
from baobabhoist.control.rowmap import BEAT_ROW, CELL_TABLE, OWNER_ROW
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import (
    RowsConflict,
    RowStore,
    RowTransaction,
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
# While the link shows that the owner lives, the claim is read this rarely.
CLAIM_PAUSE_S = 1.5
# Between two readings lies the pause, unless a question in between got no answer.
ANSWERED_GAP_MS = 1_700.0
# A reading that is older than a pause and a poll shows nothing.
CLAIM_FRESH_MS = 3_200.0

MakeOwner = Callable[[Ownership, Callable[[], bool], Callable[[str], None]], CellOwner]


class Claimant:
    """Own this instance's part in who owns the cell."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: RowStore,
        config: ConfigInForce,
        identity: Identity,
        calls: OwnerCalls,
        server: LinkServer,
        link: OwnerLink,
        make_owner: MakeOwner,
    ) -> None:
        self.draining = False
        # Reads the cell's table at once.
        self.hurry: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._store = store
        self._config = config
        self._identity = identity
        self._calls = calls
        self._server = server
        self._link = link
        self._make_owner = make_owner
        self._claim: ClaimRow | None = None
        self._claim_version = 0
        self._beat_version = 0
        self._beat_changed_ms = boot_ms()
        self._read_ms = -1e12
        self._loaded = False
        self._wake = asyncio.Event()
        self._takeovers_ms: list[float] = []
        self._company = Company()
        # This instance does not claim the cell before, on the local clock.
        self._claims_from_ms = 0.0
        self._owner_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def wake(self) -> None:
        """Look at the claim now, because the link to its owner changed."""
        self.hurry()
        self._wake.set()

    def pause_s(self) -> float:
        """Return how long the cell's table need not be read, in seconds."""
        owns = self._calls.local is not None
        return CLAIM_PAUSE_S if owns or self._link.seen is OwnerSeen.CONNECTED else 0.0

    async def release(self, reason: str) -> None:
        """Give the cell up, so that another instance takes it over at once."""
        owner = self._calls.local
        if owner is None:
            return
        claim = ClaimRow("", "", "", owner.ownership.generation)
        owner.stop()
        if await owner.progress.release(encode_claim(claim), owner.cell):
            emit(log, Event.CLAIM_RELEASED, token=owner.ownership.token)
            self._tell_links(OwnerBeat(owns=False))
        self._step_down(reason)

    # What the cell's table says.

    def rows_changed(self, rows: Sequence[StoredRow], whole: bool) -> None:
        """Take over rows of the cell's table."""
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
        if claim.boot != self._identity.boot and self._calls.local is not None:
            self._step_down(f"{claim.node or 'nobody'} has the claim")
        self._link.follow(claim)
        self._wake.set()

    def _note_takeover(self, claim: ClaimRow) -> None:
        """Count takeovers from owners that did not release the cell."""
        before = self._claim
        if before is not None and not before.released and not claim.released:
            self._takeovers_ms.append(boot_ms())

    def _recent_takeovers(self) -> int:
        since = boot_ms() - TAKEOVERS_WITHIN_MS
        self._takeovers_ms = [moment for moment in self._takeovers_ms if moment > since]
        return len(self._takeovers_ms)

    def confirmed(self, asked_ms: float) -> None:
        """Note that the rows were read just now."""
        now = boot_ms()
        if asked_ms - self._read_ms > ANSWERED_GAP_MS:
            # While the store was away, the owner could not show that it lives either.
            self._beat_changed_ms = now
        self._read_ms = now
        self._loaded = True

    # The claim.

    async def claim_forever(self) -> None:
        """Claim the cell whenever there is a reason to."""
        while True:
            try:
                async with asyncio.timeout(CLAIM_CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            reason = self._claim_reason()
            if reason is not ClaimReason.NONE:
                await asyncio.sleep(self._claim_delay_s())
                if self._claim_reason() is reason:
                    await self._take(reason)

    def _claim_reason(self) -> ClaimReason:
        fresh = boot_ms() - self._read_ms < CLAIM_FRESH_MS
        if not (self._loaded and fresh) or self.draining or self._calls.local is not None:
            return ClaimReason.NONE
        if self._config.current is None or boot_ms() < self._claims_from_ms:
            return ClaimReason.NONE
        age = boot_ms() - self._beat_changed_ms
        return claim_reason(
            self._claim, self._link.seen, age, self._identity.boot, self._recent_takeovers()
        )

    def _claim_delay_s(self) -> float:
        cores = min(1.0, self._cfg.cores / OWNER_CORES)
        link = min(1.0, self._cfg.link_mbps / OWNER_LINK_MBPS)
        lacking = 1.0 - min(cores, link)
        return lacking * CLAIM_SIZE_SPREAD_S + random.random() * CLAIM_SPREAD_S

    async def _take(self, reason: ClaimReason) -> None:
        generation = self._claim.generation + 1 if self._claim is not None else 0
        address = self._cfg.advertised_peer_address
        claim = ClaimRow(self._identity.node, self._identity.boot, address, generation)
        expected = {OWNER_ROW: self._claim_version}
        if reason not in EARLIER_OWNER_STOPPED and self._beat_version:
            expected[BEAT_ROW] = self._beat_version
        txn = RowTransaction(expected, {OWNER_ROW: encode_claim(claim)})
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            # If the claim was written, the table's changes bring it.
            emit(log, Event.CLAIM_FAILED, reason=reason.value, detail=exc)
            await self._adopt_own_claim(claim, reason)
            return
        if isinstance(outcome, RowsConflict):
            for row in outcome.rows:
                self.rows_changed([row], False)
            return
        self._won(claim, outcome.version, reason)

    async def _adopt_own_claim(self, claim: ClaimRow, reason: ClaimReason) -> None:
        """Find out whether a claim without an answer was written."""
        try:
            rows = await self._store.read(OWNER_ROW.table)
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
        if self._calls.local is not None:
            return
        now = boot_ms()
        self._claim, self._claim_version = claim, version
        self._link.follow(None)
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
        owner = self._make_owner(ownership, self._may_start, self._step_down)
        self._company = Company(enough_ms=now)
        self._calls.local = owner
        self._identity.owns = True
        self._owner_task = asyncio.create_task(owner.run())
        self._owner_task.add_done_callback(self._owner_ended)

    def _owner_ended(self, task: asyncio.Task[None]) -> None:
        """Let another instance try after a fault here; beats alone must not keep the cell."""
        if not task.cancelled() and task.exception() is not None:
            emit(log, Event.TASK_CRASHED, detail=repr(task.exception()))
            log.error("the cell's owner failed", exc_info=task.exception())
            self._step_down("the owner's task failed")

    def _may_start(self) -> bool:
        owner = self._calls.local
        return owner is not None and boot_ms() - owner.progress.confirmed_ms < CONFIRMED_MS

    def _step_down(self, reason: str) -> None:
        owner = self._calls.local
        if owner is None:
            return
        emit(log, Event.CLAIM_LOST, token=owner.ownership.token, reason=reason)
        self._calls.local = None
        self._identity.owns = False
        if self._owner_task is not None:
            self._owner_task.cancel()
        owner.stop()
        self._beat_changed_ms = boot_ms()
        if self._claim is not None:
            self._link.follow(self._claim)

    async def beat_links_forever(self) -> None:
        """Show the linked instances that the owner lives, also while the store is away."""
        while True:
            owner = self._calls.local
            if owner is not None:
                self._tell_links(OwnerBeat())
                if self._company.lost(len(self._server.links), boot_ms()):
                    self._claims_from_ms = boot_ms() + ALONE_PAUSE_MS
                    await self.release("no instance is linked to this one")
            await asyncio.sleep(OWNER_BEAT_S)

    def _tell_links(self, message: Any) -> None:
        for link in list(self._server.links.values()):
            self._notify(link, message)

    def _notify(self, link: Link, message: Any) -> None:
        task = asyncio.create_task(_notify_quietly(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def beat_forever(self) -> None:
        """Show the store that the owner lives, while it is this process."""
        while True:
            owner = self._calls.local
            if owner is not None:
                await owner.progress.beat()
            await asyncio.sleep(BEAT_INTERVAL_MS / 1000)


async def _notify_quietly(link: Link, message: Any) -> None:
    try:
        await link.notify(message)
    except LinkClosedError as exc:
        log.debug("a link ended: %s", exc)
