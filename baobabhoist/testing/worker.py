"""Provide a fake worker, which simulates tasks under leases and fencing tokens."""

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
from baobabhoist.testing.event_log import EventLog
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

# normal: tasks run for their run time. fail: tasks fail immediately. slow: tasks take
# SLOWDOWN_FACTOR times as long. hang: tasks run until they are stopped. leaving: as normal.
MODES = ("normal", "fail", "slow", "hang", "leaving")
SLOWDOWN_FACTOR = 10.0
# Request keys are retained until their deadline, at most 10 minutes, plus the allowed clock skew.
TASK_ID_RETENTION_S = 660.0
TICK_INTERVAL_S = 0.1
# Limits of one page of an inventory; larger bodies are omitted from it.
MAX_PAGE_TASKS = 500
MAX_PAGE_BYTES = 1 << 20
MAX_INLINE_BODY_BYTES = 4096
FULL_PERCENT = 100


@attrs.define(eq=False)
class Execution:
    """Track a running task; `lease_deadline` is in Unix seconds."""

    message: RunTask
    lease_deadline: float
    state_changed: asyncio.Event = attrs.Factory(asyncio.Event)
    is_stopped: bool = False
    stop_reason: str = ""
    cpu_percent: int = FULL_PERCENT

    def stop(self, reason: str) -> None:
        """Signal the task to stop; the first reason is kept."""
        self.stop_reason = self.stop_reason or reason
        self.is_stopped = True
        self.state_changed.set()

    def throttle(self, percent: int) -> None:
        """Limit the task to a percentage of its processor time."""
        self.cpu_percent = max(1, min(FULL_PERCENT, percent))
        self.state_changed.set()


@attrs.frozen
class PayloadOptions:
    """Hold the simulated behaviour that a payload selects; `run_s` is the task's run time."""

    run_s: float
    fails: bool = False
    cpu_milli: int | None = None
    ref: str = ""

    @classmethod
    def parse(cls, payload: bytes, default_run_s: float) -> PayloadOptions:
        """Parse a payload that is a JSON object; any other payload selects the defaults."""
        if payload.startswith(b"{"):
            try:
                body = orjson.loads(payload)
                run_s = float(body.get("run_s", default_run_s))
                fails, cpu_milli = bool(body.get("fail", False)), body.get("cpu_milli")
                return cls(run_s, fails, cpu_milli, str(body.get("ref", "")))
            except (orjson.JSONDecodeError, TypeError, ValueError):
                pass
        return cls(default_run_s)


