"""Run daemons and fakes under seeded faults, and check the guarantees against external logs."""

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
from baobabhoist.testing import soak_driver, soak_faults
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster
from baobabhoist.testing.soak_checker import GuaranteeChecker
from baobabhoist.testing.soak_driver import SoakDriver
from baobabhoist.testing.soak_faults import (
    DATA_CENTRES,
    FAULTS,
    MARKER_QUEUE,
    MEMBERSHIP_LAG_S,
    TEAM_LIMITS,
)

FLAGS = flags.FLAGS

INSTANCES = {name: [f"{name}-1", f"{name}-2"] for name in DATA_CENTRES}
SHARDS = [f"{name}-{rack}" for name in DATA_CENTRES for rack in ("a", "b")]
WORKERS_PER_SHARD = 3
CAPACITY = {"cpu_milli": 8000, "memory_mb": 16384, "slots": 4}
REQUESTS_PER_S = 30.0
DEADLINE_S = 15.0
# A caller waits this long after the deadline of its request.
CALLER_GRACE_S = 5.0
STATUS_INTERVAL_S = 0.5
RECORD_CHANGE_INTERVAL_S = 2.0
JOB_INTERVAL_S = 5.0
READY_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 30
DUPLICATE_PROBABILITY = 0.1
URGENT_PROBABILITY = 0.1
REVOCABLE_KEY_PROBABILITY = 0.1


