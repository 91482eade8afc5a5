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
    """Run the daemon until SIGTERM, SIGINT or an operator has drained it."""
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
    # Logging a line per request or connection would cost more than serving the request.
    for name, min_level in MIN_LOG_LEVELS.items():
        logging.getLogger(name).setLevel(max(min_level, logging.getLogger().level))
    for warning in loaded.warnings:
        emit(log, Event.SETTINGS_WARNING, problem=str(warning))
    daemon = Daemon(cfg)
    # A full garbage collection of a large heap pauses all requests. Objects that exist now are
    # long-lived and therefore frozen. Later full collections are made rare, which is safe because
    # requests create few reference cycles.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(serve(daemon))
    return 0


def run() -> None:
    """Run the command-line entry point."""
    app.run(main)


if __name__ == "__main__":
    run()
