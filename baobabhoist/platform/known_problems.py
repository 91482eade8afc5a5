"""Remember what is wrong with inputs that come again and again, so that it is logged once."""

from __future__ import annotations

MAX_INPUTS = 1_000
MAX_PROBLEM_CHARS = 200


class KnownProblems:
    """Hold the last problem of each input until the input is sound again."""

    def __init__(self) -> None:
        self._problems: dict[str, str] = {}

    def is_new(self, name: str, problem: str) -> bool:
        """Record the problem of an input; return whether it is another than the last one."""
        problem = problem[:MAX_PROBLEM_CHARS]
        if self._problems.get(name) == problem:
            return False
        if len(self._problems) >= MAX_INPUTS:
            del self._problems[next(iter(self._problems))]
        self._problems[name] = problem
        return True

    def forget(self, name: str) -> None:
        """Record that an input is sound."""
        self._problems.pop(name, None)