class FakeWorker:
    """Simulate tasks; the result of a task is `NAME:` followed by its payload."""

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
        self.rejected_ids: dict[str, float] = {}
        self._end_times: deque[tuple[float, str]] = deque()
        self._inventory_snapshot: list[RunningTask | EndedTask] = []
        self._default_run_s = run_s
        self._usage_lag_s = usage_lag_s
        self._usage_samples: deque[tuple[float, int]] = deque()
        self._events = events or EventLog("")
        self._events.write("up", name, capacity=attrs.astuple(capacity), rack=rack)

    async def handle(self, message: Any) -> Any:
        """Return the reply to a message from an owner."""
        if isinstance(message, FenceWorker):
            return self._accept_token(message)
        if not self.fence.allows(message.token):
            return TokenRefused(self.fence.highest_token)
        match message:
            case RunTask():
                return await self._run_task(message)
            case RenewLeases():
                return self._renew_leases(message)
            case QueryOutcome():
                return self._report_outcome(message.task_id)
            case ReadInventory():
                return self._inventory_page(int(message.page))
            case StopTask():
                return self._stop_task(message.task_id, "stopped")
            case CheckpointTask():
                return self._stop_task(message.task_id, "checkpointed")
            case ThrottleTask():
                return self._throttle_task(message)
        return None

    def set_mode(self, mode: str) -> None:
        """Set how tasks behave from now on."""
        self.mode = mode
        self._events.write("mode", self.name, mode=mode)

    def tick(self, now: float) -> None:
        """Stop tasks whose lease has expired, drop old task ids and sample the processor use."""
        for execution in self.running.values():
            if execution.lease_deadline <= now:
                execution.stop("lease")
        while self._end_times and self._end_times[0][0] <= now - TASK_ID_RETENTION_S:
            del self.ended[self._end_times.popleft()[1]]
        while (
            self.rejected_ids
            and next(iter(self.rejected_ids.values())) <= now - TASK_ID_RETENTION_S
        ):
            del self.rejected_ids[next(iter(self.rejected_ids))]
        self._usage_samples.append((now, self._used_cpu_milli()))
        while (
            len(self._usage_samples) > 1 and self._usage_samples[1][0] <= now - self._usage_lag_s
        ):
            self._usage_samples.popleft()

    def _accept_token(self, message: FenceWorker) -> Any:
        previous = self.fence.highest_token
        if not self.fence.accept(message.token):
            return TokenRefused(self.fence.highest_token)
        self._events.write("fenced", self.name, token=attrs.astuple(message.token))
        self._inventory_snapshot = [
            *self._running_tasks(),
            *map(omit_large_body, self.ended.values()),
        ]
        return self._inventory_page(0, previous)

    def _inventory_page(self, start: int, previous: Token | None = None) -> WorkerFencedReply:
        """Return a page of the inventory as it was when the token was accepted."""
        end, size = start, 0
        while (
            end < min(len(self._inventory_snapshot), start + MAX_PAGE_TASKS)
            and size < MAX_PAGE_BYTES
        ):
            size += len(getattr(self._inventory_snapshot[end], "body", b""))
            end += 1
        page = self._inventory_snapshot[start:end]
        has_more = end < len(self._inventory_snapshot)
        return WorkerFencedReply(
            tuple(task for task in page if isinstance(task, RunningTask)),
            tuple(task for task in page if isinstance(task, EndedTask)),
            str(end) if has_more else "",
            previous,
        )

    async def _run_task(self, message: RunTask) -> Any:
        task = message.task
        reason = self._refusal_reason(message)
        if reason is not None:
            self._reject_id(task.task_id)
            self._log_task("refused", message, reason=reason)
            return TaskRefused(task.task_id, reason)
        execution = Execution(message, message.lease_deadline)
        self.running[task.task_id] = execution
        self._log_task("started", message)
        succeeded = await self._simulate(execution)
        del self.running[task.task_id]
        body = (
            f"{self.name}:".encode() + task.payload
            if succeeded
            else execution.stop_reason.encode()
        )
        self.ended[task.task_id] = EndedTask(task.task_id, task.team, succeeded, body)
        self._end_times.append((time.time(), task.task_id))
        self._log_task(
            "stopped" if execution.is_stopped else "ended", message, reason=execution.stop_reason
        )
        return TaskEnded(task.task_id, succeeded, body, self.fence.highest_token)

    def _refusal_reason(self, message: RunTask) -> str | None:
        task = message.task
        if task.task_id in self.running or task.task_id in self.ended:
            return "duplicate"
        if task.task_id in self.rejected_ids:
            return "void"
        if message.lease_deadline <= time.time():
            return "expired"
        available = self.capacity
        for execution in self.running.values():
            available = available.minus(execution.message.task.resources)
        return None if task.resources.fits_in(available) else "full"

    async def _simulate(self, execution: Execution) -> bool:
        """Simulate a task until it ends; return whether it succeeded."""
        options = PayloadOptions.parse(execution.message.task.payload, self._default_run_s)
        if self.mode == "fail" or options.fails:
            execution.stop_reason = "failed"
            return False
        remaining_s = options.run_s * (SLOWDOWN_FACTOR if self.mode == "slow" else 1.0)
        if self.mode == "hang":
            remaining_s = float("inf")
        loop = asyncio.get_running_loop()
        while remaining_s > 0 and not execution.is_stopped:
            speed, started_at = execution.cpu_percent / FULL_PERCENT, loop.time()
            execution.state_changed.clear()
            try:
                async with asyncio.timeout(remaining_s / speed):
                    await execution.state_changed.wait()
            except TimeoutError:
                break
            remaining_s -= (loop.time() - started_at) * speed
        return not execution.is_stopped

    def _renew_leases(self, message: RenewLeases) -> LeasesRenewed:
        for execution in self.running.values():
            execution.lease_deadline = max(execution.lease_deadline, message.lease_deadline)
        used_cpu_milli = self._usage_samples[0][1] if self._usage_samples else 0
        return LeasesRenewed(tuple(self.running), used_cpu_milli)

    def _stop_task(self, task_id: str, reason: str) -> OutcomeReport:
        if task_id in self.running:
            self.running[task_id].stop(reason)
        return self._report_outcome(task_id)

    def _throttle_task(self, message: ThrottleTask) -> OutcomeReport:
        if message.task_id in self.running:
            self.running[message.task_id].throttle(message.percent)
        return self._report_outcome(message.task_id)

    def _used_cpu_milli(self) -> int:
        total = 0
        for execution in self.running.values():
            task = execution.message.task
            options = PayloadOptions.parse(task.payload, self._default_run_s)
            used = task.resources.cpu_milli if options.cpu_milli is None else options.cpu_milli
            total += used * execution.cpu_percent // FULL_PERCENT
        return total

    def _running_tasks(self) -> tuple[RunningTask, ...]:
        messages = [execution.message for execution in self.running.values()]
        return tuple(
            RunningTask(
                message.task.task_id, message.task.team, message.task.resources, message.task.kind
            )
            for message in messages
        )

    def _report_outcome(self, task_id: str) -> OutcomeReport:
        if task_id in self.running:
            return OutcomeReport(task_id, "running", None)
        ended = self.ended.get(task_id)
        if ended is None:
            self._reject_id(task_id)
        return OutcomeReport(task_id, "ended" if ended else "never", ended)

    def _reject_id(self, task_id: str) -> None:
        """Reject an id from now on, because its owner is told that it never ran here."""
        if task_id not in self.ended and task_id not in self.running:
            self.rejected_ids[task_id] = time.time()

    def _log_task(self, event: str, message: RunTask, **fields: Any) -> None:
        task = message.task
        self._events.write(
            event,
            self.name,
            id=task.task_id,
            team=task.team,
            resources=attrs.astuple(task.resources),
            token=attrs.astuple(message.token),
            ref=PayloadOptions.parse(task.payload, 0.0).ref,
            kind=task.kind.value,
            urgency=task.urgency.value,
            submitted_at=task.submitted_at,
            **fields,
        )


