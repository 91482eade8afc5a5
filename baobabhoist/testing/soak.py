"""Run daemons and stand-ins under seeded faults and judge the guarantees from outside."""

from __future__ import annotations

import asyncio
import json
import random
import re
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from baobabhoist.records.view import key_digest
from baobabhoist.testing import soak_faults, soak_run
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster
from baobabhoist.testing.soak_faults import DATA_CENTRES, FAULTS, MARKER, MEMBERS_LAG_S, TEAMS
from baobabhoist.testing.soak_judge import Judge
from baobabhoist.testing.soak_run import Driver

FLAGS = flags.FLAGS

INSTANCES = {name: [f"{name}-1", f"{name}-2"] for name in DATA_CENTRES}
SHARDS = [f"{name}-{rack}" for name in DATA_CENTRES for rack in ("a", "b")]
WORKERS_PER_SHARD = 3
CAPACITY = {"cpu_milli": 8000, "memory_mb": 16384, "slots": 4}
REQUESTS_PER_S = 30.0
DEADLINE_S = 15.0
# A caller gives up this long after its deadline.
CALLER_PATIENCE_S = 5.0
STATUS_INTERVAL_S = 0.5
CHANGE_INTERVAL_S = 2.0
JOB_INTERVAL_S = 5.0
READY_TIMEOUT_S = 30.0
RETRIES = 30
DUPLICATE_PROBABILITY = 0.1
URGENT_PROBABILITY = 0.1
SHORT_KEY_PROBABILITY = 0.1


