"""Stand in for the workers, and note every run."""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from collections.abc import Callable
from typing import Any

from .http11 import Answer, Channel, NoAnswerError, Request, Server
from .record import Record
from .store import Store

HEARTBEAT_S = 1.5
CHECKPOINT_MS = 500.0
RESTORE_MS = 250.0
STOP_MS = 100.0
ENDS_PER_REPORT = 500
TICK_S = 0.01


class Run:
    """Hold one run; it works for `work_ms` and then ends as its payload says."""

    def __init__(self, task: str, number: int, plan: dict[str, Any], checkpoint: str) -> None:
        self.task, self.number, self.checkpoint = task, number, checkpoint
        self.work_ms = float(plan["ms"])
        self.saves = bool(plan.get("saves"))
        self.fails = bool(plan.get("fails"))
        self.done_ms = float(int(checkpoint[:8], 16)) - RESTORE_MS if checkpoint else 0.0
        self.stop_ms: float | None = None
        self.started_s = time.monotonic()

    @property
    def percent(self) -> int:
        """Return the progress."""
        return max(0, min(100, int(100 * self.done_ms / self.work_ms)))


class Worker:
    """Keep the rules of a worker's page: leases, fences, run numbers, ends.

    `call_fault` may be set to a function of the path that returns "reset" (carry the call out,
    then reset its channel), "busy" (503, nothing done) or an empty text.
    """

    def __init__(self, pool: Pool, worker_id: str, kind: str, rack: str, zone: str) -> None:
        self.pool, self.worker_id = pool, worker_id
        self.kind, self.rack, self.zone = kind, rack, zone
        self.capacity = dict(pool.capacity)
        self.server = Server(self._handle)
        self.is_up = False
        self.is_cut = False
        self.is_listed = True
        self.sequence = 0
        self.next_beat_s = 0.0
        self.last_start_s = 0.0
        self.call_fault: Callable[[str], str] = lambda path: ""
        self.runs: dict[str, Run] = {}
        self.born = 0
        self._ended = asyncio.Event()
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.clock_start_s = time.monotonic() - 0.2
        self.token = 0
        self.lease_ms: float | None = None
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.last_numbers: dict[str, int] = {}
        self.runs.clear()

    async def start(self) -> None:
        """Start a life, and enter the directory."""
        self._begin_life()
        await self.server.start()
        self.is_up = True
        self.pool.record.add(
            "worker_up", worker=self.worker_id, born=self.born, kind=self.kind, cap=self.capacity
        )
        self.write_entry()

    def crash(self) -> None:
        """End the process; all that it held is gone."""
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            self.pool.note_end(self, run, "crashed")
        self.pool.record.add("worker_down", worker=self.worker_id, runs=len(self.runs))
        self.pool.note_crash(self)
        self.runs.clear()

    def write_entry(self) -> None:
        """Write the status report to the store."""
        if not self.is_up or self.is_cut or not self.is_listed:
            return
        self.sequence += 1
        entry = {
            "service": self.pool.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        self.pool.store.put("servers", self.worker_id, entry)

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.clock_start_s) * 1000)

    # The interface.

    async def _handle(self, channel: Channel, request: Request) -> Answer:
        if self.is_cut:
            # The packets are lost: nothing is done and nothing is answered.
            await asyncio.sleep(3_600)
        fault = self.call_fault(request.path)
        if fault == "busy":
            return 503, {}
        if request.method == "GET":
            return 200, {}
        if request.headers.get("x-target-instance", self.worker_id) != self.worker_id:
            return 421, {}
        body = request.json()
        if request.path == "/-/hold":
            return await self._hold(body)
        begin = {"/-/run-start": self._start_run, "/-/run-stop": self._stop_run}
        if request.path not in begin:
            return 404, {}
        status, reason = begin[request.path](body)
        if self.is_cut:
            await asyncio.sleep(3_600)
        if fault == "reset":
            self.pool.record.add(
                "answer_lost", worker=self.worker_id, task=body["task"], run=body["runId"]
            )
            raise NoAnswerError
        answer = {"clockMs": self.clock_ms()}
        return status, {**answer, "reason": reason} if reason else answer

    def _accepts(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, deadline_ms: float) -> None:
        latest_ms = self.clock_ms() + self.pool.max_hold_ms
        self.lease_ms = max(self.lease_ms or 0.0, min(deadline_ms, latest_ms))

    def _start_run(self, body: dict[str, Any]) -> tuple[int, str]:
        if not self._accepts(body.get("fencingToken", 0)):
            return 409, "fence"
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self._extend(body["deadlineMs"])
        task, number = body["task"], body["runId"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, ""
        if run is not None or number <= self.last_numbers.get(task, 0):
            return 409, "old"
        plan = json.loads(body["taskSpec"])
        run = Run(task, number, plan, body.get("checkpoint", ""))
        self.runs[task] = run
        self.last_numbers[task] = number
        self.last_start_s = run.started_s
        self.pool.note_start(self, run, body)
        return 200, ""

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, str]:
        if not self._accepts(body.get("fencingToken", 0)):
            return 409, "fence"
        task, number = body["task"], body["runId"]
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_ms is None:
            run.stop_ms = self.clock_ms() + STOP_MS
        self.last_numbers[task] = max(self.last_numbers.get(task, 0), number)
        return 200, ""

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if not self._accepts(body.get("fencingToken", 0)):
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        cursor = body.get("ackCursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.pool.note_acked(self, end)
        self.ends = [end for end in self.ends if end[0] > cursor]
        self._ended.clear()
        if body.get("waitMs") and not self.ends:
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        if self.is_cut:
            await asyncio.sleep(3_600)
        running = [[r.task, r.number, r.checkpoint, r.percent, 0] for r in self.runs.values()]
        self.pool.note_report(self)
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:ENDS_PER_REPORT],
        }

    # The work.

    def advance(self, elapsed_ms: float) -> None:
        """Let all runs work."""
        now = self.clock_ms()
        if self.lease_ms is not None and now >= self.lease_ms:
            self.lease_ms = None
            self.pool.note_lapse(self)
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stop_ms is not None and now >= run.stop_ms:
                self._save(run)
                self._end(run, "stopped")
                continue
            before = max(0.0, run.done_ms) // CHECKPOINT_MS
            run.done_ms += elapsed_ms
            if max(0.0, run.done_ms) // CHECKPOINT_MS > before:
                self._save(run)
            if run.done_ms >= run.work_ms:
                self._end(run, "failed" if run.fails else "done")

    def _save(self, run: Run) -> None:
        if run.saves:
            text = f"{run.task}".encode()
            run.checkpoint = f"{int(max(0.0, run.done_ms)):08x}{zlib.crc32(text):08x}"

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop(run.task, None) is None:
            return
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.checkpoint])
        self.pool.note_end(self, run, how)
        self._ended.set()


