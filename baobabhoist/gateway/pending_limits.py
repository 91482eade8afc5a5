"""Find lowered team limits that are pending until usage has fallen to them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs

from baobabhoist.errors import InvariantViolationError, PlatformError
from baobabhoist.quota.escrow import decode_row, row_key
from baobabhoist.records.kinds import Team
from baobabhoist.store.table import Row, Table

ESCROW_PREFIX = row_key("")
SCAN_PAGE_ROWS = 1000
# Operators must be able to read the status and the records during an outage of the table as well,
# then without pending limits.
READ_TIMEOUT_S = 1.0


@attrs.frozen
class PendingLimit:
    """Hold a team's lowered limit and the upper limit still in force, both in places.

    `in_force` falls to `limit` as the shards return the places of tasks that have ended.
    """

    team: str
    limit: int
    in_force: int


async def read_pending_limit(table: Table, name: str, team: Team) -> PendingLimit | None:
    """Return the pending limit of a team; None if there is none or the table is unavailable."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return _compare_limits(await table.read(row_key(name)), name, team)
    except (PlatformError, TimeoutError):
        return None


async def read_pending_limits(
    table: Table, teams: Mapping[str, Team]
) -> list[PendingLimit] | None:
    """Return the pending limits of all teams, or None if the table is unavailable."""
    pending_limits = []
    last_key = ""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while True:
                rows = await table.scan(ESCROW_PREFIX, last_key, SCAN_PAGE_ROWS)
                for row in rows:
                    name = row.key.removeprefix(ESCROW_PREFIX)
                    if name in teams and (pending := _compare_limits(row, name, teams[name])):
                        pending_limits.append(pending)
                if len(rows) < SCAN_PAGE_ROWS:
                    return pending_limits
                last_key = rows[-1].key
    except (PlatformError, TimeoutError):
        return None


def _compare_limits(row: Row, name: str, team: Team) -> PendingLimit | None:
    """Compare the escrow row with the team's record, which the row follows within a second."""
    if row.value is None:
        return None
    try:
        in_force = decode_row(name, row.value).limit
    except InvariantViolationError as exc:
        raise PlatformError(str(exc)) from exc
    return PendingLimit(name, team.limit, in_force) if in_force > team.limit else None
