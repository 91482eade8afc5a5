"""Measure what control costs a daemon: processor time, memory and bytes on its links."""

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
from baobabhoist.peer.messages import Heard, Heartbeat, ShardDigest
from baobabhoist.records.view import Record, RecordView, key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port

TEAM_KEY = "team-key-of-the-control-bench"
OWNED_TIMEOUT_S = 60.0
SETTLE_S = 3.0
BUSY_CONNECTIONS = 64
TEAMS = 110
RACK_SIZE = 100
DESIGN_SHARDS = 100
PEERS = 99
HEARTBEATS = 300
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Sample:
    """Hold what a process has used so far."""

    at: float
    cpu_s: float
    memory_kb: int
    sent_bytes: int
    received_bytes: int


def sample(pid: int, admin_port: int) -> Sample:
    """Read the use of a daemon's process and the traffic on its links."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    headers = {"X-Operator-Key": OPERATOR_KEY}
    _, text = fetch(f"http://127.0.0.1:{admin_port}/metrics", headers)
    traffic = {"sent": 0, "received": 0}
    for line in text.decode().splitlines():
        for direction in traffic:
            if line.startswith(f'baobabhoist_link_bytes{{direction="{direction}"}}'):
                traffic[direction] = int(float(line.rpartition(" ")[2]))
    return Sample(time.time(), cpu_s, pages * PAGE_KB, traffic["sent"], traffic["received"])


def usage(before: Sample, after: Sample) -> dict[str, float]:
    """Return the use between two samples, per second."""
    seconds = after.at - before.at
    return {
        "core_percent": round(100 * (after.cpu_s - before.cpu_s) / seconds, 2),
        "memory_mb": round(after.memory_kb / 1024, 1),
        "sent_kb_s": round((after.sent_bytes - before.sent_bytes) / 1000 / seconds, 2),
        "received_kb_s": round((after.received_bytes - before.received_bytes) / 1000 / seconds, 2),
    }


def _records(ports: dict[str, int]) -> list[dict[str, Any]]:
    names = list(ports)
    shards = [names[start : start + RACK_SIZE] for start in range(0, len(names), RACK_SIZE)]
    found: list[dict[str, Any]] = []
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
        found.append({"kind": "shard", "name": f"rack-{number}", "body": body})
    for number in range(TEAMS):
        limit = {"limit": 8 * len(names)}
        found.append({"kind": "team", "name": f"team-{number}", "body": limit})
    key = {"team": "team-0", "digest": key_digest(TEAM_KEY)}
    found.append({"kind": "key", "name": "team-0-key", "body": key})
    found.append({"kind": "queue", "name": "entries", "body": {}})
    return [{"schema_version": 1, **record} for record in found]


async def _load(port: int, rate: float, seconds: float) -> dict[str, float]:
    """Send requests at a steady rate and count the answers."""
    http = AsyncHTTPClient(force_instance=True, defaults={"request_timeout": 20.0})
    http.configure(None, max_clients=BUSY_CONNECTIONS)
    url = f"http://127.0.0.1:{port}/v1/queues/entries/requests"
    headers = {"X-Team-Key": TEAM_KEY}
    counts = {"answered": 0, "failed": 0}

    async def send() -> None:
        try:
            await http.fetch(url, method="POST", headers=headers, body=b"x" * 200)
            counts["answered"] += 1
        except (HTTPClientError, OSError):
            counts["failed"] += 1

    started = time.monotonic()
    calls = []
    for number in range(int(rate * seconds)):
        delay = started + number / rate - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        calls.append(asyncio.create_task(send()))
    await asyncio.gather(*calls)
    elapsed = time.monotonic() - started
    return {"rate": round(counts["answered"] / elapsed, 1), "failed": counts["failed"]}


def measure(workers: int, rate: float, seconds: float) -> dict[str, Any]:
    """Measure one daemon that owns all shards of a fleet, idle and under load."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        names = [f"worker-{number}" for number in range(workers)]
        ports = cluster.start_workers("workers", names)
        cluster.plan_instances({"north": ["entry-1"]})
        cluster.start_instance("entry-1")
        cfg = cluster.instances["entry-1"]
        wait_for_port(cfg["admin_port"])
        path = Path(folder) / "records.yaml"
        path.write_text(yaml.safe_dump_all(_records(ports)), encoding="utf-8")
        cluster.command_line("put", "record", str(path), instance="entry-1")
        _wait_until_owned(cfg["admin_port"], (workers + RACK_SIZE - 1) // RACK_SIZE)
        time.sleep(SETTLE_S)
        pid = cluster.processes["entry-1"].pid
        before = sample(pid, cfg["admin_port"])
        time.sleep(seconds)
        idle = sample(pid, cfg["admin_port"])
        load = asyncio.run(_load(cfg["caller_port"], rate, seconds))
        busy = sample(pid, cfg["admin_port"])
    return {
        "workers": workers,
        "idle": usage(before, idle),
        "busy": usage(idle, busy),
        "load": load,
    }


def _wait_until_owned(port: int, shards: int) -> None:
    give_up_at = time.monotonic() + OWNED_TIMEOUT_S
    headers = {"X-Operator-Key": OPERATOR_KEY}
    while time.monotonic() < give_up_at:
        _, text = fetch(f"http://127.0.0.1:{port}/metrics", headers)
        if f"baobabhoist_owned_shards {shards}" in text.decode():
            return
        time.sleep(0.5)
    raise RuntimeError(f"the daemon does not own {shards} shards after {OWNED_TIMEOUT_S:g} s")


def heartbeat_cost() -> dict[str, float]:
    """Return the size of a heartbeat and the processor time to send and to receive it.

    The sender owns one shard, every team has work there, and it hears its design-size peers.
    """
    teams = [f"team-{number}" for number in range(TEAMS)]
    counts = dict.fromkeys(teams, 7)
    digest_ = ShardDigest("rack-17", Token(1234, 0, "entry-17~abcdef"), counts, counts, 100, 50)
    heard = tuple(Heard(f"entry-{number}", 0.25) for number in range(PEERS))
    beat = Heartbeat(
        "entry-17", "north", ("rack-17",), 1_000_000, False, (digest_,), heard, 1.0, 0.0
    )
    data = PEER_CODEC.encode(beat)
    return {
        "bytes": len(data),
        "encode_us": _time_us(lambda: PEER_CODEC.encode(beat)),
        "decode_us": _time_us(lambda: PEER_CODEC.decode(data)),
    }


def _time_us(step: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(HEARTBEATS):
        step()
    return round(1e6 * (time.process_time() - started) / HEARTBEATS, 1)


def records_cost(shards: int, rack_size: int) -> dict[str, float]:
    """Return the memory of all records in force at a fleet's size, in MB."""
    ports = {f"worker-{number}": 7000 for number in range(shards * rack_size)}
    tracemalloc.start()
    view = RecordView()
    for revision, record in enumerate(_records(ports), start=1):
        view.apply(Record(revision=revision, **record))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"workers": shards * rack_size, "memory_mb": round(held / 1e6, 2)}


def run(sizes: list[int], rate: float, seconds: float) -> dict[str, Any]:
    """Measure fleets of several sizes, and the slopes between the smallest and largest."""
    found = [measure(size, rate, seconds) for size in sizes]
    first, last = found[0], found[-1]
    added = last["workers"] - first["workers"]
    slopes = {
        name: round((last["idle"][name] - first["idle"][name]) / added, 5) if added else 0.0
        for name in first["idle"]
    }
    return {
        "fleets": found,
        "per_worker_idle": slopes,
        "heartbeat": heartbeat_cost(),
        "records": records_cost(DESIGN_SHARDS, RACK_SIZE),
    }


def table(report: dict[str, Any]) -> str:
    """Return the report as a plain table."""
    lines = [
        f"{'workers':>8} {'phase':>6} {'core %':>7} {'MB':>7} {'sent KB/s':>10} {'recv KB/s':>10}"
    ]
    for fleet in report["fleets"]:
        for phase in ("idle", "busy"):
            use = fleet[phase]
            lines.append(
                f"{fleet['workers']:>8} {phase:>6} {use['core_percent']:>7} "
                f"{use['memory_mb']:>7} {use['sent_kb_s']:>10} {use['received_kb_s']:>10}"
            )
        load = fleet["load"]
        lines.append(f"{'':>8} answered {load['rate']} requests/s, {load['failed']} failed")
    slopes = report["per_worker_idle"]
    lines.append(
        f"per worker, idle: {slopes['core_percent']} % of a core, {slopes['memory_mb']} MB, "
        f"{slopes['sent_kb_s']} KB/s sent, {slopes['received_kb_s']} KB/s received"
    )
    beat, records = report["heartbeat"], report["records"]
    lines.append(
        f"heartbeat with one shard, {TEAMS} teams and {PEERS} peers: {beat['bytes']} bytes, "
        f"{beat['encode_us']} us to encode, {beat['decode_us']} us to decode"
    )
    lines.append(f"records of {records['workers']} workers: {records['memory_mb']} MB")
    return "\n".join(lines)
