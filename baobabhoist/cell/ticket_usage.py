"""Count what becomes of the adviser's tickets, by queue.

A ticket is used once it has started a task. It is spare if its step needed no further start by the
time it expired, and expired if tasks of its step still waited.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import StepKey


class TicketOutcome(enum.StrEnum):
    """List what may become of a ticket."""

    USED = "used"
    SPARE = "spare"
    EXPIRED = "expired"


@attrs.frozen
class OpenTicket:
    """Hold a ticket that has started no task yet."""

    step: StepState
    expires_ms: float


@attrs.define
class TicketUsage:
    """Count the outcomes of tickets; all times are on the owner's clock, in ms."""

    # Since the owner took over, by queue and outcome.
    totals: Counter[tuple[str, TicketOutcome]] = attrs.Factory(Counter)
    _untaken: Counter[tuple[str, TicketOutcome]] = attrs.Factory(Counter)
    _open: dict[tuple[StepKey, str], OpenTicket] = attrs.Factory(dict)

    def record_answer(self, step: StepState, worker_ids: Iterable[str], expires_ms: float) -> None:
        """Track the tickets of an answer; those that they replace are counted."""
        for worker_id in worker_ids:
            replaced = self._open.pop((step.key, worker_id), None)
            if replaced is not None:
                self._count_unused(replaced)
            self._open[step.key, worker_id] = OpenTicket(step, expires_ms)

    def record_start(self, step: StepState, worker_id: str) -> None:
        """Count the ticket with which a task is started; further starts with it don't count."""
        if self._open.pop((step.key, worker_id), None) is not None:
            self._count(step, TicketOutcome.USED)

    def settle(self, now: float) -> None:
        """Count the tickets that have expired."""
        expired = [key for key, ticket in self._open.items() if ticket.expires_ms <= now]
        for key in expired:
            self._count_unused(self._open.pop(key))

    def take_counts(self) -> Counter[tuple[str, TicketOutcome]]:
        """Return the outcomes since the last call, by queue and outcome."""
        taken, self._untaken = self._untaken, Counter()
        return taken

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the outcomes of all tickets by queue, for log lines."""
        described: dict[str, dict[str, int]] = {}
        for (queue, outcome), count in self.totals.items():
            described.setdefault(queue, {})[outcome.value] = count
        return described

    def _count_unused(self, ticket: OpenTicket) -> None:
        step = ticket.step
        is_needed = bool(step.waiting_count) and not step.job.is_final
        self._count(step, TicketOutcome.EXPIRED if is_needed else TicketOutcome.SPARE)

    def _count(self, step: StepState, outcome: TicketOutcome) -> None:
        key = (step.job.accepted.queue, outcome)
        self.totals[key] += 1
        self._untaken[key] += 1
