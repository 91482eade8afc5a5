"""Count the jobs that each team sends against the jobs a second that its weight entitles it to.

Jobs beyond the entitlement are marked once, in order of acceptance, so that each owner marks the
same ones.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping

import attrs

from baobabhoist.cell.jobs import JobState
from baobabhoist.cell.model import Team
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.token_bucket import TokenBucket
from baobabhoist.fair_shares import DEFAULT_WEIGHT
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

MAX_WEIGHT = 1e6
# A team's excess is over once it has sent nothing beyond its entitlement for this long.
EXCESS_GAP_MS = 5_000.0


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


@attrs.define
class TeamEntitlements:
    """Hold the accounts of all teams and mark the jobs beyond their entitlements."""

    policy: SchedulingPolicy = DEFAULT_POLICY
    accounts: dict[str, TeamAccount] = attrs.Factory(dict)
    weight_sum: float = 0.0
    _invalid_weights: dict[str, float] = attrs.Factory(dict)
    # After a takeover they come in no order.
    _uncharged: list[UnchargedJob] = attrs.Factory(list)

    @property
    def is_on(self) -> bool:
        """Return whether teams are served by weight: it takes a setting and a team with one."""
        return self.policy.weighs_shares and self.weight_sum > 0.0

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Apply the configured weights; accounts of teams that stay go on."""
        if not self.policy.weighs_shares:
            return
        weights = {name: self._valid_weight(team) for name, team in teams.items()}
        self.accounts = {name: self._account(name, w) for name, w in weights.items()}
        is_weighted = any(weights.values())
        self.weight_sum = sum(a.weight for a in self.accounts.values()) if is_weighted else 0.0

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
            self.charge_added_jobs()
        return job.is_beyond_entitlement and self.is_on

    def has_entitlement_left(self, team: str, accepted_ms: float) -> bool:
        """Return whether a job accepted at a time of the store's clock would be within it."""
        self.charge_added_jobs()
        account = self.accounts.get(team)
        if account is None or account.bucket is None:
            return True
        return account.bucket.available_at(accepted_ms) >= 1.0

    def entitled_jobs(self, team: str, accepted_ms: float) -> float | None:
        """Return how many more jobs accepted by a time would be within the entitlement.

        It is None if any number would be. This charges no jobs, unlike `has_entitlement_left`.
        """
        account = self.accounts.get(team)
        if not self.is_on or account is None or account.bucket is None:
            return None
        uncharged = sum(entry.job.accepted.team == team for entry in self._uncharged)
        return account.bucket.available_at(accepted_ms) - uncharged

    def charge_added_jobs(self) -> None:
        """Charge the teams for the jobs added since the last call, in order of acceptance."""
        if not self._uncharged:
            return
        entries, self._uncharged = self._uncharged, []
        entries.sort(key=lambda entry: (entry.accepted_ms, entry.job.job_id))
        for entry in entries:
            self._charge(entry.job, entry.accepted_ms)

    def log_excess(self, now: float) -> None:
        """Log which teams began or ceased to send jobs beyond their entitlement."""
        for team, account in self.accounts.items():
            has_excess = now - account.last_beyond_ms < EXCESS_GAP_MS
            if has_excess is account.has_excess:
                continue
            account.has_excess = has_excess
            event = Event.TEAM_EXCESS_BEGAN if has_excess else Event.TEAM_EXCESS_ENDED
            emit(log, event, team=team, weight=account.weight, jobs=account.jobs_beyond)

    def _account(self, name: str, weight: float) -> TeamAccount:
        """Return the account of a team, the one that it has if the weight is the same."""
        account = self.accounts.get(name, TeamAccount())
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

    def _charge(self, job: JobState, accepted_ms: float) -> None:
        account = self.accounts.get(job.accepted.team)
        if account is None or account.bucket is None:
            return
        if account.bucket.take(accepted_ms):
            return
        job.is_beyond_entitlement = True
        account.jobs_beyond += 1
        account.last_beyond_ms = max(account.last_beyond_ms, job.accepted_local_ms)