def omit_large_body(task: EndedTask) -> EndedTask:
    """Return an inventory entry without a large body, which the owner queries separately."""
    if len(task.body) <= MAX_INLINE_BODY_BYTES:
        return task
    return attrs.evolve(task, body=b"", body_omitted=True)


class ModeHandler(RequestHandler):
    """Serve control requests: POST /workers/NAME {"mode": ...}."""

    def initialize(self, workers: dict[str, FakeWorker]) -> None:
        """Set the workers that the handler controls."""
        self.workers = workers

    def post(self, name: str) -> None:
        """Set the mode of a worker."""
        mode = orjson.loads(self.request.body).get("mode")
        if mode not in MODES or name not in self.workers:
            self.set_status(400)
            self.finish({"error": f"unknown worker, or mode not one of {', '.join(MODES)}"})
            return
        self.workers[name].set_mode(mode)
        self.finish({"mode": mode})


async def serve_worker(worker: FakeWorker, port: int) -> None:
    """Serve a worker until cancelled."""

    async def handle(conn: ServerConnection) -> None:
        await Link(conn, CODEC, worker.handle).run()

    async with serve(handle, "127.0.0.1", port, **WORKER_WEBSOCKET_OPTIONS):
        while True:
            worker.tick(time.time())
            await asyncio.sleep(TICK_INTERVAL_S)


async def run(workers: Sequence[tuple[FakeWorker, int]], control_port: int) -> None:
    """Serve all workers of this process until cancelled."""
    if control_port:
        context = {"workers": {worker.name: worker for worker, _ in workers}}
        Application([(r"/workers/(.+)", ModeHandler, context)]).listen(control_port, "127.0.0.1")
    async with asyncio.TaskGroup() as tg:
        for worker, port in workers:
            tg.create_task(serve_worker(worker, port))


def define_flags() -> None:
    """Define the flags; only the program does so, since flags of imported modules would clash."""
    flags.DEFINE_string("name", "worker", "Name of the worker.")
    flags.DEFINE_integer("port", 0, "Port of the worker.")
    flags.DEFINE_list("workers", [], "Workers as NAME:PORT, instead of --name and --port.")
    flags.DEFINE_integer("control_port", 0, "Port for control requests; 0 for none.")
    flags.DEFINE_integer("slots", 8, "Number of tasks that may run at once.")
    flags.DEFINE_integer("cpu_milli", 16000, "Processors, in thousandths of a core.")
    flags.DEFINE_integer("memory_mb", 65536, "Memory, in MiB.")
    flags.DEFINE_integer("accelerators", 0, "Number of accelerators.")
    flags.DEFINE_string("rack", "", "Rack of the worker.")
    flags.DEFINE_float("run_s", 0.0, "Run time of a task whose payload sets none, in seconds.")
    flags.DEFINE_float("usage_lag_s", 2.0, "Age of the reported processor use, in seconds.")
    flags.DEFINE_string("log", "", "File to which one JSON line per event is appended.")


def main(argv: list[str]) -> None:
    """Serve the workers that the flags list."""
    capacity = Resources(FLAGS.cpu_milli, FLAGS.memory_mb, FLAGS.accelerators, FLAGS.slots)
    events = EventLog(FLAGS.log)
    specs = FLAGS.workers or [f"{FLAGS.name}:{FLAGS.port}"]
    workers = []
    for spec in specs:
        name, _, port = spec.rpartition(":")
        worker = FakeWorker(name, capacity, FLAGS.run_s, FLAGS.usage_lag_s, events, FLAGS.rack)
        workers.append((worker, int(port)))
    asyncio.run(run(workers, FLAGS.control_port))


if __name__ == "__main__":
    define_flags()
    app.run(main)
