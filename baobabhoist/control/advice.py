"""Distribute queries to the placement adviser over the instances.

The adviser processes one query per instance at a time, so a long query must not be queued ahead
of short ones.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import attrs

from baobabhoist.cell.model import RequestAdvice
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import Advice, AdviceOutcome, Adviser
from baobabhoist.control.messages import AdviceQuery, AdviceReply
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link

log = logging.getLogger(__name__)

# Queries that cost more than this are sent through only some of the instances.
LONG_QUERY_MS = 150.0
# One in this many instances is reserved for short queries.
SHORT_ONLY_INTERVAL = 3
# Queries that may be in flight beyond one per instance.
MAX_QUEUED_QUERIES = 6
ANSWER_SLACK_S = 1.0
# An answer counts as late if it comes this long after its expected time.
LATE_ANSWER_MS = 250.0
LOCAL_NODE = ""


@attrs.define
class AdviceDispatcher:
    """Dispatch queries; `links` returns the links to the other instances by node name."""

    adviser: Adviser
    links: Callable[[], dict[str, Link]]
    # Called with the outcome of each query.
    on_outcome: Callable[[AdviceOutcome], None] = lambda outcome: None
    # When the queries in flight through each node should be answered, on the local clock.
    busy_until_ms: dict[str, float] = attrs.Factory(dict)

    @property
    def capacity(self) -> int:
        """Return the maximum number of queries in flight."""
        return len(self.links()) + 1 + MAX_QUEUED_QUERIES

    async def ask(self, query: RequestAdvice) -> Advice | None:
        """Query the adviser through the least busy instance; return None if there is no answer."""
        links = dict(self.links())
        node = self._choose(sorted([LOCAL_NODE, *links]), query.cost_ms)
        done_ms = max(self.busy_until_ms.get(node, 0.0), monotonic_ms()) + query.cost_ms
        self.busy_until_ms[node] = done_ms
        if node == LOCAL_NODE:
            advice = await self.adviser.ask(query.step, query.workers, query.cost_ms)
        else:
            advice = await self._ask_through(links[node], node, query, done_ms)
        self.on_outcome(_outcome_of(query, node, advice, monotonic_ms() - done_ms))
        return advice

    def _choose(self, nodes: list[str], cost_ms: float) -> str:
        now = monotonic_ms()
        if cost_ms > LONG_QUERY_MS and len(nodes) >= SHORT_ONLY_INTERVAL:
            nodes = [n for i, n in enumerate(nodes) if i % SHORT_ONLY_INTERVAL]
        return min(nodes, key=lambda n: max(now, self.busy_until_ms.get(n, 0.0)))

    async def _ask_through(
        self, link: Link, node: str, query: RequestAdvice, done_ms: float
    ) -> Advice | None:
        step = query.step
        message = AdviceQuery(
            step.job_id, step.occurrence, step.step, query.workers, query.cost_ms
        )
        sent_ms = monotonic_ms()
        timeout_s = max(0.0, done_ms - sent_ms) / 1000 + ANSWER_SLACK_S
        try:
            reply = await link.call(message, timeout_s)
        except (LinkClosedError, TimeoutError) as exc:
            _log_failure(query, node, repr(exc))
            return None
        if not isinstance(reply, AdviceReply) or not reply.answered:
            _log_failure(query, node, "the adviser did not answer that instance")
            return None
        # Tickets are valid from the adviser's answer; the links may have been slow since.
        transit_ms = monotonic_ms() - sent_ms - reply.took_ms if reply.took_ms else 0.0
        return Advice(reply.tickets, round(max(0.0, reply.valid_ms - transit_ms)))


def _outcome_of(
    query: RequestAdvice, node: str, advice: Advice | None, late_ms: float
) -> AdviceOutcome:
    """Return the outcome of a query, and log an answer that came late."""
    if advice is None:
        return AdviceOutcome.FAILED
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
