"""Test the daemon, as a process, against clients that do not behave."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
import orjson
import pytest
import yaml

from baobabhoist.gateway.admin_handler import MAX_ADMIN_BODY_BYTES
from baobabhoist.gateway.server import MAX_BODY_BYTES
from baobabhoist.peer.messages import CODEC
from baobabhoist.records.view import key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, wait_for_port
from baobabhoist.testing.crowd import HOST, Target
from baobabhoist.tests.crowd_harness import (
    CALLER_KINDS,
    MACHINE,
    PEER_KINDS,
    SIDE_PORT_KINDS,
    accepts_peers,
    answers,
    play_crowd,
    serve_largest_job,
    wait_until,
)

NAME, TEAM_KEY = "entry-1", "team-key"
HEADERS = {"X-Team-Key": TEAM_KEY}
JOB = orjson.dumps({"queue": "entries", "kind": "batch", "replicas": 1, "payload": "x"})


def write_records(path: Path, worker_port: int) -> None:
    worker = {"name": "worker-1", "host": HOST, "port": worker_port}
    worker |= {"cpu_milli": 16000, "memory_mb": 65536, "slots": 8}
    body_by_record = {
        ("shard", "rack-1"): {"data_centre": "north", "workers": [worker]},
        ("team", "roster"): {"limit": 16},
        ("key", "roster-1"): {"team": "roster", "digest": key_digest(TEAM_KEY)},
        ("queue", "entries"): {},
    }
    records = [
        {"kind": kind, "name": name, "schema_version": 1, "body": body}
        for (kind, name), body in body_by_record.items()
    ]
    path.write_text(yaml.safe_dump_all(records), encoding="utf-8")


@attrs.define
class Site:
    """Hold one daemon with a platform and a worker, and send it ordinary requests."""

    cluster: Cluster
    name: str = NAME

    @property
    def ports(self) -> dict[str, Any]:
        return self.cluster.instances[NAME]

    def target(self, port_name: str) -> Target:
        """Return what a crowd sends to a port."""
        head, max_body_bytes = {
            "caller": (
                f"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Team-Key: {TEAM_KEY}",
                MAX_BODY_BYTES,
            ),
            "admin": ("POST /v1/records HTTP/1.1\r\nHost: x", MAX_ADMIN_BODY_BYTES),
            "peer": ("GET / HTTP/1.1\r\nHost: x", MAX_BODY_BYTES),
        }[port_name]
        return Target(self.ports[f"{port_name}_port"], head, max_body_bytes, CODEC)

    async def serves_a_job(self, body: bytes = JOB) -> bool:
        """Submit a job and query it."""
        url = f"http://{HOST}:{self.ports['caller_port']}/v1/jobs"
        submitted = await answers(url, "POST", headers=HEADERS, body=body)
        if submitted is None:
            return False
        job_id = orjson.loads(submitted.body)["job_id"]
        return await answers(f"{url}/{job_id}", headers=HEADERS) is not None

    async def serves_all_ports(self) -> bool:
        """Ask the ports that are not for callers."""
        admin_url = f"http://{HOST}:{self.ports['admin_port']}"
        headers = {"X-Operator-Key": OPERATOR_KEY}
        is_ready = await answers(f"{admin_url}/readyz")
        metrics = await answers(f"{admin_url}/metrics", headers=headers)
        return bool(is_ready and metrics) and await accepts_peers(self.ports["peer_port"])


@asynccontextmanager
async def running_site(folder: Path) -> AsyncIterator[Site]:
    with Cluster(folder) as cluster:
        cluster.start_platform()
        worker_port = cluster.start_worker("worker-1")
        cluster.add_instances({"north": [NAME]})
        cluster.instances[NAME]["limits"] = MACHINE
        cluster.start_instance(NAME)
        wait_for_port(cluster.instances[NAME]["admin_port"])
        write_records(folder / "records.yaml", worker_port)
        cluster.run_cli("put", "record", str(folder / "records.yaml"), instance=NAME)
        site = Site(cluster)
        assert await wait_until(site.serves_a_job)
        yield site


# Guards against a daemon that runs out of memory or descriptors, or keeps them, under callers
# that don't behave.
@pytest.mark.parametrize("kind", CALLER_KINDS)
def test_a_crowd_of_callers_leaves_a_daemon_within_its_machine(tmp_path, kind):
    assert play_crowd(running_site(tmp_path), "caller", kind) == []


# Guards against bodies at the operators' port that fill a daemon's memory without a valid key.
@pytest.mark.parametrize("kind", SIDE_PORT_KINDS)
def test_a_crowd_at_the_admin_port_leaves_a_daemon_within_its_machine(tmp_path, kind):
    assert play_crowd(running_site(tmp_path), "admin", kind) == []


# Guards against strangers on the port for peers that fill a daemon's memory or descriptors.
@pytest.mark.parametrize("kind", PEER_KINDS)
def test_a_crowd_at_the_peer_port_leaves_a_daemon_within_its_machine(tmp_path, kind):
    assert play_crowd(running_site(tmp_path), "peer", kind) == []


# Guards against an event loop that decodes tiny chunks and has no turn left for other callers.
@pytest.mark.parametrize("port_name", ["caller", "admin"])
def test_tiny_chunks_leave_a_daemon_time_for_ordinary_callers(tmp_path, port_name):
    assert play_crowd(running_site(tmp_path), port_name, "tiny_chunks") == []


# Guards against a limit on the memory of bodies that refuses a single job of legal size.
def test_a_daemon_serves_a_job_of_the_largest_legal_body_in_calm(tmp_path):
    job = JOB.ljust(MAX_BODY_BYTES)
    is_served, peak_mb = serve_largest_job(running_site(tmp_path), job)
    assert is_served
    assert peak_mb <= MACHINE["memory_mb"]
