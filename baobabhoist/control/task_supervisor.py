"""Supervise the background tasks of the cell's owner: the first failure ends the ownership."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

from baobabhoist.errors import OwnerFailedError
from baobabhoist.observability.tasks import coro_name, log_crash

T = TypeVar("T")


class TaskSupervisor:
    """Run background tasks until they are stopped together or one of them fails."""

    def __init__(self) -> None:
        self.is_stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed = asyncio.Event()
        self._failure: BaseException | None = None

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that may end, but must not raise."""
        task = asyncio.create_task(coro, name=coro_name(coro))
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def spawn_service(self, coro: Coroutine[Any, Any, None]) -> None:
        """Start a task that must run until it is stopped."""
        self.spawn(coro).add_done_callback(self._handle_service_end)

    def stop(self) -> None:
        """Cancel all tasks."""
        self.is_stopped = True
        for task in self._tasks:
            task.cancel()

    async def wait_until_stopped(self) -> None:
        """Wait until the cancelled tasks have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def fail(self, task_name: str, exc: BaseException) -> None:
        """Report the failure of a part that the tasks depend on."""
        if self.is_stopped or self._failed.is_set():
            return
        log_crash(task_name, exc)
        self._failure = exc
        self._failed.set()

    async def wait_for_failure(self) -> None:
        """Wait until a task fails; raises OwnerFailedError."""
        await self._failed.wait()
        raise OwnerFailedError(f"a background task failed: {self._failure!r}") from self._failure

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self.fail(task.get_name(), exc)

    def _handle_service_end(self, task: asyncio.Task[None]) -> None:
        self.fail(task.get_name(), RuntimeError("a task that must not end has ended"))


async def result_or(call: Awaitable[T], default: T) -> T:
    """Return the result of a call to another party, or `default` if it raises."""
    try:
        return await call
    except Exception as exc:
        log_crash(coro_name(call), exc)
        return default
