"""Test what a holder of sessions does and, above all, what it leaves."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from baobabhoist.cell.model import CommandOutcome
from baobabhoist.control import clock
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.sessions import messages
from baobabhoist.control.sessions.holder import SessionHolder
from baobabhoist.control.sessions.permits import PERMIT_INTERVAL_S, PERMIT_VALID_MS
from baobabhoist.errors import LinkClosedError
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated
from baobabhoist.tests.cell_harness import LEASE_MS, make_task_key

TOKEN = 5
TASK = make_task_key().to_text()
FAR_MS = 1e9


@attrs.define(eq=False)
class FakeDriver:
    """Pass calls on to a fake worker, and note them."""

    loop: SimulatedLoop
    worker: FakeCellWorker = attrs.Factory(lambda: FakeCellWorker("w0"))
    is_silent: bool = False
    calls: list = attrs.Factory(list)
    deadlines: list = attrs.Factory(list)

    def _note(self, call):
        self.calls.append((self.loop.now_ms(), call))
        self.worker.advance(self.loop.now_ms() + 1_000.0 - self.worker.now_ms)

    async def renew(self, info, token, acked_end, deadline_ms, wait_ms):
        self._note("renew")
        self.deadlines.append(deadline_ms)
        await asyncio.sleep(0.05)
        if self.is_silent:
            return CommandOutcome.UNKNOWN
        return self.worker.renew(token, acked_end, deadline_ms)

    async def start(self, info, token, command, deadline_ms):
        self._note("start")
        return CommandResponse(self.worker.start(token, command, deadline_ms))

    async def stop(self, info, token, command):
        self._note("stop")
        return CommandResponse(self.worker.stop(token, command))

    def count(self, call, since_ms=0.0):
        return sum(at_ms >= since_ms and name == call for at_ms, name in self.calls)


class Setup:
    """Run one holder of one session in simulated time, against a scripted owner."""

    def __init__(self, monkeypatch):
        self.loop = SimulatedLoop()
        fake_time = SimpleNamespace(clock_gettime=lambda _: self.loop.time(), CLOCK_BOOTTIME=0)
        monkeypatch.setattr(clock, "time", fake_time)
        self.driver = FakeDriver(self.loop)
        self.events = []
        self.is_linked = True
        self.reply_delay_s = 0.0
        self.holder = SessionHolder("n1", self.driver, self._call_owner, self._notify_owner)

    async def _call_owner(self, query, timeout_s):
        if not self.is_linked:
            raise LinkClosedError("gone")
        owner_ms = self.loop.now_ms()
        await asyncio.sleep(self.reply_delay_s)
        return messages.PermitReply(PERMIT_VALID_MS, owner_ms)

    async def _notify_owner(self, events):
        if not self.is_linked:
            raise LinkClosedError("gone")
        self.events.append(events)

    def run(self, coro):
        return run_simulated(self.loop, coro)

    def assign(self, session=1, token=TOKEN, **changes):
        worker = messages.AssignedWorker(session, "w0", "w0:80", 0, 0, False)
        workers = (attrs.evolve(worker, **changes),)
        self.holder.handle_assignment(messages.SessionAssignment(token, LEASE_MS, workers))

    def order_start(self, session=1, token=TOKEN, run=1, expires_owner_ms=FAR_MS):
        start = messages.StartOrder(run, session, TASK, run, 0, "", "", expires_owner_ms)
        self.holder.handle_orders(messages.SessionOrders(token, ("payload",), (start,)))

    def results(self):
        return [(r.number, r.outcome) for e in self.events for r in e.results]

    def silences(self):
        return [s.silence for e in self.events for s in e.silences]


@pytest.fixture
def setup(monkeypatch):
    return Setup(monkeypatch)


def test_an_order_is_carried_out_and_its_result_returned(setup):
    """Guard against orders that a holder swallows."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        setup.order_start()
        await asyncio.sleep(0.1)

    setup.run(run())
    assert setup.results() == [(1, "ok")]
    assert [task.to_text() for task in setup.driver.worker.runs] == [TASK]


def test_nothing_is_sent_before_the_first_permit(setup):
    """Guard against a holder that acts although the owner has given it up meanwhile."""
    setup.is_linked = False

    async def run():
        setup.assign()
        setup.order_start()
        await asyncio.sleep(1.0)

    setup.run(run())
    assert setup.driver.calls == []


def test_nothing_is_sent_after_the_permit_has_expired(setup):
    """Guard against a cut-off holder that renews leases and starts tasks for ever.

    The owner gives the runs of an unreachable worker up once nobody can have extended its lease.
    """

    async def run():
        setup.assign()
        await asyncio.sleep(1.0)
        setup.is_linked = False
        await asyncio.sleep(PERMIT_VALID_MS / 1000)
        expired_ms = setup.loop.now_ms()
        setup.order_start()
        await asyncio.sleep(3.0)
        return expired_ms

    expired_ms = setup.run(run())
    assert setup.driver.count("renew") > 0
    assert setup.driver.count("renew", expired_ms) == 0
    assert setup.driver.count("start") == 0


