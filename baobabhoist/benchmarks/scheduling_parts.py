"""Name the optional parts of scheduling that a replay can switch on."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from baobabhoist.cell.policy import SchedulingPolicy

PAST_USE_HALF_LIFE_S = 4 * 3600.0
# The optional parts of scheduling by the names of their settings.
SCHEDULING_PARTS: dict[str, dict[str, Any]] = {
    "shares": {"weighs_shares": True},
    "past_use": {"usage_half_life_s": PAST_USE_HALF_LIFE_S},
    "admission": {"refuses_hopeless_jobs": True},
    "backfill": {"backfills": True},
    "preemption": {"preempts": True},
    "advice_forecast": {"forecasts_advice": True},
    "pace": {"tracks_pace": True},
}


def make_policy(parts: Iterable[str]) -> SchedulingPolicy:
    """Return a policy that uses these parts of scheduling."""
    options = {name: value for part in parts for name, value in SCHEDULING_PARTS[part].items()}
    return SchedulingPolicy(**options)


FULL_POLICY = make_policy(SCHEDULING_PARTS)
