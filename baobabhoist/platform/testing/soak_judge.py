"""Judge the platform's promises from the logs of workers and callers."""

from __future__ import annotations

import itertools
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

import attrs

Entry = dict[str, Any]

CAPACITY = {"cpu": 4_000, "memMb": 8_192}
OVERAGE = 1.1
# After these times, in seconds, a change is to be in force.
CANCEL_S = 3.0
STOP_S = 0.4
REVOKE_S = 5.0
VISIBLE_S = 3.0
SHOWN_DONE_S = 1.0
LIMIT_IN_FORCE_S = 2.0
DRAIN_S = 2.0
GRACE_S = 6.0
# A fault that ended within this time may still have effects.
AFTERMATH_S = 4.0
# A run that starts and ends at one moment is seen within this.
CLOCK_S = 0.002
INF = float("inf")
REFUSED = frozenset({400, 401, 403, 404, 413, 429, 503})
HARMLESS_FAULTS = frozenset({"config", "revoke", "cancel_wave", "burst", "worker_drain"})


@attrs.define
class JobNote:
    """Hold what a caller knows of a job; `cancel_sent` is 0 unless it was cancelled."""

    job_id: str
    queue: str
    team: str
    steps: list[Entry]
    spec: int
    attempts: int
    cancel_sent: float = 0.0
    body: str = ""


@attrs.frozen
class Team:
    """Hold a team and its limit of processors at first; 0 means none."""

    name: str
    limit: int


@attrs.define
class Run:
    """Hold one run of a task, from a worker's log."""

    worker: str
    task: str
    number: int
    start: float
    entry: Entry
    end: float = INF
    how: str = ""
    acked: float = INF
    # The worker's lease lapsed between the end and its acknowledgement.
    lapsed_between: bool = False

    @property
    def job_id(self) -> str:
        """Return the id of the run's job."""
        return self.task.partition(".")[0]

    @property
    def step(self) -> int:
        """Return the number of the run's step."""
        return int(self.task.split(".")[2])


