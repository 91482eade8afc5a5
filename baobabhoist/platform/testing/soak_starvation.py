"""Find jobs that starve: nothing of them runs for seconds although a task could."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

import attrs

from baobabhoist.platform.testing.soak_records import (
    INF,
    LIMIT_DEADLINE_S,
    JsonObject,
    Run,
    SubmittedJob,
    limits_in_force,
)
from baobabhoist.platform.testing.soak_usage import Usage, UsageHistory

# A job starves if nothing of it runs for this long while one of its tasks could run.
STARVATION_S = 3.0
# Nothing may disturb the service while a job starves, nor for this long before.
CALM_BEFORE_S = 4.0
# There must be room for this many times what has to run.
ROOM_FACTOR = 2
# A job starves only while its team uses less than this share of its limit.
TEAM_SHARE_MAX = 0.5
# Changes of the configuration and of the load disturb nothing.
CALM_FAULTS = frozenset(
    {"config", "revoke", "cancel_wave", "burst", "quick_burst", "gang_burst", "hot_team"}
)
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


@attrs.frozen
class Span:
    """Hold a span of time, which is empty unless it ends after its start."""

    start: float
    end: float

    @property
    def length_s(self) -> float:
        """Return the length of the span."""
        return self.end - self.start

    def intersection(self, other: Span) -> Span:
        """Return the common part of two spans."""
        return Span(max(self.start, other.start), min(self.end, other.end))


@attrs.define
class StarvationFinder:
    """Find starving jobs in the logs of one run of the soak."""

    driver_log: list[JsonObject]
    requests: Mapping[tuple[str, str], list[JsonObject]]
    runs_by_job: Mapping[str, list[Run]]
    usage_history: UsageHistory
    crash_times: dict[str, list[float]] = attrs.field(init=False)
    change_times: list[float] = attrs.field(init=False)
    observed_until: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Index the logs."""
        self.crash_times = defaultdict(list)
        for entry in self.usage_history.worker_log:
            if entry["event"] == "crashed":
                self.crash_times[entry["worker"]].append(entry["t"])
        limit_times = {
            t
            for e in self.driver_log
            if e["event"] == "limits"
            for t in (e["t"], e["acked"] + LIMIT_DEADLINE_S)
        }
        self.change_times = sorted(self.usage_history.change_times() | limit_times)
        request_ends = (e["end"] for entries in self.requests.values() for e in entries)
        self.observed_until = max(request_ends, default=0.0)

    def find_starvation(self, job: SubmittedJob) -> Span | None:
        """Return the longest span in which an accepted job starves, if there is one."""
        lifetime = self._lifetime(job)
        spans = [
            starving
            for calm in self._calm_spans()
            for idle in self._idle_spans(job, calm.intersection(lifetime))
            for starving in self._spans_with_a_startable_step(job, idle)
        ]
        longest = max(spans, key=lambda span: span.length_s, default=None)
        return longest if longest and longest.length_s >= STARVATION_S else None

    def _calm_spans(self) -> list[Span]:
        """Return the spans without a fault, each from some seconds after the last one."""
        # The instances have just been started when the first event is logged.
        disturbed = [Span(0.0, self.driver_log[0]["t"])]
        disturbed += [
            Span(entry["t"], entry["until"])
            for entry in self.driver_log
            if entry["event"] == "window" and entry["fault"] not in CALM_FAULTS
        ]
        disturbed.sort(key=lambda span: span.start)
        ends = itertools.accumulate((span.end for span in disturbed), max)
        starts = [*(span.start for span in disturbed[1:]), self.observed_until]
        spans = (Span(end + CALM_BEFORE_S, start) for end, start in zip(ends, starts, strict=True))
        return [span for span in spans if span.length_s >= STARVATION_S]

    def _lifetime(self, job: SubmittedJob) -> Span:
        """Return the span in which a job has been accepted and has not ended."""
        accepted_at = min(
            (
                e["end"]
                for e in self.requests.get(("submit", job.job_id), ())
                if e["status"] == 200
            ),
            default=INF,
        )
        shown_final_at = min(
            (
                e["t"]
                for e in self.requests.get(("state", job.job_id), ())
                if e["state"] in FINAL_STATES
            ),
            default=INF,
        )
        ends = (shown_final_at, job.cancel_sent or INF, self._failed_at(job), self.observed_until)
        return Span(accepted_at, min(ends))

    def _failed_at(self, job: SubmittedJob) -> float:
        """Return when a task, or a gang, of a job has failed for the last time."""
        failures: Counter[str] = Counter()
        for run in sorted(self.runs_by_job.get(job.job_id, ()), key=lambda run: run.end):
            is_gang = job.steps[run.step_number].get("gang")
            unit = f"{run.step_number}" if is_gang else run.task_id
            failures[unit] += run.outcome == "failed"
            if failures[unit] >= job.attempts:
                return run.end
        return INF

    def _idle_spans(self, job: SubmittedJob, span: Span) -> Iterator[Span]:
        """Return the parts of a span in which no run of a job is active."""
        idle_since = span.start
        for run in sorted(self.runs_by_job.get(job.job_id, ()), key=lambda run: run.start):
            yield Span(idle_since, min(run.start, span.end))
            idle_since = max(idle_since, run.end)
        yield Span(idle_since, span.end)

    def _spans_with_a_startable_step(self, job: SubmittedJob, idle: Span) -> Iterator[Span]:
        """Return the parts of an idle span in which a step of a job could start."""
        if idle.length_s < STARVATION_S:
            return
        moments = [idle.start, *(t for t in self.change_times if idle.start < t < idle.end)]
        since = idle.start
        for t, next_t in itertools.pairwise([*moments, idle.end]):
            if not self._can_start(job, t):
                yield Span(since, t)
                since = next_t
        yield Span(since, idle.end)

    def _can_start(self, job: SubmittedJob, t: float) -> bool:
        """Return whether the guarantee demands that a step of a job starts."""
        usage = self.usage_history.usage_at(t)
        return any(
            self._has_turn(job, number, t) and self._has_room(job, number, usage, t)
            for number in range(len(job.steps))
        )

    def _has_turn(self, job: SubmittedJob, number: int, t: float) -> bool:
        """Return whether a step is not done, but all steps before it are."""
        earlier_steps = job.steps[number].get("after", ())
        return not self._is_done(job, number, t) and all(
            self._is_done(job, earlier, t) for earlier in earlier_steps
        )

    def _is_done(self, job: SubmittedJob, number: int, t: float) -> bool:
        """Return whether a step is done at a time, as far as its workers still know it."""
        step = job.steps[number]
        done_tasks = {
            run.task_id
            for run in self.runs_by_job.get(job.job_id, ())
            if run.step_number == number
            and run.outcome == "done"
            and run.end <= t < self._forgotten_at(run)
        }
        return len(done_tasks) >= (1 if step.get("gang") else step["count"])

    def _forgotten_at(self, run: Run) -> float:
        """Return when a crash lost the end of a run before it was acknowledged."""
        if run.acked_at < INF:
            return INF
        return min((t for t in self.crash_times[run.worker] if t >= run.end), default=INF)

    def _has_room(self, job: SubmittedJob, number: int, usage: Usage, t: float) -> bool:
        """Return whether the approved workers and the team's limit leave room for a step."""
        step = job.steps[number]
        member_count = step["count"] if step.get("gang") else 1
        limit = min(limits_in_force(self.driver_log, job.team, t), default=0.0)
        used = usage.cpu_by_team[job.team]
        # A large gang may exceed its team's limit by itself.
        has_team_room = (
            used < TEAM_SHARE_MAX * limit and used + member_count * step["cpu"] <= limit
        )
        return has_team_room and usage.count_slots(job, number) >= ROOM_FACTOR * member_count
