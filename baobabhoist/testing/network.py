"""Relay TCP connections between processes, and cut, delay or silence them on command."""

from __future__ import annotations

import asyncio
import fnmatch
import os
from pathlib import Path

import attrs
import orjson
from absl import app, flags
from tornado.web import Application, RequestHandler

FLAGS = flags.FLAGS

CHUNK_BYTES = 65536
# pass: forward. cut: end connections and refuse new ones. silent: open connections deliver
# nothing from now on, new ones work. blackhole: as silent, and new ones deliver nothing either.
MODES = ("pass", "cut", "silent", "blackhole")


@attrs.define(eq=False)
class Connection:
    """Hold one relayed connection; a dead one stays open and delivers nothing."""

    client: asyncio.StreamWriter
    source: str
    dead: bool = False


@attrs.define
class Fault:
    """Hold the mode and the delay, in seconds, for connections from some sources."""

    mode: str = "pass"
    delay_s: float = 0.0


@attrs.define(eq=False)
class Relay:
    """Forward one port to another; faults may apply to connections of one source only."""

    name: str
    port: int
    target: int
    sources: dict[int, str] = attrs.Factory(dict)
    default: Fault = attrs.Factory(Fault)
    by_source: dict[str, Fault] = attrs.Factory(dict)
    open: set[Connection] = attrs.Factory(set)
    tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    async def start(self) -> asyncio.Server:
        """Listen and relay."""
        return await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def command(self, mode: str, delay_s: float, source: str | None) -> None:
        """Put a fault in force; connections that were silenced never recover."""
        fault = Fault(mode, delay_s)
        if source is None:
            self.default = fault
            self.by_source.clear()
        else:
            self.by_source[source] = fault
        for conn in list(self.open):
            if source is not None and conn.source != source:
                continue
            if mode in ("silent", "blackhole"):
                conn.dead = True
            elif mode == "cut":
                conn.client.transport.abort()

    def fault(self, source: str) -> Fault:
        """Return the fault in force for a source."""
        return self.by_source.get(source, self.default)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self._source_of(writer)
        fault = self.fault(source)
        if fault.mode == "cut":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        conn = Connection(writer, source, dead=fault.mode == "blackhole")
        self.open.add(conn)
        pumps = [
            asyncio.create_task(self._pump(conn, reader, back_writer)),
            asyncio.create_task(self._pump(conn, back_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # A connection that went silent does not deliver the target's end either.
            if conn.dead:
                await asyncio.wait(pumps[:1])
        finally:
            self.open.discard(conn)
            for pump in pumps:
                pump.cancel()
            writer.close()
            back_writer.close()

    async def _pump(
        self, conn: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        delivery = asyncio.create_task(self._deliver(conn, queue, writer))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                await queue.put((loop.time() + self.fault(conn.source).delay_s, data))
            await queue.put((loop.time(), b""))
            await delivery
        except ConnectionError:
            return
        finally:
            delivery.cancel()

    async def _deliver(
        self,
        conn: Connection,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if not data:
                return
            if not conn.dead:
                writer.write(data)
                try:
                    await writer.drain()
                except ConnectionError:
                    return

    def _source_of(self, writer: asyncio.StreamWriter) -> str:
        """Return the label of the process that opened the connection, or an empty string.

        All processes share the loopback address, so the socket is looked up in the tables
        that Linux keeps of the processes named in `sources`.
        """
        if not self.sources:
            return ""
        inode = _socket_inode(writer.get_extra_info("peername")[1], self.port)
        for pid, label in self.sources.items():
            if inode and _holds_socket(pid, inode):
                return label
        return ""


def _socket_inode(local_port: int, remote_port: int) -> str:
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        parts = line.split()
        if parts[1].endswith(local) and parts[2].endswith(remote):
            return parts[9]
    return ""


def _holds_socket(pid: int, inode: str) -> bool:
    try:
        with os.scandir(f"/proc/{pid}/fd") as entries:
            return any(os.readlink(entry.path) == f"socket:[{inode}]" for entry in entries)
    except OSError:
        return False


class CommandHandler(RequestHandler):
    """Take commands: POST /relays {"name": GLOB, "mode": ..., "delay_s": ..., "source": ...}."""

    def initialize(self, relays: list[Relay]) -> None:
        """Take the relays."""
        self.relays = relays

    def post(self) -> None:
        """Put a fault in force on every relay whose name matches."""
        body = orjson.loads(self.request.body)
        if body["mode"] not in MODES:
            self.set_status(400)
            self.finish({"error": f"mode must be one of {', '.join(MODES)}"})
            return
        matching = [relay for relay in self.relays if fnmatch.fnmatch(relay.name, body["name"])]
        for relay in matching:
            relay.command(body["mode"], float(body.get("delay_s", 0.0)), body.get("source"))
        self.finish({"relays": len(matching)})


class SourcesHandler(CommandHandler):
    """Label processes: POST /sources {PID: LABEL}."""

    def post(self) -> None:
        """Take the labels; they replace the earlier ones."""
        labels = {int(pid): label for pid, label in orjson.loads(self.request.body).items()}
        for relay in self.relays:
            relay.sources = labels
        self.finish({"sources": len(labels)})


def parse_relay(text: str) -> Relay:
    """Return the relay in NAME=LISTEN_PORT:TARGET_PORT."""
    name, _, ports = text.rpartition("=")
    listen, _, target = ports.partition(":")
    return Relay(name, int(listen), int(target))


async def serve(relays: list[Relay], control_port: int) -> None:
    """Relay until cancelled."""
    for relay in relays:
        relay.tasks.add(asyncio.create_task((await relay.start()).serve_forever()))
    context = {"relays": relays}
    Application(
        [(r"/relays", CommandHandler, context), (r"/sources", SourcesHandler, context)]
    ).listen(control_port, "127.0.0.1")
    await asyncio.Event().wait()


def define_flags() -> None:
    """Define the command line; only the program itself does, so that modules stay importable."""
    flags.DEFINE_integer("control_port", 0, "Port for commands.")
    flags.DEFINE_list("relays", [], "Relays as NAME=LISTEN_PORT:TARGET_PORT.")


def main(argv: list[str]) -> None:
    """Serve the relays."""
    asyncio.run(serve([parse_relay(text) for text in FLAGS.relays], FLAGS.control_port))


if __name__ == "__main__":
    define_flags()
    app.run(main)
