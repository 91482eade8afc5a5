"""Plan transfers of places between shards on demand, in batches and at a limited rate."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Name of the pool as the source of a transfer.
POOL = ""


@attrs.frozen
class ShardBalance:
    """Describe the supply of and demand for one team's places in a shard.

    `surplus` counts free places whose release is confirmed. `deficit` counts queued tasks that
    lack nothing but a place.
    """

    shard: str
    surplus: int
    deficit: int


@attrs.frozen
class TeamBalance:
    """Describe the places of one team in the pool and in each shard."""

    team: str
    pool: int
    shards: tuple[ShardBalance, ...]


@attrs.frozen
class Transfer:
    """Transfer places of a team from one shard or the pool (see `POOL`) to another shard."""

    team: str
    source: str
    target: str
    places: int


@attrs.frozen
class TransferLimits:
    """Limit the rate and the size of one planner's batches.

    The interval keeps about a hundred owners within the several hundred writes per second that
    the table serves. Demand must last for `min_demand_duration_s`, because work is forwarded to a
    shard with free places before places are transferred to the work.
    """

    interval_s: float = 1.0
    min_demand_duration_s: float = 0.5
    max_teams: int = 16
    max_places_per_team: int = 64


@attrs.define
class TransferPlanner:
    """Plan the transfers into and out of shards; times are Unix seconds."""

    limits: TransferLimits = attrs.Factory(TransferLimits)
    next_plan_at: float = 0.0
    deficit_since: dict[tuple[str, str], float] = attrs.Factory(dict)

    def plan(self, balances: Iterable[TeamBalance], now: float) -> list[Transfer]:
        """Return the next batch of transfers, which is empty until the interval has passed.

        The teams that have waited longest come first.
        """
        teams = list(balances)
        self._track_demand(teams, now)
        if now < self.next_plan_at:
            return []
        teams.sort(key=lambda team: (self._waiting_since(team, now), team.team))
        batch: list[Transfer] = []
        for team in teams:
            if len({transfer.team for transfer in batch}) >= self.limits.max_teams:
                break
            batch.extend(self._plan_team(team, now))
        if batch:
            self.next_plan_at = now + self.limits.interval_s
        return batch

    def _track_demand(self, teams: list[TeamBalance], now: float) -> None:
        with_deficit = {
            (team.team, balance.shard)
            for team in teams
            for balance in team.shards
            if balance.deficit > 0
        }
        self.deficit_since = {
            key: self.deficit_since.get(key, now) for key in sorted(with_deficit)
        }

    def _waiting_since(self, team: TeamBalance, now: float) -> float:
        since = [
            self.deficit_since.get((team.team, balance.shard), now) for balance in team.shards
        ]
        return min(since, default=now)

    def _plan_team(self, team: TeamBalance, now: float) -> list[Transfer]:
        sources = {POOL: team.pool}
        # A shard with a deficit is no source, or two shards would exchange places forever.
        for balance in sorted(team.shards, key=lambda balance: (-balance.surplus, balance.shard)):
            if balance.deficit <= 0 and balance.surplus > 0:
                sources[balance.shard] = balance.surplus
        remaining = self.limits.max_places_per_team
        transfers: list[Transfer] = []
        for balance in sorted(team.shards, key=lambda balance: (-balance.deficit, balance.shard)):
            since = self.deficit_since.get((team.team, balance.shard))
            if since is None or now - since < self.limits.min_demand_duration_s:
                continue
            taken = _take_from_sources(
                sources, team.team, balance.shard, min(balance.deficit, remaining)
            )
            remaining -= sum(transfer.places for transfer in taken)
            transfers.extend(taken)
        return transfers


def _take_from_sources(
    sources: dict[str, int], team: str, target: str, deficit: int
) -> list[Transfer]:
    taken = []
    for source, available in sources.items():
        places = min(deficit, available)
        if places > 0:
            sources[source] -= places
            deficit -= places
            taken.append(Transfer(team, source, target, places))
    return taken
