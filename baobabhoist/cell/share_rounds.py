"""Standing of teams while the waiting steps of one scheduling round are ranked."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.past_use import USE_STEPS

if TYPE_CHECKING:
    from baobabhoist.cell.shares import TeamShares

# Multiples of a team's part of the capacity at which it stands one step lower.
SHARE_STEPS = (1.0, 2.0, 4.0)
USE_STEP_COUNT = len(USE_STEPS) + 1


@attrs.define
class TeamLoad:
    """Hold a team's load by resource, each divided by its part of the capacity."""

    cpu: float
    memory: float
    gpu: float
    # The load that one unit of each resource adds.
    cpu_unit: float
    memory_unit: float
    gpu_unit: float
    use_step: int


@attrs.define
class ShareRound:
    """Tell the standing of teams in one round, as their steps are ranked one after another.

    A step counts as taken once it is ranked, so that one team does not get all that is free.
    """

    shares: TeamShares
    team_usage: Mapping[str, Resources]
    # The share of the cell that one unit of each resource takes.
    unit_shares: Sequence[float]
    # Whether any worker may run a step at all; a step without one adds no load.
    has_worker: Callable[[StepState], bool]
    _loads: dict[str, TeamLoad] = attrs.Factory(dict)

    def rank_next(self, step: StepState) -> int:
        """Return the standing of a step's team, 0 if it is within its part of the capacity."""
        team = step.job.accepted.team
        load = self._loads.get(team)
        if load is None:
            load = self._loads[team] = self._running_load(team)
        ratio = max(load.cpu, load.memory, load.gpu)
        need, count = step.spec.need, step.waiting_count if self.has_worker(step) else 0
        load.cpu += need.cpu * count * load.cpu_unit
        load.memory += need.memory_mb * count * load.memory_unit
        load.gpu += need.gpu * count * load.gpu_unit
        # Past use decides only between teams whose running shares are similar.
        return bisect_left(SHARE_STEPS, ratio) * USE_STEP_COUNT + load.use_step

    def _running_load(self, team: str) -> TeamLoad:
        used = self.team_usage.get(team, NO_RESOURCES)
        factor = self.shares.share_ratio(team, 1.0)
        cpu_unit, memory_unit, gpu_unit = (share * factor for share in self.unit_shares)
        return TeamLoad(
            used.cpu * cpu_unit,
            used.memory_mb * memory_unit,
            used.gpu * gpu_unit,
            cpu_unit,
            memory_unit,
            gpu_unit,
            self.shares.use_step(team),
        )
