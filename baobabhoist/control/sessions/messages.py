"""Define the messages between the owner and the instances that hold sessions with workers.

The owner assigns sessions and sends orders; a holder reports what its workers answered. Times in
fields named `owner_ms` are on the owner's clock.
"""

from __future__ import annotations

import attrs

from baobabhoist.cell.model import (
    ActiveRun,
    CommandOutcome,
    EndedRun,
    RunOutcome,
    TaskKey,
    WorkerReport,
)


@attrs.frozen
class AssignedWorker:
    """Describe a worker whose session an instance holds; `session` is a new number for each.

    `acked_end` counts for the incarnation that started at `started_unix_ms`. A suspended worker
    was silent: its lease may not be extended until the owner resumes it. `token` is the least
    fencing token of the calls to it.
    """

    session: int
    worker_id: str
    address: str
    started_unix_ms: int
    acked_end: int
    is_suspended: bool
    token: int = 0


@attrs.frozen
class SessionAssignment:
    """Tell an instance all workers whose sessions it holds now, under a fencing token.

    The assignments of an owner are numbered from 1.
    """

    token: int
    lease_ms: float
    workers: tuple[AssignedWorker, ...]
    number: int = 0


@attrs.frozen
class PermitQuery:
    """Ask the owner for the permission to act under a fencing token for some more time.

    `assignment` is the number of the last assignment that was applied, or 0 from earlier releases.
    """

    node: str
    token: int
    assignment: int = 0


@attrs.frozen
class PermitReply:
    """Permit a holder to act for `valid_ms` from when it sent its query; 0 withdraws it.

    `token` is the owner's newest fencing token.
    """

    valid_ms: float
    owner_ms: float
    token: int = 0


@attrs.frozen
class StartOrder:
    """Order the start of a run, to be sent before it expires.

    `payload` is a position in the payloads of the message.
    """

    number: int
    session: int
    task: str
    run: int
    payload: int
    checkpoint: str
    ticket: str
    expires_owner_ms: float


@attrs.frozen
class StopOrder:
    """Order the stop of a run."""

    number: int
    session: int
    task: str
    run: int


@attrs.frozen
class EndsStored:
    """Say up to which end all ends of a worker's incarnation are stored."""

    session: int
    started_unix_ms: int
    acked_end: int


@attrs.frozen
class LeaseResumed:
    """Permit to extend the lease of a worker that answers again after its `silence`-th silence."""

    session: int
    silence: int


@attrs.frozen
class SessionOrders:
    """Carry orders of the owner to one holder."""

    token: int
    payloads: tuple[str, ...] = ()
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    stored: tuple[EndsStored, ...] = ()
    resumed: tuple[LeaseResumed, ...] = ()


@attrs.frozen
class OrderResult:
    """Return the outcome of an order.

    `token` is the fencing token of the call, or 0 from earlier releases; these read `clock_ms`,
    where 0 means nothing.
    """

    number: int
    outcome: str
    clock_ms: int = 0
    token: int = 0


@attrs.frozen
class RunningTask:
    """Describe a run in progress."""

    task: str
    run: int
    checkpoint: str
    progress_percent: float


@attrs.frozen
class EndedTask:
    """Describe an ended run."""

    sequence_number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


@attrs.frozen
class HeldReport:
    """Carry a worker's report; it was requested at or after `requested_owner_ms`."""

    session: int
    clock_ms: int
    started_unix_ms: int
    requested_owner_ms: float
    lease_deadline_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    has_more_ends: bool = False


@attrs.frozen
class WorkerSilence:
    """Report that a worker does not answer; its lease is not extended until the owner resumes it.

    `silence` counts the silences of this session. `outcome` is how the last renewal failed, and
    `token` its fencing token. The deadline is on the clock of the process that started at
    `started_unix_ms`; earlier releases name none.
    """

    session: int
    silence: int
    lease_deadline_ms: int
    outcome: str
    token: int = 0
    started_unix_ms: int = 0


@attrs.frozen
class SessionEvents:
    """Carry what a holder learned from its workers."""

    node: str
    token: int
    results: tuple[OrderResult, ...] = ()
    reports: tuple[HeldReport, ...] = ()
    silences: tuple[WorkerSilence, ...] = ()


SESSION_MESSAGES = (SessionAssignment, PermitQuery, PermitReply, SessionOrders, SessionEvents)


def to_held_report(
    session: int, report: WorkerReport, requested_owner_ms: float, lease_deadline_ms: int
) -> HeldReport:
    """Return the message for a report."""
    running = (
        RunningTask(r.task.to_text(), r.run, r.checkpoint, r.progress_percent)
        for r in report.running
    )
    ended = (
        EndedTask(e.sequence_number, e.task.to_text(), e.run, e.outcome.value, e.checkpoint)
        for e in report.ended
    )
    return HeldReport(
        session,
        report.clock_ms,
        report.started_unix_ms,
        requested_owner_ms,
        lease_deadline_ms,
        tuple(running),
        tuple(ended),
        report.has_more_ends,
    )


def to_worker_report(held: HeldReport) -> WorkerReport:
    """Return the report in a message; raises ValueError if a task or an outcome is malformed."""
    running = (
        ActiveRun(parse_task(r.task), r.run, r.checkpoint, r.progress_percent)
        for r in held.running
    )
    ended = (
        EndedRun(e.sequence_number, parse_task(e.task), e.run, RunOutcome(e.outcome), e.checkpoint)
        for e in held.ended
    )
    return WorkerReport(
        held.clock_ms, held.started_unix_ms, tuple(running), tuple(ended), held.has_more_ends
    )


def parse_task(text: str) -> TaskKey:
    """Return the key of a task's name; raises ValueError if it is malformed."""
    key = TaskKey.parse(text)
    if key is None:
        raise ValueError(f"{text!r} is not the name of a task")
    return key


def parse_outcome(text: str) -> CommandOutcome:
    """Return a command's outcome, or UNKNOWN for one of a newer version."""
    try:
        return CommandOutcome(text)
    except ValueError:
        return CommandOutcome.UNKNOWN
