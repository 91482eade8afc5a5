"""Keep small answers with their keys and fetch large ones from the worker again."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Container, Iterable

import attrs

from baobabhoist.daemon.dispatch import Ended, Fate, outcome_unknown, result_of_end
from baobabhoist.model import Answer, EndedTask, Request
from baobabhoist.ownership.request_keys import Result

# A worker stores its answers anyway; whole ones kept here for the ten minutes of a key's
# longest window would fill the memory of a small VM.
KEPT_BODY_BYTES = 4096

Resolve = Callable[[str, float, str], Awaitable[Fate]]


@attrs.define
class StoredAnswers:
    """Know which worker stores the body of an answer that is not kept here."""

    resolve: Resolve
    workers: dict[str, str] = attrs.Factory(dict)

    def trim(self, request_id: str, result: Result, worker: str) -> Result:
        """Return the result to keep with the key."""
        if not isinstance(result, Answer) or len(result.body) <= KEPT_BODY_BYTES or not worker:
            return result
        self.workers[request_id] = worker
        return attrs.evolve(result, body=b"")

    def inherit(self, worker: str, ended: Iterable[EndedTask]) -> None:
        """Note the answers that a worker's inventory names without their body."""
        for task in ended:
            if task.body_omitted:
                self.workers[task.task_id] = worker

    async def whole(self, req: Request, result: Result) -> Result:
        """Return a kept result with its body, or that its outcome is no longer known."""
        worker = self.workers.get(req.request_id)
        if worker is None or not isinstance(result, Answer):
            return result
        deadline = max(req.task.deadline, time.time())
        fate = await self.resolve(req.request_id, deadline, worker)
        if isinstance(fate, Ended):
            return result_of_end(req.request_id, fate.succeeded, fate.body)
        return outcome_unknown("the request ran, and its answer is no longer stored")

    def forget(self, keys: Container[str]) -> None:
        """Forget the answers whose keys are no longer remembered."""
        self.workers = {name: where for name, where in self.workers.items() if name in keys}
