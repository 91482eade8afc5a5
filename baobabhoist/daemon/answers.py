"""Keep small answers with their request keys and fetch large ones from the worker."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Container, Iterable

import attrs

from baobabhoist.daemon.dispatch import (
    Completed,
    DispatchOutcome,
    completed_result,
    outcome_unknown_refusal,
)
from baobabhoist.model import Answer, EndedTask, Request
from baobabhoist.ownership.request_keys import Result

# The worker stores every answer as well. Keeping large bodies here for up to ten minutes, the
# longest retention of a key, would exhaust the memory of a small VM.
MAX_KEPT_BODY_BYTES = 4096

FindOutcome = Callable[[str, float, str], Awaitable[DispatchOutcome]]


@attrs.define
class AnswerStore:
    """Track which worker stores the body of an answer that is not kept here."""

    find_outcome: FindOutcome
    worker_by_request: dict[str, str] = attrs.Factory(dict)

    def strip_body(self, request_id: str, result: Result, worker: str) -> Result:
        """Return the result to keep with the key, without its body if that is large."""
        if not isinstance(result, Answer) or len(result.body) <= MAX_KEPT_BODY_BYTES or not worker:
            return result
        self.worker_by_request[request_id] = worker
        return attrs.evolve(result, body=b"")

    def note_omitted_bodies(self, worker: str, ended: Iterable[EndedTask]) -> None:
        """Record the answers that a worker's inventory lists without their body."""
        for task in ended:
            if task.body_omitted:
                self.worker_by_request[task.task_id] = worker

    async def load_body(self, req: Request, result: Result) -> Result:
        """Return a kept result with its body, or a refusal if the body is no longer stored."""
        worker = self.worker_by_request.get(req.request_id)
        if worker is None or not isinstance(result, Answer):
            return result
        deadline = max(req.task.deadline, time.time())
        outcome = await self.find_outcome(req.request_id, deadline, worker)
        if isinstance(outcome, Completed):
            return completed_result(req.request_id, outcome.succeeded, outcome.body)
        return outcome_unknown_refusal("the request ran, and its answer is no longer stored")

    def retain(self, keys: Container[str]) -> None:
        """Drop all answers but those of the given keys."""
        self.worker_by_request = {
            request_id: worker
            for request_id, worker in self.worker_by_request.items()
            if request_id in keys
        }