@attrs.define
class Judge:
    """Judge one run of the soak; `breaches` holds what was broken, with the rule first."""

    runs: list[Entry]
    callers: list[Entry]
    driver: list[Entry]
    jobs: dict[str, JobNote]
    teams: dict[str, Team]
    breaches: list[str] = attrs.Factory(list)
    checked: Counter[str] = attrs.Factory(Counter)
    by_task: dict[str, list[Run]] = attrs.Factory(lambda: defaultdict(list))
    by_job: dict[str, list[Run]] = attrs.Factory(lambda: defaultdict(list))
    calls: dict[tuple[str, str], list[Entry]] = attrs.Factory(lambda: defaultdict(list))

    def judge(self) -> None:
        """Check what can be checked at any time."""
        self._collect()
        for check in (
            self._twice,
            self._room,
            self._order,
            self._quota,
            self._budget,
            self._unasked,
            self._refused,
            self._keys,
            self._gangs,
            self._shown,
            self._draining,
            self._stops,
        ):
            check()

    def lines(self) -> list[str]:
        """Return the verdicts for people."""
        broken = Counter(text.partition(" ")[0] for text in self.breaches)
        rules = [
            f"{name}: {'BROKEN' if broken[name] else 'held'} checks={n} breaches={broken[name]}"
            for name, n in sorted(self.checked.items())
        ]
        return rules + [f"  {text}" for text in self.breaches[:20]]

    def _check(self, rule: str, good: bool, breach: str) -> None:
        self.checked[rule] += 1
        if not good:
            self.breaches.append(f"{rule} {breach}")

    def _collect(self) -> None:
        open_runs: dict[tuple[str, str, int], Run] = {}
        ended: dict[tuple[str, str, int], Run] = {}
        lapses: dict[str, list[float]] = defaultdict(list)
        for entry in self.runs:
            event, worker = entry["event"], entry.get("worker", "")
            name = (worker, entry.get("task", ""), entry.get("run", 0))
            if event == "start":
                run = Run(worker, entry["task"], entry["run"], entry["t"], entry)
                open_runs[name] = run
                self.by_task[run.task].append(run)
                self.by_job[run.job_id].append(run)
            elif event == "end":
                run = open_runs.pop(name)
                run.end, run.how = entry["t"], entry["how"]
                ended[name] = run
            elif event == "acked" and name in ended:
                run = ended[name]
                run.acked = entry["t"]
                run.lapsed_between = any(run.end < t < run.acked for t in lapses[worker])
            elif event == "lapsed":
                lapses[worker].append(entry["t"])
            elif event == "crashed":
                # The worker forgot these ends; they can be acknowledged no more.
                ended = {k: v for k, v in ended.items() if k[0] != worker}
        for entry in self.callers:
            self.calls[entry["event"], entry["job"]].append(entry)

    def _all_runs(self) -> Iterator[Run]:
        for runs in self.by_task.values():
            yield from runs

    def _windows(self) -> list[Entry]:
        return [
            e for e in self.driver if e["event"] == "window" and e["fault"] not in HARMLESS_FAULTS
        ]

    def _calm(self, begin: float, end: float) -> bool:
        """Tell whether no fault was near a span of time."""
        return all(
            window["t"] > end or window["until"] + AFTERMATH_S < begin
            for window in self._windows()
        )

    def _step_done(self, job: JobNote, number: int) -> float:
        """Return when all tasks of a step had ended done; one end speaks for a whole gang."""
        step = job.steps[number]
        tasks = [f"{job.job_id}.0.{number}.{index}" for index in range(step["count"])]
        ends = [
            min((run.end for run in self.by_task.get(task, ()) if run.how == "done"), default=INF)
            for task in tasks
        ]
        return min(ends) if step.get("gang") else max(ends)

    def _twice(self) -> None:
        for task, runs in self.by_task.items():
            ordered = sorted(runs, key=lambda run: run.start)
            for earlier, later in itertools.pairwise(ordered):
                overlap = later.start < earlier.end - CLOCK_S
                self._check("TWICE", not overlap, f"{task} runs twice at {later.start:.3f}")
            noted = [
                r for r in ordered if r.how == "done" and r.acked < INF and not r.lapsed_between
            ]
            for run in ordered:
                again = any(run.start > done.end + CLOCK_S for done in noted)
                self._check("TWICE", not again, f"{task} starts at {run.start:.3f}, though done")

    def _room(self) -> None:
        by_worker: dict[str, list[tuple[float, int, Run]]] = defaultdict(list)
        for run in self._all_runs():
            if run.job_id in self.jobs:
                by_worker[run.worker] += [(run.start, 1, run), (run.end, -1, run)]
        for worker, changes in by_worker.items():
            used: Counter[str] = Counter()
            for t, sign, run in sorted(changes, key=lambda change: change[:2]):
                step = self.jobs[run.job_id].steps[run.step]
                for kind, most in CAPACITY.items():
                    used[kind] += sign * step[kind]
                    over = sign > 0 and used[kind] > most
                    self._check("LIMIT", not over, f"{worker} has {used[kind]} {kind} at {t:.3f}")

    def _order(self) -> None:
        for job_id, runs in self.by_job.items():
            job = self.jobs.get(job_id)
            if job is None:
                continue
            for run in runs:
                for earlier in job.steps[run.step].get("after", ()):
                    good = self._step_done(job, earlier) <= run.start + CLOCK_S
                    self._check("ORDER", good, f"{run.task} starts at {run.start:.3f} too early")
                self._check_spread(job, run, runs)

    def _check_spread(self, job: JobNote, run: Run, runs: list[Run]) -> None:
        most = job.steps[run.step].get("maxPerServer")
        if most:
            beside = [
                other
                for other in runs
                if (other.worker, other.step) == (run.worker, run.step)
                and other.start <= run.start < other.end
            ]
            self._check("ROUTE", len(beside) <= most, f"{run.task} is one of {len(beside)}")

    def _limit(self, team: str, t: float) -> float:
        """Return the highest limit of a team that may be in force at a moment."""
        changes = [e for e in self.driver if e["event"] == "limits"]
        highest = 0.0
        for change, following in zip(changes, [*changes[1:], None], strict=True):
            until = following["acked"] + LIMIT_IN_FORCE_S if following else INF
            if change["t"] <= t <= until + self._stretch(t):
                highest = max(highest, change["limits"][team] or INF)
        return highest

    def _stretch(self, t: float) -> float:
        """Return how much later a change may be in force because of faults."""
        return 0.0 if self._calm(t - AFTERMATH_S, t) else INF

    def _quota(self) -> None:
        changes: dict[str, list[tuple[float, int, Run]]] = defaultdict(list)
        for run in self._all_runs():
            job = self.jobs.get(run.job_id)
            if job is not None and self.teams[job.team].limit:
                changes[job.team] += [(run.start, 1, run), (run.end, -1, run)]
        for team, entries in changes.items():
            used = 0
            for t, sign, run in sorted(entries, key=lambda change: change[:2]):
                cpu = self.jobs[run.job_id].steps[run.step]["cpu"]
                used += sign * cpu
                if sign > 0:
                    most = self._limit(team, t) * OVERAGE + cpu
                    self._check("QUOTA", used <= most, f"{team} has {used} of {most} at {t:.3f}")

    def _budget(self) -> None:
        for task, runs in self.by_task.items():
            job = self.jobs.get(task.partition(".")[0])
            if job is None:
                continue
            failed = sorted(r.end for r in runs if r.how == "failed" and r.acked < INF)
            if len(failed) >= job.attempts:
                last = failed[job.attempts - 1]
                late = [r for r in runs if r.start > last + CLOCK_S]
                self._check("BUDGET", not late, f"{task} starts after {job.attempts} failures")

    def _unasked(self) -> None:
        for run in self._all_runs():
            job = self.jobs.get(run.job_id)
            known = job is not None and run.entry["spec"] == job.spec
            self._check("UNASKED", known, f"{run.task} was not asked for")
            if job is None:
                continue
            saved = run.entry["checkpoint"]
            step = run.task.rpartition(".")[0]
            owner = step if job.steps[run.step].get("gang") else run.task
            own = f"{zlib.crc32(owner.encode()):08x}"
            self._check("UNASKED", not saved or saved[8:] == own, f"{run.task} has {saved}")
        for (event, job_id), entries in self.calls.items():
            if event != "cancel":
                continue
            acked = min((e["end"] for e in entries if e["status"] == 200), default=INF)
            for run in self.by_job.get(job_id, ()):
                late = run.start > acked + CANCEL_S and run.entry["mode"] != "late"
                late = late and self._calm(acked, run.start)
                self._check("UNASKED", not late, f"{run.task} starts after its cancellation")
                over = acked + CANCEL_S + STOP_S
                still = run.end > over and run.start < over and self._calm(acked, over)
                self._check("UNASKED", not still, f"{run.task} works on after its cancellation")

    def _refused(self) -> None:
        for (event, job_id), entries in self.calls.items():
            if event == "submit" and all(e["status"] in REFUSED for e in entries):
                began = bool(self.by_job.get(job_id))
                self._check("REFUSED", not began, f"{job_id} was refused and runs")

    def _keys(self) -> None:
        revoked = {e["key"]: e["t"] for e in self.driver if e["event"] == "revoked"}
        for entry in self.callers:
            if entry["status"] == 200:
                stranger = entry["key"] == "key-of-nobody"
                self._check("ROUTE", not stranger, f"{entry['job']} was taken without a key")
                late = entry["t"] > revoked.get(entry["key"], INF) + REVOKE_S
                self._check("CONFIG", not late, f"{entry['job']} was taken with a revoked key")

    def _gangs(self) -> None:
        for run in self._all_runs():
            if run.how == "alone":
                cancelled = self.jobs[run.job_id].cancel_sent
                good = 0 < cancelled < run.end or not self._calm(run.start - AFTERMATH_S, run.end)
                self._check("GANG", good, f"{run.task} was alone at {run.end:.3f}")

    def _shown(self) -> None:
        for (event, job_id), entries in self.calls.items():
            if event != "state":
                continue
            job = self.jobs[job_id]
            accepted = min(e["end"] for e in self.calls["submit", job_id] if e["status"] == 200)
            for entry in entries:
                self._check_state(job, entry, accepted)

    def _check_state(self, job: JobNote, entry: Entry, accepted: float) -> None:
        shown, t = entry["state"], entry["end"]
        late = entry["status"] == 410 and entry["t"] > accepted + VISIBLE_S
        self._check("LOST", not late, f"{job.job_id} is not known at {t:.3f}")
        if shown == "completed":
            good = all(self._step_done(job, number) <= t for number in range(len(job.steps)))
            self._check("MIXED", good, f"{job.job_id} is shown as completed at {t:.3f}")
            again = [r for r in self.by_job.get(job.job_id, ()) if r.start > t + SHOWN_DONE_S]
            self._check("TWICE", not again, f"{job.job_id} starts after it was completed")
        elif shown == "failed":
            failed = Counter(r.task for r in self.by_job.get(job.job_id, ()) if r.how == "failed")
            gang = any(step.get("gang") for step in job.steps)
            count = sum(failed.values()) if gang else max(failed.values(), default=0)
            self._check("LOST", count >= job.attempts, f"{job.job_id} is shown as failed")
        elif shown == "cancelled":
            self._check("LOST", job.cancel_sent > 0, f"{job.job_id} is shown as cancelled")

    def _draining(self) -> None:
        for drain in (e for e in self.driver if e["event"] == "draining"):
            back = min(
                (
                    e["t"]
                    for e in self.driver
                    if e["event"] == "returned"
                    and e["worker"] == drain["worker"]
                    and e["t"] > drain["t"]
                ),
                default=INF,
            )
            for run in self._all_runs():
                if run.worker == drain["worker"] and drain["t"] + DRAIN_S < run.start < back:
                    good = run.entry["mode"] == "late" or not self._calm(drain["t"], run.start)
                    self._check("DRAIN", good, f"{run.task} starts on {run.worker}, which leaves")

    def _stops(self) -> None:
        for stop in (e for e in self.driver if e["event"] == "stop"):
            name, begin = stop["instance"], stop["t"]
            others = [
                w
                for w in self._windows()
                if w["fault"] != "stop"
                and w["t"] < begin + GRACE_S
                and w["until"] + AFTERMATH_S > begin
            ]
            for entry in self.callers:
                near = begin - 1.0 < entry["t"] < begin + GRACE_S
                # A connection that was refused carried no request.
                cut = entry["status"] == 0 and "refused" not in entry.get("reason", "").lower()
                if entry["instance"] == name and near:
                    self._check("LOST", not cut or bool(others), f"{entry['job']} was cut")
        for stopped in (e for e in self.driver if e["event"] == "stopped"):
            good = stopped["code"] is not None or not self._calm(stopped["t"], stopped["t"])
            self._check("LOST", good, f"{stopped['instance']} did not stop in time")

    def judge_end(self, finals: dict[str, str]) -> None:
        """Check that everything that was accepted has ended as it should."""
        for (event, job_id), entries in self.calls.items():
            if event != "submit" or all(e["status"] != 200 for e in entries):
                continue
            final = finals.get(job_id, "")
            self._check("LOST", bool(final), f"{job_id} has not ended; {self._last(job_id)}")

    def _last(self, job_id: str) -> str:
        calls = self.calls.get(("state", job_id))
        last = calls[-1] if calls else None
        return f"last answer {last['status']} {last['state']}" if last else "no answer"
