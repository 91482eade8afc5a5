"""Start an instance on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable

from baobabhoist.config.load import load_with_warnings
from baobabhoist.control.node import Node, PlatformAdapter
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import SettingsError
from baobabhoist.observability.events import EVENT_ATTRIBUTE, Event, configure_logging, emit
from baobabhoist.observability.log_handlers import NonBlockingHandler, RateLimitFilter
from baobabhoist.platform.advice import PlatformAdviser
from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.platform.front import Servers
from baobabhoist.platform.http import HttpCaller
from baobabhoist.platform.store import PlatformRows
from baobabhoist.platform.workers import PlatformWorkers

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "BAOBABHOIST_SETTINGS"
EXIT_BAD_SETTINGS = 2
GC_THRESHOLDS = (20_000, 20, 50)
# Refused calls are logged by the front; these would say the same again.
QUIET_LOGGERS = ("tornado.access", "tornado.general", "websockets")
# Of the grace time, this is kept for the end of the process.
EXIT_RESERVE_S = 0.8


def load_settings() -> NodeSettings:
    """Return the settings in the file that the platform names; raises SettingsError."""
    return load_with_warnings(os.environ.get(SETTINGS_VARIABLE, ""), NodeSettings).settings


def make_node(cfg: NodeSettings) -> Node:
    """Return an instance on the platform's interfaces."""
    http = HttpCaller()
    adapter = PlatformAdapter(
        PlatformRows(http, cfg.store.address),
        PlatformWorkers(http),
        PlatformAdviser(http, cfg.adviser_address),
        PlatformDecoder(),
    )
    return Node(cfg, adapter)


async def serve(cfg: NodeSettings, dropped_lines: Callable[[], int]) -> None:
    """Run until SIGTERM and then until the work in hand is done."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reloaded)
    node = make_node(cfg)
    node.count_dropped_lines = dropped_lines
    servers = Servers(node)
    servers.start()
    running = asyncio.create_task(node.run())
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait((running, stopped), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.is_set():
        await running
    emit(log, Event.DRAIN_STARTED, open_requests=0)
    await node.drain()
    await asyncio.sleep(cfg.bounds.grace_s - EXIT_RESERVE_S)
    await servers.stop()
    running.cancel()
    emit(log, Event.DRAIN_FINISHED)


def _reloaded() -> None:
    """Check the settings again; the log level changes now, all else at the next start."""
    try:
        cfg = load_settings()
        logging.getLogger("baobabhoist").setLevel(cfg.log_level.upper())
        emit(log, Event.SETTINGS_RELOADED, instance_id=cfg.instance_id)
    except SettingsError as exc:
        emit(log, Event.SETTINGS_WARNING, problem=exc)


def main() -> int:
    """Read the settings and serve."""
    try:
        cfg = load_settings()
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    handler = NonBlockingHandler(sys.stdout)
    limit = RateLimitFilter(EVENT_ATTRIBUTE)
    handler.addFilter(limit)
    configure_logging("json", cfg.log_level, handler=handler)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.CRITICAL)
    emit(log, Event.DAEMON_STARTED, instance_id=cfg.instance_id, data_centre=cfg.data_centre)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(serve(cfg, lambda: handler.dropped_lines + limit.suppressed_lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
