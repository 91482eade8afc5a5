"""Run instances on stand-ins of the platform as processes, with relays on every connection."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from baobabhoist.platform.main import SETTINGS_VARIABLE
from baobabhoist.platform.testing.store import EXTERNAL_WRITER_HEADER
from baobabhoist.testing.cluster import Cluster, free_port, wait_for_port
from baobabhoist.testing.soak_run import fetch

HOST = "127.0.0.1"
BOUNDS = {"lease_max_ms": 6_000, "revoke_ms": 5_000, "grace_s": 6, "job_kept_s": 120}
ROW_BYTES = 65_536
COMMAND_TIMEOUT_S = 5.0
RACK_SIZE = 4


@attrs.define
class Instance:
    """Hold the ports of one instance; the relayed one is what the others are told."""

    name: str
    callers: int = attrs.Factory(free_port)
    ready: int = attrs.Factory(free_port)
    peers: int = attrs.Factory(free_port)
    metrics: int = attrs.Factory(free_port)
    store_relay: int = 0
    peer_relay: int = 0


@attrs.define
class Deployment:
    """Hold the processes of one run."""

    cluster: Cluster
    instances: dict[str, Instance] = attrs.Factory(dict)
    workers: list[str] = attrs.Factory(list)
    store_port: int = attrs.Factory(free_port)
    adviser_port: int = attrs.Factory(free_port)
    http: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)
    versions: itertools.count[int] = attrs.Factory(lambda: itertools.count(3, 2))

    @property
    def worker_log(self) -> Path:
        """Return the file in which the workers log their runs."""
        return self.cluster.folder / "runs.jsonl"

    async def start(self, instances: int, workers: int, config: dict[str, Any]) -> None:
        """Start everything; the configuration is there before the instances are."""
        self.cluster.start(
            "store", "baobabhoist.platform.testing.store", f"--port={self.store_port}"
        )
        wait_for_port(self.store_port)
        self._plan(instances)
        self._start_workers(workers)
        self.cluster.start_relays()
        await self.configure(config)
        for name in self.instances:
            self.start_instance(name)
        self.label_sources()

    def _plan(self, count: int) -> None:
        for number in range(count):
            instance = Instance(f"edge-{number + 1}")
            name = instance.name
            instance.store_relay = self.cluster.plan_relay(f"store:{name}", self.store_port)
            instance.peer_relay = self.cluster.plan_relay(f"peer:{name}", instance.peers)
            self.instances[name] = instance

    def _start_workers(self, count: int) -> None:
        listed = []
        for number in range(count):
            name, port = f"w{number + 1}", free_port()
            relay = self.cluster.plan_relay(f"worker:{name}", port)
            self.workers.append(name)
            listed.append(f"{name}:{port}:{relay}:r1-{number // RACK_SIZE}")
        self.cluster.control_ports["workers"] = free_port()
        self.cluster.start(
            "workers",
            "baobabhoist.platform.testing.workers",
            f"--workers={','.join(listed)}",
            f"--control_port={self.cluster.control_ports['workers']}",
            f"--adviser_port={self.adviser_port}",
            f"--store={HOST}:{self.store_port}",
            f"--log={self.worker_log}",
        )
        wait_for_port(self.cluster.control_ports["workers"])

    def start_instance(self, name: str) -> None:
        """Start or restart an instance."""
        instance = self.instances[name]
        settings = {
            "instance_id": name,
            "data_centre": "z1",
            "host": HOST,
            "caller_address": f"{HOST}:{instance.callers}",
            "ready_address": f"{HOST}:{instance.ready}",
            "peer_port": instance.peers,
            "peer_address": f"{HOST}:{instance.peer_relay}",
            "metrics_port": instance.metrics,
            "adviser_address": f"{HOST}:{self.adviser_port}",
            "cpu_share": 1.0,
            "cpu_speed": 1.0,
            "link_mbps": 1000.0,
            "store": {"address": f"{HOST}:{instance.store_relay}", "row_max_bytes": ROW_BYTES},
            "bounds": BOUNDS,
        }
        path = self.cluster.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        env = {SETTINGS_VARIABLE: str(path)}
        self.cluster.start(name, "baobabhoist.platform.main", env=env)

    def label_sources(self) -> None:
        """Tell the relays which instance is behind which process."""
        labels = {
            str(self.cluster.processes[name].pid): name
            for name in self.instances
            if self.cluster.running(name)
        }
        self.cluster.command("relays", "/sources", labels)

    # What the operator, the workers and the network do.

    async def configure(self, config: dict[str, Any]) -> int:
        """Write a configuration; return its version once the store has it."""
        version = next(self.versions)
        value = base64.b64encode(orjson.dumps({**config, "version": version})).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        await self._post(f"http://{HOST}:{self.store_port}/-/rows-tx", {"puts": [row]})
        return version

    async def store_fault(self, **fault: Any) -> None:
        """Put a fault of the store in force."""
        await self._post(f"http://{HOST}:{self.store_port}/faults", fault)

    async def worker(self, name: str, **change: Any) -> None:
        """Change a worker."""
        port = self.cluster.control_ports["workers"]
        await self._post(f"http://{HOST}:{port}/workers/{name}", change)

    async def relay(self, name: str, mode: str, **extra: Any) -> None:
        """Put a fault in force on all relays that match a name."""
        port = self.cluster.control_ports["relays"]
        body = {"name": name, "mode": mode, **extra}
        await self._post(f"http://{HOST}:{port}/relays", body)

    async def _post(self, url: str, body: dict[str, Any]) -> None:
        await self.http.fetch(
            url,
            method="POST",
            headers={EXTERNAL_WRITER_HEADER: "operator"},
            body=json.dumps(body),
            request_timeout=COMMAND_TIMEOUT_S,
        )

    async def owner(self) -> str:
        """Return the name of the instance that has the claim, or an empty string."""
        url = f"http://{HOST}:{self.store_port}/-/rows-get?table=cell&part="
        answer = await self.http.fetch(url, headers={EXTERNAL_WRITER_HEADER: "operator"})
        for row in json.loads(answer.body)["rows"]:
            if row["key"] == "owner":
                return str(json.loads(base64.b64decode(row["value"]))["node"])
        return ""

    async def call(
        self, port: int, method: str, path: str, timeout_s: float, **options: Any
    ) -> HTTPResponse | str:
        """Return the answer of an instance, or why there is none."""
        url = f"http://{HOST}:{port}{path}"
        return await fetch(self.http, url, timeout_s, method=method, **options)

    async def ready(self, name: str) -> bool:
        """Ask an instance whether it takes callers."""
        answer = await self.call(self.instances[name].ready, "GET", "/-/ready", 0.9)
        return not isinstance(answer, str) and answer.code == 200


async def repeat(pause_s: float, work: Callable[[], Awaitable[Any]]) -> None:
    """Repeat something until cancelled."""
    while True:
        await work()
        await asyncio.sleep(pause_s)
