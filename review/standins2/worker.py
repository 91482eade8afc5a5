"""Stand in for a worker that runs tasks as the pages say."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from review.standins2.http_server import SILENT, Call, Server

if TYPE_CHECKING:
    from review.standins2.world import World

CALL_S = 0.002
STOP_S = 0.15
STARTUP_S = 0.3
GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5
TICK_S = 0.02


class Run:
    """Hold a run."""

    def __init__(self, task: str, number: int, spec: str, checkpoint: str) -> None:
        self.task, self.number, self.spec, self.checkpoint = task, number, spec, checkpoint
        self.started = time.monotonic()
        self.stop_at: float | None = None
        # Since when it works: a member of a gang only once all of them are present.
        self.at_work_since: float | None = self.started


class Worker:
    """Hold one worker, which may start again under its id and then knows nothing of before."""

    def __init__(
        self, world: World, worker_id: str, host: str, rack: str, kind: str, **info: Any
    ) -> None:
        self.world, self.id, self.host = world, worker_id, host
        self.rack, self.kind = rack, kind
        self.info = {"cpu": 16_000, "memMb": 64_000, "gpu": 0, **info}
        self.zone, self.service = "z-a", "svc"
        self.server = Server(host, 0, self._handle)
        self.up = False
        # The worker reaches nobody and nobody reaches it, but it runs on.
        self.is_cut = False
        self.state = "ready"
        # Returns what happens to a call: "" as usual, "lost" carried out and not answered, or a
        # number: not answered, and carried out so many seconds later by the process there then.
        self.fate: Any = lambda call: ""
        self._tasks: list[asyncio.Task[None]] = []
        self._forget()

    def _forget(self) -> None:
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.token = self.end_count = self.sequence = 0
        self.deadline: float | None = None
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.last_entry = 0.0
        self._ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the time of the process's own clock."""
        return int((time.monotonic() - self.clock_zero) * 1000) + 1_000

    async def start(self) -> None:
        """Start a process."""
        self._forget()
        await self.server.open()
        self.up = True
        self.world.log("worker_up", worker=self.id, born=self.born)
        self._tasks = [asyncio.create_task(self._advance()), asyncio.create_task(self._beat())]

    def crash(self) -> None:
        """End the process at once; its channels are reset, and its entry lapses."""
        for run in list(self.runs.values()):
            self.world.log("end", worker=self.id, task=run.task, run=run.number, how="crashed")
        self.up = False
        self.runs.clear()
        self.server.close()
        for task in self._tasks:
            task.cancel()
        self.world.log("worker_crashed", worker=self.id)

    # The directory.

    async def _beat(self) -> None:
        while True:
            if not self.is_cut:
                await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self) -> None:
        """Write the worker's entry in the directory."""
        self.sequence += 1
        self.last_entry = time.monotonic()
        await self.world.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": 1,
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "capacity": self.info,
                "labels": [self.kind, self.rack],
            },
        )

    # Calls.

    async def _handle(self, call: Call) -> Any:
        if self.is_cut:
            return SILENT
        await asyncio.sleep(CALL_S)
        if call.headers.get("x-target-instance") not in (None, self.id):
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        fate = self.fate(call)
        if isinstance(fate, (int, float)) and fate:
            asyncio.get_running_loop().call_later(fate, self._carry_out_late, call)
            return SILENT
        answer = await self._execute(call)
        if fate == "lost" or self.is_cut:
            return SILENT
        return answer

    def _carry_out_late(self, call: Call) -> None:
        if self.up and not self.is_cut:
            self.execute(call, late=True)

    async def _execute(self, call: Call) -> Any:
        if call.path == "/-/hold":
            return await self._hold(call.json)
        return self.execute(call)

    def execute(self, call: Call, late: bool = False) -> Any:
        """Carry an order out and return its answer."""
        body = call.json
        do = {"/-/run-start": self._start, "/-/run-stop": self._stop}.get(call.path)
        if do is None:
            return 404, {}
        status, reason = do(body, late)
        answer = {"clockMs": self.clock_ms(), "born": self.born}
        self.world.log(
            "order",
            worker=self.id,
            path=call.path,
            task=body["task"],
            run=body["runId"],
            token=body.get("fencingToken", 0),
            status=status,
            reason=reason,
            late=late,
        )
        return status, {**answer, "reason": reason} if reason else answer

    def _sees(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            capped = min(deadline_ms, self.clock_ms() + self.world.bounds["maxHoldMs"])
            self.deadline = max(self.deadline or 0, capped)

    def _start(self, body: dict[str, Any], late: bool) -> tuple[int, str]:
        task, number = body["task"], body["runId"]
        if not self._sees(body.get("fencingToken", 0)):
            return 409, "fence"
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self._extend(body["deadlineMs"])
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            return 200, ""
        if run is not None or number <= self.highest.get(task, 0):
            return 409, "old"
        if not self.world.admits(self, task, body.get("ticket", "")):
            return 409, "ticket"
        run = Run(task, number, body["taskSpec"], body.get("checkpoint", ""))
        self.runs[task] = run
        if self.world.plan_of(task).get("gang"):
            run.at_work_since = None
            self.world.complete_gang(run)
        self.highest[task] = number
        self.world.log(
            "start",
            worker=self.id,
            task=task,
            run=number,
            late=late,
            token=body.get("fencingToken", 0),
            spec=body["taskSpec"][:40],
        )
        return 200, ""

    def _stop(self, body: dict[str, Any], late: bool) -> tuple[int, str]:
        task, number = body["task"], body["runId"]
        if not self._sees(body.get("fencingToken", 0)):
            return 409, "fence"
        run = self.runs.get(task)
        self.highest[task] = max(self.highest.get(task, 0), number)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
            self.world.log(
                "stop_order", worker=self.id, task=task, run=run.number, percent=self.percent(run)
            )
        return 200, ""

    async def _hold(self, body: dict[str, Any]) -> Any:
        if not self._sees(body.get("fencingToken", 0)):
            return 409, {"clockMs": self.clock_ms(), "born": self.born, "reason": "fence"}
        self._extend(body.get("deadlineMs"))
        cursor = body.get("ackCursor", 0)
        for end in [end for end in self.ends if end[0] <= cursor]:
            self.world.log("noted", worker=self.id, task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        if body.get("waitMs") and not self.ends:
            self._ended.clear()
            try:
                async with asyncio.timeout(min(2_000, body["waitMs"]) / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [r.task, r.number, r.checkpoint, self.percent(r), 0] for r in self.runs.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }

    # Runs.

    def percent(self, run: Run) -> int:
        """Return how far a run is, in whole percent."""
        if run.at_work_since is None:
            return 0
        age = time.monotonic() - run.at_work_since
        plan = self.world.plan_of(run.task)
        if plan.get("lasting"):
            return 100 if age >= STARTUP_S else 0
        return min(99, int(100 * age / plan["run_s"]))

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.deadline is not None and self.clock_ms() >= self.deadline:
                self.deadline = None
                self.world.log("lapsed", worker=self.id)
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                plan = self.world.plan_of(run.task)
                if self.runs.get(run.task) is not run:
                    continue
                if run.stop_at is not None and time.monotonic() >= run.stop_at:
                    self.end(run, "stopped")
                elif run.at_work_since is None:
                    if time.monotonic() > run.started + GANG_TIMEOUT_S:
                        self.end(run, "alone")
                elif (
                    not plan.get("lasting")
                    and time.monotonic() >= run.at_work_since + plan["run_s"]
                ):
                    self.end(run, "failed" if plan.get("fails") else "done")

    def end(self, run: Run, how: str) -> None:
        """End a run, and with it the other members of its gang."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.checkpoint])
        self.world.log("end", worker=self.id, task=run.task, run=run.number, how=how)
        self._ended.set()
        if self.world.plan_of(run.task).get("gang") and how not in ("broken", "alone"):
            for worker, member in self.world.gang_members(run):
                worker.end(member, "done" if how == "done" else "broken")
