"""Rank waiting steps for a full cell: what can still be in time and is entitled comes first."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterable
from typing import NamedTuple

from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import Queue
from baobabhoist.cell.share_rounds import ShareRound

# Before that of all queues.
FIRST_PRIORITY = -1


class Timeliness(enum.IntEnum):
    """List how much of its value a job can still earn: all, part or none."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class Tier(enum.IntEnum):
    """List the classes of waiting work that are served one after another."""

    ON_TIME = 0
    LATE = 1
    # Sent beyond the entitlement of the team.
    ON_TIME_BEYOND = 2
    LATE_BEYOND = 3
    EXPIRED = 4


_TIERS = {
    (Timeliness.ON_TIME, False): Tier.ON_TIME,
    (Timeliness.LATE, False): Tier.LATE,
    (Timeliness.ON_TIME, True): Tier.ON_TIME_BEYOND,
    (Timeliness.LATE, True): Tier.LATE_BEYOND,
    (Timeliness.EXPIRED, False): Tier.EXPIRED,
    (Timeliness.EXPIRED, True): Tier.EXPIRED,
}


class Rank(NamedTuple):
    """Hold the sort key of a waiting step; the lowest comes first."""

    tier: Tier
    priority: int
    slack_ms: float
    accepted_ms: float


class RankedStep(NamedTuple):
    """Hold a waiting step and its rank; `number`, which differs, decides between equal ranks."""

    rank: Rank
    number: int
    step: StepState


def timeliness_of(job: JobState, now: float) -> Timeliness:
    """Return how timely a job would end if the rest of it started now."""
    done_ms = now + job.remaining_critical_path_ms()
    if done_ms <= job.objective_ms:
        return Timeliness.ON_TIME
    return Timeliness.LATE if done_ms <= job.late_limit_ms else Timeliness.EXPIRED


def rank_step(step: StepState, queue: Queue | None, is_beyond: bool, now: float) -> Rank:
    """Return the rank of a waiting step; tasks that last come first, as they earn all the time."""
    job = step.job
    if step.spec.lasting:
        return Rank(Tier.ON_TIME, FIRST_PRIORITY, 0.0, job.accepted_local_ms)
    priority = queue.priority if queue is not None else 0
    # How long the job can still wait without missing its objective.
    slack_ms = job.objective_ms - now - job.remaining_critical_path_ms()
    tier = _TIERS[timeliness_of(job, now), is_beyond]
    return Rank(tier, priority, slack_ms, job.accepted_local_ms)


def sort_by_rank(ranked: Iterable[RankedStep], shares: ShareRound | None) -> list[StepState]:
    """Return the steps by rank.

    With `shares`, steps of one tier and priority are sorted by the standing of their teams first.
    """
    in_order = sorted(ranked)
    if shares is not None:
        groups = itertools.groupby(in_order, key=lambda entry: entry.rank[:2])
        in_order = [entry for _, group in groups for entry in _sort_by_standing(group, shares)]
    return [entry.step for entry in in_order]


def _sort_by_standing(group: Iterable[RankedStep], shares: ShareRound) -> list[RankedStep]:
    """Return steps of one tier and priority by standing, those of equal standing as they were."""
    entries = list(group)
    standings = [shares.rank_next(entry.step) for entry in entries]
    if entries[0].rank.priority == FIRST_PRIORITY or not any(standings):
        return entries
    numbers = sorted(range(len(entries)), key=standings.__getitem__)
    return [entries[number] for number in numbers]