@attrs.define
class Soak(Driver):
    """Hold one run: its cluster, its load and the logs of callers and driver."""

    cluster: Cluster
    rng: random.Random
    callers: list[dict[str, Any]] = attrs.Factory(list)
    workers: dict[str, str] = attrs.Factory(dict)
    jobs: dict[str, str] = attrs.Factory(dict)
    states: dict[str, int] = attrs.Factory(dict)
    boots: dict[str, int] = attrs.Factory(dict)
    down: set[str] = attrs.Factory(set)
    cut_off: str = ""
    size_factor: float = 1.0
    short_key: str = "short-key"
    http: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)

    async def command(self, process: str, path: str, body: dict[str, Any]) -> None:
        """Send a command to a stand-in."""
        await asyncio.to_thread(self.cluster.command, process, path, body)

    async def member(self, name: str, state: str, kind: str = "worker") -> None:
        """Change a VM in the platform's membership list."""
        body = {"state": state, "kind": kind, "data_centre": name.split("-")[0]}
        await asyncio.to_thread(self.cluster.command, "platform", f"/members/{name}", body, "PUT")

    async def start(self) -> None:
        """Start all processes and write the records."""
        self.cluster.start_platform(f"--members_lag_s={MEMBERS_LAG_S}")
        self.cluster.plan_instances(INSTANCES)
        shards = {shard: self._start_workers(shard) for shard in SHARDS}
        for name, cfg in self.cluster.instances.items():
            self.cluster.plan_relay(f"platform:{name}", self.cluster.platform_port)
            for other in self.cluster.instances:
                if other != name:
                    self.cluster.plan_relay(f"peer:{other}>{name}", cfg["peer_port"])
        self.cluster.start_relays()
        for name in [*self.workers, *self.cluster.instances]:
            await self.member(name, "live", "worker" if name in self.workers else "entry")
        for name in self.cluster.instances:
            await self.restart(name)
        for shard, listed in shards.items():
            body = {"data_centre": shard.split("-")[0], "workers": listed}
            await self.until_done(self.put, "shard", shard, body)
        for team, limit in TEAMS.items():
            await self.until_done(self.put_limit, team, limit)
            key = {"team": team, "digest": key_digest(f"key-of-{team}")}
            await self.until_done(self.put, "key", team, key)
        await self.until_done(self.put_key)
        for queue in ("entries", MARKER):
            await self.until_done(self.put, "queue", queue, {})

    def _start_workers(self, shard: str) -> list[dict[str, Any]]:
        names = [f"{shard}-{n}" for n in range(WORKERS_PER_SHARD)]
        self.workers |= dict.fromkeys(names, shard)
        options = [f"--{name}={amount}" for name, amount in CAPACITY.items()]
        log = f"--log={self.cluster.folder}/workers-{shard}.jsonl"
        ports = self.cluster.start_workers(
            f"workers-{shard}", names, *options, log, f"--rack={shard}", "--usage_lag_s=2"
        )
        self.note("shard", shard=shard, workers=names)
        relays = {name: self.cluster.plan_relay(f"worker:{name}", ports[name]) for name in names}
        address = {"host": "127.0.0.1", "rack": shard}
        return [{"name": n, "port": port, **address, **CAPACITY} for n, port in relays.items()]

    async def restart(self, name: str) -> None:
        """Start a daemon and wait until it is ready for callers, or give up waiting."""
        self.boots[name] = self.boots.get(name, 0) + 1
        self.cluster.start_instance(name)
        self.cluster.label_sources()
        give_up_at = time.time() + READY_TIMEOUT_S
        url = f"http://127.0.0.1:{self.cluster.instances[name]['caller_port']}/readyz"
        while time.time() < give_up_at:
            answer = await self.fetch(url, timeout_s=1.0)
            if not isinstance(answer, str) and answer.code == 200:
                break
            await asyncio.sleep(0.2)
        self.down.discard(name)

    async def fetch(self, url: str, timeout_s: float, **options: Any) -> HTTPResponse | str:
        """Return the response, or why there is none."""
        return await soak_run.fetch(self.http, url, timeout_s, **options)

    async def until_done(self, work: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Repeat a change until it is accepted."""
        for _ in range(RETRIES):
            done = await work(*args)
            if done:
                return done
            await asyncio.sleep(1.0)
        raise RuntimeError(f"{work.__name__}{args} was not accepted {RETRIES} times")

    async def admin(self, path: str, **options: Any) -> HTTPResponse | str:
        """Call the admin API of an instance that has the platform."""
        usable = [
            cfg
            for name, cfg in self.cluster.instances.items()
            if name not in self.down and cfg["data_centre"] != self.cut_off
        ]
        port = self.rng.choice(usable)["admin_port"]
        headers = {"X-Operator-Key": OPERATOR_KEY, **options.pop("headers", {})}
        return await self.fetch(f"http://127.0.0.1:{port}{path}", 10.0, headers=headers, **options)

    async def revision_of(self, kind: str, name: str) -> int:
        """Return the revision of a record, or 0 when it cannot be read."""
        answer = await self.admin(f"/v1/records/{kind}/{name}")
        if isinstance(answer, str) or answer.code != 200:
            return 0
        return int(json.loads(answer.body)["revision"])

    async def put(
        self, kind: str, name: str, body: dict[str, Any], base: int | None = None
    ) -> int:
        """Write a record and return its new revision, or 0 when that was not confirmed."""
        if base is None:
            base = await self.revision_of(kind, name)
        headers = {"If-Match": f'"{base}"'} if base else {"If-None-Match": "*"}
        data = json.dumps({"schema_version": 1, "body": body})
        path = f"/v1/records/{kind}/{name}"
        answer = await self.admin(path, method="PUT", headers=headers, body=data)
        if isinstance(answer, str) or answer.code >= 300:
            return 0
        revision = int(json.loads(answer.body)["revision"])
        self.note("record", kind=kind, name=name, revision=revision)
        return revision

    async def put_key(self, withdrawn: bool = False) -> int:
        """Write the key that is revoked now and then."""
        body = {"team": "walkin", "digest": key_digest(self.short_key), "withdrawn": withdrawn}
        return await self.put("key", self.short_key, body)

    async def put_limit(self, team: str, limit: int) -> int:
        """Change a team's upper limit; an unconfirmed change counts as possible."""
        sent = time.time()
        revision = await self.put("team", team, {"limit": limit})
        self.note("limit", team=team, limit=limit, sent=sent, uncertain=not revision)
        return revision

    async def request(self, ref: str, rng: random.Random) -> None:
        """Send one request, sometimes twice under one key, and log what came back."""
        team = rng.choice(list(TEAMS))
        key = f"key-of-{team}"
        if rng.random() < SHORT_KEY_PROBABILITY:
            team, key = "walkin", self.short_key
        run_s = rng.choice([0.0, 0.02, 0.1, 0.5])
        idempotent = rng.random() < 0.3
        cpu_milli = rng.choice([0, 100, 500, 2000])
        orders = {
            "ref": ref,
            "run_s": run_s * self.size_factor,
            "pad": "x" * rng.choice([0, 9999]),
        }
        orders["cpu_milli"] = int(cpu_milli * self.size_factor)
        headers = {
            "X-Team-Key": key,
            "X-Idempotent": "true" if idempotent else "false",
            "X-Urgency": "urgent" if rng.random() < URGENT_PROBABILITY else "normal",
            "X-Cpu-Milli": str(cpu_milli),
            "Request-Deadline": f"{time.time() + DEADLINE_S:.3f}",
        }
        names = [name for name in self.cluster.instances if name not in self.down]
        chosen = [rng.choice(names)]
        if rng.random() < DUPLICATE_PROBABILITY:
            headers |= {"Idempotency-Key": ref, "Idempotency-First-Sent": f"{time.time():.3f}"}
            chosen.append(rng.choice(names))
        entry = {"ref": ref, "team": team, "key": key, "idempotent": idempotent}
        body = json.dumps(orders).encode()
        await asyncio.gather(*(self._attempt(name, headers, body, entry) for name in chosen))

    async def _attempt(
        self, name: str, headers: dict[str, str], body: bytes, entry: dict[str, Any]
    ) -> None:
        port = self.cluster.instances[name]["caller_port"]
        entry = {"t": time.time(), "event": "request", "instance": name, **entry}
        answer = await self.fetch(
            f"http://127.0.0.1:{port}/v1/queues/entries/requests",
            DEADLINE_S + CALLER_PATIENCE_S,
            method="POST",
            headers=headers,
            body=body,
        )
        entry["end"] = time.time()
        if isinstance(answer, str):
            entry["error"] = answer
        elif answer.code == 200:
            entry |= {"status": 200, "whole": answer.body.partition(b":")[2] == body}
        else:
            refusal = json.loads(answer.body)
            entry["status"] = answer.code
            entry |= {name: refusal[name] for name in ("kind", "outcome", "message")}
        self.callers.append(entry)

    async def load(self) -> None:
        """Send requests at a steady rate until cancelled."""
        number = 0
        while True:
            number += 1
            self.spawn(self.request(f"r{number}", random.Random(self.rng.random())))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def submit_job(self, rng: random.Random, kind: str, count: int) -> str:
        """Submit a job and return its id, or nothing when it was not accepted."""
        team, idempotent = rng.choice(list(TEAMS)), kind == "service" or rng.random() < 0.5
        ref = f"j{rng.randrange(1 << 40)}"
        payloads = [json.dumps({"ref": f"{ref}/{n}", "run_s": 0.3}) for n in range(count)]
        resources = {"cpu_milli": 200, "memory_mb": 64}
        body = {
            "queue": "entries",
            "kind": kind,
            "idempotent": idempotent,
            "tasks": [{"payload": payload, "resources": resources} for payload in payloads],
        }
        self.callers.append(
            {"t": time.time(), "event": "job", "ref": ref, "team": team, "idempotent": idempotent}
        )
        answer = await self._job(team, "", method="POST", body=json.dumps(body))
        if isinstance(answer, str) or answer.code >= 300:
            return ""
        job_id = str(json.loads(answer.body)["job_id"])
        self.jobs[job_id] = team
        return job_id

    async def cancel_job(self, job_id: str) -> None:
        """Cancel a job."""
        await self._job(self.jobs[job_id], f"/{job_id}", method="DELETE")

    async def _job(self, team: str, path: str, **options: Any) -> HTTPResponse | str:
        names = [name for name in self.cluster.instances if name not in self.down]
        port = self.cluster.instances[self.rng.choice(names)]["caller_port"]
        url = f"http://127.0.0.1:{port}/v1/jobs{path}"
        return await self.fetch(url, 10.0, headers={"X-Team-Key": f"key-of-{team}"}, **options)

    async def submit_jobs(self) -> None:
        """Submit a job now and then until cancelled."""
        while True:
            await asyncio.sleep(JOB_INTERVAL_S)
            kind, count = self.rng.choice([("batch", 12), ("gang", 4)])
            await self.submit_job(random.Random(self.rng.random()), kind, count)

    async def job_states(self) -> dict[str, int]:
        """Return how many accepted jobs are in each state; an unknown job is `lost`."""
        states: dict[str, int] = {}
        for job_id, team in self.jobs.items():
            answer = await self._job(team, f"/{job_id}")
            state = "unreadable"
            if not isinstance(answer, str):
                found = json.loads(answer.body)
                state = "lost" if answer.code == 404 else found.get("state", "unreadable")
            states[state] = states.get(state, 0) + 1
        return states

    async def change_records(self) -> None:
        """Change a record now and then until cancelled."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            await self.put("queue", MARKER, {"max_queued": self.rng.randrange(500, 999)})

    async def sample(self) -> None:
        """Ask each daemon for its records revision until cancelled."""
        headers = {"X-Operator-Key": OPERATOR_KEY}
        while True:
            for name, cfg in self.cluster.instances.items():
                boot = self.boots.get(name, 0)
                url = f"http://127.0.0.1:{cfg['admin_port']}/v1/status"
                answer = await self.fetch(url, timeout_s=0.5, headers=headers)
                if not isinstance(answer, str) and answer.code == 200 and name not in self.down:
                    revision = json.loads(answer.body)["records_revision"]
                    self.note("status", instance=name, boot=boot, revision=revision)
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def run(self, seconds: float, steps: list[soak_faults.Step]) -> None:
        """Run the load and the faults, then wait for the open requests."""
        await self.start()
        started_at = time.time()
        background = [
            asyncio.create_task(work)
            for work in (self.load(), self.sample(), self.change_records(), self.submit_jobs())
        ]
        faults = []
        for step in steps:
            await asyncio.sleep(max(0.0, started_at + step.at - time.time()))
            print(
                f"{time.time() - started_at:7.1f}s {step.fault} {step.duration_s:.1f}s", flush=True
            )
            faults.append(asyncio.create_task(soak_faults.inject(self, step)))
        await asyncio.sleep(max(0.0, started_at + seconds - time.time()))
        await asyncio.gather(*faults)
        for task in background:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.states = await self.job_states()


def judge(soak: Soak) -> bool:
    """Print the verdicts and return whether all held."""
    folder = soak.cluster.folder
    lines = [line for path in folder.glob("*.jsonl") for line in path.read_text().splitlines()]
    (folder / "driver.json").write_text(json.dumps([soak.callers, soak.driver]))
    verdict = Judge([json.loads(line) for line in lines], soak.callers, soak.driver)
    verdict.judge()
    print("\n".join(verdict.lines()))
    faulty = 0
    for name in soak.cluster.instances:
        text = (folder / f"{name}.log").read_text(errors="replace")
        # tornado logs a traceback for each call that a stopping daemon cancels.
        lines = [line for line in text.splitlines() if "after Future was cancelled" not in line]
        faulty += sum(1 for line in lines if re.search(r"\[100[56]\]|Traceback", line))
    print(f"internal: invariant breaches and crashed tasks logged by daemons: {faulty}")
    print(f"jobs: {soak.states}")
    requests = [entry for entry in soak.callers if entry["event"] == "request"]
    answers = Counter(e.get("kind") or e.get("status") or e["error"] for e in requests)
    print(f"answers: {dict(answers.most_common())}")
    return verdict.passed and not faulty and not soak.states.get("lost")


def main(argv: list[str]) -> int:
    """Run one soak."""
    AsyncHTTPClient.configure(None, max_clients=1000)
    folder = soak_run.prepare(FLAGS.folder, FLAGS.faults, FAULTS)
    if folder is None:
        return 2
    steps = soak_faults.schedule(FLAGS.seed, FLAGS.seconds, FLAGS.faults, FLAGS.longest_s)

    async def body(cluster: Cluster) -> Soak:
        soak = Soak(cluster, random.Random(FLAGS.seed))
        await soak.run(FLAGS.seconds, steps)
        return soak

    with Cluster(folder) as cluster:
        soak = asyncio.run(body(cluster))
    print(f"seed={FLAGS.seed} seconds={FLAGS.seconds:g} logs in {folder}")
    return 0 if judge(soak) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
    flags.DEFINE_float("seconds", 120.0, "Length of the run, in seconds.")
    flags.DEFINE_list("faults", sorted(FAULTS), "Faults to inject.")
    longest = "Longest time of a fault, in seconds."
    flags.DEFINE_float("longest_s", soak_faults.FAULT_MAX_S, longest)
    flags.DEFINE_string("folder", "", "Folder for logs; a temporary one by default.")
    app.run(main)
