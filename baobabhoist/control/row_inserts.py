"""Define the conditional inserts of jobs, cancellations and tombstones."""

from __future__ import annotations

import enum
import logging
from typing import Protocol

import attrs

from baobabhoist.control.row_schema import cancel_row_key, job_row_key
from baobabhoist.control.tombstone_row import (
    TOMBSTONES_TABLE,
    Tombstone,
    decode_tombstone,
    encode_tombstone,
    tombstone_row_key,
)
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowKey,
    RowsConflict,
    RowTransaction,
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

# A team's tombstone that expires up to this much earlier than a new one would is not replaced.
RENEWAL_SLACK_MS = 60_000


class WriteStatus(enum.Enum):
    """Describe the outcome of storing a row."""

    NEW = "new"
    # An earlier call had already stored the row.
    ALREADY_STORED = "known"
    # The team cancelled the id before. No job of it is stored, and no late write is pending.
    CANCELLED = "cancelled"
    # The id has a job, so it got no tombstone. The result holds the job's row.
    HAS_JOB = "has_job"
    # The row was not written, and no late write is pending.
    REFUSED = "refused"
    # The row may have been written, or may be written late.
    UNKNOWN = "unknown"


@attrs.frozen
class WriteResult:
    """Hold the outcome of a write, and the row's version and value if it is stored."""

    status: WriteStatus
    version: int = 0
    value: bytes = b""


class RowInsert(Protocol):
    """Insert one row under conditions, which may have to follow what a conflict shows."""

    @property
    def key(self) -> RowKey:
        """Return the key of the row."""

    @property
    def value(self) -> bytes:
        """Return the value of the row."""

    def transaction(self) -> RowTransaction:
        """Return the transaction under the conditions known by now."""

    def resolve(self, conflict: RowsConflict, may_be_written: bool) -> WriteResult | None:
        """Return the outcome that a conflict shows, or None if the insert must be repeated.

        `may_be_written` tells whether an earlier attempt got no answer. Raises
        StoreUnansweredError if the conflict does not show the row that caused it.
        """


@attrs.frozen
class CancellationInsert:
    """Insert the cancellation of a stored job."""

    job_id: str
    value: bytes = b"{}"

    @property
    def key(self) -> RowKey:
        """Return the key of the cancellation's row."""
        return cancel_row_key(self.job_id)

    def transaction(self) -> RowTransaction:
        """Return the transaction, which expects that the row is absent."""
        return RowTransaction({self.key: 0}, {self.key: self.value})

    def resolve(self, conflict: RowsConflict, may_be_written: bool) -> WriteResult | None:
        """Return the outcome that a conflict shows."""
        stored = _stored_result(conflict, self.key, may_be_written)
        if stored is None:
            raise _odd_conflict_error()
        return stored


@attrs.define
class JobInsert:
    """Insert a job, unless its team cancelled the id before."""

    job_id: str
    # The team of the caller's key.
    team: str
    is_public: bool
    value: bytes
    # The version of a tombstone of other teams, or 0 if none is known.
    _tombstone_version: int = 0

    @property
    def key(self) -> RowKey:
        """Return the key of the job's row."""
        return job_row_key(self.job_id)

    def transaction(self) -> RowTransaction:
        """Return the transaction, which expects no job and no tombstone that forbids it."""
        expected = {self.key: 0, tombstone_row_key(self.job_id): self._tombstone_version}
        return RowTransaction(expected, {self.key: self.value})

    def resolve(self, conflict: RowsConflict, may_be_written: bool) -> WriteResult | None:
        """Return the outcome that a conflict shows, or None after a change of the tombstone."""
        stored = _stored_result(conflict, self.key, may_be_written)
        if stored is not None:
            return stored
        tombstone_key = tombstone_row_key(self.job_id)
        self._tombstone_version = _changed_version(
            conflict, tombstone_key, self._tombstone_version
        )
        if not self._tombstone_version:
            return None
        tombstone = _read_tombstone(conflict, tombstone_key)
        # One that can't be read may be of any team.
        if tombstone is None or tombstone.forbids(self.team, is_public=self.is_public):
            return WriteResult(WriteStatus.CANCELLED)
        return None


@attrs.define
class TombstoneInsert:
    """Insert the tombstone of an id without a job, or add a team to the one that is stored."""

    job_id: str
    team: str
    tombstone: Tombstone
    _version: int = 0

    @property
    def key(self) -> RowKey:
        """Return the key of the tombstone's row."""
        return tombstone_row_key(self.job_id)

    @property
    def value(self) -> bytes:
        """Return the value of the tombstone's row."""
        return encode_tombstone(self.tombstone)

    def transaction(self) -> RowTransaction:
        """Return the transaction, which expects no job and the known version of the tombstone."""
        expected = {job_row_key(self.job_id): 0, self.key: self._version}
        return RowTransaction(expected, {self.key: self.value})

    def resolve(self, conflict: RowsConflict, may_be_written: bool) -> WriteResult | None:
        """Return the outcome that a conflict shows, or None after a change of the tombstone."""
        job_key = job_row_key(self.job_id)
        if conflict.version_of(job_key):
            version, value = conflict.version_of(job_key), conflict.value_of(job_key)
            return WriteResult(WriteStatus.HAS_JOB, version, value)
        self._version = _changed_version(conflict, self.key, self._version)
        stored = _read_tombstone(conflict, self.key)
        if stored is None:
            return None
        is_recent = stored.expires_ms + RENEWAL_SLACK_MS >= self.tombstone.expires_ms
        if self.team in stored.teams and is_recent:
            return _stored_result(conflict, self.key, may_be_written)
        self.tombstone = self.tombstone.merge(stored)
        return None


def _stored_result(
    conflict: RowsConflict, key: RowKey, may_be_written: bool
) -> WriteResult | None:
    """Return the result of an insert whose row is stored, or None if a conflict lacks it."""
    if not conflict.version_of(key):
        return None
    status = WriteStatus.NEW if may_be_written else WriteStatus.ALREADY_STORED
    return WriteResult(status, conflict.version_of(key), conflict.value_of(key))


def _changed_version(conflict: RowsConflict, key: RowKey, known_version: int) -> int:
    """Return the version of a row that has caused a conflict by its change."""
    version = conflict.version_of(key)
    if version == known_version:
        raise _odd_conflict_error()
    return version


def _read_tombstone(conflict: RowsConflict, key: RowKey) -> Tombstone | None:
    """Return the tombstone that a conflict shows, or None if it is absent or unreadable."""
    if not conflict.version_of(key):
        return None
    try:
        return decode_tombstone(conflict.value_of(key))
    except ValueError as exc:
        emit(log, Event.ROW_UNREADABLE, table=TOMBSTONES_TABLE, row=key.key, detail=exc)
        return None


def _odd_conflict_error() -> StoreUnansweredError:
    return StoreUnansweredError("the store's answer does not show the row in conflict")
