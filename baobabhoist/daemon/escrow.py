"""Synchronise the quota of owned shards with the escrow rows of their teams.

The escrow row of a team divides the team's limit into the places of each shard and a pool of free
places. A place is the right to run one task. A shard starts work only within its places.
"""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.digests import build_digest
from baobabhoist.daemon.preemption import build_stop_message
from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.errors import InvariantViolationError, LinkClosedError, PlatformError, Refusal
from baobabhoist.model import WorkKind
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.messages import PlaceTransferReply, PlaceTransferRequest, ShardDigest
from baobabhoist.quota import escrow
from baobabhoist.quota.escrow import EscrowRow, PlaceMove
from baobabhoist.quota.transfer import POOL, ShardBalance, TeamBalance, Transfer, TransferPlanner
from baobabhoist.records.view import RecordView
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.store.table import Committed, Row, Table, Transaction

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.5
TAKEOVER_RECONCILE_INTERVAL_S = 0.1
# Interval between reads of the rows while no owned shard lacks quota. Lowered limits arrive with
# the records and transferred quota with the donor's reply, so neither waits for this interval.
IDLE_READ_INTERVAL_S = 5.0
SCAN_PAGE_ROWS = 1000
TRANSFER_CALL_TIMEOUT_S = 2.0
# Time after which a worker is told again to stop a task that still runs.
STOP_RETRY_INTERVAL_S = 5.0


@attrs.frozen
class VersionedRow:
    """Represent a team's row as it was read; `revision` is 0 for an absent row."""

    revision: int
    row: EscrowRow


@attrs.define
class ShardAccount:
    """Track the transfers and the stopped tasks of one owned shard.

    `in_doubt` maps a team to the row revision that an unacknowledged transfer checks. Once the
    row has another revision, that transfer has either taken effect or never will.
    `stop_sent_at` maps a task to the time at which its worker was last told to stop it.
    """

    owner: ShardOwner
    planner: TransferPlanner = attrs.Factory(TransferPlanner)
    in_doubt: dict[str, int] = attrs.Factory(dict)
    stop_sent_at: dict[str, float] = attrs.Factory(dict)


