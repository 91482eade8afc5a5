"""Serve simulated workers and the placement adviser of the platform over HTTP."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Container, Iterable
from pathlib import Path
from typing import Any

import orjson
from absl import app, flags
from tornado.web import Application, RequestHandler

from baobabhoist.platform.testing.simulated_worker import Worker, WorkerHub
from baobabhoist.platform.testing.soak_advice import (
    PROFILES,
    AdviserQueue,
    approved_workers,
    issue_ticket,
)
from baobabhoist.platform.testing.soak_checker import WORKER_CAPACITY
from baobabhoist.platform.testing.store import drop_connection

FLAGS = flags.FLAGS

TARGET_HEADER = "X-Target-Instance"
LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S = 2.0, 6.0
# Each worker's clock runs slower than real time by up to this fraction.
CLOCK_SLOWDOWN_MAX = 0.02


class WorkerCommandHandler(RequestHandler):
    """Handle the commands that instances send to one worker."""

    def initialize(self, worker: Worker) -> None:
        """Set the worker."""
        self.worker = worker

    async def post(self) -> None:
        """Start a run, stop one or renew the lease."""
        worker, body = self.worker, orjson.loads(self.request.body)
        if worker.gone:
            drop_connection(self)
            return
        if worker.is_other(self.request.headers.get(TARGET_HEADER)):
            self.set_status(421)
            self.finish({"clockMs": int(worker.clock_ms())})
            return
        if self.request.path == "/-/hold":
            await self._renew_lease(body)
            return
        if worker.mode == "delay_starts" and self.request.path == "/-/run-start":
            await self._delay_start(body)
            return
        execute = worker.start_run if self.request.path == "/-/run-start" else worker.stop_run
        if worker.mode == "late":
            delay_s = worker.hub.rng.uniform(LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S)
            incarnation = worker.started_unix_ms
            asyncio.get_running_loop().call_later(
                delay_s, worker.execute_late, execute, body, incarnation
            )
            await asyncio.sleep(LATE_COMMAND_MAX_S)
            return
        status, reason = execute(body)
        if worker.mode == "lose":
            drop_connection(self)
            return
        self.set_status(status)
        self.finish({"clockMs": int(worker.clock_ms()), "reason": reason})

    async def _delay_start(self, body: dict[str, Any]) -> None:
        """Let a start wait on the network; its sender gets no response."""
        worker, target_id = self.worker, self.request.headers.get(TARGET_HEADER)
        worker.log_start("start_delayed", body)
        max_s = worker.start_delay_max_s or LATE_COMMAND_MAX_S
        delay_s = worker.hub.rng.uniform(LATE_COMMAND_MIN_S, max_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, worker.receive_late_start, target_id, body)
        await asyncio.sleep(LATE_COMMAND_MAX_S)
        drop_connection(self)

    async def _renew_lease(self, body: dict[str, Any]) -> None:
        worker = self.worker
        if not worker.accept_token(body["fencingToken"]):
            self.set_status(409)
            self.finish({"clockMs": int(worker.clock_ms()), "reason": "fence"})
            return
        if "deadlineMs" in body:
            worker.extend_lease(body["deadlineMs"])
        worker.acknowledge_ends(body.get("ackCursor", 0))
        worker.run_ended.clear()
        if body.get("waitMs") and not worker.unacked_ends:
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await worker.run_ended.wait()
            except TimeoutError:
                pass
        if worker.gone:
            drop_connection(self)
            return
        self.finish(orjson.dumps(worker.make_report()))


class AdviserHandler(RequestHandler):
    """Act as the placement adviser towards one machine, whose calls it handles in turn."""

    def initialize(self, hub: WorkerHub, queue: AdviserQueue) -> None:
        """Set the workers, and the calls of the machine."""
        self.hub, self.queue = hub, queue

    async def post(self) -> None:
        """Return tickets for the approved workers."""
        body = orjson.loads(self.request.body)
        step, workers = body["step"], body["workers"]
        policy = self.hub.profile.policy_of(step.partition(".")[0])
        if self.queue.is_full or policy is None:
            self.set_status(429 if policy else 400)
            return
        await self.queue.process(policy.cost_s(len(workers)))
        approved = [
            [name, issue_ticket(step, name, worker.started_unix_ms, policy.validity_ms)]
            for name in approved_workers(policy, step, workers)
            if (worker := self.hub.workers.get(name)) is not None
        ]
        self.finish({"approved": approved, "validityMs": policy.validity_ms})


class ControlHandler(RequestHandler):
    """Handle commands of the soak: POST /workers/ID with {"mode": ...}, {"crash": 1} and so on.

    A worker that has ended for good takes no further commands.
    """

    def initialize(self, hub: WorkerHub) -> None:
        """Set the workers."""
        self.hub = hub

    async def post(self, worker_id: str) -> None:
        """Crash a worker, end it, let it join or change its attributes."""
        worker, body = self.hub.workers[worker_id], orjson.loads(self.request.body)
        self.hub.log("command", worker=worker_id, **body)
        if not worker.has_ended:
            await self._carry_out(worker, body)
        self.finish({})

    async def _carry_out(self, worker: Worker, body: dict[str, Any]) -> None:
        if "end" in body:
            worker.end(for_good=body["end"] == "for_good")
            return
        if body.pop("join", False):
            self.hub.join(worker)
            return
        if body.pop("crash", False):
            worker.crash()
        for name, value in body.items():
            setattr(worker, name, value)
        if worker.gone:
            for run in list(worker.runs.values()):
                worker.end_run(run, "crashed")
        await self.hub.write_directory_row(worker)


def add_workers(hub: WorkerHub, worker_specs: Iterable[str]) -> None:
    """Add workers that are given as ID:PORT:ADVERTISED_PORT:RACK:DATA_CENTRE; none joins yet."""
    numbers = itertools.count()
    for worker_spec in worker_specs:
        worker_id, port, advertised_port, rack, data_centre = worker_spec.split(":")
        number = next(numbers)
        hub.workers[worker_id] = Worker(
            worker_id,
            int(port),
            int(advertised_port),
            "svc",
            ("a" if number % 2 else "b", rack),
            {**WORKER_CAPACITY, "gpu": 0},
            hub,
            data_centre,
            clock_rate=1.0 - hub.rng.uniform(0, CLOCK_SLOWDOWN_MAX),
            gone=True,
        )


async def serve(
    hub: WorkerHub, spares: Container[str], control_port: int, adviser_ports: Iterable[int]
) -> None:
    """Serve all workers and the adviser until cancelled; the spare workers join on command."""
    for worker in hub.workers.values():
        handlers = [(r"/-/(?:run-start|run-stop|hold)", WorkerCommandHandler, {"worker": worker})]
        Application(handlers).listen(worker.port, "127.0.0.1")
    for port in adviser_ports:
        adviser = {"hub": hub, "queue": AdviserQueue()}
        Application([(r"/-/advise", AdviserHandler, adviser)]).listen(port, "127.0.0.1")
    commands = Application([(r"/workers/(.+)", ControlHandler, {"hub": hub})])
    commands.listen(control_port, "127.0.0.1")
    for worker in hub.workers.values():
        if worker.worker_id not in spares:
            hub.join(worker)
    await hub.advance_periodically()


def main(argv: list[str]) -> None:
    """Serve the workers that the flags describe."""
    hub = WorkerHub(Path(FLAGS.log), FLAGS.store, profile=PROFILES[FLAGS.profile])
    add_workers(hub, FLAGS.workers)
    adviser_ports = map(int, FLAGS.adviser_ports)
    asyncio.run(serve(hub, FLAGS.spares, FLAGS.control_port, adviser_ports))


if __name__ == "__main__":
    flags.DEFINE_list("workers", [], "Workers as ID:PORT:ADVERTISED_PORT:RACK:DATA_CENTRE.")
    flags.DEFINE_list("spares", [], "Ids of the workers that join only on command.")
    flags.DEFINE_integer("control_port", 0, "Port for commands of the soak.")
    flags.DEFINE_list("adviser_ports", [], "Ports of the placement adviser, one a machine.")
    flags.DEFINE_enum("profile", "mixed", sorted(PROFILES), "Which queues need advice.")
    flags.DEFINE_string("store", "", "Address of the store.")
    flags.DEFINE_string("log", "", "Path of the log of runs.")
    app.run(main)
