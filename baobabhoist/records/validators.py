"""Validate untrusted values and collect every problem with its path."""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from baobabhoist.errors import Problem

MAX_STRING_LENGTH = 256
MAX_QUOTED_LENGTH = 40


class _Absent(enum.Enum):
    ABSENT = enum.auto()


ABSENT = _Absent.ABSENT

Problems = list[Problem]
# A validator returns the converted value, or ABSENT after adding a problem.
Validator = Callable[[Any, str, Problems], Any]


@attrs.frozen
class Field:
    """Describe one field of an object; a field without a default is required."""

    validator: Validator
    default: Any = ABSENT


def format_value(value: Any) -> str:
    """Return a value as text, truncated for use in a message."""
    text = repr(value) if not isinstance(value, int) else hex_or_decimal(value)
    return text if len(text) <= MAX_QUOTED_LENGTH else text[:MAX_QUOTED_LENGTH] + "..."


def hex_or_decimal(value: int) -> str:
    """Return an integer as text; integers over 64 bits as hex, which takes only linear time."""
    return str(value) if value.bit_length() <= 64 else hex(value)


def integer(low: int, high: int) -> Validator:
    """Accept an integer within bounds."""
    remedy = f"give an integer from {low} to {high}"

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not int:
            problems.append(Problem(path, f"{format_value(value)} is not an integer", remedy))
            return ABSENT
        if not low <= value <= high:
            problems.append(Problem(path, f"{format_value(value)} is out of range", remedy))
            return ABSENT
        return value

    return validate


def number(low: float, high: float) -> Validator:
    """Accept a finite number within bounds."""
    remedy = f"give a number from {low:g} to {high:g}"

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) not in (int, float):
            problems.append(Problem(path, f"{format_value(value)} is not a number", remedy))
            return ABSENT
        # The comparison comes first: a huge integer cannot be converted to a float.
        if not low <= value <= high or not math.isfinite(value):
            problems.append(Problem(path, f"{format_value(value)} is out of range", remedy))
            return ABSENT
        return float(value)

    return validate


def boolean(value: Any, path: str, problems: Problems) -> Any:
    """Accept true or false."""
    if type(value) is not bool:
        message = f"{format_value(value)} is not a boolean"
        problems.append(Problem(path, message, "give true or false"))
        return ABSENT
    return value


def text(pattern: str, description: str) -> Validator:
    """Accept a string that matches a pattern; `description` states the pattern in the remedy."""
    compiled = re.compile(pattern)
    remedy = f"give {description}"

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not str:
            problems.append(Problem(path, f"{format_value(value)} is not a string", remedy))
            return ABSENT
        if len(value) > MAX_STRING_LENGTH or compiled.fullmatch(value) is None:
            problems.append(Problem(path, f"{format_value(value)} is not allowed", remedy))
            return ABSENT
        return value

    return validate


def one_of(enum_class: type[enum.StrEnum]) -> Validator:
    """Accept one of the values of an enumeration."""
    remedy = f"give one of {', '.join(enum_class)}"
    members = {member.value: member for member in enum_class}

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not str or value not in members:
            problems.append(Problem(path, f"{format_value(value)} is not known", remedy))
            return ABSENT
        return members[value]

    return validate


def optional(validator: Validator) -> Validator:
    """Accept null or what the given validator accepts."""

    def validate(value: Any, path: str, problems: Problems) -> Any:
        return None if value is None else validator(value, path, problems)

    return validate


def list_of(item_validator: Validator, max_length: int) -> Validator:
    """Accept a list; the result is a tuple."""
    remedy = f"give a list of at most {max_length} entries"

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not list:
            problems.append(Problem(path, f"{format_value(value)} is not a list", remedy))
            return ABSENT
        if len(value) > max_length:
            problems.append(Problem(path, f"the list has {len(value)} entries", remedy))
            return ABSENT
        items = [
            item_validator(item, f"{path}[{index}]", problems) for index, item in enumerate(value)
        ]
        return ABSENT if any(item is ABSENT for item in items) else tuple(items)

    return validate


def mapping_of(key_validator: Validator, item_validator: Validator) -> Validator:
    """Accept an object whose keys and values pass the given validators."""

    def validate(value: Any, path: str, problems: Problems) -> Any:
        if type(value) is not dict:
            problems.append(
                Problem(path, f"{format_value(value)} is not an object", "give an object")
            )
            return ABSENT
        valid_items = {}
        for name, item in value.items():
            item_path = f"{path}.{str(name)[:MAX_QUOTED_LENGTH]}"
            valid_key = key_validator(name, item_path, problems)
            valid_item = item_validator(item, item_path, problems)
            if valid_key is not ABSENT and valid_item is not ABSENT:
                valid_items[valid_key] = valid_item
        return valid_items if len(valid_items) == len(value) else ABSENT

    return validate


@attrs.frozen
class ObjectValidator:
    """Accept an object with exactly these fields; the result is a dict with all of them."""

    fields: Mapping[str, Field]

    def __call__(self, value: Any, path: str, problems: Problems) -> Any:
        """Return the validated fields, or ABSENT."""
        names = ", ".join(sorted(self.fields))
        if type(value) is not dict:
            message = f"{format_value(value)} is not an object"
            problems.append(Problem(path, message, f"give an object with the fields {names}"))
            return ABSENT
        count_before = len(problems)
        for name in value:
            if type(name) is not str or name not in self.fields:
                remedy = f"remove it; the fields are {names}"
                field_path = f"{path}.{str(name)[:MAX_QUOTED_LENGTH]}"
                problems.append(Problem(field_path, "the field is unknown", remedy))
        validated = {}
        for name, field in self.fields.items():
            validated[name] = _validate_field(value, name, field, f"{path}.{name}", problems)
        return validated if len(problems) == count_before else ABSENT


def object_of(fields: Mapping[str, Field]) -> ObjectValidator:
    """Return a validator of objects with exactly these fields."""
    return ObjectValidator(fields)


def _validate_field(
    value: dict[str, Any], name: str, field: Field, path: str, problems: Problems
) -> Any:
    if name in value:
        return field.validator(value[name], path, problems)
    if field.default is ABSENT:
        problems.append(Problem(path, "the field is missing", "add the field"))
    return field.default
