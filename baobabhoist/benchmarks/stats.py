"""Compute fair shares and quantiles for the reports."""

from __future__ import annotations

from collections.abc import Iterable


def water_fill(
    demand: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair allocation: no team gets more than its demand."""
    allocation = dict.fromkeys(weights, 0.0)
    unsatisfied = {team for team in weights if demand.get(team, 0.0) > 0.0}
    while unsatisfied and capacity > 1e-9:
        per_weight = capacity / sum(weights[team] for team in sorted(unsatisfied))
        satisfied = {t for t in unsatisfied if demand[t] <= per_weight * weights[t]}
        for team in sorted(satisfied or unsatisfied):
            allocation[team] = demand[team] if satisfied else per_weight * weights[team]
            capacity -= allocation[team]
        if not satisfied:
            break
        unsatisfied -= satisfied
    return allocation


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return a quantile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
