"""Send requests to the HTTP APIs and map refusals to exit codes."""

from __future__ import annotations

import enum
import ssl
from typing import Any
from urllib.parse import quote

import attrs
import orjson
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest

from baobabhoist.errors import BaobabhoistError

CONNECT_TIMEOUT_S = 5.0
DEFAULT_TIMEOUT_S = 30.0
# tornado reports a missing response with this status.
NO_RESPONSE_STATUS = 599


class ExitCode(enum.IntEnum):
    """Enumerate the exit codes of the command-line tool."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    JOB_FAILED = 7
    STILL_RUNNING = 8
    KEY_REJECTED = 9


class UsageError(BaobabhoistError):
    """Report an invalid command, file or flag."""


class UnreachableError(BaobabhoistError):
    """Report that an instance did not respond, and whether it may have received the request."""

    def __init__(self, message: str, possibly_received: bool) -> None:
        super().__init__(message)
        self.possibly_received = possibly_received


class RefusedError(BaobabhoistError):
    """Carry the error body of a refusal."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("message", f"the response has status {status}")))
        self.status = status
        self.body = body


# An unknown outcome takes precedence over the kind of the error, because a script must learn from
# the exit code that the request may have run.
EXIT_CODE_BY_ERROR_KIND: dict[str, ExitCode] = {
    "conflict": ExitCode.CONFLICT,
    "precondition_missing": ExitCode.CONFLICT,
    "not_found": ExitCode.NOT_FOUND,
    "key_missing": ExitCode.KEY_REJECTED,
    "key_rejected": ExitCode.KEY_REJECTED,
}


def exit_code_for(exc: RefusedError) -> ExitCode:
    """Return the exit code for a refusal."""
    if exc.body.get("outcome") == "unknown":
        return ExitCode.OUTCOME_UNKNOWN
    return EXIT_CODE_BY_ERROR_KIND.get(str(exc.body.get("kind")), ExitCode.REFUSED)


@attrs.frozen
class Response:
    """Hold a successful response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return orjson.loads(self.body) if self.body else None


def url_path(*parts: str) -> str:
    """Return a URL path with escaped parts."""
    return "/" + "/".join(quote(part, safe="") for part in parts)


@attrs.define
class Client:
    """Send requests to one API with one key, which is never printed."""

    base_url: str
    key_header: str
    key: str = attrs.field(default="", repr=False)
    tls: ssl.SSLContext | None = None
    timeout_s: float = DEFAULT_TIMEOUT_S

    def send(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Return the response; raises RefusedError, UnreachableError or UsageError."""
        sent_headers = dict(headers or {})
        if self.key:
            sent_headers[self.key_header] = self.key
        request = HTTPRequest(
            self.base_url.rstrip("/") + target,
            method=method,
            headers=sent_headers,
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self.timeout_s,
            ssl_options=self.tls,
            follow_redirects=False,
        )
        http_client = HTTPClient()
        try:
            response = http_client.fetch(request, raise_error=True)
        except HTTPClientError as exc:
            raise self._map_error(exc) from exc
        except OSError as exc:
            refused = isinstance(exc, (ConnectionRefusedError, ssl.SSLCertVerificationError))
            raise UnreachableError(f"{self.base_url} does not answer: {exc}", not refused) from exc
        # The error for an untrusted certificate is an OSError as well as a ValueError, so the
        # order of these clauses matters.
        except ValueError as exc:
            raise UsageError(f"{self.base_url} is not a valid URL: {exc}") from exc
        finally:
            http_client.close()
        return Response(response.code, dict(response.headers.get_all()), response.body)

    def request_json(self, method: str, target: str, body: Any = None, **headers: str) -> Any:
        """Send a JSON request and return the JSON response; header names have underscores."""
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        encoded_body = orjson.dumps(body) if body is not None else None
        return self.send(method, target, encoded_body, header_fields).json()

    def _map_error(self, exc: HTTPClientError) -> BaobabhoistError:
        if exc.response is None or exc.code == NO_RESPONSE_STATUS:
            possibly_received = "while connecting" not in str(exc)
            return UnreachableError(f"{self.base_url} does not answer: {exc}", possibly_received)
        try:
            body = orjson.loads(exc.response.body)
        except orjson.JSONDecodeError:
            body = None
        if not isinstance(body, dict):
            body = {"kind": "unexpected", "message": f"the response has status {exc.code}"}
        return RefusedError(exc.code, body)
