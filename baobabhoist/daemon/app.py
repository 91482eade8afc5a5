"""Assemble the components of the daemon."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from tornado.httpserver import HTTPServer

from baobabhoist.config.settings import Settings, TlsSettings
from baobabhoist.daemon.digests import build_digest
from baobabhoist.daemon.dispatch import LeaseSettings
from baobabhoist.daemon.escrow import EscrowManager
from baobabhoist.daemon.jobs import JobManager
from baobabhoist.daemon.owners import ACTIVE_STATES, LocalInstance, OwnershipManager
from baobabhoist.daemon.policies import (
    FleetSlots,
    class_limits,
    queue_policies,
    team_policies,
    usage_elsewhere,
)
from baobabhoist.daemon.record_sync import RecordSync
from baobabhoist.daemon.routing import RequestRouter
from baobabhoist.daemon.shard_jobs import ShardJobs
from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.daemon.shutdown import Drain
from baobabhoist.daemon.telemetry import GaugeUpdater, MetricsObserver
from baobabhoist.errors import MessageNotSentError
from baobabhoist.gateway.admin import make_admin_app
from baobabhoist.gateway.admin_handler import AdminOptions
from baobabhoist.gateway.caller_handler import CallerOptions
from baobabhoist.gateway.callers import make_caller_app
from baobabhoist.gateway.drain import OpenRequests
from baobabhoist.gateway.early_checks import AdminEarlyCheck, CallerEarlyCheck
from baobabhoist.gateway.server import HttpLimits, make_http_server, make_intake
from baobabhoist.gateway.tls import ReloadingTlsContext, TlsFiles
from baobabhoist.jobs.messages import JOB_MESSAGES
from baobabhoist.model import Request, WorkerSpec
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.metrics import Metrics
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.ownership.events import ClaimState, ClaimTiming
from baobabhoist.ownership.request_keys import Result
from baobabhoist.peer.admission import LinkLimits
from baobabhoist.peer.mesh import Mesh, PeerAddress
from baobabhoist.peer.messages import (
    Ack,
    HandOver,
    Heartbeat,
    PlaceTransferRequest,
    RecordEntries,
    RecordEntriesRequest,
    RecordSnapshot,
    RelayRequest,
    ShardDigest,
)
from baobabhoist.peer.tls import PeerTls
from baobabhoist.records.changes import LOG_HEAD_KEY
from baobabhoist.records.kinds import Policy
from baobabhoist.records.view import RecordView
from baobabhoist.store.membership import MembershipList
from baobabhoist.store.table import CommitNotifyingTable, Table
from baobabhoist.store.table_client import PlatformTableClient

log = logging.getLogger(__name__)

TLS_CHECK_INTERVAL_S = 2.0
USAGE_INTERVAL_S = 0.5
# Members of this kind with a port are daemon instances, even if the settings do not list them.
ENTRY_MEMBER_KIND = "entry"
RECORD_MESSAGES = (RecordEntriesRequest, RecordEntries, RecordSnapshot)


class ShardRecords:
    """Look up shards in the records."""

    def __init__(self, view: RecordView) -> None:
        self._view = view

    def names(self) -> list[str]:
        """Return the names of all shards."""
        return sorted(self._view.shards())

    def data_centre_of(self, shard: str) -> str:
        """Return the data centre of a shard."""
        record = self._view.shard(shard)
        return record.data_centre if record is not None else ""

    def workers_of(self, shard: str) -> list[WorkerSpec]:
        """Return the workers of a shard."""
        return self._view.workers_in_shard(shard)


def _listener_tls(cfg: TlsSettings | None) -> ReloadingTlsContext | None:
    return ReloadingTlsContext.load(TlsFiles(cfg.certificate, cfg.key, cfg.ca)) if cfg else None


class Daemon:
    """Run the components of one instance."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        platform = PlatformTableClient(cfg.platform_url)
        self.table: Table = CommitNotifyingTable(
            platform, LOG_HEAD_KEY, lambda: self.sync.request_pull()
        )
        self.view = RecordView()
        self.shards = ShardRecords(self.view)
        self.metrics = Metrics()
        self.sync = RecordSync(self.view, self.table, cfg.instance_id, cfg.data_centre)
        self.members = MembershipList(platform, self._on_membership_read)
        self.tls = PeerTls(cfg.peer_tls) if cfg.peer_tls is not None else None
        self._addresses = {
            peer.instance_id: PeerAddress(peer.instance_id, peer.data_centre, peer.host, peer.port)
            for peer in cfg.peers
        }
        self.mesh = Mesh(
            list(self._addresses.values()),
            self.heartbeat,
            self._on_peer_message,
            on_heartbeat=self._on_heartbeat,
            tls=self.tls,
            limits=LinkLimits.for_process(cfg.limits.memory_mb, cfg.limits.max_open_files),
            observer=self.metrics,
        )
        self.ownership = OwnershipManager(
            LocalInstance(cfg.instance_id, cfg.data_centre, cfg.vm_weight),
            self.shards,
            self.mesh,
            self._make_owner,
            times=ClaimTiming(membership_lag_s=cfg.membership_lag_s, max_lease_s=cfg.task_lease_s),
        )
        self.router = RequestRouter(self.ownership.owners, self.mesh, self.shards.data_centre_of)
        self.jobs = JobManager(self)
        self.escrow = EscrowManager(self)
        self.open_requests = OpenRequests()
        # Updated with each heartbeat. Forwarding reads the digests often and tolerates older ones.
        self._own_digests: list[ShardDigest] = []
        self.drain = Drain(
            self.open_requests,
            self.ownership,
            lambda: self.router.open_requests,
            self._close_caller_server,
        )
        self.sync.peers = self.mesh
        self.sync.is_poller = self._is_poller
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener_tls = (_listener_tls(cfg.caller_tls), _listener_tls(cfg.admin_tls))
        self._intake = make_intake(
            cfg.limits.memory_mb, cfg.limits.max_open_files, cfg.max_body_bytes, self.metrics
        )
        self._caller_server = self._make_caller_server()
        self._admin_server = self._make_admin_server()

    async def run(self) -> None:
        """Serve until the instance is drained or the task is cancelled."""
        emit(
            log,
            Event.DAEMON_STARTED,
            instance_id=self.cfg.instance_id,
            data_centre=self.cfg.data_centre,
        )
        self._caller_server.listen(self.cfg.caller_port, self.cfg.host)
        self._admin_server.listen(self.cfg.admin_port, self.cfg.host)
        coroutines = [
            self.sync.run(),
            self.members.run(),
            self.mesh.run(self.cfg.host, self.cfg.peer_port),
            self._run_ownership(),
            self._apply_records(),
            self._update_fleet_usage(),
            self._reload_tls(),
            self.jobs.run(),
            self.escrow.run(),
            GaugeUpdater(self.metrics, self, lambda: self.view.revision).run(),
        ]
        async with asyncio.TaskGroup() as tg:
            tasks = [tg.create_task(coroutine) for coroutine in coroutines]
            await self.drain.run()
            for task in tasks:
                task.cancel()

    @property
    def ready(self) -> bool:
        """Return whether the instance can serve callers."""
        return self.sync.loaded.is_set() and not self.drain.started.is_set()

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that this instance sends to its peers."""
        active = self.active_owners()
        self._own_digests = [build_digest(owner) for owner in active]
        return Heartbeat(
            self.cfg.instance_id,
            self.cfg.data_centre,
            tuple(owner.shard for owner in active),
            self.view.revision,
            draining=self.drain.started.is_set(),
            shards=tuple(self._own_digests),
            heard=self.mesh.last_contacts(),
            weight=self.cfg.vm_weight,
            cut_off_s=self.sync.cut_off_s(),
        )

    async def route(self, req: Request) -> Result:
        """Return the result of a request from the owner of its shard."""
        return await self.router.route(req)

    # Methods of JobContext and EscrowContext.

    def shard_names(self) -> list[str]:
        """Return the names of all shards in the records."""
        return self.shards.names()

    def policy_of(self, queue: str) -> Policy:
        """Return the policy of a queue."""
        return self.view.policy_for_queue(queue)

    def owned_shards(self) -> list[str]:
        """Return the shards that this instance fully owns."""
        owners = self.ownership.owners.items()
        return [name for name, owner in owners if owner.claim.state is ClaimState.OWNED]

    def local_shard(self, shard: str) -> ShardJobs | None:
        """Return a shard that this instance fully owns, or None."""
        owner = self.ownership.owners.get(shard)
        if owner is None or owner.claim.state is not ClaimState.OWNED:
            return None
        return ShardJobs(owner)

    def peer_digests(self) -> list[ShardDigest]:
        """Return the digests of the shards of live peers."""
        return self.mesh.shard_digests()

    async def call_owner(self, shard: str, message: Any, timeout_s: float) -> Any:
        """Call the instance that owns a shard; raises LinkClosedError or TimeoutError."""
        peer = self.mesh.owner_of(shard)
        if peer is None:
            raise MessageNotSentError(f"no live instance owns shard {shard}")
        return await self.mesh.call(peer, message, timeout_s)

    # Events from peers and the platform.

    async def _on_peer_message(self, message: Any) -> Any | None:
        if isinstance(message, RelayRequest):
            return await self.router.handle_relay(message)
        if isinstance(message, RECORD_MESSAGES):
            return await self.sync.receive(message)
        if isinstance(message, HandOver):
            return self.ownership.accept_hand_over(message)
        if isinstance(message, PlaceTransferRequest):
            return await self.escrow.grant(message)
        if isinstance(message, JOB_MESSAGES):
            return await self.jobs.handle(message)
        return Ack()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._spawn(
            self.sync.on_peer_revision(
                heartbeat.instance_id, heartbeat.records_revision, heartbeat.cut_off_s
            )
        )

    async def _on_membership_read(self, members: MembershipList) -> None:
        gone = members.gone()
        for owner in list(self.ownership.owners.values()):
            owner.set_leaving_workers(members.not_live() | self.view.drained_workers(owner.shard))
            await owner.claim_driver.on_membership_read(gone)
        for name in members.gone_longer_than(self.cfg.membership_lag_s):
            self.mesh.remove_peer(name)
        member_addresses = [
            PeerAddress(member.name, member.data_centre, member.host, member.port)
            for member in members.members.values()
            if member.kind == ENTRY_MEMBER_KIND and member.port and member.state != "gone"
        ]
        configured_addresses = [
            self._addresses[name] for name in self._addresses if name not in gone
        ]
        own_id = self.cfg.instance_id
        self.mesh.add_peers(
            peer
            for peer in (*configured_addresses, *member_addresses)
            if peer.instance_id != own_id
        )

    def _is_poller(self) -> bool:
        """Return whether this instance polls the change log for its data centre."""
        poller_candidates = [
            heartbeat.instance_id
            for heartbeat in self.mesh.live_heartbeats()
            if heartbeat.data_centre == self.cfg.data_centre and not heartbeat.draining
        ]
        return all(self.cfg.instance_id < other for other in poller_candidates)

    # Background tasks.

    async def _run_ownership(self) -> None:
        await self.sync.loaded.wait()
        await self.ownership.run()

    async def _apply_records(self) -> None:
        """Apply changed records to the shards that this instance owns."""
        while True:
            await self.sync.changed.wait()
            self.sync.changed.clear()
            leaving = self.members.not_live()
            for owner in list(self.ownership.owners.values()):
                await owner.set_workers(self.view.workers_in_shard(owner.shard))
                owner.set_leaving_workers(leaving | self.view.drained_workers(owner.shard))
                self._apply_policies(owner)
            self.escrow.apply_lowered_limits()

    def _apply_policies(self, owner: ShardOwner) -> None:
        owner.scheduler.set_policies(queue_policies(self.view), team_policies(self.view))
        owner.shard_quota.class_ledger.limits = class_limits(self.view, owner.shard)

    async def _update_fleet_usage(self) -> None:
        """Update the scheduler of each shard with the usage of its teams in other shards."""
        slots = FleetSlots(self.view)
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            digests = [*self.mesh.shard_digests(), *map(build_digest, self.active_owners())]
            for owner in self.active_owners():
                usage, shard_fraction = usage_elsewhere(slots, owner.shard, digests)
                owner.scheduler.set_fleet_usage(usage, shard_fraction)

    async def _reload_tls(self) -> None:
        reloadable = [tls for tls in (self.tls, *self._listener_tls) if tls is not None]
        while True:
            await asyncio.sleep(TLS_CHECK_INTERVAL_S)
            for tls in reloadable:
                tls.reload_if_changed()

    async def _close_caller_server(self) -> None:
        self._caller_server.stop()
        await self._caller_server.close_all_connections()

    def _make_caller_server(self) -> HTTPServer:
        cfg, tls = self.cfg, self._listener_tls[0]
        options = CallerOptions(
            jobs=self.jobs,
            data_centre=cfg.data_centre,
            limits=HttpLimits(max_body_bytes=cfg.max_body_bytes),
            open_requests=self.open_requests,
            max_deadline_s=cfg.max_deadline_s,
            default_deadline_s=cfg.default_deadline_s,
            clock_skew_s=cfg.clock_skew_s,
            records_unconfirmed_s=self.sync.cut_off_s,
            metrics=self.metrics,
        )
        return make_http_server(
            make_caller_app(self, options),
            options.limits,
            tls.context if tls is not None else None,
            intake=self._intake,
            early_check=CallerEarlyCheck(self, options),
        )

    def _make_admin_server(self) -> HTTPServer:
        tls = self._listener_tls[1]
        options = AdminOptions(
            jobs=self.jobs,
            open_requests=self.open_requests,
            drain=self.drain.start,
            records_unconfirmed_s=self.sync.cut_off_s,
            metrics=self.metrics,
        )
        return make_http_server(
            make_admin_app(self, options),
            options.limits,
            tls.context if tls is not None else None,
            intake=self._intake,
            early_check=AdminEarlyCheck(self, options),
        )

    def _make_owner(
        self, claim: ShardClaim, workers: list[WorkerSpec], inherited: HandOver | None
    ) -> ShardOwner:
        owner = ShardOwner(
            claim,
            workers,
            self.table,
            lease_settings=LeaseSettings(self.cfg.task_lease_s, self.cfg.clock_skew_s),
            forward=self._forward,
            send_hand_over=self.ownership.send_hand_over,
            inherited=inherited,
            observer=MetricsObserver(self.metrics),
        )
        owner.set_leaving_workers(self.members.not_live() | self.view.drained_workers(owner.shard))
        self._apply_policies(owner)
        return owner

    def _forward(self, req: Request) -> Any:
        return self.router.forward(req, self._own_digests)

    def active_owners(self) -> list[ShardOwner]:
        """Return the owners of the shards that this instance serves."""
        owners = self.ownership.owners.values()
        return [owner for owner in owners if owner.claim.state in ACTIVE_STATES]

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
