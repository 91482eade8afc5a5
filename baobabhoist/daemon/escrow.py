"""Keep the places of owned shards in step with the teams' escrow rows."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from baobabhoist.daemon.digests import digest_of
from baobabhoist.daemon.preemption import stop_message
from baobabhoist.daemon.shard import ShardOwner
from baobabhoist.errors import InvariantBreachError, LinkClosedError, PlatformError, Refusal
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

INTERVAL_S = 0.5
WAITING_INTERVAL_S = 0.1
# Rows are read this often when no shard here lacks places. Lowered limits come with the records
# and received places with the donor's reply, so that neither waits for this.
IDLE_READ_S = 5.0
PAGE = 1000
CALL_S = 2.0
# A task that was told to stop is told again after this time.
TELL_AGAIN_S = 5.0


@attrs.frozen
class Known:
    """Hold a team's row as it was read; `revision` is 0 for an absent row."""

    revision: int
    row: EscrowRow


@attrs.define
class Account:
    """Hold what one owned shard does with the rows.

    `in_doubt` maps a team to the revision of the row that a transfer without an answer checks:
    once the row has another revision, that transfer has taken effect or never will.
    """

    owner: ShardOwner
    planner: TransferPlanner = attrs.Factory(TransferPlanner)
    in_doubt: dict[str, int] = attrs.Factory(dict)
    told: dict[str, float] = attrs.Factory(dict)


