"""Work that waits for a pool, and how long the pool needs for the part before a new job."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import attrs

from baobabhoist.cell.expected_waits import BEGIN_WAIT_MS, Shortage
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.waiting_rank import WaitingRank

# A team or a service.
PoolKey = tuple[Shortage, str]


class GroupKey(NamedTuple):
    """Name what holds a group of work back: the limit of a team, or the workers with a label."""

    team: str = ""
    service: str = ""
    label: str = ""


WHOLE_POOL = GroupKey()


@attrs.define
class WaitingGroup:
    """Collect work that can use only `limit` of a pool at a time, or all of it if that is None."""

    limit: Resources | None = None
    work: dict[WaitingRank, Resources] = attrs.Factory(dict)

    def add(self, rank: WaitingRank, work: Resources) -> None:
        """Add waiting work."""
        self.work[rank] = self.work.get(rank, NO_RESOURCES).plus(work)

    def work_ahead(self, rank: WaitingRank) -> Resources:
        """Return the work that is served before a new job of this rank."""
        return _sum(work for other, work in self.work.items() if other.precedes(rank))

    def least_ms(self, work: Resources) -> float:
        """Return the shortest time in which the limit allows some work."""
        return _largest_ratio(work, self.limit) if self.limit is not None else 0.0


class GroupTime(NamedTuple):
    """Hold how long a group takes at least, by its limit, and alone in the whole pool, in ms."""

    least_ms: float
    alone_ms: float


@attrs.define
class PoolLoad:
    """Collect the work that waits for a pool; work is an amount of each resource times ms."""

    capacity: Resources
    used: Resources = NO_RESOURCES
    # Work waits for the pool itself, not for something else.
    has_shortage: bool = False
    groups: dict[GroupKey, WaitingGroup] = attrs.Factory(dict)

    @property
    def used_part(self) -> float:
        """Return the used part of the resource that is used most."""
        return _largest_ratio(self.used, self.capacity)

    def group(self, key: GroupKey, limit: Resources | None) -> WaitingGroup:
        """Return the group of this key."""
        return self.groups.setdefault(key, WaitingGroup(limit))

    def merge_short_groups(self) -> None:
        """Merge the groups whose limits hold no work back for long into the one without limit."""
        for key, group in list(self.groups.items()):
            total = _sum(group.work.values())
            if group.limit is None or _largest_ratio(total, group.limit) >= BEGIN_WAIT_MS:
                continue
            del self.groups[key]
            for rank, work in group.work.items():
                self.group(WHOLE_POOL, None).add(rank, work)

    def wait_ms(self, rank: WaitingRank, used_part: float) -> float:
        """Return how long the work takes that is served before a new job of this rank."""
        return self._wait_for(self._work_ahead(rank), used_part)

    def scarcest_resource(self, rank: WaitingRank) -> str:
        """Return the resource for which a new job of this rank waits longest."""
        ratios = _ratios(_sum(work for _, work in self._work_ahead(rank)), self.capacity)
        return max(ratios, key=ratios.__getitem__, default="")

    def _work_ahead(self, rank: WaitingRank) -> list[tuple[WaitingGroup, Resources]]:
        return [(group, group.work_ahead(rank)) for group in self.groups.values()]

    def _wait_for(self, ahead: list[tuple[WaitingGroup, Resources]], used_part: float) -> float:
        """Return the shortest time that is enough for the work that can be done within it."""
        times_by_resource: dict[str, list[GroupTime]] = {}
        for group, work in ahead:
            least_ms = group.least_ms(work)
            for name, alone_ms in _ratios(work, self.capacity).items():
                times = times_by_resource.setdefault(name, [])
                times.append(GroupTime(least_ms, alone_ms / used_part))
        return max(map(_shortest_ms, times_by_resource.values()), default=0.0)


def _sum(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total


def _shortest_ms(times: list[GroupTime]) -> float:
    """Return the shortest time T that is enough for what all groups can do within T.

    A group does all of its work if it takes at most T, otherwise the part that T allows.
    """
    whole_ms = sum(time.alone_ms for time in times)
    shortest_ms, held_back_part = whole_ms, 0.0
    for time in sorted(times, reverse=True):
        if time.least_ms <= shortest_ms:
            break
        whole_ms -= time.alone_ms
        held_back_part += time.alone_ms / time.least_ms
        if held_back_part >= 1.0:
            break
        shortest_ms = max(0.0, whole_ms) / (1.0 - held_back_part)
    return shortest_ms


def _largest_ratio(amount: Resources, capacity: Resources) -> float:
    return max(_ratios(amount, capacity).values(), default=0.0)


def _ratios(amount: Resources, capacity: Resources) -> dict[str, float]:
    """Return the ratio of each resource; one without capacity does not count."""
    amounts, capacities = amount.by_name(), capacity.by_name()
    return {name: amounts[name] / whole for name, whole in capacities.items() if whole > 0}
