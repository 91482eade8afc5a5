"""Waits of late jobs for a pool, from which the published rows are computed."""

from __future__ import annotations

import attrs

from baobabhoist.cell.expected_waits import ANY, SLACK_BOUNDS_MS, ExpectedWait, Shortage
from baobabhoist.cell.pool_loads import PoolKey, PoolLoad
from baobabhoist.cell.ranking import Timeliness
from baobabhoist.cell.waiting_rank import WaitingRank


@attrs.frozen
class PoolWait:
    """Hold for how long a late job of a team and rank would wait for a pool, in ms."""

    key: PoolKey
    team: str
    late_rank: WaitingRank
    load: PoolLoad
    used_part: float
    late_ms: float

    def row(self) -> ExpectedWait:
        """Return all figures of this wait."""
        shortage, name = self.key
        on_time = self.late_rank._replace(timeliness=Timeliness.ON_TIME)
        slack_bands = range(len(SLACK_BOUNDS_MS))
        return ExpectedWait(
            self.team,
            name if shortage is Shortage.SERVICE_FULL else ANY,
            self.late_rank.priority,
            shortage.value,
            self._wait_ms(on_time),
            self.late_ms,
            float(self.load.used.cpu),
            self.load.scarcest_resource(self.late_rank),
            tuple(round(self._wait_ms(on_time._replace(slack_band=band))) for band in slack_bands),
        )

    def _wait_ms(self, rank: WaitingRank) -> float:
        return self.load.wait_ms(rank, self.used_part)
