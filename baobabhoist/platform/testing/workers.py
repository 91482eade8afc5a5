"""Serve several workers and the placement adviser as the platform does, and log their runs."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import random
import time
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import orjson
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.web import Application, RequestHandler

from baobabhoist.platform.testing.soak_judge import CAPACITY
from baobabhoist.platform.testing.store import EXTERNAL_WRITER_HEADER, drop_connection

FLAGS = flags.FLAGS

STEP_S = 0.01
REPORT_INTERVAL_S = 1.0
LEASE_MAX_MS = 6_000.0
GANG_TIMEOUT_MS = 3_000.0
CHECKPOINT_MS = 500.0
STOP_MAX_MS = 300.0
TICKET_VALID_MS = 2_000
ENDS_AT_ONCE = 500
LATE_MIN_S, LATE_MAX_S = 2.0, 6.0
# A worker's clock may be this much slow.
CLOCK_DRIFT_MAX = 0.02


@attrs.define
class Plan:
    """Hold what a run should do, from its payload: `members` is the size of its gang or 0."""

    run_ms: float
    failures: int = 0
    members: int = 0
    saves: bool = False


@attrs.define
class Run:
    """Hold a run on a worker; times are on the worker's clock, in ms."""

    task: str
    number: int
    plan: Plan
    arrived_ms: float
    began_ms: float | None
    worked_ms: float = 0.0
    saved: str = ""
    stop_at_ms: float | None = None

    @property
    def percent(self) -> float:
        """Return how much of the work is done."""
        return min(100.0, 100.0 * self.worked_ms / max(1.0, self.plan.run_ms))


@attrs.define(eq=False)
class Worker:
    """Own one worker: its lease, runs and ends. Modes: normal, fail, hang, late, lose."""

    worker_id: str
    port: int
    listed_port: int
    service: str
    labels: tuple[str, ...]
    capacity: dict[str, int]
    hub: Hub
    rate: float = 1.0
    mode: str = "normal"
    born_ms: int = 0
    began_s: float = attrs.Factory(time.monotonic)
    token: int = 0
    lease_until_ms: float = 0.0
    leased: bool = False
    runs: dict[str, Run] = attrs.Factory(dict)
    ends: list[list[Any]] = attrs.Factory(list)
    highest: dict[str, int] = attrs.Factory(dict)
    count: int = 0
    sequence: int = 0
    draining: bool = False
    gone: bool = False
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def clock_ms(self) -> float:
        """Return the worker's own steady clock."""
        return (time.monotonic() - self.began_s) * 1000 * self.rate

    def entry(self) -> dict[str, Any]:
        """Return the worker's row in the directory."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.listed_port}",
            "zone": "z1",
            "version": 1,
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "remainingMs": 2_000 if self.draining else 0,
        }

    # Orders.

    def obey(self, token: int) -> bool:
        """Take the fencing token; tell whether it is the highest so far."""
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, deadline_ms: float) -> None:
        """Extend the lease, at most to the longest one."""
        longest = self.clock_ms() + LEASE_MAX_MS
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, longest))
        self.leased = True

    def start(self, body: dict[str, Any]) -> tuple[int, str]:
        """Carry a start out; return the status and the reason of a refusal."""
        if not self.obey(body["fencingToken"]):
            return 409, "fence"
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self.extend(body["deadlineMs"])
        task, number = body["task"], body["runId"]
        held = self.runs.get(task)
        if held is not None and held.number == number:
            return 200, ""
        if held is not None or number <= self.highest.get(task, 0):
            return 409, "old"
        plan = Plan(**json.loads(body["taskSpec"])["plan"])
        now, saved = self.clock_ms(), body.get("checkpoint", "")
        run = Run(task, number, plan, now, None if plan.members else now, saved=saved)
        run.worked_ms = float(int(saved[:8], 16)) if saved else 0.0
        self.runs[task] = run
        self.highest[task] = number
        spec = zlib.crc32(body["taskSpec"].encode())
        self.log("start", run, spec=spec, checkpoint=saved, token=self.token, mode=self.mode)
        return 200, ""

    def stop(self, body: dict[str, Any]) -> tuple[int, str]:
        """Carry a stop out; a run that never came is remembered as ended."""
        if not self.obey(body["fencingToken"]):
            return 409, "fence"
        run = self.runs.get(body["task"])
        if run is not None and run.number <= body["runId"] and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + self.hub.rng.uniform(0, STOP_MAX_MS)
        self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["runId"])
        return 200, ""

    def forget_ends(self, cursor: int) -> None:
        """Forget ends that were taken note of."""
        for end in self.ends:
            if end[0] <= cursor:
                self.hub.log("acked", worker=self.worker_id, task=end[1], run=end[2])
        self.ends = [end for end in self.ends if end[0] > cursor]

    def lists(self) -> dict[str, Any]:
        """Return what runs and what ended."""
        running = [[r.task, r.number, r.saved, int(r.percent), 0] for r in self.runs.values()]
        return {
            "clockMs": int(self.clock_ms()),
            "born": self.born_ms,
            "running": running,
            "finished": self.ends[:ENDS_AT_ONCE],
        }

    # Time.

    def advance(self, passed_ms: float) -> None:
        """Let runs work, save, end and lapse."""
        now = self.clock_ms()
        if self.leased and now >= self.lease_until_ms:
            # Also without a run: ends from before the lapse count as known no more.
            self.leased = False
            self.hub.log("lapsed", worker=self.worker_id)
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            self._advance_run(run, now, passed_ms)

    def _advance_run(self, run: Run, now: float, passed_ms: float) -> None:
        if run.task not in self.runs:
            return
        if run.stop_at_ms is not None and now >= run.stop_at_ms:
            self._save(run)
            self.end(run, "stopped")
        elif run.began_ms is None:
            if now - run.arrived_ms > GANG_TIMEOUT_MS:
                self.end(run, "alone")
        elif self.mode != "hang":
            before = run.worked_ms
            run.worked_ms += passed_ms * self.rate
            if run.worked_ms // CHECKPOINT_MS > before // CHECKPOINT_MS:
                self._save(run)
            if run.worked_ms >= run.plan.run_ms:
                fails = self.mode == "fail" or run.number <= run.plan.failures
                self.end(run, "failed" if fails else "done")

    def _save(self, run: Run) -> None:
        if run.plan.saves:
            step = run.task.rpartition(".")[0] if run.plan.members else run.task
            run.saved = f"{int(run.worked_ms):08x}{zlib.crc32(step.encode()):08x}"

    def end(self, run: Run, how: str) -> None:
        """End a run, and its gang's other members with it."""
        if self.runs.pop(run.task, None) is None:
            return
        self.count += 1
        self.ends.append([self.count, run.task, run.number, how, run.saved])
        self.log("end", run, how=how)
        self.changed.set()
        self._end_gang(run, "done" if how == "done" else "broken")

    def _end_gang(self, run: Run, how: str) -> None:
        """End the other members of a run's gang, if it is one."""
        if run.plan.members:
            for worker, member in self.hub.gang(run):
                worker.end(member, how)

    def crash(self) -> None:
        """Lose everything, and begin a new lifetime under the same id."""
        for run in self.runs.values():
            self.log("end", run, how="crashed")
        self.hub.log("crashed", worker=self.worker_id)
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            self._end_gang(run, "broken")
        self.ends.clear()
        self.highest.clear()
        self.token, self.count, self.lease_until_ms = 0, 0, 0.0
        self.born_ms, self.began_s = int(time.time() * 1000), time.monotonic()
        self.draining = self.gone = False

    def log(self, event: str, run: Run, **fields: Any) -> None:
        """Log what happened to a run."""
        self.hub.log(event, worker=self.worker_id, task=run.task, run=run.number, **fields)


