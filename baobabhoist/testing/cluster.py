"""Start daemons and stand-ins as processes on loopback, for tests and the demo."""

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


# Below the range from which the kernel takes the ports of outgoing connections: a port from
# that range can be taken between its choice and the start of the process that listens on it.
PORTS = range(12_000, 32_000)
# Clusters that run beside each other take ports of different blocks.
BLOCK_SIZE = 400
_chosen: set[int] = set()


def free_port() -> int:
    """Return a port that is free now and that this process has not chosen before."""
    blocks = len(PORTS) // BLOCK_SIZE
    first = os.getpid() % blocks * BLOCK_SIZE
    while True:
        port = random.SystemRandom().choice(PORTS[first : first + BLOCK_SIZE])
        with socket.socket() as sock:
            if port not in _chosen and sock.connect_ex(("127.0.0.1", port)) != 0:
                _chosen.add(port)
                return port


@attrs.define
class Cluster:
    """Hold the processes of a small cluster; use it as a context manager."""

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
        """Stop the daemons, then everything else, also processes that are paused."""
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

    def start(self, name: str, module: str, *args: str, env: dict[str, str] | None = None) -> None:
        """Start a module of the package as a process; its output goes to NAME.log."""
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *args]
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=dict(os.environ, PYTHONUNBUFFERED="1", **(env or {})),
        )

    def kill(self, name: str) -> None:
        """End a process without notice, as a VM that fails."""
        self.processes[name].kill()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process; its connections stay open."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask a process to stop and return its exit code; raises TimeoutExpired."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def running(self, name: str) -> bool:
        """Tell whether a process was started and has not ended."""
        return name in self.processes and self.processes[name].poll() is None

    def start_platform(self, *args: str) -> None:
        """Start the platform."""
        port = f"--port={self.platform_port}"
        self.start("platform", "baobabhoist.testing.platform", port, *args)
        wait_for_port(self.platform_port)

    def start_worker(self, name: str, *args: str) -> int:
        """Start a worker and return its port."""
        port = free_port()
        self.start(name, "baobabhoist.testing.worker", f"--name={name}", f"--port={port}", *args)
        return port

    def start_workers(self, process: str, names: list[str], *args: str) -> dict[str, int]:
        """Start several workers in one process and return their ports."""
        ports = {name: free_port() for name in names}
        self.control_ports[process] = free_port()
        listed = ",".join(f"{name}:{port}" for name, port in ports.items())
        control = f"--control_port={self.control_ports[process]}"
        self.start(process, "baobabhoist.testing.worker", f"--workers={listed}", control, *args)
        for port in ports.values():
            wait_for_port(port)
        return ports

    def plan_relay(self, name: str, target: int) -> int:
        """Plan a relay to a port and return the relay's port; `start_relays` starts it."""
        port = free_port()
        self.relay_ports[name] = (port, target)
        return port

    def start_relays(self) -> None:
        """Start all planned relays in one process."""
        self.control_ports["relays"] = free_port()
        listed = ",".join(
            f"{name}={port}:{target}" for name, (port, target) in self.relay_ports.items()
        )
        control = f"--control_port={self.control_ports['relays']}"
        self.start("relays", "baobabhoist.testing.network", f"--relays={listed}", control)
        wait_for_port(self.control_ports["relays"])

    def command(self, process: str, path: str, body: dict[str, Any], method: str = "POST") -> None:
        """Send a command of tests to a stand-in; raises RuntimeError when it is refused."""
        port = self.platform_port if process == "platform" else self.control_ports[process]
        url = f"http://127.0.0.1:{port}{path}"
        status, answer = fetch(url, {}, json.dumps(body).encode(), method)
        if status != 200:
            raise RuntimeError(f"{process} refused {path} {body}: {answer!r}")

    def label_sources(self) -> None:
        """Tell the relays which data centre each daemon process belongs to."""
        labels = {
            str(self.processes[name].pid): cfg["data_centre"]
            for name, cfg in self.instances.items()
            if self.running(name)
        }
        self.command("relays", "/sources", labels)

    def plan_instances(self, names_by_data_centre: dict[str, list[str]]) -> None:
        """Choose the ports of the daemons."""
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
        """Start one daemon; its links go through the planned relays."""
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
        self.start(name, "baobabhoist.daemon.main", f"--config={path}")

    def _peer_port(self, name: str, other: dict[str, Any]) -> int:
        relay = self.relay_ports.get(f"peer:{name}>{other['instance_id']}")
        return int(relay[0] if relay is not None else other["peer_port"])

    def command_line(self, *args: str, instance: str) -> str:
        """Run the command-line tool against an instance and return what it printed."""
        port = self.instances[instance]["admin_port"]
        command = [
            sys.executable,
            "-m",
            "baobabhoist.cli.main",
            f"--admin_url=http://127.0.0.1:{port}",
            f"--operator_key={OPERATOR_KEY}",
            *args,
        ]
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        if done.returncode != 0:
            raise RuntimeError(f"{args} failed with {done.returncode}: {done.stderr}")
        return done.stdout


def wait_for_port(port: int) -> None:
    """Wait until something listens on a port."""
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < give_up_at:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"nothing listens on port {port}")


def fetch(
    url: str, headers: dict[str, str], body: bytes | None = None, method: str | None = None
) -> tuple[int, bytes]:
    """Send a request and return its status and body."""
    req = urllib.request.Request(url, body, headers, method=method)
    try:
        with urllib.request.urlopen(req, timeout=30) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()
