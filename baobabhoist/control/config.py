"""Hold the configuration in force and judge whether it is recent enough to act on."""

from __future__ import annotations

import attrs

from baobabhoist.cell.model import CellRules, Queue


@attrs.frozen
class Route:
    """Map calls for a host and path prefix to a queue."""

    host: str
    prefix: str
    queue: Queue


@attrs.frozen
class CellConfig:
    """Hold one accepted version of the configuration."""

    version: int
    rules: CellRules
    routes: tuple[Route, ...]
    team_by_key: dict[str, str]
    body_max_bytes: int

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that a path begins with, or None."""
        found = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(found, key=lambda route: len(route.prefix), default=None)


@attrs.define
class ActiveConfig:
    """Hold the newest configuration; versions only rise.

    `confirmed_ms` is the latest moment at which it was the store's newest, on the local clock.
    """

    current: CellConfig | None = None
    confirmed_ms: float = -1e12

    def accept(self, cfg: CellConfig) -> bool:
        """Take a version over unless it is older; tell whether it is new."""
        if self.current is not None and cfg.version <= self.current.version:
            return False
        self.current = cfg
        return True

    def confirm(self, moment_ms: float) -> None:
        """Note that no newer version existed at a moment."""
        self.confirmed_ms = max(self.confirmed_ms, moment_ms)

    def age_ms(self, now: float) -> float:
        """Return how long ago the configuration was known to be the newest."""
        return now - self.confirmed_ms