@attrs.define(eq=False)
class Hub:
    """Own all workers, the adviser and their log."""

    path: Path
    store: str
    workers: dict[str, Worker] = attrs.Factory(dict)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    http: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)

    def log(self, event: str, **fields: Any) -> None:
        """Add a line to the log."""
        line = json.dumps({"t": time.time(), "event": event, **fields})
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def gang(self, run: Run) -> list[tuple[Worker, Run]]:
        """Return the members of a run's gang that are on workers."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in list(worker.runs.values())
            if other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def gather_gangs(self) -> None:
        """Let gangs begin whose members are all present."""
        waiting = [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.began_ms is None
        ]
        for _, run in waiting:
            members = self.gang(run)
            if len(members) == run.plan.members:
                for other, member in members:
                    member.began_ms = other.clock_ms()

    async def advance_forever(self) -> None:
        """Let time pass on all workers."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            passed_ms, last_s = (time.monotonic() - last_s) * 1000, time.monotonic()
            for worker in self.workers.values():
                worker.advance(passed_ms)
            self.gather_gangs()

    async def report_forever(self, worker: Worker) -> None:
        """Write a worker's row to the directory again and again."""
        while True:
            await self.report(worker)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def report(self, worker: Worker) -> None:
        """Write a worker's row, or remove it once the worker has left."""
        row = {"table": "servers", "part": "", "key": worker.worker_id}
        if worker.gone:
            body = {"remove": [row]}
        else:
            value = base64.b64encode(orjson.dumps(worker.entry())).decode()
            body = {"puts": [{**row, "value": value}]}
        try:
            await self.http.fetch(
                f"http://{self.store}/-/rows-tx",
                method="POST",
                headers={EXTERNAL_WRITER_HEADER: "worker"},
                body=orjson.dumps(body),
            )
        except (OSError, HTTPClientError) as exc:
            self.log("report_failed", worker=worker.worker_id, detail=str(exc))


