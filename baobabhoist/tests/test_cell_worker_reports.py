"""Test the log lines about start commands that workers reject."""

from baobabhoist.cell.model import AdviceTerms, CommandOutcome
from baobabhoist.observability.events import Event
from baobabhoist.tests.cell_harness import CellHarness, make_job, make_rules


def test_rejected_start_says_how_old_its_ticket_and_decision_are(fields_of):
    """Guard against rejected tickets that can't be told from expired ones and late commands."""
    harness = CellHarness.with_workers(1, make_rules(advice=AdviceTerms(10.0, 1.0, 2_000)))
    harness.submit(make_job())
    harness.schedule()
    request = harness.advice_requests[-1]
    harness.cell.handle_advice(request.step, request.workers, {"w0": "t"}, harness.now + 1_060.0)
    harness.delivers_commands = False
    harness.schedule()
    command = harness.undelivered.pop()
    harness.cell.handle_start_result(command, CommandOutcome.NO_TICKET, harness.now + 1_300.0)
    assert fields_of(Event.START_REFUSED)[0] == {
        "task": "0" * 16 + ".0.0.0",
        "run": 1,
        "worker": "w0",
        "reason": "no_ticket",
        "ticket_left_ms": -300,
        "decided_ms_ago": 1_300,
    }
