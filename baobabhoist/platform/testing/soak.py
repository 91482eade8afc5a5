"""Run instances under seeded faults and check the platform's guarantees from outside."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections import Counter
from typing import Any

import attrs
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from baobabhoist.platform.testing import soak_faults
from baobabhoist.platform.testing.deployment import Deployment, run_periodically
from baobabhoist.platform.testing.soak_advice import (
    PROFILES,
    Profile,
)
from baobabhoist.platform.testing.soak_checker import (
    REFUSED_STATUSES,
    GuaranteeChecker,
    is_cancel_acknowledged,
)
from baobabhoist.platform.testing.soak_faults import FAULTS
from baobabhoist.platform.testing.soak_jobs import QUEUES, JobGenerator
from baobabhoist.platform.testing.soak_late_returns import LATE_STARTS_AT_RETURN
from baobabhoist.platform.testing.soak_late_starts import LATE_STARTS
from baobabhoist.platform.testing.soak_leavers import LEAVE_PROBABILITY, submit_and_leave
from baobabhoist.platform.testing.soak_records import SubmittedJob, Team
from baobabhoist.platform.testing.soak_slowdowns import slowed_processes
from baobabhoist.platform.testing.soak_takeover import OUTAGE_TAKEOVER
from baobabhoist.platform.testing.soak_workers_gone import WORKERS_GONE, max_ended_workers
from baobabhoist.testing import soak_driver
from baobabhoist.testing.cluster import Cluster
from baobabhoist.testing.soak_driver import SoakDriver

FLAGS = flags.FLAGS

# The curl client keeps the callers' connections open until the instance is gone.
HTTP_CLIENT_CLASS = "tornado.curl_httpclient.CurlAsyncHTTPClient"
HTTP_CLIENTS_MAX = 400
# With odd seeds the owner is too small to hold the sessions with all workers.
SMALL_INSTANCE_CORES, LARGE_INSTANCE_CORES = 0.15, 1.0
JOBS_PER_S = 10.0
REQUEST_TIMEOUT_S = 3.0
REQUEST_ATTEMPTS = 5
RETRY_DELAY_S = 0.3
READY_CHECK_INTERVAL_S = 0.5
READY_FAILURE_THRESHOLD = 2
STATE_POLL_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 5.0
# All accepted jobs must finish within this time after the last fault and the last submission.
FINISH_TIMEOUT_S = 25.0
START_TIMEOUT_S = 10.0
CANCEL_PROBABILITY = 0.08
DUPLICATE_PROBABILITY = 0.1
# With outages and takeovers, this share of the callers gives up when it is refused once, and this
# share cancels a job as soon as it is shown as ended.
SINGLE_ATTEMPT_PROBABILITY = 0.3
CANCEL_ENDED_PROBABILITY = 0.5
UNKNOWN_KEY_PROBABILITY = 0.03
# The HTTP client reports a request without a response under this status.
NO_RESPONSE_STATUS = 599
# The teams' limits in thousandths of a core; 0 means no limit.
SMALL_TEAM_CPU_LIMITS = {"alpha": 20_000, "beta": 8_000, "gamma": 0}


@attrs.define
class Soak(SoakDriver):
    """Drive one run: its processes, its load and the logs of the callers and the driver."""

    deployment: Deployment
    rng: random.Random
    caller_log: list[dict[str, Any]] = attrs.Factory(list)
    jobs: dict[str, SubmittedJob] = attrs.Factory(dict)
    final_states: dict[str, str] = attrs.Factory(dict)
    down_instances: set[str] = attrs.Factory(set)
    failed_ready_checks: Counter[str] = attrs.Factory(Counter)
    # The limits at first, and those that are configured now.
    usual_limits: dict[str, int] = attrs.field(init=False)
    team_cpu_limits: dict[str, int] = attrs.field(init=False)
    api_keys: dict[str, list[str]] = attrs.field(init=False)
    load_factor: float = 1.0
    generator: JobGenerator = attrs.field(init=False)
    # How many times slower than usual all instances run.
    instance_slowdown: float = 1.0
    has_outage_takeovers: bool = False
    key_numbers: itertools.count[int] = attrs.Factory(lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        """Set the teams of the profile."""
        load = self.profile.load
        self.usual_limits = load.team_limits() if load else dict(SMALL_TEAM_CPU_LIMITS)
        self.team_cpu_limits = dict(self.usual_limits)
        self.generator = JobGenerator(self.profile, self.usual_limits)
        self.api_keys = {name: [f"key-{name}"] for name in self.usual_limits}

    @property
    def profile(self) -> Profile:
        """Return which deployment the run resembles."""
        return PROFILES[self.deployment.profile]

    def restart_instance(self, name: str) -> None:
        """Restart an instance."""
        self.deployment.start_instance(name)
        self.deployment.label_sources()
        self.down_instances.discard(name)

    # Actions of the operator.

    def make_config(self) -> dict[str, Any]:
        """Return the configuration with the current limits and keys."""
        routes = [
            {
                "name": name,
                "hostname": f"{name}.example",
                "prefix": f"/{name}/",
                "service": "svc",
                **queue,
                **self._advice_config(name),
            }
            for name, queue in QUEUES.items()
        ]
        tenants = [
            {
                "name": name,
                "weight": 1,
                "maximum": {"cpu": limit},
                "apiKeys": self.api_keys[name],
            }
            for name, limit in self.team_cpu_limits.items()
        ]
        return {"routes": routes, "services": [{"name": "svc"}], "tenants": tenants}

    def _advice_config(self, queue: str) -> dict[str, Any]:
        policy = self.profile.advice.get(queue)
        return {"advice": policy.config()} if policy else {}

    async def write_config(self) -> None:
        """Write the configuration and log the teams' new limits for the checker."""
        entry = self.log_event("limits", limits=dict(self.team_cpu_limits), acked=float("inf"))
        await self.deployment.write_config(self.make_config())
        entry["acked"] = time.time()

    async def change_team_limit(self, rng: random.Random) -> None:
        """Change the limit of a random team."""
        team = rng.choice([name for name, limit in self.usual_limits.items() if limit])
        usual_limit = self.usual_limits[team]
        self.team_cpu_limits[team] = rng.choice([usual_limit, usual_limit // 2, usual_limit * 2])
        await self.write_config()

    async def replace_team_key(self, rng: random.Random) -> None:
        """Revoke the API key of a random team and issue another one."""
        team = rng.choice(list(self.usual_limits))
        revoked_keys = self.api_keys[team]
        self.api_keys[team] = [f"key-{team}-{next(self.key_numbers)}"]
        await self.write_config()
        for key in revoked_keys:
            self.log_event("revoked", key=key)

    # Actions of the callers.

    def new_job(self, rng: random.Random, queue: str) -> SubmittedJob:
        """Return a random job for a queue."""
        job = self.generator.draw_job(rng, queue, self.deployment.worker_names)
        self.jobs[job.job_id] = job
        return job

    def _pick_instance(self, excluded: str = "") -> str:
        """Pick a ready instance, or any instance if fewer than half of them are ready."""
        ready_instances = [
            n
            for n in self.deployment.instances
            if self.failed_ready_checks[n] < READY_FAILURE_THRESHOLD and n != excluded
        ]
        others = [name for name in self.deployment.instances if name != excluded]
        return self.rng.choice(
            ready_instances if len(ready_instances) * 2 >= len(others) else others
        )

    async def _send_request(
        self,
        event: str,
        job: SubmittedJob,
        method: str,
        instance: str,
        key: str = "",
        patience_s: float = REQUEST_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Send one request and log it; `status` is 0 if there was no response.

        `left` tells whether the caller left before the time that it had given the instance.
        """
        entry: dict[str, Any] = {
            "t": time.time(),
            "event": event,
            "job": job.job_id,
            "instance": instance,
            "key": key or self.api_keys[job.team][0],
        }
        headers = {
            "Host": f"{job.queue}.example",
            "X-Credential": entry["key"],
            "X-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        response = await self.deployment.send_request(
            self.deployment.instances[instance].caller_port,
            method,
            f"/{job.queue}/{job.job_id}",
            patience_s,
            headers=headers,
            body=job.body if method == "POST" else None,
        )
        entry["end"] = time.time()
        entry["left"] = patience_s < REQUEST_TIMEOUT_S
        has_response = isinstance(response, HTTPResponse) and response.code != NO_RESPONSE_STATUS
        if isinstance(response, HTTPResponse) and has_response:
            entry["status"] = response.code
            entry["state"] = _read_state(response)
            entry["retry_after"] = response.headers.get("Retry-After")
        else:
            reason = response if isinstance(response, str) else response.error
            entry |= {"status": 0, "state": "", "reason": str(reason)}
        self.caller_log.append(entry)
        return entry

    async def submit(
        self, job: SubmittedJob, key: str = "", attempts: int = REQUEST_ATTEMPTS
    ) -> bool:
        """Submit a job, retrying unless it is refused for good; tell whether it was accepted."""
        instance = self._pick_instance()
        for _ in range(attempts):
            entry = await self._send_request("submit", job, "POST", instance, key)
            if entry["status"] == 200:
                return True
            if entry["status"] in REFUSED_STATUSES and entry["status"] not in (429, 503):
                return False
            pause_s = float(entry.get("retry_after") or RETRY_DELAY_S)
            await asyncio.sleep(pause_s + self.rng.random() * RETRY_DELAY_S)
            instance = self._pick_instance(excluded=instance)
        return False

    async def submit_impatiently(
        self, job: SubmittedJob, instance: str, patience_s: float
    ) -> bool:
        """Submit a job once and leave after a time; tell whether it was accepted until then."""
        entry = await self._send_request("submit", job, "POST", instance, patience_s=patience_s)
        return bool(entry["status"] == 200)

    async def cancel(self, job: SubmittedJob, excluded: str = "") -> None:
        """Cancel a job, retrying until that is acknowledged."""
        job.cancel_sent = job.cancel_sent or time.time()
        for _ in range(REQUEST_ATTEMPTS):
            instance = self._pick_instance(excluded)
            entry = await self._send_request("cancel", job, "DELETE", instance)
            if is_cancel_acknowledged(entry["status"]):
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def submit_and_follow(self, job: SubmittedJob) -> None:
        """Submit a job and follow it to its end.

        Some jobs are submitted twice at once, with an unknown key, or cancelled, by callers that
        leave without an answer or later.
        """
        rng = random.Random(job.job_id)
        if rng.random() < UNKNOWN_KEY_PROBABILITY:
            await self.submit(job, "key-of-nobody")
            return
        if rng.random() < LEAVE_PROBABILITY:
            await submit_and_leave(self, job, rng)
            return
        duplicates = [self.submit(job)] if rng.random() < DUPLICATE_PROBABILITY else []
        attempts = self._draw_attempts(rng)
        is_accepted = any(await asyncio.gather(self.submit(job, attempts=attempts), *duplicates))
        if not is_accepted:
            return
        if rng.random() < CANCEL_PROBABILITY:
            await asyncio.sleep(rng.uniform(0, 1.5))
            await self.cancel(job)
        await self.poll_until_final(job)
        cancels_ended = self.has_outage_takeovers and rng.random() < CANCEL_ENDED_PROBABILITY
        if cancels_ended and self.final_states[job.job_id] != "cancelled":
            await self.cancel(job)

    def _draw_attempts(self, rng: random.Random) -> int:
        """Draw how often a caller submits a job."""
        if self.has_outage_takeovers and rng.random() < SINGLE_ATTEMPT_PROBABILITY:
            return 1
        return REQUEST_ATTEMPTS

    async def poll_until_final(self, job: SubmittedJob) -> None:
        """Poll a job's state until it is final."""
        while True:
            await asyncio.sleep(STATE_POLL_INTERVAL_S)
            entry = await self._send_request("state", job, "GET", self._pick_instance())
            if entry["state"] in ("completed", "failed", "cancelled"):
                self.final_states[job.job_id] = entry["state"]
                return

    async def generate_load(self) -> None:
        """Submit jobs as a Poisson process until cancelled."""
        load = self.profile.load
        while True:
            jobs_per_s = load.jobs_per_s(self.generator.burst) if load else JOBS_PER_S
            job = self.new_job(self.rng, self.generator.draw_queue(self.rng))
            self.spawn(self.submit_and_follow(job))
            await asyncio.sleep(self.rng.expovariate(jobs_per_s * self.load_factor))

    async def check_readiness(self) -> None:
        """Check whether the instances are ready, as the platform does."""

        async def check(name: str) -> None:
            is_ready = await self.deployment.is_ready(name)
            self.failed_ready_checks[name] = 0 if is_ready else self.failed_ready_checks[name] + 1

        await asyncio.gather(*map(check, self.deployment.instances))

    def check_guarantees(self, is_finished: bool) -> GuaranteeChecker:
        """Check the logs so far and, once the run is over, that all accepted jobs finished."""
        text = self.deployment.worker_log_path.read_text(encoding="utf-8")
        lines = text[: text.rfind("\n") + 1].splitlines()
        checker = GuaranteeChecker(
            worker_log=[json.loads(line) for line in lines],
            caller_log=list(self.caller_log),
            driver_log=list(self.driver_log),
            jobs=self.jobs,
            teams={name: Team(name, limit) for name, limit in self.usual_limits.items()},
        )
        checker.check_logs()
        if is_finished:
            checker.check_completion(self.final_states)
        return checker

    async def print_first_breach(self) -> None:
        """Print the first breach found so far, while the run continues."""
        checker = await asyncio.to_thread(self.check_guarantees, False)
        if checker.breaches:
            print(f"breach so far: {checker.breaches[0]}", flush=True)

    async def run(self, seconds: float, schedule: list[soak_faults.ScheduledFault]) -> None:
        """Run the load and the faults, then wait until all jobs have finished."""
        self.generator.has_late_starts = any(
            fault.name in (LATE_STARTS, LATE_STARTS_AT_RETURN) for fault in schedule
        )
        self.has_outage_takeovers = any(fault.name == OUTAGE_TAKEOVER for fault in schedule)
        spare_worker_count = sum(
            max_ended_workers(self.profile.worker_count)
            for fault in schedule
            if fault.name == WORKERS_GONE
        )
        await self.deployment.start(
            self.profile.instance_count,
            self.profile.worker_count,
            self.make_config(),
            spare_worker_count,
        )
        self.log_event("limits", limits=dict(self.team_cpu_limits), acked=time.time())
        readiness_task = asyncio.create_task(
            run_periodically(READY_CHECK_INTERVAL_S, self.check_readiness)
        )
        await self._wait_until_ready()
        names = self.deployment.instances
        with slowed_processes(self.deployment.cluster, names, self.instance_slowdown):
            await self._run_load(seconds, schedule)
        readiness_task.cancel()

    async def _run_load(self, seconds: float, schedule: list[soak_faults.ScheduledFault]) -> None:
        started_at = time.time()
        checking_task = asyncio.create_task(
            run_periodically(CHECK_INTERVAL_S, self.print_first_breach)
        )
        load_task = asyncio.create_task(self.generate_load())
        fault_tasks = []
        for fault in schedule:
            await asyncio.sleep(max(0.0, started_at + fault.start_s - time.time()))
            print(f"{fault.start_s:7.1f}s {fault.name} {fault.duration_s:.1f}s", flush=True)
            fault_tasks.append(asyncio.create_task(soak_faults.inject_fault(self, fault)))
        await asyncio.sleep(max(0.0, started_at + seconds - time.time()))
        results = await asyncio.gather(*fault_tasks, return_exceptions=True)
        load_task.cancel()
        self.log_event("calm", failed=[repr(r) for r in results if r is not None])
        # Lift all limits: a team's backlog, or a gang that exceeds its team's lowered limit, would
        # outlast the run.
        self.team_cpu_limits = dict.fromkeys(self.usual_limits, 0)
        await self.write_config()
        if self.background_tasks:
            await asyncio.wait(self.background_tasks, timeout=FINISH_TIMEOUT_S)
        for task in (checking_task, *self.background_tasks):
            task.cancel()

    async def _wait_until_ready(self) -> None:
        deadline = time.time() + START_TIMEOUT_S
        while time.time() < deadline:
            if all([await self.deployment.is_ready(name) for name in self.deployment.instances]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the instances were not ready within {START_TIMEOUT_S} s")


def _read_state(response: HTTPResponse) -> str:
    try:
        body = json.loads(response.body or b"{}")
    except ValueError:
        return ""
    return str(body.get("state", "")) if isinstance(body, dict) else ""


def print_report(soak: Soak, checker: GuaranteeChecker) -> bool:
    """Print the results and the counts of responses; return whether the run passed."""
    folder = soak.deployment.cluster.folder
    crash_lines = [
        line
        for name in soak.deployment.instances
        for line in (folder / f"{name}.log").read_text(errors="replace").splitlines()
        if "Traceback" in line or "task_crashed" in line
    ]
    for line in checker.report_lines():
        print(line)
    print(f"internal: {len(crash_lines)} crashed tasks {crash_lines[:1]}")
    response_counts = Counter((e["event"], e["status"]) for e in soak.caller_log)
    print(
        f"answers: { {f'{event} {status}': n for (event, status), n in response_counts.items()} }"
    )
    failed_faults = [e["failed"] for e in soak.driver_log if e["event"] == "calm" and e["failed"]]
    if failed_faults:
        print(f"faults that failed to run: {failed_faults}")
    return not checker.breaches and not crash_lines and not failed_faults


def main(argv: list[str]) -> int:
    """Run one soak and return its exit code."""
    AsyncHTTPClient.configure(HTTP_CLIENT_CLASS, max_clients=HTTP_CLIENTS_MAX)
    folder = soak_driver.prepare_log_folder(FLAGS.folder, FLAGS.faults, FAULTS)
    if folder is None:
        return 2
    schedule = soak_faults.schedule_faults(FLAGS.seed, FLAGS.seconds, FLAGS.faults, FLAGS.calm_s)

    async def run_soak(cluster: Cluster) -> Soak:
        cores = SMALL_INSTANCE_CORES if FLAGS.seed % 2 else LARGE_INSTANCE_CORES
        deployment = Deployment(cluster, instance_cores=cores, profile=FLAGS.profile)
        soak = Soak(
            deployment, random.Random(FLAGS.seed), instance_slowdown=FLAGS.instance_slowdown
        )
        await soak.run(FLAGS.seconds, schedule)
        return soak

    with Cluster(folder) as cluster:
        soak = asyncio.run(run_soak(cluster))
    jobs = {name: attrs.asdict(job) for name, job in soak.jobs.items()}
    trace = {
        "callers": soak.caller_log,
        "driver": soak.driver_log,
        "jobs": jobs,
        "finals": soak.final_states,
    }
    (folder / "driver.json").write_text(json.dumps(trace))
    print(f"seed={FLAGS.seed} seconds={FLAGS.seconds:g} logs in {folder}")
    checker = soak.check_guarantees(is_finished=True)
    checker.check_starvation()
    return 0 if print_report(soak, checker) else 1


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
    flags.DEFINE_float("seconds", 40.0, "Length of the run, in seconds.")
    flags.DEFINE_list("faults", sorted(FAULTS), "Names of the faults to inject.")
    flags.DEFINE_enum(
        "profile", "mixed", sorted(PROFILES), "Which queues need advice, and how tasks are placed."
    )
    flags.DEFINE_float("calm_s", 0.0, "Least time without a fault after each one, in seconds.")
    flags.DEFINE_float(
        "instance_slowdown",
        1.0,
        "How many times slower all instances run; not with pause or slow.",
    )
    flags.DEFINE_string("folder", "", "Empty folder for the logs; a temporary one by default.")
    app.run(main)
