"""Define the policies that operators set per queue, and the objectives that rank waiting work."""

from __future__ import annotations

import enum
from math import inf
from typing import Protocol

import attrs

from baobabhoist.model import WorkKind

# Wait in seconds at which the rank of the waiting-time objective halves. It is short for requests,
# because a caller waits for each of them and nobody waits for a single batch task. Within one kind
# the order is that of arrival, which minimizes the longest wait.
WAIT_TOLERANCE_S = {
    WorkKind.REQUEST: 0.1,
    WorkKind.BATCH: 10.0,
    WorkKind.GANG: 10.0,
    WorkKind.SERVICE: 10.0,
}

# Requests are a few percent of the load and a caller waits for each of them, so a team's requests
# are ranked as if the team used only this fraction of what it uses.
REQUEST_SHARE_FACTOR = 0.25


class PreemptionAction(enum.StrEnum):
    """Define what a worker is asked to do with a preempted task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    NEVER = "never"


class Objective(Protocol):
    """Rank the heads of the queues; the lowest rank is placed first."""

    def rank(self, entitlement_ratio: float, waited_s: float, kind: WorkKind) -> float:
        """Return the rank of a task whose team uses this ratio of its entitlement."""


@attrs.frozen
class ShareObjective:
    """Rank work by how far its team is below its share."""

    def rank(self, entitlement_ratio: float, waited_s: float, kind: WorkKind) -> float:
        """Return the team's ratio of use to entitlement, reduced for requests."""
        return (
            entitlement_ratio * REQUEST_SHARE_FACTOR
            if kind is WorkKind.REQUEST
            else entitlement_ratio
        )


@attrs.frozen
class WaitingTimeObjective:
    """Rank work by how long it has waited, relative to the tolerance of its kind.

    The rank starts at 1, the rank of a team that has exactly its share, and only falls, so
    that both objectives can order the queues of one owner.
    """

    def rank(self, entitlement_ratio: float, waited_s: float, kind: WorkKind) -> float:
        """Return a rank that halves when the wait reaches the tolerance."""
        return 1.0 / (1.0 + waited_s / WAIT_TOLERANCE_S[kind])


OBJECTIVES: dict[str, Objective] = {
    "share": ShareObjective(),
    "waiting_time": WaitingTimeObjective(),
}


@attrs.frozen
class QueuePolicy:
    """Define the policy of one queue.

    `max_queued_per_team` is how many tasks a team may have waiting in the queue in this shard.

    `reserve_after_s` bounds starvation: work that has waited longer for capacity gets a
    reservation.
    """

    objective: str = attrs.field(default="share", validator=attrs.validators.in_(OBJECTIVES))
    preemption: PreemptionAction = PreemptionAction.STOP
    reserve_after_s: float = 30.0
    max_queued_per_team: float = inf


@attrs.frozen
class TeamPolicy:
    """Define a team's weight under contention and the maximum length of its queue."""

    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    max_queued: int = 10_000
