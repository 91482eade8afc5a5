"""Test how one worker is driven: renewals, acknowledgements and silence."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabhoist.cell.model import CommandOutcome
from baobabhoist.control import workers
from baobabhoist.control.workers import WorkerLoop
from baobabhoist.tests.cell_harness import LEASE_MS, CellHarness, make_job


class Driver:
    """Answer renewals from a stand-in worker until it falls silent."""

    def __init__(self, worker):
        self.worker = worker
        self.silent = False
        self.deadlines = []
        self.waits = []

    async def renew(self, info, token, acked_end, deadline_ms, wait_ms):
        await asyncio.sleep(0)
        self.deadlines.append(deadline_ms)
        self.waits.append(wait_ms)
        if self.silent:
            return CommandOutcome.UNKNOWN
        return self.worker.renew(token, acked_end, deadline_ms)


def drive(rounds, silent_from):
    rig = CellHarness.with_workers(1)
    rig.submit(make_job())
    rig.settle()
    driver = Driver(rig.workers["w0"])
    owner = SimpleNamespace(
        cell=rig.cell,
        ownership=SimpleNamespace(token=rig.token),
        may_renew=lambda: True,
        kick=lambda: None,
        progress=SimpleNamespace(wake=lambda: None),
    )
    loop = WorkerLoop(owner, driver, rig.cell.state.workers["w0"], LEASE_MS)

    async def run():
        for number in range(rounds):
            driver.silent = number >= silent_from
            await loop._renew()

    asyncio.run(run())
    return rig, driver


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(workers, "ACK_WAIT_S", 0.001)


def test_a_silent_worker_is_not_offered_a_longer_lease():
    """Guard against tasks that never start again (hunt 15b2, LOST): each try moved the end."""
    rig, driver = drive(6, silent_from=2)
    assert driver.deadlines[2] is not None
    assert driver.deadlines[3:] == [None, None, None]
    assert rig.cell.state.workers["w0"].lease.deadline_ms == driver.deadlines[2]


def test_a_worker_that_answers_again_gets_its_lease_renewed():
    """Guard against a lease that lapses although its worker is back."""
    _, driver = drive(4, silent_from=4)
    assert all(driver.deadlines)