def test_a_delayed_reply_does_not_lengthen_the_permit(setup):
    """Guard against a holder that counts a permit from when a slow link delivered it."""

    async def run():
        setup.assign()
        await asyncio.sleep(1.0)
        setup.reply_delay_s = 0.35
        await asyncio.sleep(PERMIT_INTERVAL_S * 2)
        setup.is_linked = False
        return setup.loop.now_ms()

    last_query_ms = setup.run(run())
    assert setup.holder._permit.until_ms <= last_query_ms + PERMIT_VALID_MS


def test_an_expired_order_is_not_sent(setup):
    """Guard against a start that leaves seconds later, from a link or a process that stood still.

    The task may have ended meanwhile, or its ticket may have expired.
    """

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        setup.order_start(expires_owner_ms=setup.loop.now_ms() - 1.0)
        await asyncio.sleep(0.1)

    setup.run(run())
    assert setup.driver.count("start") == 0
    assert setup.results() == [(1, "late")]


@pytest.mark.parametrize(("session", "token"), [(2, TOKEN), (1, TOKEN - 1)])
def test_orders_of_another_session_or_owner_are_not_carried_out(setup, session, token):
    """Guard against orders that reach a worker after its session or the cell has moved."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        setup.order_start(session, token)
        await asyncio.sleep(0.1)

    setup.run(run())
    assert setup.driver.count("start") == 0


def test_sessions_of_an_earlier_owner_end_with_the_next_assignment(setup):
    """Guard against two owners for whom one holder acts."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        setup.holder.handle_assignment(messages.SessionAssignment(TOKEN + 1, LEASE_MS, ()))
        ended_ms = setup.loop.now_ms()
        await asyncio.sleep(1.0)
        setup.assign(token=TOKEN)
        await asyncio.sleep(1.0)
        return ended_ms

    assert setup.driver.count("renew", setup.run(run())) == 0


def test_a_silent_worker_gets_no_longer_lease_before_the_owner_consents(setup):
    """Guard against a lease that a holder extends while the owner takes it for expired."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        setup.driver.is_silent = True
        await asyncio.sleep(0.5)
        setup.driver.is_silent = False
        setup.driver.deadlines.clear()
        await asyncio.sleep(0.8)
        unextended = list(setup.driver.deadlines)
        resumed = messages.LeaseResumed(1, 1)
        setup.holder.handle_orders(messages.SessionOrders(TOKEN, resumed=(resumed,)))
        setup.driver.deadlines.clear()
        await asyncio.sleep(0.3)
        return unextended, list(setup.driver.deadlines)

    unextended, extended = setup.run(run())
    assert set(unextended) == {None}
    assert None not in extended[1:]
    assert setup.silences() == [1]


def test_consent_to_an_earlier_silence_does_not_count(setup):
    """Guard against a lease that is extended because an old consent arrives late."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        for is_silent in (True, False, True):
            setup.driver.is_silent = is_silent
            await asyncio.sleep(0.6)
        resumed = messages.LeaseResumed(1, 1)
        setup.holder.handle_orders(messages.SessionOrders(TOKEN, resumed=(resumed,)))
        setup.driver.is_silent = False
        setup.driver.deadlines.clear()
        await asyncio.sleep(0.8)

    setup.run(run())
    assert setup.silences() == [1, 2]
    assert set(setup.driver.deadlines) == {None}


def test_a_worker_that_was_silent_before_the_move_is_suspended_at_first(setup):
    """Guard against a new holder that extends a lease which the owner takes for expired."""

    async def run():
        setup.assign(is_suspended=True)
        await asyncio.sleep(0.6)

    setup.run(run())
    assert setup.driver.deadlines
    assert set(setup.driver.deadlines) == {None}


def test_a_malformed_order_does_not_end_the_holder(setup):
    """Guard against one bad message that takes the sessions of a process down."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.3)
        bad = messages.StartOrder(1, 1, "not a task", 1, 7, "", "", FAR_MS)
        setup.holder.handle_orders(messages.SessionOrders(TOKEN, (), (bad,)))
        await asyncio.sleep(0.1)
        setup.order_start(run=2)
        await asyncio.sleep(0.1)

    setup.run(run())
    assert setup.results() == [(1, "unknown"), (2, "ok")]


def test_a_restart_is_reported_to_an_owner_of_an_earlier_release(setup):
    """Guard against workers that are never heard again because their owner raises no token."""

    async def run():
        setup.assign()
        await asyncio.sleep(0.5)
        setup.driver.worker.restart()
        await asyncio.sleep(2.0)

    setup.run(run())
    reports = [report for events in setup.events for report in events.reports]
    assert reports[-1].started_unix_ms == setup.driver.worker.started_unix_ms
