"""Test the planning of place transfers between shards."""

from baobabhoist.quota.transfer import POOL, ShardBalance, TeamBalance, Transfer, TransferPlanner


def team_balance(pool, **shards):
    return TeamBalance("t", pool, tuple(ShardBalance(n, *counts) for n, counts in shards.items()))


def test_lasting_demand_is_served_from_the_pool_and_then_from_idle_shards():
    """Guard against transfers for brief demand, and against shards that swap places forever."""
    planner = TransferPlanner()
    team = team_balance(1, a=(0, 3), b=(4, 0), c=(9, 1))
    assert planner.plan([team], 0.0) == []
    assert planner.plan([team], 0.5) == [
        Transfer("t", POOL, "a", 1),
        Transfer("t", "b", "a", 2),
        Transfer("t", "b", "c", 1),
    ]
    assert planner.plan([team], 1.4) == []
    assert planner.plan([team], 1.5) != []


def test_batch_is_bounded():
    """Guard against a batch that transfers every place or writes the row of every team."""
    planner = TransferPlanner()
    teams = [TeamBalance(f"t{n}", 500, (ShardBalance("a", 0, 100),)) for n in range(40)]
    planner.plan(teams, 0.0)
    batch = planner.plan(teams, 1.0)
    assert len(batch) == planner.limits.max_teams
    assert {transfer.places for transfer in batch} == {planner.limits.max_places_per_team}
