"""Test how queries are distributed, given that the adviser serves each instance in turn."""

import asyncio

from baobabhoist.cell.model import RequestAdvice, StepKey
from baobabhoist.control import advice as advice_module
from baobabhoist.control.advice import LOCAL_NODE, AdviceDispatcher
from baobabhoist.control.interfaces import Advice
from baobabhoist.control.messages import AdviceReply
from baobabhoist.errors import LinkClosedError

LONG_COST_MS, SHORT_COST_MS = 800.0, 20.0


class FakeAdviser:
    async def ask(self, step, workers, cost_ms):
        return Advice({"w": "local"}, 2000)


class FakeLink:
    def __init__(self, reply=None):
        self.reply = reply or AdviceReply(True, {"w": "t"}, 2500)
        self.costs = []

    async def call(self, query, timeout_s):
        self.costs.append(query.cost_ms)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def make_dispatcher(monkeypatch, **links):
    monkeypatch.setattr(advice_module, "monotonic_ms", lambda: 1_000.0)
    return AdviceDispatcher(FakeAdviser(), lambda: links)


def query(cost_ms):
    return RequestAdvice(StepKey("0" * 16, 0, 0), ("w",), cost_ms)


def test_short_query_is_never_queued_behind_a_long_one(monkeypatch):
    """Guard against urgent steps that wait up to 0.8 s for their tickets behind a long query."""
    links = {f"n{number}": FakeLink() for number in range(5)}
    dispatcher = make_dispatcher(monkeypatch, **links)

    async def run():
        for _ in range(8):
            await dispatcher.ask(query(LONG_COST_MS))
        for _ in range(4):
            await dispatcher.ask(query(SHORT_COST_MS))

    asyncio.run(run())
    for link in links.values():
        assert not (LONG_COST_MS in link.costs and SHORT_COST_MS in link.costs)


def test_long_queries_are_distributed_over_the_instances(monkeypatch):
    """Guard against long queries that all go through one instance while others are idle."""
    links = {f"n{number}": FakeLink() for number in range(5)}
    dispatcher = make_dispatcher(monkeypatch, **links)

    async def run():
        for _ in range(4):
            await dispatcher.ask(query(LONG_COST_MS))

    asyncio.run(run())
    assert max(len(link.costs) for link in links.values()) == 1


def test_unanswered_query_through_a_link_returns_none(monkeypatch):
    """Guard against a lost link that aborts the whole scheduling round."""
    dispatcher = make_dispatcher(monkeypatch, n1=FakeLink(LinkClosedError("gone")))
    dispatcher.busy_until_ms[LOCAL_NODE] = 5_000.0
    assert asyncio.run(dispatcher.ask(query(SHORT_COST_MS))) is None
    dispatcher.busy_until_ms = {"n1": 9_000.0}
    answer = asyncio.run(dispatcher.ask(query(SHORT_COST_MS)))
    assert answer.tickets == {"w": "local"}
