"""Test shard owners when tokens are superseded and connections, workers or the table fail."""

import asyncio
import time

import attrs
import pytest

from baobabhoist.daemon.preemption import apply_preemption
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Answer, EndedTask, Outcome
from baobabhoist.ownership.events import ClaimState
from baobabhoist.ownership.tokens import Token
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.results import Preemption
from baobabhoist.testing.worker import Worker
from baobabhoist.tests.memory_table import MemoryTable
from baobabhoist.tests.shard_harness import (
    CAPACITY,
    ShardHarness,
    queried_task_ids,
    request,
    shorten_intervals,
    until,
)
from baobabhoist.upstream.messages import FenceWorker, RunTask

LONG = b'{"run_s": 60}'
SHORT = b'{"run_s": 0.3}'


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    shorten_intervals(monkeypatch)


def scenario(**options):
    """Run an async test with a harness of in-memory workers."""

    def wrap(test):
        def run():
            async def body():
                harness = ShardHarness(MemoryTable(), **options)
                try:
                    await test(harness)
                finally:
                    await harness.close()

            asyncio.run(body())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap


async def present_higher_token(harness, epoch=9):
    for worker in harness.workers.values():
        await worker.handle(FenceWorker("r", Token(epoch, 0, "other")))


@scenario()
async def test_a_superseded_owner_reports_true_outcomes_and_stops(harness):
    """Guard against `not_run` for dispatched work, and a queue that survives its owner."""
    harness.limit = {"team": 1}
    owner, _ = await harness.start_owner("a")
    dispatched = asyncio.ensure_future(owner.submit(request("running", SHORT)))
    await until(lambda: owner.worker_of("running"))
    queued = asyncio.ensure_future(owner.submit(request("queued")))
    await asyncio.sleep(0.02)
    await present_higher_token(harness)
    refusal = await queued
    assert (refusal.kind, refusal.outcome) == (ErrorKind.SHARD_UNAVAILABLE, Outcome.NOT_RUN)
    assert owner.claim.state is ClaimState.LOST
    # The worker answers the call in flight although a higher token was presented.
    assert isinstance(await dispatched, Answer)
    await asyncio.wait_for(harness.tasks[0], 5)
    refusal = await owner.submit(request("later"))
    assert (refusal.kind, refusal.outcome) == (ErrorKind.SHARD_UNAVAILABLE, Outcome.NOT_RUN)


@scenario()
async def test_a_queued_key_that_another_owner_may_have_is_not_reported_not_run(harness):
    """Guard against `not_run` for a key that may run under the next owner."""
    harness.limit = {"team": 1}
    owner, _ = await harness.start_owner("a")
    harness.spawn(owner.submit(request("running", SHORT)))
    later = time.time() + 5
    again = request("resent", first_attempt=False, first_sent_at=later)
    queued = asyncio.ensure_future(owner.submit(again))
    await asyncio.sleep(0.02)
    await present_higher_token(harness)
    assert (await queued).outcome is Outcome.UNKNOWN


@scenario()
async def test_a_resumed_owner_starts_no_work(harness):
    """Guard against an owner that was paused during a takeover and then starts work."""
    old, _ = await harness.start_owner("a")
    old.claim_driver._count_renewal_timeout = lambda worker: None
    await present_higher_token(harness)
    result = await old.submit(request("late"))
    assert (result.kind, result.outcome) == (ErrorKind.SHARD_UNAVAILABLE, Outcome.NOT_RUN)
    assert not any(worker.running or worker.ended for worker in harness.workers.values())


@scenario()
async def test_a_new_owner_counts_adopted_tasks_and_answers_ended_ones(harness):
    """Guard against quota used twice and requests run twice after a takeover."""
    harness.limit = {"team": 2}
    old, _ = await harness.start_owner("a")
    large = b"y" * 10_000
    done = await old.submit(request("done", large))
    harness.spawn(old.submit(request("long", SHORT)))
    await until(lambda: any(worker.running for worker in harness.workers.values()))
    new, _ = await harness.start_owner("b")
    assert new.quota_ledger.used["team"] == 1
    # A repeated key gets its stored answer, whose large body only the worker stores.
    again = await new.submit(request("done", large, first_attempt=False))
    assert again.body == done.body
    joined = await new.submit(request("long", SHORT, first_attempt=False))
    assert isinstance(joined, Answer)
    await until(lambda: new.quota_ledger.used["team"] == 0)
    assert sum("long" in worker.ended for worker in harness.workers.values()) == 1


