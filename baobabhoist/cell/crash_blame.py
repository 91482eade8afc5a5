"""Hold how far a task is to blame for the crashes of its workers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

# A task whose crashes add up to this is given up: after two that followed its start at once, and
# after four in any case.
BLAME_LIMIT = 4
YOUNG_RUN_BLAME = 2
OLD_RUN_BLAME = 1


@attrs.frozen
class CrashBlame:
    """Hold the blame of one task by crash; a crash is named after the worker process."""

    by_crash: Mapping[str, int] = attrs.Factory(dict)

    @property
    def total(self) -> int:
        """Return the sum over all crashes."""
        return sum(self.by_crash.values())

    @property
    def is_suspect(self) -> bool:
        """Return whether a worker crashed right after it had started the task."""
        return YOUNG_RUN_BLAME in self.by_crash.values()

    @property
    def is_over_limit(self) -> bool:
        """Return whether the task has to be given up."""
        return self.total >= BLAME_LIMIT

    @property
    def explained_crashes(self) -> frozenset[str]:
        """Return the crashes that this task has caused, if it is the one that crashes workers."""
        return frozenset(c for c, blame in self.by_crash.items() if blame == YOUNG_RUN_BLAME)

    def plus(self, crash: str, blame: int) -> CrashBlame:
        """Return the blame after one more crash."""
        return CrashBlame({**self.by_crash, crash: blame})

    def without(self, crashes: Iterable[str]) -> CrashBlame:
        """Return the blame without the crashes that another task has caused."""
        explained = frozenset(crashes)
        return CrashBlame({c: blame for c, blame in self.by_crash.items() if c not in explained})

    def lowered(self) -> CrashBlame:
        """Return the blame of a task of which a run has outlived its start."""
        return CrashBlame(dict.fromkeys(self.by_crash, OLD_RUN_BLAME))


NO_BLAME = CrashBlame()
