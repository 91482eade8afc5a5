"""Call the platform's HTTP interfaces over connections that are kept open."""

from __future__ import annotations

import logging
from typing import Any

import attrs
import orjson
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

log = logging.getLogger(__name__)

MAX_CONCURRENT_REQUESTS = 250
CONNECT_TIMEOUT_S = 0.5
MAX_CACHED_CONNECTIONS = 1_000
JSON = "application/json"
NO_RESPONSE_CODE = 599


@attrs.frozen
class HttpResponse:
    """Hold an answer; `status` is 0 when none came. `body` is None unless it is JSON."""

    status: int
    body: Any = None
    reason: str = ""

    def field(self, name: str, default: Any = None) -> Any:
        """Return a field of the body, or the default."""
        if isinstance(self.body, dict):
            return self.body.get(name, default)
        return default


class HttpClient:
    """Own the connections to everything that the platform runs."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )
        # libcurl keeps few idle connections by default; each new one to a worker has a price.
        self._client._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        # Addresses whose last call had no answer: their kept connections may be dead.
        self._doubtful: set[str] = set()

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
        """Make one call; a missing answer is returned, not raised."""
        fresh = address in self._doubtful
        data = orjson.dumps(body) if body is not None else None
        if data is None and method in ("POST", "PUT"):
            data = b""
        sent = dict(headers or {})
        if data:
            sent["Content-Type"] = JSON
        req = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=sent,
            body=data,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_ipv6=False,
            prepare_curl_callback=_use_new_connection if fresh else None,
        )
        try:
            response = await self._client.fetch(req, raise_error=False)
        except (HTTPClientError, OSError) as exc:
            return self._unanswered(address, str(exc))
        if response.code == NO_RESPONSE_CODE:
            return self._unanswered(address, str(response.error))
        self._doubtful.discard(address)
        return HttpResponse(response.code, _parse(response.body))

    def _unanswered(self, address: str, reason: str) -> HttpResponse:
        self._doubtful.add(address)
        return HttpResponse(0, None, reason)


def _use_new_connection(curl: Any) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _parse(body: bytes) -> Any:
    if not body:
        return None
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
