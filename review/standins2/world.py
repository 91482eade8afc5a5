"""Start the nodes of a small deployment on loopback addresses, with stand-ins around them."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins2.http_server import SILENT, Call, Server, call
from review.standins2.store import Store
from review.standins2.worker import HEARTBEAT_S, Run, Worker

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Those of wm-roster.
BOUNDS = {"maxHoldMs": 6_000, "revokeMs": 5_000, "graceS": 6, "status_s": 120}
KEY = "key-of-team-a"


class CaseError(Exception):
    """The case could not be run."""


class World:
    """Hold the platform, its workers, the nodes and the record of one case."""

    def __init__(self, folder: Path, node_count: int = 3, **bounds: int) -> None:
        self.bounds = {**BOUNDS, **bounds}
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.node_names = [f"n{number + 1}" for number in range(node_count)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.net = free_net()
        self.servers: list[Server] = []
        self.tmp = Path(tempfile.mkdtemp(prefix="case-"))
        self.stores: dict[str, Server] = {}
        self.advisers: dict[str, Server] = {}
        # The queues that need tickets, by the digit that ends the ids of their jobs.
        self.ticket_digits: set[str] = set()
        self.tickets: set[tuple[str, str, int]] = set()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        # Nodes that the store does not answer.
        self.storeless: set[str] = set()

    # The record.

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.started

    def log(self, event: str, **fields: Any) -> None:
        """Write an event to the record."""
        entry = {"t": round(self.now(), 3), "event": event, **fields}
        self.events.append(entry)
        self.record.write(json.dumps(entry) + "\n")
        self.record.flush()

    def find(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of a kind with these fields."""
        return [
            e
            for e in self.events
            if e["event"] == event and all(e.get(name) == value for name, value in fields.items())
        ]

    # Start and end.

    def address(self, node: str) -> str:
        """Return the address of a node."""
        return f"{self.net}.{self.node_names.index(node) + 1}"

    def front(self, node: str) -> str:
        """Return the address for requesters of a node."""
        return f"{self.address(node)}:8183"

    async def open(self, config: dict[str, Any], worker_specs: list[dict[str, Any]]) -> None:
        """Start workers, nodes and adviser, and wait until all are ready."""
        await self.store.put("op", "config", config)
        for index, spec in enumerate(worker_specs):
            worker = Worker(self, f"i-{index + 1}", f"{self.net}.{100 + index}", **spec)
            self.workers[worker.id] = worker
            await worker.start()
        self.expiry_task = asyncio.create_task(self._expire_entries())
        for node in self.node_names:
            self.stores[node] = await self._listen(self._store_handler(node))
            self.advisers[node] = await self._listen(self._advise)
        for node in self.node_names:
            await self.start_node(node)
        await self.wait_until(self._is_served, 25, "no node takes the cell")

    async def _listen(self, handler: Callable[[Call], Awaitable[Any]]) -> Server:
        server = Server(f"{self.net}.99", 0, handler)
        await server.open()
        self.servers.append(server)
        return server

    def _store_handler(self, node: str) -> Callable[[Call], Awaitable[Any]]:
        async def handle(call_: Call) -> Any:
            if node in self.storeless:
                return SILENT
            return await self.store.handle(call_, node)

        return handle

    async def _is_served(self) -> bool:
        ready = 0
        for node in self.node_names:
            status, _, _ = await call(f"{self.address(node)}:8184", "GET", "/-/ready", timeout_s=1)
            ready += status == 200
        return ready == len(self.node_names) and all(w.token for w in self.workers.values())

    async def start_node(self, node: str) -> None:
        """Start the process of a node, as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        settings = self.tmp / f"{node}.yaml"
        settings.write_text(self._render((ROOT / deploy["template"]).read_text(), node))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "BAOBABHOIST_SETTINGS": str(settings)}
        words = deploy["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        out = (self.tmp / f"{node}.log").open("ab")
        self.processes[node] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=out, stderr=out
        )
        self.log("node_started", node=node)

    def _render(self, template: str, node: str) -> str:
        ip = self.address(node)
        values = {
            "nodeName": node,
            "zone": "z-a",
            "ip": ip,
            "listenAddrs.front": f"{ip}:8183",
            "listenAddrs.ready": f"{ip}:8184",
            "internalPorts.0": 7420,
            "advice": self.advisers[node].address if self.ticket_digits else "",
            "limits.cpuShare": 0.537,
            "limits.cores": 2,
            "limits.linkMbps": 1000.0,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "platform.address": self.stores[node].address,
            "platform.rowBytes": 65536,
            **{f"bounds.{name}": value for name, value in self.bounds.items()},
        }
        pattern = r"\{\{([\w.]+)(\|json)?\}\}"
        return re.sub(
            pattern, lambda m: json.dumps(values[m[1]]) if m[2] else str(values[m[1]]), template
        )

    async def kill_node(self, node: str) -> None:
        """Kill the process of a node."""
        self.log("node_killed", node=node)
        self.processes[node].send_signal(signal.SIGKILL)
        await self.processes[node].wait()

    def last_writer(self) -> str:
        """Return the node that last wrote to the store under a condition."""
        return self.store.last_conditional_writer

    def other_nodes(self, *nodes: str) -> list[str]:
        """Return the nodes except some."""
        return [name for name in self.node_names if name not in nodes]

    async def close(self) -> None:
        """End all processes and servers."""
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for worker in self.workers.values():
            if worker.up:
                worker.crash()
        for server in self.servers:
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)

    async def _expire_entries(self) -> None:
        """Remove the entries of workers that have been silent for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            for worker in self.workers.values():
                if time.monotonic() - worker.last_entry > 3 * HEARTBEAT_S:
                    await self.store.remove("servers", worker.id)

    # The adviser.

    async def _advise(self, call_: Call) -> Any:
        body = call_.json
        await asyncio.sleep(0.02 + 0.001 * len(body["workers"]))
        approved = []
        for worker_id in body["workers"]:
            worker = self.workers.get(worker_id)
            if worker is not None:
                ticket = (
                    f"{body['step']}/{worker_id}/{worker.born}/{int(time.time() * 1000) + 2_000}"
                )
                approved.append([worker_id, ticket])
        self.log("advised", step=body["step"], workers=len(approved))
        return 200, {"approved": approved, "validityMs": 2_000}

    def admits(self, worker: Worker, task: str, ticket: str) -> bool:
        """Return whether a worker takes a start with this ticket."""
        if task.partition(".")[0][-1] not in self.ticket_digits:
            return True
        named, _, expires = ticket.rpartition("/")
        step = task.rpartition(".")[0]
        return named == f"{step}/{worker.id}/{worker.born}" and int(expires) > time.time() * 1000

    # Requesters.

    def plan_of(self, task: str) -> dict[str, Any]:
        """Return how long the task's runs take and how they end."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["plans"][int(step)]

    def gang_members(self, run: Run) -> list[tuple[Worker, Run]]:
        """Return the members of a run's gang that are present, with their workers."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            if worker.up
            for other in list(worker.runs.values())
            if other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def complete_gang(self, run: Run) -> None:
        """Let a gang work from now on if all its members are present."""
        members = self.gang_members(run)
        if len(members) == self.plan_of(run.task)["gang"]:
            self.log("gang_at_work", step=run.task.rpartition(".")[0], run=run.number)
            for _, member in members:
                member.at_work_since = time.monotonic()

    def new_job(
        self,
        steps: list[dict[str, Any]],
        plans: list[dict[str, Any]],
        *,
        queue: str = "q",
        digit: str = "a",
        key: str = KEY,
    ) -> str:
        """Return the id of a new job; its plans say how long the tasks of each step run."""
        job_id = secrets.token_hex(8)[:15] + digit
        self.jobs[job_id] = {"plans": plans, "steps": steps, "queue": queue, "key": key}
        return job_id

    async def hand_in(self, job_id: str, node: str = "", tries: int = 5) -> None:
        """Hand a job in, again after no answer."""
        body = {"taskSpec": f"spec of {job_id}", "steps": self.jobs[job_id]["steps"]}
        for _ in range(tries):
            chosen = node or random.choice(self.up_nodes())
            status, _, _ = await self.request("POST", job_id, chosen, body)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CaseError(f"job {job_id} was not accepted")

    async def submit(
        self,
        steps: list[dict[str, Any]],
        plans: list[dict[str, Any]],
        *,
        node: str = "",
        **options: str,
    ) -> str:
        """Hand in a new job and return its id."""
        job_id = self.new_job(steps, plans, **options)
        await self.hand_in(job_id, node)
        return job_id

    def up_nodes(self) -> list[str]:
        """Return the nodes whose processes run."""
        return [name for name, process in self.processes.items() if process.returncode is None]

    async def request(
        self, method: str, job_id: str, node: str, body: Any = None
    ) -> tuple[int, Any, Any]:
        """Send a request for a job; return its status, body and headers."""
        job = self.jobs.get(job_id, {})
        queue = job.get("queue", "q")
        headers = {
            "Host": "jobs.example",
            "X-Credential": job.get("key", KEY),
            "X-Deadline-Ms": "3000",
        }
        path = f"/{queue}/{job_id}"
        status, answer, more = await call(self.front(node), method, path, body, headers=headers)
        self.log(
            "request",
            method=method,
            job=job_id,
            node=node,
            status=status,
            answer=answer if method == "GET" else None,
        )
        return status, answer, more

    async def state(self, job_id: str, node: str = "") -> str:
        """Return the state of a job as a requester sees it, asking again after no answer."""
        for _ in range(5):
            status, answer, _ = await self.request(
                "GET", job_id, node or random.choice(self.up_nodes())
            )
            if status == 200:
                return str(answer["state"])
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return ""

    async def pending(self, queue: str, node: str) -> int | None:
        """Return the number of pending jobs that a node tells, or None."""
        headers = {"Host": "jobs.example", "X-Credential": KEY, "X-Deadline-Ms": "3000"}
        status, answer, _ = await call(self.front(node), "GET", f"/{queue}/", headers=headers)
        self.log("request", method="GET", queue=queue, node=node, status=status, answer=answer)
        return answer["pending"] if status == 200 else None

    # Waiting.

    async def wait_until(self, check: Callable[[], Any], timeout_s: float, what: str) -> None:
        """Wait until a check is true; raise CaseError after a time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.02)
        raise CaseError(what)

    def longest_gap(self, task: str, since: float, until: float) -> float:
        """Return the longest time for which no run of a task went on, within a span."""
        open_runs, since_s, longest = 0, since, 0.0
        for e in self.events:
            if e.get("task") != task or e["event"] not in ("start", "end") or e["t"] > until:
                continue
            if e["event"] == "start":
                if not open_runs and e["t"] > since:
                    longest = max(longest, e["t"] - max(since, since_s))
                open_runs += 1
            else:
                open_runs -= 1
                since_s = e["t"]
        return longest if open_runs else max(longest, until - max(since, since_s))

    def runs(self, job_id: str) -> list[tuple[str, str, int]]:
        """Return worker, task and number of the runs of a job that go on now."""
        return [
            (worker.id, run.task, run.number)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(job_id) and worker.up
        ]


def free_net() -> str:
    """Return the first three numbers of loopback addresses that nobody listens at."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in itertools.product((1, 2, 3), (7420, 8183, 8184, 9464)):
                with socket.socket() as sock:
                    sock.bind((f"{net}.{host}", port))
        except OSError:
            continue
        return net
    raise CaseError("no free loopback addresses")


