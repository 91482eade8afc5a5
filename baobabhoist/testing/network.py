"""Relay TCP connections between processes, and cut, delay or silence them on command."""

from __future__ import annotations

import asyncio
import contextlib
import fnmatch
import os
from pathlib import Path

import attrs
import orjson
from absl import app, flags
from tornado.web import Application, RequestHandler

FLAGS = flags.FLAGS

CHUNK_BYTES = 65536
# The kernel's table of connections is long after many short ones, so one reading serves all
# connections that were opened meanwhile.
LOOKUP_INTERVAL_S = 0.1
# pass: forward. cut: end connections and refuse new ones. silent: open connections deliver
# nothing from now on, new ones work. blackhole: as silent, and new ones deliver nothing either.
# mute: what is sent arrives, but no answers come back; answers held up are lost.
MODES = ("pass", "cut", "silent", "blackhole", "mute")


@attrs.define(eq=False)
class Connection:
    """Hold one relayed connection; a silenced one stays open and delivers nothing."""

    client: asyncio.StreamWriter
    source: str = ""
    is_silenced: bool = False


@attrs.define
class Fault:
    """Hold the mode and the delay, in seconds, for connections from some sources."""

    mode: str = "pass"
    delay_s: float = 0.0


@attrs.define(eq=False)
class SourceResolver:
    """Tell which labelled process opened a connection.

    All processes share the loopback address, so the socket is looked up in the tables that
    Linux keeps of the labelled processes.
    """

    labels: dict[int, str] = attrs.Factory(dict)
    pending: list[tuple[tuple[int, int], asyncio.Future[str]]] = attrs.Factory(list)
    lookup_task: asyncio.Task[None] | None = None

    async def resolve(self, client_port: int, relay_port: int) -> str:
        """Return the label of the process behind a connection, or an empty string."""
        if not self.labels:
            return ""
        fut: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.pending.append(((client_port, relay_port), fut))
        if self.lookup_task is None or self.lookup_task.done():
            self.lookup_task = asyncio.create_task(self._answer())
        return await fut

    async def _answer(self) -> None:
        while self.pending:
            batch, self.pending = self.pending, []
            ports = {pair for pair, _ in batch}
            found = await asyncio.to_thread(find_labels, ports, dict(self.labels))
            for pair, fut in batch:
                if not fut.done():
                    fut.set_result(found.get(pair, ""))
            await asyncio.sleep(LOOKUP_INTERVAL_S)


def find_labels(ports: set[tuple[int, int]], labels: dict[int, str]) -> dict[tuple[int, int], str]:
    """Return the labels of the processes that hold the connections between pairs of ports."""
    inodes: dict[str, tuple[int, int]] = {}
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        parts = line.split()
        pair = int(parts[1][-4:], 16), int(parts[2][-4:], 16)
        if pair in ports:
            inodes[f"socket:[{parts[9]}]"] = pair
    found = {}
    for pid, label in labels.items():
        # The process may have ended, and its descriptors change while they are read.
        with contextlib.suppress(OSError):
            for name in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    target = os.readlink(f"/proc/{pid}/fd/{name}")
                    if target in inodes:
                        found[inodes[target]] = label
    return found


