"""Compute the figures of a report."""

from __future__ import annotations

from collections.abc import Iterable


def water_fill(
    wanted: dict[str, float], weights: dict[str, float], amount: float
) -> dict[str, float]:
    """Divide an amount by weight, giving no team more than it wants."""
    given = dict.fromkeys(weights, 0.0)
    open_teams = {team for team in weights if wanted.get(team, 0.0) > 0.0}
    while open_teams and amount > 1e-9:
        per_weight = amount / sum(weights[team] for team in sorted(open_teams))
        sated = {t for t in open_teams if wanted[t] <= per_weight * weights[t]}
        for team in sorted(sated or open_teams):
            given[team] = wanted[team] if sated else per_weight * weights[team]
            amount -= given[team]
        if not sated:
            break
        open_teams -= sated
    return given


def quantile(values: Iterable[float], part: float) -> float:
    """Return a quantile, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
