"""Run a measurement named on the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from absl import app, flags

from baobabhoist.benchmarks import cell_replay, control_overhead, decisions, progress_writes, relay
from baobabhoist.benchmarks.cell_workload import SCENARIOS
from baobabhoist.benchmarks.workload import PROFILES

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the stream of work.")
flags.DEFINE_enum("profile", "whistlemark", list(PROFILES), "Fleet, teams and load.")
flags.DEFINE_integer("workers", 0, "Number of workers in place of the profile's.", lower_bound=0)
flags.DEFINE_float("duration_s", 0.0, "Length of the stream in place of the profile's.")
flags.DEFINE_enum("load", "", ["", *SCENARIOS], "Load of a cell; all of them by default.")
flags.DEFINE_bool("failing_workers", True, "Whether some workers fail everything for a time.")
flags.DEFINE_bool("baselines", True, "Whether to replay the stream for the baselines too.")
flags.DEFINE_float("measure_s", 5.0, "Length of each part of a measurement on real processes.")
flags.DEFINE_list("fleets", ["24", "100", "400"], "Numbers of workers to measure control at.")
flags.DEFINE_float("control_rate", 200.0, "Requests a second while control is under load.")
flags.DEFINE_float(
    "relay_rate",
    relay.TARGET_REQUESTS_PER_S / 2,
    "Requests a second at which latency is measured.",
)
flags.DEFINE_integer("connections", 64, "Connections of callers to the relay.")
flags.DEFINE_integer("body_bytes", 200, "Size of a relayed request's body.")
flags.DEFINE_enum("output", "table", ["table", "json"], "Form of the report.")


@attrs.frozen
class Benchmark:
    """Bind a name to what measures it and what prints it."""

    run: Callable[[], dict[str, Any]]
    format_table: Callable[[dict[str, Any]], str]


def _decisions() -> dict[str, Any]:
    return decisions.run(
        FLAGS.profile,
        FLAGS.seed,
        FLAGS.workers,
        FLAGS.duration_s,
        FLAGS.failing_workers,
        FLAGS.baselines,
    )


def _cell() -> dict[str, Any]:
    workers, seconds = FLAGS.workers or 24, FLAGS.duration_s or 14.0
    return cell_replay.run(FLAGS.load, workers, seconds, FLAGS.seed, FLAGS.baselines)


def _progress() -> dict[str, Any]:
    return asyncio.run(progress_writes.run(FLAGS.measure_s))


def _control() -> dict[str, Any]:
    return control_overhead.run(
        [int(size) for size in FLAGS.fleets], FLAGS.control_rate, FLAGS.measure_s
    )


def _relay() -> dict[str, Any]:
    return relay.measure(FLAGS.measure_s, FLAGS.connections, FLAGS.body_bytes, FLAGS.relay_rate)


BENCHMARKS = {
    "cell": Benchmark(_cell, cell_replay.format_table),
    "control": Benchmark(_control, control_overhead.format_table),
    "decisions": Benchmark(_decisions, decisions.format_table),
    "progress": Benchmark(_progress, progress_writes.format_table),
    "relay": Benchmark(_relay, relay.format_table),
}


def main(argv: list[str]) -> None:
    """Run the measurement and print its report."""
    benchmark = BENCHMARKS.get(argv[1]) if len(argv) == 2 else None
    if benchmark is None:
        raise app.UsageError(f"name one measurement: {', '.join(BENCHMARKS)}")
    report = benchmark.run()
    json_wanted = FLAGS.output == "json"
    print(orjson.dumps(report).decode() if json_wanted else benchmark.format_table(report))


if __name__ == "__main__":
    app.run(main)
