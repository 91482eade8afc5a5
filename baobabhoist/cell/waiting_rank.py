"""Order in which waiting work is served, to tell which of it precedes a new job."""

from __future__ import annotations

from typing import NamedTuple

from baobabhoist.cell.expected_waits import SLACK_BOUNDS_MS
from baobabhoist.cell.ranking import Timeliness


class WaitingRank(NamedTuple):
    """Hold what decides in which order work is served.

    `slack_band` tells how many of the `SLACK_BOUNDS_MS` the slack of on-time work reaches.
    """

    is_beyond: bool
    timeliness: Timeliness
    priority: int
    slack_band: int = len(SLACK_BOUNDS_MS)

    def precedes(self, other: WaitingRank) -> bool:
        """Return whether work of this rank is served before new work of another rank."""
        if self.is_beyond is not other.is_beyond:
            return other.is_beyond
        if self.timeliness is not other.timeliness:
            return self.timeliness < other.timeliness
        if self.priority != other.priority:
            return self.priority < other.priority
        return self.slack_band <= other.slack_band
