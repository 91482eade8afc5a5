"""List the seeds on which the platform's soak ever failed, with their causes."""

from __future__ import annotations

import attrs


@attrs.frozen
class Regression:
    """Name a run that failed once; it is played again with `scripts/soak-platform`."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(102, 40.0, "soak: a gang wider than its team's lowered limit never ended"),
    Regression(111, 40.0, "soak: the backlog of a team at its limit outlasted the run"),
    Regression(113, 40.0, "stand-in: a lease that lapsed without a run was not logged"),
    Regression(116, 40.0, "stand-in: a gang went on after a member's worker had crashed"),
)
