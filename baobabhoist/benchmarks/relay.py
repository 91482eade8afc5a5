"""Measure requests through an instance that does not own the shard.

The sustained rate is that of a closed loop over many connections. The added latency is measured
at a fixed rate, against calls straight to a worker in the same run. The processor time of a
request depends less on what else the machine does than both.
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
GENERATORS = 2
PERCENT = 100
# The stated target of one daemon process; latency is measured at half of it.
TARGET_PER_S = 1000.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Load:
    """Describe one run of a generator; a rate of 0 sends as fast as answers come."""

    url: str
    connections: int
    rate: float
    seconds: float
    body_bytes: int


def percentile(sorted_values: list[float], percent: float) -> float:
    """Return a percentile of sorted values, 0 for none."""
    if not sorted_values:
        return 0.0
    index = min(len(sorted_values) - 1, int(len(sorted_values) * percent / PERCENT))
    return sorted_values[index]


async def drive(
    send: Callable[[int], Awaitable[bool]], connections: int, rate: float, seconds: float
) -> dict[str, Any]:
    """Send from several connections; latencies count from the time a request was due."""
    began = time.perf_counter()
    latencies: list[float] = []
    failures = 0
    next_due = began

    async def work(number: int) -> None:
        nonlocal failures, next_due
        while True:
            due = time.perf_counter()
            if rate:
                due, next_due = next_due, next_due + 1.0 / rate
                await asyncio.sleep(due - time.perf_counter())
            if due - began >= seconds:
                return
            if not await send(number):
                failures += 1
            latencies.append(time.perf_counter() - due)

    await asyncio.gather(*(work(number) for number in range(connections)))
    elapsed = time.perf_counter() - began
    return {"latencies": latencies, "failures": failures, "rate": len(latencies) / elapsed}


async def generate(load: Load) -> dict[str, Any]:
    """Send requests over HTTP."""
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
        return await drive(send, load.connections, load.rate, load.seconds)
    finally:
        for _, writer in conns:
            writer.close()


async def call_directly(port: int, load: Load) -> dict[str, Any]:
    """Run tasks on a worker without any daemon."""

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

    found = await drive(send, load.connections, load.rate, load.seconds)
    for link, reader in zip(links, readers, strict=True):
        await link.close()
        await reader
    return found


def generators(load: Load) -> dict[str, Any]:
    """Run the load in several processes, so that the load generator is not the limit."""
    part = attrs.evolve(
        load, connections=load.connections // GENERATORS, rate=load.rate / GENERATORS
    )
    command = [sys.executable, "-m", __name__ if __name__ != "__main__" else MODULE]
    running = [
        subprocess.Popen(
            [*command, json.dumps(attrs.asdict(part))], stdout=subprocess.PIPE, text=True
        )
        for _ in range(GENERATORS)
    ]
    found = [json.loads(process.communicate()[0]) for process in running]
    return {
        "latencies": sorted(value for part in found for value in part["latencies"]),
        "failures": sum(part["failures"] for part in found),
        "rate": sum(part["rate"] for part in found),
    }


MODULE = "baobabhoist.benchmarks.relay"


def records(ports: dict[str, int]) -> list[dict[str, Any]]:
    """Return the records of one shard and one team that is never limited."""
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


def owner_of(cluster: Cluster) -> str:
    """Wait until an instance owns the shard, and return it."""
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at:
        for name, cfg in cluster.instances.items():
            url = f"http://127.0.0.1:{cfg['admin_port']}/v1/status"
            _, body = fetch(url, {"X-Operator-Key": OPERATOR_KEY})
            if SHARD in orjson.loads(body)["owned_shards"]:
                return name
        time.sleep(0.1)
    raise RuntimeError("no instance owns the shard")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure(seconds: float, connections: int, body_bytes: int, rate: float) -> dict[str, Any]:
    """Start a small cluster and measure requests through the instance that owns nothing."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        slots = f"--slots={SLOTS}"
        ports: dict[str, int] = {}
        for half in ("a", "b"):
            names = [f"{half}-{number}" for number in range(WORKERS // 2)]
            ports |= cluster.start_workers(f"workers-{half}", names, slots, "--cpu_milli=64000")
        direct = cluster.start_worker("direct", slots, "--cpu_milli=64000")
        cluster.plan_instances({"north": ["entry-1", "entry-2"]})
        for name in cluster.instances:
            cluster.start_instance(name)
        for cfg in cluster.instances.values():
            wait_for_port(cfg["admin_port"])
        path = Path(folder) / "records.yaml"
        path.write_text(yaml.safe_dump_all(records(ports)), encoding="utf-8")
        cluster.command_line("put", "record", str(path), instance="entry-1")
        owner = owner_of(cluster)
        (entry,) = set(cluster.instances) - {owner}
        pids = {"entry": cluster.processes[entry].pid, "owner": cluster.processes[owner].pid}
        url = f"127.0.0.1:{cluster.instances[entry]['caller_port']}/v1/queues/bench/requests"
        load = Load(url, connections, 0.0, seconds, body_bytes)
        time.sleep(1.0)
        generators(attrs.evolve(load, seconds=1.0))
        before = {role: cpu_s(pid) for role, pid in pids.items()}
        full = generators(load)
        used = {
            f"{role}_cpu_us_per_request": 1e6
            * (cpu_s(pid) - before[role])
            / len(full["latencies"])
            for role, pid in pids.items()
        }
        half_load = attrs.evolve(load, rate=rate)
        relayed = generators(half_load)
        straight = asyncio.run(call_directly(direct, half_load))
    return report(full, relayed, straight) | {name: round(us) for name, us in used.items()}


def report(
    full: dict[str, Any], relayed: dict[str, Any], straight: dict[str, Any]
) -> dict[str, Any]:
    """Return the figures; latencies in milliseconds."""
    found: dict[str, Any] = {
        "sustained_per_s": round(full["rate"], 1),
        "failures": full["failures"] + relayed["failures"] + straight["failures"],
        "rate_of_latencies_per_s": round(relayed["rate"], 1),
    }
    direct = sorted(straight["latencies"])
    for percent in (50, 99):
        through = percentile(relayed["latencies"], percent) * 1000
        alone = percentile(direct, percent) * 1000
        found[f"relayed_p{percent}_ms"] = round(through, 2)
        found[f"direct_p{percent}_ms"] = round(alone, 2)
        found[f"added_p{percent}_ms"] = round(through - alone, 2)
    return found


def table(found: dict[str, Any]) -> str:
    """Return the report as a plain table."""
    return "\n".join(f"{name:26} {value}" for name, value in found.items())


if __name__ == "__main__":
    print(orjson.dumps(asyncio.run(generate(Load(**json.loads(sys.argv[1]))))).decode())