def make_config(
    version: int = 3,
    *,
    queues: dict[str, dict[str, Any]] | None = None,
    maximum: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Return a config with some queues and one tenant."""
    routes = [
        {
            "name": f"r-{name}",
            "hostname": "jobs.example",
            "prefix": f"/{name}/",
            "service": "svc",
            "priority": 1,
            "maxAttempts": 3,
            "slackFactor": 3.0,
            "targetLatencyMs": 1000,
            **more,
        }
        for name, more in (queues or {"q": {}}).items()
    ]
    tenant = {
        "name": "team-a",
        "apiKeys": [KEY],
        "weight": 50.0,
        "maximum": maximum or {"cpu": 0, "memMb": 0, "gpu": 0},
    }
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "rejectsOverload": False}],
        "tenants": [tenant],
        "limits": {"maxBodyBytes": 262_144},
    }


def run_case(folder: str, case: Callable[[World], Awaitable[bool]], **options: Any) -> None:
    """Run a case, which returns whether the rule held, and exit as the review asks."""

    async def main() -> int:
        world, task = None, asyncio.current_task()
        assert task is not None
        for signum in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        try:
            world = World(Path(folder), **options)
            async with asyncio.timeout(112):
                held = await case(world)
        except (Exception, asyncio.CancelledError) as exc:
            print(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            if world is not None:
                await world.close()
        world.log("verdict", held=held)
        print("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN

    sys.exit(asyncio.run(main()))
