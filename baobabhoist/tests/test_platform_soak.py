"""Test the platform's soak: its schedule, its list of regressions and a run of a few seconds."""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient

from baobabhoist.platform.testing import soak, soak_faults
from baobabhoist.platform.testing.deployment import Deployment
from baobabhoist.platform.testing.regressions import REGRESSIONS
from baobabhoist.testing.cluster import Cluster

SEED, SECONDS = 3, 7.0
FAULT_LISTS = {
    "common faults": ["kill", "stop", "cut_store", "worker_crash", "store_loses"],
    "takeovers during outages": ["outage_takeover"],
    "advice and scheduling as deployed": ["kill", "worker_crash"],
    "callers that leave": ["pause", "kill", "store_late"],
}
PROFILE_NAMES = {"advice and scheduling as deployed": "deployed"}


def test_schedule_depends_on_the_seed_alone() -> None:
    """Guard against a failed run that its seed does not reproduce."""
    faults = sorted(soak_faults.FAULTS)
    first = soak_faults.schedule_faults(SEED, 40.0, faults)
    assert first == soak_faults.schedule_faults(SEED, 40.0, faults)
    assert first != soak_faults.schedule_faults(SEED + 1, 40.0, faults)
    assert all(fault.start_s + fault.duration_s <= 40.0 for fault in first)


def test_schedule_uses_all_faults_and_lets_them_overlap() -> None:
    """Guard against a schedule in which every fault meets a system without other faults."""
    schedule = soak_faults.schedule_faults(SEED, 400.0, sorted(soak_faults.FAULTS))
    pairs = itertools.pairwise(schedule)
    assert any(later.start_s < earlier.start_s + earlier.duration_s for earlier, later in pairs)
    assert {fault.name for fault in schedule} == set(soak_faults.FAULTS)


def test_every_regression_has_a_seed_and_a_cause() -> None:
    """Guard against regressions whose cause nobody can look up."""
    assert len({case.seed for case in REGRESSIONS}) == len(REGRESSIONS)
    assert all(case.cause and case.seconds > 0 for case in REGRESSIONS)


@pytest.fixture
def curl_client():
    AsyncHTTPClient.configure(soak.HTTP_CLIENT_CLASS, max_clients=soak.HTTP_CLIENTS_MAX)
    yield
    AsyncHTTPClient.configure(None)


@pytest.mark.parametrize("name", FAULT_LISTS)
def test_guarantees_hold_in_a_short_run(name: str, tmp_path: Path, curl_client: None) -> None:
    """Guard against instances that break a guarantee under a few faults."""

    async def run(cluster: Cluster) -> soak.Soak:
        deployment = Deployment(cluster, profile=PROFILE_NAMES.get(name, "mixed"))
        driver = soak.Soak(deployment, random.Random(SEED))
        await driver.run(SECONDS, soak_faults.schedule_faults(SEED, SECONDS, FAULT_LISTS[name]))
        return driver

    with Cluster(tmp_path) as cluster:
        finished_soak = asyncio.run(run(cluster))
    checker = finished_soak.check_guarantees(is_finished=True)
    assert checker.breaches == []
    assert checker.check_counts["TWICE"] > 0
    assert finished_soak.final_states
