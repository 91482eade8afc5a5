"""Check the guarantees against the logs of workers and callers."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

LogEntry = dict[str, Any]

IN_FORCE_S = 4.0
LEAVING_S = 3.0
TAKEOVER_S = 5.0
URGENT_START_S = 1.5
# After a fault ends, its effects may last for one takeover and one record change.
RECOVERY_S = TAKEOVER_S + IN_FORCE_S
INF = float("inf")
# An outage of the platform excuses neither a late takeover nor a stopped request.
PLATFORM_FAULTS = ("platform_", "lose_answers", "cut_platform")
# Refusals that a graceful stop may not cause: they mean that an open request was cut.
CUT_KINDS = frozenset(
    {"outcome_unknown", "draining", "peer_unreachable", "shard_unavailable", "internal"}
)


@attrs.frozen
class Run:
    """Hold one execution of a task, from a worker's log."""

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
    """Collect how often a guarantee was checked and each breach of it."""

    check_count: int = 0
    breaches: list[str] = attrs.Factory(list)

    def check(self, good: bool, breach: str) -> None:
        """Count a check and note a breach."""
        self.check_count += 1
        if not good:
            self.breaches.append(breach)


@attrs.define
class LatencyTarget:
    """Collect measured times against a target, in seconds."""

    target_s: float
    values: list[float] = attrs.Factory(list)


