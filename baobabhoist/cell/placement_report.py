"""Define the results of a placement preview, which instances send to each other."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.cell.model import Resources


class SetAside(enum.StrEnum):
    """List why a worker would not be chosen, beside the conditions in which it takes no task."""

    # It has no label of the step's name.
    NO_LABEL = "no_label"
    # A task does not fit even into the empty worker.
    TOO_SMALL = "too_small"
    # A task does not fit next to the present runs.
    NO_ROOM = "no_room"
    # It is cold and a run is starting there.
    WARMING_UP = "warming_up"
    # It is kept for a gang, or for a step for which runs were stopped.
    RESERVED = "reserved"


@attrs.frozen
class SetAsideCount:
    """Count the workers that are set aside for one reason.

    The reason is a text, so that an instance of an earlier version can read later values.
    """

    reason: str
    workers: int


@attrs.frozen
class WaitingPosition:
    """Hold where a step would stand among those that wait; the first position is 1."""

    position: int
    waiting_steps: int
    tier: str
    priority: int
    # How long the job could still wait without missing its objective.
    slack_ms: float


@attrs.frozen
class TeamStanding:
    """Hold what a team has and is entitled to; the last three are None without weights."""

    used: Resources
    # A resource whose limit is 0 is not limited.
    limit: Resources
    is_beyond_entitlement: bool = False
    # How many more jobs the team may send now within its entitlement.
    entitled_jobs: float | None = None
    share_ratio: float | None = None
    past_use_s: float | None = None


@attrs.frozen
class CandidateWorker:
    """Describe a worker that could take a task now; `slowdown` is relative to the mean worker."""

    worker_id: str
    data_centre: str
    rack: str
    free: Resources
    tasks: int
    slowdown: float
    is_cold: bool


@attrs.frozen
class PlacementPreview:
    """Hold where the first ready step of a job would go now, and why.

    `wait_reason` is empty if the step would start now, else a `WaitReason`. `room_within_ms` is
    when running work is expected to have left enough room, or None if that is not known.
    """

    service: str
    step: int
    tasks: int
    position: WaitingPosition
    team: TeamStanding
    candidate_count: int
    # The best candidates, in the order in which they would be chosen.
    candidates: tuple[CandidateWorker, ...]
    # The most frequent reason first.
    set_aside: tuple[SetAsideCount, ...]
    # The adviser must approve a worker first; which ones it would approve is not known.
    needs_ticket: bool
    wait_reason: str = ""
    room_within_ms: float | None = None
