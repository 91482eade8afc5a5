"""Start daemons and stand-ins as processes on loopback, for tests and the demo."""

from __future__ import annotations

import os
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

from baobabhoist.records.view import digest

OPERATOR_KEY = "operator-key-for-tests"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@attrs.define
class Cluster:
    """Hold the processes of a small cluster; use it as a context manager."""

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = attrs.Factory(dict)
    instances: dict[str, dict[str, Any]] = attrs.Factory(dict)
    platform_port: int = attrs.Factory(free_port)

    def __enter__(self) -> Cluster:
        """Return the cluster."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop every process."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()

    def start(self, name: str, module: str, *args: str) -> None:
        """Start a module of the package as a process; its output goes to NAME.log."""
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *args]
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=dict(os.environ, PYTHONUNBUFFERED="1")
        )

    def start_platform(self) -> None:
        """Start the platform."""
        self.start("platform", "baobabhoist.testing.platform", f"--port={self.platform_port}")
        wait_for_port(self.platform_port)

    def start_worker(self, name: str, *args: str) -> int:
        """Start a worker and return its port."""
        port = free_port()
        self.start(name, "baobabhoist.testing.worker", f"--name={name}", f"--port={port}", *args)
        return port

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
                    "operator_key_digest": digest(OPERATOR_KEY),
                }

    def start_instance(self, name: str) -> None:
        """Start one daemon and wait until it is ready."""
        cfg = dict(self.instances[name])
        cfg["peers"] = [
            {
                "instance_id": other["instance_id"],
                "data_centre": other["data_centre"],
                "host": other["host"],
                "port": other["peer_port"],
            }
            for other in self.instances.values()
            if other["instance_id"] != name
        ]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg), encoding="utf-8")
        self.start(name, "baobabhoist.daemon.main", f"--config={path}")

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


def fetch(url: str, headers: dict[str, str], body: bytes | None = None) -> tuple[int, bytes]:
    """Send a request and return its status and body."""
    req = urllib.request.Request(url, body, headers)
    try:
        with urllib.request.urlopen(req, timeout=30) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()