class Instance(Protocol):
    """Be what the escrow needs of the instance."""

    table: Table
    view: RecordView

    def busy_owners(self) -> list[ShardOwner]:
        """Return the shards that this instance works for."""

    def peer_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards of live peers."""

    async def call_owner(self, shard: str, message: Any, timeout_s: float) -> Any:
        """Call the instance that owns a shard; raises LinkClosedError or TimeoutError."""


class Escrow:
    """Own the transactions on escrow rows of all shards of this instance."""

    def __init__(self, instance: Instance, clock: Callable[[], float] = time.time) -> None:
        self.known: dict[str, Known] = {}
        self._instance = instance
        self._clock = clock
        self._accounts: dict[str, Account] = {}
        self._wake = asyncio.Event()
        self._read_at = 0.0
        # Between the reading of a row and its use no other step may move this shard's places.
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Read rows and move places until cancelled."""
        while True:
            try:
                if self._is_due():
                    await self.cycle()
                    self._read_at = self._clock() + IDLE_READ_S
            except PlatformError as exc:
                emit(log, Event.ESCROW_MOVE_FAILED, team="all teams", detail=exc)
            except InvariantBreachError:
                log.warning("a step on the escrow rows was refused")
            waiting = any(
                owner.quota.takeover_cap is not None for owner in self._instance.busy_owners()
            )
            try:
                async with asyncio.timeout(WAITING_INTERVAL_S if waiting else INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _is_due(self) -> bool:
        """Tell whether the rows have to be read now; each reading costs one scan of the table."""
        return (
            self._wake.is_set()
            or self._clock() >= self._read_at
            or any(known.row.pending_limit is not None for known in self.known.values())
            or any(account.in_doubt for account in self._accounts.values())
            or any(
                owner.quota.takeover_cap is not None or self._wanted(owner)
                for owner in self._usable()
            )
        )

    async def cycle(self) -> None:
        """Read the rows once and act on them; raises PlatformError."""
        # Only a row read after the table confirmed the epoch holds a shard's full escrow: the
        # transactions of an earlier owner fail from then on.
        self._wake.clear()
        wishes: list[PlaceTransferRequest] = []
        async with self._lock:
            accounts = [self._account(owner) for owner in self._usable()]
            if not accounts:
                return
            await self._read()
            await self._maintain()
            for account in accounts:
                await self._settle_doubts(account)
                self._sync(account)
            for account in accounts:
                await self._return_excess(account)
                self._stop_excess(account)
                wishes += await self._demand(account)
        # Two instances that ask each other must not wait for each other's lock.
        for wish in wishes:
            await self._ask(wish)

    def limits_changed(self) -> None:
        """Apply lowered limits of the records at once, before the rows follow."""
        for owner in self._usable():
            if owner.quota.takeover_cap is None:
                self._set_ceilings(owner)
                owner.dispatch(self._clock())
        self._wake.set()

    async def give(self, wanted: PlaceTransferRequest) -> PlaceTransferReply:
        """Transfer free places to another shard and return how many."""
        async with self._lock:
            return await self._give(wanted)

    async def _give(self, wanted: PlaceTransferRequest) -> PlaceTransferReply:
        nothing = PlaceTransferReply(wanted.team, 0)
        owners = {owner.shard: owner for owner in self._usable()}
        owner = owners.get(wanted.from_shard)
        if owner is None or owner.quota.takeover_cap is not None:
            return nothing
        account = self._account(owner)
        if wanted.team in account.in_doubt or self._wanted(owner).get(wanted.team):
            return nothing
        try:
            row = _known(wanted.team, await self._instance.table.read(_key(wanted.team)))
            places = min(wanted.places, owner.quota.transferable(wanted.team))
            given = await self._move_out(account, wanted.team, row, places, wanted.to_shard)
        except (PlatformError, InvariantBreachError):
            return nothing
        if given:
            emit(
                log,
                Event.ESCROW_MOVED,
                places=places,
                team=wanted.team,
                source=wanted.from_shard,
                target=wanted.to_shard,
            )
        return PlaceTransferReply(wanted.team, places if given else 0)

    def _usable(self) -> list[ShardOwner]:
        return [owner for owner in self._instance.busy_owners() if owner.claim.can_use_full_escrow]

    def _account(self, owner: ShardOwner) -> Account:
        known = self._accounts.get(owner.shard)
        if known is None or known.owner is not owner:
            known = self._accounts[owner.shard] = Account(owner)
        return known

    # The rows.

    async def _read(self) -> None:
        found: dict[str, Known] = {}
        after = ""
        while True:
            rows = await self._instance.table.scan("escrow/", after, PAGE)
            for row in rows:
                team = row.key.removeprefix("escrow/")
                found[team] = _known(team, row)
            if len(rows) < PAGE:
                break
            after = rows[-1].key
        self.known = found

    async def _maintain(self) -> None:
        """Write the rows that the records ask for; of several instances one succeeds."""
        view = self._instance.view
        changed: dict[str, tuple[int, EscrowRow]] = {}
        for team, record in view.teams().items():
            known = self.known.get(team)
            if known is None:
                row = escrow.initial_row(record.limit, view.shards())
                changed[team] = (0, row)
            elif known.revision and _target(known.row) != record.limit:
                row = _refused_none(escrow.set_limit(team, known.row, record.limit), known.row)
                changed[team] = (known.revision, row)
                emit(
                    log,
                    Event.LIMIT_LOWERED if record.limit < known.row.limit else Event.ESCROW_MOVED,
                    team=team,
                    limit=record.limit,
                    excess=max(0, known.row.limit - record.limit),
                    places=record.limit - known.row.limit,
                    source="the record",
                    target="the pool",
                )
        if changed:
            txn = escrow.build_transaction(changed, {}, uuid.uuid4().hex)
            outcome = await self._instance.table.commit(txn)
            if isinstance(outcome, Committed):
                for team, (_, row) in changed.items():
                    self.known[team] = Known(outcome.revisions[_key(team)], row)
            else:
                await self._read()

    async def _settle_doubts(self, account: Account) -> None:
        for team, revision in list(account.in_doubt.items()):
            known = self.known.get(team)
            if known is not None and known.revision == revision:
                # Any later revision makes a transaction that is still on its way fail.
                writes = {_key(team): escrow.encode_row(known.row)}
                outcome = await self._instance.table.commit(
                    Transaction({_key(team): revision}, writes)
                )
                if isinstance(outcome, Committed):
                    new_revision = outcome.revisions[_key(team)]
                    self.known[team] = Known(new_revision, known.row)
                    del account.in_doubt[team]
            elif known is not None:
                del account.in_doubt[team]

    def _sync(self, account: Account) -> None:
        owner = account.owner
        if not owner.claim.can_use_full_escrow:
            return
        held = {team: known.row.held(owner.shard) for team, known in self.known.items()}
        arrived = owner.quota.takeover_cap is not None
        if arrived:
            owner.use_escrow(held)
        for team, places in held.items():
            more = places - owner.quota.escrow.get(team, 0)
            if team in account.in_doubt or not more:
                continue
            if more > 0:
                owner.quota.deposit(team, more)
                arrived = True
            else:
                log.error("shard %s holds %d places of %s too many", owner.shard, -more, team)
                owner.quota.escrow[team] = places
        self._set_ceilings(owner)
        if arrived:
            owner.scheduler.places_changed()
        owner.dispatch(self._clock())

    def _set_ceilings(self, owner: ShardOwner) -> None:
        teams = self._instance.view.teams()
        for team, known in self.known.items():
            limit = teams[team].limit if team in teams else 0
            row = known.row
            if limit < _target(row):
                row = _refused_none(escrow.set_limit(team, row, limit), row)
            lowered = row.pending_limit is not None
            ceiling = escrow.ceilings(row).get(owner.shard, 0) if lowered else None
            owner.quota.set_ceiling(team, ceiling)

    # What a lowered limit asks for.

    async def _return_excess(self, account: Account) -> None:
        owner = account.owner
        for team, known in list(self.known.items()):
            pending = known.row.pending_limit is not None
            if not pending or team in account.in_doubt or owner.quota.takeover_cap is not None:
                continue
            over = known.row.held(owner.shard) - owner.quota.allowed(team)
            places = min(over, owner.quota.transferable(team))
            if places > 0:
                await self._move_out(account, team, known, places, None)

    def _stop_excess(self, account: Account) -> None:
        """Checkpoint or stop what exceeds a lowered limit; requests end by themselves soon."""
        owner, now = account.owner, self._clock()
        account.told = {k: at for k, at in account.told.items() if now - at < TELL_AGAIN_S}
        for team in [team for team, used in owner.quota.used.items() if used]:
            for task_id in owner.quota.excess_tasks(team):
                placed = owner.scheduler.running.get(task_id)
                worker = owner.running_on(task_id)
                is_request = placed is not None and placed.placement.task.kind is WorkKind.REQUEST
                if is_request or worker is None or task_id in account.told:
                    continue
                queue = placed.placement.task.queue if placed is not None else ""
                policy = self._instance.view.policy_of(queue)
                action = PreemptionAction(policy.preempt_action.value)
                account.told[task_id] = now
                owner.stopping.add(task_id)
                message = stop_message(owner, task_id, action)
                owner.spawn(_tell(owner, worker, message))

    # Transfers.

    async def _demand(self, account: Account) -> list[PlaceTransferRequest]:
        """Take places from the pool, and return what to ask other shards for."""
        owner = account.owner
        if owner.quota.takeover_cap is not None:
            return []
        wanted = self._wanted(owner)
        others = self._others(owner) if wanted else []
        needs = [self._needs(owner, team, wanted.get(team, 0), others) for team in self.known]
        wishes = []
        for step in account.planner.plan(needs, self._clock()):
            if step.target != owner.shard or step.team in account.in_doubt:
                continue
            if step.source == POOL:
                await self._take_from_pool(account, step)
            else:
                wishes.append(
                    PlaceTransferRequest(step.team, step.places, step.source, step.target)
                )
        return wishes

    async def _take_from_pool(self, account: Account, step: Transfer) -> None:
        """Move places here; they are used once a later reading of the row shows them."""
        owner, known = account.owner, self.known[step.team]
        taken = PlaceMove(owner.shard, owner.claim.token.epoch, step.places)
        moved = escrow.apply_moves(step.team, known.row, [taken])
        if not isinstance(moved, Refusal):
            await self._commit(account, step.team, known.revision, moved)

    async def _ask(self, wish: PlaceTransferRequest) -> None:
        if any(owner.shard == wish.from_shard for owner in self._usable()):
            await self.give(wish)
            return
        try:
            await self._instance.call_owner(wish.from_shard, wish, CALL_S)
            self._wake.set()
        except (LinkClosedError, TimeoutError):
            log.info("the owner of %s did not answer the wish for places", wish.from_shard)

    def _wanted(self, owner: ShardOwner) -> dict[str, int]:
        """Return the queued tasks by team that only lack a place."""
        digest = digest_of(owner)
        room = max(0, digest.free_slots)
        return {
            team: min(count, room)
            for team, count in digest.unmet.items()
            if not digest.spare.get(team) and room
        }

    def _needs(
        self, owner: ShardOwner, team: str, wanted: int, others: Iterable[ShardDigest]
    ) -> TeamBalance:
        row = self.known[team].row
        pool = 0 if row.pending_limit is not None else row.pool
        shards = [ShardBalance(owner.shard, 0, wanted)]
        if row.pending_limit is None:
            shards += [
                # A shard that waits for places itself gives none, and asks for itself.
                ShardBalance(digest.shard, 0 if digest.unmet.get(team) else spare, 0)
                for digest in others
                if (spare := digest.spare.get(team, 0)) > 0
            ]
        return TeamBalance(team, pool, tuple(shards))

    def _others(self, owner: ShardOwner) -> Iterable[ShardDigest]:
        own = (digest_of(other) for other in self._usable() if other is not owner)
        return [*self._instance.peer_digests(), *own]

    async def _move_out(
        self, account: Account, team: str, known: Known, places: int, target: str | None
    ) -> bool:
        """Move places to another shard or the pool; tell whether that is known to be done.

        The places are out of use before the commit, so that they are never used twice.
        """
        owner = account.owner
        if places <= 0:
            return False
        steps = [PlaceMove(owner.shard, owner.claim.token.epoch, -places)]
        if target is not None:
            steps.append(PlaceMove(target, known.row.epochs.get(target, 0), places))
        moved = escrow.apply_moves(team, known.row, steps)
        if isinstance(moved, Refusal):
            return False
        owner.quota.withdraw(team, places)
        account.in_doubt[team] = known.revision
        outcome = await self._commit(account, team, known.revision, moved)
        if not outcome:
            owner.quota.deposit(team, places)
        return outcome

    async def _commit(self, account: Account, team: str, revision: int, row: EscrowRow) -> bool:
        """Commit a row; an answer that is lost leaves the team in doubt."""
        owner = account.owner
        shards = {owner.shard: owner.fencing.row_revision}
        txn = escrow.build_transaction({team: (revision, row)}, shards, uuid.uuid4().hex)
        outcome = await self._instance.table.commit(txn)
        account.in_doubt.pop(team, None)
        if not isinstance(outcome, Committed):
            return False
        self.known[team] = Known(outcome.revisions[_key(team)], row)
        self._wake.set()
        return True


async def _tell(owner: ShardOwner, worker: str, message: Any) -> None:
    await owner.tell_worker(worker, message)


def _key(team: str) -> str:
    return escrow.row_key(team)


def _known(team: str, row: Row) -> Known:
    if row.value is None:
        raise PlatformError(f"team {team} has no escrow row")
    return Known(row.revision, escrow.decode_row(team, row.value))


def _target(row: EscrowRow) -> int:
    return row.limit if row.pending_limit is None else row.pending_limit


def _refused_none(row: EscrowRow | Refusal, otherwise: EscrowRow) -> EscrowRow:
    return otherwise if isinstance(row, Refusal) else row