@scenario()
async def test_a_key_that_no_inventory_names_is_unknown_after_a_takeover(harness):
    """Guard against a second run of a request that the last owner may have dispatched."""
    await harness.start_owner("a")
    before = time.time() - 1.0
    new, _ = await harness.start_owner("b")
    result = await new.submit(request("maybe", first_attempt=False, first_sent_at=before))
    assert result.outcome is Outcome.UNKNOWN
    assert not any(worker.ended for worker in harness.workers.values())


@scenario()
async def test_a_takeover_without_the_table_uses_only_the_places_in_use(harness):
    """Guard against a limit exceeded by an owner whose epoch the table has not confirmed."""
    old, _ = await harness.start_owner("a")
    harness.spawn(old.submit(request("long", LONG)))
    await until(lambda: old.worker_of("long"))
    harness.table.down = True
    new, _ = harness.make_owner("b")
    new.claim.highest_token_seen = old.claim.token
    harness.start(new)
    await until(lambda: new.claim.state is ClaimState.OWNED)
    assert new.quota_ledger.allowed("team") == 1
    waiting = asyncio.ensure_future(new.submit(request("next")))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    harness.table.down = False
    # Once the table confirms the epoch, the owner gets its full escrow without losing ownership.
    assert isinstance(await asyncio.wait_for(waiting, 5), Answer)
    assert new.claim.is_epoch_committed
    assert new.quota_ledger.allowed("team") == 8
    assert harness.table.rows["shard/r"].value["epoch"] == new.claim.token.epoch


@scenario()
async def test_two_claimants_end_with_one_owner(harness):
    """Guard against claimants that supersede each other for ever, or both own the shard."""
    for down in (False, True):
        harness.table.down = down
        claimants = {name: harness.make_owner(f"{name}{down}")[0] for name in ("a", "b")}

        async def contend(name, claimants=claimants):
            while True:
                owner = claimants[name]
                others = [other for other in claimants.values() if other is not owner]
                if not any(other.claim.state is ClaimState.OWNED for other in others):
                    task = harness.start(owner)
                    await owner.claim_driver.ended.wait()
                    await asyncio.wait((task,), timeout=0.1)
                    seen = owner.claim.highest_token_seen
                    owner, _ = harness.make_owner(owner.claim.instance_id)
                    owner.claim.highest_token_seen = seen
                    claimants[name] = owner
                # Random backoff, so that the claimants do not collide again.
                await asyncio.sleep(owner.claim.rng.uniform(0.01, 0.05))

        tasks = [asyncio.ensure_future(contend(name)) for name in claimants]
        await until(
            lambda c=claimants: sum(o.claim.state is ClaimState.OWNED for o in c.values()) == 1
        )
        (winner,) = (o for o in claimants.values() if o.claim.state is ClaimState.OWNED)
        assert all(w.fence.highest_token == winner.claim.token for w in harness.workers.values())
        for task in tasks:
            task.cancel()
        await harness.close()


@scenario(names=("w1",))
async def test_a_task_whose_reply_was_lost_is_queried_and_not_run_again(harness):
    """Guard against a second run, or a lost answer, when a worker's connection breaks."""
    owner, links = await harness.start_owner("a")
    links["w1"].lose_next_reply = True
    result = await owner.submit(request("once", SHORT))
    assert isinstance(result, Answer)
    assert "once" in queried_task_ids(links["w1"])
    assert len(links["w1"].sent(RunTask)) == 1


@scenario()
async def test_an_unreachable_worker_holds_its_place_until_the_lease_has_expired(harness):
    """Guard against idempotent work that runs on two workers, or quota used twice."""
    owner, links = await harness.start_owner("a", lease_s=0.4)
    result = asyncio.ensure_future(owner.submit(request("twice", SHORT, idempotent=True)))
    await until(lambda: owner.worker_of("twice"))
    first = owner.worker_of("twice")
    other = ({"w1", "w2"} - {first}).pop()
    links[first].cut()
    await asyncio.sleep(0.05)
    assert owner.quota_ledger.used["team"] == 1
    assert not links[other].sent(RunTask)
    assert isinstance(await result, Answer)
    sent = [call for link in links.values() for call in link.sent(RunTask)]
    assert len(sent) == 2
    leases = [call.lease_deadline for call in links[first].sent(RunTask)]
    assert links[other].sent(RunTask)[0].lease_deadline - 0.4 > leases[0]


