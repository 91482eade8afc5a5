"""Ask the platform's advice service which workers may run a step."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from baobabhoist.cell.model import StepKey
from baobabhoist.control.interfaces import Advice
from baobabhoist.observability.events import Event, emit
from baobabhoist.platform.http_client import HttpClient

log = logging.getLogger(__name__)

# The service handles this instance's questions in turn, so one may wait for others.
QUEUE_SLACK_S = 1.2
DEFAULT_VALID_MS = 1_500


class PlatformAdviser:
    """Be the placement adviser that the platform runs."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def ask(self, step: StepKey, workers: Sequence[str], cost_ms: float) -> Advice | None:
        """Return the tickets of the approved workers, or None without an answer."""
        if not self._address:
            return None
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        answer = await self._http.request(
            "POST",
            self._address,
            "/-/advise",
            {"step": name, "workers": list(workers)},
            timeout_s=cost_ms / 1000 + QUEUE_SLACK_S,
        )
        rows = answer.field("approved")
        if answer.status != 200 or not isinstance(rows, list):
            emit(
                log,
                Event.ADVICE_FAILED,
                job=step.job_id,
                step=step.step,
                node="",
                detail=f"{answer.status} {answer.reason}",
            )
            return None
        valid = answer.field("validityMs")
        tickets = {str(row[0]): str(row[1]) for row in rows}
        return Advice(tickets, int(valid) if isinstance(valid, int) else DEFAULT_VALID_MS)
