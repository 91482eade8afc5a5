"""Test that the benchmarks compare policies on equal workloads."""

from baobabhoist.benchmarks import decisions
from baobabhoist.benchmarks.stats import quantile, water_fill
from baobabhoist.benchmarks.workload import PROFILES, generate_workload


def test_workload_depends_only_on_the_seed():
    profile = PROFILES["whistlemark"]
    first, second = generate_workload(profile, 1), generate_workload(profile, 1)
    assert (
        first.arrivals == second.arrivals and first.worker_behaviours == second.worker_behaviours
    )
    assert generate_workload(profile, 2).arrivals != first.arrivals


def test_water_fill_gives_no_team_more_than_its_demand():
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    allocation = water_fill({"a": 0.1, "b": 9.0, "c": 9.0}, weights, 1.0)
    assert allocation["a"] == 0.1
    assert (
        abs(allocation["c"] - 2 * allocation["b"]) < 1e-9
        and abs(sum(allocation.values()) - 1.0) < 1e-9
    )


def test_quantile_of_no_values_is_zero():
    assert quantile([], 0.99) == 0.0 and quantile([1.0, 2.0], 0.99) == 2.0


def test_all_policies_replay_the_same_tasks_and_report_the_same_keys():
    report = decisions.run("whistlemark", 1, 6, 8.0)
    policies = list(report["policies"].values())
    counts = [
        sum(wait["n"] for name, wait in results["wait_s"].items() if name.startswith("team"))
        + sum(results["refusals"].get(kind, 0) for kind in ("never_fits", "queue_full"))
        for results in policies
    ]
    assert len(set(counts)) == 1 and counts[0] > 0
    assert len({frozenset(results) for results in policies}) == 1
    assert "packing" in decisions.format_table(report)
