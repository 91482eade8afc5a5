"""Define what operators can choose per queue, and the objectives that order waiting work."""

from __future__ import annotations

import enum
from math import inf
from typing import Protocol

import attrs

from baobabhoist.model import WorkKind

# The wait that counts as much as having exactly one's share, in seconds. A caller waits for a
# request, nobody waits for a single batch task; within one kind the order is that of arrival,
# which keeps the longest waits shortest.
TOLERANCE_S = {
    WorkKind.REQUEST: 0.1,
    WorkKind.BATCH: 10.0,
    WorkKind.GANG: 10.0,
    WorkKind.SERVICE: 10.0,
}

# Requests are a few percent of the load and somebody waits for each of them, so a team's
# requests are ordered as if it used only this part of its share.
REQUEST_SHARE = 0.25


class PreemptionAction(enum.StrEnum):
    """Name what a worker is asked to do with a task that must make room."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    NEVER = "never"


class Objective(Protocol):
    """Order the heads of the queues; the lowest rank is placed first."""

    def rank(self, share: float, waited_s: float, kind: WorkKind) -> float:
        """Return the rank of a task whose team uses `share` of what it is entitled to."""


@attrs.frozen
class ShareObjective:
    """Place the work of the team that is furthest below its share."""

    def rank(self, share: float, waited_s: float, kind: WorkKind) -> float:
        """Return the team's share, reduced for requests."""
        return share * REQUEST_SHARE if kind is WorkKind.REQUEST else share


@attrs.frozen
class WaitingTimeObjective:
    """Place the work that has waited longest in relation to what its kind tolerates.

    The rank starts at 1, the rank of a team that has exactly its share, and only falls, so
    that both objectives can order the queues of one owner.
    """

    def rank(self, share: float, waited_s: float, kind: WorkKind) -> float:
        """Return a rank that halves when the wait reaches the tolerance."""
        return 1.0 / (1.0 + waited_s / TOLERANCE_S[kind])


OBJECTIVES: dict[str, Objective] = {
    "share": ShareObjective(),
    "waiting_time": WaitingTimeObjective(),
}


@attrs.frozen
class QueuePolicy:
    """Hold the policy of one queue; times are in seconds.

    `max_queued_per_team` is how many tasks a team may have waiting in the queue at this owner.

    `reserve_after_s` bounds starvation: work that has waited longer for capacity gets a
    reservation.
    """

    objective: str = attrs.field(default="share", validator=attrs.validators.in_(OBJECTIVES))
    preemption: PreemptionAction = PreemptionAction.STOP
    reserve_after_s: float = 30.0
    max_queued_per_team: float = inf


@attrs.frozen
class TeamPolicy:
    """Hold a team's weight when everything is full and the length its queue may reach."""

    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    max_queued: int = 10_000
