"""Run daemons and fakes of the outside systems as local processes, for tests and the demo."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import attrs
import yaml

from baobabhoist.records.view import key_digest

OPERATOR_KEY = "operator-key-for-tests"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


# Below the kernel's ephemeral ports: an outgoing connection could take an ephemeral port between
# its choice and the start of the process that listens on it.
PORT_RANGE = range(12_000, 32_000)
# Test processes that run in parallel choose ports from different blocks.
PORTS_PER_BLOCK = 400
# A process chooses at most this many ports of a block, and then goes on to the next one.
MAX_CHOSEN_PER_BLOCK = 300
_chosen_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is unused now and that this process has not chosen before."""
    block_count = len(PORT_RANGE) // PORTS_PER_BLOCK
    finished_blocks = len(_chosen_ports) // MAX_CHOSEN_PER_BLOCK
    start = (os.getpid() + finished_blocks) % block_count * PORTS_PER_BLOCK
    while True:
        port = random.SystemRandom().choice(PORT_RANGE[start : start + PORTS_PER_BLOCK])
        with socket.socket() as sock:
            if port not in _chosen_ports and sock.connect_ex(("127.0.0.1", port)) != 0:
                _chosen_ports.add(port)
                return port


@attrs.define
class Cluster:
    """Manage the processes of a small cluster; leaving the context stops them all."""

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = attrs.Factory(dict)
    instances: dict[str, dict[str, Any]] = attrs.Factory(dict)
    platform_port: int = attrs.Factory(free_port)
    control_ports: dict[str, int] = attrs.Factory(dict)
    relay_ports: dict[str, tuple[int, int]] = attrs.Factory(dict)

    def __enter__(self) -> Cluster:
        """Return the cluster."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the daemons, then all other processes, including suspended ones."""
        daemons = [self.processes[name] for name in self.instances if name in self.processes]
        others = [process for process in self.processes.values() if process not in daemons]
        for group in (daemons, others):
            for process in group:
                process.send_signal(signal.SIGCONT)
                process.terminate()
            for process in group:
                try:
                    process.wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()

    def start_process(
        self, name: str, module: str, *args: str, env: dict[str, str] | None = None
    ) -> None:
        """Start a module of the package as a process that writes its output to NAME.log."""
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *args]
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=dict(os.environ, PYTHONUNBUFFERED="1", **(env or {})),
        )

    def kill(self, name: str) -> None:
        """Kill a process, as if its VM failed."""
        self.processes[name].kill()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process; its connections stay open."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate a process and return its exit code; raises TimeoutExpired."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        return name in self.processes and self.processes[name].poll() is None

    def start_platform(self, *args: str) -> None:
        """Start the fake platform and wait until it listens."""
        port = f"--port={self.platform_port}"
        self.start_process("platform", "baobabhoist.testing.platform", port, *args)
        wait_for_port(self.platform_port)

    def start_worker(self, name: str, *args: str) -> int:
        """Start a fake worker and return its port."""
        port = free_port()
        self.start_process(
            name, "baobabhoist.testing.worker", f"--name={name}", f"--port={port}", *args
        )
        return port

    def start_workers(self, process_name: str, names: list[str], *args: str) -> dict[str, int]:
        """Start several fake workers in one process and return their ports by name."""
        ports = {name: free_port() for name in names}
        self.control_ports[process_name] = free_port()
        specs = ",".join(f"{name}:{port}" for name, port in ports.items())
        control = f"--control_port={self.control_ports[process_name]}"
        self.start_process(
            process_name, "baobabhoist.testing.worker", f"--workers={specs}", control, *args
        )
        for port in ports.values():
            wait_for_port(port)
        return ports

    def add_relay(self, name: str, target_port: int) -> int:
        """Add a relay to a port and return its own port; `start_relays` starts it."""
        port = free_port()
        self.relay_ports[name] = (port, target_port)
        return port

    def start_relays(self) -> None:
        """Start all relays in one process."""
        self.control_ports["relays"] = free_port()
        specs = ",".join(
            f"{name}={port}:{target_port}"
            for name, (port, target_port) in self.relay_ports.items()
        )
        control = f"--control_port={self.control_ports['relays']}"
        self.start_process("relays", "baobabhoist.testing.network", f"--relays={specs}", control)
        wait_for_port(self.control_ports["relays"])

    def send_control_request(
        self, process_name: str, path: str, body: dict[str, Any], method: str = "POST"
    ) -> None:
        """Send a request to the control port of a fake; raises RuntimeError if it fails."""
        port = (
            self.platform_port if process_name == "platform" else self.control_ports[process_name]
        )
        url = f"http://127.0.0.1:{port}{path}"
        status, response_body = fetch(url, {}, json.dumps(body).encode(), method)
        if status != 200:
            raise RuntimeError(f"{process_name} rejected {path} {body}: {response_body!r}")

    def label_sources(self) -> None:
        """Tell the relays which data centre each daemon process belongs to."""
        labels = {
            str(self.processes[name].pid): cfg["data_centre"]
            for name, cfg in self.instances.items()
            if self.is_running(name)
        }
        self.send_control_request("relays", "/sources", labels)

    def add_instances(self, names_by_data_centre: dict[str, list[str]]) -> None:
        """Add the settings of daemons, with free ports; `start_instance` starts one."""
        for data_centre, names in names_by_data_centre.items():
            for name in names:
                self.instances[name] = {
                    "instance_id": name,
                    "data_centre": data_centre,
                    "host": "127.0.0.1",
                    "caller_port": free_port(),
                    "admin_port": free_port(),
                    "peer_port": free_port(),
                    "platform_url": f"http://127.0.0.1:{self.platform_port}",
                    "operator_key_digest": key_digest(OPERATOR_KEY),
                }

    def start_instance(self, name: str) -> None:
        """Start a daemon; its outgoing connections use the relays that were added for them."""
        cfg = dict(self.instances[name])
        if f"platform:{name}" in self.relay_ports:
            cfg["platform_url"] = f"http://127.0.0.1:{self.relay_ports[f'platform:{name}'][0]}"
        cfg["peers"] = [
            {
                "instance_id": other["instance_id"],
                "data_centre": other["data_centre"],
                "host": other["host"],
                "port": self._peer_port(name, other),
            }
            for other in self.instances.values()
            if other["instance_id"] != name
        ]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg), encoding="utf-8")
        self.start_process(name, "baobabhoist.daemon.main", f"--config={path}")

    def _peer_port(self, name: str, other: dict[str, Any]) -> int:
        relay = self.relay_ports.get(f"peer:{name}>{other['instance_id']}")
        return int(relay[0] if relay is not None else other["peer_port"])

    def run_cli(self, *args: str, instance: str) -> str:
        """Run the command-line tool against an instance and return its output."""
        port = self.instances[instance]["admin_port"]
        command = [
            sys.executable,
            "-m",
            "baobabhoist.cli.main",
            f"--admin_url=http://127.0.0.1:{port}",
            f"--operator_key={OPERATOR_KEY}",
            *args,
        ]
        result = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        if result.returncode != 0:
            raise RuntimeError(f"{args} exited with {result.returncode}: {result.stderr}")
        return result.stdout


def wait_for_port(port: int) -> None:
    """Wait until a process listens on a port; raises RuntimeError after a timeout."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"no process listens on port {port}")


def fetch(
    url: str, headers: dict[str, str], body: bytes | None = None, method: str | None = None
) -> tuple[int, bytes]:
    """Send an HTTP request and return the status and body of the response."""
    req = urllib.request.Request(url, body, headers, method=method)
    try:
        with urllib.request.urlopen(req, timeout=30) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()
