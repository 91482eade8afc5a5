"""Forward queued work to another shard that has quota and capacity for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Protocol

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.model import Outcome, Request, Task, WorkKind
from baobabhoist.ownership.request_keys import RequestKeyLedger, RequestKeyState, Result

# Work that starts within this time is not worth forwarding.
FORWARD_DELAY_S = 0.05
# Digests of other shards are up to 0.3 s old. A refused request waits longer than that, so that
# the next attempt sees newer digests.
FORWARD_RETRY_DELAY_S = 0.5
MAX_FORWARDS_PER_TICK = 32

ForwardRequest = Callable[[Request], tuple[str, Awaitable[Result]] | None]
"""Send a request to another shard and return that shard and an awaitable result.

None means that no other shard has room.
"""


@attrs.define(eq=False)
class PendingRequest:
    """Track a request without a result; times are Unix seconds.

    `arrived_forwarded` marks a request that another shard forwarded to this one. While
    `is_forwarding` is set, the shard `target` has the request.
    """

    req: Request
    fut: asyncio.Future[Result]
    forward_at: float
    opened_at: float = 0.0
    arrived_forwarded: bool = False
    is_forwarding: bool = False
    target: str = ""


def is_queued(keys: RequestKeyLedger, entry: PendingRequest) -> bool:
    """Return whether a request waits in the queue of this shard."""
    key = keys.entries.get(entry.req.request_id)
    return key is not None and key.state is RequestKeyState.QUEUED and not entry.is_forwarding


class TaskQueue(Protocol):
    """Define what forwarding needs from the scheduler."""

    def cancel(self, task_id: str) -> bool:
        """Remove a queued task; return whether it was still queued."""

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue a task, or return why it can never run here."""


class HomeShard(Protocol):
    """Define the shard that forwards requests and keeps the state of their keys."""

    pending: dict[str, PendingRequest]
    keys: RequestKeyLedger

    @property
    def is_usable(self) -> bool:
        """Return whether the shard may start work."""

    @property
    def queue(self) -> TaskQueue:
        """Return the scheduler."""

    @property
    def now(self) -> float:
        """Return the time in Unix seconds."""

    def was_owned_at(self, at: float) -> bool:
        """Return whether the shard was certainly owned here at a time; else start to verify it.

        No worker of this shard would reject a request that a superseded owner forwards.
        """

    def dispatch(self, now: float) -> None:
        """Start the tasks that fit now."""

    def finish(self, request_id: str, result: Result) -> Result:
        """Store the result of a request."""

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""


class Forwarder:
    """Forward waiting requests to other shards, except those that arrived forwarded."""

    def __init__(self, home: HomeShard, forward: ForwardRequest) -> None:
        self._home = home
        self._forward = forward

    def tick(self, now: float) -> None:
        """Forward a bounded number of waiting requests."""
        home, forwarded_count = self._home, 0
        # If one request of a team and kind finds no room, neither do the others in this tick.
        full_classes: set[tuple[str, WorkKind]] = set()
        if not home.is_usable:
            return
        for entry in list(home.pending.values()):
            if forwarded_count >= MAX_FORWARDS_PER_TICK:
                return
            work_class = (entry.req.task.team, entry.req.task.kind)
            is_due = now >= entry.forward_at and not entry.arrived_forwarded
            if not is_due or work_class in full_classes or not is_queued(home.keys, entry):
                continue
            # The next owner of this shard cannot know which requests were forwarded. It reports
            # keys older than its takeover as unknown but may run idempotent work again, which
            # the other shard may still be running.
            if entry.req.task.idempotent or not home.was_owned_at(entry.opened_at):
                continue
            forward = self._forward(entry.req)
            if forward is None:
                full_classes.add(work_class)
            else:
                entry.target, pending_result = forward
                home.queue.cancel(entry.req.request_id)
                entry.is_forwarding = True
                forwarded_count += 1
                home.spawn(self._await_result(entry, pending_result))

    def forwarded_ids(self) -> set[str]:
        """Return the ids of the requests that other shards have now."""
        return {
            request_id for request_id, entry in self._home.pending.items() if entry.is_forwarding
        }

    def forward_targets(self, task_ids: Iterable[str]) -> dict[str, str]:
        """Return the target shard of each of these requests that is forwarded now."""
        entries = ((request_id, self._home.pending.get(request_id)) for request_id in task_ids)
        return {
            request_id: entry.target
            for request_id, entry in entries
            if entry and entry.is_forwarding
        }

    def mark_forwarded_dispatched(self) -> None:
        """Mark the keys of forwarded requests as dispatched, before the queue is dropped."""
        for entry in self._home.pending.values():
            key = self._home.keys.entries.get(entry.req.request_id)
            if entry.is_forwarding and key is not None and key.state is RequestKeyState.QUEUED:
                self._home.keys.record_dispatch(entry.req.request_id)

    async def _await_result(
        self, entry: PendingRequest, pending_result: Awaitable[Result]
    ) -> None:
        """Store the result of the other shard, or requeue the request if it was not run there."""
        result = await pending_result
        home, now = self._home, self._home.now
        entry.is_forwarding = False
        is_not_run = isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN
        is_still_queued = is_queued(home.keys, entry)
        if is_still_queued and is_not_run and now < entry.req.task.deadline and home.is_usable:
            entry.forward_at = now + FORWARD_RETRY_DELAY_S
            refusal = home.queue.enqueue(entry.req.task, now)
            if refusal is None:
                home.dispatch(now)
                return
            result = refusal
        elif is_still_queued and not is_not_run:
            home.keys.record_dispatch(entry.req.request_id)
        home.finish(entry.req.request_id, result)
