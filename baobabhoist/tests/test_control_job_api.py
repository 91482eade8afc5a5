"""Test what callers are told: admission, true refusals, states and counts."""

import asyncio

import orjson
import pytest

from baobabhoist.cell.model import CellRules, JobPhase, Queue
from baobabhoist.cell.progress import Progress, encode
from baobabhoist.control import job_api as job_api_module
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.config import ActiveConfig, CellConfig, Route
from baobabhoist.control.job_api import AdmittedCall, ApiCall, JobApi
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.messages import JobNotice, NotOwner, PendingReply, StateReply
from baobabhoist.control.row_schema import job_row_key, progress_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.errors import ErrorKind, LinkClosedError
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.store.rows import RowsTxn
from baobabhoist.testing.rows import MemoryRows

ID = "0123456789abcdef"
JOB = orjson.dumps({"taskSpec": "x", "steps": [{"count": 1, "cpu": 10}]})
REVOKE_MS = 5_000.0


class FakeOwnerRouter:
    """Answer for the cell's owner, or be out of reach."""

    def __init__(self):
        self.answer = None
        self.notices = []
        self.is_owner_reachable = True

    async def call(self, question, timeout_s):
        if self.answer is None:
            raise LinkClosedError("no owner")
        return self.answer

    def notify(self, notice):
        self.notices.append(notice)


class ApiRig:
    """Hold a front rig with a store in memory and a clock that the test moves."""

    def __init__(self, monkeypatch):
        self.now = 50_000.0
        monkeypatch.setattr(job_api_module, "monotonic_ms", lambda: self.now)
        self.rows = MemoryRows()
        self.owner_router = FakeOwnerRouter()
        self.config = ActiveConfig()
        self.job_api = JobApi(
            self.config,
            self.rows,
            JobWriter(self.rows, StoreHealth()),
            PlatformDecoder(),
            StoreClock(),
            self.owner_router,
            REVOKE_MS,
            65_536,
        )

    def configure(self, version=1, keys=None):
        queue = Queue("q", "svc")
        routes = (
            Route("h", "/q/", queue),
            Route("h", "/open/", Queue("o", "svc", open_to_all=True)),
        )
        rules = CellRules(version, {"q": queue}, {})
        keys = {"k": "team"} if keys is None else keys
        self.config.accept(CellConfig(version, rules, routes, keys, 10_000))
        self.config.confirm(self.now)

    def call(self, path=f"/q/{ID}", key="k"):
        return ApiCall("h", path, key, self.now + 3_000.0)

    def admit(self, **options):
        return self.job_api.admit(self.call(**options))

    def submit(self, body=JOB):
        call = self.call()
        return asyncio.run(self.job_api.submit(call, self.job_api.admit(call), body))


@pytest.fixture
def rig(monkeypatch):
    made = ApiRig(monkeypatch)
    made.configure()
    return made


def test_without_a_configuration_a_call_is_refused_with_a_time_to_come_back(monkeypatch):
    """Guard against a 404 or 401 of an instance that has just started."""
    refusal = ApiRig(monkeypatch).admit()
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert refusal.retry_after_s is not None


def test_a_key_is_refused_once_the_keys_are_not_known_to_be_current(rig):
    """Guard against a withdrawn key that works on an instance cut off from the store."""
    assert isinstance(rig.admit(), AdmittedCall)
    rig.now += REVOKE_MS * 0.9
    assert rig.admit().kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert isinstance(rig.admit(path=f"/open/{ID}", key=""), AdmittedCall)


def test_an_older_configuration_never_replaces_a_newer_one(rig):
    """Guard against a withdrawn key that comes back with a late reading."""
    rig.configure(version=3, keys={})
    rig.configure(version=2, keys={"k": "team"})
    assert rig.admit().kind is ErrorKind.KEY_REJECTED


def test_an_accepted_job_is_stored_before_it_is_answered(rig):
    """Guard against an accepted job that no next owner would find."""
    assert rig.submit() is None
    assert job_row_key(ID) in rig.rows.rows
    assert isinstance(rig.owner_router.notices[0], JobNotice)
    assert rig.submit() is None
    assert len(rig.owner_router.notices) == 1


def test_a_job_that_the_store_could_not_hold_is_refused(rig):
    """Guard against a job whose row makes every later write fail."""
    rig.job_api.row_max_bytes = 10
    assert rig.submit().kind is ErrorKind.BODY_TOO_LARGE
    assert rig.rows.rows == {}


def test_a_state_is_read_from_the_store_without_an_owner(rig):
    """Guard against an accepted job that is answered as unknown during a takeover."""
    rig.submit()
    admitted = rig.admit()
    assert asyncio.run(rig.job_api.job_state(admitted)) == "queued"
    done = encode(Progress(JobPhase.COMPLETED))
    rig.rows.apply(RowsTxn({}, {progress_row_key(ID): done}))
    assert asyncio.run(rig.job_api.job_state(admitted)) == "completed"


def test_a_job_that_the_owner_does_not_know_yet_is_looked_up(rig):
    """Guard against a 410 for a job whose notice is still on its way."""
    rig.submit()
    rig.owner_router.answer = StateReply()
    assert asyncio.run(rig.job_api.job_state(rig.admit())) == "queued"


def test_a_state_that_cannot_be_found_is_not_called_missing(rig):
    """Guard against a 410 for an accepted job while neither owner nor store answers."""
    rig.submit()
    rig.rows.down = True
    refusal = asyncio.run(rig.job_api.job_state(rig.admit()))
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_job_of_another_team_is_not_shown(rig):
    """Guard against a key that reads the jobs of others."""
    rig.owner_router.answer = StateReply("running", "q", "other")
    refusal = asyncio.run(rig.job_api.job_state(rig.admit()))
    assert refusal.kind is ErrorKind.FORBIDDEN


def test_a_count_comes_from_the_owner_or_not_at_all(rig):
    """Guard against a queue that is shown as empty because its owner changes."""
    rig.owner_router.answer = PendingReply(7)
    assert asyncio.run(rig.job_api.count_pending_jobs(rig.admit(path="/q/"))) == 7
    rig.owner_router.answer = NotOwner("n2")
    refusal = asyncio.run(rig.job_api.count_pending_jobs(rig.admit(path="/q/")))
    assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_cancellation_is_stored_before_it_is_acknowledged(rig):
    """Guard against a cancelled job that the next owner runs."""
    rig.submit()
    rig.owner_router.answer = StateReply("running", "q", "team")
    call = rig.call()
    assert asyncio.run(rig.job_api.cancel(call, rig.admit())) is None
    assert any(key.key == f"{ID}/cancel" for key in rig.rows.rows)
