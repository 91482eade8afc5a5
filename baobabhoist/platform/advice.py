"""Ask the platform's advice service which workers may run a step."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any

from baobabhoist.cell.model import StepKey
from baobabhoist.control.interfaces import Advice
from baobabhoist.observability.events import Event, emit
from baobabhoist.platform.http_client import HttpClient

log = logging.getLogger(__name__)

DEFAULT_TICKET_VALID_MS = 1_500
MAX_TICKET_VALID_MS = 3_600_000
# An approved worker is a row of its id and its ticket.
TICKET_FIELDS = 2


class PlatformAdviser:
    """Ask the platform's advice service for placement advice."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def ask(self, step: StepKey, workers: Sequence[str], timeout_s: float) -> Advice | None:
        """Return the tickets of the approved workers, or None if the service did not answer."""
        if not self._address:
            return None
        step_id = f"{step.job_id}.{step.occurrence}.{step.step}"
        response = await self._http.request(
            "POST",
            self._address,
            "/-/advise",
            {"step": step_id, "workers": list(workers)},
            timeout_s=timeout_s,
        )
        approved = response.field("approved")
        if response.status != 200 or not isinstance(approved, list):
            emit(
                log,
                Event.ADVICE_FAILED,
                job=step.job_id,
                step=step.step,
                node="",
                detail=f"{response.status} {response.reason}",
            )
            return None
        valid_ms = response.field("validityMs")
        if type(valid_ms) is not int or not 0 <= valid_ms <= MAX_TICKET_VALID_MS:
            valid_ms = DEFAULT_TICKET_VALID_MS
        return Advice(_parse_tickets(approved), valid_ms)


def _parse_tickets(rows: list[Any]) -> dict[str, str]:
    """Return the tickets by worker id; rows that hold no id and ticket name no worker."""
    return {row[0]: row[1] for row in rows if _is_ticket(row)}


def _is_ticket(row: Any) -> bool:
    is_long_enough = isinstance(row, list) and len(row) >= TICKET_FIELDS
    return is_long_enough and all(isinstance(field, str) for field in row[:TICKET_FIELDS])
