"""Test the planning of transfers."""

from baobabhoist.quota.transfer import POOL, ShardBalance, TeamBalance, Transfer, TransferPlanner


def needs(pool, **shards):
    return TeamBalance("t", pool, tuple(ShardBalance(n, *counts) for n, counts in shards.items()))


def test_lasting_demand_is_served_from_the_pool_and_then_from_idle_shards():
    """Guard against transfers for a moment's demand, and against exchanging places in circles."""
    planner = TransferPlanner()
    team = needs(1, a=(0, 3), b=(4, 0), c=(9, 1))
    assert planner.plan([team], 0.0) == []
    assert planner.plan([team], 0.5) == [
        Transfer("t", POOL, "a", 1),
        Transfer("t", "b", "a", 2),
        Transfer("t", "b", "c", 1),
    ]
    assert planner.plan([team], 1.4) == []
    assert planner.plan([team], 1.5) != []


def test_batch_is_bounded():
    """Guard against one batch that takes every place or writes every team's row."""
    planner = TransferPlanner()
    teams = [TeamBalance(f"t{n}", 500, (ShardBalance("a", 0, 100),)) for n in range(40)]
    planner.plan(teams, 0.0)
    batch = planner.plan(teams, 1.0)
    assert len(batch) == planner.limits.max_teams
    assert {transfer.places for transfer in batch} == {planner.limits.max_places_per_team}
