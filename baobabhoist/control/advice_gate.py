"""Send at most one query at a time to the adviser, which works on those of a machine in turn."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from baobabhoist.cell.model import StepKey
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import Advice, Adviser

# A query is given up if its answer comes this much later than its cost explains. Until then its
# answer counts, because the adviser may be slow or the machine suspended.
ANSWER_ALLOWANCE_S = 2.0
# Least time for which a busy gate asks its callers to wait.
MIN_BUSY_MS = 20.0


@attrs.frozen
class AdviserBusy:
    """Report that the adviser works on another query of this machine for some more ms."""

    wait_ms: float


@attrs.define
class AdviceGate:
    """Pass queries to the adviser while it has no other query of this machine."""

    adviser: Adviser
    clock: Callable[[], float] = monotonic_ms
    # When the adviser has certainly finished the last query.
    _busy_until_ms: float = 0.0
    _is_open: bool = False

    async def ask(
        self, step: StepKey, workers: Sequence[str], cost_ms: float
    ) -> Advice | AdviserBusy | None:
        """Return the approved workers, None without an answer, or AdviserBusy unasked."""
        wait_ms = self._busy_until_ms - self.clock()
        if self._is_open or wait_ms > 0.0:
            return AdviserBusy(max(MIN_BUSY_MS, wait_ms))
        self._is_open = True
        self._busy_until_ms = self.clock() + cost_ms
        advice = None
        try:
            timeout_s = cost_ms / 1000 + ANSWER_ALLOWANCE_S
            advice = await self.adviser.ask(step, workers, timeout_s)
            return advice
        finally:
            self._is_open = False
            if advice is not None:
                self._busy_until_ms = 0.0
