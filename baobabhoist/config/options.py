"""Define the option types, which validate single values of a settings file."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit

import attrs

METADATA_KEY = "baobabhoist.option"
MAX_PORT = 65535
SHA256_HEX_LENGTH = 64


@attrs.frozen
class Problem:
    """Report one problem of a settings file: its path, what is wrong and how to correct it."""

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


class OptionError(ValueError):
    """Reject a value, with the message and the remedy for the report."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.remedy = remedy


class Option(Protocol):
    """Validate one value of a settings file."""

    def parse(self, value: Any) -> Any:
        """Return the validated value; raises OptionError."""

    def describe(self) -> str:
        """Return a description of the accepted values, for messages and the settings page."""


def type_name(value: Any) -> str:
    """Return the name of the type of a value in the terms of YAML users."""
    names = {bool: "true or false", dict: "a section", list: "a list", str: "text"}
    names |= {int: "a whole number", float: "a number", type(None): "nothing"}
    return names.get(type(value), type(value).__name__)


def _wrong_type(option: Option, value: Any) -> OptionError:
    return OptionError(f"found {type_name(value)}", f"give {option.describe()}")


@attrs.frozen
class Text:
    """Accept text that matches a pattern; `description` states the pattern in words."""

    pattern: str = r"(?s).+"
    description: str = "text that is not empty"

    def parse(self, value: Any) -> str:
        """Return the text; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        if re.fullmatch(self.pattern, value) is None:
            raise OptionError(f"{value!r} is not accepted", f"give {self.description}")
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return self.description


def identifier() -> Text:
    """Return the option type of the names of instances and data centres."""
    description = "1 to 63 lower-case letters, digits, dots or hyphens, a letter or digit first"
    return Text(r"[a-z0-9][a-z0-9.-]{0,62}", description)


def sha256_digest() -> Text:
    """Return the option type of SHA-256 digests."""
    return Text(rf"[0-9a-f]{{{SHA256_HEX_LENGTH}}}", "a SHA-256 digest, 64 lower-case hex digits")


@attrs.frozen
class Integer:
    """Accept an integer within inclusive bounds; null stands for `empty_value` if that is set."""

    low: int
    high: int
    unit: str = ""
    empty_value: int | None = None

    def parse(self, value: Any) -> int:
        """Return the number; raises OptionError."""
        if value is None and self.empty_value is not None:
            return self.empty_value
        if type(value) is not int:
            raise _wrong_type(self, value)
        if not self.low <= value <= self.high:
            raise OptionError(f"{value} is out of range", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        unit = f" {self.unit}" if self.unit else ""
        return f"a whole number from {self.low} to {self.high}{unit}"


def tcp_port() -> Integer:
    """Return the option type of TCP ports."""
    return Integer(1, MAX_PORT)


@attrs.frozen
class Number:
    """Accept a finite number within inclusive bounds."""

    low: float
    high: float
    unit: str = ""

    def parse(self, value: Any) -> float:
        """Return the number; raises OptionError."""
        if type(value) not in (int, float):
            raise _wrong_type(self, value)
        if not self.low <= value <= self.high:
            raise OptionError(f"{value} is out of range", f"give {self.describe()}")
        return float(value)

    def describe(self) -> str:
        """Return a description of the accepted values."""
        unit = f" {self.unit}" if self.unit else ""
        return f"a number from {self.low:g} to {self.high:g}{unit}"


@attrs.frozen
class Choice:
    """Accept one of a fixed set of strings."""

    choices: tuple[str, ...]

    def parse(self, value: Any) -> str:
        """Return the string; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        if value not in self.choices:
            raise OptionError(f"{value!r} is not accepted", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "one of " + ", ".join(self.choices)


@attrs.frozen
class Switch:
    """Accept true or false."""

    def parse(self, value: Any) -> bool:
        """Return the value if it is a boolean."""
        if not isinstance(value, bool):
            raise _wrong_type(self, value)
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "true or false"


@attrs.frozen
class IpAddress:
    """Accept an IP address; host names are rejected, because VMs are addressed by IP address."""

    def parse(self, value: Any) -> str:
        """Return the address; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        try:
            ipaddress.ip_address(value)
        except ValueError:
            message = f"{value!r} is not an IP address"
            raise OptionError(message, f"give {self.describe()}") from None
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "an IP address such as 10.1.2.3"


@attrs.frozen
class BaseUrl:
    """Accept an HTTP or HTTPS URL without a query or fragment."""

    def parse(self, value: Any) -> str:
        """Return the address; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        try:
            url = urlsplit(value)
            valid = url.scheme in ("http", "https") and bool(url.hostname)
            valid = valid and (url.port or 1) > 0 and not url.query and not url.fragment
        except ValueError:
            valid = False
        if not valid:
            raise OptionError(f"{value!r} is not an address", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "an address such as http://10.1.2.3:8080"


@attrs.frozen
class ReadableFile:
    """Accept the path of a file that this process can read."""

    def parse(self, value: Any) -> str:
        """Return the path; raises OptionError."""
        if not isinstance(value, str) or not value:
            raise _wrong_type(self, value)
        try:
            with Path(value).open("rb"):
                return value
        except OSError as exc:
            message = f"cannot read {value}: {exc.strerror or exc}"
            raise OptionError(message, "give the path of a readable file") from None

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "the path of a readable file"


@attrs.frozen
class Section:
    """Accept a mapping that is parsed into a settings class, or null if optional."""

    cls: type
    optional: bool = False

    def parse(self, value: Any) -> Any:
        """Reject the value; the loader parses sections itself, option by option."""
        raise _wrong_type(self, value)

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "a section"


@attrs.frozen
class SectionList:
    """Accept a list of mappings that are each parsed into a settings class."""

    cls: type

    def parse(self, value: Any) -> Any:
        """Reject the value; the loader parses sections itself, option by option."""
        raise _wrong_type(self, value)

    def describe(self) -> str:
        """Return a description of the accepted values."""
        return "a list of sections"


def setting(
    option: Option,
    description: str,
    *,
    default: Any = attrs.NOTHING,
    factory: Callable[[], Any] | None = None,
) -> Any:
    """Return an attrs field with an option type and a description as metadata."""
    metadata = {METADATA_KEY: (option, description)}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def get_option(field: Any) -> Option:
    """Return the option type of a field made by `setting`."""
    option: Option = field.metadata[METADATA_KEY][0]
    return option


def get_description(field: Any) -> str:
    """Return the description of a field made by `setting`."""
    return str(field.metadata[METADATA_KEY][1])
