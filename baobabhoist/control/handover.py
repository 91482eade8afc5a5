"""Hand the cell over to a larger instance once that instance has been ready for some time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING, Protocol

import attrs

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.links import LinkServer
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.messages import ReadinessQuery, ReadinessReply
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.errors import LinkClosedError
from baobabhoist.observability.events import Event, emit

if TYPE_CHECKING:
    from baobabhoist.control.owner import CellOwner

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 1.0
# Least ratio between the suitability of the successor and that of the owner.
MIN_SUITABILITY_RATIO = 1.5
# An owner keeps a loaded cell for at least this long.
MIN_OWNERSHIP_MS = 5_000.0
# A successor has been ready for at least this long.
MIN_READY_MS = 2_500.0
# Least time between two handovers by the same instance.
HANDOVER_INTERVAL_MS = 15_000.0


class Releaser(Protocol):
    """Release the cell; implemented by the election."""

    is_draining: bool

    async def hand_over(self, successor: str) -> None:
        """Release the cell in favour of another instance."""


@attrs.define
class ReadinessTracker:
    """Track since when each instance has been ready without a break."""

    ready_since_ms: dict[str, float] = attrs.Factory(dict)

    def update(self, ready_nodes: Collection[str], now: float) -> None:
        """Record which instances are ready now."""
        self.ready_since_ms = {n: self.ready_since_ms.get(n, now) for n in ready_nodes}

    def long_ready_nodes(self, now: float) -> list[str]:
        """Return the instances that have been ready for at least MIN_READY_MS."""
        return [n for n, since_ms in self.ready_since_ms.items() if now - since_ms >= MIN_READY_MS]


def choose_successor(nodes: Iterable[str], sizes: dict[str, MachineSize]) -> str | None:
    """Return the most suitable of some instances, or None if there is none."""
    return max(nodes, key=lambda node: (sizes[node].suitability, node), default=None)


def more_suitable_nodes(own_size: MachineSize, sizes: dict[str, MachineSize]) -> list[str]:
    """Return the instances whose machines are so much larger that a handover pays off."""
    least = own_size.suitability * MIN_SUITABILITY_RATIO
    return [node for node, size in sizes.items() if size.suitability > least]


class HandoverMonitor:
    """Check regularly, while this instance owns the cell, whether a larger one should."""

    def __init__(
        self,
        size: MachineSize,
        owner_router: OwnerRouter,
        link_server: LinkServer,
        releaser: Releaser,
    ) -> None:
        self._size = size
        self._owner_router = owner_router
        self._link_server = link_server
        self._releaser = releaser
        self._tracker = ReadinessTracker()
        self._next_handover_ms = 0.0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Hand the cell over if a larger instance has been ready for long enough.

        An owner that still loads hands over too: a small machine may never finish.
        """
        owner = self._owner_router.local_owner
        if owner is None or self._releaser.is_draining:
            self._tracker.update((), monotonic_ms())
            return
        await self._ask_more_suitable_nodes()
        now = monotonic_ms()
        sizes = self._link_server.sizes
        nodes = [n for n in self._tracker.long_ready_nodes(now) if n in sizes]
        successor = choose_successor(nodes, sizes)
        if successor is not None and await self._may_hand_over(owner):
            await self._hand_over(owner, successor)

    async def _ask_more_suitable_nodes(self) -> None:
        nodes = more_suitable_nodes(self._size, self._link_server.sizes)
        replies = await asyncio.gather(*(self._is_ready(node) for node in nodes))
        ready_nodes = [n for n, is_ready in zip(nodes, replies, strict=True) if is_ready]
        self._tracker.update(ready_nodes, monotonic_ms())

    async def _is_ready(self, node: str) -> bool:
        link = self._link_server.links.get(node)
        if link is None:
            return False
        try:
            reply = await link.call(ReadinessQuery(), REPLY_TIMEOUT_S)
        except (LinkClosedError, TimeoutError) as exc:
            log.debug("%s did not say whether it is ready to own the cell: %s", node, exc)
            return False
        return isinstance(reply, ReadinessReply) and reply.ready

    async def _may_hand_over(self, owner: CellOwner) -> bool:
        """Return whether the ownership is settled and a release would reach the store.

        How well this instance reaches the store beyond that does not matter: the successor has
        checked its own access, and an overloaded owner is slow at everything.
        """
        now = monotonic_ms()
        is_settled = owner.cell is None or now - owner.ownership.won_ms >= MIN_OWNERSHIP_MS
        if not is_settled or now < self._next_handover_ms:
            return False
        return await owner.progress_writer.write_heartbeat()

    async def _hand_over(self, owner: CellOwner, successor: str) -> None:
        if self._owner_router.local_owner is not owner or self._releaser.is_draining:
            return
        self._next_handover_ms = monotonic_ms() + HANDOVER_INTERVAL_MS
        emit(log, Event.CELL_HANDED_OVER, token=owner.ownership.token, successor=successor)
        await self._releaser.hand_over(successor)
