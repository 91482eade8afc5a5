"""Assemble the parts of the daemon."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any

from tornado.httpserver import HTTPServer

from baobabhoist.config.settings import Settings
from baobabhoist.daemon.shard import ShardOwner
from baobabhoist.daemon.sync import RecordSync
from baobabhoist.errors import ErrorKind, LinkClosedError, Refusal
from baobabhoist.gateway.admin import admin_app
from baobabhoist.gateway.callers import caller_app
from baobabhoist.model import Outcome, Request
from baobabhoist.ownership.claim import ShardState
from baobabhoist.ownership.keys import Result
from baobabhoist.ownership.rendezvous import Candidate, rank
from baobabhoist.peer.mesh import Mesh, PeerAddress
from baobabhoist.peer.messages import (
    Heartbeat,
    RelayAnswer,
    RelayRefusal,
    RelayRequest,
)
from baobabhoist.platform.client import PlatformTable
from baobabhoist.records.view import RecordView

log = logging.getLogger(__name__)

OWNERSHIP_INTERVAL_S = 0.5
# A claim waits this long after the start, so that peers already running are heard first.
STARTUP_LISTEN_S = 1.0


class Daemon:
    """Hold the parts of one instance."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.table = PlatformTable(cfg.platform_url)
        self.view = RecordView()
        self.sync = RecordSync(self.view, self.table)
        self.owners: dict[str, ShardOwner] = {}
        peers = [
            PeerAddress(peer.instance_id, peer.data_centre, peer.host, peer.port)
            for peer in cfg.peers
        ]
        self.mesh = Mesh(peers, self.heartbeat, self._on_peer_message)

    async def run(self) -> None:
        """Serve until cancelled."""
        callers = HTTPServer(caller_app(self))
        callers.listen(self.cfg.caller_port, self.cfg.host)
        admin = HTTPServer(admin_app(self))
        admin.listen(self.cfg.admin_port, self.cfg.host)
        async with asyncio.TaskGroup() as tg:
            tg.create_task(self.sync.run())
            tg.create_task(self.mesh.run(self.cfg.host, self.cfg.peer_port))
            tg.create_task(self._own_shards(tg))

    @property
    def ready(self) -> bool:
        """Tell whether the instance can serve callers."""
        return self.sync.loaded.is_set()

    def heartbeat(self) -> Heartbeat:
        """Describe this instance to its peers."""
        return Heartbeat(
            self.cfg.instance_id,
            self.cfg.data_centre,
            tuple(self._owned()),
            self.view.revision,
            draining=False,
        )

    async def route(self, req: Request) -> Result:
        """Return the result of a request from the owner of its shard."""
        owner = self.owners.get(req.shard)
        if owner is not None and owner.claim.state is ShardState.OWNED:
            return await owner.submit(req)
        peer = self.mesh.owner_of(req.shard)
        if peer is None:
            return Refusal(
                ErrorKind.SHARD_UNAVAILABLE,
                f"no live instance owns shard {req.shard}",
                remedy="send the request again",
                retry_after_s=0.5,
            )
        return await self._relay(peer, req)

    async def _relay(self, peer: str, req: Request) -> Result:
        try:
            reply = await self.mesh.call(peer, RelayRequest(req), req.task.deadline - time.time())
        except (LinkClosedError, TimeoutError):
            return Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                "the instance that owns the shard did not answer",
                Outcome.UNKNOWN,
                "send the request again under the same key to learn its outcome",
            )
        return reply.answer if isinstance(reply, RelayAnswer) else reply.refusal

    async def _on_peer_message(self, message: Any) -> Any | None:
        if not isinstance(message, RelayRequest):
            return None
        req = message.request
        owner = self.owners.get(req.shard)
        if owner is None:
            refusal = Refusal(ErrorKind.SHARD_UNAVAILABLE, "this instance is not the owner")
            return RelayRefusal(req.request_id, refusal)
        result = await owner.submit(req)
        if isinstance(result, Refusal):
            return RelayRefusal(req.request_id, result)
        return RelayAnswer(result)

    def _owned(self) -> list[str]:
        return [
            shard for shard, owner in self.owners.items() if owner.claim.state is ShardState.OWNED
        ]

    async def _own_shards(self, tg: asyncio.TaskGroup) -> None:
        await self.sync.loaded.wait()
        await asyncio.sleep(STARTUP_LISTEN_S)
        while True:
            for record in self.view.of_kind("shard"):
                if record.name not in self.owners and self._should_claim(record.name):
                    owner = ShardOwner(
                        record.name,
                        self.cfg.instance_id,
                        self.view.workers_of(record.name),
                        self.table,
                        self._escrow,
                    )
                    self.owners[record.name] = owner
                    tg.create_task(owner.run())
            await asyncio.sleep(OWNERSHIP_INTERVAL_S)

    def _should_claim(self, shard: str) -> bool:
        if self.mesh.owner_of(shard) is not None:
            return False
        record = self.view.get("shard", shard)
        home = str((record.body or {}).get("data_centre", "")) if record else ""
        candidates = [
            Candidate(peer.address.instance_id, peer.address.data_centre)
            for peer in self.mesh.live()
        ]
        candidates.append(
            Candidate(self.cfg.instance_id, self.cfg.data_centre, self.cfg.vm_weight)
        )
        return rank(shard, home, candidates)[0] == self.cfg.instance_id

    def _escrow(self, shard: str) -> dict[str, int]:
        """Split each team's limit evenly over the shards."""
        shards = [record.name for record in self.view.of_kind("shard")]
        places = {}
        for team in self.view.of_kind("team"):
            share, rest = divmod(int((team.body or {})["limit"]), len(shards))
            places[team.name] = share + (1 if shards.index(shard) < rest else 0)
        return places