@scenario(names=("w1",))
async def test_work_lost_by_a_restarted_worker_is_reported_unknown(harness):
    """Guard against `not_run` for work that a worker ran before it lost its state."""
    owner, links = await harness.start_owner("a")
    result = asyncio.ensure_future(owner.submit(request("forgotten", LONG)))
    await until(lambda: owner.worker_of("forgotten"))
    links["w1"].cut()
    harness.workers["w1"] = Worker("w1", CAPACITY)
    links["w1"].up = True
    assert (await result).outcome is Outcome.UNKNOWN
    assert isinstance(await owner.submit(request("next")), Answer)


@scenario()
async def test_a_leaving_worker_gets_no_new_work(harness):
    """Guard against work sent to a leaving worker, and one that never becomes usable again."""
    owner, links = await harness.start_owner("a")
    owner.set_leaving_workers({"w1"})
    for number in range(4):
        await owner.submit(request(f"t{number}"))
    assert not links["w1"].sent(RunTask)
    owner.set_leaving_workers({"w2"})
    await owner.submit(request("back"))
    assert len(links["w1"].sent(RunTask)) == 1


@scenario()
async def test_workers_are_added_and_removed_while_the_shard_is_owned(harness):
    """Guard against an added worker used before its fence, and a removed one used at all."""
    owner, links = await harness.start_owner("a")
    harness.workers["w3"] = Worker("w3", CAPACITY)
    spec = attrs.evolve(harness.specs[0], name="w3")
    await owner.set_workers([spec])
    await until(lambda: owner.claim.can_dispatch_to("w3") and links["w3"].is_connected)
    await owner.submit(request("new"))
    assert isinstance(links["w3"].calls[0], FenceWorker)
    assert len(links["w3"].sent(RunTask)) == 1
    assert not links["w1"].sent(RunTask) + links["w2"].sent(RunTask)


@scenario()
async def test_a_deadline_ends_the_wait_with_the_known_outcome(harness):
    """Guard against a caller that waits past its deadline, and a wrong outcome afterwards."""
    harness.limit = {"team": 1}
    owner, _ = await harness.start_owner("a")
    running = asyncio.ensure_future(owner.submit(request("running", LONG, deadline_s=0.2)))
    await until(lambda: owner.worker_of("running"))
    queued = await owner.submit(request("queued", deadline_s=0.1))
    assert queued.outcome is Outcome.NOT_RUN
    assert (await running).outcome is Outcome.UNKNOWN


@scenario()
async def test_a_hand_over_moves_the_queue_and_interrupts_nothing(harness):
    """Guard against requests lost or run twice when a shard moves to another instance."""
    harness.limit = {"team": 1}
    messages = []

    async def send(successor, message):
        messages.append(message)
        return True

    old, _ = await harness.start_owner("a", send_hand_over=send)
    running = asyncio.ensure_future(old.submit(request("running", SHORT)))
    await until(lambda: old.worker_of("running"))
    queued = asyncio.ensure_future(old.submit(request("queued")))
    await asyncio.sleep(0.02)
    assert await old.claim_driver.hand_over("b")
    moved = await queued
    assert isinstance(moved, Refusal)
    assert (moved.kind, moved.outcome) == (ErrorKind.SHARD_UNAVAILABLE, Outcome.UNKNOWN)
    new, _ = await harness.start_owner("b", inherited=messages[0])
    assert isinstance(await new.submit(request("queued", first_attempt=False)), Answer)
    assert isinstance(await running, Answer)
    # A planned hand-over leaves no gap, so a key that was sent before it still runs.
    before = time.time() - 0.1
    early = request("early", first_attempt=False, first_sent_at=before)
    assert isinstance(await new.submit(early), Answer)
    assert sum("queued" in worker.ended for worker in harness.workers.values()) == 1


@scenario()
async def test_large_inventories_arrive_in_pages(harness):
    """Guard against a truncated inventory, or one that exceeds the size of a message."""
    worker = harness.workers["w1"]
    for number in range(1300):
        worker.ended[f"e{number}"] = EndedTask(f"e{number}", "team", True, b"z" * 2000)
    owner, _ = await harness.start_owner("a")
    again = await owner.submit(request("e1299", first_attempt=False, first_sent_at=0.0))
    assert again.body == b"z" * 2000


@scenario()
async def test_a_hand_over_to_an_owner_that_was_not_next_leaves_old_keys_unknown(harness):
    """Guard against a second run of keys that an owner in between may have run."""
    messages = []

    async def send(successor, message):
        messages.append(message)
        return True

    old, _ = await harness.start_owner("a", send_hand_over=send)
    assert await old.claim_driver.hand_over("c")
    before = time.time()
    await harness.start_owner("b")
    new, _ = await harness.start_owner("c", inherited=messages[0])
    early = request("early", first_attempt=False, first_sent_at=before)
    assert (await new.submit(early)).outcome is Outcome.UNKNOWN


