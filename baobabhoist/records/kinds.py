"""Define the kinds of records and their typed bodies."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.model import Resources, WorkerSpec, WorkKind

# Requests without a key, on a queue that is open to all, run under this team.
PUBLIC_TEAM = "public"
DEFAULT_MAX_QUEUED = 1000
ALL_WORK_KINDS = tuple(WorkKind)


class RecordKind(enum.StrEnum):
    """Enumerate the kinds of records."""

    TEAM = "team"
    KEY = "key"
    QUEUE = "queue"
    POLICY = "policy"
    SHARD = "shard"


class Objective(enum.StrEnum):
    """Enumerate the scheduling objectives of a queue."""

    WAITING_TIME = "waiting_time"
    SHARE = "share"


class PreemptAction(enum.StrEnum):
    """Enumerate what happens to a preempted task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen
class Team:
    """Hold a team's fair-share weight and its upper limits in places (concurrently running tasks).

    `class_limits` further restricts single kinds of work; a kind without an entry is bounded by
    `limit` alone.
    """

    limit: int
    share: float = 1.0
    class_limits: dict[WorkKind, int] = attrs.Factory(dict)

    def limit_for(self, kind: WorkKind) -> int:
        """Return the upper limit for a kind of work, in places."""
        return min(self.limit, self.class_limits.get(kind, self.limit))


@attrs.frozen
class Key:
    """Hold the SHA-256 digest of a team's or an operator's key.

    `offline_grace_s` is how long, in seconds, a data centre that is cut off from the platform
    still accepts the key; None means without limit.
    """

    digest: str
    team: str = ""
    operator: bool = False
    withdrawn: bool = False
    offline_grace_s: float | None = None


@attrs.frozen
class Queue:
    """Hold the access rules, limits and home data centres of a queue.

    The request keys of a queue are assigned to shards in its home data centres, or in all data
    centres if none is given. `default_deadline_s` applies to work whose caller sends no deadline;
    if it is None, requests use the default of the settings and jobs a fixed default.
    """

    open_to_all: bool = False
    home_data_centres: tuple[str, ...] = ()
    kinds: tuple[WorkKind, ...] = ALL_WORK_KINDS
    default_deadline_s: float | None = None
    max_queued_per_team: int = DEFAULT_MAX_QUEUED
    policy: str = ""


@attrs.frozen
class Policy:
    """Hold the scheduling policy of the queues that name it."""

    objective: Objective = Objective.WAITING_TIME
    preemption: bool = False
    preempt_action: PreemptAction = PreemptAction.CHECKPOINT
    retries: int = 1


@attrs.frozen
class Worker:
    """Hold one worker of a shard; a worker marked `drain` gets no new tasks."""

    name: str
    host: str
    port: int
    cpu_milli: int
    memory_mb: int
    slots: int
    accelerators: int = 0
    rack: str = ""
    drain: bool = False

    def to_spec(self, shard: str) -> WorkerSpec:
        """Return the worker in the scheduler's form; the rack defaults to the shard."""
        capacity = Resources(self.cpu_milli, self.memory_mb, self.accelerators, self.slots)
        return WorkerSpec(self.name, self.host, self.port, self.rack or shard, capacity)


@attrs.frozen
class Shard:
    """Hold the fixed set of workers of a shard and the data centre they are in."""

    data_centre: str
    workers: tuple[Worker, ...] = ()


TypedRecord = Team | Key | Queue | Policy | Shard
