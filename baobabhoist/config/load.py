"""Load a settings file and report all of its problems at once."""

from __future__ import annotations

import difflib
from collections.abc import Hashable, Iterator
from pathlib import Path
from typing import Any, Generic, Protocol, TypeVar, cast

import attrs
import yaml

from baobabhoist.config.options import (
    OptionError,
    Problem,
    Section,
    SectionList,
    get_option,
    type_name,
)
from baobabhoist.config.settings import Settings
from baobabhoist.errors import SettingsError


class CheckedSettings(Protocol):
    """Describe a settings class that checks its options against each other."""

    def problems(self) -> Iterator[Problem]:
        """Yield the errors that concern several options."""

    def warnings(self) -> Iterator[Problem]:
        """Yield settings that are allowed but not recommended."""


T = TypeVar("T", bound=CheckedSettings)


@attrs.frozen
class LoadedSettings(Generic[T]):
    """Hold valid settings and the warnings about them."""

    settings: T
    warnings: tuple[Problem, ...]


# The loader of libyaml is quicker, where PyYAML was built with it.
_SafeLoader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _UniqueKeyLoader(_SafeLoader):
    """Reject duplicate keys; YAML loaders otherwise keep the last value silently."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Hashable, Any]:
        seen: set[Hashable] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, Hashable) and key in seen:
                mark = key_node.start_mark
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key!r} is given twice", mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_settings(path: str) -> Settings:
    """Return the settings in a file; raises SettingsError that lists every problem."""
    return load_with_warnings(path, Settings).settings


def load_with_warnings(path: str, cls: type[T]) -> LoadedSettings[T]:
    """Return the settings and warnings of a file for a settings class; raises SettingsError."""
    try:
        raw: Any = yaml.load(Path(path).read_text(encoding="utf-8"), _UniqueKeyLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise SettingsError(f"cannot read the settings file {path}: {exc}") from exc
    try:
        return _load(cls, raw)
    except SettingsError as exc:
        raise SettingsError(f"the settings file {path} is not valid:\n{exc}") from None


def validate_settings(raw: Any) -> LoadedSettings[Settings]:
    """Return the settings in parsed YAML; raises SettingsError with one line per problem."""
    return _load(Settings, raw)


def _load(cls: type[T], raw: Any) -> LoadedSettings[T]:
    settings = parse_settings(cls, raw)
    return LoadedSettings(settings, tuple(settings.warnings()))


def parse_settings(cls: type[T], raw: Any) -> T:
    """Return an instance of `cls` made from parsed YAML; raises SettingsError."""
    problems: list[Problem] = []
    settings: Any = _parse_section(cls, raw, "", problems)
    if settings is not None:
        problems.extend(settings.problems())
    if problems:
        raise SettingsError("\n".join(str(problem) for problem in problems))
    return cast("T", settings)


def _parse_section(cls: type, raw: Any, path: str, problems: list[Problem]) -> Any:
    """Return an instance of `cls`, or None after adding its errors to `problems`."""
    if not isinstance(raw, dict):
        problems.append(
            Problem(path or "settings", f"found {type_name(raw)}", "give a mapping of options")
        )
        return None
    count_before = len(problems)
    fields = {field.name: field for field in attrs.fields(cls)}
    for key in raw:
        if key not in fields:
            problems.append(_unknown_option(_join_path(path, str(key)), str(key), list(fields)))
    values: dict[str, Any] = {}
    for name, field in fields.items():
        option_path = _join_path(path, name)
        if name in raw:
            values[name] = _parse_value(field, raw[name], option_path, problems)
        elif field.default is attrs.NOTHING:
            remedy = f"give {get_option(field).describe()}"
            problems.append(Problem(option_path, "is missing", remedy))
    return cls(**values) if len(problems) == count_before else None


def _parse_value(field: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    option = get_option(field)
    if isinstance(option, Section):
        if value is None and option.optional:
            return None
        return _parse_section(option.cls, value, path, problems)
    if isinstance(option, SectionList) and isinstance(value, list):
        return [
            _parse_section(option.cls, item, f"{path}[{index}]", problems)
            for index, item in enumerate(value)
        ]
    try:
        return option.parse(value)
    except OptionError as exc:
        problems.append(Problem(path, str(exc), exc.remedy))
        return None


def _unknown_option(path: str, key: str, known_names: list[str]) -> Problem:
    matches = difflib.get_close_matches(key, known_names, n=1)
    remedy = f"did you mean {matches[0]}?" if matches else "remove it or see the settings page"
    return Problem(path, "is not a setting", remedy)


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
