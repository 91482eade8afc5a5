"""Account for the memory of request bodies that are incomplete or not served yet."""

from __future__ import annotations

from typing import Protocol

import attrs


class BodyOwner(Protocol):
    """Receive the body of one request."""

    def give_up(self) -> None:
        """Refuse the request, because its body stalled and its memory was given to another."""


@attrs.define(eq=False, slots=True)
class Body:
    """Hold what the body of one request occupies."""

    owner: BodyOwner
    size: int = 0
    is_large: bool = False
    progressed_s: float = 0.0


@attrs.frozen
class Charge:
    """Hold whether a piece of a body may be kept, and the bodies that were given up for it."""

    granted: bool
    given_up: tuple[Body, ...] = ()


GRANTED = Charge(True)


class BodyMemory:
    """Bound the sum of all bodies of a process; times are in seconds on any steady clock.

    Large bodies leave a reserve to the small ones. A body that has stalled is given up when its
    memory is needed, the one that stalled longest first. A complete body is never given up.
    """

    def __init__(
        self, limit_bytes: int, small_reserve_bytes: int, small_body_bytes: int, min_stall_s: float
    ) -> None:
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = limit_bytes - small_reserve_bytes
        self.small_body_bytes = small_body_bytes
        self.min_stall_s = min_stall_s
        self.used_bytes = 0
        self.large_bytes = 0
        # Incomplete bodies, the one whose last piece arrived first in front.
        self._small: dict[Body, None] = {}
        self._large: dict[Body, None] = {}

    def charge(self, body: Body, size: int, now_s: float) -> Charge:
        """Account for another piece of an incomplete body; not granted if there is no room."""
        self._stop_waiting(body)
        is_large = body.size + size > self.small_body_bytes
        given_up: tuple[Body, ...] = ()
        if not self._fits(body, size, is_large):
            given_up = self._make_room(body, size, is_large, now_s)
            if not self._fits(body, size, is_large):
                self.release(body)
                return Charge(False, given_up)
        if is_large:
            self.large_bytes += size if body.is_large else body.size + size
            body.is_large = True
        self.used_bytes += size
        body.size += size
        body.progressed_s = now_s
        (self._large if is_large else self._small)[body] = None
        return Charge(True, given_up) if given_up else GRANTED

    def hold(self, size: int) -> bool:
        """Account for a small body that arrived in one piece; return whether there is room."""
        if size > self.small_body_bytes or self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def drop(self, size: int) -> None:
        """Give the memory of a body back that was held in one piece."""
        self.used_bytes -= size

    def complete(self, body: Body) -> None:
        """Keep a complete body until it is released."""
        self._stop_waiting(body)

    def release(self, body: Body) -> None:
        """Give the memory of a body back; a second release has no effect."""
        self._stop_waiting(body)
        self.used_bytes -= body.size
        if body.is_large:
            self.large_bytes -= body.size
        body.size = 0
        body.is_large = False

    def _fits(self, body: Body, size: int, is_large: bool) -> bool:
        if self.used_bytes + size > self.limit_bytes:
            return False
        added = size if body.is_large else body.size + size
        return not is_large or self.large_bytes + added <= self.large_limit_bytes

    def _make_room(self, body: Body, size: int, is_large: bool, now_s: float) -> tuple[Body, ...]:
        """Give up stalled bodies until a piece fits or none is left."""
        given_up: list[Body] = []
        while not self._fits(body, size, is_large):
            stalled = self._find_stalled(is_large, now_s)
            if stalled is None:
                break
            self.release(stalled)
            given_up.append(stalled)
        return tuple(given_up)

    def _find_stalled(self, for_large: bool, now_s: float) -> Body | None:
        """Return the body that has stalled longest; a large one frees the most."""
        waiting = (self._large,) if for_large else (self._large, self._small)
        for bodies in waiting:
            oldest = next(iter(bodies), None)
            if oldest is not None and now_s - oldest.progressed_s >= self.min_stall_s:
                return oldest
        return None

    def _stop_waiting(self, body: Body) -> None:
        (self._large if body.is_large else self._small).pop(body, None)
