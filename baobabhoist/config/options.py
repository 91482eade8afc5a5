"""Define the types of options; each checks one value and names the remedy."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit

import attrs

METADATA_KEY = "baobabhoist.option"
PORT_MAX = 65535
SHA256_HEX_LENGTH = 64


@attrs.frozen
class Problem:
    """Report one fault of a settings file: where it is, what it is and what to do."""

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


class OptionError(ValueError):
    """Reject a value; carries the message and the remedy for the problem report."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.remedy = remedy


class Option(Protocol):
    """Check one value of a settings file."""

    def parse(self, value: Any) -> Any:
        """Return the checked value; raises OptionError."""

    def describe(self) -> str:
        """Return the accepted values in words, for messages and the settings page."""


def type_name(value: Any) -> str:
    """Return the name that YAML users know for the type of a value."""
    names = {bool: "true or false", dict: "a section", list: "a list", str: "text"}
    names |= {int: "a whole number", float: "a number", type(None): "nothing"}
    return names.get(type(value), type(value).__name__)


def _wrong_type(option: Option, value: Any) -> OptionError:
    return OptionError(f"found {type_name(value)}", f"give {option.describe()}")


@attrs.frozen
class Text:
    """Accept text that matches a pattern; `description` states the pattern for readers."""

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
        """Return the accepted values in words."""
        return self.description


def identifier() -> Text:
    """Return the option type of instance and data-centre names."""
    description = "1 to 63 lower-case letters, digits, dots or hyphens, a letter or digit first"
    return Text(r"[a-z0-9][a-z0-9.-]{0,62}", description)


def sha256_digest() -> Text:
    """Return the option type of SHA-256 digests."""
    return Text(rf"[0-9a-f]{{{SHA256_HEX_LENGTH}}}", "a SHA-256 digest, 64 lower-case hex digits")


@attrs.frozen
class Integer:
    """Accept a whole number within bounds, both included."""

    low: int
    high: int
    unit: str = ""

    def parse(self, value: Any) -> int:
        """Return the number; raises OptionError."""
        if type(value) is not int:
            raise _wrong_type(self, value)
        if not self.low <= value <= self.high:
            raise OptionError(f"{value} is out of range", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return the accepted values in words."""
        unit = f" {self.unit}" if self.unit else ""
        return f"a whole number from {self.low} to {self.high}{unit}"


def tcp_port() -> Integer:
    """Return the option type of TCP ports."""
    return Integer(1, PORT_MAX)


@attrs.frozen
class Number:
    """Accept a number within bounds, both included; infinities and NaN are outside."""

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
        """Return the accepted values in words."""
        unit = f" {self.unit}" if self.unit else ""
        return f"a number from {self.low:g} to {self.high:g}{unit}"


@attrs.frozen
class Choice:
    """Accept one of a few words."""

    choices: tuple[str, ...]

    def parse(self, value: Any) -> str:
        """Return the word; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        if value not in self.choices:
            raise OptionError(f"{value!r} is not accepted", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return the accepted values in words."""
        return "one of " + ", ".join(self.choices)


@attrs.frozen
class IpAddress:
    """Accept an IP address; VMs are addressed by IP address, so no name is resolved."""

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
        """Return the accepted values in words."""
        return "an IP address such as 10.1.2.3"


@attrs.frozen
class BaseUrl:
    """Accept an http or https address without a query."""

    def parse(self, value: Any) -> str:
        """Return the address; raises OptionError."""
        if not isinstance(value, str):
            raise _wrong_type(self, value)
        try:
            parts = urlsplit(value)
            good = parts.scheme in ("http", "https") and bool(parts.hostname)
            good = good and (parts.port or 1) > 0 and not parts.query and not parts.fragment
        except ValueError:
            good = False
        if not good:
            raise OptionError(f"{value!r} is not an address", f"give {self.describe()}")
        return value

    def describe(self) -> str:
        """Return the accepted values in words."""
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
        """Return the accepted values in words."""
        return "the path of a readable file"


@attrs.frozen
class Section:
    """Accept a mapping that is read as a class of options, or nothing if optional."""

    cls: type
    optional: bool = False

    def parse(self, value: Any) -> Any:
        """Reject; sections are read by the loader, which goes into them."""
        raise _wrong_type(self, value)

    def describe(self) -> str:
        """Return the accepted values in words."""
        return "a section"


@attrs.frozen
class SectionList:
    """Accept a list of mappings, each read as a class of options."""

    cls: type

    def parse(self, value: Any) -> Any:
        """Reject; sections are read by the loader, which goes into them."""
        raise _wrong_type(self, value)

    def describe(self) -> str:
        """Return the accepted values in words."""
        return "a list of sections"


def setting(
    option: Option,
    description: str,
    *,
    default: Any = attrs.NOTHING,
    factory: Callable[[], Any] | None = None,
) -> Any:
    """Return an attrs field that carries its option type and its description."""
    metadata = {METADATA_KEY: (option, description)}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def option_of(field: Any) -> Option:
    """Return the option type of a field made by `setting`."""
    option: Option = field.metadata[METADATA_KEY][0]
    return option


def description_of(field: Any) -> str:
    """Return the description of a field made by `setting`."""
    return str(field.metadata[METADATA_KEY][1])
