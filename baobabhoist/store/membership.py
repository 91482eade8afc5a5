"""Poll the platform's membership list, which lags behind the state of the VMs."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs

from baobabhoist.errors import PlatformError

log = logging.getLogger(__name__)

# A leaving worker must get no new tasks more than 3 s after the list shows it as leaving.
POLL_INTERVAL_S = 1.0


@attrs.frozen
class Member:
    """Hold one VM of the membership list; `state` is `live`, `leaving` or `gone`."""

    name: str
    state: str
    kind: str = ""
    data_centre: str = ""
    host: str = ""
    port: int = 0

    @classmethod
    def from_entry(cls, entry: dict[str, Any]) -> Member | None:
        """Return the member in an entry of the list, or None if the entry is malformed."""
        try:
            return cls(
                str(entry["name"]),
                str(entry["state"]),
                str(entry.get("kind", "")),
                str(entry.get("data_centre", "")),
                str(entry.get("host", "")),
                int(entry.get("port", 0)),
            )
        except (KeyError, TypeError, ValueError):
            return None


class MembershipSource(Protocol):
    """Fetch the membership list."""

    async def members(self) -> list[dict[str, Any]]:
        """Return the entries; raises PlatformError."""


class MembershipList:
    """Poll the membership list and keep the result of the last successful poll."""

    def __init__(
        self,
        source: MembershipSource,
        on_refresh: Callable[[MembershipList], Awaitable[None]],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.members: dict[str, Member] = {}
        self._gone_since: dict[str, float] = {}
        self._source = source
        self._on_refresh = on_refresh
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.refresh()
            except PlatformError as exc:
                log.info("cannot read the membership list: %s", exc)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Fetch the list once and report it to the callback; raises PlatformError."""
        entries = [Member.from_entry(entry) for entry in await self._source.members()]
        self.members = {member.name: member for member in entries if member is not None}
        now = self._clock()
        gone = self.gone()
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        await self._on_refresh(self)

    def not_live(self) -> set[str]:
        """Return the members that must get no new tasks: those leaving or gone."""
        return {name for name, member in self.members.items() if member.state != "live"}

    def gone(self) -> set[str]:
        """Return the members that the list shows as gone."""
        return {name for name, member in self.members.items() if member.state == "gone"}

    def gone_longer_than(self, seconds: float) -> set[str]:
        """Return the members that the list has shown as gone for more than `seconds`."""
        now = self._clock()
        return {name for name, since in self._gone_since.items() if now - since > seconds}
