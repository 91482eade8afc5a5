"""Test how queries are distributed, given that the adviser serves each instance in turn."""

import asyncio
import logging

from baobabhoist.cell.model import RequestAdvice, StepKey
from baobabhoist.control import advice as advice_module
from baobabhoist.control.advice import LATE_ANSWER_MS, LOCAL_NODE, AdviceDispatcher
from baobabhoist.control.interfaces import Advice, AdviceOutcome
from baobabhoist.control.messages import AdviceReply
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE, Event

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


class ClockAdviser(FakeAdviser):
    """Answer after the clock of the test has advanced."""

    def __init__(self, clock, duration_ms, answers=True):
        self.clock = clock
        self.duration_ms = duration_ms
        self.answers = answers

    async def ask(self, step, workers, cost_ms):
        self.clock["now"] += self.duration_ms
        return await super().ask(step, workers, cost_ms) if self.answers else None


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


def ask_and_read_log(monkeypatch, caplog, adviser, clock):
    caplog.set_level(logging.INFO, logger="baobabhoist")
    outcomes = []
    dispatcher = AdviceDispatcher(adviser, dict, outcomes.append)
    monkeypatch.setattr(advice_module, "monotonic_ms", lambda: clock["now"])
    asyncio.run(dispatcher.ask(query(SHORT_COST_MS)))
    return outcomes, [r.__dict__[EVENT_ATTRIBUTE] for r in caplog.records]


def test_late_answer_is_logged_and_counted(monkeypatch, caplog):
    """Guard against steps that wait for a slow adviser without a sign of it."""
    clock = {"now": 1_000.0}
    in_time = ClockAdviser(clock, SHORT_COST_MS + LATE_ANSWER_MS)
    assert ask_and_read_log(monkeypatch, caplog, in_time, clock) == ([AdviceOutcome.ANSWERED], [])
    late = ClockAdviser(clock, SHORT_COST_MS + LATE_ANSWER_MS + 1.0)
    expected = ([AdviceOutcome.LATE], [Event.ADVICE_LATE])
    assert ask_and_read_log(monkeypatch, caplog, late, clock) == expected
    fields = caplog.records[0].__dict__[FIELDS_ATTRIBUTE]
    assert (fields["late_ms"], fields["workers"], fields["approved"]) == (251, 1, 1)


def test_failed_query_is_counted(monkeypatch, caplog):
    """Guard against an adviser that is away and looks like one that refuses all workers."""
    clock = {"now": 1_000.0}
    adviser = ClockAdviser(clock, 0.0, answers=False)
    assert ask_and_read_log(monkeypatch, caplog, adviser, clock)[0] == [AdviceOutcome.FAILED]


def test_instance_whose_adviser_does_not_answer_leaves_a_line(monkeypatch, caplog):
    """Guard against a step without tickets and without a line on the owner that says why."""
    dispatcher = make_dispatcher(monkeypatch, n1=FakeLink(AdviceReply(False)))
    dispatcher.busy_until_ms[LOCAL_NODE] = 5_000.0
    assert asyncio.run(dispatcher.ask(query(SHORT_COST_MS))) is None
    events = [r.__dict__[EVENT_ATTRIBUTE] for r in caplog.records]
    assert events == [Event.ADVICE_FAILED]
    assert caplog.records[0].__dict__[FIELDS_ATTRIBUTE]["node"] == "n1"


def test_validity_of_tickets_is_reduced_by_the_time_on_the_links(monkeypatch):
    """Guard against starts with tickets that expired while the answer was on a slow link."""
    clock = {"now": 1_000.0}

    class SlowLink(FakeLink):
        async def call(self, query, timeout_s):
            clock["now"] += 1_300.0
            return AdviceReply(True, {"w": "t"}, 2_500, took_ms=300.0)

    dispatcher = AdviceDispatcher(FakeAdviser(), lambda: {"n1": SlowLink()})
    monkeypatch.setattr(advice_module, "monotonic_ms", lambda: clock["now"])
    dispatcher.busy_until_ms[LOCAL_NODE] = 10_000.0
    advice = asyncio.run(dispatcher.ask(query(SHORT_COST_MS)))
    assert advice.valid_ms == 1_500
