"""Answer operators where a job would go now, without storing it."""

from __future__ import annotations

import attrs

from baobabhoist.cell.model import JobSpec, Queue
from baobabhoist.cell.placement_report import PlacementPreview
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.config import ActiveConfig, CellConfig
from baobabhoist.control.interfaces import Decoder
from baobabhoist.control.job_admission import JobAdmission, never_starts_refusal
from baobabhoist.control.job_api import due_tasks_refusal, overload_refusal, unavailable_refusal
from baobabhoist.control.messages import PlacementQuery, PlacementReply
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.errors import ErrorKind, LinkClosedError, Refusal

# Longer than for other queries: the owner looks at all waiting steps and workers.
PREVIEW_TIMEOUT_S = 3.0


@attrs.frozen
class PreviewRequest:
    """Hold what an operator asks about; `job` is the body of a submission."""

    queue: str
    team: str
    job: bytes


@attrs.frozen
class PreviewResult:
    """Hold whether a job would be refused now, and where it would go if it were accepted."""

    refusal: Refusal | None
    placement: PlacementPreview


@attrs.define
class PlacementPreviews:
    """Preview jobs using this instance's admission and the owner's view of the cell."""

    config: ActiveConfig
    decoder: Decoder
    owner_router: OwnerRouter
    # Set if jobs that cannot end in time are refused.
    admission: JobAdmission | None = None

    async def preview(self, request: PreviewRequest) -> PreviewResult | Refusal:
        """Return the preview, or the refusal of the request for it."""
        cfg = self.config.current
        if cfg is None:
            return unavailable_refusal("no configuration has been loaded yet")
        queue = cfg.rules.queues.get(request.queue)
        if queue is None:
            return _unknown_name_refusal("queue", request.queue)
        if request.team not in cfg.rules.teams and not queue.is_public:
            return _unknown_name_refusal("team", request.team)
        if len(request.job) > cfg.body_max_bytes:
            message = f"a job may have at most {cfg.body_max_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy="send a smaller job")
        spec = self.decoder.decode_job(request.job)
        if isinstance(spec, Refusal):
            return spec
        placement = due_tasks_refusal(spec) or await self._ask_owner(queue, request.team, spec)
        if isinstance(placement, Refusal):
            return placement
        return PreviewResult(self._find_refusal(cfg, queue, request.team, spec), placement)

    def _find_refusal(
        self, cfg: CellConfig, queue: Queue, team: str, spec: JobSpec
    ) -> Refusal | None:
        """Return the refusal that a submission of the job would get here now."""
        overload = overload_refusal(self.owner_router.refuse_jobs_ms())
        if overload is not None or self.admission is None:
            return overload
        never_starts = never_starts_refusal(spec, cfg.rules.teams.get(team))
        if never_starts is not None:
            return never_starts
        now = monotonic_ms()
        hopeless = self.admission.find_hopeless(spec, queue, team, now)
        return self.admission.preview_refusal(hopeless, team, now) if hopeless else None

    async def _ask_owner(
        self, queue: Queue, team: str, spec: JobSpec
    ) -> PlacementPreview | Refusal:
        query = PlacementQuery(queue.name, team, attrs.evolve(spec, payload=""))
        try:
            reply = await self.owner_router.call_if_supported(query, PREVIEW_TIMEOUT_S)
        except LinkClosedError:
            return unavailable_refusal("the owner of the cell cannot be reached")
        except TimeoutError:
            return unavailable_refusal(
                "the owner of the cell did not answer; it may be of a version without previews"
            )
        if not isinstance(reply, PlacementReply):
            return unavailable_refusal("the owner of the cell is changing or still loads the cell")
        if reply.preview is None:
            return unavailable_refusal(f"the owner has no queue {queue.name} in its configuration")
        return reply.preview


def _unknown_name_refusal(kind: str, name: str) -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND,
        f"there is no {kind} {name!r} in the configuration in force",
        remedy="check the name",
    )
