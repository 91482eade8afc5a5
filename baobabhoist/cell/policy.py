"""Define which optional parts of scheduling a cell uses."""

from __future__ import annotations

import attrs


@attrs.frozen
class SchedulingPolicy:
    """Hold the optional parts of scheduling that the settings switch on."""

    # When the cell is full, teams are served by their weights.
    weighs_shares: bool = False
    # Past use of a team counts half after this time; 0 if it does not count.
    usage_half_life_s: float = 0.0
    # Jobs that cannot end in time are refused instead of stored.
    refuses_hopeless_jobs: bool = False
    # Small tasks run on reserved workers if they end before the reserved start.
    backfills: bool = False
    # Urgent tasks may stop less urgent ones.
    preempts: bool = False
    # Advice is requested only for starts that are expected before the ticket expires.
    forecasts_advice: bool = False
    # Gangs take workers of similar speed, and progress shows which workers have changed theirs.
    tracks_pace: bool = False


DEFAULT_POLICY = SchedulingPolicy()
