"""Test the limits per team and kind of work."""

import asyncio

import attrs

from baobabhoist.daemon.digests import build_digest
from baobabhoist.daemon.policies import class_limits
from baobabhoist.daemon.shard_quota import ShardQuota
from baobabhoist.errors import ErrorKind
from baobabhoist.model import Answer, Outcome, Resources, RunningTask, WorkKind
from baobabhoist.quota.class_limits import class_key
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.memory_table import MemoryTable
from baobabhoist.tests.shard_harness import ShardHarness, request, shorten_intervals, until

BATCH = class_key("team", WorkKind.BATCH)


def test_the_parts_of_all_shards_add_up_to_the_class_limit():
    """Guard against shards that together allow more than the record does."""
    view = RecordView()
    body = {"limit": 9, "class_limits": {"batch": 7, "gang": 1}}
    bodies = [("team", "team", body)]
    bodies += [("shard", f"r{n}", {"data_centre": "north", "workers": []}) for n in range(3)]
    for revision, (kind, name, each) in enumerate(bodies, 1):
        view.apply(Record(kind, name, 2 if kind == "team" else 1, revision, each))
    parts = [class_limits(view, shard) for shard in view.shards()]
    assert sorted(part[BATCH] for part in parts) == [2, 2, 3]
    assert sum(part[class_key("team", WorkKind.GANG)] for part in parts) == 1


def places_after_takeover(kinds):
    """Return places of a new owner that found these kinds running on a fenced worker."""
    quota = QuotaLedger("r")
    quota.begin_takeover()
    places = ShardQuota(quota, lambda task_id: WorkKind(task_id.split("-")[0]))
    places.class_ledger.limits = {BATCH: 2}
    running = [
        RunningTask(f"{kind.value}-{n}", "team", Resources(), kind) for n, kind in enumerate(kinds)
    ]
    places.adopt("w1", running)
    return places


def test_a_new_owner_counts_the_kinds_that_already_run():
    """Guard against a takeover after which a kind starts again up to its full limit."""
    places = places_after_takeover([WorkKind.BATCH, WorkKind.REQUEST])
    places.team_ledger.lift_takeover_cap({"team": 9})
    assert places.acquire("team", "batch-8", "w1") is None
    refused = places.acquire("team", "batch-9", "w1")
    assert (refused.kind, "batch" in refused.message) == (ErrorKind.TEAM_LIMIT, True)
    assert places.acquire("team", "request-9", "w1") is None


def test_a_new_owner_under_the_takeover_cap_starts_no_more_of_a_kind_than_it_found():
    """Guard against an excess while workers are not fenced that may run more of the kind."""
    places = places_after_takeover([WorkKind.BATCH, WorkKind.REQUEST])
    places.confirmed_ends.add("request-1")
    places.release("request-1")
    assert places.acquire("team", "batch-8", "w1") is not None
    assert places.acquire("team", "request-8", "w1") is None


def test_an_unconfirmed_end_does_not_free_the_part_of_a_class():
    """Guard against a start while a new owner may still count the ended task."""
    places = places_after_takeover([])
    places.team_ledger.lift_takeover_cap({"team": 9})
    assert [places.acquire("team", f"batch-{n}", "w1") for n in range(2)] == [None, None]
    places.release("batch-0")
    assert places.acquire("team", "batch-2", "w2") is not None
    places.confirm_ends("w1", places.team_ledger.end_watermark())
    assert places.acquire("team", "batch-2", "w2") is None


def test_a_full_class_waits_and_holds_no_other_work_of_the_team_back(monkeypatch):
    """Guard against batch work over its limit, and against requests that wait behind it."""
    shorten_intervals(monkeypatch)

    async def scenario():
        rack = ShardHarness(MemoryTable())
        try:
            owner, _ = await rack.start_owner("a")
            owner.shard_quota.class_ledger.limits = {BATCH: 1}
            calls = []
            for n in range(3):
                req = request(f"b{n}", b'{"run_s": 60}' if n == 0 else b"x")
                req = attrs.evolve(req, task=attrs.evolve(req.task, kind=WorkKind.BATCH))
                calls.append(asyncio.ensure_future(owner.submit(req)))
            await until(lambda: len(owner.pending) == 3 and owner.worker_of("b0"))
            assert isinstance(await owner.submit(request("now")), Answer)
            assert [n for n in range(3) if owner.worker_of(f"b{n}")] == [0]
            assert "batch work" in owner.scheduler.explain("b1", owner.now).message
            digest = build_digest(owner)
            assert (digest.unmet, digest.class_spare) == ({}, {BATCH: 0})
            owner.shard_quota.class_ledger.limits = {BATCH: 0}
            req = request("never", idempotent=True)
            req = attrs.evolve(req, task=attrs.evolve(req.task, kind=WorkKind.BATCH))
            refused = await owner.submit(req)
            # The coordinator of a job sends a refused task to another shard.
            assert (refused.kind, refused.outcome) == (ErrorKind.TEAM_LIMIT, Outcome.NOT_RUN)
            owner.shard_quota.class_ledger.limits = {BATCH: 2}
            assert all(isinstance(result, Answer) for result in await asyncio.gather(*calls[1:]))
            calls[0].cancel()
        finally:
            await rack.close()

    asyncio.run(scenario())
