"""List the seeds on which the platform's soak once failed, with the causes.

A seed's schedule depends on the list of faults: these were found without
`evacuation`, `outage_takeover`, `late_starts`, `late_starts_at_return`, `workers_gone`,
`quick_burst`, `gang_burst`, `hot_team`, `slow` and `worker_slow`.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Regression:
    """Describe a run that once failed; `scripts/soak-platform` repeats it.

    Without names of `faults` the run had all faults of its time.
    """

    seed: int
    seconds: float
    cause: str
    faults: tuple[str, ...] = ()


_UNFOLLOWED_JOBS = "soak: the jobs of a cancellation wave were not polled until they ended"
_LIMITED_JOBS = "soak: jobs of a team at its limit, or gangs that exceeded it, outlasted the run"

_CANCELLED_IDS = "a cancelling of an id without a job was answered 410 and left nothing behind"
_LATE_SUBMISSIONS = ("pause", "kill", "store_late")

REGRESSIONS = (
    *(Regression(seed, 40.0, _UNFOLLOWED_JOBS) for seed in (101, 104, 107, 112)),
    *(Regression(seed, 40.0, _LIMITED_JOBS) for seed in (102, 106, 110, 111)),
    Regression(105, 40.0, "soak: a port that this run had chosen was in use by another run"),
    Regression(
        113, 40.0, "fake worker: the expiry of a lease was not logged if no run was active"
    ),
    Regression(
        917, 25.0, "fake worker: a command that waited in it outlived the end of its process"
    ),
    Regression(
        116, 40.0, "fake worker: a gang continued after the worker of a member had crashed"
    ),
    *(Regression(seed, 40.0, _CANCELLED_IDS, _LATE_SUBMISSIONS) for seed in range(901, 909)),
)
