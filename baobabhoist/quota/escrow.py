"""Define the escrow row of a team and the transactions on it.

The row divides the team's upper limit into the places of each shard and a pool of free places.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.store.table import Transaction


@attrs.frozen
class EscrowRow:
    """Hold a team's places, of which each running task needs one.

    `pool + sum(places) <= limit` always holds.

    `limit` is the upper limit in force. `pending_limit` is a lower limit for which the shards
    have not yet returned enough places. `epochs` holds the epoch under which each shard last
    changed the row.
    """

    limit: int
    pool: int
    places: Mapping[str, int]
    epochs: Mapping[str, int] = attrs.Factory(dict)
    pending_limit: int | None = None

    def held(self, shard: str) -> int:
        """Return the number of places that a shard holds."""
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
    """Return a row that splits a limit evenly over the shards.

    The first shards by name get the remainder.
    """
    names = sorted(set(shards))
    if not names:
        return EscrowRow(limit, limit, {})
    share, remainder = divmod(limit, len(names))
    return EscrowRow(limit, 0, {name: share + (n < remainder) for n, name in enumerate(names)})


def encode_row(row: EscrowRow) -> dict[str, Any]:
    """Convert a row to the value that the table stores."""
    return {
        "limit": row.limit,
        "pool": row.pool,
        "places": dict(row.places),
        "epochs": dict(row.epochs),
        "pending_limit": row.pending_limit,
    }


def decode_row(team: str, value: Any) -> EscrowRow:
    """Convert a value of the table to a row; raises PlatformError if it is malformed."""
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
        raise PlatformError(f"escrow row {row_key(team)} is malformed: {exc!r}") from exc
    check_row(team, row)
    return row


def check_row(team: str, row: EscrowRow) -> None:
    """Raise InvariantViolationError if a row exceeds its limit or holds negative counts."""
    amounts = [row.pool, *row.places.values()]
    check(
        min(amounts) >= 0 and sum(amounts) <= row.limit,
        Invariant.ESCROW_WITHIN_LIMIT,
        "team %s: pool %d and places %s are negative or exceed the limit %d",
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
    """Return how many places each shard may use; the sum is within a pending limit.

    A pending limit is split in proportion to the places held, by the largest remainder method, so
    that every owner computes the same split from the row alone.
    """
    places = dict(row.places)
    total = sum(places.values())
    if row.pending_limit is None or total <= row.pending_limit:
        return places
    exact = {shard: row.pending_limit * n / total for shard, n in places.items()}
    split = {shard: int(share) for shard, share in exact.items()}
    remainder = row.pending_limit - sum(split.values())
    by_remainder = sorted(places, key=lambda shard: (split[shard] - exact[shard], shard))
    for shard in by_remainder[:remainder]:
        split[shard] += 1
    return split


def apply_moves(team: str, row: EscrowRow, moves: Iterable[PlaceMove]) -> EscrowRow | Refusal:
    """Return the row after the moves, or why one of them is not possible."""
    for place_move in sorted(moves, key=lambda place_move: place_move.places):
        result = _apply_move(team, row, place_move)
        if isinstance(result, Refusal):
            return result
        row = result
    check_row(team, row)
    return row


def _apply_move(team: str, row: EscrowRow, place_move: PlaceMove) -> EscrowRow | Refusal:
    if place_move.epoch < row.epochs.get(place_move.shard, 0):
        return Refusal(
            ErrorKind.STALE_TOKEN,
            f"shard {place_move.shard} has a newer owner than epoch {place_move.epoch}",
            remedy="read the shard's row again",
        )
    held = row.held(place_move.shard) + place_move.places
    if held < 0:
        return _too_few_places(
            team, f"shard {place_move.shard} holds {row.held(place_move.shard)} places"
        )
    if place_move.places > 0 and (row.pending_limit is not None or place_move.places > row.pool):
        return _too_few_places(team, f"the pool holds {row.pool} places")
    pool, limit, pending = row.pool - place_move.places, row.limit, row.pending_limit
    if pending is not None and place_move.places < 0:
        lowered = max(pending, limit + place_move.places)
        pool -= limit - lowered
        limit, pending = lowered, None if lowered == pending else pending
    return EscrowRow(
        limit,
        pool,
        {**row.places, place_move.shard: held},
        {**row.epochs, place_move.shard: place_move.epoch},
        pending,
    )


def _too_few_places(team: str, reason: str) -> Refusal:
    return Refusal(
        ErrorKind.TEAM_LIMIT,
        f"team {team} has too few free places: {reason}",
        remedy="retry when places have been returned",
        retry_after_s=1.0,
    )


def confirm_epoch(row: EscrowRow, shard: str, epoch: int) -> EscrowRow:
    """Return the row with a shard's epoch, which fences moves of the shard's earlier owners."""
    return attrs.evolve(row, epochs={**row.epochs, shard: max(epoch, row.epochs.get(shard, 0))})


def remove_shard(team: str, row: EscrowRow, shard: str) -> EscrowRow:
    """Return the row without a shard that has no workers left; its places go to the pool."""
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
    each shard whose places change to the revision at which its row names the owner's epoch; the
    transaction fails if another owner has taken the shard over since.
    """
    checks = {f"shard/{shard}": revision for shard, revision in shard_revisions.items()}
    writes = {}
    for team, (revision, row) in rows.items():
        check_row(team, row)
        checks[row_key(team)] = revision
        writes[row_key(team)] = encode_row(row)
    return Transaction(checks, writes, txn_id)
