"""Stand in for workers that run tasks under leases and fencing tokens."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Sequence
from typing import Any

import attrs
import orjson
from absl import app, flags
from tornado.web import Application, RequestHandler
from websockets.asyncio.server import ServerConnection, serve

from baobabhoist.model import EndedTask, Resources, RunningTask
from baobabhoist.ownership.fence import Fence
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.link import Link
from baobabhoist.testing.worker_log import EventLog
from baobabhoist.upstream.link import WORKER_WEBSOCKET_OPTIONS
from baobabhoist.upstream.messages import (
    CODEC,
    CheckpointTask,
    FenceWorker,
    LeasesRenewed,
    OutcomeReport,
    QueryOutcome,
    ReadInventory,
    RenewLeases,
    RunTask,
    StopTask,
    TaskEnded,
    TaskRefused,
    ThrottleTask,
    TokenRefused,
    WorkerFencedReply,
)

FLAGS = flags.FLAGS

MODES = ("normal", "fail", "slow", "hang", "leaving")
SLOW_FACTOR = 10.0
# A request key is remembered until its deadline, at most 10 minutes, plus the clock skew.
REMEMBER_S = 660.0
LEASE_CHECK_INTERVAL_S = 0.1
# Bounds of one page of an inventory and of a body inside it.
PAGE_TASKS = 500
PAGE_BYTES = 1 << 20
INLINE_BODY_BYTES = 4096
PERCENT = 100


@attrs.define(eq=False)
class Execution:
    """Hold one running task; `lease_deadline` is in Unix seconds."""

    call: RunTask
    lease_deadline: float
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    stopped: bool = False
    reason: str = ""
    percent: int = PERCENT

    def end(self, reason: str) -> None:
        """Ask the task to stop."""
        self.reason = self.reason or reason
        self.stopped = True
        self.changed.set()

    def throttle(self, percent: int) -> None:
        """Limit the task's use of processors to a percentage."""
        self.percent = max(1, min(PERCENT, percent))
        self.changed.set()


@attrs.frozen
class Orders:
    """Hold what a payload asks of the stand-in; other payloads run for the default time."""

    run_s: float
    fail: bool = False
    cpu_milli: int | None = None
    ref: str = ""

    @classmethod
    def of(cls, payload: bytes, default_run_s: float) -> Orders:
        """Read the orders in a payload that is a JSON object."""
        if payload.startswith(b"{"):
            try:
                body = orjson.loads(payload)
                run_s = float(body.get("run_s", default_run_s))
                fail, cpu_milli = bool(body.get("fail", False)), body.get("cpu_milli")
                return cls(run_s, fail, cpu_milli, str(body.get("ref", "")))
            except (orjson.JSONDecodeError, TypeError, ValueError):
                pass
        return cls(default_run_s)


