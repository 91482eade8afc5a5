"""Serve the caller and admin APIs on loopback for tests, with a fake daemon behind them."""

import asyncio

import attrs
import orjson
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.admin import make_admin_app
from baobabhoist.gateway.admin_handler import AdminOptions
from baobabhoist.gateway.caller_handler import CallerOptions
from baobabhoist.gateway.callers import make_caller_app
from baobabhoist.gateway.early_checks import AdminEarlyCheck, CallerEarlyCheck
from baobabhoist.gateway.server import make_http_server
from baobabhoist.model import (
    FINAL_JOB_STATES,
    Answer,
    JobExplanation,
    JobState,
    JobStatus,
    TaskState,
)
from baobabhoist.observability.metrics import Metrics
from baobabhoist.peer.mesh import PeerAddress, PeerState
from baobabhoist.peer.messages import Heartbeat
from baobabhoist.records.changes import record_from_row
from baobabhoist.records.keys import key_digest
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.memory_table import MemoryTable

OPERATOR_HEADERS = {"X-Operator-Key": "operator"}
ROSTER_HEADERS = {"X-Team-Key": "roster-key"}
SHARD = {"data_centre": "north", "workers": []}
RECORDS = [
    ("team", "roster", {"limit": 4}),
    ("team", "other", {"limit": 4}),
    ("team", "public", {"limit": 1}),
    ("key", "roster-1", {"team": "roster", "digest": key_digest("roster-key")}),
    ("key", "other-1", {"team": "other", "digest": key_digest("other-key")}),
    ("key", "tess", {"operator": True, "digest": key_digest("tess-key")}),
    ("shard", "n1", SHARD),
    ("shard", "n2", SHARD),
    ("shard", "s1", {"data_centre": "south", "workers": []}),
    ("queue", "entries", {}),
    ("queue", "checks", {"open_to_all": True, "home_data_centres": ["south"]}),
    ("queue", "reports", {"kinds": ["batch"]}),
]


class FakeJobService:
    """Store jobs in memory; all jobs share one state."""

    def __init__(self):
        self.specs = {}
        self.state = JobState.QUEUED

    async def submit(self, spec):
        self.specs.setdefault(spec.job_id, spec)
        return await self.status(spec.job_id, spec.team)

    async def status(self, job_id, team):
        spec = self.specs.get(job_id)
        if spec is None or team not in (None, spec.team):
            return Refusal(ErrorKind.NOT_FOUND, f"there is no job {job_id}", remedy="list them")
        counts = {TaskState(self.state.value): len(spec.tasks)}
        return JobStatus(job_id, self.state, counts, "", None, spec.team, spec.queue, spec.kind)

    async def cancel(self, job_id, team):
        status = await self.status(job_id, team)
        if isinstance(status, JobStatus):
            self.state = JobState.CANCELLED
        return await self.status(job_id, team)

    async def explain(self, job_id, team):
        status = await self.status(job_id, team)
        if isinstance(status, Refusal):
            return status
        return JobExplanation(job_id, status.state, "no place", {"the team is at its limit": 2})

    async def list(self, team):
        specs = [spec for spec in self.specs.values() if team in (None, spec.team)]
        return tuple([await self.status(spec.job_id, team) for spec in specs])

    async def unfinished_job_ids(self, queue):
        if self.state in FINAL_JOB_STATES:
            return ()
        return tuple(spec.job_id for spec in self.specs.values() if spec.queue == queue)


@attrs.define
class FakeSettings:
    operator_key_digest: str = key_digest("operator")


class FakeDaemon:
    """Replace the daemon; each request is answered with its own body unless `answer` is set."""

    def __init__(self):
        self.cfg = FakeSettings()
        self.table = MemoryTable()
        self.view = RecordView()
        self.ready = True
        self.mesh = self
        self.routed_requests = []
        self.answer = None
        heartbeat = Heartbeat("entry-2", "south", ("s1",), 3, draining=False)
        address = PeerAddress("entry-2", "south", "127.0.0.1", 1)
        self.peers = {"entry-2": PeerState(address, heartbeat=heartbeat, live_until=0.0)}
        for revision, (kind, name, body) in enumerate(RECORDS, 1):
            version = 2 if kind == "queue" else 1
            self.view.apply(Record(kind, name, version, revision, body))

    def heartbeat(self):
        return Heartbeat("entry-1", "north", ("n1",), self.view.revision, draining=False)

    async def route(self, req):
        self.routed_requests.append(req)
        if self.answer is not None:
            return await self.answer(req)
        return Answer(req.request_id, 200, req.task.payload, "text/plain")

    async def apply_log(self):
        for row in await self.table.scan("log/"):
            self.view.apply(record_from_row(row))


@attrs.frozen
class HttpReply:
    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return orjson.loads(self.body)


class Gateway:
    """Serve both applications while used as an asynchronous context manager."""

    def __init__(self, intake=None, **caller_options):
        self.intake = intake
        self.daemon = FakeDaemon()
        self.jobs = FakeJobService()
        self.callers = CallerOptions(
            jobs=self.jobs, data_centre="north", metrics=Metrics(), **caller_options
        )
        self.admin = AdminOptions(
            jobs=self.jobs, open_requests=self.callers.open_requests, metrics=self.callers.metrics
        )
        self.apps = {
            "callers": make_caller_app(self.daemon, self.callers),
            "admin": make_admin_app(self.daemon, self.admin),
        }
        self.early_checks = {
            "callers": CallerEarlyCheck(self.daemon, self.callers),
            "admin": AdminEarlyCheck(self.daemon, self.admin),
        }
        self.ports = {}
        self._servers = []

    async def __aenter__(self):
        for name, app in self.apps.items():
            limits = self.callers.limits if name == "callers" else self.admin.limits
            sock, self.ports[name] = bind_unused_port()
            server = make_http_server(
                app, limits, intake=self.intake, early_check=self.early_checks[name]
            )
            server.add_sockets([sock])
            self._servers.append(server)
        return self

    async def __aexit__(self, *_):
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    async def call(self, listener, method, path, headers=None, body=None):
        if body is not None and not isinstance(body, bytes):
            body = orjson.dumps(body)
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.ports[listener]}{path}",
            method=method,
            headers=headers,
            body=body,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        return HttpReply(response.code, dict(response.headers.get_all()), response.body)

    async def post(self, path, headers=None, body=b""):
        return await self.call("callers", "POST", path, headers, body)

    async def send_raw(self, listener, data, *, close=False):
        """Send bytes on a new connection and return all bytes received."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[listener])
        writer.write(data)
        if close:
            writer.write_eof()
        received = await reader.read()
        writer.close()
        return received


def with_gateway(test, **caller_options):
    """Run an asynchronous test with a running gateway."""

    async def run():
        async with Gateway(**caller_options) as gateway:
            return await test(gateway)

    return asyncio.run(run())
