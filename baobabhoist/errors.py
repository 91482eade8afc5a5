"""Define error kinds, refusals and the exceptions whose messages reach users."""

from __future__ import annotations

import enum
from typing import Any, TypeGuard

import attrs

from baobabhoist.outcome import Outcome


class ErrorKind(enum.StrEnum):
    """Enumerate the kinds of refusals that callers and operators can receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    PRECONDITION_MISSING = "precondition_missing"
    IN_USE = "in_use"
    REQUEST_TIMEOUT = "request_timeout"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_TOO_FAR = "deadline_too_far"
    QUEUE_FULL = "queue_full"
    TEAM_LIMIT = "team_limit"
    NO_CAPACITY = "no_capacity"
    NEVER_FITS = "never_fits"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SHARD_UNAVAILABLE = "shard_unavailable"
    PEER_UNREACHABLE = "peer_unreachable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    STALE_TOKEN = "stale_token"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    TASK_FAILED = "task_failed"
    PREEMPTED = "preempted"
    INTERNAL = "internal"


@attrs.frozen
class Problem:
    """Describe one invalid field: its path, what is wrong and how to correct it."""

    path: str
    message: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return the problem on one line."""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.path}: {self.message}{remedy}"


@attrs.frozen
class Refusal:
    """State why work was refused, what is known of its execution, and what the caller can do.

    Functions return a refusal in place of their result; it is not raised. `retry_after_s` is
    None if a retry of the same request cannot succeed.
    """

    kind: ErrorKind
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    remedy: str = ""
    retry_after_s: float | None = None
    problems: tuple[Problem, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """Return the JSON body of an error response."""
        body: dict[str, Any] = {
            "kind": self.kind.value,
            "message": self.message,
            "outcome": self.outcome.value,
            "remedy": self.remedy,
            "retry_after": self.retry_after_s,
        }
        if self.problems:
            body["problems"] = [attrs.asdict(problem) for problem in self.problems]
        return body


def is_refusal(value: object) -> TypeGuard[Refusal]:
    """Return whether a function returned a refusal in place of its result."""
    return isinstance(value, Refusal)


class BaobabhoistError(Exception):
    """Serve as the base class of exceptions whose messages reach users."""


class SettingsError(BaobabhoistError):
    """Report all problems of a settings file at once."""


class CodecError(BaobabhoistError):
    """Report a message that cannot be decoded or has fields of the wrong type."""


class LinkClosedError(BaobabhoistError):
    """Report that a connection closed while a reply was pending."""


class MessageNotSentError(LinkClosedError):
    """Report that no byte of a message was sent, because there was no connection."""


class MessageTooLargeError(LinkClosedError):
    """Report that a message exceeds the size limit of the protocol; nothing was sent."""


class PlatformError(BaobabhoistError):
    """Report that the platform gave no valid response before the deadline."""


class OwnerFailedError(BaobabhoistError):
    """Report that the owner of a cell cannot go on, because one of its tasks failed."""


class InvariantViolationError(BaobabhoistError):
    """Report a step that would violate an invariant; the step has no effect."""


HTTP_STATUS: dict[ErrorKind, int] = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.KEY_MISSING: 401,
    ErrorKind.KEY_REJECTED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.CONFLICT: 409,
    ErrorKind.METHOD_NOT_ALLOWED: 405,
    ErrorKind.PRECONDITION_MISSING: 428,
    ErrorKind.IN_USE: 409,
    ErrorKind.REQUEST_TIMEOUT: 408,
    ErrorKind.DEADLINE_PASSED: 408,
    ErrorKind.DEADLINE_TOO_FAR: 400,
    ErrorKind.QUEUE_FULL: 429,
    ErrorKind.TEAM_LIMIT: 429,
    ErrorKind.NO_CAPACITY: 503,
    ErrorKind.NEVER_FITS: 422,
    ErrorKind.OUTCOME_UNKNOWN: 504,
    ErrorKind.SHARD_UNAVAILABLE: 503,
    ErrorKind.PEER_UNREACHABLE: 503,
    ErrorKind.PLATFORM_UNAVAILABLE: 503,
    ErrorKind.STALE_TOKEN: 503,
    ErrorKind.CANCELLED: 409,
    ErrorKind.DRAINING: 503,
    ErrorKind.TASK_FAILED: 502,
    ErrorKind.PREEMPTED: 503,
    ErrorKind.INTERNAL: 500,
}