@attrs.define(eq=False)
class Relay:
    """Forward one port to another; faults may apply to connections of one source only."""

    name: str
    listen_port: int
    target_port: int
    resolver: SourceResolver = attrs.Factory(SourceResolver)
    default_fault: Fault = attrs.Factory(Fault)
    faults_by_source: dict[str, Fault] = attrs.Factory(dict)
    connections: set[Connection] = attrs.Factory(set)
    server_tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    async def start(self) -> asyncio.Server:
        """Listen and relay."""
        return await asyncio.start_server(self._serve, "127.0.0.1", self.listen_port)

    async def set_fault(self, mode: str, delay_s: float, source: str | None) -> None:
        """Put a fault in force; connections that were silenced never recover."""
        self._apply(mode, delay_s, source)
        if source is not None and self.connections:
            # The processes behind connections that were open already are found out only now.
            await asyncio.gather(*(self._identify(conn) for conn in list(self.connections)))
            self._apply(mode, delay_s, source)

    def _apply(self, mode: str, delay_s: float, source: str | None) -> None:
        fault = Fault(mode, delay_s)
        if source is None:
            self.default_fault = fault
            self.faults_by_source.clear()
        elif mode == "pass" and not delay_s:
            self.faults_by_source.pop(source, None)
        else:
            self.faults_by_source[source] = fault
        for conn in list(self.connections):
            if source is not None and conn.source != source:
                continue
            if mode in ("silent", "blackhole"):
                conn.is_silenced = True
            elif mode == "cut":
                conn.client.transport.abort()

    def fault_for(self, source: str) -> Fault:
        """Return the fault in force for a source."""
        return self.faults_by_source.get(source, self.default_fault)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Connection(writer)
        if self.faults_by_source:
            await self._identify(conn)
        fault = self.fault_for(conn.source)
        if fault.mode == "cut":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        conn.is_silenced = fault.mode == "blackhole"
        self.connections.add(conn)
        pumps = [
            asyncio.create_task(self._pump(conn, reader, back_writer)),
            asyncio.create_task(self._pump(conn, back_reader, writer, answers=True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # A connection that went silent does not deliver the target's end either.
            if conn.is_silenced:
                await asyncio.wait(pumps[:1])
        finally:
            self.connections.discard(conn)
            for pump in pumps:
                pump.cancel()
            writer.close()
            back_writer.close()

    async def _pump(
        self,
        conn: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool = False,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        delivery = asyncio.create_task(self._deliver(conn, queue, writer, answers))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                await queue.put((loop.time() + self.fault_for(conn.source).delay_s, data))
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
        answers: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if not data:
                return
            muted = answers and self.fault_for(conn.source).mode == "mute"
            # A connection that lost a part of an answer cannot be used any more.
            conn.is_silenced = conn.is_silenced or muted
            if not conn.is_silenced:
                writer.write(data)
                try:
                    await writer.drain()
                except ConnectionError:
                    return

    async def _identify(self, conn: Connection) -> None:
        if not conn.source:
            client_port = conn.client.get_extra_info("peername")[1]
            conn.source = await self.resolver.resolve(client_port, self.listen_port)


class RelayFaultHandler(RequestHandler):
    """Take commands: POST /relays {"name": GLOB, "mode": ..., "delay_s": ..., "source": ...}."""

    def initialize(self, relays: list[Relay]) -> None:
        """Take the relays."""
        self.relays = relays

    async def post(self) -> None:
        """Put a fault in force on every relay whose name matches."""
        body = orjson.loads(self.request.body)
        if body["mode"] not in MODES:
            self.set_status(400)
            self.finish({"error": f"mode must be one of {', '.join(MODES)}"})
            return
        matching = [relay for relay in self.relays if fnmatch.fnmatch(relay.name, body["name"])]
        delay_s, source = float(body.get("delay_s", 0.0)), body.get("source")
        await asyncio.gather(
            *(relay.set_fault(body["mode"], delay_s, source) for relay in matching)
        )
        self.finish({"relays": len(matching)})


class SourceLabelsHandler(RelayFaultHandler):
    """Label processes: POST /sources {PID: LABEL}."""

    async def post(self) -> None:
        """Take the labels; they replace the earlier ones."""
        labels = {int(pid): label for pid, label in orjson.loads(self.request.body).items()}
        for relay in self.relays:
            relay.resolver.labels = labels
        self.finish({"sources": len(labels)})


def parse_relay(text: str) -> Relay:
    """Return the relay in NAME=LISTEN_PORT:TARGET_PORT."""
    name, _, ports = text.rpartition("=")
    listen, _, target = ports.partition(":")
    return Relay(name, int(listen), int(target))


async def serve(relays: list[Relay], control_port: int) -> None:
    """Relay until cancelled."""
    resolver = SourceResolver()
    for relay in relays:
        relay.resolver = resolver
        relay.server_tasks.add(asyncio.create_task((await relay.start()).serve_forever()))
    context = {"relays": relays}
    Application(
        [(r"/relays", RelayFaultHandler, context), (r"/sources", SourceLabelsHandler, context)]
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
