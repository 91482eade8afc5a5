"""Keep the current records in memory and look them up."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from baobabhoist.model import WorkerSpec
from baobabhoist.records.keys import KeyIndex
from baobabhoist.records.keys import key_digest as key_digest
from baobabhoist.records.kinds import Key, Policy, Queue, RecordKind, Shard, Team, TypedRecord
from baobabhoist.records.schema import to_typed_record

log = logging.getLogger(__name__)

DEFAULT_POLICY = Policy()


@attrs.frozen
class Record:
    """Hold one version of a record; a body of None marks a deletion.

    Revisions increase across all records. `schema_version` is the version in which the record was
    written, while the body has the canonical form of `records.schema`. `previous` is the revision
    that this one replaced (0 for none), and `changed_at` is in Unix seconds.
    """

    kind: str
    name: str
    schema_version: int
    revision: int
    body: dict[str, Any] | None
    previous: int = 0
    changed_by: str = ""
    changed_at: float = 0.0


@attrs.define
class RecordView:
    """Hold the current records; only higher revisions are applied."""

    revision: int = 0
    records: dict[tuple[str, str], Record] = attrs.Factory(dict)
    _typed_by_kind: dict[str, dict[str, Any]] = attrs.Factory(dict)
    _key_index: KeyIndex = attrs.Factory(KeyIndex)
    _sorted_by_kind: dict[str, list[Record]] = attrs.Factory(dict)
    _shards_by_data_centres: dict[tuple[str, ...], tuple[str, ...]] = attrs.Factory(dict)

    def apply(self, record: Record) -> bool:
        """Apply a record unless its revision is too old; return whether it was applied."""
        if record.revision <= self.revision:
            return False
        self.revision = record.revision
        self._insert(record)
        return True

    def snapshot(self) -> tuple[Record, ...]:
        """Return the current records in order of their revisions, for an instance that starts."""
        return tuple(sorted(self.records.values(), key=lambda record: record.revision))

    def restore(self, records: Iterable[Record], revision: int) -> bool:
        """Replace all records by a newer snapshot; return whether the snapshot was applied."""
        if revision <= self.revision:
            return False
        for record in list(self.records.values()):
            self._remove(record.kind, record.name)
        for record in records:
            self._insert(record)
        self.revision = revision
        return True

    def copy(self) -> RecordView:
        """Return an independent view that shares the immutable records with this one."""
        return RecordView(
            self.revision,
            dict(self.records),
            {kind: dict(by_name) for kind, by_name in self._typed_by_kind.items()},
            self._key_index.copy(),
            dict(self._sorted_by_kind),
            dict(self._shards_by_data_centres),
        )

    def get(self, kind: str, name: str) -> Record | None:
        """Return a record, or None."""
        return self.records.get((kind, name))

    def records_of_kind(self, kind: str) -> list[Record]:
        """Return the records of a kind sorted by name; callers must not change the list."""
        if kind not in self._sorted_by_kind:
            records = [record for record in self.records.values() if record.kind == kind]
            self._sorted_by_kind[kind] = sorted(records, key=lambda record: record.name)
        return self._sorted_by_kind[kind]

    def team(self, name: str) -> Team | None:
        """Return a team, or None."""
        return self._typed_by_kind.get(RecordKind.TEAM, {}).get(name)

    def teams(self) -> Mapping[str, Team]:
        """Return all teams by name."""
        return self._typed_by_kind.get(RecordKind.TEAM, {})

    def queue(self, name: str) -> Queue | None:
        """Return a queue, or None."""
        return self._typed_by_kind.get(RecordKind.QUEUE, {}).get(name)

    def queues(self) -> Mapping[str, Queue]:
        """Return all queues by name."""
        return self._typed_by_kind.get(RecordKind.QUEUE, {})

    def policy_for_queue(self, queue: str) -> Policy:
        """Return the policy of a queue, or the default policy if it has none."""
        queue_record = self.queue(queue)
        policies = self._typed_by_kind.get(RecordKind.POLICY, {})
        return (
            policies.get(queue_record.policy, DEFAULT_POLICY) if queue_record else DEFAULT_POLICY
        )

    def shard(self, name: str) -> Shard | None:
        """Return a shard, or None."""
        return self._typed_by_kind.get(RecordKind.SHARD, {}).get(name)

    def shards(self) -> Mapping[str, Shard]:
        """Return all shards by name."""
        return self._typed_by_kind.get(RecordKind.SHARD, {})

    def keys(self) -> Mapping[str, Key]:
        """Return all key records by name."""
        return self._typed_by_kind.get(RecordKind.KEY, {})

    def find_key(self, presented: str) -> Key | None:
        """Return the record of a presented key, withdrawn or not, or None."""
        return self._key_index.find(presented)

    def team_of_key(self, key: str) -> str | None:
        """Return the team that a presented key belongs to, or None."""
        key_record = self.find_key(key)
        return (
            key_record.team
            if key_record is not None and key_record.team and not key_record.withdrawn
            else None
        )

    def shards_in(self, data_centres: tuple[str, ...]) -> tuple[str, ...]:
        """Return the sorted names of the shards in some data centres; an empty tuple means all."""
        if data_centres not in self._shards_by_data_centres:
            self._shards_by_data_centres[data_centres] = tuple(
                sorted(
                    name
                    for name, shard in self.shards().items()
                    if not data_centres or shard.data_centre in data_centres
                )
            )
        return self._shards_by_data_centres[data_centres]

    def workers_in_shard(self, shard: str) -> list[WorkerSpec]:
        """Return the workers of a shard."""
        shard_record = self.shard(shard)
        return [worker.to_spec(shard) for worker in shard_record.workers] if shard_record else []

    def drained_workers(self, shard: str) -> frozenset[str]:
        """Return the names of the workers of a shard that must get no new tasks."""
        shard_record = self.shard(shard)
        return (
            frozenset(worker.name for worker in shard_record.workers if worker.drain)
            if shard_record
            else frozenset()
        )

    def _insert(self, record: Record) -> None:
        self._remove(record.kind, record.name)
        if record.body is None:
            return
        self.records[record.kind, record.name] = record
        try:
            typed_record = to_typed_record(record.kind, record.body)
        except (ValueError, TypeError, KeyError, AttributeError):
            # Only a later release can have written this body; the other records remain usable.
            log.error("cannot parse record %s/%s", record.kind, record.name, exc_info=True)
            return
        self._add_to_indexes(record, typed_record)

    def _add_to_indexes(self, record: Record, typed_record: TypedRecord) -> None:
        self._typed_by_kind.setdefault(record.kind, {})[record.name] = typed_record
        if isinstance(typed_record, Key):
            self._key_index.add(record.name, typed_record)

    def _remove(self, kind: str, name: str) -> None:
        self.records.pop((kind, name), None)
        self._sorted_by_kind.pop(kind, None)
        removed = self._typed_by_kind.get(kind, {}).pop(name, None)
        if isinstance(removed, Key):
            self._key_index.remove(name, removed)
        if kind == RecordKind.SHARD:
            self._shards_by_data_centres.clear()
