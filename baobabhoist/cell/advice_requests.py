"""Choose the workers that the placement adviser is asked about and when to renew tickets."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from baobabhoist.cell.approvals import START_DELAY_MS
from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, RequestAdvice, StepKey
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex

# Most workers that one advice request may name.
MAX_WORKERS_PER_REQUEST = 100
# A step whose expiring tickets may not be renewed is checked again after this time.
RENEWAL_CHECK_INTERVAL_MS = 300.0
# An advice request times out after its expected duration plus this margin.
ANSWER_TIMEOUT_MARGIN_MS = 4_000.0
# Tickets are renewed when one expires within the duration of a request plus this margin.
TICKET_RENEWAL_MARGIN_MS = START_DELAY_MS + 100.0


@attrs.define
class AdviceRequester:
    """Issue the advice requests of one cell and track those without an answer."""

    state: CellState
    # When the open request of each step times out.
    timeout_ms_by_step: dict[StepKey, float] = attrs.Factory(dict)

    @property
    def open_count(self) -> int:
        """Return how many requests have neither been answered nor timed out."""
        return len(self.timeout_ms_by_step)

    def drop_timed_out(self, now: float) -> None:
        """Stop waiting for the answers to requests that have timed out."""
        timed_out = [key for key, at_ms in self.timeout_ms_by_step.items() if at_ms <= now]
        for step_key in timed_out:
            del self.timeout_ms_by_step[step_key]

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
        timeout_ms = now + cost_ms + ANSWER_TIMEOUT_MARGIN_MS
        approvals.block_requests_until(timeout_ms)
        self.timeout_ms_by_step[step.key] = timeout_ms
        self.state.commands.append(RequestAdvice(step.key, tuple(requested), cost_ms))

    def close_request(self, step_key: StepKey) -> None:
        """Record that the request of a step was answered or has failed."""
        self.timeout_ms_by_step.pop(step_key, None)


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
