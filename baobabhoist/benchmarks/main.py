"""Run the benchmark that is named on the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from absl import app, flags

from baobabhoist.benchmarks import (
    cell_liveness,
    cell_replay,
    control_overhead,
    decisions,
    progress_writes,
    relay,
)
from baobabhoist.benchmarks.cell_workload import SCENARIOS
from baobabhoist.benchmarks.scheduling_parts import SCHEDULING_PARTS, make_policy
from baobabhoist.benchmarks.workload import PROFILES
from baobabhoist.cell.policy import SchedulingPolicy

ALL_PARTS = "all"

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the generated workload.")
flags.DEFINE_enum(
    "profile", "whistlemark", list(PROFILES), "Profile of the fleet, the teams and the load."
)
flags.DEFINE_integer(
    "workers",
    0,
    "Number of workers; 0 keeps the default of the benchmark or profile.",
    lower_bound=0,
)
flags.DEFINE_float(
    "duration_s", 0.0, "Length of the workload; 0 keeps the default of the benchmark or profile."
)
flags.DEFINE_enum("load", "", ["", *SCENARIOS], "Load scenario of a cell; by default all of them.")
flags.DEFINE_integer("teams", 0, "Number of teams of a cell; 0 keeps the default.", lower_bound=0)
flags.DEFINE_multi_enum(
    "part",
    [],
    [*SCHEDULING_PARTS, ALL_PARTS],
    "Optional part of scheduling that a cell uses; may be given several times.",
)
flags.DEFINE_enum(
    "scenario",
    "",
    ["", *cell_liveness.SCENARIOS],
    "Load and faults of the liveness check; by default all of them.",
)
flags.DEFINE_integer("seeds", 1, "Seeds of the liveness check, from --seed on.", lower_bound=1)
flags.DEFINE_bool("failing_workers", True, "Whether some workers fail all tasks for some time.")
flags.DEFINE_bool(
    "baselines", True, "Whether to replay the workload with the baseline policies too."
)
flags.DEFINE_float("measure_s", 5.0, "Length of each phase of a benchmark on real processes.")
flags.DEFINE_list(
    "fleets",
    ["24", "100", "400"],
    "Fleet sizes, in workers, at which to measure the control overhead.",
)
flags.DEFINE_float(
    "control_rate", 200.0, "Requests per second while the control overhead is measured under load."
)
flags.DEFINE_float(
    "relay_rate",
    relay.TARGET_REQUESTS_PER_S / 2,
    "Requests per second at which latency is measured.",
)
flags.DEFINE_integer("connections", 64, "Connections of the load generators to the relay.")
flags.DEFINE_integer("body_bytes", 200, "Size of the body of a relayed request.")
flags.DEFINE_enum("output", "table", ["table", "json"], "Format of the report.")


@attrs.frozen
class Benchmark:
    """Hold the functions that run a benchmark and format its report."""

    run: Callable[[], dict[str, Any]]
    format_table: Callable[[dict[str, Any]], str]


def _run_decisions() -> dict[str, Any]:
    return decisions.run(
        FLAGS.profile,
        FLAGS.seed,
        FLAGS.workers,
        FLAGS.duration_s,
        FLAGS.failing_workers,
        FLAGS.baselines,
    )


def _chosen_policy() -> SchedulingPolicy:
    return make_policy(SCHEDULING_PARTS if ALL_PARTS in FLAGS.part else FLAGS.part)


def _run_cell() -> dict[str, Any]:
    workers, seconds = FLAGS.workers or 24, FLAGS.duration_s or 14.0
    return cell_replay.run(
        FLAGS.load, workers, seconds, FLAGS.seed, FLAGS.baselines, FLAGS.teams, _chosen_policy()
    )


def _run_liveness() -> dict[str, Any]:
    workers = FLAGS.workers or cell_liveness.LARGE_SITE_WORKERS
    seconds = FLAGS.duration_s or cell_liveness.LARGE_SITE_LENGTH_S
    seeds = range(FLAGS.seed, FLAGS.seed + FLAGS.seeds)
    return cell_liveness.run(FLAGS.scenario, workers, seconds, seeds, _chosen_policy())


def _run_progress() -> dict[str, Any]:
    return asyncio.run(progress_writes.run(FLAGS.measure_s))


def _run_control() -> dict[str, Any]:
    return control_overhead.run(
        [int(size) for size in FLAGS.fleets], FLAGS.control_rate, FLAGS.measure_s
    )


def _run_relay() -> dict[str, Any]:
    return relay.measure(FLAGS.measure_s, FLAGS.connections, FLAGS.body_bytes, FLAGS.relay_rate)


BENCHMARKS = {
    "cell": Benchmark(_run_cell, cell_replay.format_table),
    "control": Benchmark(_run_control, control_overhead.format_table),
    "decisions": Benchmark(_run_decisions, decisions.format_table),
    "liveness": Benchmark(_run_liveness, cell_liveness.format_table),
    "progress": Benchmark(_run_progress, progress_writes.format_table),
    "relay": Benchmark(_run_relay, relay.format_table),
}


def main(argv: list[str]) -> None:
    """Run the benchmark and print its report."""
    benchmark = BENCHMARKS.get(argv[1]) if len(argv) == 2 else None
    if benchmark is None:
        raise app.UsageError(f"expected one benchmark name: {', '.join(BENCHMARKS)}")
    report = benchmark.run()
    as_json = FLAGS.output == "json"
    print(orjson.dumps(report).decode() if as_json else benchmark.format_table(report))


if __name__ == "__main__":
    app.run(main)