@attrs.define
class GuaranteeChecker:
    """Check one run; driver entries are the faults, changes and samples of the soak."""

    worker_log: list[LogEntry]
    caller_log: list[LogEntry]
    driver_log: list[LogEntry]
    results: dict[str, GuaranteeResult] = attrs.field(init=False)
    latencies: dict[str, LatencyTarget] = attrs.field(init=False)
    runs: list[Run] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sort the logs and derive the executions."""
        for entries in (self.worker_log, self.caller_log, self.driver_log):
            entries.sort(key=lambda entry: entry["t"])
        self.results = {f"G{number}": GuaranteeResult() for number in range(1, 11)}
        self.results["outage"] = GuaranteeResult()
        self.latencies = {
            "records_in_force": LatencyTarget(IN_FORCE_S),
            "key_refused": LatencyTarget(IN_FORCE_S),
            "leaving_worker": LatencyTarget(LEAVING_S),
            "takeover": LatencyTarget(TAKEOVER_S),
            "urgent_start": LatencyTarget(URGENT_START_S),
        }
        self.runs = collect_runs(self.worker_log)

    def check_all(self) -> None:
        """Check every guarantee and collect the figures."""
        self._capacity()
        self._one_place()
        self._limits()
        self._requests()
        self._outages()
        self._keys()
        self._leaving()
        self._stops()
        self._records()
        self._takeovers()
        self._urgent()

    def is_undisturbed(
        self,
        start: float,
        end: float,
        instance: str = "",
        own: str = "",
        but: tuple[str, ...] = (),
    ) -> bool:
        """Tell whether no fault, or its recovery, touches the instance in a time span.

        `own` names the fault that is judged itself; faults named in `but` do not count.
        """
        return not any(
            window["t"] < end and start < window["until"] + RECOVERY_S
            for window in self._driver_events("window")
            if window["name"] != own
            and not window["name"].startswith(but)
            and (not instance or instance in window["instances"])
        )

    def missed_targets(self) -> list[str]:
        """Return the figures that miss their target."""
        return [
            name
            for name, figure in self.latencies.items()
            if figure.values and _judged(name, figure.values) > figure.target_s
        ]

    @property
    def passed(self) -> bool:
        """Tell whether every guarantee and target held."""
        return not self.missed_targets() and not any(v.breaches for v in self.results.values())

    def report_lines(self) -> list[str]:
        """Return one line per guarantee and per figure, then the first breaches."""
        lines = []
        for name, verdict in self.results.items():
            state = (
                "BREACH"
                if verdict.breaches
                else "held"
                if verdict.check_count
                else "not exercised"
            )
            lines.append(
                f"{name}: {state} checks={verdict.check_count} breaches={len(verdict.breaches)}"
            )
        failed = self.missed_targets()
        for name, figure in self.latencies.items():
            if not figure.values:
                lines.append(f"{name}: not exercised (target {figure.target_s:g} s)")
                continue
            state = "MISSED" if name in failed else "met"
            worst = f"judged={_judged(name, figure.values):.2f}s max={max(figure.values):.2f}s"
            lines.append(f"{name}: {state} {worst} n={len(figure.values)} <= {figure.target_s:g}s")
        for name, verdict in self.results.items():
            lines += [f"  {name} breach: {text}" for text in verdict.breaches[:10]]
        return lines

    def _driver_events(self, event: str) -> list[LogEntry]:
        return [entry for entry in self.driver_log if entry["event"] == event]

    def _capacity(self) -> None:
        capacity = {e["worker"]: e["capacity"] for e in self.worker_log if e["event"] == "up"}
        verdict = self.results["G1"]
        used: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        for _, starts, run in run_boundaries(self.runs):
            total = used[run.worker]
            for index, amount in enumerate(run.resources):
                total[index] += amount if starts else -amount
            if starts:
                fits = all(u <= c for u, c in zip(total, capacity[run.worker], strict=True))
                verdict.check(fits, f"{run.worker} runs {total} with {run.task_id}")
        for entry in self.worker_log:
            if entry["event"] == "refused":
                verdict.check(
                    entry["reason"] != "full",
                    f"{entry['worker']} was assigned {entry['id']} beyond its capacity",
                )

    def _one_place(self) -> None:
        running: Counter[str] = Counter()
        for _, starts, run in run_boundaries(self.runs):
            # The reference tells two ids of the same piece of work from two pieces.
            name = run.ref or run.task_id
            running[name] += 1 if starts else -1
            if starts:
                self.results["G2"].check(
                    running[name] == 1, f"{run.task_id} runs twice, also on {run.worker}"
                )

    def _limits(self) -> None:
        by_team: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
        for entry in self._driver_events("limit"):
            limits = by_team[entry["team"]]
            if limits and not entry.get("uncertain"):
                since, _, limit = limits[-1]
                limits[-1] = (since, self._settled(entry["t"]), limit)
            limits.append((entry["sent"], INF, entry["limit"]))
        running: Counter[str] = Counter()
        for t, starts, run in run_boundaries(self.runs):
            running[run.team] += 1 if starts else -1
            allowed = [limit for since, until, limit in by_team[run.team] if since <= t <= until]
            if starts and allowed:
                count = running[run.team]
                self.results["G4"].check(
                    count <= max(allowed),
                    f"team {run.team} runs {count} of {max(allowed)} with {run.task_id}",
                )

    def _settled(self, t: float) -> float:
        """Return when a change accepted at `t` must be in force, also past running faults."""
        settled = t + IN_FORCE_S
        for window in self._driver_events("window"):
            if window["t"] <= settled and t < window["until"] + RECOVERY_S:
                settled = max(settled, window["until"] + RECOVERY_S)
        return settled

    def _requests(self) -> None:
        starts: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            starts[run.ref].append(run)
        attempts: dict[str, list[LogEntry]] = defaultdict(list)
        for entry in self.caller_log:
            if entry["event"] == "request":
                attempts[entry["ref"]].append(entry)
        for job in (entry for entry in self.caller_log if entry["event"] == "job"):
            for ref in [ref for ref in starts if ref.startswith(f"{job['ref']}/")]:
                self._one_request([job | {"ref": ref}], starts[ref])
        for ref, tries in attempts.items():
            ran = starts.get(ref, [])
            self._one_request(tries, ran)
            for entry in tries:
                self._one_attempt(entry)

    def _one_request(self, tries: list[LogEntry], ran: list[Run]) -> None:
        ref, first = tries[0]["ref"], tries[0]
        for run in ran:
            self.results["G3"].check(run.team == first["team"], f"{ref} ran for {run.team}")
        if not first["idempotent"]:
            self.results["G7"].check(
                len(ran) <= 1, f"{ref} ran {len(ran)} times on {[r.worker for r in ran]}"
            )
        if all(entry.get("outcome") == "not_run" for entry in tries):
            self.results["G6"].check(
                not ran, f"{ref} was refused as not run and ran on {[r.worker for r in ran]}"
            )

    def _one_attempt(self, entry: LogEntry) -> None:
        verdict = self.results["G5"]
        if entry.get("status") == 200:
            verdict.check(entry["whole"], f"{entry['ref']} got the wrong or half an answer")
        elif entry.get("error") and self.is_undisturbed(
            entry["t"], entry["end"], entry["instance"]
        ):
            verdict.check(False, f"{entry['ref']} got no answer: {entry['error']}")

    def _outages(self) -> None:
        """Check that an outage of the platform, with nothing else, stops no request."""
        for window in self._driver_events("window"):
            if not window["name"].startswith(PLATFORM_FAULTS):
                continue
            if not self.is_undisturbed(window["t"], window["until"], but=PLATFORM_FAULTS):
                continue
            for entry in self.caller_log:
                if window["t"] < entry["t"] < window["until"] and "instance" in entry:
                    self.results["outage"].check(
                        not entry.get("error") and entry.get("kind") not in CUT_KINDS,
                        f"{entry['ref']} was stopped by {window['name']}: {entry}",
                    )

    def _keys(self) -> None:
        figure, verdict = self.latencies["key_refused"], self.results["G3"]
        for revoked in self._driver_events("key_revoked"):
            last = 0.0
            for entry in self.caller_log:
                late = entry["t"] - revoked["t"]
                if entry.get("key") != revoked["key"] or late <= 0:
                    continue
                if not self.is_undisturbed(revoked["t"], entry["t"], entry["instance"]):
                    continue
                accepted = entry.get("status") not in (401, 403, None)
                last = max(last, late if accepted else 0.0)
                if late > IN_FORCE_S:
                    verdict.check(
                        not accepted,
                        f"{entry['instance']} took a key {late:.1f} s after its end",
                    )
            figure.values.append(last)

    def _leaving(self) -> None:
        for leaving in self._driver_events("leaving"):
            until = min(
                (e["t"] for e in self._driver_events("staying") if e["t"] > leaving["t"]),
                default=INF,
            )
            last = 0.0
            for run in self.runs:
                late = run.start - leaving["t"]
                if run.worker != leaving["worker"] or late <= 0 or run.start > until:
                    continue
                if not self.is_undisturbed(leaving["t"], run.start):
                    continue
                last = max(last, late)
                self.results["G8"].check(
                    late <= LEAVING_S,
                    f"{run.worker} got {run.task_id} {late:.1f} s after its notice",
                )
            self.results["G8"].check_count += 1
            self.latencies["leaving_worker"].values.append(last)

    def _stops(self) -> None:
        verdict = self.results["G9"]
        for stop in self._driver_events("stop"):
            verdict.check(stop["code"] == 0, f"{stop['instance']} stopped with {stop['code']}")
            calm = self.is_undisturbed(stop["t"], stop["until"], own=stop["name"])
            for entry in self.caller_log:
                open_before = entry["t"] < stop["t"] < entry.get("end", 0.0)
                here = entry.get("instance") == stop["instance"]
                if here and not open_before:
                    continue
                overlaps = entry["t"] < stop["until"] and stop["t"] < entry.get("end", 0.0)
                cut = here and bool(entry.get("error"))
                cut = cut or (calm and overlaps and entry.get("kind") in CUT_KINDS)
                if overlaps:
                    verdict.check(not cut, f"{entry['ref']} was cut: {entry}")

    def _records(self) -> None:
        verdict, figure = self.results["G10"], self.latencies["records_in_force"]
        for race in self._driver_events("race"):
            verdict.check(race["accepted"] <= 1, f"{race['accepted']} changes of one revision won")
        samples: dict[tuple[str, int], list[LogEntry]] = defaultdict(list)
        for entry in self._driver_events("status"):
            samples[entry["instance"], entry["boot"]].append(entry)
        for (instance, _), seen in samples.items():
            for before, after in itertools.pairwise(seen):
                verdict.check(
                    after["revision"] >= before["revision"],
                    f"{instance} went back from {before['revision']} to {after['revision']}",
                )
            for change in self._driver_events("record"):
                self._in_force(change, instance, seen, verdict, figure)

    def _in_force(
        self,
        change: LogEntry,
        instance: str,
        seen: list[LogEntry],
        verdict: GuaranteeResult,
        figure: LatencyTarget,
    ) -> None:
        if seen[0]["t"] > change["t"] or not any(e["t"] >= change["t"] for e in seen):
            return
        when = next((e["t"] for e in seen if e["revision"] >= change["revision"]), INF)
        judged_until = min(when, seen[-1]["t"])
        late = judged_until - change["t"]
        if not self.is_undisturbed(change["t"], judged_until, instance) or (
            when == INF and late < IN_FORCE_S
        ):
            return
        figure.values.append(max(0.0, late))
        verdict.check(
            late <= IN_FORCE_S,
            f"{instance} had revision {change['revision']} after {late:.1f} s",
        )

    def _takeovers(self) -> None:
        shards = {e["shard"]: e["workers"] for e in self._driver_events("shard")}
        for kill in self._driver_events("killed"):
            for workers in shards.values():
                if self._owner(workers, kill["t"]) != kill["instance"]:
                    continue
                end, own = kill["t"] + TAKEOVER_S, kill["name"]
                if not self.is_undisturbed(kill["t"], end, own=own, but=PLATFORM_FAULTS):
                    continue
                done = self._taken_over(workers, kill["instance"], kill["t"])
                if done is None:
                    self.latencies["takeover"].values.append(INF)
                else:
                    self.latencies["takeover"].values.append(done - kill["t"])

    def _owner(self, workers: Iterable[str], t: float) -> str:
        fenced = [
            e["token"]
            for e in self.worker_log
            if e["event"] == "fenced" and e["worker"] in workers and e["t"] <= t
        ]
        return instance_of_token(max(fenced)) if fenced else ""

    def _taken_over(self, workers: list[str], former: str, t: float) -> float | None:
        """Return when all workers of a shard obeyed one other instance."""
        held: dict[str, tuple[Any, ...]] = {}
        for entry in self.worker_log:
            if entry["event"] == "fenced" and entry["worker"] in workers and entry["t"] > t:
                held[entry["worker"]] = tuple(entry["token"])
                same = len(held) == len(workers) and len(set(held.values())) == 1
                if same and instance_of_token(entry["token"]) != former:
                    return float(entry["t"])
        return None

    def _urgent(self) -> None:
        for run in self.runs:
            if run.entry.get("urgency") != "urgent":
                continue
            since = run.entry["submitted_at"]
            busy = sum(1 for r in self.runs if r.team == run.team and r.start < run.start < r.end)
            limits = [e["limit"] for e in self._driver_events("limit") if e["team"] == run.team]
            if self.is_undisturbed(since, run.start) and limits and busy < min(limits):
                self.latencies["urgent_start"].values.append(run.start - since)


def collect_runs(entries: list[LogEntry]) -> list[Run]:
    """Return the executions in the workers' logs; a worker that starts anew runs nothing."""
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
            for other in [other for other in open_runs if other[0] == entry["worker"]]:
                close(other, entry["t"])
    for key in list(open_runs):
        close(key, INF)
    return sorted(runs, key=lambda run: run.start)


def instance_of_token(token: list[Any]) -> str:
    """Return the instance in a token; a tilde separates its name from that of its process."""
    return str(token[2]).partition("~")[0]


def run_boundaries(runs: list[Run]) -> list[tuple[float, bool, Run]]:
    """Return the starts and ends in order of time; an end comes before a start."""
    events = [(run.start, True, run) for run in runs] + [(run.end, False, run) for run in runs]
    return sorted(events, key=lambda event: (event[0], event[1]))


def _judged(name: str, values: list[float]) -> float:
    """Return the value that is held against the target: p99 for urgent starts, else the worst."""
    ordered = sorted(values)
    return ordered[int(0.99 * (len(ordered) - 1))] if name == "urgent_start" else ordered[-1]
