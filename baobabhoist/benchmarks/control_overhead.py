"""Measure the control overhead of a daemon: processor time, memory and traffic on its links."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from baobabhoist.ownership.tokens import Token
from baobabhoist.peer.messages import CODEC as PEER_CODEC
from baobabhoist.peer.messages import Heartbeat, LastContact, ShardDigest
from baobabhoist.records.view import Record, RecordView, key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port

TEAM_KEY = "team-key-of-the-control-bench"
OWNERSHIP_TIMEOUT_S = 60.0
SETTLE_TIME_S = 3.0
LOAD_CONNECTIONS = 64
TEAM_COUNT = 110
WORKERS_PER_SHARD = 100
DESIGN_SHARD_COUNT = 100
PEER_COUNT = 99
HEARTBEAT_REPETITIONS = 300
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Sample:
    """Hold the resources that a process has used so far."""

    time_s: float
    cpu_s: float
    memory_kb: int
    sent_bytes: int
    received_bytes: int


def read_sample(pid: int, admin_port: int) -> Sample:
    """Read the resource usage of a daemon's process and the traffic on its links."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    # The user and the system time of the process, in clock ticks.
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    headers = {"X-Operator-Key": OPERATOR_KEY}
    _, text = fetch(f"http://127.0.0.1:{admin_port}/metrics", headers)
    traffic = {"sent": 0, "received": 0}
    for line in text.decode().splitlines():
        for direction in traffic:
            if line.startswith(f'baobabhoist_link_bytes{{direction="{direction}"}}'):
                traffic[direction] = int(float(line.rpartition(" ")[2]))
    return Sample(time.time(), cpu_s, pages * PAGE_KB, traffic["sent"], traffic["received"])


def usage_rates(before: Sample, after: Sample) -> dict[str, float]:
    """Return the memory at the second sample and the usage per second between the two."""
    elapsed_s = after.time_s - before.time_s
    return {
        "core_percent": round(100 * (after.cpu_s - before.cpu_s) / elapsed_s, 2),
        "memory_mb": round(after.memory_kb / 1024, 1),
        "sent_kb_s": round((after.sent_bytes - before.sent_bytes) / 1000 / elapsed_s, 2),
        "received_kb_s": round(
            (after.received_bytes - before.received_bytes) / 1000 / elapsed_s, 2
        ),
    }


def _fleet_records(ports: dict[str, int]) -> list[dict[str, Any]]:
    names = list(ports)
    shards = [
        names[start : start + WORKERS_PER_SHARD]
        for start in range(0, len(names), WORKERS_PER_SHARD)
    ]
    records: list[dict[str, Any]] = []
    for number, members in enumerate(shards):
        workers = [
            {
                "name": name,
                "host": "127.0.0.1",
                "port": ports[name],
                "cpu_milli": 16000,
                "memory_mb": 65536,
                "slots": 8,
            }
            for name in members
        ]
        body: dict[str, Any] = {"data_centre": "north", "workers": workers}
        records.append({"kind": "shard", "name": f"rack-{number}", "body": body})
    for number in range(TEAM_COUNT):
        limit = {"limit": 8 * len(names)}
        records.append({"kind": "team", "name": f"team-{number}", "body": limit})
    key = {"team": "team-0", "digest": key_digest(TEAM_KEY)}
    records.append({"kind": "key", "name": "team-0-key", "body": key})
    records.append({"kind": "queue", "name": "entries", "body": {}})
    return [{"schema_version": 1, **record} for record in records]


async def _run_load(port: int, rate: float, seconds: float) -> dict[str, float]:
    """Send requests at a constant rate; return the rate of answers and the number of failures."""
    http = AsyncHTTPClient(force_instance=True, defaults={"request_timeout": 20.0})
    http.configure(None, max_clients=LOAD_CONNECTIONS)
    url = f"http://127.0.0.1:{port}/v1/queues/entries/requests"
    headers = {"X-Team-Key": TEAM_KEY}
    counts = {"answered": 0, "failed": 0}

    async def send() -> None:
        try:
            await http.fetch(url, method="POST", headers=headers, body=b"x" * 200)
            counts["answered"] += 1
        except (HTTPClientError, OSError):
            counts["failed"] += 1

    started_s = time.monotonic()
    calls = []
    for number in range(int(rate * seconds)):
        delay_s = started_s + number / rate - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        calls.append(asyncio.create_task(send()))
    await asyncio.gather(*calls)
    elapsed_s = time.monotonic() - started_s
    return {"rate": round(counts["answered"] / elapsed_s, 1), "failed": counts["failed"]}


