"""Find the lowered limits of teams that are pending until the excess has ended."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs

from baobabhoist.errors import InvariantViolationError, PlatformError
from baobabhoist.quota.escrow import decode_row, row_key
from baobabhoist.records.kinds import Team
from baobabhoist.store.table import Row, Table

ESCROW_PREFIX = row_key("")
PAGE = 1000
# Operators look at the state during an outage too, and do not wait for the table then.
READ_TIMEOUT_S = 1.0


@attrs.frozen
class PendingLimit:
    """Hold a lowered limit of a team, in places, and the upper limit that holds until then.

    `in_force` falls to `limit` as the shards return the places of tasks that have ended.
    """

    team: str
    limit: int
    in_force: int


async def pending_limit(table: Table, name: str, team: Team) -> PendingLimit | None:
    """Return the pending limit of a team; None if there is none or the table does not answer."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return _pending(await table.read(row_key(name)), name, team)
    except (PlatformError, TimeoutError):
        return None


async def pending_limits(table: Table, teams: Mapping[str, Team]) -> list[PendingLimit] | None:
    """Return the pending limits of all teams, or None if the table does not answer."""
    found = []
    after = ""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while True:
                rows = await table.scan(ESCROW_PREFIX, after, PAGE)
                for row in rows:
                    name = row.key.removeprefix(ESCROW_PREFIX)
                    if name in teams and (pending := _pending(row, name, teams[name])):
                        found.append(pending)
                if len(rows) < PAGE:
                    return found
                after = rows[-1].key
    except (PlatformError, TimeoutError):
        return None


def _pending(row: Row, name: str, team: Team) -> PendingLimit | None:
    """Compare the row with the record, which the row follows within a second."""
    if row.value is None:
        return None
    try:
        in_force = decode_row(name, row.value).limit
    except InvariantViolationError as exc:
        raise PlatformError(str(exc)) from exc
    return PendingLimit(name, team.limit, in_force) if in_force > team.limit else None
