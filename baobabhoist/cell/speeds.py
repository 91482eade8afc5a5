"""Learn how fast workers are from tasks of one step that ran on several of them."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

LEARNING_RATE = 0.25
# Bounds of one observation, so that one odd run does not spoil a worker's figure.
LOWEST, HIGHEST = -2.5, 2.5


@attrs.define
class Speeds:
    """Hold the logarithm of each worker's slowness; 0 is the mean worker."""

    slowness: dict[str, float] = attrs.Factory(dict)
    by_kind: dict[str, float] = attrs.Factory(dict)

    def factor(self, worker_id: str, kind: str = "") -> float:
        """Return how many times longer than the mean a task takes on a worker."""
        known = self.slowness.get(worker_id)
        return math.exp(known if known is not None else self.by_kind.get(kind, 0.0))

    def observe(self, times: Iterable[tuple[str, str, float]]) -> None:
        """Learn from the worker, kind and time of equal tasks, at least two of them."""
        logs = [(w, k, math.log(max(1.0, ms))) for w, k, ms in times]
        if len(logs) < 2:
            return
        base = sum(ms - self._of(w, k) for w, k, ms in logs) / len(logs)
        for worker_id, kind, ms in logs:
            seen = min(HIGHEST, max(LOWEST, ms - base))
            before = self._of(worker_id, kind)
            self.slowness[worker_id] = before + LEARNING_RATE * (seen - before)
            old = self.by_kind.get(kind, 0.0)
            self.by_kind[kind] = old + 0.1 * LEARNING_RATE * (seen - old)

    def _of(self, worker_id: str, kind: str) -> float:
        known = self.slowness.get(worker_id)
        return known if known is not None else self.by_kind.get(kind, 0.0)
