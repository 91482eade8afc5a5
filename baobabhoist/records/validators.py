"""Check values of unknown origin and collect every problem with its path."""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from baobabhoist.errors import Problem

MAX_TEXT_LENGTH = 256
MAX_SHOWN_LENGTH = 40


class _Absent(enum.Enum):
    ABSENT = enum.auto()


ABSENT = _Absent.ABSENT

Problems = list[Problem]
# A check returns the converted value, or ABSENT after it has added a problem.
Validator = Callable[[Any, str, Problems], Any]


@attrs.frozen
class Field:
    """Describe one field of an object; a field without a default is required."""

    validator: Validator
    default: Any = ABSENT


def format_value(value: Any) -> str:
    """Return a value shortened for a message."""
    text = repr(value) if not isinstance(value, int) else hex_or_decimal(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[:MAX_SHOWN_LENGTH] + "..."


def hex_or_decimal(value: int) -> str:
    """Return an integer as text; huge ones in hexadecimal, whose cost is linear."""
    return str(value) if value.bit_length() <= 64 else hex(value)


def integer(low: int, high: int) -> Validator:
    """Accept an integer within bounds."""
    remedy = f"give an integer from {low} to {high}"

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not int:
            problems.append(Problem(path, f"{format_value(value)} is not an integer", remedy))
            return ABSENT
        if not low <= value <= high:
            problems.append(Problem(path, f"{format_value(value)} is out of range", remedy))
            return ABSENT
        return value

    return check


def number(low: float, high: float) -> Validator:
    """Accept a finite number within bounds."""
    remedy = f"give a number from {low:g} to {high:g}"

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) not in (int, float):
            problems.append(Problem(path, f"{format_value(value)} is not a number", remedy))
            return ABSENT
        # The comparison comes first: a huge integer cannot be converted to a float.
        if not low <= value <= high or not math.isfinite(value):
            problems.append(Problem(path, f"{format_value(value)} is out of range", remedy))
            return ABSENT
        return float(value)

    return check


def boolean(value: Any, path: str, problems: Problems) -> Any:
    """Accept true or false."""
    if type(value) is not bool:
        message = f"{format_value(value)} is not a truth value"
        problems.append(Problem(path, message, "give true or false"))
        return ABSENT
    return value


def text(pattern: str, what: str) -> Validator:
    """Accept a string that matches a pattern; `what` names it in the remedy."""
    compiled = re.compile(pattern)
    remedy = f"give {what}"

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not str:
            problems.append(Problem(path, f"{format_value(value)} is not a string", remedy))
            return ABSENT
        if len(value) > MAX_TEXT_LENGTH or compiled.fullmatch(value) is None:
            problems.append(Problem(path, f"{format_value(value)} is not allowed", remedy))
            return ABSENT
        return value

    return check


def one_of(kind: type[enum.StrEnum]) -> Validator:
    """Accept one of the values of an enumeration."""
    remedy = f"give one of {', '.join(kind)}"
    members = {member.value: member for member in kind}

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not str or value not in members:
            problems.append(Problem(path, f"{format_value(value)} is not known", remedy))
            return ABSENT
        return members[value]

    return check


def optional(inner: Validator) -> Validator:
    """Accept null or what the inner check accepts."""

    def check(value: Any, path: str, problems: Problems) -> Any:
        return None if value is None else inner(value, path, problems)

    return check


def list_of(inner: Validator, max_length: int) -> Validator:
    """Accept a list; the result is a tuple."""
    remedy = f"give a list of at most {max_length} entries"

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not list:
            problems.append(Problem(path, f"{format_value(value)} is not a list", remedy))
            return ABSENT
        if len(value) > max_length:
            problems.append(Problem(path, f"the list has {len(value)} entries", remedy))
            return ABSENT
        found = [inner(item, f"{path}[{index}]", problems) for index, item in enumerate(value)]
        return ABSENT if any(item is ABSENT for item in found) else tuple(found)

    return check


def mapping_of(key: Validator, inner: Validator) -> Validator:
    """Accept an object with free keys."""

    def check(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not dict:
            problems.append(
                Problem(path, f"{format_value(value)} is not an object", "give an object")
            )
            return ABSENT
        found = {}
        for name, item in value.items():
            inner_path = f"{path}.{str(name)[:MAX_SHOWN_LENGTH]}"
            checked = key(name, inner_path, problems)
            result = inner(item, inner_path, problems)
            if checked is not ABSENT and result is not ABSENT:
                found[checked] = result
        return found if len(found) == len(value) else ABSENT

    return check


@attrs.frozen
class ObjectValidator:
    """Accept an object with exactly these fields; the result is a dict with all of them."""

    fields: Mapping[str, Field]

    def __call__(self, value: Any, path: str, problems: Problems) -> Any:
        """Return the checked fields, or ABSENT."""
        names = ", ".join(sorted(self.fields))
        if type(value) is not dict:
            message = f"{format_value(value)} is not an object"
            problems.append(Problem(path, message, f"give an object with the fields {names}"))
            return ABSENT
        before = len(problems)
        for name in value:
            if type(name) is not str or name not in self.fields:
                remedy = f"remove it; the fields are {names}"
                inner_path = f"{path}.{str(name)[:MAX_SHOWN_LENGTH]}"
                problems.append(Problem(inner_path, "the field is unknown", remedy))
        found = {}
        for name, field in self.fields.items():
            found[name] = _field(value, name, field, f"{path}.{name}", problems)
        return found if len(problems) == before else ABSENT


def object_of(fields: Mapping[str, Field]) -> ObjectValidator:
    """Return the check of an object with exactly these fields."""
    return ObjectValidator(fields)


def _field(value: dict[str, Any], name: str, field: Field, path: str, problems: Problems) -> Any:
    if name in value:
        return field.validator(value[name], path, problems)
    if field.default is ABSENT:
        problems.append(Problem(path, "the field is missing", "add the field"))
    return field.default
