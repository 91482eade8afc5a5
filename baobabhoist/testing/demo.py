"""Show a small cluster at work: what runs, waits, is refused and is cancelled."""

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
# Two places, so that the third of three requests has to wait for one of the others.
TEAM_LIMIT = 2
LONG_RUN_S = 2.0
POLL_INTERVAL_S = 0.2


@attrs.define
class Demo:
    """Hold the cluster and run commands against its instances."""

    cluster: Cluster

    def say(self, text: str) -> None:
        """Print a heading."""
        print(f"\n== {text}", flush=True)

    def start_command(self, *args: str, key: str = TEAM_KEY, instance: str = "entry-1") -> Any:
        """Start the command-line tool as a user would."""
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

    def command(self, *args: str, show: bool = True, **options: str) -> tuple[int, str]:
        """Run a command, print it with its output, and return its exit code and output."""
        process = self.start_command(*args, **options)
        output = str(process.communicate(timeout=COMMAND_TIMEOUT_S)[0])
        if show:
            self.show(args, output, process.returncode)
        return process.returncode, output

    def show(self, args: tuple[str, ...], output: str, code: int) -> None:
        """Print a command with its output and exit code."""
        words = [Path(arg).name if arg.startswith("/") else arg for arg in args]
        print(f"$ baobabhoist {' '.join(words)}")
        for line in output.rstrip().splitlines():
            print(f"  {line}")
        print(f"  (exit code {code})", flush=True)

    def file(self, name: str, content: Any) -> str:
        """Write a file and return its path."""
        path = self.cluster.folder / name
        text = content if isinstance(content, str) else yaml.safe_dump_all(content)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def start(self) -> None:
        """Start the stand-ins and two daemons, and write the records."""
        self.say("starting the platform, two workers and two daemons")
        self.cluster.start_platform()
        options = [f"--{name}={amount}" for name, amount in CAPACITY.items()]
        ports = self.cluster.start_workers("workers", ["worker-1", "worker-2"], *options)
        self.cluster.plan_instances({"north": ["entry-1", "entry-2"]})
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
        self.require(self.command("put", "record", self.file("records.yaml", records)))
        self.wait_until_served()

    def require(self, done: tuple[int, str]) -> str:
        """Return the output of a command that had to succeed; raises RuntimeError."""
        if done[0] != 0:
            raise RuntimeError(f"a command failed with {done[0]}: {done[1]}")
        return done[1]

    def wait_until_served(self) -> None:
        """Wait until both instances run requests."""
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        for cfg in self.cluster.instances.values():
            url = f"http://127.0.0.1:{cfg['caller_port']}/v1/queues/entries/requests"
            status = 0
            while status != 200:
                if time.monotonic() > give_up_at:
                    raise RuntimeError(f"no request was served within {READY_TIMEOUT_S:g} s")
                status, _ = fetch(url, {"X-Team-Key": TEAM_KEY}, b"ready?")
                time.sleep(POLL_INTERVAL_S)

    def requests(self) -> None:
        """Show requests that run, wait, and are refused."""
        entry = self.file("entry.txt", "shift 7 of crew 4")
        self.say("a request runs on a worker; its answer names the worker")
        self.require(self.command("submit", "request", "entries", entry))
        self.say("a wrong key is refused, and so is work that fits no worker")
        self.command("submit", "request", "entries", entry, key="wrong")
        self.command("--cpu_milli=64000", "submit", "request", "entries", entry)
        self.say(f"the team may run {TEAM_LIMIT} tasks at once, so one of three requests waits")
        orders = self.file("long.json", json.dumps({"run_s": LONG_RUN_S}))
        began_at = time.monotonic()
        running = [self.start_command("submit", "request", "entries", orders) for _ in range(3)]
        for process in running:
            output = process.communicate(timeout=COMMAND_TIMEOUT_S)[0]
            took_s = time.monotonic() - began_at
            print(f"  done after {took_s:.1f} s with exit code {process.returncode}")
            if process.returncode != 0:
                raise RuntimeError(f"a request failed: {output}")

    def submit(self, name: str, kind: str, run_s: float, tasks: int) -> str:
        """Submit a job and return its id."""
        payloads = [json.dumps({"run_s": run_s, "task": n}) for n in range(tasks)]
        body = {"queue": "entries", "kind": kind, "idempotent": True}
        path = self.file(name, [body | {"tasks": [{"payload": text} for text in payloads]}])
        self.require(self.command("submit", "job", path))
        listed = json.loads(
            self.require(self.command("--output=json", "list", "jobs", show=False))
        )
        known = [job["job_id"] for job in listed["jobs"]]
        new = [job for job in known if job not in self.known]
        self.known.update(known)
        return str(new[0])

    known: set[str] = attrs.Factory(set)

    def jobs(self) -> None:
        """Show a batch job, an all-at-once job and a cancelled job."""
        self.say("a batch job of six tasks")
        job = self.submit("batch.yaml", "batch", 0.2, 6)
        self.require(self.command("wait", "job", job))
        self.say("an all-at-once job: both tasks run at the same time")
        job = self.submit("gang.yaml", "gang", 0.5, 2)
        self.require(self.command("wait", "job", job))
        self.say("a long job is explained while it waits, and then cancelled")
        job = self.submit("long.yaml", "batch", 30.0, 4)
        self.command("explain", "job", job)
        self.require(self.command("cancel", "job", job))
        self.command("wait", "job", job)


def main(argv: list[str]) -> int:
    """Run the demo; every process ends with it."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder, Cluster(Path(folder)) as cluster:
        demo = Demo(cluster)
        try:
            demo.start()
            demo.requests()
            demo.jobs()
            demo.say("the state of the instances")
            demo.require(demo.command("status"))
        except RuntimeError as exc:
            print(f"the demo failed: {exc}", file=sys.stderr)
            return 1
        demo.say("stopping everything")
    print("done")
    return 0


if __name__ == "__main__":
    app.run(main)