class OrderHandler(RequestHandler):
    """Take the orders to one worker."""

    def initialize(self, worker: Worker) -> None:
        """Take the worker."""
        self.worker = worker

    async def post(self) -> None:
        """Carry an order out."""
        worker, body = self.worker, orjson.loads(self.request.body)
        if worker.gone:
            drop_connection(self)
            return
        if self.request.headers.get("X-Target-Instance") not in (None, worker.worker_id):
            self.set_status(421)
            self.finish({"clockMs": int(worker.clock_ms())})
            return
        if self.request.path == "/-/hold":
            await self._renew(body)
            return
        carry_out = worker.start if self.request.path == "/-/run-start" else worker.stop
        if worker.mode == "late":
            delay_s = worker.hub.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            asyncio.get_running_loop().call_later(delay_s, carry_out, body)
            await asyncio.sleep(LATE_MAX_S)
            return
        status, reason = carry_out(body)
        if worker.mode == "lose":
            drop_connection(self)
            return
        self.set_status(status)
        self.finish({"clockMs": int(worker.clock_ms()), "reason": reason})

    async def _renew(self, body: dict[str, Any]) -> None:
        worker = self.worker
        if not worker.obey(body["fencingToken"]):
            self.set_status(409)
            self.finish({"clockMs": int(worker.clock_ms()), "reason": "fence"})
            return
        if "deadlineMs" in body:
            worker.extend(body["deadlineMs"])
        worker.forget_ends(body.get("ackCursor", 0))
        worker.changed.clear()
        if body.get("waitMs") and not worker.ends:
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        self.finish(orjson.dumps(worker.lists()))


class AdviseHandler(RequestHandler):
    """Be the placement adviser: nearly every worker may run a step."""

    async def post(self) -> None:
        """Return tickets."""
        body = orjson.loads(self.request.body)
        await asyncio.sleep(0.02)
        approved = [
            [worker, "ticket"]
            for worker in body["workers"]
            if zlib.crc32((body["step"] + worker).encode()) % 4
        ]
        self.finish({"approved": approved, "validityMs": TICKET_VALID_MS})


class CommandHandler(RequestHandler):
    """Take commands: POST /workers/ID {"mode": ...} or {"crash": 1}, {"draining": ...}, ..."""

    def initialize(self, hub: Hub) -> None:
        """Take the workers."""
        self.hub = hub

    async def post(self, worker_id: str) -> None:
        """Change a worker."""
        worker, body = self.hub.workers[worker_id], orjson.loads(self.request.body)
        if body.pop("crash", False):
            worker.crash()
        for name, value in body.items():
            setattr(worker, name, value)
        if worker.gone:
            for run in list(worker.runs.values()):
                worker.end(run, "crashed")
        self.hub.log("command", worker=worker_id, **body)
        await self.hub.report(worker)
        self.finish({})


def make_workers(hub: Hub, texts: Iterable[str]) -> None:
    """Add workers given as ID:PORT:LISTED_PORT:RACK."""
    numbers = itertools.count()
    for text in texts:
        worker_id, port, listed, rack = text.split(":")
        number = next(numbers)
        hub.workers[worker_id] = Worker(
            worker_id,
            int(port),
            int(listed),
            "svc",
            ("a" if number % 2 else "b", rack),
            {**CAPACITY, "gpu": 0},
            hub,
            rate=1.0 - hub.rng.uniform(0, CLOCK_DRIFT_MAX),
            born_ms=int(time.time() * 1000),
        )


async def serve(hub: Hub, control_port: int, adviser_port: int) -> None:
    """Serve all workers until cancelled."""
    for worker in hub.workers.values():
        handlers = [(r"/-/(?:run-start|run-stop|hold)", OrderHandler, {"worker": worker})]
        Application(handlers).listen(worker.port, "127.0.0.1")
    Application([(r"/-/advise", AdviseHandler)]).listen(adviser_port, "127.0.0.1")
    commands = Application([(r"/workers/(.+)", CommandHandler, {"hub": hub})])
    commands.listen(control_port, "127.0.0.1")
    await asyncio.gather(
        hub.advance_forever(), *(hub.report_forever(worker) for worker in hub.workers.values())
    )


def main(argv: list[str]) -> None:
    """Serve the workers."""
    hub = Hub(Path(FLAGS.log), FLAGS.store)
    make_workers(hub, FLAGS.workers)
    asyncio.run(serve(hub, FLAGS.control_port, FLAGS.adviser_port))


if __name__ == "__main__":
    flags.DEFINE_list("workers", [], "Workers as ID:PORT:LISTED_PORT:RACK.")
    flags.DEFINE_integer("control_port", 0, "Port for commands.")
    flags.DEFINE_integer("adviser_port", 0, "Port of the placement adviser.")
    flags.DEFINE_string("store", "", "Address of the store.")
    flags.DEFINE_string("log", "", "File for the log of runs.")
    app.run(main)
