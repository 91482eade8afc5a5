"""Test an instance on the platform, as a process, against clients that do not behave."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import orjson
import pytest

from baobabhoist.control.messages import CODEC
from baobabhoist.platform.http_server import MAX_BODY_BYTES
from baobabhoist.platform.testing.deployment import Deployment, InstancePorts
from baobabhoist.testing.cluster import Cluster, wait_for_port
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

NAME = "edge-1"
CONFIG = {
    "limits": {"maxBodyBytes": MAX_BODY_BYTES},
    "routes": [{"name": "q", "hostname": "q.example", "prefix": "/q/", "service": "svc"}],
    "services": [{"name": "svc"}],
    "tenants": [{"name": "team", "weight": 1, "apiKeys": ["key"]}],
}
HEADERS = {"Host": "q.example", "X-Credential": "key"}
JOB = orjson.dumps({"taskSpec": "x", "steps": [{"count": 1, "cpu": 10, "memMb": 10}]})


@attrs.define
class Site:
    """Hold one instance with a store and a worker, and send it ordinary requests."""

    cluster: Cluster
    ports: InstancePorts
    name: str = NAME
    job_numbers: itertools.count = attrs.Factory(itertools.count)

    def target(self, port_name: str) -> Target:
        """Return what a crowd sends to a port."""
        head_by_port = {
            "caller": "POST /q/00000000000000ff HTTP/1.1\r\nHost: q.example\r\nX-Credential: key",
            "ready": "GET /-/ready HTTP/1.1\r\nHost: x",
            "metrics": "GET /metrics HTTP/1.1\r\nHost: x",
            "peer": "GET / HTTP/1.1\r\nHost: x",
        }
        port = getattr(self.ports, f"{port_name}_port")
        return Target(port, head_by_port[port_name], MAX_BODY_BYTES, CODEC)

    async def serves_a_job(self, body: bytes = JOB) -> bool:
        """Submit a job and query it."""
        job_id = f"{next(self.job_numbers):016x}"
        url = f"http://{HOST}:{self.ports.caller_port}/q/{job_id}"
        submitted = await answers(url, "POST", headers=HEADERS, body=body)
        return bool(submitted and await answers(url, headers=HEADERS))

    async def serves_all_ports(self) -> bool:
        """Ask the ports that are not for callers."""
        ready_url = f"http://{HOST}:{self.ports.ready_port}/-/ready"
        metrics_url = f"http://{HOST}:{self.ports.metrics_port}/metrics"
        is_linked = await accepts_peers(self.ports.peer_port)
        return bool(await answers(ready_url) and await answers(metrics_url) and is_linked)


@asynccontextmanager
async def running_site(folder: Path) -> AsyncIterator[Site]:
    with Cluster(folder) as cluster:
        deployment = Deployment(cluster, instance_limits=MACHINE)
        await deployment.start(1, 1, CONFIG)
        site = Site(cluster, deployment.instances[NAME])
        wait_for_port(site.ports.caller_port)
        assert await wait_until(site.serves_a_job)
        yield site


# Guards against an instance that runs out of memory or descriptors, or keeps them, under callers
# that don't behave.
@pytest.mark.parametrize("kind", CALLER_KINDS)
def test_a_crowd_of_callers_leaves_an_instance_within_its_machine(tmp_path, kind):
    assert play_crowd(running_site(tmp_path), "caller", kind) == []


# Guards against bodies of requests that need none filling the memory of an instance.
@pytest.mark.parametrize("kind", SIDE_PORT_KINDS)
@pytest.mark.parametrize("port_name", ["ready", "metrics"])
def test_a_crowd_at_a_side_port_leaves_an_instance_within_its_machine(tmp_path, port_name, kind):
    assert play_crowd(running_site(tmp_path), port_name, kind) == []


# Guards against strangers on the port for peers that fill an instance's memory or descriptors.
@pytest.mark.parametrize("kind", PEER_KINDS)
def test_a_crowd_at_the_peer_port_leaves_an_instance_within_its_machine(tmp_path, kind):
    assert play_crowd(running_site(tmp_path), "peer", kind) == []


# Guards against an event loop that decodes tiny chunks and has no turn left for other callers.
@pytest.mark.parametrize("port_name", ["caller", "ready", "metrics"])
def test_tiny_chunks_leave_the_event_loop_to_ordinary_callers(tmp_path, port_name):
    assert play_crowd(running_site(tmp_path), port_name, "tiny_chunks") == []


# Guards against a limit on the memory of bodies that refuses a single job of legal size.
def test_a_job_of_the_largest_legal_body_is_served_in_calm(tmp_path):
    job = JOB.ljust(MAX_BODY_BYTES)
    is_served, peak_mb = serve_largest_job(running_site(tmp_path), job)
    assert is_served
    assert peak_mb <= MACHINE["memory_mb"]
