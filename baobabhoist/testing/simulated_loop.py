"""Run coroutines in simulated time: instead of waiting for a timer, the clock jumps to it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _SimulatedSelector(selectors.DefaultSelector):
    """Advance a clock by the time for which a loop would wait."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return the events that are ready, after the clock has jumped to the next timer."""
        self.now_s += timeout or 0.0
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Run an event loop whose clock starts at 0 and never waits; it must not do network I/O."""

    def __init__(self) -> None:
        self._simulated = _SimulatedSelector()
        super().__init__(self._simulated)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulated.now_s

    def now_ms(self) -> float:
        """Return the simulated time in ms."""
        return self._simulated.now_s * 1000


def run_simulated(loop: SimulatedLoop, coro: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end, cancel the tasks that it leaves and close the loop."""
    try:
        return loop.run_until_complete(coro)
    finally:
        loop.run_until_complete(_cancel_others())
        loop.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
