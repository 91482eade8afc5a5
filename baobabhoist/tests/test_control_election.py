"""Test how an instance tracks the claim and takes over the cell, with an in-memory store."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.control import election as election_module
from baobabhoist.control import progress_writer, store_health
from baobabhoist.control.claim import (
    CONFIRMATION_VALID_MS,
    HEARTBEAT_STALE_MS,
    ClaimRow,
    OwnerLinkState,
    decode_claim,
    encode_claim,
)
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.election import MAX_READ_AGE_MS, MAX_READ_GAP_MS, OwnerElection
from baobabhoist.control.job_admission import KnownWaits
from baobabhoist.control.links import Identity
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.messages import JobWaits
from baobabhoist.control.progress_writer import ProgressWriter
from baobabhoist.control.row_schema import HEARTBEAT_ROW_KEY, OWNER_ROW_KEY
from baobabhoist.control.sessions.permits import PERMIT_VALID_MS
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.control.silent_workers_row import (
    SILENT_WORKERS_ROW_KEY,
    decode_silent_workers,
    encode_silent_workers,
)
from baobabhoist.control.store_health import MAX_STABLE_COMMIT_MS, STABLE_AFTER_MS, StoreHealth
from baobabhoist.observability.events import Event
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore

POLL_INTERVAL_MS = 100.0
LARGE = MachineSize(4.0, 1000.0)
RELEASED = ClaimRow("", "", "", 3)
OTHER = ClaimRow("other", "boot-other", "10.0.0.9:7000", 0)


class FakeOwner:
    """Replace the cell's owner, which needs workers and a network."""

    def __init__(self, store, ownership):
        self.ownership = ownership
        self.cell = None
        self.progress_writer = ProgressWriter(
            store,
            ownership.token,
            lambda reason: None,
            store.row_max_bytes,
            SilentWorkers(StoreClock(), store.row_max_bytes),
        )

    async def run(self):
        await asyncio.sleep(3600)

    async def wait_until_stopped(self):
        pass

    def stop(self):
        pass


