"""Test lease renewal for one worker, with and without answers."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from baobabhoist.cell.model import CommandOutcome, JobPhase, RunOutcome, StartTask, StopTask
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.sessions import worker_session
from baobabhoist.control.sessions.detours import Detours
from baobabhoist.control.sessions.pool import LocalSession
from baobabhoist.control.sessions.worker_session import MAX_OPEN_COMMANDS, WorkerSession
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.tests.cell_harness import LEASE_MS, CellHarness, make_job, make_task_key

FAR_DEADLINE_MS = 1_000_000
ROW_MAX_BYTES = 65_536


class FakeDriver:
    """Pass renewals on to a fake worker, or leave them unanswered if silent."""

    def __init__(self, worker):
        self.worker = worker
        self.is_silent = False
        self.deadlines = []
        self.waits = []

    async def renew(self, info, token, acked_end, deadline_ms, wait_ms):
        await asyncio.sleep(0)
        self.deadlines.append(deadline_ms)
        self.waits.append(wait_ms)
        if self.is_silent:
            return CommandOutcome.UNKNOWN
        return self.worker.renew(token, acked_end, deadline_ms)

    async def start(self, info, token, command, deadline_ms):
        return CommandResponse(self.worker.start(token, command, deadline_ms))

    async def stop(self, info, token, command):
        return CommandResponse(self.worker.stop(token, command))


def make_session(harness, driver, request_scheduling_round=lambda: None, last_token=0):
    owner = SimpleNamespace(
        cell=harness.cell,
        may_renew=lambda: True,
        request_scheduling_round=request_scheduling_round,
        request_flush=lambda: None,
    )
    deps = SimpleNamespace(
        owner=owner,
        newest_token=lambda: harness.token,
        silent_workers=SilentWorkers(StoreClock(), ROW_MAX_BYTES),
    )
    state = harness.cell.state.workers["w0"]
    listener = LocalSession(deps, state, Detours())
    session = WorkerSession(state.info, driver, listener, state.lease, LEASE_MS)
    session.resume_from(state.started_unix_ms, state.last_acked_end, last_token)
    return session


def run_renewals(rounds, silent_from):
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.settle()
    driver = FakeDriver(harness.workers["w0"])
    session = make_session(harness, driver)

    async def run():
        for number in range(rounds):
            driver.is_silent = number >= silent_from
            await session._renew()

    asyncio.run(run())
    return harness, driver


@pytest.fixture(autouse=True)
def short_ack_timeout(monkeypatch):
    monkeypatch.setattr(worker_session, "ACK_TIMEOUT_S", 0.001)


def test_silent_worker_is_not_offered_a_longer_lease():
    """Guard against tasks of a silent worker that are never restarted.

    Each failed renewal moved the deadline of the lease, so that it never expired. Found by
    hunt 15b2, which reported LOST.
    """
    harness, driver = run_renewals(6, silent_from=2)
    assert driver.deadlines[2] is not None
    assert driver.deadlines[3:] == [None, None, None]
    assert harness.cell.state.workers["w0"].lease.deadline_ms == driver.deadlines[2]


@pytest.mark.parametrize("is_silence_noticed", [True, False])
def test_ends_of_a_restarted_worker_are_not_acknowledged_unseen(is_silence_noticed):
    """Guard against tasks that run again because a number of an earlier life acknowledged them.

    Workers restarted under their ids, and the next renewal carried the number of the last end that
    the process before them had listed (TWICE, review/3). A session that is new, because it moved
    to another holder, notices no silence.
    """
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    harness.settle()
    harness.end_run(make_task_key())
    harness.save_progress()
    worker = harness.workers["w0"]
    session = make_session(harness, FakeDriver(worker))
    harness.delivers_commands = False
    harness.submit(make_job("1" * 16))
    (start,) = harness.schedule()
    harness.cell.should_send_start(start, harness.now)

    async def run():
        worker.crash()
        if is_silence_noticed:
            await session._renew()
        worker.restart()
        outcome = worker.start(harness.token, start, FAR_DEADLINE_MS)
        harness.cell.handle_start_result(start, outcome, harness.now)
        worker.end_run(start.task, RunOutcome.DONE)
        await session._renew()

    asyncio.run(run())
    assert harness.job_phase("1" * 16) is JobPhase.COMPLETED


def test_a_session_sends_no_deadline_before_it_has_heard_its_worker():
    """Guard against a lease that outlasts its owner's count after a session moves to the owner.

    The worker had restarted meanwhile, and a deadline on the clock of its earlier process granted
    the longest lease; the next owner counts on the usual one.
    """
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    worker.advance(60_000.0)
    harness.now += 60_000.0
    harness.renew_all()
    session = make_session(harness, FakeDriver(worker))
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)
    worker.crash()
    worker.restart()

    async def run():
        answer = await session.start_task(start)
        assert answer.outcome is CommandOutcome.LATE
        await session._renew()
        assert worker.lease_expires_ms == 0.0
        harness.token += 1
        for _ in range(2):
            await session._renew()
        assert 0.0 < worker.lease_expires_ms <= worker.now_ms + LEASE_MS

    asyncio.run(run())


def test_a_silent_worker_gets_no_new_tasks_until_it_answers():
    """Guard against starts that meet a worker's next process, which may be of another kind.

    They also waited in vain for an answer when the worker was down.
    """
    harness = CellHarness.with_workers(1)
    driver = FakeDriver(harness.workers["w0"])
    session = make_session(harness, driver)
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)

    async def renew(is_silent):
        driver.is_silent = is_silent
        await session._renew()
        return harness.cell.schedule(harness.now, True)

    asyncio.run(renew(is_silent=True))
    assert not harness.cell.should_send_start(start, harness.now)
    assert asyncio.run(renew(is_silent=True)) == []
    (start,) = asyncio.run(renew(is_silent=False))
    assert harness.cell.should_send_start(start, harness.now)


def test_answering_worker_gets_its_lease_renewed():
    """Guard against a lease that expires although its worker answers."""
    _, driver = run_renewals(5, silent_from=5)
    first, *others = driver.deadlines
    assert first is None
    assert all(others)


def test_crashed_renewal_is_tried_again():
    """Guard against a worker whose tasks never end because its session has crashed."""
    harness = CellHarness.with_workers(1)
    driver = FakeDriver(harness.workers["w0"])
    crashes = [RuntimeError("a fault in the driver")]

    async def run():
        session = make_session(harness, driver, answered.set)
        renew = driver.renew

        async def crash_once(*args):
            if crashes:
                raise crashes.pop()
            return await renew(*args)

        driver.renew = crash_once
        session.start()
        await asyncio.wait_for(answered.wait(), 5.0)
        session.cancel()

    answered = asyncio.Event()
    asyncio.run(run())
    assert driver.deadlines


def test_lease_is_not_extended_while_renewals_crash():
    """Guard against runs that neither end nor restart because each report crashes the owner."""
    harness = CellHarness.with_workers(1)
    driver = FakeDriver(harness.workers["w0"])
    session = make_session(harness, driver)

    def crash(*args):
        raise RuntimeError("a fault in the scheduler")

    harness.cell.handle_report = crash

    async def run():
        for _ in range(3):
            assert not await session._try_renew()

    asyncio.run(run())
    assert driver.deadlines[1:] == [None, None]


def test_crashed_session_leaves_a_line_with_its_worker(caplog):
    """Guard against a worker that is never heard again because its session ended unnoticed."""

    class BrokenDriver:
        async def renew(self, *args):
            raise ValueError("unexpected report")

    async def run():
        session = make_session(CellHarness.with_workers(1), BrokenDriver())
        session.start()
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(run())
    crashes = [r for r in caplog.records if "unexpected report" in r.getMessage()]
    assert [r.levelname for r in crashes] == ["ERROR"]
    assert "session of worker w0" in crashes[0].getMessage()
    assert crashes[0].exc_info


@pytest.mark.parametrize("is_silence_noticed", [True, False])
def test_a_restarted_worker_refuses_starts_that_were_sent_before(is_silence_noticed):
    """Guard against a task that runs twice because its unanswered start comes late."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    session = make_session(harness, FakeDriver(worker))
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)

    async def run():
        await session._renew()
        sent_token = session.token
        worker.crash()
        if is_silence_noticed:
            await session._renew()
        worker.restart()
        harness.token += 1
        await session._renew()
        await session._renew()
        return worker.start(sent_token, start, FAR_DEADLINE_MS)

    assert asyncio.run(run()) is CommandOutcome.FENCED
    assert not harness.cell.is_fenced


