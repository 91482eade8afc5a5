"""Provide an in-memory table for tests."""

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.store.table import Committed, Row


class MemoryTable:
    """Store rows in memory.

    `before_commit` holds coroutine functions that the next commit awaits first. `down` makes all
    calls fail. `lose_answer` makes commits fail after they took effect.
    """

    def __init__(self):
        self.rows = {}
        self.before_commit = []
        self.down = False
        self.lose_answer = False

    async def read(self, key):
        self._check()
        return self.rows.get(key, Row(key, 0, None))

    async def scan(self, prefix, after="", limit=1000):
        self._check()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, txn):
        self._check()
        while self.before_commit:
            await self.before_commit.pop()()
        for key, revision in txn.checks.items():
            if self.rows.get(key, Row(key, 0, None)).revision != revision:
                return Refusal(ErrorKind.CONFLICT, f"row {key} was changed")
        for key, value in txn.writes.items():
            revision = self.rows.get(key, Row(key, 0, None)).revision + 1
            self.rows[key] = Row(key, revision, value)
        if self.lose_answer:
            raise PlatformError("the answer was lost")
        return Committed({key: self.rows[key].revision for key in txn.writes})

    def _check(self):
        if self.down:
            raise PlatformError("the platform cannot be reached")
