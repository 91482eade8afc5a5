"""Spread questions to the placement adviser over the instances.

The adviser works on one question of each instance at a time, so that a long question must not
stand in front of short ones.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import attrs

from baobabhoist.cell.model import RequestAdvice
from baobabhoist.control.clock import boot_ms
from baobabhoist.control.interfaces import Advice, Adviser
from baobabhoist.control.messages import AdviceQuery, AdviceReply
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link

log = logging.getLogger(__name__)

# Questions that take longer use only some of the instances.
LONG_MS = 150.0
# One of this many instances takes no long questions.
SHORT_ONLY_EVERY = 3
# Questions in hand beyond one for each instance.
QUEUED_QUESTIONS = 6
ANSWER_SLACK_S = 1.0
LOCAL = ""


@attrs.define
class AdviceDesk:
    """Own the questions in hand; `links` returns the links to the other instances by name."""

    adviser: Adviser
    links: Callable[[], dict[str, Link]]
    # When each instance's questions in hand are expected to be done, on the local clock in ms.
    busy_until: dict[str, float] = attrs.Factory(dict)

    @property
    def capacity(self) -> int:
        """Return how many questions may be in hand at once."""
        return len(self.links()) + 1 + QUEUED_QUESTIONS

    async def ask(self, question: RequestAdvice) -> Advice | None:
        """Return the adviser's answer through the least busy instance, or None."""
        links = dict(self.links())
        node = self._choose(sorted([LOCAL, *links]), question.cost_ms)
        done_ms = max(self.busy_until.get(node, 0.0), boot_ms()) + question.cost_ms
        self.busy_until[node] = done_ms
        if node == LOCAL:
            return await self.adviser.ask(question.step, question.workers, question.cost_ms)
        return await self._ask_through(links[node], node, question, done_ms)

    def _choose(self, nodes: list[str], cost_ms: float) -> str:
        now = boot_ms()
        if cost_ms > LONG_MS and len(nodes) >= SHORT_ONLY_EVERY:
            nodes = [n for i, n in enumerate(nodes) if i % SHORT_ONLY_EVERY]
        return min(nodes, key=lambda n: max(now, self.busy_until.get(n, 0.0)))

    async def _ask_through(
        self, link: Link, node: str, question: RequestAdvice, done_ms: float
    ) -> Advice | None:
        step = question.step
        query = AdviceQuery(
            step.job_id, step.occurrence, step.step, question.workers, question.cost_ms
        )
        timeout_s = max(0.0, done_ms - boot_ms()) / 1000 + ANSWER_SLACK_S
        try:
            reply = await link.call(query, timeout_s)
        except (LinkClosedError, TimeoutError) as exc:
            emit(log, Event.ADVICE_FAILED, job=step.job_id, step=step.step, node=node, detail=exc)
            return None
        if not isinstance(reply, AdviceReply) or not reply.answered:
            return None
        return Advice(reply.tickets, reply.valid_ms)