def test_a_restart_is_reported_only_once_earlier_starts_are_refused():
    """Guard against tasks that run twice because a worker restarts before its owner writes again.

    Until then the owner has no higher token than that of the start.
    """
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    driver = FakeDriver(worker)
    session = make_session(harness, driver)
    state = harness.cell.state.workers["w0"]
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)
    late_starts = []

    async def lose_start(info, token, command, deadline_ms):
        late_starts.append((token, command, deadline_ms))
        return CommandResponse(CommandOutcome.UNKNOWN)

    driver.start = lose_start

    async def run():
        await session._renew()
        await session.start_task(start)
        worker.crash()
        worker.restart()
        await session._renew()
        await session._renew()
        assert state.started_unix_ms != worker.started_unix_ms
        harness.token += 1
        await session._renew()
        assert state.started_unix_ms == worker.started_unix_ms

    asyncio.run(run())
    assert worker.start(*late_starts[0]) is CommandOutcome.FENCED


def test_a_moved_session_refuses_the_late_starts_of_the_session_before():
    """Guard against tasks that run twice because a session moves while its owner writes nothing.

    It began with the token of the session before, whose late start the next process accepted.
    """
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    state = harness.cell.state.workers["w0"]
    harness.submit(make_job())
    (late_start,) = harness.cell.schedule(harness.now, True)
    late_token = harness.token
    moved = make_session(harness, FakeDriver(worker), last_token=late_token)
    worker.crash()
    worker.restart()

    async def run():
        await moved._renew()
        assert state.started_unix_ms != worker.started_unix_ms
        harness.token += 1
        await moved._renew()
        assert state.started_unix_ms == worker.started_unix_ms

    asyncio.run(run())
    assert worker.start(late_token, late_start, FAR_DEADLINE_MS) is CommandOutcome.FENCED


