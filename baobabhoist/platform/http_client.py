"""Send HTTP requests to the platform over persistent connections."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import attrs
import orjson
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# Tells libcurl that a request has no timeout for its whole duration.
NO_TIMEOUT_S = 0.0
MAX_CACHED_CONNECTIONS = 1_000
JSON = "application/json"
# The status with which Tornado reports that no response arrived.
NO_RESPONSE_CODE = 599
FIRST_SERVER_ERROR = 500
# Requests with these methods change something; an empty body would escape the check in `_prepare`.
METHODS_WITH_BODY = frozenset({"POST", "PUT"})


@attrs.frozen
class HttpResponse:
    """Hold a response; `status` is 0 if none arrived and `body` is None unless it is JSON.

    One that `is_too_large` has status 0 as well.
    """

    status: int
    body: Any = None
    reason: str = ""
    is_too_large: bool = False

    @property
    def is_server_error(self) -> bool:
        """Return whether a server, or a gateway before it, reports an error of its own."""
        return self.status >= FIRST_SERVER_ERROR

    def field(self, name: str, default: Any = None) -> Any:
        """Return a field of the body, or the default."""
        if isinstance(self.body, dict):
            return self.body.get(name, default)
        return default


class HttpClient:
    """Own the connections to one kind of server; each concurrent request takes memory."""

    def __init__(self, max_concurrent_requests: int) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_concurrent_requests
        )
        # libcurl caches few connections by default, and a new connection to a worker is costly.
        self._client._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        # Addresses whose last request got no response on a cached connection: others may be dead
        # as well. If a new connection fails too, the cached ones are tried again.
        self._suspect_addresses: set[str] = set()

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        idle_timeout_s: float = 0.0,
        max_bytes: int = 0,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request; a missing response is returned with status 0, not raised.

        `timeout_s` bounds the whole request. With an `idle_timeout_s` it bounds the time until the
        response begins, and the response may take as long as parts of it keep arriving and the
        caller waits; without one, a request goes on although its caller is cancelled. A body
        larger than `max_bytes` is not received, unless that is 0.
        """
        needs_new_connection = address in self._suspect_addresses
        if body is None and method in METHODS_WITH_BODY:
            body = {}
        data = orjson.dumps(body) if body is not None else None
        request_headers = dict(headers or {})
        if data:
            request_headers["Content-Type"] = JSON
        req = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=request_headers,
            body=data,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=NO_TIMEOUT_S if idle_timeout_s else timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_ipv6=False,
        )
        progress = TransferProgress(self._client, timeout_s, idle_timeout_s)

        def prepare(curl: Any) -> None:
            _prepare(curl, needs_new_connection, max_bytes)
            if idle_timeout_s:
                progress.watch(curl)

        req.prepare_curl_callback = prepare
        fetch = asyncio.ensure_future(self._client.fetch(req, raise_error=False))
        # Observed, because Tornado logs each failure of a request whose caller was cancelled.
        fetch.add_done_callback(_retrieve_exception)
        try:
            response = await asyncio.shield(fetch)
        except asyncio.CancelledError:
            progress.abort("nobody waits for the response any more")
            raise
        except (HTTPClientError, OSError) as exc:
            if isinstance(exc, CurlError) and exc.errno == pycurl.E_FILESIZE_EXCEEDED:
                return HttpResponse(0, reason=str(exc), is_too_large=True)
            return self._no_response(address, needs_new_connection, str(exc))
        if response.code == NO_RESPONSE_CODE:
            return self._no_response(address, needs_new_connection, str(response.error))
        self._suspect_addresses.discard(address)
        return HttpResponse(response.code, _parse_json(response.body))

    def close(self) -> None:
        """Close all connections; open requests end without a response."""
        self._client.close()

    def _no_response(self, address: str, was_new_connection: bool, reason: str) -> HttpResponse:
        if was_new_connection:
            self._suspect_addresses.discard(address)
        else:
            self._suspect_addresses.add(address)
        return HttpResponse(0, None, reason)


class TransferProgress:
    """Abort a request that does not begin to be answered, or whose response stops arriving."""

    def __init__(
        self, client: CurlAsyncHTTPClient, first_byte_timeout_s: float, idle_timeout_s: float
    ) -> None:
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._first_byte_timeout_s = first_byte_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._received_bytes = 0
        # On the clock of the event loop.
        self._deadline_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._curl: Any = None
        # Tornado's state of the request; the handle has another one as soon as it is reused.
        self._transfer: Any = None
        self._is_abandoned = False

    def watch(self, curl: Any) -> None:
        """Watch the request that a handle of libcurl is about to send; raises HTTPClientError."""
        if self._is_abandoned:
            raise HTTPClientError(NO_RESPONSE_CODE, "nobody waits for the response any more")
        self._curl, self._transfer = curl, curl.info
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._record)
        self._deadline_s = self._loop.time() + self._first_byte_timeout_s
        self._check_at_deadline()

    def _record(self, _total: int, received: int, _upload_total: int, _uploaded: int) -> None:
        if received <= self._received_bytes:
            return
        is_first = not self._received_bytes
        self._received_bytes = received
        self._deadline_s = self._loop.time() + self._idle_timeout_s
        if is_first:
            self._check_at_deadline()

    def _check_at_deadline(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._deadline_s, self._check)

    def _check(self) -> None:
        if self._loop.time() < self._deadline_s:
            self._check_at_deadline()
        else:
            self.abort(f"timed out after {self._received_bytes} bytes of the response")

    def abort(self, reason: str) -> None:
        """End the request unless it has ended; one that was not sent yet will not be sent."""
        self._is_abandoned = True
        if self._curl is None or self._curl.info is not self._transfer:
            return
        self._client._finish(self._curl, pycurl.E_OPERATION_TIMEDOUT, reason)


def _retrieve_exception(fetch: asyncio.Future[Any]) -> None:
    if not fetch.cancelled():
        fetch.exception()


def _prepare(curl: Any, needs_new_connection: bool, max_bytes: int) -> None:
    """Set what Tornado has no options for, and keep libcurl from sending a body twice.

    When a reused connection ends without an answer, libcurl repeats the request, and the answer
    to the repetition would hide that the first sending may have been carried out.
    """
    curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)
    if needs_new_connection:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.MAXFILESIZE, max_bytes)


def _refuse_seek(offset: int, origin: int) -> int:
    return int(pycurl.SEEKFUNC_FAIL)


def _parse_json(body: bytes) -> Any:
    if not body:
        return None
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
