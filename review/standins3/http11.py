"""A small HTTP/1.1 server and client on asyncio; JSON bodies, one request at a time per channel."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

# Returned by a handler that gives no answer: the channel is closed.
NO_ANSWER = object()


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


async def _read_head(reader):
    line = (await reader.readline()).decode("latin-1").strip()
    headers = {}
    while line:
        field = (await reader.readline()).decode("latin-1").strip()
        if not field:
            return line, headers
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return "", headers


async def serve(host, port, handle):
    """Serve; `handle(request)` returns (status, body) or NO_ANSWER."""

    async def on_channel(reader, writer):
        try:
            while True:
                line, headers = await _read_head(reader)
                if not line:
                    break
                method, target, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await handle(Request(method, target, headers, body))
                if answer is NO_ANSWER:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, host, port)


async def call(host, port, method, path, body=None, headers=None, timeout_s=3.0):
    """Send one request on a new channel; return (status, body), or (0, reason) without an answer."""
    data = json.dumps(body).encode() if body is not None else b""
    fields = {"Host": f"{host}:{port}", "Content-Length": str(len(data)), "Connection": "close"}
    if body is not None:
        fields["Content-Type"] = "application/json"
    fields.update(headers or {})
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            await writer.drain()
            line, answered = await _read_head(reader)
            if not line:
                return 0, "the channel ended without an answer"
            status = int(line.split(" ")[1])
            length = answered.get("content-length")
            raw = await (reader.readexactly(int(length)) if length else reader.read())
            return status, (json.loads(raw) if raw else {})
    except TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return 0, f"no answer: {type(exc).__name__}"
    finally:
        if writer is not None:
            writer.close()
