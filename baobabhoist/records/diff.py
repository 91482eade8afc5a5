"""Compare two versions of a record body."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Difference:
    """Hold a value that differs and its path; `present` is the side that has it, or `both`."""

    path: str
    old: Any
    new: Any
    present: str = "both"


def diff_bodies(old: Any, new: Any, path: str = "body") -> list[Difference]:
    """Return the values that differ between two bodies, in order of their paths."""
    if isinstance(old, dict) and isinstance(new, dict):
        return _diff_objects(old, new, path)
    if isinstance(old, (list, tuple)) and isinstance(new, (list, tuple)):
        return _diff_lists(old, new, path)
    is_equal = type(old) is type(new) and old == new
    if is_equal or (_is_number(old) and _is_number(new) and old == new):
        return []
    return [Difference(path, old, new)]


def _is_number(value: Any) -> bool:
    return type(value) in (int, float)


def _diff_objects(old: dict[str, Any], new: dict[str, Any], path: str) -> list[Difference]:
    differences: list[Difference] = []
    for name in sorted(old.keys() | new.keys()):
        child_path = f"{path}.{name}"
        if name not in new:
            differences.append(Difference(child_path, old[name], None, "old"))
        elif name not in old:
            differences.append(Difference(child_path, None, new[name], "new"))
        else:
            differences.extend(diff_bodies(old[name], new[name], child_path))
    return differences


def _diff_lists(old: Any, new: Any, path: str) -> list[Difference]:
    # Lists of named entries, such as the workers of a shard, are compared by name; compared by
    # index, an entry inserted at the front would show as a change of every later one.
    old_by_name, new_by_name = _entries_by_name(old), _entries_by_name(new)
    if old_by_name is not None and new_by_name is not None:
        return _diff_objects(old_by_name, new_by_name, path)
    differences: list[Difference] = []
    for index in range(max(len(old), len(new))):
        child_path = f"{path}[{index}]"
        if index >= len(new):
            differences.append(Difference(child_path, old[index], None, "old"))
        elif index >= len(old):
            differences.append(Difference(child_path, None, new[index], "new"))
        else:
            differences.extend(diff_bodies(old[index], new[index], child_path))
    return differences


def _entries_by_name(items: Any) -> dict[str, Any] | None:
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        return None
    return {item["name"]: item for item in items}
