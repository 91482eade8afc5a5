"""Track what part of the capacity each team has, to share a full cell by weight.

While more is wanted than the cell has, teams stand the lower the more they exceed their part of
the capacity, then the more they used in the past.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.past_use import PastUse
from baobabhoist.cell.share_rounds import ShareRound
from baobabhoist.cell.team_entitlements import TeamEntitlements
from baobabhoist.cell.workers import WorkerState
from baobabhoist.fair_shares import (
    DEFAULT_WEIGHT,
    Amounts,
    dominant_share,
    entitlement_ratio,
)

CAPACITY_INTERVAL_MS = 1_000.0
NO_CAPACITY: Amounts = (0, 0, 0, 0)
# One unit of each resource.
UNIT_AMOUNTS: tuple[Amounts, ...] = ((1, 0, 0, 0), (0, 1, 0, 0), (0, 0, 1, 0))


@attrs.frozen
class TeamFigures:
    """Describe a team's share for the metrics; `share_ratio` is 1 at its part of the cell."""

    team: str
    share_ratio: float
    past_use_s: float
    jobs_beyond: int


@attrs.define
class TeamShares:
    """Track the running share and the past use of each team."""

    entitlements: TeamEntitlements
    past_use: PastUse = attrs.Factory(
        lambda self: PastUse(self.entitlements.policy.usage_half_life_s), takes_self=True
    )
    capacity: Amounts = NO_CAPACITY
    _use_steps: dict[str, int] = attrs.Factory(dict)
    _capacity_read_ms: float = float("-inf")

    @property
    def is_on(self) -> bool:
        """Return whether teams are served by weight."""
        return self.entitlements.is_on

    def tick(
        self,
        workers: Iterable[WorkerState],
        team_usage: Mapping[str, Resources],
        now: float,
    ) -> None:
        """Update the capacity, past use and the teams with excess; call this regularly."""
        if not self.is_on:
            return
        self.entitlements.charge_added_jobs()
        shares = {
            team: min(1.0, self._share(_to_amounts(used)))
            for team, used in team_usage.items()
            if used.cpu or used.memory_mb or used.gpu
        }
        self.past_use.advance(shares, now)
        if now - self._capacity_read_ms >= CAPACITY_INTERVAL_MS:
            self._capacity_read_ms = now
            # While no worker is listed, runs still go on in the last known capacity.
            self.capacity = _usable_capacity(workers) or self.capacity
            self.past_use.forget_teams_except(self.entitlements.accounts)
            weights = {
                name: account.weight for name, account in self.entitlements.accounts.items()
            }
            self._use_steps = self.past_use.steps(weights)
            self.entitlements.log_excess(now)

    def begin_round(
        self,
        steps: Iterable[StepState],
        team_usage: Mapping[str, Resources],
        has_worker: Callable[[StepState], bool],
    ) -> ShareRound | None:
        """Return a round that ranks steps by team, or None if the cell has room for all."""
        if not self.is_on:
            return None
        self.entitlements.charge_added_jobs()
        return self.compare_teams(steps, team_usage, has_worker)

    def compare_teams(
        self,
        steps: Iterable[StepState],
        team_usage: Mapping[str, Resources],
        has_worker: Callable[[StepState], bool],
    ) -> ShareRound | None:
        """Return the same as `begin_round`, but charge no jobs."""
        if not self.is_on or not self._is_demand_above_capacity(steps, team_usage):
            return None
        unit_shares = [self._share(unit) for unit in UNIT_AMOUNTS]
        return ShareRound(self, team_usage, unit_shares, has_worker)

    def ratio(self, team: str, used: Amounts) -> float:
        """Return an amount divided by the team's part of the capacity, 0 if that is unknown."""
        return self.share_ratio(team, self._share(used))

    def share_ratio(self, team: str, share: float) -> float:
        """Return a share of the cell divided by the team's part of it."""
        account = self.entitlements.accounts.get(team)
        weight = account.weight if account is not None else DEFAULT_WEIGHT
        return entitlement_ratio(share, weight, self.entitlements.weight_sum)

    def use_step(self, team: str) -> int:
        """Return how many steps lower a team stands because of its past use."""
        return self._use_steps.get(team, 0)

    def figures(self, team_usage: Mapping[str, Resources]) -> list[TeamFigures]:
        """Return the figures of all configured teams for the metrics."""
        if not self.is_on:
            return []
        return [
            TeamFigures(
                team,
                self.ratio(team, _to_amounts(team_usage.get(team, NO_RESOURCES))),
                self.past_use.use_s.get(team, 0.0),
                account.jobs_beyond,
            )
            for team, account in self.entitlements.accounts.items()
        ]

    def _share(self, used: Amounts) -> float:
        """Return the dominant share of an amount, of the resources that the cell has."""
        cpu, memory_mb, gpu, _ = self.capacity
        present = (used[0] if cpu else 0, used[1] if memory_mb else 0, used[2] if gpu else 0, 0)
        return dominant_share(present, self.capacity)

    def _is_demand_above_capacity(
        self, steps: Iterable[StepState], team_usage: Mapping[str, Resources]
    ) -> bool:
        cpu = sum(used.cpu for used in team_usage.values())
        memory_mb = sum(used.memory_mb for used in team_usage.values())
        gpu = sum(used.gpu for used in team_usage.values())
        for step in steps:
            need, count = step.spec.need, step.waiting_count
            cpu += need.cpu * count
            memory_mb += need.memory_mb * count
            gpu += need.gpu * count
        demand = (cpu, memory_mb, gpu, 0)
        return any(amount > total > 0 for amount, total in zip(demand, self.capacity, strict=True))


def _usable_capacity(workers: Iterable[WorkerState]) -> Amounts | None:
    """Return what the usable workers have, or None if there is none."""
    cpu = memory_mb = gpu = 0
    for worker in workers:
        if worker.is_staying:
            capacity = worker.info.capacity
            cpu += capacity.cpu
            memory_mb += capacity.memory_mb
            gpu += capacity.gpu
    return (cpu, memory_mb, gpu, 0) if cpu or memory_mb or gpu else None


def _to_amounts(amount: Resources) -> Amounts:
    return (amount.cpu, amount.memory_mb, amount.gpu, 0)
