"""Choose the workers that the placement adviser is asked about and when to renew tickets."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, RequestAdvice
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex

# Most workers that one advice request may name.
MAX_WORKERS_PER_REQUEST = 100
# A step whose expiring tickets may not be renewed is checked again after this time.
RENEWAL_CHECK_INTERVAL_MS = 300.0
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
        self,
        step: StepState,
        worker_index: WorkerIndex,
        max_open: int,
        may_renew: Callable[[], bool],
        now: float,
    ) -> None:
        """Request the advice that a waiting step needs, with at most `max_open` requests open.

        `may_renew` is called only if tickets of the step are about to expire.
        """
        queue, approvals = self.state.queue_of(step.job), step.approvals
        if queue is None or queue.advice is None or approvals.is_request_blocked(now):
            return
        if self.open_count >= max_open or (
            step.spec.gang and step.waiting_count < step.unfinished_count
        ):
            return
        service = self.state.service_of(step.job)
        capable_ids = worker_index.capable_worker_ids(
            service, step.spec.label, step.spec.allocation
        )
        requested = approvals.unassessed_workers(capable_ids)[:MAX_WORKERS_PER_REQUEST]
        expiring = _find_expiring(step, len(requested), capable_ids, queue.advice, now)
        if expiring and may_renew():
            # All are renewed together, so that their tickets keep a common expiry.
            requested = [*requested, *expiring][:MAX_WORKERS_PER_REQUEST]
        elif expiring and not requested:
            approvals.block_requests_until(now + RENEWAL_CHECK_INTERVAL_MS)
        if not requested:
            return
        cost_ms = queue.advice.cost_ms(len(requested))
        approvals.mark_requested(now + cost_ms + ANSWER_TIMEOUT_MARGIN_MS)
        self.open_count += 1
        self.state.commands.append(RequestAdvice(step.key, tuple(requested), cost_ms))

    def close_request(self) -> None:
        """Record that a request was answered or has failed."""
        self.open_count -= 1


def _find_expiring(
    step: StepState,
    unassessed_count: int,
    capable_ids: list[str],
    terms: AdviceTerms,
    now: float,
) -> list[str]:
    """Return all approved workers if the first of their tickets is about to expire."""
    approvals = step.approvals
    renewed_count = min(len(approvals.tickets), MAX_WORKERS_PER_REQUEST)
    lead_ms = terms.cost_ms(renewed_count) + TICKET_RENEWAL_MARGIN_MS
    if unassessed_count:
        # The renewal would have to wait for the answer about these workers.
        lead_ms += terms.cost_ms(unassessed_count)
    if approvals.first_expiry_ms > now + lead_ms:
        return []
    approved = approvals.approved_workers(capable_ids)
    if not approved or approvals.tickets[approved[0]].expires_ms > now + lead_ms:
        return []
    return approved
