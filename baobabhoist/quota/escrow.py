"""Build the transactions on a team's escrow row, which holds pool and shards' places."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.store.table import Transaction


@attrs.frozen
class EscrowRow:
    """Hold a team's places: `pool + sum(places) <= limit` always holds.

    `limit` is the upper limit in force. A lower one that the shards have not yet made room for
    is in `pending_limit`. `epochs` holds the epoch under which each shard last changed the row.
    """

    limit: int
    pool: int
    places: Mapping[str, int]
    epochs: Mapping[str, int] = attrs.Factory(dict)
    pending_limit: int | None = None

    def held(self, shard: str) -> int:
        """Return the places of a shard."""
        return self.places.get(shard, 0)


@attrs.frozen
class PlaceMove:
    """Move places between the pool and a shard under the shard's epoch.

    Positive `places` go to the shard, negative ones to the pool.
    """

    shard: str
    epoch: int
    places: int


def row_key(team: str) -> str:
    """Return the table key of a team's escrow row."""
    return f"escrow/{team}"


def initial_row(limit: int, shards: Iterable[str]) -> EscrowRow:
    """Split a limit evenly over the shards; the first ones by name get the remainder."""
    names = sorted(set(shards))
    if not names:
        return EscrowRow(limit, limit, {})
    share, rest = divmod(limit, len(names))
    return EscrowRow(limit, 0, {name: share + (n < rest) for n, name in enumerate(names)})


def encode_row(row: EscrowRow) -> dict[str, Any]:
    """Return the row as the table stores it."""
    return {
        "limit": row.limit,
        "pool": row.pool,
        "places": dict(row.places),
        "epochs": dict(row.epochs),
        "pending_limit": row.pending_limit,
    }


def decode_row(team: str, value: Any) -> EscrowRow:
    """Return the row that the table stores; raises PlatformError if it is malformed."""
    try:
        pending = value["pending_limit"]
        row = EscrowRow(
            int(value["limit"]),
            int(value["pool"]),
            {str(shard): int(n) for shard, n in value["places"].items()},
            {str(shard): int(n) for shard, n in value["epochs"].items()},
            None if pending is None else int(pending),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"row {row_key(team)} is malformed: {exc!r}") from exc
    check_row(team, row)
    return row


def check_row(team: str, row: EscrowRow) -> None:
    """Refuse a row that promises more places than the limit; raises InvariantBreachError."""
    amounts = [row.pool, *row.places.values()]
    check(
        min(amounts) >= 0 and sum(amounts) <= row.limit,
        Invariant.ESCROW_WITHIN_LIMIT,
        "team %s: pool %d and places %s exceed the limit %d",
        team,
        row.pool,
        dict(row.places),
        row.limit,
    )


def set_limit(team: str, row: EscrowRow, limit: int) -> EscrowRow | Refusal:
    """Return the row with a new upper limit, which is pending while shards hold more."""
    if limit < 0:
        return Refusal(
            ErrorKind.BAD_REQUEST,
            f"the limit of team {team} is negative: {limit}",
            remedy="give a limit of at least 0",
        )
    if limit >= row.limit:
        changed = attrs.evolve(
            row, limit=limit, pool=row.pool + limit - row.limit, pending_limit=None
        )
    else:
        from_pool = min(row.pool, row.limit - limit)
        reached = row.limit - from_pool
        changed = attrs.evolve(
            row,
            limit=reached,
            pool=row.pool - from_pool,
            pending_limit=None if reached == limit else limit,
        )
    check_row(team, changed)
    return changed


def ceilings(row: EscrowRow) -> dict[str, int]:
    """Return how many places each shard may use; their sum respects a pending limit.

    While a lower limit is pending it is split in proportion to the places held, with largest
    remainders first, so that every owner computes the same split from the row alone.
    """
    held = dict(row.places)
    total = sum(held.values())
    if row.pending_limit is None or total <= row.pending_limit:
        return held
    exact = {shard: row.pending_limit * n / total for shard, n in held.items()}
    split = {shard: int(share) for shard, share in exact.items()}
    rest = row.pending_limit - sum(split.values())
    by_remainder = sorted(held, key=lambda shard: (split[shard] - exact[shard], shard))
    for shard in by_remainder[:rest]:
        split[shard] += 1
    return split


def apply_moves(team: str, row: EscrowRow, moves: Iterable[PlaceMove]) -> EscrowRow | Refusal:
    """Return the row after the moves, or the reason why one of them is not possible."""
    for step in sorted(moves, key=lambda step: step.places):
        result = _apply_move(team, row, step)
        if isinstance(result, Refusal):
            return result
        row = result
    check_row(team, row)
    return row


def _apply_move(team: str, row: EscrowRow, step: PlaceMove) -> EscrowRow | Refusal:
    if step.epoch < row.epochs.get(step.shard, 0):
        return Refusal(
            ErrorKind.STALE_TOKEN,
            f"shard {step.shard} has a newer owner than epoch {step.epoch}",
            remedy="read the shard's row again",
        )
    held = row.held(step.shard) + step.places
    if held < 0:
        return _short(team, f"shard {step.shard} holds {row.held(step.shard)} places")
    if step.places > 0 and (row.pending_limit is not None or step.places > row.pool):
        return _short(team, f"the pool holds {row.pool} places")
    pool, limit, pending = row.pool - step.places, row.limit, row.pending_limit
    if pending is not None and step.places < 0:
        lowered = max(pending, limit + step.places)
        pool -= limit - lowered
        limit, pending = lowered, None if lowered == pending else pending
    return EscrowRow(
        limit,
        pool,
        {**row.places, step.shard: held},
        {**row.epochs, step.shard: step.epoch},
        pending,
    )


def _short(team: str, reason: str) -> Refusal:
    return Refusal(
        ErrorKind.TEAM_LIMIT,
        f"team {team} has too few places: {reason}",
        remedy="wait until places are returned",
        retry_after_s=1.0,
    )


def confirm_epoch(row: EscrowRow, shard: str, epoch: int) -> EscrowRow:
    """Return the row that refuses later moves of the shard's earlier owners."""
    return attrs.evolve(row, epochs={**row.epochs, shard: max(epoch, row.epochs.get(shard, 0))})


def remove_shard(team: str, row: EscrowRow, shard: str) -> EscrowRow:
    """Return the row without a shard whose workers are all gone; its places go to the pool."""
    held = row.held(shard)
    freed = row
    if held:
        moved = apply_moves(team, row, [PlaceMove(shard, row.epochs.get(shard, 0), -held)])
        assert not isinstance(moved, Refusal)
        freed = moved
    return attrs.evolve(
        freed,
        places={name: n for name, n in freed.places.items() if name != shard},
        epochs={name: n for name, n in freed.epochs.items() if name != shard},
    )


def build_transaction(
    rows: Mapping[str, tuple[int, EscrowRow]], shard_revisions: Mapping[str, int], txn_id: str
) -> Transaction:
    """Return the transaction that writes the escrow rows of several teams.

    `rows` maps each team to the revision that was read and the new row. `shard_revisions` maps
    each shard whose places change to the revision at which its row names the owner's epoch.
    """
    checks = {f"shard/{shard}": revision for shard, revision in shard_revisions.items()}
    writes = {}
    for team, (revision, row) in rows.items():
        check_row(team, row)
        checks[row_key(team)] = revision
        writes[row_key(team)] = encode_row(row)
    return Transaction(checks, writes, txn_id)
