"""Wait for the reply to a call over a link."""

from __future__ import annotations

import asyncio
from typing import Any

from baobabhoist.errors import LinkClosedError


class PendingCall:
    """Hold the reply to a call and the time by which it, or the next part of it, has to arrive.

    With an `idle_timeout_s`, `timeout_s` counts anew from each acknowledged part of the call, and
    the reply may take as long as parts or announcements of it keep arriving. Otherwise
    `timeout_s` bounds the whole call.
    """

    def __init__(self, timeout_s: float, idle_timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._timeout_s = timeout_s
        self._idle_timeout_s = idle_timeout_s
        self.reply: asyncio.Future[Any] = self._loop.create_future()
        self.timeout = asyncio.timeout(timeout_s)

    def record_sent_part(self) -> None:
        """Record that the receiver has acknowledged a part of the call."""
        self._restart_timeout(self._timeout_s)

    def record_received_part(self) -> None:
        """Record that a part or an announcement of the reply has arrived."""
        self._restart_timeout(self._idle_timeout_s)

    def set_reply(self, message: Any) -> None:
        """Return the reply to the caller."""
        if not self.reply.done():
            self.reply.set_result(message)

    def fail(self) -> None:
        """Report to the caller that the connection has ended."""
        if self.reply.done():
            return
        self.reply.set_exception(LinkClosedError("the connection closed before the reply"))
        # If the caller was cancelled, nothing else retrieves the exception, which asyncio would
        # then log.
        self.reply.exception()

    def _restart_timeout(self, timeout_s: float) -> None:
        if self._idle_timeout_s and not self.timeout.expired():
            deadline_s = self.timeout.when() or 0.0
            self.timeout.reschedule(max(deadline_s, self._loop.time() + timeout_s))
