"""A small deployment: nodes as processes with the commands of the deploy file, the rest here."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

from . import http11
from .store import Store
from .workers import TICK_S, Adviser, Worker

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["node"]
HOST = "127.0.0.1"
ROUTE_HOST = "jobs.example"
GRACE_S = 6.0
TICKET_MS = 2500


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Node:
    def __init__(self, name):
        self.name, self.process = name, None
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.metrics, self.store, self.advice = free_port(), free_port(), free_port()


class World:
    """`trouble` is False for the control run, which does the same without the disruption."""

    def __init__(self, folder, scratch):
        self.folder, self.scratch = Path(folder), Path(scratch)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store, self.workers, self.nodes = Store(), {}, {}
        self.max_hold_ms = 6000
        self.cpu_share = 0.537
        self.worker_fault = None
        self.services_with_ticket = False
        self.tickets = {}
        self.started_s = time.monotonic()
        self.version = 1
        self.events = []
        self._file = (self.folder / "record.txt").open("w", buffering=1)
        self._tasks = []

    # The record.

    def now_s(self):
        return round(time.monotonic() - self.started_s, 3)

    def record(self, event, **fields):
        entry = {"at_s": self.now_s(), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")

    def of(self, event, **fields):
        """Return the recorded events of a kind with these fields."""
        return [
            entry for entry in self.events
            if entry["event"] == event and all(entry.get(k) == v for k, v in fields.items())
        ]

    # Hooks of the workers.

    def plan_of(self, task_spec, task):
        return json.loads(task_spec)

    def _gang(self, run):
        """Return the members of a gang's run that are there, with their workers."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in list(worker.runs.values())
            if other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def run_started(self, worker, run):
        """Let a gang begin its work once all its members are there."""
        members = self._gang(run) if run.members else []
        if run.members and len(members) == run.members:
            for other, member in members:
                member.begun_ms = other.clock_ms()

    def run_ended(self, worker, run, how):
        """End the other members of a gang with the first."""
        for other, member in self._gang(run) if run.members else ():
            other.end(member, "done" if how == "done" else "broken")

    def issue_ticket(self, step, worker_id):
        worker = self.workers[worker_id]
        until_ms = int(time.monotonic() * 1000) + TICKET_MS
        ticket = f"t{len(self.tickets)}"
        self.tickets[ticket] = (step, worker_id, worker.born_ms, until_ms)
        return ticket

    def accepts_ticket(self, worker, task, ticket):
        if not self.services_with_ticket:
            return True
        known = self.tickets.get(ticket)
        if known is None:
            return False
        step, worker_id, born_ms, until_ms = known
        is_same = (step, worker_id, born_ms) == (task.rpartition(".")[0], worker.id, worker.born_ms)
        return is_same and time.monotonic() * 1000 <= until_ms

    # Starting.

    async def start_workers(self, count, cpu=4000, per_rack=4):
        for number in range(count):
            worker = Worker(self, f"i-{number:08x}", HOST, free_port(), f"r1-{number // per_rack}", cpu)
            self.workers[worker.id] = worker
            worker.begin_life()
            await worker.listen()
            self._tasks.append(asyncio.create_task(worker.write_entries()))
        self._tasks.append(asyncio.create_task(self._tick_workers()))

    async def _tick_workers(self):
        while True:
            for worker in self.workers.values():
                worker.tick()
            await asyncio.sleep(TICK_S)

    async def start_nodes(self, names):
        adviser = Adviser(self)
        for name in names:
            node = self.nodes[name] = Node(name)
            await self.store.listen(HOST, node.store, name)
            await adviser.listen(HOST, node.advice, name)
            await self.start_node(name)

    async def start_node(self, name):
        """Start a node with the command and the settings template of the deploy file."""
        node = self.nodes[name]
        fields = {
            "nodeName": name, "zone": "z1", "ip": HOST,
            "listenAddrs.front": f"{HOST}:{node.front}", "listenAddrs.ready": f"{HOST}:{node.ready}",
            "internalPorts.0": node.peer, "advice": f"{HOST}:{node.advice}",
            "limits.cpuShare": self.cpu_share, "limits.cores": 2, "limits.linkMbps": 1000.0,
            "limits.memoryMb": 300, "limits.maxFds": 4100,
            "platform.address": f"{HOST}:{node.store}", "platform.rowBytes": 65536,
            "bounds.maxHoldMs": self.max_hold_ms, "bounds.revokeMs": 5000,
            "bounds.graceS": 6, "bounds.status_s": 120,
        }

        def fill(match):
            key, _, form = match[1].partition("|")
            return json.dumps(fields[key]) if form == "json" else str(fields[key])

        template = (ROOT / ROLE["template"]).read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", fill, template)
        # All nodes of this machine share its addresses, so each gets a metrics port of its own.
        text = re.sub(r"(?m)^metrics_port: .*$", f"metrics_port: {node.metrics}", text)
        settings = self.scratch / f"{name}.yaml"
        settings.write_text(text)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BAOBABHOIST_SETTINGS"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.scratch / f"{name}.log").open("ab")
        node.process = await asyncio.create_subprocess_exec(
            *ROLE["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, start_new_session=True,
        )
        log.close()
        self.record("node_started", node=name)

    def signal(self, name, signum):
        self.record("signal", node=name, signal=signal.Signals(signum).name)
        self.nodes[name].process.send_signal(signum)

    async def stop_node(self, name):
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.signal(name, signal.SIGTERM)
        process = self.nodes[name].process
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def close(self):
        for node in self.nodes.values():
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        for task in self._tasks:
            task.cancel()
        self._file.close()

    # The operator.

    def write_config(self, routes, tenants):
        self.version += 3
        body = {
            "version": self.version, "routes": routes, "tenants": tenants,
            "services": [
                {"name": "svc", "healthPath": "/health", "maxConnections": 64, "protocol": "h1",
                 "tls": False, "rejectsOverload": False, "standby": False}
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        self.store.put_outside("op", "config", body)
        names = [route["name"] for route in routes]
        self.record("config_acknowledged", version=self.version, routes=names)

    def owner(self):
        value = self.store.value_of("cell", "owner")
        name = json.loads(value)["node"] if value else ""
        return name if name in self.nodes else ""

    async def is_ready(self, name):
        status, _ = await http11.call(HOST, self.nodes[name].ready, "GET", "/-/ready", timeout_s=1)
        return status == 200

    async def wait_until(self, condition, timeout_s, interval_s=0.05):
        """Return whether a condition held in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(interval_s)
        return False

    async def wait_until_ready(self, timeout_s=25.0):
        """Wait until all nodes are ready and one owns the cell, and some time more."""

        async def all_ready():
            return self.owner() and all([await self.is_ready(name) for name in self.nodes])

        if not await self.wait_until(all_ready, timeout_s):
            raise CouldNotRun("the nodes did not become ready")
        await asyncio.sleep(2.0)

    # Requesters.

    async def request(self, node, method, path, key, body=None, timeout_s=3.0):
        headers = {"Host": ROUTE_HOST, "X-Credential": key, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        self.record("sent", node=node, method=method, path=path)
        status, answer = await http11.call(
            HOST, self.nodes[node].front, method, path, body, headers, timeout_s
        )
        self.record("answered", node=node, method=method, path=path, status=status, body=answer)
        return status, answer


def route(name, prefix, **fields):
    return {
        "name": name, "hostname": ROUTE_HOST, "prefix": prefix, "routeType": "non_idempotent",
        "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": "svc",
        "maxAttempts": 3, "slackFactor": 3.0, "public": False, **fields,
    }


def tenant(name, key, **fields):
    maximum = {"cpu": 0, "memMb": 0, "gpu": 0}
    return {"name": name, "apiKeys": [key], "priority": 1, "weight": 20, "maximum": maximum, **fields}


class CouldNotRun(Exception):
    """The case could not run."""


def run_case(folder, play):
    """Run a case: `play(world)` returns the breaches; exit with 0, 1 or 2."""
    import tempfile

    async def run():
        with tempfile.TemporaryDirectory(prefix="case-") as scratch:
            world = World(folder, scratch)
            try:
                async with asyncio.timeout(112):
                    breaches = await play(world)
                for breach in breaches:
                    world.record("BREACH", text=breach)
                if not breaches:
                    world.record("HELD")
                return 1 if breaches else 0
            except (CouldNotRun, TimeoutError) as exc:
                world.record("COULD_NOT_RUN", reason=str(exc) or "it took too long")
                return 2
            finally:
                if os.environ.get("KEEP_LOGS"):
                    import shutil

                    shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
                await world.close()

    status = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    sys.exit(status)