def test_the_clock_of_an_earlier_process_does_not_shorten_a_lease():
    """Guard against runs that start elsewhere while they work, after an answer that came late."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    worker.now_ms = FAR_DEADLINE_MS
    driver = FakeDriver(worker)
    session = make_session(harness, driver)
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)
    lease = harness.cell.state.workers["w0"].lease

    async def start_late(info, token, command, deadline_ms):
        answer = SimpleNamespace(outcome=CommandOutcome.OK, clock_ms=int(worker.now_ms))
        worker.crash()
        worker.restart()
        harness.token += 1
        await session._renew()
        await session._renew()
        expiries_ms.append(lease.expiry_ms())
        return answer

    driver.start = start_late
    expiries_ms = []

    async def run():
        await session._renew()
        await session.start_task(start)

    asyncio.run(run())
    assert expiries_ms == [lease.expiry_ms()]


def test_a_worker_that_falls_silent_after_a_restart_is_reported_as_silent():
    """Guard against runs that are never given up: nobody heard of their worker's silence."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    driver = FakeDriver(worker)
    session = make_session(harness, driver)

    async def run():
        await session._renew()
        worker.crash()
        worker.restart()
        harness.token += 1
        # The answer shows the restart, and nothing answers any more.
        await session._renew()
        driver.is_silent = True
        await session._renew()

    asyncio.run(run())
    assert harness.cell.state.workers["w0"].lease.is_suspended


def test_a_lease_is_not_extended_from_a_time_after_the_permission():
    """Guard against a lease that a process extends which was frozen after it had checked that."""
    harness = CellHarness.with_workers(1)
    driver = FakeDriver(harness.workers["w0"])
    session = make_session(harness, driver)
    checked_ms = []

    def freeze_after_check():
        checked_ms.append(monotonic_ms())
        time.sleep(0.1)
        return True

    async def run():
        await session._renew()
        session._listener.deps.owner.may_renew = freeze_after_check
        await session._renew()

    asyncio.run(run())
    assert driver.deadlines[-1] <= session.lease.min_clock_at(checked_ms[0]) + LEASE_MS


def test_a_start_whose_permission_has_ended_is_not_sent():
    """Guard against a lease that a process extends which was frozen before it sent a start."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    session = make_session(harness, FakeDriver(worker))
    harness.submit(make_job())
    (start,) = harness.cell.schedule(harness.now, True)

    async def run():
        await session._renew()
        session._listener.deps.owner.may_renew = lambda: False
        return await session.start_task(start)

    assert asyncio.run(run()).outcome is CommandOutcome.LATE
    assert not worker.runs


def test_a_stop_before_the_first_renewal_carries_the_token():
    """Guard against stops that a worker refuses because they come before the session's renewal."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    driver = FakeDriver(worker)
    harness.submit(make_job())
    harness.settle()
    (run,) = harness.cell.state.workers["w0"].runs.values()

    async def run_stop():
        session = make_session(harness, driver)
        return await session.stop_task(StopTask("w0", run.task.key, run.number))

    assert asyncio.run(run_stop()).outcome is CommandOutcome.OK
    assert not worker.runs


