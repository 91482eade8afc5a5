"""Provide in-memory workers and shard owners that use them, for tests."""

import asyncio
import time

from baobabhoist.daemon import claim_driver, dispatch, shard_owner
from baobabhoist.daemon.dispatch import LeaseSettings
from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.model import Request, Resources, Task, WorkerSpec, WorkKind
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState, ClaimTiming
from baobabhoist.testing.worker import Worker
from baobabhoist.upstream.messages import QueryOutcome, RunTask

WAIT_TIMEOUT_S = 10.0
CAPACITY = Resources(16000, 65536, 0, 4)


def shorten_intervals(monkeypatch):
    """Shorten the intervals of shard owners, so that tests run quickly."""
    for name, value in {"RENEW_INTERVAL_S": 0.05, "EPOCH_CONFIRM_INTERVAL_S": 0.05}.items():
        monkeypatch.setattr(claim_driver, name, value)
    monkeypatch.setattr(claim_driver, "FENCE_RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(claim_driver, "TICK_INTERVAL_S", 0.02)
    monkeypatch.setattr(dispatch, "QUERY_INTERVAL_S", 0.01)
    monkeypatch.setattr(shard_owner, "TICK_INTERVAL_S", 0.02)


class MemoryLink:
    """Connect an owner to an in-memory worker; `lose_next_reply` fails one call after it ran."""

    def __init__(self, spec, on_change, workers):
        self.spec = spec
        self.up = True
        self.lose_next_reply = False
        self.calls = []
        self._open = False
        self._on_change = on_change
        self._workers = workers
        self._broken = asyncio.Event()

    @property
    def is_connected(self):
        return self.up and self._open

    async def run(self):
        while True:
            if self.up and not self._open:
                self._open = True
                await self._on_change(self.spec.name, True)
            if not self.up and self._open:
                self._open = False
                await self._on_change(self.spec.name, False)
            await asyncio.sleep(0.005)

    async def call(self, message, timeout_s):
        if not self.is_connected:
            raise MessageNotSentError("not connected")
        self.calls.append(message)
        worker = self._workers[self.spec.name]
        broken = self._broken
        running = asyncio.ensure_future(worker.handle(message))
        if self.lose_next_reply and isinstance(message, RunTask):
            self.lose_next_reply = False
            await asyncio.sleep(0)
            raise LinkClosedError("broken")
        breaking = asyncio.ensure_future(broken.wait())
        done, _ = await asyncio.wait(
            (running, breaking), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        breaking.cancel()
        if running in done:
            return running.result()
        if breaking in done:
            raise LinkClosedError("broken")
        raise TimeoutError

    def cut(self):
        """Break all calls in flight and refuse new connections."""
        self.up = False
        self._broken.set()
        self._broken = asyncio.Event()

    def reconnect(self):
        self._broken.set()
        self._broken = asyncio.Event()

    def sent(self, kind):
        return [message for message in self.calls if isinstance(message, kind)]


class ShardHarness:
    """Run the workers of one shard and the owners that compete for it."""

    def __init__(self, table, names=("w1", "w2"), run_s=0.0, shard="r"):
        self.shard = shard
        self.table = table
        self.workers = {name: Worker(name, CAPACITY, run_s) for name in names}
        self.specs = [WorkerSpec(name, "127.0.0.1", 1, "r", CAPACITY) for name in names]
        self.limit = {"team": 8}
        self.tasks = []

    def make_owner(self, name, **options):
        """Return an owner and its links by worker; call `start` to run it."""
        links = {}

        def make_link(spec, on_change):
            links[spec.name] = MemoryLink(spec, on_change, self.workers)
            return links[spec.name]

        claim = ShardClaim(
            self.shard, name, tuple(self.workers), times=ClaimTiming(0.05, 0.05, 0.01, 0.05)
        )
        owner = ShardOwner(
            claim,
            self.specs,
            self.table,
            lambda shard: self.limit,
            lease_settings=LeaseSettings(options.pop("lease_s", 3.0), 0.0),
            make_link=make_link,
            **options,
        )
        return owner, links

    def start(self, owner):
        """Run an owner in the background."""
        return self.spawn(owner.run())

    def spawn(self, coro):
        """Run a coroutine until the harness is closed."""
        task = asyncio.ensure_future(coro)
        self.tasks.append(task)
        return task

    async def start_owner(self, name, **options):
        """Start an owner and wait until it owns the shard."""
        owner, links = self.make_owner(name, **options)
        self.start(owner)
        await until(lambda: owner.claim.state is ClaimState.OWNED)
        return owner, links

    async def close(self):
        """Stop all owners."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def until(condition):
    """Wait until a condition holds; fail if it does not within the timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the condition never held")
        await asyncio.sleep(0.005)


def request(name, payload=b"x", deadline_s=20.0, idempotent=False, first_attempt=True, **more):
    """Return a request for the shard `r`."""
    now = time.time()
    task = Task(
        name,
        "team",
        "queue",
        WorkKind.REQUEST,
        Resources(),
        now + deadline_s,
        now,
        idempotent=idempotent,
        payload=payload,
    )
    first_sent_at = more.pop("first_sent_at", now)
    return Request(name, more.pop("shard", "r"), first_sent_at, task, first_attempt)


def queried_task_ids(link):
    """Return the ids of the tasks whose outcome was queried over a link."""
    return [message.task_id for message in link.sent(QueryOutcome)]
