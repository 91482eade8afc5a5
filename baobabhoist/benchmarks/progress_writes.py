"""Compare batched and single writes of progress rows to the platform's table."""

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
CONCURRENT_WRITERS = 8
START_TIMEOUT_S = 10.0


@contextmanager
def _run_platform() -> Iterator[str]:
    """Run the fake platform as a process and yield its URL."""
    port = free_port()
    command = [sys.executable, "-m", "baobabhoist.testing.platform", f"--port={port}"]
    # The time to write the access log would count as part of each write.
    command.append("--verbosity=-1")
    process = subprocess.Popen(command)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        process.terminate()
        process.wait()


async def run(measure_s: float) -> dict[str, Any]:
    """Return the write rate, row rate and latency for each batch size."""
    with _run_platform() as url:
        table = PlatformTableClient(url)
        await _wait_until_ready(table)
        return {
            str(size): await _measure_batch_size(table, size, measure_s) for size in BATCH_SIZES
        }


async def _wait_until_ready(table: PlatformTableClient) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            await table.read("shard/none")
            return
        except PlatformError:
            if time.monotonic() > deadline_s:
                raise
            await asyncio.sleep(0.05)


async def _measure_batch_size(
    table: PlatformTableClient, size: int, measure_s: float
) -> dict[str, float]:
    latencies: list[float] = []
    started_s = time.monotonic()

    async def write(writer: int) -> None:
        write_number = 0
        while time.monotonic() - started_s < measure_s:
            rows = {
                f"progress/job{size}-{writer}-{(write_number * size + n) % 5000}/shard": {
                    "done": write_number,
                    "running": 3,
                    "failed": 0,
                }
                for n in range(size)
            }
            sent_at_s = time.monotonic()
            await table.commit(Transaction({}, rows))
            latencies.append(time.monotonic() - sent_at_s)
            write_number += 1

    await asyncio.gather(*(write(writer) for writer in range(CONCURRENT_WRITERS)))
    elapsed_s = time.monotonic() - started_s
    return {
        "writes_per_s": len(latencies) / elapsed_s,
        "rows_per_s": len(latencies) * size / elapsed_s,
        "p99_ms": 1e3 * sorted(latencies)[int(0.99 * len(latencies))],
    }


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table."""
    lines = [f"{'rows per write':>14}{'writes/s':>12}{'rows/s':>12}{'p99 ms':>10}"]
    for size, row in report.items():
        lines.append(
            f"{size:>14}{row['writes_per_s']:12.0f}{row['rows_per_s']:12.0f}{row['p99_ms']:10.2f}"
        )
    return "\n".join(lines)
