"""Count the open requests of an instance and let it drain."""

from __future__ import annotations

import asyncio

import attrs

from baobabhoist.errors import ErrorKind, Refusal

DRAIN_RETRY_AFTER_S = 0.5


@attrs.define
class OpenRequests:
    """Count open requests; once the drain has begun, new ones are refused.

    `leaving` makes /readyz answer 503 before requests are refused, so that the balancer can
    move callers away first.
    """

    count: int = 0
    leaving_balancer: bool = False
    draining: bool = False
    _empty: asyncio.Event = attrs.Factory(asyncio.Event)

    def admit(self) -> Refusal | None:
        """Count a new request, or return why it is refused."""
        if self.draining:
            return Refusal(
                ErrorKind.DRAINING,
                "this instance is being drained",
                remedy="send the request again; another instance will serve it",
                retry_after_s=DRAIN_RETRY_AFTER_S,
            )
        self.count += 1
        return None

    def finish(self) -> None:
        """Count a request as answered."""
        self.count -= 1
        self._update()

    def leave_balancer(self) -> None:
        """Make /readyz answer 503 and still serve."""
        self.leaving_balancer = True

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""
        self.leaving_balancer = self.draining = True
        self._update()

    async def wait_drained(self) -> None:
        """Wait until the drain has begun and every open request has been answered."""
        await self._empty.wait()

    def _update(self) -> None:
        if self.draining and self.count == 0:
            self._empty.set()
