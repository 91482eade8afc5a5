"""Hold the sessions with all workers of a cell: in this process, or through other instances."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from baobabhoist.cell.model import CommandOutcome, StartTask, StopTask, WorkerReport
from baobabhoist.cell.scheduler import CellScheduler
from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import CommandResponse, WorkerDriver
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.sessions.assignment import (
    Holder,
    LinkedInstance,
    assign_workers,
    can_hold_all,
    choose_holders,
)
from baobabhoist.control.sessions.detours import Detours
from baobabhoist.control.sessions.lease_extensions import LeaseExtensions
from baobabhoist.control.sessions.messages import (
    EndsStored,
    HeldReport,
    PermitQuery,
    PermitReply,
    SessionEvents,
    WorkerSilence,
    parse_outcome,
    to_worker_report,
)
from baobabhoist.control.sessions.permits import grantable_ms
from baobabhoist.control.sessions.remote_holder import ClosedSession, RemoteHolder
from baobabhoist.control.sessions.remote_session import RemoteSession
from baobabhoist.control.sessions.worker_session import WorkerSession
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task

log = logging.getLogger(__name__)

LOCAL_NODE = ""
# Sessions that are opened in this process in one turn of the event loop.
SESSIONS_PER_TURN = 10
# The owner waits this long for instances to be linked before it holds all sessions itself.
HOLDER_WAIT_MS = 600.0
# A holder that has not asked for a permit for this long is given up.
HOLDER_SILENT_MS = 1_300.0
# It gets no sessions again for this long.
HOLDER_BACKOFF_MS = 3_000.0


class CellListener(Protocol):
    """Provide the cell, and hear that something in it has changed."""

    @property
    def cell(self) -> CellScheduler | None:
        """Return the cell, or None while it is loaded."""

    def may_renew(self) -> bool:
        """Return whether leases may be extended now."""

    def authority_ends_ms(self) -> float:
        """Return until when the owner may act if nothing confirms its claim any more."""

    def request_scheduling_round(self) -> None:
        """Request a scheduling round."""

    def request_flush(self) -> None:
        """Request that the progress is stored."""


@attrs.define
class PoolDependencies:
    """Hold the collaborators of a pool."""

    driver: WorkerDriver
    owner: CellListener
    token: int
    lease_ms: float
    # Size of this machine.
    size: MachineSize
    # Returns the instances that can hold sessions now, by node name.
    instances: Callable[[], Mapping[str, LinkedInstance]]
    silent_workers: SilentWorkers
    # Returns the newest fencing token of this owner, at least `token`.
    newest_token: Callable[[], int] = attrs.Factory(
        lambda self: lambda: self.token, takes_self=True
    )


@attrs.define(eq=False)
class LocalSession:
    """Hear what a session of this process learns; see SessionListener."""

    deps: PoolDependencies
    state: WorkerState
    detours: Detours

    @property
    def token(self) -> int:
        """Return the newest fencing token of this owner."""
        return self.deps.newest_token()

    @property
    def gets_higher_tokens(self) -> bool:
        """Return whether the token rises while the owner stays."""
        return True

    def may_renew(self) -> bool:
        """Return whether the lease may be extended now."""
        return self.deps.owner.may_renew() and not self.state.lease.is_suspended

    def handle_report(self, report: WorkerReport, sent_ms: float) -> None:
        """Apply a report to the cell."""
        if self.state.lease.is_suspended and _may_resume(self.deps, self.state.worker_id):
            self.state.lease.is_suspended = False
        self.detours.record_answer(self.state.worker_id)
        cell = self.deps.owner.cell
        if cell is not None:
            cell.handle_report(self.state.worker_id, report, sent_ms, monotonic_ms())
            _request_work(self.deps.owner, report)

    def handle_silence(self, outcome: CommandOutcome) -> None:
        """Start nothing on the worker, and nothing at all if a later owner has fenced it."""
        self.state.lease.is_suspended = True
        self.deps.silent_workers.record_silence(self.state.worker_id)
        self.detours.record_silence(self.state.worker_id, monotonic_ms())
        cell = self.deps.owner.cell
        if outcome is CommandOutcome.FENCED and cell is not None:
            cell.mark_fenced()
            self.deps.owner.request_scheduling_round()


class SessionPool:
    """Assign the sessions, pass commands to them and apply what they report."""

    def __init__(self, deps: PoolDependencies) -> None:
        self._deps = deps
        self._opened_ms = monotonic_ms()
        self._local: dict[str, WorkerSession] = {}
        # The workers whose sessions will be opened in this process, and the task that does so.
        self._to_open: dict[str, WorkerState] = {}
        self._opening: asyncio.Task[None] | None = None
        self._remote: dict[str, RemoteSession] = {}
        self._by_number: dict[int, RemoteSession] = {}
        self._holders: dict[str, RemoteHolder] = {}
        self._lost_ms: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._assignment_numbers = itertools.count(1)
        self._detours = Detours()
        self._extensions = LeaseExtensions(deps.lease_ms)
        # Workers that refuse holders of earlier releases, which don't know this owner's higher
        # tokens; this process holds the sessions with them.
        self._refusing_workers: set[str] = set()
        # The last distribution, and the workers and holders that it was made for.
        self._distribution: dict[str, str] = {}
        self._distributed_for: tuple[frozenset[str], frozenset[str]] | None = None

    def stop(self) -> None:
        """End the sessions of this process, and give no more orders to others."""
        if self._opening is not None:
            self._opening.cancel()
        for session in self._local.values():
            session.cancel()
        for holder in self._holders.values():
            holder.close()
        self._local.clear()
        self._to_open.clear()
        self._remote.clear()
        self._by_number.clear()
        self._holders.clear()

    # Assignment.

    def sync(self, workers: Mapping[str, WorkerState]) -> None:
        """Adapt the sessions to the workers of the cell and to the instances that are linked."""
        now = monotonic_ms()
        self._drop_lost_holders(now)
        self._extensions.forget_expired(now)
        reachable = {w.worker_id: w for w in workers.values() if w.info.address}
        held = (*self._local, *self._to_open, *self._remote)
        for worker_id in [worker_id for worker_id in held if worker_id not in reachable]:
            self._close(worker_id)
        for worker_id, session in self._local.items():
            session.update_info(reachable[worker_id].info)
        usable = self._usable_instances(now)
        nodes = self._choose_nodes(reachable, usable, now)
        nodes |= self._detours.choose(reachable, self._node_of, list(usable.values()), now)
        self._refusing_workers &= reachable.keys()
        nodes |= dict.fromkeys(self._refusing_workers, LOCAL_NODE)
        self._apply(reachable, nodes)

    def _usable_instances(self, now: float) -> dict[str, Holder]:
        """Return the linked instances that have not been lost lately."""
        return {
            node: instance.holder
            for node, instance in self._deps.instances().items()
            if now - self._lost_ms.get(node, float("-inf")) >= HOLDER_BACKOFF_MS
        }

    def _choose_nodes(
        self, workers: Mapping[str, WorkerState], usable: Mapping[str, Holder], now: float
    ) -> dict[str, str]:
        """Return the instance that should hold the session with each worker."""
        if can_hold_all(self._deps.size, len(workers)):
            return dict.fromkeys(workers, LOCAL_NODE)
        holders = self._choose_holders(usable, len(workers))
        if holders:
            return self._distribute(workers, holders)
        if now - self._opened_ms >= HOLDER_WAIT_MS:
            return dict.fromkeys(workers, LOCAL_NODE)
        return {}

    def _choose_holders(self, usable: Mapping[str, Holder], worker_count: int) -> list[Holder]:
        """Return the holders to use: those with sessions first, then the largest others."""
        wanted = choose_holders(usable.values(), worker_count)
        kept = [usable[node] for node in self._holders if node in usable][: len(wanted)]
        kept_nodes = {holder.node for holder in kept}
        others = [holder for holder in wanted if holder.node not in kept_nodes]
        return [*kept, *others][: len(wanted)]

    def _distribute(
        self, workers: Mapping[str, WorkerState], holders: list[Holder]
    ) -> dict[str, str]:
        key = (frozenset(workers), frozenset(holder.node for holder in holders))
        if key != self._distributed_for:
            data_centres = {worker_id: w.info.data_centre for worker_id, w in workers.items()}
            current = {worker_id: s.holder.node for worker_id, s in self._remote.items()}
            self._distribution = assign_workers(data_centres, holders, current)
            self._distributed_for = key
        return dict(self._distribution)

    def _node_of(self, worker_id: str) -> str:
        """Return the instance that holds the session with a worker now."""
        remote = self._remote.get(worker_id)
        return remote.holder.node if remote is not None else LOCAL_NODE

    def _apply(self, workers: Mapping[str, WorkerState], nodes: Mapping[str, str]) -> None:
        """Move the sessions that are not where they should be."""
        for worker_id, node in nodes.items():
            is_open = worker_id in self._remote or worker_id in self._local
            if worker_id in self._to_open and node == LOCAL_NODE:
                continue
            if is_open and self._node_of(worker_id) == node:
                continue
            self._close(worker_id)
            self._inherit_lease(workers[worker_id])
            if node == LOCAL_NODE:
                self._to_open[worker_id] = workers[worker_id]
            else:
                self._open_remote(workers[worker_id], node)
        self._send_assignments()
        if self._to_open and self._opening is None:
            self._opening = create_logged_task(self._open_in_turns())

    async def _open_in_turns(self) -> None:
        """Open sessions of this process, not all in one turn of the event loop."""
        while self._to_open:
            for worker_id in list(self._to_open)[:SESSIONS_PER_TURN]:
                self._open_local(self._to_open.pop(worker_id))
            await asyncio.sleep(0)
        self._opening = None

    def _inherit_lease(self, state: WorkerState) -> None:
        """Record in a lease what earlier sessions and earlier owners leave open."""
        self._extensions.pass_on(state)
        if self._deps.silent_workers.may_name(state.worker_id):
            state.lease.is_suspended = True

    def _open_local(self, state: WorkerState) -> None:
        listener = LocalSession(self._deps, state, self._detours)
        session = WorkerSession(
            state.info, self._deps.driver, listener, state.lease, self._deps.lease_ms
        )
        session.resume_from(state.started_unix_ms, state.last_acked_end, self._deps.newest_token())
        self._local[state.worker_id] = session
        session.start()

    def _open_remote(self, state: WorkerState, node: str) -> None:
        holder = self._holders.get(node)
        if holder is None:
            link = self._deps.instances()[node].link
            holder = RemoteHolder(
                node, link, self._deps.token, self._deps.lease_ms, self._lose_holder
            )
            self._holders[node] = holder
        if not holder.workers:
            holder.heard_ms = monotonic_ms()
        number = next(self._numbers)
        session = RemoteSession(
            number,
            state,
            holder,
            state.lease.is_suspended,
            self._deps.newest_token(),
            state.lease.extendable_until_ms,
        )
        self._remote[state.worker_id] = self._by_number[number] = session
        # The holder may have a permit already, under which it renews the lease at once.
        session.update_lease()
        holder.workers[number] = state.worker_id
        holder.needs_assignment = True

    def _close(self, worker_id: str) -> None:
        local = self._local.pop(worker_id, None)
        if local is not None:
            local.cancel()
        self._to_open.pop(worker_id, None)
        remote = self._remote.pop(worker_id, None)
        if remote is not None:
            del self._by_number[remote.number]
            self._extensions.record(worker_id, remote.state.lease.extendable_until_ms)
            remote.holder.close_session(
                remote.number, remote.state, self._deps.newest_token(), remote.is_suspended
            )

    def _send_assignments(self) -> None:
        for holder in list(self._holders.values()):
            if not holder.needs_assignment:
                continue
            holder.needs_assignment = False
            sessions = [self._by_number[number] for number in holder.workers]
            workers = tuple(session.to_assigned() for session in sessions)
            holder.assign(workers, next(self._assignment_numbers))
            emit(log, Event.SESSIONS_ASSIGNED, node=holder.node, count=len(sessions))

    # Holders.

    def _drop_lost_holders(self, now: float) -> None:
        instances = self._deps.instances()
        for node, holder in list(self._holders.items()):
            instance = instances.get(node)
            has_link = instance is not None and instance.link is holder.link
            if not has_link or (now - holder.heard_ms > HOLDER_SILENT_MS and holder.workers):
                self._lose_holder(node)

    def _lose_holder(self, node: str) -> None:
        """Give up a holder; it may still act until its permit has expired."""
        holder = self._holders.pop(node, None)
        if holder is None:
            return
        emit(log, Event.HOLDER_LOST, node=node, sessions=len(holder.workers))
        self._lost_ms[node] = monotonic_ms()
        for worker_id in list(holder.workers.values()):
            self._close(worker_id)
        self._distributed_for = None
        holder.close()

    def handle_permit_query(self, query: PermitQuery) -> PermitReply:
        """Permit a holder to act for some time, or withdraw its permit."""
        now, holder = monotonic_ms(), self._holders.get(query.node)
        if holder is None or query.token != self._deps.token or not holder.workers:
            return PermitReply(0.0, now)
        valid_ms = grantable_ms(self._deps.owner.authority_ends_ms(), now)
        holder.heard_ms = now
        holder.permitted_until_ms = max(holder.permitted_until_ms, now + valid_ms)
        for number in holder.workers:
            self._by_number[number].update_lease()
        holder.record_applied_assignment(query.assignment)
        for closed in holder.closed_sessions:
            self._count_closed_session(closed, holder.permitted_until_ms)
        tokens = (closed.token for closed in holder.closed_sessions)
        return PermitReply(valid_ms, now, min(tokens, default=self._deps.newest_token()))

    def _count_closed_session(self, closed: ClosedSession, until_ms: float) -> None:
        """Record until when the holder of a closed session may extend the worker's lease."""
        if closed.is_suspended:
            return
        worker_id, state = closed.state.worker_id, closed.state
        self._extensions.record(worker_id, until_ms)
        state.lease.extendable_until_ms = max(state.lease.extendable_until_ms, until_ms)
        remote = self._remote.get(worker_id)
        if remote is not None:
            remote.inherited_until_ms = max(remote.inherited_until_ms, until_ms)
            remote.update_lease()
        local = self._local.get(worker_id) or self._to_open.get(worker_id)
        if local is not None:
            local.lease.extendable_until_ms = max(local.lease.extendable_until_ms, until_ms)

    # Leases of silent workers; see LeaseGate.

    def may_extend_elsewhere(self, worker_id: str) -> bool:
        """Return whether another instance may extend a worker's lease without being told to."""
        remote = self._remote.get(worker_id)
        if remote is not None and not remote.is_suspended:
            return True
        return any(
            closed.state.worker_id == worker_id and not closed.is_suspended
            for holder in self._holders.values()
            for closed in holder.closed_sessions
        )

    def resume(self, worker_id: str) -> None:
        """Let the lease of a worker that has answered be extended again."""
        remote = self._remote.get(worker_id)
        if remote is not None:
            remote.is_suspended = remote.state.lease.is_suspended = False
            remote.update_lease()
            remote.holder.resume(remote.number, remote.silence)
        local = self._local.get(worker_id) or self._to_open.get(worker_id)
        if local is not None:
            local.lease.is_suspended = False

    # Commands and acknowledgements.

    async def start_task(self, command: StartTask) -> CommandOutcome:
        """Start a run through the session with its worker."""
        remote = self._remote.get(command.worker_id)
        if remote is not None:
            response = await remote.holder.start_task(remote.number, command)
            return self._outcome_of(command, remote, response, CommandOutcome.LATE)
        local = self._local.get(command.worker_id)
        if local is None:
            return CommandOutcome.LATE
        response = await local.start_task(command)
        return self._outcome_of(command, local, response, CommandOutcome.LATE)

    async def stop_task(self, command: StopTask) -> CommandOutcome:
        """Stop a run through the session with its worker."""
        remote = self._remote.get(command.worker_id)
        if remote is not None:
            response = await remote.holder.stop_task(remote.number, command)
            return self._outcome_of(command, remote, response, CommandOutcome.UNKNOWN)
        local = self._local.get(command.worker_id)
        if local is None:
            return CommandOutcome.UNKNOWN
        response = await local.stop_task(command)
        return self._outcome_of(command, local, response, CommandOutcome.UNKNOWN)

    def _outcome_of(
        self,
        command: StartTask | StopTask,
        session: RemoteSession | WorkerSession,
        response: CommandResponse,
        if_fenced_by_itself: CommandOutcome,
    ) -> CommandOutcome:
        """Return the outcome of a command, as seen by the owner.

        A refusal shows no later owner if another session with the worker, which uses a higher
        token of this owner, has begun meanwhile, or if a holder of an earlier release used a token
        below that of its session.
        """
        worker_id = command.worker_id
        is_current = session in (self._remote.get(worker_id), self._local.get(worker_id))
        is_outdated = not is_current or (
            isinstance(session, RemoteSession) and response.token < session.token
        )
        if response.outcome is CommandOutcome.FENCED and is_outdated:
            return if_fenced_by_itself
        return response.outcome

    def acknowledge(self, state: WorkerState) -> None:
        """Tell the session with a worker up to which end all ends are stored."""
        remote, local = self._remote.get(state.worker_id), self._local.get(state.worker_id)
        if remote is not None:
            stored = EndsStored(remote.number, state.started_unix_ms, state.last_acked_end)
            remote.holder.acknowledge(stored)
        elif local is not None:
            local.acknowledge(state.started_unix_ms, state.last_acked_end)

    # Events of holders.

    def handle_events(self, events: SessionEvents) -> None:
        """Apply what a holder learned from its workers."""
        holder = self._holders.get(events.node)
        if holder is None or events.token != self._deps.token:
            return
        for result in events.results:
            holder.handle_result(result)
        for report in events.reports:
            self._apply_report(holder, report)
        for silence in events.silences:
            self._apply_silence(holder, silence)

    def _find_session(self, holder: RemoteHolder, number: int) -> RemoteSession | None:
        session = self._by_number.get(number)
        return session if session is not None and session.holder is holder else None

    def _apply_report(self, holder: RemoteHolder, held: HeldReport) -> None:
        cell, session = self._deps.owner.cell, self._find_session(holder, held.session)
        if cell is None or session is None:
            return
        try:
            report = to_worker_report(held)
        except ValueError as exc:
            emit(log, Event.MESSAGE_DISCARDED, detail=exc)
            return
        self._detours.record_answer(session.state.worker_id)
        lease = session.state.lease
        cell.handle_report(
            session.state.worker_id, report, held.requested_owner_ms, monotonic_ms()
        )
        lease.deadline_ms = max(lease.deadline_ms, held.lease_deadline_ms)
        if session.is_suspended and _may_resume(self._deps, session.state.worker_id):
            self.resume(session.state.worker_id)
        _request_work(self._deps.owner, report)

    def _apply_silence(self, holder: RemoteHolder, silence: WorkerSilence) -> None:
        session = self._find_session(holder, silence.session)
        if session is None:
            return
        session.silence = silence.silence
        self._deps.silent_workers.record_silence(session.state.worker_id)
        self._detours.record_silence(session.state.worker_id, monotonic_ms())
        lease = session.state.lease
        session.is_suspended = lease.is_suspended = True
        # The reports of a message are applied first: one may be of a later process.
        if silence.started_unix_ms in (0, session.state.started_unix_ms):
            lease.deadline_ms = max(lease.deadline_ms, silence.lease_deadline_ms)
        session.update_lease()
        cell = self._deps.owner.cell
        if parse_outcome(silence.outcome) is not CommandOutcome.FENCED or cell is None:
            return
        if silence.token < session.token:
            self._refusing_workers.add(session.state.worker_id)
            return
        cell.mark_fenced()
        self._deps.owner.request_scheduling_round()


def _may_resume(deps: PoolDependencies, worker_id: str) -> bool:
    """Return whether the lease of a worker that answers may be extended; request it otherwise."""
    if deps.silent_workers.record_answer(worker_id):
        return True
    deps.owner.request_flush()
    return False


def _request_work(owner: CellListener, report: WorkerReport) -> None:
    """Request the work that a report entails."""
    owner.request_scheduling_round()
    if report.ended:
        owner.request_flush()
