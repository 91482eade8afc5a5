"""Test the replay of the platform's loads."""

from __future__ import annotations

import pytest

from baobabhoist.benchmarks import cell_replay
from baobabhoist.benchmarks.cell_workload import SCENARIOS, generate_workload

WORKERS, SECONDS, SEED = 6, 2.0, 3


@pytest.mark.parametrize("name", SCENARIOS)
def test_stream_depends_on_the_seed_alone(name: str) -> None:
    """Guard against comparisons of policies on unlike streams."""
    first = generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED)
    assert first == generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED)
    assert first != generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED + 1)


def test_replay_repeats_and_prints_every_policy() -> None:
    """Guard against figures of a replay that chance decides."""
    reports = [cell_replay.run("hot_team", WORKERS, SECONDS, SEED, True) for _ in range(2)]
    worths = [
        {policy: found["worth"] for policy, found in report["loads"]["hot_team"].items()}
        for report in reports
    ]
    assert worths[0] == worths[1]
    assert all(0.0 <= part <= 1.0 for found in worths[0].values() for part in found.values())
    text = cell_replay.format_table(reports[0])
    assert all(policy in text for policy in cell_replay.POLICIES)
