"""Check that the measurements compare like with like."""

from baobabhoist.benchmarks import decisions
from baobabhoist.benchmarks.stats import quantile, water_fill
from baobabhoist.benchmarks.workload import PROFILES, generate_workload


def test_same_seed_gives_the_same_stream_and_another_seed_another():
    profile = PROFILES["whistlemark"]
    one, two = generate_workload(profile, 1), generate_workload(profile, 1)
    assert one.arrivals == two.arrivals and one.worker_behaviours == two.worker_behaviours
    assert generate_workload(profile, 2).arrivals != one.arrivals


def test_water_fill_gives_no_team_more_than_it_wants():
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    given = water_fill({"a": 0.1, "b": 9.0, "c": 9.0}, weights, 1.0)
    assert given["a"] == 0.1
    assert abs(given["c"] - 2 * given["b"]) < 1e-9 and abs(sum(given.values()) - 1.0) < 1e-9


def test_quantile_of_nothing_is_zero():
    assert quantile([], 0.99) == 0.0 and quantile([1.0, 2.0], 0.99) == 2.0


def test_every_policy_gets_the_same_work_and_reports_the_same_figures():
    report = decisions.run("whistlemark", 1, 6, 8.0)
    policies = list(report["policies"].values())
    counts = [
        sum(wait["n"] for name, wait in figures["wait_s"].items() if name.startswith("team"))
        + sum(figures["refusals"].get(kind, 0) for kind in ("never_fits", "queue_full"))
        for figures in policies
    ]
    assert len(set(counts)) == 1 and counts[0] > 0
    assert len({frozenset(figures) for figures in policies}) == 1
    assert "packing" in decisions.format_table(report)
