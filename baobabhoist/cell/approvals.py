"""Keep what the placement adviser said of a step: approvals last, tickets run out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

# Time for a start to reach its worker before the ticket runs out.
TICKET_MARGIN_MS = 60.0


@attrs.frozen
class Ticket:
    """Hold a ticket; it is not valid from `expires_ms` on, on the owner's clock."""

    text: str
    expires_ms: float


@attrs.define
class Approvals:
    """Hold the approved and refused workers of one step."""

    tickets: dict[str, Ticket] = attrs.Factory(dict)
    refused: set[str] = attrs.Factory(set)
    # While a question is open: when to give up waiting for its answer.
    answer_due_ms: float = 0.0

    def ticket(self, worker_id: str, now: float) -> str:
        """Return a ticket that is valid for a start sent now, or nothing."""
        held = self.tickets.get(worker_id)
        return held.text if held is not None and held.expires_ms > now else ""

    def asked(self, answer_due_ms: float) -> None:
        """Note that a question is open."""
        self.answer_due_ms = answer_due_ms

    def waits(self, now: float) -> bool:
        """Tell whether an answer is still awaited."""
        return now < self.answer_due_ms

    def answered(
        self, named: Iterable[str], approved: Mapping[str, str], valid_until_ms: float
    ) -> None:
        """Take an answer over."""
        self.answer_due_ms = 0.0
        for worker_id in named:
            if worker_id in approved:
                expires = valid_until_ms - TICKET_MARGIN_MS
                self.tickets[worker_id] = Ticket(approved[worker_id], expires)
                self.refused.discard(worker_id)
            elif worker_id not in self.tickets:
                self.refused.add(worker_id)

    def failed(self, retry_ms: float) -> None:
        """Note that a question has no answer; the next one may go out at `retry_ms`."""
        self.answer_due_ms = retry_ms

    def drop(self, worker_id: str) -> None:
        """Forget a ticket that a worker did not take, but not the approval."""
        if worker_id in self.tickets:
            self.tickets[worker_id] = Ticket("", 0.0)

    def forget(self, worker_id: str) -> None:
        """Forget what is known of a worker, after its lifetime ended."""
        self.tickets.pop(worker_id, None)
        self.refused.discard(worker_id)

    def unasked(self, workers: Iterable[str]) -> list[str]:
        """Return the workers of which nothing is known."""
        return [w for w in workers if w not in self.tickets and w not in self.refused]

    def valid(self, now: float, until: float) -> int:
        """Return how many tickets are valid at both times."""
        return sum(1 for t in self.tickets.values() if t.expires_ms > max(now, until))
