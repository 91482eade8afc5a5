"""Run instances against a fake platform, as processes with a relay on every connection."""

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

from baobabhoist.platform.instance import SETTINGS_ENV_VAR
from baobabhoist.platform.testing.simulated_worker import DATA_CENTRES
from baobabhoist.platform.testing.soak_advice import PROFILES
from baobabhoist.platform.testing.store import EXTERNAL_WRITER_HEADER
from baobabhoist.testing.cluster import Cluster, free_port, wait_for_port
from baobabhoist.testing.soak_driver import try_fetch

HOST = "127.0.0.1"
INSTANCE_BOUNDS = {
    "lease_max_ms": 6_000,
    "revoke_ms": 5_000,
    "grace_s": 6,
    "job_kept_s": 120,
    "config_apply_ms": 2_000,
}
ROW_MAX_BYTES = 65_536
COMMAND_TIMEOUT_S = 5.0
WORKERS_PER_RACK = 4


@attrs.define
class InstancePorts:
    """Hold the ports of one instance.

    The other instances are told the port of its peer relay instead of its own peer port.
    """

    name: str
    caller_port: int = attrs.Factory(free_port)
    ready_port: int = attrs.Factory(free_port)
    peer_port: int = attrs.Factory(free_port)
    metrics_port: int = attrs.Factory(free_port)
    # The adviser tells the machines apart by the port that they call.
    adviser_port: int = attrs.Factory(free_port)
    store_relay_port: int = 0
    peer_relay_port: int = 0


