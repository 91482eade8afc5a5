"""Check the platform's guarantees against the logs of workers, callers and the soak's driver."""

from __future__ import annotations

import itertools
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterator

import attrs

from baobabhoist.platform.testing.soak_records import (
    INF,
    JsonObject,
    Run,
    SubmittedJob,
    Team,
    limits_in_force,
)
from baobabhoist.platform.testing.soak_starvation import StarvationFinder
from baobabhoist.platform.testing.soak_usage import UsageHistory

WORKER_CAPACITY = {"cpu": 4_000, "memMb": 8_192}
QUOTA_TOLERANCE_FACTOR = 1.1
# Time within which each change must have taken effect everywhere.
CANCEL_DEADLINE_S = 3.0
RUN_STOP_DEADLINE_S = 0.4
REVOKE_DEADLINE_S = 5.0
JOB_VISIBLE_DEADLINE_S = 3.0
COMPLETION_DEADLINE_S = 1.0
DRAIN_DEADLINE_S = 2.0
EVACUATION_DEADLINE_S = 5.0
GRACE_PERIOD_S = 6.0
# A fault may have effects for this long after its end.
RECOVERY_S = 4.0
# Entries for events of the same moment may be logged this far apart.
TIMESTAMP_TOLERANCE_S = 0.002
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 429, 503})
HTTP_GONE = 410
# These faults do not excuse a breach of any guarantee.
NON_DISRUPTIVE_FAULTS = frozenset(
    {"config", "revoke", "cancel_wave", "burst", "worker_drain", "evacuation"}
)


@attrs.frozen
class StartBan:
    """Name the events that begin and end a ban on starts on one worker, and its deadline."""

    guarantee: str
    begin_event: str
    end_event: str
    deadline_s: float


START_BANS = (
    StartBan("DRAIN", "draining", "returned", DRAIN_DEADLINE_S),
    StartBan("EVAC", "evacuated", "taken_back", EVACUATION_DEADLINE_S),
)


def is_cancel_acknowledged(status: int) -> bool:
    """Return whether an answer to a cancellation acknowledges it, also that of an unknown job."""
    return 200 <= status < 300 or status == HTTP_GONE


