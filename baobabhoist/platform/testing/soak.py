"""Run instances under seeded faults and judge the platform's promises from outside."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
import zlib
from collections import Counter
from typing import Any

import attrs
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from baobabhoist.platform.testing import soak_faults
from baobabhoist.platform.testing.deployment import Deployment, run_periodically
from baobabhoist.platform.testing.soak_faults import FAULTS
from baobabhoist.platform.testing.soak_judge import REFUSED_STATUSES, Judge, SubmittedJob, Team
from baobabhoist.testing import soak_run
from baobabhoist.testing.cluster import Cluster
from baobabhoist.testing.soak_run import Driver

FLAGS = flags.FLAGS

# Callers keep their connections open until the instance is gone.
HTTP_CLIENT = "tornado.curl_httpclient.CurlAsyncHTTPClient"
CLIENTS_MAX = 400
INSTANCES = 4
WORKERS = 12
JOBS_PER_S = 10.0
WAIT_S = 3.0
TRIES = 5
RETRY_S = 0.3
READY_INTERVAL_S = 0.5
READY_MISSES = 2
ASK_INTERVAL_S = 1.0
JUDGE_INTERVAL_S = 5.0
# After the last fault and the last submission, everything accepted ends within this time.
FINISH_S = 25.0
START_S = 10.0
CANCEL_PROBABILITY = 0.08
TWICE_PROBABILITY = 0.1
STRANGER_PROBABILITY = 0.03
POISON_PROBABILITY = 0.02
FAILING_PROBABILITY = 0.05
# The HTTP client gives this code to a call without an answer.
NO_ANSWER = 599

QUEUES: dict[str, dict[str, Any]] = {
    "quick": {"priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 300},
    "batch": {"priority": 2, "maxAttempts": 4, "slackFactor": 4.0, "targetLatencyMs": 3_000},
    "gangs": {
        "priority": 1,
        "maxAttempts": 2,
        "slackFactor": 2.2,
        "targetLatencyMs": 1_000,
        "advice": {"decisionMs": 20, "perItemMs": 0, "validityMs": 2_000},
    },
}
MIX = ("quick",) * 7 + ("batch",) * 2 + ("gangs",)
LIMITS = {"alpha": 20_000, "beta": 8_000, "gamma": 0}


@attrs.define
class Soak(Driver):
    """Hold one run: its processes, its load and the logs of callers and driver."""

    deployment: Deployment
    rng: random.Random
    callers: list[dict[str, Any]] = attrs.Factory(list)
    jobs: dict[str, SubmittedJob] = attrs.Factory(dict)
    finals: dict[str, str] = attrs.Factory(dict)
    down: set[str] = attrs.Factory(set)
    misses: Counter[str] = attrs.Factory(Counter)
    limits: dict[str, int] = attrs.Factory(lambda: dict(LIMITS))
    keys: dict[str, list[str]] = attrs.Factory(lambda: {n: [f"key-{n}"] for n in LIMITS})
    rate_factor: float = 1.0
    numbers: itertools.count[int] = attrs.Factory(lambda: itertools.count(1))

    def restart(self, name: str) -> None:
        """Start an instance again."""
        self.deployment.start_instance(name)
        self.deployment.label_sources()
        self.down.discard(name)

    # The operator.

    def config(self) -> dict[str, Any]:
        """Return the configuration as it should be now."""
        routes = [
            {
                "name": name,
                "hostname": f"{name}.example",
                "prefix": f"/{name}/",
                "service": "svc",
                **queue,
            }
            for name, queue in QUEUES.items()
        ]
        tenants = [
            {
                "name": name,
                "weight": 1,
                "maximum": {"cpu": limit},
                "apiKeys": self.keys[name],
            }
            for name, limit in self.limits.items()
        ]
        return {"routes": routes, "services": [{"name": "svc"}], "tenants": tenants}

    async def configure(self) -> None:
        """Write the configuration, and note what the teams may have from now on."""
        sent = self.note("limits", limits=dict(self.limits), acked=float("inf"))
        await self.deployment.write_config(self.config())
        sent["acked"] = time.time()

    async def change_limits(self, rng: random.Random) -> None:
        """Change one team's limit."""
        team = rng.choice([name for name, limit in LIMITS.items() if limit])
        self.limits[team] = rng.choice([LIMITS[team], LIMITS[team] // 2, LIMITS[team] * 2])
        await self.configure()

    async def replace_key(self, rng: random.Random) -> None:
        """Take a team's key away and give it another one."""
        team = rng.choice(list(LIMITS))
        old = self.keys[team]
        self.keys[team] = [f"key-{team}-{next(self.numbers)}"]
        await self.configure()
        for key in old:
            self.note("revoked", key=key)

    # Callers.

    def new_job(self, rng: random.Random, queue: str) -> SubmittedJob:
        """Make a job up."""
        job_id = f"{rng.getrandbits(64):016x}"
        team = rng.choice(list(LIMITS))
        failures = 99 if rng.random() < POISON_PROBABILITY else 0
        failures = failures or int(rng.random() < FAILING_PROBABILITY)
        run_ms = {"quick": (50, 500), "batch": (200, 1_500), "gangs": (300, 1_200)}[queue]
        counts = {"quick": (1, 3), "batch": (2, 8), "gangs": (2, 4)}[queue]
        steps: list[dict[str, Any]] = [
            {
                "count": rng.randint(*counts),
                "cpu": rng.choice([300, 700, 1_500]),
                "memMb": rng.choice([100, 900]),
                "estimatedMs": 500,
            }
            for _ in range(rng.choice([1, 1, 3]) if queue == "batch" else 1)
        ]
        for number, step in enumerate(steps[1:], 1):
            step["after"] = [number - 1]
        plan = {"run_ms": rng.uniform(*run_ms), "failures": failures, "saves": queue == "batch"}
        if queue == "gangs":
            steps[0]["gang"] = True
            plan["members"] = steps[0]["count"]
        if queue == "batch":
            steps[0] |= {"checkpointing": True, "maxPerServer": 3}
        spec = json.dumps({"plan": plan, "pad": "x" * rng.choice([0, 500])})
        attempts = int(QUEUES[queue]["maxAttempts"])
        note = SubmittedJob(job_id, queue, team, steps, zlib.crc32(spec.encode()), attempts)
        self.jobs[job_id] = note
        note.body = json.dumps({"taskSpec": spec, "steps": steps})
        return note

    def _choose(self, but: str = "") -> str:
        """Choose an instance in rotation; all of them if too few are."""
        ready = [
            n for n in self.deployment.instances if self.misses[n] < READY_MISSES and n != but
        ]
        others = [name for name in self.deployment.instances if name != but]
        return self.rng.choice(ready if len(ready) * 2 >= len(others) else others)

    async def _call(
        self, event: str, job: SubmittedJob, method: str, instance: str, key: str = ""
    ) -> dict[str, Any]:
        """Make one call and log it; `status` is 0 without an answer."""
        entry: dict[str, Any] = {
            "t": time.time(),
            "event": event,
            "job": job.job_id,
            "instance": instance,
            "key": key or self.keys[job.team][0],
        }
        headers = {
            "Host": f"{job.queue}.example",
            "X-Credential": entry["key"],
            "X-Deadline-Ms": str(int(WAIT_S * 1000)),
        }
        answer = await self.deployment.send_request(
            self.deployment.instances[instance].caller_port,
            method,
            f"/{job.queue}/{job.job_id}",
            WAIT_S,
            headers=headers,
            body=job.body if method == "POST" else None,
        )
        entry["end"] = time.time()
        answered = isinstance(answer, HTTPResponse) and answer.code != NO_ANSWER
        if isinstance(answer, HTTPResponse) and answered:
            entry["status"] = answer.code
            entry["state"] = _state(answer)
            entry["retry_after"] = answer.headers.get("Retry-After")
        else:
            reason = answer if isinstance(answer, str) else answer.error
            entry |= {"status": 0, "state": "", "reason": str(reason)}
        self.callers.append(entry)
        return entry

    async def submit(self, job: SubmittedJob, key: str = "") -> bool:
        """Hand a job in, again after a refusal or without an answer; tell whether it was taken."""
        instance = self._choose()
        for _ in range(TRIES):
            entry = await self._call("submit", job, "POST", instance, key)
            if entry["status"] == 200:
                return True
            if entry["status"] in REFUSED_STATUSES and entry["status"] not in (429, 503):
                return False
            pause_s = float(entry.get("retry_after") or RETRY_S)
            await asyncio.sleep(pause_s + self.rng.random() * RETRY_S)
            instance = self._choose(but=instance)
        return False

    async def cancel(self, job: SubmittedJob) -> None:
        """Cancel a job, again until there is an answer."""
        job.cancel_sent = job.cancel_sent or time.time()
        for _ in range(TRIES):
            entry = await self._call("cancel", job, "DELETE", self._choose())
            if entry["status"] in (200, 410):
                return
            await asyncio.sleep(RETRY_S)

    async def live(self, job: SubmittedJob) -> None:
        """Hand one job in, perhaps twice, with a wrong key or to cancel it, and follow it."""
        rng = random.Random(job.job_id)
        if rng.random() < STRANGER_PROBABILITY:
            await self.submit(job, "key-of-nobody")
            return
        again = [self.submit(job)] if rng.random() < TWICE_PROBABILITY else []
        accepted = any(await asyncio.gather(self.submit(job), *again))
        if not accepted:
            return
        if rng.random() < CANCEL_PROBABILITY:
            await asyncio.sleep(rng.uniform(0, 1.5))
            await self.cancel(job)
        await self.follow(job)

    async def follow(self, job: SubmittedJob) -> None:
        """Ask for a job's state until it has ended."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            entry = await self._call("state", job, "GET", self._choose())
            if entry["state"] in ("completed", "failed", "cancelled"):
                self.finals[job.job_id] = entry["state"]
                return

    async def load(self) -> None:
        """Hand jobs in at a steady rate until cancelled."""
        while True:
            job = self.new_job(self.rng, self.rng.choice(MIX))
            self.spawn(self.live(job))
            await asyncio.sleep(self.rng.expovariate(JOBS_PER_S * self.rate_factor))

    async def check_ready(self) -> None:
        """Ask the instances whether they are ready, as the platform does."""

        async def check(name: str) -> None:
            ready = await self.deployment.is_ready(name)
            self.misses[name] = 0 if ready else self.misses[name] + 1

        await asyncio.gather(*map(check, self.deployment.instances))

    def judge(self, finished: bool) -> Judge:
        """Return the verdicts so far."""
        text = self.deployment.worker_log_path.read_text(encoding="utf-8")
        lines = text[: text.rfind("\n") + 1].splitlines()
        judge = Judge(
            worker_log=[json.loads(line) for line in lines],
            caller_log=list(self.callers),
            driver_log=list(self.driver),
            jobs=self.jobs,
            teams={name: Team(name, limit) for name, limit in LIMITS.items()},
        )
        judge.check_logs()
        if finished:
            judge.check_completion(self.finals)
        return judge

    async def judge_now(self) -> None:
        """Print the first broken promise while the run goes on."""
        judge = await asyncio.to_thread(self.judge, False)
        if judge.breaches:
            print(f"broken already: {judge.breaches[0]}", flush=True)

    async def run(self, seconds: float, steps: list[soak_faults.Step]) -> None:
        """Run the load and the faults, then wait until everything has ended."""
        await self.deployment.start(INSTANCES, WORKERS, self.config())
        self.note("limits", limits=dict(self.limits), acked=time.time())
        checks = asyncio.create_task(run_periodically(READY_INTERVAL_S, self.check_ready))
        await self._until_ready()
        began = time.time()
        judging = asyncio.create_task(run_periodically(JUDGE_INTERVAL_S, self.judge_now))
        load = asyncio.create_task(self.load())
        faults = []
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at - time.time()))
            print(f"{step.at:7.1f}s {step.fault} {step.duration_s:.1f}s", flush=True)
            faults.append(asyncio.create_task(soak_faults.inject(self, step)))
        await asyncio.sleep(max(0.0, began + seconds - time.time()))
        outcomes = await asyncio.gather(*faults, return_exceptions=True)
        load.cancel()
        self.note("calm", failed=[repr(o) for o in outcomes if o is not None])
        # A team's backlog, or a gang wider than its lowered limit, would outlast the run.
        self.limits = dict.fromkeys(LIMITS, 0)
        await self.configure()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=FINISH_S)
        for task in (checks, judging, *self.tasks):
            task.cancel()

    async def _until_ready(self) -> None:
        give_up_at = time.time() + START_S
        while time.time() < give_up_at:
            if all([await self.deployment.is_ready(name) for name in self.deployment.instances]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the instances were not ready within {START_S} s")


def _state(answer: HTTPResponse) -> str:
    try:
        body = json.loads(answer.body or b"{}")
    except ValueError:
        return ""
    return str(body.get("state", "")) if isinstance(body, dict) else ""


def report(soak: Soak, judge: Judge) -> bool:
    """Print the verdicts and figures; tell whether all held."""
    folder = soak.deployment.cluster.folder
    crashes = [
        line
        for name in soak.deployment.instances
        for line in (folder / f"{name}.log").read_text(errors="replace").splitlines()
        if "Traceback" in line or "task_crashed" in line
    ]
    for line in judge.verdict_lines():
        print(line)
    print(f"internal: {len(crashes)} crashed tasks {crashes[:1]}")
    statuses = Counter((e["event"], e["status"]) for e in soak.callers)
    print(f"answers: { {f'{event} {status}': n for (event, status), n in statuses.items()} }")
    failed = [e["failed"] for e in soak.driver if e["event"] == "calm" and e["failed"]]
    if failed:
        print(f"the driver itself failed: {failed}")
    return not judge.breaches and not crashes and not failed


def main(argv: list[str]) -> int:
    """Run one soak."""
    AsyncHTTPClient.configure(HTTP_CLIENT, max_clients=CLIENTS_MAX)
    folder = soak_run.prepare(FLAGS.folder, FLAGS.faults, FAULTS)
    if folder is None:
        return 2
    steps = soak_faults.schedule(FLAGS.seed, FLAGS.seconds, FLAGS.faults)

    async def body(cluster: Cluster) -> Soak:
        soak = Soak(Deployment(cluster), random.Random(FLAGS.seed))
        await soak.run(FLAGS.seconds, steps)
        return soak

    with Cluster(folder) as cluster:
        soak = asyncio.run(body(cluster))
    jobs = {name: attrs.asdict(job) for name, job in soak.jobs.items()}
    trace = {"callers": soak.callers, "driver": soak.driver, "jobs": jobs, "finals": soak.finals}
    (folder / "driver.json").write_text(json.dumps(trace))
    print(f"seed={FLAGS.seed} seconds={FLAGS.seconds:g} logs in {folder}")
    return 0 if report(soak, soak.judge(finished=True)) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
    flags.DEFINE_float("seconds", 40.0, "Length of the run, in seconds.")
    flags.DEFINE_list("faults", sorted(FAULTS), "Faults to inject.")
    flags.DEFINE_string("folder", "", "Folder for logs; a temporary one by default.")
    app.run(main)
