"""Count the open requests of an instance so that it can drain."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.errors import ErrorKind, Refusal

DRAIN_RETRY_AFTER_S = 0.5


def draining_refusal() -> Refusal:
    """Return the refusal of a new request during a drain."""
    return Refusal(
        ErrorKind.DRAINING,
        "this instance is being drained",
        remedy="send the request again; another instance will serve it",
        retry_after_s=DRAIN_RETRY_AFTER_S,
    )


@attrs.define
class OpenRequests:
    """Count open requests; once the drain has begun, new ones are refused.

    `leaving_balancer` makes /readyz return 503 while requests are still served, so that the
    load balancer can redirect callers before any request is refused.
    """

    count: int = 0
    leaving_balancer: bool = False
    draining: bool = False
    _drained: asyncio.Event = attrs.Factory(asyncio.Event)

    def admit(self) -> Refusal | None:
        """Count a new request, or return the refusal during a drain."""
        if self.draining:
            return draining_refusal()
        self.count += 1
        return None

    def finish(self) -> None:
        """Remove a request from the count after its response was sent."""
        self.count -= 1
        self._notify_if_drained()

    def leave_balancer(self) -> None:
        """Make /readyz return 503 while requests are still served."""
        self.leaving_balancer = True

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""
        self.leaving_balancer = self.draining = True
        self._notify_if_drained()

    async def wait_drained(self) -> None:
        """Wait until the drain has begun and no request is open."""
        await self._drained.wait()

    def _notify_if_drained(self) -> None:
        if self.draining and self.count == 0:
            self._drained.set()
