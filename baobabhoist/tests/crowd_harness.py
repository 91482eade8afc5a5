"""Play a crowd at a process and check what must hold on a machine of any speed."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Protocol

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from websockets.asyncio.client import connect

from baobabhoist.testing.cluster import Cluster
from baobabhoist.testing.crowd import BEHAVIOURS, HOST, Crowd, Target
from baobabhoist.testing.soak_driver import try_fetch

# The machine that the process under test is told, and that it must stay within.
MACHINE = {"memory_mb": 96, "max_open_files": 300}
# Fails a test whose process answers nothing any more.
HANG_GUARD_S = 60.0
# Fails a test whose process keeps what a crowd took.
GIVE_BACK_GUARD_S = 20.0
REQUEST_TIMEOUT_S = 10.0
POLL_PAUSE_S = 0.2
SAMPLE_INTERVAL_S = 0.05
# The kernel's table of connections, and the code of an established one in it.
TCP_TABLE, ESTABLISHED = Path("/proc/net/tcp"), "01"
# Of the memory and the descriptors that a crowd could take, it may leave this share in use.
LEFT_IN_USE = 0.5
KIB_PER_MB = 1024

# What callers may send to a port that takes bodies, and strangers to the port for peers.
BODY_KINDS = ["whole_bodies", "bodies_in_pieces", "large_chunks", "endless_chunks"]
OTHER_KINDS = ["announced_far_over_limit", "endless_headers", "slow_headers", "idle"]
CALLER_KINDS = [*BODY_KINDS, *OTHER_KINDS, "unread_answers"]
SIDE_PORT_KINDS = ["whole_bodies", "endless_chunks", "idle"]
PEER_KINDS = ["whole_bodies", "endless_headers", "idle", "unfinished_messages"]


class Site(Protocol):
    """Hold a process under test, and send it ordinary requests."""

    cluster: Cluster
    name: str

    def target(self, port_name: str) -> Target:
        """Return what a crowd sends to a port."""

    async def serves_a_job(self, body: bytes = ...) -> bool:
        """Submit a job and query it; return whether both were answered."""

    async def serves_all_ports(self) -> bool:
        """Return whether the ports that are not for callers answer."""


@attrs.define
class WatchedProcess:
    """Measure a process from outside."""

    cluster: Cluster
    name: str
    # The port whose received, still unread bytes count as memory of the process, too.
    port: int
    most_open_files: int = 0
    most_memory_mb: float = 0.0

    @property
    def _proc(self) -> Path:
        return Path("/proc") / str(self.cluster.processes[self.name].pid)

    @property
    def is_alive(self) -> bool:
        return self.cluster.is_running(self.name)

    def memory_mb(self, field: str = "VmRSS") -> float:
        lines = (self._proc / "status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith(field)) / KIB_PER_MB

    def count_open_files(self) -> int:
        return len(os.listdir(self._proc / "fd"))

    def unread_mb(self) -> float:
        """Return what the kernel has received for the port and the process has not read."""
        rows = [line.split() for line in TCP_TABLE.read_text().splitlines()[1:]]
        local_port = f":{self.port:04X}"
        queues = [row[4] for row in rows if row[1].endswith(local_port) and row[3] == ESTABLISHED]
        return sum(int(queue.partition(":")[2], 16) for queue in queues) / KIB_PER_MB**2

    def sample(self) -> None:
        memory_mb = self.memory_mb() + self.unread_mb()
        self.most_memory_mb = max(self.most_memory_mb, memory_mb, self.memory_mb("VmHWM"))
        self.most_open_files = max(self.most_open_files, self.count_open_files())

    async def sample_periodically(self) -> None:
        while self.is_alive:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], guard_s: float = HANG_GUARD_S
) -> bool:
    """Return whether a condition came true before a guard."""
    deadline = time.monotonic() + guard_s
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(POLL_PAUSE_S)
    return False


async def answers(url: str, method: str = "GET", **options) -> HTTPResponse | None:
    """Return the answer if the request is served."""
    response = await try_fetch(AsyncHTTPClient(), url, REQUEST_TIMEOUT_S, method=method, **options)
    return response if isinstance(response, HTTPResponse) and response.code // 100 == 2 else None


async def accepts_peers(port: int) -> bool:
    try:
        async with connect(f"ws://{HOST}:{port}", proxy=None, open_timeout=REQUEST_TIMEOUT_S):
            return True
    except (OSError, TimeoutError):
        return False


def play_crowd(
    running_site: AbstractAsyncContextManager[Site], port_name: str, kind: str
) -> list[str]:
    """Run a site and play a crowd at one port; return which guarantees the process broke."""

    async def run() -> list[str]:
        async with running_site as site:
            return await find_breaches(site, site.target(port_name), kind)

    return asyncio.run(run())


def serve_largest_job(
    running_site: AbstractAsyncContextManager[Site], job: bytes
) -> tuple[bool, float]:
    """Return whether a site without a crowd serves a job, and its peak memory in MB."""

    async def run() -> tuple[bool, float]:
        async with running_site as site:
            is_served = await wait_until(lambda: site.serves_a_job(job))
            process = WatchedProcess(site.cluster, site.name, site.target("caller").port)
            return is_served, process.memory_mb("VmHWM")

    return asyncio.run(run())


async def find_breaches(site: Site, target: Target, kind: str) -> list[str]:
    """Play a crowd; return which of the guarantees the process broke, with the figures."""
    memory_mb, max_open_files = MACHINE["memory_mb"], MACHINE["max_open_files"]
    process = WatchedProcess(site.cluster, site.name, target.port)
    calm_mb, calm_files = process.memory_mb(), process.count_open_files()
    sampling = asyncio.create_task(process.sample_periodically())
    async with Crowd(target, BEHAVIOURS[kind]) as crowd:
        await crowd.wait_until_settled()
        is_served_beside = await wait_until(site.serves_a_job)
        if process.is_alive:
            process.sample()
    is_served_after = await wait_until(site.serves_a_job) and await wait_until(
        site.serves_all_ports
    )
    if not process.is_alive:
        return ["the process ended"]

    async def gives_back() -> bool:
        mb_left = calm_mb + (memory_mb - calm_mb) * LEFT_IN_USE
        files_left = calm_files + (max_open_files - calm_files) * LEFT_IN_USE
        return process.memory_mb() <= mb_left and process.count_open_files() <= files_left

    gave_back = await wait_until(gives_back, GIVE_BACK_GUARD_S)
    sampling.cancel()
    figures = (
        f"memory {calm_mb:.0f} MB in calm, {process.memory_mb('VmHWM'):.0f} at the peak, "
        f"{process.most_memory_mb:.0f} with unread bytes, "
        f"{process.memory_mb():.0f} after; open files {calm_files}, {process.most_open_files}, "
        f"{process.count_open_files()}; {crowd.sent_bytes >> 20} MiB sent"
    )
    print(figures)
    guarantees = {
        "an ordinary job was not served beside the crowd": is_served_beside,
        "an ordinary request was not served afterwards": is_served_after,
        "memory over the machine's": process.most_memory_mb <= memory_mb,
        "open files over the machine's": process.most_open_files <= max_open_files,
        "memory or descriptors were not given back": gave_back,
    }
    return [f"{breach}: {figures}" for breach, holds in guarantees.items() if not holds]
