"""Choose the workers that the placement adviser is asked about and when to renew tickets."""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, RequestAdvice
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex

# Most workers that one advice request may name.
MAX_WORKERS_PER_REQUEST = 100
# Tickets are renewed only for this many steps at the head of the ranking.
MAX_RENEWING_STEPS = 16
# An advice request times out after its expected duration plus this margin.
ANSWER_TIMEOUT_MARGIN_MS = 4_000.0
# Tickets are renewed when one expires within the duration of a request plus this margin.
TICKET_RENEWAL_MARGIN_MS = 100.0


@attrs.define
class AdviceRequester:
    """Issue the advice requests of one cell and count those without an answer."""

    state: CellState
    open_count: int = 0

    def request(
        self, step: StepState, position: int, worker_index: WorkerIndex, max_open: int, now: float
    ) -> None:
        """Request the advice that a waiting step needs; `position` is its place in the ranking."""
        queue = self.state.queue_of(step.job)
        if queue is None or queue.advice is None or step.approvals.is_request_blocked(now):
            return
        if self.open_count >= max_open or (
            step.spec.gang and step.waiting_count < step.unfinished_count
        ):
            return
        service = self.state.service_of(step.job)
        capable_ids = worker_index.capable_worker_ids(
            service, step.spec.label, step.spec.allocation
        )
        requested = step.approvals.unassessed_workers(capable_ids)[:MAX_WORKERS_PER_REQUEST]
        if position < MAX_RENEWING_STEPS:
            requested = _add_renewals(step, requested, capable_ids, queue.advice, now)
        if not requested:
            return
        cost_ms = queue.advice.cost_ms(len(requested))
        step.approvals.mark_requested(now + cost_ms + ANSWER_TIMEOUT_MARGIN_MS)
        self.open_count += 1
        self.state.commands.append(RequestAdvice(step.key, tuple(requested), cost_ms))

    def close_request(self) -> None:
        """Record that a request was answered or has failed."""
        self.open_count -= 1


def _add_renewals(
    step: StepState,
    unassessed: list[str],
    capable_ids: list[str],
    terms: AdviceTerms,
    now: float,
) -> list[str]:
    """Add the approved workers to a request if the first of their tickets is about to expire.

    All are renewed together, so that their tickets keep a common expiry.
    """
    approvals = step.approvals
    renewed_count = min(len(approvals.tickets), MAX_WORKERS_PER_REQUEST)
    lead_ms = terms.cost_ms(renewed_count) + TICKET_RENEWAL_MARGIN_MS
    if unassessed:
        # The renewal would have to wait for the answer about these workers.
        lead_ms += terms.cost_ms(len(unassessed))
    if approvals.first_expiry_ms() > now + lead_ms:
        return unassessed
    approved = approvals.approved_workers(capable_ids)
    if not approved or approvals.tickets[approved[0]].expires_ms > now + lead_ms:
        return unassessed
    return [*unassessed, *approved][:MAX_WORKERS_PER_REQUEST]