class Pool:
    """Hold all workers of a service, and check what they see against the rules on runs."""

    def __init__(
        self,
        record: Record,
        store: Store,
        service: str,
        capacity: dict[str, int],
        max_hold_ms: float,
    ) -> None:
        self.record, self.store, self.service = record, store, service
        self.capacity, self.max_hold_ms = capacity, max_hold_ms
        self.workers: dict[str, Worker] = {}
        # Broken rules, as (rule, text).
        self.broken: list[tuple[str, str]] = []
        self.started_jobs: set[str] = set()
        self.done_noted: set[str] = set()
        # Ends `done` that may still be taken note of, by worker, birth and number, with their
        # tasks and the starts that followed them.
        self._done_open: dict[tuple[str, int, int], tuple[str, list[str]]] = {}
        self.on_start: Callable[[Worker, Run], None] = lambda worker, run: None
        self.starts = 0
        self.ends_by_kind: dict[str, int] = {}

    def add(self, worker_id: str, kind: str, rack: str, zone: str) -> Worker:
        """Add a worker."""
        worker = Worker(self, worker_id, kind, rack, zone)
        self.workers[worker_id] = worker
        return worker

    async def run(self) -> None:
        """Let the workers work and report, until cancelled."""
        last_s = time.monotonic()
        for number, worker in enumerate(self.workers.values()):
            worker.next_beat_s = last_s + HEARTBEAT_S * number / len(self.workers)
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance((now_s - last_s) * 1000)
            last_s = now_s
            for worker in self.workers.values():
                if now_s >= worker.next_beat_s:
                    worker.next_beat_s += HEARTBEAT_S
                    worker.write_entry()

    def running(self) -> list[tuple[Worker, Run]]:
        """Return all runs at work."""
        return [(w, r) for w in self.workers.values() if w.is_up for r in w.runs.values()]

    # Notes.

    def note_start(self, worker: Worker, run: Run, body: dict[str, Any]) -> None:
        """Note a start, and check TWICE and UNASKED."""
        self.starts += 1
        self.started_jobs.add(run.task.split(".")[0])
        text = f"{run.task} run {run.number} on {worker.worker_id} at {self.record.now_s():.3f}"
        self.record.add(
            "start",
            worker=worker.worker_id,
            task=run.task,
            run=run.number,
            token=body.get("fencingToken", 0),
            deadline=body["deadlineMs"],
            clock=worker.clock_ms(),
        )
        for other in self.workers.values():
            twin = other.runs.get(run.task) if other.is_up and other is not worker else None
            if twin is not None:
                self._break("TWICE", f"{text} while run {twin.number} works on {other.worker_id}")
        if run.task in self.done_noted:
            self._break("TWICE", f"{text} after an end done that was taken note of")
        for task, starts in self._done_open.values():
            if task == run.task:
                starts.append(text)
        self.on_start(worker, run)

    def note_end(self, worker: Worker, run: Run, how: str) -> None:
        """Note an end."""
        self.ends_by_kind[how] = self.ends_by_kind.get(how, 0) + 1
        self.record.add("end", worker=worker.worker_id, task=run.task, run=run.number, how=how)
        if how == "done":
            key = (worker.worker_id, worker.born, worker.end_count)
            self._done_open[key] = (run.task, [])

    def note_acked(self, worker: Worker, end: list[Any]) -> None:
        """Note that the system has taken note of an end."""
        noted = self._done_open.pop((worker.worker_id, worker.born, end[0]), None)
        if noted is None:
            return
        task, starts = noted
        self.record.add("noted", worker=worker.worker_id, task=task, run=end[2])
        self.done_noted.add(task)
        for text in starts:
            self._break(
                "TWICE",
                f"{text} after run {end[2]} had ended done on {worker.worker_id}, "
                "which was taken note of later",
            )

    def note_lapse(self, worker: Worker) -> None:
        """Note that a lease has lapsed: open ends of that worker don't count any more."""
        self.record.add("lapse", worker=worker.worker_id)
        self._forget_open_ends(worker)

    def _forget_open_ends(self, worker: Worker) -> None:
        for key in [k for k in self._done_open if k[:2] == (worker.worker_id, worker.born)]:
            del self._done_open[key]

    def note_crash(self, worker: Worker) -> None:
        """Note that a worker has crashed: its open ends can't be taken note of any more."""
        self._forget_open_ends(worker)

    def note_report(self, worker: Worker) -> None:
        """Note that a report was sent; a case may replace this."""

    def _break(self, rule: str, text: str) -> None:
        self.broken.append((rule, text))
        self.record.add("BROKEN", rule=rule, what=text)
