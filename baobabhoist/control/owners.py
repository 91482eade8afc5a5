"""Reach the cell's owner: this process itself or another over its link."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from baobabhoist.cell.model import StepKey
from baobabhoist.control.accept import Acceptor, Stored, StoreOutcome
from baobabhoist.control.clock import boot_ms
from baobabhoist.control.interfaces import Adviser
from baobabhoist.control.links import OwnerLink
from baobabhoist.control.messages import (
    AdviceQuery,
    AdviceReply,
    CancelNotice,
    HandOver,
    HandOverOffer,
    JobNotice,
    NotOwner,
    PendingQuery,
    StateQuery,
    StoreRow,
    StoreRowReply,
)
from baobabhoist.control.owner import CellOwner
from baobabhoist.control.rowmap import JOBS_TABLE
from baobabhoist.errors import LinkClosedError, NotSentError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.link import Link
from baobabhoist.store.rows import RowKey

log = logging.getLogger(__name__)

# Instances that are asked to store a row before its caller is refused.
ELSEWHERE_TRIES = 2


class OwnerCalls:
    """Pass questions and notices to the owner, wherever it is."""

    def __init__(self, node: str, adviser: Adviser) -> None:
        self.local: CellOwner | None = None
        self.link: OwnerLink | None = None
        # Stores a row for another instance.
        self.acceptor: Acceptor | None = None
        # Returns the links of the instances that are connected to this one.
        self.peers: Callable[[], list[Link]] = list
        # Answers what concerns the claim itself.
        self.on_claim_message: Callable[[Any], Awaitable[Any]] | None = None
        self._node = node
        self._adviser = adviser
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def reachable(self) -> bool:
        """Tell whether the owner is known and can be asked."""
        if self.local is not None:
            return self.local.cell is not None
        return self.link is not None and self.link.link is not None

    async def call(self, question: Any, timeout_s: float) -> Any:
        """Return the owner's answer; raises LinkClosedError or TimeoutError."""
        if self.local is not None:
            return await self.handle(question)
        if self.link is None:
            raise LinkClosedError("the owner is not known")
        return await self.link.call(question, timeout_s)

    async def store_elsewhere(self, key: RowKey, value: bytes, give_up_ms: float) -> StoreOutcome:
        """Store a row through another instance, while the store can't be used from here."""
        for link in self._other_links():
            within_ms = give_up_ms - boot_ms()
            if within_ms <= 0:
                break
            message = StoreRow(key.table, key.part, key.key, value, within_ms)
            try:
                reply = await link.call(message, within_ms / 1000)
            except NotSentError:
                continue
            except (LinkClosedError, TimeoutError) as exc:
                emit(log, Event.WRITE_UNANSWERED, row=key.key, detail=exc)
                return StoreOutcome(Stored.UNKNOWN)
            outcome = StoreOutcome(Stored(reply.stored), reply.version)
            if outcome.stored is not Stored.REFUSED:
                return outcome
        return StoreOutcome(Stored.REFUSED)

    def _other_links(self) -> list[Link]:
        if self.local is not None:
            return self.peers()[:ELSEWHERE_TRIES]
        link = self.link.link if self.link is not None else None
        return [link] if link is not None else []

    async def _store_row(self, message: StoreRow) -> StoreRowReply:
        key = RowKey(message.table, message.part, message.key)
        if self.acceptor is None or key.table != JOBS_TABLE:
            return StoreRowReply(Stored.REFUSED.value, 0)
        give_up_ms = boot_ms() + message.within_ms
        outcome = await self.acceptor.put_here(key, message.value, give_up_ms)
        return StoreRowReply(outcome.stored.value, outcome.version)

    def notify(self, notice: Any) -> None:
        """Tell the owner; a notice that gets lost comes with the store's changes."""
        task = asyncio.create_task(self._notify(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle(self, message: Any) -> Any:
        """Answer a message of another instance, or of this one."""
        if isinstance(message, AdviceQuery):
            return await self._advise(message)
        if isinstance(message, StoreRow):
            return await self._store_row(message)
        if isinstance(message, HandOverOffer | HandOver):
            return await self.on_claim_message(message) if self.on_claim_message else None
        owner = self.local
        if owner is None:
            return NotOwner(self._node)
        if isinstance(message, StateQuery):
            return owner.state_of(message.job_id)
        if isinstance(message, PendingQuery):
            return owner.pending_in(message.queue) or NotOwner(self._node)
        if isinstance(message, JobNotice):
            owner.job_stored(message.job_id, message.value, message.version)
        elif isinstance(message, CancelNotice):
            owner.job_cancelled(message.job_id)
        return None

    async def _advise(self, query: AdviceQuery) -> AdviceReply:
        step = StepKey(query.job_id, query.occurrence, query.step)
        advice = await self._adviser.ask(step, query.workers, query.cost_ms)
        if advice is None:
            return AdviceReply(False)
        return AdviceReply(True, advice.tickets, advice.valid_ms)

    async def _notify(self, notice: Any) -> None:
        if self.local is not None:
            await self.handle(notice)
            return
        link = self.link.link if self.link is not None else None
        try:
            if link is not None:
                await link.notify(notice)
        except LinkClosedError as exc:
            log.debug("a notice to the owner was lost: %s", exc)