class EscrowContext(Protocol):
    """Define what the escrow manager needs from the instance."""

    table: Table
    view: RecordView

    def active_owners(self) -> list[ShardOwner]:
        """Return the owners of the shards that this instance serves."""

    def peer_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards of live peers."""

    async def call_owner(self, shard: str, message: Any, timeout_s: float) -> Any:
        """Call the instance that owns a shard; raises LinkClosedError or TimeoutError."""


class EscrowManager:
    """Run the escrow transactions of all shards of this instance."""

    def __init__(self, context: EscrowContext, clock: Callable[[], float] = time.time) -> None:
        self.rows: dict[str, VersionedRow] = {}
        self._context = context
        self._clock = clock
        self._accounts: dict[str, ShardAccount] = {}
        self._wake = asyncio.Event()
        self._next_read_at = 0.0
        # No other transfer may change the quota of a shard between the read of a row and its use.
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Read the rows and transfer quota until cancelled."""
        while True:
            try:
                if self._is_due():
                    await self.reconcile()
                    self._next_read_at = self._clock() + IDLE_READ_INTERVAL_S
            except PlatformError as exc:
                emit(log, Event.ESCROW_MOVE_FAILED, team="all teams", detail=exc)
            except InvariantViolationError:
                log.warning("an invariant check rejected an escrow update")
            is_capped = any(
                owner.quota_ledger.takeover_cap is not None
                for owner in self._context.active_owners()
            )
            try:
                async with asyncio.timeout(
                    TAKEOVER_RECONCILE_INTERVAL_S if is_capped else RECONCILE_INTERVAL_S
                ):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _is_due(self) -> bool:
        """Return whether the rows have to be read now; each read costs one scan of the table."""
        return (
            self._wake.is_set()
            or self._clock() >= self._next_read_at
            or any(current.row.pending_limit is not None for current in self.rows.values())
            or any(account.in_doubt for account in self._accounts.values())
            or any(
                owner.quota_ledger.takeover_cap is not None or self._unmet_demand(owner)
                for owner in self._eligible_owners()
            )
        )

    async def reconcile(self) -> None:
        """Read the rows once and act on them; raises PlatformError."""
        # A row shows a shard's full escrow only if it was read after the table confirmed the
        # epoch, because from then on the transactions of earlier owners fail.
        self._wake.clear()
        requests: list[PlaceTransferRequest] = []
        async with self._lock:
            accounts = [self._account_of(owner) for owner in self._eligible_owners()]
            if not accounts:
                return
            await self._read_rows()
            await self._write_record_limits()
            for account in accounts:
                await self._resolve_in_doubt(account)
                self._sync_ledger(account)
            for account in accounts:
                await self._return_excess(account)
                self._stop_excess(account)
                requests += await self._acquire_quota(account)
        # Sent without the lock: two instances that request quota from each other would deadlock.
        for request in requests:
            await self._request_transfer(request)

    def apply_lowered_limits(self) -> None:
        """Apply lowered limits at once, before the escrow rows are updated."""
        for owner in self._eligible_owners():
            if owner.quota_ledger.takeover_cap is None:
                self._set_ceilings(owner)
                owner.dispatch(self._clock())
        self._wake.set()

    async def grant(self, request: PlaceTransferRequest) -> PlaceTransferReply:
        """Transfer free places to another shard and return how many."""
        async with self._lock:
            return await self._grant_locked(request)

    async def _grant_locked(self, request: PlaceTransferRequest) -> PlaceTransferReply:
        no_grant = PlaceTransferReply(request.team, 0)
        owners = {owner.shard: owner for owner in self._eligible_owners()}
        owner = owners.get(request.from_shard)
        if owner is None or owner.quota_ledger.takeover_cap is not None:
            return no_grant
        account = self._account_of(owner)
        if request.team in account.in_doubt or self._unmet_demand(owner).get(request.team):
            return no_grant
        try:
            row = _decode_row(request.team, await self._context.table.read(_row_key(request.team)))
            places = min(request.places, owner.quota_ledger.transferable(request.team))
            committed = await self._transfer_out(
                account, request.team, row, places, request.to_shard
            )
        except (PlatformError, InvariantViolationError):
            return no_grant
        if committed:
            emit(
                log,
                Event.ESCROW_MOVED,
                places=places,
                team=request.team,
                source=request.from_shard,
                target=request.to_shard,
            )
        return PlaceTransferReply(request.team, places if committed else 0)

    def _eligible_owners(self) -> list[ShardOwner]:
        return [
            owner for owner in self._context.active_owners() if owner.claim.can_use_full_escrow
        ]

    def _account_of(self, owner: ShardOwner) -> ShardAccount:
        account = self._accounts.get(owner.shard)
        if account is None or account.owner is not owner:
            account = self._accounts[owner.shard] = ShardAccount(owner)
        return account

    # Escrow rows.

    async def _read_rows(self) -> None:
        rows_by_team: dict[str, VersionedRow] = {}
        after = ""
        while True:
            rows = await self._context.table.scan("escrow/", after, SCAN_PAGE_ROWS)
            for row in rows:
                team = row.key.removeprefix("escrow/")
                rows_by_team[team] = _decode_row(team, row)
            if len(rows) < SCAN_PAGE_ROWS:
                break
            after = rows[-1].key
        self.rows = rows_by_team

    async def _write_record_limits(self) -> None:
        """Write the limits of the records to the rows; of several instances one succeeds."""
        view = self._context.view
        updates: dict[str, tuple[int, EscrowRow]] = {}
        for team, record in view.teams().items():
            current = self.rows.get(team)
            if current is None:
                row = escrow.initial_row(record.limit, view.shards())
                updates[team] = (0, row)
            elif current.revision and _target_limit(current.row) != record.limit:
                row = _unless_refused(
                    escrow.set_limit(team, current.row, record.limit), current.row
                )
                updates[team] = (current.revision, row)
                emit(
                    log,
                    Event.LIMIT_LOWERED
                    if record.limit < current.row.limit
                    else Event.ESCROW_MOVED,
                    team=team,
                    limit=record.limit,
                    excess=max(0, current.row.limit - record.limit),
                    places=record.limit - current.row.limit,
                    source="the record",
                    target="the pool",
                )
        if updates:
            txn = escrow.build_transaction(updates, {}, uuid.uuid4().hex)
            outcome = await self._context.table.commit(txn)
            if isinstance(outcome, Committed):
                for team, (_, row) in updates.items():
                    self.rows[team] = VersionedRow(outcome.revisions[_row_key(team)], row)
            else:
                await self._read_rows()

    async def _resolve_in_doubt(self, account: ShardAccount) -> None:
        for team, revision in list(account.in_doubt.items()):
            current = self.rows.get(team)
            if current is not None and current.revision == revision:
                # Advance the revision, so that a transaction still in transit fails its check.
                writes = {_row_key(team): escrow.encode_row(current.row)}
                outcome = await self._context.table.commit(
                    Transaction({_row_key(team): revision}, writes)
                )
                if isinstance(outcome, Committed):
                    new_revision = outcome.revisions[_row_key(team)]
                    self.rows[team] = VersionedRow(new_revision, current.row)
                    del account.in_doubt[team]
            elif current is not None:
                del account.in_doubt[team]

    def _sync_ledger(self, account: ShardAccount) -> None:
        owner = account.owner
        if not owner.claim.can_use_full_escrow:
            return
        held = {team: current.row.held(owner.shard) for team, current in self.rows.items()}
        has_gained = owner.quota_ledger.takeover_cap is not None
        if has_gained:
            owner.lift_takeover_cap(held)
        for team, places in held.items():
            difference = places - owner.quota_ledger.escrow.get(team, 0)
            if team in account.in_doubt or not difference:
                continue
            if difference > 0:
                owner.quota_ledger.deposit(team, difference)
                has_gained = True
            else:
                log.error(
                    "shard %s exceeds its escrow by %d for team %s", owner.shard, -difference, team
                )
                owner.quota_ledger.escrow[team] = places
        self._set_ceilings(owner)
        if has_gained:
            owner.scheduler.places_changed()
        owner.dispatch(self._clock())

    def _set_ceilings(self, owner: ShardOwner) -> None:
        teams = self._context.view.teams()
        for team, current in self.rows.items():
            limit = teams[team].limit if team in teams else 0
            row = current.row
            if limit < _target_limit(row):
                row = _unless_refused(escrow.set_limit(team, row, limit), row)
            is_lowered = row.pending_limit is not None
            ceiling = escrow.ceilings(row).get(owner.shard, 0) if is_lowered else None
            owner.quota_ledger.set_ceiling(team, ceiling)

    # Lowered limits.

    async def _return_excess(self, account: ShardAccount) -> None:
        owner = account.owner
        for team, current in list(self.rows.items()):
            is_lowered = current.row.pending_limit is not None
            if (
                not is_lowered
                or team in account.in_doubt
                or owner.quota_ledger.takeover_cap is not None
            ):
                continue
            excess = current.row.held(owner.shard) - owner.quota_ledger.allowed(team)
            places = min(excess, owner.quota_ledger.transferable(team))
            if places > 0:
                await self._transfer_out(account, team, current, places, None)

    def _stop_excess(self, account: ShardAccount) -> None:
        """Checkpoint or stop tasks above a lowered limit, except requests, which end soon."""
        owner, now = account.owner, self._clock()
        account.stop_sent_at = {
            task_id: sent_at
            for task_id, sent_at in account.stop_sent_at.items()
            if now - sent_at < STOP_RETRY_INTERVAL_S
        }
        for team in [team for team, used in owner.quota_ledger.used.items() if used]:
            for task_id in owner.quota_ledger.excess_tasks(team):
                placed = owner.scheduler.running.get(task_id)
                worker = owner.worker_of(task_id)
                is_request = placed is not None and placed.placement.task.kind is WorkKind.REQUEST
                if is_request or worker is None or task_id in account.stop_sent_at:
                    continue
                queue = placed.placement.task.queue if placed is not None else ""
                policy = self._context.view.policy_for_queue(queue)
                action = PreemptionAction(policy.preempt_action.value)
                account.stop_sent_at[task_id] = now
                owner.stopping_tasks.add(task_id)
                message = build_stop_message(owner, task_id, action)
                owner.spawn(_call_worker(owner, worker, message))

    # Transfers.

    async def _acquire_quota(self, account: ShardAccount) -> list[PlaceTransferRequest]:
        """Take quota from the pool, and return the requests to send to other shards."""
        owner = account.owner
        if owner.quota_ledger.takeover_cap is not None:
            return []
        demand = self._unmet_demand(owner)
        others = self._other_digests(owner) if demand else []
        balances = [
            self._team_balance(owner, team, demand.get(team, 0), others) for team in self.rows
        ]
        requests = []
        for transfer in account.planner.plan(balances, self._clock()):
            if transfer.target != owner.shard or transfer.team in account.in_doubt:
                continue
            if transfer.source == POOL:
                await self._take_from_pool(account, transfer)
            else:
                requests.append(
                    PlaceTransferRequest(
                        transfer.team, transfer.places, transfer.source, transfer.target
                    )
                )
        return requests

    async def _take_from_pool(self, account: ShardAccount, transfer: Transfer) -> None:
        """Transfer quota from the pool; it is usable once a later read of the row shows it."""
        owner, current = account.owner, self.rows[transfer.team]
        credit = PlaceMove(owner.shard, owner.claim.token.epoch, transfer.places)
        new_row = escrow.apply_moves(transfer.team, current.row, [credit])
        if not isinstance(new_row, Refusal):
            await self._commit(account, transfer.team, current.revision, new_row)

    async def _request_transfer(self, request: PlaceTransferRequest) -> None:
        if any(owner.shard == request.from_shard for owner in self._eligible_owners()):
            await self.grant(request)
            return
        try:
            await self._context.call_owner(request.from_shard, request, TRANSFER_CALL_TIMEOUT_S)
            self._wake.set()
        except (LinkClosedError, TimeoutError):
            log.info("the owner of %s did not answer the quota request", request.from_shard)

    def _unmet_demand(self, owner: ShardOwner) -> dict[str, int]:
        """Return by team how many queued tasks lack nothing but quota."""
        digest = build_digest(owner)
        free_slots = max(0, digest.free_slots)
        return {
            team: min(count, free_slots)
            for team, count in digest.unmet.items()
            if not digest.spare.get(team) and free_slots
        }

    def _team_balance(
        self, owner: ShardOwner, team: str, demand: int, others: Iterable[ShardDigest]
    ) -> TeamBalance:
        row = self.rows[team].row
        pool = 0 if row.pending_limit is not None else row.pool
        shards = [ShardBalance(owner.shard, 0, demand)]
        if row.pending_limit is None:
            shards += [
                # A shard with unmet demand grants nothing and requests quota for itself.
                ShardBalance(digest.shard, 0 if digest.unmet.get(team) else spare, 0)
                for digest in others
                if (spare := digest.spare.get(team, 0)) > 0
            ]
        return TeamBalance(team, pool, tuple(shards))

    def _other_digests(self, owner: ShardOwner) -> Iterable[ShardDigest]:
        local = (build_digest(other) for other in self._eligible_owners() if other is not owner)
        return [*self._context.peer_digests(), *local]

    async def _transfer_out(
        self,
        account: ShardAccount,
        team: str,
        current: VersionedRow,
        places: int,
        target: str | None,
    ) -> bool:
        """Transfer quota to another shard or the pool; return whether the commit succeeded.

        The places are taken out of use before the commit, so that they are never used twice.
        """
        owner = account.owner
        if places <= 0:
            return False
        moves = [PlaceMove(owner.shard, owner.claim.token.epoch, -places)]
        if target is not None:
            moves.append(PlaceMove(target, current.row.epochs.get(target, 0), places))
        new_row = escrow.apply_moves(team, current.row, moves)
        if isinstance(new_row, Refusal):
            return False
        owner.quota_ledger.withdraw(team, places)
        account.in_doubt[team] = current.revision
        is_committed = await self._commit(account, team, current.revision, new_row)
        if not is_committed:
            owner.quota_ledger.deposit(team, places)
        return is_committed

    async def _commit(
        self, account: ShardAccount, team: str, revision: int, row: EscrowRow
    ) -> bool:
        """Commit a row; without an acknowledgement the team stays in doubt."""
        owner = account.owner
        shards = {owner.shard: owner.claim_driver.row_revision}
        txn = escrow.build_transaction({team: (revision, row)}, shards, uuid.uuid4().hex)
        outcome = await self._context.table.commit(txn)
        account.in_doubt.pop(team, None)
        if not isinstance(outcome, Committed):
            return False
        self.rows[team] = VersionedRow(outcome.revisions[_row_key(team)], row)
        self._wake.set()
        return True


async def _call_worker(owner: ShardOwner, worker: str, message: Any) -> None:
    await owner.call_worker(worker, message)


def _row_key(team: str) -> str:
    return escrow.row_key(team)


def _decode_row(team: str, row: Row) -> VersionedRow:
    if row.value is None:
        raise PlatformError(f"team {team} has no escrow row")
    return VersionedRow(row.revision, escrow.decode_row(team, row.value))


def _target_limit(row: EscrowRow) -> int:
    return row.limit if row.pending_limit is None else row.pending_limit


def _unless_refused(row: EscrowRow | Refusal, fallback: EscrowRow) -> EscrowRow:
    return fallback if isinstance(row, Refusal) else row