class ElectionHarness:
    """Run one instance's election with an in-memory store and a clock set by the test."""

    def __init__(self, monkeypatch, size=LARGE):
        self.now = 100_000.0
        monkeypatch.setattr(election_module, "monotonic_ms", lambda: self.now)
        monkeypatch.setattr(election_module, "CLAIM_JITTER_S", 0.0)
        self.store = MemoryRowStore()
        self.owner_router = SimpleNamespace(local_owner=None)
        self.owner_link = SimpleNamespace(
            state=OwnerLinkState.CONNECTED, connect_to=lambda claim: None
        )
        address = "10.0.0.1:7000"
        cfg = SimpleNamespace(advertised_peer_address=address)
        self.health = StoreHealth(last_answer_ms=self.now)
        monkeypatch.setattr(store_health, "monotonic_ms", lambda: self.now)
        self.election = OwnerElection(
            cfg,
            self.store,
            SimpleNamespace(current=object()),
            Identity("me", "boot-me", size),
            self.owner_router,
            SimpleNamespace(links={}),
            self.owner_link,
            lambda ownership, authority_ends_ms, on_ownership_lost: FakeOwner(
                self.store, ownership
            ),
            self.health,
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


@pytest.mark.parametrize("is_released", [False, True])
@pytest.mark.parametrize("tracks_silent_workers", [False, True])
def test_a_claim_after_one_of_an_earlier_release_empties_the_row_of_silent_workers(
    tracks_silent_workers, is_released, harness
):
    """Guard against two runs of a task during an upgrade.

    An owner of an earlier release extends the leases of the workers that the row names.
    """
    claim = attrs.evolve(
        RELEASED if is_released else OTHER, tracks_silent_workers=tracks_silent_workers
    )
    silent_workers = {"w0": SilentWorker(5, 10)}

    async def run():
        value = encode_silent_workers(silent_workers)
        harness.store.apply(RowTransaction(puts={SILENT_WORKERS_ROW_KEY: value}))
        harness.write(owner=encode_claim(claim), heartbeat=b"1")
        harness.read()
        harness.owner_link.state = OwnerLinkState.ENDED
        await harness.settle()
        assert harness.owner_router.local_owner is not None

    asyncio.run(run())
    stored = decode_silent_workers(harness.store.rows[SILENT_WORKERS_ROW_KEY].value)
    assert stored.workers == (silent_workers if tracks_silent_workers else {})


def test_the_claim_of_an_earlier_release_does_not_track_silent_workers():
    """Guard against trust in a row that an owner of an earlier release has not kept to."""
    value = b'{"node":"n","boot":"b","address":"10.0.0.9:7000","generation":0,"successor":""}'
    assert not decode_claim(value).tracks_silent_workers


def test_a_claim_tracks_silent_workers_also_once_it_is_released(harness):
    """Guard against owners that each wait anew after a planned stop."""

    async def run():
        harness.read()
        await harness.settle()
        claims = [harness.store.rows[OWNER_ROW_KEY].value]
        await harness.election.release("the test ends")
        claims.append(harness.store.rows[OWNER_ROW_KEY].value)
        return [decode_claim(value) for value in claims]

    won, released = asyncio.run(run())
    assert released.is_released
    assert won.tracks_silent_workers
    assert released.tracks_silent_workers


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


@pytest.mark.parametrize(
    ("claim", "link_state"),
    [(RELEASED, OwnerLinkState.CONNECTED), (OTHER, OwnerLinkState.ENDED)],
)
def test_leases_may_be_renewed_until_the_permits_of_holders_expire(harness, claim, link_state):
    """Guard against tasks that run twice because holders outlast a stopped owner by 1.5 s.

    They went on renewing leases, and the next owner counted from its claim.
    """

    async def run():
        harness.write(owner=encode_claim(claim), heartbeat=b"1")
        harness.read()
        harness.owner_link.state = link_state
        harness.now += 1_000.0
        harness.read()
        await harness.settle()
        ownership = harness.owner_router.local_owner.ownership
        assert ownership.previous_owner_until_ms == ownership.won_ms + PERMIT_VALID_MS

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


def test_failed_owner_steps_down_and_leaves_the_first_claim_to_others(harness):
    """Guard against an owner that keeps its claim after a failure, or that reclaims in a loop."""

    async def crash(self):
        raise RuntimeError("a background task failed")

    async def claim_after(ms):
        for _ in range(round(ms / POLL_INTERVAL_MS)):
            harness.now += POLL_INTERVAL_MS
            harness.read()
        await harness.settle()
        return harness.owner_router.local_owner is not None

    async def run():
        harness.read()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeOwner, "run", crash)
            await harness.settle()
            assert harness.owner_router.local_owner is None
            assert not await claim_after(HEARTBEAT_STALE_MS + POLL_INTERVAL_MS)
            first_token = harness.store.rows[OWNER_ROW_KEY].version
            await claim_after(HEARTBEAT_STALE_MS)
            assert harness.store.rows[OWNER_ROW_KEY].version > first_token
            assert harness.owner_router.local_owner is None
        assert not await claim_after(2 * HEARTBEAT_STALE_MS + POLL_INTERVAL_MS)
        assert await claim_after(2 * HEARTBEAT_STALE_MS)

    asyncio.run(run())


def test_released_cell_is_left_to_the_named_successor(harness):
    """Guard against a small instance that claims the cell before the successor has."""

    async def run():
        harness.write(owner=encode_claim(attrs.evolve(RELEASED, successor="other")))
        harness.read()
        await harness.settle()
        assert harness.owner_router.local_owner is None

    asyncio.run(run())


def test_named_successor_claims_without_delay(monkeypatch):
    """Guard against a handover that leaves the cell without an owner for long."""
    harness = ElectionHarness(monkeypatch, MachineSize(0.1, 1.0))

    async def run():
        harness.write(owner=encode_claim(attrs.evolve(RELEASED, successor="me")))
        harness.read()
        await harness.settle()
        assert harness.owner_router.local_owner is not None

    asyncio.run(run())


