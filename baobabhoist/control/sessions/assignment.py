"""Assign the sessions with workers to instances.

The owner keeps all sessions itself while its machine can carry them. Beyond that, other instances
hold them: as few as suffice, so that their messages can be batched, in proportion to the size of
their machines, and in the data centres of the workers. An assignment is kept as long as its
instance is there and carries no more than its share.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs

from baobabhoist.control.machine_size import MachineSize
from baobabhoist.peer.link import Link

# Workers that an owner can speak with itself, for each reference core of its machine.
OWN_WORKERS_PER_CORE = 64
# Workers of each holder, at least, as long as there are enough of them.
MIN_WORKERS_PER_HOLDER = 16
# A holder keeps its workers until it has this multiple of its share.
MAX_OVERLOAD = 1.5
# A holder in another data centre is preferred if it has less than this fraction of the load.
REMOTE_LOAD_FRACTION = 0.5
# Bandwidth below which a machine counts as smaller than its processor.
FULL_WEIGHT_LINK_MBPS = 10.0


@attrs.frozen
class Holder:
    """Describe an instance that could hold sessions."""

    node: str
    data_centre: str
    size: MachineSize

    @property
    def weight(self) -> float:
        """Return the relative number of workers that the instance can speak with."""
        return self.size.cores * min(1.0, self.size.link_mbps / FULL_WEIGHT_LINK_MBPS)


@attrs.frozen
class LinkedInstance:
    """Describe an instance that is linked to the owner and can hold sessions."""

    holder: Holder
    link: Link


def can_hold_all(size: MachineSize, worker_count: int) -> bool:
    """Return whether an owner of this size can speak with all workers itself."""
    return worker_count <= OWN_WORKERS_PER_CORE * size.cores


def choose_holders(holders: Iterable[Holder], worker_count: int) -> list[Holder]:
    """Return the largest instances, as many as are needed for this many workers."""
    count = math.ceil(worker_count / MIN_WORKERS_PER_HOLDER)
    usable = [holder for holder in holders if holder.weight > 0.0]
    return sorted(usable, key=lambda holder: (-holder.weight, holder.node))[:count]


def assign_workers(
    data_centres: Mapping[str, str], holders: Sequence[Holder], current: Mapping[str, str]
) -> dict[str, str]:
    """Return the holder of each worker; `data_centres` has the workers' data centres by id."""
    if not holders:
        return {}
    loads = _Loads(holders, len(data_centres))
    assigned: dict[str, str] = {}
    for worker_id in data_centres:
        node = current.get(worker_id, "")
        if loads.may_keep(node):
            assigned[worker_id] = node
            loads.add(node)
    for worker_id, data_centre in data_centres.items():
        if worker_id not in assigned:
            node = loads.least_loaded(data_centre)
            assigned[worker_id] = node
            loads.add(node)
    return assigned


class _Loads:
    """Count the workers of each holder while an assignment is made."""

    def __init__(self, holders: Sequence[Holder], worker_count: int) -> None:
        self._holders = {holder.node: holder for holder in holders}
        self._counts: Counter[str] = Counter()
        total_weight = sum(holder.weight for holder in holders)
        self._share_per_weight = worker_count / total_weight

    def add(self, node: str) -> None:
        """Count one more worker of a holder."""
        self._counts[node] += 1

    def may_keep(self, node: str) -> bool:
        """Return whether a holder may keep one more of its workers."""
        holder = self._holders.get(node)
        if holder is None:
            return False
        share = holder.weight * self._share_per_weight
        return self._counts[node] + 1 <= max(1.0, MAX_OVERLOAD * share)

    def least_loaded(self, data_centre: str) -> str:
        """Return the holder for one more worker, preferably in its data centre."""
        best = min(self._holders.values(), key=self._load_with_one_more)
        near = [h for h in self._holders.values() if h.data_centre == data_centre]
        if not near:
            return best.node
        best_near = min(near, key=self._load_with_one_more)
        is_overloaded = self._load_with_one_more(best) < (
            REMOTE_LOAD_FRACTION * self._load_with_one_more(best_near)
        )
        return best.node if is_overloaded else best_near.node

    def _load_with_one_more(self, holder: Holder) -> float:
        return (self._counts[holder.node] + 1) / holder.weight
