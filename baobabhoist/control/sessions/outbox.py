"""Collect what a holder learns, and send it to the owner in few messages.

Ends, results of orders and silences leave within milliseconds. Reports that only show progress are
collected for longer, and a newer one replaces an older one of the same session.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs

from baobabhoist.cell.model import WorkerReport
from baobabhoist.control.sessions.batch_sender import BatchSender
from baobabhoist.control.sessions.messages import (
    HeldReport,
    OrderResult,
    SessionEvents,
    WorkerSilence,
    to_held_report,
)

# Longest time for which news, and reports without news, wait for others.
NEWS_DELAY_S = 0.004
PROGRESS_DELAY_S = 0.4


@attrs.frozen
class _KnownRuns:
    """Hold what the owner has been told of a worker."""

    started_unix_ms: int
    last_end: int
    runs: frozenset[tuple[str, int]]


class EventOutbox:
    """Batch the events for the owner."""

    def __init__(self, send: Callable[[SessionEvents], Awaitable[None]]) -> None:
        self._send = send
        self._sender = BatchSender(self._send_batch)
        self._events = SessionEvents("", 0)
        self._reports: dict[int, HeldReport] = {}
        self._known_runs: dict[int, _KnownRuns] = {}

    def clear(self) -> None:
        """Drop all events, and what is known of what the owner has been told."""
        self._sender.stop()
        self._events = SessionEvents("", 0)
        self._reports.clear()
        self._known_runs.clear()

    def add_result(self, result: OrderResult) -> None:
        """Add the result of an order."""
        self._events = attrs.evolve(self._events, results=(*self._events.results, result))
        self._sender.request(NEWS_DELAY_S)

    def add_silence(self, silence: WorkerSilence) -> None:
        """Add that a worker does not answer."""
        self._events = attrs.evolve(self._events, silences=(*self._events.silences, silence))
        self._known_runs.pop(silence.session, None)
        self._sender.request(NEWS_DELAY_S)

    def add_report(
        self, session: int, report: WorkerReport, requested_owner_ms: float, deadline_ms: int
    ) -> None:
        """Add a worker's report; it replaces an earlier one, whose ends the worker lists again."""
        self._reports[session] = to_held_report(session, report, requested_owner_ms, deadline_ms)
        has_news = self._has_news(session, report)
        self._sender.request(NEWS_DELAY_S if has_news else PROGRESS_DELAY_S)

    def _has_news(self, session: int, report: WorkerReport) -> bool:
        """Return whether a report says more than that the known runs go on."""
        runs = frozenset((run.task.to_text(), run.run) for run in report.running)
        last_end = max((end.sequence_number for end in report.ended), default=0)
        known = self._known_runs.get(session)
        if known is not None and known.started_unix_ms == report.started_unix_ms:
            last_end = max(last_end, known.last_end)
        current = _KnownRuns(report.started_unix_ms, last_end, runs)
        self._known_runs[session] = current
        return current != known

    async def _send_batch(self) -> None:
        events = attrs.evolve(self._events, reports=tuple(self._reports.values()))
        self._events = SessionEvents("", 0)
        self._reports = {}
        await self._send(events)
