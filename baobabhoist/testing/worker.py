"""Stand in for a worker that runs tasks under leases and fencing tokens."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from absl import app, flags
from websockets.asyncio.server import ServerConnection, serve

from baobabhoist.model import EndedTask, RunningTask
from baobabhoist.ownership.fence import Fence
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.upstream.messages import (
    CODEC,
    FenceWorker,
    LeasesRenewed,
    OutcomeReport,
    QueryOutcome,
    RenewLeases,
    RunTask,
    TaskEnded,
    TaskRefused,
    TokenRefused,
    WorkerFencedReply,
)

FLAGS = flags.FLAGS
flags.DEFINE_string("name", "worker", "Name of the worker.")
flags.DEFINE_integer("port", 0, "Port of the worker.")
flags.DEFINE_integer("slots", 8, "Number of tasks that may run at once.")
flags.DEFINE_float("run_s", 0.0, "Run time of a task, in seconds.")


class Worker:
    """Run tasks; the answer to a task is the worker's name and the payload."""

    def __init__(self, name: str, slots: int, run_s: float) -> None:
        self.name = name
        self.fence = Fence()
        self.running: dict[str, RunTask] = {}
        self.ended: dict[str, EndedTask] = {}
        self._slots = slots
        self._run_s = run_s

    async def handle(self, message: Any) -> Any:
        """Answer one message of an owner."""
        if isinstance(message, FenceWorker):
            if not self.fence.present(message.token):
                return TokenRefused(self.fence.highest)
            return WorkerFencedReply(self._inventory(), tuple(self.ended.values()))
        if not self.fence.allows(message.token):
            return TokenRefused(self.fence.highest)
        if isinstance(message, RunTask):
            return await self._run(message)
        if isinstance(message, RenewLeases):
            return LeasesRenewed(tuple(self.running), 0)
        if isinstance(message, QueryOutcome):
            return self._report(message.task_id)
        return None

    async def _run(self, call: RunTask) -> Any:
        task = call.task
        if task.task_id in self.running or task.task_id in self.ended:
            return TaskRefused(task.task_id, "duplicate")
        if len(self.running) >= self._slots:
            return TaskRefused(task.task_id, "full")
        if call.lease_deadline <= time.time():
            return TaskRefused(task.task_id, "expired")
        self.running[task.task_id] = call
        if self._run_s:
            await asyncio.sleep(self._run_s)
        del self.running[task.task_id]
        body = f"{self.name}:".encode() + task.payload
        self.ended[task.task_id] = EndedTask(task.task_id, task.team, True, body)
        return TaskEnded(task.task_id, True, body)

    def _inventory(self) -> tuple[RunningTask, ...]:
        return tuple(
            RunningTask(call.task.task_id, call.task.team, call.task.resources)
            for call in self.running.values()
        )

    def _report(self, task_id: str) -> OutcomeReport:
        if task_id in self.running:
            return OutcomeReport(task_id, "running", None)
        ended = self.ended.get(task_id)
        return OutcomeReport(task_id, "ended" if ended else "never", ended)


async def run(worker: Worker, port: int) -> None:
    """Serve until cancelled."""

    async def handle(conn: ServerConnection) -> None:
        await Link(conn, CODEC, worker.handle).run()

    async with serve(handle, "127.0.0.1", port, **WEBSOCKET_OPTIONS):
        await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve one worker."""
    asyncio.run(run(Worker(FLAGS.name, FLAGS.slots, FLAGS.run_s), FLAGS.port))


if __name__ == "__main__":
    app.run(main)
