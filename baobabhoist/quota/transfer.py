"""Plan transfers of places between shards: on demand, in batches and at a limited rate."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

POOL = ""


@attrs.frozen
class ShardBalance:
    """Describe a shard's places of one team.

    `surplus` counts free places whose release is confirmed; `deficit` counts queued tasks that
    only lack a place.
    """

    shard: str
    surplus: int
    deficit: int


@attrs.frozen
class TeamBalance:
    """Describe the places of one team as the planner knows them."""

    team: str
    pool: int
    shards: tuple[ShardBalance, ...]


@attrs.frozen
class Transfer:
    """Move places of a team; the pool's name is the empty string."""

    team: str
    source: str
    target: str
    places: int


@attrs.frozen
class TransferLimits:
    """Bound the transfers of one planner.

    The interval keeps some hundred owners within the several hundred writes a second of the
    table. Demand must last for `min_demand_duration_s`, because work is forwarded to a shard
    with places before places are moved to the work.
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
    wanted_since: dict[tuple[str, str], float] = attrs.Factory(dict)

    def plan(self, needs: Iterable[TeamBalance], now: float) -> list[Transfer]:
        """Return the next batch of transfers, or none while the rate limit holds.

        The teams that have waited longest come first.
        """
        teams = list(needs)
        self._note_demand(teams, now)
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

    def _note_demand(self, teams: list[TeamBalance], now: float) -> None:
        wanting = {
            (team.team, needs.shard)
            for team in teams
            for needs in team.shards
            if needs.deficit > 0
        }
        self.wanted_since = {key: self.wanted_since.get(key, now) for key in sorted(wanting)}

    def _waiting_since(self, team: TeamBalance, now: float) -> float:
        since = [self.wanted_since.get((team.team, needs.shard), now) for needs in team.shards]
        return min(since, default=now)

    def _plan_team(self, team: TeamBalance, now: float) -> list[Transfer]:
        sources = {POOL: team.pool}
        # A shard that wants places gives none away, or two shards would exchange them forever.
        for needs in sorted(team.shards, key=lambda needs: (-needs.surplus, needs.shard)):
            if needs.deficit <= 0 and needs.surplus > 0:
                sources[needs.shard] = needs.surplus
        budget = self.limits.max_places_per_team
        found: list[Transfer] = []
        for needs in sorted(team.shards, key=lambda needs: (-needs.deficit, needs.shard)):
            since = self.wanted_since.get((team.team, needs.shard))
            if since is None or now - since < self.limits.min_demand_duration_s:
                continue
            taken = _take(sources, team.team, needs.shard, min(needs.deficit, budget))
            budget -= sum(transfer.places for transfer in taken)
            found.extend(taken)
        return found


def _take(sources: dict[str, int], team: str, target: str, deficit: int) -> list[Transfer]:
    taken = []
    for source, available in sources.items():
        places = min(deficit, available)
        if places > 0:
            sources[source] -= places
            deficit -= places
            taken.append(Transfer(team, source, target, places))
    return taken
