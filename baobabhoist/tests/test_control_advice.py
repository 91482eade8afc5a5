"""Test the load of long and short questions to an adviser that serves each instance in turn."""

import asyncio

from baobabhoist.cell.model import RequestAdvice, StepKey
from baobabhoist.control import advice as advice_module
from baobabhoist.control.advice import LOCAL, AdviceDesk
from baobabhoist.control.interfaces import Advice
from baobabhoist.control.messages import AdviceReply
from baobabhoist.errors import LinkClosedError

LONG_MS, SHORT_MS = 800.0, 20.0


class Adviser:
    async def ask(self, step, workers, cost_ms):
        return Advice({"w": "local"}, 2000)


class Link:
    def __init__(self, reply=None):
        self.reply = reply or AdviceReply(True, {"w": "t"}, 2500)
        self.costs = []

    async def call(self, query, deadline_s):
        self.costs.append(query.cost_ms)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def desk(monkeypatch, **links):
    monkeypatch.setattr(advice_module, "boot_ms", lambda: 1_000.0)
    return AdviceDesk(Adviser(), lambda: links)


def question(cost_ms):
    return RequestAdvice(StepKey("0" * 16, 0, 0), ("w",), cost_ms)


def test_a_short_question_never_stands_behind_a_long_one(monkeypatch):
    """Guard against urgent steps that wait most of a second for their tickets."""
    links = {f"n{number}": Link() for number in range(5)}
    found = desk(monkeypatch, **links)

    async def run():
        for _ in range(8):
            await found.ask(question(LONG_MS))
        for _ in range(4):
            await found.ask(question(SHORT_MS))

    asyncio.run(run())
    for link in links.values():
        assert not (LONG_MS in link.costs and SHORT_MS in link.costs)


def test_long_questions_are_spread_over_the_instances(monkeypatch):
    """Guard against one instance whose adviser works while the others are idle."""
    links = {f"n{number}": Link() for number in range(5)}
    found = desk(monkeypatch, **links)

    async def run():
        for _ in range(4):
            await found.ask(question(LONG_MS))

    asyncio.run(run())
    assert max(len(link.costs) for link in links.values()) == 1


def test_an_instance_that_does_not_answer_costs_one_question(monkeypatch):
    """Guard against a lost link that ends the whole round of decisions."""
    found = desk(monkeypatch, n1=Link(LinkClosedError("gone")))
    found.busy_until[LOCAL] = 5_000.0
    assert asyncio.run(found.ask(question(SHORT_MS))) is None
    found.busy_until = {"n1": 9_000.0}
    answer = asyncio.run(found.ask(question(SHORT_MS)))
    assert answer.tickets == {"w": "local"}
