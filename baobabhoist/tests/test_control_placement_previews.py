"""Test what an instance answers to an operator who asks where a job would go."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from baobabhoist.cell.expected_waits import ExpectedWait
from baobabhoist.cell.model import NO_RESOURCES, Resources, Team
from baobabhoist.cell.placement_report import PlacementPreview, TeamStanding, WaitingPosition
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.config import ActiveConfig, CellConfig
from baobabhoist.control.job_admission import JobAdmission, KnownWaits
from baobabhoist.control.links import Identity, OwnerLink
from baobabhoist.control.messages import JobWaits, NotOwner, PlacementReply
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.placement_previews import PlacementPreviews, PreviewRequest
from baobabhoist.errors import ErrorKind
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.tests.cell_harness import make_rules
from baobabhoist.tests.platform_harness import JOB

POSITION = WaitingPosition(1, 0, "on_time", 0, 1.0)
STANDING = TeamStanding(NO_RESOURCES, NO_RESOURCES)
PREVIEW = PlacementPreview("svc", 0, 1, POSITION, STANDING, 0, (), (), needs_ticket=False)
LONG_WAIT = ExpectedWait("team", "", 0, "team_limit", 9e6, 9e6, 1000.0)


def make_previews(answer, limit=NO_RESOURCES, waits=()):
    """Return the previews of an instance whose link to the owner answers, or raises."""

    async def call(query, timeout_s):
        if isinstance(answer, Exception):
            raise answer
        return answer

    rules = attrs.evolve(make_rules(), teams={"team": Team("team", 1.0, limit)})
    router = OwnerRouter("n1", SimpleNamespace())
    router.owner_link = OwnerLink(Identity("n1", "boot"), router.handle, lambda: None)
    router.owner_link.link = SimpleNamespace()
    router.owner_link.call = call
    known = KnownWaits(JobWaits(waits), monotonic_ms())
    admission = JobAdmission(SimpleNamespace(job_waits=lambda: known))
    config = ActiveConfig(CellConfig(1, rules, (), {}, 1_000))
    return PlacementPreviews(config, PlatformDecoder(), router, admission)


def ask(previews):
    return asyncio.run(previews.preview(PreviewRequest("q", "team", JOB)))


@pytest.mark.parametrize("answer", [TimeoutError(), NotOwner("n2"), None, PlacementReply()])
def test_an_owner_that_cannot_answer_leaves_the_instance_ready(answer):
    """Guard against an instance that leaves the balancer because its owner has no previews."""
    previews = make_previews(answer)
    assert ask(previews).kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert previews.owner_router.is_owner_reachable


@pytest.mark.parametrize(
    ("limit", "waits", "kind", "has_retry"),
    [
        (Resources(cpu=1), (), ErrorKind.NEVER_FITS, False),
        (Resources(), (LONG_WAIT,), ErrorKind.TEAM_LIMIT, True),
    ],
)
def test_a_job_that_would_be_refused_is_previewed_with_the_refusal(limit, waits, kind, has_retry):
    """Guard against previews that call a job accepted, or that take return times from callers."""
    previews = make_previews(PlacementReply(PREVIEW), limit, waits)
    result = ask(previews)
    assert (result.refusal.kind, result.placement) == (kind, PREVIEW)
    assert (result.refusal.retry_after_s is not None) is has_retry
    assert previews.admission.return_times._next_ms == {}
