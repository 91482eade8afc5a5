"""Claim the cell, keep the claim while this process owns it, and give it up."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from baobabhoist.control.claim import (
    CONFIRMATION_VALID_MS,
    HEARTBEAT_INTERVAL_MS,
    ISOLATION_BACKOFF_MS,
    REASONS_PREVIOUS_OWNER_STOPPED,
    TAKEOVER_WINDOW_MS,
    ClaimReason,
    ClaimRow,
    IsolationDetector,
    OwnerLinkState,
    claim_reason,
    decode_claim,
    encode_claim,
)
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.config import ActiveConfig
from baobabhoist.control.links import OWNER_HEARTBEAT_INTERVAL_S, Identity, LinkServer, OwnerLink
from baobabhoist.control.messages import OwnerHeartbeat
from baobabhoist.control.owner import CellOwner, OwnershipTerm
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.row_schema import CELL_TABLE, HEARTBEAT_ROW_KEY, OWNER_ROW_KEY
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link
from baobabhoist.store.rows import RowsConflict, RowStore, RowsTxn, StoredRow, StoreError

log = logging.getLogger(__name__)

CLAIM_CHECK_INTERVAL_S = 0.1
# Instances that would claim at the same moment are spread over this time.
CLAIM_JITTER_S = 0.06
# An owner needs about this much; a smaller machine waits longer before it claims.
RECOMMENDED_CORES = 1.0
RECOMMENDED_LINK_MBPS = 50.0
MAX_SMALL_MACHINE_DELAY_S = 0.5
# While the link shows that the owner lives, the claim is read this rarely.
CLAIM_POLL_PAUSE_S = 1.5
# Between two readings lies the pause, unless a question in between got no answer.
MAX_READ_GAP_MS = 1_700.0
# A reading that is older than a pause and a poll shows nothing.
MAX_READ_AGE_MS = 3_200.0

OwnerFactory = Callable[[OwnershipTerm, Callable[[], bool], Callable[[str], None]], CellOwner]


class OwnerElection:
    """Own this instance's part in who owns the cell."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: RowStore,
        config: ActiveConfig,
        identity: Identity,
        owner_router: OwnerRouter,
        server: LinkServer,
        link: OwnerLink,
        make_owner: OwnerFactory,
    ) -> None:
        self.is_draining = False
        # Reads the cell's table at once.
        self.poll_now: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._store = store
        self._config = config
        self._identity = identity
        self._owner_router = owner_router
        self._server = server
        self._link = link
        self._make_owner = make_owner
        self._claim: ClaimRow | None = None
        self._claim_version = 0
        self._beat_version = 0
        self._beat_changed_ms = monotonic_ms()
        self._read_ms = -1e12
        self._loaded = False
        self._wake = asyncio.Event()
        self._takeovers_ms: list[float] = []
        self._isolation = IsolationDetector()
        # This instance does not claim the cell before, on the local clock.
        self._claims_from_ms = 0.0
        self._owner_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def recheck(self) -> None:
        """Look at the claim now, because the link to its owner changed."""
        self.poll_now()
        self._wake.set()

    def poll_pause_s(self) -> float:
        """Return how long the cell's table need not be read, in seconds."""
        owns = self._owner_router.local_owner is not None
        return CLAIM_POLL_PAUSE_S if owns or self._link.state is OwnerLinkState.CONNECTED else 0.0

    async def release(self, reason: str) -> None:
        """Give the cell up, so that another instance takes it over at once."""
        owner = self._owner_router.local_owner
        if owner is None:
            return
        claim = ClaimRow("", "", "", owner.ownership.generation)
        owner.stop()
        if await owner.progress_writer.release(encode_claim(claim), owner.cell):
            emit(log, Event.CLAIM_RELEASED, token=owner.ownership.token)
            self._tell_links(OwnerHeartbeat(owns=False))
        self._step_down(reason)

    # What the cell's table says.

    def apply_rows(self, rows: Sequence[StoredRow], whole: bool) -> None:
        """Take over rows of the cell's table."""
        for row in rows:
            if row.key == OWNER_ROW_KEY and row.version >= self._claim_version:
                self._claim_seen(row)
            elif row.key == HEARTBEAT_ROW_KEY and row.version > self._beat_version:
                self._beat_version = row.version
                self._beat_changed_ms = monotonic_ms()

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
        self._beat_changed_ms = monotonic_ms()
        emit(
            log,
            Event.CLAIM_SEEN,
            owner=claim.node,
            version=row.version,
            generation=claim.generation,
        )
        if claim.boot != self._identity.boot_id and self._owner_router.local_owner is not None:
            self._step_down(f"{claim.node or 'nobody'} has the claim")
        self._link.connect_to(claim)
        self._wake.set()

    def _note_takeover(self, claim: ClaimRow) -> None:
        """Count takeovers from owners that did not release the cell."""
        before = self._claim
        if before is not None and not before.released and not claim.released:
            self._takeovers_ms.append(monotonic_ms())

    def _recent_takeovers(self) -> int:
        since = monotonic_ms() - TAKEOVER_WINDOW_MS
        self._takeovers_ms = [moment for moment in self._takeovers_ms if moment > since]
        return len(self._takeovers_ms)

    def note_read(self, asked_ms: float) -> None:
        """Note that the rows were read just now."""
        now = monotonic_ms()
        if asked_ms - self._read_ms > MAX_READ_GAP_MS:
            # While the store was away, the owner could not show that it lives either.
            self._beat_changed_ms = now
        self._read_ms = now
        self._loaded = True

    # The claim.

    async def run_claims(self) -> None:
        """Claim the cell whenever there is a reason to."""
        while True:
            try:
                async with asyncio.timeout(CLAIM_CHECK_INTERVAL_S):
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
        fresh = monotonic_ms() - self._read_ms < MAX_READ_AGE_MS
        if (
            not (self._loaded and fresh)
            or self.is_draining
            or self._owner_router.local_owner is not None
        ):
            return ClaimReason.NONE
        if self._config.current is None or monotonic_ms() < self._claims_from_ms:
            return ClaimReason.NONE
        age = monotonic_ms() - self._beat_changed_ms
        return claim_reason(
            self._claim, self._link.state, age, self._identity.boot_id, self._recent_takeovers()
        )

    def _claim_delay_s(self) -> float:
        cores = min(1.0, self._cfg.cores / RECOMMENDED_CORES)
        link = min(1.0, self._cfg.link_mbps / RECOMMENDED_LINK_MBPS)
        lacking = 1.0 - min(cores, link)
        return lacking * MAX_SMALL_MACHINE_DELAY_S + random.random() * CLAIM_JITTER_S

    async def _take(self, reason: ClaimReason) -> None:
        generation = self._claim.generation + 1 if self._claim is not None else 0
        address = self._cfg.advertised_peer_address
        claim = ClaimRow(self._identity.node, self._identity.boot_id, address, generation)
        expected = {OWNER_ROW_KEY: self._claim_version}
        if reason not in REASONS_PREVIOUS_OWNER_STOPPED and self._beat_version:
            expected[HEARTBEAT_ROW_KEY] = self._beat_version
        txn = RowsTxn(expected, {OWNER_ROW_KEY: encode_claim(claim)})
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            # If the claim was written, the table's changes bring it.
            emit(log, Event.CLAIM_FAILED, reason=reason.value, detail=exc)
            await self._adopt_own_claim(claim, reason)
            return
        if isinstance(outcome, RowsConflict):
            for row in outcome.rows:
                self.apply_rows([row], False)
            return
        self._won(claim, outcome.version, reason)

    async def _adopt_own_claim(self, claim: ClaimRow, reason: ClaimReason) -> None:
        """Find out whether a claim without an answer was written."""
        try:
            rows = await self._store.read(OWNER_ROW_KEY.table)
        except StoreError as exc:
            log.debug("the claim cannot be read back: %s", exc)
            return
        for row in rows.rows:
            if row.key == OWNER_ROW_KEY and row.value == encode_claim(claim):
                self._won(claim, row.version, reason)

    def _won(
        self,
        claim: ClaimRow,
        version: int,
        reason: ClaimReason,
    ) -> None:
        if self._owner_router.local_owner is not None:
            return
        now = monotonic_ms()
        self._claim, self._claim_version = claim, version
        self._link.connect_to(None)
        until = now
        if reason not in REASONS_PREVIOUS_OWNER_STOPPED:
            until = max(now, self._beat_changed_ms + CONFIRMATION_VALID_MS)
        ownership = OwnershipTerm(version, claim.generation, now, until)
        emit(
            log,
            Event.CLAIM_WON,
            token=version,
            generation=claim.generation,
            reason=reason.value,
            wait_ms=round(until - now),
        )
        owner = self._make_owner(ownership, self._may_start, self._step_down)
        self._isolation = IsolationDetector(last_sufficient_ms=now)
        self._owner_router.local_owner = owner
        self._identity.is_owner = True
        self._owner_task = asyncio.create_task(owner.run())
        self._owner_task.add_done_callback(self._owner_ended)

    def _owner_ended(self, task: asyncio.Task[None]) -> None:
        """Let another instance try after a fault here; beats alone must not keep the cell."""
        if not task.cancelled() and task.exception() is not None:
            emit(log, Event.TASK_CRASHED, detail=repr(task.exception()))
            log.error("the cell's owner failed", exc_info=task.exception())
            self._step_down("the owner's task failed")

    def _may_start(self) -> bool:
        owner = self._owner_router.local_owner
        return (
            owner is not None
            and monotonic_ms() - owner.progress_writer.heartbeat_confirmed_ms
            < CONFIRMATION_VALID_MS
        )

    def _step_down(self, reason: str) -> None:
        owner = self._owner_router.local_owner
        if owner is None:
            return
        emit(log, Event.CLAIM_LOST, token=owner.ownership.token, reason=reason)
        self._owner_router.local_owner = None
        self._identity.is_owner = False
        if self._owner_task is not None:
            self._owner_task.cancel()
        owner.stop()
        self._beat_changed_ms = monotonic_ms()
        if self._claim is not None:
            self._link.connect_to(self._claim)

    async def run_link_heartbeats(self) -> None:
        """Show the linked instances that the owner lives, also while the store is away."""
        while True:
            owner = self._owner_router.local_owner
            if owner is not None:
                self._tell_links(OwnerHeartbeat())
                if self._isolation.is_isolated(len(self._server.links), monotonic_ms()):
                    self._claims_from_ms = monotonic_ms() + ISOLATION_BACKOFF_MS
                    await self.release("no instance is linked to this one")
            await asyncio.sleep(OWNER_HEARTBEAT_INTERVAL_S)

    def _tell_links(self, message: Any) -> None:
        for link in list(self._server.links.values()):
            self._notify(link, message)

    def _notify(self, link: Link, message: Any) -> None:
        task = asyncio.create_task(_notify_quietly(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_store_heartbeats(self) -> None:
        """Show the store that the owner lives, while it is this process."""
        while True:
            owner = self._owner_router.local_owner
            if owner is not None:
                await owner.progress_writer.write_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)


async def _notify_quietly(link: Link, message: Any) -> None:
    try:
        await link.notify(message)
    except LinkClosedError as exc:
        log.debug("a link ended: %s", exc)