def test_absent_successor_only_delays_the_claim_of_others(monkeypatch):
    """Guard against a cell without an owner because its successor has ended."""
    monkeypatch.setattr(election_module, "SUCCESSOR_HEAD_START_S", 0.0)
    harness = ElectionHarness(monkeypatch)

    async def run():
        harness.write(owner=encode_claim(attrs.evolve(RELEASED, successor="other")))
        harness.read()
        await harness.settle()
        assert harness.owner_router.local_owner is not None

    asyncio.run(run())


def test_owner_that_hands_over_names_the_successor_and_claims_no_more(harness):
    """Guard against a handover after which the same instance owns the cell again."""

    async def run():
        harness.read()
        await harness.settle()
        await harness.election.hand_over("other")
        claim = decode_claim(harness.store.rows[OWNER_ROW_KEY].value)
        assert claim.is_released
        assert claim.successor == "other"
        harness.read()
        await harness.settle()
        assert harness.owner_router.local_owner is None

    asyncio.run(run())


def start_to_drain(harness):
    harness.election.is_draining = True


def lose_the_store(harness):
    harness.health.last_failure_ms = harness.now


def slow_the_store_down(harness):
    harness.health.last_commit_ms = harness.now
    harness.health.last_commit_took_ms = MAX_STABLE_COMMIT_MS


def test_slow_write_of_long_ago_does_not_matter(harness):
    """Guard against a small owner that keeps the cell because a larger instance writes rarely."""
    harness.write(owner=encode_claim(OTHER), heartbeat=b"1")
    slow_the_store_down(harness)
    harness.now += STABLE_AFTER_MS
    harness.health.last_answer_ms = harness.now
    harness.read()
    assert harness.election.is_ready_to_own()


def lose_the_owner(harness):
    harness.owner_link.state = OwnerLinkState.SILENT


def read_no_longer(harness):
    harness.now += MAX_READ_AGE_MS + 1
    harness.health.last_answer_ms = harness.now


@pytest.mark.parametrize(
    "impair",
    [start_to_drain, lose_the_store, slow_the_store_down, lose_the_owner, read_no_longer],
)
def test_impaired_instance_is_not_ready_to_own_the_cell(harness, impair):
    """Guard against a handover to an instance that would not claim or could not load the cell."""
    harness.write(owner=encode_claim(OTHER), heartbeat=b"1")
    harness.read()
    assert harness.election.is_ready_to_own()
    impair(harness)
    assert not harness.election.is_ready_to_own()


def test_won_claim_says_the_size_of_the_machine(harness, fields_of):
    """Guard against an owner too small for the cell that can't be told from a large one."""

    async def run():
        harness.read()
        await harness.settle()

    asyncio.run(run())
    fields = fields_of(Event.CLAIM_WON)[0]
    assert (fields["cores"], fields["link_mbps"]) == (4.0, 1000.0)


def test_heartbeats_carry_expected_waits_once_and_with_their_age(harness):
    """Guard against figures that look new because the owner repeats them."""
    waits = JobWaits((), 0.0, 40)
    owner = SimpleNamespace(
        job_waits=lambda: KnownWaits(waits, harness.now - 200.0), refuse_jobs_ms=lambda: 0.0
    )
    first = harness.election._make_heartbeat(owner)
    assert first.waits == attrs.evolve(waits, age_ms=200.0)
    assert harness.election._make_heartbeat(owner).waits is None
    owner.job_waits = lambda: None
    assert harness.election._make_heartbeat(owner).waits is None


def test_an_owner_that_was_frozen_in_its_claim_renews_no_lease_unconfirmed(harness, monkeypatch):
    """Guard against leases that it extends after a later owner has counted them as ended."""
    monkeypatch.setattr(progress_writer, "monotonic_ms", lambda: harness.now)

    def freeze(txn):
        harness.now += CONFIRMATION_VALID_MS
        return ""

    async def run():
        harness.store.choose_failure = freeze
        harness.read()
        await harness.settle()
        assert harness.owner_router.local_owner is not None
        assert harness.election._authority_ends_ms() <= harness.now

    asyncio.run(run())
