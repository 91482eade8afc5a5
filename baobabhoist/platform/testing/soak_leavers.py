"""Let callers leave before the answer to a submission, and cancel the job at another instance."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from baobabhoist.platform.testing.soak_records import SubmittedJob

if TYPE_CHECKING:
    from baobabhoist.platform.testing.soak import Soak

LEAVE_PROBABILITY = 0.1
# How long such callers wait for the answer.
MIN_PATIENCE_S, MAX_PATIENCE_S = 0.05, 0.4
# This share of them submits to an instance that is down, if there is one, and this share submits
# the cancelled job once more.
DOWN_INSTANCE_PROBABILITY = 0.7
REPEAT_PROBABILITY = 0.3
MIN_REPEAT_DELAY_S, MAX_REPEAT_DELAY_S = 3.2, 5.0


async def submit_and_leave(soak: Soak, job: SubmittedJob, rng: random.Random) -> None:
    """Submit a job and cancel it without waiting for its answer; follow it if it was accepted."""
    instance = _pick_instance(soak, rng)
    patience_s = rng.uniform(MIN_PATIENCE_S, MAX_PATIENCE_S)
    is_accepted = await soak.submit_impatiently(job, instance, patience_s)
    await soak.cancel(job, excluded=instance)
    if rng.random() < REPEAT_PROBABILITY:
        await asyncio.sleep(rng.uniform(MIN_REPEAT_DELAY_S, MAX_REPEAT_DELAY_S))
        is_accepted = await soak.submit(job, attempts=1) or is_accepted
    if is_accepted:
        await soak.poll_until_final(job)


def _pick_instance(soak: Soak, rng: random.Random) -> str:
    """Pick any instance, also one that is down, which callers learn only by its silence."""
    down = sorted(soak.down_instances)
    if down and rng.random() < DOWN_INSTANCE_PROBABILITY:
        return rng.choice(down)
    return rng.choice(sorted(soak.deployment.instances))
