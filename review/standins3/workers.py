"""Workers and the advice service of the platform; see PROTOCOL.md."""

import asyncio
import json
import time

from .http11 import NO_ANSWER, serve

HEARTBEAT_S = 1.5
TICK_S = 0.01


class Run:
    def __init__(self, body, plan, now_ms):
        self.task, self.number, self.spec = body["task"], body["runId"], body["taskSpec"]
        self.work_ms = plan.get("work_ms")  # None: lasts until it is stopped
        self.members = plan.get("members", 0)
        self.cpu = plan.get("cpu", 0)
        self.tenant = plan.get("tenant", "")
        self.received_ms = now_ms
        self.begun_ms = None if self.members else now_ms
        self.stop_at_ms = None


class Worker:
    """One machine with its worker; a new life of it keeps the id and the address."""

    def __init__(self, world, worker_id, host, port, rack, cpu, service="svc"):
        self.world, self.id, self.host, self.port = world, worker_id, host, port
        self.rack, self.cpu, self.service = rack, cpu, service
        self.is_up = False
        # A silent worker is cut off: it runs on, and hears and says nothing.
        self.is_cut = False
        self._server = None

    def begin_life(self):
        self.is_up, self.state = True, "ready"
        self.born_ms, self.started_s = int(time.time() * 1000), time.monotonic()
        self.token, self.deadline_ms = 0, None
        self.runs, self.ends, self.end_count, self.highest = {}, [], 0, {}
        self.sequence, self.ended = 0, asyncio.Event()
        self.world.record("worker_up", worker=self.id, born=self.born_ms)

    def crash(self):
        """End this life; what runs on it ends."""
        for run in self.runs.values():
            self.world.record("run_end", worker=self.id, task=run.task, run=run.number, how="crashed")
        lost, self.runs, self.ends, self.is_up = list(self.runs.values()), {}, [], False
        for run in lost:
            self.world.run_ended(self, run, "crashed")
        self.world.record("worker_down", worker=self.id)

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1000)

    async def listen(self):
        self._server = await serve(self.host, self.port, self.handle)

    async def handle(self, request):
        if not self.is_up:
            return NO_ANSWER
        while self.is_cut:
            await asyncio.sleep(0.05)
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        body, born_ms = request.json(), self.born_ms
        fault = self.world.worker_fault
        if fault is not None:
            answer = await fault(self, request, body)
            if answer is not None:
                return answer
        if request.path == "/-/run-start":
            status, reason = self.start(body)
        elif request.path == "/-/run-stop":
            status, reason = self.stop(body)
        elif request.path == "/-/hold":
            status, reason = await self.hold(body)
        else:
            status, reason = 404, ""
        while self.is_cut:
            await asyncio.sleep(0.05)
        if not self.is_up or born_ms != self.born_ms:
            return NO_ANSWER
        if status == 200 and request.path == "/-/hold":
            return 200, self.report()
        answer = {"clockMs": self.clock_ms()}
        return status, ({**answer, "reason": reason} if reason else answer)

    def _take_token(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, deadline_ms):
        latest_ms = self.clock_ms() + self.world.max_hold_ms
        self.deadline_ms = max(self.deadline_ms or 0, min(deadline_ms, latest_ms))

    def start(self, body):
        if not self._take_token(body.get("fencingToken", 0)):
            return 409, "fence"
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self._extend(body["deadlineMs"])
        task, number = body["task"], body["runId"]
        if task in self.runs and self.runs[task].number == number:
            return 200, ""
        if task in self.runs or number <= self.highest.get(task, 0):
            return 409, "old"
        if not self.world.accepts_ticket(self, task, body.get("ticket")):
            self.world.record("rejected", worker=self.id, task=task, run=number, reason="ticket")
            return 409, "ticket"
        run = Run(body, self.world.plan_of(body["taskSpec"], task), self.clock_ms())
        self.runs[task], self.highest[task] = run, number
        self.world.record("run_start", worker=self.id, task=task, run=number, token=self.token)
        self.world.run_started(self, run)
        return 200, ""

    def stop(self, body):
        if not self._take_token(body.get("fencingToken", 0)):
            return 409, "fence"
        task, number = body["task"], body["runId"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + 100
        return 200, ""

    async def hold(self, body):
        if not self._take_token(body.get("fencingToken", 0)):
            return 409, "fence"
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        for end in self.ends:
            if end[0] <= body.get("ackCursor", 0):
                self.world.record("noted", worker=self.id, task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > body.get("ackCursor", 0)]
        wait_ms = body.get("waitMs", 0)
        if wait_ms and not self.ends:
            self.ended.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        return 200, ""

    def report(self):
        running = [[r.task, r.number, "", self._percent(r), 0] for r in self.runs.values()]
        return {
            "clockMs": self.clock_ms(), "born": self.born_ms,
            "running": running, "finished": self.ends[:500],
        }

    def _percent(self, run):
        if run.begun_ms is None:
            return 0
        age_ms = self.clock_ms() - run.begun_ms
        if run.work_ms is None:
            return 100 if age_ms > 300 else 0
        return min(99, int(100 * age_ms / max(1, run.work_ms)))

    def tick(self):
        if not self.is_up:
            return
        now = self.clock_ms()
        if self.deadline_ms is not None and now >= self.deadline_ms:
            self.deadline_ms = None
            self.world.record("lapsed", worker=self.id)
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stop_at_ms is not None and now >= run.stop_at_ms:
                self.end(run, "stopped")
            elif run.begun_ms is not None and run.work_ms is not None:
                if now - run.begun_ms >= run.work_ms:
                    self.end(run, "done")
            elif run.begun_ms is None and now - run.received_ms > 3000:
                self.end(run, "alone")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.world.record("run_end", worker=self.id, task=run.task, run=run.number, how=how)
        self.world.run_ended(self, run, how)
        self.ended.set()

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": "z1",
            "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
            "labels": ["a", self.rack], "clockMs": self.clock_ms(), "born": self.born_ms,
            "sequence": self.sequence,
        }

    async def write_entries(self):
        """Write the entry at intervals; it is removed after three of silence."""
        silent = 0
        while True:
            if self.is_up and not self.is_cut:
                silent = 0
                self.world.store.put_outside("servers", self.id, self.entry())
            else:
                silent += 1
                if silent == 3:
                    self.world.store.put_outside("servers", self.id, None)
            await asyncio.sleep(HEARTBEAT_S)


class Adviser:
    """Handles one call at a time for each node; approves every worker."""

    def __init__(self, world):
        self.world, self.locks = world, {}

    async def listen(self, host, port, node, decision_ms=20.0, item_ms=0.2):
        lock = asyncio.Lock()

        async def handle(request):
            body = request.json()
            async with lock:
                await asyncio.sleep((decision_ms + item_ms * len(body["workers"])) / 1000)
                rows = [
                    [name, self.world.issue_ticket(body["step"], name)]
                    for name in body["workers"]
                    if name in self.world.workers
                ]
            return 200, {"approved": rows, "validityMs": 2500}

        return await serve(host, port, handle)


__all__ = ["Adviser", "Worker", "json"]
