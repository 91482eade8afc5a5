"""Demonstrate a small cluster: requests and jobs that run, wait, are refused or cancelled."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs
import yaml
from absl import app

from baobabhoist.records.view import key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port

TEAM_KEY = "key-of-roster"
CAPACITY = {"cpu_milli": 4000, "memory_mb": 8192, "slots": 4}
READY_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 40.0
# With a quota of two tasks, the third of three concurrent requests has to wait.
TEAM_LIMIT = 2
LONG_RUN_S = 2.0
POLL_INTERVAL_S = 0.2


@attrs.define
class Demo:
    """Run commands against the instances of a cluster and print what they do."""

    cluster: Cluster

    def print_heading(self, text: str) -> None:
        """Print a heading."""
        print(f"\n== {text}", flush=True)

    def start_cli(self, *args: str, key: str = TEAM_KEY, instance: str = "entry-1") -> Any:
        """Start the command-line tool as a team or an operator would."""
        cfg = self.cluster.instances[instance]
        flags = [
            f"--admin_url=http://127.0.0.1:{cfg['admin_port']}",
            f"--caller_url=http://127.0.0.1:{cfg['caller_port']}",
        ]
        environment = dict(
            os.environ, BAOBABHOIST_OPERATOR_KEY=OPERATOR_KEY, BAOBABHOIST_TEAM_KEY=key
        )
        command = [sys.executable, "-m", "baobabhoist.cli.main", *flags, *args]
        return subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, env=environment
        )

    def run_cli(self, *args: str, prints: bool = True, **options: str) -> tuple[int, str]:
        """Run a command, print it with its output, and return its exit code and output."""
        process = self.start_cli(*args, **options)
        output = str(process.communicate(timeout=COMMAND_TIMEOUT_S)[0])
        if prints:
            self.print_command(args, output, process.returncode)
        return process.returncode, output

    def print_command(self, args: tuple[str, ...], output: str, exit_code: int) -> None:
        """Print a command with its output and exit code."""
        words = [Path(arg).name if arg.startswith("/") else arg for arg in args]
        print(f"$ baobabhoist {' '.join(words)}")
        for line in output.rstrip().splitlines():
            print(f"  {line}")
        print(f"  (exit code {exit_code})", flush=True)

    def write_file(self, name: str, content: Any) -> str:
        """Write a file and return its path."""
        path = self.cluster.folder / name
        text = content if isinstance(content, str) else yaml.safe_dump_all(content)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def start(self) -> None:
        """Start the fakes and two daemons, and store the records."""
        self.print_heading("starting the platform, two workers and two daemons")
        self.cluster.start_platform()
        options = [f"--{name}={amount}" for name, amount in CAPACITY.items()]
        ports = self.cluster.start_workers("workers", ["worker-1", "worker-2"], *options)
        self.cluster.add_instances({"north": ["entry-1", "entry-2"]})
        for name in self.cluster.instances:
            self.cluster.start_instance(name)
        for cfg in self.cluster.instances.values():
            wait_for_port(cfg["admin_port"])
        workers = [
            {"name": name, "host": "127.0.0.1", "port": port, **CAPACITY}
            for name, port in ports.items()
        ]
        bodies = {
            ("shard", "rack-1"): {"data_centre": "north", "workers": workers},
            ("team", "roster"): {"limit": TEAM_LIMIT},
            ("key", "roster-1"): {"team": "roster", "digest": key_digest(TEAM_KEY)},
            ("queue", "entries"): {},
        }
        records = [
            {"kind": kind, "name": name, "schema_version": 1, "body": body}
            for (kind, name), body in bodies.items()
        ]
        self.require_success(
            self.run_cli("put", "record", self.write_file("records.yaml", records))
        )
        self.wait_until_ready()

    def require_success(self, result: tuple[int, str]) -> str:
        """Return the output of a command; raises RuntimeError if it failed."""
        if result[0] != 0:
            raise RuntimeError(f"command exited with {result[0]}: {result[1]}")
        return result[1]

    def wait_until_ready(self) -> None:
        """Wait until every instance serves requests; raises RuntimeError after a timeout."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for cfg in self.cluster.instances.values():
            url = f"http://127.0.0.1:{cfg['caller_port']}/v1/queues/entries/requests"
            status = 0
            while status != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"an instance served no request within {READY_TIMEOUT_S:g} s"
                    )
                status, _ = fetch(url, {"X-Team-Key": TEAM_KEY}, b"ready?")
                time.sleep(POLL_INTERVAL_S)

    def show_requests(self) -> None:
        """Show requests that run, wait, and are refused."""
        payload_path = self.write_file("entry.txt", "shift 7 of crew 4")
        self.print_heading("a request runs on a worker; its answer names the worker")
        self.require_success(self.run_cli("submit", "request", "entries", payload_path))
        self.print_heading("a wrong key is refused, and so is work that fits no worker")
        self.run_cli("submit", "request", "entries", payload_path, key="wrong")
        self.run_cli("--cpu_milli=64000", "submit", "request", "entries", payload_path)
        self.print_heading(
            f"the team may run {TEAM_LIMIT} tasks at once, so one of three requests waits"
        )
        long_payload_path = self.write_file("long.json", json.dumps({"run_s": LONG_RUN_S}))
        started_at = time.monotonic()
        processes = [
            self.start_cli("submit", "request", "entries", long_payload_path) for _ in range(3)
        ]
        for process in processes:
            output = process.communicate(timeout=COMMAND_TIMEOUT_S)[0]
            elapsed_s = time.monotonic() - started_at
            print(f"  done after {elapsed_s:.1f} s with exit code {process.returncode}")
            if process.returncode != 0:
                raise RuntimeError(f"request failed: {output}")

    def submit_job(self, name: str, kind: str, run_s: float, tasks: int) -> str:
        """Submit a job and return its id."""
        payloads = [json.dumps({"run_s": run_s, "task": n}) for n in range(tasks)]
        body = {"queue": "entries", "kind": kind, "idempotent": True}
        path = self.write_file(name, [body | {"tasks": [{"payload": text} for text in payloads]}])
        self.require_success(self.run_cli("submit", "job", path))
        listing = json.loads(
            self.require_success(self.run_cli("--output=json", "list", "jobs", prints=False))
        )
        job_ids = [job["job_id"] for job in listing["jobs"]]
        new_ids = [job_id for job_id in job_ids if job_id not in self.known_job_ids]
        self.known_job_ids.update(job_ids)
        return str(new_ids[0])

    known_job_ids: set[str] = attrs.Factory(set)

    def show_jobs(self) -> None:
        """Show a batch job, a gang job and a cancelled job."""
        self.print_heading("a batch job of six tasks")
        job_id = self.submit_job("batch.yaml", "batch", 0.2, 6)
        self.require_success(self.run_cli("wait", "job", job_id))
        self.print_heading("an all-at-once job: both tasks run at the same time")
        job_id = self.submit_job("gang.yaml", "gang", 0.5, 2)
        self.require_success(self.run_cli("wait", "job", job_id))
        self.print_heading("a long job is explained while it waits, and then cancelled")
        job_id = self.submit_job("long.yaml", "batch", 30.0, 4)
        self.run_cli("explain", "job", job_id)
        self.require_success(self.run_cli("cancel", "job", job_id))
        self.run_cli("wait", "job", job_id)


def main(argv: list[str]) -> int:
    """Run the demo and stop all its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder, Cluster(Path(folder)) as cluster:
        demo = Demo(cluster)
        try:
            demo.start()
            demo.show_requests()
            demo.show_jobs()
            demo.print_heading("the state of the instances")
            demo.require_success(demo.run_cli("status"))
        except RuntimeError as exc:
            print(f"the demo failed: {exc}", file=sys.stderr)
            return 1
        demo.print_heading("stopping everything")
    print("done")
    return 0


if __name__ == "__main__":
    app.run(main)