class Worker:
    """Run tasks; the answer to a task is the worker's name and the payload."""

    def __init__(
        self,
        name: str,
        capacity: Resources,
        run_s: float = 0.0,
        usage_lag_s: float = 0.0,
        events: EventLog | None = None,
        rack: str = "",
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.fence = Fence()
        self.mode = "normal"
        self.running: dict[str, Execution] = {}
        self.ended: dict[str, EndedTask] = {}
        self.voided: dict[str, float] = {}
        self._ended_at: deque[tuple[float, str]] = deque()
        self._reported: list[RunningTask | EndedTask] = []
        self._run_s = run_s
        self._usage_lag_s = usage_lag_s
        self._usage: deque[tuple[float, int]] = deque()
        self._events = events or EventLog("")
        self._events.write("up", name, capacity=attrs.astuple(capacity), rack=rack)

    async def handle(self, message: Any) -> Any:
        """Answer one message of an owner."""
        if isinstance(message, FenceWorker):
            return self._present(message)
        if not self.fence.allows(message.token):
            return TokenRefused(self.fence.highest_token)
        match message:
            case RunTask():
                return await self._run(message)
            case RenewLeases():
                return self._renew(message)
            case QueryOutcome():
                return self._report(message.task_id)
            case ReadInventory():
                return self._page(int(message.page))
            case StopTask():
                return self._stop(message.task_id, "stopped")
            case CheckpointTask():
                return self._stop(message.task_id, "checkpointed")
            case ThrottleTask():
                return self._throttle(message)
        return None

    def set_mode(self, mode: str) -> None:
        """Change how tasks fare from now on."""
        self.mode = mode
        self._events.write("mode", self.name, mode=mode)

    def check_leases(self, now: float) -> None:
        """Stop the tasks whose lease has lapsed and forget old task ids."""
        for execution in self.running.values():
            if execution.lease_deadline <= now:
                execution.end("lease")
        while self._ended_at and self._ended_at[0][0] <= now - REMEMBER_S:
            del self.ended[self._ended_at.popleft()[1]]
        while self.voided and next(iter(self.voided.values())) <= now - REMEMBER_S:
            del self.voided[next(iter(self.voided))]
        self._usage.append((now, self._cpu_in_use()))
        while len(self._usage) > 1 and self._usage[1][0] <= now - self._usage_lag_s:
            self._usage.popleft()

    def _present(self, call: FenceWorker) -> Any:
        previous = self.fence.highest_token
        if not self.fence.accept(call.token):
            return TokenRefused(self.fence.highest_token)
        self._events.write("fenced", self.name, token=attrs.astuple(call.token))
        self._reported = [*self._inventory(), *map(without_large_body, self.ended.values())]
        return self._page(0, previous)

    def _page(self, start: int, previous: Token | None = None) -> WorkerFencedReply:
        """Return a part of the inventory as it was when the token was taken."""
        end, size = start, 0
        while end < min(len(self._reported), start + PAGE_TASKS) and size < PAGE_BYTES:
            size += len(getattr(self._reported[end], "body", b""))
            end += 1
        part = self._reported[start:end]
        more = end < len(self._reported)
        return WorkerFencedReply(
            tuple(task for task in part if isinstance(task, RunningTask)),
            tuple(task for task in part if isinstance(task, EndedTask)),
            str(end) if more else "",
            previous,
        )

    async def _run(self, call: RunTask) -> Any:
        task = call.task
        reason = self._reason_to_refuse(call)
        if reason is not None:
            self._void(task.task_id)
            self._log_task("refused", call, reason=reason)
            return TaskRefused(task.task_id, reason)
        execution = Execution(call, call.lease_deadline)
        self.running[task.task_id] = execution
        self._log_task("started", call)
        succeeded = await self._work(execution)
        del self.running[task.task_id]
        body = f"{self.name}:".encode() + task.payload if succeeded else execution.reason.encode()
        self.ended[task.task_id] = EndedTask(task.task_id, task.team, succeeded, body)
        self._ended_at.append((time.time(), task.task_id))
        self._log_task("stopped" if execution.stopped else "ended", call, reason=execution.reason)
        return TaskEnded(task.task_id, succeeded, body, self.fence.highest_token)

    def _reason_to_refuse(self, call: RunTask) -> str | None:
        task = call.task
        if task.task_id in self.running or task.task_id in self.ended:
            return "duplicate"
        if task.task_id in self.voided:
            return "void"
        if call.lease_deadline <= time.time():
            return "expired"
        free = self.capacity
        for execution in self.running.values():
            free = free.minus(execution.call.task.resources)
        return None if task.resources.fits_in(free) else "full"

    async def _work(self, execution: Execution) -> bool:
        """Run a task to its end; tell whether it succeeded."""
        orders = Orders.of(execution.call.task.payload, self._run_s)
        if self.mode == "fail" or orders.fail:
            execution.reason = "failed"
            return False
        left_s = orders.run_s * (SLOW_FACTOR if self.mode == "slow" else 1.0)
        if self.mode == "hang":
            left_s = float("inf")
        loop = asyncio.get_running_loop()
        while left_s > 0 and not execution.stopped:
            speed, began_at = execution.percent / PERCENT, loop.time()
            execution.changed.clear()
            try:
                async with asyncio.timeout(left_s / speed):
                    await execution.changed.wait()
            except TimeoutError:
                break
            left_s -= (loop.time() - began_at) * speed
        return not execution.stopped

    def _renew(self, call: RenewLeases) -> LeasesRenewed:
        for execution in self.running.values():
            execution.lease_deadline = max(execution.lease_deadline, call.lease_deadline)
        used = self._usage[0][1] if self._usage else 0
        return LeasesRenewed(tuple(self.running), used)

    def _stop(self, task_id: str, reason: str) -> OutcomeReport:
        if task_id in self.running:
            self.running[task_id].end(reason)
        return self._report(task_id)

    def _throttle(self, call: ThrottleTask) -> OutcomeReport:
        if call.task_id in self.running:
            self.running[call.task_id].throttle(call.percent)
        return self._report(call.task_id)

    def _cpu_in_use(self) -> int:
        total = 0
        for execution in self.running.values():
            task = execution.call.task
            orders = Orders.of(task.payload, self._run_s)
            actual = task.resources.cpu_milli if orders.cpu_milli is None else orders.cpu_milli
            total += actual * execution.percent // PERCENT
        return total

    def _inventory(self) -> tuple[RunningTask, ...]:
        calls = [execution.call for execution in self.running.values()]
        return tuple(
            RunningTask(call.task.task_id, call.task.team, call.task.resources, call.task.kind)
            for call in calls
        )

    def _report(self, task_id: str) -> OutcomeReport:
        if task_id in self.running:
            return OutcomeReport(task_id, "running", None)
        ended = self.ended.get(task_id)
        if ended is None:
            self._void(task_id)
        return OutcomeReport(task_id, "ended" if ended else "never", ended)

    def _void(self, task_id: str) -> None:
        """Refuse an id from now on, since its owner is told that it never runs here."""
        if task_id not in self.ended and task_id not in self.running:
            self.voided[task_id] = time.time()

    def _log_task(self, event: str, call: RunTask, **more: Any) -> None:
        task = call.task
        self._events.write(
            event,
            self.name,
            id=task.task_id,
            team=task.team,
            resources=attrs.astuple(task.resources),
            token=attrs.astuple(call.token),
            ref=Orders.of(task.payload, 0.0).ref,
            kind=task.kind.value,
            urgency=task.urgency.value,
            submitted_at=task.submitted_at,
            **more,
        )


def without_large_body(task: EndedTask) -> EndedTask:
    """Return an ended task as an inventory names it: the owner asks for large bodies."""
    if len(task.body) <= INLINE_BODY_BYTES:
        return task
    return attrs.evolve(task, body=b"", body_omitted=True)


class ModeHandler(RequestHandler):
    """Take commands of tests: POST /workers/NAME {"mode": ...}."""

    def initialize(self, workers: dict[str, Worker]) -> None:
        """Take the workers."""
        self.workers = workers

    def post(self, name: str) -> None:
        """Change the mode of a worker."""
        mode = orjson.loads(self.request.body).get("mode")
        if mode not in MODES or name not in self.workers:
            self.set_status(400)
            self.finish({"error": f"give a worker of this process and one of {', '.join(MODES)}"})
            return
        self.workers[name].set_mode(mode)
        self.finish({"mode": mode})


async def serve_worker(worker: Worker, port: int) -> None:
    """Serve one worker until cancelled."""

    async def handle(conn: ServerConnection) -> None:
        await Link(conn, CODEC, worker.handle).run()

    async with serve(handle, "127.0.0.1", port, **WORKER_WEBSOCKET_OPTIONS):
        while True:
            worker.check_leases(time.time())
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)