@attrs.define
class Deployment:
    """Start and control the processes of one run."""

    cluster: Cluster
    instances: dict[str, InstancePorts] = attrs.Factory(dict)
    # The workers in use; those that have ended for good are left out, and spares until they join.
    worker_names: list[str] = attrs.Factory(list)
    spare_workers: list[str] = attrs.Factory(list)
    worker_data_centres: dict[str, str] = attrs.Factory(dict)
    store_port: int = attrs.Factory(free_port)
    http: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)
    config_versions: itertools.count[int] = attrs.Factory(lambda: itertools.count(3, 2))
    # The size that the instances are told; a small owner lets others hold its sessions.
    instance_cores: float = 1.0
    # The limits of their machine that the instances are told, as in the section `limits`.
    instance_limits: dict[str, int] = attrs.Factory(dict)
    # The name of the profile that tells which queues need advice, and how tasks are scheduled.
    profile: str = "mixed"

    @property
    def worker_log_path(self) -> Path:
        """Return the path of the file in which the workers log their runs."""
        return self.cluster.folder / "runs.jsonl"

    async def start(
        self,
        instance_count: int,
        worker_count: int,
        config: dict[str, Any],
        spare_worker_count: int = 0,
    ) -> None:
        """Start all processes; the configuration is written before the instances start."""
        self.cluster.start_process(
            "store", "baobabhoist.platform.testing.store", f"--port={self.store_port}"
        )
        wait_for_port(self.store_port)
        self._plan_instances(instance_count)
        self._start_workers(worker_count, spare_worker_count)
        self.cluster.start_relays()
        await self.write_config(config)
        for name in self.instances:
            self.start_instance(name)
        self.label_sources()

    def _plan_instances(self, count: int) -> None:
        for number in range(count):
            instance = InstancePorts(f"edge-{number + 1}")
            name = instance.name
            instance.store_relay_port = self.cluster.add_relay(f"store:{name}", self.store_port)
            instance.peer_relay_port = self.cluster.add_relay(f"peer:{name}", instance.peer_port)
            self.instances[name] = instance

    def _start_workers(self, count: int, spare_count: int) -> None:
        worker_specs = [self._plan_worker(number) for number in range(count + spare_count)]
        names = list(self.worker_data_centres)
        self.worker_names, self.spare_workers = names[:count], names[count:]
        self.cluster.control_ports["workers"] = free_port()
        adviser_ports = [str(instance.adviser_port) for instance in self.instances.values()]
        self.cluster.start_process(
            "workers",
            "baobabhoist.platform.testing.workers",
            f"--workers={','.join(worker_specs)}",
            f"--spares={','.join(self.spare_workers)}",
            f"--control_port={self.cluster.control_ports['workers']}",
            f"--adviser_ports={','.join(adviser_ports)}",
            f"--profile={self.profile}",
            f"--store={HOST}:{self.store_port}",
            f"--log={self.worker_log_path}",
        )
        wait_for_port(self.cluster.control_ports["workers"])

    def _plan_worker(self, number: int) -> str:
        """Return the specification of a worker behind a relay."""
        name, port = f"w{number + 1}", free_port()
        relay_port = self.cluster.add_relay(f"worker:{name}", port)
        rack = f"r1-{number // WORKERS_PER_RACK}"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.worker_data_centres[name] = data_centre
        return f"{name}:{port}:{relay_port}:{rack}:{data_centre}"

    def start_instance(self, name: str) -> None:
        """Start or restart an instance."""
        instance = self.instances[name]
        settings = {
            "instance_id": name,
            "data_centre": "z1",
            "host": HOST,
            "caller_address": f"{HOST}:{instance.caller_port}",
            "ready_address": f"{HOST}:{instance.ready_port}",
            "peer_port": instance.peer_port,
            "peer_address": f"{HOST}:{instance.peer_relay_port}",
            "metrics_port": instance.metrics_port,
            "adviser_address": f"{HOST}:{instance.adviser_port}",
            "cpu_share": self.instance_cores,
            "cpu_speed": 1.0,
            "link_mbps": 1000.0,
            "store": {
                "address": f"{HOST}:{instance.store_relay_port}",
                "row_max_bytes": ROW_MAX_BYTES,
            },
            "bounds": INSTANCE_BOUNDS,
            "limits": self.instance_limits,
            "scheduling": dict(PROFILES[self.profile].scheduling),
        }
        path = self.cluster.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        env = {SETTINGS_ENV_VAR: str(path)}
        self.cluster.start_process(name, "baobabhoist.platform.main", env=env)

    def label_sources(self) -> None:
        """Tell the relays which instance each process id belongs to."""
        labels = {
            str(self.cluster.processes[name].pid): name
            for name in self.instances
            if self.cluster.is_running(name)
        }
        self.cluster.send_control_request("relays", "/sources", labels)

    # Actions of the operator, the workers and the network.

    async def write_config(self, config: dict[str, Any]) -> int:
        """Write a configuration to the store and return its version."""
        version = next(self.config_versions)
        value = base64.b64encode(orjson.dumps({**config, "version": version})).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        await self._post(f"http://{HOST}:{self.store_port}/-/rows-tx", {"puts": [row]})
        return version

    async def request_evacuation(self, data_centre: str, *, is_requested: bool) -> None:
        """Request that a data centre is emptied, or take the request back."""
        row = {"table": "op", "part": "", "key": f"evacuate/{data_centre}"}
        puts = [{**row, "value": base64.b64encode(b"{}").decode()}] if is_requested else []
        body = {"puts": puts, "remove": [] if is_requested else [row]}
        await self._post(f"http://{HOST}:{self.store_port}/-/rows-tx", body)

    async def set_store_fault(self, **fault: Any) -> None:
        """Set the active fault of the store."""
        await self._post(f"http://{HOST}:{self.store_port}/faults", fault)

    async def command_worker(self, name: str, **command: Any) -> None:
        """Send a command to a worker."""
        port = self.cluster.control_ports["workers"]
        await self._post(f"http://{HOST}:{port}/workers/{name}", command)

    async def end_worker(self, name: str) -> None:
        """End a worker for good; its address refuses connections."""
        await self.set_relay_mode(f"worker:{name}", "cut")
        await self.command_worker(name, end="for_good")

    async def add_spare_worker(self) -> None:
        """Let a spare worker join, under an id and at an address that were not in use before."""
        name = self.spare_workers.pop(0)
        await self.command_worker(name, join=1)
        self.worker_names.append(name)

    async def set_relay_mode(self, pattern: str, mode: str, **options: Any) -> None:
        """Set the mode of all relays whose names match a pattern."""
        port = self.cluster.control_ports["relays"]
        body = {"name": pattern, "mode": mode, **options}
        await self._post(f"http://{HOST}:{port}/relays", body)

    async def _post(self, url: str, body: dict[str, Any]) -> None:
        await self.http.fetch(
            url,
            method="POST",
            headers={EXTERNAL_WRITER_HEADER: "operator"},
            body=json.dumps(body),
            request_timeout=COMMAND_TIMEOUT_S,
        )

    async def find_owner(self) -> str:
        """Return the name of the instance that owns the cell, or an empty string."""
        url = f"http://{HOST}:{self.store_port}/-/rows-get?table=cell&part="
        response = await self.http.fetch(url, headers={EXTERNAL_WRITER_HEADER: "operator"})
        for row in json.loads(response.body)["rows"]:
            if row["key"] == "owner":
                return str(json.loads(base64.b64decode(row["value"]))["node"])
        return ""

    async def send_request(
        self, port: int, method: str, path: str, timeout_s: float, **options: Any
    ) -> HTTPResponse | str:
        """Send a request to an instance; return its response, or the reason why there is none."""
        url = f"http://{HOST}:{port}{path}"
        return await try_fetch(self.http, url, timeout_s, method=method, **options)

    async def is_ready(self, name: str) -> bool:
        """Ask an instance whether it is ready for callers."""
        response = await self.send_request(self.instances[name].ready_port, "GET", "/-/ready", 0.9)
        return not isinstance(response, str) and response.code == 200


async def run_periodically(interval_s: float, action: Callable[[], Awaitable[Any]]) -> None:
    """Run an action at intervals until cancelled."""
    while True:
        await action()
        await asyncio.sleep(interval_s)
