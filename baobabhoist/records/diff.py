"""Compare two bodies of a record."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Difference:
    """Name one value that differs by its path; `present` tells on which sides it exists."""

    path: str
    old: Any
    new: Any
    present: str = "both"


def diff_bodies(old: Any, new: Any, path: str = "body") -> list[Difference]:
    """Return the values that differ between two bodies, in order of their paths."""
    if isinstance(old, dict) and isinstance(new, dict):
        return _of_objects(old, new, path)
    if isinstance(old, (list, tuple)) and isinstance(new, (list, tuple)):
        return _of_lists(old, new, path)
    same = type(old) is type(new) and old == new
    if same or (_is_number(old) and _is_number(new) and old == new):
        return []
    return [Difference(path, old, new)]


def _is_number(value: Any) -> bool:
    return type(value) in (int, float)


def _of_objects(old: dict[str, Any], new: dict[str, Any], path: str) -> list[Difference]:
    found: list[Difference] = []
    for name in sorted(old.keys() | new.keys()):
        inner = f"{path}.{name}"
        if name not in new:
            found.append(Difference(inner, old[name], None, "old"))
        elif name not in old:
            found.append(Difference(inner, None, new[name], "new"))
        else:
            found.extend(diff_bodies(old[name], new[name], inner))
    return found


def _of_lists(old: Any, new: Any, path: str) -> list[Difference]:
    # Lists of named entries, such as the workers of a shard, are compared by name: an entry
    # added at the front would otherwise show as a change of every later one.
    named_old, named_new = _by_name(old), _by_name(new)
    if named_old is not None and named_new is not None:
        return _of_objects(named_old, named_new, path)
    found: list[Difference] = []
    for index in range(max(len(old), len(new))):
        inner = f"{path}[{index}]"
        if index >= len(new):
            found.append(Difference(inner, old[index], None, "old"))
        elif index >= len(old):
            found.append(Difference(inner, None, new[index], "new"))
        else:
            found.extend(diff_bodies(old[index], new[index], inner))
    return found


def _by_name(items: Any) -> dict[str, Any] | None:
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        return None
    return {item["name"]: item for item in items}
