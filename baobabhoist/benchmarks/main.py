"""Run a measurement named on the command line."""

from __future__ import annotations

import asyncio

import orjson
from absl import app, flags

from baobabhoist.benchmarks import control, decisions, progress
from baobabhoist.benchmarks.stream import PROFILES

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the stream of work.")
flags.DEFINE_enum("profile", "whistlemark", list(PROFILES), "Fleet, teams and load.")
flags.DEFINE_integer("workers", 0, "Number of workers in place of the profile's.", lower_bound=0)
flags.DEFINE_float("duration_s", 0.0, "Length of the stream in place of the profile's.")
flags.DEFINE_bool("failing_workers", True, "Whether some workers fail everything for a time.")
flags.DEFINE_float("measure_s", 3.0, "Length of each measurement of progress writes.")
flags.DEFINE_list("fleets", ["24", "100", "400"], "Numbers of workers to measure control at.")
flags.DEFINE_float("rate", 200.0, "Requests a second while control is measured under load.")
flags.DEFINE_enum("output", "table", ["table", "json"], "Form of the report.")


def main(argv: list[str]) -> None:
    """Run the measurement and print its report."""
    match argv[1:]:
        case ["decisions"]:
            report = decisions.run(
                FLAGS.profile, FLAGS.seed, FLAGS.workers, FLAGS.duration_s, FLAGS.failing_workers
            )
            text = decisions.table(report)
        case ["progress"]:
            report = asyncio.run(progress.run(FLAGS.measure_s))
            text = progress.table(report)
        case ["control"]:
            sizes = [int(size) for size in FLAGS.fleets]
            report = control.run(sizes, FLAGS.rate, FLAGS.measure_s)
            text = control.table(report)
        case _:
            raise app.UsageError("name one measurement: control, decisions or progress")
    print(orjson.dumps(report).decode() if FLAGS.output == "json" else text)


if __name__ == "__main__":
    app.run(main)
