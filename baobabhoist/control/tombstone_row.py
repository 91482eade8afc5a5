"""Encode the row that marks an id as cancelled before a job with this id was stored."""

from __future__ import annotations

import attrs
import orjson

from baobabhoist.control.row_schema import job_row_key
from baobabhoist.store.row_store import RowKey

# In a table of its own, because owners load and follow the table of jobs.
TOMBSTONES_TABLE = "tombstones"
SCHEMA_VERSION = 1


@attrs.frozen
class Tombstone:
    """Hold the teams that cancelled an id, until a time of the store's clock.

    Callers without a known key, who can use public queues only, have an empty team.
    """

    teams: tuple[str, ...]
    expires_ms: int

    def forbids(self, team: str, *, is_public: bool) -> bool:
        """Return whether a caller of a team may store no job under the id.

        On a public queue the caller that cancelled the id may have been the same one if either
        has no team.
        """
        if team in self.teams:
            return True
        return is_public and (not team or "" in self.teams)

    def merge(self, other: Tombstone) -> Tombstone:
        """Return the tombstone of both, which expires with the later one."""
        teams = dict.fromkeys((*self.teams, *other.teams))
        return Tombstone(tuple(teams), max(self.expires_ms, other.expires_ms))


def tombstone_row_key(job_id: str) -> RowKey:
    """Return the key of an id's tombstone, which is in the partition of the job's row."""
    return RowKey(TOMBSTONES_TABLE, job_row_key(job_id).part, job_id)


def encode_tombstone(tombstone: Tombstone) -> bytes:
    """Encode the value of the row."""
    return orjson.dumps({"schema": SCHEMA_VERSION, **attrs.asdict(tombstone)})


def decode_tombstone(value: bytes) -> Tombstone:
    """Decode the value of the row; raises ValueError if it is malformed or of another schema."""
    body = orjson.loads(value)
    if not isinstance(body, dict) or body.get("schema") != SCHEMA_VERSION:
        raise ValueError("the schema of the tombstone is unknown")
    teams, expires_ms = body.get("teams"), body.get("expires_ms")
    if type(expires_ms) is not int or not isinstance(teams, list):
        raise ValueError("the tombstone has no teams or no time")
    if not all(isinstance(team, str) for team in teams):
        raise ValueError("a team of the tombstone is not a text")
    return Tombstone(tuple(teams), expires_ms)
