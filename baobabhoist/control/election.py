"""Elect the cell's owner: claim the cell, keep the claim alive and release it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs

from baobabhoist.control.claim import (
    CONFIRMATION_VALID_MS,
    HEARTBEAT_INTERVAL_MS,
    HEARTBEAT_STALE_MS,
    ISOLATION_BACKOFF_MS,
    REASONS_PREVIOUS_OWNER_STOPPED,
    TAKEOVER_WINDOW_MS,
    ClaimReason,
    ClaimRow,
    IsolationDetector,
    OwnerLinkState,
    decode_claim,
    encode_claim,
    find_claim_reason,
    takeover_backoff_factor,
)
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.config import ActiveConfig
from baobabhoist.control.links import Identity, LinkServer, OwnerLink, heartbeat_interval_s
from baobabhoist.control.messages import OwnerHeartbeat
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.ownership_term import OwnershipTerm
from baobabhoist.control.row_schema import CELL_TABLE, HEARTBEAT_ROW_KEY, OWNER_ROW_KEY
from baobabhoist.control.sessions.permits import PERMIT_VALID_MS
from baobabhoist.control.settings import NodeSettings
from baobabhoist.control.silent_workers_row import (
    SILENT_WORKERS_ROW_KEY,
    encode_silent_workers,
)
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import (
    RowsConflict,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreError,
)

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner

log = logging.getLogger(__name__)

# Interval of the checks whether to claim, while the owner is linked and otherwise.
LINKED_CHECK_INTERVAL_S = 0.4
CHECK_INTERVAL_S = 0.1
# Random delay before a claim, so that instances do not all claim at the same moment.
CLAIM_JITTER_S = 0.06
# A smaller machine delays its claim by up to this, so that larger ones win.
MAX_SMALL_MACHINE_DELAY_S = 0.5
# A released cell is left to the successor that its owner named for this long.
SUCCESSOR_HEAD_START_S = 0.6
# An instance that handed the cell over does not claim it for this long.
HANDOVER_BACKOFF_MS = 2_000.0
# Pause between polls of the claim while the link shows that the owner is alive.
CLAIM_POLL_PAUSE_S = 1.5
# Successful polls are further apart than this only if a poll between them failed.
MAX_READ_GAP_MS = 1_700.0
# One pause and one long poll; a claim that was read longer ago may be out of date.
MAX_READ_AGE_MS = 3_200.0

OwnerFactory = Callable[[OwnershipTerm, Callable[[], float], Callable[[str], None]], "CellOwner"]


class OwnerElection:
    """Run this instance's side of the election of the cell's owner."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: RowStore,
        config: ActiveConfig,
        identity: Identity,
        owner_router: OwnerRouter,
        link_server: LinkServer,
        owner_link: OwnerLink,
        make_owner: OwnerFactory,
        store_health: StoreHealth,
    ) -> None:
        self.is_draining = False
        # Polls the cell's table without waiting for the pause to end.
        self.poll_now: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._store = store
        self._config = config
        self._identity = identity
        self._owner_router = owner_router
        self._link_server = link_server
        self._owner_link = owner_link
        self._make_owner = make_owner
        self._store_health = store_health
        self._claim: ClaimRow | None = None
        self._claim_version = 0
        self._heartbeat_version = 0
        self._heartbeat_changed_ms = monotonic_ms()
        self._read_ms = -1e12
        self._has_read = False
        self._check_requested = asyncio.Event()
        # Set while this instance owns the cell.
        self._is_owning = asyncio.Event()
        self._takeover_times_ms: list[float] = []
        self._isolation_detector = IsolationDetector()
        # Earliest time of the next claim, on the local clock.
        self._next_claim_ms = 0.0
        # When the expected waits that were sent last were computed.
        self._sent_waits_ms = float("-inf")
        self._owner_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def recheck(self) -> None:
        """Check the claim now, because the state of the owner link changed."""
        self.poll_now()
        self._check_requested.set()

    def poll_pause_s(self) -> float:
        """Return the pause between polls of the cell's table, in seconds."""
        is_owner = self._owner_router.local_owner is not None
        return (
            CLAIM_POLL_PAUSE_S
            if is_owner or self._owner_link.state is OwnerLinkState.CONNECTED
            else 0.0
        )

    async def hand_over(self, successor: str) -> None:
        """Release the cell, so that a larger instance takes it over."""
        self._next_claim_ms = monotonic_ms() + HANDOVER_BACKOFF_MS
        await self.release(f"handed over to {successor}", successor)

    def is_ready_to_own(self) -> bool:
        """Return whether this instance would claim the cell if it were released now."""
        return (
            self._can_claim()
            and self._owner_link.state is OwnerLinkState.CONNECTED
            and self._store_health.is_stable()
        )

    async def release(self, reason: str, successor: str = "") -> None:
        """Release the cell, so that another instance can take it over immediately."""
        owner = self._owner_router.local_owner
        if owner is None:
            return
        claim = ClaimRow(
            "", "", "", owner.ownership.generation, successor, tracks_silent_workers=True
        )
        owner.stop()
        await owner.wait_until_stopped()
        if await owner.progress_writer.release(encode_claim(claim), owner.cell):
            emit(log, Event.CLAIM_RELEASED, token=owner.ownership.token)
            self._notify_links(OwnerHeartbeat(owns=False))
        self._step_down(reason)

    # Changes of the cell's table.

    def apply_rows(self, rows: Sequence[StoredRow], is_snapshot: bool) -> None:
        """Apply new versions of the claim and of the heartbeat."""
        for row in rows:
            if row.key == OWNER_ROW_KEY and row.version >= self._claim_version:
                self._apply_claim(row)
            elif row.key == HEARTBEAT_ROW_KEY and row.version > self._heartbeat_version:
                self._heartbeat_version = row.version
                self._heartbeat_changed_ms = monotonic_ms()

    def _apply_claim(self, row: StoredRow) -> None:
        if row.value is None or row.version == self._claim_version:
            return
        try:
            claim = decode_claim(row.value)
        except ValueError as exc:
            emit(log, Event.ROW_UNREADABLE, table=CELL_TABLE, row=row.key.key, detail=exc)
            return
        self._record_takeover(claim)
        self._claim, self._claim_version = claim, row.version
        self._heartbeat_changed_ms = monotonic_ms()
        emit(
            log,
            Event.CLAIM_SEEN,
            owner=claim.node,
            version=row.version,
            generation=claim.generation,
        )
        if claim.boot != self._identity.boot_id and self._owner_router.local_owner is not None:
            self._step_down(f"{claim.node or 'nobody'} has the claim")
        self._owner_link.connect_to(claim)
        self._check_requested.set()

    def _record_takeover(self, claim: ClaimRow) -> None:
        """Count takeovers from owners that did not release the cell."""
        previous = self._claim
        if previous is not None and not previous.is_released and not claim.is_released:
            self._takeover_times_ms.append(monotonic_ms())

    def _count_recent_takeovers(self) -> int:
        since = monotonic_ms() - TAKEOVER_WINDOW_MS
        self._takeover_times_ms = [t for t in self._takeover_times_ms if t > since]
        return len(self._takeover_times_ms)

    def record_read(self, sent_ms: float) -> None:
        """Record that a poll of the table, sent at `sent_ms`, was answered."""
        now = monotonic_ms()
        if sent_ms - self._read_ms > MAX_READ_GAP_MS:
            # The store was unavailable, so the owner could not write heartbeats either.
            self._heartbeat_changed_ms = now
        self._read_ms = now
        self._has_read = True

    # The claim.

    async def run_claims(self) -> None:
        """Claim the cell whenever there is a reason to, until cancelled."""
        while True:
            is_linked = self._owner_link.state is OwnerLinkState.CONNECTED
            try:
                async with asyncio.timeout(
                    LINKED_CHECK_INTERVAL_S if is_linked else CHECK_INTERVAL_S
                ):
                    await self._check_requested.wait()
            except TimeoutError:
                pass
            self._check_requested.clear()
            reason = self._find_reason()
            if reason is not ClaimReason.NONE:
                await asyncio.sleep(self._claim_delay_s())
                if self._find_reason() is reason:
                    await self._try_claim(reason)

    def _find_reason(self) -> ClaimReason:
        if not self._can_claim():
            return ClaimReason.NONE
        heartbeat_age_ms = monotonic_ms() - self._heartbeat_changed_ms
        return find_claim_reason(
            self._claim,
            self._owner_link.state,
            heartbeat_age_ms,
            self._identity.boot_id,
            self._count_recent_takeovers(),
        )

    def _can_claim(self) -> bool:
        now = monotonic_ms()
        return (
            self._has_read
            and now - self._read_ms < MAX_READ_AGE_MS
            and not self.is_draining
            and self._owner_router.local_owner is None
            and self._config.current is not None
            and now >= self._next_claim_ms
        )

    def _claim_delay_s(self) -> float:
        successor = self._claim.successor if self._claim is not None else ""
        if successor == self._identity.node:
            return 0.0
        shortfall = 1.0 - self._identity.size.suitability
        delay_s = shortfall * MAX_SMALL_MACHINE_DELAY_S + random.random() * CLAIM_JITTER_S
        return delay_s + SUCCESSOR_HEAD_START_S if successor else delay_s

    async def _try_claim(self, reason: ClaimReason) -> None:
        generation = self._claim.generation + 1 if self._claim is not None else 0
        claim = ClaimRow(
            self._identity.node,
            self._identity.boot_id,
            self._cfg.advertised_peer_address,
            generation,
            tracks_silent_workers=True,
        )
        expected = {OWNER_ROW_KEY: self._claim_version}
        if reason not in REASONS_PREVIOUS_OWNER_STOPPED and self._heartbeat_version:
            expected[HEARTBEAT_ROW_KEY] = self._heartbeat_version
        puts = {OWNER_ROW_KEY: encode_claim(claim)}
        if self._claim is None or not self._claim.tracks_silent_workers:
            # What the row says no longer holds, neither for this owner nor for the next one.
            puts[SILENT_WORKERS_ROW_KEY] = encode_silent_workers({})
        txn = RowTransaction(expected, puts)
        sent_ms = monotonic_ms()
        try:
            outcome = await self._store.commit(txn)
        except StoreError as exc:
            # The claim may have been written without an answer.
            emit(log, Event.CLAIM_FAILED, reason=reason.value, detail=exc)
            await self._read_back_claim(claim, reason, sent_ms)
            return
        if isinstance(outcome, RowsConflict):
            for row in outcome.rows:
                self.apply_rows([row], False)
            return
        self._become_owner(claim, outcome.version, reason, sent_ms)

    async def _read_back_claim(self, claim: ClaimRow, reason: ClaimReason, sent_ms: float) -> None:
        """Become the owner if a claim that got no answer was written after all."""
        try:
            rows = await self._store.read(OWNER_ROW_KEY.table)
        except StoreError as exc:
            log.debug("reading back the claim failed: %s", exc)
            return
        for row in rows.rows:
            if row.key == OWNER_ROW_KEY and row.value == encode_claim(claim):
                self._become_owner(claim, row.version, reason, sent_ms)

    def _become_owner(
        self,
        claim: ClaimRow,
        version: int,
        reason: ClaimReason,
        sent_ms: float,
    ) -> None:
        """Begin a term of ownership whose claim was sent at `sent_ms`."""
        if self._owner_router.local_owner is not None:
            return
        now = monotonic_ms()
        self._claim, self._claim_version = claim, version
        self._owner_link.connect_to(None)
        previous_owner_until_ms = self._previous_owner_ends_ms(reason, now)
        ownership = OwnershipTerm(version, claim.generation, now, previous_owner_until_ms)
        emit(
            log,
            Event.CLAIM_WON,
            token=version,
            generation=claim.generation,
            reason=reason.value,
            wait_ms=round(previous_owner_until_ms - now),
            cores=round(self._identity.size.cores, 2),
            link_mbps=self._identity.size.link_mbps,
        )
        owner = self._make_owner(ownership, self._authority_ends_ms, self._step_down)
        # Others count from when the claim was stored, which may be long ago.
        owner.progress_writer.heartbeat_confirmed_ms = sent_ms
        self._isolation_detector = IsolationDetector(last_sufficient_ms=now)
        self._owner_router.local_owner = owner
        self._identity.is_owner = True
        self._is_owning.set()
        self._owner_task = create_logged_task(owner.run(), "owner of the cell")
        self._owner_task.add_done_callback(self._handle_owner_end)

    def _handle_owner_end(self, task: asyncio.Task[None]) -> None:
        """Step down if the owner's task ended: heartbeats alone must not keep the cell."""
        if task is not self._owner_task or self._owner_router.local_owner is None:
            return
        exc = None if task.cancelled() else task.exception()
        self._takeover_times_ms.append(monotonic_ms())
        backoff_factor = takeover_backoff_factor(self._count_recent_takeovers())
        self._next_claim_ms = monotonic_ms() + HEARTBEAT_STALE_MS * backoff_factor
        self._step_down(f"the owner's task ended: {exc!r}")

    def _previous_owner_ends_ms(self, reason: ClaimReason, now: float) -> float:
        """Return until when a previous owner, or a holder of its sessions, may renew leases."""
        if reason is ClaimReason.UNCLAIMED:
            return now
        if reason in REASONS_PREVIOUS_OWNER_STOPPED:
            # It has stopped, but the instances that hold sessions for it have permits.
            return now + PERMIT_VALID_MS
        return max(now, self._heartbeat_changed_ms + CONFIRMATION_VALID_MS)

    def _authority_ends_ms(self) -> float:
        """Return until when this owner may act if its claim is not confirmed any more."""
        owner = self._owner_router.local_owner
        if owner is None:
            return float("-inf")
        return owner.progress_writer.heartbeat_confirmed_ms + CONFIRMATION_VALID_MS

    def _step_down(self, reason: str) -> None:
        owner = self._owner_router.local_owner
        if owner is None:
            return
        emit(log, Event.CLAIM_LOST, token=owner.ownership.token, reason=reason)
        self._owner_router.local_owner = None
        self._identity.is_owner = False
        self._is_owning.clear()
        if self._owner_task is not None:
            self._owner_task.cancel()
        owner.stop()
        self._heartbeat_changed_ms = monotonic_ms()
        if self._claim is not None:
            self._owner_link.connect_to(self._claim)

    async def run_link_heartbeats(self) -> None:
        """Send heartbeats over the links, which also works while the store is unavailable."""
        while True:
            await self._is_owning.wait()
            owner = self._owner_router.local_owner
            if owner is not None:
                self._notify_links(self._make_heartbeat(owner))
            link_count = len(self._link_server.links)
            if self._isolation_detector.is_isolated(link_count, monotonic_ms()):
                self._next_claim_ms = monotonic_ms() + ISOLATION_BACKOFF_MS
                await self.release("no instance is linked to this one")
            await asyncio.sleep(heartbeat_interval_s(link_count))

    def _make_heartbeat(self, owner: CellOwner) -> OwnerHeartbeat:
        """Return a heartbeat, with the expected waits if they are new."""
        known, waits = owner.job_waits(), None
        if known is not None and known.computed_ms != self._sent_waits_ms:
            self._sent_waits_ms = known.computed_ms
            waits = attrs.evolve(known.waits, age_ms=monotonic_ms() - known.computed_ms)
        return OwnerHeartbeat(refuse_jobs_ms=owner.refuse_jobs_ms(), waits=waits)

    def _notify_links(self, message: Any) -> None:
        for link in list(self._link_server.links.values()):
            self._notify(link, message)

    def _notify(self, link: Link, message: Any) -> None:
        task = create_logged_task(_notify_unless_closed(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_store_heartbeats(self) -> None:
        """Write heartbeats to the store while this process is the owner."""
        while True:
            await self._is_owning.wait()
            owner = self._owner_router.local_owner
            if owner is not None:
                await owner.progress_writer.write_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)


async def _notify_unless_closed(link: Link, message: Any) -> None:
    try:
        await link.notify(message)
    except LinkClosedError as exc:
        log.debug("a link closed before the owner's notification was sent: %s", exc)
