"""Compare what teams use with what they are entitled to when everything is full."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from baobabhoist.invariants import Invariant, check
from baobabhoist.scheduling.capacity import NOTHING, Amount, minus, plus


@attrs.define
class FairShareTracker:
    """Keep each team's weighted dominant share of the fleet."""

    total: Amount
    weights: dict[str, float] = attrs.Factory(dict)
    used: dict[str, Amount] = attrs.Factory(dict)
    elsewhere: Mapping[str, float] = attrs.Factory(dict)
    local_fraction: float = 1.0
    _shares: dict[str, float] = attrs.Factory(dict)
    _sum: float = 0.0

    def take(self, team: str, need: Amount) -> None:
        """Count the start of a task."""
        if team not in self.used and team not in self.weights:
            self.changed()
        self.used[team] = plus(self.used.get(team, NOTHING), need)
        self._shares.pop(team, None)

    def give(self, team: str, need: Amount) -> None:
        """Count the end of a task."""
        left = minus(self.used.get(team, NOTHING), need)
        check(min(left) >= 0, Invariant.SCHEDULER, "team %s gives back too much", team)
        self.used[team] = left
        self._shares.pop(team, None)

    def dominant_share(self, team: str) -> float:
        """Return the largest part of any resource here that the team uses."""
        used, total = self.used.get(team, NOTHING), self.total
        return max(
            used[0] / (total[0] or 1),
            used[1] / (total[1] or 1),
            used[2] / (total[2] or 1),
            used[3] / (total[3] or 1),
        )

    def share(self, team: str) -> float:
        """Return the team's dominant share of the fleet over its entitlement; 1 is its share."""
        share = self._shares.get(team)
        if share is None:
            whole = self.dominant_share(team) * self.local_fraction + self.elsewhere.get(team, 0.0)
            share = whole * self._weight_sum() / self.weights.get(team, 1.0)
            self._shares[team] = share
        return share

    def changed(self) -> None:
        """Forget computed shares after a change of weights, capacity or usage elsewhere."""
        self._shares.clear()
        self._sum = 0.0

    def _weight_sum(self) -> float:
        if self._sum == 0.0:
            unnamed = sum(1 for team in self.used if team not in self.weights)
            self._sum = sum(self.weights.values()) + unnamed or 1.0
        return self._sum
