"""Answer callers with a real job API over the store and the owner of another harness."""

import asyncio

import orjson

from baobabhoist.cell.model import CellRules, Queue, Team
from baobabhoist.control.clock import StoreClock, monotonic_ms
from baobabhoist.control.config import ActiveConfig, CellConfig, Route
from baobabhoist.control.job_api import ApiCall, JobApi
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.tests.owner_harness import JOB_ID, ROW_MAX_BYTES

REVOKE_MS = 5_000.0
CALL_MS = 2_000.0
BODY = orjson.dumps({"taskSpec": "x", "steps": [{"count": 1, "cpu": 10}]})
KEYS = {"k": "team", "k2": "other"}


def kind_of(refusal):
    return refusal.kind if refusal is not None else None


async def started_tasks(harness, owner_starts_now=False):
    """Return how many tasks an owner starts that has had the time to."""
    if owner_starts_now:
        await harness.start()
    await asyncio.sleep(0.1)
    starts = len(harness.driver.starts)
    harness.task.cancel()
    return starts


class CallerInstance:
    """Answer callers like one instance of the harness's cell; the owner is known if loaded."""

    def __init__(self, harness):
        router = OwnerRouter("n1", None)
        router.local_owner = harness.owner
        queue, public = Queue("q", "svc"), Queue("p", "svc", is_public=True)
        routes = (Route("h", "/q/", queue), Route("h", "/p/", public))
        rules = CellRules(1, {"q": queue, "p": public}, {t: Team(t) for t in KEYS.values()})
        config = ActiveConfig()
        config.accept(CellConfig(1, rules, routes, KEYS, 10_000))
        config.confirm(monotonic_ms())
        self.api = JobApi(
            config,
            harness.store,
            JobWriter(harness.store, StoreHealth()),
            PlatformDecoder(),
            StoreClock(),
            router,
            REVOKE_MS,
            ROW_MAX_BYTES,
        )

    def _admit(self, key, path):
        call = ApiCall("h", path, key, monotonic_ms() + CALL_MS)
        return call, self.api.admit(call)

    async def submit(self, key="k", job_id=JOB_ID, prefix="/q/"):
        return kind_of(await self.api.submit(*self._admit(key, prefix + job_id), BODY))

    async def cancel(self, key="k", job_id=JOB_ID, prefix="/q/"):
        return kind_of(await self.api.cancel(*self._admit(key, prefix + job_id)))

    async def state(self, key="k", job_id=JOB_ID, prefix="/q/"):
        state = await self.api.job_state(*self._admit(key, prefix + job_id))
        return state if isinstance(state, str) else state.kind
