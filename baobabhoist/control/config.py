"""Hold the active configuration and track how recently the store confirmed it."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from baobabhoist.cell.evacuations import NO_EVACUATIONS, Evacuations
from baobabhoist.cell.model import CellRules, Queue


@attrs.frozen
class Route:
    """Map a host and path prefix to a queue."""

    host: str
    prefix: str
    queue: Queue


class RouteIndex:
    """Find routes by host and path."""

    def __init__(self, routes: Sequence[Route]) -> None:
        # Of several routes with the same host and prefix, the first one counts.
        self._routes = {(route.host, route.prefix): route for route in reversed(routes)}
        self._prefix_lengths = sorted({len(route.prefix) for route in routes}, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for length in self._prefix_lengths:
            route = self._routes.get((host, path[:length]))
            if route is not None:
                return route
        return None


@attrs.frozen
class CellConfig:
    """Hold one version of the configuration."""

    version: int
    rules: CellRules
    routes: tuple[Route, ...]
    team_by_key: dict[str, str]
    body_max_bytes: int
    _route_index: RouteIndex = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(lambda self: RouteIndex(self.routes), takes_self=True),
    )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        return self._route_index.find(host, path)


@attrs.define
class ActiveConfig:
    """Hold what the operator's table says; the configuration's version never decreases.

    `confirmed_ms` is the last time, on the local clock, at which the store had nothing newer.
    """

    current: CellConfig | None = None
    confirmed_ms: float = -1e12
    evacuations: Evacuations = NO_EVACUATIONS

    def accept(self, cfg: CellConfig) -> bool:
        """Activate a version if it is newer than the current one; return whether it was."""
        if self.current is not None and cfg.version <= self.current.version:
            return False
        self.current = cfg
        return True

    def confirm(self, read_ms: float) -> None:
        """Record that the store had no newer version at `read_ms`."""
        self.confirmed_ms = max(self.confirmed_ms, read_ms)

    def age_ms(self, now: float) -> float:
        """Return the time since the configuration was last confirmed to be the newest."""
        return now - self.confirmed_ms
