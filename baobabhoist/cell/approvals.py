"""Cache the placement adviser's answers for a step: approvals are kept, tickets expire."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.cell.wait_reasons import WaitReason

# Time for a start command to reach its worker before the ticket expires.
TICKET_MARGIN_MS = 60.0
# Time from the decision to start a task until its run is stored and the command is sent.
START_DELAY_MS = 100.0


@attrs.frozen
class Ticket:
    """Hold a ticket that expires at `expires_ms` on the owner's clock.

    The text is empty if the worker is approved but no valid ticket for it is known.
    """

    text: str
    expires_ms: float

    def is_valid(self, now: float) -> bool:
        """Return whether a start that is decided now can be sent before the expiry."""
        return bool(self.text) and self.expires_ms > now + START_DELAY_MS


@attrs.define
class Approvals:
    """Hold the workers that the adviser approved or refused for one step."""

    tickets: dict[str, Ticket] = attrs.Factory(dict)
    refused_workers: set[str] = attrs.Factory(set)
    # No further request is sent before this time: an answer is awaited, the last one
    # failed, or the step had no room.
    next_request_ms: float = 0.0
    # When the first ticket expires; infinity without an approved worker.
    first_expiry_ms: float = float("inf")

    def valid_ticket(self, worker_id: str, now: float) -> Ticket | None:
        """Return a ticket that is valid for a start decided now, or None."""
        ticket = self.tickets.get(worker_id)
        return ticket if ticket is not None and ticket.is_valid(now) else None

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
                # Ask again with the next renewal of the other tickets, not at once.
                self.tickets[worker_id] = Ticket("", expires_ms)
            else:
                self.refused_workers.add(worker_id)
        self._update_first_expiry()

    def block_requests_until(self, until_ms: float) -> None:
        """Allow no request before `until_ms`."""
        self.next_request_ms = until_ms

    def invalidate_ticket(self, worker_id: str) -> None:
        """Discard a ticket that a worker rejected; the approval is kept."""
        if worker_id in self.tickets:
            self.tickets[worker_id] = Ticket("", 0.0)
            self._update_first_expiry()

    def remove_worker(self, worker_id: str) -> None:
        """Discard the answers about a worker that has restarted."""
        self.refused_workers.discard(worker_id)
        if self.tickets.pop(worker_id, None) is not None:
            self._update_first_expiry()

    def unassessed_workers(self, workers: Iterable[str]) -> list[str]:
        """Return the workers that the adviser has neither approved nor refused."""
        return [w for w in workers if w not in self.tickets and w not in self.refused_workers]

    def reason_without_ticket(self, now: float) -> WaitReason:
        """Return why no usable worker has a valid ticket."""
        if not self.tickets:
            return WaitReason.NOT_APPROVED if self.refused_workers else WaitReason.NO_ADVICE
        if self.count_valid_tickets(now):
            return WaitReason.TICKET_WORKERS_UNUSABLE
        return WaitReason.TICKETS_EXPIRED

    def count_valid_tickets(self, now: float) -> int:
        """Return the number of valid tickets."""
        return sum(ticket.is_valid(now) for ticket in self.tickets.values())

    def approved_workers(self, workers: Iterable[str]) -> list[str]:
        """Return the approved ones of these workers, by ascending expiry of their tickets."""
        approved = [w for w in workers if w in self.tickets]
        approved.sort(key=lambda w: self.tickets[w].expires_ms)
        return approved

    def _update_first_expiry(self) -> None:
        expiries = (ticket.expires_ms for ticket in self.tickets.values())
        self.first_expiry_ms = min(expiries, default=float("inf"))
