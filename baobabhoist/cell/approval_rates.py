"""Learn which fraction of the workers the adviser approves, for each queue."""

from __future__ import annotations

import attrs

# Before the first answers, half of the workers are assumed to be approved.
PRIOR_RATE = 0.5
PRIOR_WEIGHT = 4.0
# Older answers fade once this many verdicts have been counted.
MAX_VERDICTS = 400.0


@attrs.define
class ApprovalRate:
    """Count the verdicts of one queue."""

    asked: float = 0.0
    approved: float = 0.0

    def observe(self, asked: int, approved: int) -> None:
        """Add the verdicts of one answer."""
        self.asked += asked
        self.approved += approved
        if self.asked > MAX_VERDICTS:
            self.approved *= MAX_VERDICTS / self.asked
            self.asked = MAX_VERDICTS

    @property
    def expected(self) -> float:
        """Return the fraction of further workers that will probably be approved."""
        return (self.approved + PRIOR_RATE * PRIOR_WEIGHT) / (self.asked + PRIOR_WEIGHT)


@attrs.define
class ApprovalRates:
    """Hold the rate of each queue."""

    by_queue: dict[str, ApprovalRate] = attrs.Factory(dict)

    def observe(self, queue: str, asked: int, approved: int) -> None:
        """Add the verdicts on workers that a step of a queue had not asked about before."""
        self.by_queue.setdefault(queue, ApprovalRate()).observe(asked, approved)

    def expected(self, queue: str) -> float:
        """Return the fraction of further workers that will probably be approved for a step."""
        rate = self.by_queue.get(queue)
        return rate.expected if rate is not None else PRIOR_RATE
