"""Account for how a step spent its wait: by wait reason, and by what was decided about advice."""

from __future__ import annotations

import enum
from collections import defaultdict

import attrs

from baobabhoist.cell.wait_reasons import WaitReason


class AdviceDecision(enum.StrEnum):
    """List what a round may decide about asking the adviser for a step."""

    # The queue has no advice, or is not known.
    NOT_NEEDED = "not_needed"
    # The step has a request without an answer.
    OPEN = "open"
    # There was nothing useful to ask a moment ago, or a request has failed.
    BLOCKED = "blocked"
    # Members of the gang's last run have not ended.
    RUN_ENDING = "run_ending"
    # The job earns nothing any more, and others use the slots.
    TOO_LATE = "too_late"
    # The round looked at other steps.
    NOT_CHECKED = "not_checked"
    # All slots that the step may use are taken.
    NO_SLOT = "no_slot"
    # No answer would let the step start.
    NOTHING_TO_ASK = "nothing_to_ask"
    ASKED = "asked"


@attrs.define
class WaitAccount:
    """Add up how long each reason and each decision has held; times are on the owner's clock."""

    by_reason_ms: defaultdict[WaitReason, float] = attrs.Factory(lambda: defaultdict(float))
    by_decision_ms: defaultdict[AdviceDecision, float] = attrs.Factory(lambda: defaultdict(float))
    requests: int = 0
    _reason: WaitReason | None = None
    _decision: AdviceDecision | None = None
    _since_ms: float = 0.0

    def record(
        self, reason: WaitReason | None, decision: AdviceDecision | None, now: float
    ) -> None:
        """Record what a round found, until the next one; None stands for a step that starts."""
        elapsed_ms = now - self._since_ms
        if self._reason is not None:
            self.by_reason_ms[self._reason] += elapsed_ms
        if self._decision is not None:
            self.by_decision_ms[self._decision] += elapsed_ms
        self.requests += decision is AdviceDecision.ASKED
        self._reason, self._decision, self._since_ms = reason, decision, now
