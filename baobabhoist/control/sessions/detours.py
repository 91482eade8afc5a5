"""Reach a worker through another instance while its own session does not.

A worker may be silent for one instance only. Its runs must not be given up, and its lease must not
expire, while another instance can speak with it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.sessions.assignment import Holder

# A worker is tried through another instance after this long without an answer.
TRY_OTHER_MS = 900.0
# A worker that answers there stays there for this long.
DETOUR_MS = 30_000.0
# After all instances have been tried in vain, the next try follows after this long.
PAUSE_MS = 4_000.0
# Instances that are tried for one silence; more would hardly differ.
MAX_TRIES = 4
# Sessions that are moved at once: a whole data centre may be silent.
MAX_MOVES = 20


@attrs.define
class Detour:
    """Track the instances through which a silent worker is tried."""

    silent_since_ms: float | None = None
    tried: list[str] = attrs.Factory(list)
    # The instance to use until `until_ms`, or None for the usual one.
    node: str | None = None
    until_ms: float = float("-inf")
    next_try_ms: float = float("-inf")


@attrs.define
class Detours:
    """Hold the detours of a cell's workers."""

    by_worker: dict[str, Detour] = attrs.Factory(dict)

    def record_silence(self, worker_id: str, now: float) -> None:
        """Record that a worker does not answer where its session is now."""
        detour = self.by_worker.setdefault(worker_id, Detour())
        if detour.silent_since_ms is None:
            detour.silent_since_ms = now

    def record_answer(self, worker_id: str) -> None:
        """Record that a worker answers."""
        detour = self.by_worker.get(worker_id)
        if detour is not None:
            detour.silent_since_ms = None
            detour.tried.clear()

    def choose(
        self,
        workers: Mapping[str, WorkerState],
        node_of: Callable[[str], str],
        holders: Sequence[Holder],
        now: float,
    ) -> dict[str, str]:
        """Return the instances that should hold sessions in place of the usual ones."""
        moves = 0
        nodes: dict[str, str] = {}
        linked = {"", *(holder.node for holder in holders)}
        for worker_id, detour in list(self.by_worker.items()):
            if worker_id not in workers:
                del self.by_worker[worker_id]
                continue
            if moves < MAX_MOVES and _is_due(detour, now):
                data_centre = workers[worker_id].info.data_centre
                _try_other(detour, node_of(worker_id), data_centre, holders, now)
                moves += 1
            if detour.node is not None and (detour.node not in linked or now >= detour.until_ms):
                detour.node = None
            if detour.node is not None:
                nodes[worker_id] = detour.node
            elif detour.silent_since_ms is None:
                del self.by_worker[worker_id]
        return nodes


def _is_due(detour: Detour, now: float) -> bool:
    since_ms = detour.silent_since_ms
    return since_ms is not None and now - since_ms >= TRY_OTHER_MS and now >= detour.next_try_ms


def _try_other(
    detour: Detour, current: str, data_centre: str, holders: Sequence[Holder], now: float
) -> None:
    """Choose the next instance: one of the worker's data centre, if possible, and a large one."""
    detour.tried.append(current)
    detour.silent_since_ms = now
    untried = [holder for holder in holders if holder.node not in detour.tried]
    if not untried or len(detour.tried) > MAX_TRIES:
        detour.tried.clear()
        detour.next_try_ms = now + PAUSE_MS
        return
    best = max(untried, key=lambda h: (h.data_centre == data_centre, h.weight, h.node))
    detour.node, detour.until_ms = best.node, now + DETOUR_MS
