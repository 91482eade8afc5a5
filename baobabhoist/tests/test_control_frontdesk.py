"""Test what callers are told: admission, true refusals, states and counts."""

import asyncio

import orjson
import pytest

from baobabhoist.cell.model import CellRules, JobPhase, Queue
from baobabhoist.cell.progress_rows import JobProgress, encode
from baobabhoist.control import frontdesk as frontdesk_module
from baobabhoist.control.accept import Acceptor
from baobabhoist.control.clock import SharedClock
from baobabhoist.control.config import CellConfig, ConfigInForce, Route
from baobabhoist.control.contact import Contact
from baobabhoist.control.frontdesk import Admitted, Call, FrontDesk
from baobabhoist.control.messages import JobNotice, NotOwner, PendingReply, StateReply
from baobabhoist.control.rowmap import job_row, progress_row
from baobabhoist.errors import ErrorKind, LinkClosedError
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.store.rows import RowsTxn
from baobabhoist.testing.rows import MemoryRows

ID = "0123456789abcdef"
JOB = orjson.dumps({"taskSpec": "x", "steps": [{"count": 1, "cpu": 10}]})
REVOKE_MS = 5_000.0


class Owner:
    """Answer for the cell's owner, or be out of reach."""

    def __init__(self):
        self.answer = None
        self.notices = []
        self.reachable = True

    async def call(self, question, timeout_s):
        if self.answer is None:
            raise LinkClosedError("no owner")
        return self.answer

    def notify(self, notice):
        self.notices.append(notice)


class Desk:
    """Hold a front desk with a store in memory and a clock that the test moves."""

    def __init__(self, monkeypatch):
        self.now = 50_000.0
        monkeypatch.setattr(frontdesk_module, "boot_ms", lambda: self.now)
        self.rows = MemoryRows()
        self.owner = Owner()
        self.config = ConfigInForce()
        self.front = FrontDesk(
            self.config,
            self.rows,
            Acceptor(self.rows, Contact()),
            PlatformDecoder(),
            SharedClock(),
            self.owner,
            REVOKE_MS,
            65_536,
        )

    def configure(self, version=1, keys=None):
        queue = Queue("q", "svc")
        routes = (
            Route("h", "/q/", queue),
            Route("h", "/open/", Queue("o", "svc", is_public=True)),
        )
        rules = CellRules(version, {"q": queue}, {})
        keys = {"k": "team"} if keys is None else keys
        self.config.accept(CellConfig(version, rules, routes, keys, 10_000))
        self.config.confirm(self.now)

    def call(self, path=f"/q/{ID}", key="k"):
        return Call("h", path, key, self.now + 3_000.0)

    def admit(self, **options):
        return self.front.admit(self.call(**options))

    def submit(self, body=JOB):
        call = self.call()
        return asyncio.run(self.front.submit(call, self.front.admit(call), body))


@pytest.fixture
def desk(monkeypatch):
    made = Desk(monkeypatch)
    made.configure()
    return made


def test_without_a_configuration_a_call_is_refused_with_a_time_to_come_back(monkeypatch):
    """Guard against a 404 or 401 of an instance that has just started."""
    refusal = Desk(monkeypatch).admit()
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert refusal.retry_after_s is not None


def test_a_key_is_refused_once_the_keys_are_not_known_to_be_current(desk):
    """Guard against a withdrawn key that works on an instance cut off from the store."""
    assert isinstance(desk.admit(), Admitted)
    desk.now += REVOKE_MS * 0.9
    assert desk.admit().kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert isinstance(desk.admit(path=f"/open/{ID}", key=""), Admitted)


def test_an_older_configuration_never_replaces_a_newer_one(desk):
    """Guard against a withdrawn key that comes back with a late reading."""
    desk.configure(version=3, keys={})
    desk.configure(version=2, keys={"k": "team"})
    assert desk.admit().kind is ErrorKind.KEY_REJECTED


def test_an_accepted_job_is_stored_before_it_is_answered(desk):
    """Guard against an accepted job that no next owner would find."""
    assert desk.submit() is None
    assert job_row(ID) in desk.rows.rows
    assert isinstance(desk.owner.notices[0], JobNotice)
    assert desk.submit() is None
    assert len(desk.owner.notices) == 1


def test_a_job_that_the_store_could_not_hold_is_refused(desk):
    """Guard against a job whose row makes every later write fail."""
    desk.front.row_max_bytes = 10
    assert desk.submit().kind is ErrorKind.BODY_TOO_LARGE
    assert desk.rows.rows == {}


def test_a_state_is_read_from_the_store_without_an_owner(desk):
    """Guard against an accepted job that is answered as unknown during a takeover."""
    desk.submit()
    admitted = desk.admit()
    assert asyncio.run(desk.front.state(admitted)) == "queued"
    done = encode(JobProgress(JobPhase.COMPLETED))
    desk.rows.apply(RowsTxn({}, {progress_row(ID): done}))
    assert asyncio.run(desk.front.state(admitted)) == "completed"


def test_a_job_that_the_owner_does_not_know_yet_is_looked_up(desk):
    """Guard against a 410 for a job whose notice is still on its way."""
    desk.submit()
    desk.owner.answer = StateReply()
    assert asyncio.run(desk.front.state(desk.admit())) == "queued"


def test_a_state_that_cannot_be_found_is_not_called_missing(desk):
    """Guard against a 410 for an accepted job while neither owner nor store answers."""
    desk.submit()
    desk.rows.down = True
    refusal = asyncio.run(desk.front.state(desk.admit()))
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_job_of_another_team_is_not_shown(desk):
    """Guard against a key that reads the jobs of others."""
    desk.owner.answer = StateReply("running", "q", "other")
    refusal = asyncio.run(desk.front.state(desk.admit()))
    assert refusal.kind is ErrorKind.FORBIDDEN


def test_a_count_comes_from_the_owner_or_not_at_all(desk):
    """Guard against a queue that is shown as empty because its owner changes."""
    desk.owner.answer = PendingReply(7)
    assert asyncio.run(desk.front.pending(desk.admit(path="/q/"))) == 7
    desk.owner.answer = NotOwner("n2")
    refusal = asyncio.run(desk.front.pending(desk.admit(path="/q/")))
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_cancellation_is_stored_before_it_is_acknowledged(desk):
    """Guard against a cancelled job that the next owner runs."""
    desk.submit()
    desk.owner.answer = StateReply("running", "q", "team")
    call = desk.call()
    assert asyncio.run(desk.front.cancel(call, desk.admit())) is None
    assert any(key.key == f"{ID}/cancel" for key in desk.rows.rows)
