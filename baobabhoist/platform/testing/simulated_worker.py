"""Simulate workers: their leases, runs, ends and entries in the directory, and log all runs."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from baobabhoist.platform.testing.soak_advice import PROFILES, Profile, accepts_ticket
from baobabhoist.platform.testing.store import EXTERNAL_WRITER_HEADER

CLOCK_TICK_S = 0.01
DIRECTORY_UPDATE_INTERVAL_S = 1.0
# The directory drops the entry of a worker after three intervals without an update.
DIRECTORY_ENTRY_EXPIRY_S = 3 * DIRECTORY_UPDATE_INTERVAL_S
LEASE_DURATION_MAX_MS = 6_000.0
GANG_TIMEOUT_MS = 3_000.0
CHECKPOINT_INTERVAL_MS = 500.0
STOP_DELAY_MAX_MS = 300.0
ENDS_PER_REPORT_MAX = 500


@attrs.define
class RunPlan:
    """Describe what a run does, from its payload.

    The first `failures` runs of a task fail, `members` is the size of its gang or 0, and `saves`
    tells whether it saves checkpoints.
    """

    run_ms: float
    failures: int = 0
    members: int = 0
    saves: bool = False


@attrs.define
class Run:
    """Hold a run on a worker; times are on the worker's clock.

    `started_ms` is None while the run waits for the other members of its gang.
    """

    task: str
    number: int
    plan: RunPlan
    received_ms: float
    started_ms: float | None
    progress_ms: float = 0.0
    checkpoint: str = ""
    stop_at_ms: float | None = None

    @property
    def percent_done(self) -> float:
        """Return the progress of the run in percent."""
        return min(100.0, 100.0 * self.progress_ms / max(1.0, self.plan.run_ms))


DATA_CENTRES = ("z1", "z2")


@attrs.define(eq=False)
class Worker:
    """Simulate one worker: its lease, its runs and its ended runs until they are acknowledged.

    Commands of the soak set `mode`, `draining` and `gone`, which removes the entry from the
    directory at once, or end its process, for good or until it is started again, which lets the
    entry expire. The modes are normal; fail: all runs fail; hang: runs make no progress; late:
    starts and stops are carried out seconds later, after the sender has timed out; lose: they are
    carried out at once, but the responses are lost; delay_starts: starts wait on the network and
    are carried out up to `start_delay_max_s` later by the process that the worker has then.
    """

    worker_id: str
    port: int
    advertised_port: int
    service: str
    labels: tuple[str, ...]
    capacity: dict[str, int]
    hub: WorkerHub
    data_centre: str
    clock_rate: float = 1.0
    # How fast runs progress.
    speed: float = 1.0
    mode: str = "normal"
    started_unix_ms: int = 0
    clock_started_s: float = attrs.Factory(time.monotonic)
    token: int = 0
    lease_expires_ms: float = 0.0
    has_lease: bool = False
    runs: dict[str, Run] = attrs.Factory(dict)
    unacked_ends: list[list[Any]] = attrs.Factory(list)
    highest_run_numbers: dict[str, int] = attrs.Factory(dict)
    end_count: int = 0
    row_sequence: int = 0
    draining: bool = False
    gone: bool = False
    is_down: bool = False
    has_ended: bool = False
    # How long starts wait on the network at most, unless as long as other late commands.
    start_delay_max_s: float | None = None
    row_written_s: float = 0.0
    run_ended: asyncio.Event = attrs.Factory(asyncio.Event)

    def clock_ms(self) -> float:
        """Return the time on the worker's own monotonic clock."""
        return (time.monotonic() - self.clock_started_s) * 1000 * self.clock_rate

    @property
    def has_expired_row(self) -> bool:
        """Return whether the directory drops the worker because it has been silent."""
        return time.monotonic() >= self.row_written_s + DIRECTORY_ENTRY_EXPIRY_S

    def next_directory_row(self) -> dict[str, Any]:
        """Return the worker's next row for the directory."""
        self.row_sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.advertised_port}",
            "zone": self.data_centre,
            "version": 1,
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.row_sequence,
            "born": self.started_unix_ms,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "remainingMs": 2_000 if self.draining else 0,
        }

    # Commands from instances.

    def execute_late(
        self, execute: Callable[[dict[str, Any]], Any], body: dict[str, Any], incarnation: int
    ) -> None:
        """Carry out a command that waited in this worker, unless its process has ended since."""
        if not self.gone and self.started_unix_ms == incarnation:
            execute(body)

    def receive_late_start(self, target_id: str | None, body: dict[str, Any]) -> None:
        """Carry out a start that waited on the network, also if the worker has restarted since."""
        if self.gone:
            return
        status, reason = (
            (421, "") if self.is_other(target_id) else self.start_run(body, is_late=True)
        )
        self.log_start("late_start", body, status=status, reason=reason)

    def is_other(self, target_id: str | None) -> bool:
        """Return whether a call is meant for another worker."""
        return target_id not in (None, self.worker_id)

    def accept_token(self, token: int) -> bool:
        """Record a fencing token; return False if a higher one was seen."""
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease to a deadline, but by no more than the longest duration allowed."""
        latest_ms = self.clock_ms() + LEASE_DURATION_MAX_MS
        self.lease_expires_ms = max(self.lease_expires_ms, min(deadline_ms, latest_ms))
        self.has_lease = True

    def start_run(self, body: dict[str, Any], *, is_late: bool = False) -> tuple[int, str]:
        """Start a run; return the HTTP status and the reason of a refusal."""
        if not self.accept_token(body["fencingToken"]):
            return 409, "fence"
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self.extend_lease(body["deadlineMs"])
        task, number = body["task"], body["runId"]
        current_run = self.runs.get(task)
        if current_run is not None and current_run.number == number:
            return 200, ""
        if current_run is not None or number <= self.highest_run_numbers.get(task, 0):
            return 409, "old"
        if not self._admits(task, body.get("ticket", "")):
            return 409, "ticket"
        plan = RunPlan(**json.loads(body["taskSpec"])["plan"])
        now, checkpoint = self.clock_ms(), body.get("checkpoint", "")
        run = Run(task, number, plan, now, None if plan.members else now, checkpoint=checkpoint)
        run.progress_ms = float(int(checkpoint[:8], 16)) if checkpoint else 0.0
        self.runs[task] = run
        self.highest_run_numbers[task] = number
        spec = zlib.crc32(body["taskSpec"].encode())
        order = {"spec": spec, "checkpoint": checkpoint, "token": self.token}
        self.log("start", run, **order, mode=self.mode, late=is_late)
        return 200, ""

    def _admits(self, task: str, ticket: str) -> bool:
        """Return whether a task needs no ticket, or has a valid one."""
        step = task.rpartition(".")[0]
        is_needed = self.hub.profile.policy_of(task.partition(".")[0]) is not None
        return not is_needed or accepts_ticket(ticket, step, self.worker_id, self.started_unix_ms)

    def stop_run(self, body: dict[str, Any]) -> tuple[int, str]:
        """Stop a run; one that has not arrived yet is refused when it does."""
        if not self.accept_token(body["fencingToken"]):
            return 409, "fence"
        run = self.runs.get(body["task"])
        if run is not None and run.number <= body["runId"] and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + self.hub.rng.uniform(0, STOP_DELAY_MAX_MS)
        self.highest_run_numbers[body["task"]] = max(
            self.highest_run_numbers.get(body["task"], 0), body["runId"]
        )
        return 200, ""

    def acknowledge_ends(self, cursor: int) -> None:
        """Drop the ended runs up to a cursor, which an instance has acknowledged."""
        for end in self.unacked_ends:
            if end[0] <= cursor:
                self.hub.log("acked", worker=self.worker_id, task=end[1], run=end[2])
        self.unacked_ends = [end for end in self.unacked_ends if end[0] > cursor]

    def make_report(self) -> dict[str, Any]:
        """Return the active runs and the ended ones that are not acknowledged."""
        running = [
            [r.task, r.number, r.checkpoint, int(r.percent_done), 0] for r in self.runs.values()
        ]
        return {
            "clockMs": int(self.clock_ms()),
            "born": self.started_unix_ms,
            "running": running,
            "finished": self.unacked_ends[:ENDS_PER_REPORT_MAX],
        }

    # Progress of the runs.

    def advance(self, elapsed_ms: float) -> None:
        """Advance all runs, and end them if the lease has expired."""
        now = self.clock_ms()
        if self.has_lease and now >= self.lease_expires_ms:
            # Logged without active runs as well: an end that is acknowledged only after the lease
            # expired does not rule out another run of the task.
            self.has_lease = False
            self.hub.log("lapsed", worker=self.worker_id)
            for run in list(self.runs.values()):
                self.end_run(run, "lapsed")
        for run in list(self.runs.values()):
            self._advance_run(run, now, elapsed_ms)

    def _advance_run(self, run: Run, now: float, elapsed_ms: float) -> None:
        if run.task not in self.runs:
            return
        if run.stop_at_ms is not None and now >= run.stop_at_ms:
            self._save_checkpoint(run)
            self.end_run(run, "stopped")
        elif run.started_ms is None:
            if now - run.received_ms > GANG_TIMEOUT_MS:
                self.end_run(run, "alone")
        elif self.mode != "hang":
            progress_before_ms = run.progress_ms
            run.progress_ms += elapsed_ms * self.clock_rate * self.speed
            if (
                run.progress_ms // CHECKPOINT_INTERVAL_MS
                > progress_before_ms // CHECKPOINT_INTERVAL_MS
            ):
                self._save_checkpoint(run)
            if run.progress_ms >= run.plan.run_ms:
                fails = self.mode == "fail" or run.number <= run.plan.failures
                self.end_run(run, "failed" if fails else "done")

    def _save_checkpoint(self, run: Run) -> None:
        if run.plan.saves:
            owner = run.task.rpartition(".")[0] if run.plan.members else run.task
            run.checkpoint = f"{int(run.progress_ms):08x}{zlib.crc32(owner.encode()):08x}"

    def end_run(self, run: Run, outcome: str) -> None:
        """End a run together with the other members of its gang."""
        if self.runs.pop(run.task, None) is None:
            return
        self.end_count += 1
        self.unacked_ends.append([self.end_count, run.task, run.number, outcome, run.checkpoint])
        self.log("end", run, how=outcome)
        self.run_ended.set()
        self._end_other_members(run, "done" if outcome == "done" else "broken")

    def _end_other_members(self, run: Run, outcome: str) -> None:
        """End the other members of the gang that a run belongs to, if any."""
        if run.plan.members:
            for worker, member in self.hub.gang_members(run):
                worker.end_run(member, outcome)

    def crash(self) -> None:
        """Discard all state and restart under the same id with a new start time."""
        for run in self.runs.values():
            self.log("end", run, how="crashed")
        self.hub.log("crashed", worker=self.worker_id)
        lost_runs = list(self.runs.values())
        self.runs.clear()
        for run in lost_runs:
            self._end_other_members(run, "broken")
        self.unacked_ends.clear()
        self.highest_run_numbers.clear()
        self.token, self.end_count, self.lease_expires_ms = 0, 0, 0.0
        self.started_unix_ms, self.clock_started_s = int(time.time() * 1000), time.monotonic()
        self.draining = self.gone = self.is_down = False

    def end(self, *, for_good: bool) -> None:
        """End the process; the entry in the directory expires unless another one is started."""
        self.crash()
        self.gone = self.is_down = True
        self.has_ended = for_good
        self.hub.log("ended", worker=self.worker_id, for_good=for_good)

    def log_start(self, event: str, body: dict[str, Any], **fields: Any) -> None:
        """Log an event of a start that waits on the network."""
        order = {"task": body["task"], "run": body["runId"], "token": body["fencingToken"]}
        self.hub.log(event, worker=self.worker_id, **order, **fields)

    def log(self, event: str, run: Run, **fields: Any) -> None:
        """Log an event of a run."""
        self.hub.log(event, worker=self.worker_id, task=run.task, run=run.number, **fields)


@attrs.define(eq=False)
class WorkerHub:
    """Hold all fake workers and their common log."""

    log_path: Path
    store_address: str
    workers: dict[str, Worker] = attrs.Factory(dict)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    http: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)
    update_tasks: set[asyncio.Future[None]] = attrs.Factory(set)
    profile: Profile = PROFILES["mixed"]

    def log(self, event: str, **fields: Any) -> None:
        """Append a line to the log."""
        line = json.dumps({"t": time.time(), "event": event, **fields})
        with self.log_path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def gang_members(self, run: Run) -> list[tuple[Worker, Run]]:
        """Return the active members of a run's gang with their workers."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in list(worker.runs.values())
            if other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def start_complete_gangs(self) -> None:
        """Start the gangs whose members have all arrived."""
        waiting = [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.started_ms is None
        ]
        for _, run in waiting:
            members = self.gang_members(run)
            if len(members) == run.plan.members:
                for other, member in members:
                    member.started_ms = other.clock_ms()

    async def advance_periodically(self) -> None:
        """Advance the runs on all workers until cancelled."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(CLOCK_TICK_S)
            elapsed_ms, last_s = (time.monotonic() - last_s) * 1000, time.monotonic()
            for worker in self.workers.values():
                worker.advance(elapsed_ms)
            self.start_complete_gangs()

    def join(self, worker: Worker) -> None:
        """Add a worker to the directory as a process that has just started."""
        worker.started_unix_ms = int(time.time() * 1000)
        worker.clock_started_s = time.monotonic()
        worker.gone = False
        self.log("joined", worker=worker.worker_id)
        task = asyncio.ensure_future(self.update_directory_periodically(worker))
        self.update_tasks.add(task)

    async def update_directory_periodically(self, worker: Worker) -> None:
        """Write a worker's row to the directory at intervals until the worker has ended."""
        while not (worker.has_ended and worker.has_expired_row):
            await self.write_directory_row(worker)
            await asyncio.sleep(DIRECTORY_UPDATE_INTERVAL_S)
        await self.write_directory_row(worker)

    async def write_directory_row(self, worker: Worker) -> None:
        """Write a worker's row to the directory, or remove it once the worker is gone.

        While a worker is down nobody removes its row before it expires.
        """
        if worker.is_down and not worker.has_expired_row:
            return
        row = {"table": "servers", "part": "", "key": worker.worker_id}
        if worker.gone:
            body = {"remove": [row]}
        else:
            value = base64.b64encode(orjson.dumps(worker.next_directory_row())).decode()
            body = {"puts": [{**row, "value": value}]}
            worker.row_written_s = time.monotonic()
        await self.change_directory(worker, body)

    async def change_directory(self, worker: Worker, body: dict[str, Any]) -> None:
        """Send a transaction of a worker to the store."""
        try:
            await self.http.fetch(
                f"http://{self.store_address}/-/rows-tx",
                method="POST",
                headers={EXTERNAL_WRITER_HEADER: "worker"},
                body=orjson.dumps(body),
            )
        except (OSError, HTTPClientError) as exc:
            self.log("report_failed", worker=worker.worker_id, detail=str(exc))
