"""Test the class limits, which bound the tasks of each team and kind of work."""

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
    """Guard against shards that together admit more tasks than the record allows."""
    view = RecordView()
    body = {"limit": 9, "class_limits": {"batch": 7, "gang": 1}}
    records = [("team", "team", body)]
    records += [("shard", f"r{n}", {"data_centre": "north", "workers": []}) for n in range(3)]
    for revision, (kind, name, content) in enumerate(records, 1):
        view.apply(Record(kind, name, 2 if kind == "team" else 1, revision, content))
    parts = [class_limits(view, shard) for shard in view.shards()]
    assert sorted(part[BATCH] for part in parts) == [2, 2, 3]
    assert sum(part[class_key("team", WorkKind.GANG)] for part in parts) == 1


def places_after_takeover(kinds):
    """Return the places of a new owner after a worker reported running tasks of these kinds."""
    quota = QuotaLedger("r")
    quota.begin_takeover()
    places = ShardQuota(quota, lambda task_id: WorkKind(task_id.split("-")[0]))
    places.class_ledger.limits = {BATCH: 2}
    running = [
        RunningTask(f"{kind.value}-{n}", "team", Resources(), kind) for n, kind in enumerate(kinds)
    ]
    places.adopt("w1", running)
    return places


def test_new_owner_counts_the_tasks_of_each_kind_that_already_run():
    """Guard against a new owner that starts tasks up to the class limit beyond those that run."""
    places = places_after_takeover([WorkKind.BATCH, WorkKind.REQUEST])
    places.team_ledger.lift_takeover_cap({"team": 9})
    assert places.acquire("team", "batch-8", "w1") is None
    refused = places.acquire("team", "batch-9", "w1")
    assert (refused.kind, "batch" in refused.message) == (ErrorKind.TEAM_LIMIT, True)
    assert places.acquire("team", "request-9", "w1") is None


def test_takeover_cap_bounds_each_class_to_the_tasks_that_run():
    """Guard against exceeding a class limit while workers that are not fenced yet may run more."""
    places = places_after_takeover([WorkKind.BATCH, WorkKind.REQUEST])
    places.confirmed_ends.add("request-1")
    places.release("request-1")
    assert places.acquire("team", "batch-8", "w1") is not None
    assert places.acquire("team", "request-8", "w1") is None


def test_unconfirmed_end_does_not_release_a_class_place():
    """Guard against a start on another worker while a new owner may still count the ended task."""
    places = places_after_takeover([])
    places.team_ledger.lift_takeover_cap({"team": 9})
    assert [places.acquire("team", f"batch-{n}", "w1") for n in range(2)] == [None, None]
    places.release("batch-0")
    assert places.acquire("team", "batch-2", "w2") is not None
    places.confirm_ends("w1", places.team_ledger.end_watermark())
    assert places.acquire("team", "batch-2", "w2") is None


def test_full_class_waits_without_blocking_other_work_of_the_team(monkeypatch):
    """Guard against batch work above its class limit, and against requests that wait behind it."""
    shorten_intervals(monkeypatch)

    async def scenario():
        harness = ShardHarness(MemoryTable())
        try:
            owner, _ = await harness.start_owner("a")
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
            # The job coordinator can send a refused task to another shard, as it has not run.
            assert (refused.kind, refused.outcome) == (ErrorKind.TEAM_LIMIT, Outcome.NOT_RUN)
            owner.shard_quota.class_ledger.limits = {BATCH: 2}
            assert all(isinstance(result, Answer) for result in await asyncio.gather(*calls[1:]))
            calls[0].cancel()
        finally:
            await harness.close()

    asyncio.run(scenario())
