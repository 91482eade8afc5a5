"""Test how an instance tracks the claim and takes over the cell, with an in-memory store."""

import asyncio
import logging
from types import SimpleNamespace

import pytest

from baobabhoist.control import election as election_module
from baobabhoist.control.claim import ClaimRow, OwnerLinkState, decode_claim, encode_claim
from baobabhoist.control.election import MAX_READ_GAP_MS, OwnerElection
from baobabhoist.control.links import Identity
from baobabhoist.control.row_schema import HEARTBEAT_ROW_KEY, OWNER_ROW_KEY
from baobabhoist.observability.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE, Event
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore

OTHER = ClaimRow("other", "boot-other", "10.0.0.9:7000", 0)


class FakeOwner:
    """Replace the cell's owner, which needs workers and a network."""

    def __init__(self, ownership):
        self.ownership = ownership
        self.cell = None

    async def run(self):
        await asyncio.sleep(3600)

    def stop(self):
        pass


class ElectionHarness:
    """Run one instance's election with an in-memory store and a clock set by the test."""

    def __init__(self, monkeypatch):
        self.now = 100_000.0
        monkeypatch.setattr(election_module, "monotonic_ms", lambda: self.now)
        monkeypatch.setattr(election_module, "CLAIM_JITTER_S", 0.0)
        self.store = MemoryRowStore()
        self.owner_router = SimpleNamespace(local_owner=None)
        self.owner_link = SimpleNamespace(
            state=OwnerLinkState.CONNECTED, connect_to=lambda claim: None
        )
        address = "10.0.0.1:7000"
        cfg = SimpleNamespace(cores=4.0, link_mbps=1000.0, advertised_peer_address=address)
        self.election = OwnerElection(
            cfg,
            self.store,
            SimpleNamespace(current=object()),
            Identity("me", "boot-me"),
            self.owner_router,
            SimpleNamespace(links={}),
            self.owner_link,
            lambda ownership, may_start, on_ownership_lost: FakeOwner(ownership),
        )

    def write(self, **rows):
        keys = {"owner": OWNER_ROW_KEY, "heartbeat": HEARTBEAT_ROW_KEY}
        self.store.apply(RowTransaction({}, {keys[name]: value for name, value in rows.items()}))

    def read(self, sent_ms=None):
        self.election.apply_rows(list(self.store.rows.values()), True)
        self.election.record_read(self.now if sent_ms is None else sent_ms)

    async def settle(self):
        task = asyncio.create_task(self.election.run_claims())
        self.election.recheck()
        for _ in range(10):
            await asyncio.sleep(0)
        task.cancel()


@pytest.fixture
def harness(monkeypatch):
    return ElectionHarness(monkeypatch)


def test_unclaimed_cell_is_claimed_once(harness):
    """Guard against a start after which no instance, or more than one, owns the cell."""

    async def run():
        harness.read()
        await harness.settle()
        assert (
            harness.owner_router.local_owner.ownership.token
            == harness.store.rows[OWNER_ROW_KEY].version
        )
        assert decode_claim(harness.store.rows[OWNER_ROW_KEY].value).boot == "boot-me"

    asyncio.run(run())


def test_claim_fails_if_a_heartbeat_was_written_meanwhile(harness):
    """Guard against a takeover from a live owner whose heartbeat was only read late."""

    async def run():
        harness.write(owner=encode_claim(OTHER), heartbeat=b"1")
        harness.read()
        harness.owner_link.state = OwnerLinkState.SILENT
        harness.now += 1_500.0
        harness.write(heartbeat=b"2")
        await harness.settle()
        assert harness.owner_router.local_owner is None
        harness.read()
        harness.now += 1_500.0
        harness.read(sent_ms=harness.now - 1_000.0)
        await harness.settle()
        assert harness.owner_router.local_owner is not None

    asyncio.run(run())


def test_store_outage_does_not_count_as_missing_heartbeats(harness):
    """Guard against a takeover at the end of each store outage."""

    async def run():
        harness.write(owner=encode_claim(OTHER), heartbeat=b"1")
        harness.read()
        harness.now += 4_000.0
        harness.read(sent_ms=harness.now - 50.0)
        await harness.settle()
        assert harness.owner_router.local_owner is None

    asyncio.run(run())


def test_unchanged_heartbeat_while_the_store_answers_leads_to_a_takeover(harness):
    """Guard against infrequent polls that count as outages and so keep a dead owner for ever."""

    async def run():
        harness.write(owner=encode_claim(OTHER), heartbeat=b"1")
        harness.read()
        for _ in range(2):
            sent_ms = harness.now + MAX_READ_GAP_MS - 200.0
            harness.now = sent_ms + 1_000.0
            harness.read(sent_ms=sent_ms)
        await harness.settle()
        assert harness.owner_router.local_owner is not None

    asyncio.run(run())


def test_owner_steps_down_when_another_instance_has_the_claim(harness):
    """Guard against an owner that continues after another instance has won the claim."""

    async def run():
        harness.read()
        await harness.settle()
        harness.write(owner=encode_claim(OTHER))
        harness.read()
        assert harness.owner_router.local_owner is None

    asyncio.run(run())


def test_won_claim_says_the_size_of_the_machine(harness, caplog):
    """Guard against an owner too small for the cell that can't be told from a large one."""
    caplog.set_level(logging.INFO, logger="baobabhoist")

    async def run():
        harness.read()
        await harness.settle()

    asyncio.run(run())
    won = [r for r in caplog.records if r.__dict__.get(EVENT_ATTRIBUTE) is Event.CLAIM_WON]
    fields = won[0].__dict__[FIELDS_ATTRIBUTE]
    assert (fields["cores"], fields["link_mbps"]) == (4.0, 1000.0)
