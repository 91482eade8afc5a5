"""Measure requests that an instance relays to the owner of the shard.

The sustained rate is that of a closed loop over many connections. The added latency is measured
at a fixed rate and compared with direct calls to a worker in the same run. The processor time
per request depends less than these two on the other load of the machine.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
import yaml
from websockets.asyncio.client import connect

from baobabhoist.model import Resources, Task, WorkKind
from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.link import WEBSOCKET_OPTIONS, Link
from baobabhoist.records.view import key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port
from baobabhoist.upstream.messages import CODEC, FenceWorker, RunTask

TEAM_KEY = "team-key-of-the-relay-bench"
SHARD = "rack-1"
WORKERS = 8
SLOTS = 64
READY_TIMEOUT_S = 30.0
GENERATOR_PROCESSES = 2
PERCENT = 100
# The throughput target of one daemon process; by default, latency is measured at half of it.
TARGET_REQUESTS_PER_S = 1000.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Load:
    """Describe the load of a generator; a rate of 0 means a closed loop."""

    url: str
    connections: int
    rate: float
    seconds: float
    body_bytes: int


def percentile(sorted_values: list[float], percent: float) -> float:
    """Return a percentile of sorted values, or 0 if there are none."""
    if not sorted_values:
        return 0.0
    index = min(len(sorted_values) - 1, int(len(sorted_values) * percent / PERCENT))
    return sorted_values[index]


async def drive_load(
    send: Callable[[int], Awaitable[bool]], connections: int, rate: float, seconds: float
) -> dict[str, Any]:
    """Send on several connections; at a fixed rate, latency counts from when a request was due."""
    started_s = time.perf_counter()
    latencies: list[float] = []
    failures = 0
    next_due_s = started_s

    async def run_connection(number: int) -> None:
        nonlocal failures, next_due_s
        while True:
            due_s = time.perf_counter()
            if rate:
                due_s, next_due_s = next_due_s, next_due_s + 1.0 / rate
                await asyncio.sleep(due_s - time.perf_counter())
            if due_s - started_s >= seconds:
                return
            if not await send(number):
                failures += 1
            latencies.append(time.perf_counter() - due_s)

    await asyncio.gather(*(run_connection(number) for number in range(connections)))
    elapsed_s = time.perf_counter() - started_s
    return {"latencies": latencies, "failures": failures, "rate": len(latencies) / elapsed_s}


async def generate_http_load(load: Load) -> dict[str, Any]:
    """Send requests over HTTP to an instance."""
    host, _, rest = load.url.partition("/")
    name, _, port = host.partition(":")
    head = (
        f"POST /{rest} HTTP/1.1\r\nHost: {host}\r\nX-Team-Key: {TEAM_KEY}\r\n"
        f"Content-Length: {load.body_bytes}\r\n\r\n"
    )
    data = head.encode() + b"x" * load.body_bytes
    conns = [await asyncio.open_connection(name, int(port)) for _ in range(load.connections)]

    async def send(number: int) -> bool:
        reader, writer = conns[number]
        writer.write(data)
        answer = await reader.readuntil(b"\r\n\r\n")
        length = answer.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length))
        return answer.startswith(b"HTTP/1.1 200")

    try:
        return await drive_load(send, load.connections, load.rate, load.seconds)
    finally:
        for _, writer in conns:
            writer.close()


async def generate_direct_load(port: int, load: Load) -> dict[str, Any]:
    """Run tasks on a worker directly, without an instance in between."""

    async def ignore(message: Any) -> None:
        return None

    uri = f"ws://127.0.0.1:{port}"
    links = [
        Link(await connect(uri, **WEBSOCKET_OPTIONS), CODEC, ignore)
        for _ in range(load.connections)
    ]
    readers = [asyncio.create_task(link.run()) for link in links]
    token = Token(1, 0, "bench")
    await links[0].call(FenceWorker("direct", token), 5.0)
    sent = 0

    async def send(number: int) -> bool:
        nonlocal sent
        sent += 1
        now = time.time()
        name = f"direct/{sent}"
        body = b"x" * load.body_bytes
        task = Task(name, "t", "q", WorkKind.REQUEST, Resources(), now + 30, now, payload=body)
        reply = await links[number].call(RunTask(token, task, now + 30), 30.0)
        return bool(getattr(reply, "succeeded", False))

    results = await drive_load(send, load.connections, load.rate, load.seconds)
    for link, reader in zip(links, readers, strict=True):
        await link.close()
        await reader
    return results


def run_generators(load: Load) -> dict[str, Any]:
    """Generate the load in several processes, so that the generator is not the bottleneck."""
    load_share = attrs.evolve(
        load,
        connections=load.connections // GENERATOR_PROCESSES,
        rate=load.rate / GENERATOR_PROCESSES,
    )
    command = [sys.executable, "-m", __name__ if __name__ != "__main__" else MODULE_NAME]
    running = [
        subprocess.Popen(
            [*command, json.dumps(attrs.asdict(load_share))], stdout=subprocess.PIPE, text=True
        )
        for _ in range(GENERATOR_PROCESSES)
    ]
    results = [json.loads(process.communicate()[0]) for process in running]
    return {
        "latencies": sorted(value for result in results for value in result["latencies"]),
        "failures": sum(result["failures"] for result in results),
        "rate": sum(result["rate"] for result in results),
    }


MODULE_NAME = "baobabhoist.benchmarks.relay"


def shard_records(ports: dict[str, int]) -> list[dict[str, Any]]:
    """Return the records of one shard and of one team whose limit is never reached."""
    worker = {"host": "127.0.0.1", "cpu_milli": 64000, "memory_mb": 65536, "slots": SLOTS}
    workers = [{"name": name, "port": port, **worker} for name, port in ports.items()]
    bodies = {
        ("shard", SHARD): {"data_centre": "north", "workers": workers},
        ("team", "bench"): {"limit": WORKERS * SLOTS},
        ("key", "bench"): {"team": "bench", "digest": key_digest(TEAM_KEY)},
        ("queue", "bench"): {},
    }
    return [
        {"kind": kind, "name": name, "schema_version": 1, "body": body}
        for (kind, name), body in bodies.items()
    ]


def wait_for_owner(cluster: Cluster) -> str:
    """Wait until an instance owns the shard, and return the name of the instance."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        for name, cfg in cluster.instances.items():
            url = f"http://127.0.0.1:{cfg['admin_port']}/v1/status"
            _, body = fetch(url, {"X-Operator-Key": OPERATOR_KEY})
            if SHARD in orjson.loads(body)["owned_shards"]:
                return name
        time.sleep(0.1)
    raise RuntimeError("no instance took ownership of the shard in time")


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # The user and the system time of the process, in clock ticks.
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def measure(seconds: float, connections: int, body_bytes: int, rate: float) -> dict[str, Any]:
    """Start a small cluster and measure requests through the instance that owns no shard."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        slots = f"--slots={SLOTS}"
        ports: dict[str, int] = {}
        for group in ("a", "b"):
            names = [f"{group}-{number}" for number in range(WORKERS // 2)]
            ports |= cluster.start_workers(f"workers-{group}", names, slots, "--cpu_milli=64000")
        direct_port = cluster.start_worker("direct", slots, "--cpu_milli=64000")
        cluster.plan_instances({"north": ["entry-1", "entry-2"]})
        for name in cluster.instances:
            cluster.start_instance(name)
        for cfg in cluster.instances.values():
            wait_for_port(cfg["admin_port"])
        path = Path(folder) / "records.yaml"
        path.write_text(yaml.safe_dump_all(shard_records(ports)), encoding="utf-8")
        cluster.command_line("put", "record", str(path), instance="entry-1")
        owner = wait_for_owner(cluster)
        (entry,) = set(cluster.instances) - {owner}
        pids = {"entry": cluster.processes[entry].pid, "owner": cluster.processes[owner].pid}
        url = f"127.0.0.1:{cluster.instances[entry]['caller_port']}/v1/queues/bench/requests"
        load = Load(url, connections, 0.0, seconds, body_bytes)
        time.sleep(1.0)
        run_generators(attrs.evolve(load, seconds=1.0))
        before = {role: read_cpu_s(pid) for role, pid in pids.items()}
        closed_loop = run_generators(load)
        used = {
            f"{role}_cpu_us_per_request": 1e6
            * (read_cpu_s(pid) - before[role])
            / len(closed_loop["latencies"])
            for role, pid in pids.items()
        }
        fixed_rate_load = attrs.evolve(load, rate=rate)
        relayed = run_generators(fixed_rate_load)
        direct_load = asyncio.run(generate_direct_load(direct_port, fixed_rate_load))
    return build_report(closed_loop, relayed, direct_load) | {
        name: round(us) for name, us in used.items()
    }


def build_report(
    closed_loop: dict[str, Any], relayed: dict[str, Any], direct_load: dict[str, Any]
) -> dict[str, Any]:
    """Combine the measurements into a report; latencies are in milliseconds."""
    report: dict[str, Any] = {
        "sustained_per_s": round(closed_loop["rate"], 1),
        "failures": closed_loop["failures"] + relayed["failures"] + direct_load["failures"],
        "rate_of_latencies_per_s": round(relayed["rate"], 1),
    }
    direct_latencies = sorted(direct_load["latencies"])
    for percent in (50, 99):
        relayed_ms = percentile(relayed["latencies"], percent) * 1000
        direct_ms = percentile(direct_latencies, percent) * 1000
        report[f"relayed_p{percent}_ms"] = round(relayed_ms, 2)
        report[f"direct_p{percent}_ms"] = round(direct_ms, 2)
        report[f"added_p{percent}_ms"] = round(relayed_ms - direct_ms, 2)
    return report


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table."""
    return "\n".join(f"{name:26} {value}" for name, value in report.items())


if __name__ == "__main__":
    print(orjson.dumps(asyncio.run(generate_http_load(Load(**json.loads(sys.argv[1]))))).decode())
