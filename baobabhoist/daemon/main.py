"""Start the daemon."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

from absl import app, flags

from baobabhoist.config.load import load_with_warnings
from baobabhoist.config.settings import Settings
from baobabhoist.daemon.app import Daemon
from baobabhoist.errors import SettingsError
from baobabhoist.observability.events import Event, configure_logging, emit

log = logging.getLogger(__name__)

FLAGS = flags.FLAGS
flags.DEFINE_string("config", None, "Settings file in YAML.", required=True)

EXIT_BAD_SETTINGS = 2
GC_THRESHOLDS = (20_000, 20, 50)
MIN_LOG_LEVELS = {"tornado.access": logging.CRITICAL, "websockets": logging.WARNING}


async def serve(daemon: Daemon) -> None:
    """Run the daemon until it is drained: by SIGTERM, SIGINT or an operator."""
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, daemon.drain.started.set)
    await daemon.run()


def main(argv: list[str]) -> int:
    """Read the settings and serve."""
    try:
        loaded = load_with_warnings(FLAGS.config, Settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    cfg = loaded.settings
    configure_logging(cfg.log_format, cfg.log_level)
    # One line per request or connection would cost more than the request itself.
    for name, min_level in MIN_LOG_LEVELS.items():
        logging.getLogger(name).setLevel(max(min_level, logging.getLogger().level))
    for warning in loaded.warnings:
        emit(log, Event.SETTINGS_WARNING, problem=str(warning))
    daemon = Daemon(cfg)
    # A full collection of a large heap stops all requests for its time. What is loaded now
    # stays, and later full collections are rare, because requests leave few cycles behind.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(serve(daemon))
    return 0


def run() -> None:
    """Be the entry point of the command."""
    app.run(main)


if __name__ == "__main__":
    run()
