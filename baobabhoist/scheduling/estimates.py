"""Estimate resource demands and run times from the measured use of similar tasks."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict, deque

import attrs

from baobabhoist.model import Resources, Task
from baobabhoist.scheduling.capacity import ResourceVector

WINDOW_OBSERVATIONS = 64
# A new history starts with this many observations of an exact declaration, which age out.
PRIOR_OBSERVATIONS = 8
MAX_HISTORIES = 4096
# Memory uses the higher quantile: a task without enough memory fails, while a task without
# enough processor time is only slower.
MEMORY_QUANTILE = 0.8
CPU_QUANTILE = 0.5
MEDIAN_RUN_QUANTILE = 0.5
P90_RUN_QUANTILE = 0.9
# Bounds of one observed ratio of used to declared.
MIN_RATIO, MAX_RATIO = 0.05, 8.0
MIN_EXPECTED_RUN_S = 0.001
# A retry after a failure gets at least its declaration, and the measured peak memory times this.
RETRY_MEMORY_FACTOR = 1.25

HistoryKey = tuple[str, str, str]


@attrs.define
class RatioWindow:
    """Keep the latest observations of one ratio, in order of arrival and sorted."""

    recent: deque[float] = attrs.Factory(lambda: deque([1.0] * PRIOR_OBSERVATIONS))
    ordered: list[float] = attrs.Factory(lambda: [1.0] * PRIOR_OBSERVATIONS)

    def add(self, ratio: float) -> None:
        """Add a ratio of used to declared, and drop the oldest when the window is full."""
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.recent.append(ratio)
        insort(self.ordered, ratio)
        if len(self.recent) > WINDOW_OBSERVATIONS:
            oldest = self.recent.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]

    def quantile(self, fraction: float) -> float:
        """Return the quantile for a fraction between 0 and 1."""
        return self.ordered[min(len(self.ordered) - 1, int(fraction * len(self.ordered)))]


@attrs.define(eq=False)
class UsageHistory:
    """Hold the ratios of used to declared amounts of one (team, queue, kind)."""

    cpu: RatioWindow = attrs.Factory(RatioWindow)
    memory: RatioWindow = attrs.Factory(RatioWindow)
    run: RatioWindow = attrs.Factory(RatioWindow)
    cpu_ratio: float = 1.0
    memory_ratio: float = 1.0
    median_run_ratio: float = 1.0
    p90_run_ratio: float = 1.0


@attrs.define
class Estimator:
    """Estimate the error of declarations per (team, queue, kind), in bounded memory."""

    histories: OrderedDict[HistoryKey, UsageHistory] = attrs.Factory(OrderedDict)

    def estimate_demand(self, task: Task, largest: ResourceVector) -> ResourceVector:
        """Return the resources to allocate to a task.

        An estimate above the declaration is limited to `largest`, the largest worker.
        """
        declared = task.resources
        history = self.histories.get((task.team, task.queue, task.kind.value))
        if history is None:
            return (
                declared.cpu_milli,
                declared.memory_mb,
                declared.accelerators,
                declared.slots,
            )
        cpu = round(declared.cpu_milli * history.cpu_ratio)
        memory = round(declared.memory_mb * history.memory_ratio)
        return (
            min(cpu, max(largest[0], declared.cpu_milli)),
            min(memory, max(largest[1], declared.memory_mb)),
            declared.accelerators,
            declared.slots,
        )

    def median_run_s(self, task: Task) -> float:
        """Return the estimated median run time, in seconds."""
        history = self.histories.get((task.team, task.queue, task.kind.value))
        return task.expected_run_s * (history.median_run_ratio if history else 1.0)

    def p90_run_s(self, task: Task) -> float:
        """Return the estimated 90th percentile of the run time, in seconds."""
        history = self.histories.get((task.team, task.queue, task.kind.value))
        return task.expected_run_s * (history.p90_run_ratio if history else 2.0)

    def observe_success(self, task: Task, run_s: float, usage: Resources | None) -> None:
        """Add the run time and the peak usage of a task that succeeded; pass the declared task."""
        history = self._history(task)
        history.run.add(run_s / max(task.expected_run_s, MIN_EXPECTED_RUN_S))
        history.median_run_ratio = history.run.quantile(MEDIAN_RUN_QUANTILE)
        history.p90_run_ratio = history.run.quantile(P90_RUN_QUANTILE)
        if usage is not None:
            self._add_usage(history, task.resources, usage)

    def observe_usage(self, task: Task, usage: Resources) -> None:
        """Add the peak usage of a task that failed; its run time is not representative."""
        self._add_usage(self._history(task), task.resources, usage)

    def _add_usage(self, history: UsageHistory, declared: Resources, usage: Resources) -> None:
        if declared.cpu_milli and usage.cpu_milli:
            history.cpu.add(usage.cpu_milli / declared.cpu_milli)
            history.cpu_ratio = history.cpu.quantile(CPU_QUANTILE)
        if declared.memory_mb and usage.memory_mb:
            history.memory.add(usage.memory_mb / declared.memory_mb)
            history.memory_ratio = history.memory.quantile(MEMORY_QUANTILE)

    def _history(self, task: Task) -> UsageHistory:
        key = (task.team, task.queue, task.kind.value)
        history = self.histories.get(key)
        if history is None:
            history = self.histories[key] = UsageHistory()
            if len(self.histories) > MAX_HISTORIES:
                self.histories.popitem(last=False)
        else:
            self.histories.move_to_end(key)
        return history