@attrs.define
class GuaranteeChecker:
    """Check one run of the soak; each of `breaches` begins with the guarantee that was broken."""

    worker_log: list[JsonObject]
    caller_log: list[JsonObject]
    driver_log: list[JsonObject]
    jobs: dict[str, SubmittedJob]
    teams: dict[str, Team]
    breaches: list[str] = attrs.Factory(list)
    check_counts: Counter[str] = attrs.Factory(Counter)
    runs_by_task: dict[str, list[Run]] = attrs.Factory(lambda: defaultdict(list))
    runs_by_job: dict[str, list[Run]] = attrs.Factory(lambda: defaultdict(list))
    requests: dict[tuple[str, str], list[JsonObject]] = attrs.Factory(lambda: defaultdict(list))

    def check_logs(self) -> None:
        """Check the guarantees that must hold at any time."""
        self._index_logs()
        for check in (
            self._check_duplicate_runs,
            self._check_capacity,
            self._check_step_order,
            self._check_team_limits,
            self._check_attempts,
            self._check_unrequested_runs,
            self._check_refused_jobs,
            self._check_api_keys,
            self._check_gangs,
            self._check_reported_states,
            self._check_start_bans,
            self._check_graceful_stops,
        ):
            check()

    def report_lines(self) -> list[str]:
        """Return one line for each guarantee, followed by the first breaches."""
        broken = Counter(text.partition(" ")[0] for text in self.breaches)
        lines = [
            f"{name}: {'BROKEN' if broken[name] else 'held'} checks={n} breaches={broken[name]}"
            for name, n in sorted(self.check_counts.items())
        ]
        return lines + [f"  {text}" for text in self.breaches[:20]]

    def _check(self, guarantee: str, holds: bool, breach: str) -> None:
        self.check_counts[guarantee] += 1
        if not holds:
            self.breaches.append(f"{guarantee} {breach}")

    def _index_logs(self) -> None:
        open_runs: dict[tuple[str, str, int], Run] = {}
        ended_runs: dict[tuple[str, str, int], Run] = {}
        lease_expiries: dict[str, list[float]] = defaultdict(list)
        for entry in self.worker_log:
            event, worker = entry["event"], entry.get("worker", "")
            run_key = (worker, entry.get("task", ""), entry.get("run", 0))
            if event == "start":
                run = Run(worker, entry["task"], entry["run"], entry["t"], entry)
                open_runs[run_key] = run
                self.runs_by_task[run.task_id].append(run)
                self.runs_by_job[run.job_id].append(run)
            elif event == "end":
                run = open_runs.pop(run_key)
                run.end, run.outcome = entry["t"], entry["how"]
                ended_runs[run_key] = run
            elif event == "acked" and run_key in ended_runs:
                run = ended_runs[run_key]
                run.acked_at = entry["t"]
                run.lease_expired_before_ack = any(
                    run.end < t < run.acked_at for t in lease_expiries[worker]
                )
            elif event == "lapsed":
                lease_expiries[worker].append(entry["t"])
            elif event == "crashed":
                # The worker lost these ends in the crash, so they can no longer be acknowledged.
                ended_runs = {k: v for k, v in ended_runs.items() if k[0] != worker}
        for entry in self.caller_log:
            self.requests[entry["event"], entry["job"]].append(entry)

    def _all_runs(self) -> Iterator[Run]:
        for runs in self.runs_by_task.values():
            yield from runs

    def _fault_windows(self) -> list[JsonObject]:
        return [
            e
            for e in self.driver_log
            if e["event"] == "window" and e["fault"] not in NON_DISRUPTIVE_FAULTS
        ]

    def _is_undisturbed(self, start: float, end: float) -> bool:
        """Return whether no fault, including its recovery, affects a time span."""
        return all(w["t"] > end or w["until"] + RECOVERY_S < start for w in self._fault_windows())

    def _step_completed_at(self, job: SubmittedJob, number: int) -> float:
        """Return when all tasks of a step were done; the first end ends a whole gang."""
        step = job.steps[number]
        tasks = [f"{job.job_id}.0.{number}.{index}" for index in range(step["count"])]
        ends = [
            min(
                (run.end for run in self.runs_by_task.get(task, ()) if run.outcome == "done"),
                default=INF,
            )
            for task in tasks
        ]
        return min(ends) if step.get("gang") else max(ends)

    def _check_duplicate_runs(self) -> None:
        for task, runs in self.runs_by_task.items():
            ordered = sorted(runs, key=lambda run: run.start)
            for earlier, later in itertools.pairwise(ordered):
                overlaps = later.start < earlier.end - TIMESTAMP_TOLERANCE_S
                self._check(
                    "TWICE", not overlaps, f"two runs of {task} overlap at {later.start:.3f}"
                )
            acked_done_runs = [
                r
                for r in ordered
                if r.outcome == "done" and r.acked_at < INF and not r.lease_expired_before_ack
            ]
            for run in ordered:
                is_repeated = any(
                    run.start > done.end + TIMESTAMP_TOLERANCE_S for done in acked_done_runs
                )
                self._check(
                    "TWICE",
                    not is_repeated,
                    f"{task} starts at {run.start:.3f} after it was acknowledged as done",
                )

    def _check_capacity(self) -> None:
        changes_by_worker: dict[str, list[tuple[float, int, Run]]] = defaultdict(list)
        for run in self._all_runs():
            if run.job_id in self.jobs:
                changes_by_worker[run.worker] += [(run.start, 1, run), (run.end, -1, run)]
        for worker, changes in changes_by_worker.items():
            used: Counter[str] = Counter()
            for t, sign, run in sorted(changes, key=lambda change: change[:2]):
                step = self.jobs[run.job_id].steps[run.step_number]
                for resource, maximum in WORKER_CAPACITY.items():
                    used[resource] += sign * step[resource]
                    exceeds_capacity = sign > 0 and used[resource] > maximum
                    self._check(
                        "LIMIT",
                        not exceeds_capacity,
                        f"{worker} uses {used[resource]} {resource} at {t:.3f}",
                    )

    def _check_step_order(self) -> None:
        for job_id, runs in self.runs_by_job.items():
            job = self.jobs.get(job_id)
            if job is None:
                continue
            for run in runs:
                for earlier in job.steps[run.step_number].get("after", ()):
                    holds = (
                        self._step_completed_at(job, earlier) <= run.start + TIMESTAMP_TOLERANCE_S
                    )
                    self._check(
                        "ORDER",
                        holds,
                        f"{run.task_id} starts at {run.start:.3f} before an earlier step ended",
                    )
                self._check_tasks_per_worker(job, run, runs)

    def _check_tasks_per_worker(self, job: SubmittedJob, run: Run, runs: list[Run]) -> None:
        maximum = job.steps[run.step_number].get("maxPerServer")
        if maximum:
            concurrent_runs = [
                other
                for other in runs
                if (other.worker, other.step_number) == (run.worker, run.step_number)
                and other.start <= run.start < other.end
            ]
            self._check(
                "ROUTE",
                len(concurrent_runs) <= maximum,
                f"{run.task_id} is one of {len(concurrent_runs)} on its worker",
            )

    def _highest_limit(self, team: str, t: float) -> float:
        """Return the highest limit of a team that may be in force at a time."""
        limits = limits_in_force(self.driver_log, team, t, self._extra_delay_s(t))
        return max(limits, default=0.0)

    def _extra_delay_s(self, t: float) -> float:
        """Return how much later than required a change may take effect because of faults."""
        return 0.0 if self._is_undisturbed(t - RECOVERY_S, t) else INF

    def _check_team_limits(self) -> None:
        changes: dict[str, list[tuple[float, int, Run]]] = defaultdict(list)
        for run in self._all_runs():
            job = self.jobs.get(run.job_id)
            if job is not None and self.teams[job.team].cpu_limit:
                changes[job.team] += [(run.start, 1, run), (run.end, -1, run)]
        for team, entries in changes.items():
            used = 0
            for t, sign, run in sorted(entries, key=lambda change: change[:2]):
                cpu = self.jobs[run.job_id].steps[run.step_number]["cpu"]
                used += sign * cpu
                if sign > 0:
                    maximum = self._highest_limit(team, t) * QUOTA_TOLERANCE_FACTOR + cpu
                    self._check(
                        "QUOTA", used <= maximum, f"{team} uses {used} of {maximum} at {t:.3f}"
                    )

    def _check_attempts(self) -> None:
        for task, runs in self.runs_by_task.items():
            job = self.jobs.get(task.partition(".")[0])
            if job is None:
                continue
            failures = sorted(r.end for r in runs if r.outcome == "failed" and r.acked_at < INF)
            if len(failures) >= job.attempts:
                last_failure = failures[job.attempts - 1]
                late_runs = [r for r in runs if r.start > last_failure + TIMESTAMP_TOLERANCE_S]
                self._check(
                    "BUDGET", not late_runs, f"{task} starts after {job.attempts} failures"
                )

    def _check_unrequested_runs(self) -> None:
        for run in self._all_runs():
            job = self.jobs.get(run.job_id)
            is_submitted = job is not None and run.entry["spec"] == job.spec
            self._check(
                "UNASKED", is_submitted, f"{run.task_id} runs a payload that was not submitted"
            )
            if job is None:
                continue
            checkpoint = run.entry["checkpoint"]
            step = run.task_id.rpartition(".")[0]
            owner = step if job.steps[run.step_number].get("gang") else run.task_id
            owner_checksum = f"{zlib.crc32(owner.encode()):08x}"
            self._check(
                "UNASKED",
                not checkpoint or checkpoint[8:] == owner_checksum,
                f"{run.task_id} has another task's checkpoint {checkpoint}",
            )
        for (event, job_id), entries in self.requests.items():
            if event != "cancel":
                continue
            acknowledged = (e["end"] for e in entries if is_cancel_acknowledged(e["status"]))
            cancelled_at = min(acknowledged, default=INF)
            for run in self.runs_by_job.get(job_id, ()):
                starts_late = (
                    run.start > cancelled_at + CANCEL_DEADLINE_S and not run.was_carried_out_late
                )
                self._check(
                    "UNASKED", not starts_late, f"{run.task_id} starts after its cancellation"
                )
                stop_deadline = cancelled_at + CANCEL_DEADLINE_S + RUN_STOP_DEADLINE_S
                is_running = (
                    run.end > stop_deadline
                    and run.start < stop_deadline
                    and self._is_undisturbed(cancelled_at, stop_deadline)
                )
                self._check(
                    "UNASKED", not is_running, f"{run.task_id} still runs after its cancellation"
                )

    def _check_refused_jobs(self) -> None:
        for (event, job_id), entries in self.requests.items():
            if event == "submit" and all(e["status"] in REFUSED_STATUSES for e in entries):
                has_run = bool(self.runs_by_job.get(job_id))
                self._check("REFUSED", not has_run, f"{job_id} ran although it was refused")

    def _check_api_keys(self) -> None:
        revoked = {e["key"]: e["t"] for e in self.driver_log if e["event"] == "revoked"}
        for entry in self.caller_log:
            if entry["status"] == 200:
                has_unknown_key = entry["key"] == "key-of-nobody"
                self._check(
                    "ROUTE",
                    not has_unknown_key,
                    f"{entry['job']} was accepted with an unknown key",
                )
                uses_revoked_key = entry["t"] > revoked.get(entry["key"], INF) + REVOKE_DEADLINE_S
                self._check(
                    "CONFIG",
                    not uses_revoked_key,
                    f"{entry['job']} was accepted with a revoked key",
                )

    def _check_gangs(self) -> None:
        for run in self._all_runs():
            if run.outcome == "alone":
                cancelled_at = self.jobs[run.job_id].cancel_sent
                holds = 0 < cancelled_at < run.end or not self._is_undisturbed(
                    run.start - RECOVERY_S, run.end
                )
                self._check("GANG", holds, f"{run.task_id} lacked its gang until {run.end:.3f}")

    def _check_reported_states(self) -> None:
        for (event, job_id), entries in self.requests.items():
            if event != "state":
                continue
            job = self.jobs[job_id]
            accepted_at = min(
                e["end"] for e in self.requests["submit", job_id] if e["status"] == 200
            )
            for entry in entries:
                self._check_reported_state(job, entry, accepted_at)

    def _check_reported_state(
        self, job: SubmittedJob, entry: JsonObject, accepted_at: float
    ) -> None:
        state, t = entry["state"], entry["end"]
        is_lost = entry["status"] == 410 and entry["t"] > accepted_at + JOB_VISIBLE_DEADLINE_S
        self._check("LOST", not is_lost, f"{job.job_id} was unknown at {t:.3f}")
        if state == "completed":
            holds = all(self._step_completed_at(job, n) <= t for n in range(len(job.steps)))
            self._check(
                "MIXED", holds, f"{job.job_id} was reported as completed too early, at {t:.3f}"
            )
            later_runs = [
                r
                for r in self.runs_by_job.get(job.job_id, ())
                if r.start > t + COMPLETION_DEADLINE_S
            ]
            self._check(
                "TWICE", not later_runs, f"{job.job_id} starts after it was reported as completed"
            )
        elif state == "failed":
            self._check_starts_after_failure(job, t)
            failure_counts = Counter(
                r.task_id for r in self.runs_by_job.get(job.job_id, ()) if r.outcome == "failed"
            )
            has_gang = any(step.get("gang") for step in job.steps)
            failure_count = (
                sum(failure_counts.values())
                if has_gang
                else max(failure_counts.values(), default=0)
            )
            self._check(
                "LOST",
                failure_count >= job.attempts,
                f"{job.job_id} was reported as failed with attempts left",
            )
        elif state == "cancelled":
            self._check(
                "LOST",
                job.cancel_sent > 0,
                f"{job.job_id} was reported as cancelled without a cancellation",
            )

    def _check_starts_after_failure(self, job: SubmittedJob, reported_at: float) -> None:
        # A worker in the mode `late` carries out starts seconds after they were sent.
        later_runs = [
            run
            for run in self.runs_by_job.get(job.job_id, ())
            if run.start > reported_at + COMPLETION_DEADLINE_S and run.entry["mode"] != "late"
        ]
        self._check(
            "TWICE", not later_runs, f"{job.job_id} starts after it was reported as failed"
        )

    def _check_start_bans(self) -> None:
        for ban in START_BANS:
            for begin in (e for e in self.driver_log if e["event"] == ban.begin_event):
                self._check_start_ban(ban, begin)

    def _check_start_ban(self, ban: StartBan, begin: JsonObject) -> None:
        ends = [
            e["t"]
            for e in self.driver_log
            if e["event"] == ban.end_event
            and e["worker"] == begin["worker"]
            and e["t"] > begin["t"]
        ]
        until = min(ends, default=INF)
        for run in self._all_runs():
            if run.worker == begin["worker"] and begin["t"] + ban.deadline_s < run.start < until:
                # A worker in the mode `late` carries out starts seconds after they were sent.
                holds = run.entry["mode"] == "late" or not self._is_undisturbed(
                    begin["t"], run.start
                )
                detail = f"{run.task_id} starts on {run.worker}, which is {ban.begin_event}"
                self._check(ban.guarantee, holds, detail)

    def _check_graceful_stops(self) -> None:
        for stop in (e for e in self.driver_log if e["event"] == "stop"):
            instance, stopping_at = stop["instance"], stop["t"]
            other_windows = [
                w
                for w in self._fault_windows()
                if w["fault"] != "stop"
                and w["t"] < stopping_at + GRACE_PERIOD_S
                and w["until"] + RECOVERY_S > stopping_at
            ]
            for entry in self.caller_log:
                is_near_stop = stopping_at - 1.0 < entry["t"] < stopping_at + GRACE_PERIOD_S
                # A connection that was refused carried no request, and a caller that left ended
                # its connection by itself.
                lacks_response = (
                    entry["status"] == 0
                    and "refused" not in entry.get("reason", "").lower()
                    and not entry.get("left")
                )
                if entry["instance"] == instance and is_near_stop:
                    self._check(
                        "LOST",
                        not lacks_response or bool(other_windows),
                        f"{entry['job']} got no response during a stop",
                    )
        for entry in (e for e in self.driver_log if e["event"] == "stopped"):
            holds = entry["code"] is not None or not self._is_undisturbed(entry["t"], entry["t"])
            self._check("LOST", holds, f"{entry['instance']} did not stop within the grace period")

    def check_starvation(self) -> None:
        """Check that no accepted job stands still in calm times although it could run."""
        usage_history = UsageHistory(
            self.worker_log, list(self._all_runs()), self.jobs, WORKER_CAPACITY
        )
        finder = StarvationFinder(self.driver_log, self.requests, self.runs_by_job, usage_history)
        for job in self.jobs.values():
            span = finder.find_starvation(job)
            self._check(
                "LOST",
                span is None,
                f"{job.job_id} starves for {span.length_s:.1f} s from {span.start:.3f}"
                if span
                else "",
            )

    def check_completion(self, final_states: dict[str, str]) -> None:
        """Check that every accepted job has reached a final state."""
        for (event, job_id), entries in self.requests.items():
            if event != "submit" or all(e["status"] != 200 for e in entries):
                continue
            final = final_states.get(job_id, "")
            self._check(
                "LOST",
                bool(final),
                f"{job_id} has not finished; {self._describe_last_response(job_id)}",
            )

    def _describe_last_response(self, job_id: str) -> str:
        requests = self.requests.get(("state", job_id))
        last = requests[-1] if requests else None
        return f"last response {last['status']} {last['state']}" if last else "no response"
