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
    refused_workers: set[str] = attrs.Factory(set)
    # While a question is open: when to give up waiting for its answer.
    next_request_ms: float = 0.0

    def valid_ticket(self, worker_id: str, now: float) -> str:
        """Return a ticket that is valid for a start sent now, or nothing."""
        held = self.tickets.get(worker_id)
        return held.text if held is not None and held.expires_ms > now else ""

    def mark_requested(self, answer_due_ms: float) -> None:
        """Note that a question is open."""
        self.next_request_ms = answer_due_ms

    def is_awaiting_answer(self, now: float) -> bool:
        """Tell whether an answer is still awaited."""
        return now < self.next_request_ms

    def record_answer(
        self, named: Iterable[str], approved: Mapping[str, str], valid_until_ms: float
    ) -> None:
        """Take an answer over."""
        self.next_request_ms = 0.0
        for worker_id in named:
            if worker_id in approved:
                expires = valid_until_ms - TICKET_MARGIN_MS
                self.tickets[worker_id] = Ticket(approved[worker_id], expires)
                self.refused_workers.discard(worker_id)
            elif worker_id not in self.tickets:
                self.refused_workers.add(worker_id)

    def retry_from(self, retry_ms: float) -> None:
        """Note that a question has no answer; the next one may go out at `retry_ms`."""
        self.next_request_ms = retry_ms

    def invalidate_ticket(self, worker_id: str) -> None:
        """Forget a ticket that a worker did not take, but not the approval."""
        if worker_id in self.tickets:
            self.tickets[worker_id] = Ticket("", 0.0)

    def remove_worker(self, worker_id: str) -> None:
        """Forget what is known of a worker, after its lifetime ended."""
        self.tickets.pop(worker_id, None)
        self.refused_workers.discard(worker_id)

    def unassessed_workers(self, workers: Iterable[str]) -> list[str]:
        """Return the workers of which nothing is known."""
        return [w for w in workers if w not in self.tickets and w not in self.refused_workers]

    def count_valid_tickets(self, now: float, until: float) -> int:
        """Return how many tickets are valid at both times."""
        return sum(1 for t in self.tickets.values() if t.expires_ms > max(now, until))
