"""Test what an instance knows of the owner through its link."""

import asyncio
from types import SimpleNamespace

from baobabhoist.cell.expected_waits import ExpectedWait
from baobabhoist.control.claim import ClaimRow
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.job_admission import MAX_WAITS_AGE_MS
from baobabhoist.control.links import Identity, OwnerLink
from baobabhoist.control.messages import CODEC, JobWaits, OwnerHeartbeat
from baobabhoist.control.owner_router import OwnerRouter


def make_router(local_owner=None):
    router = OwnerRouter("n1", SimpleNamespace())
    router.owner_link = OwnerLink(Identity("n1", "boot"), router.handle, lambda: None)
    router.owner_link.link = SimpleNamespace()
    router.local_owner = local_owner
    return router


def hear_heartbeat(router, refuse_jobs_ms):
    asyncio.run(router.owner_link._handle(OwnerHeartbeat(refuse_jobs_ms=refuse_jobs_ms)))


def test_an_instance_refuses_jobs_as_long_as_the_owner_asks_for():
    """Guard against instances that go on accepting jobs for an overloaded owner."""
    router = make_router()
    hear_heartbeat(router, 60_000.0)
    assert 0.0 < router.refuse_jobs_ms() <= 60_000.0
    router.owner_link.refuse_jobs_until_ms = monotonic_ms() - 1.0
    assert router.refuse_jobs_ms() == 0.0


def test_the_next_heartbeat_ends_the_refusals():
    """Guard against refusals that go on after the owner has caught up."""
    router = make_router()
    hear_heartbeat(router, 60_000.0)
    hear_heartbeat(router, 0.0)
    assert router.refuse_jobs_ms() == 0.0


def test_without_a_link_nothing_is_refused_for_the_owner():
    """Guard against refusals in the name of an owner that is gone."""
    router = make_router()
    hear_heartbeat(router, 60_000.0)
    router.owner_link.link = None
    assert router.refuse_jobs_ms() == 0.0


def test_the_owner_itself_refuses_jobs_too():
    """Guard against an overloaded owner that accepts the jobs of its own callers."""
    router = make_router(SimpleNamespace(refuse_jobs_ms=lambda: 1_500.0))
    assert router.refuse_jobs_ms() == 1_500.0


WAITS = JobWaits((ExpectedWait("team", "", 1, "team_limit", 1.0, 2.0, 3.0),), 100.0, 40)


def hear_waits(router, waits):
    asyncio.run(router.owner_link._handle(OwnerHeartbeat(waits=waits)))


def test_expected_waits_keep_their_age_and_survive_heartbeats_without_news():
    """Guard against old figures that look new because they were sent late."""
    router = make_router()
    hear_waits(router, WAITS)
    hear_waits(router, None)
    known = router.job_waits()
    assert known.waits == WAITS
    assert known.computed_ms <= monotonic_ms() - 100.0
    assert not known.is_recent(known.computed_ms + MAX_WAITS_AGE_MS + 1.0)


def test_figures_of_an_older_owner_are_dropped():
    """Guard against refusals in the name of an owner that has been replaced."""
    router = make_router()
    hear_waits(router, WAITS)
    asyncio.run(_connect_to(router, ClaimRow("n2", "boot2", "127.0.0.1:1", 0)))
    router.owner_link.link = SimpleNamespace()
    assert router.job_waits() is None


async def _connect_to(router, claim):
    router.owner_link.connect_to(claim)
    router.owner_link.connect_to(None)


def test_figures_are_not_used_without_a_link():
    """Guard against refusals by an instance that is cut off from the owner."""
    router = make_router()
    hear_waits(router, WAITS)
    router.owner_link.link = None
    assert router.job_waits() is None


def test_instances_of_versions_with_and_without_expected_waits_understand_each_other():
    """Guard against a link that breaks while instances are upgraded."""
    old = CODEC.converter.unstructure(OwnerHeartbeat(True, 5.0))
    del old["waits"]
    assert CODEC.converter.structure(old, OwnerHeartbeat) == OwnerHeartbeat(True, 5.0, None)
    new = OwnerHeartbeat(waits=WAITS)
    assert CODEC.decode(CODEC.encode(new)).message == new
    # An earlier version ignores fields that it does not know.
    unknown = CODEC.converter.unstructure(new) | {"later": 1}
    assert CODEC.converter.structure(unknown, OwnerHeartbeat) == new