async def run(workers: Sequence[tuple[Worker, int]], control_port: int) -> None:
    """Serve all workers of this process until cancelled."""
    if control_port:
        context = {"workers": {worker.name: worker for worker, _ in workers}}
        Application([(r"/workers/(.+)", ModeHandler, context)]).listen(control_port, "127.0.0.1")
    async with asyncio.TaskGroup() as tg:
        for worker, port in workers:
            tg.create_task(serve_worker(worker, port))


def define_flags() -> None:
    """Define the command line; only the program itself does, so that modules stay importable."""
    flags.DEFINE_string("name", "worker", "Name of the worker.")
    flags.DEFINE_integer("port", 0, "Port of the worker.")
    flags.DEFINE_list("workers", [], "Several workers as NAME:PORT, in place of name and port.")
    flags.DEFINE_integer("control_port", 0, "Port for commands of tests; 0 for none.")
    flags.DEFINE_integer("slots", 8, "Number of tasks that may run at once.")
    flags.DEFINE_integer("cpu_milli", 16000, "Processors, in thousandths.")
    flags.DEFINE_integer("memory_mb", 65536, "Memory, in MiB.")
    flags.DEFINE_integer("accelerators", 0, "Number of accelerators.")
    flags.DEFINE_string("rack", "", "Rack of the worker.")
    flags.DEFINE_float("run_s", 0.0, "Run time of a task whose payload names none, in seconds.")
    flags.DEFINE_float("usage_lag_s", 2.0, "Age of the reported use of processors, in seconds.")
    flags.DEFINE_string("log", "", "File that gets one JSON line per event.")


def main(argv: list[str]) -> None:
    """Serve the workers named by the flags."""
    capacity = Resources(FLAGS.cpu_milli, FLAGS.memory_mb, FLAGS.accelerators, FLAGS.slots)
    events = EventLog(FLAGS.log)
    named = FLAGS.workers or [f"{FLAGS.name}:{FLAGS.port}"]
    workers = []
    for text in named:
        name, _, port = text.rpartition(":")
        worker = Worker(name, capacity, FLAGS.run_s, FLAGS.usage_lag_s, events, FLAGS.rack)
        workers.append((worker, int(port)))
    asyncio.run(run(workers, FLAGS.control_port))


if __name__ == "__main__":
    define_flags()
    app.run(main)
