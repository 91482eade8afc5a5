"""Read the request headers that callers may send."""

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

KEY_PATTERN = re.compile(r"[!-~]{1,200}")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,20}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
TRUTH_VALUES = {"true": True, "false": False}

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE = "Request-Deadline"
FIRST_SENT = "Idempotency-First-Sent"
IDEMPOTENT = "X-Idempotent"
URGENCY = "X-Urgency"
EXPECTED_RUN = "X-Expected-Run-S"
_URGENCY = one_of(Urgency)


@attrs.frozen
class RequestHeaders:
    """Hold what a caller asked for in headers; times are in Unix seconds."""

    idempotency_key: str | None
    deadline: float | None
    first_sent_at: float | None
    idempotent: bool
    urgency: Urgency
    resources: Resources
    expected_run_s: float


@attrs.frozen
class _Reader:
    headers: HTTPHeaders
    problems: Problems = attrs.Factory(list)

    def whole(self, name: str, low: int, high: int, default: int) -> int:
        value = self.headers.get(name)
        if value is None:
            return default
        parsed = int(value) if INTEGER_PATTERN.fullmatch(value) else value
        found = integer(low, high)(parsed, name, self.problems)
        return default if found is ABSENT else int(found)

    def decimal(self, name: str, low: float, high: float) -> float | None:
        value = self.headers.get(name)
        if value is None:
            return None
        parsed = float(value) if DECIMAL_PATTERN.fullmatch(value) else value
        found = number(low, high)(parsed, name, self.problems)
        return None if found is ABSENT else float(found)

    def truth(self, name: str) -> bool:
        value = self.headers.get(name, "false")
        if value not in TRUTH_VALUES:
            message = f"{format_value(value)} is not a truth value"
            self.problems.append(Problem(name, message, "give true or false"))
        return TRUTH_VALUES.get(value, False)

    def urgency(self) -> Urgency:
        found = _URGENCY(self.headers.get(URGENCY, "normal"), URGENCY, self.problems)
        return Urgency.NORMAL if found is ABSENT else Urgency(found)

    def key(self) -> str | None:
        value = self.headers.get(IDEMPOTENCY_KEY)
        if value is not None and KEY_PATTERN.fullmatch(value) is None:
            message = f"{format_value(value)} is not allowed"
            remedy = "give 1 to 200 visible ASCII characters without blanks"
            self.problems.append(Problem(IDEMPOTENCY_KEY, message, remedy))
        return value

    def resources(self) -> Resources:
        return Resources(
            cpu_milli=self.whole("X-Cpu-Milli", 0, MAX_CPU_MILLI, 0),
            memory_mb=self.whole("X-Memory-MB", 0, MAX_MEMORY_MB, 0),
            accelerators=self.whole("X-Accelerators", 0, MAX_ACCELERATORS, 0),
            slots=self.whole("X-Slots", 1, MAX_SLOTS, 1),
        )


def read_headers(headers: HTTPHeaders) -> RequestHeaders | Refusal:
    """Return the headers of a request, or all problems with them."""
    reader = _Reader(headers)
    found = RequestHeaders(
        idempotency_key=reader.key(),
        deadline=reader.decimal(DEADLINE, 0.0, math.ldexp(1.0, 50)),
        first_sent_at=reader.decimal(FIRST_SENT, 0.0, math.ldexp(1.0, 50)),
        idempotent=reader.truth(IDEMPOTENT),
        urgency=reader.urgency(),
        resources=reader.resources(),
        expected_run_s=reader.decimal(EXPECTED_RUN, 0.001, MAX_DEADLINE_S) or 1.0,
    )
    if found.idempotency_key is not None and DEADLINE not in headers:
        message = f"the header is missing; {IDEMPOTENCY_KEY} needs it"
        remedy = "send the time after which the answer is of no use, in Unix seconds"
        reader.problems.append(Problem(DEADLINE, message, remedy))
    if found.first_sent_at is not None and found.idempotency_key is None:
        message = f"the header has no meaning without {IDEMPOTENCY_KEY}"
        reader.problems.append(Problem(FIRST_SENT, message, f"send {IDEMPOTENCY_KEY} as well"))
    return refusal_for_problems(reader.problems, "the request") if reader.problems else found


def read_idempotency_key(headers: HTTPHeaders) -> str | Refusal | None:
    """Return the key under which a job is submitted, None without one, or why it is refused."""
    reader = _Reader(headers)
    key = reader.key()
    return refusal_for_problems(reader.problems, "the request") if reader.problems else key


def deadline_refusal(deadline: float, now: float, longest_s: float) -> Refusal | None:
    """Return why a deadline is refused, or None."""
    if deadline <= now:
        return Refusal(
            ErrorKind.DEADLINE_PASSED,
            f"the deadline passed {now - deadline:.3f} s ago",
            remedy="send a later deadline; check the clock if it should not have passed",
        )
    if deadline > now + longest_s:
        return Refusal(
            ErrorKind.DEADLINE_TOO_FAR,
            f"the deadline is {deadline - now:.0f} s ahead; at most {longest_s:g} s are allowed",
            remedy="send an earlier deadline, in Unix seconds",
        )
    return None
