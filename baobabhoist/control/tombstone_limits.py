"""Limit how many ids without a job callers may have marked as cancelled."""

from __future__ import annotations

import attrs

from baobabhoist.cell.token_bucket import MS_PER_S, TokenBucket

# Tombstones that an instance stores at once, and per second after that.
INSTANCE_BURST = 4_000
INSTANCE_PER_S = 20.0
# The part of them that one team may use.
TEAM_BURST = 2_000
TEAM_PER_S = 5.0


def _make_bucket(burst: int, per_s: float) -> TokenBucket:
    """Return a full bucket."""
    return TokenBucket(per_s / MS_PER_S, burst, burst)


@attrs.define
class TombstoneLimits:
    """Count the tombstones that one instance may store, in all and for each team."""

    _instance: TokenBucket = attrs.Factory(lambda: _make_bucket(INSTANCE_BURST, INSTANCE_PER_S))
    _by_team: dict[str, TokenBucket] = attrs.Factory(dict)

    def take(self, team: str, now: float) -> bool:
        """Count one tombstone of a team; return whether it may be stored."""
        bucket = self._by_team.setdefault(team, _make_bucket(TEAM_BURST, TEAM_PER_S))
        if bucket.available_at(now) < 1.0 or self._instance.available_at(now) < 1.0:
            return False
        return bucket.take(now) and self._instance.take(now)
