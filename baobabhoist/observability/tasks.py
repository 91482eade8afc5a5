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
    name = name or getattr(coro, "__qualname__", "")
    task = asyncio.create_task(coro, name=name)
    task.add_done_callback(log_task_crash)
    return task


def log_task_crash(task: asyncio.Task[Any]) -> None:
    """Log a task that ended with an exception; made for `Task.add_done_callback`."""
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        emit(log, Event.TASK_CRASHED, task=task.get_name(), detail=repr(exc), exc_info=exc)
