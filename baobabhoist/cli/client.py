"""Talk to the HTTP APIs and turn refusals into exit codes."""

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
# tornado reports a missing answer under this status.
NO_RESPONSE_STATUS = 599


class ExitCode(enum.IntEnum):
    """Name the exit codes of the command-line tool."""

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
    """Report a command, a file or a flag that cannot be used."""


class UnreachableError(BaobabhoistError):
    """Report that an instance gave no answer; `sent` tells whether it may have the request."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RefusedError(BaobabhoistError):
    """Carry the error body of a refusal."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("message", f"the answer has status {status}")))
        self.status = status
        self.body = body


# The outcome is decisive before the kind: whoever reads the code must know of a possible run.
EXIT_CODE_BY_ERROR_KIND: dict[str, ExitCode] = {
    "conflict": ExitCode.CONFLICT,
    "precondition_missing": ExitCode.CONFLICT,
    "not_found": ExitCode.NOT_FOUND,
    "key_missing": ExitCode.KEY_REJECTED,
    "key_rejected": ExitCode.KEY_REJECTED,
}


def exit_code_for(exc: RefusedError) -> ExitCode:
    """Return the exit code of a refusal."""
    if exc.body.get("outcome") == "unknown":
        return ExitCode.OUTCOME_UNKNOWN
    return EXIT_CODE_BY_ERROR_KIND.get(str(exc.body.get("kind")), ExitCode.REFUSED)


@attrs.frozen
class Response:
    """Hold a successful answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return orjson.loads(self.body) if self.body else None


def url_path(*parts: str) -> str:
    """Return a path whose parts are escaped."""
    return "/" + "/".join(quote(part, safe="") for part in parts)


@attrs.define
class Client:
    """Send requests to one API under one key; the key is never shown."""

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
        """Return the answer; raises RefusedError or UnreachableError."""
        sent = dict(headers or {})
        if self.key:
            sent[self.key_header] = self.key
        request = HTTPRequest(
            self.base_url.rstrip("/") + target,
            method=method,
            headers=sent,
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self.timeout_s,
            ssl_options=self.tls,
            follow_redirects=False,
        )
        http = HTTPClient()
        try:
            answer = http.fetch(request, raise_error=True)
        except HTTPClientError as exc:
            raise self._failure(exc) from exc
        except OSError as exc:
            refused = isinstance(exc, (ConnectionRefusedError, ssl.SSLCertVerificationError))
            raise UnreachableError(f"{self.base_url} does not answer: {exc}", not refused) from exc
        # A certificate that is not trusted is both an OSError and a ValueError.
        except ValueError as exc:
            raise UsageError(f"{self.base_url} is not a usable address: {exc}") from exc
        finally:
            http.close()
        return Response(answer.code, dict(answer.headers.get_all()), answer.body)

    def request_json(self, method: str, target: str, body: Any = None, **headers: str) -> Any:
        """Return the JSON answer to a JSON request; header names use underscores."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        data = orjson.dumps(body) if body is not None else None
        return self.send(method, target, data, named).json()

    def _failure(self, exc: HTTPClientError) -> BaobabhoistError:
        if exc.response is None or exc.code == NO_RESPONSE_STATUS:
            sent = "while connecting" not in str(exc)
            return UnreachableError(f"{self.base_url} does not answer: {exc}", sent)
        try:
            body = orjson.loads(exc.response.body)
        except orjson.JSONDecodeError:
            body = None
        if not isinstance(body, dict):
            body = {"kind": "unexpected", "message": f"the answer has status {exc.code}"}
        return RefusedError(exc.code, body)
