"""Test how an instance follows the claim and takes the cell over, with a store in memory."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabhoist.control import claimant as claimant_module
from baobabhoist.control.claim import ClaimRow, OwnerSeen, decode_claim, encode_claim
from baobabhoist.control.claimant import ANSWERED_GAP_MS, Claimant
from baobabhoist.control.links import Identity
from baobabhoist.control.rowmap import BEAT_ROW, OWNER_ROW
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.rows import MemoryRows

OTHER = ClaimRow("other", "boot-other", "10.0.0.9:7000", 0)


class Owner:
    """Stand in for a cell's owner, which needs workers and a network."""

    def __init__(self, ownership):
        self.ownership = ownership
        self.cell = None

    async def run(self):
        await asyncio.sleep(3600)

    def stop(self):
        pass


class Rig:
    """Hold one instance's claimant, its store and a clock that the test moves."""

    def __init__(self, monkeypatch):
        self.now = 100_000.0
        monkeypatch.setattr(claimant_module, "boot_ms", lambda: self.now)
        monkeypatch.setattr(claimant_module, "CLAIM_SPREAD_S", 0.0)
        self.store = MemoryRows()
        self.calls = SimpleNamespace(local=None)
        self.link = SimpleNamespace(seen=OwnerSeen.CONNECTED, follow=lambda claim: None)
        address = "10.0.0.1:7000"
        cfg = SimpleNamespace(cores=4.0, link_mbps=1000.0, advertised_peer_address=address)
        self.claimant = Claimant(
            cfg,
            self.store,
            SimpleNamespace(current=object()),
            Identity("me", "boot-me"),
            self.calls,
            SimpleNamespace(links={}),
            self.link,
            lambda ownership, may_start, on_deposed: Owner(ownership),
        )

    def write(self, **rows):
        keys = {"owner": OWNER_ROW, "beat": BEAT_ROW}
        self.store.apply(RowTransaction({}, {keys[name]: value for name, value in rows.items()}))

    def read(self, asked_ms=None):
        self.claimant.rows_changed(list(self.store.rows.values()), True)
        self.claimant.confirmed(self.now if asked_ms is None else asked_ms)

    async def settle(self):
        task = asyncio.create_task(self.claimant.claim_forever())
        self.claimant.wake()
        for _ in range(10):
            await asyncio.sleep(0)
        task.cancel()


@pytest.fixture
def rig(monkeypatch):
    return Rig(monkeypatch)


def test_an_unclaimed_cell_is_claimed_once(rig):
    """Guard against a start at which no instance, or more than one, owns the cell."""

    async def run():
        rig.read()
        await rig.settle()
        assert rig.calls.local.ownership.token == rig.store.rows[OWNER_ROW].version
        assert decode_claim(rig.store.rows[OWNER_ROW].value).boot == "boot-me"

    asyncio.run(run())


def test_a_claim_loses_against_a_beat_that_came_in_between(rig):
    """Guard against a takeover from an owner that was only slow to be seen."""

    async def run():
        rig.write(owner=encode_claim(OTHER), beat=b"1")
        rig.read()
        rig.link.seen = OwnerSeen.SILENT
        rig.now += 1_500.0
        rig.write(beat=b"2")
        await rig.settle()
        assert rig.calls.local is None
        rig.read()
        rig.now += 1_500.0
        rig.read(asked_ms=rig.now - 1_000.0)
        await rig.settle()
        assert rig.calls.local is not None

    asyncio.run(run())


def test_an_outage_of_the_store_is_no_silence_of_the_owner(rig):
    """Guard against a takeover at the end of each outage."""

    async def run():
        rig.write(owner=encode_claim(OTHER), beat=b"1")
        rig.read()
        rig.now += 4_000.0
        rig.read(asked_ms=rig.now - 50.0)
        await rig.settle()
        assert rig.calls.local is None

    asyncio.run(run())


def test_a_beat_that_stands_still_while_the_store_answers_ends_the_ownership(rig):
    """Guard against an owner that the rare readings of the claim keep for ever."""

    async def run():
        rig.write(owner=encode_claim(OTHER), beat=b"1")
        rig.read()
        for _ in range(2):
            asked = rig.now + ANSWERED_GAP_MS - 200.0
            rig.now = asked + 1_000.0
            rig.read(asked_ms=asked)
        await rig.settle()
        assert rig.calls.local is not None

    asyncio.run(run())


def test_another_claim_ends_this_ownership(rig):
    """Guard against an owner that goes on after another has won."""

    async def run():
        rig.read()
        await rig.settle()
        rig.write(owner=encode_claim(OTHER))
        rig.read()
        assert rig.calls.local is None

    asyncio.run(run())
