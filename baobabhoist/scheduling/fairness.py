"""Compare what teams use with what they are entitled to when everything is full."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from baobabhoist.invariants import Invariant, check
from baobabhoist.scheduling.capacity import ZERO, ResourceVector, add, subtract


@attrs.define
class FairShareTracker:
    """Keep each team's weighted dominant share of the fleet."""

    capacity: ResourceVector
    weights: dict[str, float] = attrs.Factory(dict)
    used: dict[str, ResourceVector] = attrs.Factory(dict)
    remote_shares: Mapping[str, float] = attrs.Factory(dict)
    local_fraction: float = 1.0
    _ratios: dict[str, float] = attrs.Factory(dict)
    _cached_weight_sum: float = 0.0

    def add_usage(self, team: str, demand: ResourceVector) -> None:
        """Count the start of a task."""
        if team not in self.used and team not in self.weights:
            self.invalidate()
        self.used[team] = add(self.used.get(team, ZERO), demand)
        self._ratios.pop(team, None)

    def remove_usage(self, team: str, demand: ResourceVector) -> None:
        """Count the end of a task."""
        remaining = subtract(self.used.get(team, ZERO), demand)
        check(min(remaining) >= 0, Invariant.SCHEDULER, "team %s gives back too much", team)
        self.used[team] = remaining
        self._ratios.pop(team, None)

    def dominant_share(self, team: str) -> float:
        """Return the largest part of any resource here that the team uses."""
        used, capacity = self.used.get(team, ZERO), self.capacity
        return max(
            used[0] / (capacity[0] or 1),
            used[1] / (capacity[1] or 1),
            used[2] / (capacity[2] or 1),
            used[3] / (capacity[3] or 1),
        )

    def entitlement_ratio(self, team: str) -> float:
        """Return the team's dominant share of the fleet over its entitlement; 1 is its share."""
        ratio = self._ratios.get(team)
        if ratio is None:
            fleet_share = self.dominant_share(team) * self.local_fraction + self.remote_shares.get(
                team, 0.0
            )
            ratio = fleet_share * self._weight_sum() / self.weights.get(team, 1.0)
            self._ratios[team] = ratio
        return ratio

    def invalidate(self) -> None:
        """Forget computed shares after a change of weights, capacity or usage elsewhere."""
        self._ratios.clear()
        self._cached_weight_sum = 0.0

    def _weight_sum(self) -> float:
        if self._cached_weight_sum == 0.0:
            unweighted = sum(1 for team in self.used if team not in self.weights)
            self._cached_weight_sum = sum(self.weights.values()) + unweighted or 1.0
        return self._cached_weight_sum
