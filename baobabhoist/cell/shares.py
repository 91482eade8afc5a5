"""Track what each team is entitled to and what it has, to share a full cell by weight.

A team is entitled to `weight` jobs a second. Jobs beyond that are marked once, in order of
acceptance, so that each owner marks the same ones. While more is wanted than the cell has, teams
also stand the lower the more they exceed their part of the capacity.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources, Team
from baobabhoist.cell.past_use import PastUse
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.share_rounds import ShareRound
from baobabhoist.cell.token_bucket import TokenBucket
from baobabhoist.cell.workers import WorkerState
from baobabhoist.fair_shares import (
    DEFAULT_WEIGHT,
    Amounts,
    dominant_share,
    entitlement_ratio,
)
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

MAX_WEIGHT = 1e6
# A team's excess is over once it has sent nothing beyond its entitlement for this long.
EXCESS_GAP_MS = 5_000.0
CAPACITY_INTERVAL_MS = 1_000.0
NO_CAPACITY: Amounts = (0, 0, 0, 0)
# One unit of the processor, of memory and of GPUs.
UNITS: tuple[Amounts, ...] = ((1, 0, 0, 0), (0, 1, 0, 0), (0, 0, 1, 0))


@attrs.define
class TeamAccount:
    """Hold the entitlement of a team; a team without a bucket may send any number of jobs."""

    weight: float = DEFAULT_WEIGHT
    bucket: TokenBucket | None = None
    jobs_beyond: int = 0
    # When the last job beyond the entitlement was accepted, on the owner's clock.
    last_beyond_ms: float = float("-inf")
    has_excess: bool = False


@attrs.frozen
class UnchargedJob:
    """Hold a job whose team has not been charged; the time is on the store's clock, in ms."""

    accepted_ms: float
    job: JobState


@attrs.frozen
class TeamFigures:
    """Describe a team's share for the metrics; `share_ratio` is 1 at its part of the cell."""

    team: str
    share_ratio: float
    past_use_s: float
    jobs_beyond: int


