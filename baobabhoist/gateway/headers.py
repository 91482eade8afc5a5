"""Parse the request headers that callers may send."""

from __future__ import annotations

import math
import re

import attrs
from tornado.httputil import HTTPHeaders

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.model import Resources, Urgency
from baobabhoist.records.schema import (
    MAX_ACCELERATORS,
    MAX_CPU_MILLI,
    MAX_DEADLINE_S,
    MAX_MEMORY_MB,
    MAX_SLOTS,
    refusal_for_problems,
)
from baobabhoist.records.validators import ABSENT, Problems, format_value, integer, number, one_of

IDEMPOTENCY_KEY_PATTERN = re.compile(r"[!-~]{1,200}")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,20}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
BOOLEAN_VALUES = {"true": True, "false": False}

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Request-Deadline"
FIRST_SENT_HEADER = "Idempotency-First-Sent"
IDEMPOTENT_HEADER = "X-Idempotent"
URGENCY_HEADER = "X-Urgency"
EXPECTED_RUN_HEADER = "X-Expected-Run-S"
_URGENCY_CHECK = one_of(Urgency)


@attrs.frozen
class RequestHeaders:
    """Hold the parsed headers of a request; times are in Unix seconds."""

    idempotency_key: str | None
    deadline: float | None
    first_sent_at: float | None
    idempotent: bool
    urgency: Urgency
    resources: Resources
    expected_run_s: float


@attrs.frozen
class _HeaderParser:
    headers: HTTPHeaders
    problems: Problems = attrs.Factory(list)

    def parse_integer(self, name: str, low: int, high: int, default: int) -> int:
        value = self.headers.get(name)
        if value is None:
            return default
        parsed = int(value) if INTEGER_PATTERN.fullmatch(value) else value
        checked = integer(low, high)(parsed, name, self.problems)
        return default if checked is ABSENT else int(checked)

    def parse_decimal(self, name: str, low: float, high: float) -> float | None:
        value = self.headers.get(name)
        if value is None:
            return None
        parsed = float(value) if DECIMAL_PATTERN.fullmatch(value) else value
        checked = number(low, high)(parsed, name, self.problems)
        return None if checked is ABSENT else float(checked)

    def parse_boolean(self, name: str) -> bool:
        value = self.headers.get(name, "false")
        if value not in BOOLEAN_VALUES:
            message = f"{format_value(value)} is not a boolean"
            self.problems.append(Problem(name, message, "give true or false"))
        return BOOLEAN_VALUES.get(value, False)

    def parse_urgency(self) -> Urgency:
        checked = _URGENCY_CHECK(
            self.headers.get(URGENCY_HEADER, "normal"), URGENCY_HEADER, self.problems
        )
        return Urgency.NORMAL if checked is ABSENT else Urgency(checked)

    def parse_idempotency_key(self) -> str | None:
        value = self.headers.get(IDEMPOTENCY_KEY_HEADER)
        if value is not None and IDEMPOTENCY_KEY_PATTERN.fullmatch(value) is None:
            message = f"{format_value(value)} is not allowed"
            remedy = "give 1 to 200 visible ASCII characters without spaces"
            self.problems.append(Problem(IDEMPOTENCY_KEY_HEADER, message, remedy))
        return value

    def parse_resources(self) -> Resources:
        return Resources(
            cpu_milli=self.parse_integer("X-Cpu-Milli", 0, MAX_CPU_MILLI, 0),
            memory_mb=self.parse_integer("X-Memory-MB", 0, MAX_MEMORY_MB, 0),
            accelerators=self.parse_integer("X-Accelerators", 0, MAX_ACCELERATORS, 0),
            slots=self.parse_integer("X-Slots", 1, MAX_SLOTS, 1),
        )


def parse_headers(headers: HTTPHeaders) -> RequestHeaders | Refusal:
    """Return the parsed headers of a request, or a refusal that lists all problems."""
    parser = _HeaderParser(headers)
    parsed = RequestHeaders(
        idempotency_key=parser.parse_idempotency_key(),
        deadline=parser.parse_decimal(DEADLINE_HEADER, 0.0, math.ldexp(1.0, 50)),
        first_sent_at=parser.parse_decimal(FIRST_SENT_HEADER, 0.0, math.ldexp(1.0, 50)),
        idempotent=parser.parse_boolean(IDEMPOTENT_HEADER),
        urgency=parser.parse_urgency(),
        resources=parser.parse_resources(),
        expected_run_s=parser.parse_decimal(EXPECTED_RUN_HEADER, 0.001, MAX_DEADLINE_S) or 1.0,
    )
    if parsed.idempotency_key is not None and DEADLINE_HEADER not in headers:
        message = f"the header is missing; {IDEMPOTENCY_KEY_HEADER} requires it"
        remedy = "send the time until which the response is useful, in Unix seconds"
        parser.problems.append(Problem(DEADLINE_HEADER, message, remedy))
    if parsed.first_sent_at is not None and parsed.idempotency_key is None:
        message = f"the header requires {IDEMPOTENCY_KEY_HEADER}"
        parser.problems.append(
            Problem(FIRST_SENT_HEADER, message, f"send {IDEMPOTENCY_KEY_HEADER} as well")
        )
    return refusal_for_problems(parser.problems, "the request") if parser.problems else parsed


def parse_idempotency_key(headers: HTTPHeaders) -> str | Refusal | None:
    """Return the idempotency key of a submission, None without one, or a refusal."""
    parser = _HeaderParser(headers)
    key = parser.parse_idempotency_key()
    return refusal_for_problems(parser.problems, "the request") if parser.problems else key


def check_deadline(deadline: float, now: float, max_ahead_s: float) -> Refusal | None:
    """Return the refusal of a deadline that has passed or is too far ahead, or None."""
    if deadline <= now:
        return Refusal(
            ErrorKind.DEADLINE_PASSED,
            f"the deadline passed {now - deadline:.3f} s ago",
            remedy="send a later deadline; if it should not have passed, check the clock",
        )
    if deadline > now + max_ahead_s:
        return Refusal(
            ErrorKind.DEADLINE_TOO_FAR,
            f"the deadline is {deadline - now:.0f} s ahead; at most {max_ahead_s:g} s are allowed",
            remedy="send an earlier deadline, in Unix seconds",
        )
    return None