@scenario()
async def test_a_key_that_was_dispatched_before_a_hand_over_never_runs_again(harness):
    """Guard against a second run when the worker of a handed-over key lost its record."""
    messages = []

    async def send(successor, message):
        messages.append(message)
        return True

    old, _ = await harness.start_owner("a", send_hand_over=send)
    first_sent_at = time.time() + 1.0
    running = harness.spawn(old.submit(request("once", LONG, first_sent_at=first_sent_at)))
    await until(lambda: old.worker_of("once"))
    name = old.worker_of("once")
    assert await old.claim_driver.hand_over("b")
    running.cancel()
    harness.workers[name].running.clear()
    new, _ = await harness.start_owner("b", inherited=messages[0])
    again = request("once", LONG, first_attempt=False, first_sent_at=first_sent_at)
    assert (await new.submit(again)).outcome is Outcome.UNKNOWN


@scenario()
async def test_forwarded_work_that_was_not_run_is_queued_at_home_again(harness):
    """Guard against a refusal by another shard that ends a request which could still run."""
    harness.limit = {"team": 1}
    asked = []

    def forward(req):
        asked.append(req.request_id)

        async def refuse():
            return Refusal(ErrorKind.NO_CAPACITY, "full by now")

        return "elsewhere", refuse()

    owner, _ = await harness.start_owner("a", forward=forward)
    harness.spawn(owner.submit(request("first", SHORT)))
    await until(lambda: owner.worker_of("first"))
    assert isinstance(await owner.submit(request("second")), Answer)
    assert asked == ["second"]


@scenario()
async def test_forwarded_work_is_not_reported_not_run_when_its_home_is_lost(harness):
    """Guard against `not_run` for a request that another shard is still running."""
    harness.limit = {"team": 1}
    answered = asyncio.Event()

    def forward(req):
        async def answer():
            await answered.wait()
            return Answer(req.request_id, 200, b"from elsewhere")

        return "elsewhere", answer()

    owner, _ = await harness.start_owner("a", forward=forward)
    harness.spawn(owner.submit(request("first", LONG)))
    await until(lambda: owner.worker_of("first"))
    second = harness.spawn(owner.submit(request("second")))
    await until(owner.forwarder.forwarded_ids)
    await present_higher_token(harness)
    await until(lambda: owner.claim.state is ClaimState.LOST)
    await asyncio.sleep(0.02)
    assert not second.done()
    answered.set()
    assert (await second).body == b"from elsewhere"


@scenario()
async def test_a_superseded_owner_forwards_nothing(harness):
    """Guard against a second run: no worker of the home shard can reject a stale forward."""
    harness.limit = {"team": 1}
    forwarded = []
    owner, _ = await harness.start_owner("a", forward=lambda req: forwarded.append(req.request_id))
    harness.spawn(owner.submit(request("first", LONG)))
    await until(lambda: owner.worker_of("first"))
    await present_higher_token(harness)
    second = await owner.submit(request("second", first_attempt=False, first_sent_at=time.time()))
    assert second.outcome is Outcome.UNKNOWN
    assert forwarded == []


@scenario()
async def test_idempotent_work_is_not_forwarded(harness):
    """Guard against a next owner that repeats work which another shard is still running."""
    harness.limit = {"team": 1}
    forwarded = []
    owner, _ = await harness.start_owner("a", forward=lambda req: forwarded.append(req.request_id))
    harness.spawn(owner.submit(request("first", SHORT)))
    await until(lambda: owner.worker_of("first"))
    plain = harness.spawn(owner.submit(request("plain")))
    again = harness.spawn(owner.submit(request("again", idempotent=True)))
    await asyncio.gather(plain, again)
    assert set(forwarded) == {"plain"}


@scenario()
async def test_a_task_that_its_owner_stopped_is_not_reported_as_failed(harness):
    """Guard against preemption and lowered limits that count as failures of the task."""
    owner, _ = await harness.start_owner("a")
    stopped = harness.spawn(owner.submit(request("stopped", LONG, idempotent=True)))
    await until(lambda: owner.worker_of("stopped"))
    worker = owner.worker_of("stopped")
    await apply_preemption(owner, Preemption("stopped", worker, PreemptionAction.STOP, "urgent"))
    assert (await stopped).kind is ErrorKind.PREEMPTED