@attrs.define
class TeamShares:
    """Track the entitlement, the running share and the past use of each team."""

    policy: SchedulingPolicy = DEFAULT_POLICY
    past_use: PastUse = attrs.Factory(
        lambda self: PastUse(self.policy.usage_half_life_s), takes_self=True
    )
    capacity: Amounts = NO_CAPACITY
    _accounts: dict[str, TeamAccount] = attrs.Factory(dict)
    _weight_sum: float = 0.0
    _use_steps: dict[str, int] = attrs.Factory(dict)
    _invalid_weights: dict[str, float] = attrs.Factory(dict)
    # After a takeover they come in no order.
    _uncharged: list[UnchargedJob] = attrs.Factory(list)
    _capacity_read_ms: float = float("-inf")

    @property
    def is_on(self) -> bool:
        """Return whether teams are served by weight: it takes a setting and a team with one."""
        return self.policy.weighs_shares and self._weight_sum > 0.0

    # Entitlement to jobs a second.

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Apply the configured weights; accounts of teams that stay go on."""
        if not self.policy.weighs_shares:
            return
        weights = {name: self._valid_weight(team) for name, team in teams.items()}
        self._accounts = {name: self._account(name, w) for name, w in weights.items()}
        is_weighted = any(weights.values())
        self._weight_sum = sum(a.weight for a in self._accounts.values()) if is_weighted else 0.0

    def add_job(self, job: JobState, now: float) -> None:
        """Note a job, whose team is charged before the next decision."""
        if not self.policy.weighs_shares:
            return
        # A job with a time ahead of the clock must not delay the entitlement to later ones.
        ahead_ms = max(0.0, job.accepted_local_ms - now)
        self._uncharged.append(UnchargedJob(job.accepted.accepted_ms - ahead_ms, job))

    def is_beyond_entitlement(self, job: JobState) -> bool:
        """Return whether a job is one of those that its team sent beyond its entitlement."""
        if self._uncharged:
            self._charge_added_jobs()
        return job.is_beyond_entitlement and self.is_on

    def has_entitlement_left(self, team: str, accepted_ms: float) -> bool:
        """Return whether a job accepted at a time of the store's clock would be within it."""
        self._charge_added_jobs()
        account = self._accounts.get(team)
        if account is None or account.bucket is None:
            return True
        return account.bucket.available_at(accepted_ms) >= 1.0

    def entitled_jobs(self, team: str, accepted_ms: float) -> float | None:
        """Return how many more jobs accepted by a time would be within the entitlement.

        It is None if any number would be. This charges no jobs, unlike `has_entitlement_left`.
        """
        account = self._accounts.get(team)
        if not self.is_on or account is None or account.bucket is None:
            return None
        uncharged = sum(entry.job.accepted.team == team for entry in self._uncharged)
        return account.bucket.available_at(accepted_ms) - uncharged

    def _account(self, name: str, weight: float) -> TeamAccount:
        """Return the account of a team, the one that it has if the weight is the same."""
        account = self._accounts.get(name, TeamAccount())
        if not weight:
            account.weight, account.bucket = DEFAULT_WEIGHT, None
        elif account.bucket is None or account.weight != weight:
            account.weight, account.bucket = weight, TokenBucket.for_weight(weight)
        return account

    def _valid_weight(self, team: Team) -> float:
        """Return the weight of a team, or 0 if it has none that makes sense."""
        weight = team.weight
        if math.isfinite(weight) and 0.0 <= weight <= MAX_WEIGHT:
            self._invalid_weights.pop(team.name, None)
            return weight
        if self._invalid_weights.get(team.name) != weight:
            self._invalid_weights[team.name] = weight
            emit(log, Event.TEAM_WEIGHT_INVALID, team=team.name, weight=weight)
        return 0.0

    def _charge_added_jobs(self) -> None:
        if not self._uncharged:
            return
        entries, self._uncharged = self._uncharged, []
        entries.sort(key=lambda entry: (entry.accepted_ms, entry.job.job_id))
        for entry in entries:
            self._charge(entry.job, entry.accepted_ms)

    def _charge(self, job: JobState, accepted_ms: float) -> None:
        account = self._accounts.get(job.accepted.team)
        if account is None or account.bucket is None:
            return
        if account.bucket.take(accepted_ms):
            return
        job.is_beyond_entitlement = True
        account.jobs_beyond += 1
        account.last_beyond_ms = max(account.last_beyond_ms, job.accepted_local_ms)

    # Shares of the capacity.

    def tick(
        self,
        workers: Iterable[WorkerState],
        team_usage: Mapping[str, Resources],
        now: float,
    ) -> None:
        """Update the capacity, past use and the teams with excess; call this regularly."""
        if not self.is_on:
            return
        self._charge_added_jobs()
        shares = {
            team: min(1.0, self._share(_vector(used)))
            for team, used in team_usage.items()
            if used.cpu or used.memory_mb or used.gpu
        }
        self.past_use.advance(shares, now)
        if now - self._capacity_read_ms >= CAPACITY_INTERVAL_MS:
            self._capacity_read_ms = now
            # While no worker is listed, runs still go on in the last known capacity.
            self.capacity = _usable_capacity(workers) or self.capacity
            self.past_use.forget_teams_except(self._accounts)
            weights = {name: account.weight for name, account in self._accounts.items()}
            self._use_steps = self.past_use.steps(weights)
            self._log_excess(now)

    def begin_round(
        self,
        steps: Iterable[StepState],
        team_usage: Mapping[str, Resources],
        has_worker: Callable[[StepState], bool],
    ) -> ShareRound | None:
        """Return what tells the standing of teams, or None if the cell has room for all."""
        if not self.is_on:
            return None
        self._charge_added_jobs()
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
        unit_shares = [self._share(unit) for unit in UNITS]
        return ShareRound(self, team_usage, unit_shares, has_worker)

    def ratio(self, team: str, used: Amounts) -> float:
        """Return an amount divided by the team's part of the capacity, 0 if that is unknown."""
        return self.share_ratio(team, self._share(used))

    def share_ratio(self, team: str, share: float) -> float:
        """Return a share of the cell divided by the team's part of it."""
        account = self._accounts.get(team)
        weight = account.weight if account is not None else DEFAULT_WEIGHT
        return entitlement_ratio(share, weight, self._weight_sum)

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
                self.ratio(team, _vector(team_usage.get(team, NO_RESOURCES))),
                self.past_use.use_s.get(team, 0.0),
                account.jobs_beyond,
            )
            for team, account in self._accounts.items()
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

    def _log_excess(self, now: float) -> None:
        for team, account in self._accounts.items():
            has_excess = now - account.last_beyond_ms < EXCESS_GAP_MS
            if has_excess is account.has_excess:
                continue
            account.has_excess = has_excess
            event = Event.TEAM_EXCESS_BEGAN if has_excess else Event.TEAM_EXCESS_ENDED
            emit(log, event, team=team, weight=account.weight, jobs=account.jobs_beyond)


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


def _vector(amount: Resources) -> Amounts:
    return (amount.cpu, amount.memory_mb, amount.gpu, 0)
