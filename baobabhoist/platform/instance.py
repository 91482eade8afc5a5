"""Run an instance on the users' platform."""

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
from baobabhoist.platform.http_client import HttpClient
from baobabhoist.platform.http_server import HttpServers
from baobabhoist.platform.store import PlatformRowStore
from baobabhoist.platform.workers import PlatformWorkerDriver

log = logging.getLogger(__name__)

SETTINGS_ENV_VAR = "BAOBABHOIST_SETTINGS"
EXIT_BAD_SETTINGS = 2
GC_THRESHOLDS = (20_000, 20, 50)
# The HTTP server logs refused calls itself; these loggers would repeat them.
QUIET_LOGGERS = ("tornado.access", "tornado.general", "websockets")
# Concurrent requests to each kind of server. An instance has one query at the adviser, and a
# renewal waits at each worker whose session it holds.
MAX_STORE_READS = 40
MAX_STORE_WRITES = 80
MAX_COMMANDS = 120
MAX_RENEWALS = 250
MAX_QUERIES = 2
# Part of the grace period that is reserved for the exit of the process.
EXIT_RESERVE_S = 0.8


def load_settings() -> NodeSettings:
    """Return the settings in the file that BAOBABHOIST_SETTINGS names; raises SettingsError."""
    return load_with_warnings(os.environ.get(SETTINGS_ENV_VAR, ""), NodeSettings).settings


def make_adapter(cfg: NodeSettings) -> PlatformAdapter:
    """Return clients for the platform's services.

    Each has connections of its own: workers that do not answer would otherwise occupy all of them
    and hold up the owner's heartbeats to the store.
    """
    return PlatformAdapter(
        PlatformRowStore(
            HttpClient(MAX_STORE_READS), HttpClient(MAX_STORE_WRITES), cfg.store.address
        ),
        PlatformWorkerDriver(HttpClient(MAX_COMMANDS), HttpClient(MAX_RENEWALS)),
        PlatformAdviser(HttpClient(MAX_QUERIES), cfg.adviser_address),
        PlatformDecoder(),
    )


def make_node(cfg: NodeSettings) -> Node:
    """Return an instance that uses the platform's services."""
    return Node(cfg, make_adapter(cfg))


async def serve(cfg: NodeSettings, count_dropped_lines: Callable[[], int]) -> None:
    """Run until SIGTERM, then drain until the grace period is nearly over."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings)
    node = make_node(cfg)
    node.count_dropped_lines = count_dropped_lines
    servers = HttpServers(node)
    servers.start()
    node_task = asyncio.create_task(node.run())
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((node_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    if not stop_requested.is_set():
        await node_task
    deadline_s = loop.time() + cfg.bounds.grace_s - EXIT_RESERVE_S
    emit(log, Event.DRAIN_STARTED, open_requests=servers.open_calls.count)
    servers.open_calls.drain(deadline_s)
    # In the background, because the store may be slow to answer.
    release_task = asyncio.create_task(node.drain())
    await asyncio.sleep(deadline_s - loop.time())
    await servers.stop()
    release_task.cancel()
    node_task.cancel()
    emit(log, Event.DRAIN_FINISHED)


def _reload_settings() -> None:
    """Read the settings again; the log level changes at once, all others at the next start."""
    try:
        cfg = load_settings()
        logging.getLogger("baobabhoist").setLevel(cfg.log_level.upper())
        emit(log, Event.SETTINGS_RELOADED, instance_id=cfg.instance_id)
    except SettingsError as exc:
        emit(log, Event.SETTINGS_WARNING, problem=exc)


def run() -> int:
    """Read the settings, set up logging and run the instance; return the exit status."""
    try:
        cfg = load_settings()
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    handler = NonBlockingHandler(sys.stdout)
    rate_filter = RateLimitFilter(EVENT_ATTRIBUTE)
    handler.addFilter(rate_filter)
    configure_logging("json", cfg.log_level, handler=handler)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.CRITICAL)
    emit(log, Event.DAEMON_STARTED, instance_id=cfg.instance_id, data_centre=cfg.data_centre)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(serve(cfg, lambda: handler.dropped_lines + rate_filter.suppressed_lines))
    return 0