def test_a_restarted_worker_refuses_acknowledgements_of_earlier_ends():
    """Guard against ends that a restarted worker forgets unseen, by a renewal that comes late."""
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    session = make_session(harness, FakeDriver(worker))
    # The lease may not be extended, so that no renewal carries a deadline.
    session._listener.deps.owner.may_renew = lambda: False

    async def run():
        await session._renew()
        await session._renew()
        sent_token = session.token
        worker.crash()
        worker.restart()
        harness.token += 1
        await session._renew()
        await session._renew()
        return worker.renew(sent_token, 1, None)

    assert asyncio.run(run()) is CommandOutcome.FENCED


class SlowDriver(FakeDriver):
    """Leave commands open until the test answers them."""

    def __init__(self, worker):
        super().__init__(worker)
        self.answers = []

    async def start(self, info, token, command, deadline_ms):
        return await self._leave_open()

    async def stop(self, info, token, command):
        return await self._leave_open()

    async def _leave_open(self):
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        return CommandResponse(await answer)


def open_commands(command_count, answer_some=lambda driver: None):
    """Send starts to a worker; returns their outcomes, and how many were sent before an answer."""
    harness = CellHarness.with_workers(1)
    driver = SlowDriver(harness.workers["w0"])
    session = make_session(harness, driver)
    start = StartTask("w0", make_task_key(), 1, "(payload)")

    async def run():
        await session._renew()
        calls = [asyncio.ensure_future(session.start_task(start)) for _ in range(command_count)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        sent_count = len(driver.answers)
        answer_some(driver)
        await asyncio.wait(calls, timeout=5 * worker_session.COMMAND_WAIT_S)
        for answer in driver.answers:
            if not answer.done():
                answer.set_result(CommandOutcome.UNKNOWN)
        responses = await asyncio.gather(*calls)
        return [response.outcome for response in responses], sent_count

    return asyncio.run(run())


def test_commands_to_one_worker_take_few_connections():
    """Guard against a worker that takes no connection any more, so that its tasks stand still.

    It holds few connections, also those of calls that it leaves unanswered. Each of a burst of
    starts took one, and the worker then reset those of the stops as well (LOST).
    """
    outcomes, sent_count = open_commands(30)
    assert sent_count == MAX_OPEN_COMMANDS
    assert outcomes.count(CommandOutcome.UNKNOWN) == MAX_OPEN_COMMANDS
    assert outcomes.count(CommandOutcome.LATE) == 30 - MAX_OPEN_COMMANDS


def test_a_command_waits_for_the_answers_to_others():
    """Guard against a burst of starts of which only the first few reach a worker that answers."""

    def answer_all(driver):
        def answer_next():
            for answer in driver.answers:
                if not answer.done():
                    answer.set_result(CommandOutcome.OK)
            asyncio.get_running_loop().call_soon(answer_next)

        answer_next()

    outcomes, _ = open_commands(30, answer_all)
    assert outcomes == [CommandOutcome.OK] * 30


def test_a_process_that_the_directory_shows_is_called_without_a_pause(monkeypatch):
    """Guard against a late start that reaches a new process before the owner does (TWICE)."""
    monkeypatch.setattr(worker_session, "RETRY_INITIAL_S", 60.0)
    monkeypatch.setattr(worker_session, "RETRY_MAX_S", 60.0)
    harness = CellHarness.with_workers(1)
    worker = harness.workers["w0"]
    driver = FakeDriver(worker)
    session = make_session(harness, driver)

    async def run():
        driver.is_silent = True
        session.start()
        while not driver.deadlines:
            await asyncio.sleep(0)
        driver.is_silent = False
        worker.restart()
        harness.token += 1
        session.update_info(worker.info())
        while worker.token < harness.token:
            await asyncio.sleep(0)
        session.cancel()

    asyncio.run(asyncio.wait_for(run(), 10.0))
