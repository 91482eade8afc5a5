"""Drive the advice requests of a cell scheduler, without a network."""

from baobabhoist.cell.model import RequestAdvice
from baobabhoist.cell.policy import DEFAULT_POLICY
from baobabhoist.tests.cell_harness import CellHarness, make_rules


def make_advice_harness(worker_count, terms, slots=8, policy=DEFAULT_POLICY, **rules):
    """Return a cell whose only queue needs advice under these terms."""
    harness = CellHarness.with_workers(worker_count, make_rules(advice=terms, **rules))
    harness.cell.placer.advice.slot_count = slots
    harness.cell.state.policy = policy
    return harness


def requests_of(harness):
    """Run a round and return its advice requests by job."""
    return {c.step.job_id: c for c in harness.schedule() if isinstance(c, RequestAdvice)}


def answer(harness, request, approved, valid_ms=2_500.0):
    """Answer a request; the workers in `approved` get tickets."""
    tickets = dict.fromkeys(approved, "t")
    harness.cell.handle_advice(request.step, request.workers, tickets, harness.now + valid_ms)
