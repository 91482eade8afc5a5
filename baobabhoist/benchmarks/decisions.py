"""Replay the same workload under each policy and report the results side by side."""

from __future__ import annotations

import gc
import tracemalloc
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.benchmarks.baselines import BaselinePolicy
from baobabhoist.benchmarks.replay import Policy, Replay
from baobabhoist.benchmarks.stats import quantile
from baobabhoist.benchmarks.workload import PROFILES, Workload, generate_workload
from baobabhoist.errors import Refusal
from baobabhoist.model import Task, Urgency, WorkerSpec, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.policy import QueuePolicy, TeamPolicy
from baobabhoist.scheduling.scheduler import PlaceQuota, Scheduler

MAX_QUEUED_TASKS = 10_000


@attrs.frozen
class ConfirmedReleaseQuota:
    """Release places as confirmed, because in the replay every end is reported by its worker."""

    ledger: QuotaLedger

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Acquire a place for a task."""
        return self.ledger.acquire(team, task_id, worker)

    def release(self, task_id: str) -> None:
        """Release the place of a task whose end is confirmed."""
        self.ledger.release(task_id, confirmed=True)


def _make_scheduler(workload: Workload, quota: PlaceQuota) -> Policy:
    scheduler = Scheduler.for_workers(workload.workers, quota)
    policy = QueuePolicy(objective=workload.profile.objective)
    queues = {f"{team}-{kind.value}": policy for team in workload.weights for kind in WorkKind}
    teams = {
        team: TeamPolicy(weight=weight, max_queued=MAX_QUEUED_TASKS)
        for team, weight in workload.weights.items()
    }
    scheduler.set_policies(queues, teams)
    for spec in workload.workers:
        scheduler.worker_up(spec.name)
    return scheduler


POLICIES: dict[str, Callable[[Workload, PlaceQuota], Policy]] = {
    "baobabhoist": _make_scheduler,
    "arrival order, first fit": lambda workload, quota: BaselinePolicy.for_workers(
        workload.workers, quota, best_fit=False
    ),
    "best fit, no shares": lambda workload, quota: BaselinePolicy.for_workers(
        workload.workers, quota, best_fit=True
    ),
}


def run(
    profile_name: str,
    seed: int,
    workers: int,
    duration_s: float,
    failing_workers: bool = True,
    baselines: bool = True,
) -> dict[str, Any]:
    """Return the results of each policy; 0 workers or seconds keep the value of the profile."""
    profile = attrs.evolve(PROFILES[profile_name], failing_workers=failing_workers)
    if workers:
        rate = profile.request_rate * workers / profile.workers
        profile = attrs.evolve(profile, workers=workers, request_rate=rate)
    if duration_s:
        profile = attrs.evolve(profile, duration_s=duration_s)
    workload = generate_workload(profile, seed)
    report: dict[str, Any] = {"profile": profile_name, "seed": seed, "workers": profile.workers}
    policies = POLICIES if baselines else {"baobabhoist": _make_scheduler}
    report["policies"] = {
        name: _measure_policy(workload, make_policy) for name, make_policy in policies.items()
    }
    report["bytes"] = _measure_memory(workload.workers, workload.arrivals[0].items[0].task)
    return report


def _measure_policy(
    workload: Workload, make_policy: Callable[[Workload, PlaceQuota], Policy]
) -> dict[str, Any]:
    ledger = QuotaLedger("bench", escrow=dict(workload.limits))
    replay = Replay(workload, make_policy(workload, ConfirmedReleaseQuota(ledger)), ledger)
    gc.collect()
    gc.freeze()
    replay.run()
    gc.unfreeze()
    waits_by_group: defaultdict[str, list[float]] = defaultdict(list)
    for task_id, (task, wait) in replay.waits().items():
        waits_by_group[f"kind {task.kind.value}"].append(wait)
        waits_by_group[f"team {task.team}"].append(wait)
        if task.urgency is Urgency.URGENT:
            waits_by_group["urgent"].append(wait)
        if task_id not in replay.abandoned and task_id not in replay.queued:
            waits_by_group[f"kind {task.kind.value}, served"].append(wait)
        if task_id in replay.urgent_with_quota:
            waits_by_group["urgent with quota"].append(wait)
    return {
        "wait_s": {
            name: {"p50": quantile(waits, 0.5), "p99": quantile(waits, 0.99), "n": len(waits)}
            for name, waits in sorted(waits_by_group.items())
        },
        "packing": _mean(replay.packing_samples),
        "full_s": len(replay.packing_samples),
        "deviation_pp": _mean(replay.deviation_samples),
        "refusals": dict(replay.refusals),
        "preemptions": replay.preemptions,
        "placements": replay.placements,
        "decision_ms": {
            "p50": 1e3 * quantile(replay.decision_times_s, 0.5),
            "p99": 1e3 * quantile(replay.decision_times_s, 0.99),
        },
        "placements_per_s": replay.placements / replay.policy_time_s,
    }


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _measure_memory(workers: list[WorkerSpec], task: Task) -> dict[str, float]:
    """Return the bytes that the scheduler allocates per worker, per job and per queued task."""
    count = 2000
    task = attrs.evolve(task, kind=WorkKind.BATCH)
    tracemalloc.start()
    ledger = QuotaLedger("bench")
    before = tracemalloc.get_traced_memory()[0]
    scheduler = Scheduler.for_workers(workers, ledger)
    for spec in workers:
        scheduler.worker_up(spec.name)
    per_worker = (tracemalloc.get_traced_memory()[0] - before) / len(workers)

    def enqueue_tasks(job_id_of: Callable[[int], str]) -> float:
        tasks = [
            attrs.evolve(task, task_id=f"{job_id_of(n)}/{n}", job_id=job_id_of(n))
            for n in range(count)
        ]
        before_bytes = tracemalloc.get_traced_memory()[0]
        for queued_task in tasks:
            scheduler.enqueue(queued_task, task.submitted_at)
        allocated_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
        for queued_task in tasks:
            scheduler.cancel(queued_task.task_id)
        return allocated_bytes / count

    per_task = enqueue_tasks(lambda n: "job")
    per_job = enqueue_tasks(lambda n: f"job{n}")
    tracemalloc.stop()
    return {"worker": per_worker, "job of one task": per_job, "task": per_task}


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table."""
    policies = report["policies"]
    rows: list[tuple[str, list[str]]] = []
    for group in sorted({g for p in policies.values() for g in p["wait_s"]}):
        waits = [p["wait_s"].get(group, {"p50": 0, "p99": 0}) for p in policies.values()]
        rows.append((f"wait s, {group}", [f"{w['p50']:.2f} / {w['p99']:.2f}" for w in waits]))
    for name, number_format in (
        ("packing", "{:.3f}"),
        ("full_s", "{}"),
        ("deviation_pp", "{:.2f}"),
        ("preemptions", "{}"),
        ("placements", "{}"),
        ("placements_per_s", "{:.0f}"),
    ):
        rows.append((name, [number_format.format(p[name]) for p in policies.values()]))
    times = [p["decision_ms"] for p in policies.values()]
    rows.append(("decision_ms", [f"{t['p50']:.3f} / {t['p99']:.3f}" for t in times]))
    kinds = sorted({kind for p in policies.values() for kind in p["refusals"]})
    for kind in kinds:
        rows.append(
            (f"refused, {kind}", [str(p["refusals"].get(kind, 0)) for p in policies.values()])
        )
    lines = [
        f"{report['profile']}, seed {report['seed']}, {report['workers']} workers (p50 / p99)"
    ]
    lines.append(f"{'':28}" + "".join(f"{name:>26}" for name in policies))
    lines += [f"{name:28}" + "".join(f"{cell:>26}" for cell in cells) for name, cells in rows]
    sizes = ", ".join(f"{value:.0f} per {name}" for name, value in report["bytes"].items())
    return "\n".join([*lines, f"bytes: {sizes}"])