@attrs.define
class Soak(SoakDriver):
    """Run the cluster and its load, and log what the callers and the driver observe."""

    cluster: Cluster
    rng: random.Random
    caller_log: list[dict[str, Any]] = attrs.Factory(list)
    shard_by_worker: dict[str, str] = attrs.Factory(dict)
    team_by_job: dict[str, str] = attrs.Factory(dict)
    job_state_counts: dict[str, int] = attrs.Factory(dict)
    boot_counts: dict[str, int] = attrs.Factory(dict)
    down_instances: set[str] = attrs.Factory(set)
    isolated_data_centre: str = ""
    # Scales the run time and the actual processor use of requests, but not what they declare.
    usage_factor: float = 1.0
    revocable_key: str = "short-key"
    http_client: AsyncHTTPClient = attrs.Factory(AsyncHTTPClient)

    async def send_control_request(self, process: str, path: str, body: dict[str, Any]) -> None:
        """Send a request to the control port of a fake."""
        await asyncio.to_thread(self.cluster.send_control_request, process, path, body)

    async def set_member_state(self, name: str, state: str, kind: str = "worker") -> None:
        """Change the state of a VM in the platform's membership list."""
        body = {"state": state, "kind": kind, "data_centre": name.split("-")[0]}
        await asyncio.to_thread(
            self.cluster.send_control_request, "platform", f"/members/{name}", body, "PUT"
        )

    async def start(self) -> None:
        """Start all processes and store the records."""
        self.cluster.start_platform(f"--members_lag_s={MEMBERSHIP_LAG_S}")
        self.cluster.add_instances(INSTANCES)
        shards = {shard: self._start_workers(shard) for shard in SHARDS}
        for name, cfg in self.cluster.instances.items():
            self.cluster.add_relay(f"platform:{name}", self.cluster.platform_port)
            for other in self.cluster.instances:
                if other != name:
                    self.cluster.add_relay(f"peer:{other}>{name}", cfg["peer_port"])
        self.cluster.start_relays()
        for name in [*self.shard_by_worker, *self.cluster.instances]:
            await self.set_member_state(
                name, "live", "worker" if name in self.shard_by_worker else "entry"
            )
        for name in self.cluster.instances:
            await self.start_instance(name)
        for shard, listed in shards.items():
            body = {"data_centre": shard.split("-")[0], "workers": listed}
            await self.retry_until_accepted(self.put_record, "shard", shard, body)
        for team, limit in TEAM_LIMITS.items():
            await self.retry_until_accepted(self.put_team_limit, team, limit)
            key = {"team": team, "digest": key_digest(f"key-of-{team}")}
            await self.retry_until_accepted(self.put_record, "key", team, key)
        await self.retry_until_accepted(self.put_revocable_key)
        for queue in ("entries", MARKER_QUEUE):
            await self.retry_until_accepted(self.put_record, "queue", queue, {})

    def _start_workers(self, shard: str) -> list[dict[str, Any]]:
        names = [f"{shard}-{n}" for n in range(WORKERS_PER_SHARD)]
        self.shard_by_worker |= dict.fromkeys(names, shard)
        options = [f"--{name}={amount}" for name, amount in CAPACITY.items()]
        log = f"--log={self.cluster.folder}/workers-{shard}.jsonl"
        ports = self.cluster.start_workers(
            f"workers-{shard}", names, *options, log, f"--rack={shard}", "--usage_lag_s=2"
        )
        self.log_event("shard", shard=shard, workers=names)
        relays = {name: self.cluster.add_relay(f"worker:{name}", ports[name]) for name in names}
        address = {"host": "127.0.0.1", "rack": shard}
        return [{"name": n, "port": port, **address, **CAPACITY} for n, port in relays.items()]

    async def start_instance(self, name: str) -> None:
        """Start a daemon and wait until it is ready for callers, or until a timeout."""
        self.boot_counts[name] = self.boot_counts.get(name, 0) + 1
        self.cluster.start_instance(name)
        self.cluster.label_sources()
        deadline = time.time() + READY_TIMEOUT_S
        url = f"http://127.0.0.1:{self.cluster.instances[name]['caller_port']}/readyz"
        while time.time() < deadline:
            response = await self.try_fetch(url, timeout_s=1.0)
            if not isinstance(response, str) and response.code == 200:
                break
            await asyncio.sleep(0.2)
        self.down_instances.discard(name)

    async def try_fetch(self, url: str, timeout_s: float, **options: Any) -> HTTPResponse | str:
        """Return the response, or the reason why there is none."""
        return await soak_driver.try_fetch(self.http_client, url, timeout_s, **options)

    async def retry_until_accepted(self, change: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Retry a change until it is accepted; raises RuntimeError after too many attempts."""
        for _ in range(MAX_ATTEMPTS):
            result = await change(*args)
            if result:
                return result
            await asyncio.sleep(1.0)
        raise RuntimeError(f"{change.__name__}{args} was not accepted in {MAX_ATTEMPTS} attempts")

    async def call_admin(self, path: str, **options: Any) -> HTTPResponse | str:
        """Call the admin API of a running instance that can reach the platform."""
        candidates = [
            cfg
            for name, cfg in self.cluster.instances.items()
            if name not in self.down_instances and cfg["data_centre"] != self.isolated_data_centre
        ]
        port = self.rng.choice(candidates)["admin_port"]
        headers = {"X-Operator-Key": OPERATOR_KEY, **options.pop("headers", {})}
        return await self.try_fetch(
            f"http://127.0.0.1:{port}{path}", 10.0, headers=headers, **options
        )

    async def read_revision(self, kind: str, name: str) -> int:
        """Return the revision of a record, or 0 if it cannot be read."""
        response = await self.call_admin(f"/v1/records/{kind}/{name}")
        if isinstance(response, str) or response.code != 200:
            return 0
        return int(json.loads(response.body)["revision"])

    async def put_record(
        self, kind: str, name: str, body: dict[str, Any], base_revision: int | None = None
    ) -> int:
        """Write a record and return its new revision, or 0 if the write was not confirmed."""
        if base_revision is None:
            base_revision = await self.read_revision(kind, name)
        headers = {"If-Match": f'"{base_revision}"'} if base_revision else {"If-None-Match": "*"}
        data = json.dumps({"schema_version": 1, "body": body})
        path = f"/v1/records/{kind}/{name}"
        response = await self.call_admin(path, method="PUT", headers=headers, body=data)
        if isinstance(response, str) or response.code >= 300:
            return 0
        revision = int(json.loads(response.body)["revision"])
        self.log_event("record", kind=kind, name=name, revision=revision)
        return revision

    async def put_revocable_key(self, withdrawn: bool = False) -> int:
        """Write the record of the team key that the fault `revoke` withdraws."""
        body = {"team": "walkin", "digest": key_digest(self.revocable_key), "withdrawn": withdrawn}
        return await self.put_record("key", self.revocable_key, body)

    async def put_team_limit(self, team: str, limit: int) -> int:
        """Change the limit of a team; the checker allows for an unconfirmed change either way."""
        sent_at = time.time()
        revision = await self.put_record("team", team, {"limit": limit})
        self.log_event("limit", team=team, limit=limit, sent=sent_at, uncertain=not revision)
        return revision

    async def send_request(self, ref: str, rng: random.Random) -> None:
        """Send a request, sometimes twice with one idempotency key, and log the outcome."""
        team = rng.choice(list(TEAM_LIMITS))
        key = f"key-of-{team}"
        if rng.random() < REVOCABLE_KEY_PROBABILITY:
            team, key = "walkin", self.revocable_key
        run_s = rng.choice([0.0, 0.02, 0.1, 0.5])
        idempotent = rng.random() < 0.3
        cpu_milli = rng.choice([0, 100, 500, 2000])
        payload = {
            "ref": ref,
            "run_s": run_s * self.usage_factor,
            "pad": "x" * rng.choice([0, 9999]),
        }
        payload["cpu_milli"] = int(cpu_milli * self.usage_factor)
        headers = {
            "X-Team-Key": key,
            "X-Idempotent": "true" if idempotent else "false",
            "X-Urgency": "urgent" if rng.random() < URGENT_PROBABILITY else "normal",
            "X-Cpu-Milli": str(cpu_milli),
            "Request-Deadline": f"{time.time() + DEADLINE_S:.3f}",
        }
        available = [name for name in self.cluster.instances if name not in self.down_instances]
        targets = [rng.choice(available)]
        if rng.random() < DUPLICATE_PROBABILITY:
            headers |= {"Idempotency-Key": ref, "Idempotency-First-Sent": f"{time.time():.3f}"}
            targets.append(rng.choice(available))
        entry = {"ref": ref, "team": team, "key": key, "idempotent": idempotent}
        body = json.dumps(payload).encode()
        await asyncio.gather(*(self._send_attempt(name, headers, body, entry) for name in targets))

    async def _send_attempt(
        self, name: str, headers: dict[str, str], body: bytes, entry: dict[str, Any]
    ) -> None:
        port = self.cluster.instances[name]["caller_port"]
        entry = {"t": time.time(), "event": "request", "instance": name, **entry}
        response = await self.try_fetch(
            f"http://127.0.0.1:{port}/v1/queues/entries/requests",
            DEADLINE_S + CALLER_GRACE_S,
            method="POST",
            headers=headers,
            body=body,
        )
        entry["end"] = time.time()
        if isinstance(response, str):
            entry["error"] = response
        elif response.code == 200:
            entry |= {"status": 200, "whole": response.body.partition(b":")[2] == body}
        else:
            refusal = json.loads(response.body)
            entry["status"] = response.code
            entry |= {name: refusal[name] for name in ("kind", "outcome", "message")}
        self.caller_log.append(entry)

    async def send_requests(self) -> None:
        """Send requests as a Poisson process until cancelled."""
        number = 0
        while True:
            number += 1
            self.spawn(self.send_request(f"r{number}", random.Random(self.rng.random())))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def submit_job(self, rng: random.Random, kind: str, count: int) -> str:
        """Submit a job and return its id, or an empty string if it was not accepted."""
        team, idempotent = rng.choice(list(TEAM_LIMITS)), kind == "service" or rng.random() < 0.5
        ref = f"j{rng.randrange(1 << 40)}"
        payloads = [json.dumps({"ref": f"{ref}/{n}", "run_s": 0.3}) for n in range(count)]
        resources = {"cpu_milli": 200, "memory_mb": 64}
        body = {
            "queue": "entries",
            "kind": kind,
            "idempotent": idempotent,
            "tasks": [{"payload": payload, "resources": resources} for payload in payloads],
        }
        self.caller_log.append(
            {"t": time.time(), "event": "job", "ref": ref, "team": team, "idempotent": idempotent}
        )
        response = await self._call_jobs_api(team, "", method="POST", body=json.dumps(body))
        if isinstance(response, str) or response.code >= 300:
            return ""
        job_id = str(json.loads(response.body)["job_id"])
        self.team_by_job[job_id] = team
        return job_id

    async def cancel_job(self, job_id: str) -> None:
        """Cancel a job."""
        await self._call_jobs_api(self.team_by_job[job_id], f"/{job_id}", method="DELETE")

    async def _call_jobs_api(self, team: str, path: str, **options: Any) -> HTTPResponse | str:
        available = [name for name in self.cluster.instances if name not in self.down_instances]
        port = self.cluster.instances[self.rng.choice(available)]["caller_port"]
        url = f"http://127.0.0.1:{port}/v1/jobs{path}"
        return await self.try_fetch(url, 10.0, headers={"X-Team-Key": f"key-of-{team}"}, **options)

    async def submit_jobs(self) -> None:
        """Submit a job at intervals until cancelled."""
        while True:
            await asyncio.sleep(JOB_INTERVAL_S)
            kind, count = self.rng.choice([("batch", 12), ("gang", 4)])
            await self.submit_job(random.Random(self.rng.random()), kind, count)

    async def count_job_states(self) -> dict[str, int]:
        """Return the number of accepted jobs in each state; an unknown job is `lost`."""
        counts: dict[str, int] = {}
        for job_id, team in self.team_by_job.items():
            response = await self._call_jobs_api(team, f"/{job_id}")
            state = "unreadable"
            if not isinstance(response, str):
                status = json.loads(response.body)
                state = "lost" if response.code == 404 else status.get("state", "unreadable")
            counts[state] = counts.get(state, 0) + 1
        return counts

    async def change_marker(self) -> None:
        """Change the marker queue at intervals until cancelled."""
        while True:
            await asyncio.sleep(RECORD_CHANGE_INTERVAL_S)
            await self.put_record(
                "queue", MARKER_QUEUE, {"max_queued": self.rng.randrange(500, 999)}
            )

    async def poll_revisions(self) -> None:
        """Log the records revision of each daemon at intervals until cancelled."""
        headers = {"X-Operator-Key": OPERATOR_KEY}
        while True:
            for name, cfg in self.cluster.instances.items():
                boot = self.boot_counts.get(name, 0)
                url = f"http://127.0.0.1:{cfg['admin_port']}/v1/status"
                response = await self.try_fetch(url, timeout_s=0.5, headers=headers)
                if (
                    not isinstance(response, str)
                    and response.code == 200
                    and name not in self.down_instances
                ):
                    revision = json.loads(response.body)["records_revision"]
                    self.log_event("status", instance=name, boot=boot, revision=revision)
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def run(self, seconds: float, schedule: list[soak_faults.ScheduledFault]) -> None:
        """Run the load and inject the faults, then wait for the open requests."""
        await self.start()
        started_at = time.time()
        load_tasks = [
            asyncio.create_task(coro)
            for coro in (
                self.send_requests(),
                self.poll_revisions(),
                self.change_marker(),
                self.submit_jobs(),
            )
        ]
        injections = []
        for fault in schedule:
            await asyncio.sleep(max(0.0, started_at + fault.start_s - time.time()))
            print(
                f"{time.time() - started_at:7.1f}s {fault.name} {fault.duration_s:.1f}s",
                flush=True,
            )
            injections.append(asyncio.create_task(soak_faults.inject_fault(self, fault)))
        await asyncio.sleep(max(0.0, started_at + seconds - time.time()))
        await asyncio.gather(*injections)
        for task in load_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        self.job_state_counts = await self.count_job_states()


def check_and_report(soak: Soak) -> bool:
    """Print the results and return whether all guarantees held."""
    folder = soak.cluster.folder
    lines = [line for path in folder.glob("*.jsonl") for line in path.read_text().splitlines()]
    (folder / "driver.json").write_text(json.dumps([soak.caller_log, soak.driver_log]))
    checker = GuaranteeChecker(
        [json.loads(line) for line in lines], soak.caller_log, soak.driver_log
    )
    checker.check_all()
    print("\n".join(checker.report_lines()))
    internal_error_count = 0
    for name in soak.cluster.instances:
        text = (folder / f"{name}.log").read_text(errors="replace")
        # Tornado logs a traceback for each call that a stopping daemon cancels.
        lines = [line for line in text.splitlines() if "after Future was cancelled" not in line]
        internal_error_count += sum(
            1 for line in lines if re.search(r"\[100[56]\]|Traceback", line)
        )
    print(
        f"internal: invariant breaches and crashed tasks logged by daemons: {internal_error_count}"
    )
    print(f"jobs: {soak.job_state_counts}")
    requests = [entry for entry in soak.caller_log if entry["event"] == "request"]
    answer_counts = Counter(e.get("kind") or e.get("status") or e["error"] for e in requests)
    print(f"answers: {dict(answer_counts.most_common())}")
    return checker.passed and not internal_error_count and not soak.job_state_counts.get("lost")


def main(argv: list[str]) -> int:
    """Run one soak."""
    AsyncHTTPClient.configure(None, max_clients=1000)
    folder = soak_driver.prepare_log_folder(FLAGS.folder, FLAGS.faults, FAULTS)
    if folder is None:
        return 2
    schedule = soak_faults.schedule_faults(
        FLAGS.seed, FLAGS.seconds, FLAGS.faults, FLAGS.longest_s
    )

    async def run(cluster: Cluster) -> Soak:
        soak = Soak(cluster, random.Random(FLAGS.seed))
        await soak.run(FLAGS.seconds, schedule)
        return soak

    with Cluster(folder) as cluster:
        soak = asyncio.run(run(cluster))
    print(f"seed={FLAGS.seed} seconds={FLAGS.seconds:g} logs in {folder}")
    return 0 if check_and_report(soak) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
    flags.DEFINE_float("seconds", 120.0, "Duration of the run, in seconds.")
    flags.DEFINE_list("faults", sorted(FAULTS), "Faults to inject.")
    longest_help = "Maximum duration of a fault, in seconds."
    flags.DEFINE_float("longest_s", soak_faults.MAX_FAULT_S, longest_help)
    flags.DEFINE_string("folder", "", "Empty folder for logs; a temporary one by default.")
    app.run(main)
