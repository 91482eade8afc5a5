"""Expected waits of new jobs, as the owner of a cell publishes them to all instances."""

from __future__ import annotations

import enum
from bisect import bisect_right
from collections.abc import Sequence

import attrs

# The waits of a pool are published once one reaches the first, until all are below the second.
BEGIN_WAIT_MS = 2_000.0
END_WAIT_MS = 1_000.0
# On-time work is told apart by its slack; work of one priority is served by rising slack.
SLACK_BOUNDS_MS = (1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0)
# Stands for all teams in a row on a full service, and for all services in one on a team's limit.
ANY = ""


class Shortage(enum.StrEnum):
    """List what new jobs would wait for."""

    TEAM_LIMIT = "team_limit"
    SERVICE_FULL = "service_full"


@attrs.frozen
class ExpectedWait:
    """Hold for how long a new job of a team, service and priority would wait, in ms.

    The wait is `on_time_ms` while the job can still meet its objective, and `late_ms` once it
    cannot. `cpu_rate` is the rate at which work ends, in thousandths of a core. `shortage` is a
    text, so that an instance of an earlier version can read later values. `resource` is the one
    that the work waits for, or empty from an owner of a version without it. `by_slack_ms` are the
    waits behind on-time work of less slack than each of `SLACK_BOUNDS_MS`, empty likewise.
    """

    team: str
    service: str
    priority: int
    shortage: str
    on_time_ms: float
    late_ms: float
    cpu_rate: float
    resource: str = ""
    by_slack_ms: tuple[int, ...] = ()

    def on_time_ms_with(self, slack_ms: float) -> float:
        """Return for how long a job of some slack would wait while it is on time."""
        if not self.by_slack_ms:
            return self.on_time_ms
        return _interpolate(slack_ms, SLACK_BOUNDS_MS, self.by_slack_ms, self.on_time_ms)


@attrs.frozen
class WaitTable:
    """Hold the expected waits that are worth telling, and when they were computed."""

    rows: tuple[ExpectedWait, ...] = ()
    computed_ms: float = float("-inf")


def _interpolate(
    at: float, bounds: Sequence[float], values: Sequence[float], last_value: float
) -> float:
    """Return the value at a point, linear from 0 between bounds and `last_value` beyond them."""
    number = bisect_right(bounds, at)
    if number == len(bounds):
        return last_value
    low, low_value = (bounds[number - 1], values[number - 1]) if number else (0.0, 0.0)
    part = max(0.0, at - low) / (bounds[number] - low)
    return low_value + part * (values[number] - low_value)
