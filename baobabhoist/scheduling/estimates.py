"""Estimate sizes and run times from what similar tasks used."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict, deque

import attrs

from baobabhoist.model import Resources, Task
from baobabhoist.scheduling.capacity import ResourceVector

WINDOW_OBSERVATIONS = 64
# The declaration counts as this many observations that it was right, until they age out.
PRIOR_OBSERVATIONS = 8
MAX_HISTORIES = 4096
# Running out of memory fails a task, sharing a processor only slows it.
MEMORY_QUANTILE = 0.8
CPU_QUANTILE = 0.5
MEDIAN_RUN_QUANTILE = 0.5
P90_RUN_QUANTILE = 0.9
MIN_RATIO, MAX_RATIO = 0.05, 8.0
MIN_EXPECTED_RUN_S = 0.001
# A retry after a failure gets at least its declaration, and the observed memory with a margin.
RETRY_MEMORY_FACTOR = 1.25

HistoryKey = tuple[str, str, str]


@attrs.define
class RatioWindow:
    """Keep the last observations of one ratio in arrival and in sorted order."""

    recent: deque[float] = attrs.Factory(lambda: deque([1.0] * PRIOR_OBSERVATIONS))
    ordered: list[float] = attrs.Factory(lambda: [1.0] * PRIOR_OBSERVATIONS)

    def add(self, ratio: float) -> None:
        """Add an observation of used over declared, and forget the oldest beyond the window."""
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.recent.append(ratio)
        insort(self.ordered, ratio)
        if len(self.recent) > WINDOW_OBSERVATIONS:
            oldest = self.recent.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]

    def quantile(self, fraction: float) -> float:
        """Return a quantile."""
        return self.ordered[min(len(self.ordered) - 1, int(fraction * len(self.ordered)))]


@attrs.define(eq=False)
class UsageHistory:
    """Hold the ratios of used to declared amounts for one (team, queue, kind)."""

    cpu: RatioWindow = attrs.Factory(RatioWindow)
    memory: RatioWindow = attrs.Factory(RatioWindow)
    run: RatioWindow = attrs.Factory(RatioWindow)
    cpu_ratio: float = 1.0
    memory_ratio: float = 1.0
    median_run_ratio: float = 1.0
    p90_run_ratio: float = 1.0


@attrs.define
class Estimator:
    """Learn how wrong declarations are per (team, queue, kind), in bounded memory."""

    histories: OrderedDict[HistoryKey, UsageHistory] = attrs.Factory(OrderedDict)

    def estimate_demand(self, task: Task, largest: ResourceVector) -> ResourceVector:
        """Return what to reserve for a task, never above a worker's capacity."""
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
        """Return the median run time to expect, in seconds."""
        history = self.histories.get((task.team, task.queue, task.kind.value))
        return task.expected_run_s * (history.median_run_ratio if history else 1.0)

    def p90_run_s(self, task: Task) -> float:
        """Return a run time that nine in ten such tasks stay under, in seconds."""
        history = self.histories.get((task.team, task.queue, task.kind.value))
        return task.expected_run_s * (history.p90_run_ratio if history else 2.0)

    def observe_success(self, task: Task, run_s: float, usage: Resources | None) -> None:
        """Learn from a task, as declared, that ended by itself."""
        history = self._history(task)
        history.run.add(run_s / max(task.expected_run_s, MIN_EXPECTED_RUN_S))
        history.median_run_ratio = history.run.quantile(MEDIAN_RUN_QUANTILE)
        history.p90_run_ratio = history.run.quantile(P90_RUN_QUANTILE)
        if usage is not None:
            self._observe_size(history, task.resources, usage)

    def observe_usage(self, task: Task, usage: Resources) -> None:
        """Learn the size of a task that has not succeeded."""
        self._observe_size(self._history(task), task.resources, usage)

    def _observe_size(self, history: UsageHistory, declared: Resources, usage: Resources) -> None:
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
