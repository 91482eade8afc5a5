"""Cache the placement adviser's answers for a step: approvals are kept, tickets expire."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.cell.wait_reasons import WaitReason

# Time for a start command to reach its worker before the ticket expires.
TICKET_MARGIN_MS = 60.0


@attrs.frozen
class Ticket:
    """Hold a ticket that expires at `expires_ms` on the owner's clock.

    The text is empty if the worker is approved but no valid ticket for it is known.
    """

    text: str
    expires_ms: float

    def is_valid_at(self, at_ms: float) -> bool:
        """Return whether a start command may be sent with this ticket at a time."""
        return bool(self.text) and self.expires_ms > at_ms


@attrs.define
class Approvals:
    """Hold the workers that the adviser approved or refused for one step."""

    tickets: dict[str, Ticket] = attrs.Factory(dict)
    refused_workers: set[str] = attrs.Factory(set)
    # No further request is composed before this time: an answer is awaited, the last one
    # failed, or there was nothing useful to ask.
    next_request_ms: float = 0.0

    def valid_ticket(self, worker_id: str, at_ms: float) -> Ticket | None:
        """Return a ticket with which a start may be sent at a time, or None."""
        ticket = self.tickets.get(worker_id)
        return ticket if ticket is not None and ticket.is_valid_at(at_ms) else None

    def is_request_blocked(self, now: float) -> bool:
        """Return whether it is too early for the next request."""
        return now < self.next_request_ms

    def record_answer(
        self, requested: Iterable[str], approved: Mapping[str, str], valid_until_ms: float
    ) -> None:
        """Store the tickets and refusals of an answer."""
        self.next_request_ms = 0.0
        expires_ms = valid_until_ms - TICKET_MARGIN_MS
        for worker_id in requested:
            if worker_id in approved:
                self.tickets[worker_id] = Ticket(approved[worker_id], expires_ms)
                self.refused_workers.discard(worker_id)
            elif worker_id in self.tickets:
                # One of the answers was about an earlier process of the worker, so ask again.
                del self.tickets[worker_id]
            else:
                self.refused_workers.add(worker_id)

    def block_requests_until(self, until_ms: float) -> None:
        """Allow no request before `until_ms`."""
        self.next_request_ms = until_ms

    def invalidate_ticket(self, worker_id: str) -> None:
        """Discard a ticket that a worker rejected; the approval is kept."""
        if worker_id in self.tickets:
            self.tickets[worker_id] = Ticket("", 0.0)

    def remove_worker(self, worker_id: str) -> None:
        """Discard the answers about a worker that has restarted."""
        self.refused_workers.discard(worker_id)
        self.tickets.pop(worker_id, None)

    def reason_without_ticket(self, at_ms: float) -> WaitReason:
        """Return why no usable worker has a ticket that is valid at a time."""
        if not self.tickets:
            return WaitReason.NOT_APPROVED if self.refused_workers else WaitReason.NO_ADVICE
        if self.count_valid_tickets(at_ms):
            return WaitReason.TICKET_WORKERS_UNUSABLE
        return WaitReason.TICKETS_EXPIRED

    def count_valid_tickets(self, at_ms: float) -> int:
        """Return the number of tickets that are valid at a time."""
        return sum(ticket.is_valid_at(at_ms) for ticket in self.tickets.values())
