"""Provide what every soak test shares: the driver's log, background tasks and HTTP calls."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

CONNECT_TIMEOUT_S = 1.0


@attrs.define
class SoakDriver:
    """Hold the driver's log and its background tasks."""

    driver_log: list[dict[str, Any]] = attrs.field(factory=list, kw_only=True)
    background_tasks: set[asyncio.Task[Any]] = attrs.field(factory=set, kw_only=True)

    def log_event(self, event: str, **fields: Any) -> dict[str, Any]:
        """Append an event with its Unix time to the driver's log and return the entry."""
        entry = {"t": time.time(), "event": event, **fields}
        self.driver_log.append(entry)
        return entry

    def spawn(self, coro: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coro)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)


async def try_fetch(
    http_client: AsyncHTTPClient, url: str, timeout_s: float, **options: Any
) -> HTTPResponse | str:
    """Return the response, or the reason why there is none."""
    try:
        return await http_client.fetch(
            url,
            raise_error=False,
            request_timeout=timeout_s,
            connect_timeout=CONNECT_TIMEOUT_S,
            **options,
        )
    except (OSError, HTTPClientError) as exc:
        return str(exc) or type(exc).__name__


def prepare_log_folder(
    folder_name: str, faults: Iterable[str], known_faults: Collection[str]
) -> Path | None:
    """Return an empty folder for the logs of a run, or print why the run cannot start."""
    folder = Path(folder_name or tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        print(f"{folder} is not empty: logs of another run would be checked along with this one")
        return None
    unknown = sorted(fault for fault in faults if fault not in known_faults)
    if unknown:
        print(f"unknown faults {unknown}; known faults are {sorted(known_faults)}")
        return None
    return folder
