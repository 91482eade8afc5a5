"""Compute weighted dominant shares; both the cell and the shards of the own interface use this."""

from __future__ import annotations

# Amounts of up to four resources, in the same order wherever two vectors meet.
Amounts = tuple[int, int, int, int]

# The weight of a team for which none is configured.
DEFAULT_WEIGHT = 1.0


def dominant_share(used: Amounts, capacity: Amounts) -> float:
    """Return the largest fraction of any resource that is used."""
    return max(
        used[0] / (capacity[0] or 1),
        used[1] / (capacity[1] or 1),
        used[2] / (capacity[2] or 1),
        used[3] / (capacity[3] or 1),
    )


def entitlement_ratio(share: float, weight: float, weight_sum: float) -> float:
    """Return a share divided by the part of all weights that the team has; 1 if they are equal."""
    return share * weight_sum / weight
