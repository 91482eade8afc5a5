"""Compare batched with single writes of progress rows to the platform's table."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from baobabhoist.errors import PlatformError
from baobabhoist.store.table import Transaction
from baobabhoist.store.table_client import PlatformTableClient
from baobabhoist.testing.cluster import free_port

BATCH_SIZES = (1, 10, 100, 1000)
CONCURRENT_WRITES = 8
START_TIMEOUT_S = 10.0


@contextmanager
def _platform() -> Iterator[str]:
    """Launch the platform stand-in as a process and give its address."""
    port = free_port()
    command = [sys.executable, "-m", "baobabhoist.testing.platform", f"--port={port}"]
    # The access log would count as part of each write.
    command.append("--verbosity=-1")
    process = subprocess.Popen(command)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        process.terminate()
        process.wait()


async def run(measure_s: float) -> dict[str, Any]:
    """Return writes and rows a second for each batch size."""
    with _platform() as url:
        table = PlatformTableClient(url)
        await _wait_for(table)
        return {str(size): await _measure(table, size, measure_s) for size in BATCH_SIZES}


async def _wait_for(table: PlatformTableClient) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            await table.read("shard/none")
            return
        except PlatformError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.05)


async def _measure(table: PlatformTableClient, size: int, measure_s: float) -> dict[str, float]:
    latencies: list[float] = []
    begin = time.monotonic()

    async def write(writer: int) -> None:
        number = 0
        while time.monotonic() - begin < measure_s:
            rows = {
                f"progress/job{size}-{writer}-{(number * size + n) % 5000}/shard": {
                    "done": number,
                    "running": 3,
                    "failed": 0,
                }
                for n in range(size)
            }
            sent = time.monotonic()
            await table.commit(Transaction({}, rows))
            latencies.append(time.monotonic() - sent)
            number += 1

    await asyncio.gather(*(write(writer) for writer in range(CONCURRENT_WRITES)))
    spent = time.monotonic() - begin
    return {
        "writes_per_s": len(latencies) / spent,
        "rows_per_s": len(latencies) * size / spent,
        "p99_ms": 1e3 * sorted(latencies)[int(0.99 * len(latencies))],
    }


def table(report: dict[str, Any]) -> str:
    """Return the report as a plain table."""
    lines = [f"{'rows per write':>14}{'writes/s':>12}{'rows/s':>12}{'p99 ms':>10}"]
    for size, row in report.items():
        lines.append(
            f"{size:>14}{row['writes_per_s']:12.0f}{row['rows_per_s']:12.0f}{row['p99_ms']:10.2f}"
        )
    return "\n".join(lines)
