"""Distribute queries to the placement adviser over the instances, one at a time through each.

The adviser processes the queries of one instance in turn and goes on with those that were given
up. So an instance gets a query only when its last one has ended, and a query that is given up goes
on counting against its instance until the adviser must have finished it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from baobabhoist.cell.model import RequestAdvice
from baobabhoist.control.advice_gate import ANSWER_ALLOWANCE_S, AdviceGate, AdviserBusy
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import Advice, AdviceOutcome
from baobabhoist.control.messages import AdviceQuery, AdviceReply
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# Time for a query and its answer on a link, beyond the time-out of the adviser itself.
LINK_ALLOWANCE_S = 0.3
# An answer counts as late if it comes this long after its expected time.
LATE_ANSWER_MS = 250.0
# An instance whose query failed is not used for this long; each further failure doubles the time.
INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 2_000.0
LOCAL_NODE = ""


class QueryLink(Protocol):
    """Pass queries to another instance."""

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Return the reply; raises LinkClosedError or TimeoutError."""


@attrs.define
class InstanceSlot:
    """Track the query of one instance; all times are on the local clock, in ms."""

    is_open: bool = False
    blocked_until_ms: float = 0.0
    failures: int = 0
    # By how much the last answer was later than expected.
    late_ms: float = 0.0

    def is_free(self, now: float) -> bool:
        """Return whether a query may be sent through the instance."""
        return not self.is_open and now >= self.blocked_until_ms

    def record_answer(self, late_ms: float) -> None:
        """Record an answer and how late it was."""
        self.failures = 0
        self.blocked_until_ms = 0.0
        self.late_ms = max(0.0, late_ms)

    def record_failure(self, done_ms: float, now: float) -> None:
        """Record a query without an answer, with which the adviser may be busy until `done_ms`."""
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**self.failures)
        self.failures += 1
        self.blocked_until_ms = max(done_ms, now + backoff_ms)


@attrs.define
class AdviceDispatcher:
    """Dispatch queries; `links` returns the links to the other instances by node name."""

    gate: AdviceGate
    links: Callable[[], Mapping[str, QueryLink]]
    # Called with the outcome of each query.
    on_outcome: Callable[[AdviceOutcome], None] = lambda outcome: None
    clock: Callable[[], float] = monotonic_ms
    _slots: dict[str, InstanceSlot] = attrs.Factory(dict)

    @property
    def slot_count(self) -> int:
        """Return the number of instances that can ask the adviser."""
        return len(self.links()) + 1

    def count_unavailable(self) -> int:
        """Return how many instances can't take a query now."""
        now = self.clock()
        return sum(not self._slot(node).is_free(now) for node in (LOCAL_NODE, *self.links()))

    async def ask(self, query: RequestAdvice) -> Advice | None:
        """Query the adviser through a free instance; return None if there is no answer."""
        links = dict(self.links())
        node = self._choose((LOCAL_NODE, *links))
        if node is None:
            _log_failure(query, LOCAL_NODE, "no instance is free")
            return None
        slot = self._slot(node)
        slot.is_open = True
        done_ms = self.clock() + query.cost_ms
        advice: Advice | AdviserBusy | None = None
        try:
            advice = await self._ask_through(node, links.get(node), query)
        finally:
            slot.is_open = False
            self._record(slot, advice, done_ms)
        self.on_outcome(_outcome_of(query, node, advice, self.clock() - done_ms))
        return advice if isinstance(advice, Advice) else None

    def _slot(self, node: str) -> InstanceSlot:
        return self._slots.setdefault(node, InstanceSlot())

    def _choose(self, nodes: tuple[str, ...]) -> str | None:
        """Return the free instance that answered most promptly, or None."""
        now = self.clock()
        free = [node for node in nodes if self._slot(node).is_free(now)]
        return min(free, key=lambda node: self._slot(node).late_ms, default=None)

    def _record(
        self, slot: InstanceSlot, advice: Advice | AdviserBusy | None, done_ms: float
    ) -> None:
        now = self.clock()
        if isinstance(advice, Advice):
            slot.record_answer(now - done_ms)
        elif isinstance(advice, AdviserBusy):
            slot.blocked_until_ms = now + advice.wait_ms
        else:
            slot.record_failure(done_ms, now)

    async def _ask_through(
        self, node: str, link: QueryLink | None, query: RequestAdvice
    ) -> Advice | AdviserBusy | None:
        if link is None:
            return await self.gate.ask(query.step, query.workers, query.cost_ms)
        step = query.step
        message = AdviceQuery(
            step.job_id, step.occurrence, step.step, query.workers, query.cost_ms
        )
        sent_ms = self.clock()
        timeout_s = query.cost_ms / 1000 + ANSWER_ALLOWANCE_S + LINK_ALLOWANCE_S
        try:
            reply = await link.call(message, timeout_s)
        except (LinkClosedError, TimeoutError) as exc:
            _log_failure(query, node, repr(exc))
            return None
        if isinstance(reply, AdviceReply) and reply.busy_ms:
            return AdviserBusy(reply.busy_ms)
        if not isinstance(reply, AdviceReply) or not reply.answered:
            _log_failure(query, node, "the adviser did not answer that instance")
            return None
        # Tickets are valid from the adviser's answer; the links may have been slow since.
        transit_ms = self.clock() - sent_ms - reply.took_ms if reply.took_ms else 0.0
        return Advice(reply.tickets, round(max(0.0, reply.valid_ms - transit_ms)))


def _outcome_of(
    query: RequestAdvice, node: str, advice: Advice | AdviserBusy | None, late_ms: float
) -> AdviceOutcome:
    """Return the outcome of a query, and log an answer that came late."""
    if advice is None:
        return AdviceOutcome.FAILED
    if isinstance(advice, AdviserBusy):
        return AdviceOutcome.BUSY
    if late_ms <= LATE_ANSWER_MS:
        return AdviceOutcome.ANSWERED
    emit(
        log,
        Event.ADVICE_LATE,
        job=query.step.job_id,
        step=query.step.step,
        node=node,
        late_ms=round(late_ms),
        cost_ms=round(query.cost_ms),
        workers=len(query.workers),
        approved=len(advice.tickets),
    )
    return AdviceOutcome.LATE


def _log_failure(query: RequestAdvice, node: str, detail: str) -> None:
    step = query.step
    emit(log, Event.ADVICE_FAILED, job=step.job_id, step=step.step, node=node, detail=detail)
