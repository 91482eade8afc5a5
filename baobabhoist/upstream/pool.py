"""Manage the links to the workers of one shard."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from baobabhoist.errors import MessageNotSentError
from baobabhoist.model import WorkerSpec
from baobabhoist.upstream.link import WorkerLink

OnConnectionChange = Callable[[str, bool], Awaitable[None]]


class WorkerConnection(Protocol):
    """Define a connection to one worker that reconnects when it fails."""

    @property
    def is_connected(self) -> bool:
        """Return whether a call can be sent now."""

    async def run(self) -> None:
        """Maintain the connection until cancelled."""

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Call the worker; raises MessageNotSentError, LinkClosedError or TimeoutError."""

    def reconnect(self) -> None:
        """Abort an unresponsive connection, so that a new one is opened."""


class WorkerPool:
    """Manage one link per worker; workers may be added and removed while the links run."""

    def __init__(
        self,
        workers: Iterable[WorkerSpec],
        on_change: OnConnectionChange,
        make_link: Callable[[WorkerSpec, OnConnectionChange], WorkerConnection] = WorkerLink,
    ) -> None:
        self._on_change = on_change
        self._make_link = make_link
        self._links: dict[str, WorkerConnection] = {}
        self._specs: dict[str, WorkerSpec] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._is_running = False
        self.set_workers(workers)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Add new workers, and replace the links of workers whose address changed."""
        for spec in workers:
            current = self._specs.get(spec.name)
            if current is None or (current.host, current.port) != (spec.host, spec.port):
                self.remove_worker(spec.name)
                self._links[spec.name] = self._make_link(spec, self._on_change)
            self._specs[spec.name] = spec
        if self._is_running:
            self.start()

    def start(self) -> None:
        """Run the links that are not running yet."""
        self._is_running = True
        for name, link in self._links.items():
            if name not in self._link_tasks:
                self._link_tasks[name] = asyncio.create_task(link.run())

    def stop(self) -> None:
        """Stop and remove all links."""
        self._is_running = False
        for name in list(self._links):
            self.remove_worker(name)

    def remove_worker(self, worker: str) -> None:
        """Stop and remove the link to one worker."""
        self._links.pop(worker, None)
        self._specs.pop(worker, None)
        link_task = self._link_tasks.pop(worker, None)
        if link_task is not None:
            link_task.cancel()

    def is_connected(self, worker: str) -> bool:
        """Return whether a call to this worker can be sent now."""
        link = self._links.get(worker)
        return link is not None and link.is_connected

    async def call(self, worker: str, message: Any, timeout_s: float) -> Any:
        """Call a worker; raises MessageNotSentError, LinkClosedError or TimeoutError."""
        link = self._links.get(worker)
        if link is None:
            raise MessageNotSentError(f"worker {worker} is not in the pool")
        return await link.call(message, timeout_s)

    def reconnect(self, worker: str) -> None:
        """Abort the unresponsive connection to a worker, so that a new one is opened."""
        link = self._links.get(worker)
        if link is not None:
            link.reconnect()
