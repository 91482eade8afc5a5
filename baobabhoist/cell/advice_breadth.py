"""Decide how many places an advice request looks for, by how full the cell is.

A gang needs room on all its workers at once, and each approves only some steps. In a full cell it
therefore finds room only if it knows many approved workers.
"""

from __future__ import annotations

# A request names workers for this multiple of the waiting tasks, because forecasts are inaccurate.
PLACES_FACTOR = 1.5
# The same for a gang in a full cell.
MAX_GANG_PLACES_FACTOR = 4.5


def gang_places_factor(free: float) -> float:
    """Return for which multiple of its members a gang needs approved places."""
    least_free = PLACES_FACTOR / MAX_GANG_PLACES_FACTOR
    return PLACES_FACTOR / max(least_free, min(1.0, free))
