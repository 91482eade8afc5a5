"""Track the calls that an instance has not answered yet, and bound them while it drains."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterator

# A call that arrives with less time left before the end of the drain is refused.
MIN_CALL_TIME_S = 1.0


class OpenCalls:
    """Hold a timeout for each open call, which expires at the deadline of a drain."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        # On the clock of the event loop; None unless the instance drains.
        self._deadline_s: float | None = None
        self._all_answered = asyncio.Event()
        self._all_answered.set()

    @property
    def count(self) -> int:
        """Return the number of open calls."""
        return len(self._timeouts)

    @property
    def is_draining(self) -> bool:
        """Return whether a drain has begun."""
        return self._deadline_s is not None

    @property
    def time_left_s(self) -> float:
        """Return the time until open calls must be answered; infinite unless draining."""
        if self._deadline_s is None:
            return math.inf
        return self._deadline_s - asyncio.get_running_loop().time()

    @property
    def can_finish_new_calls(self) -> bool:
        """Return whether enough time is left to carry out a call that arrives now."""
        return self.time_left_s >= MIN_CALL_TIME_S

    @contextlib.contextmanager
    def track(self) -> Iterator[asyncio.Timeout]:
        """Count a call as open; yield a timeout, which must be entered at once."""
        timeout = asyncio.timeout_at(self._deadline_s)
        self._timeouts.add(timeout)
        self._all_answered.clear()
        try:
            yield timeout
        finally:
            self._timeouts.discard(timeout)
            if not self._timeouts:
                self._all_answered.set()

    def drain(self, deadline_s: float) -> None:
        """Let no call stay open beyond a deadline on the clock of the event loop."""
        self._deadline_s = deadline_s
        for timeout in self._timeouts:
            timeout.reschedule(deadline_s)

    async def wait_until_answered(self) -> None:
        """Wait until no call is open."""
        await self._all_answered.wait()
