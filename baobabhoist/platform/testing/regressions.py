"""List the seeds on which the platform's soak ever failed, with their causes."""

from __future__ import annotations

import attrs


@attrs.frozen
class Regression:
    """Name a run that failed once; it is played again with `scripts/soak-platform`."""

    seed: int
    seconds: float
    cause: str


_WAVES = "soak: the jobs of a cancellation wave were not followed to their end"
_LIMITS = "soak: jobs of a team at its limit, or gangs wider than it, outlasted the run"

REGRESSIONS = (
    *(Regression(seed, 40.0, _WAVES) for seed in (101, 104, 107, 112)),
    *(Regression(seed, 40.0, _LIMITS) for seed in (102, 106, 110, 111)),
    Regression(105, 40.0, "soak: another run had taken a port of this one"),
    Regression(113, 40.0, "stand-in: a lease that lapsed without a run was not logged"),
    Regression(116, 40.0, "stand-in: a gang went on after a member's worker had crashed"),
)
