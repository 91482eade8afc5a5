"""Run the project's nodes as processes beside the stand-ins, and send them jobs."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .http11 import send
from .record import Record
from .store import ROW_BYTES, Store
from .workers import Pool

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "svc1"
HOST = "queue.example"
ZONES = ("z-a", "z-b", "z-c", "z-d")
METRICS_PORT = 9464
START_TIMEOUT_S = 25.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """Report that a case could not run."""


def _free_ports(host: str, count: int) -> list[int]:
    """Return different free ports."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [int(sock.getsockname()[1]) for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders `{{a.b}}` and `{{a.b|json}}` of a settings template."""

    def replace(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: Any = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name, "")
        return json.dumps(value) if form == "json" or isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, template)


class NodeProcess:
    """Hold one machine of the system; it keeps its address over restarts."""

    def __init__(self, name: str, zone: str, host: str, folder: Path) -> None:
        self.name, self.zone, self.host = name, zone, host
        front, ready, self.peer_port = _free_ports(host, 3)
        self.front, self.ready = f"{host}:{front}", f"{host}:{ready}"
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, fields: dict[str, Any]) -> None:
        """Start the process with the command and the template of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        text = _render((ROOT / role["template"]).read_text(), fields)
        path = self.folder / f"{self.name}.yaml"
        path.write_text(text)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = f"{ROOT / 'target/deps'}:{ROOT}"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BAOBABHOIST_SETTINGS"] = str(path)
        log = (self.folder / f"{self.name}.log").open("ab")
        words = role["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def signal(self, signum: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class World:
    """Hold the stand-ins and the nodes of one case."""

    def __init__(
        self,
        folder: Path,
        *,
        node_count: int = 4,
        worker_count: int = 24,
        capacity: dict[str, int] | None = None,
        max_hold_ms: int = 6_000,
        cpu_share: float = 0.537,
        seed: int = 1,
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case_folder = folder
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.store = Store(self.record)
        self.max_hold_ms, self.cpu_share = max_hold_ms, cpu_share
        self.capacity = capacity or {"cpu": 16_000, "memMb": 65_536, "gpu": 0}
        self.pool = Pool(self.record, self.store, SERVICE, self.capacity, max_hold_ms)
        self.worker_count, self.node_count = worker_count, node_count
        self.nodes: list[NodeProcess] = []
        self.states: dict[str, str] = {}
        self.attempts: dict[str, list[int]] = {}
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.routes: list[dict[str, Any]] = []
        self.tenants: list[dict[str, Any]] = []
        self.version = 3
        self._tasks: set[asyncio.Task[Any]] = set()

    # Start and end.

    async def start(self) -> None:
        """Start everything and wait until the nodes are ready and the workers known."""
        if not (ROOT / "target/deps").is_dir():
            raise NotRunError("target/deps is missing: run the build line of deploy/system.toml")
        await self.store.server.start()
        for number in range(self.worker_count):
            zone = ZONES[number % len(ZONES)]
            kind = "ab"[number // len(ZONES) % 2]
            worker_id = f"i-{self.rng.getrandbits(40):010x}"
            worker = self.pool.add(worker_id, kind, f"r1-{number % len(ZONES)}", zone)
            await worker.start()
        self.spawn(self.pool.run())
        self.put_config()
        block = self._free_block()
        for number in range(self.node_count):
            zone = ZONES[number % len(ZONES)]
            node = NodeProcess(f"edge-{number + 1}", zone, f"{block}.{number + 1}", self.tmp)
            self.nodes.append(node)
            self.start_node(node)
        try:
            await self.wait_for(self._is_ready, START_TIMEOUT_S, "the nodes are not ready")
        except NotRunError:
            self._describe_nodes()
            raise
        # The owner asks each worker once before it uses it.
        await asyncio.sleep(2.0)

    def _describe_nodes(self) -> None:
        """Print why the nodes may not be ready."""
        print(f"the cell is owned by {self.store.owner()!r}")
        for node in self.nodes:
            status = node.process.poll() if node.process is not None else None
            lines = (self.tmp / f"{node.name}.log").read_text(errors="replace").splitlines()
            print(f"{node.name}: exit status {status}; its last lines:", *lines[-3:], sep="\n  ")

    def _free_block(self) -> str:
        """Return the first three bytes of loopback addresses whose metrics ports are free."""
        for _ in range(50):
            block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            hosts = [f"{block}.{n + 1}" for n in range(self.node_count)]
            if all(_is_free(host, METRICS_PORT) for host in hosts):
                return block
        raise NotRunError("no loopback address with a free metrics port")

    def start_node(self, node: NodeProcess) -> None:
        """Start a node, or start it again."""
        self.record.add("node_start", node=node.name)
        node.start(
            {
                "nodeName": node.name,
                "zone": node.zone,
                "ip": node.host,
                "listenAddrs": {"front": node.front, "ready": node.ready},
                "internalPorts": [node.peer_port, node.peer_port + 15],
                "advice": "",
                "limits": {"cpuShare": self.cpu_share, "cores": 2, "linkMbps": 1000.0},
                "platform": {"address": self.store.server.address, "rowBytes": ROW_BYTES},
                "bounds": {
                    "maxHoldMs": self.max_hold_ms,
                    "revokeMs": 5_000,
                    "graceS": 6,
                    "status_s": 120,
                },
            }
        )

    async def _is_ready(self) -> bool:
        for node in self.nodes:
            status, _, _ = await send(node.ready, "GET", "/-/ready", timeout_s=0.9)
            if status != 200:
                return False
        return True

    async def wait_for(
        self, check: Callable[[], Awaitable[bool]], timeout_s: float, problem: str
    ) -> None:
        """Wait until a check holds; raises NotRunError after a time."""
        end_s = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > end_s:
                raise NotRunError(problem)
            await asyncio.sleep(0.2)

    def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {self.tmp}")
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)

    def spawn(self, coro: Any) -> asyncio.Task[Any]:
        """Run something beside the case."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # The operator.

    def add_tenant(self, name: str, cpu: int = 0) -> None:
        """Add a tenant with one key, whose limit is `cpu` or none."""
        maximum = {"cpu": cpu, "memMb": 0, "gpu": 0}
        key = f"key-{name}"
        self.tenants.append(
            {"name": name, "apiKeys": [key], "priority": 1, "weight": 50, "maximum": maximum}
        )

    def add_route(self, name: str, **fields: Any) -> None:
        """Add a queue."""
        self.routes.append(
            {
                "name": name,
                "hostname": HOST,
                "prefix": f"/{name}/",
                "routeType": "non_idempotent",
                "timeoutMs": 3_000,
                "targetLatencyMs": 3_000,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 3,
                "slackFactor": 50.0,
                "public": False,
                **fields,
            }
        )

    def put_config(self) -> None:
        """Write the config to the store."""
        self.version += 2
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "rejectsOverload": False,
            "standby": False,
        }
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        }
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [service],
            "limits": limits,
            "tenants": self.tenants,
        }
        self.store.put("op", "config", config)
        self.record.add("config", version=self.version)

    # The nodes.

    def owner(self) -> NodeProcess:
        """Return the node that owns the cell."""
        name = self.store.owner()
        found = [node for node in self.nodes if node.name == name]
        if not found:
            raise NotRunError("nobody owns the cell")
        return found[0]

    def signal_node(self, node: NodeProcess, signum: int) -> None:
        """Send a signal to a node."""
        self.record.add("signal", node=node.name, signal=signal.Signals(signum).name)
        node.signal(signum)

    # The requesters.

    async def call(
        self, node: NodeProcess, method: str, path: str, tenant: str, body: Any = None
    ) -> tuple[int, dict[str, str], Any]:
        """Send one call of a tenant to a node."""
        headers = {"Host": HOST, "X-Credential": f"key-{tenant}", "X-Deadline-Ms": "3000"}
        return await send(node.front, method, path, body, headers, timeout_s=3.2)

    async def submit(
        self,
        route: str,
        tenant: str,
        job: dict[str, Any],
        *,
        attempts: int = 5,
        node: NodeProcess | None = None,
    ) -> tuple[str, bool]:
        """Hand a job in, as a requester does: retries go to other nodes, for 3 s at most.

        Returns the id and whether it was accepted.
        """
        job_id = f"{self.rng.getrandbits(64):016x}"
        end_s, tries = time.monotonic() + 3.0, self.attempts.setdefault(job_id, [])
        nodes = self.rng.sample(self.nodes, len(self.nodes))
        if node is not None:
            nodes = [node, *(other for other in nodes if other is not node)]
        self.record.add("send", job=job_id, route=route, tenant=tenant)
        for number in range(attempts):
            target = nodes[number % len(nodes)]
            status, headers, _ = await self.call(target, "POST", f"/{route}/{job_id}", tenant, job)
            tries.append(status)
            self.record.add("answer", job=job_id, node=target.name, status=status)
            if status == 200:
                return job_id, True
            if status in (400, 401, 403, 404, 409, 413):
                return job_id, False
            wait_s = max(0.3, float(headers.get("retry-after", "0.3") or 0.3))
            if time.monotonic() + wait_s > end_s:
                break
            await asyncio.sleep(wait_s)
        return job_id, False

    async def state(self, route: str, tenant: str, job_id: str) -> str:
        """Return the state of a job, trying several nodes; "410" if it isn't known."""
        for node in self.rng.sample(self.nodes, len(self.nodes)):
            status, _, body = await self.call(node, "GET", f"/{route}/{job_id}", tenant)
            if status == 200:
                self.record.add("state", job=job_id, node=node.name, state=body["state"])
                return str(body["state"])
            if status == 410:
                self.record.add("state", job=job_id, node=node.name, state="410")
                return "410"
        return ""

    def was_only_rejected(self, job_id: str) -> bool:
        """Return whether all attempts to hand a job in were rejected with 429 or 503."""
        tries = self.attempts.get(job_id, [])
        return bool(tries) and all(status in (429, 503) for status in tries)


def job(
    count: int, cpu: int, mem_mb: int, ms: float, *, fails: bool = False, **fields: Any
) -> dict[str, Any]:
    """Return the body of a job of one step whose tasks work for `ms` and then end."""
    plan = {"ms": ms, "saves": bool(fields.get("checkpointing")), "fails": fails}
    step = {"count": count, "cpu": cpu, "memMb": mem_mb, "estimatedMs": int(ms), **fields}
    return {"taskSpec": json.dumps(plan), "steps": [step]}


def main(make: Callable[[], World], play: Callable[[World], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""

    async def run() -> int:
        world = make()
        try:
            await world.start()
            broken = await play(world)
        except NotRunError as exc:
            print(f"not run: {exc}")
            return NOT_RUN
        except Exception:
            traceback.print_exc()
            return NOT_RUN
        finally:
            world.close()
        for text in broken[:20]:
            print(f"broken: {text}")
            world.record.add("verdict", broken=text)
        print(f"trouble={int(world.trouble)} broken={len(broken)}")
        return BROKEN if broken else HELD

    def stop(signum: int, frame: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    os._exit(asyncio.run(run()))
