"""Compare what each team uses with its entitlement when the fleet is fully used."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from baobabhoist.fair_shares import DEFAULT_WEIGHT, dominant_share, entitlement_ratio
from baobabhoist.invariants import Invariant, check
from baobabhoist.scheduling.capacity import ZERO, ResourceVector, add, subtract


@attrs.define
class FairShareTracker:
    """Track each team's weighted dominant share of the fleet (dominant resource fairness).

    `remote_shares` holds what teams use in other shards, as dominant shares of the fleet, and
    `local_fraction` is this shard's part of the fleet's capacity.
    """

    capacity: ResourceVector
    weights: dict[str, float] = attrs.Factory(dict)
    used: dict[str, ResourceVector] = attrs.Factory(dict)
    remote_shares: Mapping[str, float] = attrs.Factory(dict)
    local_fraction: float = 1.0
    _ratios: dict[str, float] = attrs.Factory(dict)
    _cached_weight_sum: float = 0.0

    def add_usage(self, team: str, demand: ResourceVector) -> None:
        """Add the resources of a task that starts."""
        if team not in self.used and team not in self.weights:
            self.invalidate()
        self.used[team] = add(self.used.get(team, ZERO), demand)
        self._ratios.pop(team, None)

    def remove_usage(self, team: str, demand: ResourceVector) -> None:
        """Remove the resources of a task that ended."""
        remaining = subtract(self.used.get(team, ZERO), demand)
        check(min(remaining) >= 0, Invariant.SCHEDULER, "team %s releases more than it uses", team)
        self.used[team] = remaining
        self._ratios.pop(team, None)

    def dominant_share(self, team: str) -> float:
        """Return the largest fraction of any resource in this shard that the team uses."""
        return dominant_share(self.used.get(team, ZERO), self.capacity)

    def entitlement_ratio(self, team: str) -> float:
        """Return the team's share of the fleet divided by its entitlement.

        The team is entitled to its part of the sum of all weights, at which the ratio is 1.
        """
        ratio = self._ratios.get(team)
        if ratio is None:
            share = self.dominant_share(team) * self.local_fraction + self.remote_shares.get(
                team, 0.0
            )
            weight = self.weights.get(team, DEFAULT_WEIGHT)
            ratio = entitlement_ratio(share, weight, self._weight_sum())
            self._ratios[team] = ratio
        return ratio

    def invalidate(self) -> None:
        """Drop the cached ratios after a change of weights, capacity or remote shares."""
        self._ratios.clear()
        self._cached_weight_sum = 0.0

    def _weight_sum(self) -> float:
        if self._cached_weight_sum == 0.0:
            unweighted = sum(1 for team in self.used if team not in self.weights)
            self._cached_weight_sum = sum(self.weights.values()) + unweighted or 1.0
        return self._cached_weight_sum
