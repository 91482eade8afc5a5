"""Log background tasks that fail, which nothing else would notice."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)


def create_logged_task(coro: Coroutine[Any, Any, None], name: str = "") -> asyncio.Task[None]:
    """Start a task that logs its crash, under the name of its coroutine if none is given."""
    task = asyncio.create_task(coro, name=name or coro_name(coro))
    task.add_done_callback(log_task_crash)
    return task


def coro_name(coro: object) -> str:
    """Return the name of a coroutine's function."""
    return getattr(coro, "__qualname__", repr(coro))


def log_task_crash(task: asyncio.Task[Any]) -> None:
    """Log a task that ended with an exception; made for `Task.add_done_callback`."""
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        log_crash(task.get_name(), exc)


def log_crash(task_name: str, exc: BaseException) -> None:
    """Log an exception that should not have been raised, with its traceback."""
    emit(log, Event.TASK_CRASHED, task=task_name, detail=repr(exc), exc_info=exc)
