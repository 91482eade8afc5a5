"""Read a settings file and report all of its faults at once."""

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
    option_of,
    type_name,
)
from baobabhoist.config.settings import Settings
from baobabhoist.errors import SettingsError


class CheckedSettings(Protocol):
    """Be a class of options that checks itself as a whole."""

    def problems(self) -> Iterator[Problem]:
        """Yield what is wrong across options."""

    def warnings(self) -> Iterator[Problem]:
        """Yield what is allowed but unwise."""


T = TypeVar("T", bound=CheckedSettings)


@attrs.frozen
class LoadedSettings(Generic[T]):
    """Hold valid settings and the warnings about them."""

    settings: T
    warnings: tuple[Problem, ...]


class _UniqueKeyLoader(yaml.SafeLoader):
    """Reject a key given twice, which YAML readers otherwise settle in favour of the last."""

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
    """Return the settings in a file; raises SettingsError listing every problem."""
    return load_with_warnings(path, Settings).settings


def load_with_warnings(path: str, cls: type[T]) -> LoadedSettings[T]:
    """Return the settings of a class in a file and the warnings; raises SettingsError."""
    try:
        raw: Any = yaml.load(Path(path).read_text(encoding="utf-8"), _UniqueKeyLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise SettingsError(f"cannot read the settings file {path}: {exc}") from exc
    try:
        return _checked(cls, raw)
    except SettingsError as exc:
        raise SettingsError(f"the settings file {path} is not valid:\n{exc}") from None


def validate_settings(raw: Any) -> LoadedSettings[Settings]:
    """Return settings made from parsed YAML; raises SettingsError with one line a problem."""
    return _checked(Settings, raw)


def _checked(cls: type[T], raw: Any) -> LoadedSettings[T]:
    settings = parse_settings(cls, raw)
    return LoadedSettings(settings, tuple(settings.warnings()))


def parse_settings(cls: type[T], raw: Any) -> T:
    """Return a class of options made from parsed YAML; raises SettingsError."""
    problems: list[Problem] = []
    settings: Any = _read_section(cls, raw, "", problems)
    if settings is not None:
        problems.extend(settings.problems())
    if problems:
        raise SettingsError("\n".join(str(problem) for problem in problems))
    return cast("T", settings)


def _read_section(cls: type, raw: Any, path: str, problems: list[Problem]) -> Any:
    """Return an instance of `cls`, or None after adding what is wrong to `problems`."""
    if not isinstance(raw, dict):
        problems.append(
            Problem(path or "settings", f"found {type_name(raw)}", "give a mapping of options")
        )
        return None
    count = len(problems)
    fields = {field.name: field for field in attrs.fields(cls)}
    for key in raw:
        if key not in fields:
            problems.append(_unknown(_join(path, str(key)), str(key), list(fields)))
    values: dict[str, Any] = {}
    for name, field in fields.items():
        place = _join(path, name)
        if name in raw:
            values[name] = _read_value(field, raw[name], place, problems)
        elif field.default is attrs.NOTHING:
            remedy = f"give {option_of(field).describe()}"
            problems.append(Problem(place, "is missing", remedy))
    return cls(**values) if len(problems) == count else None


def _read_value(field: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    option = option_of(field)
    if isinstance(option, Section):
        if value is None and option.optional:
            return None
        return _read_section(option.cls, value, path, problems)
    if isinstance(option, SectionList) and isinstance(value, list):
        return [
            _read_section(option.cls, item, f"{path}[{index}]", problems)
            for index, item in enumerate(value)
        ]
    try:
        return option.parse(value)
    except OptionError as exc:
        problems.append(Problem(path, str(exc), exc.remedy))
        return None


def _unknown(path: str, key: str, known: list[str]) -> Problem:
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"did you mean {close[0]}?" if close else "remove it or see the settings page"
    return Problem(path, "is not a setting", remedy)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
