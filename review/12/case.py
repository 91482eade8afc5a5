"""A node is suspended for 3.4 s; the job that it was sent meanwhile is cancelled at another one."""

import asyncio
import json
import signal
from pathlib import Path

from review.standins3.world import CouldNotRun, World, route, run_case, tenant

# The site file suspends machines for 3.5 s, and for 4 s at most.
FREEZE_S = 3.4
PATIENCE_S = 0.15
CANCEL_MS = 3000
ROUNDS = 3
KEY = "key-of-the-team"


async def play_round(world, job):
    """Submit a job to a node, give up and cancel it at another; return the late starts."""
    owner = world.owner()
    frozen, other = [name for name in world.nodes if name != owner][:2]
    world.record("roles", owner=owner, frozen=frozen, other=other)
    body = {
        "taskSpec": json.dumps({"work_ms": 1000}),
        "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimatedMs": 1000}],
    }
    if world.trouble:
        world.signal(frozen, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, world.signal, frozen, signal.SIGCONT)
    # The requester gets no answer, gives the job up and cancels it until that is acknowledged.
    await world.request(frozen, "POST", f"/batch/{job}", KEY, body, timeout_s=PATIENCE_S)
    status = 0
    for _ in range(10):
        status, _ = await world.request(other, "DELETE", f"/batch/{job}", KEY)
        if status == 410 or 200 <= status < 300:
            break
        await asyncio.sleep(0.2)
    else:
        raise CouldNotRun(f"the cancelling was answered {status}")
    acknowledged_s = world.now_s()
    world.record("cancel_acknowledged", job=job, status=status)
    await asyncio.sleep(8.0)
    await world.request(other, "GET", f"/batch/{job}", KEY)
    await asyncio.sleep(2.0)
    return [
        f"UNASKED: {run['task']} was started on {run['worker']} "
        f"{run['at_s'] - acknowledged_s:.2f} s after its cancelling was acknowledged"
        for run in world.of("run_start")
        if run["task"].startswith(job) and run["at_s"] > acknowledged_s + CANCEL_MS / 1000
    ]


async def play(world: World):
    world.write_config([route("r-batch", "/batch/", public=True)], [tenant("team", KEY)])
    await world.start_workers(4)
    await world.start_nodes(["edge-1", "edge-2", "edge-3"])
    await world.wait_until_ready()
    for number in range(ROUNDS):
        breaches = await play_round(world, f"5c0e7a21d94b36f{number}")
        if breaches:
            return breaches
    return []


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
