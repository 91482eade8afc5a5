"""Send batches in order over a link; what is added while one is sent goes into the next."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from baobabhoist.observability.tasks import create_logged_task


class BatchSender:
    """Call `send_batch` once per batch, some time after the first `request` of it.

    `send_batch` takes what there is to send and returns when the link has accepted it.
    """

    def __init__(self, send_batch: Callable[[], Awaitable[None]]) -> None:
        self._send_batch = send_batch
        self._due_s = float("inf")
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def request(self, delay_s: float) -> None:
        """Request that a batch is sent within a time."""
        due_s = asyncio.get_running_loop().time() + delay_s
        if due_s < self._due_s:
            self._due_s = due_s
            self._wake.set()
        if self._task is None or self._task.done():
            self._task = create_logged_task(self._run())

    def stop(self) -> None:
        """Send no more batches until the next request."""
        self._due_s = float("inf")
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            wait_s = self._due_s - loop.time()
            if wait_s > 0.0:
                await self._wait(wait_s)
                continue
            self._due_s = float("inf")
            await self._send_batch()

    async def _wait(self, wait_s: float) -> None:
        """Wait for a time, or until a batch is requested earlier."""
        try:
            async with asyncio.timeout(None if wait_s == float("inf") else wait_s):
                await self._wake.wait()
        except TimeoutError:
            return