def measure_fleet(workers: int, rate: float, seconds: float) -> dict[str, Any]:
    """Measure a daemon that owns all shards of a fleet, first idle, then under load."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        names = [f"worker-{number}" for number in range(workers)]
        ports = cluster.start_workers("workers", names)
        cluster.add_instances({"north": ["entry-1"]})
        cluster.start_instance("entry-1")
        cfg = cluster.instances["entry-1"]
        wait_for_port(cfg["admin_port"])
        path = Path(folder) / "records.yaml"
        path.write_text(yaml.safe_dump_all(_fleet_records(ports)), encoding="utf-8")
        cluster.run_cli("put", "record", str(path), instance="entry-1")
        _wait_for_ownership(
            cfg["admin_port"], (workers + WORKERS_PER_SHARD - 1) // WORKERS_PER_SHARD
        )
        time.sleep(SETTLE_TIME_S)
        pid = cluster.processes["entry-1"].pid
        before = read_sample(pid, cfg["admin_port"])
        time.sleep(seconds)
        idle = read_sample(pid, cfg["admin_port"])
        load = asyncio.run(_run_load(cfg["caller_port"], rate, seconds))
        busy = read_sample(pid, cfg["admin_port"])
    return {
        "workers": workers,
        "idle": usage_rates(before, idle),
        "busy": usage_rates(idle, busy),
        "load": load,
    }


def _wait_for_ownership(port: int, shards: int) -> None:
    deadline_s = time.monotonic() + OWNERSHIP_TIMEOUT_S
    headers = {"X-Operator-Key": OPERATOR_KEY}
    while time.monotonic() < deadline_s:
        _, text = fetch(f"http://127.0.0.1:{port}/metrics", headers)
        if f"baobabhoist_owned_shards {shards}" in text.decode():
            return
        time.sleep(0.5)
    raise RuntimeError(f"the daemon did not own {shards} shards within {OWNERSHIP_TIMEOUT_S:g} s")


def measure_heartbeat() -> dict[str, float]:
    """Return the size of a heartbeat and the processor time to encode and to decode it.

    The sender owns one shard, in which all TEAM_COUNT teams have tasks, and has PEER_COUNT peers,
    as at the design size.
    """
    teams = [f"team-{number}" for number in range(TEAM_COUNT)]
    counts = dict.fromkeys(teams, 7)
    shard_digest = ShardDigest(
        "rack-17", Token(1234, 0, "entry-17~abcdef"), counts, counts, 100, 50
    )
    last_contacts = tuple(LastContact(f"entry-{number}", 0.25) for number in range(PEER_COUNT))
    heartbeat = Heartbeat(
        "entry-17",
        "north",
        ("rack-17",),
        1_000_000,
        False,
        (shard_digest,),
        last_contacts,
        1.0,
        0.0,
    )
    data = PEER_CODEC.encode(heartbeat)
    return {
        "bytes": len(data),
        "encode_us": _cpu_time_us(lambda: PEER_CODEC.encode(heartbeat)),
        "decode_us": _cpu_time_us(lambda: PEER_CODEC.decode(data)),
    }


def _cpu_time_us(operation: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(HEARTBEAT_REPETITIONS):
        operation()
    return round(1e6 * (time.process_time() - started_s) / HEARTBEAT_REPETITIONS, 1)


def measure_records(shards: int, workers_per_shard: int) -> dict[str, float]:
    """Return the memory that the records of a fleet occupy, in MB."""
    ports = {f"worker-{number}": 7000 for number in range(shards * workers_per_shard)}
    tracemalloc.start()
    view = RecordView()
    for revision, record in enumerate(_fleet_records(ports), start=1):
        view.apply(Record(revision=revision, **record))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"workers": shards * workers_per_shard, "memory_mb": round(held_bytes / 1e6, 2)}


def run(sizes: list[int], rate: float, seconds: float) -> dict[str, Any]:
    """Measure fleets of several sizes and the cost per worker between the first and the last."""
    fleets = [measure_fleet(size, rate, seconds) for size in sizes]
    first, last = fleets[0], fleets[-1]
    added_workers = last["workers"] - first["workers"]
    per_worker = {
        name: (
            round((last["idle"][name] - first["idle"][name]) / added_workers, 5)
            if added_workers
            else 0.0
        )
        for name in first["idle"]
    }
    return {
        "fleets": fleets,
        "per_worker_idle": per_worker,
        "heartbeat": measure_heartbeat(),
        "records": measure_records(DESIGN_SHARD_COUNT, WORKERS_PER_SHARD),
    }


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table."""
    lines = [
        f"{'workers':>8} {'phase':>6} {'core %':>7} {'MB':>7} {'sent KB/s':>10} {'recv KB/s':>10}"
    ]
    for fleet in report["fleets"]:
        for phase in ("idle", "busy"):
            usage = fleet[phase]
            lines.append(
                f"{fleet['workers']:>8} {phase:>6} {usage['core_percent']:>7} "
                f"{usage['memory_mb']:>7} {usage['sent_kb_s']:>10} {usage['received_kb_s']:>10}"
            )
        load = fleet["load"]
        lines.append(f"{'':>8} answered {load['rate']} requests/s, {load['failed']} failed")
    per_worker = report["per_worker_idle"]
    lines.append(
        f"per worker, idle: {per_worker['core_percent']} % of a core, "
        f"{per_worker['memory_mb']} MB, "
        f"{per_worker['sent_kb_s']} KB/s sent, {per_worker['received_kb_s']} KB/s received"
    )
    heartbeat, records = report["heartbeat"], report["records"]
    lines.append(
        f"heartbeat with one shard, {TEAM_COUNT} teams and {PEER_COUNT} peers: "
        f"{heartbeat['bytes']} bytes, "
        f"{heartbeat['encode_us']} us to encode, {heartbeat['decode_us']} us to decode"
    )
    lines.append(f"records of {records['workers']} workers: {records['memory_mb']} MB")
    return "\n".join(lines)
