"""Relay TCP connections between processes, and inject network faults into them on request."""

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
# The kernel's connection table is long after many short connections, so lookups are batched: one
# read of the table serves all connections opened within this interval.
LOOKUP_INTERVAL_S = 0.1
# pass: forward data. cut: abort open and new connections. silent: open connections never deliver
# data again, new ones work. blackhole: as silent, and new ones deliver nothing either.
# mute: deliver requests but drop replies, including delayed ones.
MODES = ("pass", "cut", "silent", "blackhole", "mute")


@attrs.define(eq=False)
class Connection:
    """Track a relayed connection, which stays open but delivers nothing once it is silenced."""

    client: asyncio.StreamWriter
    # Label of the process that opened the connection.
    source: str = ""
    is_silenced: bool = False


@attrs.define
class Fault:
    """Hold the mode and the delay of the connections to which a fault applies."""

    mode: str = "pass"
    delay_s: float = 0.0


@attrs.define(eq=False)
class SourceResolver:
    """Find the label of the process that opened a connection.

    All processes share the loopback address, so the connection's socket is looked up among the
    file descriptors of the labelled processes, as Linux lists them in /proc.
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
            self.lookup_task = asyncio.create_task(self._resolve_pending())
        return await fut

    async def _resolve_pending(self) -> None:
        while self.pending:
            batch, self.pending = self.pending, []
            port_pairs = {ports for ports, _ in batch}
            labels_by_ports = await asyncio.to_thread(find_labels, port_pairs, dict(self.labels))
            for ports, fut in batch:
                if not fut.done():
                    fut.set_result(labels_by_ports.get(ports, ""))
            await asyncio.sleep(LOOKUP_INTERVAL_S)


def find_labels(
    port_pairs: set[tuple[int, int]], labels: dict[int, str]
) -> dict[tuple[int, int], str]:
    """Return the label of the process behind each connection, given as a pair of ports."""
    ports_by_socket: dict[str, tuple[int, int]] = {}
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        ports = int(fields[1][-4:], 16), int(fields[2][-4:], 16)
        if ports in port_pairs:
            ports_by_socket[f"socket:[{fields[9]}]"] = ports
    labels_by_ports = {}
    for pid, label in labels.items():
        # The process may have exited, and its descriptors may change while they are read.
        with contextlib.suppress(OSError):
            for name in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    target = os.readlink(f"/proc/{pid}/fd/{name}")
                    if target in ports_by_socket:
                        labels_by_ports[ports_by_socket[target]] = label
    return labels_by_ports


@attrs.define(eq=False)
class Relay:
    """Forward a port to another one; a fault may apply to the connections of one source only."""

    name: str
    listen_port: int
    target_port: int
    resolver: SourceResolver = attrs.Factory(SourceResolver)
    default_fault: Fault = attrs.Factory(Fault)
    faults_by_source: dict[str, Fault] = attrs.Factory(dict)
    connections: set[Connection] = attrs.Factory(set)
    server_tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    async def start(self) -> asyncio.Server:
        """Start the relay's server."""
        return await asyncio.start_server(self._serve, "127.0.0.1", self.listen_port)

    async def set_fault(self, mode: str, delay_s: float, source: str | None) -> None:
        """Inject a fault, or remove it with mode `pass`; silenced connections never recover."""
        self._apply(mode, delay_s, source)
        if source is not None and self.connections:
            # The sources of connections that were already open are looked up only now.
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
        """Return the fault that applies to a source."""
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
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        conn.is_silenced = fault.mode == "blackhole"
        self.connections.add(conn)
        forwards = [
            asyncio.create_task(self._forward(conn, reader, target_writer)),
            asyncio.create_task(self._forward(conn, target_reader, writer, is_reply=True)),
        ]
        try:
            await asyncio.wait(forwards, return_when=asyncio.FIRST_COMPLETED)
            # A silenced connection does not deliver the close by the target either.
            if conn.is_silenced:
                await asyncio.wait(forwards[:1])
        finally:
            self.connections.discard(conn)
            for forward in forwards:
                forward.cancel()
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        conn: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool = False,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        delivery = asyncio.create_task(self._deliver(conn, queue, writer, is_reply))
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
        is_reply: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, data = await queue.get()
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            if not data:
                return
            is_muted = is_reply and self.fault_for(conn.source).mode == "mute"
            # The byte stream of a connection is unusable once part of a reply is lost.
            conn.is_silenced = conn.is_silenced or is_muted
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
    """Inject faults: POST /relays {"name": GLOB, "mode": ..., "delay_s": ..., "source": ...}."""

    def initialize(self, relays: list[Relay]) -> None:
        """Set the relays that the handler controls."""
        self.relays = relays

    async def post(self) -> None:
        """Inject a fault into every relay whose name matches."""
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
        """Replace the labels of processes."""
        labels = {int(pid): label for pid, label in orjson.loads(self.request.body).items()}
        for relay in self.relays:
            relay.resolver.labels = labels
        self.finish({"sources": len(labels)})


def parse_relay(spec: str) -> Relay:
    """Parse a relay given as NAME=LISTEN_PORT:TARGET_PORT."""
    name, _, ports = spec.rpartition("=")
    listen_port, _, target_port = ports.partition(":")
    return Relay(name, int(listen_port), int(target_port))


async def serve(relays: list[Relay], control_port: int) -> None:
    """Run the relays until cancelled."""
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
    """Define the flags; only the program does so, since flags of imported modules would clash."""
    flags.DEFINE_integer("control_port", 0, "Port for control requests.")
    flags.DEFINE_list("relays", [], "Relays as NAME=LISTEN_PORT:TARGET_PORT.")


def main(argv: list[str]) -> None:
    """Run the relays that the flags list."""
    asyncio.run(serve([parse_relay(spec) for spec in FLAGS.relays], FLAGS.control_port))


if __name__ == "__main__":
    define_flags()
    app.run(main)
