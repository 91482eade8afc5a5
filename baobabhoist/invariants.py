"""Check invariants at run time and abort a step that would violate one."""

from __future__ import annotations

import enum
import logging
from collections import Counter

from baobabhoist.errors import InvariantViolationError
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)


class Invariant(enum.IntEnum):
    """List the invariants; each value is the event number in the log."""

    CLAIM_TRANSITION = 9101
    CLAIM_TOKEN_RISES = 9102
    CLAIM_OWNED_RESOLVED = 9103
    CLAIM_FENCED_KNOWN = 9104
    KEY_KNOWN = 9201
    KEY_TRANSITION = 9202
    KEY_DISPATCHED_ONCE = 9203
    KEY_RESULT_MATCHES = 9204
    QUOTA_TASK_NEW = 9301
    QUOTA_TASK_KNOWN = 9302
    QUOTA_COUNTS = 9303
    QUOTA_WITHIN_PLACES = 9304
    QUOTA_GIVEN_FREE = 9305
    ESCROW_WITHIN_LIMIT = 9401
    SCHEDULER = 9501


breach_counts: Counter[int] = Counter()
"""Count the violations in this process by event number, for the metrics."""


def check(condition: bool, event: int, detail: str, *args: object) -> None:
    """Raise InvariantViolationError unless the condition holds; a violation is counted and logged.

    `detail` is a logging format for `args`, which is formatted only on a violation.
    """
    if condition:
        return
    breach_counts[int(event)] += 1
    message = detail % args if args else detail
    emit(log, Event.INVARIANT_BREACH, invariant=int(event), detail=message)
    raise InvariantViolationError(f"event {int(event)}: {message}")
