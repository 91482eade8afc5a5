"""Test the workloads and the replay of a cell."""

from __future__ import annotations

import logging

import pytest

from baobabhoist.benchmarks import cell_replay
from baobabhoist.benchmarks.cell_workload import SCENARIOS, generate_workload

WORKERS, SECONDS, SEED = 6, 2.0, 3


@pytest.mark.parametrize("name", SCENARIOS)
def test_workload_depends_only_on_the_seed(name: str) -> None:
    """Guard against comparing policies on different workloads."""
    first = generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED)
    assert first == generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED)
    assert first != generate_workload(SCENARIOS[name], WORKERS, SECONDS, SEED + 1)


def test_replay_is_repeatable_and_reports_all_policies() -> None:
    """Guard against results that differ between replays of the same workload."""
    reports = [cell_replay.run("hot_team", WORKERS, SECONDS, SEED, True) for _ in range(2)]
    earned = [
        {policy: results["worth"] for policy, results in report["loads"]["hot_team"].items()}
        for report in reports
    ]
    assert earned[0] == earned[1]
    assert all(0.0 <= value <= 1.0 for values in earned[0].values() for value in values.values())
    text = cell_replay.format_table(reports[0])
    assert all(policy in text for policy in cell_replay.POLICIES)


def test_replay_restores_the_log_level(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against a replay after which the process logs no more errors, such as in tests."""
    caplog.set_level(logging.INFO, logger="baobabhoist")
    cell_replay.run("hot_team", WORKERS, SECONDS, SEED, False)
    assert logging.getLogger("baobabhoist").level == logging.INFO
