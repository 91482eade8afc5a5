"""Check the guarantees against the logs of workers, callers and the soak's driver."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

LogEntry = dict[str, Any]

# Targets for the time until a record change is in force on every instance, until a leaving worker
# gets no new tasks, until a shard has a new owner, and until an urgent task starts.
IN_FORCE_TARGET_S = 4.0
LEAVING_TARGET_S = 3.0
TAKEOVER_TARGET_S = 5.0
URGENT_START_TARGET_S = 1.5
# After a fault ends, its effects may last for one takeover and one record change.
RECOVERY_S = TAKEOVER_TARGET_S + IN_FORCE_TARGET_S
INF = float("inf")
# A fault of the platform excuses neither a late takeover nor an interrupted request.
PLATFORM_FAULTS = ("platform_", "lose_answers", "cut_platform")
# Error kinds that mean that an open request was interrupted, which no graceful stop may cause.
INTERRUPTED_KINDS = frozenset(
    {"outcome_unknown", "draining", "peer_unreachable", "shard_unavailable", "internal"}
)


@attrs.frozen
class Run:
    """Describe one run of a task, as a worker logged it."""

    worker: str
    task_id: str
    ref: str
    team: str
    resources: tuple[int, ...]
    start: float
    end: float
    entry: LogEntry


@attrs.define
class GuaranteeResult:
    """Count the checks of a guarantee and collect its breaches."""

    check_count: int = 0
    breaches: list[str] = attrs.Factory(list)

    def check(self, holds: bool, breach: str) -> None:
        """Count a check and record a breach if the guarantee does not hold."""
        self.check_count += 1
        if not holds:
            self.breaches.append(breach)


@attrs.define
class LatencyTarget:
    """Collect measured latencies against their target, in seconds."""

    target_s: float
    values: list[float] = attrs.Factory(list)


@attrs.define
class GuaranteeChecker:
    """Check a run; the driver's log holds its faults, record changes and status samples."""

    worker_log: list[LogEntry]
    caller_log: list[LogEntry]
    driver_log: list[LogEntry]
    results: dict[str, GuaranteeResult] = attrs.field(init=False)
    latencies: dict[str, LatencyTarget] = attrs.field(init=False)
    runs: list[Run] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sort the logs by time and extract the runs."""
        for entries in (self.worker_log, self.caller_log, self.driver_log):
            entries.sort(key=lambda entry: entry["t"])
        self.results = {f"G{number}": GuaranteeResult() for number in range(1, 11)}
        self.results["outage"] = GuaranteeResult()
        self.latencies = {
            "records_in_force": LatencyTarget(IN_FORCE_TARGET_S),
            "key_refused": LatencyTarget(IN_FORCE_TARGET_S),
            "leaving_worker": LatencyTarget(LEAVING_TARGET_S),
            "takeover": LatencyTarget(TAKEOVER_TARGET_S),
            "urgent_start": LatencyTarget(URGENT_START_TARGET_S),
        }
        self.runs = collect_runs(self.worker_log)

    def check_all(self) -> None:
        """Check every guarantee and measure the latencies."""
        self._check_capacity()
        self._check_no_concurrent_runs()
        self._check_team_limits()
        self._check_requests()
        self._check_platform_outages()
        self._check_revoked_keys()
        self._check_leaving_workers()
        self._check_graceful_stops()
        self._check_records()
        self._measure_takeovers()
        self._measure_urgent_starts()

    def is_undisturbed(
        self,
        start: float,
        end: float,
        instance: str = "",
        own_window: str = "",
        ignored_prefixes: tuple[str, ...] = (),
    ) -> bool:
        """Return whether no fault, including its recovery, affects the instance in a time span.

        `own_window` names the window of the fault that is checked, and windows whose names begin
        with one of `ignored_prefixes` do not count. Without an instance, any fault counts.
        """
        return not any(
            window["t"] < end and start < window["until"] + RECOVERY_S
            for window in self._driver_events("window")
            if window["name"] != own_window
            and not window["name"].startswith(ignored_prefixes)
            and (not instance or instance in window["instances"])
        )

    def missed_targets(self) -> list[str]:
        """Return the names of the latencies that miss their target."""
        return [
            name
            for name, latency in self.latencies.items()
            if latency.values and _target_statistic(name, latency.values) > latency.target_s
        ]

    @property
    def passed(self) -> bool:
        """Return whether every guarantee held and every target was met."""
        return not self.missed_targets() and not any(
            result.breaches for result in self.results.values()
        )

    def report_lines(self) -> list[str]:
        """Return one line for each guarantee and latency, followed by the first breaches."""
        lines = []
        for name, result in self.results.items():
            state = (
                "BREACH" if result.breaches else "held" if result.check_count else "not exercised"
            )
            lines.append(
                f"{name}: {state} checks={result.check_count} breaches={len(result.breaches)}"
            )
        missed = self.missed_targets()
        for name, latency in self.latencies.items():
            if not latency.values:
                lines.append(f"{name}: not exercised (target {latency.target_s:g} s)")
                continue
            state = "MISSED" if name in missed else "met"
            stats = (
                f"judged={_target_statistic(name, latency.values):.2f}s "
                f"max={max(latency.values):.2f}s"
            )
            lines.append(
                f"{name}: {state} {stats} n={len(latency.values)} <= {latency.target_s:g}s"
            )
        for name, result in self.results.items():
            lines += [f"  {name} breach: {text}" for text in result.breaches[:10]]
        return lines

    def _driver_events(self, event: str) -> list[LogEntry]:
        return [entry for entry in self.driver_log if entry["event"] == event]

    def _check_capacity(self) -> None:
        capacity = {e["worker"]: e["capacity"] for e in self.worker_log if e["event"] == "up"}
        result = self.results["G1"]
        used: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        for _, is_start, run in run_boundaries(self.runs):
            total = used[run.worker]
            for index, amount in enumerate(run.resources):
                total[index] += amount if is_start else -amount
            if is_start:
                fits = all(u <= c for u, c in zip(total, capacity[run.worker], strict=True))
                result.check(fits, f"{run.worker} runs {total} with {run.task_id}")
        for entry in self.worker_log:
            if entry["event"] == "refused":
                result.check(
                    entry["reason"] != "full",
                    f"{entry['worker']} was assigned {entry['id']} beyond its capacity",
                )

    def _check_no_concurrent_runs(self) -> None:
        running: Counter[str] = Counter()
        for _, is_start, run in run_boundaries(self.runs):
            # Two task ids with the same reference are the same piece of work.
            work = run.ref or run.task_id
            running[work] += 1 if is_start else -1
            if is_start:
                self.results["G2"].check(
                    running[work] == 1, f"{run.task_id} runs concurrently, also on {run.worker}"
                )

    def _check_team_limits(self) -> None:
        limits_by_team: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
        for entry in self._driver_events("limit"):
            limits = limits_by_team[entry["team"]]
            if limits and not entry.get("uncertain"):
                since, _, limit = limits[-1]
                limits[-1] = (since, self._in_force_deadline(entry["t"]), limit)
            limits.append((entry["sent"], INF, entry["limit"]))
        running: Counter[str] = Counter()
        for t, is_start, run in run_boundaries(self.runs):
            running[run.team] += 1 if is_start else -1
            allowed = [
                limit for since, until, limit in limits_by_team[run.team] if since <= t <= until
            ]
            if is_start and allowed:
                count = running[run.team]
                self.results["G4"].check(
                    count <= max(allowed),
                    f"team {run.team} runs {count} of {max(allowed)} with {run.task_id}",
                )

    def _in_force_deadline(self, t: float) -> float:
        """Return when a change accepted at `t` must be in force, also after concurrent faults."""
        deadline = t + IN_FORCE_TARGET_S
        for window in self._driver_events("window"):
            if window["t"] <= deadline and t < window["until"] + RECOVERY_S:
                deadline = max(deadline, window["until"] + RECOVERY_S)
        return deadline

    def _check_requests(self) -> None:
        runs_by_ref: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            runs_by_ref[run.ref].append(run)
        attempts_by_ref: dict[str, list[LogEntry]] = defaultdict(list)
        for entry in self.caller_log:
            if entry["event"] == "request":
                attempts_by_ref[entry["ref"]].append(entry)
        for job in (entry for entry in self.caller_log if entry["event"] == "job"):
            for ref in [ref for ref in runs_by_ref if ref.startswith(f"{job['ref']}/")]:
                self._check_request([job | {"ref": ref}], runs_by_ref[ref])
        for ref, attempts in attempts_by_ref.items():
            runs = runs_by_ref.get(ref, [])
            self._check_request(attempts, runs)
            for entry in attempts:
                self._check_attempt(entry)

    def _check_request(self, attempts: list[LogEntry], runs: list[Run]) -> None:
        ref, first = attempts[0]["ref"], attempts[0]
        for run in runs:
            self.results["G3"].check(run.team == first["team"], f"{ref} ran for {run.team}")
        if not first["idempotent"]:
            self.results["G7"].check(
                len(runs) <= 1, f"{ref} ran {len(runs)} times on {[r.worker for r in runs]}"
            )
        if all(entry.get("outcome") == "not_run" for entry in attempts):
            self.results["G6"].check(
                not runs, f"{ref} was refused as not run and ran on {[r.worker for r in runs]}"
            )

    def _check_attempt(self, entry: LogEntry) -> None:
        result = self.results["G5"]
        if entry.get("status") == 200:
            result.check(entry["whole"], f"{entry['ref']} got a wrong or truncated answer")
        elif entry.get("error") and self.is_undisturbed(
            entry["t"], entry["end"], entry["instance"]
        ):
            result.check(False, f"{entry['ref']} got no answer: {entry['error']}")

    def _check_platform_outages(self) -> None:
        """Check that faults of the platform, without other faults, interrupt no request."""
        for window in self._driver_events("window"):
            if not window["name"].startswith(PLATFORM_FAULTS):
                continue
            if not self.is_undisturbed(
                window["t"], window["until"], ignored_prefixes=PLATFORM_FAULTS
            ):
                continue
            for entry in self.caller_log:
                if window["t"] < entry["t"] < window["until"] and "instance" in entry:
                    self.results["outage"].check(
                        not entry.get("error") and entry.get("kind") not in INTERRUPTED_KINDS,
                        f"{entry['ref']} was interrupted by {window['name']}: {entry}",
                    )

    def _check_revoked_keys(self) -> None:
        latency, result = self.latencies["key_refused"], self.results["G3"]
        for revoked in self._driver_events("key_revoked"):
            max_delay_s = 0.0
            for entry in self.caller_log:
                delay_s = entry["t"] - revoked["t"]
                if entry.get("key") != revoked["key"] or delay_s <= 0:
                    continue
                if not self.is_undisturbed(revoked["t"], entry["t"], entry["instance"]):
                    continue
                accepted = entry.get("status") not in (401, 403, None)
                max_delay_s = max(max_delay_s, delay_s if accepted else 0.0)
                if delay_s > IN_FORCE_TARGET_S:
                    result.check(
                        not accepted,
                        f"{entry['instance']} accepted a key {delay_s:.1f} s after its revocation",
                    )
            latency.values.append(max_delay_s)

    def _check_leaving_workers(self) -> None:
        for leaving in self._driver_events("leaving"):
            until = min(
                (e["t"] for e in self._driver_events("staying") if e["t"] > leaving["t"]),
                default=INF,
            )
            max_delay_s = 0.0
            for run in self.runs:
                delay_s = run.start - leaving["t"]
                if run.worker != leaving["worker"] or delay_s <= 0 or run.start > until:
                    continue
                if not self.is_undisturbed(leaving["t"], run.start):
                    continue
                max_delay_s = max(max_delay_s, delay_s)
                self.results["G8"].check(
                    delay_s <= LEAVING_TARGET_S,
                    f"{run.worker} started {run.task_id} {delay_s:.1f} s after it began to leave",
                )
            self.results["G8"].check_count += 1
            self.latencies["leaving_worker"].values.append(max_delay_s)

    def _check_graceful_stops(self) -> None:
        result = self.results["G9"]
        for stop in self._driver_events("stop"):
            result.check(stop["code"] == 0, f"{stop['instance']} exited with {stop['code']}")
            undisturbed = self.is_undisturbed(stop["t"], stop["until"], own_window=stop["name"])
            for entry in self.caller_log:
                was_open = entry["t"] < stop["t"] < entry.get("end", 0.0)
                is_target = entry.get("instance") == stop["instance"]
                if is_target and not was_open:
                    continue
                overlaps = entry["t"] < stop["until"] and stop["t"] < entry.get("end", 0.0)
                is_interrupted = is_target and bool(entry.get("error"))
                is_interrupted = is_interrupted or (
                    undisturbed and overlaps and entry.get("kind") in INTERRUPTED_KINDS
                )
                if overlaps:
                    result.check(not is_interrupted, f"{entry['ref']} was interrupted: {entry}")

    def _check_records(self) -> None:
        result, latency = self.results["G10"], self.latencies["records_in_force"]
        for race in self._driver_events("race"):
            result.check(
                race["accepted"] <= 1, f"{race['accepted']} changes of one revision were accepted"
            )
        samples: dict[tuple[str, int], list[LogEntry]] = defaultdict(list)
        for entry in self._driver_events("status"):
            samples[entry["instance"], entry["boot"]].append(entry)
        for (instance, _), instance_samples in samples.items():
            for before, after in itertools.pairwise(instance_samples):
                result.check(
                    after["revision"] >= before["revision"],
                    f"{instance} reverted from {before['revision']} to {after['revision']}",
                )
            for change in self._driver_events("record"):
                self._check_record_in_force(change, instance, instance_samples, result, latency)

    def _check_record_in_force(
        self,
        change: LogEntry,
        instance: str,
        instance_samples: list[LogEntry],
        result: GuaranteeResult,
        latency: LatencyTarget,
    ) -> None:
        if instance_samples[0]["t"] > change["t"] or not any(
            e["t"] >= change["t"] for e in instance_samples
        ):
            return
        in_force_at = next(
            (e["t"] for e in instance_samples if e["revision"] >= change["revision"]), INF
        )
        checked_until = min(in_force_at, instance_samples[-1]["t"])
        delay_s = checked_until - change["t"]
        if not self.is_undisturbed(change["t"], checked_until, instance) or (
            in_force_at == INF and delay_s < IN_FORCE_TARGET_S
        ):
            return
        latency.values.append(max(0.0, delay_s))
        result.check(
            delay_s <= IN_FORCE_TARGET_S,
            f"{instance} lacked revision {change['revision']} for {delay_s:.1f} s",
        )

    def _measure_takeovers(self) -> None:
        shards = {e["shard"]: e["workers"] for e in self._driver_events("shard")}
        for kill in self._driver_events("killed"):
            for workers in shards.values():
                if self._owner_at(workers, kill["t"]) != kill["instance"]:
                    continue
                end, own_window = kill["t"] + TAKEOVER_TARGET_S, kill["name"]
                if not self.is_undisturbed(
                    kill["t"], end, own_window=own_window, ignored_prefixes=PLATFORM_FAULTS
                ):
                    continue
                taken_over_at = self._takeover_time(workers, kill["instance"], kill["t"])
                if taken_over_at is None:
                    self.latencies["takeover"].values.append(INF)
                else:
                    self.latencies["takeover"].values.append(taken_over_at - kill["t"])

    def _owner_at(self, workers: Iterable[str], t: float) -> str:
        fenced = [
            e["token"]
            for e in self.worker_log
            if e["event"] == "fenced" and e["worker"] in workers and e["t"] <= t
        ]
        return instance_of_token(max(fenced)) if fenced else ""

    def _takeover_time(self, workers: list[str], former: str, t: float) -> float | None:
        """Return when all workers of a shard were fenced by one other instance, or None."""
        tokens: dict[str, tuple[Any, ...]] = {}
        for entry in self.worker_log:
            if entry["event"] == "fenced" and entry["worker"] in workers and entry["t"] > t:
                tokens[entry["worker"]] = tuple(entry["token"])
                is_common = len(tokens) == len(workers) and len(set(tokens.values())) == 1
                if is_common and instance_of_token(entry["token"]) != former:
                    return float(entry["t"])
        return None

    def _measure_urgent_starts(self) -> None:
        for run in self.runs:
            if run.entry.get("urgency") != "urgent":
                continue
            submitted_at = run.entry["submitted_at"]
            running_count = sum(
                1 for r in self.runs if r.team == run.team and r.start < run.start < r.end
            )
            limits = [e["limit"] for e in self._driver_events("limit") if e["team"] == run.team]
            if (
                self.is_undisturbed(submitted_at, run.start)
                and limits
                and running_count < min(limits)
            ):
                self.latencies["urgent_start"].values.append(run.start - submitted_at)


def collect_runs(entries: list[LogEntry]) -> list[Run]:
    """Return the runs in the workers' logs; a restart of a worker ends its runs."""
    open_runs: dict[tuple[str, str], LogEntry] = {}
    runs = []

    def close(key: tuple[str, str], t: float) -> None:
        entry = open_runs.pop(key)
        runs.append(
            Run(
                entry["worker"], entry["id"], entry.get("ref", ""), entry["team"],
                tuple(entry["resources"]), entry["t"], t, entry,
            )
        )  # fmt: skip

    for entry in entries:
        key = entry["worker"], entry.get("id", "")
        if entry["event"] == "started":
            open_runs[key] = entry
        elif entry["event"] in ("ended", "stopped") and key in open_runs:
            close(key, entry["t"])
        elif entry["event"] == "up":
            for open_key in [open_key for open_key in open_runs if open_key[0] == entry["worker"]]:
                close(open_key, entry["t"])
    for key in list(open_runs):
        close(key, INF)
    return sorted(runs, key=lambda run: run.start)


def instance_of_token(token: list[Any]) -> str:
    """Return the instance name in a token; a tilde separates it from the process name."""
    return str(token[2]).partition("~")[0]


def run_boundaries(runs: list[Run]) -> list[tuple[float, bool, Run]]:
    """Return the starts and ends in order of time; at the same time, ends come first."""
    events = [(run.start, True, run) for run in runs] + [(run.end, False, run) for run in runs]
    return sorted(events, key=lambda event: (event[0], event[1]))


def _target_statistic(name: str, values: list[float]) -> float:
    """Return the value to compare with the target: p99 for urgent starts, else the maximum."""
    ordered = sorted(values)
    return ordered[int(0.99 * (len(ordered) - 1))] if name == "urgent_start" else ordered[-1]
