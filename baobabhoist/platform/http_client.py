"""Send HTTP requests to the platform over persistent connections."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import attrs
import orjson
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
MAX_CACHED_CONNECTIONS = 1_000
JSON = "application/json"
# The status with which Tornado reports that no response arrived.
NO_RESPONSE_CODE = 599
FIRST_SERVER_ERROR = 500
# Requests with these methods change something; an empty body would escape the check in `_prepare`.
METHODS_WITH_BODY = frozenset({"POST", "PUT"})


@attrs.frozen
class HttpResponse:
    """Hold a response; `status` is 0 if none arrived and `body` is None unless it is JSON."""

    status: int
    body: Any = None
    reason: str = ""

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
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send one request; a missing response is returned with status 0, not raised."""
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
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_ipv6=False,
            prepare_curl_callback=_prepare_new if needs_new_connection else _prepare,
        )
        fetch = asyncio.ensure_future(self._client.fetch(req, raise_error=False))
        # Observed, because Tornado logs each failure of a request whose caller was cancelled.
        fetch.add_done_callback(_retrieve_exception)
        try:
            response = await asyncio.shield(fetch)
        except (HTTPClientError, OSError) as exc:
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


def _retrieve_exception(fetch: asyncio.Future[Any]) -> None:
    if not fetch.cancelled():
        fetch.exception()


def _prepare(curl: Any) -> None:
    """Keep libcurl from sending a body twice.

    When a reused connection ends without an answer, libcurl repeats the request, and the answer
    to the repetition would hide that the first sending may have been carried out.
    """
    curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)


def _prepare_new(curl: Any) -> None:
    """Do the same, and use a new connection."""
    _prepare(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _refuse_seek(offset: int, origin: int) -> int:
    return int(pycurl.SEEKFUNC_FAIL)


def _parse_json(body: bytes) -> Any:
    if not body:
        return None
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
