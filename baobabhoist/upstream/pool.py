"""Hold the links to the workers of one shard."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from baobabhoist.errors import MessageNotSentError
from baobabhoist.model import WorkerSpec
from baobabhoist.upstream.link import WorkerLink

OnChange = Callable[[str, bool], Awaitable[None]]


class WorkerConnection(Protocol):
    """Be a connection to one worker that replaces itself when it fails."""

    @property
    def connected(self) -> bool:
        """Tell whether a call can be sent now."""

    async def run(self) -> None:
        """Keep the connection until cancelled."""

    async def call(self, message: Any, deadline_s: float) -> Any:
        """Send a call; raises MessageNotSentError, LinkClosedError or TimeoutError."""

    def replace(self) -> None:
        """Drop a connection that has gone silent, so that a new one is made."""


class WorkerPool:
    """Own one connection per worker; workers come and go while the shard is owned."""

    def __init__(
        self,
        workers: Iterable[WorkerSpec],
        on_change: OnChange,
        make_link: Callable[[WorkerSpec, OnChange], WorkerConnection] = WorkerLink,
    ) -> None:
        self._on_change = on_change
        self._make_link = make_link
        self._links: dict[str, WorkerConnection] = {}
        self._specs: dict[str, WorkerSpec] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._running = False
        self.set_workers(workers)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Connect to new workers; a changed address makes a new link."""
        for spec in workers:
            known = self._specs.get(spec.name)
            if known is None or (known.host, known.port) != (spec.host, spec.port):
                self.drop(spec.name)
                self._links[spec.name] = self._make_link(spec, self._on_change)
            self._specs[spec.name] = spec
        if self._running:
            self.start()

    def start(self) -> None:
        """Start the links that are not kept yet."""
        self._running = True
        for name, link in self._links.items():
            if name not in self._keepers:
                self._keepers[name] = asyncio.create_task(link.run())

    def stop(self) -> None:
        """End all links."""
        self._running = False
        for name in list(self._links):
            self.drop(name)

    def drop(self, worker: str) -> None:
        """End the link to one worker."""
        self._links.pop(worker, None)
        self._specs.pop(worker, None)
        keeper = self._keepers.pop(worker, None)
        if keeper is not None:
            keeper.cancel()

    def connected(self, worker: str) -> bool:
        """Tell whether a call to this worker can be sent now."""
        link = self._links.get(worker)
        return link is not None and link.connected

    async def call(self, worker: str, message: Any, deadline_s: float) -> Any:
        """Send a call to a worker; raises MessageNotSentError, LinkClosedError or TimeoutError."""
        link = self._links.get(worker)
        if link is None:
            raise MessageNotSentError(f"worker {worker} has no link")
        return await link.call(message, deadline_s)

    def replace(self, worker: str) -> None:
        """Replace a link that has gone silent."""
        link = self._links.get(worker)
        if link is not None:
            link.replace()
