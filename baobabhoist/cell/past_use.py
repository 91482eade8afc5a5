"""Remember how much each team has used over hours, with older use counting less."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import attrs

MS_PER_S = 1000.0
# Teams whose use, divided by their part of the weights, is above these multiples of the mean
# stand one step lower for each.
USE_STEPS = (2.0, 4.0)
# Below this use of all teams, in seconds of the whole cell, past use says nothing yet.
MIN_TOTAL_USE_S = 10.0
# Use that is too small to tell from none, in seconds of the whole cell.
NEGLIGIBLE_USE_S = 0.001
# Use is not extrapolated over a longer gap between two calls.
MAX_INTERVAL_MS = 2_000.0


@attrs.define
class PastUse:
    """Sum the dominant shares of teams over time, halved after each half-life.

    A use of 1 s is that of the whole cell for a second. Times are on the owner's clock, in ms.
    """

    half_life_s: float
    use_s: dict[str, float] = attrs.Factory(dict)
    # Something was used since the last call of `take_changed`.
    has_changed: bool = False
    _updated_ms: float | None = None

    @property
    def is_on(self) -> bool:
        """Return whether past use counts at all."""
        return self.half_life_s > 0.0

    def advance(self, shares: Mapping[str, float], now: float) -> None:
        """Add what the teams used since the last call, given their dominant shares now."""
        if not self.is_on:
            return
        elapsed_ms = now - self._updated_ms if self._updated_ms is not None else 0.0
        self._updated_ms = now
        if elapsed_ms <= 0.0:
            return
        self._decay(elapsed_ms)
        added_s = min(elapsed_ms, MAX_INTERVAL_MS) / MS_PER_S
        for team, share in shares.items():
            if share > 0.0:
                self.use_s[team] = self.use_s.get(team, 0.0) + share * added_s
                self.has_changed = True

    def restore(self, use_s: Mapping[str, float], age_ms: float) -> None:
        """Continue from the use that an earlier owner stored `age_ms` ago."""
        if not self.is_on:
            return
        self.use_s = dict(use_s)
        self._decay(max(0.0, age_ms))

    def forget_teams_except(self, teams: Collection[str]) -> None:
        """Drop teams that are not configured any more and whose use has decayed."""
        self.use_s = {
            team: use_s
            for team, use_s in self.use_s.items()
            if team in teams or use_s > NEGLIGIBLE_USE_S
        }

    def steps(self, weights: Mapping[str, float]) -> dict[str, int]:
        """Return how many steps lower each team stands than teams of ordinary use."""
        total_s = sum(self.use_s.get(team, 0.0) for team in weights)
        weight_sum = sum(weights.values())
        if total_s < MIN_TOTAL_USE_S or not weight_sum:
            return {}
        mean_s = total_s / weight_sum
        return {
            team: _count_exceeded(self.use_s[team] / weight / mean_s)
            for team, weight in weights.items()
            if team in self.use_s
        }

    def take_changed(self) -> dict[str, float]:
        """Return the use to be stored."""
        self.has_changed = False
        return dict(self.use_s)

    def _decay(self, elapsed_ms: float) -> None:
        factor = math.pow(0.5, elapsed_ms / MS_PER_S / self.half_life_s)
        for team in self.use_s:
            self.use_s[team] *= factor


def _count_exceeded(ratio: float) -> int:
    return sum(ratio > step for step in USE_STEPS)
