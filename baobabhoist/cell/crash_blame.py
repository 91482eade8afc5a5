"""Hold how far a task is to blame for the crashes of its workers."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs


class Evidence(enum.StrEnum):
    """List what a crash tells about a task whose run was on the worker."""

    # The worker crashed right after it had started the run.
    YOUNG_RUN = "young"
    # The worker had run it for some time.
    OLD_RUN = "old"
    # The worker never confirmed the start: it may have crashed before.
    UNCONFIRMED_RUN = "unconfirmed"


# A task is given up after two crashes right after its start, or after four during older runs.
BLAME_LIMIT = 4
WEIGHTS = {Evidence.YOUNG_RUN: 2, Evidence.OLD_RUN: 1, Evidence.UNCONFIRMED_RUN: 1}
# With fewer crashes while it certainly ran, a task is given up only after this many in all.
MIN_CERTAIN_CRASHES = 2
MAX_CRASHES = 5


@attrs.frozen
class CrashBlame:
    """Hold the evidence against one task by crash, which is named after the worker process."""

    by_crash: Mapping[str, Evidence] = attrs.Factory(dict)

    @property
    def total(self) -> int:
        """Return the weight of all evidence."""
        return sum(WEIGHTS[evidence] for evidence in self.by_crash.values())

    @property
    def is_suspect(self) -> bool:
        """Return whether a worker crashed right after it had started the task."""
        return Evidence.YOUNG_RUN in self.by_crash.values()

    @property
    def is_over_limit(self) -> bool:
        """Return whether the task has to be given up."""
        kinds = list(self.by_crash.values())
        certain_count = len(kinds) - kinds.count(Evidence.UNCONFIRMED_RUN)
        is_certain = certain_count >= MIN_CERTAIN_CRASHES or len(kinds) >= MAX_CRASHES
        return is_certain and self.total >= BLAME_LIMIT

    @property
    def explained_crashes(self) -> frozenset[str]:
        """Return the crashes that this task has caused, if it is the one that crashes workers."""
        kinds = self.by_crash.items()
        return frozenset(crash for crash, kind in kinds if kind is Evidence.YOUNG_RUN)

    def plus(self, crash: str, evidence: Evidence) -> CrashBlame:
        """Return the blame after one more crash."""
        return CrashBlame({**self.by_crash, crash: evidence})

    def without(self, explained: frozenset[str]) -> CrashBlame:
        """Return the blame without the crashes that another task has caused."""
        return CrashBlame({c: kind for c, kind in self.by_crash.items() if c not in explained})

    def lowered(self) -> CrashBlame:
        """Return the blame of a task of which a run has outlived its start."""
        return CrashBlame(
            {
                crash: Evidence.OLD_RUN if kind is Evidence.YOUNG_RUN else kind
                for crash, kind in self.by_crash.items()
            }
        )


NO_BLAME = CrashBlame()
