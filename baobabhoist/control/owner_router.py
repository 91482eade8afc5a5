"""Reach the cell's owner: this process itself or another over its link."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from baobabhoist.cell.model import StepKey
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.interfaces import Adviser
from baobabhoist.control.links import OwnerLink
from baobabhoist.control.messages import (
    AdviceQuery,
    AdviceReply,
    CancelNotice,
    JobNotice,
    NotOwner,
    PendingQuery,
    PendingReply,
    RelayCommit,
    RelayFollow,
    RelayRead,
    StateQuery,
    StateReply,
)
from baobabhoist.control.owner import CellOwner
from baobabhoist.control.relay import RelayedStore
from baobabhoist.errors import LinkClosedError

log = logging.getLogger(__name__)

QUIET_LINK_MS = 1_000.0


class OwnerRouter:
    """Pass questions and notices to the owner, wherever it is."""

    def __init__(self, node: str, adviser: Adviser) -> None:
        self.local_owner: CellOwner | None = None
        self.owner_link: OwnerLink | None = None
        # Carries out what another instance asks of the store.
        self.relay_store: RelayedStore | None = None
        self._node = node
        self._adviser = adviser
        self._tasks: set[asyncio.Task[None]] = set()
        # Until then a question to the owner would most likely find the same silent link.
        self._quiet_until_ms = 0.0

    @property
    def is_owner_reachable(self) -> bool:
        """Tell whether the owner is known and can be asked."""
        if self.local_owner is not None:
            return self.local_owner.cell is not None
        quiet = monotonic_ms() < self._quiet_until_ms
        return self.owner_link is not None and self.owner_link.link is not None and not quiet

    async def call(self, question: Any, timeout_s: float) -> Any:
        """Return the owner's answer; raises LinkClosedError or TimeoutError."""
        if self.local_owner is not None:
            return await self.handle(question)
        if self.owner_link is None or monotonic_ms() < self._quiet_until_ms:
            raise LinkClosedError("the owner is not known or does not answer")
        try:
            return await self.owner_link.call(question, timeout_s)
        except TimeoutError:
            self._quiet_until_ms = monotonic_ms() + QUIET_LINK_MS
            raise

    def notify(self, notice: Any) -> None:
        """Tell the owner; a notice that gets lost comes with the store's changes."""
        task = asyncio.create_task(self._notify(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle(self, message: Any) -> Any:
        """Answer a message of another instance, or of this one."""
        anywhere = self._ANYWHERE.get(type(message))
        if anywhere is not None:
            return await anywhere(self, message)
        if self.local_owner is None:
            return NotOwner(self._node)
        at_owner = self._AT_OWNER.get(type(message))
        return at_owner(self, self.local_owner, message) if at_owner is not None else None

    def _state(self, owner: CellOwner, query: StateQuery) -> StateReply:
        return owner.job_state(query.job_id)

    def _pending(self, owner: CellOwner, query: PendingQuery) -> PendingReply | NotOwner:
        return owner.count_pending_jobs(query.queue) or NotOwner(self._node)

    def _job(self, owner: CellOwner, notice: JobNotice) -> None:
        owner.handle_stored_job(notice.job_id, notice.value, notice.version)

    def _cancel(self, owner: CellOwner, notice: CancelNotice) -> None:
        owner.handle_cancelled_job(notice.job_id)

    async def _serve_store(self, message: Any) -> Any:
        return await self.relay_store.serve(message) if self.relay_store is not None else None

    async def _advise(self, query: AdviceQuery) -> AdviceReply:
        step = StepKey(query.job_id, query.occurrence, query.step)
        advice = await self._adviser.ask(step, query.workers, query.cost_ms)
        if advice is None:
            return AdviceReply(False)
        return AdviceReply(True, advice.tickets, advice.valid_ms)

    # What every instance answers, and what only the owner can.
    _ANYWHERE: dict[type, Callable[[Any, Any], Awaitable[Any]]] = {
        AdviceQuery: _advise,
        RelayCommit: _serve_store,
        RelayRead: _serve_store,
        RelayFollow: _serve_store,
    }
    _AT_OWNER: dict[type, Callable[[Any, CellOwner, Any], Any]] = {
        StateQuery: _state,
        PendingQuery: _pending,
        JobNotice: _job,
        CancelNotice: _cancel,
    }

    async def _notify(self, notice: Any) -> None:
        if self.local_owner is not None:
            await self.handle(notice)
            return
        link = self.owner_link.link if self.owner_link is not None else None
        try:
            if link is not None:
                await link.notify(notice)
        except LinkClosedError as exc:
            log.debug("a notice to the owner was lost: %s", exc)
